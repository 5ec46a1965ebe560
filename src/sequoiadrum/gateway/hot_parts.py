"""Estimates how many engines should serve a prompt part that is hot; performs no I/O.

Designed for a single chat or document that suddenly receives much of the traffic. Each of many
instances sees only a few of these requests and would send all of them to the same home engine. The
instances therefore share how many requests they received for each part.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, Final

from attrs import define, field

from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW_S: Final = 8.0
"""Own requests are counted for this time; short enough to detect a surge of a few seconds while it
lasts."""
FLEET_WINDOW_S: Final = 2.0
"""Requests of the fleet are counted for this time; there are many more of them than own ones."""
MAX_FLEET_AGE_S: Final = 1.5
"""Requests of the fleet that were received longer ago are not used."""
MAX_RECENT_REQUESTS: Final = 500
"""Own requests that are kept for a report to the other instances."""
MAX_PARTS: Final = 2_000
"""Parts whose requests are counted; the least recently used part is evicted."""
MAX_REPLICAS: Final = 64
"""Engines among which requests for one part are divided; each of them must hold a copy of it."""
MAX_PART_LOAD_SHARE: Final = 0.4
"""Load that one part may add to an engine, as a share of the mean load. Above 1, the engine could
not stay below twice the mean. Below 1, because the other instances detect a surge with a delay."""
INITIAL_DURATION_S: Final = 1.0
"""Time that a request is assumed to be in flight before any has ended."""
DURATION_WEIGHT: Final = 0.05
"""Weight of the latest request in the moving average of durations."""


@define(eq=False)
class HotParts:
    """Recent requests of this instance by prompt part, and their mean time in flight."""

    _sent_at_by_part: OrderedDict[str, deque[float]] = field(factory=OrderedDict)
    _mean_duration_s: float = INITIAL_DURATION_S
    _recent: deque[tuple[float, int]] = field(factory=lambda: deque(maxlen=MAX_RECENT_REQUESTS))
    """Time and part of each own request in `FLEET_WINDOW_S`."""
    _fleet_requests_by_part: Mapping[int, int] = field(factory=dict)
    _fleet_received_at: float = float("-inf")

    def record_request(self, part: str, now: float) -> int:
        """Counts a request and returns the number of earlier ones for the part in the window."""
        self._recent.append((now, part_key(part)))
        others = self.own_requests(part, now)
        self._sent_at_by_part[part].append(now)
        return others

    def own_requests(self, part: str, now: float) -> int:
        """Returns the number of own requests for a part in the window."""
        sent_at = self._sent_at_by_part.setdefault(part, deque())
        self._sent_at_by_part.move_to_end(part)
        if len(self._sent_at_by_part) > MAX_PARTS:
            self._sent_at_by_part.popitem(last=False)
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        return len(sent_at)

    def preview_requests(self, part: str, now: float) -> int:
        """Returns the same number as `own_requests`, without counting the part as used."""
        return sum(at > now - WINDOW_S for at in self._sent_at_by_part.get(part, ()))

    def recent_requests(self, now: float) -> dict[int, int]:
        """Returns the own requests of the last `FLEET_WINDOW_S` by `part_key`."""
        while self._recent and self._recent[0][0] <= now - FLEET_WINDOW_S:
            self._recent.popleft()
        return Counter(key for _, key in self._recent)

    def set_fleet_requests(self, requests_by_part: Mapping[int, int], now: float) -> None:
        """Sets the requests of all instances in `FLEET_WINDOW_S`, for the most requested parts."""
        self._fleet_requests_by_part = requests_by_part
        self._fleet_received_at = now

    def record_duration(self, seconds: float) -> None:
        """Updates the mean duration with the time that a request was in flight."""
        self._mean_duration_s += DURATION_WEIGHT * (seconds - self._mean_duration_s)

    def replicas_in_fleet(self, part: str, mean_load: float, now: float) -> int | None:
        """Returns the number of engines for a part by the requests of all instances.

        Returns:
            None if these requests are not known, or were received too long ago.
        """
        if now - self._fleet_received_at > MAX_FLEET_AGE_S:
            return None
        requests = self._fleet_requests_by_part.get(part_key(part), 0)
        return self._engines_for(requests / FLEET_WINDOW_S, mean_load)

    def replicas(self, others: int, instances: int, mean_load: float) -> int:
        """Returns the number of engines for a part by the requests of this instance alone.

        Args:
            others: Earlier requests of this instance for the part in the window.
            instances: Number of routers; each is assumed to receive as many.
            mean_load: Mean number of requests at an engine.
        """
        return self._engines_for(others * instances / WINDOW_S, mean_load)

    def _engines_for(self, requests_per_s: float, mean_load: float) -> int:
        in_flight = requests_per_s * self._mean_duration_s
        needed = math.ceil(in_flight / (MAX_PART_LOAD_SHARE * max(1.0, mean_load)))
        return max(1, min(MAX_REPLICAS, needed))


def part_key(part: str) -> int:
    """Returns the number that identifies a part in reports: 31 bits of the hash of its id."""
    return stable_hash("part", part) & 0x7FFF_FFFF
