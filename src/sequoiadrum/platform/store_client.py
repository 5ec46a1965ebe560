"""HTTP client of the platform's store."""

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
"""Timeout of a call; the store responds in 4 ms normally, and in 0.25 s when it is slow."""
WATCH_SLACK_S: Final = 1.0
"""Time beyond the wait of a watch after which its connection counts as unresponsive."""
_EPOCH_HEADER: Final = "Store-Era"
_MAX_PAGES: Final = 200
"""A list with more pages is rejected as malformed; 100,000 objects fit into this many."""

_FAILURE_BY_STATUS: Final[dict[int, StoreFailure]] = {
    HTTPStatus.NOT_FOUND: StoreFailure.NOT_FOUND,
    HTTPStatus.CONFLICT: StoreFailure.CONFLICT,
    HTTPStatus.GONE: StoreFailure.HISTORY_GONE,
    HTTPStatus.TOO_MANY_REQUESTS: StoreFailure.RATE_LIMITED,
    HTTPStatus.SERVICE_UNAVAILABLE: StoreFailure.UNAVAILABLE,
}

_log = get_logger(__name__)


@frozen
class _Response:
    status: int
    document: Any
    epoch: int


class HttpStore(Store):
    """Calls the store over one persistent connection for each calling thread."""

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._local = threading.local()

    def list(self, kind: str, may_be_stale: bool = False) -> Result[StoredPage, StoreFailure]:
        """See `Store.list`."""
        items: list[StoredItem] = []
        after = ""
        # The revision of the first page: a watch from there also sees changes to the later pages.
        revision: int | None = None
        epoch = 0
        for _ in range(_MAX_PAGES):
            query = {"after": after} if after else {}
            if may_be_stale:
                query["serializable"] = "1"
            result = self._call("GET", _object_path(kind, query=query), None, CALL_TIMEOUT_S)
            if isinstance(result, Failure):
                return result
            response = result.unwrap()
            if revision is not None and response.epoch != epoch:
                # The store was restored between two pages, which therefore do not fit together.
                items, after, revision = [], "", None
                continue
            document, epoch = response.document, response.epoch
            try:
                page = [_decode_item(entry, epoch) for entry in document["items"]]
                revision = int(document["at"]) if revision is None else revision
                items += [item for item in page if item is not None]
                if not document.get("more") or not document["items"]:
                    return Success(StoredPage(tuple(items), revision, epoch))
                after = str(document["items"][-1]["metadata"]["name"])
            except (KeyError, TypeError, ValueError) as error:
                return self._malformed_failure(kind, error)
        return self._malformed_failure(kind, ValueError("the list has too many pages"))

    def get(self, kind: str, name: str) -> Result[StoredItem, StoreFailure]:
        """See `Store.get`."""
        result = self._call("GET", _object_path(kind, name), None, CALL_TIMEOUT_S)
        if isinstance(result, Failure):
            return result
        response = result.unwrap()
        item = _decode_item(response.document, response.epoch)
        return self._malformed_failure(kind, ValueError(name)) if item is None else Success(item)

    def watch(self, kind: str, revision: int, wait_s: float) -> Result[WatchResult, StoreFailure]:
        """See `Store.watch`."""
        path = _object_path(kind, query={"watch": str(revision), "wait_ms": str(int(wait_s * 1e3))})
        result = self._call("GET", path, None, wait_s + WATCH_SLACK_S)
        if isinstance(result, Failure):
            return result
        response = result.unwrap()
        document, epoch = response.document, response.epoch
        try:
            events = []
            for entry in document["events"]:
                item = _decode_item(entry["object"], epoch)
                if item is not None:
                    events.append(StoreEvent(item, bool(entry.get("deleted"))))
            return Success(WatchResult(tuple(events), int(document["at"]), epoch))
        except (KeyError, TypeError, ValueError) as error:
            return self._malformed_failure(kind, error)

    def create(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """See `Store.create`."""
        body = {"metadata": {"name": name}, "spec": document}
        return self._call("POST", _object_path(kind), body, CALL_TIMEOUT_S).map(lambda _: None)

    def replace(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """See `Store.replace`."""
        body = {"metadata": {"name": name}, "spec": document}
        return self._call("PUT", _object_path(kind, name), body, CALL_TIMEOUT_S).map(lambda _: None)

    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """See `Store.delete`."""
        return self._call("DELETE", _object_path(kind, name), None, CALL_TIMEOUT_S).map(
            lambda _: None
        )

    def _call(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> Result[_Response, StoreFailure]:
        started = clock.now()
        try:
            connection = self._thread_connection(timeout_s)
            payload = None if body is None else json.dumps(body).encode()
            headers = {} if payload is None else {"Content-Type": "application/json"}
            connection.request(method, path, payload, headers)
            response = connection.getresponse()
            raw = response.read()
            if response.will_close:
                self._close_connection()
        except (OSError, http.client.HTTPException) as error:
            # A late response on this connection would be read as the response to the next call.
            self._close_connection()
            self._metrics.count("store_calls_total", outcome="unreachable")
            _log.debug("store_call_failed", path=path, error=repr(error)[:200])
            return Failure(StoreFailure.UNREACHABLE)
        self._metrics.record_seconds("store_call_seconds", clock.now() - started)
        self._metrics.count("store_calls_total", outcome=str(response.status))
        if response.status >= HTTPStatus.BAD_REQUEST:
            return Failure(_FAILURE_BY_STATUS.get(response.status, StoreFailure.MALFORMED))
        try:
            epoch = int(response.getheader(_EPOCH_HEADER, "0"))
            return Success(_Response(response.status, json.loads(raw) if raw else None, epoch))
        except ValueError as error:
            return self._malformed_failure(path, error)

    def _thread_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        """Returns the connection of the calling thread; connects if it is closed."""
        connection = getattr(self._local, "connection", None)
        if connection is None or connection.sock is None:
            connection = http.client.HTTPConnection(self._address.host, self._address.port)
            connection.sock = connect_stream(self._address, CALL_TIMEOUT_S)
            self._local.connection = connection
        connection.sock.settimeout(timeout_s)
        return connection

    def _close_connection(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()

    def _malformed_failure(self, what: str, error: Exception) -> Result[Any, StoreFailure]:
        """Logs and counts a malformed response; returns the failure."""
        _log.warning("store_response_malformed", what=what, error=repr(error)[:200])
        self._metrics.count("store_calls_total", outcome="malformed")
        return Failure(StoreFailure.MALFORMED)


def _object_path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    if name:
        path += f"/{quote(name, safe='')}"
    return f"{path}?{urlencode(query)}" if query else path


def _decode_item(document: Any, epoch: int) -> StoredItem | None:
    """Decodes one object; returns None if its name or revision is missing or malformed."""
    try:
        metadata = document["metadata"]
        name, revision = str(metadata["name"]), int(metadata["revision"])
        return StoredItem(name, revision, document.get("spec"), epoch)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _log.warning("store_object_malformed", error=repr(error)[:200])
        return None
