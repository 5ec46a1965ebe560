"""Tests of the admission control: what callers get under load, beside a fleet without it."""

from __future__ import annotations

import math
import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve

from sequoiadrum.gateway.admission_control import (
    KEPT_SHARE,
    MAX_RETURN_S,
    MAX_WAIT_SHARE,
    MIN_ACCOUNT_SHARE,
    AdmissionControl,
    Demand,
    Outcome,
    ReturnQueue,
    account_shares,
    priority_shares,
)
from sequoiadrum.gateway.room import Expectation, Room
from tests.gateway.simulated_room import CALM_S, Kind, Load, SimulatedRoom

if TYPE_CHECKING:
    from collections.abc import Sequence

QUESTION: Final = Kind("question", 0, 30, 0.5, goal_s=0.4, patience_s=2.0, deadline_s=10.0)
DRAFT: Final = Kind("draft", 1, 20, 1.5, 0.8, 3.2, 12.0, prompt_tokens=8_000, first_s=0.15)
TAG: Final = Kind("tag", 2, 60, 0.1, goal_s=0.4, patience_s=2.0, deadline_s=3.0)
KINDS: Final = (QUESTION, DRAFT, TAG)
"""They need 51 of the 80 slots."""
CHANCE: Final = 0.05
"""Shares of served requests within this of each other are the same."""
SEEDS: Final = (1, 2, 3, 4, 5, 6)
"""The outcome of a short burst varies with the arrivals by more than the difference that counts."""
BURST: Final = Load(KINDS, simulated_s=14.0, busy_s=(0.0, 6.0), busy_rate_by_kind={"draft": 2.4})
"""Drafts alone need nine tenths of the slots for some seconds."""
OVERLOAD: Final = Load(
    KINDS, busy_s=(0.0, 15.0), busy_rate_by_kind=dict.fromkeys(("question", "draft", "tag"), 1.9)
)
HOT_ACCOUNT: Final = Load(KINDS, simulated_s=14.0, busy_s=(0.0, 6.5), hot_account_rate=12.0)
"""Half of all requests come from one account of twelve."""


class Results:
    """What callers got in some runs of a load, as means over the runs."""

    def __init__(self, load: Load, is_controlled: bool, seeds: Sequence[int] = SEEDS) -> None:
        self.load = load
        self._runs = [SimulatedRoom(load, is_controlled, seed).run() for seed in seeds]
        self.gave_up = sum(run.gave_up.total() for run in self._runs)
        self.most_at_engines = sum(run.most_at_engines for run in self._runs)
        self.refused = sum((run.refused for run in self._runs), Counter())

    def on_time(self, kind: str = "") -> float:
        """Returns the share of requests whose first event came within the goal."""
        return sum(run.share(run.on_time, kind) for run in self._runs) / len(self._runs)

    def served(self, kind: str = "", account: str = "") -> float:
        """Returns the share of requests that were served in full."""
        return sum(run.share(run.served, kind, account) for run in self._runs) / len(self._runs)

    def served_to_others(self) -> float:
        """Returns the share of the accounts that are not hot."""
        others = [f"a{n}" for n in range(1, self.load.accounts)]
        return sum(self.served(account=account) for account in others) / len(others)


_results: dict[tuple[int, bool], Results] = {}


def results(load: Load, is_controlled: bool) -> Results:
    """Returns the results of a load, which is played once."""
    key = (id(load), is_controlled)
    if key not in _results:
        _results[key] = Results(load, is_controlled, SEEDS if load is BURST else SEEDS[:2])
    return _results[key]


def a_demand(**changes: Any) -> Demand:
    """Returns the demand of a request whose caller waits for 10 s."""
    fields: dict[str, Any] = {
        "priority": 1,
        "account": "acme",
        "route": "r1",
        "wait_s": 10.0,
        "first_left_s": 3.0,
        "done_left_s": 10.0,
        "spread": 0.5,
    }
    return Demand(**{**fields, **changes})


def a_room(taken: float, slots: int = 100, queue: float = 0.0, own: int = 10) -> Room:
    """Returns a room of which this router has a part."""
    return Room(slots, taken, own, max(0.0, taken - slots), queue, is_fleet_known=True)


def decide(
    control: AdmissionControl,
    demand: Demand,
    room: Room,
    now: float = 0.0,
    expected: Expectation | None = None,
) -> Outcome:
    """Returns the outcome for a request of a service whose requests hold a slot for 1 s."""
    return control.decide(demand, room, expected, 1.0, 1.0, 0.5, 10, now).outcome


class LoadTest(unittest.TestCase):
    """What callers get while the slots of the engines are short."""

    def _check_no_kind_is_worse(self, load: Load) -> None:
        before, after = results(load, False), results(load, True)
        for kind in KINDS:
            with self.subTest(kind.name):
                self.assertGreater(after.on_time(kind.name), before.on_time(kind.name) - CHANCE)
                self.assertGreater(after.served(kind.name), before.served(kind.name) - CHANCE)

    def test_burst_of_long_drafts_costs_no_kind(self) -> None:
        """Guards against refusals in a short burst that the engines would have worked off."""
        before, after = results(BURST, False), results(BURST, True)
        for kind in KINDS:
            with self.subTest(kind.name):
                self.assertGreater(after.served(kind.name), before.served(kind.name) - CHANCE)
        self.assertGreater(after.on_time(), before.on_time() - CHANCE)
        self.assertLess(after.gave_up, before.gave_up)

    def test_overload_is_refused_instead_of_waiting(self) -> None:
        """Guards against queues in which callers wait until they give up."""
        before, after = results(OVERLOAD, False), results(OVERLOAD, True)
        worst_before, worst_after = (
            min(played.served(kind.name) for kind in KINDS) for played in (before, after)
        )
        self.assertGreater(worst_after, worst_before + CHANCE)
        self.assertGreater(after.on_time(), before.on_time() - CHANCE)
        self.assertLess(after.most_at_engines, before.most_at_engines)
        self.assertLess(after.gave_up, before.gave_up)
        self.assertGreater(after.served(), before.served())

    def test_urgent_kind_is_not_served_less_often(self) -> None:
        """Guards against refused questions while less urgent requests hold the slots."""
        for load in (BURST, OVERLOAD):
            after = results(load, True)
            self.assertGreater(after.served("question"), after.served("draft") - CHANCE)
            self.assertGreater(after.served("draft"), after.served("tag") - CHANCE)

    def test_hot_account_pays_before_the_others(self) -> None:
        """Guards against one account that takes the slots of all others."""
        self._check_no_kind_is_worse(HOT_ACCOUNT)
        before, after = results(HOT_ACCOUNT, False), results(HOT_ACCOUNT, True)
        self.assertGreater(after.served_to_others(), before.served_to_others() + CHANCE / 2)
        self.assertGreater(after.served_to_others(), after.served(account="a0") + CHANCE)
        self.assertGreater(after.refused[Outcome.ACCOUNT_SHARE], 0)

    def test_nobody_starves(self) -> None:
        """Guards against a kind or an account that gets far less than the others."""
        for load in (BURST, HOT_ACCOUNT):
            after = results(load, True)
            for kind in KINDS:
                self.assertGreater(after.served(kind.name), after.served() / 2)
            for account in range(load.accounts):
                self.assertGreater(after.served(account=f"a{account}"), after.served() / 2)

    def test_refuses_nothing_with_room(self) -> None:
        """Guards against refusals while there are slots, also where some engines are slow."""
        calm = Load(KINDS)
        uneven = Load(KINDS, speed_by_engine={0: 0.5, 1: 0.5})
        for load in (calm, uneven):
            self.assertEqual(SimulatedRoom(load, True).run().refused.total(), 0)


class FailureTest(unittest.TestCase):
    """Routers that know less than they should keep to a safe part of the slots."""

    def _check(self, **changes: Any) -> None:
        load = evolve(OVERLOAD, **changes)
        before, after = results(OVERLOAD, False), Results(load, True, SEEDS[:2])
        self.assertGreater(after.served(), before.served() - CHANCE)
        self.assertLess(after.most_at_engines, before.most_at_engines)

    def test_peers_fall_silent(self) -> None:
        """Guards against routers that admit all or nothing without reports of the others."""
        self._check(silent_from_s=1.0)

    def test_wrong_number_of_routers(self) -> None:
        """Guards against parts computed from a count of routers that is off by two."""
        for assumed in (0.5, 2.0):
            with self.subTest(assumed):
                self._check(assumed_routers=assumed)

    def test_too_many_assumed_routers_and_no_reports(self) -> None:
        """Guards against a router that refuses most requests since it never heard of others."""
        self._check(assumed_routers=2.0, silent_from_s=-CALM_S)


class DecisionTest(unittest.TestCase):
    """Single decisions."""

    def test_admits_all_in_calm(self) -> None:
        """Guards against refusals by an estimate while half of the slots are free."""
        late = Expectation(60.0, 50.0, 50.0)
        outcome = decide(AdmissionControl(), a_demand(), a_room(49), expected=late)
        self.assertIs(outcome, Outcome.ADMITTED)

    def test_refuses_at_once_what_cannot_be_served_in_time(self) -> None:
        """Guards against requests that wait until their callers give up."""
        late_first = Expectation(6.0, 4.0, 5.0)
        late_end = Expectation(2.0, 1.0, 11.0)
        in_time = Expectation(4.0, 2.0, 5.0)
        for expected, outcome in (
            (late_first, Outcome.TOO_LATE),
            (late_end, Outcome.TOO_LATE),
            (in_time, Outcome.ADMITTED),
            (None, Outcome.ADMITTED),
        ):
            with self.subTest(expected):
                control = AdmissionControl()
                self.assertIs(decide(control, a_demand(), a_room(120), 0.0, expected), outcome)

    def test_wait_is_tolerated_before_shares_apply(self) -> None:
        """Guards against refusals of requests that would be served after a short wait."""
        control = AdmissionControl()
        for n in range(200):
            outcome = decide(control, a_demand(), a_room(120), n / 100)
            self.assertIs(outcome, Outcome.ADMITTED)

    def test_router_keeps_to_its_part(self) -> None:
        """Guards against a router that admits more than its part of the slots."""
        control = AdmissionControl()
        admitted = [
            n
            for n in range(2_000)
            if decide(control, a_demand(), a_room(300, own=30), n / 100) is Outcome.ADMITTED
        ]
        # It has a tenth of all requests, and so of the 100 slots; each is held for 1 s.
        last_10_s = sum(n >= 1_000 for n in admitted)
        self.assertLessEqual(last_10_s, 110)
        self.assertGreaterEqual(last_10_s, 50)

    def test_caller_that_was_refused_is_preferred(self) -> None:
        """Guards against callers that return and are refused again while others get a slot."""
        control = AdmissionControl()
        outcomes: dict[bool, list[Outcome]] = {True: [], False: []}
        for n in range(2_000):
            is_returning = n % 4 == 0
            demand = a_demand(wait_s=8.0 if is_returning else 10.0)
            outcome = decide(control, demand, a_room(300, own=30), n / 50)
            outcomes[is_returning].append(outcome)
        share = {k: v.count(Outcome.ADMITTED) / len(v) for k, v in outcomes.items()}
        self.assertGreater(share[True], 1.3 * share[False])


class BytesTest(unittest.TestCase):
    """What a router holds for callers who read slowly decides who is admitted."""

    def test_least_urgent_are_refused_first(self) -> None:
        """Guards against slow readers of unimportant responses who use up a router's memory."""
        control = AdmissionControl()
        for priority in (0, 1, 2):
            decide(control, a_demand(priority=priority), a_room(10))
        admitted = {
            held: [
                priority
                for priority in (0, 1, 2)
                if decide(control, a_demand(priority=priority, held_share=held), a_room(10))
                is Outcome.ADMITTED
            ]
            for held in (0.0, 0.49, 0.55, 0.8, 1.0)
        }
        self.assertEqual(
            admitted, {0.0: [0, 1, 2], 0.49: [0, 1, 2], 0.55: [0, 1], 0.8: [0], 1.0: [0]}
        )

    def test_only_kind_is_not_refused(self) -> None:
        """Guards against a router that refuses all requests because of what it holds."""
        outcome = decide(AdmissionControl(), a_demand(held_share=1.0), a_room(10))
        self.assertIs(outcome, Outcome.ADMITTED)


class ReturnTest(unittest.TestCase):
    """When refused callers are asked to come back."""

    def test_callers_return_in_the_order_of_refusal_and_spread_out(self) -> None:
        """Guards against callers who come back together, or in front of those refused earlier."""
        queue = ReturnQueue()
        returns = [n / 100 + queue.join(0.2, 0.05, (n * 7 % 10) / 10, n / 100) for n in range(40)]
        self.assertEqual(returns, sorted(returns))
        self.assertEqual(len(set(returns)), len(returns))

    def test_return_is_bounded(self) -> None:
        """Guards against a long queue of returns that sends callers away for good."""
        queue = ReturnQueue()
        waits = [queue.join(0.2, 0.5, 0.0, 0.0) for _ in range(100)]
        self.assertLessEqual(max(waits), MAX_RETURN_S)

    def test_return_leaves_time_for_another_attempt(self) -> None:
        """Guards against a time to come back that callers do not honour."""
        control = AdmissionControl()
        wait_s = control.return_after_s(a_demand(done_left_s=0.6), 5.0, 0.0)
        self.assertLessEqual(wait_s, MAX_WAIT_SHARE * 0.6)


class ShareTest(unittest.TestCase):
    """Shares of priorities and accounts."""

    def test_less_urgent_are_cut_first_and_keep_a_part(self) -> None:
        """Guards against a less urgent kind that gets nothing."""
        shares = priority_shares({0: 50.0, 1: 50.0, 2: 20.0}, 90.0)
        self.assertEqual(shares[0], 1.0)
        self.assertLess(shares[2], shares[1])
        self.assertGreaterEqual(shares[2], KEPT_SHARE * 90 / 120 - 1e-9)

    def test_shares_add_up_to_the_capacity(self) -> None:
        """Guards against shares that admit more than there are slots, however short they are."""
        needs = {0: 50.0, 1: 50.0, 2: 20.0}
        for capacity in (120.0, 90.0, 40.0, 5.0, 0.0):
            with self.subTest(capacity):
                shares = priority_shares(needs, capacity)
                admitted = sum(needs[priority] * share for priority, share in shares.items())
                self.assertTrue(math.isclose(admitted, capacity, abs_tol=1e-6))

    def test_large_account_with_its_usual_load_is_not_hot(self) -> None:
        """Guards against an account that is cut because it is large."""
        recent = {"large": 60.0, **{f"a{n}": 5.0 for n in range(8)}}
        usual = {account: 20 * n for account, n in recent.items()}
        self.assertEqual(account_shares(recent, usual, 0.3), {})

    def test_excess_of_a_hot_account_is_cut_no_further_than_needed(self) -> None:
        """Guards against a hot account that loses more than what the others lack."""
        recent = {"hot": 60.0, **{f"a{n}": 5.0 for n in range(12)}}
        usual = dict.fromkeys(recent, 200.0)
        slightly, strongly = (account_shares(recent, usual, short) for short in (0.05, 0.9))
        self.assertEqual(set(strongly), {"hot"})
        self.assertAlmostEqual((1 - slightly["hot"]) * 60, 0.05 * 120)
        self.assertGreaterEqual(strongly["hot"], MIN_ACCOUNT_SHARE)
        self.assertLess(strongly["hot"], slightly["hot"])


if __name__ == "__main__":
    unittest.main()
