"""HTTP client of plain services."""

from __future__ import annotations

import time
from http.client import HTTPException
from typing import TYPE_CHECKING, Final

from sequoiadrum._http_pool import HttpPool
from sequoiadrum.service_client import (
    Answered,
    CallOutcome,
    MaybeSent,
    NotSent,
    ServiceClient,
    ServiceRequest,
)

if TYPE_CHECKING:
    import socket
    from http.client import HTTPConnection, HTTPResponse

    from sequoiadrum.messages import Address

_CONNECT_TIMEOUT_S: Final = 1.0
_READ_BYTES: Final = 65_536
MAX_RESPONSE_BYTES: Final = 4_000_000


class HttpServiceClient(ServiceClient):
    """Makes each call on a new connection.

    If a service closes a reused connection, it is not known whether the service had read the
    request. With a new connection, a failed connect proves that nothing was sent.
    """

    def __init__(self) -> None:
        self._pool = HttpPool(_CONNECT_TIMEOUT_S)

    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        """See `ServiceClient.call`."""
        deadline = time.monotonic() + timeout_s
        if timeout_s <= 0:
            return NotSent("deadline passed before sending")
        try:
            connection = self._pool.connect(address, min(timeout_s, _CONNECT_TIMEOUT_S))
        except OSError as error:
            return NotSent(type(error).__name__)
        try:
            return _exchange(connection, request, deadline)
        except (OSError, HTTPException) as error:
            return MaybeSent(type(error).__name__)
        finally:
            connection.close()


def _exchange(connection: HTTPConnection, request: ServiceRequest, deadline: float) -> CallOutcome:
    try:
        _put_headers(connection, request)
    except (HTTPException, ValueError) as error:
        # `http.client` buffers the request line and headers until `endheaders`: nothing was sent.
        return NotSent(f"request cannot be encoded: {type(error).__name__}")
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        return NotSent("deadline passed before sending")
    # `getresponse` resets `connection.sock` if the connection will be closed after the response.
    sock = connection.sock
    sock.settimeout(remaining_s)
    connection.endheaders(request.body)
    response = connection.getresponse()
    if response.status < 200:
        return MaybeSent("interim answer")
    lengths = set(response.headers.get_all("Content-Length", []))
    if len(lengths) > 1 or not (response.chunked or response.length is not None):
        # Only the end of the connection then ends the body, so a truncated body looks complete.
        return MaybeSent("answer without a length")
    body = _read_body(sock, response, deadline)
    if body is None:
        return MaybeSent("answer too large, too late or cut off")
    content_type = response.getheader("Content-Type") or "application/octet-stream"
    return Answered(response.status, content_type, body)


def _put_headers(connection: HTTPConnection, request: ServiceRequest) -> None:
    connection.putrequest(request.method, request.path)
    connection.putheader("Content-Type", request.content_type)
    connection.putheader("Content-Length", str(len(request.body)))
    connection.putheader("Connection", "close")
    if request.idempotency_key:
        connection.putheader("Idempotency-Key", request.idempotency_key)


def _read_body(sock: socket.socket, response: HTTPResponse, deadline: float) -> bytes | None:
    """Reads a chunked body or one of known length.

    Returns:
        The body; None if it is incomplete, larger than `MAX_RESPONSE_BYTES` or too late.

    Raises:
        OSError, HTTPException: The connection failed or timed out, or a chunk is incomplete.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0 or size > MAX_RESPONSE_BYTES:
            return None
        # A socket timeout applies to each read alone, so the remaining time is set before each one.
        sock.settimeout(remaining_s)
        chunk = response.read1(_READ_BYTES) if response.chunked or response.length else b""
        if not chunk:
            is_complete = response.chunked or response.length == 0
            return b"".join(chunks) if is_complete else None
        chunks.append(chunk)
        size += len(chunk)
