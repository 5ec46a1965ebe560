"""A thrift server with a bounded number of connections."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from thrift.transport.TTransport import TFramedTransport, TTransportException

from sequoiadrum._thrift_transport import MAX_FRAME_BYTES, CountingSocket
from sequoiadrum.connection_memory import (
    STALL_GRACE_S,
    ConnectionMemory,
    MemoryHolder,
    Progress,
    Usage,
)
from sequoiadrum.logs import LineLimit, get_logger
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

_IDLE_TIMEOUT_MS: Final = 60_000
_BACKLOG: Final = 512
_ACCEPT_RETRY_S: Final = 0.02
_READ_BYTES: Final = 65_536
MAX_FRAMES_BYTES: Final = 64_000_000
"""Memory of all frames that are read, handled or written, unless a server sets another."""
FRAME_TIMEOUT_S: Final = 10.0
"""A connection whose frame is behind the least rate by this time is dropped."""
_MALFORMED_TYPES: Final = (TTransportException.NEGATIVE_SIZE, TTransportException.SIZE_LIMIT)

_log = get_logger(__name__)


class _FrameSocket(CountingSocket, MemoryHolder):
    """An accepted connection, which reports the frames that it holds before they are kept."""

    def __init__(self, server: ThriftServer, accepted: socket.socket, address: str) -> None:
        super().__init__(server.metrics, server.channel, accepted=accepted)
        self._server = server
        self._accepted = accepted
        self.address = address
        self.accepted_at = time.monotonic()
        self._progress = Progress(self.accepted_at)
        self._size = 0
        self._is_transferring = False
        self.is_idle = True
        """Whether no byte of a call has arrived."""

    def readAll(self, sz: int) -> bytes:  # noqa: N802
        """Reads a part of a frame: its size, or its content.

        Raises:
            TTransportException: The connection has ended, or was dropped.
        """
        self._progress = Progress(time.monotonic())
        buffer = bytearray()
        self._is_transferring = True
        try:
            while len(buffer) < sz:
                piece = self.read(min(sz - len(buffer), _READ_BYTES))
                self.is_idle = False
                now = time.monotonic()
                if len(buffer) + len(piece) < sz or sz > _READ_BYTES:
                    self._record(len(buffer) + len(piece), len(piece), now)
                buffer += piece
        finally:
            self._is_transferring = False
        return bytes(buffer)

    def write(self, buff: bytes) -> None:
        """Writes a frame."""
        self._progress = Progress(time.monotonic())
        self._is_transferring = True
        if len(buff) > _READ_BYTES:
            self._record(len(buff), 0, self._progress.reached_at)
        try:
            super().write(buff)
        finally:
            self._is_transferring = False
            self.release()

    def release(self) -> None:
        """Records that the connection holds no frame."""
        if self._size:
            self._size = 0
            self._server.memory.update(self, 0)

    def begin_call(self) -> None:
        """Records that the connection waits for a call."""
        self.release()
        self.is_idle = True

    def usage(self, now: float) -> Usage:
        """See `MemoryHolder.usage`."""
        return Usage(
            size=self._size,
            missing_share=1.0,
            behind_s=self._progress.behind_s(now) if self._is_transferring else 0.0,
            is_droppable=self._is_transferring and not self.is_idle,
            address=self.address,
        )

    def abort(self) -> None:
        """Ends the connection; its thread notices."""
        _shut_down(self._accepted)

    def _record(self, size: int, transferred: int, now: float) -> None:
        self._size = size
        self._progress.record(transferred, now)
        if self._progress.behind_s(now) > FRAME_TIMEOUT_S:
            self._server.drop(self, "slow_request", size)
        self._server.memory.update(self, size)
        for holder, usage in self._server.memory.make_room(0, now):
            assert isinstance(holder, _FrameSocket)
            self._server.drop(holder, "input_memory", usage.size)


class ThriftServer:
    """Serves one thrift service over framed TCP with one thread per open connection."""

    def __init__(
        self,
        channel: str,
        address: Address,
        processor: Any,
        protocol_factory: Any,
        metrics: Metrics,
        max_connections: int,
        listener: socket.socket | None = None,
        *,
        is_needed: bool = True,
        memory: ConnectionMemory | None = None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Binds the address, unless a listening socket is passed.

        At most `max_connections` are open. `memory` bounds the frames of all connections.

        Raises:
            OSError: The address is in use or not local.
        """
        self.channel: Final = channel
        self.metrics: Final = metrics
        self.memory: Final = memory or ConnectionMemory(MAX_FRAMES_BYTES)
        self._max_frame_bytes = max_frame_bytes
        self._lines = LineLimit()
        self._processor = processor
        self._protocol_factory = protocol_factory
        self._max_connections = max_connections
        self._listener = listener or socket.create_server(
            (address.host, address.port), backlog=_BACKLOG
        )
        self.port: Final[int] = self._listener.getsockname()[1]
        self._executor = ThreadPoolExecutor(max_connections, thread_name_prefix=channel)
        self._lock = threading.Lock()
        self._open_connections: set[_FrameSocket] = set()
        self._stopped = False
        self.thread: Final = SupervisedThread(
            channel, self._accept_connections, metrics, is_needed=is_needed
        )

    def start(self) -> None:
        """Starts to accept connections."""
        self.thread.start()

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        self._stopped = True
        self.thread.stop()
        # `close` alone does not end a blocked `accept`, which would accept one more connection.
        _shut_down(self._listener)
        self._listener.close()
        with self._lock:
            connections = list(self._open_connections)
        for connection in connections:
            connection.abort()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _accept_connections(self) -> None:
        while not self._stopped:
            try:
                accepted, address = self._listener.accept()
            except OSError:
                if self._stopped:
                    return
                # Without a pause, a process that is out of descriptors would spin here.
                time.sleep(_ACCEPT_RETRY_S)
                continue
            connection = _FrameSocket(self, accepted, str(address[0]))
            with self._lock:
                is_full = len(self._open_connections) >= self._max_connections
                evicted = self._select_evicted() if is_full else None
                if evicted is not None:
                    self._open_connections.discard(evicted)
                is_refused = is_full and evicted is None
                if not is_refused:
                    self._open_connections.add(connection)
            if evicted is not None:
                self.drop(evicted, "connections", 0)
            if is_refused:
                self.metrics.count("connections_refused_total", channel=self.channel)
                accepted.close()
                continue
            try:
                self._executor.submit(self._serve_connection, connection)
            except RuntimeError:
                # The executor was shut down, or no thread can be started.
                with self._lock:
                    self._open_connections.discard(connection)
                accepted.close()
                self.metrics.count("connections_refused_total", channel=self.channel)

    def drop(self, connection: _FrameSocket, reason: str, held_bytes: int) -> None:
        """Ends a connection, counts it and logs what it held."""
        self.metrics.count("connections_dropped_total", reason=reason, channel=self.channel)
        if self._lines.allows():
            _log.warning(
                "connection_dropped",
                channel=self.channel,
                reason=reason,
                caller=connection.address,
                held_bytes=held_bytes,
                open_s=round(time.monotonic() - connection.accepted_at, 1),
            )
        connection.abort()

    def _select_evicted(self) -> _FrameSocket | None:
        """Returns the newest idle connection, or else the one that is most behind."""
        idle = [connection for connection in self._open_connections if connection.is_idle]
        if idle:
            return max(idle, key=lambda connection: connection.accepted_at)
        now = time.monotonic()
        usage_by_connection = {each: each.usage(now) for each in self._open_connections}
        behind = [
            each
            for each, usage in usage_by_connection.items()
            if usage.is_droppable and usage.behind_s > STALL_GRACE_S
        ]
        return max(behind, key=lambda each: usage_by_connection[each].behind_s, default=None)

    def _serve_connection(self, connection: _FrameSocket) -> None:
        try:
            connection.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setTimeout(_IDLE_TIMEOUT_MS)
            protocol = self._protocol_factory.getProtocol(
                TFramedTransport(connection, self._max_frame_bytes)
            )
            while True:
                connection.begin_call()
                self._processor.process(protocol, protocol)
        except (TTransportException, OSError) as error:
            if getattr(error, "type", None) in _MALFORMED_TYPES:
                self._count_malformed(error)
        # The generated code may raise any exception for malformed bytes.
        except Exception as error:
            self._count_malformed(error)
        finally:
            with self._lock:
                self._open_connections.discard(connection)
            connection.release()
            connection.close()

    def _count_malformed(self, error: Exception) -> None:
        self.metrics.count("malformed_calls_total", channel=self.channel)
        _log.warning("malformed_call", channel=self.channel, error=repr(error)[:200])


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
