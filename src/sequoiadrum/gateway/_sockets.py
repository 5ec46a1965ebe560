"""TCP connections that notice silent peers, and reads that can be interrupted."""

from __future__ import annotations

import io
import select
import socket
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

USER_TIMEOUT_MS: Final = 1_500
"""Unacknowledged bytes end a connection after this time; covers a lost packet and its repeat."""
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
"""An idle peer that is gone is noticed after 3 s, the shortest that whole seconds allow."""
POLL_S: Final = 0.1
"""How often a waiting read looks at its caller; callers that left must be noticed in 0.25 s."""


def connect_stream(address: Address, timeout_s: float) -> socket.socket:
    """Opens a TCP connection.

    Raises:
        OSError: The connection could not be established in time.
    """
    stream = socket.create_connection((address.host, address.port), timeout_s)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return stream


class GuardedStream:
    """A socket for `http.client` whose reads and writes call a guard while they wait.

    The guard raises to end the wait.
    """

    def __init__(self, stream: socket.socket) -> None:
        stream.setblocking(False)
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream, select.POLLIN)
        self.guard: Callable[[], None] = _no_guard
        self.bytes_sent = 0
        """Bytes handed to the system since the last `begin`."""
        self._reader = _KeptReader(_GuardedRaw(self))

    def begin(self, guard: Callable[[], None]) -> None:
        """Starts an exchange."""
        self.guard = guard
        self.bytes_sent = 0

    def is_quiet(self) -> bool:
        """Tells whether nothing has come since the last answer, not even an end."""
        if self._reader.holds_bytes():
            return False
        return not self._poll.poll(0)

    def sendall(self, data: bytes) -> None:
        """Writes everything; see `socket.socket.sendall`."""
        view = memoryview(data).cast("B")
        while view:
            try:
                sent = self._stream.send(view)
            except BlockingIOError:
                self._wait(select.POLLOUT)
                continue
            self.bytes_sent += sent
            view = view[sent:]

    def makefile(self, *_: Any, **__: Any) -> io.BufferedReader:
        """Gives the reader; it stays the same for all answers of the connection."""
        return self._reader

    def receive_into(self, buffer: Any) -> int:
        """Reads what has come; waits for at least one byte or the end."""
        while True:
            try:
                return self._stream.recv_into(buffer)
            except BlockingIOError:
                self._wait(select.POLLIN)

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    def _wait(self, event: int) -> None:
        poll = select.poll()
        poll.register(self._stream, event)
        while not poll.poll(POLL_S * 1e3):
            self.guard()


class _GuardedRaw(io.RawIOBase):
    """The unbuffered side of `_KeptReader`."""

    is_dry = False
    """Pretends that nothing has come, so that a look at the buffer does not wait."""

    def __init__(self, stream: GuardedStream) -> None:
        self._stream = stream

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        return None if self.is_dry else self._stream.receive_into(buffer)


class _KeptReader(io.BufferedReader):
    """Outlives the answers that are read from it.

    Bytes after the end of an answer stay visible instead of being dropped with a buffer.
    """

    def __init__(self, raw: _GuardedRaw) -> None:
        super().__init__(raw)
        self._guarded = raw

    def close(self) -> None:
        """Does nothing: the connection owns the reader."""

    def holds_bytes(self) -> bool:
        """Tells whether bytes were received that nobody has read."""
        self._guarded.is_dry = True
        try:
            return bool(self.peek(1))
        finally:
            self._guarded.is_dry = False


def _no_guard() -> None:
    return None
