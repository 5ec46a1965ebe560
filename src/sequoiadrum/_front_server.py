"""A waitress server that limits connections, queued requests and slow peers."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import TYPE_CHECKING, Any, Final

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask

from sequoiadrum._wsgi import encode_refusal, refusal_headers, refusal_status
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.logs import get_logger

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
"""A request that has not arrived completely after this time is dropped with its connection."""
MAX_INPUT_BYTES: Final = 64_000_000
"""Memory of all requests that are arriving, waiting or running, unless a server sets another."""
_IDLE_TIMEOUT_S: Final = 60
"""An idle connection is closed after this time."""
_OUTPUT_BUFFER_BYTES: Final = 262_144
"""Output that is buffered for a slow reader before its thread blocks."""
_MAX_HEADER_BYTES: Final = 32_768
_OVERLOADED: Final = Refusal(RefusalReason.OVERLOADED, "too many requests in flight", 200)
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


class BoundedChannel(HTTPChannel):
    """One connection that records since when it has made no progress."""

    error_task_class = _TypedErrorTask
    request: Any
    requests: list[Any]
    _buffer_full_since: float | None = None
    """Monotonic seconds at which the output buffer filled up; None while it has space."""
    _send_progress: tuple[float, float] | None = None
    """`last_activity` of waitress while output is pending, and when that value was first seen."""
    _incoming: tuple[object, float] | None = None
    """The request that is being received, and when it was first seen."""

    def received(self, data: bytes) -> bool:
        """Receives bytes of a request; see `HTTPChannel.received`."""
        is_accepted: bool = super().received(data)
        self.server.record_input(self)
        return is_accepted

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

    def input_bytes(self) -> int:
        """Returns the bytes of the requests that are arriving, waiting or running."""
        requests = [*self.requests, *([self.request] if self.request is not None else [])]
        return sum(r.header_bytes_received + r.body_bytes_received for r in requests)

    def is_idle(self) -> bool:
        """Returns whether no request is arriving or in flight, and no response is being sent."""
        return not self.requests and self.request is None and not self.total_outbufs_len

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
        request = self.request
        if request is None:
            self._incoming = None
        elif self._incoming is None or self._incoming[0] is not request:
            self._incoming = (request, now)
        elif now - self._incoming[1] > self.server.arrival_timeout_s:
            return "slow_request"
        return None


class BoundedServer(TcpWSGIServer):
    """Drops connections that make no progress, and the largest ones that fill the memory.

    Counts the dropped connections and the requests that are refused before the application.
    """

    channel_class = BoundedChannel
    metrics: Metrics
    stall_timeout_s = READER_STALL_TIMEOUT_S
    arrival_timeout_s = ARRIVAL_TIMEOUT_S
    max_input_bytes = MAX_INPUT_BYTES
    """Bytes of all requests together; above it, the largest request that is arriving is dropped."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Binds the socket; see `TcpWSGIServer`."""
        self._input_by_channel: dict[BoundedChannel, int] = {}
        self._input_bytes = 0
        super().__init__(*args, **options)

    def record_input(self, channel: BoundedChannel) -> None:
        """Updates the memory that the requests of a channel take; drops a request if necessary."""
        size = channel.input_bytes()
        self._input_bytes += size - self._input_by_channel.get(channel, 0)
        self._input_by_channel[channel] = size
        if self._input_bytes <= self.max_input_bytes:
            return
        self._measure_input()
        while self._input_bytes > self.max_input_bytes:
            arriving = [c for c in self._input_by_channel if c.request is not None]
            if not arriving:
                return
            largest = max(arriving, key=self._input_by_channel.__getitem__)
            self._input_bytes -= self._input_by_channel.pop(largest)
            self._drop(largest, "input_memory")

    def _measure_input(self) -> None:
        # Requests that have ended and connections that were closed are found only here.
        sizes = {channel: channel.input_bytes() for channel in self.active_channels.values()}
        self._input_by_channel = {channel: size for channel, size in sizes.items() if size}
        self._input_bytes = sum(self._input_by_channel.values())

    def maintenance(self, now: float) -> None:
        """Drops idle connections, stalled readers and requests that do not arrive."""
        super().maintenance(now)
        # `now` is the time of day, which may jump.
        monotonic_now = time.monotonic()
        self._measure_input()
        for channel in list(self.active_channels.values()):
            reason = channel.drop_reason(monotonic_now)
            if reason is not None:
                self._drop(channel, reason)

    def _drop(self, channel: BoundedChannel, reason: str) -> None:
        self.metrics.count("connections_dropped_total", reason=reason)
        channel.abort()

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
        adjustments = Adjustments(
            host=settings.host,
            port=settings.http_port,
            threads=threads,
            # `handle_accept` refuses connections before this limit, at which waitress would only
            # stop accepting them.
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

    def handle_accept(self) -> None:
        """Accepts a connection, or sends a refusal and closes it if there are too many."""
        if len(self.active_channels) < self._max_connections:
            super().handle_accept()
            return
        try:
            accepted = self.accept()
            if accepted is None:
                return
            connection, _ = accepted
            connection.setblocking(False)
            connection.send(encode_refusal(_OVERLOADED))
            connection.close()
        except OSError:
            return
        finally:
            self.count(_OVERLOADED.reason)


def internal_error(error: BaseException, metrics: Metrics) -> Refusal:
    """Logs and counts an unexpected exception; returns the refusal for the caller."""
    _log.error("request_failed", error=repr(error)[:300], exc_info=error)
    metrics.count("unexpected_errors_total", type=type(error).__name__)
    return Refusal(RefusalReason.INTERNAL, "internal error", ran=None)
