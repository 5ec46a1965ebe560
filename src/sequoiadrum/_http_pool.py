"""Keep-alive connections of `http.client`, pooled for each address."""

from __future__ import annotations

import socket
import threading
from collections import defaultdict
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final

from sequoiadrum._http_response import StrictResponse

if TYPE_CHECKING:
    from http.client import HTTPResponse

    from sequoiadrum.messages import Address

_MAX_IDLE_PER_ADDRESS: Final = 32
"""Idle connections kept for each address; further ones are closed."""


class HttpPool:
    """Pools keep-alive connections; safe to use from any thread.

    A connection is reused only after its response was read completely, so a late response can
    never be taken for the response to the next request. Its responses are `StrictResponse`s.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._idle_by_address: dict[Address, list[HTTPConnection]] = defaultdict(list)

    def connect(self, address: Address, timeout_s: float | None = None) -> HTTPConnection:
        """Opens a new connection; None as `timeout_s` stands for the timeout of the pool.

        Raises:
            OSError: The address refuses the connection or does not respond in time.
        """
        connection = HTTPConnection(
            address.host, address.port, timeout=timeout_s or self._timeout_s
        )
        connection.response_class = StrictResponse
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def acquire_connection(
        self, address: Address, timeout_s: float | None = None
    ) -> HTTPConnection:
        """Returns an idle connection that is still open, or opens one; see `connect`.

        Raises:
            OSError: The address refuses the connection or does not respond in time.
        """
        while True:
            with self._lock:
                idle = self._idle_by_address[address]
                connection = idle.pop() if idle else None
            if connection is None:
                return self.connect(address, timeout_s)
            if _is_open(connection):
                connection.sock.settimeout(timeout_s or self._timeout_s)
                return connection
            connection.close()

    def release_connection(
        self, address: Address, connection: HTTPConnection, response: HTTPResponse
    ) -> None:
        """Keeps the connection for reuse, or closes it.

        It is kept if the response was read completely and leaves the connection open, and if the
        address has fewer than the maximum of idle connections.
        """
        if response.isclosed() and not response.will_close and connection.sock is not None:
            with self._lock:
                idle = self._idle_by_address[address]
                if len(idle) < _MAX_IDLE_PER_ADDRESS:
                    idle.append(connection)
                    return
        connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            for idle in self._idle_by_address.values():
                for connection in idle:
                    connection.close()
            self._idle_by_address.clear()


def read_framed_body(response: HTTPResponse) -> bytes:
    """Reads a body that has a length or chunks.

    Raises:
        OSError: The connection failed or timed out.
        HTTPException: The body is cut, or only the end of the connection would show its end.
    """
    if response.length is None and not response.chunked:
        raise HTTPException("a body without a length or chunks")
    return response.read()


def _is_open(connection: HTTPConnection) -> bool:
    # An idle socket is readable only if the server has closed it or has sent unexpected bytes.
    if connection.sock is None:
        return False
    connection.sock.setblocking(False)
    try:
        connection.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
