"""Decides what a router still accepts during a graceful shutdown; performs no I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import frozen

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import RequestKind

EARLY_S: Final = 2.5
"""A stream accepted at most this long after the stop signal may end with the process."""
STREAM_RESERVE_S: Final = 5.0
"""Time that must be left for such a stream; most streams end within it."""
MAX_EXIT_MARGIN_S: Final = 0.4
EXIT_MARGIN_SHARE: Final = 0.05
"""The process exits this long, and this share of the grace period, before it would be killed."""
MAX_RESPONSE_MARGIN_S: Final = 0.7
RESPONSE_MARGIN_SHARE: Final = 0.14
"""Responses must have begun this long, and this share of the grace period, before the process would
be killed. The share is below a sixth: callers expect no earlier end from a graceful shutdown."""
MIN_DRAIN_S: Final = 0.05
"""Time in which idle connections are closed even if the grace period is used up."""
CACHED_ADDRESS_LIFETIMES: Final = 3
"""The process stays up for this many address lifetimes, because some callers cache an address for
three times its lifetime."""
RETRY_AFTER_S: Final = 0.05
"""`Retry-After` sent by a router that is stopping; the retry reaches another router."""


@frozen
class StopPlan:
    """The schedule of a graceful shutdown; times are monotonic seconds."""

    started_at: float
    grace_s: float
    """Grace period from the stop signal until the process is killed."""

    @property
    def exit_at(self) -> float:
        """When the process ends at the latest."""
        margin_s = min(MAX_EXIT_MARGIN_S, EXIT_MARGIN_SHARE * self.grace_s)
        return self.started_at + self.grace_s - margin_s

    @property
    def responses_due_at(self) -> float:
        """When a request whose response has not begun is answered without an endpoint."""
        margin_s = min(MAX_RESPONSE_MARGIN_S, RESPONSE_MARGIN_SHARE * self.grace_s)
        return self.started_at + self.grace_s - margin_s

    def accepts(self, kind: RequestKind, deadline: float, now: float) -> bool:
        """Returns whether a new request is accepted.

        That is when it ends in time even if it lasts until its deadline. Streams may last far
        longer than most do, so that early in the shutdown they are accepted regardless.

        Args:
            kind: Kind of the route.
            deadline: When the response must be complete, in monotonic seconds.
            now: Monotonic seconds.
        """
        if deadline <= self.responses_due_at:
            return True
        early_s = min(EARLY_S, self.grace_s - STREAM_RESERVE_S)
        return kind.is_stream and now <= self.started_at + early_s

    def can_drain(self, active: int, address_lifetime_s: float, now: float) -> bool:
        """Returns whether the connections of callers can be closed.

        That is when no request is in flight and callers no longer cache the address of the router,
        or when the responses of all requests must have begun.

        Args:
            active: Requests in flight.
            address_lifetime_s: Lifetime of an address that is sent to callers, in seconds.
            now: Monotonic seconds.
        """
        if now >= self.responses_due_at:
            return True
        return not active and now >= self.started_at + CACHED_ADDRESS_LIFETIMES * address_lifetime_s

    def drain_s(self, now: float) -> float:
        """Returns the longest wait for the requests that were read before the process ends."""
        return max(MIN_DRAIN_S, self.exit_at - now)


class Shutdown:
    """The graceful shutdown of this process, if any; written by one thread, read by any."""

    plan: StopPlan | None = None
    """Set when the shutdown has begun."""

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.plan is not None

    def accepts(self, kind: RequestKind, deadline: float, now: float) -> bool:
        """Returns whether a new request is accepted; see `StopPlan.accepts`."""
        plan = self.plan
        return plan is None or plan.accepts(kind, deadline, now)

    def responses_due_at(self) -> float:
        """Returns `StopPlan.responses_due_at`; infinity while no shutdown has begun."""
        plan = self.plan
        return math.inf if plan is None else plan.responses_due_at
