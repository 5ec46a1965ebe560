"""Exchanges of one request and response with an endpoint, over persistent connections."""

from __future__ import annotations

import errno
import http.client
import io
import threading
import time
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum._http_response import StrictResponse
from sequoiadrum.gateway import clock
from sequoiadrum.gateway._sockets import (
    GuardedStream,
    OversizedError,
    connect_stream,
    ends_within,
    no_guard,
)
from sequoiadrum.gateway.buffered_body import BodyBuffer
from sequoiadrum.gateway.closed_ports import ClosedPorts
from sequoiadrum.gateway.memory_budget import Growth

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.memory_budget import Holding
    from sequoiadrum.gateway.model import RequestHead, ResponseHead
    from sequoiadrum.gateway.ports import HeaderCodec
    from sequoiadrum.messages import Address

CONNECT_TIMEOUT_S: Final = 0.6
"""A round trip takes 2 ms. TCP resends a lost SYN only after 1 s; another endpoint is faster."""
PROBE_TIMEOUT_S: Final = 0.2
"""Longest wait for a connection that only shows whether an endpoint still listens."""
END_SETTLE_S: Final = 0.1
"""How long a new connection must last to show that an endpoint ended a response by itself."""
BREAK_SETTLE_S: Final = 0.05
"""How long a new connection must last to show that an endpoint outlived a broken exchange."""
PROBE_PAUSE_S: Final = 0.02
IDLE_MARGIN_S: Final = 1.0
"""An idle connection is closed this long before its endpoint would close it."""
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
"""Idle timeout of endpoints that do not report one."""
NON_RETRYABLE_MAX_IDLE_S: Final = 1.0
"""Longest idle time of a connection that is reused for a request that cannot be retried.

Endpoints may drop connections without notice after a longer idle time, which would lose the
request.
"""
MAX_IDLE_PER_ENDPOINT: Final = 8
"""Idle connections that are kept open to one endpoint."""
MAX_HEAD_BYTES: Final = 65_536
"""Size of a response head, including interim responses. Bytes of the body that arrive with the head
count as well, so that a larger body must follow in further reads."""
MAX_FRAMING_BYTES: Final = 16_384
"""Size of the chunk sizes, extensions and trailers that one read of the body may meet."""
MAX_DISCARDED_BYTES: Final = 1_000_000
"""Size of a response to another request that is skipped to reach the one to this request."""
_PROBES: Final = 5
_NO_PATH_ERRORS: Final = (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN)
_READ_BYTES: Final = 65_536
_BUFFER_BYTES: Final = io.DEFAULT_BUFFER_SIZE
"""Bytes that the reader of a connection may receive ahead of what is read from it."""
_MAX_MISMATCHED_RESPONSES: Final = 3
"""Responses read from one connection before it is closed, if none belongs to the request."""


class Interrupt(Enum):
    """Why the gateway stopped waiting for an endpoint."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    STOPPED = "stopped"
    """The process ends before the response to the caller has begun."""
    SLOW_ENDPOINT = "slow_endpoint"
    """The first byte did not arrive within the time limit of one attempt."""
    STALLED = "stalled"
    """No event of a stream was completed for longer than any pause of a sound stream."""
    MEMORY_SHORT = "memory_short"
    """The responses of all endpoints together take more memory than there is for them."""
    EVACUATED = "evacuated"
    """The endpoint's failure domain was evacuated before the request was sent."""
    OVERSIZED = "oversized"
    """The endpoint sent more bytes than a response, or a part of it, may have."""


class UnclearEnd(Enum):
    """Why the end of a connection does not show that the body before it is whole."""

    CONNECTION_FAILED = "connection_failed"
    """The connection was reset, timed out, or failed while the request was written."""
    ENDPOINT_GONE = "endpoint_gone"
    """The endpoint accepts no connections: the kernel ends those of a killed process regularly."""
    ENDPOINT_SILENT = "endpoint_silent"
    """New connections to the endpoint get no reply or are reset, so that it may be gone."""
    ENDPOINT_REPLACED = "endpoint_replaced"
    """New connections reach another process than the one that sent the body."""


class Presence(Enum):
    """What new connections show of the process at an address."""

    THERE = "there"
    GONE = "gone"
    UNKNOWN = "unknown"


_UNCLEAR_END_BY_PRESENCE: Final = {
    Presence.GONE: UnclearEnd.ENDPOINT_GONE,
    Presence.UNKNOWN: UnclearEnd.ENDPOINT_SILENT,
}


def is_never_replaced() -> bool:
    """Returns False, for an endpoint of which nothing else is known."""
    return False


class UnclearEndError(Exception):
    """A body without a length or chunks may not be whole, although its connection has ended."""

    def __init__(self, reason: UnclearEnd) -> None:
        super().__init__(reason.value)
        self.reason: Final = reason


class InterruptedWaitError(Exception):
    """Raised by a guard to end a wait for an endpoint."""

    def __init__(self, interrupt: Interrupt) -> None:
        super().__init__(interrupt.value)
        self.interrupt: Final = interrupt


@frozen
class NotSent:
    """No byte of the request was sent, so that the request has not run."""

    detail: str
    interrupt: Interrupt | None = None
    """Set if the request ended before it was sent."""
    is_unresponsive: bool = True
    """Whether the endpoint was given time to accept a connection and did not, or lost one."""


class Framing(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection."""


@frozen
class Transfer:
    """How the body of a response was framed, and how much of it was received."""

    framing: Framing
    received_bytes: int
    declared_bytes: int | None
    """None for a body without a declared length."""

    def log_fields(self) -> dict[str, object]:
        """Returns the fields of a log line that describe the transfer."""
        return {
            "framing": self.framing.value,
            "received": self.received_bytes,
            "declared": self.declared_bytes,
        }


@frozen
class ExchangeFailure:
    """The exchange ended without a complete response; the request may have run."""

    detail: str
    interrupt: Interrupt | None = None
    """Set if the gateway ended the exchange."""
    transfer: Transfer | None = field(default=None, eq=False)
    """None if no head was received."""
    unclear_end: UnclearEnd | None = None
    """Set if the connection ended in a way that does not complete a body."""
    is_lost: bool = False
    """Whether the network lost the connection, so that the endpoint did not end it."""


@define(eq=False)
class Exchange:
    """An exchange whose response has begun."""

    head: ResponseHead
    _response: StrictResponse
    _stream: GuardedStream
    _release: Callable[[GuardedStream, float | None], None]
    _probe_endpoint: Callable[[], Presence]
    _is_replaced: Callable[[], bool]
    """Whether the process that the connection leads to is known to have ended."""
    _remaining: int | None
    """Bytes of the body still to be read; None for a body without a declared length."""
    _is_closed: bool = False
    _received: int = 0

    def transfer(self) -> Transfer:
        """Returns how the body is framed and how much of it was received so far."""
        if self._response.chunked:
            return Transfer(Framing.CHUNKS, self._received, None)
        if self._remaining is None:
            return Transfer(Framing.CONNECTION, self._received, None)
        return Transfer(Framing.LENGTH, self._received, self._received + self._remaining)

    @property
    def declared_bytes(self) -> int | None:
        """Length of the body; None if it is not declared."""
        return None if self._remaining is None else self._received + self._remaining

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection shows the end of the body."""
        return self._response.ends_with_connection

    def set_guard(self, guard: Callable[[], None]) -> None:
        """Replaces the guard that is called while a read waits."""
        self._stream.guard = guard

    def read(self) -> bytes | ExchangeFailure:
        """Waits for bytes of the body; returns empty bytes at its end."""
        try:
            return self._read()
        except InterruptedWaitError as error:
            self.close()
            return ExchangeFailure(error.interrupt.value, error.interrupt, self.transfer())
        except OversizedError as error:
            return self.give_up(f"answer cut off: {error}")
        except UnclearEndError as error:
            self.close()
            detail = f"answer cut off: {error}"
            return ExchangeFailure(detail, None, self.transfer(), error.reason)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            detail = f"answer cut off: {error!r}"[:200]
            return ExchangeFailure(detail, None, self.transfer(), is_lost=_is_lost(error))

    def read_all(self, limit: int, holding: Holding) -> BodyBuffer | ExchangeFailure:
        """Reads the complete body; fails if it is larger than `limit` bytes.

        Args:
            limit: Largest size of the body.
            holding: Receives the bytes held, and decides when memory permits further ones.
        """
        body = BodyBuffer()
        holding.begin(self.declared_bytes)
        while True:
            data = self.read_within(holding)
            if isinstance(data, ExchangeFailure):
                return data
            if not data:
                return body
            body.append(data)
            holding.resize(len(body))
            if len(body) > limit:
                return self.give_up("answer too large")

    def read_within(self, holding: Holding) -> bytes | ExchangeFailure:
        """Waits until memory permits further bytes, then for these bytes; see `read`."""
        while (growth := holding.growth(clock.now())) is not Growth.CONTINUE:
            if growth is Growth.END:
                self.close()
                detail = "answer cut off: memory is short"
                return ExchangeFailure(detail, Interrupt.MEMORY_SHORT, self.transfer())
            try:
                self._stream.pause()
            except InterruptedWaitError as error:
                self.close()
                return ExchangeFailure(error.interrupt.value, error.interrupt, self.transfer())
        return self.read()

    def give_up(self, detail: str) -> ExchangeFailure:
        """Closes the connection because of the size of the response; returns the failure."""
        self.close()
        return ExchangeFailure(detail, Interrupt.OVERSIZED, self.transfer())

    def close(self) -> None:
        """Closes the connection, so that the endpoint cancels a request that is still running."""
        if not self._is_closed:
            self._is_closed = True
            self._stream.close()

    def _read(self) -> bytes:
        if self._remaining == 0:
            self._finish()
            return b""
        limit = _READ_BYTES if self._remaining is None else min(self._remaining, _READ_BYTES)
        self._stream.allow(limit + _BUFFER_BYTES + MAX_FRAMING_BYTES)
        data = self._response.read1(limit)
        if self._remaining is not None:
            self._remaining -= len(data)
        elif not data:
            if self.ends_with_connection:
                self._check_end()
            self._finish()
        self._received += len(data)
        return data

    def _check_end(self) -> None:
        """Raises `UnclearEndError` if the end of the connection may not be the end of the body."""
        if not self._stream.has_regular_end():
            raise UnclearEndError(UnclearEnd.CONNECTION_FAILED)
        presence = self._probe_endpoint()
        if presence is not Presence.THERE:
            raise UnclearEndError(_UNCLEAR_END_BY_PRESENCE[presence])
        # The network may hold up the end of a connection until another process has the address.
        if self._is_replaced():
            raise UnclearEndError(UnclearEnd.ENDPOINT_REPLACED)

    def _finish(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._response.will_close or self.head.is_leaving:
            self._stream.close()
        else:
            self._release(self._stream, self.head.idle_timeout_s)


@frozen
class _IdleConnection:
    """A connection that can be reused until `expires_at`, in monotonic seconds."""

    stream: GuardedStream
    idle_since: float
    expires_at: float


class EndpointConnections:
    """Sends requests and keeps idle connections per endpoint; thread-safe."""

    def __init__(self, codec: HeaderCodec) -> None:
        self._codec = codec
        self._lock = threading.Lock()
        self._idle_by_endpoint: dict[str, list[_IdleConnection]] = {}
        self._closed_ports = ClosedPorts()
        self.opened = 0
        """Number of connections opened so far."""

    def send(
        self,
        endpoint_id: str,
        address: Address,
        call: RequestHead,
        headers: list[tuple[str, str]],
        body: bytes,
        guard: Callable[[], None],
        is_retryable: bool,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        unsent_guard: Callable[[], None] = no_guard,
        is_replaced: Callable[[], bool] = is_never_replaced,
    ) -> Exchange | NotSent | ExchangeFailure:
        """Sends a request and waits for the head of its response.

        A request that is not retryable uses a connection that was idle for at most
        `NON_RETRYABLE_MAX_IDLE_S`, or a new one.

        Args:
            endpoint_id: Incarnation of the endpoint.
            address: Where the endpoint listens.
            call: Head of the caller's request.
            headers: Headers of the request to the endpoint.
            body: Body of the request.
            guard: Called while the exchange waits; raises `InterruptedWaitError` to end the wait.
            is_retryable: Whether the request may be sent again after it may have run.
            connect_timeout_s: Longest wait for a new connection; at most `CONNECT_TIMEOUT_S`.
            unsent_guard: Called instead of `guard` while the request waits for a connection, and
                before it is sent.
            is_replaced: Called at the end of a body that ends with its connection; returns whether
                another process than the one that got the request is known to have the address.

        Returns:
            The exchange, ready to read the body, or why there is no response. A request that ended
            before it was sent shows whether the endpoint is unresponsive only if it had waited for
            `PROBE_TIMEOUT_S`.
        """
        stream = self._take_idle(endpoint_id, None if is_retryable else NON_RETRYABLE_MAX_IDLE_S)
        started_at = clock.now()
        try:
            if stream is None:
                connected = connect_stream(address, connect_timeout_s, unsent_guard)
                stream = GuardedStream(connected, clock.now())
                self.opened += 1
            unsent_guard()
        except InterruptedWaitError as error:
            is_connected = stream is not None
            if stream is not None:
                stream.close()
            has_waited = clock.now() - started_at >= PROBE_TIMEOUT_S
            return NotSent(error.interrupt.value, error.interrupt, has_waited and not is_connected)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self._closed_ports.record(address, started_at)
            return NotSent(f"no connection: {error!r}"[:200])
        stream.begin(guard, is_retryable)
        try:
            _write(stream, call, headers, body)
        except InterruptedWaitError as error:
            stream.close()
            return ExchangeFailure(error.interrupt.value, error.interrupt)
        except OSError as error:
            if stream.bytes_sent == 0:
                stream.close()
                return NotSent(f"connection lost: {error!r}"[:200])
            # The endpoint may have sent a response before the connection failed; it is read below.
        except (ValueError, http.client.HTTPException) as error:
            stream.close()
            return NotSent(f"cannot be written: {error!r}"[:200])
        return self._receive(endpoint_id, address, stream, call, is_replaced)

    def probe(
        self,
        address: Address,
        settle_s: float,
        max_silent: int = 1,
        guard: Callable[[], None] = no_guard,
    ) -> Presence:
        """Opens connections to an endpoint to find out whether its process is there.

        The kernel closes the listener of a killed process last, and then resets connections that
        were not accepted; an endpoint with too many connections resets a new one as well. After
        such a reset, another connection follows; if all are reset, nothing is known.

        Args:
            address: Where the endpoint listens.
            settle_s: How long a new connection must last to show that the endpoint accepts it.
            max_silent: Connections without a reply after which nothing is known; a packet may have
                been lost.
            guard: Called while a connection is opened; raises an exception to end the wait.
        """
        silent = 0
        for _ in range(_PROBES):
            tried_at = clock.now()
            try:
                with connect_stream(address, PROBE_TIMEOUT_S, guard) as probe:
                    self.opened += 1
                    if not ends_within(probe, settle_s):
                        return Presence.THERE
            except ConnectionRefusedError:
                self._closed_ports.record(address, tried_at)
                return Presence.GONE
            except ConnectionError:
                pass  # It was reset while it opened.
            except OSError:
                silent += 1
                if silent >= max_silent:
                    return Presence.UNKNOWN
            time.sleep(PROBE_PAUSE_S)
        return Presence.UNKNOWN

    def forget(self, endpoint_id: str) -> None:
        """Closes the idle connections of an endpoint."""
        with self._lock:
            idle = self._idle_by_endpoint.pop(endpoint_id, [])
        for entry in idle:
            entry.stream.close()

    def expire(self, now: float) -> None:
        """Closes the idle connections that have expired at `now`, in monotonic seconds."""
        with self._lock:
            expired = []
            for endpoint_id, entries in list(self._idle_by_endpoint.items()):
                expired += [entry for entry in entries if entry.expires_at <= now]
                kept = [entry for entry in entries if entry.expires_at > now]
                if kept:
                    self._idle_by_endpoint[endpoint_id] = kept
                else:
                    del self._idle_by_endpoint[endpoint_id]
        for entry in expired:
            entry.stream.close()

    def _receive(
        self,
        endpoint_id: str,
        address: Address,
        stream: GuardedStream,
        call: RequestHead,
        is_replaced: Callable[[], bool],
    ) -> Exchange | ExchangeFailure:
        try:
            for _ in range(_MAX_MISMATCHED_RESPONSES):
                stream.allow(MAX_HEAD_BYTES + _BUFFER_BYTES)
                response = StrictResponse(stream, method=call.method)  # type: ignore[arg-type]
                response.begin()
                head = self._codec.decode_response(
                    response.status, response.reason, response.getheaders()
                )
                if head.request_id == call.request_id:
                    break
                if head.request_id is None:
                    # It may be of another request, and say that one did not run.
                    stream.close()
                    return ExchangeFailure("an answer without a request id")
                # A late response to an earlier request; the response to this request follows it.
                _discard_body(response, stream)
            else:
                stream.close()
                return ExchangeFailure("only answers to other requests")
        except InterruptedWaitError as error:
            stream.close()
            return ExchangeFailure(error.interrupt.value, error.interrupt)
        except OversizedError as error:
            stream.close()
            return ExchangeFailure(f"no answer: {error}", Interrupt.OVERSIZED)
        except (OSError, http.client.HTTPException, ValueError) as error:
            stream.close()
            return ExchangeFailure(f"no answer: {error!r}"[:200], is_lost=_is_lost(error))
        remaining = None if response.chunked else response.length
        return Exchange(
            head,
            response,
            stream,
            lambda kept, idle_timeout_s: self._keep_idle(endpoint_id, kept, idle_timeout_s),
            lambda: self.probe(address, END_SETTLE_S, _PROBES, stream.guard),
            lambda: (
                self._closed_ports.has_closed_since(address, stream.opened_at) or is_replaced()
            ),
            remaining,
        )

    def _take_idle(self, endpoint_id: str, max_idle_s: float | None) -> GuardedStream | None:
        while True:
            with self._lock:
                entries = self._idle_by_endpoint.get(endpoint_id)
                if not entries:
                    return None
                # The last entry is the most recently used connection.
                idle_s = clock.now() - entries[-1].idle_since
                if max_idle_s is not None and idle_s > max_idle_s:
                    return None
                entry = entries.pop()
            # No request may be sent on a connection with unsolicited bytes or an end of stream.
            if entry.expires_at > clock.now() and entry.stream.is_reusable():
                return entry.stream
            entry.stream.close()

    def _keep_idle(
        self, endpoint_id: str, stream: GuardedStream, idle_timeout_s: float | None
    ) -> None:
        keep_s = (
            DEFAULT_IDLE_TIMEOUT_S if idle_timeout_s is None else idle_timeout_s
        ) - IDLE_MARGIN_S
        with self._lock:
            entries = self._idle_by_endpoint.setdefault(endpoint_id, [])
            if keep_s > 0 and len(entries) < MAX_IDLE_PER_ENDPOINT and stream.is_reusable():
                now = clock.now()
                entries.append(_IdleConnection(stream, now, now + keep_s))
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


def _is_lost(error: Exception) -> bool:
    """Returns whether an error shows a connection without a path to the endpoint."""
    return isinstance(error, TimeoutError) or (
        isinstance(error, OSError) and error.errno in _NO_PATH_ERRORS
    )


def _discard_body(response: StrictResponse, stream: GuardedStream) -> None:
    if response.will_close:
        raise http.client.HTTPException("the connection ends with another request's answer")
    stream.allow(MAX_DISCARDED_BYTES)
    while response.read1(_READ_BYTES):
        pass
