"""A gateway process with lowered limits, and callers that keep to no limit."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import os
import resource
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.settings import DEFAULT_METRICS_PORT
from sequoiadrum.messages import Address
from tests.gateway.scripted_endpoint import Connection, Received, ScriptedEndpoint, answer
from tests.gateway.world import config_document, route_document
from tests.platform.store_stand_in import StoreStandIn
from tools.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ROOT: Final = Path(__file__).parent.parent.parent
MEMORY_MB: Final = 96
"""Limit on the memory of the process, in megabytes, as its settings state it."""
MAX_DESCRIPTORS: Final = 512
"""Limit on the descriptors of the process, as its settings state it."""
FILE_DESCRIPTORS: Final = 200
"""Descriptors that the platform sets aside for files; sockets and pipes share the others."""
MAX_BODY_BYTES: Final = 4_194_304
MAX_HEADER_BYTES: Final = 16_384
"""Limits of the configuration on the requests of callers."""
LONG_ANSWER: Final = b"x" * 1_000_000
SERVED_WITHIN_S: Final = 40.0
"""Time in which an ordinary caller, which repeats refused requests, is answered by any machine."""
MAX_CROWD_S: Final = 60.0
"""Time after which a crowd ends by itself."""
SETTLED_S: Final = 0.5
"""A crowd that could send or read nothing for this long has settled."""
STEP_S: Final = 0.02
"""Time between two bytes of a caller that is slow."""
_READ_BYTES: Final = 65_536
_SETTINGS: Final = """
node_name = "g1"
ip = "{host}"
zone = "z1"
region = "r"
internal_ports = [{peers}]
seeds = []
[bind]
front = "{callers}"
ready = "{readiness}"
directory = "{directory}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
grace_s = 8
drain_ms = 2000
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_slack = 108
retry_window_s = 10
ttl_max_s = 5
cap_factor = 2
[platform]
address = "{store}"
"""


class GatewayProcess:
    """A gateway process on loopback addresses, with a stand-in store and an endpoint.

    Requests to `/hold/` get no response while the process runs, those to `/long/` one of a
    megabyte, and all others a short one.
    """

    def __init__(self) -> None:
        self._may_answer = threading.Event()
        self._endpoint = ScriptedEndpoint(self._answer)
        self._store = StoreStandIn()
        ports = free_ports(4)
        # The port for metrics is fixed, so that each process needs an address of its own.
        self.host = f"127.1.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
        self.callers, self.readiness, self.directory, self.peers = (
            Address(self.host, port) for port in ports
        )
        self.metrics = Address(self.host, DEFAULT_METRICS_PORT)
        self._store.put("config", "main", _config_document())
        entry = {
            "service": "shop",
            "address": str(self._endpoint.address),
            "zone": "z1",
            "version": "v1",
            "slots": 1_000,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
        }
        self._store.put("servers", "e1", entry)
        self._folder = tempfile.TemporaryDirectory()
        settings = Path(self._folder.name) / "settings.toml"
        settings.write_text(
            _SETTINGS.format(
                callers=self.callers,
                readiness=self.readiness,
                directory=self.directory,
                host=self.host,
                peers=self.peers.port,
                memory_mb=MEMORY_MB,
                max_fds=MAX_DESCRIPTORS,
                store=self._store.address,
            )
        )
        self._log = (Path(self._folder.name) / "log").open("wb")
        self.popen = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "gateway.py")],
            cwd=ROOT,
            env={**os.environ, "SEQUOIADRUM_NODE_FILE": str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
            preexec_fn=_lower_descriptor_limit,
        )
        self.serve_ordinary_request()

    def stop(self) -> None:
        """Kills the process and stops the store and the endpoint."""
        self._may_answer.set()
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()
        self._log.close()
        self._store.stop()
        self._endpoint.stop()
        self._folder.cleanup()

    def is_alive(self) -> bool:
        """Returns whether the process runs."""
        return self.popen.poll() is None

    def requests_run(self) -> int:
        """Returns how many requests have reached the endpoint."""
        return len(self._endpoint.received)

    def log(self) -> str:
        """Returns what the process has written."""
        return (Path(self._folder.name) / "log").read_text(errors="replace")

    def serve_ordinary_request(self) -> None:
        """Sends a request and a readiness check until both are served, as an ordinary caller does.

        Raises:
            AssertionError: One of them was not served within `SERVED_WITHIN_S`.
        """
        headers = {
            "Host": "shop.example",
            "Sequoiadrum-Request-Id": "ordinary",
            "Sequoiadrum-Key": "k1",
        }
        self._repeat(self.callers, "POST", "/read/x", b"hello", headers)
        self._repeat(self.readiness, "GET", "/ready", None, {})

    def _repeat(
        self, address: Address, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> None:
        deadline = time.monotonic() + SERVED_WITHIN_S
        seen: object = None
        while time.monotonic() < deadline and self.is_alive():
            connection = http.client.HTTPConnection(address.host, address.port, timeout=5.0)
            try:
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                seen = response.status, response.read()
                if response.status == 200:
                    return
            except (OSError, http.client.HTTPException) as error:
                seen = error
            finally:
                connection.close()
            time.sleep(0.1)
        raise AssertionError(
            f"{method} {path} was not served; last: {seen!r}\n{self.log()[-2000:]}"
        )

    def _answer(self, connection: Connection, request: Received) -> None:
        path = request.line.split()[1]
        if path.startswith("/hold/"):
            self._may_answer.wait(MAX_CROWD_S)
        connection.send(answer(request, LONG_ANSWER if path.startswith("/long/") else b"done"))


def _config_document() -> dict[str, object]:
    routes = [
        route_document("idempotent", "shop", "/read/"),
        route_document("non_idempotent", "shop", "/hold/", max_attempts=1, timeout_ms=30_000),
        route_document("non_idempotent", "shop", "/long/", max_attempts=1, timeout_ms=30_000),
    ]
    limits = {
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    services = [{"name": "shop", "health_path": "/health", "max_conns": 1_000}]
    return config_document(routes=routes, services=services, limits=limits)


def _lower_descriptor_limit() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


def forget_peak(pid: int) -> None:
    """Resets the peak of a process's resident memory to its present size."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


def peak_bytes(pid: int) -> int:
    """Returns the most resident memory of a process since `forget_peak`."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024
    raise AssertionError("the process has no resident memory")


def sockets_and_pipes(pid: int) -> int:
    """Returns how many sockets, pipes and the like a process has open."""
    count = 0
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            count += not os.readlink(link).startswith("/")
    return count


@frozen(kw_only=True)
class Behaviour:
    """What each caller of a crowd does."""

    callers: int
    """Connections at a time."""
    pieces: Callable[[], Iterator[bytes]]
    """Returns the pieces that a caller sends; it then stays connected without a further byte."""
    is_slow: bool = False
    """Whether a caller waits between two pieces, and between two reads of a byte."""
    reads: bool = False
    """Whether a caller reads what it is sent."""


@define(eq=False)
class _Caller:
    stream: socket.socket
    pieces: Iterator[bytes]
    unsent: memoryview = field(factory=lambda: memoryview(b""))
    next_step: float = 0.0
    has_sent_all: bool = False


class Crowd:
    """Callers that behave alike; each connection that is closed is replaced by another one."""

    def __init__(self, address: Address, behaviour: Behaviour) -> None:
        """Starts the callers.

        Args:
            address: Address of the process that the callers meet.
            behaviour: What they do.
        """
        self._address = address
        self._behaviour = behaviour
        self._selector = selectors.DefaultSelector()
        self._callers: list[_Caller] = []
        self._left = 4 * behaviour.callers
        """Connections that may still be opened."""
        self._stopped = False
        self._active_at = time.monotonic()
        self.bytes_sent = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def wait_until_settled(self) -> None:
        """Waits until the callers can send nothing more, or are slow and all connected."""
        until = time.monotonic() + MAX_CROWD_S / 2
        if self._behaviour.is_slow:
            until = time.monotonic() + 4.0
        while time.monotonic() < until:
            if time.monotonic() - self._active_at > SETTLED_S:
                return
            time.sleep(0.05)

    def close(self) -> None:
        """Closes all connections."""
        self._stopped = True
        self._thread.join()

    def _run(self) -> None:
        until = time.monotonic() + MAX_CROWD_S
        try:
            while not self._stopped and time.monotonic() < until:
                while len(self._callers) < self._behaviour.callers and self._left:
                    self._connect()
                self._step()
        finally:
            for caller in self._callers:
                caller.stream.close()
            self._selector.close()

    def _connect(self) -> None:
        self._left -= 1
        stream = socket.socket()
        if not self._behaviour.reads or self._behaviour.is_slow:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        stream.setblocking(False)
        stream.connect_ex((self._address.host, self._address.port))
        caller = _Caller(stream, self._behaviour.pieces())
        self._callers.append(caller)
        self._selector.register(stream, selectors.EVENT_WRITE | selectors.EVENT_READ, caller)

    def _step(self) -> None:
        if not self._callers:
            time.sleep(STEP_S)
            return
        did_something = False
        for key, events in self._selector.select(STEP_S):
            caller: _Caller = key.data
            try:
                if events & selectors.EVENT_READ:
                    did_something |= self._receive(caller)
                if events & selectors.EVENT_WRITE:
                    did_something |= self._send(caller)
            except OSError:
                self._drop(caller)
        if did_something:
            self._active_at = time.monotonic()
        else:
            time.sleep(STEP_S / 2)

    def _receive(self, caller: _Caller) -> bool:
        if not self._behaviour.reads:
            # The end of the connection must be noticed; nothing else is read.
            if caller.stream.recv(1, socket.MSG_PEEK) == b"":
                raise ConnectionError("closed")
            return False
        if self._behaviour.is_slow:
            if time.monotonic() < caller.next_step:
                return False
            caller.next_step = time.monotonic() + STEP_S
        data = caller.stream.recv(1 if self._behaviour.is_slow else _READ_BYTES)
        if not data:
            raise ConnectionError("closed")
        return True

    def _send(self, caller: _Caller) -> bool:
        sent_any = False
        for _ in range(64):
            if not caller.unsent:
                if self._behaviour.is_slow:
                    if time.monotonic() < caller.next_step:
                        return sent_any
                    caller.next_step = time.monotonic() + STEP_S
                piece = next(caller.pieces, None)
                if piece is None:
                    if not caller.has_sent_all:
                        caller.has_sent_all = True
                        self._selector.modify(caller.stream, selectors.EVENT_READ, caller)
                    return sent_any
                caller.unsent = memoryview(piece)
            try:
                sent = caller.stream.send(caller.unsent)
            except BlockingIOError:
                return sent_any
            caller.unsent = caller.unsent[sent:]
            self.bytes_sent += sent
            sent_any = True
        return sent_any

    def _drop(self, caller: _Caller) -> None:
        self._selector.unregister(caller.stream)
        caller.stream.close()
        self._callers.remove(caller)


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Builds the head of a request that is served, with further header fields."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        "Sequoiadrum-Request-Id: hostile",
        "Sequoiadrum-Key: k1",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def legal_bodies(path: str, piece_bytes: int, size: int = MAX_BODY_BYTES) -> Behaviour:
    """Callers that send a body of legal size in pieces, and stop a few bytes before its end."""

    def pieces() -> Iterator[bytes]:
        yield head(path, f"Content-Length: {size}")
        rest = size - 10
        piece = b"a" * piece_bytes
        while rest:
            yield piece[:rest]
            rest -= min(rest, piece_bytes)

    return Behaviour(callers=40, pieces=pieces)


def chunked_bodies(path: str, chunk_bytes: int) -> Behaviour:
    """Callers that send a body of legal size in chunks, without the last one."""

    def pieces() -> Iterator[bytes]:
        yield head(path, "Transfer-Encoding: chunked")
        one = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
        repeated = one * max(1, 32_768 // len(one))
        for _ in range((MAX_BODY_BYTES - 65_536) // (repeated.count(b"a") or 1)):
            yield repeated

    return Behaviour(callers=40, pieces=pieces)


def oversized_bodies(path: str, is_chunked: bool) -> Behaviour:
    """Callers that send a body of forty times the limit."""
    size = 40 * MAX_BODY_BYTES

    def pieces() -> Iterator[bytes]:
        framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
        yield head(path, framing)
        piece = b"a" * 65_536
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        yield from itertools.repeat(piece, size // 65_536)

    return Behaviour(callers=20, pieces=pieces)


def many_fields(path: str, is_complete: bool) -> Behaviour:
    """Callers whose heads are legal in size and consist of very many short fields."""
    start = head(path)[:-2]
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    names = map("".join, itertools.product(letters, repeat=3))
    fields = b""
    while len(start) + len(fields) < MAX_HEADER_BYTES - 16:
        fields += f"{next(names)}:\r\n".encode()
    data = start + fields + (b"\r\n" if is_complete else b"")

    def pieces() -> Iterator[bytes]:
        yield data

    return Behaviour(callers=100, pieces=pieces)


def pipelined_requests(path: str) -> Behaviour:
    """Callers that send thousands of requests ahead and read no answer."""
    request = head(path, method="GET")

    def pieces() -> Iterator[bytes]:
        yield from itertools.repeat(request * 64, 64)

    return Behaviour(callers=60, pieces=pieces)


def shortest_requests(path: str) -> Behaviour:
    """Callers that send thousands of requests of the least size ahead and read no answer."""
    request = f"GET {path} HTTP/1.1\r\n\r\n".encode()

    def pieces() -> Iterator[bytes]:
        yield from itertools.repeat(request * 256, 64)

    return Behaviour(callers=60, pieces=pieces)


def slow_senders(path: str) -> Behaviour:
    """Callers whose requests arrive a byte at a time."""

    def pieces() -> Iterator[bytes]:
        for byte in itertools.cycle(head(path, "X-More: 1")[:-2]):
            yield bytes([byte])

    return Behaviour(callers=120, pieces=pieces, is_slow=True)


def slow_readers(path: str) -> Behaviour:
    """Callers that read their answers a byte at a time."""

    def pieces() -> Iterator[bytes]:
        yield from itertools.repeat(head(path, method="GET"), 200)

    return Behaviour(callers=120, pieces=pieces, is_slow=True, reads=True)


def half_requests(path: str, data: bytes) -> Behaviour:
    """Callers that send a part of a request and stop."""

    def pieces() -> Iterator[bytes]:
        yield data

    return Behaviour(callers=120, pieces=pieces)


def half_head(path: str) -> Behaviour:
    """Callers that stop in the middle of the head."""
    return half_requests(path, head(path)[:40])


def half_body(path: str) -> Behaviour:
    """Callers that stop in the middle of the body."""
    return half_requests(path, head(path, "Content-Length: 100000") + b"a" * 50_000)


def idle_connections(path: str) -> Behaviour:
    """Callers that connect and send nothing."""
    return half_requests(path, b"")


def legal_frames() -> Behaviour:
    """Peers' connections whose frame stops just short of its end."""
    size = 15_900_000

    def pieces() -> Iterator[bytes]:
        yield size.to_bytes(4, "big")
        yield from itertools.repeat(b"a" * 65_536, size // 65_536)

    return Behaviour(callers=20, pieces=pieces)


def oversized_frames() -> Behaviour:
    """Peers' connections whose frame is far over the limit."""

    def pieces() -> Iterator[bytes]:
        yield (2**31 - 1).to_bytes(4, "big")
        yield from itertools.repeat(b"a" * 65_536, 1_000)

    return Behaviour(callers=20, pieces=pieces)


def half_frames() -> Behaviour:
    """Peers' connections that stop in the middle of a frame."""

    def pieces() -> Iterator[bytes]:
        yield (1_000).to_bytes(4, "big") + b"a" * 500

    return Behaviour(callers=250, pieces=pieces)


def slow_frames() -> Behaviour:
    """Peers' connections whose frames arrive a byte at a time."""

    def pieces() -> Iterator[bytes]:
        yield (1_000_000).to_bytes(4, "big")
        yield from itertools.repeat(b"a", 100_000)

    return Behaviour(callers=250, pieces=pieces, is_slow=True)


def malformed_frames() -> Behaviour:
    """Peers' connections with whole frames that are no calls, sent ahead."""

    def pieces() -> Iterator[bytes]:
        yield from itertools.repeat(((100).to_bytes(4, "big") + b"a" * 100) * 64, 64)

    return Behaviour(callers=60, pieces=pieces)
