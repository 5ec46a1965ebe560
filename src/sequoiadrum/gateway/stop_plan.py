"""Decides what a router still accepts during a graceful shutdown; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import frozen

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import RequestKind

STREAM_RESERVE_S: Final = 5.0
"""Time reserved for a new stream; the longest regular streams take about this long."""
CALL_RESERVE_S: Final = 1.5
"""Time reserved for a new call to a plain service, from its acceptance to its response."""
EXIT_MARGIN_S: Final = 0.4
"""The process exits this long before it would be killed."""
MAX_DRAIN_S: Final = 0.3
"""Longest wait for requests that arrive while the connections of callers are closed."""
MIN_DRAIN_S: Final = 0.05
"""Time in which idle connections are closed even if the grace period is used up."""
CACHED_ADDRESS_LIFETIMES: Final = 3
"""The process stays up for this many address lifetimes, because some callers cache an address for
three times its lifetime."""


@frozen
class StopPlan:
    """The schedule of a graceful shutdown; times are monotonic seconds."""

    started_at: float
    grace_s: float
    """Grace period from the stop signal until the process is killed."""

    def accepts(self, kind: RequestKind, now: float) -> bool:
        """Returns whether a new request can complete before the process is killed."""
        reserve_s = STREAM_RESERVE_S if kind.is_stream else CALL_RESERVE_S
        return now <= self.started_at + self.grace_s - reserve_s

    def drain_s(self, now: float) -> float:
        """Returns the longest time for closing the connections of callers before the exit.

        Little is left if the grace period is used up; requests in flight are cut off then anyway.
        """
        left_s = self.started_at + self.grace_s - EXIT_MARGIN_S - now
        return max(MIN_DRAIN_S, min(MAX_DRAIN_S, left_s))

    def can_exit(self, active: int, address_lifetime_s: float, now: float) -> bool:
        """Returns whether the process can exit.

        That is when no request is in flight and callers no longer cache the address of the router,
        or shortly before the grace period ends.

        Args:
            active: Requests in flight.
            address_lifetime_s: Lifetime of an address that is sent to callers, in seconds.
            now: Monotonic seconds.
        """
        if now >= self.started_at + self.grace_s - EXIT_MARGIN_S:
            return True
        return not active and now >= self.started_at + CACHED_ADDRESS_LIFETIMES * address_lifetime_s
