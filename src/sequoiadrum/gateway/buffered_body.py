"""The body of a response that is collected before it is sent to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiadrum.gateway.memory_budget import Holding

BLOCK_BYTES: Final = 65_536
"""Blocks of one size are reused after other responses; one growing buffer would leave gaps."""


@define(eq=False)
class BodyBuffer:
    """Collects a body in blocks, so that small reads take no more memory than their bytes."""

    _blocks: list[bytearray] = field(factory=list)
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        self._size += len(data)
        view = memoryview(data)
        while view:
            if not self._blocks or len(self._blocks[-1]) == BLOCK_BYTES:
                self._blocks.append(bytearray())
            taken = view[: BLOCK_BYTES - len(self._blocks[-1])]
            self._blocks[-1] += taken
            view = view[len(taken) :]

    def blocks(self) -> Iterator[bytes]:
        """Yields the bytes in blocks."""
        for block in self._blocks:
            yield bytes(block)

    def clear(self) -> None:
        """Drops all bytes."""
        self._blocks.clear()
        self._size = 0


@define(eq=False)
class BufferedBody:
    """Yields a body in blocks; `close` must be called, also if the caller has disconnected."""

    _buffer: BodyBuffer
    _holding: Holding

    def __len__(self) -> int:
        return len(self._buffer)

    def __iter__(self) -> Iterator[bytes]:
        return self._buffer.blocks()

    def close(self) -> None:
        """Releases the memory of the body."""
        self._buffer.clear()
        self._holding.release()
