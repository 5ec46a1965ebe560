"""An endpoint that sends scripted bytes over TCP connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from sequoiadrum.messages import Address

Script = Callable[["Connection", "Received"], None]


class Received:
    """A request as the endpoint received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.body = body

    @property
    def request_id(self) -> str:
        """Value of the request id header."""
        return self.headers["sequoiadrum-request-id"]


class Connection:
    """The endpoint's end of a connection from the gateway."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""

    def read(self) -> Received | None:
        """Reads a request; returns None at the end of the connection."""
        while b"\r\n\r\n" not in self._buffer:
            data = self._receive()
            if not data:
                return None
            self._buffer += data
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        received = Received(head, b"")
        length = int(received.headers.get("content-length", "0"))
        while len(self._buffer) < length:
            data = self._receive()
            if not data:
                return None
            self._buffer += data
        received.body, self._buffer = self._buffer[:length], self._buffer[length:]
        return received

    def send(self, data: bytes) -> None:
        """Sends all bytes."""
        self.sock.sendall(data)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
        self.sock.close()

    def wait_for_end(self, timeout_s: float = 5.0) -> bool:
        """Waits until the gateway closes the connection; returns False on data or a timeout."""
        self.sock.settimeout(timeout_s)
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def _receive(self) -> bytes:
        try:
            return self.sock.recv(65_536)
        except OSError:
            return b""


class ScriptedEndpoint:
    """Runs a script for each request and records the requests."""

    def __init__(self, script: Script, port: int = 0) -> None:
        self.script = script
        self.received: list[Received] = []
        self.connections = 0
        self.close_new_connections = False
        """Whether each new connection is closed as soon as it is accepted."""
        self.ignore_new_connections = False
        """Whether new connections wait in the backlog."""
        self._fillers: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", port))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def fall_silent(self) -> None:
        """Lets no further connection be established, without a reset."""
        self.ignore_new_connections = True
        self._listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def stop(self) -> None:
        """Closes the listener; further connections are refused."""
        # A thread that is waiting in `accept` would keep a closed listener open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for filler in self._fillers:
            filler.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self.close_new_connections or self.ignore_new_connections:
                if self.ignore_new_connections:
                    self._fillers.append(sock)
                    return
                sock.close()
                continue
            self.connections += 1
            threading.Thread(target=self._serve, args=(Connection(sock),), daemon=True).start()

    def _serve(self, connection: Connection) -> None:
        try:
            while (request := connection.read()) is not None:
                self.received.append(request)
                self.script(connection, request)
        except OSError:
            return
        finally:
            connection.sock.close()


def answer(
    request: Received,
    body: bytes = b"done",
    status: str = "200 OK",
    headers: str = "",
    request_id: str | None = None,
    is_sealed: bool = True,
) -> bytes:
    """Builds a complete response with a `Content-Length`.

    Args:
        request: The request that the response belongs to.
        body: Body of the response.
        status: Status code and reason phrase.
        headers: Additional header lines, each with its line end.
        request_id: Id that the response carries; None for that of the request.
        is_sealed: Whether the response carries the seal that marks it as signed.
    """
    seal = "Sequoiadrum-Response-Seal: s.1\r\n" if is_sealed else ""
    echoed = request.request_id if request_id is None else request_id
    return (
        f"HTTP/1.1 {status}\r\nSequoiadrum-Request-Id: {echoed}\r\n{seal}{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def ok(connection: Connection, request: Received) -> None:
    """Script that responds with status 200."""
    connection.send(answer(request))


def stream_head(request: Received) -> bytes:
    """Builds the head of a chunked event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nSequoiadrum-Request-Id: {request.request_id}\r\n"
        "Sequoiadrum-Response-Seal: s.1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def event(number: int) -> bytes:
    """Builds one server-sent event."""
    return b"id: %d\ndata: token%d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Builds one chunk; an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream(first: int, last: int, pause_s: float = 0.0) -> Script:
    """Returns a script that sends the events from `first` to `last`.

    A request with a `Last-Event-ID` header gets the events after that id.
    """

    def script(connection: Connection, request: Received) -> None:
        start = int(request.headers.get("last-event-id", first - 1)) + 1
        connection.send(stream_head(request))
        for number in range(start, last + 1):
            connection.send(chunk(event(number)))
            time.sleep(pause_s)
        connection.send(chunk(b""))

    return script
