"""Reads WSGI requests and writes responses and typed JSON errors."""

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
"""Refusals for all other reasons have the status 503."""


@define(eq=False)
class HttpRequest:
    """One HTTP request of a caller."""

    environ: Mapping[str, Any]
    """The WSGI environment."""

    @property
    def method(self) -> str:
        """The HTTP method in upper case."""
        return str(self.environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """The decoded path without the query string."""
        # WSGI passes the bytes of the path as Latin-1 characters.
        return str(self.environ["PATH_INFO"]).encode("latin-1").decode("utf-8", "replace")

    def header(self, name: str, default: str = "") -> str:
        """Returns the stripped value of a header, or `default` if the header is missing."""
        key = name.upper().replace("-", "_")
        return str(self.environ.get(f"HTTP_{key}", default)).strip()

    def content_type(self) -> str:
        """Returns the content type; `application/octet-stream` if the request has none."""
        return str(self.environ.get("CONTENT_TYPE") or "application/octet-stream")

    def query(self) -> dict[str, str]:
        """Returns the parameters of the query string; of a repeated name the first value."""
        parsed = parse_qs(str(self.environ.get("QUERY_STRING", "")))
        return {name: values[0] for name, values in parsed.items()}

    def body(self) -> bytes:
        """Reads the complete body, which waitress has buffered and limited in size."""
        return bytes(self.environ["wsgi.input"].read())

    def content_length(self) -> int:
        """Returns the length in bytes of the body, which waitress has read completely."""
        return int(self.environ.get("CONTENT_LENGTH") or 0)

    def is_disconnected(self) -> bool:
        """Returns whether the caller has closed the connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Sends the status and headers of a complete response and returns its body for WSGI."""
    start_response(
        f"{status} {_status_phrase(status)}",
        [("Content-Type", content_type), ("Content-Length", str(len(body))), *headers],
    )
    return [body]


def respond_json(
    start_response: StartResponse,
    status: int,
    document: object,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Sends a document as a complete JSON response; see `respond`."""
    return respond(
        start_response, status, json.dumps(document).encode(), "application/json", headers
    )


_REASONS_AFTER_KEY_LOOKUP: Final = frozenset(
    {
        RefusalReason.CANCELLED,
        RefusalReason.CRASHES_ENDPOINTS,
        RefusalReason.ENDPOINT_FAILED,
        RefusalReason.NO_ENDPOINT,
        RefusalReason.NOT_FOUND,
        RefusalReason.POOL_FULL,
    }
)
"""Reasons that refuse a keyed call only after its key was looked up: "no" then holds for the key.

If a call is refused for any other reason, an earlier request with the same key may have run.
"""


def encode_ran(refusal: Refusal) -> str:
    """Returns the value of the field `ran`: `yes`, `no`, `not_by_this_request` or `unknown`."""
    if refusal.ran is None:
        return "unknown"
    if refusal.ran:
        return "yes"
    return "no" if refusal.reason in _REASONS_AFTER_KEY_LOOKUP else "not_by_this_request"


def refusal_document(refusal: Refusal) -> dict[str, Any]:
    """Returns the JSON document of the typed error that is sent to the caller."""
    return {
        "error": {
            "type": refusal.reason.value,
            "message": refusal.detail or refusal.reason.value.replace("_", " "),
            "ran": encode_ran(refusal),
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def refusal_status(refusal: Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS_BY_REASON.get(refusal.reason, 503)


def refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Returns `Retry-After`, rounded up to full seconds, or no header if a retry is useless."""
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


def encode_refusal(refusal: Refusal) -> bytes:
    """Encodes a refusal as a complete HTTP response that closes the connection."""
    body = json.dumps(refusal_document(refusal)).encode()
    status = refusal_status(refusal)
    lines = [
        f"HTTP/1.1 {status} {_status_phrase(status)}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in refusal_headers(refusal)),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse_deadline(request: HttpRequest, now: float, max_timeout_s: float) -> float | None:
    """Parses `X-Deadline-Ms`, the time left in milliseconds.

    Args:
        request: The request with the header.
        now: Start of the request in monotonic seconds.
        max_timeout_s: Upper bound of the time left, and its value if the header is missing.

    Returns:
        The deadline in monotonic seconds, or None if the header is malformed.
    """
    text = request.header("X-Deadline-Ms")
    if not text:
        return now + max_timeout_s
    if not is_decimal(text, 9):
        return None
    return now + min(int(text) / 1e3, max_timeout_s)


def is_decimal(text: str, max_digits: int) -> bool:
    """Returns whether a text is a decimal number of at most `max_digits` ASCII digits."""
    # `isdigit` alone accepts characters that `int` rejects, such as a superscript two.
    return text.isascii() and text.isdigit() and len(text) <= max_digits


def _status_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
