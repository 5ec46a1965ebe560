"""A stand-in of a runner of a plain service, as PROTOCOL describes it."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable

from review.standin.record import Record
from review.standin.store import Store

REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


class Request:
    """A request as it reached a runner."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.body = body

    @property
    def id(self) -> str:
        """The id that the client chose."""
        return self.headers.get("sequoiadrum-request-id", "")


class Runner:
    """Serves requests with a number of slots and a short queue, and registers itself.

    It echoes the request id, signs its responses, drops a request whose connection closes, and
    answers 421 to requests for another instance and 503 with `Sequoiadrum-Not-Executed` when full.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: Store,
        record: Record,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.06,
        zone: str = "z1",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self._queue = queue
        self._work_s = work_s
        self._store = store
        self._record = record
        self._lock = threading.Lock()
        self._present = 0
        self._slots = threading.Semaphore(slots)
        self._connections: set[socket.socket] = set()
        self._stopped = False
        self.is_silent = False
        """Whether it accepts no connections and answers nothing."""
        self._seq = 0
        self.on_run: Callable[[Request], None] = lambda request: None
        """Called when the runner begins to work on a request."""
        self.on_arrival: Callable[[Request], None] = lambda request: None
        """Called when a request for this instance has been read."""
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self, state: str = "ready") -> float:
        """Writes the entry; returns the time of the store's acknowledgement."""
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "seq": self._seq,
                "born": 1_700_000_000_000,
            },
        )
        return self._record.add(f"store: acknowledged {self.name} as {state}")

    def leave(self) -> None:
        """Removes the entry and ends: closes the listener and all connections."""
        self._store.remove("servers", self.name)
        self._record.add(f"runner {self.name}: left")
        self.stop()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while not self._stopped:
            if self.is_silent or not select.select([self._listener], [], [], 0.02)[0]:
                time.sleep(0.02 if self.is_silent else 0)
                continue
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while not self._stopped:
                request, buffer = _read_request(connection, buffer)
                if request is None or self._is_held():
                    return
                if not self._answer(connection, request):
                    return
        except OSError:
            return
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, request: Request) -> bool:
        target = request.headers.get("sequoiadrum-target-instance")
        if target not in (None, self.name):
            connection.sendall(self.answer(request, 421))
            return True
        self._record.add(f"runner {self.name}: request {request.id} reaches it")
        self.on_arrival(request)
        with self._lock:
            is_full = self._present >= self.slots + self._queue
            if not is_full:
                self._present += 1
        if is_full:
            connection.sendall(self.answer(request, 503))
            return True
        try:
            with self._slots:
                if _is_closed(connection):
                    return False
                self._record.add(f"runner {self.name}: runs {request.id}")
                self.on_run(request)
                time.sleep(self._work_s)
        finally:
            with self._lock:
                self._present -= 1
        return not self._is_held() and self.respond(connection, request)

    def _is_held(self) -> bool:
        """Waits while the runner is silent; returns whether it was."""
        was_silent = self.is_silent
        while self.is_silent and not self._stopped:
            time.sleep(0.02)
        return was_silent

    def respond(self, connection: socket.socket, request: Request) -> bool:
        """Sends the response of a run; returns whether the connection stays open."""
        connection.sendall(self.answer(request, 200))
        return True

    def answer(self, request: Request, status: int) -> bytes:
        """Returns a whole answer; only that of a run has a body and is sealed."""
        body = body_of(request.id) if status == 200 else b""
        headers = [
            f"HTTP/1.1 {status} {REASONS[status]}",
            f"Sequoiadrum-Request-Id: {request.id}",
            f"Sequoiadrum-Instance-Id: {self.name}",
        ]
        if status == 200:
            headers.append(f"Sequoiadrum-Response-Seal: {self.name}.{len(body)}")
        if status == 503:
            headers.append("Sequoiadrum-Not-Executed: 1")
        headers += ["Keep-Alive: timeout=5", f"Content-Length: {len(body)}"]
        return "\r\n".join([*headers, "", ""]).encode("latin-1") + body


def body_of(request_id: str) -> bytes:
    """Returns the body of the response to a request; clients compare it."""
    return f"{request_id}:".encode() * 40


def _read_request(connection: socket.socket, buffer: bytes) -> tuple[Request | None, bytes]:
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65_536)
        if not data:
            return None, b""
        buffer += data
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    request = Request(head, b"")
    length = int(request.headers.get("content-length", "0"))
    while len(buffer) < length:
        data = connection.recv(65_536)
        if not data:
            return None, b""
        buffer += data
    request.body, buffer = buffer[:length], buffer[length:]
    return request, buffer


def _is_closed(connection: socket.socket) -> bool:
    readable, _, _ = select.select([connection], [], [], 0)
    if not readable:
        return False
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
