"""HTTP wire form of plain services."""

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
    from http.client import HTTPConnection

    from sequoiadrum.messages import Address

_CONNECT_TIMEOUT_S: Final = 1.0
MAX_ANSWER_BYTES: Final = 4_000_000


class HttpServiceClient(ServiceClient):
    """Makes each call on a connection of its own.

    A pooled connection may have been closed by the service, and then it is not known whether the
    request was read; with a fresh one, a failed connect proves that nothing was sent.
    """

    def __init__(self) -> None:
        self._pool = HttpPool(_CONNECT_TIMEOUT_S)

    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        """See `ServiceClient.call`."""
        started = time.monotonic()
        try:
            connection = self._pool.connect(address, min(timeout_s, _CONNECT_TIMEOUT_S))
        except OSError as error:
            return NotSent(type(error).__name__)
        remaining_s = timeout_s - (time.monotonic() - started)
        if remaining_s <= 0:
            connection.close()
            return NotSent("deadline passed before sending")
        try:
            connection.sock.settimeout(remaining_s)
            return self._exchange(connection, request)
        except (OSError, HTTPException) as error:
            return MaybeSent(type(error).__name__)
        finally:
            connection.close()

    def _exchange(self, connection: HTTPConnection, request: ServiceRequest) -> CallOutcome:
        headers = {"Content-Type": request.content_type, "Connection": "close"}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        connection.request(request.method, request.path, request.body, headers)
        response = connection.getresponse()
        # `read` raises IncompleteRead when the connection ends before Content-Length.
        body = response.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            return MaybeSent("answer too large")
        if response.length:
            return MaybeSent("answer cut off")
        content_type = response.getheader("Content-Type") or "application/octet-stream"
        return Answered(response.status, content_type, body)
