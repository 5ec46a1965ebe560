"""Tests of `gateway.front`."""

from __future__ import annotations

import contextlib
import errno
import http.client
import socket
import threading
import time
import unittest
from typing import Final
from unittest import mock

from waitress import wasyncore

from sequoiadrum.gateway import front
from sequoiadrum.gateway.front import ServerGroup
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from tests.gateway.world import WAIT_S, eventually
from tools.ports import free_ports

_ENDLESS_REQUESTS: Final = {
    "head": (b"POST /a HTTP/1.1\r\nHost: a\r\n", b"X-More: 1\r\n" * 50),
    "header": (b"POST /a HTTP/1.1\r\nHost: a\r\nX-Long: ", b"a" * 1_000),
    "chunked body": (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"c350\r\n" + b"a" * 50_000 + b"\r\n",
    ),
    "chunk extension": (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"a" * 1_000,
    ),
    "trailers": (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n" * 50,
    ),
}


class EndlessRequestTest(unittest.TestCase):
    """Callers whose requests never end."""

    def _create(self, memory_mb: int = 200) -> tuple[ServerGroup, int, Metrics]:
        metrics = Metrics()
        (port,) = free_ports(1)

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            start_response("200 OK", [("Content-Length", "0")])
            return []

        group = ServerGroup(2_000, memory_mb, metrics)
        group.add_callers(application, Address("127.0.0.1", port))
        return group, port, metrics

    def _start(self, memory_mb: int = 200) -> tuple[int, Metrics]:
        group, port, metrics = self._create(memory_mb)
        group.start()
        self.addCleanup(group.stop)
        return port, metrics

    def _open(self, port: int) -> socket.socket:
        caller = socket.create_connection(("127.0.0.1", port), WAIT_S)
        self.addCleanup(caller.close)
        return caller

    def _send_until_closed(self, caller: socket.socket, first: bytes, repeated: bytes) -> int:
        """Sends for as long as the server reads; returns the number of bytes sent."""
        sent = 0
        try:
            caller.sendall(first)
            for _ in range(100_000):
                caller.sendall(repeated)
                sent += len(repeated)
        except OSError:
            return sent
        raise AssertionError(f"the server has read {sent} bytes")

    def _is_served(self, port: int) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
        try:
            connection.request("GET", "/")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def test_bytes_without_end_are_bounded(self) -> None:
        """Guards against memory that a caller can take without limit."""
        port, _ = self._start()
        for name, (first, repeated) in _ENDLESS_REQUESTS.items():
            with self.subTest(name):
                sent = self._send_until_closed(self._open(port), first, repeated)
                self.assertLess(sent, 60_000_000)
                self.assertTrue(self._is_served(port))

    def test_many_bodies_together_are_bounded(self) -> None:
        """Guards against many callers that take the memory of a router together."""
        port, metrics = self._start(memory_mb=50)
        callers = [self._open(port) for _ in range(200)]
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
        for caller in callers:
            caller.sendall(head + b"a" * 200_000)
        eventually(
            lambda: metrics.value("connections_dropped_total", reason="input_memory") >= 100,
            "the callers that do not fit are dropped",
        )
        self.assertTrue(self._is_served(port))

    def test_request_that_dribbles_in_is_dropped(self) -> None:
        """Guards against connections that are held by one byte now and then."""
        with mock.patch.object(front.GatewayServer, "arrival_timeout_s", 1.0):
            port, metrics = self._start()
            callers = [self._open(port) for _ in range(200)]
            for caller in callers:
                caller.sendall(b"POST /a HTTP/1.1\r\n")
            stopped = threading.Event()
            self.addCleanup(stopped.set)

            def dribble() -> None:
                while not stopped.wait(0.05):
                    for caller in callers:
                        with contextlib.suppress(OSError):
                            caller.send(b"X")

            threading.Thread(target=dribble, daemon=True).start()
            eventually(
                lambda: metrics.value("connections_dropped_total", reason="slow_request") == 200,
                "all slow callers are dropped",
            )
            self.assertTrue(self._is_served(port))

    def test_dropped_connection_does_not_close_the_next_one(self) -> None:
        """Guards against a sound caller whose connection gets the descriptor of a dropped one."""
        with mock.patch.object(front.GatewayServer, "arrival_timeout_s", 0.0):
            group, port, _ = self._create()
            self.addCleanup(group.stop)

            def poll() -> None:
                wasyncore.loop(timeout=0.2, use_poll=True, map=group._loop_map, count=1)

            (server,) = group._caller_servers
            slow = self._open(port)
            slow.sendall(b"POST /a HTTP/1.1\r\n")
            while not any(channel.request for channel in server.active_channels.values()):
                poll()
            server.maintenance(time.time())
            sound = self._open(port)
            # The cleanup drops the slow caller in the iteration that accepts the sound one.
            server.next_channel_cleanup = 0.0
            poll()
            sound.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            group.start()
            self.assertEqual(sound.recv(12), b"HTTP/1.1 200")


class PipeliningTest(unittest.TestCase):
    """Callers send requests before they have read the answers to former ones."""

    REQUESTS = 300

    def setUp(self) -> None:
        (port,) = free_ports(1)
        self.paths: list[str] = []

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            self.paths.append(environ["PATH_INFO"])
            body = environ["PATH_INFO"].encode()
            start_response("200 OK", [("Content-Length", str(len(body)))])
            return [body]

        self.metrics = Metrics()
        self.group = ServerGroup(2_000, 200, self.metrics)
        self.group.add_callers(application, Address("127.0.0.1", port))
        (self.server,) = self.group._caller_servers
        self.caller = socket.socket()
        self.addCleanup(self.caller.close)
        self.port = port

    def _start(self) -> None:
        self.group.start()
        self.addCleanup(self.group.stop)
        self.caller.settimeout(WAIT_S)
        self.caller.connect(("127.0.0.1", self.port))

    def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        """Guards against requests that are lost, or parsed long before they are answered."""
        parsed = []
        parse = front._RequestParser.received

        def count(parser: front._RequestParser, data: bytes) -> int:
            consumed = parse(parser, data)
            if parser.completed:
                parsed.append(len(self.paths))
            return consumed

        self.enterContext(mock.patch.object(front._RequestParser, "received", count))
        self._start()
        names = [f"/{number}" for number in range(self.REQUESTS)]
        requests = [f"GET {name} HTTP/1.1\r\nHost: a\r\n\r\n" for name in names]
        self.caller.sendall("".join(requests).encode())
        received = b""
        while received.count(b"HTTP/1.1 200") < self.REQUESTS or not received.endswith(
            names[-1].encode()
        ):
            received += self.caller.recv(65_536)
        self.assertEqual(self.paths, names)
        # At most one request was parsed beyond those that the application had seen.
        self.assertLessEqual(max(n - seen for n, seen in enumerate(parsed)), 1)

    def test_request_behind_half_of_another_is_served(self) -> None:
        """Guards against a connection that is not read again after a request was sent ahead."""
        self._start()
        self.caller.sendall(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nHo")
        eventually(lambda: self.paths == ["/a"], "the first request is served")
        time.sleep(0.1)  # Lets the event loop parse the half of the second one.
        self.caller.sendall(b"st: a\r\n\r\n")
        eventually(lambda: self.paths == ["/a", "/b"], "the second request is served")

    def test_accepting_goes_on_when_descriptors_ran_out(self) -> None:
        """Guards against a server that never accepts again, or spins, after EMFILE."""
        failures = [OSError(errno.EMFILE, "too many open files")] * 3
        accept = self.server.accept

        def fail_first() -> object:
            if failures:
                raise failures.pop()
            return accept()

        self.enterContext(mock.patch.object(self.server, "accept", fail_first))
        self._start()
        self.caller.sendall(b"GET /a HTTP/1.1\r\n\r\n")
        eventually(lambda: self.paths == ["/a"], "the request is served")
        name = "connections_refused_total"
        self.assertEqual(self.metrics.value(name, reason="descriptors"), 3)


class DrainTest(unittest.TestCase):
    """The server closes its connections at the end of a graceful shutdown."""

    def setUp(self) -> None:
        (self.port,) = free_ports(1)
        self.may_respond = threading.Event()
        self.addCleanup(self.may_respond.set)
        self.calls: list[str] = []

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            self.calls.append(environ["PATH_INFO"])
            if environ["PATH_INFO"] == "/slow":
                self.may_respond.wait(WAIT_S)
            start_response("200 OK", [("Content-Length", "0")])
            return []

        self.group = ServerGroup(2_000, 200, Metrics())
        self.group.add_callers(application, Address("127.0.0.1", self.port))
        self.group.start()
        self.addCleanup(self.group.stop)

    def _connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT_S)
        self.addCleanup(connection.close)
        return connection

    def test_request_that_was_read_gets_its_response(self) -> None:
        """Guards against requests that are cut off because they came just before the end."""
        slow, partial = self._connect(), self._connect()
        slow.request("GET", "/slow")
        partial.connect()
        partial.sock.sendall(b"GET /rest HTTP/1.1\r\nHost")
        eventually(lambda: "/slow" in self.calls, "the slow request is in flight")
        time.sleep(0.1)  # Lets the part of the other request arrive.
        self.assertFalse(self.group.drain(0.2))
        partial.sock.sendall(b": a\r\n\r\n")
        self.may_respond.set()
        self.assertEqual(slow.getresponse().status, 200)
        self.assertTrue(partial.sock.recv(100).startswith(b"HTTP/1.1 200"))

    def test_requests_during_the_drain_are_answered_or_not_read(self) -> None:
        """Guards against a request that was read, and whose connection closes without response."""
        responses, stopped = [], threading.Event()

        def call_again_and_again(path: str) -> None:
            connection = self._connect()
            while not stopped.is_set():
                try:
                    connection.request("GET", path)
                    responses.append(connection.getresponse().read())
                except (OSError, http.client.HTTPException):
                    return

        threads = [
            threading.Thread(target=call_again_and_again, args=(f"/{n}",), daemon=True)
            for n in range(8)
        ]
        for thread in threads:
            thread.start()
        eventually(lambda: len(responses) > 100, "requests are answered")
        self.assertTrue(self.group.drain(WAIT_S))
        for thread in threads:
            thread.join(WAIT_S)
        stopped.set()
        self.assertEqual(len(responses), len(self.calls))
        with self.assertRaises(OSError):
            socket.create_connection(("127.0.0.1", self.port), WAIT_S)


class OverloadTest(unittest.TestCase):
    """The server receives more requests than it has threads."""

    def test_request_without_a_thread_is_refused_at_once(self) -> None:
        """Guards against requests that wait in a queue until their callers time out."""
        may_respond = threading.Event()
        self.addCleanup(may_respond.set)
        metrics = Metrics()
        (port,) = free_ports(1)

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            may_respond.wait(WAIT_S)
            start_response("200 OK", [("Content-Length", "0")])
            return []

        with mock.patch.multiple(front, CALLER_THREADS=1, MAX_WAITING_REQUESTS=1):
            group = ServerGroup(1_000, 200, metrics)
            group.add_callers(application, Address("127.0.0.1", port))
            group.start()
            self.addCleanup(group.stop)
            connections = []
            for n in range(2):
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
                self.addCleanup(connection.close)
                connection.request("GET", "/")
                connections.append(connection)
                eventually(lambda n=n: group.active() == n + 1, "the request has arrived")
            third = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
            self.addCleanup(third.close)
            third.request("GET", "/")
            response = third.getresponse()
            self.assertEqual(response.status, 503)
            self.assertIsNotNone(response.getheader("Retry-After"))
            self.assertEqual(metrics.value("refusals_total", reason="overloaded"), 1)
            may_respond.set()
            self.assertEqual([c.getresponse().status for c in connections], [200, 200])
