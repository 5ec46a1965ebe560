"""Calls of the platform's store."""

from __future__ import annotations

import http.client
import json
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote, urlencode

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum.gateway import clock
from sequoiadrum.gateway._sockets import connect_stream
from sequoiadrum.gateway.model import (
    StoredItem,
    StoredPage,
    StoreEvent,
    StoreFailure,
    WatchResult,
)
from sequoiadrum.gateway.ports import Store
from sequoiadrum.logs import get_logger

if TYPE_CHECKING:
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

CALL_TIMEOUT_S: Final = 1.0
"""Time for an answer; the store needs 4 ms on a calm day and 0.25 s on a slow one."""
WATCH_SLACK_S: Final = 1.0
"""Time beyond the wait of a watch after which its connection is taken as silent."""
_MAX_PAGES: Final = 200
"""A list of more pages is given up as malformed; 100,000 objects fit."""

_FAILURE_BY_STATUS: Final[dict[int, StoreFailure]] = {
    HTTPStatus.NOT_FOUND: StoreFailure.NOT_FOUND,
    HTTPStatus.CONFLICT: StoreFailure.CONFLICT,
    HTTPStatus.GONE: StoreFailure.HISTORY_GONE,
    HTTPStatus.TOO_MANY_REQUESTS: StoreFailure.RATE_LIMITED,
    HTTPStatus.SERVICE_UNAVAILABLE: StoreFailure.UNAVAILABLE,
}

_log = get_logger(__name__)


@frozen
class _Reply:
    status: int
    document: Any


class HttpStore(Store):
    """Keeps one connection for each thread that makes calls."""

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._local = threading.local()

    def list(self, kind: str) -> Result[StoredPage, StoreFailure]:
        """See `Store.list`."""
        items: list[StoredItem] = []
        after = ""
        # The first page's revision: later changes are seen by the watch that starts there.
        revision: int | None = None
        for _ in range(_MAX_PAGES):
            query = {"after": after} if after else {}
            result = self._call("GET", _path(kind, query=query), None, CALL_TIMEOUT_S)
            if isinstance(result, Failure):
                return result
            document = result.unwrap().document
            try:
                page = [_item(entry) for entry in document["items"]]
                revision = int(document["at"]) if revision is None else revision
                items += [item for item in page if item is not None]
                if not document.get("more") or not document["items"]:
                    return Success(StoredPage(tuple(items), revision))
                after = str(document["items"][-1]["metadata"]["name"])
            except (KeyError, TypeError, ValueError) as error:
                return self._malformed(kind, error)
        return self._malformed(kind, ValueError("too many pages"))

    def get(self, kind: str, name: str) -> Result[StoredItem, StoreFailure]:
        """See `Store.get`."""
        result = self._call("GET", _path(kind, name), None, CALL_TIMEOUT_S)
        if isinstance(result, Failure):
            return result
        item = _item(result.unwrap().document)
        return self._malformed(kind, ValueError(name)) if item is None else Success(item)

    def watch(self, kind: str, revision: int, wait_s: float) -> Result[WatchResult, StoreFailure]:
        """See `Store.watch`."""
        path = _path(kind, query={"watch": str(revision), "wait_ms": str(int(wait_s * 1e3))})
        result = self._call("GET", path, None, wait_s + WATCH_SLACK_S)
        if isinstance(result, Failure):
            return result
        document = result.unwrap().document
        try:
            events = []
            for entry in document["events"]:
                item = _item(entry["object"])
                if item is not None:
                    events.append(StoreEvent(item, bool(entry.get("deleted"))))
            return Success(WatchResult(tuple(events), int(document["at"])))
        except (KeyError, TypeError, ValueError) as error:
            return self._malformed(kind, error)

    def create(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """See `Store.create`."""
        body = {"metadata": {"name": name}, "spec": document}
        return self._call("POST", _path(kind), body, CALL_TIMEOUT_S).map(lambda _: None)

    def replace(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """See `Store.replace`."""
        body = {"metadata": {"name": name}, "spec": document}
        return self._call("PUT", _path(kind, name), body, CALL_TIMEOUT_S).map(lambda _: None)

    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """See `Store.delete`."""
        return self._call("DELETE", _path(kind, name), None, CALL_TIMEOUT_S).map(lambda _: None)

    def _call(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> Result[_Reply, StoreFailure]:
        started = clock.now()
        try:
            connection = self._connection(timeout_s)
            payload = None if body is None else json.dumps(body).encode()
            headers = {} if payload is None else {"Content-Type": "application/json"}
            connection.request(method, path, payload, headers)
            response = connection.getresponse()
            raw = response.read()
            if response.will_close:
                self._close()
        except (OSError, http.client.HTTPException) as error:
            # An answer that comes late would be taken for that of the next call.
            self._close()
            self._metrics.count("store_calls_total", outcome="unreachable")
            _log.debug("store_call_failed", path=path, error=repr(error)[:200])
            return Failure(StoreFailure.UNREACHABLE)
        self._metrics.record_seconds("store_call_seconds", clock.now() - started)
        self._metrics.count("store_calls_total", outcome=str(response.status))
        if response.status >= HTTPStatus.BAD_REQUEST:
            return Failure(_FAILURE_BY_STATUS.get(response.status, StoreFailure.MALFORMED))
        try:
            return Success(_Reply(response.status, json.loads(raw) if raw else None))
        except ValueError as error:
            return self._malformed(path, error)

    def _connection(self, timeout_s: float) -> http.client.HTTPConnection:
        connection = getattr(self._local, "connection", None)
        if connection is None or connection.sock is None:
            connection = http.client.HTTPConnection(self._address.host, self._address.port)
            connection.sock = connect_stream(self._address, CALL_TIMEOUT_S)
            self._local.connection = connection
        connection.sock.settimeout(timeout_s)
        return connection

    def _close(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()

    def _malformed(self, what: str, error: Exception) -> Result[Any, StoreFailure]:
        _log.warning("store_answer_malformed", what=what, error=repr(error)[:200])
        self._metrics.count("store_calls_total", outcome="malformed")
        return Failure(StoreFailure.MALFORMED)


def _path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    if name:
        path += f"/{quote(name, safe='')}"
    return f"{path}?{urlencode(query)}" if query else path


def _item(document: Any) -> StoredItem | None:
    """Reads one object; None when it has no name or revision."""
    try:
        metadata = document["metadata"]
        return StoredItem(str(metadata["name"]), int(metadata["revision"]), document.get("spec"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _log.warning("store_object_malformed", error=repr(error)[:200])
        return None
