"""Tests of requests around the graceful shutdown of a whole gateway."""

from __future__ import annotations

import http.client
import json
import threading
import time
import unittest
from typing import Any

from sequoiadrum.gateway import app
from tests.gateway.builders import bounds
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    Script,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    stream_head,
)
from tests.gateway.world import WAIT_S, World, config_document, eventually, route_document


def after(seconds: float) -> Script:
    """Returns a script that responds after some time."""

    def respond(connection: Connection, request: Received) -> None:
        time.sleep(seconds)
        connection.send(answer(request))

    return respond


class StoppingWorld:
    """A gateway with one endpoint whose stop a test observes."""

    def __init__(self, test: unittest.TestCase, grace_s: float, timeout_s: float, script: Script):
        self.world = World(bounds=bounds(stop_grace_s=grace_s))
        test.addCleanup(self.world.stop)
        timeout_ms = int(timeout_s * 1e3)
        routes = [
            route_document("non_idempotent", "shop", "/order/", max_attempts=1),
            route_document("streaming", "shop", "/tag/", max_attempts=1),
        ]
        for route in routes:
            route["timeout_ms"] = timeout_ms
        self.world.start(config_document(routes=routes))
        self.endpoint = ScriptedEndpoint(script)
        self.world.add("e1", self.endpoint)
        self.gateway = self.world.gateway
        self._stopper = threading.Thread(target=self.gateway.stop, daemon=True)

    def begin_stop(self) -> None:
        """Stops the gateway in another thread; returns when the stop has begun."""
        self._stopper.start()
        eventually(lambda: self.gateway.state.stop_plan is not None, "the stop has begun")

    def await_stop(self) -> None:
        """Waits until the gateway has stopped."""
        self._stopper.join(WAIT_S)

    def wait_until(self, seconds: float) -> None:
        """Waits until some seconds after the begin of the stop."""
        plan = self.gateway.state.stop_plan
        assert plan is not None
        while app.clock.now() < plan.started_at + seconds:
            time.sleep(0.01)

    def order(self, request_id: str) -> int | None:
        """Sends an order; returns the status, or None if the connection ends without a response."""
        try:
            return self.world.call("/order/x", request_id, headers=self.headers(request_id))[0]
        except (OSError, http.client.HTTPException):
            return None

    def received(self, request_id: str) -> bool:
        """Returns whether the endpoint received a request."""
        return request_id in [request.request_id for request in self.endpoint.received]

    def lines(self, event_name: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event."""
        records = [json.loads(line) for line in self.world.output.getvalue().splitlines()]
        return [record for record in records if record["event"] == event_name]

    @staticmethod
    def headers(request_id: str) -> dict[str, str]:
        """Returns the headers of a request whose caller waits longer than any route permits."""
        return {**World.headers(request_id), "Sequoiadrum-Deadline-Ms": "30000"}


class CutRequestTest(unittest.TestCase):
    """A request that the end of the process cuts off is named."""

    def test_cut_request_is_logged_and_counted(self) -> None:
        """Guards against a request that ends with the process without a trace in its log."""

        def begin_only(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            connection.wait_for_end()

        stopping = StoppingWorld(self, 1.0, 20.0, begin_only)
        connection = stopping.world.connect()
        self.addCleanup(connection.close)
        connection.request("POST", "/tag/x", b"a", stopping.headers("s1"))
        response = connection.getresponse()
        stopping.begin_stop()
        with self.assertRaises((OSError, http.client.HTTPException)):
            response.read()
        stopping.await_stop()
        (line,) = stopping.lines("request_cut")
        self.assertEqual(
            {name: line[name] for name in ("request", "route", "kind", "endpoint", "attempts")},
            {"request": "s1", "route": "r-tag", "kind": "stream", "endpoint": "e1", "attempts": 1},
        )
        self.assertTrue(line["was_sent"])
        self.assertLess(line["accepted_ms_after_stop"], 0)
        self.assertGreaterEqual(line["age_ms"], -line["accepted_ms_after_stop"])
        self.assertEqual(stopping.lines("stopped")[0]["cut"], 1)
        exposition = stopping.gateway.metrics.exposition()
        self.assertIn('requests_cut_total{kind="stream"} 1', exposition)

    def test_completed_requests_are_not_in_flight(self) -> None:
        """Guards against completed requests that are reported as cut off."""

        def respond(connection: Connection, request: Received) -> None:
            if "/tag/" in request.line:
                connection.send(stream_head(request) + chunk(event(1)) + b"0\r\n\r\n")
            else:
                connection.send(answer(request))

        stopping = StoppingWorld(self, 1.0, 20.0, respond)
        self.assertEqual(stopping.order("q1"), 200)
        self.assertEqual(stopping.world.call("/tag/x", "s1")[0], 200)
        stopping.begin_stop()
        stopping.await_stop()
        self.assertEqual(stopping.lines("request_cut"), [])
        self.assertEqual(stopping.lines("stopped")[0]["cut"], 0)
