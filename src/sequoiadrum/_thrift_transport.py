"""Thrift sockets that count their traffic, and encoding of single thrift structures."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TSocket import TSocket
from thrift.TSerialization import deserialize, serialize

if TYPE_CHECKING:
    import socket

    from sequoiadrum.metrics import Metrics

S = TypeVar("S")

COMPACT: Final = TCompactProtocolAcceleratedFactory()
"""Protocol of the calls between routers."""
BINARY: Final = TBinaryProtocolAcceleratedFactory()
"""Protocol of the operator interface."""
MAX_FRAME_BYTES: Final = 16_000_000
"""Larger frames are rejected before their content is read."""


class CountingSocket(TSocket):
    """A TCP socket that counts its traffic in `control_bytes_total`."""

    def __init__(
        self,
        metrics: Metrics,
        channel: str,
        host: str = "",
        port: int = 0,
        accepted: socket.socket | None = None,
    ) -> None:
        super().__init__(host, port)
        if accepted is not None:
            self.setHandle(accepted)
        self._metrics = metrics
        self._channel = channel

    def read(self, sz: int) -> bytes:
        """Reads up to `sz` bytes and counts them as received."""
        data: bytes = super().read(sz)
        self._metrics.count(
            "control_bytes_total", len(data), channel=self._channel, direction="received"
        )
        return data

    def write(self, buff: bytes) -> None:
        """Writes bytes and counts them as sent."""
        super().write(buff)
        self._metrics.count(
            "control_bytes_total", len(buff), channel=self._channel, direction="sent"
        )


def encode(structure: Any) -> bytes:
    """Encodes one thrift structure in the compact protocol."""
    return bytes(serialize(structure, COMPACT))


def decode(empty: S, data: bytes) -> S | None:
    """Decodes a structure in the compact protocol; returns None if the bytes are malformed.

    Args:
        empty: A new instance of the expected structure, which is filled and returned.
        data: Untrusted bytes.
    """
    try:
        deserialize(empty, data, COMPACT)
    # The generated readers may raise any exception for malformed bytes.
    except Exception:
        return None
    return empty
