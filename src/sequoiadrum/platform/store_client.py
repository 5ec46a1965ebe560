"""HTTP client of the platform's store."""

from __future__ import annotations

import http.client
import json
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum import field_values as values
from sequoiadrum._http_response import StrictResponse
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
from sequoiadrum.logs import LineLimit, get_logger
from sequoiadrum.platform import lenient_json

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
        self._line_limit = LineLimit()

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
                objects = _array(document, "items")
                page = [self._decode_item(kind, entry, epoch) for entry in objects]
                revision = _revision(document) if revision is None else revision
            except ValueError as error:
                return self._malformed_failure(kind, error)
            items += [item for item in page if item is not None]
            if not document.get("more") or not objects:
                return Success(StoredPage(tuple(items), revision, epoch))
            last = next(filter(None, map(_name, reversed(objects))), after)
            if last == after:
                return self._malformed_failure(kind, ValueError("a page names no object"))
            after = last
        return self._malformed_failure(kind, ValueError("the list has too many pages"))

    def get(self, kind: str, name: str) -> Result[StoredItem, StoreFailure]:
        """See `Store.get`."""
        result = self._call("GET", _object_path(kind, name), None, CALL_TIMEOUT_S)
        if isinstance(result, Failure):
            return result
        response = result.unwrap()
        item = self._decode_item(kind, response.document, response.epoch)
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
            changes = _array(document, "events")
            at = _revision(document)
        except ValueError as error:
            return self._malformed_failure(kind, error)
        events = []
        for change in changes:
            fields = change if isinstance(change, dict) else {}
            item = self._decode_item(kind, fields.get("object"), epoch)
            if item is not None:
                events.append(StoreEvent(item, bool(fields.get("deleted"))))
        return Success(WatchResult(tuple(events), at, epoch))

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
            # A document shows its own end; an empty body does not.
            if isinstance(response, StrictResponse) and response.ends_with_connection and not raw:
                raise http.client.HTTPException("the connection ended without a body")
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
            epoch = values.whole_number(int(response.getheader(_EPOCH_HEADER, "0")))
            document = lenient_json.loads(raw) if raw else None
            return Success(_Response(response.status, document, epoch))
        except ValueError as error:
            return self._malformed_failure(path, error)

    def _thread_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        """Returns the connection of the calling thread; connects if it is closed."""
        connection = getattr(self._local, "connection", None)
        if connection is None or connection.sock is None:
            connection = http.client.HTTPConnection(self._address.host, self._address.port)
            connection.response_class = StrictResponse
            connection.sock = connect_stream(self._address, CALL_TIMEOUT_S)
            self._local.connection = connection
        connection.sock.settimeout(timeout_s)
        return connection

    def _close_connection(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()

    def _decode_item(self, kind: str, document: Any, epoch: int) -> StoredItem | None:
        """Decodes one object; returns None if its name cannot be used.

        An object whose revision or content cannot be read has no document: it exists, so that a
        list that includes it does not show it as removed.
        """
        try:
            name = values.name(_name(document))
        except ValueError as error:
            self._record_unreadable(kind, "", str(error))
            return None
        content = document.get("spec")
        try:
            revision = values.whole_number(_metadata(document).get("revision"))
        except ValueError as error:
            self._record_unreadable(kind, name, str(error))
            return StoredItem(name, 0, None, epoch)
        if content is lenient_json.UNREADABLE or not values.is_readable(content):
            self._record_unreadable(kind, name, "the content cannot be read")
            content = None
        return StoredItem(name, revision, content, epoch)

    def _record_unreadable(self, kind: str, name: str, detail: str) -> None:
        self._metrics.count("unreadable_objects_total", kind=kind)
        if self._line_limit.allows():
            _log.warning("store_object_unreadable", kind=kind, name=name, detail=detail)

    def _malformed_failure(self, what: str, error: Exception) -> Result[Any, StoreFailure]:
        """Logs and counts a malformed response; returns the failure."""
        _log.warning("store_response_malformed", what=what, error=repr(error)[:200])
        self._metrics.count("store_calls_total", outcome="malformed")
        return Failure(StoreFailure.MALFORMED)


def _object_path(kind: str, name: str = "", query: dict[str, str] | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    if name:
        path += f"/{_quoted(name)}"
    if not query:
        return path
    return f"{path}?" + "&".join(f"{key}={_quoted(value)}" for key, value in query.items())


def _quoted(text: str) -> str:
    """Quotes a text for a path or query; lone surrogates become the bytes that they stand for."""
    try:
        return quote(text, safe="", errors="surrogateescape")
    except UnicodeEncodeError:
        return quote(text, safe="", errors="surrogatepass")


def _array(document: Any, field: str) -> list[Any]:
    entries = document.get(field) if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f"the response has no list of {field}")
    return entries


def _revision(document: dict[str, Any]) -> int:
    return values.whole_number(document.get("at"))


def _metadata(document: Any) -> dict[str, Any]:
    metadata = document.get("metadata") if isinstance(document, dict) else None
    return metadata if isinstance(metadata, dict) else {}


def _name(document: Any) -> str | None:
    """Returns the name of an object, even if it cannot be used; None if it has none."""
    name = _metadata(document).get("name")
    return name if isinstance(name, str) else None
