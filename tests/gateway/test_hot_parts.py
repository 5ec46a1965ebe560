"""Simulates hot prompt parts on a large fleet, where each instance sees few of the requests."""

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
"""Rate of the requests that are longest in flight on the larger site: summaries and drafts."""
MEAN_DURATION_S: Final = 1.2
"""Mean time that a request is in flight."""
HOT_SHARE: Final = 0.18
"""Share of all requests that are for the hot part."""
PARTS: Final = 600
SIMULATED_S: Final = 14.0
HOT_FROM_S: Final = 4.0
BOUND_MULTIPLE: Final = 2.0
BOUND_ALLOWANCE: Final = 3
"""No engine may carry more requests than the multiple of the mean plus this number."""
ALLOWED_SHARE: Final = 0.03
"""Share of the requests that may be sent to an engine above the bound."""


class _Fleet:
    """Simulates 100 instances that place requests, and engines that report their load."""

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
        """Returns the simulated time in seconds."""
        return self.now

    def run(self) -> float:
        """Returns the share of requests sent to an engine above the bound while a part is hot."""
        number, started = 0, self.now
        while self.now < started + SIMULATED_S:
            self.now += self._rng.expovariate(REQUESTS_PER_S)
            number += 1
            while self._running and self._running[0][0] <= self.now:
                self._complete(*heapq.heappop(self._running))
            is_hot = self.now > started + HOT_FROM_S and self._rng.random() < HOT_SHARE
            part = "hot" if is_hot else f"part{self._rng.randrange(PARTS)}"
            self._place_request(number, part, is_measured=self.now > started + HOT_FROM_S + 3.0)
        return self.above_bound / self.placed

    def _place_request(self, number: int, part: str, is_measured: bool) -> None:
        index = self._rng.randrange(INSTANCES)
        call = a_call(f"q{number}", (("system", 500), (part, 9_000), (f"own{number}", 300)))
        placement = self._pools[index].take(
            PlacementRequest(a_service("model", SLOTS), call, "z1", False)
        )
        assert not isinstance(placement, PlacementFailure)
        load = self._load_by_engine[placement.endpoint.id]
        mean = sum(self._load_by_engine.values()) / ENGINES
        if is_measured:
            self.placed += 1
            self.above_bound += load > BOUND_MULTIPLE * mean + BOUND_ALLOWANCE
        self._load_by_engine[placement.endpoint.id] += 1
        self._report_load(index, placement)
        duration_s = self._rng.uniform(0.5, 1.5) * MEAN_DURATION_S
        heapq.heappush(self._running, (self.now + duration_s, number, index, placement))

    def _report_load(self, index: int, placement: EndpointPlacement) -> None:
        load = EngineLoad(self._load_by_engine[placement.endpoint.id], 0, SLOTS)
        head = ResponseHead(200, "OK", "q", None, False, True, load, None, ())
        self._pools[index].record_response(placement, head, failed=False)

    def _complete(self, at: float, number: int, index: int, placement: EndpointPlacement) -> None:
        self._load_by_engine[placement.endpoint.id] -= 1
        self._pools[index].release(placement)


class HotPartTest(unittest.TestCase):
    """One prompt part receives much of the traffic of a large fleet."""

    def _share_above_bound(self, seed: int) -> float:
        fleet = _Fleet(seed)
        with mock.patch.object(clock, "now", fleet.clock):
            return fleet.run()

    def test_hot_part_is_shared_by_several_engines(self) -> None:
        """Guards against overload of a home engine that 100 instances each send few requests."""
        for seed in (1, 2, 3):
            with self.subTest(seed):
                self.assertLessEqual(self._share_above_bound(seed), ALLOWED_SHARE)

    def test_sharing_halves_the_requests_above_the_bound(self) -> None:
        """Guards against replicas that balance the load no better than one home engine per part."""
        shared = self._share_above_bound(1)
        with mock.patch.object(HotParts, "replicas", return_value=1):
            self.assertLess(shared, self._share_above_bound(1) / 2)

    def test_rare_part_keeps_one_home(self) -> None:
        """Guards against replicas of parts that are rarely requested."""
        self.assertEqual(HotParts().replicas(0, 100, 4.0), 1)
        # On a small fleet with busy engines, a chat that returns within seconds is not a hot part.
        self.assertEqual(HotParts().replicas(1, 14, 17.0), 1)

    def test_replicas_follow_the_estimate(self) -> None:
        """Guards against an estimate that ignores the other instances or has no upper limit."""
        parts = HotParts()
        self.assertGreater(parts.replicas(1, 100, 4.0), 1)
        self.assertEqual(parts.replicas(1_000, 100, 1.0), MAX_REPLICAS)

    def test_surge_is_forgotten(self) -> None:
        """Guards against a part that keeps its replicas after the end of a surge."""
        parts = HotParts()
        for n in range(5):
            parts.record_request("p", 100.0 + n / 10)
        self.assertEqual(parts.record_request("p", 101.0), 5)
        self.assertEqual(parts.record_request("p", 102.0 + WINDOW_S), 0)


if __name__ == "__main__":
    unittest.main()
