"""Tests of responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from sequoiadrum.messages import Address
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    Script,
    ScriptedEndpoint,
    chunk,
    event,
    ok,
    stream,
    stream_head,
)
from tests.gateway.world import WAIT_S, World, eventually
from tests.packet_filter import drop_packets

if TYPE_CHECKING:
    from collections.abc import Callable

_HALF_EVENT = event(3)[:-4]


def unframed_head(request: Received) -> bytes:
    """Builds a response head without a length or chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nSequoiadrum-Request-Id: {request.request_id}\r\n"
        "Sequoiadrum-Response-Seal: s.1\r\n\r\n"
    ).encode()


def unframed(*parts: bytes, is_reset: bool = False) -> Script:
    """Returns a script that sends parts and ends the connection, or resets it."""

    def script(connection: Connection, request: Received) -> None:
        connection.send(unframed_head(request))
        for part in parts:
            connection.send(part)
        if is_reset:
            time.sleep(0.1)
            connection.reset()
        else:
            connection.sock.shutdown(socket.SHUT_RDWR)
            connection.sock.close()

    return script


class UnframedResponseTest(unittest.TestCase):
    """The end of the connection completes such a response, except inside an event."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)

    def test_plain_response_is_whole(self) -> None:
        """Guards against a complete response that is taken for one that broke off."""
        self.world.add("e1", ScriptedEndpoint(unframed(b"do", b"ne")))
        for number in range(3):
            status, _, body = self.world.call("/order/x", f"q{number}")
            self.assertEqual((status, body), (200, b"done"))

    def test_line_names_the_framing_and_the_bytes(self) -> None:
        """Guards against a log from which a short answer and its kind of end cannot be told."""
        self.world.add("e1", ScriptedEndpoint(unframed(b"do", b"ne")))
        self.world.call("/order/x", "q1")
        self.world.endpoints["e1"].script = ok
        self.world.call("/order/x", "q2")
        self.world.endpoints["e1"].script = unframed(b"do", is_reset=True)
        self.world.call("/order/x", "q3")
        metrics = self.world.gateway.metrics
        for framing, outcome in (
            ("connection", "whole"),
            ("length", "whole"),
            ("connection", "broken"),
        ):
            self.assertEqual(
                metrics.value("response_bodies_total", framing=framing, outcome=outcome), 1
            )
        eventually(lambda: '"q3","route"' in self.world.output.getvalue(), "the lines are written")
        lines = [json.loads(line) for line in self.world.output.getvalue().splitlines()]
        fields = {
            line["request"]: (line["framing"], line["received"], line["declared"])
            for line in lines
            if line["event"] in ("request_served", "exchange_broken")
        }
        self.assertEqual(
            fields,
            {"q1": ("connection", 4, None), "q2": ("length", 4, 4), "q3": ("connection", 2, None)},
        )

    def test_reset_plain_response_is_not_whole(self) -> None:
        """Guards against half of an answer that reaches its caller as a success."""
        self.world.add("e1", ScriptedEndpoint(unframed(b"do", is_reset=True)))
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_response_of_an_endpoint_that_is_gone_is_not_whole(self) -> None:
        """Guards against a part of an answer whose endpoint was killed, which ends regularly."""
        endpoint = ScriptedEndpoint(self._leave_after(b"do"))
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/order/x")[0], 502)
        metrics = self.world.gateway.metrics
        self.assertEqual(metrics.value("unclear_ends_total", reason="endpoint_gone"), 1)

    def test_response_of_an_endpoint_that_has_started_again_is_not_whole(self) -> None:
        """Guards against a part of an answer that ends only after its endpoint is back."""

        def start_again(connection: Connection, request: Received) -> None:
            connection.send(unframed_head(request) + b"do")
            self.world.register("e1", endpoint.address, born=2)
            pool = self.world.gateway.pool
            eventually(
                lambda: pool._table.by_id["e1"].entry.started_ms == 2, "the new process is known"
            )
            connection.sock.shutdown(socket.SHUT_RDWR)

        endpoint = ScriptedEndpoint(start_again)
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_response_of_an_endpoint_whose_port_was_closed_meanwhile_is_not_whole(self) -> None:
        """Guards against a part of an answer from an endpoint that was down in between."""

        def end_and_come_back(connection: Connection, request: Received) -> None:
            if request.request_id != "q1":
                return
            connection.send(unframed_head(request) + b"do")
            endpoint.stop()
            self.assertEqual(self.world.call("/order/x", "q2")[0], 503)
            address = (endpoint.address.host, endpoint.address.port)
            self.addCleanup(socket.create_server(address).close)
            connection.sock.shutdown(socket.SHUT_RDWR)

        endpoint = ScriptedEndpoint(end_and_come_back)
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/order/x")[0], 502)
        metrics = self.world.gateway.metrics
        self.assertEqual(metrics.value("unclear_ends_total", reason="endpoint_replaced"), 1)

    def test_response_of_an_endpoint_whose_port_was_closed_before_is_whole(self) -> None:
        """Guards against an endpoint that is refused for good because it was down once."""
        endpoint = ScriptedEndpoint(unframed(b"do", b"ne"))
        endpoint.stop()
        self.world.register("e1", endpoint.address)
        eventually(lambda: self.world.gateway.pool.can_route_to("e1"), "e1 is known")
        self.assertEqual(self.world.call("/order/x", "q1")[0], 503)
        again = ScriptedEndpoint(unframed(b"do", b"ne"), endpoint.address.port)
        self.addCleanup(again.stop)
        eventually(lambda: self.world.call("/order/x", "q2")[0] == 200, "e1 answers again")

    def test_read_from_an_endpoint_that_is_gone_is_retried(self) -> None:
        """Guards against a failure where another endpoint has the whole answer."""
        self.world.add("e1", ScriptedEndpoint(self._leave_after(b"do")))
        self.world.add("e2", ScriptedEndpoint(unframed(b"do", b"ne")))
        for number in range(4):
            status, _, body = self.world.call("/read/x", f"q{number}")
            self.assertEqual((status, body), (200, b"done"))

    def test_stream_of_an_engine_that_is_gone_continues_elsewhere(self) -> None:
        """Guards against a stream that passes for whole because its engine died between events."""
        self.world.add("e1", ScriptedEndpoint(self._leave_after(event(1), event(2))), "model")
        self.world.endpoints["e1"].script = _rest(self.world.endpoints["e1"].script)
        bodies = []
        self.world.add("e2", ScriptedEndpoint(stream(1, 5)), "model")
        for number in range(4):
            bodies.append(self.world.call("/draft/x", f"q{number}")[2])
        self.assertEqual(set(bodies), {b"".join(map(event, range(1, 6)))})

    def test_broken_stream_ends_with_a_reset_for_a_caller_without_chunks(self) -> None:
        """Guards against a caller of HTTP/1.0 that takes a broken stream for a whole one."""

        def script(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            time.sleep(0.05)
            connection.reset()

        self.world.add("e1", ScriptedEndpoint(script), "model")
        head = "".join(f"{name}: {value}\r\n" for name, value in self.world.headers().items())
        request = f"POST /tag/x HTTP/1.0\r\n{head}Content-Length: 0\r\n\r\n".encode()
        address = ("127.0.0.1", self.world.ports[0])
        with socket.create_connection(address, WAIT_S) as caller:
            caller.sendall(request)
            with self.assertRaises(ConnectionResetError):
                while caller.recv(65_536):
                    pass

    def test_whole_stream_ends_regularly_for_a_caller_without_chunks(self) -> None:
        """Guards against a caller of HTTP/1.0 whose whole streams look broken."""
        self.world.add("e1", ScriptedEndpoint(stream(1, 3)), "model")
        head = "".join(f"{name}: {value}\r\n" for name, value in self.world.headers().items())
        request = f"POST /tag/x HTTP/1.0\r\n{head}Content-Length: 0\r\n\r\n".encode()
        received = b""
        with socket.create_connection(("127.0.0.1", self.world.ports[0]), WAIT_S) as caller:
            caller.sendall(request)
            while data := caller.recv(65_536):
                received += data
        self.assertTrue(received.endswith(b"\r\n\r\n" + b"".join(map(event, range(1, 4)))))

    def _leave_after(self, *parts: bytes) -> Script:
        """Returns a script that stops its endpoint before it ends the response regularly."""

        def script(connection: Connection, request: Received) -> None:
            self.world.endpoints["e1"].stop()
            unframed(*parts)(connection, request)

        return script

    def test_listener_that_closes_after_the_connection_is_no_sign_of_life(self) -> None:
        """Guards against a killed process whose kernel still accepts a connection for a moment."""
        self._add_ending_process(lambda _: None)
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_lost_connection_attempt_is_no_sign_of_life(self) -> None:
        """Guards against a killed process that counts as alive because one packet was lost."""
        self._add_ending_process(drop_packets)
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def _add_ending_process(self, disturb: Callable[[socket.socket], None]) -> None:
        """Adds an endpoint that sends half of a response, and closes its listener last.

        Args:
            disturb: Called with the listener before the response.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve_and_end() -> None:
            sock, _ = listener.accept()
            connection = Connection(sock)
            request = connection.read()
            assert request is not None
            disturb(listener)
            unframed(b"do")(connection, request)
            time.sleep(0.03)  # Lets the gateway connect, which nothing accepts any more.
            listener.close()

        threading.Thread(target=serve_and_end, daemon=True).start()
        self.world.register("e1", Address("127.0.0.1", listener.getsockname()[1]))
        eventually(lambda: self.world.gateway.pool.can_route_to("e1"), "e1 is known")

    def test_silent_endpoint_is_not_known_to_be_there(self) -> None:
        """Guards against an answer cut by a loss of power that counts as whole."""
        endpoint = ScriptedEndpoint(self._end_silently)
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def _end_silently(self, connection: Connection, request: Received) -> None:
        drop_packets(self.world.endpoints["e1"]._listener)
        unframed(b"do")(connection, request)

    def test_endpoint_that_resets_all_further_connections_may_be_gone(self) -> None:
        """Guards against a part that passes for whole since something still accepts connections."""
        endpoint = ScriptedEndpoint(unframed(b"done"))
        serve = endpoint._serve

        def serve_first(connection: Connection) -> None:
            if endpoint.connections == 1:
                serve(connection)
            else:
                connection.reset()

        with mock.patch.object(endpoint, "_serve", serve_first):
            self.world.add("e1", endpoint)
            self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_stream_is_whole(self) -> None:
        """Guards against a complete stream that is broken off or sent again."""
        endpoint = ScriptedEndpoint(unframed(event(1), event(2)))
        self.world.add("e1", endpoint, "model")
        for path in ("/tag/x", "/draft/x"):
            self.assertEqual(self.world.call(path)[2], event(1) + event(2))
        self.assertEqual(len(endpoint.received), 2)

    def test_stream_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        """Guards against a caller who takes a broken stream for a whole one."""
        for ending in (unframed(event(1), _HALF_EVENT), _chunked(event(1), _HALF_EVENT)):
            with self.subTest(ending):
                self.world.add("e1", ScriptedEndpoint(ending), "model")
                with self.assertRaises(http.client.IncompleteRead):
                    self.world.call("/tag/x")

    def test_resumable_stream_that_ends_inside_an_event_continues_elsewhere(self) -> None:
        """Guards against a stream that is given up although another engine has its rest."""
        for name in ("e1", "e2"):
            script = _rest(unframed(event(1), event(2), _HALF_EVENT))
            self.world.add(name, ScriptedEndpoint(script), "model")
        body = self.world.call("/draft/x")[2]
        self.assertEqual(body, b"".join(map(event, range(1, 6))))

    def test_unframed_stream_without_an_event_is_not_whole(self) -> None:
        """Guards against an engine that ends before its first event and passes for complete."""
        self.world.add("e1", ScriptedEndpoint(unframed()), "model")
        self.assertEqual(self.world.call("/tag/x")[0], 502)


def _chunked(*parts: bytes) -> Script:
    def script(connection: Connection, request: Received) -> None:
        connection.send(stream_head(request) + b"".join(map(chunk, parts)) + chunk(b""))

    return script


def _rest(script: Script) -> Script:
    """Returns a script that sends the rest of a stream if it is resumed, else runs another one."""

    def choose(connection: Connection, request: Received) -> None:
        if "last-event-id" in request.headers:
            stream(1, 5)(connection, request)
        else:
            script(connection, request)

    return choose


if __name__ == "__main__":
    unittest.main()
