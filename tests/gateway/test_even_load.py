"""Tests of how evenly many routers load endpoints, on virtual time and without a network."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from sequoiadrum.gateway.model import StorePosition
from tests.gateway.even_load_fleet import (
    AMENDOA_ENGINES,
    AMENDOA_PLAIN,
    CHOICES,
    VBWT_ENGINES,
    VBWT_PLAIN,
    EvenLoadCase,
    EvenLoadFleet,
)
from tests.gateway.simulated_fleet import BOUND_ALLOWANCE, BOUND_MULTIPLE

if TYPE_CHECKING:
    from tests.gateway.even_load_fleet import Spread

SEEDS = (1, 2, 3)
BUSY_PLAIN = evolve(VBWT_PLAIN, requests_per_s=400.0, simulated_s=10.0)
BUSY_ENGINES = evolve(
    VBWT_ENGINES, instances=40, endpoints=15, requests_per_s=235.0, simulated_s=10.0, parts=200
)
"""A third of the engines, with as many requests for each as on the heaviest days."""


def _spreads(case: EvenLoadCase, choice: str) -> list[Spread]:
    return [EvenLoadFleet(seed, case, CHOICES[choice]).measure() for seed in SEEDS]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


class PlainServiceTest(unittest.TestCase):
    """Short calls to a few servers on shared hosts."""

    def test_many_routers_leave_calls_waiting_for_less_time(self) -> None:
        """Guards against servers that are overrun in turns while others idle."""
        for instances in (69, 200):
            case = evolve(BUSY_PLAIN, instances=instances)
            even, present = _spreads(case, "even"), _spreads(case, "as it is")
            with self.subTest(instances=instances):
                self.assertLess(
                    _mean([s.wait_mean_s for s in even]), _mean([s.wait_mean_s for s in present])
                )
                self.assertLess(
                    _mean([s.time_p99_s for s in even]), _mean([s.time_p99_s for s in present])
                )

    def test_old_reports_make_the_least_loaded_choice_worse_than_random(self) -> None:
        """Guards against a fleet model in which old knowledge does no harm."""
        least, random = _spreads(BUSY_PLAIN, "least, old reports"), _spreads(BUSY_PLAIN, "random")
        exact = _spreads(BUSY_PLAIN, "least, exact")
        self.assertGreater(
            _mean([s.wait_mean_s for s in least]), 2 * _mean([s.wait_mean_s for s in random])
        )
        self.assertLess(max(s.waits_while_idle for s in exact), 0.01)

    def test_few_routers_are_no_worse_than_before(self) -> None:
        """Guards against random choices of routers that know much of the load themselves."""
        for instances in (1, 14):
            case = evolve(BUSY_PLAIN, instances=instances)
            even, present = _spreads(case, "even"), _spreads(case, "as it is")
            with self.subTest(instances=instances):
                self.assertLessEqual(
                    _mean([s.wait_mean_s for s in even]), _mean([s.wait_mean_s for s in present])
                )

    def test_quiet_service_keeps_calls_in_their_failure_domain(self) -> None:
        """Guards against bytes between failure domains that nobody gains from."""
        for spread in _spreads(evolve(VBWT_PLAIN, requests_per_s=84.0), "even"):
            self.assertLess(spread.away, 0.02)


class EngineTest(unittest.TestCase):
    """Chats to engines on shared hosts."""

    def test_fewer_chats_wait_while_engines_have_room(self) -> None:
        """Guards against chats that wait at their full home while other engines have slots."""
        even, present = _spreads(BUSY_ENGINES, "even"), _spreads(BUSY_ENGINES, "as it is")
        self.assertLess(
            _mean([s.wait_mean_s for s in even]), 0.7 * _mean([s.wait_mean_s for s in present])
        )

    def test_chats_stay_at_their_homes_at_usual_load(self) -> None:
        """Guards against prompt parts that are read again though nobody would have waited."""
        case = evolve(BUSY_ENGINES, requests_per_s=80.0)
        even, present = _spreads(case, "even"), _spreads(case, "as it is")
        self.assertLess(_mean([s.away for s in even]), _mean([s.away for s in present]) + 0.03)


class EarlierDeploymentTest(unittest.TestCase):
    """Deployments whose endpoints state nothing of their hosts."""

    def test_choice_stays_as_it_was(self) -> None:
        """Guards against a changed choice where nothing calls for it."""
        for case in (AMENDOA_PLAIN, AMENDOA_ENGINES):
            silent = evolve(case, states_slowdown=False, simulated_s=6.0)
            self.assertEqual(
                EvenLoadFleet(1, silent, CHOICES["even"]).measure(),
                EvenLoadFleet(1, silent, CHOICES["as it is"]).measure(),
            )


class FailureTest(unittest.TestCase):
    """Reports that stop or are false, endpoints that come or go, a wrong number of routers."""

    def test_reports_stop(self) -> None:
        """Guards against routers that crowd endpoints by loads of before the hubs were lost."""
        waits = {"even": 0.0, "random": 0.0}
        for name in waits:
            for seed in SEEDS:
                fleet = EvenLoadFleet(seed, BUSY_PLAIN, CHOICES[name])
                fleet.reports_until = fleet.now + 4.0
                waits[name] += fleet.measure().wait_mean_s
        self.assertLess(waits["even"], 1.2 * waits["random"])

    def test_false_speeds_keep_the_load_bound(self) -> None:
        """Guards against an engine that takes all chats, or none, by a false figure."""
        for stated in (0.001, 1_000.0):
            fleet = EvenLoadFleet(1, BUSY_ENGINES, CHOICES["even"])
            fleet.stated_by_id["e3"] = stated
            fleet.measure()
            shares = fleet.share_by_id
            mean = sum(shares.values()) / len(shares)
            with self.subTest(stated=stated):
                self.assertLess(shares["e3"], BOUND_MULTIPLE * mean)
                self.assertGreater(shares["e3"], 0.1 * mean)

    def test_endpoint_that_comes_is_used_and_not_overrun(self) -> None:
        """Guards against a new, empty server that all routers choose at the same moment."""
        fleet = EvenLoadFleet(1, BUSY_PLAIN, CHOICES["even"])
        loads: list[tuple[int, float]] = []

        def sample() -> None:
            servers = list(fleet.server_by_id.values())
            mean = sum(s.load for s in servers) / len(servers)
            loads.append((fleet.server_by_id["e4"].load, mean))
            fleet.at(0.01, sample)

        fleet.at(5.0, lambda: fleet.add_endpoint(4))
        fleet.at(5.01, sample)
        fleet.measure()
        above = [load > BOUND_MULTIPLE * mean + BOUND_ALLOWANCE for load, mean in loads]
        self.assertLess(sum(above) / len(above), 0.03)
        self.assertGreater(sum(load for load, _ in loads), 0)

    def test_endpoint_that_goes_leaves_its_load_to_all_others(self) -> None:
        """Guards against one neighbour that takes all calls of a server that was lost."""
        fleet = EvenLoadFleet(1, evolve(BUSY_PLAIN, requests_per_s=260.0), CHOICES["even"])

        def remove() -> None:
            for pool in fleet.pools:
                pool.remove("e0", StorePosition(0, 9), float("-inf"))
                pool.expire()

        fleet.at(5.0, remove)
        spread = fleet.measure()
        self.assertEqual(spread.refused, 0)
        others = [share for name, share in fleet.share_by_id.items() if name != "e0"]
        self.assertLess(max(others), 1.5 * sum(others) / len(others))

    def test_wrong_number_of_routers_changes_nothing(self) -> None:
        """Guards against a share of room that twice or half as many routers would take."""
        for case in (BUSY_PLAIN, evolve(BUSY_ENGINES, simulated_s=6.0)):
            right = EvenLoadFleet(1, case, CHOICES["even"]).measure()
            for factor in (0.5, 2.0):
                counted = round(case.instances * factor)
                wrong = EvenLoadFleet(1, case, CHOICES["even"], counted_instances=counted)
                with self.subTest(is_plain=case.is_plain, factor=factor):
                    self.assertAlmostEqual(
                        wrong.measure().wait_mean_s, right.wait_mean_s, delta=0.005
                    )


if __name__ == "__main__":
    unittest.main()
