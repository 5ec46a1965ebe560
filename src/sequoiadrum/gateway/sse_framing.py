"""Splits a stream of server-sent events at event boundaries; performs no I/O."""

from __future__ import annotations

from attrs import define

_END: bytes = b"\n\n"
_ID: bytes = b"id:"


@define
class EventSplitter:
    """Buffers the incomplete event at the end of the received bytes."""

    last_id: str | None = None
    """Id of the last complete event."""
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all events that are complete."""
        self._partial += data
        end = self._partial.rfind(_END)
        if end < 0:
            return b""
        complete, self._partial = self._partial[: end + len(_END)], self._partial[end + len(_END) :]
        for line in complete.split(b"\n"):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
        return complete

    def discard_partial_event(self) -> None:
        """Discards an incomplete event; the endpoint that continues the stream sends it again."""
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the received bytes end inside an event."""
        return bool(self._partial.strip())
