"""Estimates which prompt parts are in demand over the whole fleet, without I/O.

Load it answers: one chat or document that suddenly gets much of the traffic. Each of many instances
sees only a few of these requests and would send all of them to the same home engine.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import Final

from attrs import define, field

WINDOW_S: Final = 8.0
"""Requests are counted for so long; a surge of a few seconds is seen while it lasts."""
MAX_PARTS: Final = 2_000
"""Parts that are counted; the least recently used ones are forgotten."""
MAX_REPLICAS: Final = 24
"""Engines that share the requests of one part; each of them has to keep a copy of it."""
LOAD_SHARE: Final = 0.25
"""What one part may add to the load of an engine, as a share of the mean load. Above 1 it could not
stay below twice the mean; instances that have not noticed the surge yet add to the first one."""
FIRST_DURATION_S: Final = 1.0
"""Assumed time that a request stays at an engine until some have ended."""
DURATION_WEIGHT: Final = 0.05
"""Weight of the latest request in the mean duration."""


@define(eq=False)
class HotParts:
    """Requests of this instance by prompt part, and how long they stay at their engines."""

    _sent_at_by_part: OrderedDict[str, deque[float]] = field(factory=OrderedDict)
    _duration_s: float = FIRST_DURATION_S

    def record_request(self, part: str, now: float) -> int:
        """Counts a request; gives the number of others in the window."""
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
        """Takes how long a request was at its engine."""
        self._duration_s += DURATION_WEIGHT * (seconds - self._duration_s)

    def replicas(self, others: int, instances: int, mean_load: float) -> int:
        """Gives the number of engines that should share the requests of a part.

        Args:
            others: Requests of this instance for the part in the window, beside the present one.
            instances: Routers, which are assumed to get as many.
            mean_load: Requests at an engine in the mean.
        """
        in_flight = others * instances / WINDOW_S * self._duration_s
        needed = math.ceil(in_flight / (LOAD_SHARE * max(1.0, mean_load)))
        return max(1, min(MAX_REPLICAS, needed))
