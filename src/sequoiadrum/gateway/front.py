"""The HTTP servers of a gateway for callers, readiness, directory and metrics."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import WSGITask
from waitress.utilities import BadRequest

from sequoiadrum._front_server import BoundedChannel, BoundedServer
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.memory_budget import budget_of
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
"""A request that has not arrived completely after this time is dropped with its connection."""
MAX_HEADER_BYTES: Final = 65_536
MAX_CHUNK_FRAMING_BYTES: Final = 16_384
"""Size of a chunk's size line or of the trailers; waitress copies them again with each read."""
MAX_BODY_BYTES: Final = 16_000_000
"""Far above what callers may send; waitress rejects larger bodies."""
EVENT_LOOP_WAIT_S: Final = 1.0
"""Longest wait of the event loop; idle connections are checked this often."""
DRAIN_POLL_S: Final = 0.02
"""How often connections are checked while the server closes them."""
RESERVED_DESCRIPTORS: Final = 200
"""File descriptors that connections must leave free for files."""
_LINGER_RESET: Final = struct.pack("ii", 1, 0)
_OVERLOAD_RESPONSE: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.25\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 11\r\n\r\noverloaded\n"
)


class _RequestParser(HTTPRequestParser):
    """Records when a request began to arrive, and rejects ambiguous framing."""

    def __init__(self, adjustments: Adjustments) -> None:
        super().__init__(adjustments)
        self.arrived_at = clock.now()

    def received(self, data: bytes) -> int:
        """See `HTTPRequestParser.received`; rejects endless chunk sizes and trailers."""
        consumed: int = super().received(data)
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
        max_connections: int,
        max_input_bytes: int,
        output_buffer_bytes: int,
        metrics: Metrics,
        listener: socket.socket | None,
    ) -> None:
        """Binds the socket, unless a listener for the address is given.

        Raises:
            OSError: The address is in use or not local.
        """
        self.metrics = metrics
        self.max_input_bytes = max_input_bytes
        self._dispatcher = dispatcher
        adjustments = Adjustments(
            host=address.host,
            port=address.port,
            connection_limit=max_connections,
            backlog=1024,
            channel_request_lookahead=1,
            max_request_body_size=MAX_BODY_BYTES,
            # Instances have no disk, so bodies and responses must never overflow into files.
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_overflow=64_000_000,
            max_request_header_size=MAX_HEADER_BYTES,
            outbuf_high_watermark=output_buffer_bytes,
            channel_timeout=IDLE_TIMEOUT_S,
            cleanup_interval=2,
            # `select` fails on descriptors above 1023.
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=False,
            ident=None,
        )
        super().__init__(
            application,
            map=loop_map,
            dispatcher=dispatcher,
            adj=adjustments,
            _sock=listener,
            bind_socket=listener is None,
        )

    def add_task(self, task: Any) -> None:
        """Queues a channel's request, or refuses it if too many requests wait for a thread."""
        if self._dispatcher.waiting() < MAX_WAITING_REQUESTS:
            self._dispatcher.add_task(task)
            return
        self.metrics.count("refusals_total", reason="overloaded")
        task.refuse(_OVERLOAD_RESPONSE)


class ServerGroup:
    """The servers of a gateway, which share one event loop."""

    def __init__(
        self,
        max_descriptors: int,
        memory_mb: int,
        metrics: Metrics,
        listeners: Mapping[Address, socket.socket] | None = None,
    ) -> None:
        """Creates a group without servers.

        Args:
            max_descriptors: File descriptors that the process may open.
            memory_mb: Memory of the instance in megabytes.
            metrics: Receives the counters of the servers.
            listeners: Listening sockets that are open already.
        """
        self._listeners = listeners or {}
        self._budget = budget_of(memory_mb)
        self._loop_map: dict[int, Any] = {}
        self._metrics = metrics
        # Each request in flight may use one connection to an endpoint.
        self._max_connections = max(
            64, (max_descriptors - RESERVED_DESCRIPTORS - CALLER_THREADS) // 2
        )
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
        self._caller_servers.append(self._add(application, address, self._callers))

    def add_control(self, application: Callable[..., Any], address: Address) -> None:
        """Adds a server for readiness, directory or metrics."""
        self._add(application, address, self._control)

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
        self, application: Callable[..., Any], address: Address, dispatcher: PoolDispatcher
    ) -> GatewayServer:
        server = GatewayServer(
            application,
            address,
            self._loop_map,
            dispatcher,
            self._max_connections,
            self._budget.request_bytes,
            self._budget.output_buffer_bytes(self._max_connections),
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
