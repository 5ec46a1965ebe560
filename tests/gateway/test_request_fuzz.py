"""Streams of random requests, cut into random pieces, are parsed alike and within their bounds."""

from __future__ import annotations

import random
import unittest
from typing import Any, Final

from waitress.adjustments import Adjustments

from sequoiadrum._request_parser import (
    BODY_COPIES,
    HEADER_COPIES,
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
)
from sequoiadrum.gateway.front import MAX_REQUEST_LINE_BYTES, _apply_limits, _RequestParser
from sequoiadrum.gateway.model import CallerLimits

STREAMS: Final = 400
_LIMITS: Final = CallerLimits(max_header_bytes=2_048, max_body_bytes=4_096)
_MAX_FIELDS: Final = (_LIMITS.max_header_bytes + MAX_REQUEST_LINE_BYTES) // 2
_READ_BYTES: Final = 8_192
_NOISE: Final = (b"\r", b"\n", b"\r\n", b"\r\n\r\n", b":", b" ", b"\x00", b"\xff", b"0", b";", b"a")


def a_field(rng: random.Random) -> bytes:
    """Returns a header field, which is malformed in rare cases."""
    name = bytes(rng.choices(b"abcXYZ-_", k=rng.randint(1, 6)))
    value = bytes(rng.choices(b"abc 123,;", k=rng.choice((0, 1, 5, 40))))
    separator = rng.choices((b":", b": ", b" :", b""), (80, 80, 1, 1))[0]
    return name + separator + value + rng.choices((b"\r\n", b"\n"), (80, 1))[0]


def a_body(rng: random.Random) -> tuple[bytes, bytes]:
    """Returns the fields that frame a body, and the body as it is sent."""
    kind = rng.randrange(6)
    data = rng.choice((b"a", b"\n", b"\r\n\r\n")) * rng.choice((0, 1, 100, 3_000, 6_000))
    if kind <= 1:
        return b"", b""
    if kind <= 3:
        return b"Content-Length: %d\r\n" % len(data), data
    chunks = b"".join(
        b"%x%b\r\n%b\r\n" % (len(part), rng.choice((b"", b";a=b")), part)
        for part in (data[i : i + 500] for i in range(0, len(data), 500))
    )
    end = rng.choices((b"0\r\n\r\n", b"0\r\nX: y\r\n\r\n", b"zz\r\n", b""), (20, 5, 1, 1))[0]
    return b"Transfer-Encoding: chunked\r\n", chunks + end


def a_stream(rng: random.Random) -> bytes:
    """Returns some requests in a row, with random bytes in between in rare cases."""
    stream = b""
    for _ in range(rng.randint(1, 5)):
        framing, body = a_body(rng)
        line = rng.choices((b"GET /a?b HTTP/1.1", b"POST / HTTP/1.0", b"x"), (20, 5, 1))[0]
        fields = b"".join(a_field(rng) for _ in range(rng.choice((0, 3, 30, 400))))
        stream += line + b"\r\n" + framing + fields + b"\r\n" + body
        if rng.random() < 0.1:
            stream += b"".join(rng.choices(_NOISE, k=rng.randint(1, 20)))
    return stream


def pieces_of(stream: bytes, rng: random.Random) -> list[bytes]:
    """Cuts a stream into pieces of random size."""
    pieces = []
    while stream:
        size = rng.choice((1, 2, 7, 100, _READ_BYTES))
        pieces.append(stream[:size])
        stream = stream[size:]
    return pieces


class RequestFuzzTest(unittest.TestCase):
    """Any bytes may come from a caller."""

    def _parse(self, pieces: list[bytes]) -> list[Any]:
        """Parses pieces as a connection does, up to the first error; returns the requests."""
        adjustments = Adjustments()
        _apply_limits(adjustments, _LIMITS)
        found: list[Any] = []
        request: Any = None
        for piece in pieces:
            rest = piece
            while rest:
                request = request or _RequestParser(adjustments)
                consumed = request.received(rest)
                self.assertTrue(consumed > 0 or request.completed, "the parser makes no progress")
                self._check_bounds(request)
                rest = rest[consumed:]
                if not request.completed:
                    continue
                if request.error:
                    return [*found, request.error.code]
                if not request.empty:
                    body = request.get_body_stream().read()
                    self.assertLessEqual(len(body), _LIMITS.max_body_bytes)
                    found.append((request.command, request.path, request.headers, body))
                request = None
        return found

    def _check_bounds(self, request: _RequestParser) -> None:
        head_bytes = _LIMITS.max_header_bytes + MAX_REQUEST_LINE_BYTES + _READ_BYTES
        body_bytes = _LIMITS.max_body_bytes + _READ_BYTES
        self.assertLessEqual(request.header_fields, _MAX_FIELDS + _READ_BYTES)
        self.assertGreaterEqual(request.header_fields, len(request.headers))
        bound = REQUEST_BYTES + HEADER_COPIES * head_bytes + BODY_COPIES * body_bytes
        bound += HEADER_FIELD_BYTES * request.header_fields
        self.assertLessEqual(request.held_bytes(), bound)

    def test_pieces_do_not_change_what_is_parsed(self) -> None:
        """Guards against requests whose meaning, or whose memory, depends on how they were cut."""
        for seed in range(STREAMS):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                stream = a_stream(rng)
                whole = self._parse(
                    [stream[i : i + _READ_BYTES] for i in range(0, len(stream), _READ_BYTES)]
                )
                for _ in range(3):
                    self.assertEqual(self._parse(pieces_of(stream, rng)), whole)

    def test_random_bytes_end_in_requests_or_errors(self) -> None:
        """Guards against bytes on which the parser raises or stands still."""
        for seed in range(STREAMS):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                stream = b"".join(
                    rng.choices((*_NOISE, b"GET / HTTP/1.1\r\n"), k=rng.randint(1, 400))
                )
                self._parse(pieces_of(stream, rng))
