"""An in-memory stand-in for the platform's object service, for tests and trials.

Besides the calls of `_platform_http`, it serves three control paths:

- `POST /_faults` takes a JSON object that sets attributes of `Faults`: `outage`, `slow_ms`,
  `lose_answers` (the next N writes take effect without a response) and `list_lag_s`.
- `POST /_instances` takes the instance list to publish.
- `GET /_stats` returns the number of calls by kind.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import Factory, define

from sequoiadrum._platform_http import EPOCH_HEADER, EXPECTED_EPOCH_HEADER
from sequoiadrum._standin_server import StandInHandler, StandInServer

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES: Final = 1_000_000
"""Larger values are refused with status 413."""


@define
class Faults:
    """Faults that `POST /_faults` injects."""

    outage: bool = False
    """Whether the calls of the object service are refused with status 503."""
    slow_ms: int = 0
    """Delay of each of these calls, in milliseconds."""
    lose_answers: int = 0
    """Number of the next writes that take effect without a response."""
    list_lag_s: float = 0.0
    """Time in seconds until a published instance list becomes visible."""


@define
class _RateLimit:
    """Token bucket that limits the rate of one kind of call.

    It holds the tokens of one second at most, so a burst has at most `per_s` calls.
    """

    per_s: float
    tokens: float
    updated: float = Factory(time.monotonic)

    def try_acquire(self) -> bool:
        """Takes one token if the bucket holds one; returns whether it did."""
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.updated) * self.per_s)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PlatformStore:
    """Stores objects, instance lists, rate limits and faults; one lock guards them all."""

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls_by_kind: dict[str, int] = {}
        self.epoch = 0
        """Number of restores from a copy."""
        self._objects_by_name: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self._rate_limits_by_kind = {
            "read": _RateLimit(reads_per_s, reads_per_s),
            "write": _RateLimit(writes_per_s, writes_per_s),
        }
        self._instance_lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def count(self, kind: str) -> None:
        """Counts a call, including one that an outage refuses."""
        with self.changed:
            self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def admit(self, kind: str) -> bool:
        """Returns whether the rate limit admits a call; counts a refused call as `limited`."""
        with self.changed:
            admitted = self._rate_limits_by_kind[kind].try_acquire()
            if not admitted:
                self.calls_by_kind["limited"] = self.calls_by_kind.get("limited", 0) + 1
            return admitted

    def get(self, name: str) -> tuple[int, bytes] | None:
        """Returns the version and value of an object, or None if it does not exist."""
        with self.changed:
            return self._objects_by_name.get(name)

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]]]:
        """Returns a copy of the objects, to which `restore` goes back."""
        with self.changed:
            return self._version, dict(self._objects_by_name)

    def restore(self, copy: tuple[int, dict[str, tuple[int, bytes]]]) -> None:
        """Goes back to a copy: what was written since is lost, and its versions are reused."""
        with self.changed:
            self._version, self._objects_by_name = copy[0], dict(copy[1])
            self.epoch += 1
            self.changed.notify_all()

    def put(
        self,
        name: str,
        value: bytes | None,
        expected_version: int | None,
        expected_epoch: int | None = None,
    ) -> int | None:
        """Writes an object, or deletes it if `value` is None.

        Args:
            name: Name of the object.
            value: The new value, or None.
            expected_version: The version to replace, 0 if the object must not exist, or None for
                an unconditional write.
            expected_epoch: The epoch in which that version was read, or None if it may be any.

        Returns:
            The new version, or None if the object has another version than the expected one, or
            the version is of another epoch.
        """
        with self.changed:
            if expected_epoch not in (None, self.epoch):
                return None
            version = self._objects_by_name.get(name, (0, b""))[0]
            if expected_version is not None and expected_version != version:
                return None
            self._version += 1
            if value is None:
                self._objects_by_name.pop(name, None)
            else:
                self._objects_by_name[name] = (self._version, value)
            self.changed.notify_all()
            return self._version

    def list_objects(self, prefix: str) -> list[dict[str, Any]]:
        """Returns the names and versions of the objects whose names start with a prefix."""
        with self.changed:
            return [
                {"name": name, "version": version}
                for name, (version, _) in sorted(self._objects_by_name.items())
                if name.startswith(prefix)
            ]

    def watch(
        self, name: str, known_version: int, known_epoch: int, timeout_s: float
    ) -> tuple[int, int, bytes] | None:
        """Waits until an object has another version than the known one, or an outage begins.

        A version that does not exist yet, 0, is of no epoch.

        Returns:
            The epoch, the new version and the value, version 0 for a deleted object, or None if
            nothing changed in time.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: self.faults.outage or self._differs(name, known_version, known_epoch),
                timeout_s,
            )
            if not self._differs(name, known_version, known_epoch):
                return None
            return self.epoch, *self._objects_by_name.get(name, (0, b""))

    def _differs(self, name: str, known_version: int, known_epoch: int) -> bool:
        version = self._objects_by_name.get(name, (0, b""))[0]
        return version != known_version or (version != 0 and self.epoch != known_epoch)

    def publish_instances(self, instances: list[dict[str, Any]]) -> None:
        """Publishes an instance list, which becomes visible after `Faults.list_lag_s`."""
        with self.changed:
            self._instance_lists.append((time.monotonic(), instances))

    def visible_instances(self) -> list[dict[str, Any]]:
        """Returns the newest instance list that is at least as old as the lag."""
        with self.changed:
            latest_visible = time.monotonic() - self.faults.list_lag_s
            return [
                instances
                for published_at, instances in self._instance_lists
                if published_at <= latest_visible
            ][-1]


class PlatformServer(StandInServer):
    """HTTP server of the platform stand-in."""

    def __init__(
        self, host: str, port: int, reads_per_s: float = 2000.0, writes_per_s: float = 300.0
    ) -> None:
        self.store = PlatformStore(reads_per_s, writes_per_s)
        super().__init__(host, port, _Handler, self.store)


class _Handler(StandInHandler):
    state: PlatformStore
    _epoch = 0
    """Epoch in which the response was read. If the platform is restored meanwhile, it is the former
    one, and a write that expects the version of the response has no effect."""

    def do_GET(self) -> None:
        """Handles reads, lists, watches and call counts."""
        path = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(path.query).items()}
        if path.path == "/_stats":
            self._send_json(dict(self.state.calls_by_kind))
        elif self._admit_call("read"):
            self._read(path.path, query)

    def do_PUT(self) -> None:
        """Writes an object, conditional on the version in `If-Match` if the header is given."""
        value = self.read_body()
        if len(value) > MAX_VALUE_BYTES:
            self._send(413)
        elif self._admit_call("write"):
            self._write(value)

    def do_DELETE(self) -> None:
        """Deletes an object, conditional on the version in `If-Match` if the header is given."""
        if self._admit_call("write"):
            self._write(None)

    def do_POST(self) -> None:
        """Sets faults or publishes an instance list."""
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
            epoch = int(query.get("epoch", "0"))
            changed = self.state.watch(name, int(query["version"]), epoch, timeout_s)
            if self.state.faults.outage:
                self._send(503)
            elif changed is None:
                self._send(204)
            else:
                self._epoch, version, value = changed
                self._send_object((version, value), missing=204)
        elif path == "/list":
            self._send_json(self.state.list_objects(query.get("prefix", "")))
        elif path == "/instances":
            self._send_json(self.state.visible_instances())
        else:
            self._send(404)

    def _write(self, value: bytes | None) -> None:
        name = unquote(self.path.removeprefix("/objects/"))
        etag = self.headers.get("If-Match")
        epoch = self.headers.get(EXPECTED_EPOCH_HEADER)
        version = self.state.put(
            name,
            value,
            None if etag is None else int(etag.strip('"')),
            None if epoch is None else int(epoch),
        )
        with self.state.changed:
            drop_response = self.state.faults.lose_answers > 0 and version is not None
            self.state.faults.lose_answers -= drop_response
        if drop_response:
            self.close_connection = True
        elif version is None:
            self._send(412)
        else:
            self._send(200, version=version)

    def _admit_call(self, kind: str) -> bool:
        """Counts and delays a call; refuses it with 503 in an outage, 429 over the rate limit.

        Returns:
            Whether the call goes on; otherwise, the refusal is sent.
        """
        faults = self.state.faults
        self._epoch = self.state.epoch
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

    def _send_json(self, document: object) -> None:
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
        self.send_header(EPOCH_HEADER, str(self._epoch))
        self.end_headers()
        if status != 204:
            self.wfile.write(body)


def serve(host: str, port: int, announce: Callable[[str], None]) -> None:
    """Runs the platform stand-in until the process ends."""
    PlatformServer(host, port).run("platform", announce)
