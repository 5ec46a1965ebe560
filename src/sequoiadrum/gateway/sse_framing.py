"""Splits a stream of server-sent events at event boundaries; performs no I/O."""

from __future__ import annotations

from typing import Final

from attrs import define

MAX_EVENT_BYTES: Final = 262_144
"""Size of an incomplete event; a larger one is held to be endless."""
_END: Final = b"\n\n"
_ID: Final = b"id:"


@define
class EventSplitter:
    """Finds the ends of events, and holds back an incomplete event where that is needed."""

    last_id: str | None = None
    """Id of the last complete event."""
    holds_partial: bool = True
    """Whether `feed` holds back an incomplete event. Another endpoint cannot continue a stream in
    the middle of an event."""
    completed: int = 0
    """Number of reads that completed at least one event."""
    has_partial_event: bool = False
    """Whether the received bytes end inside an event."""
    _partial: bytes = b""
    _partial_size: int = 0

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns those that can be forwarded."""
        # The end of an event may be split between two reads.
        searched_from = max(0, len(self._partial) - len(_END) + 1)
        received = self._partial + data
        end = received.rfind(_END, searched_from)
        if end < 0:
            self._partial_size += len(data)
            self.has_partial_event = self.has_partial_event or bool(data.strip())
            self._partial = received if self.holds_partial else received[-1:]
            return b"" if self.holds_partial else data
        end += len(_END)
        self.completed += 1
        self._partial_size = len(received) - end
        self.has_partial_event = bool(received[end:].strip())
        if not self.holds_partial:
            self._partial = received[end:][-1:]
            return data
        complete, self._partial = received[:end], received[end:]
        for line in complete.split(b"\n"):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
        return complete

    def discard_partial_event(self) -> None:
        """Discards an incomplete event; the endpoint that continues the stream sends it again."""
        self._partial = b""
        self._partial_size = 0
        self.has_partial_event = False

    @property
    def held_bytes(self) -> int:
        """Bytes of an incomplete event that are held back."""
        return len(self._partial)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than `MAX_EVENT_BYTES`."""
        return self._partial_size > MAX_EVENT_BYTES
