"""Tests of `gateway.endpoint_choice`."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoint_choice import EndpointKnowledge, EvenChoice, InFlightChoice
from sequoiadrum.gateway.endpoints import Endpoint, EndpointTable
from sequoiadrum.gateway.load_board import Loads, endpoint_key
from sequoiadrum.gateway.model import EngineLoad, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest, choose, rank_engines
from sequoiadrum.gateway.pool import EndpointPool
from tests.gateway.builders import a_call, a_service, an_entry, bounds

SLOTS = 6


def _endpoints(count: int, service: str = "shop", slots: int = SLOTS) -> list[Endpoint]:
    table = EndpointTable()
    for n in range(count):
        entry = an_entry(f"e{n}", service=service, slots=slots, failure_domain=f"z{n}")
        table.apply(entry, 0.0)
    return table.of_service(service)


def _call(number: int = 0, **changes: Any) -> PlacementRequest:
    fields: dict[str, Any] = {
        "service": a_service(),
        "call": a_call(f"q{number}"),
        "failure_domain": "z9",
        "is_retryable": False,
    }
    return PlacementRequest(**{**fields, **changes})


def _chat(number: int = 0, slots: int = 24) -> PlacementRequest:
    prompt = (("sys", 500), ("thread", 9_000), (f"own{number}", 300))
    return _call(number, service=a_service("model", slots), call=a_call(f"q{number}", prompt))


def _report(knowledge: EndpointKnowledge, endpoints: list[Endpoint], loads: list[int]) -> None:
    """Reports the requests of other routers for long enough that they are the mean as well."""
    for endpoint, load in zip(endpoints, loads, strict=True):
        endpoint.in_flight_elsewhere, endpoint.elsewhere_reported_at = load, 4.5
    for n in range(10):
        knowledge.record_elsewhere(endpoints, n * 0.5)


NOW = 4.6


class EvenChoiceTest(unittest.TestCase):
    """Calls to a plain service by routers that all see the same reports."""

    def setUp(self) -> None:
        self.knowledge = EndpointKnowledge(is_active=True)
        self.choice = EvenChoice(self.knowledge, lambda: 69)

    def _share(self, endpoints: list[Endpoint], **changes: Any) -> Counter[str]:
        chosen = [self.choice.choose(endpoints, _call(n, **changes), NOW) for n in range(2_000)]
        return Counter(e.id for e in chosen)

    def test_idle_endpoint_is_not_taken_by_all(self) -> None:
        """Guards against many routers that see one endpoint idle and overrun it together."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [0, 2, 2, 2])
        share = self._share(endpoints)
        self.assertLess(share["e0"], 2_000 / 2)
        self.assertGreater(share["e0"], 500)
        self.assertGreater(min(share.values()), 200)

    def test_busy_endpoint_gets_few(self) -> None:
        """Guards against calls that wait at a full endpoint while others idle."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [SLOTS, 1, 1, 1])
        self.assertLess(self._share(endpoints)["e0"], 50)

    def test_all_full_endpoints_share_out(self) -> None:
        """Guards against a division by no room, and one endpoint that takes the whole overload."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [3 * SLOTS] * 4)
        self.assertGreater(min(self._share(endpoints).values()), 300)

    def test_slow_endpoint_gets_fewer(self) -> None:
        """Guards against a server that takes four times as long and gets as many."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [1] * 4)
        for n in range(40):
            for endpoint in endpoints:
                slow = 4.0 if endpoint.id == "e0" else 1.0
                self.knowledge.record_completed(endpoint, 0.02 * slow, n * 0.1)
        self.assertLess(self._share(endpoints)["e0"], 150)

    def test_own_failure_domain_is_preferred_while_it_has_room(self) -> None:
        """Guards against bytes over the border of a failure domain that save nothing."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [1] * 4)
        self.assertEqual(self._share(endpoints, failure_domain="z2"), {"e2": 2_000})

    def test_preference_falls_in_proportion(self) -> None:
        """Guards against routers that leave a busy endpoint of their domain all at once."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [1, 1, 5, 1])
        share = self._share(endpoints, failure_domain="z2")
        self.assertGreater(share["e2"], 600)
        self.assertLess(share["e2"], 1_800)

    def test_own_requests_count_at_once(self) -> None:
        """Guards against own requests that count only after the next report."""
        endpoints = _endpoints(2)
        _report(self.knowledge, endpoints, [0, 0])
        endpoints[0].in_flight = SLOTS
        self.assertLess(self._share(endpoints)["e0"], 20)

    def test_without_reports_calls_are_spread(self) -> None:
        """Guards against a choice that fails, or follows old loads, when all reports stopped."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [0, 5, 5, 5])
        chosen = Counter(self.choice.choose(endpoints, _call(n), 60.0).id for n in range(2_000))
        self.assertGreater(min(chosen.values()), 400)

    def test_new_process_starts_without_knowledge(self) -> None:
        """Guards against the loads and speeds of before a restart under the same id."""
        endpoints = _endpoints(2)
        for n in range(40):
            load = EngineLoad(1, 0, SLOTS, 6.0)
            self.knowledge.record_load(endpoints[0], load, n * 0.1)
            self.knowledge.record_load(endpoints[1], EngineLoad(1, 0, SLOTS, 1.0), n * 0.1)
        _report(self.knowledge, endpoints, [5, 1])
        restarted = _endpoints(2)[0]
        outlook = self.knowledge.outlooks([restarted, endpoints[1]], NOW)[0]
        self.assertFalse(outlook.is_fleet_known)
        self.assertLess(outlook.slowdown, 1.5)

    def test_choice_changes_nothing(self) -> None:
        """Guards against an explanation of a choice that alters the next one."""
        endpoints = _endpoints(4)
        _report(self.knowledge, endpoints, [1, 2, 3, 4])
        chosen = {self.choice.choose(endpoints, _call(7), NOW).id for _ in range(20)}
        self.assertEqual(len(chosen), 1)


class EvenEngineChoiceTest(unittest.TestCase):
    """Chats by routers that know the requests of all others."""

    def setUp(self) -> None:
        self.knowledge = EndpointKnowledge(is_active=True)
        self.choice = EvenChoice(self.knowledge, lambda: 69)
        self.engines = _endpoints(8, "model", 24)
        self.home = rank_engines(self.engines, _chat())[0]
        self.second = rank_engines(self.engines, _chat())[1]

    def _loads(self, home: int, others: int) -> None:
        _report(
            self.knowledge, self.engines, [home if e is self.home else others for e in self.engines]
        )
        for _ in range(200):
            self.knowledge.record_duration(self.engines[0], 2.0)

    def test_home_with_room_is_kept(self) -> None:
        """Guards against prompt parts that are read again for loads that nobody waits for."""
        self._loads(9, 5)
        self.assertIs(self.choice.choose(self.engines, _chat(), NOW), self.home)

    def test_full_home_passes_chats_to_the_next_in_rank(self) -> None:
        """Guards against chats that wait at their home while other engines have free slots."""
        self._loads(27, 16)
        chosen = Counter(self.choice.choose(self.engines, _chat(n), NOW).id for n in range(300))
        self.assertEqual(set(chosen), {self.home.id, self.second.id})
        self.assertGreater(chosen[self.second.id], chosen[self.home.id])
        self.assertIs(InFlightChoice().choose(self.engines, _chat(), NOW), self.home)

    def test_engines_that_seem_to_have_room_do_not_get_all_chats(self) -> None:
        """Guards against a nearly full service whose routers all send to its last free engine."""
        loads = [24 if e is not self.engines[0] else 8 for e in self.engines]
        _report(self.knowledge, self.engines, [load * 3 // 4 + 1 for load in loads])
        chosen: Counter[str] = Counter()
        for n in range(400):
            parts = (("sys", 500), (f"thread{n}", 9_000), ("own", 300))
            request = _call(n, service=a_service("model", 24), call=a_call(f"q{n}", parts))
            chosen[self.choice.choose(self.engines, request, NOW).id] += 1
        self.assertLess(chosen[self.engines[0].id], 2 * 400 / 8)

    def test_home_above_the_bound_spills(self) -> None:
        """Guards against an engine above the operators' multiple of the mean."""
        self._loads(12, 2)
        self.assertIsNot(self.choice.choose(self.engines, _chat(), NOW), self.home)

    def test_slow_home_spills_sooner(self) -> None:
        """Guards against an engine on a slow host that gets as many as a fast one."""
        self._loads(9, 5)
        for n in range(60):
            for engine in self.engines:
                stated = 4.0 if engine is self.home else 1.0
                self.knowledge.record_load(engine, EngineLoad(5, 0, 24, stated), n * 0.075)
        self.assertIsNot(self.choice.choose(self.engines, _chat(), NOW), self.home)

    def test_full_service_is_left_to_the_present_choice(self) -> None:
        """Guards against chats that leave their homes though no engine has room, and against
        overload of an engine above the operators' multiple.
        """
        self._loads(90, 30)
        for n in range(50):
            chosen = self.choice.choose(self.engines, _chat(n), NOW)
            self.assertIsNot(chosen, self.home)
            self.assertIs(chosen, InFlightChoice().choose(self.engines, _chat(n), NOW))

    def test_without_reports_the_present_choice_decides(self) -> None:
        """Guards against chats that leave their homes when the hubs are silent."""
        self._loads(9, 5)
        self.assertIs(self.choice.choose(self.engines, _chat(), 60.0), self.home)


class SwitchTest(unittest.TestCase):
    """When a router chooses evenly."""

    def setUp(self) -> None:
        self.now = 100.0
        patched = mock.patch.object(clock, "now", self._clock)
        patched.start()
        self.addCleanup(patched.stop)
        self.pool = EndpointPool(bounds(), lambda: 3)
        for n in range(4):
            self.pool.apply(an_entry(f"e{n}", service="model", slots=24), is_newly_joined=False)

    def _clock(self) -> float:
        return self.now

    def _respond(self, slowdown: float | None) -> None:
        placement = self.pool.take(_chat())
        assert not isinstance(placement, PlacementFailure)
        load = EngineLoad(1, 0, 24, slowdown)
        head = ResponseHead(200, "OK", "q", None, False, True, load, None, ())
        self.pool.record_response(placement, head, failed=False)
        self.pool.release(placement)

    def test_engines_that_state_no_speed_leave_the_choice_as_it_is(self) -> None:
        """Guards against a changed choice on deployments whose hosts are not shared."""
        for _ in range(5):
            self._respond(None)
        self.assertFalse(self.pool.is_even())

    def test_stated_speed_switches_the_even_choice_on(self) -> None:
        """Guards against a choice that ignores that hosts are shared."""
        self._respond(1.0)
        self.assertTrue(self.pool.is_even())
        key = endpoint_key(self.pool.take(_chat()).endpoint.id_hash)  # type: ignore[union-attr]
        for _ in range(4):
            self.pool.set_fleet_loads(Loads({key: 60}, {}))
            self.now += 0.25
        self.assertGreater(self.pool.highest_load_multiple(), 3.0)

    def test_default_choice_is_the_one_by_requests_in_flight(self) -> None:
        """Guards against two versions of the choice for deployments that stay as they are."""
        engines = _endpoints(8, "model", 24)
        shops = _endpoints(4)
        for n in range(50):
            for endpoints, request in ((engines, _chat(n)), (shops, _call(n))):
                self.assertIs(
                    choose(endpoints, request, 1.0),
                    InFlightChoice().choose(endpoints, request, 1.0),
                )


if __name__ == "__main__":
    unittest.main()
