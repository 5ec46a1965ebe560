"""Server-sent events of one HTTP response, read straight from its socket.

`http.client` cannot go on after a timed-out read, and its layers cost more than the parsing.
"""

from __future__ import annotations

import select
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.messages import StreamEvent

if TYPE_CHECKING:
    import socket
    from http.client import HTTPResponse

_READ_BYTES: Final = 65_536
_MAX_BUFFERED_BYTES: Final = 4_000_000
"""A longer event or chunk header is treated as malformed."""
_DONE: Final = b"[DONE]"


class SseReader:
    """Decodes the body (chunked, counted or until close) and splits it into events."""

    def __init__(self, connection: socket.socket, response: HTTPResponse) -> None:
        """Takes over the socket; the response must have been read up to its headers only."""
        self._socket = connection
        self._chunked = bool(response.chunked)
        self._left: int | None = None if self._chunked else response.length
        self._raw = b""
        self._body = b""
        self._body_ended = False
        # Without a timeout of its own, a socket that has data costs one system call to read.
        connection.settimeout(0.0)
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN)
        self.done = False
        """Whether `[DONE]` has come."""
        # The buffer of the response may hold the first bytes of the body already.
        buffered = response.fp.peek(_READ_BYTES) if response.fp is not None else b""
        self._feed(bytes(buffered))

    @property
    def complete(self) -> bool:
        """Whether the body was read to its end, so that the connection can be used again."""
        return self._body_ended and not self._raw

    def read(self, timeout_s: float, linger_s: float = 0.0) -> list[StreamEvent]:
        """Waits for events; an empty list means that `[DONE]` has come.

        Args:
            timeout_s: Longest wait for bytes.
            linger_s: Time in which events are collected before the first look at the socket.

        Raises:
            TimeoutError: Nothing came in time; reading can go on.
            OSError: The connection broke, or the body ended without `[DONE]`.
            ValueError: The bytes are not what the wire form allows.
        """
        events = self._parse()
        # After a pause there is likely something to read; otherwise a look would be wasted.
        likely = linger_s > 0
        if likely and not events and not self.done:
            time.sleep(linger_s)
        while not events and not self.done:
            if self._body_ended:
                raise ConnectionError("the body ended before the stream did")
            if not likely:
                self._wait(timeout_s)
            likely = False
            if self._receive():
                events = self._parse()
        return events

    def read_tail(self) -> None:
        """Takes the end of the body if it has come already; never waits."""
        try:
            if not self._body_ended:
                self._receive()
        except (OSError, ValueError):  # Not complete, so the connection is not used again.
            return

    def _receive(self) -> bool:
        """Takes what has come; False when nothing has."""
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return False
        if not data:
            raise ConnectionError("closed")
        self._feed(data)
        return True

    def _wait(self, timeout_s: float) -> None:
        if not self._poll.poll(max(1.0, timeout_s * 1e3)):
            raise TimeoutError

    def _feed(self, data: bytes) -> None:
        if len(self._raw) + len(self._body) > _MAX_BUFFERED_BYTES:
            raise ValueError("event too long")
        if self._chunked:
            self._raw += data
            self._decode_chunks()
        elif self._left is None:
            self._body += data
        else:
            self._body += data[: self._left]
            self._raw = data[self._left :]
            self._left -= min(len(data), self._left)
            self._body_ended = self._left == 0

    def _decode_chunks(self) -> None:
        raw, at, parts = self._raw, 0, []
        while not self._body_ended:
            line_end = raw.find(b"\r\n", at)
            if line_end < 0:
                break
            size = int(raw[at:line_end].split(b";", 1)[0], 16)
            end = line_end + 2 + size
            if size < 0 or len(raw) < end + 2:
                break
            if raw[end : end + 2] != b"\r\n":
                raise ValueError("malformed chunk")
            parts.append(raw[line_end + 2 : end])
            at = end + 2
            self._body_ended = size == 0
        self._raw = raw[at:]
        self._body += b"".join(parts)

    def _parse(self) -> list[StreamEvent]:
        events: list[StreamEvent] = []
        if b"\n\n" not in self._body:
            return events
        *blocks, self._body = self._body.split(b"\n\n")
        for block in blocks:
            head, _, data = block.partition(b"\ndata: ")
            if head.startswith(b"id: ") and data:
                events.append(StreamEvent(int(head[4:]), data))
            elif block == b"data: " + _DONE:
                self.done = True
            elif not block.startswith(b":"):
                raise ValueError("malformed event")
        return events
