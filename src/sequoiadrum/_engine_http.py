"""HTTP protocol of the model engines.

`POST /v1/chat/completions` starts a stream of server-sent events that ends with `data: [DONE]`.
Each event holds one token and has the token offset as its `id`; the headers of the response are
sent before the first token. `X-Request-Id`, `X-Chat-Id` and `X-Priority` are the stream, the chat
and the priority, and `X-Deadline-Ms` is the time in milliseconds after which the response is no
longer needed.

`GET /v1/streams/ID?offset=N` attaches to a stream again, `POST /v1/streams/ID/cancel` cancels it,
`GET /load` reports the load, `POST /kv/import` fetches the KV cache of a chat from another engine
and `POST /orders` applies an order.
"""

from __future__ import annotations

import json
import time
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from sequoiadrum._http_pool import HttpPool, read_framed_body
from sequoiadrum._sse import SseReader
from sequoiadrum.engine_client import EngineClient, EngineFailure, EngineOrder, EngineStream
from sequoiadrum.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sequoiadrum.messages import Address, ChatRequest, StreamEvent

_HEADERS_TIMEOUT_S: Final = 5.0
"""An engine sends the headers as soon as it has accepted a request; after this time it is hung."""
_FAILURES_BY_STATUS: Final = {
    404: EngineFailure.LOST,
    409: EngineFailure.STALE_FENCE,
    410: EngineFailure.LOST,
    429: EngineFailure.BUSY,
    503: EngineFailure.BUSY,
}


class HttpEngineClient(EngineClient):
    """Calls engines with `http.client` on pooled connections."""

    def __init__(self, timeout_s: float, stream_timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._stream_timeout_s = stream_timeout_s
        self._pool = HttpPool(timeout_s)

    def open(self, address: Address, request: ChatRequest) -> Result[EngineStream, EngineFailure]:
        """See `EngineClient.open`."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Chat-Id": request.chat_id,
            "X-Priority": str(request.priority),
        }
        timeout_s = _HEADERS_TIMEOUT_S
        if request.deadline:
            remaining_s = max(0.001, request.deadline - time.monotonic())
            headers["X-Deadline-Ms"] = str(int(remaining_s * 1e3))
            timeout_s = min(timeout_s, remaining_s)
        path = "/v1/chat/completions"
        return self._open_stream(address, "POST", path, request.body, headers, timeout_s)

    def resume(
        self, address: Address, request_id: str, offset: int
    ) -> Result[EngineStream, EngineFailure]:
        """See `EngineClient.resume`."""
        path = f"/v1/streams/{quote(request_id, safe='')}?offset={offset}"
        return self._open_stream(address, "GET", path, None, {}, self._timeout_s)

    def cancel(
        self, address: Address, request_id: str, if_unattached: bool
    ) -> Result[None, EngineFailure]:
        """See `EngineClient.cancel`."""
        path = f"/v1/streams/{quote(request_id, safe='')}/cancel"
        result = self._call(address, "POST", path, {"if_unattached": if_unattached})
        return result.map(lambda _: None)

    def load(self, address: Address) -> Result[LoadReport, EngineFailure]:
        """See `EngineClient.load`."""
        return self._call(address, "GET", "/load").map(
            lambda d: LoadReport(
                float(d["in_flight"]), bool(d.get("leaving", False)), tuple(d.get("models", ()))
            )
        )

    def import_kv(
        self, address: Address, chat_id: str, source: Address, timeout_s: float | None = None
    ) -> Result[int, EngineFailure]:
        """See `EngineClient.import_kv`."""
        document = {"chat_id": chat_id, "host": source.host, "port": source.port}
        result = self._call(address, "POST", "/kv/import", document, timeout_s)
        return result.bind(_parse_prefix_tokens)

    def order(self, address: Address, order: EngineOrder) -> Result[None, EngineFailure]:
        """See `EngineClient.order`."""
        document = {
            "order_id": order.order_id,
            "action": order.action,
            "argument": order.argument,
            "fencing_number": order.fencing_number,
        }
        return self._call(address, "POST", "/orders", document).map(lambda _: None)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _open_stream(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Result[EngineStream, EngineFailure]:
        try:
            connection = self._pool.acquire_connection(address, min(timeout_s, self._timeout_s))
        except OSError:
            return Failure(EngineFailure.UNREACHABLE)
        try:
            # `getresponse` drops the reference to the socket if the connection ends with the
            # response.
            body_socket = connection.sock
            body_socket.settimeout(timeout_s)
            connection.request(method, path, body=body, headers=dict(headers))
            response = connection.getresponse()
        except (OSError, HTTPException):
            connection.close()
            return Failure(EngineFailure.BROKEN)
        if response.status != 200:
            connection.close()
            return Failure(_FAILURES_BY_STATUS.get(response.status, EngineFailure.REJECTED))
        try:
            reader = SseReader(body_socket, response)
        except (OSError, ValueError):
            connection.close()
            return Failure(EngineFailure.BROKEN)
        return Success(
            _HttpEngineStream(
                self._pool, address, connection, response, reader, self._stream_timeout_s
            )
        )

    def _call(
        self,
        address: Address,
        method: str,
        path: str,
        document: object = None,
        timeout_s: float | None = None,
    ) -> Result[dict[str, Any], EngineFailure]:
        body = None if document is None else json.dumps(document)
        try:
            connection = self._pool.acquire_connection(address, timeout_s)
        except OSError:
            return Failure(EngineFailure.UNREACHABLE)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            response_body = read_framed_body(response)
        except (OSError, HTTPException):
            connection.close()
            return Failure(EngineFailure.BROKEN)
        self._pool.release_connection(address, connection, response)
        if response.status >= 300:
            return Failure(_FAILURES_BY_STATUS.get(response.status, EngineFailure.REJECTED))
        try:
            return Success(json.loads(response_body or b"{}"))
        except ValueError:
            return Failure(EngineFailure.REJECTED)


class _HttpEngineStream(EngineStream):
    """The server-sent events of one HTTP response."""

    def __init__(
        self,
        pool: HttpPool,
        address: Address,
        connection: HTTPConnection,
        response: HTTPResponse,
        reader: SseReader,
        idle_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._reader = reader
        self._idle_timeout_s = idle_timeout_s
        self._last_read = time.monotonic()
        self._closed = False

    def read(
        self, timeout_s: float, linger_s: float = 0.0
    ) -> Result[Sequence[StreamEvent], EngineFailure]:
        """See `EngineStream.read`."""
        try:
            events = self._reader.read(timeout_s, linger_s)
        except TimeoutError:
            idle_s = time.monotonic() - self._last_read
            is_hung = idle_s > self._idle_timeout_s
            return Failure(EngineFailure.BROKEN if is_hung else EngineFailure.TIMED_OUT)
        except (OSError, ValueError):
            return Failure(EngineFailure.BROKEN)
        self._last_read = time.monotonic()
        return Success(events)

    def close(self) -> None:
        """See `EngineStream.close`."""
        if self._closed:
            return
        self._closed = True
        if self._reader.done:
            self._reader.read_tail()
        self._response.close()
        if self._reader.is_complete:
            self._pool.release_connection(self._address, self._connection, self._response)
        else:
            self._connection.close()


def _parse_prefix_tokens(document: dict[str, Any]) -> Result[int, EngineFailure]:
    tokens = document.get("tokens")
    return Success(tokens) if isinstance(tokens, int) else Failure(EngineFailure.REJECTED)
