"""A gateway process stays within its limits whatever callers send, and serves ordinary callers.

Each test sends one crowd to one port of a process whose limits are low. The tests check that the
process lives, that its memory and descriptors stay within the limits of its settings, and that an
ordinary caller is served beside the crowd and after it.
"""

from __future__ import annotations

import os
import socket
import time
import unittest
from typing import TYPE_CHECKING, ClassVar, Final

from tests.gateway import hostile_callers
from tests.gateway.hostile_callers import (
    FILE_DESCRIPTORS,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    Crowd,
    GatewayProcess,
    forget_peak,
    peak_bytes,
    sockets_and_pipes,
)

if TYPE_CHECKING:
    from sequoiadrum.messages import Address
    from tests.gateway.hostile_callers import Behaviour


TABLE_VARIABLE: Final = "HOSTILE_CALLERS_TABLE"
"""Environment variable that names a file to which each test appends the peak of its process."""


class _CrowdCase(unittest.TestCase):
    """Plays crowds; the tests of a class share a process, each with a peak of its own."""

    runs_alone = True
    """See `tools.run_tests`: the bounds on memory hold beside no other load of the machine."""
    process: ClassVar[GatewayProcess | None] = None

    @classmethod
    def tearDownClass(cls) -> None:
        if cls.process is not None:
            cls.process.stop()
            cls.process = None

    def setUp(self) -> None:
        self._has_failed = False
        self.addCleanup(self._stop_after_failure)

    def _start(self) -> GatewayProcess:
        cls = type(self)
        if cls.process is None:
            cls.process = GatewayProcess()
        return cls.process

    def _play(self, address: Address, behaviour: Behaviour) -> None:
        process = self._start()
        forget_peak(process.popen.pid)
        self._has_failed = True
        crowd = Crowd(address, behaviour)
        try:
            crowd.wait_until_settled()
            self._check(process)
            process.serve_ordinary_request()
            self._check(process)
        finally:
            self._record(process)
            crowd.close()
        process.serve_ordinary_request()
        self._check(process)
        self._has_failed = False

    def _stop_after_failure(self) -> None:
        if self._has_failed:
            self.tearDownClass()

    def _record(self, process: GatewayProcess) -> None:
        path = os.environ.get(TABLE_VARIABLE)
        if path and process.is_alive():
            with open(path, "a") as table:
                peak_mb = peak_bytes(process.popen.pid) / 1e6
                sockets = sockets_and_pipes(process.popen.pid)
                table.write(f"{self.id()} {peak_mb:.1f} MB {sockets} sockets\n")

    def _check(self, process: GatewayProcess) -> None:
        self.assertTrue(process.is_alive(), "the process has ended")
        self.assertLessEqual(
            sockets_and_pipes(process.popen.pid), MAX_DESCRIPTORS - FILE_DESCRIPTORS
        )
        self.assertLessEqual(peak_bytes(process.popen.pid), MEMORY_MB * 1_000_000)


class _EachPort(_CrowdCase):
    """Plays crowds at each port that speaks HTTP."""

    route = "/hold/x"
    """A request that is in flight as long as its caller waits."""

    def crowds(self, path: str) -> list[Behaviour]:
        """Returns the crowds, which are played one after the other."""
        raise NotImplementedError

    def _play_each(self, address: Address, path: str) -> None:
        for behaviour in self.crowds(path):
            self._play(address, behaviour)

    def test_route(self) -> None:
        """Guards against callers of a route that take all memory or descriptors."""
        self._play_each(self._start().callers, self.route)

    def test_unknown_path(self) -> None:
        """Guards against callers of a path without a route that do so."""
        self._play_each(self._start().callers, "/nowhere/x")

    def test_readiness(self) -> None:
        """Guards against callers that do so where readiness is checked."""
        self._play_each(self._start().readiness, "/ready")

    def test_directory(self) -> None:
        """Guards against callers that do so where routers are looked up."""
        self._play_each(self._start().directory, "/resolve")

    def test_metrics(self) -> None:
        """Guards against callers that do so where metrics are read."""
        self._play_each(self._start().metrics, "/metrics")


class WholeBodiesTest(_EachPort):
    """Bodies of legal size in one piece, which stop just short of their end."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.legal_bodies(path, hostile_callers.MAX_BODY_BYTES)]


class PiecewiseBodiesTest(_EachPort):
    """Bodies of legal size in small pieces, which stop just short of their end."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.legal_bodies(path, 2_000)]


class ChunkedBodiesTest(_EachPort):
    """Bodies of legal size in chunks without the last one."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.chunked_bodies(path, 4_000)]


class OversizedBodiesTest(_EachPort):
    """Bodies far over the limit, announced by their length or in chunks."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.oversized_bodies(path, is_chunked) for is_chunked in (False, True)]


class ManyFieldsTest(_EachPort):
    """Heads of legal size with very many short fields, complete or not."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.many_fields(path, is_complete) for is_complete in (True, False)]


class PipelinedRequestsTest(_EachPort):
    """Requests sent ahead on connections whose answers nobody reads."""

    route = "/long/x"

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.pipelined_requests(path), hostile_callers.shortest_requests(path)]


class SlowSendersTest(_EachPort):
    """Requests that arrive a byte at a time."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.slow_senders(path)]


class SlowReadersTest(_EachPort):
    """Answers that are read a byte at a time."""

    route = "/long/x"

    def crowds(self, path: str) -> list[Behaviour]:
        return [hostile_callers.slow_readers(path)]


class HalfRequestsTest(_EachPort):
    """Connections that stop before, in or after the head."""

    def crowds(self, path: str) -> list[Behaviour]:
        return [
            hostile_callers.idle_connections(path),
            hostile_callers.half_head(path),
            hostile_callers.half_body(path),
        ]


class PeerPortTest(_CrowdCase):
    """Connections to the port of the other routers."""

    def test_frames_that_stop_short_of_their_end(self) -> None:
        """Guards against frames of legal size that take all memory."""
        self._play(self._start().peers, hostile_callers.legal_frames())

    def test_frames_far_over_the_limit(self) -> None:
        """Guards against frames that announce more than any peer sends."""
        self._play(self._start().peers, hostile_callers.oversized_frames())

    def test_half_frames(self) -> None:
        """Guards against connections that stop in the middle of a frame."""
        self._play(self._start().peers, hostile_callers.half_frames())

    def test_slow_frames(self) -> None:
        """Guards against frames that arrive a byte at a time."""
        self._play(self._start().peers, hostile_callers.slow_frames())

    def test_malformed_frames(self) -> None:
        """Guards against whole frames that are no calls."""
        self._play(self._start().peers, hostile_callers.malformed_frames())


class LegalRequestTest(_CrowdCase):
    """Single requests at the limits of the configuration, while nothing else happens."""

    def _send(self, *pieces: bytes, pause_s: float = 0.0) -> bytes:
        """Sends the pieces of a request; returns what was received until the connection ended."""
        process = self._start()
        address = (process.callers.host, process.callers.port)
        with socket.create_connection(address, hostile_callers.SERVED_WITHIN_S) as stream:
            for piece in pieces:
                stream.sendall(piece)
                time.sleep(pause_s)
            with stream.makefile("rb") as reader:
                return reader.read()

    def _head(self, *fields: str) -> bytes:
        # Unlike that of `/read/`, its deadline leaves time for a long body on any machine.
        return hostile_callers.head("/long/x", "Connection: close", *fields)

    def _assert_status(self, response: bytes, status: int) -> None:
        first_line = response[:500].decode("latin-1").partition("\r\n")[0]
        self.assertIn(f" {status} ", first_line, response[:500])

    def test_body_at_the_limit(self) -> None:
        """Guards against a limit that refuses the largest legal body."""
        size = hostile_callers.MAX_BODY_BYTES
        response = self._send(self._head(f"Content-Length: {size}"), b"a" * size)
        self._assert_status(response, 200)

    def test_body_at_the_limit_in_short_chunks(self) -> None:
        """Guards against a limit that counts the framing of chunks as a part of the body."""
        count = hostile_callers.MAX_BODY_BYTES // 16
        chunks = b"10\r\n0123456789abcdef\r\n" * count + b"0\r\n\r\n"
        response = self._send(self._head("Transfer-Encoding: chunked"), chunks)
        self._assert_status(response, 200)

    def test_head_of_many_fields(self) -> None:
        """Guards against a limit that refuses a legal head."""
        (head,) = hostile_callers.many_fields("/long/x", True).pieces()
        response = self._send(head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        self._assert_status(response, 200)

    def test_slow_head(self) -> None:
        """Guards against a caller that is cut although its head arrives in the configured time."""
        head = self._head("Content-Length: 0")
        response = self._send(*(head[i : i + 8] for i in range(0, len(head), 8)), pause_s=0.1)
        self._assert_status(response, 200)

    def test_body_over_the_limit_is_not_run(self) -> None:
        """Guards against a refusal that says that a request has not run, which has."""
        process = self._start()
        before = process.requests_run()
        size = hostile_callers.MAX_BODY_BYTES + 1
        response = self._send(self._head(f"Content-Length: {size}"))
        self._assert_status(response, 413)
        self.assertEqual(process.requests_run(), before)


del _EachPort  # Its tests run in its subclasses only.
