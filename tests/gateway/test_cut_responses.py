"""Tests of responses that are cut, reset or altered at any byte."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from attrs import frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import (
    EndpointConnections,
    Exchange,
    ExchangeFailure,
    Interrupt,
    InterruptedWaitError,
)
from sequoiadrum.gateway.memory_budget import ResponseMemory
from sequoiadrum.messages import Address
from sequoiadrum.platform.headers import PlatformHeaderCodec
from tests.gateway.builders import a_call
from tests.gateway.scripted_endpoint import Connection, Received, ScriptedEndpoint, ok
from tests.gateway.world import WAIT_S, World
from tests.http_messages import (
    BODY,
    Message,
    a_framed_response,
    an_unframed_response,
    response_head,
    response_messages,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_HEADERS = [("Sequoiadrum-Request-Id", "q1")]
_LARGE_BODY = b"x" * 20_000_000
"""Larger than the buffers of both ends of a connection."""


@frozen
class Whole:
    """A response that an exchange passed on as complete."""

    status: int
    body: bytes


def run_exchange(
    address: Address,
    body: bytes = b"hello",
    guard: Callable[[], None] | None = None,
    connections: EndpointConnections | None = None,
) -> Whole | ExchangeFailure:
    """Runs one exchange; fails if the request was not sent."""
    if connections is None:
        connections = EndpointConnections(PlatformHeaderCodec())
    check = guard or deadline_guard()
    result = connections.send("e1", address, a_call(), _HEADERS, body, check, is_retryable=False)
    if isinstance(result, Exchange):
        read = result.read_all(1_000_000, ResponseMemory(64_000_000).open())
        result.close()
        connections.forget("e1")
        if isinstance(read, ExchangeFailure):
            return read
        return Whole(result.head.status, b"".join(read.blocks()))
    assert isinstance(result, ExchangeFailure), result
    return result


def deadline_guard(after_s: float = WAIT_S) -> Callable[[], None]:
    """Returns a guard that ends the wait after a time."""
    deadline = clock.now() + after_s

    def check() -> None:
        if clock.now() >= deadline:
            raise InterruptedWaitError(Interrupt.DEADLINE)

    return check


class CutResponseTest(unittest.TestCase):
    """What comes out of an exchange is the whole response or a failure, for each byte."""

    def setUp(self) -> None:
        self.data = b""
        self.is_reset = False
        self.endpoint = ScriptedEndpoint(self._send)
        self.addCleanup(self.endpoint.stop)

    def _send(self, connection: Connection, request: Received) -> None:
        connection.send(self.data)
        if self.is_reset:
            connection.reset()
        else:
            connection.sock.shutdown(socket.SHUT_WR)
            connection.sock.close()

    def _wrong_cuts(self, message: Message) -> list[tuple[int, Whole | ExchangeFailure]]:
        """Returns the sizes at which a cut response passes for another one than was sent."""
        wrong = []
        for size in range(len(message.data) + 1):
            self.data = message.data[:size]
            result = run_exchange(self.endpoint.address)
            if isinstance(result, ExchangeFailure):
                if size == len(message.data) and not self.is_reset:
                    wrong.append((size, result))
                continue
            if not self._may_pass(message, size, result):
                wrong.append((size, result))
        return wrong

    def _may_pass(self, message: Message, size: int, result: Whole) -> bool:
        if message.is_unframed and not self.is_reset and size >= message.head_size:
            # The endpoint lives and has ended its response here.
            return result.body == message.data[message.head_size : size]
        return size == len(message.data) and result.body == message.body

    def test_response_that_ends_early_never_passes_for_whole(self) -> None:
        """Guards against an empty or short body that reaches a caller as a success."""
        for message in response_messages():
            with self.subTest(message.name):
                self.assertEqual(self._wrong_cuts(message), [])

    def test_response_that_is_reset_never_passes_for_whole(self) -> None:
        """Guards against a reset that is taken for the end of a response."""
        self.is_reset = True
        for message in response_messages():
            with self.subTest(message.name):
                self.assertEqual(self._wrong_cuts(message), [])

    def test_response_that_arrives_byte_by_byte_is_whole(self) -> None:
        """Guards against a reader that takes the bytes of one read for a whole line or chunk."""

        def send_slowly(connection: Connection, request: Received) -> None:
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for position in range(len(self.data)):
                connection.send(self.data[position : position + 1])
                time.sleep(0.001)
            connection.sock.shutdown(socket.SHUT_WR)

        self.endpoint.script = send_slowly
        for message in response_messages():
            self.data = message.data
            with self.subTest(message.name):
                result = run_exchange(self.endpoint.address)
                assert isinstance(result, Whole), result
                self.assertEqual(result.body, message.body)

    def test_cut_response_to_another_request_is_a_failure(self) -> None:
        """Guards against a late response to another request that is cut and passes for its own."""
        for message in response_messages():
            other = message.data.replace(b"Request-Id: q1", b"Request-Id: q0")
            for size in range(len(message.data) + 1):
                self.data = other[:size]
                result = run_exchange(self.endpoint.address)
                self.assertIsInstance(result, ExchangeFailure, (message.name, size))

    def test_reset_that_a_write_meets_first_is_not_an_end(self) -> None:
        """Guards against a reset that the write of the request consumes, as Linux reports it once.

        The endpoint answers before it has read the body of the request.
        """

        def read_head(connection: Connection) -> Received | None:
            data = connection.sock.recv(4096)
            return Received(data.partition(b"\r\n\r\n")[0], b"") if data else None

        message = an_unframed_response()
        self.data, self.is_reset = message.data[:-5], True
        with mock.patch.object(Connection, "read", read_head):
            for _ in range(5):
                result = run_exchange(self.endpoint.address, _LARGE_BODY)
                self.assertIsInstance(result, ExchangeFailure)

    def test_framed_response_to_a_request_that_was_not_read_is_passed_on(self) -> None:
        """Guards against a refusal with a length that is lost because the write failed."""

        def read_head(connection: Connection) -> Received | None:
            data = connection.sock.recv(4096)
            return Received(data.partition(b"\r\n\r\n")[0], b"") if data else None

        self.data = response_head("Content-Length: 2", status="413 Too Large") + b"no"
        self.is_reset = True
        with mock.patch.object(Connection, "read", read_head):
            result = run_exchange(self.endpoint.address, _LARGE_BODY)
        self.assertEqual(result, Whole(413, b"no"))

    def test_endpoint_killed_in_the_middle_of_an_unframed_response(self) -> None:
        """Guards against the regular end that the kernel sends for a killed process."""
        message = an_unframed_response()
        for size in (message.head_size, message.head_size + 4):
            part = message.data[:size].decode("latin-1")
            command = [sys.executable, "-m", "tests.gateway.killed_endpoint", part]
            with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
                assert process.stdout is not None
                port = int(process.stdout.readline())
                result = run_exchange(Address("127.0.0.1", port))
                process.wait(WAIT_S)
            self.assertIsInstance(result, ExchangeFailure, size)


class AlteredResponseTest(unittest.TestCase):
    """Responses whose head or framing breaks the rules of HTTP are failures."""

    def _run(self, data: bytes, max_checks: int = 10) -> Whole | ExchangeFailure:
        """Runs an exchange with an endpoint that keeps the connection open after its response.

        Args:
            data: Bytes of the response.
            max_checks: How often the guard is called, every 2 ms, before it ends the wait for more.
        """
        was_sent = threading.Event()

        def script(connection: Connection, request: Received) -> None:
            connection.send(data)
            was_sent.set()
            connection.wait_for_end()

        endpoint = ScriptedEndpoint(script)
        checks = 0

        def guard() -> None:
            nonlocal checks
            checks += was_sent.is_set()
            if checks > max_checks:
                raise InterruptedWaitError(Interrupt.DEADLINE)

        try:
            with mock.patch("sequoiadrum.gateway._sockets.GUARD_INTERVAL_S", 0.002):
                return run_exchange(endpoint.address, guard=guard)
        finally:
            endpoint.stop()

    def test_spoiled_byte_never_changes_what_passes_for_whole(self) -> None:
        """Guards against one wrong byte that turns a response into another one."""
        lengths = {b"Content-Length: 13": (16, 17), b"chunked\r\n\r\nd": (11,)}
        for message in (
            a_framed_response(),
            next(each for each in response_messages() if each.name == "trailers"),
        ):
            # A length that was altered into another length cannot be recognised.
            unrecognizable = {
                message.data.index(text) + offset
                for text, offsets in lengths.items()
                if text in message.data
                for offset in offsets
            }
            status = message.data.index(b" 200") + 1
            body_at = message.data.index(BODY)
            for position in range(len(message.data)):
                if status <= position < status + 3 or body_at <= position < body_at + len(BODY):
                    continue
                for value in b" :\n\rX\x00":
                    if position in unrecognizable and value == ord(" "):
                        continue
                    data = bytearray(message.data)
                    data[position] = value
                    result = self._run(bytes(data))
                    if isinstance(result, Whole):
                        self.assertEqual(result, Whole(200, message.body), bytes(data))

    def test_head_that_breaks_the_rules_is_a_failure(self) -> None:
        """Guards against a spoiled head whose body is read with a wrong length or none."""
        for name, data in {
            "line without a colon": response_head("spoiled line", "Content-Length: 13"),
            "line without a name": response_head(": x", "Content-Length: 13"),
            "space in a name": response_head("Content Length: 13"),
            "folded line": response_head("X-A: 1", " 2", "Content-Length: 13"),
            "control character": response_head("X-A: a\x00b", "Content-Length: 13"),
            "carriage return": response_head("X-A: a\rb", "Content-Length: 13"),
            "two lengths": response_head("Content-Length: 13", "Content-Length: 5"),
            "list of lengths": response_head("Content-Length: 13, 5"),
            "negative length": response_head("Content-Length: -5"),
            "signed length": response_head("Content-Length: +13"),
            "length with underscore": response_head("Content-Length: 1_3"),
            "length in words": response_head("Content-Length: 1E"),
            "empty length": response_head("Content-Length:"),
            "unknown coding": response_head("Transfer-Encoding: chunkee"),
            "two codings": response_head("Transfer-Encoding: gzip, chunked"),
            "empty coding": response_head("Transfer-Encoding:"),
            "length beside chunks": response_head(
                "Transfer-Encoding: chunked", "Content-Length: 13"
            ),
            "chunks in HTTP/1.0": response_head("Transfer-Encoding: chunked", version="HTTP/1.0"),
            "other version": response_head("Content-Length: 13", version="HTTP/2.0"),
            "status of two digits": response_head("Content-Length: 13", status="20 OK"),
            "status below 100": response_head("Content-Length: 13", status="099 OK"),
            "switch of protocols": response_head(status="101 Switching Protocols"),
            "bare line feed": response_head("Content-Length: 13").replace(b"\r\n", b"\n"),
        }.items():
            body = b"d\r\n" + BODY + b"\r\n0\r\n\r\n" if b"Transfer" in data else BODY
            with self.subTest(name):
                self.assertIsInstance(self._run(data + body), ExchangeFailure)

    def test_chunk_that_breaks_the_rules_is_a_failure(self) -> None:
        """Guards against chunk sizes and ends that a lenient parser reads as something else."""
        head = response_head("Transfer-Encoding: chunked")
        for body in (
            b"-5\r\nHello\r\n0\r\n\r\n",
            b"+5\r\nHello\r\n0\r\n\r\n",
            b"0x5\r\nHello\r\n0\r\n\r\n",
            b"0_5\r\nHello\r\n0\r\n\r\n",
            b" 5\r\nHello\r\n0\r\n\r\n",
            b"\r\nHello\r\n0\r\n\r\n",
            b"5\nHello\r\n0\r\n\r\n",
            b"5\r\nHelloXX0\r\n\r\n",
            b"5\r\nHello\r\n0\r\nno colon\r\n\r\n",
            b"5\r\nHello\r\n0\r\n\n",
            b"5;a\x00\r\nHello\r\n0\r\n\r\n",
        ):
            with self.subTest(body):
                self.assertIsInstance(self._run(head + body), ExchangeFailure)

    def test_success_without_the_id_of_its_request_is_a_failure(self) -> None:
        """Guards against an answer to another request, or to none, that reaches the caller."""
        head = response_head("Content-Length: 13")
        for replaced in (b"", b"Sequoiadrum-Request-Id:\r\n", b"Sequoiadrum-Request-Id: q2\r\n"):
            data = head.replace(b"Sequoiadrum-Request-Id: q1\r\n", replaced) + BODY
            with self.subTest(replaced):
                self.assertIsInstance(self._run(data), ExchangeFailure)

    def test_rejection_without_the_id_of_its_request_is_a_failure(self) -> None:
        """Guards against a run order that counts as not run by the rejection of another."""
        for status in ("503 Full", "421 Misdirected Request", "429 Too Many", "500 Error"):
            head = response_head("Sequoiadrum-Not-Executed: 1", "Content-Length: 13", status=status)
            data = head.replace(b"Sequoiadrum-Request-Id: q1\r\n", b"") + BODY
            with self.subTest(status):
                self.assertIsInstance(self._run(data), ExchangeFailure)

    def test_two_ids_are_a_failure(self) -> None:
        """Guards against a head that belongs to two requests."""
        head = response_head("Sequoiadrum-Request-Id: q2", "Content-Length: 13")
        self.assertIsInstance(self._run(head + BODY), ExchangeFailure)

    def test_unusual_but_valid_heads_pass(self) -> None:
        """Guards against sound endpoints whose responses are rejected for their style."""
        chunked = b"d\r\n" + BODY + b"\r\n0\r\n\r\n"
        for name, data in {
            "case of names": response_head("cOnTeNt-LeNgTh: 13") + BODY,
            "spaces around a value": response_head("Content-Length:  \t 13 \t ") + BODY,
            "no space before a value": response_head("Content-Length:13") + BODY,
            "empty value": response_head("X-Empty:", "Content-Length: 13") + BODY,
            "bytes above ASCII": response_head("X-Name: \xe9\xff", "Content-Length: 13") + BODY,
            "same length twice": response_head("Content-Length: 13", "Content-Length: 13") + BODY,
            "same length in a list": response_head("Content-Length: 13, 13") + BODY,
            "leading zeros": response_head("Content-Length: 0013") + BODY,
            "no reason": response_head("Content-Length: 13", status="200 ") + BODY,
            "no space before the missing reason": response_head("Content-Length: 13", status="200")
            + BODY,
            "HTTP/1.0 with a length": response_head("Content-Length: 13", version="HTTP/1.0")
            + BODY,
            "case of the coding": response_head("transfer-encoding: CHUNKED") + chunked,
            "upper-case chunk size": response_head("Transfer-Encoding: chunked")
            + chunked.replace(b"d\r\nH", b"D\r\nH"),
            "quoted extension": response_head("Transfer-Encoding: chunked")
            + chunked.replace(b"d\r\nH", b'd;a="b;c"\r\nH'),
        }.items():
            with self.subTest(name):
                self.assertEqual(self._run(data, 5000), Whole(200, BODY))

    def test_http_1_0_response_that_ends_with_its_connection_passes(self) -> None:
        """Guards against a sound endpoint of the older version that is never heard."""

        def script(connection: Connection, request: Received) -> None:
            connection.send(response_head(version="HTTP/1.0") + BODY)
            connection.sock.shutdown(socket.SHUT_WR)
            connection.sock.close()

        endpoint = ScriptedEndpoint(script)
        self.addCleanup(endpoint.stop)
        self.assertEqual(run_exchange(endpoint.address), Whole(200, BODY))


class CutResponseWholePathTest(unittest.TestCase):
    """A gateway with an endpoint that breaks off the heads of its responses."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)

    def _cut_head(self, connection: Connection, request: Received) -> None:
        head = response_head().replace(b"q1", request.request_id.encode())
        connection.send(head[:-2])
        connection.sock.shutdown(socket.SHUT_WR)
        connection.sock.close()

    def test_order_with_a_cut_head_is_not_confirmed(self) -> None:
        """Guards against an order that is confirmed with an empty body."""
        self.world.add("e1", ScriptedEndpoint(self._cut_head))
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_read_with_a_cut_head_is_retried(self) -> None:
        """Guards against an empty answer to a request that may be sent again."""
        self.world.add("e1", ScriptedEndpoint(self._cut_head))
        self.world.add("e2", ScriptedEndpoint(ok))
        for n in range(4):
            status, _, body = self.world.call("/read/x", f"q{n}")
            self.assertEqual((status, body), (200, b"done"))


if __name__ == "__main__":
    unittest.main()
