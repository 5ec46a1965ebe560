"""Limits repeated sends to a share of the requests, without I/O."""

from __future__ import annotations

from collections import deque
from typing import Final

from attrs import define, field

SAFETY_SHARE: Final = 0.8
"""Part of the allowed repeats that is used: instances disagree for seconds on how many they are."""


@define(eq=False)
class RetryBudget:
    """Repeats of one instance to one service within a sliding window.

    The bound holds for all instances together. Each one spends the ratio on its own requests and
    an equal share of the slack.
    """

    ratio: float
    """Repeats allowed for each request."""
    slack: float
    """Repeats allowed over all instances beside the ratio."""
    window_s: float
    _requests: deque[float] = field(factory=deque)
    _repeats: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Counts a request of a client for the service."""
        self._requests.append(now)
        self._expire(now)

    def spend(self, now: float, instances: int) -> bool:
        """Takes one repeat; False when the budget is used up.

        Args:
            now: Monotonic seconds.
            instances: Routers that share the slack.
        """
        self._expire(now)
        allowed = SAFETY_SHARE * (self.ratio * len(self._requests) + self.slack / max(1, instances))
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        horizon = now - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= horizon:
                times.popleft()
