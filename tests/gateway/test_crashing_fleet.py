"""Tests of the rules on crashing prompt parts over simulated days."""

from __future__ import annotations

import random
import unittest

from tests.gateway.crashing_fleet import ALLOWED_LATE, CrashingFleet, Day, random_day

DAYS = 120
LATE_SEEDS = (399, 668)
FURTHER_LATE_SEEDS = (927, 1851, 1997)


class CrashingFleetTest(unittest.TestCase):
    """Routers with reports of their own find the part, whenever and however it crashes engines."""

    def test_both_rules_hold_on_random_days(self) -> None:
        """Guards against engines that crash on one part, and against refusing healthy requests."""
        judged = 0
        for seed in range(DAYS):
            fleet, day = _simulate(seed)
            with self.subTest(seed=seed, day=day):
                self.assertLessEqual(fleet.late_arrivals(), ALLOWED_LATE)
                shares = fleet.shares_begun()
                if shares is not None:
                    judged += 1
                    self.assertGreaterEqual(shares[1], shares[0] / 2)
        self.assertGreater(judged, DAYS // 2)

    def test_part_is_found_beside_a_chat_that_met_the_same_crashes(self) -> None:
        """Guards against a healthy new chat that is refused in place of the part beside it."""
        for seed in LATE_SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(_simulate(seed)[0].late_arrivals(), ALLOWED_LATE)

    def test_part_is_found_although_healthy_parts_met_nearly_as_many_crashes(self) -> None:
        """Guards against a healthy part that is refused while the other one crashes engines."""
        for seed in FURTHER_LATE_SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(_simulate(seed)[0].late_arrivals(), ALLOWED_LATE)


def _simulate(seed: int) -> tuple[CrashingFleet, Day]:
    rng = random.Random(seed)
    day = random_day(rng)
    fleet = CrashingFleet(day, rng)
    fleet.run()
    return fleet, day


if __name__ == "__main__":
    unittest.main()
