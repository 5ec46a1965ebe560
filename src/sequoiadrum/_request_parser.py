"""A request parser of waitress that knows how much memory a request takes."""

from __future__ import annotations

from io import BytesIO
from typing import Any, Final

from waitress.parser import HTTPRequestParser

REQUEST_BYTES: Final = 4_000
"""Memory of the objects of a request without its header fields and its body."""
HEADER_FIELD_BYTES: Final = 500
"""Memory of the objects made of one header field, beside its own bytes."""
HEADER_COPIES: Final = 4
"""How often the bytes of a head are held: received, parsed, in the environment, and to be sent."""
BODY_COPIES: Final = 1.125
"""Memory of a body per byte; the last block reserves an eighth in advance."""
BLOCK_BYTES: Final = 65_536


class BodyBlocks:
    """Collects a body in blocks of equal size, as the buffer of a receiver of waitress.

    One buffer that grows would be moved again and again, and the gaps that it leaves take about as
    much memory as the bodies when many arrive at a time.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes."""
        self._size += len(data)
        while data:
            if not self._blocks or len(self._blocks[-1]) == BLOCK_BYTES:
                self._blocks.append(bytearray())
            last = self._blocks[-1]
            space = BLOCK_BYTES - len(last)
            last += data[:space]
            data = data[space:]

    def getfile(self) -> BytesIO:
        """Returns the body as a file, to be called once; the blocks are given up."""
        body = b"".join(self._blocks)
        self._blocks.clear()
        return BytesIO(body)

    def close(self) -> None:
        """Gives up the body."""
        self._blocks.clear()
        self._size = 0


class BoundedParser(HTTPRequestParser):
    """Parses a request and knows what it holds."""

    error: Any
    body_rcv: Any
    header_fields = 0

    def parse_header(self, header_plus: bytes) -> None:
        """See `HTTPRequestParser.parse_header`; a body is collected in a `BodyBlocks`."""
        super().parse_header(header_plus)
        if self.body_rcv is not None:
            self.body_rcv.buf = BodyBlocks()

    def received(self, data: bytes) -> int:
        """See `HTTPRequestParser.received`."""
        is_head = self.body_rcv is None
        consumed: int = super().received(data)
        if is_head:
            # The bytes behind a head are not consumed with it.
            self.header_fields += data.count(b"\n", 0, consumed)
        return consumed

    def held_bytes(self) -> int:
        """Returns the memory that the request takes until it is closed."""
        body = len(self.body_rcv) if self.body_rcv is not None else 0
        head = HEADER_COPIES * self.header_bytes_received + HEADER_FIELD_BYTES * self.header_fields
        return REQUEST_BYTES + head + int(BODY_COPIES * body)

    def missing_share(self) -> float:
        """Returns the share of the body that has not arrived; 1 if its length is unknown."""
        if self.body_rcv is None or self.chunked or not self.content_length:
            return 1.0
        return 1.0 - len(self.body_rcv) / self.content_length


def count_fields(data: bytes) -> int:
    """Returns how many header fields end in some bytes, up to the end of the head."""
    end = data.find(b"\r\n\r\n")
    return data.count(b"\n") if end < 0 else data.count(b"\n", 0, end + 2)
