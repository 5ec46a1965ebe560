"""Tests of requests around the graceful shutdown of a whole gateway."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from attrs import evolve
from returns.result import Failure

from sequoiadrum.gateway import app, clock
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.messages import Address
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
        eventually(lambda: self.gateway.shutdown.has_begun, "the stop has begun")

    def await_stop(self) -> None:
        """Waits until the gateway has stopped."""
        self._stopper.join(WAIT_S)

    def wait_until(self, seconds: float) -> None:
        """Waits until some seconds after the begin of the stop."""
        plan = self.gateway.shutdown.plan
        assert plan is not None
        while clock.now() < plan.started_at + seconds:
            time.sleep(0.01)

    def order(self, request_id: str, kept: http.client.HTTPConnection | None = None) -> int | None:
        """Sends an order; returns the status, or None if the connection ends without a response.

        Args:
            request_id: Id of the request.
            kept: Connection to send it on; None for a new one.
        """
        connection = kept or self.world.connect()
        try:
            connection.request("POST", "/order/x", b"a", self.headers(request_id))
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            if kept is None:
                connection.close()

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


class AcceptedRequestTest(unittest.TestCase):
    """A request that a stopping gateway has read gets its response."""

    def assert_answered(self, stopping: StoppingWorld, statuses: dict[str, int | None]) -> None:
        """Asserts that each request has a response, and that refused ones were not sent."""
        for request_id, status in statuses.items():
            with self.subTest(request_id):
                self.assertIn(status, (200, 503))
                if status == 503:
                    self.assertFalse(stopping.received(request_id))

    def test_long_order_accepted_late_is_answered(self) -> None:
        """Guards against an accepted order that lasts as long as its route permits and is cut."""
        stopping = StoppingWorld(self, 3.0, 2.0, after(1.8))
        stopping.begin_stop()
        statuses: dict[str, int | None] = {}
        callers = []
        for number, seconds in enumerate((0.2, 0.8, 1.3, 1.45, 2.0)):
            stopping.wait_until(seconds)
            name = f"q{number}"
            callers.append(
                threading.Thread(target=lambda n=name: statuses.update({n: stopping.order(n)}))
            )
            callers[-1].start()
        for caller in callers:
            caller.join(WAIT_S)
        stopping.await_stop()
        self.assertEqual(len(statuses), 5)
        self.assert_answered(stopping, statuses)
        self.assertEqual(statuses["q0"], 200)

    def test_order_that_arrives_during_the_drain_is_answered(self) -> None:
        """Guards against an order that is accepted while connections close, and cut 0.3 s later."""
        self.enterContext(mock.patch.object(app, "DIRECTORY_LIFETIME_S", 0.1))
        stopping = StoppingWorld(self, 5.0, 2.0, after(0.8))
        connection = stopping.world.connect()
        self.addCleanup(connection.close)
        connection.putrequest("POST", "/order/x", skip_host=True)
        for name, value in stopping.headers("q1").items():
            connection.putheader(name, value)
        connection.putheader("Transfer-Encoding", "chunked")
        connection.endheaders()
        connection.send(b"5\r\nhello\r\n")
        stopping.begin_stop()
        eventually(lambda: stopping.gateway.servers._is_draining, "the drain has begun")
        connection.send(b"0\r\n\r\n")
        self.assertEqual(connection.getresponse().status, 200)
        stopping.await_stop()

    def test_order_that_arrives_just_before_the_drain_is_answered(self) -> None:
        """Guards against an order that is accepted after the last count of requests in flight."""
        self.enterContext(mock.patch.object(app, "DIRECTORY_LIFETIME_S", 0.1))
        for is_kept in (False, True):
            with self.subTest(is_kept=is_kept):
                self._send_before_drain(is_kept)

    def _send_before_drain(self, is_kept: bool) -> None:
        stopping = StoppingWorld(self, 5.0, 2.0, after(0.8))
        connection = stopping.world.connect()
        self.addCleanup(connection.close)
        if is_kept:
            connection.request("POST", "/order/x", b"a", stopping.headers("q0"))
            connection.getresponse().read()
        drain, is_sent = stopping.gateway.servers.drain, threading.Event()

        def send_and_drain(*arguments: Any) -> bool:
            connection.request("POST", "/order/x", b"a", stopping.headers("q1"))
            eventually(lambda: stopping.received("q1"), "the order has begun")
            is_sent.set()
            return drain(*arguments)

        with mock.patch.object(stopping.gateway.servers, "drain", send_and_drain):
            stopping.begin_stop()
            self.assertTrue(is_sent.wait(WAIT_S))
            self.assertEqual(connection.getresponse().status, 200)
            stopping.await_stop()

    def test_many_orders_that_cross_the_end_are_answered_or_not_sent(self) -> None:
        """Guards against an order between two counts when the gateway decides to end."""
        self.enterContext(mock.patch.object(app, "DIRECTORY_LIFETIME_S", 0.1))
        stopping = StoppingWorld(self, 5.0, 2.0, after(0.02))
        outcomes: dict[str, int | None] = {}

        def order_again_and_again(caller: int) -> None:
            kept = stopping.world.connect() if caller % 2 else None
            for number in range(1_000):
                name = f"q{caller}-{number}"
                outcomes[name] = stopping.order(name, kept)
                if outcomes[name] is None:
                    break
            if kept is not None:
                kept.close()

        callers = [
            threading.Thread(target=order_again_and_again, args=(n,), daemon=True)
            for n in range(16)
        ]
        for caller in callers:
            caller.start()
        eventually(lambda: len(outcomes) > 100, "orders are answered")
        stopping.begin_stop()
        for caller in callers:
            caller.join(WAIT_S)
        stopping.await_stop()
        lost = [name for name, status in outcomes.items() if status is None]
        self.assertEqual([name for name in lost if stopping.received(name)], [])
        self.assertEqual(stopping.lines("request_cut"), [])


class LookupTest(unittest.TestCase):
    """A request that waits for a lookup when the gateway stops."""

    def test_wait_for_a_lookup_ends_with_the_stop(self) -> None:
        """Guards against a request that ends with the process while the store is slow."""
        stopping = StoppingWorld(self, 1.0, 4.0, after(0.0))
        gate = threading.Event()
        self.addCleanup(gate.set)
        configuration = stopping.gateway.configuration
        self.enterContext(mock.patch.object(configuration, "is_confirmed", return_value=False))
        self.enterContext(
            mock.patch.object(configuration, "confirm", side_effect=lambda _: gate.wait(WAIT_S))
        )
        connection = stopping.world.connect()
        self.addCleanup(connection.close)
        connection.request("POST", "/nowhere/x", b"a", stopping.headers("n1"))
        eventually(lambda: stopping.gateway.servers.active() == 1, "the request waits")
        stopping.begin_stop()
        self.assertEqual(connection.getresponse().status, 503)
        stopping.await_stop()


class UnfinishedRequestTest(unittest.TestCase):
    """A request that cannot be completed is answered before the process ends."""

    def test_order_without_response_is_answered(self) -> None:
        """Guards against an order that ends with its connection when the process ends."""

        def be_silent(connection: Connection, _: Received) -> None:
            connection.wait_for_end()

        def send_part(connection: Connection, request: Received) -> None:
            connection.send(answer(request, b"x" * 10)[:-5])
            connection.wait_for_end()

        scripts: dict[str, Script] = {"silent": be_silent, "part of a body": send_part}
        for name, script in scripts.items():
            with self.subTest(name):
                stopping = StoppingWorld(self, 1.0, 20.0, script)
                statuses: list[int | None] = []
                caller = threading.Thread(
                    target=lambda s=stopping, found=statuses: found.append(s.order("q1"))
                )
                caller.start()
                eventually(lambda s=stopping: s.received("q1"), "the order has begun")
                stopping.begin_stop()
                caller.join(WAIT_S)
                stopping.await_stop()
                self.assertEqual(statuses, [504])
                self.assertEqual(stopping.lines("request_refused")[0]["reason"], "stopped")
                self.assertEqual(stopping.lines("request_cut"), [])

    def test_stream_without_event_is_answered(self) -> None:
        """Guards against a stream whose caller waits for the first event and gets no answer."""

        def begin_only(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request))
            connection.wait_for_end()

        stopping = StoppingWorld(self, 1.0, 20.0, begin_only)
        connection = stopping.world.connect()
        self.addCleanup(connection.close)
        connection.request("POST", "/tag/x", b"a", stopping.headers("s1"))
        eventually(lambda: stopping.received("s1"), "the stream has begun")
        stopping.begin_stop()
        self.assertEqual(connection.getresponse().status, 504)
        stopping.await_stop()

    def test_request_that_was_not_sent_is_refused_as_not_run(self) -> None:
        """Guards against an answer that leaves open whether an order ran that was never sent."""
        stopping = StoppingWorld(self, 1.0, 20.0, after(0.0))
        stopping.world.endpoints["e1"].stop()
        stopping.world.store.delete("servers", "e1")
        for number in range(3):
            stopping.world.register(f"f{number}", self.full_listener())
        eventually(lambda: stopping.gateway.pool.can_route_to("f2"), "the endpoints are known")
        statuses: list[int | None] = []
        caller = threading.Thread(target=lambda: statuses.append(stopping.order("q1")))
        caller.start()
        time.sleep(0.1)  # Lets the first connection attempt begin.
        stopping.begin_stop()
        caller.join(WAIT_S)
        stopping.await_stop()
        self.assertEqual(statuses, [503])
        self.assertEqual(stopping.lines("request_refused")[0]["reason"], "stopping")

    def full_listener(self) -> Address:
        """Returns the address of a listener on which new connections stay unanswered."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        for _ in range(3):
            filling = socket.socket()
            self.addCleanup(filling.close)
            filling.setblocking(False)
            filling.connect_ex(listener.getsockname())
        return Address("127.0.0.1", listener.getsockname()[1])


class LateStopTest(unittest.TestCase):
    """The end of the process does not move when something is late or changes."""

    def test_grace_period_begins_with_the_signal(self) -> None:
        """Guards against a process that is killed because it noticed its stop signal late."""
        world = World(bounds=bounds(stop_grace_s=1.0))
        self.addCleanup(world.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        sent: list[float] = []

        def notice_late(_: threading.Event) -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            sent.append(clock.now())
            time.sleep(0.5)
            os.kill(os.getpid(), signal.SIGTERM)

        with mock.patch.object(app, "wait_for_signal", notice_late):
            self.assertEqual(world.gateway.run(), 0)
        plan = world.gateway.shutdown.plan
        assert plan is not None
        self.assertLessEqual(plan.started_at, sent[0])

    def test_unresponsive_store_does_not_delay_the_stop(self) -> None:
        """Guards against a shutdown that waits for the store while its grace period passes."""
        stopping = StoppingWorld(self, 1.0, 20.0, after(0.0))
        instances, may_end = stopping.gateway._instances, threading.Event()
        self.addCleanup(may_end.set)
        has_called = threading.Event()

        def delete(*_: Any) -> Any:
            has_called.set()
            may_end.wait(WAIT_S)
            return Failure(StoreFailure.UNREACHABLE)

        with mock.patch.object(instances._store, "delete", delete):
            stopping.begin_stop()
            stopping.await_stop()
            self.assertTrue(has_called.wait(WAIT_S))
        self.assertFalse(may_end.is_set())
        self.assertEqual(len(stopping.lines("stopped")), 1)

    def test_reload_does_not_change_a_stop_that_has_begun(self) -> None:
        """Guards against requests that are accepted by a grace period that does not apply."""
        stopping = StoppingWorld(self, 1.0, 20.0, after(0.0))
        stopping.begin_stop()
        changed = evolve(stopping.gateway.settings, bounds=bounds(stop_grace_s=30.0))
        stopping.gateway._apply_settings(changed)
        plan = stopping.gateway.shutdown.plan
        assert plan is not None
        self.assertEqual(plan.grace_s, 1.0)
        self.assertEqual(stopping.order("q1"), 503)
        stopping.await_stop()

    def test_request_that_needs_the_store_is_refused_at_once(self) -> None:
        """Guards against a request that waits for the store when the process ends."""
        stopping = StoppingWorld(self, 2.0, 0.5, after(0.0))
        confirm = stopping.gateway.configuration.confirm
        pauses = stopping.gateway.state._pauses
        stopping.begin_stop()
        with mock.patch.object(
            stopping.gateway.configuration, "confirm", wraps=confirm
        ) as confirmed:
            self.assertEqual(stopping.world.call("/nowhere/x", "q1")[0], 503)
            unknown = {"Sequoiadrum-Key": "other"}
            self.assertEqual(stopping.world.call("/order/x", "q2", headers=unknown)[0], 503)
            with mock.patch.object(pauses, "observe", return_value=clock.now()):
                self.assertEqual(stopping.world.call("/order/x", "q3")[0], 503)
            confirmed.assert_not_called()
        self.assertEqual(stopping.order("q4"), 200)
        stopping.await_stop()
