"""Tests of endpoints that send bytes without end, or one byte now and then."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.buffered_body import BodyBuffer
from sequoiadrum.gateway.exchange import (
    MAX_HEAD_BYTES,
    EndpointConnections,
    Exchange,
    ExchangeFailure,
    Interrupt,
    InterruptedWaitError,
)
from sequoiadrum.gateway.memory_budget import ResponseMemory
from sequoiadrum.gateway.relay import MAX_PLAIN_RESPONSE_BYTES
from sequoiadrum.gateway.sse_framing import MAX_EVENT_BYTES
from sequoiadrum.platform.headers import PlatformHeaderCodec
from tests.gateway.builders import a_call
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    ok,
    stream,
    stream_head,
)
from tests.gateway.world import WAIT_S, World, config_document, eventually, route_document

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_S: float = 0.6
_PLAIN_HEAD = "HTTP/1.1 200 OK\r\nSequoiadrum-Request-Id: {}\r\nSequoiadrum-Response-Seal: s.1\r\n"


def _plain_head(request: Received) -> bytes:
    return _PLAIN_HEAD.format(request.request_id).encode()


def _endless(first: bytes, repeated: bytes, pause_s: float = 0.0) -> Callable[..., None]:
    """Returns a script that sends bytes again and again until the gateway closes."""

    def script(connection: Connection, request: Received) -> None:
        connection.send(first.replace(b"REQUEST", request.request_id.encode()))
        while True:
            connection.send(repeated)
            time.sleep(pause_s)

    return script


_HEAD = _PLAIN_HEAD.format("REQUEST").encode()
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_SCRIPTS = {
    "interim responses": _endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "header lines": _endless(_HEAD, b"X-More: 1\r\n" * 50),
    "one header line": _endless(_HEAD + b"X-Long: ", b"a" * 1000),
    "status line": _endless(b"", b"a" * 1000),
    "trailer lines": _endless(_CHUNKED + chunk(b"x") + b"0\r\n", b"X-More: 1\r\n" * 50),
    "chunk extension": _endless(_CHUNKED + b"5;", b"a" * 1000),
    "body without length": _endless(_HEAD + b"\r\n", b"a" * 50_000),
    "chunked body": _endless(_CHUNKED, chunk(b"a" * 50_000)),
    "body of another response": _endless(
        _HEAD.replace(b"REQUEST", b"other") + b"Transfer-Encoding: chunked\r\n\r\n",
        chunk(b"a" * 50_000),
    ),
    "responses to other requests": _endless(
        b"", _HEAD.replace(b"REQUEST", b"other") + b"Content-Length: 2\r\n\r\nab"
    ),
    "head byte by byte": _endless(b"", b"H", 0.02),
    "header byte by byte": _endless(_HEAD + b"X-Slow: ", b"a", 0.02),
    "chunk by chunk": _endless(_CHUNKED, chunk(b"a"), 0.02),
    "chunk size digit by digit": _endless(_CHUNKED, b"0", 0.02),
    "trailer byte by byte": _endless(_CHUNKED + b"0\r\nX: ", b"a", 0.02),
    "body byte by byte": _endless(_HEAD + b"\r\n", b"a", 0.02),
}


class EndlessResponseTest(unittest.TestCase):
    """One exchange with an endpoint whose response never ends."""

    def _exchange(
        self, script: Callable[..., None], guard: Callable[[], None], body: bytes = b"x"
    ) -> ExchangeFailure | bytes:
        """Runs an exchange in a thread; fails if it does not end."""
        endpoint = ScriptedEndpoint(script)
        self.addCleanup(endpoint.stop)
        connections = EndpointConnections(PlatformHeaderCodec())
        results: list[Any] = []
        holding = ResponseMemory(64_000_000).open()

        def run() -> None:
            headers = [("Sequoiadrum-Request-Id", "q1")]
            result = connections.send(
                "e1", endpoint.address, a_call(), headers, body, guard, is_retryable=False
            )
            if isinstance(result, Exchange):
                read = result.read_all(MAX_PLAIN_RESPONSE_BYTES, holding)
                is_whole = isinstance(read, BodyBuffer)
                results.append(b"".join(read.blocks()) if is_whole else read)
            else:
                results.append(result)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(WAIT_S)
        self.assertFalse(thread.is_alive(), "the exchange does not end")
        return results[0]

    def test_ends_by_the_deadline(self) -> None:
        """Guards against a response that is read for as long as its endpoint sends bytes."""
        for name, script in _SCRIPTS.items():
            with self.subTest(name):
                result = self._exchange(script, _deadline_guard())
                self.assertIsInstance(result, ExchangeFailure)

    def test_large_heads_end_before_the_deadline(self) -> None:
        """Guards against memory and time that an endless head takes until the deadline."""
        for name in (
            "interim responses",
            "header lines",
            "one header line",
            "status line",
            "trailer lines",
            "chunk extension",
            "chunked body",
            "body of another response",
        ):
            with self.subTest(name):
                result = self._exchange(_SCRIPTS[name], lambda: None)
                assert isinstance(result, ExchangeFailure)
                self.assertIn(result.interrupt, (Interrupt.OVERSIZED, None))

    def test_caller_that_leaves_ends_the_wait(self) -> None:
        """Guards against work for a caller that is gone while bytes still arrive."""

        def guard() -> None:
            raise InterruptedWaitError(Interrupt.CALLER_GONE)

        for name in ("head byte by byte", "chunk by chunk", "body byte by byte"):
            with self.subTest(name):
                result = self._exchange(_SCRIPTS[name], guard)
                self.assertEqual(
                    result, ExchangeFailure(Interrupt.CALLER_GONE.value, Interrupt.CALLER_GONE)
                )

    def test_endpoint_that_reads_slowly_does_not_hold_the_request(self) -> None:
        """Guards against a request body that is written for as long as its endpoint reads a bit."""

        def script(connection: Connection, request: Received) -> None:
            return

        endpoint = ScriptedEndpoint(script)
        self.addCleanup(endpoint.stop)

        def read_slowly(self_: Connection) -> None:
            while self_.sock.recv(50_000):
                time.sleep(0.02)

        with unittest.mock.patch.object(Connection, "read", read_slowly):
            result = self._exchange(script, _deadline_guard(), b"x" * 40_000_000)
        self.assertEqual(result, ExchangeFailure(Interrupt.DEADLINE.value, Interrupt.DEADLINE))

    def test_long_head_below_the_bound_is_read(self) -> None:
        """Guards against a bound that rejects responses which are long but sound."""
        padding = "".join(f"X-{n}: {'a' * 500}\r\n" for n in range(90))
        self.assertLess(len(padding), MAX_HEAD_BYTES)

        def script(connection: Connection, request: Received) -> None:
            connection.send(answer(request, b"done", headers=padding))

        self.assertEqual(self._exchange(script, _deadline_guard(WAIT_S)), b"done")

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=40),
                st.sampled_from(
                    [
                        b"HTTP/1.1 200 OK\r\n",
                        b"HTTP/1.1 100 Continue\r\n\r\n",
                        b"Sequoiadrum-Request-Id: q1\r\n",
                        b"Content-Length: 5\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                        b"\r\n",
                        b"5\r\nabcde\r\n",
                        b"0\r\n\r\n",
                    ]
                ),
            ),
            max_size=12,
        ),
        st.booleans(),
    )
    def test_any_bytes_end_in_a_value(self, parts: list[bytes], repeats: bool) -> None:
        """Guards against bytes that raise out of the exchange or keep it from ending."""
        data = b"".join(parts)

        def script(connection: Connection, request: Received) -> None:
            for _ in itertools.count() if repeats and data else range(1):
                connection.send(data)
            connection.sock.close()

        result = self._exchange(script, _deadline_guard(0.15))
        self.assertIsInstance(result, (ExchangeFailure, bytes))


class EndlessResponseWholePathTest(unittest.TestCase):
    """A gateway with an endpoint whose responses never end."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)

    def test_order_is_not_reported_as_not_run(self) -> None:
        """Guards against a promise that an order did not run, although it may have."""
        self.world.add("e1", ScriptedEndpoint(_SCRIPTS["interim responses"]))
        status, _, _ = self.world.call("/order/1")
        self.assertIn(status, (502, 504))

    def test_read_is_retried_at_a_sound_endpoint(self) -> None:
        """Guards against a caller that waits for an endless response instead of a sound one."""
        self.world.add("e1", ScriptedEndpoint(_SCRIPTS["trailer lines"]))
        self.world.add("e2", ScriptedEndpoint(ok))
        for n in range(6):
            status, _, body = self.world.call("/read/1", f"q{n}")
            self.assertEqual((status, body), (200, b"done"))
        self.assertGreaterEqual(
            self.world.gateway.metrics.value("exchange_failures_total", reason="oversized"), 1
        )

    def test_event_without_end_is_not_collected(self) -> None:
        """Guards against memory that grows with each byte of an event that never ends."""
        script = _endless(
            _CHUNKED + chunk(event(1)),
            chunk(b"data: " + b"a" * 50_000),
        )
        self.world.add("m1", ScriptedEndpoint(script), "model")
        with self.assertRaises(Exception):  # noqa: B017 (any broken transfer)
            self.world.call("/draft/1", headers={"Sequoiadrum-Deadline-Ms": "8000"})
        metrics = self.world.gateway.metrics
        eventually(
            lambda: metrics.value("exchange_failures_total", reason="oversized") >= 1,
            "the event is given up",
        )
        self.assertGreater(MAX_EVENT_BYTES, 100_000)

    def test_slow_but_sound_stream_is_whole(self) -> None:
        """Guards against a bound on stalls that cuts streams whose events arrive in time."""
        numbers = range(1, 8)

        def script(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request))
            for number in numbers:
                for byte in event(number):
                    connection.send(chunk(bytes([byte])))
                    time.sleep(0.004)
                time.sleep(0.1)
            connection.send(chunk(b""))

        self.world.add("m1", ScriptedEndpoint(script), "model")
        status, _, body = self.world.call("/draft/1", headers={"Sequoiadrum-Deadline-Ms": "9000"})
        self.assertEqual((status, body), (200, b"".join(event(n) for n in numbers)))

    def test_stream_that_stalls_with_bytes_continues_elsewhere(self) -> None:
        """Guards against a stream that never ends because a byte arrives now and then."""

        def dribble(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)) + chunk(event(2)))
            while True:
                connection.send(chunk(b":"))
                time.sleep(0.05)

        self.world.add("m1", ScriptedEndpoint(dribble), "model")
        document = config_document(
            version=2,
            routes=[route_document("streaming", "model", "/draft/", True, timeout_ms=20_000)],
        )
        self.world.store.put("config", "main", document)
        gateway = self.world.gateway
        eventually(lambda: gateway.configuration.version() == 2, "the route is in force")
        bodies: list[bytes] = []

        def call() -> None:
            headers = {"Sequoiadrum-Deadline-Ms": "20000"}
            bodies.append(self.world.call("/draft/1", headers=headers)[2])

        caller = threading.Thread(target=call, daemon=True)
        caller.start()
        eventually(lambda: gateway.pool.own_loads().in_flight_by_endpoint, "the stream has begun")
        self.world.add("m2", ScriptedEndpoint(stream(1, 5)), "model")
        caller.join(2 * WAIT_S)
        self.assertEqual(bodies, [b"".join(event(n) for n in range(1, 6))])
        self.assertEqual(gateway.metrics.value("exchange_failures_total", reason="stalled"), 1)

    def test_sound_requests_are_served_beside_endless_ones(self) -> None:
        """Guards against endless responses that take all threads or memory of a router."""
        self.world.add("m1", ScriptedEndpoint(_SCRIPTS["chunk by chunk"]), "model")
        self.world.add("e1", ScriptedEndpoint(ok))

        def call_endless(n: int) -> None:
            try:
                self.world.call("/tag/1", f"t{n}")
            except OSError:
                return
            except Exception as error:
                self.errors.append(error)

        self.errors: list[Exception] = []
        threads = [threading.Thread(target=call_endless, args=(n,), daemon=True) for n in range(60)]
        for thread in threads:
            thread.start()
        for n in range(10):
            self.assertEqual(self.world.call("/read/1", f"r{n}")[0], 200)
        for thread in threads:
            thread.join(WAIT_S)
        eventually(lambda: self.world.gateway.servers.active() == 0, "all requests have ended")


def _deadline_guard(after_s: float = DEADLINE_S) -> Callable[[], None]:
    deadline = clock.now() + after_s

    def guard() -> None:
        if clock.now() >= deadline:
            raise InterruptedWaitError(Interrupt.DEADLINE)

    return guard


if __name__ == "__main__":
    unittest.main()
