"""The caller interface against wrong, huge, slow and vanishing callers."""

from __future__ import annotations

import json
import socket
import time
import unittest
from http.client import HTTPConnection
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.messages import Address
from tests.builders import a_chat_body, a_settings
from tests.relay_fakes import OpenLimits, RelayRig

_HEADERS = {"X-Account": "a1"}


class FrontTest(unittest.TestCase):
    """A front with engine stand-ins in this process."""

    options: dict[str, Any] = {}
    settings: dict[str, Any] = {"max_streams": 8, "max_body_bytes": 20_000}

    def setUp(self) -> None:
        self.rig = self.enterContext(RelayRig(**self.options))
        anything: Any = None
        parts = FrontParts(
            config=self.rig.config,
            limits=OpenLimits(),
            relay=self.rig.relay,
            services=anything,
            keyed=anything,
            directory=anything,
            metrics=self.rig.metrics,
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

    def raw(self, data: bytes, size: int = 1 << 16) -> bytes:
        with socket.create_connection((self.address.host, self.address.port), 20) as s:
            s.sendall(data)
            received = b""
            while chunk := s.recv(size):
                received += chunk
            return received

    def post_chat(self, close: bool = True, **values: Any) -> bytes:
        body = json.dumps(a_chat_body(**values)).encode()
        lines = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Account: a1\r\n"
        lines += b"Connection: close\r\n" if close else b""
        return lines + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def wait_for(self, condition: Any) -> None:
        until = time.monotonic() + 15
        while not condition() and time.monotonic() < until:
            time.sleep(0.01)
        self.assertTrue(condition())


class WrongRequestTest(FrontTest):
    """Every wrong request gets a typed answer and is counted."""

    def test_wrong_requests_are_typed(self) -> None:
        """Guards against stack traces, plain texts and uncounted refusals."""
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
                    self.front._calls = None  # type: ignore[assignment]
                with capture_logs():
                    got, raw, _ = self.call(method, path, body, headers)
                self.assertEqual(got, status, raw)
                self.assertEqual(json.loads(raw)["error"]["type"], reason)
                self.assertNotIn(b"Traceback", raw)
                after = self.rig.metrics.value("refusals_total", reason=reason)
                self.assertEqual(after, before + 1)

    def test_unparsable_requests_are_typed(self) -> None:
        """Guards against plain-text answers of the HTTP library."""
        for data in (
            b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000 + b"\r\n\r\n",
        ):
            with self.subTest(data=data[:40]):
                answer = self.raw(data)
                self.assertIn(b'"type": "bad_request"', answer)

    def test_http_1_0_caller_gets_whole_answer(self) -> None:
        """Guards against chunked framing for a caller that cannot read it."""
        answer = self.raw(self.post_chat(stream=True).replace(b"HTTP/1.1", b"HTTP/1.0"))
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head.lower())
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"), body[-80:])

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against answers that reach the wrong one of two pipelined requests."""
        answer = self.raw(self.post_chat(close=False, max_tokens=3) + self.post_chat(max_tokens=9))
        tokens = [
            int(part.split(b",", 1)[0]) for part in answer.split(b'"completion_tokens": ')[1:]
        ]
        self.assertEqual(tokens, [3, 9])


class WholeAnswerTest(FrontTest):
    """An answer that is not whole is never presented as whole."""

    options = {"token_ms": 20.0, "engines": 1}

    def cut(self, stream: bool) -> tuple[int, bytes]:
        state = self.rig.engines["e1"].state
        state.faults["cut_after"] = 3
        state.streams_by_id = _Forgetful()
        status, raw, _ = self.call(
            "POST", "/v1/chat/completions", a_chat_body(max_tokens=20, stream=stream)
        )
        return status, raw

    def test_lost_stream_ends_with_error_event(self) -> None:
        """Guards against `[DONE]` behind a part of an answer."""
        status, raw = self.cut(stream=True)
        self.assertEqual(status, 200)
        self.assertIn(b'event: error\ndata: {"error": {"type": "stream_lost"', raw)
        self.assertNotIn(b"[DONE]", raw)

    def test_lost_collected_answer_is_an_error(self) -> None:
        """Guards against status 200 for a part of an answer."""
        status, raw = self.cut(stream=False)
        self.assertEqual(status, 502, raw)

    def test_collecting_notices_that_the_caller_has_gone(self) -> None:
        """Guards against a slot and an engine that are held for a caller who hung up."""
        with socket.create_connection((self.address.host, self.address.port)) as s:
            s.sendall(self.post_chat(max_tokens=2_000))
            self.wait_for(lambda: self.front.active() == 1)
        self.wait_for(lambda: self.front.active() == 0)
        self.wait_for(lambda: self.rig.engines["e1"].state.stats.get("cancelled") == 1)


class _Forgetful(dict[str, Any]):
    """Streams of an engine that can never be resumed."""

    def __setitem__(self, key: str, value: Any) -> None:
        """Keeps nothing."""


class OverloadTest(FrontTest):
    """Bounds on requests, connections and readers."""

    options = {"token_ms": 0.02, "prefill_ms": 300.0, "engines": 1}
    settings = {"max_streams": 2, "max_body_bytes": 20_000}

    def test_requests_beyond_the_limit_are_refused(self) -> None:
        """Guards against requests that wait in the server's queue without a bound or reason."""
        sockets = []
        for _ in range(40):
            s = socket.create_connection((self.address.host, self.address.port), 20)
            self.addCleanup(s.close)
            s.sendall(self.post_chat())
            sockets.append(s)
        answers = [s.makefile("rb").read() for s in sockets]
        self.assertEqual(sum(b"200 OK" in a for a in answers), 2)
        self.assertEqual(sum(b'"type": "overloaded"' in a for a in answers), 38)

    def test_requests_beyond_the_queue_are_refused(self) -> None:
        """Guards against requests that pile up behind busy threads."""
        with mock.patch("sequoiadrum._front_server.MAX_QUEUED", 0):
            answer = self.raw(self.post_chat())
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b'"type": "overloaded"', answer)
        self.assertEqual(self.rig.metrics.value("refusals_total", reason="overloaded"), 1)

    def test_connections_beyond_the_limit_are_refused(self) -> None:
        """Guards against idle connections that use up descriptors without a bound."""
        for _ in range(4 * 18 + 5):
            s = socket.create_connection((self.address.host, self.address.port), 20)
            self.addCleanup(s.close)
        self.wait_for(lambda: self.rig.metrics.value("refusals_total", reason="overloaded") >= 5)

    def test_stalled_reader_is_dropped(self) -> None:
        """Guards against a reader that holds a slot for ever by not reading."""
        self.front.server.stall_s = 0.5
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            s.connect((self.address.host, self.address.port))
            s.sendall(self.post_chat(stream=True, max_tokens=60_000))
            self.wait_for(lambda: self.front.active() == 1)
            name = "connections_dropped_total"
            self.wait_for(lambda: self.rig.metrics.value(name, reason="stalled_reader") == 1)
            self.wait_for(lambda: self.front.active() == 0)

    def test_request_that_never_arrives_is_dropped(self) -> None:
        """Guards against connections held by headers that trickle in."""
        self.front.server.arrival_timeout_s = 0.5
        answer = self.raw(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: ")
        self.assertEqual(answer, b"")
