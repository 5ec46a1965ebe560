"""Tests of the question where a request would go now."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from http.client import HTTPConnection
from typing import Any
from unittest import mock

from returns.result import Failure

from sequoiadrum.cli import run
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.homes import HomeRegions
from sequoiadrum.gateway.load_board import Loads, endpoint_key
from sequoiadrum.gateway.model import EngineLoad, RequestKind, ResponseHead, WeightedService
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.routing import RoutingTable
from sequoiadrum.gateway.where import WhereExplainer, parse_description, text_of
from sequoiadrum.messages import Address
from tests.gateway.builders import a_call, a_config, a_route, a_service, an_entry, bounds
from tests.gateway.world import World, eventually

DRAFT = "host=shop.example&path=/draft/x&prompt=sys:500,thread:9000,own:300&account=acme"


class ParseTest(unittest.TestCase):
    """Descriptions of requests."""

    def test_wrong_descriptions_are_told_in_one_line(self) -> None:
        """Guards against a stack trace, or an answer to another question than the one meant."""
        for query in (
            "",
            "host=a",
            "path=/a",
            "host=a&path=b",
            "host=a&path=/b&colour=red",
            "host=a&path=/b&host=c",
            "host=a&path=/b&prompt=sys",
            "host=a&path=/b&prompt=sys:many",
            "host=a&path=/b&prompt=sys:-1",
            "host=a&path=/b&priority=10",
            "host=a&path=/b&output_tokens=1e9",
            "host=a&path=/b&prompt=" + ",".join(["a:1"] * 65),
            "&".join(["host=a"] * 40),
        ):
            parsed = parse_description(query)
            with self.subTest(query=query[:60]):
                assert isinstance(parsed, Failure)
                self.assertNotIn("\n", parsed.failure())
                self.assertTrue(parsed.failure())


class WhereTest(unittest.TestCase):
    """Answers from a pool on virtual time."""

    def setUp(self) -> None:
        self.now = 100.0
        patched = mock.patch.object(clock, "now", self._clock)
        patched.start()
        self.addCleanup(patched.stop)
        self.pool = EndpointPool(bounds(), lambda: 69)
        for n in range(6):
            entry = an_entry(f"e{n}", service="model", slots=24, failure_domain=f"z{n % 2}")
            self.pool.apply(entry, is_newly_joined=False)
        routes = (
            a_route(
                name="draft",
                path_prefix="/draft/",
                kind=RequestKind.STREAM,
                services=(WeightedService("model", 1.0),),
            ),
        )
        configuration = mock.Mock()
        configuration.routing.return_value = RoutingTable(a_config(routes=routes))
        configuration.version.return_value = 7
        self.where = WhereExplainer(configuration, self.pool, HomeRegions({}), "g1", "z1")

    def _clock(self) -> float:
        return self.now

    def _request(self) -> PlacementRequest:
        call = a_call("where", (("sys", 500), ("thread", 9_000), ("own", 300)))
        return PlacementRequest(a_service("model", 128), call, "z1", False)

    def _answer(self, query: str = DRAFT) -> dict[str, Any]:
        return self.where.answer(query).unwrap()

    def _share_hosts(self) -> None:
        placement = self.pool.take(self._request())
        assert not isinstance(placement, PlacementFailure)
        head = ResponseHead(200, "OK", "q", None, False, True, EngineLoad(1, 0, 24, 1.5), None, ())
        self.pool.record_response(placement, head, failed=False)
        self.pool.release(placement)

    def test_answer_is_where_the_request_goes(self) -> None:
        """Guards against an explanation that differs from the decision."""
        for is_even in (False, True):
            if is_even:
                self._share_hosts()
            answer = self._answer()
            placement = self.pool.take(self._request())
            assert not isinstance(placement, PlacementFailure)
            self.assertEqual(answer["endpoint"], placement.endpoint.id)
            self.assertEqual(answer["choice"], "even" if is_even else "in_flight")
            self.assertEqual(answer["candidates"][0]["endpoint"], placement.endpoint.id)
            self.assertIsNone(answer["candidates"][0]["passed_over"])
            self.assertEqual(answer["candidates"][1]["passed_over"], "lower_rank")
            self.pool.release(placement)

    def test_busy_home_is_passed_over_with_the_reason(self) -> None:
        """Guards against an answer that does not say why the home of a prompt is left."""
        home = self._answer()["endpoint"]
        for endpoint_id in ("e0", "e1", "e2", "e3", "e4", "e5"):
            endpoint = self.pool._table.by_id[endpoint_id]
            load = 60 if endpoint_id == home else 2
            self.loads = {**getattr(self, "loads", {}), endpoint_key(endpoint.id_hash): load}
        self.pool.set_fleet_loads(Loads(self.loads, {}))
        answer = self._answer()
        self.assertNotEqual(answer["endpoint"], home)
        by_id = {each["endpoint"]: each for each in answer["candidates"]}
        self.assertEqual(by_id[home]["passed_over"], "above_load_bound")
        self.assertEqual(by_id[home]["load"], 60)
        self.assertIn("passed_over=above_load_bound", text_of(answer))

    def test_failing_home_is_not_probed(self) -> None:
        """Guards against a question that uses up the next probe of a failing endpoint."""
        home = self._answer()["endpoint"]
        endpoint = self.pool._table.by_id[home]
        for _ in range(20):
            endpoint.record_result(failed=True, now=self.now)
        before = endpoint.next_probe_at
        answer = self._answer()
        self.assertEqual(endpoint.next_probe_at, before)
        self.assertNotEqual(answer["endpoint"], home)
        by_id = {each["endpoint"]: each for each in answer["candidates"]}
        self.assertEqual(by_id[home]["passed_over"], "failing")

    def test_questions_change_nothing(self) -> None:
        """Guards against counts, homes, hot parts and probes that a question changes."""
        self._share_hosts()
        before = self._state()
        for n in range(50):
            self._answer(f"{DRAFT}&request=q{n}")
        self.assertEqual(self._state(), before)

    def _state(self) -> tuple[object, ...]:
        endpoints = [
            (e.id, e.in_flight, e.started_since_load, e.next_probe_at, e.results, e.failures)
            for e in self.pool._table.by_id.values()
        ]
        loads = self.pool.own_loads()
        parts = {k: list(v) for k, v in self.pool._hot_parts._sent_at_by_part.items()}
        return endpoints, loads, parts, repr(self.pool._part_memory), self.pool.cold.count(self.now)

    def test_what_cannot_be_routed_is_said(self) -> None:
        """Guards against an error where the answer is that the request would be refused."""
        self.assertEqual(self._answer("host=other&path=/draft/x")["refused"], "route_unknown")
        self.assertIn("refused: route_unknown", text_of(self._answer("host=other&path=/x")))
        unknown = self.where.answer("host=shop.example&path=/draft/x&account=nobody")
        self.assertIn("nobody", unknown.failure())

    def test_service_without_endpoints(self) -> None:
        """Guards against an exception where a service has no endpoint."""
        for n in range(6):
            endpoint = self.pool._table.by_id[f"e{n}"]
            self.pool._table._delete(endpoint)
        self.assertEqual(self._answer()["refused"], "unknown_service")


class CommandTest(unittest.TestCase):
    """The command against a running gateway."""

    def _run(self, *arguments: str) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            status = run(["where", *arguments])
        return status, output.getvalue(), errors.getvalue()

    def test_running_gateway_is_asked(self) -> None:
        """Guards against a command that no gateway answers, or that sends the request."""
        world = World()
        self.addCleanup(world.stop)
        world.start()
        world.register("e1", Address("127.0.0.1", 9))
        eventually(lambda: world.gateway.pool.can_route_to("e1"), "e1 is known")
        router = f"127.0.0.1:{world.settings.metrics_port}"
        described = ("shop.example", "/read/x", "--account", "acme")
        status, output, _ = self._run(router, *described, "--json")
        self.assertEqual(status, 0)
        self.assertEqual(json.loads(output)["endpoint"], "e1")
        status, output, _ = self._run(router, *described)
        self.assertIn("endpoint e1", output)
        status, output, _ = self._run(router, "x", "/y")
        self.assertEqual((status, "route_unknown" in output), (1, True))
        status, _, errors = self._run(router, *described[:2], "--account", "nobody")
        self.assertEqual((status, errors.count("\n")), (2, 1))
        connection = HTTPConnection("127.0.0.1", world.ports[2], timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/where?host=shop.example&path=/read/x")
        self.assertEqual(connection.getresponse().status, 404)

    def test_wrong_input_is_one_line_and_a_status(self) -> None:
        """Guards against stack traces for a mistyped command."""
        described = ("a", "/b")
        for arguments in (
            ("nowhere", *described),
            ("127.0.0.1:1", "a", "b"),
            ("127.0.0.1:1", *described, "--priority", "11"),
            ("127.0.0.1:1", *described, "--prompt", "sys"),
        ):
            status, output, errors = self._run(*arguments)
            with self.subTest(arguments=arguments):
                self.assertEqual((status, output, errors.count("\n")), (2, "", 1))
        status, _, errors = self._run("127.0.0.1:1", *described)
        self.assertEqual((status, errors.count("\n")), (5, 1))


if __name__ == "__main__":
    unittest.main()
