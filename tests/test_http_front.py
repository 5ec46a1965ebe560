"""Tests of the HTTP interface with invalid, large, slow and disconnecting callers."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest
from http.client import HTTPConnection
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from sequoiadrum._front_server import BoundedChannel
from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.messages import Address
from tests.builders import a_chat_body, a_settings
from tests.relay_fakes import RelayRig, UnlimitedAccounts

_HEADERS = {"X-Account": "a1"}


class FrontTest(unittest.TestCase):
    """Base of the tests: an HTTP front with stand-in engines in this process."""

    options: dict[str, Any] = {}
    settings: dict[str, Any] = {"max_streams": 8, "max_body_bytes": 20_000}
    can_serve = True

    def setUp(self) -> None:
        self.rig = self.enterContext(RelayRig(**self.options))
        unused: Any = None
        parts = FrontParts(
            config=self.rig.config,
            limits=UnlimitedAccounts(),
            relay=self.rig.relay,
            services=unused,
            keyed=unused,
            directory=unused,
            metrics=self.rig.metrics,
            can_serve=lambda: self.can_serve,
        )
        self.front = HttpFront(a_settings(**self.settings), parts)
        self.front.start()
        self.addCleanup(self.front.stop)
        self.address = Address("127.0.0.1", self.front.port)

    def call(
        self, method: str, path: str, body: Any = None, headers: Any = None
    ) -> tuple[int, Any, HTTPConnection]:
        connection = HTTPConnection(self.address.host, self.address.port, timeout=20)
        self.addCleanup(connection.close)
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        connection.request(method, path, data, {**_HEADERS, **(headers or {})})
        response = connection.getresponse()
        raw = response.read()
        return response.status, raw, connection

    def send_raw(self, data: bytes, size: int = 1 << 16) -> bytes:
        with socket.create_connection((self.address.host, self.address.port), 20) as s:
            s.sendall(data)
            received = b""
            while chunk := s.recv(size):
                received += chunk
            return received

    def encode_chat_post(self, close: bool = True, **values: Any) -> bytes:
        body = json.dumps(a_chat_body(**values)).encode()
        lines = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Account: a1\r\n"
        lines += b"Connection: close\r\n" if close else b""
        return lines + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def wait_for(self, condition: Any) -> None:
        give_up_at = time.monotonic() + 15
        while not condition() and time.monotonic() < give_up_at:
            time.sleep(0.01)
        self.assertTrue(condition())


class WrongRequestTest(FrontTest):
    """Every invalid request gets a typed error and is counted."""

    def test_wrong_requests_are_typed(self) -> None:
        """Guards against stack traces, plain-text errors and refusals that are not counted."""
        deep = b'{"model":"assistant","messages":[{"a":' + b"[" * 9_000 + b"]" * 9_000 + b"}]}"
        good = a_chat_body()
        cases: list[tuple[str, str, Any, dict[str, str], int, str]] = [
            ("GET", "/nowhere", None, {}, 404, "not_found"),
            ("PUT", "/v1/chat/completions", b"{}", {}, 405, "method_not_allowed"),
            ("BREW", "/v1/streams/x", None, {}, 405, "method_not_allowed"),
            ("GET", "/v1/streams/x", None, {"Last-Event-ID": "x.e1.\xb2"}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", b"{", {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", b"\xff\xfe", {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", b"[]", {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", deep, {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", {**good, "messages": [1]}, {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", {**good, "stream": "yes"}, {}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", good, {"X-Deadline-Ms": "\xb2"}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", good, {"X-Priority": "9"}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", good, {"X-Chat-Id": "a b"}, 400, "bad_request"),
            ("POST", "/v1/chat/completions", {**good, "model": {}}, {}, 404, "route_unknown"),
            ("POST", "/v1/chat/completions", b"x" * 30_000, {}, 413, "body_too_large"),
            ("POST", "/v1/services/orders/x", b"", {}, 500, "internal"),
        ]
        for method, path, body, headers, status, reason in cases:
            with self.subTest(path=path, reason=reason, headers=headers):
                before = self.rig.metrics.value("refusals_total", reason=reason)
                if reason == "internal":
                    self.front._services = None  # type: ignore[assignment]
                with capture_logs():
                    actual_status, raw, _ = self.call(method, path, body, headers)
                self.assertEqual(actual_status, status, raw)
                self.assertEqual(json.loads(raw)["error"]["type"], reason)
                self.assertNotIn(b"Traceback", raw)
                after = self.rig.metrics.value("refusals_total", reason=reason)
                self.assertEqual(after, before + 1)

    def test_readiness_shows_whether_threads_run(self) -> None:
        """Guards against a router that stays in service without a thread that requests need."""
        self.assertEqual(self.call("GET", "/readyz")[0], 200)
        self.can_serve = False
        status, raw, _ = self.call("GET", "/readyz")
        self.assertEqual((status, json.loads(raw)["error"]["type"]), (503, "not_ready"))

    def test_unparsable_requests_are_typed(self) -> None:
        """Guards against plain-text error responses of waitress."""
        for data in (
            b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000 + b"\r\n\r\n",
        ):
            with self.subTest(data=data[:40]):
                response = self.send_raw(data)
                self.assertIn(b'"type": "bad_request"', response)

    def test_http_1_0_caller_gets_whole_answer(self) -> None:
        """Guards against chunked encoding for an HTTP/1.0 caller, which cannot decode it."""
        response = self.send_raw(
            self.encode_chat_post(stream=True).replace(b"HTTP/1.1", b"HTTP/1.0")
        )
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head.lower())
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"), body[-80:])

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against mixing up the responses to two pipelined requests."""
        response = self.send_raw(
            self.encode_chat_post(close=False, max_tokens=3) + self.encode_chat_post(max_tokens=9)
        )
        tokens = [
            int(part.split(b",", 1)[0]) for part in response.split(b'"completion_tokens": ')[1:]
        ]
        self.assertEqual(tokens, [3, 9])


class StopTest(FrontTest):
    """A graceful shutdown counts every request until its response was sent."""

    def test_request_that_crosses_the_refusal_is_counted_or_refused(self) -> None:
        """Guards against a request that runs although the shutdown counted none in flight."""
        counted: list[int] = []

        def refuse_meanwhile() -> None:
            self.front.refuse_new_requests()
            counted.append(self.front.active())

        with mock.patch.object(self.rig.config, "refusal", refuse_meanwhile):
            status, _, _ = self.call("POST", "/v1/chat/completions", a_chat_body())
        self.assertEqual((status, counted), (503, [0]))

    def test_response_that_is_not_sent_yet_is_waited_for(self) -> None:
        """Guards against a process that ends with a response in its output buffer."""
        with mock.patch.object(BoundedChannel, "_flush_some", return_value=False):
            caller = threading.Thread(
                target=self.call, args=("POST", "/v1/chat/completions", a_chat_body())
            )
            caller.start()
            self.wait_for(self.has_output)
            self.wait_for(lambda: self.front.active() == 0)
            self.assertFalse(self.front.is_drained())
        caller.join(20)
        self.wait_for(self.front.is_drained)

    def has_output(self) -> bool:
        channels = list(self.front.server.active_channels.values())
        return any(channel.total_outbufs_len for channel in channels)


class WholeAnswerTest(FrontTest):
    """An incomplete response is never presented as complete."""

    options = {"token_ms": 20.0, "engines": 1}

    def cut(self, stream: bool) -> tuple[int, bytes]:
        state = self.rig.engines["e1"].state
        state.faults["cut_after"] = 3
        state.streams_by_id = _DiscardingDict()
        status, raw, _ = self.call(
            "POST", "/v1/chat/completions", a_chat_body(max_tokens=20, stream=stream)
        )
        return status, raw

    def test_lost_stream_ends_with_error_event(self) -> None:
        """Guards against `[DONE]` after an incomplete response."""
        status, raw = self.cut(stream=True)
        self.assertEqual(status, 200)
        self.assertIn(b'event: error\ndata: {"error": {"type": "stream_lost"', raw)
        self.assertNotIn(b"[DONE]", raw)

    def test_lost_collected_answer_is_an_error(self) -> None:
        """Guards against status 200 for an incomplete response."""
        status, raw = self.cut(stream=False)
        self.assertEqual(status, 502, raw)

    def test_collecting_notices_that_the_caller_has_gone(self) -> None:
        """Guards against holding a slot and an engine for a caller that has disconnected."""
        with socket.create_connection((self.address.host, self.address.port)) as s:
            s.sendall(self.encode_chat_post(max_tokens=2_000))
            self.wait_for(lambda: self.front.active() == 1)
        self.wait_for(lambda: self.front.active() == 0)
        self.wait_for(lambda: self.rig.engines["e1"].state.stats.get("cancelled") == 1)


class _DiscardingDict(dict[str, Any]):
    """A table of streams that stores nothing, so that no stream can be resumed."""

    def __setitem__(self, key: str, value: Any) -> None:
        """Discards the stream."""


class OverloadTest(FrontTest):
    """Limits on requests, connections and slow readers."""

    options = {"token_ms": 0.02, "prefill_ms": 300.0, "engines": 1}
    settings = {"max_streams": 2, "max_body_bytes": 20_000}

    def test_requests_beyond_the_limit_are_refused(self) -> None:
        """Guards against an unbounded queue of requests in the server, and untyped refusals."""
        sockets = []
        for _ in range(40):
            s = socket.create_connection((self.address.host, self.address.port), 20)
            self.addCleanup(s.close)
            s.sendall(self.encode_chat_post())
            sockets.append(s)
        responses = [s.makefile("rb").read() for s in sockets]
        self.assertEqual(sum(b"200 OK" in a for a in responses), 2)
        self.assertEqual(sum(b'"type": "overloaded"' in a for a in responses), 38)

    def test_requests_beyond_the_queue_are_refused(self) -> None:
        """Guards against requests that accumulate while all threads are busy."""
        with mock.patch("sequoiadrum._front_server.MAX_QUEUED_REQUESTS", 0):
            response = self.send_raw(self.encode_chat_post())
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b'"type": "overloaded"', response)
        self.assertEqual(self.rig.metrics.value("refusals_total", reason="overloaded"), 1)

    def open_too_many_connections(self) -> None:
        for _ in range(4 * 18 + 5):
            s = socket.create_connection((self.address.host, self.address.port), 20)
            self.addCleanup(s.close)

    def test_idle_connections_beyond_the_limit_make_room(self) -> None:
        """Guards against idle connections that exhaust the descriptors or keep others out."""
        self.open_too_many_connections()
        name = "connections_dropped_total"
        self.wait_for(lambda: self.rig.metrics.value(name, reason="connections") >= 5)
        # The event loop closes those that make room a moment after it has accepted the others.
        channels = list(self.front.server.active_channels.values())
        self.assertLessEqual(sum(not channel.will_close for channel in channels), 4 * 18)
        status, _, _ = self.call("POST", "/v1/chat/completions", a_chat_body())
        self.assertEqual(status, 200)

    def test_connections_beyond_the_limit_are_refused(self) -> None:
        """Guards against connections in use that are closed for new ones, and untyped refusals."""
        with mock.patch.object(BoundedChannel, "is_idle", return_value=False):
            self.open_too_many_connections()
            self.wait_for(
                lambda: self.rig.metrics.value("refusals_total", reason="overloaded") >= 5
            )
        self.assertEqual(
            self.rig.metrics.value("connections_dropped_total", reason="connections"), 0
        )

    def test_stalled_reader_is_dropped(self) -> None:
        """Guards against a caller that occupies a slot forever by not reading its response."""
        self.front.server.stall_timeout_s = 0.5
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            s.connect((self.address.host, self.address.port))
            s.sendall(self.encode_chat_post(stream=True, max_tokens=60_000))
            self.wait_for(lambda: self.front.active() == 1)
            name = "connections_dropped_total"
            self.wait_for(lambda: self.rig.metrics.value(name, reason="stalled_reader") == 1)
            self.wait_for(lambda: self.front.active() == 0)

    def test_request_that_never_arrives_is_dropped(self) -> None:
        """Guards against connections that stay open because their headers never arrive."""
        self.front.server.arrival_timeout_s = 0.5
        response = self.send_raw(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: ")
        self.assertEqual(response, b"")
