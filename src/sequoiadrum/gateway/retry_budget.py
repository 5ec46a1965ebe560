"""Limits retries to a ratio of the requests; performs no I/O."""

from __future__ import annotations

from collections import deque
from typing import Final

from attrs import define, field

SAFETY_FACTOR: Final = 0.8
"""Part of the allowed retries that is used; for seconds, instances can assume different numbers of
instances."""


@define(eq=False)
class RetryBudget:
    """The retry budget of one instance for one service, within a sliding window.

    The bound applies to all instances together. Each instance may spend the ratio of its own
    requests, plus an equal share of the slack.
    """

    ratio: float
    """Retries allowed per request."""
    slack: float
    """Retries allowed in a window in addition to the ratio, for all instances together."""
    window_s: float
    _requests: deque[float] = field(factory=deque)
    _retries: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Counts a request of a caller to the service."""
        self._requests.append(now)
        self._expire(now)

    def spend(self, now: float, instances: int) -> bool:
        """Spends one retry; returns False if the budget is exhausted.

        Args:
            now: Monotonic seconds.
            instances: Number of routers that share the slack.
        """
        self._expire(now)
        allowed = SAFETY_FACTOR * (
            self.ratio * len(self._requests) + self.slack / max(1, instances)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        window_start = now - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start:
                times.popleft()
