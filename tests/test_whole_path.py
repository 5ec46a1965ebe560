"""End-to-end tests of requests and operator commands with real processes."""

from __future__ import annotations

import contextlib
import io
import time
import unittest

from sequoiadrum.cli import run
from tests.builders import a_chat_body
from tools.fleet import Fleet, call_json


class WholePathTest(unittest.TestCase):
    """Requests pass through routers, engines and a service."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet(["--address-ttl-s=0.2"]))
        cls.fleet.start_platform()
        for engine_id in ("e1", "e2"):
            cls.fleet.start_engine(engine_id, "--token-ms=1")
        cls.fleet.start_service("s1")
        cls.fleet.write_config(cls.fleet.default_config(accounts=1))
        for router_id in ("r1", "r2"):
            cls.fleet.start_router(router_id)
        cls.fleet.wait_converged()

    def test_chat_returns_whole_answer(self) -> None:
        """Guards against a response that loses tokens in the router."""
        router = self.fleet.routers_by_id["r1"].address
        headers = {"X-Account": "account-0", "X-Chat-Id": "c1"}
        status, completion = call_json(
            router, "POST", "/v1/chat/completions", a_chat_body(max_tokens=20), headers
        )
        self.assertEqual(status, 200, completion)
        words = completion["choices"][0]["message"]["content"].split()
        self.assertEqual(len(words), 20)
        self.assertEqual(completion["choices"][0]["finish_reason"], "stop")

    def test_operator_commands_reach_a_router(self) -> None:
        """Guards against a router that does not start its operator interface."""
        router = self.fleet.routers_by_id["r1"].operator_address
        for command in (["account", "list"], ["fleet"], ["plan", "list"], ["counters"]):
            with contextlib.redirect_stdout(io.StringIO()):
                self.assertEqual(run([*command, f"--router={router}"]), 0, command)

    def test_repeated_key_runs_once(self) -> None:
        """Guards against a second execution when a caller retries a key at another router."""
        headers = {
            "X-Account": "account-0",
            "Idempotency-Key": "k1",
            "Idempotency-Issued-At": str(int(time.time() * 1000)),
        }
        responses = [
            call_json(router.address, "POST", "/v1/services/orders/confirm", {"n": 2}, headers)
            for router in self.fleet.routers_by_id.values()
        ]
        self.assertEqual([status for status, _ in responses], [201, 201], responses)
        self.assertEqual(responses[0][1], responses[1][1])
        service = self.fleet.services_by_id["s1"].address
        executions = call_json(service, "GET", "/_stats")[1]["executions"]
        self.assertEqual(executions["account-0:k1"], 1)
