"""HTTP/1.1 responses that are complete only if each of their parts has ended as RFC 9112 demands.

`http.client` takes the end of the connection for the end of a head, a chunk size or a trailer, and
ignores lengths and codings that it cannot read.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from http.client import (
    HTTPException,
    HTTPMessage,
    HTTPResponse,
    IncompleteRead,
    LineTooLong,
    RemoteDisconnected,
)
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import socket
    from typing import BinaryIO

MAX_LINE_BYTES: Final = 65_536
MAX_SECTION_BYTES: Final = 131_072
"""Size of one head or trailer section."""
_READ_BYTES: Final = 65_536
_STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.([0-9]) +([1-9][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?"
)
_FIELD_LINE: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
_CHUNK_LINE: Final = re.compile(rb"([0-9A-Fa-f]+)(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_LENGTH: Final = re.compile(r"[0-9]{1,18}")


class MalformedResponseError(HTTPException, ValueError):
    """A part of a response breaks the rules of HTTP/1.1 or has no end."""


class StrictResponse(HTTPResponse):
    """A response whose head, framing and body are checked; read it with `read` or `read1`.

    Lines must end with CRLF. RFC 9112 permits, but does not demand, to accept a bare LF in a head;
    it is rejected because one wrong byte could otherwise end a head early.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self._is_head_request = method == "HEAD"
        self._chunk_left: int | None = None
        """Bytes of the current chunk that were not read yet; None before the first chunk."""

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection shows the end of the body."""
        return self.length is None and not self.chunked

    def begin(self) -> None:
        """Reads the head, after any interim responses.

        Raises:
            OSError: The connection failed or ended before the first byte.
            HTTPException: The head is cut or malformed, or its framing is unclear.
        """
        if self.headers is not None:
            return
        while True:
            line = _read_line(self.fp, "status line")
            match = _STATUS_LINE.fullmatch(line)
            if match is None:
                raise MalformedResponseError(f"status line: {line[:100]!r}")
            fields = _read_fields(self.fp)
            status = int(match[2])
            if status >= HTTPStatus.OK:
                break
            if status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise MalformedResponseError("switch of protocols that was not requested")
        self.version = 10 if match[1] == b"0" else 11
        self.code = self.status = status
        self.reason = (match[3] or b"").decode("latin-1").strip()
        self.headers = self.msg = fields
        self._decode_framing()

    def read1(self, n: int = -1) -> bytes:
        """Returns bytes of the body as they arrive, `n` at most; empty bytes at its end.

        Raises:
            OSError: The connection failed.
            HTTPException: The body is cut, or its framing is malformed.
        """
        if self.fp is None:
            return b""
        left = self._next_chunk() if self.chunked else self.length
        if left == 0:
            self.close()
            return b""
        if left is None:
            data = self.fp.read1(n)
            if not data and n:
                self.close()
            return bytes(data)
        data = self.fp.read1(left if n < 0 else min(n, left))
        if not data and n:
            raise IncompleteRead(b"", left)
        if self.chunked:
            self._chunk_left = left - len(data)
        else:
            self.length = left - len(data)
        if self.length == 0:
            self.close()
        return bytes(data)

    def read(self, amt: int | None = None) -> bytes:
        """Returns `amt` bytes of the body, fewer at its end; None reads all of it; see `read1`."""
        parts: list[bytes] = []
        size = 0
        while amt is None or size < amt:
            data = self.read1(_READ_BYTES if amt is None else min(amt - size, _READ_BYTES))
            if not data:
                break
            parts.append(data)
            size += len(data)
        return b"".join(parts)

    def _decode_framing(self) -> None:
        codings = self.headers.get_all("Transfer-Encoding")
        length = _decode_length(self.headers.get_all("Content-Length"))
        if codings is not None:
            if len(codings) != 1 or codings[0].lower() != "chunked":
                raise MalformedResponseError(f"transfer coding: {codings!r}"[:200])
            if length is not None or self.version == 10:
                raise MalformedResponseError("chunks beside a length or in HTTP/1.0")
        options = {
            option.strip().lower()
            for value in self.headers.get_all("Connection", [])
            for option in value.split(",")
        }
        has_body = not self._is_head_request and self.status not in (
            HTTPStatus.NO_CONTENT,
            HTTPStatus.NOT_MODIFIED,
        )
        self.chunked = has_body and codings is not None
        self.length = length if has_body else 0
        is_persistent = "keep-alive" in options if self.version == 10 else "close" not in options
        self.will_close = not is_persistent or self.ends_with_connection

    def _next_chunk(self) -> int:
        """Returns the bytes left in the current or next chunk; 0 after the last one."""
        if self._chunk_left:
            return self._chunk_left
        if self._chunk_left is not None and self.fp.read(2) != b"\r\n":
            raise MalformedResponseError("chunk without its end")
        self._chunk_left = parse_chunk_size(_read_line(self.fp, "chunk size"))
        if self._chunk_left == 0:
            _read_fields(self.fp)
        return self._chunk_left


def parse_chunk_size(line: bytes) -> int:
    """Returns the size in a line, without its end, that begins a chunk.

    Raises:
        MalformedResponseError: The line breaks the grammar.
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponseError(f"chunk size: {line[:100]!r}")
    return int(match[1], 16)


def _read_line(stream: BinaryIO, what: str) -> bytes:
    """Reads a line and returns it without its end."""
    line = stream.readline(MAX_LINE_BYTES + 1)
    if len(line) > MAX_LINE_BYTES:
        raise LineTooLong(what)
    if not line and what == "status line":
        raise RemoteDisconnected("the connection ended before the response")
    if not line.endswith(b"\r\n"):
        raise MalformedResponseError(f"{what} without its end")
    return line[:-2]


def _read_fields(stream: BinaryIO) -> HTTPMessage:
    """Reads the lines of a head or trailer section, and the empty line that ends it."""
    fields = HTTPMessage()
    size = 0
    while size <= MAX_SECTION_BYTES:
        line = _read_line(stream, "header line")
        size += len(line)
        if not line:
            return fields
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponseError(f"header line: {line[:100]!r}")
        fields[match[1].decode("latin-1")] = match[2].decode("latin-1").rstrip(" \t")
    raise MalformedResponseError("too many header lines")


def _decode_length(values: list[str] | None) -> int | None:
    """Returns the length that all values agree on; None if there are no values."""
    if values is None:
        return None
    texts = [text.strip(" \t") for value in values for text in value.split(",")]
    if not all(_LENGTH.fullmatch(text) for text in texts):
        raise MalformedResponseError(f"length: {values!r}"[:200])
    lengths = {int(text) for text in texts}
    if len(lengths) != 1:
        raise MalformedResponseError(f"different lengths: {values!r}"[:200])
    return lengths.pop()
