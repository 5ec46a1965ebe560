"""Tests that cut what every reader but the gateway's exchanges receives, at every byte.

The responses of endpoints to the gateway are in `tests.gateway.test_cut_responses`.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from attrs import field, frozen
from returns.result import Failure, Success
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._front_server import FrontServer
from sequoiadrum._gen.operator import Operator
from sequoiadrum._gen.operator import ttypes as operator_ttypes
from sequoiadrum._gen.peer import Peer, ttypes
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum._service_http import HttpServiceClient
from sequoiadrum._thrift_transport import BINARY, COMPACT
from sequoiadrum.gateway.front import ServerGroup
from sequoiadrum.messages import Address, ChatRequest
from sequoiadrum.metrics import Metrics
from sequoiadrum.operator_client import OperatorClient
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.platform.store_client import HttpStore
from sequoiadrum.service_client import Answered, ServiceRequest
from sequoiadrum.thrift_server import ThriftServer
from tests.builders import a_settings
from tests.gateway.world import WAIT_S, eventually
from tests.http_messages import BODY
from tools.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_FAILED = "failed"
"""Outcome of a call that reported a failure."""


@frozen
class Case:
    """A call of a client, and the reply that it gets."""

    name: str
    reply: bytes
    call: Callable[[Address], Any] = field(repr=False)
    """Returns the result of the call, `_FAILED` if the client reports a failure."""


class CuttingServer:
    """Sends the first bytes of a reply to each request, and ends the connection."""

    def __init__(self) -> None:
        self.data = b""
        self.is_reset = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Closes the listener."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(WAIT_S)
                _read_request(connection)
                connection.sendall(self.data)
                if self.is_reset:
                    end = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, end)


def _read_request(connection: socket.socket) -> None:
    """Reads an HTTP request with a length, or a frame of thrift."""
    data = b""
    while True:
        received = connection.recv(65_536)
        if not received:
            return
        data += received
        if data[0] == 0:
            if len(data) >= 4 and len(data) >= 4 + int.from_bytes(data[:4]):
                return
            continue
        head, end, body = data.partition(b"\r\n\r\n")
        if not end:
            continue
        lengths = [
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        ]
        if len(body) >= sum(lengths):
            return


def _replies(status: str, lines: str, body: bytes) -> Iterator[tuple[str, bytes]]:
    """Yields a reply in each framing, with the lines that matter before those of the framing."""
    head = f"HTTP/1.1 {status}\r\n{lines}".encode()
    yield "length", head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    chunks = b"%03x;a=b\r\n%b\r\n" % (len(body), body) if body else b""
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    yield "chunks", chunked + b"00\r\n\r\n"
    yield "trailers", chunked + b"0\r\nX-Sum: 1\r\n\r\n"


def _store_cases() -> Iterator[Case]:
    item = {"metadata": {"name": "n", "revision": 7}, "spec": {"a": 1}}
    documents: dict[str, tuple[Any, Callable[[HttpStore], Any]]] = {
        "list": ({"items": [item], "at": 7}, lambda store: store.list("k")),
        "get": (item, lambda store: store.get("k", "n")),
        "watch": (
            {"events": [{"object": item}], "at": 7},
            lambda store: store.watch("k", 1, 1.0),
        ),
        "create": (item, lambda store: store.create("k", "n", {})),
        "replace": (item, lambda store: store.replace("k", "n", {})),
        "delete": (item, lambda store: store.delete("k", "n")),
    }
    for name, (document, call) in documents.items():
        body = json.dumps(document).encode()
        unframed = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\n\r\n" + body
        for framing, reply in (
            *_replies("200 OK", "Store-Era: 12\r\n", body),
            ("unframed", unframed),
        ):

            def run(address: Address, call: Callable[[HttpStore], Any] = call) -> Any:
                return _value(call(HttpStore(address, Metrics())))

            yield Case(f"store {name}, {framing}", reply, run)


def _platform_cases() -> Iterator[Case]:
    calls: dict[str, tuple[bytes, Callable[[HttpPlatformClient], Any]]] = {
        "get": (b"value", lambda client: client.get("a")),
        "put": (b"", lambda client: client.put("a", b"v", 0)),
        "delete": (b"", lambda client: client.delete("a", 1)),
        "list": (b'[{"name":"a","version":12}]', lambda client: client.list_names("a")),
        "watch": (b"value", lambda client: client.watch("a", 0, 1.0)),
    }
    for name, (body, call) in calls.items():
        for framing, reply in _replies("200 OK", 'ETag: "12"\r\n', body):

            def run(address: Address, call: Callable[[HttpPlatformClient], Any] = call) -> Any:
                client = HttpPlatformClient(address, Metrics(), WAIT_S)
                try:
                    return _value(call(client))
                finally:
                    client.close()

            yield Case(f"platform {name}, {framing}", reply, run)


def _service_cases() -> Iterator[Case]:
    def run(address: Address) -> Any:
        request = ServiceRequest("POST", "/confirm", "application/json", b"{}", "k")
        outcome = HttpServiceClient().call(address, request, WAIT_S)
        return outcome if isinstance(outcome, Answered) else _FAILED

    for framing, reply in _replies("200 OK", "Content-Type: text/plain\r\n", BODY):
        yield Case(f"service, {framing}", reply, run)


def _engine_cases() -> Iterator[Case]:
    def load(address: Address) -> Any:
        client = HttpEngineClient(WAIT_S, WAIT_S)
        try:
            return _value(client.load(address))
        finally:
            client.close()

    def stream(address: Address) -> Any:
        client = HttpEngineClient(WAIT_S, WAIT_S)
        try:
            opened = client.open(address, ChatRequest("r", "c", "a", "m", b"{}"))
            if isinstance(opened, Failure):
                return _FAILED
            events = []
            while True:
                read = opened.unwrap().read(WAIT_S)
                if isinstance(read, Failure):
                    return _FAILED
                if not read.unwrap():
                    return events
                events += read.unwrap()
        finally:
            client.close()

    for framing, reply in _replies("200 OK", "", b'{"in_flight": 12, "models": ["m"]}'):
        yield Case(f"engine load, {framing}", reply, load)
    body = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n"
    yield Case("engine stream, unframed", b"HTTP/1.1 200 OK\r\n\r\n" + body, stream)
    # The mark in the last event ends a stream, whatever follows the chunk that contains it.
    for (framing, reply), end in zip(_replies("200 OK", "", body), (8, 10), strict=False):
        yield Case(f"engine stream, {framing}", reply[: reply.index(b"[DONE]") + end], stream)


def _peer_cases() -> Iterator[Case]:
    buffer = TMemoryBuffer()
    protocol = COMPACT.getProtocol(TFramedTransport(buffer))
    protocol.writeMessageBegin("list_rumors", TMessageType.REPLY, 0)
    Peer.list_rumors_result(success=[ttypes.Rumor("k", "n", 3, b"payload", 5)]).write(protocol)
    protocol.writeMessageEnd()
    protocol.trans.flush()

    def run(address: Address) -> Any:
        client = ThriftPeerClient(Metrics())
        try:
            return _value(client.call(address, lambda peer: peer.list_rumors(), WAIT_S))
        finally:
            client.close()

    yield Case("peer", buffer.getvalue(), run)


def _operator_cases() -> Iterator[Case]:
    buffer = TMemoryBuffer()
    protocol = BINARY.getProtocol(TFramedTransport(buffer))
    protocol.writeMessageBegin("get_object", TMessageType.REPLY, 0)
    found = operator_ttypes.ConfigObject(1, "n", 3, "{}", "")
    Operator.get_object_result(success=found).write(protocol)
    protocol.writeMessageEnd()
    protocol.trans.flush()

    def run(address: Address) -> Any:
        return _value(OperatorClient([address], WAIT_S).read(lambda c: c.get_object(1, "n")))

    yield Case("operator", buffer.getvalue(), run)


def _value(result: Any) -> Any:
    return result.unwrap() if isinstance(result, Success) else _FAILED


class CutReplyTest(unittest.TestCase):
    """What a client reports is the whole reply or a failure, for each byte at which it is cut."""

    def _check(self, cases: Iterator[Case]) -> None:
        server = CuttingServer()
        self.addCleanup(server.stop)
        for case in cases:
            with self.subTest(case.name):
                server.data, server.is_reset = case.reply, False
                whole = case.call(server.address)
                self.assertNotEqual(whole, _FAILED)
                wrong = []
                for server.is_reset in (False, True):
                    for size in range(len(case.reply)):
                        server.data = case.reply[:size]
                        result = case.call(server.address)
                        if result != _FAILED:
                            wrong.append((size, server.is_reset, result))
                self.assertEqual(wrong, [])

    def test_replies_of_the_store(self) -> None:
        """Guards against objects that vanish, or writes that count, because a reply was cut."""
        self._check(_store_cases())

    def test_replies_of_the_platform(self) -> None:
        """Guards against a value that is replaced by a part of it, or by nothing."""
        self._check(_platform_cases())

    def test_replies_of_services(self) -> None:
        """Guards against a part of a service's reply that a caller gets as a whole one."""
        self._check(_service_cases())

    def test_replies_of_engines(self) -> None:
        """Guards against a load or a stream of which the end is missing."""
        self._check(_engine_cases())

    def test_stream_with_trailers_is_whole(self) -> None:
        """Guards against a whole stream that is broken off because of the trailers after it."""
        *_, stream = _engine_cases()
        server = CuttingServer()
        self.addCleanup(server.stop)
        head, _, body = stream.reply.partition(b"\r\n\r\n")
        for end in (b"0\r\n\r\n", b"0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", b"0\r\nX-Su"):
            server.data = head + b"\r\n\r\n" + body + end
            with self.subTest(end):
                self.assertEqual([e.offset for e in stream.call(server.address)], [0, 1])

    def test_replies_of_peers(self) -> None:
        """Guards against a call between routers that ends in an error of the decoder."""
        self._check(_peer_cases())

    def test_replies_to_the_operator(self) -> None:
        """Guards against a command of the operator that shows a part of an object."""
        self._check(_operator_cases())

    def test_unframed_replies_are_failures(self) -> None:
        """Guards against a part of a body that only the end of its connection ends."""
        server = CuttingServer()
        self.addCleanup(server.stop)
        for cases in (_platform_cases, _service_cases, _engine_cases):
            for case in cases():
                head, end, body = case.reply.partition(b"Content-Length")
                if not end or "stream" in case.name:
                    continue
                server.data = head + b"\r\n" + body.partition(b"\r\n\r\n")[2]
                with self.subTest(case.name):
                    self.assertEqual(case.call(server.address), _FAILED)


_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nX-Account: a1\r\n"
_REQUESTS = {
    "length": _HEAD + b"Content-Length: 13\r\n\r\n" + BODY,
    "chunks": _HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n005;a=b\r\nHello\r\n08\r\n, world!\r\n00\r\n\r\n",
    "trailers": _HEAD
    + b"Transfer-Encoding: chunked\r\n\r\nd\r\nHello, world!\r\n0\r\nX-Sum: 1\r\n\r\n",
}


class CutRequestTest(unittest.TestCase):
    """A request that its caller cuts is not run."""

    def setUp(self) -> None:
        self.bodies: list[bytes] = []

    def _application(self, environ: Any, start_response: Any) -> list[bytes]:
        self.bodies.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def _check(self, port: int) -> None:
        for name, request in _REQUESTS.items():
            for is_reset in (False, True):
                self.bodies.clear()
                for size in range(1, len(request)):
                    with socket.create_connection(("127.0.0.1", port), WAIT_S) as caller:
                        caller.sendall(request[:size])
                        if is_reset:
                            end = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, end)
                        else:
                            caller.shutdown(socket.SHUT_WR)
                            while caller.recv(65_536):
                                pass
                with self.subTest(name, is_reset=is_reset):
                    self.assertEqual(self.bodies, [])
            with socket.create_connection(("127.0.0.1", port), WAIT_S) as caller:
                caller.sendall(request)
                self.assertTrue(caller.recv(65_536))
                eventually(lambda: self.bodies == [BODY], "the whole request is run")

    def test_request_to_the_gateway(self) -> None:
        """Guards against an order that is passed on with a part of its body."""
        (port,) = free_ports(1)
        group = ServerGroup(2_000, 200, Metrics())
        group.add_callers(self._application, Address("127.0.0.1", port))
        group.start()
        self.addCleanup(group.stop)
        self._check(port)

    def test_call_of_a_peer(self) -> None:
        """Guards against releases of grants that are applied from a part of a call."""
        buffer = TMemoryBuffer()
        protocol = COMPACT.getProtocol(TFramedTransport(buffer))
        Peer.Client(protocol).send_release("pool", [ttypes.Release(7)])
        call = buffer.getvalue()
        releases: list[Any] = []
        handler = SimpleNamespace(release=lambda pool, grants: releases.append((pool, grants)))
        server = ThriftServer(
            "peer", Address("127.0.0.1", 0), Peer.Processor(handler), COMPACT, Metrics(), 8
        )
        server.start()
        self.addCleanup(server.stop)
        for size in range(len(call)):
            with socket.create_connection(("127.0.0.1", server.port), WAIT_S) as caller:
                caller.sendall(call[:size])
                caller.shutdown(socket.SHUT_WR)
                self.assertEqual(caller.recv(65_536), b"")
        self.assertEqual(releases, [])
        with socket.create_connection(("127.0.0.1", server.port), WAIT_S) as caller:
            caller.sendall(call)
            self.assertTrue(caller.recv(65_536))
        self.assertEqual(len(releases), 1)

    def test_request_to_the_own_interface(self) -> None:
        """Guards against a call that is run with a part of its body."""
        server = FrontServer(self._application, a_settings(http_port=0), Metrics())
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(server.close)
        self._check(server.effective_port)


if __name__ == "__main__":
    unittest.main()
