"""Tests of `gateway.placement`."""

from __future__ import annotations

import unittest
from typing import Any

from sequoiadrum.gateway.endpoints import Endpoint, EndpointTable
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
        table.apply(an_entry(f"e{n}", service="model", slots=128))
    return table.of_service("model")


def _placing(**changes: Any) -> PlacementRequest:
    fields: dict[str, Any] = {
        "service": a_service("model", 128),
        "call": a_call(prompt=(("sys", 500), ("thread", 9_000), ("own", 300))),
        "failure_domain": "z1",
        "is_retryable": False,
    }
    return PlacementRequest(**{**fields, **changes})


class HomeTest(unittest.TestCase):
    """Requests that share a part of their prompt meet at one engine."""

    def test_key_is_the_longest_shared_part(self) -> None:
        """Guards against a home that follows the request's own part or the system prompt."""
        self.assertEqual(prompt_key(a_call(prompt=(("s", 1), ("t", 2), ("own", 3)))), "t")
        self.assertEqual(prompt_key(a_call(prompt=(("own", 3),))), "own")

    def test_returning_chat_lands_on_its_engine(self) -> None:
        """Guards against a long context that is read again at another engine."""
        engines = _engines(5)
        homes = {
            chosen.id
            for n in range(20)
            if isinstance(
                chosen := choose(
                    engines,
                    _placing(call=a_call(f"q{n}", (("s", 1), ("t", 9_000), (f"o{n}", 3)))),
                    0.0,
                ),
                Endpoint,
            )
        }
        self.assertEqual(len(homes), 1)

    def test_hot_part_spills_before_the_bound(self) -> None:
        """Guards against an engine above the operators' multiple of the mean."""
        engines = _engines(5)
        for n in range(200):
            chosen = choose(engines, _placing(call=a_call(f"q{n}", (("t", 9), ("o", 3)))), 0.0)
            assert isinstance(chosen, Endpoint)
            chosen.in_flight += 1
        loads = [engine.in_flight for engine in engines]
        self.assertLessEqual(max(loads), 2 * sum(loads) / len(loads) + 3)

    def test_told_load_of_others_counts(self) -> None:
        """Guards against sending to an engine that other instances have filled."""
        engines = _engines(4)
        home = choose(engines, _placing(), 0.0)
        assert isinstance(home, Endpoint)
        for engine in engines:
            engine.record_load(EngineLoad(60 if engine is home else 4, 0, 128), 0.0)
        self.assertIsNot(choose(engines, _placing(), 0.1), home)

    def test_home_returns_after_a_failure(self) -> None:
        """Guards against a chat that stays away from the engine that has its context."""
        engines = _engines(4)
        home = choose(engines, _placing(), 0.0)
        assert isinstance(home, Endpoint)
        home.record_unreachable(1.0)
        self.assertIsNot(choose(engines, _placing(), 1.1), home)
        self.assertIs(choose(engines, _placing(), 2.0), home)


class ContextSourceTest(unittest.TestCase):
    """An engine that lacks a context is told who has it."""

    def test_home_has_its_contexts(self) -> None:
        """Guards against transfers for chats that are served where they always are."""
        engines = _engines(5)
        home = choose(engines, _placing(), 100.0)
        assert isinstance(home, Endpoint)
        self.assertIsNone(context_source(engines, home, _placing(), 100.0))

    def test_spilled_chat_copies_from_its_home(self) -> None:
        """Guards against a long context that is read again by an engine that helps out."""
        engines = _engines(5)
        home = choose(engines, _placing(), 100.0)
        assert isinstance(home, Endpoint)
        home.in_flight = 50
        other = choose(engines, _placing(), 100.0)
        assert isinstance(other, Endpoint)
        self.assertIsNot(other, home)
        self.assertIs(context_source(engines, other, _placing(), 100.0), home)

    def test_newcomer_copies_from_the_home_before(self) -> None:
        """Guards against reading all contexts again that move to an engine that has joined."""
        table = EndpointTable()
        for n in range(5):
            table.apply(an_entry(f"e{n}", service="model", slots=128))
        before = choose(table.of_service("model"), _placing(), 100.0)
        for n in range(5, 60):
            table.apply(an_entry(f"e{n}", service="model", slots=128), joined_at=99.0)
        engines = table.of_service("model")
        after = choose(engines, _placing(), 100.0)
        assert isinstance(after, Endpoint)
        self.assertIsNot(after, before)
        self.assertIs(context_source(engines, after, _placing(), 100.0), before)
        self.assertIsNone(context_source(engines, after, _placing(), 200.0))

    def test_nobody_copies_from_an_engine_that_is_gone(self) -> None:
        """Guards against a request that waits for a copy from a crashed engine."""
        engines = _engines(2)
        home = choose(engines, _placing(), 100.0)
        assert isinstance(home, Endpoint)
        home.record_unreachable(100.0)
        other = choose(engines, _placing(), 100.1)
        assert isinstance(other, Endpoint)
        self.assertIsNone(context_source(engines, other, _placing(), 100.1))

    def test_plain_services_copy_nothing(self) -> None:
        """Guards against engine headers on calls of plain services."""
        engines = _engines(2)
        placing = _placing(service=a_service())
        self.assertIsNone(context_source(engines, engines[0], placing, 100.0))


class AvoidanceTest(unittest.TestCase):
    """Endpoints that fail are left out, and tried again with care."""

    def test_no_endpoint_is_told_apart(self) -> None:
        """Guards against one refusal reason for a missing service and for full endpoints."""
        self.assertIs(choose([], _placing(), 0.0), PlacementFailure.UNKNOWN_SERVICE)
        engines = _engines(2)
        for engine in engines:
            engine.record_full(0.0)
        self.assertIs(choose(engines, _placing(), 0.05), PlacementFailure.FULL)
        engines = _engines(2)
        for engine in engines:
            engine.record_unreachable(0.0)
        self.assertIs(choose(engines, _placing(), 0.1), PlacementFailure.UNREACHABLE)

    def test_failing_endpoint_gets_only_repeatable_requests(self) -> None:
        """Guards against an order that is spent on finding out whether an endpoint is well."""
        engines = _engines(3)
        bad = engines[0]
        for _ in range(8):
            bad.record_result(failed=True, now=0.0)
        unsafe = {choose(engines, _placing(call=a_call(f"q{n}")), 0.0) for n in range(50)}
        self.assertNotIn(bad, unsafe)
        probes = [
            choose(engines, _placing(call=a_call(f"q{n}"), is_retryable=True), 0.0)
            for n in range(50)
        ]
        self.assertEqual(probes.count(bad), 1)

    def test_all_failing_endpoints_still_serve(self) -> None:
        """Guards against refusing everything because all endpoints had a bad moment."""
        engines = _engines(2)
        for engine in engines:
            for _ in range(8):
                engine.record_result(failed=True, now=0.0)
        self.assertIsInstance(choose(engines, _placing(), 0.0), Endpoint)

    def test_plain_service_prefers_its_domain_until_loaded(self) -> None:
        """Guards against crossing domains without need, and against filling the near endpoint."""
        table = EndpointTable()
        for n in range(4):
            table.apply(an_entry(f"e{n}", failure_domain=f"z{n}"))
        endpoints = table.of_service("shop")
        placing = _placing(service=a_service(), failure_domain="z2")
        first = choose(endpoints, placing, 0.0)
        assert isinstance(first, Endpoint)
        self.assertEqual(first.entry.failure_domain, "z2")
        first.in_flight = 2
        second = choose(endpoints, placing, 0.0)
        assert isinstance(second, Endpoint)
        self.assertNotEqual(second.entry.failure_domain, "z2")
