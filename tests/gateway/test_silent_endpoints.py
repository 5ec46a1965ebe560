"""Tests of endpoints that are silent, or read slowly, but work."""

from __future__ import annotations

import socket
import time
import unittest
from unittest import mock

from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    stream_head,
)
from tests.gateway.world import World, config_document, route_document
from tests.packet_filter import drop_packets, pass_packets

_DEADLINE_MS = 8_000


class SilentEndpointTest(unittest.TestCase):
    """A request that cannot be sent elsewhere waits for its endpoint until its deadline."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.stop)
        routes = [
            route_document("non_idempotent", "shop", "/order/", max_attempts=1),
            route_document("streaming", "shop", "/tag/", max_attempts=1),
        ]
        for route in routes:
            route["timeout_ms"] = _DEADLINE_MS
        # The bodies must not fit into the buffers of the sockets.
        limits = {"max_body_bytes": 16_000_000}
        self.world.start(config_document(routes=routes, limits=limits))

    def _call(self, path: str, body: bytes = b"a") -> tuple[int, bytes]:
        headers = {"Sequoiadrum-Deadline-Ms": str(_DEADLINE_MS)}
        status, _, received = self.world.call(path, body=body, headers=headers)
        return status, received

    def test_lost_keepalive_probe_does_not_end_a_stream(self) -> None:
        """Guards against a sound stream that one lost packet in its pause breaks off."""

        def pause(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            time.sleep(0.8)
            drop_packets(connection.sock)
            time.sleep(0.5)
            pass_packets(connection.sock)
            time.sleep(1.3)
            connection.send(chunk(event(2)) + chunk(b""))

        self.world.add("e1", ScriptedEndpoint(pause))
        self.assertEqual(self._call("/tag/x"), (200, event(1) + event(2)))

    def test_lost_keepalive_probe_does_not_end_an_order(self) -> None:
        """Guards against an order that fails although its endpoint is still at work."""

        def work(connection: Connection, request: Received) -> None:
            time.sleep(0.8)
            drop_packets(connection.sock)
            time.sleep(0.5)
            pass_packets(connection.sock)
            time.sleep(1.3)
            connection.send(answer(request))

        self.world.add("e1", ScriptedEndpoint(work))
        self.assertEqual(self._call("/order/x"), (200, b"done"))

    def test_order_reaches_an_endpoint_that_reads_its_body_late(self) -> None:
        """Guards against an order that is cut off because its endpoint takes time to read it."""
        endpoint = ScriptedEndpoint(lambda connection, request: connection.send(answer(request)))
        endpoint._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        read = Connection.read

        def read_late(connection: Connection) -> Received | None:
            connection.sock.recv(1, socket.MSG_PEEK)
            time.sleep(2.5)
            return read(connection)

        self.world.add("e1", endpoint)
        with mock.patch.object(Connection, "read", read_late):
            self.assertEqual(self._call("/order/x", b"x" * 4_000_000), (200, b"done"))

    def test_early_response_is_delivered_before_the_body_was_read(self) -> None:
        """Guards against an answer that is replaced by 504 because the endpoint reads on slowly."""

        def answer_early(connection: Connection) -> Received | None:
            head = connection.sock.recv(4_096).partition(b"\r\n\r\n")[0]
            connection.send(answer(Received(head, b"")))
            time.sleep(4.0)
            return None

        endpoint = ScriptedEndpoint(lambda *_: None)
        endpoint._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.world.add("e1", endpoint)
        with mock.patch.object(Connection, "read", answer_early):
            status, _, _ = self.world.call("/order/x", body=b"x" * 12_000_000)
        self.assertEqual(status, 200)

    def test_interim_response_does_not_end_the_request(self) -> None:
        """Guards against a request that stays unfinished because its endpoint sends hints early."""
        endpoint = ScriptedEndpoint(lambda connection, request: connection.send(answer(request)))
        endpoint._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        read = Connection.read

        def hint(connection: Connection) -> Received | None:
            connection.sock.recv(1, socket.MSG_PEEK)
            connection.send(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            time.sleep(1.0)
            return read(connection)

        self.world.add("e1", endpoint)
        with mock.patch.object(Connection, "read", hint):
            self.assertEqual(self._call("/order/x", b"x" * 4_000_000), (200, b"done"))
        self.assertEqual(len(endpoint.received[0].body), 4_000_000)

    def test_connection_with_an_unfinished_request_is_not_used_again(self) -> None:
        """Guards against a request whose beginning is read as the rest of the body before it."""
        heads: list[bytes] = []

        def answer_early(connection: Connection) -> Received | None:
            heads.append(connection.sock.recv(4_096).partition(b"\r\n\r\n")[0])
            connection.send(answer(Received(heads[-1], b"")))
            time.sleep(2.0)
            return None

        endpoint = ScriptedEndpoint(lambda *_: None)
        endpoint._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.world.add("e1", endpoint)
        with mock.patch.object(Connection, "read", answer_early):
            self.assertEqual(self._call("/order/x", b"x" * 12_000_000), (200, b"done"))
            self.assertEqual(self._call("/order/y"), (200, b"done"))
        lines = [head.partition(b"\r\n")[0] for head in heads]
        self.assertEqual(lines, [b"POST /order/x HTTP/1.1", b"POST /order/y HTTP/1.1"])


if __name__ == "__main__":
    unittest.main()
