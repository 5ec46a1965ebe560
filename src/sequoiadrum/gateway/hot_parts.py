"""Estimates how many engines should serve a prompt part that is hot; performs no I/O.

Designed for a single chat or document that suddenly receives much of the traffic. Each of many
instances sees only a few of these requests and would send all of them to the same home engine.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import Final

from attrs import define, field

WINDOW_S: Final = 8.0
"""Requests are counted for this time; short enough to detect a surge of a few seconds while it
lasts."""
MAX_PARTS: Final = 2_000
"""Parts whose requests are counted; the least recently used part is evicted."""
MAX_REPLICAS: Final = 24
"""Engines among which requests for one part are divided; each of them must hold a copy of it."""
MAX_PART_LOAD_SHARE: Final = 0.25
"""Load that one part may add to an engine, as a share of the mean load. Above 1, the engine could
not stay below twice the mean. Well below 1, because instances that have not detected the surge yet
send all their requests for the part to its home engine."""
INITIAL_DURATION_S: Final = 1.0
"""Time that a request is assumed to be in flight before any has ended."""
DURATION_WEIGHT: Final = 0.05
"""Weight of the latest request in the moving average of durations."""


@define(eq=False)
class HotParts:
    """Recent requests of this instance by prompt part, and their mean time in flight."""

    _sent_at_by_part: OrderedDict[str, deque[float]] = field(factory=OrderedDict)
    _mean_duration_s: float = INITIAL_DURATION_S

    def record_request(self, part: str, now: float) -> int:
        """Counts a request and returns the number of earlier ones for the part in the window."""
        sent_at = self._sent_at_by_part.setdefault(part, deque())
        self._sent_at_by_part.move_to_end(part)
        if len(self._sent_at_by_part) > MAX_PARTS:
            self._sent_at_by_part.popitem(last=False)
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        others = len(sent_at)
        sent_at.append(now)
        return others

    def record_duration(self, seconds: float) -> None:
        """Updates the mean duration with the time that a request was in flight."""
        self._mean_duration_s += DURATION_WEIGHT * (seconds - self._mean_duration_s)

    def replicas(self, others: int, instances: int, mean_load: float) -> int:
        """Returns the number of engines among which requests for a part should be divided.

        Args:
            others: Earlier requests of this instance for the part in the window.
            instances: Number of routers; each is assumed to receive as many.
            mean_load: Mean number of requests at an engine.
        """
        in_flight = others * instances / WINDOW_S * self._mean_duration_s
        needed = math.ceil(in_flight / (MAX_PART_LOAD_SHARE * max(1.0, mean_load)))
        return max(1, min(MAX_REPLICAS, needed))
