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

    StartResponse = Callable[[str, list[tuple[str, str]]], object]

_STATUS_BY_REASON: Final = {
    RefusalReason.ACCOUNT_LIMIT: 429,
    RefusalReason.ACCOUNT_UNKNOWN: 403,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CRASHES_ENDPOINTS: 422,
    RefusalReason.DEADLINE: 504,
    RefusalReason.ENDPOINT_FAILED: 502,
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


def refusal_document(refusal: Refusal) -> dict[str, Any]:
    """Gives the typed error that callers see."""
    return {
        "error": {
            "type": refusal.reason.value,
            "message": refusal.detail or refusal.reason.value.replace("_", " "),
            "ran": {True: "yes", False: "no", None: "unknown"}[refusal.ran],
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def respond_refusal(start_response: StartResponse, refusal: Refusal) -> list[bytes]:
    """Sends a typed JSON error."""
    headers = []
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000)))))
    status = _STATUS_BY_REASON.get(refusal.reason, 503)
    return respond_json(start_response, status, refusal_document(refusal), headers)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
