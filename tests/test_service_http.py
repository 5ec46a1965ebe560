"""Tests of the HTTP client of plain services against scripted loopback servers."""

from __future__ import annotations

import socket
import threading
import time
import unittest

from sequoiadrum._service_http import MAX_RESPONSE_BYTES, HttpServiceClient
from sequoiadrum.messages import Address
from sequoiadrum.service_client import Answered, CallOutcome, MaybeSent, NotSent, ServiceRequest

_OK = b"HTTP/1.1 200 OK\r\n"
_REQUEST = ServiceRequest("POST", "/confirm", "application/json", b'{"n": 1}', "a:k1")


class _Server:
    """Accepts one connection, sends fixed bytes and closes it.

    With `reads` the server first reads the request; after each part it waits for `pause_s`.
    """

    def __init__(self, *parts: bytes, pause_s: float = 0.0, reads: bool = True) -> None:
        self.received = b""
        self._parts = parts
        self._pause_s = pause_s
        self._reads = reads
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with self._listener, connection:
            while self._reads and not self.received.endswith(_REQUEST.body):
                self.received += connection.recv(65_536)
            try:
                for part in self._parts:
                    connection.sendall(part)
                    time.sleep(self._pause_s)
            except OSError:
                return

    def close(self) -> None:
        """Waits until the connection is closed."""
        self._thread.join(10)


class HttpServiceClientTest(unittest.TestCase):
    """Tests that the outcome of a call claims only what the client can know."""

    def _call(
        self, *parts: bytes, pause_s: float = 0.0, timeout_s: float = 10.0
    ) -> tuple[CallOutcome, bytes]:
        server = _Server(*parts, pause_s=pause_s)
        outcome = HttpServiceClient().call(server.address, _REQUEST, timeout_s)
        server.close()
        return outcome, server.received

    def test_whole_answers(self) -> None:
        """Guards against unknown outcomes for complete responses, and against a changed request."""
        body_by_rest = {
            b"Content-Length: 2\r\n\r\nok": b"ok",
            b"Content-Length: 0\r\n\r\n": b"",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n": b"ok!",
        }
        for rest, body in body_by_rest.items():
            with self.subTest(rest):
                outcome, received = self._call(_OK + rest)
                self.assertEqual(outcome, Answered(200, "application/octet-stream", body))
                self.assertTrue(received.startswith(b"POST /confirm HTTP/1.1\r\n"))
                self.assertIn(b"\r\nIdempotency-Key: a:k1\r\n", received)
                self.assertIn(b"\r\nContent-Length: 8\r\n", received)
        self.assertEqual(
            self._call(b"HTTP/1.1 204 No Content\r\n\r\n")[0],
            Answered(204, "application/octet-stream", b""),
        )

    def test_refused_call_answers(self) -> None:
        """Guards against "not run" for a response with an error status: the service responded."""
        outcome, _ = self._call(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
        self.assertIsInstance(outcome, Answered)

    def test_answers_that_cannot_be_proved_whole(self) -> None:
        """Guards against storing a truncated response as the outcome of a call."""
        unverifiable = (
            b"",
            b"HTTP/1.1 200",
            _OK + b"Content-Length: 5\r\n",
            _OK + b"Content-Length: 5\r\n\r\nok",
            _OK + b"Content-Length: 5\r\n\r\n",
            _OK + b"\r\nok",
            _OK + b"Content-Length: -1\r\n\r\nok",
            _OK + b"Content-Length: 2\r\nContent-Length: 9\r\n\r\nok",
            _OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nok",
            _OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            _OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.0 200 OK\r\n\r\nok",
            b"HTTP/1.1 103 Early Hints\r\n\r\n",
            b"garbage\r\n\r\n",
            _OK
            + b"Content-Length: %d\r\n\r\n" % (MAX_RESPONSE_BYTES + 9)
            + b"x" * MAX_RESPONSE_BYTES,
        )
        for response in unverifiable:
            with self.subTest(response[:80]):
                self.assertIsInstance(self._call(response)[0], MaybeSent)

    def test_continue_is_skipped(self) -> None:
        """Guards against an interim response that is taken for the final one."""
        outcome, _ = self._call(
            b"HTTP/1.1 100 Continue\r\n\r\n", _OK + b"Content-Length: 0\r\n\r\n"
        )
        self.assertIsInstance(outcome, Answered)

    def test_slow_body_ends_at_the_deadline(self) -> None:
        """Guards against a slow response that blocks a thread beyond the deadline."""
        single_bytes = [b"x"] * 100
        outcome, _ = self._call(
            _OK + b"Content-Length: 100\r\n\r\n", *single_bytes, pause_s=0.05, timeout_s=0.5
        )
        self.assertIsInstance(outcome, MaybeSent)

    def test_nothing_sent(self) -> None:
        """Guards against unknown outcomes for calls of which no byte was sent."""
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = Address("127.0.0.1", closed.getsockname()[1])
            client = HttpServiceClient()
            self.assertIsInstance(client.call(address, _REQUEST, 0.0), NotSent)
            invalid = ServiceRequest("POST", "/a\nb", "text/plain", b"")
            self.assertIsInstance(client.call(address, invalid, 5.0), NotSent)
            invalid = ServiceRequest("POST", "/", "text/plain\r\nX: y", b"")
            self.assertIsInstance(client.call(address, invalid, 5.0), NotSent)
        self.assertIsInstance(client.call(address, _REQUEST, 5.0), NotSent)

    def test_reset_while_sending(self) -> None:
        """Guards against "not run" if the connection fails while the request is sent."""
        server = _Server(reads=False)
        request = ServiceRequest("POST", "/", "text/plain", b"x" * 8_000_000)
        self.assertIsInstance(HttpServiceClient().call(server.address, request, 10.0), MaybeSent)
        server.close()
