"""Tests of the limits of cold endpoints, and of routers that keep to them together."""

from __future__ import annotations

import time
import unittest
from functools import partial
from typing import TYPE_CHECKING
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gen.peer.ttypes import LoadReportKind
from sequoiadrum._thrift_transport import encode
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.cold_endpoints import (
    ALONE_S,
    BUNCHING_S,
    ENTRY_LAG_S,
    MAX_PAUSE_S,
    MAX_SILENCE_S,
    RAMP_MULTIPLE,
    RAMP_S,
    TAKEOVER_S,
    ColdEndpoints,
    ColdPolicy,
    ColdQuotas,
    cold_key,
)
from sequoiadrum.gateway.load_board import Loads, endpoint_key
from sequoiadrum.gateway.load_exchange import GROUP_INTERVAL_S
from sequoiadrum.gateway.placement import (
    LimitedEndpoints,
    PlacementFailure,
    PlacementRequest,
)
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.rate_limits import quota_owner
from sequoiadrum.hashing import stable_hash
from sequoiadrum.messages import Address, Member, MemberState, SideDatagram
from tests.gateway.builders import a_call, a_service, an_entry, bounds, response_head
from tests.gateway.cold_fleet import (
    KEY,
    PERMITTED_PER_S,
    ColdFleet,
    Demand,
    NoLimit,
    OwnShare,
    busy_share,
    most_in_a_second,
    naive_fleet,
)
from tests.gateway.exchange_fakes import FakeLink, make_task
from tests.gateway.scripted_endpoint import Connection, Received, ScriptedEndpoint, ok
from tests.gateway.world import World, config_document, eventually

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.gateway.load_exchange import LoadExchangeTask
    from sequoiadrum.gateway.model import EndpointEntry, Service
    from sequoiadrum.gateway.pool import EndpointPlacement

SIZES = (1, 14, 136, 300)
LEARN_S = 1.5
"""Time from a failure until the last router knows of it."""


class ColdFleetTest(unittest.TestCase):
    """No second above the bound, and more than half of it used, at any size."""

    def _check(self, fleet: ColdFleet, demand: Demand | None = None) -> list[float]:
        sent = fleet.run(demand or Demand())
        self.assertLessEqual(most_in_a_second(sent), PERMITTED_PER_S)
        return sent

    def test_bound_holds_and_more_than_half_of_it_is_used(self) -> None:
        """Guards against an endpoint that crashes again as soon as it is back, or lies idle."""
        for size in SIZES:
            for seed in (1, 2, 3):
                with self.subTest(size=size, seed=seed):
                    sent = self._check(ColdFleet(size, seed))
                    start = ALONE_S + 2.0 if size == 1 else TAKEOVER_S + 1.0
                    self.assertGreater(busy_share(sent, start, 20.0), 0.5)

    def test_sudden_demand_stays_within_the_bound(self) -> None:
        """Guards against units that were saved up while nobody asked for any."""
        for size in SIZES[1:]:
            fleet = ColdFleet(size, 4)
            self._check(fleet, Demand(per_s=0.2, until=8.0))
            fleet.sent.clear()
            self._check(fleet, Demand(per_s=400.0, until=12.0))

    def test_no_limit_breaks_the_bound(self) -> None:
        """Guards against a simulation in which any router would pass."""
        for size in SIZES:
            sent = naive_fleet(size, 1, NoLimit()).run(Demand())
            self.assertGreater(most_in_a_second(sent), 1.5 * PERMITTED_PER_S)

    def test_share_of_each_router_breaks_the_bound_or_is_of_no_use(self) -> None:
        """Guards against a simulation in which the simplest division would do."""
        for size in SIZES[2:]:
            sent = naive_fleet(size, 1, OwnShare()).run(Demand())
            self.assertGreater(most_in_a_second(sent), PERMITTED_PER_S)

    def test_owner_dies(self) -> None:
        """Guards against a successor that hands out the same units, or none at all."""
        for size in SIZES[1:]:
            for seed in (1, 2, 3):
                with self.subTest(size=size, seed=seed):
                    fleet = ColdFleet(size, seed)
                    others = [each for each in fleet.ids if each != fleet.owner.id]
                    fleet.at(6.0, lambda fleet=fleet: setattr(fleet.owner, "is_down", True))
                    fleet.learn_within(6.4, LEARN_S, others, others, [fleet.owner.id])
                    sent = self._check(fleet)
                    again_from = 6.4 + LEARN_S + TAKEOVER_S + 0.5
                    self.assertGreater(busy_share(sent, again_from, 20.0), 0.5)

    def test_owner_is_paused(self) -> None:
        """Guards against an owner that goes on where it was, while another one took over."""
        for pause_s in (0.5, 0.9, 1.2, 3.0, 5.0):
            for seed in (1, 2):
                with self.subTest(pause_s=pause_s, seed=seed):
                    fleet = ColdFleet(136, seed)
                    others = [each for each in fleet.ids if each != fleet.owner.id]
                    until = 6.0 + pause_s
                    fleet.at(
                        6.0,
                        lambda fleet=fleet, until=until: setattr(
                            fleet.owner, "paused_until", until
                        ),
                    )
                    if pause_s > 0.9:
                        fleet.learn_within(6.4, 0.6, others, others, [fleet.owner.id])
                        fleet.learn_within(until + 0.1, LEARN_S, others, fleet.ids)
                    # Half of all requests wait at the owner while it is paused.
                    self._check(fleet, Demand(first_router_share=0.5))

    def test_owner_is_cut_off_from_the_others(self) -> None:
        """Guards against two routers that both hand out the whole rate.

        The former owner still reaches the endpoint, and half of all requests arrive there. It finds
        the others dead one by one.
        """
        for size in SIZES[1:]:
            with self.subTest(size=size):
                fleet = ColdFleet(size, 5)
                others = [each for each in fleet.ids if each != fleet.owner.id]
                fleet.at(6.0, lambda fleet=fleet: setattr(fleet.owner, "group", 1))
                fleet.learn_within(6.4, LEARN_S, others, others, [fleet.owner.id])
                fleet.learn_within(9.0, 0.1, [fleet.owner.id], [fleet.owner.id], others)
                fleet.at(14.0, lambda fleet=fleet: setattr(fleet.owner, "group", 0))
                fleet.learn_within(14.1, LEARN_S, fleet.ids, fleet.ids)
                self._check(fleet, Demand(first_router_share=0.5))

    def test_fleet_is_partitioned(self) -> None:
        """Guards against a full rate on each side of a partition."""
        for size in SIZES[1:]:
            for cut in (0.5, 0.2):
                with self.subTest(size=size, cut=cut):
                    fleet = ColdFleet(size, 6)
                    sides = (
                        fleet.ids[: int(size * cut)],
                        fleet.ids[int(size * cut) :],
                    )
                    for each in sides[1]:
                        fleet.at(6.0, lambda r=fleet.by_id[each]: setattr(r, "group", 1))
                    fleet.learn_within(6.5, LEARN_S, sides[0], sides[0], sides[1])
                    fleet.learn_within(6.5, LEARN_S, sides[1], sides[1], sides[0])
                    sent = self._check(fleet)
                    self.assertGreater(busy_share(sent, 11.0, 20.0), 0.4)

    def test_all_routers_return_at_once(self) -> None:
        """Guards against routers that each consider themselves the only one."""
        for size in SIZES[1:]:
            with self.subTest(size=size):
                fleet = ColdFleet(size, 7)
                for router in fleet.by_id.values():
                    fleet.at(6.0, lambda r=router: setattr(r, "is_down", True))
                    fleet.at(8.0, lambda fleet=fleet, r=router: fleet.restart(r))
                fleet.learn_within(8.2, LEARN_S, fleet.ids, fleet.ids)
                sent = self._check(fleet)
                again_from = 8.2 + LEARN_S + TAKEOVER_S + 0.5
                self.assertGreater(busy_share(sent, again_from, 20.0), 0.5)

    def test_routers_disagree_for_a_while_who_is_the_owner(self) -> None:
        """Guards against two owners while the news of a new member spreads.

        Half of the routers ask the new owner at once, the others their former one until later.
        """
        for size in SIZES[1:]:
            with self.subTest(size=size):
                fleet = ColdFleet(size, 9)
                newcomer = fleet.owner
                before = [each for each in fleet.ids if each != newcomer.id]
                members = fleet.view(before)
                for each in before:
                    fleet.by_id[each].members = members
                newcomer.is_down = True
                fleet.at(6.0, partial(setattr, newcomer, "is_down", False))
                former = fleet.owner_in(members)
                early = [each for each in fleet.ids[::2] if each != former]
                late = [each for each in before if each not in early]
                fleet.learn_within(6.0, 0.1, [newcomer.id, *early], fleet.ids)
                fleet.learn_within(7.8, 0.1, late, fleet.ids)
                self._check(fleet)

    def test_routers_join_one_after_the_other(self) -> None:
        """Guards against a rate that is handed out twice whenever a new router becomes owner."""
        fleet = ColdFleet(40, 8)
        for router in fleet.by_id.values():
            router.members = fleet.view(fleet.ids[:14])
            router.is_down = router.id not in fleet.ids[:14]
        for n in range(14, 40):
            joined = fleet.ids[: n + 1]
            start = 3.0 + 0.4 * (n - 14)
            fleet.at(start, lambda r=fleet.by_id[fleet.ids[n]]: setattr(r, "is_down", False))
            fleet.learn_within(start, 1.0, joined, joined)
        self._check(fleet)


class ColdQuotasTest(unittest.TestCase):
    """An owner hands out no more than its part of the bound."""

    def setUp(self) -> None:
        self.quotas = ColdQuotas()
        self.members = self._members("me")
        self.now = 0.0

    @staticmethod
    def _members(*alive: str, dead: Sequence[str] = ()) -> dict[str, Member]:
        states = dict.fromkeys(alive, MemberState.ALIVE) | dict.fromkeys(dead, MemberState.DEAD)
        return {each: Member(each, "h", 1, 2, "z", "r", 1, 0, s) for each, s in states.items()}

    def _pass(self, duration_s: float, silence_s: float = 0.0, may_have_peers: bool = False) -> int:
        """Lets time pass with constant demand; returns the number of units handed out."""
        granted, end = 0, self.now + duration_s
        next_observation = self.now
        while self.now < end:
            if self.now >= next_observation:
                self.quotas.observe("me", self.members, silence_s, may_have_peers, self.now)
                next_observation += GROUP_INTERVAL_S
            granted += self.quotas.decide(KEY, PERMITTED_PER_S, self.now).is_granted
            self.now += 0.01
        return granted

    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0.0, 60.0),
        st.integers(0, 6),
        st.lists(st.floats(0.0, 0.3), min_size=1, max_size=300),
    )
    def test_any_asks_stay_within_the_bound(
        self, permitted: float, dead: int, pauses: list[float]
    ) -> None:
        """Guards against a burst above the bound, also of units that are used late together."""
        quotas, now, granted = ColdQuotas(), 0.0, []
        members = self._members("me", dead=[f"r{n}" for n in range(dead)])
        while now < 3.0:
            quotas.observe("me", members, 0.0, False, now)
            now += GROUP_INTERVAL_S
        for pause in pauses:
            now += pause
            quotas.observe("me", members, 0.0, False, now)
            if quotas.decide(KEY, permitted, now).is_granted:
                granted.append(now)
        window_s = 1.0 + BUNCHING_S
        share = permitted / (dead + 1)
        for at in granted:
            in_window = sum(at <= other < at + window_s for other in granted)
            self.assertLessEqual(in_window, share + 1e-6)

    def test_new_owner_waits(self) -> None:
        """Guards against a new process that repeats what its predecessor handed out."""
        self.assertEqual(self._pass(TAKEOVER_S - 0.05), 0)
        self.assertGreater(self._pass(1.0), 0)

    def test_new_member_that_outranks_the_owner_takes_over(self) -> None:
        """Guards against an owner that goes on after another one took its place."""
        self._pass(TAKEOVER_S + 1.0)
        newcomer = next(name for name in self._names() if self._outranks(name))
        self.members = self._members("me", newcomer)
        self.assertEqual(self._pass(5.0), 0)
        self.members = self._members("me", dead=[newcomer])
        self.assertEqual(self._pass(TAKEOVER_S - 0.05), 0)
        self.assertGreater(self._pass(1.0), 0)

    @staticmethod
    def _names() -> list[str]:
        return [f"n{n}" for n in range(100)]

    def _outranks(self, name: str) -> bool:
        return quota_owner(KEY, self._members("me", name)) == name

    def test_paused_owner_starts_anew(self) -> None:
        """Guards against units from before a pause, during which another router took over."""
        self._pass(TAKEOVER_S + 1.0)
        self.now += MAX_PAUSE_S + 0.1
        self.assertFalse(self.quotas.decide(KEY, PERMITTED_PER_S, self.now).is_granted)
        self.assertEqual(self._pass(TAKEOVER_S - 0.05), 0)

    def test_owner_that_hears_nothing_hands_out_nothing(self) -> None:
        """Guards against a router that is cut off, while the others have another owner."""
        other = next(name for name in self._names() if not self._outranks(name))
        self.members = self._members("me", other)
        self.assertGreater(self._pass(TAKEOVER_S + 1.0), 0)
        self.assertEqual(self._pass(3.0, silence_s=MAX_SILENCE_S + 0.1), 0)
        self.assertEqual(self._pass(TAKEOVER_S - 0.05), 0)
        self.assertGreater(self._pass(1.0), 0)

    def test_lone_router_waits_for_peers(self) -> None:
        """Guards against routers that start together and know nobody yet."""
        self.assertEqual(self._pass(ALONE_S - 0.1, may_have_peers=True), 0)
        self.assertGreater(self._pass(1.0, may_have_peers=True), 0)

    def test_lowest_named_rate_counts(self) -> None:
        """Guards against a router that takes an endpoint for warm and raises its rate for all."""
        granted = 0
        for n in range(500):
            now = n / 100
            if n % 25 == 0:
                self.quotas.observe("me", self.members, 0.0, False, now)
            named = PERMITTED_PER_S * (RAMP_MULTIPLE if n % 2 else 1.0)
            granted += self.quotas.decide(KEY, named, now).is_granted
        self.assertLessEqual(granted, 3.0 * PERMITTED_PER_S)


class ColdEndpointsTest(unittest.TestCase):
    """What a router takes for cold, and for how long."""

    POLICY = ColdPolicy(PERMITTED_PER_S, 8.0)

    def setUp(self) -> None:
        self.cold = ColdEndpoints()

    def _is_cold(self, now: float, entry: EndpointEntry | None = None) -> bool:
        found = self.cold.limits("model", self.POLICY, {1: entry or an_entry()}, now)
        return 1 in found and found[1].is_cold

    def test_policy_only_where_the_configuration_names_a_rate(self) -> None:
        """Guards against asks and limits on deployments without cold endpoints."""
        self.assertIsNone(ColdPolicy.of(a_service(), bounds()))
        policy = ColdPolicy.of(
            a_service(cold_start_s=4.0, cold_requests_per_s=10.0),
            bounds(cold_excess=1.5, cold_slack=5.0),
        )
        self.assertEqual(policy, ColdPolicy(20.0, 4.0))

    def test_first_list_is_warm_unless_its_entries_say_otherwise(self) -> None:
        """Guards against a fleet that starts with a limit for all endpoints."""
        self.cold.record_entry(an_entry(), 1, False, 100.0)
        self.assertFalse(self._is_cold(100.0))
        self.assertFalse(self.cold.may_limit("model", self.POLICY, 100.0))
        self.cold.record_entry(an_entry(warm_up_s=3.0), 1, False, 100.0)
        self.assertTrue(self._is_cold(102.9))
        self.assertFalse(self._is_cold(103.1))

    def test_start_during_traffic_is_cold_whatever_the_entry_says(self) -> None:
        """Guards against a new endpoint whose entry does not mention that it is cold."""
        self.cold.record_entry(an_entry(), 1, True, 100.0)
        self.assertTrue(self._is_cold(107.9))
        self.assertFalse(self._is_cold(108.1))

    def test_process_that_registers_again_did_not_start(self) -> None:
        """Guards against a limit for all endpoints after an outage of the store."""
        self.cold.record_entry(an_entry(started_ms=5), 1, False, 100.0)
        self.cold.record_entry(an_entry(started_ms=5, revision=9), 1, True, 200.0)
        self.assertFalse(self._is_cold(200.0))
        self.cold.record_entry(an_entry(started_ms=6, revision=10), 1, True, 210.0)
        self.assertTrue(self._is_cold(210.0))

    def test_statements_do_not_outlive_their_process(self) -> None:
        """Guards against a new process that is limited by what the old one has said."""
        self.cold.record_entry(an_entry(started_ms=5), 1, False, 100.0)
        self.cold.record_statement(1, 60.0, 100.0)
        self.assertTrue(self._is_cold(150.0))
        self.cold.record_entry(an_entry(started_ms=6), 1, True, 150.0)
        self.assertFalse(self._is_cold(158.1))

    def test_newer_entry_ends_what_an_older_one_said(self) -> None:
        """Guards against an endpoint that stays limited although it says that it is warm."""
        self.cold.record_entry(an_entry(warm_up_s=60.0), 1, False, 100.0)
        self.cold.record_entry(an_entry(warm_up_s=0.0, revision=2), 1, False, 110.0)
        self.assertFalse(self._is_cold(110.0))

    def test_readmitted_failure_domain_is_cold(self) -> None:
        """Guards against endpoints that became cold while they were evacuated."""
        self.cold.record_entry(an_entry(failure_domain="z2"), 1, False, 0.0)
        self.cold.record_readmission("z2", 100.0)
        self.assertFalse(self._is_cold(100.0))
        self.assertTrue(self._is_cold(107.9, an_entry(failure_domain="z2")))
        short = ColdPolicy(PERMITTED_PER_S, 0.5)
        found = self.cold.limits("model", short, {1: an_entry(failure_domain="z2")}, 101.0)
        self.assertTrue(found[1].is_cold)
        self.assertEqual(
            self.cold.limits(
                "model",
                short,
                {1: an_entry(failure_domain="z2")},
                100.0 + ENTRY_LAG_S + RAMP_S,
            ),
            {},
        )

    def test_rate_grows_before_the_limit_is_lifted(self) -> None:
        """Guards against an endpoint that gets all its chats back in the moment it is warm."""
        permitted = [self.POLICY.permitted_at(100.0, 100.0 + RAMP_S * n / 4) for n in range(5)]
        self.assertEqual(permitted[0], PERMITTED_PER_S)
        self.assertIsNone(permitted[4])
        rates = [each for each in permitted if each is not None]
        self.assertEqual(rates, sorted(rates))
        self.assertLess(rates[-1], RAMP_MULTIPLE * PERMITTED_PER_S)

    def test_changes_are_reported_once(self) -> None:
        """Guards against a log without a trace of why an endpoint was avoided."""
        self.cold.record_entry(an_entry("e1", warm_up_s=3.0), 1, False, 100.0)
        self._is_cold(100.0)
        self._is_cold(101.0)
        self.assertEqual([c.endpoint_id for c in self.cold.take_changes()], ["e1"])
        self.assertEqual(self.cold.count(101.0), 1)
        self._is_cold(104.0)
        self.assertEqual([c.left_s for c in self.cold.take_changes()], [0.0])
        self.assertEqual(self.cold.take_changes(), [])
        self.assertEqual(self.cold.count(104.0), 0)

    def test_requests_with_other_homes_change_nothing(self) -> None:
        """Guards against a log line for each request while requests may use different endpoints."""
        entries = {1: an_entry("e1", warm_up_s=9.0), 2: an_entry("e2", warm_up_s=9.0)}
        for key, entry in entries.items():
            self.cold.record_entry(entry, key, False, 100.0)
        for n in range(6):
            key = 1 + n % 2
            self.cold.limits("model", self.POLICY, {key: entries[key]}, 100.0 + n)
        changes = self.cold.take_changes()
        self.assertEqual([c.endpoint_id for c in changes], ["e1", "e2"])
        self.assertEqual(self.cold.count(105.0), 2)
        self.cold.limits("model", self.POLICY, {1: entries[1]}, 110.0)
        self.assertEqual([c.left_s for c in self.cold.take_changes()], [0.0, 0.0])

    def test_only_statements_are_shared(self) -> None:
        """Guards against a router that learnt late of an endpoint and lets all avoid it longer."""
        self.cold.record_entry(an_entry(), 1, True, 100.0)
        self._is_cold(100.0)
        self.assertEqual(self.cold.stated(100.0), {})
        self.cold.record_statement(1, 4.0, 100.0)
        self.assertEqual(self.cold.stated(101.0), {1: 3.0})
        self.assertEqual(endpoint_key(1), 1)


class ColdPlacementTest(unittest.TestCase):
    """Placement while endpoints of a service are cold."""

    SERVICE = a_service("model", 4, cold_start_s=60.0, cold_requests_per_s=9.3)

    def setUp(self) -> None:
        self.pool = EndpointPool(bounds(cold_excess=1.5, cold_slack=5.0), lambda: 14)
        for name in ("e1", "e2"):
            self._apply(name, is_newly_joined=False)
        self.key_by_id = {e.id: endpoint_key(e.id_hash) for e in self.pool._table.by_id.values()}

    def _apply(self, name: str, revision: int = 1, is_newly_joined: bool = True) -> None:
        entry = an_entry(name, service="model", slots=4, revision=revision, started_ms=revision)
        self.assertTrue(self.pool.apply(entry, is_newly_joined))

    def _place(
        self, service: Service = SERVICE, limited: LimitedEndpoints = LimitedEndpoints.ALLOWED
    ) -> EndpointPlacement | PlacementFailure:
        call = a_call(prompt=(("sys", 500), ("thread", 900), ("own", 30)))
        request = PlacementRequest(service, call, "z1", False)
        # As if it had been counted before; a part with many requests has several homes.
        placement = self.pool.take(request, is_repeated=True, limited=limited)
        if not isinstance(placement, PlacementFailure):
            self.pool.cancel(placement)
        return placement

    def _home(self) -> str:
        return self._placed_on(self._place())

    def _placed_on(self, placement: EndpointPlacement | PlacementFailure) -> str:
        assert not isinstance(placement, PlacementFailure)
        return placement.endpoint.id

    def _fill(self, name: str, load: int) -> None:
        self.pool.set_fleet_loads(Loads({self.key_by_id[name]: load}, {}))

    def test_cold_home_is_left_alone_and_becomes_home_again(self) -> None:
        """Guards against chats that flock to an engine that has just started, or never return."""
        home = self._home()
        self._apply(home, revision=2)
        other = self._place()
        self.assertNotEqual(self._placed_on(other), home)
        assert not isinstance(other, PlacementFailure)
        self.assertFalse(other.is_limited)
        now = clock.now()
        with mock.patch.object(clock, "now", return_value=now + 60.0 + RAMP_S / 2):
            placement = self._place()
            self.assertEqual(self._placed_on(placement), home)
            assert not isinstance(placement, PlacementFailure)
            assert placement.cold_limit is not None
            self.assertFalse(placement.cold_limit.is_cold)
        with mock.patch.object(clock, "now", return_value=now + 60.0 + RAMP_S):
            self.assertEqual(self._home(), home)

    def test_cold_endpoint_takes_what_the_others_have_no_room_for(self) -> None:
        """Guards against callers that are refused while cold endpoints lie idle."""
        home = self._home()
        other = "e1" if home == "e2" else "e2"
        self._apply(home, revision=2)
        self._fill(other, 4)
        placement = self._place()
        self.assertEqual(self._placed_on(placement), home)
        assert not isinstance(placement, PlacementFailure)
        self.assertTrue(placement.is_limited)
        self.pool.cold.refuse_until(self.key_by_id[home], clock.now() + 60.0)
        self.assertEqual(self._placed_on(self._place()), other)
        self._fill(other, 5)
        self.assertIs(self._place(), PlacementFailure.RATE_LIMITED)

    def test_readmitted_failure_domain_is_left_alone(self) -> None:
        """Guards against endpoints that became cold during an evacuation and get all chats back."""
        home = self._home()
        self.pool.record_readmission("z1", clock.now())
        self._apply("e3", is_newly_joined=False)
        entry = an_entry("e4", service="model", slots=4, failure_domain="z2")
        self.assertTrue(self.pool.apply(entry, is_newly_joined=False))
        self.assertEqual(self._home(), "e4")
        with mock.patch.object(clock, "now", return_value=clock.now() + 60.0 + RAMP_S):
            self.assertIn(self._home(), (home, "e3", "e4"))
            self.assertEqual(self.pool.cold.count(clock.now()), 0)

    def test_few_cold_endpoints_leave_the_queues_of_the_others(self) -> None:
        """Guards against a crowded service that refuses callers because one endpoint started."""
        for name in ("e3", "e4", "e5"):
            self._apply(name, is_newly_joined=False)
        keys = {e.id: endpoint_key(e.id_hash) for e in self.pool._table.by_id.values()}
        self.pool.set_fleet_loads(Loads(dict.fromkeys(keys.values(), 6), {}))
        self._apply("e1", revision=2)
        self.assertEqual(self._home(), "e1")
        self.pool.cold.refuse_until(keys["e1"], clock.now() + 60.0)
        self.assertNotEqual(self._home(), "e1")

    def test_all_endpoints_are_cold(self) -> None:
        """Guards against a service that serves nobody while all of it is cold."""
        for name in ("e1", "e2"):
            self._apply(name, revision=2)
        home = self._home()
        self.pool.cold.refuse_until(self.key_by_id[home], clock.now() + 60.0)
        self.assertNotEqual(self._home(), home)
        for limited in (LimitedEndpoints.AVOIDED, LimitedEndpoints.AVOIDED_WITH_ROOM):
            self.assertIs(self._place(limited=limited), PlacementFailure.RATE_LIMITED)
        for name in ("e1", "e2"):
            self.pool.cold.refuse_until(self.key_by_id[name], clock.now() + 50.0)
        self.assertIs(self._place(), PlacementFailure.RATE_LIMITED)
        self.assertGreater(self.pool.quota_wait_s("model"), 49.0)

    def test_failing_endpoint_is_not_preferred_to_a_cold_one(self) -> None:
        """Guards against requests that all go to the one engine that fails them."""
        home = self._home()
        other = "e1" if home == "e2" else "e2"
        self._apply(home, revision=2)
        endpoint = self.pool._table.by_id[other]
        for _ in range(20):
            endpoint.record_result(failed=True, now=clock.now())
        self.assertEqual(self._home(), home)

    def test_nothing_changes_without_a_rate_in_the_configuration(self) -> None:
        """Guards against limits and asks on deployments that do not know cold endpoints."""
        service = a_service("model", 4, cold_start_s=60.0)
        home = self._placed_on(self._place(service))
        self._apply(home, revision=2)
        placement = self._place(service)
        self.assertEqual(self._placed_on(placement), home)
        assert not isinstance(placement, PlacementFailure)
        self.assertFalse(placement.is_limited)
        self.assertEqual(self.pool.cold.stated(clock.now()), {})
        self.assertEqual(self.pool.cold.take_changes(), [])

    def test_response_says_that_its_endpoint_is_cold(self) -> None:
        """Guards against an endpoint that became cold while it was listed as warm."""
        placement = self._place()
        assert not isinstance(placement, PlacementFailure)
        head = response_head(cold_left_s=30.0, instance_id=placement.endpoint.id)
        self.pool.record_response(placement, head, failed=False)
        self.assertNotEqual(self._home(), placement.endpoint.id)
        stated = self.pool.cold.stated(clock.now())
        self.assertEqual(set(stated), {placement.endpoint_key})

    def test_other_process_at_the_address_says_nothing_of_the_endpoint(self) -> None:
        """Guards against a statement of a process that took over the address."""
        placement = self._place()
        assert not isinstance(placement, PlacementFailure)
        head = response_head(cold_left_s=30.0, instance_id="another")
        self.pool.record_response(placement, head, failed=False)
        self.assertEqual(self._home(), placement.endpoint.id)


class ColdDomainTest(unittest.TestCase):
    """Whole pools of a fleet while a failure domain returns cold, on virtual time."""

    ROUTERS = 14
    COLD_S = 6.0

    def setUp(self) -> None:
        self.now = 1_000.0
        self.enterContext(mock.patch.object(clock, "now", self._clock))
        self.service = a_service("model", 4, cold_start_s=self.COLD_S, cold_requests_per_s=9.3)
        names = [f"r{n}" for n in range(self.ROUTERS)]
        self.members = {n: Member(n, "h", 1, 2, "z", "r", 1, 0, MemberState.ALIVE) for n in names}
        self.pool_by_router = {name: self._pool() for name in names}
        self.sent_by_engine: dict[str, list[float]] = {}

    def _clock(self) -> float:
        return self.now

    @staticmethod
    def _pool() -> EndpointPool:
        pool = EndpointPool(bounds(cold_excess=1.5, cold_slack=5.0), lambda: 14)
        for n in range(8):
            entry = an_entry(f"e{n}", service="model", slots=4, failure_domain=f"z{n % 2}")
            pool.apply(entry, is_newly_joined=False)
        return pool

    def _request(self, number: int, router: str) -> None:
        pool = self.pool_by_router[router]
        call = a_call(f"q{number}", prompt=(("sys", 500), (f"chat{number % 200}", 900), ("o", 30)))
        request = PlacementRequest(self.service, call, "z0", False)
        for _ in range(4):
            placement = pool.take(request, is_repeated=True)
            if isinstance(placement, PlacementFailure):
                return
            limit = placement.cold_limit
            key = placement.endpoint_key
            if limit is not None:
                owner = quota_owner(cold_key(key), self.members)
                assert owner is not None
                quotas = self.pool_by_router[owner].cold.quotas
                grant = quotas.decide(cold_key(key), limit.permitted_per_s, self.now)
                if not grant.is_granted:
                    pool.cancel(placement)
                    pool.cold.refuse_until(key, self.now + grant.wait_s)
                    continue
            self.sent_by_engine.setdefault(placement.endpoint.id, []).append(self.now)
            pool.release(placement)
            return

    def _run(self, duration_s: float, per_s: int, load_of_warm: int) -> None:
        """Sends constant demand over all routers while the warm engines have a load."""
        keys = [endpoint_key(stable_hash("engine", f"e{n}")) for n in range(0, 8, 2)]
        loads = Loads(dict.fromkeys(keys, load_of_warm), {})
        names = list(self.pool_by_router)
        for number in range(int(duration_s * per_s)):
            self.now += 1 / per_s
            if number % (per_s // 4) == 0:
                for name, pool in self.pool_by_router.items():
                    pool.set_fleet_loads(loads)
                    pool.cold.quotas.observe(name, self.members, 0.0, True, self.now)
            self._request(number, names[number * 5 % len(names)])

    def _readmit(self) -> None:
        for pool in self.pool_by_router.values():
            pool.record_readmission("z1", self.now)

    def _cold_sent(self) -> dict[str, list[float]]:
        return {f"e{n}": self.sent_by_engine.get(f"e{n}", []) for n in range(1, 8, 2)}

    def test_domain_that_returns_under_load_takes_over_half_of_what_it_may(self) -> None:
        """Guards against callers that are refused while a whole failure domain lies idle."""
        self._run(3.0, 400, load_of_warm=0)
        self.sent_by_engine.clear()
        started_at = self.now
        self._readmit()
        self._run(self.COLD_S, 400, load_of_warm=6)
        for sent in self._cold_sent().values():
            self.assertLessEqual(most_in_a_second(sent), PERMITTED_PER_S)
            self.assertGreater(busy_share(sent, started_at, started_at + self.COLD_S), 0.5)

    def test_domain_that_returns_in_calm_is_spared_and_ramps_up(self) -> None:
        """Guards against all chats that return in the second in which their engines are warm."""
        self._run(3.0, 400, load_of_warm=0)
        self.sent_by_engine.clear()
        self._readmit()
        self._run(self.COLD_S, 400, load_of_warm=1)
        self.assertEqual(sum(map(len, self._cold_sent().values())), 0)
        warm_at = self.now
        self._run(RAMP_S + 4.0, 400, load_of_warm=1)
        for sent in self._cold_sent().values():
            in_second = [sum(warm_at + n <= at < warm_at + n + 1 for at in sent) for n in range(8)]
            self.assertLess(in_second[0], 2 * PERMITTED_PER_S)
            self.assertLess(in_second[0], in_second[2])
            self.assertGreater(in_second[6], 25)


class ColdExchangeTest(unittest.TestCase):
    """The task of one router asks for units, decides as an owner and passes on what it knows."""

    ENDPOINT = 77

    def setUp(self) -> None:
        members = FakeLink("", 8, 2).members()
        owner = quota_owner(cold_key(self.ENDPOINT), members)
        assert owner is not None
        self.owner = owner
        self.asking = next(name for name in members if name != owner)

    @staticmethod
    def _observe(task: LoadExchangeTask, until: float) -> None:
        for n in range(13):
            with mock.patch.object(clock, "now", return_value=until - 3.0 + n / 4):
                task._observe_members()

    def _ask(self) -> SideDatagram:
        key = cold_key(self.ENDPOINT)
        limits = {key: ttypes.RateLimit(18_950, 30_000)}
        report = ttypes.LoadReport(
            LoadReportKind.ASK, self.asking, 3, {}, {}, limits, ttypes.Quota(key)
        )
        return SideDatagram(encode(report), Address("h", 1))

    def test_owner_that_does_not_know_the_endpoint_keeps_to_the_rate(self) -> None:
        """Guards against an owner that grants all because it knows of no coldness."""
        task, link, pool = make_task(self.owner, {})
        now = clock.now()
        self._observe(task, now)
        for n in range(300):
            with mock.patch.object(clock, "now", return_value=now + n / 400):
                task._handle(self._ask())
        granted = sum(report.quota.is_granted for _, report in link.sent)
        self.assertGreater(granted, 4)
        self.assertLess(granted, 18)
        self.assertEqual(pool.cold.stated(now), {})

    def test_new_process_grants_nothing(self) -> None:
        """Guards against an owner that does not know what its predecessor granted."""
        task, link, _ = make_task(self.owner, {})
        task._observe_members()
        task._handle(self._ask())
        self.assertEqual([report.quota.is_granted for _, report in link.sent], [False])

    def test_silent_owner_withholds_the_endpoint(self) -> None:
        """Guards against requests to a cold endpoint while its owner is down."""
        task, link, pool = make_task(self.asking, {})
        pool.cold.record_statement(self.ENDPOINT, 8.0, clock.now())
        task.start()
        self.addCleanup(task.stop)
        self.assertFalse(task.acquire_cold(self.ENDPOINT, 18.95))
        self.assertEqual(link.unreachable, [self.owner])
        self.assertGreater(pool.cold.refused_until(self.ENDPOINT), clock.now())
        outcome = task.metrics.value("cold_quota_asks_total", outcome="no_reply")
        self.assertEqual(outcome, 1)

    def test_unit_from_before_a_pause_is_not_used(self) -> None:
        """Guards against a process that acts on a unit from before it was suspended."""
        for pause_s, is_granted in ((0.0, True), (0.4, False)):
            task, _, _ = make_task(self.owner, {})
            now = clock.now()
            self._observe(task, now)
            task._pool.cold.quotas.decide(cold_key(self.ENDPOINT), 18.95, now)
            times = iter([now + 0.5, now + 0.5])
            with mock.patch.object(
                clock,
                "now",
                side_effect=lambda: next(times, now + 0.5 + pause_s),  # noqa: B023
            ):
                self.assertEqual(task.acquire_cold(self.ENDPOINT, 18.95), is_granted)

    def test_statement_reaches_other_routers_and_ends(self) -> None:
        """Guards against routers that extend what they heard from each other for ever."""
        now = clock.now()
        tasks = {name: make_task(name, {}) for name in (self.owner, self.asking)}
        for task, _, _ in tasks.values():
            policy = ColdPolicy(18.95, 3.0)
            task._pool.cold.limits("model", policy, {self.ENDPOINT: an_entry()}, now)
        tasks[self.owner][2].cold.record_statement(self.ENDPOINT, 4.0, now)
        for step in range(1, 20):
            with mock.patch.object(clock, "now", return_value=now + step / 2):
                for name, (task, link, _) in tasks.items():
                    link.sent.clear()
                    task._send(link.members()["r0"], LoadReportKind.GROUP, 0, Loads({}, {}))
                    other = self.owner if name == self.asking else self.asking
                    tasks[other][0]._handle(
                        SideDatagram(encode(link.sent.pop()[1]), Address("h", 1))
                    )
            if step == 1:
                self.assertGreater(tasks[self.asking][2].cold.stated(now + 0.5)[77], 3.0)
        for _, _, pool in tasks.values():
            self.assertEqual(pool.cold.stated(now + 4.1), {})
            self.assertEqual(pool.rate_limits.known(now), {})


class ColdPathTest(unittest.TestCase):
    """A complete gateway, and endpoints that are cold."""

    def _world(self) -> World:
        world = World(instance_id="g1", bounds=bounds(cold_excess=1.5, cold_slack=5.0))
        self.addCleanup(world.stop)
        service = {"name": "shop", "health_path": "/health", "max_conns": 100}
        rates = {"cold_start_s": 30.0, "cold_per_s": 9.3}
        services = [{**service, **rates}, {**service, "name": "model"}]
        world.start(config_document(services=services))
        return world

    def test_endpoint_that_starts_during_traffic_is_left_alone(self) -> None:
        """Guards against an endpoint that crashes under the work of its first second."""
        world = self._world()
        warm, cold = ScriptedEndpoint(ok), ScriptedEndpoint(ok)
        world.add("e1", warm)
        world.add("e2", cold)
        statuses = [world.call("/read/x", f"q{n}")[0] for n in range(40)]
        self.assertEqual(statuses, [200] * 40)
        self.assertEqual(len(cold.received), 0)
        _, metrics = world.ask_control(3, "/metrics")
        self.assertIn(b"cold_endpoints 1", metrics)
        world.gateway.log.flush_soon()
        eventually(lambda: "endpoint_cold" in world.output.getvalue(), "the log names it")

    def test_cold_service_serves_its_rate_and_refuses_the_rest_at_once(self) -> None:
        """Guards against a bound that is exceeded, and against requests that wait or are lost."""
        world = self._world()
        world.add("e1", ScriptedEndpoint(ok))
        world.remove("e1")
        times: list[float] = []

        def record(connection: Connection, request: Received) -> None:
            times.append(time.monotonic())
            ok(connection, request)

        world.add("e2", ScriptedEndpoint(record))
        eventually(lambda: not world.gateway.pool.can_route_to("e1"), "e1 is gone")
        statuses, end = [], time.monotonic() + 6.0
        while time.monotonic() < end:
            status, headers, body = world.call("/read/x", f"q{len(statuses)}")
            statuses.append(status)
            if status != 200:
                self.assertEqual((status, body), (503, b"endpoints_limited\n"))
                self.assertGreaterEqual(float(headers["retry-after"]), 0.5)
            time.sleep(0.005)
        self.assertLessEqual(most_in_a_second(times), PERMITTED_PER_S)
        self.assertGreater(statuses.count(200), 20)
        self.assertGreater(statuses.count(503), 20)


if __name__ == "__main__":
    unittest.main()
