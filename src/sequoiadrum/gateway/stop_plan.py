"""What a router still accepts while it is being stopped, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import frozen

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import RequestKind

STREAM_NEEDS_S: Final = 5.0
"""Time that a stream may need; the longest regular ones take about so long."""
CALL_NEEDS_S: Final = 1.5
"""Time that a call of a plain service may need."""
EXIT_MARGIN_S: Final = 0.4
"""The process ends this long before it would be killed."""
KEPT_ANSWERS: Final = 3
"""Some callers keep an answer about addresses for three times its life."""


@frozen
class StopPlan:
    """The times of a planned stop, in monotonic seconds."""

    began_at: float
    grace_s: float
    """From the signal to the end of the process by force."""

    def accepts(self, kind: RequestKind, now: float) -> bool:
        """Tells whether a new request can be finished before the process ends."""
        needs_s = STREAM_NEEDS_S if kind.is_stream else CALL_NEEDS_S
        return now <= self.began_at + self.grace_s - needs_s

    def can_exit(self, active: int, address_lifetime_s: float, now: float) -> bool:
        """Tells whether the process may end: nothing is in work and no address is still kept.

        Args:
            active: Requests in work.
            address_lifetime_s: Life of the answers about addresses.
            now: Monotonic seconds.
        """
        if now >= self.began_at + self.grace_s - EXIT_MARGIN_S:
            return True
        return not active and now >= self.began_at + KEPT_ANSWERS * address_lifetime_s
