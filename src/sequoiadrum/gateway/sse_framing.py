"""Splits a stream of server-sent events at their ends, without I/O."""

from __future__ import annotations

from attrs import define

_END: bytes = b"\n\n"
_ID: bytes = b"id:"


@define
class EventSplitter:
    """Holds back the unfinished event at the end of the bytes."""

    last_id: str | None = None
    """Id of the last whole event."""
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; gives those that belong to whole events."""
        self._rest += data
        end = self._rest.rfind(_END)
        if end < 0:
            return b""
        whole, self._rest = self._rest[: end + len(_END)], self._rest[end + len(_END) :]
        for line in whole.split(b"\n"):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
        return whole

    def drop_rest(self) -> None:
        """Forgets an unfinished event; another endpoint sends it again from its start."""
        self._rest = b""

    @property
    def holds_rest(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._rest.strip())
