"""A waitress server with bounds on connections, queued requests and slow peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask

from sequoiadrum._wsgi import raw_refusal, refusal_headers, refusal_status
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.logs import get_logger

if TYPE_CHECKING:
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.settings import Settings

SPARE_THREADS: Final = 16
"""Threads above `max_streams`, so that refusals and short calls are answered under load."""
MAX_QUEUED: Final = 256
"""Requests that wait for a thread; more are refused by the thread that reads them."""
READER_STALL_S: Final = 10.0
"""A reader whose buffer stays full for this long is dropped; it holds a slot of the router."""
ARRIVAL_S: Final = 30.0
"""A request that has not arrived whole after this time is dropped with its connection."""
_IDLE_S: Final = 60
_OUTPUT_BUFFER_BYTES: Final = 262_144
"""Output kept for a slow reader before its thread waits."""
_MAX_HEADER_BYTES: Final = 32_768
_OVERLOADED: Final = Refusal(RefusalReason.OVERLOADED, "too many requests in flight", 200)
_REASON_BY_CODE: Final = {
    413: RefusalReason.BODY_TOO_LARGE,
    500: RefusalReason.INTERNAL,
}

_log = get_logger(__name__)


class _TypedErrorTask(ErrorTask):
    """Answers a request that waitress could not parse."""

    def execute(self) -> None:
        """Sends the typed JSON error."""
        code = self.request.error.code
        reason = _REASON_BY_CODE.get(code, RefusalReason.BAD_REQUEST)
        detail = str(getattr(self.request.error, "body", ""))[:200]
        refusal = Refusal(reason, detail if code != 500 else "internal error")
        self.channel.server.count(reason)
        body = raw_refusal(refusal).partition(b"\r\n\r\n")[2]
        self.status = f"{refusal_status(refusal)} {reason.value}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.response_headers.extend(refusal_headers(refusal))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class BoundedChannel(HTTPChannel):
    """One connection, with the times at which it stopped making progress."""

    error_task_class = _TypedErrorTask
    requests: list[Any]
    _full_since: float | None = None
    _stuck: tuple[float, float] | None = None
    """Time of the last byte sent while output waits, and when that was first seen."""
    _partial: tuple[object, float] | None = None

    def refuse(self, answer: bytes) -> None:
        """Sends a whole answer from the reading thread and closes the connection after it."""
        with self.outbuf_lock:
            self.outbufs[-1].append(answer)
            self.current_outbuf_count += len(answer)
            self.total_outbufs_len += len(answer)
        for request in self.requests:
            request.close()
        self.requests = []
        self.close_when_flushed = True

    def overdue(self, now: float) -> str | None:
        """Tells why the connection is to be dropped, or None."""
        # The time counts from when the buffer was full, not from the last byte sent: a reader
        # that takes a few bytes now and then would hold its slot for ever.
        if self.total_outbufs_len <= self.adj.outbuf_high_watermark // 2:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since > self.server.stall_s:
            return "stalled_reader"
        if not self.total_outbufs_len:
            self._stuck = None
        elif self._stuck is None or self._stuck[0] != self.last_activity:
            self._stuck = (self.last_activity, now)
        elif now - self._stuck[1] > self.server.stall_s:
            return "stalled_reader"
        request = self.request
        if request is None:
            self._partial = None
        elif self._partial is None or self._partial[0] is not request:
            self._partial = (request, now)
        elif now - self._partial[1] > self.server.arrival_timeout_s:
            return "slow_request"
        return None


class BoundedServer(TcpWSGIServer):
    """Drops connections that make no progress, and counts what the application does not see."""

    channel_class = BoundedChannel
    metrics: Metrics
    stall_s = READER_STALL_S
    arrival_timeout_s = ARRIVAL_S

    def maintenance(self, now: float) -> None:
        """Drops idle connections, stalled readers and requests that do not arrive."""
        super().maintenance(now)
        # The time of day, which waitress hands in, may jump.
        steady = time.monotonic()
        for channel in list(self.active_channels.values()):
            reason = channel.overdue(steady)
            if reason is not None:
                self.metrics.count("connections_dropped_total", reason=reason)
                # `will_close` alone waits until the socket is writable, which that of a stalled
                # reader never is.
                channel.will_close = True
                channel.handle_close()

    def count(self, reason: RefusalReason) -> None:
        """Counts a refusal that the application does not see."""
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
            # `handle_accept` refuses earlier; waitress itself would only stop to accept.
            connection_limit=self._max_connections + 64,
            backlog=1024,
            channel_request_lookahead=1,
            # The application refuses bodies above the limit itself: it has read them, so the
            # caller gets the answer instead of a reset. Far larger ones are cut off.
            max_request_body_size=2 * settings.max_body_bytes,
            # Instances have no disk, so bodies and answers must never overflow into files.
            inbuf_overflow=4 * settings.max_body_bytes,
            outbuf_overflow=64_000_000,
            max_request_header_size=_MAX_HEADER_BYTES,
            outbuf_high_watermark=_OUTPUT_BUFFER_BYTES,
            channel_timeout=_IDLE_S,
            cleanup_interval=1,
            # `select` fails on descriptors above 1023.
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=True,
            ident="sequoiadrum",
        )
        super().__init__(application, adj=adjustments)

    def queued(self) -> int:
        """Gives the number of requests that wait for a thread."""
        return len(self.task_dispatcher.queue)

    def add_task(self, task: Any) -> None:
        """Queues a channel's request for a thread, or refuses it when too many wait."""
        if self.queued() < MAX_QUEUED:
            super().add_task(task)
            return
        self.count(_OVERLOADED.reason)
        task.refuse(raw_refusal(_OVERLOADED))

    def handle_accept(self) -> None:
        """Accepts a connection, or refuses it at once when there are too many."""
        if len(self.active_channels) < self._max_connections:
            super().handle_accept()
            return
        try:
            accepted = self.accept()
            if accepted is None:
                return
            connection, _ = accepted
            connection.setblocking(False)
            connection.send(raw_refusal(_OVERLOADED))
            connection.close()
        except OSError:
            return
        finally:
            self.count(_OVERLOADED.reason)


def internal_error(error: BaseException, metrics: Metrics) -> Refusal:
    """Logs and counts an unexpected exception; gives what the caller is told."""
    _log.error("request_failed", error=repr(error)[:300], exc_info=error)
    metrics.count("unexpected_errors_total", type=type(error).__name__)
    return Refusal(RefusalReason.INTERNAL, "internal error", ran=None)
