"""Small helpers for WSGI: request reading and typed JSON answers."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

from attrs import define

from sequoiadrum.errors import Refusal, RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from sequoiadrum.metrics import Metrics

    StartResponse = Callable[..., object]

_STATUS_BY_REASON: Final = {
    RefusalReason.ACCOUNT_LIMIT: 429,
    RefusalReason.ACCOUNT_UNKNOWN: 403,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CRASHES_ENDPOINTS: 422,
    RefusalReason.DEADLINE: 504,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.INTERNAL: 500,
    RefusalReason.KEY_EXPIRED: 422,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.METHOD_NOT_ALLOWED: 405,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.ROUTE_UNKNOWN: 404,
    RefusalReason.STREAM_LOST: 410,
}
"""All other reasons answer 503."""


@define(eq=False)
class HttpRequest:
    """One request of a caller."""

    environ: Mapping[str, Any]
    """The WSGI environment."""

    @property
    def method(self) -> str:
        """The method in upper case."""
        return str(self.environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """The decoded path."""
        # WSGI gives the bytes of the path as Latin-1.
        return str(self.environ["PATH_INFO"]).encode("latin-1").decode("utf-8", "replace")

    def header(self, name: str, default: str = "") -> str:
        """Reads a header."""
        key = name.upper().replace("-", "_")
        return str(self.environ.get(f"HTTP_{key}", default)).strip()

    def content_type(self) -> str:
        """Reads the content type."""
        return str(self.environ.get("CONTENT_TYPE") or "application/octet-stream")

    def query(self) -> dict[str, str]:
        """Reads the query string; the first value of each name counts."""
        parsed = parse_qs(str(self.environ.get("QUERY_STRING", "")))
        return {name: values[0] for name, values in parsed.items()}

    def body(self) -> bytes:
        """Reads the whole body, which waitress has buffered and bounded."""
        return bytes(self.environ["wsgi.input"].read())

    def body_bytes(self) -> int:
        """Gives the length of the body, which waitress has read whole."""
        return int(self.environ.get("CONTENT_LENGTH") or 0)

    def disconnected(self) -> bool:
        """Tells whether the caller has closed the connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Sends a whole answer."""
    start_response(
        f"{status} {_phrase(status)}",
        [("Content-Type", content_type), ("Content-Length", str(len(body))), *headers],
    )
    return [body]


def respond_json(
    start_response: StartResponse,
    status: int,
    document: object,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Sends a JSON answer."""
    return respond(
        start_response, status, json.dumps(document).encode(), "application/json", headers
    )


_KEY_CHECKED_REASONS: Final = frozenset(
    {
        RefusalReason.CANCELLED,
        RefusalReason.CRASHES_ENDPOINTS,
        RefusalReason.ENDPOINT_FAILED,
        RefusalReason.NO_ENDPOINT,
        RefusalReason.NOT_FOUND,
        RefusalReason.POOL_FULL,
    }
)
"""Given for a keyed call only after its key was looked up, so that "no" holds for the key.

With any other reason an earlier request with the same key may have run.
"""


def told_as_run(refusal: Refusal) -> str:
    """Gives the value of the field `ran`: `yes`, `no`, `not_by_this_request` or `unknown`."""
    if refusal.ran is None:
        return "unknown"
    if refusal.ran:
        return "yes"
    return "no" if refusal.reason in _KEY_CHECKED_REASONS else "not_by_this_request"


def refusal_document(refusal: Refusal) -> dict[str, Any]:
    """Gives the typed error that callers see."""
    return {
        "error": {
            "type": refusal.reason.value,
            "message": refusal.detail or refusal.reason.value.replace("_", " "),
            "ran": told_as_run(refusal),
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def refusal_status(refusal: Refusal) -> int:
    """Gives the HTTP status of a refusal."""
    return _STATUS_BY_REASON.get(refusal.reason, 503)


def refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Gives `Retry-After` in whole seconds when a new attempt may succeed."""
    if refusal.retry_after_ms is None:
        return []
    return [("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000))))]


def refuse(metrics: Metrics, start_response: StartResponse, refusal: Refusal) -> list[bytes]:
    """Counts a refusal and sends it as a typed JSON error."""
    metrics.count("refusals_total", reason=refusal.reason.value)
    return respond_json(
        start_response,
        refusal_status(refusal),
        refusal_document(refusal),
        refusal_headers(refusal),
    )


def raw_refusal(refusal: Refusal) -> bytes:
    """Writes a refusal as a whole HTTP answer that ends the connection."""
    body = json.dumps(refusal_document(refusal)).encode()
    status = refusal_status(refusal)
    lines = [
        f"HTTP/1.1 {status} {_phrase(status)}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in refusal_headers(refusal)),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_deadline(request: HttpRequest, now: float, longest_s: float) -> float | None:
    """Reads `X-Deadline-Ms` as monotonic seconds; None when it is malformed."""
    text = request.header("X-Deadline-Ms")
    if not text:
        return now + longest_s
    if not is_number(text, 9):
        return None
    return now + min(int(text) / 1e3, longest_s)


def is_number(text: str, digits: int) -> bool:
    """Tells whether a text is a decimal number of at most so many ASCII digits."""
    # `isdigit` alone accepts characters that `int` does not, such as a superscript two.
    return text.isascii() and text.isdigit() and len(text) <= digits


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
