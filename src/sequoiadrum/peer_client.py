"""Client of the calls between routers, with reused connections."""

from __future__ import annotations

import logging
import socket
import threading
from abc import ABC, abstractmethod
from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING, Any, Final, TypeVar

from returns.result import Failure, Result, Success
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TTransport import TFramedTransport, TTransportException

from sequoiadrum._gen.peer import Peer
from sequoiadrum._thrift_transport import COMPACT, MAX_FRAME_BYTES, CountingSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

T = TypeVar("T")

_MAX_IDLE_PER_ADDRESS: Final = 8
_CONNECT_TIMEOUT_S: Final = 1.5
"""Covers one lost SYN, which Linux retransmits after 1 s; a machine that is off never responds."""

# `peer_failures_total` counts failed connections; a log line for each of them adds no information.
logging.getLogger("thrift.transport.TSocket").setLevel(logging.CRITICAL)


class PeerFailure(Enum):
    """Why a call to a peer has no result."""

    UNREACHABLE = "unreachable"
    """No connection could be opened; the call was not made."""
    BROKEN = "broken"
    """The connection failed or timed out; the peer may have executed the call."""
    REFUSED = "refused"
    """The peer reported that it failed to execute the call."""


class PeerClient(ABC):
    """Makes calls of `schema/peer.thrift`."""

    @abstractmethod
    def call(
        self, address: Address, make: Callable[[Any], T], timeout_s: float
    ) -> Result[T, PeerFailure]:
        """Makes one call without retries; blocks up to the timeout.

        Args:
            address: Peer port of the other router.
            make: Makes exactly one call with the generated client (`Peer.Client`) passed to it.
            timeout_s: Time limit for connecting (1.5 s at most), and again for the response.
        """


class ThriftPeerClient(PeerClient):
    """Keeps connections open for reuse; safe to use from any thread."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._idle_by_address: dict[Address, list[tuple[CountingSocket, Peer.Client]]] = (
            defaultdict(list)
        )

    def call(
        self, address: Address, make: Callable[[Any], T], timeout_s: float
    ) -> Result[T, PeerFailure]:
        """See `PeerClient.call`."""
        connection = self._take_idle(address) or self._connect(address, timeout_s)
        if connection is None:
            return self._count_failure(PeerFailure.UNREACHABLE)
        transport, client = connection
        transport.setTimeout(timeout_s * 1e3)
        try:
            value = make(client)
        except TTransportException:
            transport.close()
            return self._count_failure(PeerFailure.BROKEN)
        except (TApplicationException, TException):
            transport.close()
            return self._count_failure(PeerFailure.REFUSED)
        except OSError:
            transport.close()
            return self._count_failure(PeerFailure.BROKEN)
        self._return_idle(address, connection)
        return Success(value)

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            idle = [entry for entries in self._idle_by_address.values() for entry in entries]
            self._idle_by_address.clear()
        for transport, _ in idle:
            transport.close()

    def _count_failure(self, failure: PeerFailure) -> Failure[PeerFailure]:
        self._metrics.count("peer_failures_total", reason=failure.value)
        return Failure(failure)

    def _take_idle(self, address: Address) -> tuple[CountingSocket, Peer.Client] | None:
        while True:
            with self._lock:
                idle = self._idle_by_address[address]
                if not idle:
                    return None
                connection = idle.pop()
            # `isOpen` detects a connection that the peer has closed in the meantime.
            if connection[0].isOpen():
                return connection
            connection[0].close()

    def _connect(
        self, address: Address, timeout_s: float
    ) -> tuple[CountingSocket, Peer.Client] | None:
        transport = CountingSocket(self._metrics, "peer", address.host, address.port)
        transport.setTimeout(min(timeout_s, _CONNECT_TIMEOUT_S) * 1e3)
        try:
            transport.open()
        except (TTransportException, OSError):
            return None
        transport.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol = COMPACT.getProtocol(TFramedTransport(transport, MAX_FRAME_BYTES))
        return transport, Peer.Client(protocol)

    def _return_idle(
        self, address: Address, connection: tuple[CountingSocket, Peer.Client]
    ) -> None:
        with self._lock:
            idle = self._idle_by_address[address]
            if len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(connection)
                return
        connection[0].close()
