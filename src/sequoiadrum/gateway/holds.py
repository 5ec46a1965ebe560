"""Times for which no request is sent to an endpoint, with their reasons; performs no I/O."""

from __future__ import annotations

import math
from enum import Enum
from typing import Final

from attrs import define, field, frozen

MAX_RETRY_AFTER_S: Final = 300.0
"""Longest time for which an endpoint can turn a router away with one response."""
RAMP_STEP_S: Final = 0.25
"""After an endpoint has turned this router away, the requests in flight that it may get double in
this time, from one."""
MIN_SPREAD_S: Final = 0.5
SPREAD_RATIO: Final = 0.5
"""Refused callers return spread over this time, or over this ratio of their wait."""


class HoldReason(Enum):
    """Why no request is sent to an endpoint; each reason has a counter."""

    LEAVING = "leaving"
    """The endpoint said that it leaves, which is final for its process."""
    TURNED_AWAY = "turned_away"
    """The endpoint named a time for which it wants no request from this router."""
    UNREACHABLE = "unreachable"
    """No connection could be established."""
    FULL = "full"
    """The endpoint refused a request because it was full."""


@frozen
class Hold:
    """A time for which no request is sent to an endpoint."""

    reason: HoldReason
    until: float
    """Monotonic seconds; infinity for a hold without an end."""


@define(eq=False)
class Holds:
    """The holds on one process of an endpoint; the later of two ends of a reason counts."""

    _until_by_reason: dict[HoldReason, float] = field(factory=dict)

    def add(self, reason: HoldReason, until: float) -> bool:
        """Holds requests back until a time in monotonic seconds; returns whether it is later."""
        if until <= self.end(reason):
            return False
        self._until_by_reason[reason] = until
        return True

    def lift(self, reason: HoldReason) -> None:
        """Ends a hold that this router has set by its own findings."""
        self._until_by_reason.pop(reason, None)

    def end(self, reason: HoldReason) -> float:
        """Returns when the last hold of a reason ends or has ended; negative infinity if none."""
        return self._until_by_reason.get(reason, -math.inf)

    def is_held(self, reason: HoldReason, now: float) -> bool:
        """Returns whether requests are held back for a reason; `now` is in monotonic seconds."""
        return now < self.end(reason)

    def current(self, now: float) -> Hold | None:
        """Returns the hold that ends last; None if requests may be sent."""
        if not self._until_by_reason:
            return None
        reason = max(self._until_by_reason, key=self._until_by_reason.__getitem__)
        hold = Hold(reason, self._until_by_reason[reason])
        return hold if now < hold.until else None

    def available_at(self, in_flight: int, now: float) -> Hold | None:
        """Returns the hold on one more request; None if it may be sent.

        After an endpoint has turned this router away, its work grows again from one request in
        flight: the callers who were refused come back then, and it would turn them away again if
        they all reached it at once.

        Args:
            in_flight: Requests of this router in flight.
            now: Monotonic seconds.
        """
        hold = self.current(now)
        turned_away_until = self.end(HoldReason.TURNED_AWAY)
        if hold is not None or turned_away_until == -math.inf:
            return hold
        # The request is permitted from the first step on whose power of two exceeds `in_flight`.
        until = turned_away_until + RAMP_STEP_S * in_flight.bit_length()
        return Hold(HoldReason.TURNED_AWAY, until) if now < until else None


def come_back_s(wait_s: float, share: float) -> float:
    """Returns the seconds after which a refused caller should come back.

    Args:
        wait_s: Seconds until the first endpoint is no longer held back.
        share: From 0 to 1, different for each request, so that callers do not return together.
    """
    return wait_s + share * max(MIN_SPREAD_S, SPREAD_RATIO * wait_s)
