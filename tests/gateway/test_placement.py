"""Tests of `gateway.placement`."""

from __future__ import annotations

import unittest
from typing import Any

from sequoiadrum.gateway.endpoints import MAX_LOAD_AGE_S, Endpoint, EndpointTable
from sequoiadrum.gateway.model import EngineLoad
from sequoiadrum.gateway.placement import (
    PlacementFailure,
    PlacementRequest,
    choose,
    context_source,
    prompt_key,
)
from tests.gateway.builders import a_call, a_service, an_entry


def _engines(count: int) -> list[Endpoint]:
    table = EndpointTable()
    for n in range(count):
        table.apply(an_entry(f"e{n}", service="model", slots=128), 0.0)
    return table.of_service("model")


def _placement_request(**changes: Any) -> PlacementRequest:
    fields: dict[str, Any] = {
        "service": a_service("model", 128),
        "call": a_call(prompt=(("sys", 500), ("thread", 9_000), ("own", 300))),
        "failure_domain": "z1",
        "is_retryable": False,
    }
    return PlacementRequest(**{**fields, **changes})


class FleetLoadTest(unittest.TestCase):
    """Routers know the requests of all other routers at the engines."""

    def _share_loads(self, engines: list[Endpoint], loads: list[int], now: float = 0.0) -> None:
        for endpoint, load in zip(engines, loads, strict=True):
            endpoint.in_flight_elsewhere, endpoint.elsewhere_reported_at = load, now

    def _home(self, engines: list[Endpoint]) -> Endpoint:
        home = choose(engines, _placement_request(), 0.0)
        assert isinstance(home, Endpoint)
        return home

    def test_home_that_others_have_filled_is_spared(self) -> None:
        """Guards against a home engine that many routers fill with a few requests each."""
        engines = _engines(5)
        home = self._home(engines)
        self._share_loads(engines, [30 if e is home else 4 for e in engines])
        self.assertIsNot(choose(engines, _placement_request(), 0.0), home)

    def test_home_within_the_bound_of_the_fleet_is_kept(self) -> None:
        """Guards against copies of prompts for loads that the operators' bound allows."""
        engines = _engines(5)
        home = self._home(engines)
        self._share_loads(engines, [9 if e is home else 4 for e in engines])
        self.assertIs(choose(engines, _placement_request(), 0.0), home)

    def test_outdated_loads_are_not_used(self) -> None:
        """Guards against placements by loads of a hub that is gone."""
        engines = _engines(5)
        home = self._home(engines)
        self._share_loads(engines, [30 if e is home else 4 for e in engines])
        self.assertIs(choose(engines, _placement_request(), MAX_LOAD_AGE_S + 0.1), home)

    def test_engine_without_a_report_counts_its_own_requests(self) -> None:
        """Guards against an engine that gets no request because it joined after the last report."""
        engines = _engines(5)
        home = self._home(engines)
        others = [e for e in engines if e is not home]
        self._share_loads(others, [8] * 4)
        self.assertIs(choose(engines, _placement_request(), 0.0), home)


class HomeTest(unittest.TestCase):
    """Requests that share prompt parts are sent to one home engine."""

    def test_key_is_the_longest_shared_part(self) -> None:
        """Guards against a home engine chosen by the request's own part or by the system prompt."""
        self.assertEqual(prompt_key(a_call(prompt=(("s", 1), ("t", 2), ("own", 3)))), "t")
        self.assertEqual(prompt_key(a_call(prompt=(("own", 3),))), "own")

    def test_returning_chat_lands_on_its_engine(self) -> None:
        """Guards against a long context that is recomputed because its chat changed engines."""
        engines = _engines(5)
        homes = {
            chosen.id
            for n in range(20)
            if isinstance(
                chosen := choose(
                    engines,
                    _placement_request(
                        call=a_call(f"q{n}", (("s", 1), ("t", 9_000), (f"o{n}", 3)))
                    ),
                    0.0,
                ),
                Endpoint,
            )
        }
        self.assertEqual(len(homes), 1)

    def test_hot_part_spills_before_the_bound(self) -> None:
        """Guards against an engine whose load exceeds the operators' multiple of the mean."""
        engines = _engines(5)
        for n in range(200):
            chosen = choose(
                engines, _placement_request(call=a_call(f"q{n}", (("t", 9), ("o", 3)))), 0.0
            )
            assert isinstance(chosen, Endpoint)
            chosen.in_flight += 1
        loads = [engine.in_flight for engine in engines]
        self.assertLessEqual(max(loads), 2 * sum(loads) / len(loads) + 3)

    def test_load_reported_by_engine_counts(self) -> None:
        """Guards against requests to an engine that other instances have already loaded."""
        engines = _engines(4)
        home = choose(engines, _placement_request(), 0.0)
        assert isinstance(home, Endpoint)
        for engine in engines:
            engine.record_load(EngineLoad(60 if engine is home else 4, 0, 128), 0.0)
        self.assertIsNot(choose(engines, _placement_request(), 0.1), home)

    def test_home_returns_after_a_failure(self) -> None:
        """Guards against a chat that stays away from its home engine after a recovery."""
        engines = _engines(4)
        home = choose(engines, _placement_request(), 0.0)
        assert isinstance(home, Endpoint)
        home.record_unreachable(1.0)
        self.assertIsNot(choose(engines, _placement_request(), 1.1), home)
        self.assertIs(choose(engines, _placement_request(), 2.0), home)


class ContextSourceTest(unittest.TestCase):
    """A request names an engine to copy from if its own engine lacks the context."""

    def test_home_has_its_contexts(self) -> None:
        """Guards against needless copies for chats that are served by their home engine."""
        engines = _engines(5)
        home = choose(engines, _placement_request(), 100.0)
        assert isinstance(home, Endpoint)
        self.assertIsNone(context_source(engines, home, _placement_request(), 100.0))

    def test_spilled_chat_copies_from_its_home(self) -> None:
        """Guards against a long context that is recomputed by the engine it spilled to."""
        engines = _engines(5)
        home = choose(engines, _placement_request(), 100.0)
        assert isinstance(home, Endpoint)
        home.in_flight = 50
        other = choose(engines, _placement_request(), 100.0)
        assert isinstance(other, Endpoint)
        self.assertIsNot(other, home)
        self.assertIs(context_source(engines, other, _placement_request(), 100.0), home)

    def test_newly_joined_engine_copies_from_previous_home(self) -> None:
        """Guards against recomputing every context that moves to a newly joined engine."""
        table = EndpointTable()
        for n in range(5):
            table.apply(an_entry(f"e{n}", service="model", slots=128), 0.0)
        before = choose(table.of_service("model"), _placement_request(), 100.0)
        for n in range(5, 60):
            table.apply(an_entry(f"e{n}", service="model", slots=128), 0.0, joined_at=99.0)
        engines = table.of_service("model")
        after = choose(engines, _placement_request(), 100.0)
        assert isinstance(after, Endpoint)
        self.assertIsNot(after, before)
        self.assertIs(context_source(engines, after, _placement_request(), 100.0), before)
        self.assertIsNone(context_source(engines, after, _placement_request(), 200.0))

    def test_nobody_copies_from_an_engine_that_is_gone(self) -> None:
        """Guards against a request that waits for a copy from an unreachable engine."""
        engines = _engines(2)
        home = choose(engines, _placement_request(), 100.0)
        assert isinstance(home, Endpoint)
        home.record_unreachable(100.0)
        other = choose(engines, _placement_request(), 100.1)
        assert isinstance(other, Endpoint)
        self.assertIsNone(context_source(engines, other, _placement_request(), 100.1))

    def test_plain_services_copy_nothing(self) -> None:
        """Guards against a context source on calls to plain services."""
        engines = _engines(2)
        request = _placement_request(service=a_service())
        self.assertIsNone(context_source(engines, engines[0], request, 100.0))


class AvoidanceTest(unittest.TestCase):
    """Failing endpoints are avoided and probed only with retryable requests."""

    def test_placement_failures_are_distinguished(self) -> None:
        """Guards against one reason for a missing service, full and unreachable endpoints."""
        self.assertIs(choose([], _placement_request(), 0.0), PlacementFailure.UNKNOWN_SERVICE)
        engines = _engines(2)
        for engine in engines:
            engine.record_full(0.0)
        self.assertIs(choose(engines, _placement_request(), 0.05), PlacementFailure.FULL)
        engines = _engines(2)
        for engine in engines:
            engine.record_unreachable(0.0)
        self.assertIs(choose(engines, _placement_request(), 0.1), PlacementFailure.UNREACHABLE)

    def test_failing_endpoint_gets_only_retryable_requests(self) -> None:
        """Guards against a non-idempotent request that is used as a probe of a failing endpoint."""
        engines = _engines(3)
        failing = engines[0]
        for _ in range(8):
            failing.record_result(failed=True, now=0.0)
        selected = {
            choose(engines, _placement_request(call=a_call(f"q{n}")), 0.0) for n in range(50)
        }
        self.assertNotIn(failing, selected)
        probes = [
            choose(engines, _placement_request(call=a_call(f"q{n}"), is_retryable=True), 0.0)
            for n in range(50)
        ]
        self.assertEqual(probes.count(failing), 1)

    def test_all_failing_endpoints_still_serve(self) -> None:
        """Guards against refusing all requests because every endpoint failed for a short time."""
        engines = _engines(2)
        for engine in engines:
            for _ in range(8):
                engine.record_result(failed=True, now=0.0)
        self.assertIsInstance(choose(engines, _placement_request(), 0.0), Endpoint)

    def test_plain_service_prefers_its_domain_until_loaded(self) -> None:
        """Guards against needless traffic between domains, and an overloaded local endpoint."""
        table = EndpointTable()
        for n in range(4):
            table.apply(an_entry(f"e{n}", failure_domain=f"z{n}"), 0.0)
        endpoints = table.of_service("shop")
        request = _placement_request(service=a_service(), failure_domain="z2")
        first = choose(endpoints, request, 0.0)
        assert isinstance(first, Endpoint)
        self.assertEqual(first.entry.failure_domain, "z2")
        first.in_flight = 2
        second = choose(endpoints, request, 0.0)
        assert isinstance(second, Endpoint)
        self.assertNotEqual(second.entry.failure_domain, "z2")
