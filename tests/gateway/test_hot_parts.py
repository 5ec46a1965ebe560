"""Simulates hot prompt parts on a large fleet, where each instance sees few of the requests."""

from __future__ import annotations

import unittest
from typing import Final
from unittest import mock

from sequoiadrum.gateway.hot_parts import (
    MAX_FLEET_AGE_S,
    MAX_REPLICAS,
    WINDOW_S,
    HotParts,
    part_key,
)
from tests.gateway.simulated_fleet import FleetSize, SimulatedFleet

ALLOWED_SHARE: Final = 0.03
"""Share of the requests that may be sent to an engine above the bound."""


class HotPartTest(unittest.TestCase):
    """One prompt part receives much of the traffic of a large fleet."""

    def _share_above_bound(self, seed: int, shares_loads: bool = True) -> float:
        return SimulatedFleet(seed, FleetSize(), shares_loads).run()

    def test_hot_part_is_shared_by_several_engines(self) -> None:
        """Guards against overload of a home engine that 100 instances each send few requests."""
        for seed in (1, 2, 3):
            with self.subTest(seed):
                self.assertLessEqual(self._share_above_bound(seed), ALLOWED_SHARE)

    def test_bound_holds_in_small_and_large_fleets(self) -> None:
        """Guards against a placement that keeps the bound at one size only."""
        small = FleetSize(instances=14, engines=5, slots=128, requests_per_s=60)
        large = FleetSize(
            instances=200,
            engines=39,
            slots=24,
            failure_domains=6,
            requests_per_s=300,
            mean_duration_s=0.6,
        )
        for size in (small, large):
            with self.subTest(size.instances):
                self.assertLessEqual(SimulatedFleet(1, size).run(), ALLOWED_SHARE)

    def test_sharing_halves_the_requests_above_the_bound(self) -> None:
        """Guards against replicas that balance the load no better than one home engine per part."""
        shared = self._share_above_bound(1, shares_loads=False)
        with mock.patch.object(HotParts, "replicas", return_value=1):
            self.assertLess(shared, self._share_above_bound(1, shares_loads=False) / 2)

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

    def test_requests_of_the_fleet_replace_the_estimate(self) -> None:
        """Guards against a surge that each instance must detect by itself."""
        parts = HotParts()
        self.assertIsNone(parts.replicas_in_fleet("p", 4.0, 100.0))
        parts.set_fleet_requests({part_key("p"): 60}, 100.0)
        self.assertEqual(parts.replicas_in_fleet("q", 4.0, 100.0), 1)
        self.assertEqual(parts.replicas_in_fleet("p", 4.0, 100.0), 19)
        self.assertIsNone(parts.replicas_in_fleet("p", 4.0, 101.0 + MAX_FLEET_AGE_S))

    def test_report_has_the_requests_of_the_last_seconds(self) -> None:
        """Guards against reports of a surge that has ended."""
        parts = HotParts()
        for at in (100.0, 101.0, 101.5):
            parts.record_request("p", at)
        self.assertEqual(parts.recent_requests(102.5), {part_key("p"): 2})

    def test_surge_is_forgotten(self) -> None:
        """Guards against a part that keeps its replicas after the end of a surge."""
        parts = HotParts()
        for n in range(5):
            parts.record_request("p", 100.0 + n / 10)
        self.assertEqual(parts.record_request("p", 101.0), 5)
        self.assertEqual(parts.record_request("p", 102.0 + WINDOW_S), 0)


if __name__ == "__main__":
    unittest.main()
