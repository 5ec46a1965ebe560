"""Tests that each wait of a request ends when its caller leaves, and that nothing is sent then."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway._sockets import connect_stream
from sequoiadrum.gateway.exchange import (
    EndpointConnections,
    Interrupt,
    InterruptedWaitError,
    NotSent,
)
from sequoiadrum.gateway.front import _Channel
from sequoiadrum.gateway.guarded_calls import GuardedCalls
from sequoiadrum.messages import Address
from sequoiadrum.platform.headers import PlatformHeaderCodec
from tests.gateway.builders import a_call
from tests.gateway.scripted_endpoint import ScriptedEndpoint, answer, ok
from tests.gateway.world import WAIT_S, World, eventually

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.gateway.scripted_endpoint import Connection, Received

PATHS = ("/order/1", "/read/1", "/draft/1", "/tag/1")
"""One path for each kind of request."""


class LeftError(Exception):
    """Raised by the guards of the tests."""


class SilentAddress:
    """An address at which no connection is established, without a reset."""

    def __init__(self, test: unittest.TestCase) -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        test.addCleanup(listener.close)
        self.address = Address("127.0.0.1", listener.getsockname()[1])
        for _ in range(3):
            filler = socket.socket()
            test.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())


class LeavingCaller:
    """A caller that sends one request and can leave before its response."""

    def __init__(self, world: World, path: str, request_id: str) -> None:
        self._socket = socket.create_connection(("127.0.0.1", world.ports[0]), WAIT_S)
        headers = {**World.headers(request_id), "Content-Length": "5"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._socket.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\norder".encode())

    def leave(self) -> None:
        """Closes the connection."""
        self._socket.close()


def refusals(world: World, reason: str) -> int:
    """Returns how many requests the gateway has refused for a reason."""
    match = re.search(
        rf'refusals_total{{reason="{reason}"}} (\d+)', world.gateway.metrics.exposition()
    )
    return int(match[1]) if match is not None else 0


class WaitTest(unittest.TestCase):
    """A gateway on the way from the caller to the endpoints."""

    def start(self) -> World:
        world = World()
        self.addCleanup(world.stop)
        return world.start()

    def wait_until_left(self, world: World, count: int = 1) -> None:
        eventually(lambda: refusals(world, "caller_gone") >= count, "the request has ended")

    def test_request_is_not_sent_on_after_a_wait_for_a_connection(self) -> None:
        """Guards against a request that is sent to the next endpoint although its caller has left.

        The first endpoint accepts no connection; the caller leaves during this wait.
        """
        world = self.start()
        silent = SilentAddress(self)
        endpoints = [ScriptedEndpoint(ok) for _ in range(4)]
        for number, endpoint in enumerate(endpoints):
            world.add(f"e{number}", endpoint, ("shop", "model")[number // 2])
        for number, path in enumerate(PATHS):
            with self.subTest(path=path):
                attempts: list[Address] = []
                connecting = threading.Event()

                def connect(
                    address: Address,
                    timeout_s: float,
                    *guard: Callable[[], None],
                    attempts: list[Address] = attempts,
                    connecting: threading.Event = connecting,
                ) -> socket.socket:
                    attempts.append(address)
                    connecting.set()
                    first = silent.address if len(attempts) == 1 else address
                    return connect_stream(first, timeout_s, *guard)

                with mock.patch("sequoiadrum.gateway.exchange.connect_stream", connect):
                    caller = LeavingCaller(world, path, f"q{number}")
                    self.assertTrue(connecting.wait(WAIT_S))
                    caller.leave()
                    eventually(lambda: world.gateway.servers.active() == 0, "the request has ended")
                self.assertEqual([r.request_id for e in endpoints for r in e.received], [])
                self.assertEqual(refusals(world, "caller_gone"), number + 1)

    def test_rejected_order_is_not_sent_again(self) -> None:
        """Guards against an order whose caller has left before an endpoint rejected it."""
        world = self.start()
        caller: LeavingCaller
        arrived, left = threading.Event(), threading.Event()

        def reject(connection: Connection, request: Received) -> None:
            arrived.set()
            left.wait(WAIT_S)
            headers = "Sequoiadrum-Not-Executed: 1\r\n"
            connection.send(answer(request, status="503 Busy", headers=headers))

        first = ScriptedEndpoint(reject)
        world.add("e1", first)
        caller = LeavingCaller(world, "/order/1", "q1")
        self.assertTrue(arrived.wait(WAIT_S))
        other = ScriptedEndpoint(ok)
        world.add("e2", other)
        self.leave_and_wait(world, caller)
        left.set()
        self.wait_until_left(world)
        self.assertEqual((len(first.received), other.received), (1, []))

    def test_order_that_was_sent_is_completed(self) -> None:
        """Guards against an order that is broken off when its caller leaves after it was sent."""
        world = self.start()
        arrived, left, answered = threading.Event(), threading.Event(), threading.Event()

        def finish(connection: Connection, request: Received) -> None:
            arrived.set()
            left.wait(WAIT_S)
            connection.send(answer(request))
            answered.set()

        world.add("e1", ScriptedEndpoint(finish))
        caller = LeavingCaller(world, "/order/1", "q1")
        self.assertTrue(arrived.wait(WAIT_S))
        self.leave_and_wait(world, caller)
        left.set()
        self.assertTrue(answered.wait(WAIT_S))
        eventually(lambda: world.gateway.servers.active() == 0, "the order has ended")
        self.assertIn('requests_total{status="200"} 1', world.gateway.metrics.exposition())
        self.assertEqual(refusals(world, "caller_gone"), 0)

    def test_order_is_not_sent_after_a_wait_for_a_unit_of_a_rate(self) -> None:
        """Guards against an order that is sent when a unit is granted after its caller has left."""
        world = self.start()
        asked, left = threading.Event(), threading.Event()

        def acquire(_: int) -> bool:
            asked.set()
            return left.wait(WAIT_S)

        limited = "Server-Limit: 100\r\n"
        endpoint = ScriptedEndpoint(lambda c, r: c.send(answer(r, headers=limited)))
        world.add("e1", endpoint)
        self.assertEqual(world.call("/order/1", "q0")[0], 200)
        with mock.patch.object(world.gateway._load_exchange, "acquire", acquire):
            caller = LeavingCaller(world, "/order/1", "q1")
            self.assertTrue(asked.wait(WAIT_S))
            self.leave_and_wait(world, caller)
            left.set()
            self.wait_until_left(world)
        self.assertEqual([r.request_id for r in endpoint.received], ["q0"])

    def test_order_is_not_sent_after_a_wait_for_a_thread(self) -> None:
        """Guards against an order that is run when a thread is free after its caller has left."""
        self.enterContext(mock.patch("sequoiadrum.gateway.front.CALLER_THREADS", 1))
        world = self.start()
        arrived, left = threading.Event(), threading.Event()

        def wait(connection: Connection, request: Received) -> None:
            arrived.set()
            left.wait(WAIT_S)
            connection.send(answer(request))

        endpoint = ScriptedEndpoint(wait)
        world.add("e1", endpoint)
        first = LeavingCaller(world, "/read/1", "q0")
        self.addCleanup(first.leave)
        self.assertTrue(arrived.wait(WAIT_S))
        caller = LeavingCaller(world, "/order/1", "q1")
        eventually(lambda: world.gateway.servers.active() == 2, "the order waits for a thread")
        self.leave_and_wait(world, caller, remaining=1)
        left.set()
        eventually(lambda: world.gateway.servers.active() == 0, "both requests have ended")
        self.assertEqual([r.request_id for r in endpoint.received], ["q0"])

    def test_order_is_not_sent_if_its_caller_left_before_it_was_read(self) -> None:
        """Guards against an order that is sent because the end of its connection was not read yet.

        A process that was held up finds the order and the end of its connection together.
        """
        world = self.start()
        endpoint = ScriptedEndpoint(ok)
        world.add("e1", endpoint)
        arrived, left = threading.Event(), threading.Event()
        received = _Channel.received

        def receive(channel: _Channel, data: bytes) -> bool:
            arrived.set()
            left.wait(WAIT_S)
            is_accepted = received(channel, data)
            # The reading thread sees the end of the connection only after the order has ended.
            eventually(lambda: world.gateway.servers.active() == 0, "the order has ended")
            return is_accepted

        with mock.patch.object(_Channel, "received", receive):
            caller = LeavingCaller(world, "/order/1", "q1")
            self.assertTrue(arrived.wait(WAIT_S))
            caller.leave()
            left.set()
            self.wait_until_left(world)
        self.assertEqual(endpoint.received, [])

    def test_order_is_not_sent_after_a_wait_for_the_configuration(self) -> None:
        """Guards against a wait for the store or a peer that a leaving caller does not end."""
        world = self.start()
        endpoint = ScriptedEndpoint(ok)
        world.add("e1", endpoint)
        asked, replied = threading.Event(), threading.Event()
        self.addCleanup(replied.set)

        def confirm(_: float) -> bool:
            asked.set()
            return replied.wait(WAIT_S)

        holder = world.gateway.configuration
        with (
            mock.patch.object(holder, "confirm", confirm),
            mock.patch.object(holder, "is_confirmed", return_value=False, create=True),
        ):
            caller = LeavingCaller(world, "/unknown/1", "q1")
            self.assertTrue(asked.wait(WAIT_S))
            caller.leave()
            self.wait_until_left(world)
        self.assertFalse(replied.is_set())
        self.assertEqual(endpoint.received, [])

    def leave_and_wait(self, world: World, caller: LeavingCaller, remaining: int = 0) -> None:
        """Leaves, and waits until the gateway has noticed it."""
        caller.leave()
        servers = world.gateway.servers._caller_servers
        eventually(
            lambda: sum(c.connected for s in servers for c in s.active_channels.values())
            == remaining,
            "the gateway has noticed that the caller has left",
        )


class GuardedConnectTest(unittest.TestCase):
    """The wait for a connection ends early."""

    def test_guard_ends_a_wait_for_a_connection(self) -> None:
        """Guards against a connection attempt that blocks although its request has ended."""
        silent = SilentAddress(self)
        calls = []

        def guard() -> None:
            calls.append(None)
            if len(calls) == 2:
                raise LeftError

        with self.assertRaises(LeftError):
            connect_stream(silent.address, 60.0, guard)

    def test_attempt_without_a_connection_ends_in_time(self) -> None:
        """Guards against an attempt without an end at an address that does not respond."""
        with self.assertRaises(OSError):
            connect_stream(SilentAddress(self).address, 0.2)

    def test_refused_connection_is_told_from_a_silent_address(self) -> None:
        """Guards against a refused connection that does not count as a crash of the endpoint."""
        listener = socket.create_server(("127.0.0.1", 0))
        address = Address("127.0.0.1", listener.getsockname()[1])
        listener.close()
        with self.assertRaises(ConnectionRefusedError):
            connect_stream(address, 1.0)

    def test_short_wait_says_nothing_of_the_endpoint(self) -> None:
        """Guards against a sound endpoint that is avoided because callers leave soon.

        A silent one must still be found out by callers who leave within its time limit.
        """
        address = SilentAddress(self).address
        for waited_s, is_unresponsive in ((0.1, False), (0.3, True)):
            with self.subTest(waited_s=waited_s):
                start = clock.now()
                times = [start]

                def guard(times: list[float] = times, waited_s: float = waited_s) -> None:
                    times.append(times[0] + waited_s)
                    raise InterruptedWaitError(Interrupt.CALLER_GONE)

                connections = EndpointConnections(PlatformHeaderCodec())
                with mock.patch.object(clock, "now", lambda times=times: times[-1]):
                    result = connections.send(
                        "e1", address, a_call(), [], b"", guard, False, unsent_guard=guard
                    )
                assert isinstance(result, NotSent)
                self.assertIs(result.interrupt, Interrupt.CALLER_GONE)
                self.assertEqual(result.is_unresponsive, is_unresponsive)


class GuardedCallTest(unittest.TestCase):
    """A request can stop waiting for a call that blocks."""

    def setUp(self) -> None:
        self.calls = GuardedCalls(1, "test")
        self.released = threading.Event()
        self.addCleanup(self.released.set)

    def test_guard_ends_the_wait_and_not_the_call(self) -> None:
        """Guards against a call that other requests need and that one caller's leaving ends."""
        done = threading.Event()

        def call() -> None:
            self.released.wait(WAIT_S)
            done.set()

        def guard() -> None:
            raise LeftError

        with self.assertRaises(LeftError):
            self.calls.run(call, guard)
        self.assertFalse(done.is_set())
        self.released.set()
        self.assertTrue(done.wait(WAIT_S))

    def test_call_that_has_not_begun_is_dropped(self) -> None:
        """Guards against threads that are busy with calls for callers who have left."""
        begun = []

        def guard() -> None:
            raise LeftError

        for _ in range(2):
            with contextlib.suppress(LeftError):
                self.calls.run(lambda: begun.append(self.released.wait(WAIT_S)), guard)
        self.released.set()
        self.calls.run(lambda: None, lambda: None)
        self.assertEqual(len(begun), 1)

    def test_result_and_failure_reach_the_request(self) -> None:
        """Guards against a failed call that counts as a result."""
        self.assertEqual(self.calls.run(lambda: 7, lambda: None), 7)
        with self.assertRaises(TimeoutError):
            self.calls.run(self._raise, lambda: None)

    @staticmethod
    def _raise() -> None:
        raise TimeoutError
