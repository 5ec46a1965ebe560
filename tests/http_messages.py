"""Builders of HTTP responses in every framing, for tests that cut or alter them."""

from __future__ import annotations

from attrs import frozen

BODY: bytes = b"Hello, world!"


@frozen
class Message:
    """The bytes of a response, after any interim responses, and what a reader makes of them."""

    name: str
    data: bytes
    body: bytes = BODY
    is_unframed: bool = False
    """Whether the end of the connection ends the body."""

    @property
    def head_size(self) -> int:
        """Number of bytes up to the body, including interim responses."""
        return self.data.rindex(b"\r\n\r\n" + self.body) + 4 if self.is_unframed else 0


def response_head(*lines: str, status: str = "200 OK", version: str = "HTTP/1.1") -> bytes:
    """Returns a signed head that belongs to the request `q1`, and further header lines."""
    first = (
        f"{version} {status}",
        "Sequoiadrum-Request-Id: q1",
        "Sequoiadrum-Response-Seal: s.1",
        *lines,
    )
    return "".join(f"{line}\r\n" for line in first).encode("latin-1") + b"\r\n"


def a_framed_response(body: bytes = BODY) -> Message:
    """Returns a response with a length."""
    return Message("length", response_head(f"Content-Length: {len(body)}") + body, body)


def an_unframed_response(body: bytes = BODY) -> Message:
    """Returns a response that ends with its connection."""
    return Message("unframed", response_head() + body, body, is_unframed=True)


def response_messages() -> tuple[Message, ...]:
    """Returns a message of each kind that an endpoint may send."""
    chunked = response_head("Transfer-Encoding: chunked")
    interim = (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
    )
    events = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
    return (
        a_framed_response(),
        Message("empty", response_head("Content-Length: 0"), b""),
        Message("no content", response_head(status="204 No Content"), b""),
        Message(
            "chunks",
            chunked + b"d\r\nHello, world!\r\n0\r\n\r\n",
        ),
        Message(
            "chunk sizes with zeros and extensions",
            chunked + b"0005;a=b\r\nHello\r\n008;c\r\n, world!\r\n000;last=1\r\n\r\n",
        ),
        Message(
            "chunk sizes of two digits",
            chunked + b"10\r\nabcdefghijklmnop\r\n11 ; x\r\nabcdefghijklmnopq\r\n00\r\n\r\n",
            b"abcdefghijklmnopabcdefghijklmnopq",
        ),
        Message(
            "trailers",
            chunked + b"d\r\nHello, world!\r\n0\r\nX-Sum: 12\r\nX-More: a b\r\n\r\n",
        ),
        Message("interim responses", interim + a_framed_response().data),
        Message(
            "event stream in chunks",
            response_head("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            + b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in (*events, b"")),
            b"".join(events),
        ),
        Message(
            "event stream with a length",
            response_head(
                "Content-Type: text/event-stream", f"Content-Length: {2 * len(events[0])}"
            )
            + b"".join(events),
            b"".join(events),
        ),
        an_unframed_response(),
        Message(
            "unframed after interim responses",
            interim + an_unframed_response().data,
            is_unframed=True,
        ),
    )
