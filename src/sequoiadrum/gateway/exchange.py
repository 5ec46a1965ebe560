"""One request to one endpoint over a kept connection."""

from __future__ import annotations

import http.client
import threading
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import define, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway._sockets import GuardedStream, connect_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.model import RequestHead, ResponseHead
    from sequoiadrum.gateway.ports import HeaderCodec
    from sequoiadrum.messages import Address

CONNECT_TIMEOUT_S: Final = 0.6
"""A round trip takes 2 ms; a lost first packet is repeated only after a second, elsewhere."""
IDLE_MARGIN_S: Final = 1.0
"""An idle connection is dropped this long before its endpoint would close it."""
DEFAULT_IDLE_S: Final = 4.0
"""Kept idle for so long when the endpoint does not say."""
TRUSTED_IDLE_S: Final = 1.0
"""Endpoints may drop connections without notice that were idle for longer than this; a request that
can't be repeated would be lost on one."""
MAX_IDLE_PER_ENDPOINT: Final = 8
_READ_BYTES: Final = 65_536
_MAX_FOREIGN_ANSWERS: Final = 3
"""Answers to other requests that are skipped on one connection before it is given up."""


class Interrupt(Enum):
    """Why a wait was ended."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    SLOW_ENDPOINT = "slow_endpoint"
    """The first byte did not come in the time that one attempt may take."""


class InterruptedWaitError(Exception):
    """Raised by a guard to end a wait."""

    def __init__(self, interrupt: Interrupt) -> None:
        super().__init__(interrupt.value)
        self.interrupt: Final = interrupt


@frozen
class NotSent:
    """No byte of the request has left; it has not run."""

    detail: str


@frozen
class Broken:
    """The exchange ended without a whole answer; the request may have run."""

    detail: str
    interrupt: Interrupt | None = None
    """Set when this side ended it."""


@define(eq=False)
class Exchange:
    """An exchange whose answer has begun."""

    head: ResponseHead
    _response: http.client.HTTPResponse
    _stream: GuardedStream
    _release: Callable[[GuardedStream, float | None], None]
    _left: int | None
    """Bytes of the body still to come; None when its end shows otherwise."""
    _is_closed: bool = False

    def set_guard(self, guard: Callable[[], None]) -> None:
        """Replaces what is called while a read waits."""
        self._stream.guard = guard

    def read(self) -> bytes | Broken:
        """Waits for bytes of the body; empty at its end."""
        try:
            return self._read()
        except InterruptedWaitError as error:
            self.close()
            return Broken(error.interrupt.value, error.interrupt)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            return Broken(f"answer cut off: {error!r}"[:200])

    def read_all(self, limit: int) -> bytes | Broken:
        """Reads the whole body, of at most so many bytes."""
        parts: list[bytes] = []
        size = 0
        while True:
            data = self.read()
            if isinstance(data, Broken):
                return data
            if not data:
                return b"".join(parts)
            parts.append(data)
            size += len(data)
            if size > limit:
                self.close()
                return Broken("answer too large")

    def close(self) -> None:
        """Ends the connection; the endpoint drops a request that still runs."""
        if not self._is_closed:
            self._is_closed = True
            self._stream.close()

    def _read(self) -> bytes:
        if self._left == 0:
            self._finish()
            return b""
        limit = _READ_BYTES if self._left is None else min(self._left, _READ_BYTES)
        data = self._response.read1(limit)
        if self._left is not None:
            # `read1` does not count the bytes, so a body that ends early would pass as whole.
            if not data:
                raise http.client.IncompleteRead(b"", self._left)
            self._left -= len(data)
        elif not data:
            self._finish()
        return data

    def _finish(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._response.will_close:
            self._stream.close()
        else:
            self._release(self._stream, self.head.idle_timeout_s)


@frozen
class _Idle:
    stream: GuardedStream
    since: float
    until: float


class EndpointConnections:
    """Sends requests and keeps idle connections by endpoint; safe to use from any thread."""

    def __init__(self, wire: HeaderCodec) -> None:
        self._wire = wire
        self._lock = threading.Lock()
        self._idle_by_endpoint: dict[str, list[_Idle]] = {}
        self.opened = 0
        """Connections opened so far."""

    def send(
        self,
        endpoint_id: str,
        address: Address,
        call: RequestHead,
        headers: list[tuple[str, str]],
        body: bytes,
        guard: Callable[[], None],
        is_retryable: bool,
    ) -> Exchange | NotSent | Broken:
        """Sends a request and waits for the head of its answer.

        A request that is not repeatable gets a connection that was in use just now, or a new one.
        """
        stream = self._take(endpoint_id, None if is_retryable else TRUSTED_IDLE_S)
        if stream is None:
            try:
                stream = GuardedStream(connect_stream(address, CONNECT_TIMEOUT_S))
            except OSError as error:
                return NotSent(f"no connection: {error!r}"[:200])
            self.opened += 1
        stream.begin(guard)
        try:
            _write(stream, call, headers, body)
        except InterruptedWaitError as error:
            stream.close()
            return Broken(error.interrupt.value, error.interrupt)
        except OSError as error:
            if stream.bytes_sent == 0:
                stream.close()
                return NotSent(f"connection lost: {error!r}"[:200])
            # The endpoint may have answered before it broke off; the answer is read below.
        except (ValueError, http.client.HTTPException) as error:
            stream.close()
            return NotSent(f"cannot be written: {error!r}"[:200])
        return self._receive(endpoint_id, stream, call)

    def forget(self, endpoint_id: str) -> None:
        """Closes the idle connections of an endpoint."""
        with self._lock:
            idle = self._idle_by_endpoint.pop(endpoint_id, [])
        for entry in idle:
            entry.stream.close()

    def expire(self, now: float) -> None:
        """Closes connections that were idle for too long."""
        with self._lock:
            old = []
            for endpoint_id, entries in list(self._idle_by_endpoint.items()):
                old += [entry for entry in entries if entry.until <= now]
                kept = [entry for entry in entries if entry.until > now]
                if kept:
                    self._idle_by_endpoint[endpoint_id] = kept
                else:
                    del self._idle_by_endpoint[endpoint_id]
        for entry in old:
            entry.stream.close()

    def _receive(
        self, endpoint_id: str, stream: GuardedStream, call: RequestHead
    ) -> Exchange | Broken:
        try:
            for _ in range(_MAX_FOREIGN_ANSWERS):
                response = http.client.HTTPResponse(
                    stream, method=call.method  # type: ignore[arg-type]
                )
                response.begin()
                head = self._wire.decode_response(
                    response.status, response.reason, response.getheaders()
                )
                if head.request_id in (None, call.request_id):
                    break
                # A late answer of an earlier request; the one that is waited for follows it.
                _skip(response)
            else:
                stream.close()
                return Broken("only answers to other requests")
        except InterruptedWaitError as error:
            stream.close()
            return Broken(error.interrupt.value, error.interrupt)
        except (OSError, http.client.HTTPException, ValueError) as error:
            stream.close()
            return Broken(f"no answer: {error!r}"[:200])
        left = None if response.chunked else response.length
        return Exchange(
            head,
            response,
            stream,
            lambda kept, idle_s: self._keep(endpoint_id, kept, idle_s),
            left,
        )

    def _take(self, endpoint_id: str, longest_idle_s: float | None) -> GuardedStream | None:
        while True:
            with self._lock:
                entries = self._idle_by_endpoint.get(endpoint_id)
                if not entries:
                    return None
                # The last one was in use most recently.
                idle_s = clock.now() - entries[-1].since
                if longest_idle_s is not None and idle_s > longest_idle_s:
                    return None
                entry = entries.pop()
            # Bytes that nobody asked for, or an end: nothing may be sent on such a connection.
            if entry.until > clock.now() and entry.stream.is_quiet():
                return entry.stream
            entry.stream.close()

    def _keep(self, endpoint_id: str, stream: GuardedStream, idle_s: float | None) -> None:
        keep_s = (DEFAULT_IDLE_S if idle_s is None else idle_s) - IDLE_MARGIN_S
        with self._lock:
            entries = self._idle_by_endpoint.setdefault(endpoint_id, [])
            if keep_s > 0 and len(entries) < MAX_IDLE_PER_ENDPOINT and stream.is_quiet():
                now = clock.now()
                entries.append(_Idle(stream, now, now + keep_s))
                return
        stream.close()


def _write(
    stream: GuardedStream, call: RequestHead, headers: list[tuple[str, str]], body: bytes
) -> None:
    connection = http.client.HTTPConnection("endpoint.invalid")
    connection.sock = stream
    connection.putrequest(call.method, call.target, skip_host=True, skip_accept_encoding=True)
    for name, value in headers:
        connection.putheader(name, value.encode("latin-1"))
    if body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        connection.putheader("Content-Length", str(len(body)))
    connection.endheaders(body or None)


def _skip(response: http.client.HTTPResponse) -> None:
    if response.will_close:
        raise http.client.HTTPException("the connection ends with another request's answer")
    while response.read1(_READ_BYTES) if response.chunked else response.read():
        pass
