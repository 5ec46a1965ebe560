"""HTTP wire form of the model engines.

`POST /v1/chat/completions` streams server-sent events whose `id` is the token offset and ends with
`data: [DONE]`; `X-Request-Id`, `X-Chat-Id` and `X-Priority` name the stream, the chat and the
priority. `GET /v1/streams/ID?offset=N` attaches again, `POST /v1/streams/ID/cancel` cancels,
`GET /load` reports load, `POST /kv/import` fetches a chat's KV cache from another engine and
`POST /orders` takes an order.
"""

from __future__ import annotations

import json
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from sequoiadrum._http_pool import HttpPool
from sequoiadrum.engine_client import EngineClient, EngineFailure, EngineOrder, EngineStream
from sequoiadrum.messages import LoadReport, StreamEvent

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sequoiadrum.messages import Address, ChatRequest

_READ_BYTES: Final = 65_536
_DONE: Final = b"[DONE]"
_FAILURES_BY_STATUS: Final = {
    404: EngineFailure.LOST,
    409: EngineFailure.STALE_FENCE,
    410: EngineFailure.LOST,
    429: EngineFailure.BUSY,
    503: EngineFailure.BUSY,
}


class HttpEngineClient(EngineClient):
    """Talks to engines over `http.client`."""

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
        return self._stream(address, "POST", "/v1/chat/completions", request.body, headers)

    def resume(
        self, address: Address, request_id: str, offset: int
    ) -> Result[EngineStream, EngineFailure]:
        """See `EngineClient.resume`."""
        path = f"/v1/streams/{quote(request_id, safe='')}?offset={offset}"
        return self._stream(address, "GET", path, None, {})

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
        self, address: Address, chat_id: str, source: Address
    ) -> Result[int, EngineFailure]:
        """See `EngineClient.import_kv`."""
        document = {"chat_id": chat_id, "host": source.host, "port": source.port}
        return self._call(address, "POST", "/kv/import", document).map(lambda d: int(d["tokens"]))

    def order(self, address: Address, order: EngineOrder) -> Result[None, EngineFailure]:
        """See `EngineClient.order`."""
        document = {
            "order_id": order.order_id,
            "action": order.action,
            "argument": order.argument,
            "fencing_number": order.fencing_number,
        }
        return self._call(address, "POST", "/orders", document).map(lambda _: None)

    def _stream(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> Result[EngineStream, EngineFailure]:
        try:
            connection = self._pool.borrow(address)
        except OSError:
            return Failure(EngineFailure.UNREACHABLE)
        try:
            connection.sock.settimeout(self._stream_timeout_s)
            connection.request(method, path, body=body, headers=dict(headers))
            response = connection.getresponse()
        except (OSError, HTTPException):
            connection.close()
            return Failure(EngineFailure.BROKEN)
        if response.status != 200:
            connection.close()
            return Failure(_FAILURES_BY_STATUS.get(response.status, EngineFailure.REJECTED))
        return Success(_HttpEngineStream(self._pool, address, connection, response))

    def _call(
        self, address: Address, method: str, path: str, document: object = None
    ) -> Result[dict[str, Any], EngineFailure]:
        body = None if document is None else json.dumps(document)
        try:
            connection = self._pool.borrow(address)
        except OSError:
            return Failure(EngineFailure.UNREACHABLE)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.read()
        except (OSError, HTTPException):
            connection.close()
            return Failure(EngineFailure.BROKEN)
        self._pool.give_back(address, connection, response)
        if response.status >= 300:
            return Failure(_FAILURES_BY_STATUS.get(response.status, EngineFailure.REJECTED))
        try:
            return Success(json.loads(answer or b"{}"))
        except ValueError:
            return Failure(EngineFailure.REJECTED)


class _HttpEngineStream(EngineStream):
    """Parses the server-sent events of one response."""

    def __init__(
        self,
        pool: HttpPool,
        address: Address,
        connection: HTTPConnection,
        response: HTTPResponse,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._rest = b""
        self._done = False
        self._closed = False

    def read(self) -> Result[Sequence[StreamEvent], EngineFailure]:
        """See `EngineStream.read`."""
        events: list[StreamEvent] = []
        while not events and not self._done:
            try:
                chunk = self._response.read1(_READ_BYTES)
            except (OSError, HTTPException):
                return Failure(EngineFailure.BROKEN)
            if not chunk:
                # The response ended without `[DONE]`: the answer is not whole.
                return Failure(EngineFailure.BROKEN)
            try:
                self._parse(chunk, events)
            except (ValueError, IndexError):
                return Failure(EngineFailure.REJECTED)
        return Success(events)

    def close(self) -> None:
        """See `EngineStream.close`."""
        if self._closed:
            return
        self._closed = True
        if self._done and not self._response.isclosed():
            self._read_tail()
        self._pool.give_back(self._address, self._connection, self._response)

    def _read_tail(self) -> None:
        try:
            self._response.read()
        except (OSError, HTTPException):
            self._connection.close()

    def _parse(self, chunk: bytes, events: list[StreamEvent]) -> None:
        *blocks, self._rest = (self._rest + chunk).split(b"\n\n")
        for block in blocks:
            lines = block.split(b"\n")
            data = lines[-1].removeprefix(b"data: ")
            if data == _DONE:
                self._done = True
            else:
                events.append(StreamEvent(int(lines[0].removeprefix(b"id: ")), data))
