"""A thrift server with a bounded number of connections."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from thrift.transport.TTransport import TFramedTransport, TTransportException

from sequoiadrum._thrift_transport import MAX_FRAME_BYTES, CountingSocket
from sequoiadrum.logs import get_logger
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

_IDLE_TIMEOUT_MS: Final = 60_000
_BACKLOG: Final = 512
_ACCEPT_RETRY_S: Final = 0.02
_MALFORMED_TYPES: Final = (TTransportException.NEGATIVE_SIZE, TTransportException.SIZE_LIMIT)

_log = get_logger(__name__)


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
    ) -> None:
        """Binds the address, unless a listening socket is passed.

        Raises:
            OSError: The address is in use or not local.
        """
        self._channel = channel
        self._processor = processor
        self._protocol_factory = protocol_factory
        self._metrics = metrics
        self._max_connections = max_connections
        self._listener = listener or socket.create_server(
            (address.host, address.port), backlog=_BACKLOG
        )
        self.port: Final[int] = self._listener.getsockname()[1]
        self._executor = ThreadPoolExecutor(max_connections, thread_name_prefix=channel)
        self._lock = threading.Lock()
        self._open_connections: set[socket.socket] = set()
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
            _shut_down(connection)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _accept_connections(self) -> None:
        while not self._stopped:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._stopped:
                    return
                # Without a pause, a process that is out of descriptors would spin here.
                time.sleep(_ACCEPT_RETRY_S)
                continue
            with self._lock:
                full = len(self._open_connections) >= self._max_connections
                if not full:
                    self._open_connections.add(connection)
            if full:
                self._metrics.count("connections_refused_total", channel=self._channel)
                connection.close()
                continue
            try:
                self._executor.submit(self._serve_connection, connection)
            except RuntimeError:
                # The executor was shut down, or no thread can be started.
                with self._lock:
                    self._open_connections.discard(connection)
                connection.close()
                self._metrics.count("connections_refused_total", channel=self._channel)

    def _serve_connection(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        counting_socket = CountingSocket(self._metrics, self._channel, accepted=connection)
        counting_socket.setTimeout(_IDLE_TIMEOUT_MS)
        protocol = self._protocol_factory.getProtocol(
            TFramedTransport(counting_socket, MAX_FRAME_BYTES)
        )
        try:
            while True:
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
            counting_socket.close()

    def _count_malformed(self, error: Exception) -> None:
        self._metrics.count("malformed_calls_total", channel=self._channel)
        _log.warning("malformed_call", channel=self._channel, error=repr(error)[:200])


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
