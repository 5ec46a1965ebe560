"""A stand-in for the platform's store that implements its HTTP protocol and injects faults."""

from __future__ import annotations

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import frozen

from sequoiadrum.messages import Address

PAGE_SIZE: int = 3
"""Number of objects in one page of a list; small, so that tests read several pages."""


@frozen
class StoreCopy:
    """The state of the stand-in at one moment."""

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    history: list[tuple[int, str, dict[str, Any], bool]]


class StoreStandIn:
    """Stores objects by kind and name, with one revision counter, paged lists and watches."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._oldest_revision = 1
        self.status: int | None = None
        """Status of the response to every call; None serves the calls."""
        self.status_by_path: dict[str, int] = {}
        """Status of the response to calls of a path without its query."""
        self.is_unresponsive = False
        """Accepts calls and does not respond until the fault ends."""
        self.loses_responses = False
        """Executes calls, then closes the connection without a response."""
        self.drops_watch_events = False
        """Watches report no changes."""
        self.epoch = 1
        """Named in all responses; rises with each restore."""
        self.replaced_bytes: dict[bytes, bytes] = {}
        """Bytes that each response contains in place of others."""
        self.calls: list[tuple[str, str]] = []
        self._stale_objects: dict[str, dict[str, dict[str, Any]]] | None = None
        self._stale_revision = 0
        self.stopped = False
        outer = self

        class Handler(_Handler):
            store = outer

        self._server = _Server(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = Address("127.0.0.1", self._server.server_address[1])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Closes the listener and ends all waiting watches."""
        self.stopped = True
        with self._changed:
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; returns its revision."""
        with self._changed:
            self._revision += 1
            item = {
                "metadata": {"name": name, "revision": self._revision, "created": 1},
                "spec": spec,
                "status": None,
            }
            self._objects.setdefault(kind, {})[name] = item
            self._history.append((self._revision, kind, item, False))
            self._changed.notify_all()
            return self._revision

    def delete(self, kind: str, name: str) -> bool:
        """Deletes an object; returns False if it does not exist."""
        with self._changed:
            item = self._objects.get(kind, {}).pop(name, None)
            if item is None:
                return False
            self._revision += 1
            deleted = {**item, "metadata": {**item["metadata"], "revision": self._revision}}
            self._history.append((self._revision, kind, deleted, True))
            self._changed.notify_all()
            return True

    def forget_history(self) -> None:
        """Discards the history of changes; watches from an older revision end with an error."""
        with self._changed:
            self._oldest_revision = self._revision + 1
            self._history.clear()
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Returns a copy of the state, to which `restore` goes back."""
        with self._changed:
            objects = {kind: dict(items) for kind, items in self._objects.items()}
            return StoreCopy(self._revision, objects, list(self._history))

    def restore(self, copy: StoreCopy, written_again: tuple[str, ...] = ()) -> None:
        """Goes back to a copy; what was written since is lost, and its revisions are reused.

        Args:
            copy: The state to go back to.
            written_again: Kinds whose writers repeat at once what they wrote since.
        """
        with self._changed:
            lost = {kind: dict(self._objects.get(kind, {})) for kind in written_again}
            self.epoch += 1
            self._revision = copy.revision
            self._objects = {kind: dict(items) for kind, items in copy.objects.items()}
            self._history = list(copy.history)
            for kind, items in lost.items():
                restored = self._objects.get(kind, {})
                for name, item in items.items():
                    if restored.get(name) != item:
                        self.put(kind, name, item["spec"])
                for name in restored.keys() - items.keys():
                    self.delete(kind, name)
            self._changed.notify_all()

    def has(self, kind: str, name: str) -> bool:
        """Returns whether an object exists."""
        with self._changed:
            return name in self._objects.get(kind, {})

    def keep_stale_state(self) -> None:
        """Serves lists that may be stale from the state of this moment, until the stand-in ends."""
        with self._changed:
            self._stale_objects = {kind: dict(items) for kind, items in self._objects.items()}
            self._stale_revision = self._revision

    def list(self, kind: str, after: str, may_be_stale: bool = False) -> dict[str, Any]:
        """Returns the page of objects whose names sort after `after`."""
        with self._changed:
            objects, revision = self._objects, self._revision
            if may_be_stale and self._stale_objects is not None:
                objects, revision = self._stale_objects, self._stale_revision
            names = sorted(n for n in objects.get(kind, {}) if n > after)
            items = [objects[kind][n] for n in names[:PAGE_SIZE]]
            return {"items": items, "more": len(names) > PAGE_SIZE, "at": revision}

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns one object, or None if it does not exist."""
        with self._changed:
            return self._objects.get(kind, {}).get(name)

    def watch(self, kind: str, revision: int, wait_s: float) -> dict[str, Any] | None:
        """Waits for changes after a revision; returns None if its history is discarded."""
        wait_until = time.monotonic() + wait_s
        with self._changed:
            epoch = self.epoch
            while True:
                if revision + 1 < self._oldest_revision or revision > self._revision:
                    return None
                if self.epoch != epoch:
                    return {"events": [], "at": self._revision}
                events = [
                    {"object": item, "deleted": is_deleted}
                    for at, of_kind, item, is_deleted in self._history
                    if at > revision and of_kind == kind and not self.drops_watch_events
                ]
                left_s = wait_until - time.monotonic()
                if events or left_s <= 0 or self.stopped:
                    return {"events": events, "at": self._revision}
                self._changed.wait(left_s)


class _Server(ThreadingHTTPServer):
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores clients that disconnected; prints all other errors."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class _Handler(BaseHTTPRequestHandler):
    """Serves the HTTP calls of the store."""

    store: StoreStandIn
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self) -> None:
        """Lists, reads or watches objects."""
        kind, name, query = self._target()
        if not self._apply_faults():
            return
        if name:
            item = self.store.get(kind, name)
            self._respond(200 if item else 404, item or {"error": "not found"})
        elif "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1e3
            found = self.store.watch(kind, int(query["watch"]), wait_s)
            self._respond(200 if found else 410, found or {"error": "gone"})
        else:
            self._respond(
                200, self.store.list(kind, query.get("after", ""), "serializable" in query)
            )

    def do_POST(self) -> None:
        """Creates an object."""
        kind, _, _ = self._target()
        body = self._body()
        if not self._apply_faults():
            return
        name = body["metadata"]["name"]
        if self.store.has(kind, name):
            self._respond(409, self.store.get(kind, name))
            return
        self.store.put(kind, name, body["spec"])
        self._respond(201, self.store.get(kind, name))

    def do_PUT(self) -> None:
        """Replaces an object."""
        kind, name, _ = self._target()
        body = self._body()
        if not self._apply_faults():
            return
        if not self.store.has(kind, name):
            self._respond(404, {"error": "not found"})
            return
        self.store.put(kind, name, body["spec"])
        self._respond(200, self.store.get(kind, name))

    def do_DELETE(self) -> None:
        """Deletes an object."""
        kind, name, _ = self._target()
        if self._apply_faults():
            self._respond(200 if self.store.delete(kind, name) else 404, {})

    def log_message(self, *_: Any) -> None:
        """Suppresses the log of requests."""

    def _target(self) -> tuple[str, str, dict[str, str]]:
        parts = urlsplit(self.path)
        self.store.calls.append((self.command, self.path))
        words = [unquote(word) for word in parts.path.split("/")[2:]]
        # Names are bytes: those that are no UTF-8 must come back as they were sent.
        fields = parse_qs(parts.query, errors="surrogateescape")
        query = {key: values[0] for key, values in fields.items()}
        return words[0], words[1] if len(words) > 1 else "", query

    def _body(self) -> Any:
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def _apply_faults(self) -> bool:
        """Applies the current faults; returns whether the call is to be served."""
        while self.store.is_unresponsive and not self.store.stopped:
            time.sleep(0.02)
        status = self.store.status_by_path.get(self.path.split("?")[0], self.store.status)
        if status is not None:
            self._respond(status, {"error": "refused"})
            return False
        return True

    def _respond(self, status: int, document: Any) -> None:
        if self.store.loses_responses:
            self.close_connection = True
            return
        data = json.dumps(document).encode()
        for former, replacement in self.store.replaced_bytes.items():
            data = data.replace(former, replacement)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.store.epoch))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
