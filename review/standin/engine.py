"""Stand-ins of an engine that answers with streams of events, and of its clients."""

from __future__ import annotations

import contextlib
import http.client
import random
import socket
import threading
import time
from collections.abc import Callable

from review.standin.client import HOST, KEY
from review.standin.record import Record
from review.standin.runner import Request, Runner
from review.standin.store import Store

PREFIX = "Sequoiadrum-Prefix-Hash"
EVENTS = 20
EVENT_S = 0.025


def engine_configuration(version: int, service: str, prefix: str) -> dict:
    """Returns a configuration with one streaming route that may not be resumed."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-draft",
                "host": HOST,
                "path_prefix": f"/{prefix}/",
                "type": "streaming",
                "timeout_ms": 12000,
                "goal_ms": 400,
                "gap_goal_ms": 300,
                "priority": 1,
                "service": service,
                "max_attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
            }
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 1240,
                "engine": {"slots": 128, "kv_capacity_tokens": 816261},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    }


class Engine(Runner):
    """Streams events; may crash when it begins to write an answer on one part of a prompt."""

    def __init__(self, name: str, service: str, host: str, store: Store, record: Record) -> None:
        super().__init__(name, service, host, store, record, slots=128, work_s=0.05)
        self.crashing_part = ""
        """Id of the part; empty for none."""
        self.events_before_crash = 1
        """Events of such an answer that it writes before it crashes."""
        self.on_crash: Callable[[Engine], None] = lambda engine: None
        """Called after the process has ended."""

    def respond(self, connection: socket.socket, request: Request) -> bool:
        """Streams the events of an answer, or crashes as it begins to write."""
        head = [
            "HTTP/1.1 200 OK",
            f"Sequoiadrum-Request-Id: {request.id}",
            f"Sequoiadrum-Response-Seal: {self.name}.1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        connection.sendall("\r\n".join([*head, "", ""]).encode())
        parts = [entry.partition(":")[0] for entry in request.headers[PREFIX.lower()].split(",")]
        crashes = bool(self.crashing_part) and self.crashing_part in parts
        for number in range(1, EVENTS + 1):
            if crashes and number > self.events_before_crash:
                self._crash(request)
                return False
            connection.sendall(_chunk(_event(number)))
            if not crashes:
                time.sleep(EVENT_S)
        connection.sendall(_chunk(b""))
        return True

    def _crash(self, request: Request) -> None:
        with self._lock:
            is_first = not self._stopped
            self._stopped = True
        if not is_first:
            return
        self._record.add(f"engine {self.name}: crashes on {request.id}")
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.on_crash(self)


class Chat(threading.Thread):
    """A client that sends requests of chats; all prompts begin with the same part."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        pause_s: float,
        parts: Callable[[random.Random, int], str],
        record: Record,
    ) -> None:
        """Creates the client.

        Args:
            name: Begins the ids of its requests.
            host: Address of its gateway.
            port: Port of its gateway.
            pause_s: Mean pause between two requests.
            parts: Returns the prompt of a request by its number.
            record: Receives what is sent and answered.
        """
        super().__init__(daemon=True)
        self._name = name
        self._address = (host, port)
        self._pause_s = pause_s
        self._parts = parts
        self._record = record
        self._rng = random.Random(name)
        self._stopped = threading.Event()
        self.results: list[tuple[float, bool]] = []
        """For each request when it was sent, and whether its answer was whole."""

    def stop(self) -> None:
        """Ends the thread after the request in flight."""
        self._stopped.set()
        self.join(10)

    def run(self) -> None:
        """Sends until `stop`."""
        number = 0
        while not self._stopped.wait(self._rng.uniform(0, 2 * self._pause_s)):
            number += 1
            self.send(number)

    def send(self, number: int) -> None:
        """Sends one request and waits for the end of its answer."""
        request_id = f"{self._name}-{number}"
        sent_at = self._record.add(f"client: sends {request_id}")
        outcome, is_whole = self._call(request_id, self._parts(self._rng, number))
        self._record.add(f"client: {request_id} gets {outcome}")
        self.results.append((sent_at, is_whole))

    def _call(self, request_id: str, parts: str) -> tuple[str, bool]:
        connection = http.client.HTTPConnection(*self._address, timeout=2.4)
        headers = {
            "Host": HOST,
            "Sequoiadrum-Request-Id": request_id,
            "Sequoiadrum-Model": "m",
            "Sequoiadrum-Token-Usage": "700,80",
            PREFIX: parts,
            "Sequoiadrum-Deadline-Ms": "12000",
            "Sequoiadrum-Key": KEY,
        }
        try:
            connection.request("POST", "/draft/1", request_id.encode(), headers)
            response = connection.getresponse()
            body = response.read()
            is_whole = response.status == 200 and body.count(b"\n\n") == EVENTS
            return f"{response.status} with {body.count(b'id: ')} events", is_whole
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__, False
        finally:
            connection.close()


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token%d\n\n" % (number, number)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
