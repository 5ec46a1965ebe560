"""A stand-in of the platform's metadata store, as PROTOCOL describes it."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000


class Store:
    """Objects by kind and name, one revision counter, lists, watches and conditional writes."""

    def __init__(self, host: str) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 10
        self._stopped = False
        store = self

        class Handler(_Handler):
            pass

        Handler.store = store
        self._server = _Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Ends all watches and closes the listener."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Creates or replaces an object, as the operator or a runner does; returns its revision.

        The write is acknowledged when this returns.
        """
        with self._changed:
            known = self._objects.get(kind, {}).get(name)
            if known is not None and known["spec"] == spec:
                return int(known["metadata"]["revision"])
            return self._store(kind, name, {"spec": spec}, known)

    def remove(self, kind: str, name: str) -> bool:
        """Removes an object; returns False if there is none."""
        with self._changed:
            known = self._objects.get(kind, {}).pop(name, None)
            if known is None:
                return False
            self._revision += 1
            self._history.append((self._revision, kind, known, True))
            self._changed.notify_all()
            return True

    def handle(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Executes a call; returns the status and the document of the response."""
        parts = urlsplit(target)
        words = [unquote(word) for word in parts.path.split("/")[1:]]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if len(words) < 2 or words[0] != "objects":
            return 404, {"error": "no such path"}
        kind, name = words[1], words[2] if len(words) > 2 else ""
        if method == "GET" and name:
            with self._changed:
                found = self._objects.get(kind, {}).get(name)
            return (200, found) if found else (404, {"error": "no such object"})
        if method == "GET" and "watch" in query:
            wait_ms = min(MAX_WAIT_MS, int(query.get("wait_ms", "0")))
            return self._watch(kind, int(query["watch"]), wait_ms / 1e3)
        if method == "GET":
            return 200, self._list(kind, query.get("after", ""))
        return self._write(method, kind, name, words[3:] == ["status"], body, query)

    def _write(
        self, method: str, kind: str, name: str, is_status: bool, body: Any, query: dict[str, str]
    ) -> tuple[int, Any]:
        metadata = (body or {}).get("metadata") or {}
        name = name or str(metadata.get("name", ""))
        expected = metadata.get("revision", query.get("revision"))
        with self._changed:
            known = self._objects.get(kind, {}).get(name)
            if method == "POST":
                if known is not None:
                    return 409, known
                self._store(kind, name, {"spec": body.get("spec")}, None)
                return 200, self._objects[kind][name]
            if known is None:
                return 404, {"error": "no such object"}
            if expected is not None and int(expected) != known["metadata"]["revision"]:
                return 409, known
            if method == "DELETE":
                self.remove(kind, name)
                return 200, known
            field = "status" if is_status else "spec"
            if known[field] != body.get(field):
                self._store(kind, name, {field: body.get(field)}, known)
            return 200, self._objects[kind][name]

    def _store(
        self, kind: str, name: str, fields: dict[str, Any], known: dict[str, Any] | None
    ) -> int:
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"spec": None, "status": None, **(known or {}), **fields, "metadata": metadata}
        self._objects.setdefault(kind, {})[name] = item
        self._history.append((self._revision, kind, item, False))
        self._changed.notify_all()
        return self._revision

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        with self._changed:
            objects = self._objects.get(kind, {})
            names = sorted(name for name in objects if name > after)
            items = [objects[name] for name in names[:PAGE_ITEMS]]
            return {"items": items, "more": len(names) > PAGE_ITEMS, "at": self._revision}

    def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        until = time.monotonic() + wait_s
        with self._changed:
            if since > self._revision:
                return 410, {"error": "no such revision"}
            while True:
                events = [
                    {"object": item, "deleted": is_deleted}
                    for at, of_kind, item, is_deleted in self._history
                    if at > since and of_kind == kind
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0 or self._stopped:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left_s)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_: Any) -> None:
        """Ignores callers that disconnect."""


class _Handler(BaseHTTPRequestHandler):
    store: Store
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self) -> None:
        """Serves a call without a body."""
        self._serve(None)

    def do_DELETE(self) -> None:
        """Serves a call without a body."""
        self._serve(None)

    def do_POST(self) -> None:
        """Serves a call with a body."""
        self._serve(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))

    do_PUT = do_POST

    def log_message(self, *_: Any) -> None:
        """Writes no log."""

    def _serve(self, body: Any) -> None:
        status, document = self.store.handle(self.command, self.path, body)
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", "1")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
