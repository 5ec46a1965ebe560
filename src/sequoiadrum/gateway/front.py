"""The HTTP servers of a gateway for callers, readiness, directory and metrics."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.parser import ParsingError
from waitress.task import WSGITask
from waitress.utilities import BadRequest, RequestEntityTooLarge

from sequoiadrum._front_server import BoundedChannel, BoundedServer
from sequoiadrum._request_parser import BoundedParser
from sequoiadrum.connection_memory import SMALL_REQUEST_BYTES, ConnectionMemory
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.memory_budget import CONTROL_BYTES, MIN_OUTPUT_BUFFER_BYTES, budget_of
from sequoiadrum.gateway.model import CallerLimits
from sequoiadrum.gateway.settings import RESERVED_DESCRIPTORS
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

ARRIVED_AT: Final = "sequoiadrum.arrived_at"
"""Key in the WSGI environment: monotonic seconds at the first byte of the request."""
CLOSE_AFTER_RESPONSE: Final = "sequoiadrum.close_after"
"""Key in the WSGI environment: a function that closes the connection after the response."""
CALLER_THREADS: Final = 192
"""Requests in flight at a time; threads are created on demand and take about 0.1 MB each."""
CONTROL_THREADS: Final = 4
"""Separate threads for readiness, directory and metrics; callers cannot block them."""
MAX_WAITING_REQUESTS: Final = 64
"""Requests that may wait for a thread; further requests are refused immediately."""
IDLE_TIMEOUT_S: Final = 60
"""An idle connection of a caller is closed after this time; callers reuse theirs for 12 s."""
ARRIVAL_TIMEOUT_S: Final = 20.0
"""A request that is behind the least rate by this time is dropped with its connection."""
HEAD_TIMEOUT_FACTOR: Final = 3.0
"""A head is dropped after this multiple of the configured time, which callers keep to."""
MIN_HEAD_TIMEOUT_S: Final = 5.0
"""A head has this time in any case: a busy router reads late what has arrived in time."""
MAX_REQUEST_LINE_BYTES: Final = 8_192
"""Size of a request line, which is not counted as a part of the header fields."""
MAX_CHUNK_FRAMING_BYTES: Final = 16_384
"""Size of a chunk's size line or of the trailers; waitress copies them again with each read."""
MAX_CHUNKED_FACTOR: Final = 8
"""Bytes received for each byte of a chunked body; chunks of one byte take six."""
UNCONFIGURED_LIMITS: Final = CallerLimits(max_header_bytes=57_344, max_body_bytes=16_000_000)
"""Limits on requests before the first configuration is read: far above what callers may send."""
CONTROL_LIMITS: Final = CallerLimits(max_body_bytes=65_536)
"""Limits on requests to the ports for readiness, directory and metrics, which need no body."""
CONTROL_CONNECTIONS: Final = 32
"""Connections to each of these ports."""
EVENT_LOOP_WAIT_S: Final = 1.0
"""Longest wait of the event loop; idle connections are checked this often."""
DRAIN_POLL_S: Final = 0.02
"""How often connections are checked while the server closes them."""
_UNLIMITED: Final = 1_000_000_000
_LINGER_RESET: Final = struct.pack("ii", 1, 0)
_OVERLOAD_RESPONSE: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.25\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 11\r\n\r\noverloaded\n"
)


class _RequestParser(BoundedParser):
    """Records when a request began to arrive, and rejects ambiguous framing."""

    def __init__(self, adjustments: Adjustments) -> None:
        super().__init__(adjustments)
        self.arrived_at = clock.now()
        # The configuration may change before the body has arrived.
        self._max_body_bytes: int = adjustments.max_body_bytes

    def received(self, data: bytes) -> int:
        """See `HTTPRequestParser.received`; rejects long bodies, chunk sizes and trailers."""
        consumed: int = super().received(data)
        if self.body_rcv is not None and not self.error:
            size = len(self.body_rcv) if self.chunked else self.content_length
            if size > self._max_body_bytes:
                self.error = RequestEntityTooLarge(f"exceeds {self._max_body_bytes} bytes")
                self.completed = True
                self.body_rcv.getbuf().close()
        if self.chunked and self.body_rcv is not None:
            framing_bytes = len(self.body_rcv.control_line) + len(self.body_rcv.trailer)
            if framing_bytes > MAX_CHUNK_FRAMING_BYTES:
                self.error = BadRequest("chunk size or trailer too long")
                self.completed = True
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """See `HTTPRequestParser.parse_header`."""
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("Content-Length beside Transfer-Encoding")
        if not self.chunked and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")


class _Task(WSGITask):
    """Adds the arrival time and a way to close the connection to the WSGI environment."""

    def get_environment(self) -> dict[str, Any]:
        """See `WSGITask.get_environment`."""
        environ: dict[str, Any] = super().get_environment()
        environ[ARRIVED_AT] = self.request.arrived_at
        environ[CLOSE_AFTER_RESPONSE] = self.set_close_on_finish
        return environ

    def execute(self) -> None:
        """See `WSGITask.execute`; resets the connection if its end would complete a cut response.

        Callers that use HTTP/1.0 get streams without chunks.
        """
        try:
            super().execute()
        except Exception:
            if self.wrote_header and not self.chunked_response and self.content_length is None:
                self.channel.reset_on_close()
            raise


class _Channel(BoundedChannel):
    """One connection to a server of the gateway."""

    parser_class = _RequestParser
    task_class = _Task

    def reset_on_close(self) -> None:
        """Makes the connection end with a reset when it is closed."""
        # The caller may have closed the connection already.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


class PoolDispatcher:
    """Runs the requests of waitress on a thread pool that creates threads on demand."""

    def __init__(self, threads: int, name: str) -> None:
        self._threads = threads
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix=name)
        self._lock = threading.Lock()
        self._active = 0

    def waiting(self) -> int:
        """Returns the number of requests that wait for a thread."""
        return max(0, self._active - self._threads)

    def active(self) -> int:
        """Returns the number of requests that are running or waiting."""
        return self._active

    def add_task(self, task: Any) -> None:
        """Queues a task of waitress for a thread."""
        with self._lock:
            self._active += 1
        self._pool.submit(self._run, task)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0) -> bool:
        """Stops accepting tasks; does not wait for running tasks."""
        self._pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _run(self, task: Any) -> None:
        try:
            task.service()
        finally:
            with self._lock:
                self._active -= 1


@frozen(kw_only=True)
class ServerBounds:
    """Limits on the callers of one server."""

    max_connections: int
    memory: ConnectionMemory
    """Bounds the requests and the unread output of all servers that share it."""
    output_buffer_bytes: int
    """Output that is buffered for one connection."""
    limits: Callable[[], CallerLimits | None]
    """Returns the limits on requests; None if they are not known yet."""
    log: Callable[..., None]
    """Writes a log line with an event and its fields."""


def _apply_limits(adjustments: Adjustments, limits: CallerLimits) -> None:
    adjustments.max_body_bytes = limits.max_body_bytes
    adjustments.max_request_header_size = limits.max_header_bytes + MAX_REQUEST_LINE_BYTES
    # The parser bounds the body itself; waitress counts the framing of chunks as well.
    adjustments.max_request_body_size = MAX_CHUNKED_FACTOR * (limits.max_body_bytes + 1)


class GatewayServer(BoundedServer):
    """One listening socket; several servers share an event loop and a dispatcher."""

    channel_class = _Channel
    arrival_timeout_s = ARRIVAL_TIMEOUT_S

    def __init__(
        self,
        application: Any,
        address: Address,
        loop_map: dict[int, Any],
        dispatcher: PoolDispatcher,
        bounds: ServerBounds,
        metrics: Metrics,
        listener: socket.socket | None,
    ) -> None:
        """Binds the socket, unless a listener for the address is given.

        Raises:
            OSError: The address is in use or not local.
        """
        self.metrics = metrics
        self.memory = bounds.memory
        self._bounds = bounds
        self._dispatcher = dispatcher
        adjustments = Adjustments(
            host=address.host,
            port=address.port,
            # At its limit, waitress would only stop accepting; see `handle_accept`.
            connection_limit=_UNLIMITED,
            backlog=1024,
            channel_request_lookahead=1,
            # Instances have no disk, so bodies and responses must never overflow into files.
            inbuf_overflow=_UNLIMITED,
            outbuf_overflow=_UNLIMITED,
            outbuf_high_watermark=bounds.output_buffer_bytes,
            channel_timeout=IDLE_TIMEOUT_S,
            cleanup_interval=2,
            # `select` fails on descriptors above 1023.
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=False,
            ident=None,
        )
        self._limits = UNCONFIGURED_LIMITS
        _apply_limits(adjustments, self._limits)
        super().__init__(
            application,
            map=loop_map,
            dispatcher=dispatcher,
            adj=adjustments,
            _sock=listener,
            bind_socket=listener is None,
        )

    def current_adjustments(self) -> Any:
        """See `BoundedServer.current_adjustments`."""
        limits = self._bounds.limits()
        if limits is not None and limits is not self._limits:
            self._limits = limits
            _apply_limits(self.adj, limits)
        return self.adj

    def head_timeout_s(self) -> float:
        """See `BoundedServer.head_timeout_s`."""
        return max(MIN_HEAD_TIMEOUT_S, HEAD_TIMEOUT_FACTOR * self._limits.header_timeout_s)

    def write_line(self, event: str, **fields: Any) -> None:
        """See `BoundedServer.write_line`."""
        self._bounds.log(event, **fields)

    def has_room(self) -> bool:
        """See `BoundedServer.has_room`."""
        return len(self.active_channels) < self._bounds.max_connections

    def add_task(self, task: Any) -> None:
        """Queues a channel's request, or refuses it if too many wait or memory is short."""
        if self._dispatcher.waiting() >= MAX_WAITING_REQUESTS:
            self.metrics.count("refusals_total", reason="overloaded")
            task.refuse(_OVERLOAD_RESPONSE)
            return
        size = task.running_bytes()
        # The sum is needed only for a large request.
        is_small = size < SMALL_REQUEST_BYTES
        if is_small or self.memory.may_run(size, self.running_bytes() - size):
            self._dispatcher.add_task(task)
            return
        self.metrics.count("refusals_total", reason="input_memory")
        self.log_limited("request_refused_unread", task, "input_memory", size)
        task.refuse(_OVERLOAD_RESPONSE)


class ServerGroup:
    """The servers of a gateway, which share one event loop."""

    def __init__(
        self,
        max_descriptors: int,
        memory_mb: int,
        metrics: Metrics,
        listeners: Mapping[Address, socket.socket] | None = None,
        limits: Callable[[], CallerLimits | None] = lambda: None,
        log: Callable[..., None] = lambda *_, **__: None,
    ) -> None:
        """Creates a group without servers.

        Args:
            max_descriptors: File descriptors that the process may open.
            memory_mb: Memory of the instance in megabytes.
            metrics: Receives the counters of the servers.
            listeners: Listening sockets that are open already.
            limits: Returns the limits on the requests of callers; None if they are not known yet.
            log: Writes a log line with an event and its fields.
        """
        self._listeners = listeners or {}
        budget = budget_of(memory_mb)
        self._loop_map: dict[int, Any] = {}
        self._metrics = metrics
        # Each request in flight may use one connection to an endpoint.
        max_connections = max(64, (max_descriptors - RESERVED_DESCRIPTORS - CALLER_THREADS) // 2)
        self._caller_bounds = ServerBounds(
            max_connections=max_connections,
            memory=ConnectionMemory(budget.connection_bytes),
            output_buffer_bytes=budget.output_buffer_bytes(max_connections),
            limits=limits,
            log=log,
        )
        self._control_bounds = ServerBounds(
            max_connections=CONTROL_CONNECTIONS,
            memory=ConnectionMemory(CONTROL_BYTES),
            output_buffer_bytes=MIN_OUTPUT_BUFFER_BYTES,
            limits=lambda: CONTROL_LIMITS,
            log=log,
        )
        metrics.gauge("connection_bytes_held", lambda: float(self._caller_bounds.memory.total()))
        self._callers = PoolDispatcher(CALLER_THREADS, "caller")
        self._control = PoolDispatcher(CONTROL_THREADS, "control")
        self.thread: Final = SupervisedThread("front", self._run, metrics)
        self._servers: list[GatewayServer] = []
        self._caller_servers: list[GatewayServer] = []
        self._is_draining = False
        self._is_drained = threading.Event()
        self._stopped = False

    def add_callers(self, application: Callable[..., Any], address: Address) -> None:
        """Adds a server for callers."""
        server = self._add(application, address, self._callers, self._caller_bounds)
        self._caller_servers.append(server)

    def add_control(self, application: Callable[..., Any], address: Address) -> None:
        """Adds a server for readiness, directory or metrics."""
        self._add(application, address, self._control, self._control_bounds)

    def start(self) -> None:
        """Starts the event loop."""
        self.thread.start()

    def active(self) -> int:
        """Returns the number of requests of callers that are running or waiting."""
        return self._callers.active()

    def drain(self, timeout_s: float) -> bool:
        """Closes the listeners and all idle connections, and waits for the others to become idle.

        A connection is closed only while no byte of a request has been read from it, so that
        every request that was read gets its response. To be called once.

        Args:
            timeout_s: Longest wait for requests that are arriving or in flight.

        Returns:
            Whether all connections of callers are closed.
        """
        self._is_draining = True
        for server in self._servers:
            server.trigger.pull_trigger()
        return self._is_drained.wait(timeout_s)

    def stop(self) -> None:
        """Stops the event loop and closes all sockets."""
        self._stopped = True
        self.thread.stop()
        for server in self._servers:
            server.trigger.pull_trigger()
        self.thread.join(EVENT_LOOP_WAIT_S)
        wasyncore.close_all(self._loop_map, ignore_all=True)
        self._callers.shutdown()
        self._control.shutdown()

    def _add(
        self,
        application: Callable[..., Any],
        address: Address,
        dispatcher: PoolDispatcher,
        bounds: ServerBounds,
    ) -> GatewayServer:
        server = GatewayServer(
            application,
            address,
            self._loop_map,
            dispatcher,
            bounds,
            self._metrics,
            self._listeners.get(address),
        )
        self._servers.append(server)
        return server

    def _run(self) -> None:
        while not self._stopped:
            wait_s = DRAIN_POLL_S if self._is_draining else EVENT_LOOP_WAIT_S
            wasyncore.loop(timeout=wait_s, use_poll=True, map=self._loop_map, count=1)
            if self._is_draining:
                self._close_idle()

    def _close_idle(self) -> None:
        # This is the thread that reads requests, so that none can begin to arrive meanwhile.
        open_channels = 0
        for server in self._caller_servers:
            if server.accepting:
                server.accepting = False
                # `server.close` would close its trigger too, which threads still use.
                wasyncore.dispatcher.close(server)
            for channel in list(server.active_channels.values()):
                if channel.is_idle():
                    channel.handle_close()
                else:
                    open_channels += 1
        if not open_channels:
            self._is_drained.set()
