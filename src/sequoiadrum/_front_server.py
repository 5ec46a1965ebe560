"""A waitress server that limits connections, queued requests and slow peers."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import TYPE_CHECKING, Any, Final

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask

from sequoiadrum._request_parser import (
    BODY_COPIES,
    HEADER_COPIES,
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
    BoundedParser,
    count_fields,
)
from sequoiadrum._wsgi import encode_refusal, refusal_headers, refusal_status
from sequoiadrum.connection_memory import (
    STALL_GRACE_S,
    ConnectionMemory,
    MemoryHolder,
    Progress,
    Usage,
)
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.logs import LineLimit, get_logger

if TYPE_CHECKING:
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.settings import Settings

SPARE_THREADS: Final = 16
"""Threads above `max_streams` that serve refusals and short calls under load."""
MAX_QUEUED_REQUESTS: Final = 256
"""Requests that may wait for a thread; the reading thread refuses further requests."""
READER_STALL_TIMEOUT_S: Final = 10.0
"""A connection whose output buffer stays full for this long is dropped.

Its request takes up one of the `max_streams` of the router.
"""
ARRIVAL_TIMEOUT_S: Final = 30.0
"""A request that is behind the least rate by this time is dropped with its connection."""
MAX_ARRIVAL_S: Final = 300.0
"""A request that has not arrived completely after this time is dropped in any case."""
MAX_INPUT_BYTES: Final = 64_000_000
"""Memory of all requests and of all unread output, unless a server sets another."""
ACCEPT_PAUSE_S: Final = 0.1
"""Time without accepting connections when the process has no descriptor left."""
_IDLE_TIMEOUT_S: Final = 60
"""An idle connection is closed after this time."""
_OUTPUT_BUFFER_BYTES: Final = 262_144
"""Output that is buffered for a slow reader before its thread blocks."""
_MAX_HEADER_BYTES: Final = 32_768
_OVERLOADED: Final = Refusal(RefusalReason.OVERLOADED, "too many requests in flight", 200)
_OUT_OF_DESCRIPTORS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_REASON_BY_CODE: Final = {
    413: RefusalReason.BODY_TOO_LARGE,
    500: RefusalReason.INTERNAL,
}

_log = get_logger(__name__)


class _TypedErrorTask(ErrorTask):
    """Responds to a request that waitress could not parse."""

    def execute(self) -> None:
        """Sends a typed JSON error and closes the connection."""
        code = self.request.error.code
        reason = _REASON_BY_CODE.get(code, RefusalReason.BAD_REQUEST)
        detail = str(getattr(self.request.error, "body", ""))[:200]
        refusal = Refusal(reason, detail if code != 500 else "internal error")
        self.channel.server.count(reason)
        body = encode_refusal(refusal).partition(b"\r\n\r\n")[2]
        self.status = f"{refusal_status(refusal)} {reason.value}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.extend(refusal_headers(refusal))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class BoundedChannel(HTTPChannel, MemoryHolder):
    """One connection, which reads on only when its former request is done.

    What it holds is reported to the memory of its server before it is kept.
    """

    parser_class = BoundedParser
    error_task_class = _TypedErrorTask
    sent_continue: bool
    request: Any
    requests: list[Any]
    _buffer_full_since: float | None = None
    """Monotonic seconds at which the output buffer filled up; None while it has space."""
    _send_progress: tuple[float, float] | None = None
    """`last_activity` of waitress while output is pending, and when that value was first seen."""
    _incoming: tuple[object, float] | None = None
    """The request that is being received, and when it began to arrive."""

    def __init__(self, server: Any, *args: Any, **options: Any) -> None:
        """Creates the channel of an accepted connection; see `HTTPChannel`."""
        self.accepted_at = time.monotonic()
        self._arrival = Progress(self.accepted_at)
        self._unparsed = b""
        """Bytes that were read behind a request that is in flight; at most those of one read."""
        super().__init__(server, *args, **options)

    def received(self, data: bytes) -> bool:
        """Receives bytes of a request; see `HTTPChannel.received`.

        Unlike there, one request is parsed at a time: thousands of short ones fit into one read.
        """
        now = time.monotonic()
        if not self.server.reserve(self, self._estimate(data), now):
            return False
        with self.requests_lock:
            if self.will_close or self.close_when_flushed:
                return False
            if self.requests:
                self._unparsed += data
            else:
                self._parse(data, now)
        self.server.memory.update(self, self.held_bytes())
        return True

    def readable(self) -> bool:
        """Returns whether the event loop may read; first parses what was read before."""
        if self._unparsed:
            self._continue()
            if self._unparsed:
                return False
        # Written out, since the event loop calls it for each connection in each iteration.
        return not (self.total_outbufs_len or self.will_close or self.close_when_flushed)

    def _continue(self) -> None:
        """Parses the bytes that were read behind a former request, if that is done."""
        if self.requests or self.total_outbufs_len:
            return
        data, self._unparsed = self._unparsed, b""
        try:
            self.received(data)
        except Exception as error:
            _log.error("request_not_parsed", error=repr(error)[:300], exc_info=error)
            self.abort()

    def _parse(self, data: bytes, now: float) -> None:
        while data and not (self.requests or self.close_when_flushed):
            if self.request is None:
                self.request = self.parser_class(self.server.current_adjustments())
                self._incoming = (self.request, now)
                self._arrival = Progress(now)
            request = self.request
            consumed = request.received(data)
            self._arrival.record(consumed, now)
            if (
                request.expect_continue
                and request.headers_finished
                and not request.error
                and not self.sent_continue
            ):
                self.send_continue()
            if request.completed:
                self.sent_continue = False
                self.request = None
                if not request.empty:
                    self.requests.append(request)
                    self.server.add_task(self)
            data = data[consumed:]
        self._unparsed = b"" if self.close_when_flushed else data

    def _estimate(self, data: bytes) -> int:
        """Returns an upper bound of what is held for some bytes in addition."""
        request = self.request
        if request is not None and request.body_rcv is not None:
            return int(BODY_COPIES * len(data))
        fields = HEADER_FIELD_BYTES * count_fields(data)
        return REQUEST_BYTES + HEADER_COPIES * len(data) + fields

    def check_client_disconnected(self) -> bool:
        """Returns whether the caller has closed its connection; see `HTTPChannel`.

        The end of the connection may have been received before the reading thread sees it: a
        process that was held up reads requests whose callers have left meanwhile.
        """
        if not self.connected:
            return True
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def held_bytes(self) -> int:
        """Returns the bytes of all requests, and of the output that the caller has not read."""
        if not self.connected:
            return self.running_bytes()
        size = len(self._unparsed) + self.total_outbufs_len
        if self.request is not None:
            size += self.request.held_bytes()
        return size + self.running_bytes()

    def running_bytes(self) -> int:
        """Returns the bytes of the request that has arrived and waits or runs."""
        return sum(request.held_bytes() for request in tuple(self.requests))

    def usage(self, now: float) -> Usage:
        """See `MemoryHolder.usage`."""
        request = self.request
        is_arriving = request is not None and not self.requests
        behind_s = 0.0
        if is_arriving:
            behind_s = self._arrival.behind_s(now)
        elif self.total_outbufs_len and self._send_progress is not None:
            behind_s = now - self._send_progress[1]
        return Usage(
            size=self.held_bytes(),
            missing_share=request.missing_share() if request is not None else 1.0,
            behind_s=behind_s,
            is_droppable=self.connected
            and not self.will_close
            and (is_arriving or behind_s > STALL_GRACE_S),
            address=str(self.addr[0]) if self.addr else "",
        )

    def is_idle(self) -> bool:
        """Returns whether no request is arriving or in flight, and no response is being sent."""
        return not (
            self.requests
            or self.request is not None
            or self._unparsed
            or self.total_outbufs_len
            or self.will_close
        )

    def refuse(self, response: bytes) -> None:
        """Sends a complete response from the reading thread, then closes the connection."""
        with self.outbuf_lock:
            self.outbufs[-1].append(response)
            self.current_outbuf_count += len(response)
            self.total_outbufs_len += len(response)
        for request in self.requests:
            request.close()
        self.requests = []
        self.close_when_flushed = True

    def handle_close(self) -> None:
        """Closes the socket; see `HTTPChannel.handle_close`."""
        super().handle_close()
        # A request that runs holds its memory until it ends.
        self.server.memory.update(self, self.running_bytes())

    def abort(self) -> None:
        """Ends the connection at once and releases the request that is arriving.

        The event loop closes the socket. If it were closed here, a connection that is accepted in
        the same iteration could get its descriptor and be closed by an event of this one.
        """
        self.will_close = True
        with self.requests_lock:
            if self.request is not None:
                self.request.close()
                self.request = None
            self._unparsed = b""
        # With `will_close` alone, waitress waits until the socket is writable, which the socket of
        # a stalled reader never is. The peer may have ended the connection already.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def drop_reason(self, now: float) -> str | None:
        """Returns why the connection must be dropped, or None; `now` is in monotonic seconds."""
        # The time counts from when the buffer was full, not from the last byte sent: otherwise a
        # reader that reads a few bytes now and then would occupy its slot forever.
        if self.total_outbufs_len <= self.adj.outbuf_high_watermark // 2:
            self._buffer_full_since = None
        elif self._buffer_full_since is None:
            self._buffer_full_since = now
        elif now - self._buffer_full_since > self.server.stall_timeout_s:
            return "stalled_reader"
        if not self.total_outbufs_len:
            self._send_progress = None
        elif self._send_progress is None or self._send_progress[0] != self.last_activity:
            self._send_progress = (self.last_activity, now)
        elif now - self._send_progress[1] > self.server.stall_timeout_s:
            return "stalled_reader"
        if self.request is None or self._incoming is None:
            return None
        if self._arrival.behind_s(now) > self.server.arrival_timeout_s:
            return "slow_request"
        is_head = not self.request.headers_finished
        longest_s = self.server.head_timeout_s() if is_head else MAX_ARRIVAL_S
        return "slow_request" if now - self._incoming[1] > longest_s else None


class BoundedServer(TcpWSGIServer):
    """Bounds the connections of a server, and what all of them hold.

    Counts the dropped connections and the requests that are refused before the application.
    """

    channel_class = BoundedChannel
    metrics: Metrics
    memory: ConnectionMemory
    """Shared by the servers of a group."""
    stall_timeout_s = READER_STALL_TIMEOUT_S
    arrival_timeout_s = ARRIVAL_TIMEOUT_S

    def __init__(self, *args: Any, **options: Any) -> None:
        """Binds the socket; see `TcpWSGIServer`."""
        self._lines = LineLimit()
        self._accept_again_at = 0.0
        super().__init__(*args, **options)

    def current_adjustments(self) -> Any:
        """Returns the limits for a request that begins to arrive."""
        return self.adj

    def head_timeout_s(self) -> float:
        """Returns the longest time in which a head arrives."""
        return MAX_ARRIVAL_S

    def reserve(self, channel: BoundedChannel, size: int, now: float) -> bool:
        """Makes room for further bytes of a channel; drops connections if that is necessary.

        Returns:
            Whether the channel itself is still open.
        """
        if not self.memory.fits(size):
            self.memory.update(channel, channel.held_bytes() + size)
            for holder, usage in self.memory.make_room(0, now):
                assert isinstance(holder, BoundedChannel)
                holder.server.drop(holder, "input_memory", usage.size)
        return not channel.will_close

    def running_bytes(self) -> int:
        """Returns what the requests hold that wait or run."""
        channels = list(self.active_channels.values())
        return sum(channel.running_bytes() for channel in channels)

    def readable(self) -> bool:
        """Returns whether connections may be accepted; see `TcpWSGIServer.readable`."""
        is_readable = bool(super().readable())
        return is_readable and time.monotonic() >= self._accept_again_at

    def handle_accept(self) -> None:
        """Accepts a connection; another one makes room when there are too many."""
        if not self.has_room() and not self._close_one():
            self._refuse_connection()
            return
        try:
            accepted = self.accept()
        except OSError as error:
            if error.errno in _OUT_OF_DESCRIPTORS:
                self.metrics.count("connections_refused_total", reason="descriptors")
                self._close_one()
                self._accept_again_at = time.monotonic() + ACCEPT_PAUSE_S
            return
        if accepted is None:
            return
        connection, address = accepted
        try:
            self.set_socket_options(connection)
        except OSError:
            # The caller has gone already.
            connection.close()
            return
        self.channel_class(self, connection, self.fix_addr(address), self.adj, map=self._map)

    def has_room(self) -> bool:
        """Returns whether there may be one more connection."""
        return True

    def maintenance(self, now: float) -> None:
        """Drops idle connections, stalled readers and requests that do not arrive."""
        super().maintenance(now)
        # `now` is the time of day, which may jump.
        monotonic_now = time.monotonic()
        for channel in list(self.active_channels.values()):
            reason = None if channel.will_close else channel.drop_reason(monotonic_now)
            if reason is not None:
                self.drop(channel, reason, channel.held_bytes())
            elif channel.total_outbufs_len:
                self.memory.update(channel, channel.held_bytes())
        self.memory.measure(monotonic_now)
        for holder, usage in self.memory.make_room(0, monotonic_now):
            assert isinstance(holder, BoundedChannel)
            holder.server.drop(holder, "input_memory", usage.size)

    def drop(self, channel: BoundedChannel, reason: str, held_bytes: int) -> None:
        """Ends a connection, counts it and logs what it held."""
        self.metrics.count("connections_dropped_total", reason=reason)
        self.log_limited("connection_dropped", channel, reason, held_bytes)
        channel.abort()

    def log_limited(
        self, event: str, channel: BoundedChannel, reason: str, held_bytes: int
    ) -> None:
        """Logs what was done to a connection; the number of lines is limited."""
        if self._lines.allows():
            self.write_line(
                event,
                reason=reason,
                caller=str(channel.addr[0]) if channel.addr else "",
                held_bytes=held_bytes,
                open_s=round(time.monotonic() - channel.accepted_at, 1),
            )

    def write_line(self, event: str, **fields: Any) -> None:
        """Writes a log line."""
        _log.warning(event, **fields)

    def _close_one(self) -> bool:
        """Closes the newest idle connection, or else the one that is most behind.

        Returns:
            Whether there was one; connections that make progress are left alone.
        """
        channels = [channel for channel in self.active_channels.values() if not channel.will_close]
        idle = [channel for channel in channels if channel.is_idle()]
        if idle:
            self.drop(max(idle, key=lambda channel: channel.accepted_at), "connections", 0)
            return True
        now = time.monotonic()
        usage_by_channel = {channel: channel.usage(now) for channel in channels}
        behind = [
            channel
            for channel, usage in usage_by_channel.items()
            if usage.is_droppable and usage.behind_s > STALL_GRACE_S
        ]
        if not behind:
            return False
        slowest = max(behind, key=lambda channel: usage_by_channel[channel].behind_s)
        self.drop(slowest, "connections", usage_by_channel[slowest].size)
        return True

    def _refuse_connection(self) -> None:
        with contextlib.suppress(OSError):
            accepted = self.accept()
            if accepted is not None:
                accepted[0].close()
        self.metrics.count("connections_refused_total", reason="connections")

    def count(self, reason: RefusalReason) -> None:
        """Counts a request that is refused before it reaches the application."""
        self.metrics.count("refusals_total", reason=reason.value)


class FrontServer(BoundedServer):
    """Serves a WSGI application on a bounded number of threads and connections."""

    def __init__(self, application: Any, settings: Settings, metrics: Metrics) -> None:
        """Binds the socket.

        Raises:
            OSError: The address is in use or not local.
        """
        threads = settings.max_streams + SPARE_THREADS
        self._max_connections = 4 * threads
        self.metrics = metrics
        self.memory = ConnectionMemory(MAX_INPUT_BYTES)
        adjustments = Adjustments(
            host=settings.host,
            port=settings.http_port,
            threads=threads,
            # `handle_accept` makes room before this limit, at which waitress would only stop
            # accepting connections.
            connection_limit=self._max_connections + 64,
            backlog=1024,
            channel_request_lookahead=1,
            # The application refuses bodies above its limit after they have been read, so that
            # the caller receives the response instead of a reset. waitress rejects bodies of
            # more than twice the limit.
            max_request_body_size=2 * settings.max_body_bytes,
            # Instances have no disk, so bodies and responses must never overflow into files.
            inbuf_overflow=4 * settings.max_body_bytes,
            outbuf_overflow=64_000_000,
            max_request_header_size=_MAX_HEADER_BYTES,
            outbuf_high_watermark=_OUTPUT_BUFFER_BYTES,
            channel_timeout=_IDLE_TIMEOUT_S,
            cleanup_interval=1,
            # `select` fails for file descriptors above 1023.
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=True,
            ident="sequoiadrum",
        )
        super().__init__(application, adj=adjustments)

    def queued(self) -> int:
        """Returns the number of requests that wait for a thread."""
        return len(self.task_dispatcher.queue)

    def add_task(self, task: Any) -> None:
        """Queues the request of a channel for a thread, or refuses it if too many wait."""
        if self.queued() < MAX_QUEUED_REQUESTS:
            super().add_task(task)
            return
        self.count(_OVERLOADED.reason)
        task.refuse(encode_refusal(_OVERLOADED))

    def has_room(self) -> bool:
        """See `BoundedServer.has_room`."""
        return len(self.active_channels) < self._max_connections

    def _refuse_connection(self) -> None:
        """Sends a refusal to a new connection and closes it."""
        with contextlib.suppress(OSError):
            accepted = self.accept()
            if accepted is not None:
                connection, _ = accepted
                connection.setblocking(False)
                connection.send(encode_refusal(_OVERLOADED))
                connection.close()
        self.count(_OVERLOADED.reason)


def internal_error(error: BaseException, metrics: Metrics) -> Refusal:
    """Logs and counts an unexpected exception; returns the refusal for the caller."""
    _log.error("request_failed", error=repr(error)[:300], exc_info=error)
    metrics.count("unexpected_errors_total", type=type(error).__name__)
    return Refusal(RefusalReason.INTERNAL, "internal error", ran=None)
