"""Whole-path tests of endpoints that say they leave, or when to come back."""

from __future__ import annotations

import time
import unittest

from sequoiadrum.gateway.endpoints import FULL_PAUSE_S
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    Script,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    ok,
    stream_head,
)
from tests.gateway.world import World, eventually

LEAVING = "Server-Leaving: 1\r\n"
NOT_EXECUTED = "Sequoiadrum-Not-Executed: 1\r\n"
BACK_IN_30 = "Retry-After: 30\r\n"


def says(headers: str, status: str = "200 OK") -> Script:
    """Returns a script that responds with some headers."""
    return lambda connection, request: connection.send(
        answer(request, status=status, headers=headers)
    )


def leaving_stream(connection: Connection, request: Received) -> None:
    """Script of an endpoint that says that it leaves at the head of a stream."""
    head = stream_head(request).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n".encode())
    connection.send(head + chunk(event(1)) + chunk(b""))


class NoticeTest(unittest.TestCase):
    """A whole gateway with scripted endpoints."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.stop)
        self.world.start()

    def add(self, *scripts: Script, service: str = "shop") -> list[ScriptedEndpoint]:
        """Registers endpoints."""
        endpoints = [ScriptedEndpoint(script) for script in scripts]
        for number, endpoint in enumerate(endpoints):
            self.world.add(f"e{number}", endpoint, service)
        return endpoints

    def call_until_reached(self, endpoint: ScriptedEndpoint, path: str) -> None:
        """Sends requests until one has reached an endpoint."""
        for number in range(200):
            self.world.call(path, f"first-{number}")
            if endpoint.received:
                return
        self.fail("no request has reached the endpoint")

    def test_leaving_endpoint_gets_no_new_request(self) -> None:
        """Guards against requests to an endpoint that leaves while its entry is still ready.

        It says so in any response: to a success, a failure, a rejection, at another address, or at
        the head of a stream.
        """
        cases = {
            "success": (says(LEAVING), "/read/1"),
            "failure": (says(LEAVING, "500 Failed"), "/read/1"),
            "not found": (says(LEAVING, "404 Not Found"), "/order/1"),
            "rejection": (says(LEAVING + NOT_EXECUTED, "503 Full"), "/order/1"),
            "misdirected": (says(LEAVING, "421 Misdirected"), "/order/1"),
            "stream": (leaving_stream, "/draft/1"),
        }
        for name, (script, path) in cases.items():
            with self.subTest(name):
                world = World()
                self.addCleanup(world.stop)
                self.world = world.start()
                service = "model" if name == "stream" else "shop"
                leaving, other = self.add(script, says(""), service=service)
                self.call_until_reached(leaving, path)
                before = len(other.received)
                for number in range(20):
                    world.call("/read/1" if service == "shop" else path, f"q{number}")
                self.assertEqual((len(leaving.received), len(other.received)), (1, before + 20))

    def test_leaving_is_final_for_the_process(self) -> None:
        """Guards against a later entry of the same process that brings requests back."""
        (leaving,) = self.add(says(LEAVING))
        self.assertEqual(self.world.call("/read/1")[0], 200)
        self.world.register("e0", leaving.address)
        late = ScriptedEndpoint(ok)
        self.world.add("e1", late)
        for number in range(10):
            self.assertEqual(self.world.call("/read/1", f"q{number}")[0], 200)
        self.assertEqual(len(leaving.received), 1)
        self.assertEqual(len(late.received), 10)

    def test_last_endpoint_that_leaves(self) -> None:
        """Guards against a caller who waits for nothing when the last endpoint leaves."""
        (leaving,) = self.add(says(LEAVING))
        self.assertEqual(self.world.call("/read/1", "q0")[0], 200)
        status, headers, body = self.world.call("/read/1", "q1")
        self.assertEqual((status, body), (503, b"no_endpoint\n"))
        self.assertIn("retry-after", headers)
        self.assertEqual(len(leaving.received), 1)

    def test_connection_to_a_leaving_endpoint_is_closed(self) -> None:
        """Guards against kept connections that hold up the end of an endpoint."""
        ended = []

        def leave(connection: Connection, request: Received) -> None:
            connection.send(answer(request, headers=LEAVING))
            ended.append(connection.wait_for_end())

        self.add(leave)
        self.assertEqual(self.world.call("/read/1")[0], 200)
        eventually(lambda: ended, "the connection has ended")
        self.assertEqual(ended, [True])

    def test_endpoint_that_turns_the_router_away_gets_nothing(self) -> None:
        """Guards against requests to an endpoint that has named a time, while others are free."""
        busy, _, _ = self.add(says(NOT_EXECUTED + BACK_IN_30, "503 Full"), ok, ok)
        self.call_until_reached(busy, "/read/1")
        for number in range(60):
            if number % 10 == 0:
                time.sleep(1.5 * FULL_PAUSE_S)
            self.assertEqual(self.world.call("/read/1", f"q{number}")[0], 200)
        self.assertEqual(len(busy.received), 1)

    def test_callers_are_refused_at_once_when_all_are_away(self) -> None:
        """Guards against one caller after the other who is refused by way of an endpoint.

        The time to come back must be true, and not the same for all.
        """
        script = says(NOT_EXECUTED + BACK_IN_30, "503 Full")
        endpoints = self.add(script, script)
        for number in range(4):
            self.assertEqual(self.world.call("/order/1", f"first-{number}")[0], 503)
        times = set()
        for number in range(20):
            status, headers, body = self.world.call("/order/1", f"q{number}")
            self.assertEqual((status, body), (503, b"endpoints_turned_away\n"))
            times.add(float(headers["retry-after"]))
        self.assertEqual([len(e.received) for e in endpoints], [1, 1])
        self.assertGreater(min(times), 15.0)
        self.assertLess(max(times), 46.0)
        self.assertGreater(len(times), 10)
        metrics = self.world.gateway.metrics.exposition()
        self.assertIn('endpoint_holds_total{reason="turned_away"} 2', metrics)

    def test_time_of_an_endpoint_is_no_advice_to_callers(self) -> None:
        """Guards against a caller who stays away for a time that was meant for this router."""
        busy, _ = self.add(says(BACK_IN_30 + LEAVING, "503 Busy"), ok)
        answers = [self.world.call("/order/1", f"q{number}") for number in range(30)]
        self.assertEqual(len(busy.received), 1)
        refused = [headers for status, headers, _ in answers if status == 503]
        self.assertEqual(len(refused), 1)
        self.assertLess(float(refused[0]["retry-after"]), 5.0)
        self.assertNotIn("server-leaving", refused[0])

    def test_header_that_cannot_be_used_changes_nothing(self) -> None:
        """Guards against an endpoint that is given up for a value without a meaning."""
        (endpoint,) = self.add(
            says(f"Retry-After: -5\r\nServer-Leaving: soon\r\n{NOT_EXECUTED}", "503 Full")
        )
        self.assertEqual(self.world.call("/order/1", "q0")[0], 503)
        endpoint.script = ok
        eventually(lambda: self.world.call("/order/1", "q1")[0] == 200, "it is used again")
        metrics = self.world.gateway.metrics.exposition()
        for name in ("retry_after_s", "is_leaving"):
            self.assertIn(f'unusable_headers_total{{field="{name}"}}', metrics)
