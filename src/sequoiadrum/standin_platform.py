"""A small stand-in for the platform's object service, kept in memory.

Besides the calls of `_platform_http` it takes `POST /_faults` with a JSON document: `outage`,
`slow_ms`, `lose_answers` (the next N writes take effect without an answer), `list_lag_s`; and
`POST /_instances` with the list to publish, `GET /_stats` for its call counts.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import Factory, define

from sequoiadrum._standin_server import StandInHandler, StandInServer

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES: Final = 1_000_000


@define
class Faults:
    """Injected misbehaviour."""

    outage: bool = False
    """Refuse every call with 503."""
    slow_ms: int = 0
    """Delay of every call."""
    lose_answers: int = 0
    """How many of the next writes take effect without an answer."""
    list_lag_s: float = 0.0
    """Age of the published instance list."""


@define
class _Budget:
    """Token bucket of one kind of call."""

    per_s: float
    tokens: float
    updated: float = Factory(time.monotonic)

    def take(self) -> bool:
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.updated) * self.per_s)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PlatformStore:
    """Objects, versions, budgets and faults; one lock for all."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls_by_kind: dict[str, int] = {}
        self._objects_by_name: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self._budgets = {
            "read": _Budget(reads_per_s, reads_per_s),
            "write": _Budget(writes_per_s, writes_per_s),
        }
        self._instance_lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def count(self, kind: str) -> None:
        """Counts a call, also one that an outage refuses."""
        with self.changed:
            self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def admit(self, kind: str) -> bool:
        """Takes a call from the budget of its kind."""
        with self.changed:
            admitted = self._budgets[kind].take()
            if not admitted:
                self.calls_by_kind["limited"] = self.calls_by_kind.get("limited", 0) + 1
            return admitted

    def get(self, name: str) -> tuple[int, bytes] | None:
        """Reads version and value."""
        with self.changed:
            return self._objects_by_name.get(name)

    def put(self, name: str, value: bytes | None, expected: int | None) -> int | None:
        """Writes, or deletes with `value` None; gives the new version, None on a conflict."""
        with self.changed:
            found = self._objects_by_name.get(name, (0, b""))[0]
            if expected is not None and expected != found:
                return None
            self._version += 1
            if value is None:
                self._objects_by_name.pop(name, None)
            else:
                self._objects_by_name[name] = (self._version, value)
            self.changed.notify_all()
            return self._version

    def names(self, prefix: str) -> list[dict[str, Any]]:
        """Lists names and versions below a prefix."""
        with self.changed:
            return [
                {"name": name, "version": version}
                for name, (version, _) in sorted(self._objects_by_name.items())
                if name.startswith(prefix)
            ]

    def watch(self, name: str, known: int, timeout_s: float) -> tuple[int, bytes] | None:
        """Waits for another version than the known one."""
        with self.changed:
            self.changed.wait_for(
                lambda: self.faults.outage or self._objects_by_name.get(name, (0, b""))[0] != known,
                timeout_s,
            )
            found = self._objects_by_name.get(name, (0, b""))
            return found if found[0] != known else None

    def publish_instances(self, instances: list[dict[str, Any]]) -> None:
        """Replaces the instance list; readers see it after the lag."""
        with self.changed:
            self._instance_lists.append((time.monotonic(), instances))

    def instances(self) -> list[dict[str, Any]]:
        """Gives the newest list that is older than the lag."""
        with self.changed:
            horizon = time.monotonic() - self.faults.list_lag_s
            return [lst for at, lst in self._instance_lists if at <= horizon][-1]


class PlatformServer(StandInServer):
    """The HTTP server of the stand-in."""

    def __init__(
        self, host: str, port: int, reads_per_s: float = 2000.0, writes_per_s: float = 300.0
    ) -> None:
        self.store = PlatformStore(reads_per_s, writes_per_s)
        super().__init__(host, port, _Handler, self.store)


class _Handler(StandInHandler):
    state: PlatformStore

    def do_GET(self) -> None:
        """Reads, lists and watches."""
        path = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(path.query).items()}
        if path.path == "/_stats":
            self._json(dict(self.state.calls_by_kind))
        elif self._admitted("read"):
            self._read(path.path, query)

    def do_PUT(self) -> None:
        """Writes under the expected version."""
        value = self.read_body()
        if len(value) > MAX_VALUE_BYTES:
            self._send(413)
        elif self._admitted("write"):
            self._write(value)

    def do_DELETE(self) -> None:
        """Deletes under the expected version."""
        if self._admitted("write"):
            self._write(None)

    def do_POST(self) -> None:
        """Sets faults and the instance list."""
        document = json.loads(self.read_body() or b"{}")
        if self.path == "/_faults":
            with self.state.changed:
                for name, value in document.items():
                    setattr(self.state.faults, name, value)
                self.state.changed.notify_all()
        elif self.path == "/_instances":
            self.state.publish_instances(document)
        self._send(204)

    def _read(self, path: str, query: dict[str, str]) -> None:
        if path.startswith("/objects/"):
            found = self.state.get(unquote(path.removeprefix("/objects/")))
            self._send_object(found, missing=404)
        elif path.startswith("/watch/"):
            name = unquote(path.removeprefix("/watch/"))
            timeout_s = int(query["timeout_ms"]) / 1e3
            found = self.state.watch(name, int(query["version"]), timeout_s)
            if self.state.faults.outage:
                self._send(503)
            else:
                self._send_object(found, missing=204)
        elif path == "/list":
            self._json(self.state.names(query.get("prefix", "")))
        elif path == "/instances":
            self._json(self.state.instances())
        else:
            self._send(404)

    def _write(self, value: bytes | None) -> None:
        name = unquote(self.path.removeprefix("/objects/"))
        expected = self.headers.get("If-Match")
        version = self.state.put(
            name, value, None if expected is None else int(expected.strip('"'))
        )
        with self.state.changed:
            lost = self.state.faults.lose_answers > 0 and version is not None
            self.state.faults.lose_answers -= lost
        if lost:
            self.close_connection = True
        elif version is None:
            self._send(412)
        else:
            self._send(200, version=version)

    def _admitted(self, kind: str) -> bool:
        faults = self.state.faults
        self.state.count(kind)
        if faults.slow_ms:
            time.sleep(faults.slow_ms / 1e3)
        if faults.outage:
            self._send(503)
        elif not self.state.admit(kind):
            self._send(429)
        else:
            return True
        return False

    def _json(self, document: object) -> None:
        self._send(200, json.dumps(document).encode())

    def _send_object(self, found: tuple[int, bytes] | None, missing: int) -> None:
        if found is None or not found[0]:
            self._send(missing)
        else:
            self._send(200, found[1], found[0])

    def _send(self, status: int, body: bytes = b"", version: int | None = None) -> None:
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        if version is not None:
            self.send_header("ETag", f'"{version}"')
        self.end_headers()
        if status != 204:
            self.wfile.write(body)


def serve(host: str, port: int, announce: Callable[[str], None]) -> None:
    """Runs the stand-in until the process ends."""
    PlatformServer(host, port).run("platform", announce)
