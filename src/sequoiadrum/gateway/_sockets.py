"""TCP connections that detect unresponsive peers, and reads that can be interrupted."""

from __future__ import annotations

import contextlib
import errno
import io
import os
import select
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Final

from sequoiadrum.gateway import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

USER_TIMEOUT_MS: Final = 1_500
"""A connection fails if sent bytes or a keepalive probe stay unacknowledged for this long.

It is long enough for the retransmission of a lost packet. One lost probe exceeds it, and so does a
peer that reads nothing meanwhile; it is not set for a request that cannot be sent elsewhere.
"""
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
"""Without `USER_TIMEOUT_MS`, keepalive detects a lost peer after 4 s and tolerates lost probes."""
PAUSE_S: Final = 0.05
"""Time for which a connection is not read while memory is short."""
GUARD_INTERVAL_S: Final = 0.1
"""How often an exchange calls its guard, whether or not bytes arrive; a caller's disconnect must be
detected within 0.25 s."""


class OversizedError(Exception):
    """The peer sent more bytes than the current part of the exchange may have."""


def no_guard() -> None:
    """Ends no wait."""


def connect_stream(
    address: Address, timeout_s: float, guard: Callable[[], None] = no_guard
) -> socket.socket:
    """Opens a TCP connection that detects an unresponsive peer.

    Args:
        address: Where the peer listens.
        timeout_s: Longest wait in seconds.
        guard: Called at intervals during the wait; raises an exception to end it.

    Raises:
        OSError: The connection was not established within `timeout_s`.
    """
    stream = _connect(address, timeout_s, guard)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return stream


def ends_within(stream: socket.socket, wait_s: float) -> bool:
    """Returns whether the peer ends or resets a connection within some seconds."""
    poll = select.poll()
    poll.register(stream, select.POLLRDHUP)  # Errors are reported always.
    return bool(poll.poll(wait_s * 1e3))


class GuardedStream:
    """A socket for `http.client` whose reads and writes call a guard at intervals.

    The guard raises an exception to end the exchange. It is called by time, also while bytes
    arrive: a peer that sends one byte now and then would otherwise keep an exchange for ever.
    """

    def __init__(self, stream: socket.socket, opened_at: float = 0.0) -> None:
        stream.setblocking(False)
        self._stream = stream
        self.opened_at: Final = opened_at
        """Monotonic seconds at which the connection was established."""
        self._user_timeout_ms = USER_TIMEOUT_MS
        self._poll = select.poll()
        self._poll.register(stream, select.POLLIN)
        self.guard: Callable[[], None] = no_guard
        self.bytes_sent = 0
        """Bytes passed to the operating system since the last `begin`."""
        self.has_write_error = False
        """Whether a write failed. The failure may have been a reset, which is reported only once:
        reads that follow it see a regular end."""
        self._unsent: deque[memoryview] = deque()
        """The rest of a request whose peer has sent something before it has read all of it."""
        self._allowance = 0
        self._next_check = 0.0
        self._reader = _PersistentReader(_GuardedRaw(self))

    def begin(self, guard: Callable[[], None], is_retryable: bool) -> None:
        """Sets the guard and resets the byte count for a new exchange.

        Args:
            guard: Called at intervals while the exchange waits.
            is_retryable: Whether the exchange may fail early, because its request may be sent to
                another endpoint.
        """
        self.guard = guard
        user_timeout_ms = USER_TIMEOUT_MS if is_retryable else 0
        if user_timeout_ms != self._user_timeout_ms:
            self._user_timeout_ms = user_timeout_ms
            self._stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        self.bytes_sent = 0
        self._unsent.clear()
        self._next_check = clock.now() + GUARD_INTERVAL_S

    def allow(self, size: int) -> None:
        """Limits the bytes that may be received until the next call."""
        self._allowance = size

    def is_reusable(self) -> bool:
        """Returns whether nothing is left to send, and nothing followed the last response."""
        if self._unsent or self._reader.has_buffered_bytes():
            return False
        return not self._poll.poll(0)

    def has_regular_end(self) -> bool:
        """Returns whether the peer ended the connection by itself, without a reset or a timeout."""
        flags = [flags for _, flags in self._poll.poll(0)]
        return not self.has_write_error and not any(
            each & (select.POLLERR | select.POLLHUP) for each in flags
        )

    def sendall(self, data: bytes) -> None:
        """Writes all bytes; see `socket.socket.sendall`.

        A peer that sends something while it does not read on may be responding already. The rest is
        then written while its response is received.
        """
        self._unsent.append(memoryview(data).cast("B"))
        while self._unsent:
            if self._send_some():
                self._check_guard()
            elif self._wait(select.POLLOUT | select.POLLIN) & select.POLLIN:
                return

    def makefile(self, *_: Any, **__: Any) -> io.BufferedReader:
        """Returns the reader that all responses of the connection share."""
        return self._reader

    def receive_into(self, buffer: Any) -> int:
        """Reads the available bytes; waits for at least one byte or the end of the stream.

        Returns:
            The number of bytes read; 0 at the end of the stream.

        Raises:
            OversizedError: More bytes were received than `allow` permits.
        """
        while True:
            try:
                size = self._stream.recv_into(buffer)
            except BlockingIOError:
                self._wait_for_bytes()
                continue
            self._allowance -= size
            if self._allowance < 0:
                raise OversizedError("too many bytes")
            self._check_guard()
            return size

    def pause(self) -> None:
        """Reads nothing for a moment and calls the guard, so that the peer must wait."""
        time.sleep(PAUSE_S)
        self._check_guard()

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    def _send_some(self) -> bool:
        """Writes what the operating system accepts at once; returns whether that is anything."""
        try:
            sent = self._stream.send(self._unsent[0])
        except BlockingIOError:
            return False
        except OSError:
            self.has_write_error = True
            self._unsent.clear()
            raise
        self.bytes_sent += sent
        rest = self._unsent.popleft()[sent:]
        if rest:
            self._unsent.appendleft(rest)
        return True

    def _wait_for_bytes(self) -> None:
        """Waits until something was received, and goes on with an unfinished request meanwhile."""
        while self._unsent:
            if self._wait(select.POLLIN | select.POLLOUT) & select.POLLIN:
                return
            # The response may have been sent before the connection failed, and is read in any case.
            with contextlib.suppress(OSError):
                self._send_some()
            self._check_guard()
        self._wait(select.POLLIN)

    def _wait(self, events: int) -> int:
        """Waits for one of some events of the socket; returns those that occurred."""
        poll = select.poll()
        poll.register(self._stream, events)
        while not (occurred := poll.poll(GUARD_INTERVAL_S * 1e3)):
            self._check_guard()
        return occurred[0][1]

    def _check_guard(self) -> None:
        now = clock.now()
        if now >= self._next_check:
            self._next_check = now + GUARD_INTERVAL_S
            self.guard()


class _GuardedRaw(io.RawIOBase):
    """The unbuffered stream below `_PersistentReader`."""

    is_peeking = False
    """Makes reads report no data, so that an inspection of the buffer does not wait."""

    def __init__(self, stream: GuardedStream) -> None:
        self._stream = stream

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        return None if self.is_peeking else self._stream.receive_into(buffer)


class _PersistentReader(io.BufferedReader):
    """A buffered reader that stays open after each response read from it.

    Bytes after the end of a response stay detectable; a reader per response would discard them.
    """

    def __init__(self, raw: _GuardedRaw) -> None:
        super().__init__(raw)
        self._guarded_raw = raw

    def close(self) -> None:
        """Has no effect, because the reader belongs to the connection."""

    def has_buffered_bytes(self) -> bool:
        """Returns whether the buffer contains received bytes that were not read."""
        self._guarded_raw.is_peeking = True
        try:
            return bool(self.peek(1))
        finally:
            self._guarded_raw.is_peeking = False


def _connect(address: Address, timeout_s: float, guard: Callable[[], None]) -> socket.socket:
    """Returns a blocking socket that is connected; see `connect_stream`."""
    until = clock.now() + timeout_s
    error = 0
    for family, kind, protocol, _, target in socket.getaddrinfo(
        address.host, address.port, type=socket.SOCK_STREAM
    ):
        stream = socket.socket(family, kind, protocol)
        try:
            stream.setblocking(False)
            error = stream.connect_ex(target)
            if error == errno.EINPROGRESS:
                error = _wait_for_connection(stream, until, guard)
            if not error:
                # As `socket.create_connection` does, so that reads and writes time out as well.
                stream.settimeout(timeout_s)
                return stream
        except BaseException:
            stream.close()
            raise
        stream.close()
    raise OSError(error, os.strerror(error))


def _wait_for_connection(stream: socket.socket, until: float, guard: Callable[[], None]) -> int:
    """Returns the error number of the attempt; 0 if the connection is established."""
    poll = select.poll()
    poll.register(stream, select.POLLOUT)
    while True:
        wait_s = min(GUARD_INTERVAL_S, until - clock.now())
        if poll.poll(max(0.0, wait_s) * 1e3):
            return stream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if clock.now() >= until:
            return errno.ETIMEDOUT
        guard()
