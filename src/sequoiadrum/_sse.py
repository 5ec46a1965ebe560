"""Server-sent events of one HTTP response, read directly from its socket.

`http.client` cannot continue after a read that timed out, and its layers cost more than parsing.
"""

from __future__ import annotations

import select
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum._http_response import parse_chunk_size
from sequoiadrum.messages import StreamEvent

if TYPE_CHECKING:
    import socket
    from http.client import HTTPResponse

_READ_BYTES: Final = 65_536
_MAX_BUFFERED_BYTES: Final = 4_000_000
"""Longest incomplete event or chunk; a longer one is treated as malformed."""
_DONE: Final = b"[DONE]"


class SseReader:
    """Decodes the body of a response and splits it into events.

    The body may be chunked, have a length, or end when the connection is closed.
    """

    def __init__(self, connection: socket.socket, response: HTTPResponse) -> None:
        """Takes over the socket; only the headers of the response may have been read."""
        self._socket = connection
        self._chunked = bool(response.chunked)
        self._remaining_bytes: int | None = None if self._chunked else response.length
        self._raw = b""
        self._body = b""
        self._body_ended = False
        # A socket with a timeout is polled before each read; a non-blocking one with data needs
        # a single system call.
        connection.settimeout(0.0)
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN)
        self.done = False
        """Whether `[DONE]` was received."""
        # The buffer of the response may already contain the first bytes of the body.
        buffered = response.fp.peek(_READ_BYTES) if response.fp is not None else b""
        self._feed(bytes(buffered))

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to its end, so that the connection can be reused."""
        return self._body_ended and not self._raw

    def read(self, timeout_s: float, linger_s: float = 0.0) -> list[StreamEvent]:
        """Waits for events; an empty list means that `[DONE]` was received.

        Args:
            timeout_s: Longest wait for bytes.
            linger_s: Time for which events are batched before the first read of the socket.

        Raises:
            TimeoutError: Nothing was received in time; reading can continue.
            OSError: The connection failed, or the body ended without `[DONE]`.
            ValueError: The bytes are not a valid event stream.
        """
        events = self._parse()
        # After the pause there is probably data, so the socket is read without polling it first.
        skip_wait = linger_s > 0
        if skip_wait and not events and not self.done:
            time.sleep(linger_s)
        while not events and not self.done:
            if self._body_ended:
                raise ConnectionError("the response body ended without [DONE]")
            if not skip_wait:
                self._wait(timeout_s)
            skip_wait = False
            if self._receive():
                events = self._parse()
        return events

    def read_tail(self) -> None:
        """Reads the end of the body if it has already arrived; never waits."""
        try:
            if not self._body_ended:
                self._receive()
        except (OSError, ValueError):  # The body stays incomplete: the connection is not reused.
            return

    def _receive(self) -> bool:
        """Reads the bytes that have arrived; returns False if there are none."""
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
            raise ValueError("event or chunk exceeds the buffer limit")
        if self._chunked:
            self._raw += data
            self._decode_chunks()
        elif self._remaining_bytes is None:
            self._body += data
        else:
            self._body += data[: self._remaining_bytes]
            self._raw = data[self._remaining_bytes :]
            self._remaining_bytes -= min(len(data), self._remaining_bytes)
            self._body_ended = self._remaining_bytes == 0

    def _decode_chunks(self) -> None:
        raw, at, parts = self._raw, 0, []
        while not self._body_ended:
            line_end = raw.find(b"\r\n", at)
            if line_end < 0:
                break
            size = parse_chunk_size(raw[at:line_end])
            if size == 0:
                # The empty line after the trailers follows the last chunk if there are none.
                trailers_end = raw.find(b"\r\n\r\n", line_end)
                self._body_ended = trailers_end >= 0
                at = trailers_end + 4 if self._body_ended else at
                break
            end = line_end + 2 + size
            if len(raw) < end + 2:
                break
            if raw[end : end + 2] != b"\r\n":
                raise ValueError("chunk does not end with CRLF")
            parts.append(raw[line_end + 2 : end])
            at = end + 2
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
                raise ValueError("malformed event: expected an id and data")
        return events
