"""Hot prompt parts before a large fleet, of which each instance sees only a sliver."""

from __future__ import annotations

import heapq
import random
import unittest
from typing import Final
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.hot_parts import MAX_REPLICAS, WINDOW_S, HotParts
from sequoiadrum.gateway.model import EngineLoad, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from tests.gateway.builders import a_call, a_service, an_entry, bounds

INSTANCES: Final = 100
ENGINES: Final = 56
SLOTS: Final = 12
REQUESTS_PER_S: Final = 190.0
"""Those that stay longest on the larger site: summaries and drafts."""
STAY_S: Final = 1.2
HOT_SHARE: Final = 0.18
"""Of all requests, for one part."""
PARTS: Final = 600
SECONDS: Final = 14.0
HOT_FROM_S: Final = 4.0
BOUND_MULTIPLE: Final = 2.0
BOUND_ALLOWANCE: Final = 3
"""No engine may carry more than the multiple of the mean and this many requests."""
ALLOWED_SHARE: Final = 0.03
"""Requests that may meet an engine above the bound."""


class _Fleet:
    """A hundred instances that each place their own requests, and engines that tell their load."""

    def __init__(self, seed: int) -> None:
        self.now = 100.0
        self._rng = random.Random(seed)
        self._pools = [EndpointPool(bounds(), lambda: INSTANCES) for _ in range(INSTANCES)]
        for pool in self._pools:
            for n in range(ENGINES):
                entry = an_entry(f"e{n}", service="model", slots=SLOTS)
                pool.apply(entry, is_newly_joined=False)
        self._load_by_engine = {f"e{n}": 0 for n in range(ENGINES)}
        self._running: list[tuple[float, int, int, EndpointPlacement]] = []
        self.placed = 0
        self.above_bound = 0

    def clock(self) -> float:
        """Gives the virtual time."""
        return self.now

    def play(self) -> float:
        """Gives the share of requests that met an engine above the bound while a part was hot."""
        number, started = 0, self.now
        while self.now < started + SECONDS:
            self.now += self._rng.expovariate(REQUESTS_PER_S)
            number += 1
            while self._running and self._running[0][0] <= self.now:
                self._end(*heapq.heappop(self._running))
            is_hot = self.now > started + HOT_FROM_S and self._rng.random() < HOT_SHARE
            part = "hot" if is_hot else f"part{self._rng.randrange(PARTS)}"
            self._place(number, part, counts=self.now > started + HOT_FROM_S + 3.0)
        return self.above_bound / self.placed

    def _place(self, number: int, part: str, counts: bool) -> None:
        index = self._rng.randrange(INSTANCES)
        call = a_call(f"q{number}", (("system", 500), (part, 9_000), (f"own{number}", 300)))
        place = self._pools[index].take(
            PlacementRequest(a_service("model", SLOTS), call, "z1", False)
        )
        assert not isinstance(place, PlacementFailure)
        load = self._load_by_engine[place.endpoint.id]
        mean = sum(self._load_by_engine.values()) / ENGINES
        if counts:
            self.placed += 1
            self.above_bound += load > BOUND_MULTIPLE * mean + BOUND_ALLOWANCE
        self._load_by_engine[place.endpoint.id] += 1
        self._tell(index, place)
        stay_s = self._rng.uniform(0.5, 1.5) * STAY_S
        heapq.heappush(self._running, (self.now + stay_s, number, index, place))

    def _tell(self, index: int, place: EndpointPlacement) -> None:
        load = EngineLoad(self._load_by_engine[place.endpoint.id], 0, SLOTS)
        head = ResponseHead(200, "OK", "q", None, False, True, load, None, ())
        self._pools[index].record_response(place, head, failed=False)

    def _end(self, at: float, number: int, index: int, place: EndpointPlacement) -> None:
        self._load_by_engine[place.endpoint.id] -= 1
        self._pools[index].release(place)


class HotPartTest(unittest.TestCase):
    """One part gets much of the traffic of a large fleet."""

    def _share(self, seed: int) -> float:
        fleet = _Fleet(seed)
        with mock.patch.object(clock, "now", fleet.clock):
            return fleet.play()

    def test_hot_part_is_shared_by_several_engines(self) -> None:
        """Guards against a hundred instances that each send a few requests to one home engine."""
        for seed in (1, 2, 3):
            with self.subTest(seed):
                self.assertLessEqual(self._share(seed), ALLOWED_SHARE)

    def test_sharing_halves_the_requests_above_the_bound(self) -> None:
        """Guards against replicas that bring nothing beside one home for each part."""
        shared = self._share(1)
        with mock.patch.object(HotParts, "replicas", return_value=1):
            self.assertLess(shared, self._share(1) / 2)

    def test_rare_part_keeps_one_home(self) -> None:
        """Guards against copies of contexts that nobody else asks for."""
        self.assertEqual(HotParts().replicas(0, 100, 4.0), 1)
        # A chat that returns within seconds is no surge on a small fleet with busy engines.
        self.assertEqual(HotParts().replicas(1, 14, 17.0), 1)

    def test_replicas_follow_the_estimate(self) -> None:
        """Guards against an estimate that ignores the other instances, or grows without a bound."""
        parts = HotParts()
        self.assertGreater(parts.replicas(1, 100, 4.0), 1)
        self.assertEqual(parts.replicas(1_000, 100, 1.0), MAX_REPLICAS)

    def test_surge_is_forgotten(self) -> None:
        """Guards against a part that stays spread after its surge."""
        parts = HotParts()
        for n in range(5):
            parts.record_request("p", 100.0 + n / 10)
        self.assertEqual(parts.record_request("p", 101.0), 5)
        self.assertEqual(parts.record_request("p", 102.0 + WINDOW_S), 0)


if __name__ == "__main__":
    unittest.main()
