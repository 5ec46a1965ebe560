"""A stand-in for a plain service that counts executions by idempotency key.

It deliberately does not deduplicate: a call that is sent twice is executed twice, and
`GET /_stats` shows it. `POST /_faults` sets faults:

- `delay_ms`: duration of every execution, in milliseconds.
- `lose_answers`: number of the next calls that are executed without a response.
- `cut_answers`: number of the next calls whose response ends after half of the body.
- `refuse`: whether every other POST request is refused with status 503.
- `leaving`: whether the load report says that the service is leaving.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any

from attrs import define, field

from sequoiadrum._standin_server import StandInHandler, StandInServer

if TYPE_CHECKING:
    from collections.abc import Callable


@define
class ServiceState:
    """Executions, load and faults of the service."""

    lock: threading.Lock = field(factory=threading.Lock)
    executions_by_key: dict[str, int] = field(factory=dict)
    in_flight: int = 0
    calls: int = 0
    faults: dict[str, Any] = field(factory=dict)

    def consume_fault(self, name: str) -> bool:
        """Decrements the counter of a fault; returns whether the fault applies to this call."""
        with self.lock:
            remaining = int(self.faults.get(name, 0))
            if remaining:
                self.faults[name] = remaining - 1
            return remaining > 0


class ServiceServer(StandInServer):
    """HTTP server of the service stand-in."""

    def __init__(self, host: str, port: int) -> None:
        self.state = ServiceState()
        super().__init__(host, port, _Handler, self.state)


class _Handler(StandInHandler):
    state: ServiceState

    def do_GET(self) -> None:
        """Handles load, counters and plain reads."""
        state = self.state
        if self.path == "/load":
            with state.lock:
                leaving = bool(state.faults.get("leaving"))
                self._send_json(200, {"in_flight": state.in_flight, "leaving": leaving})
        elif self.path == "/_stats":
            with state.lock:
                executions = dict(state.executions_by_key)
            doubles = sum(1 for n in executions.values() if n > 1)
            self._send_json(
                200, {"executions": executions, "doubles": doubles, "calls": state.calls}
            )
        else:
            with state.lock:
                state.calls += 1
            self._send_json(200, {"path": self.path})

    def do_POST(self) -> None:
        """Executes a call or sets faults."""
        body = self.read_body()
        if self.path == "/_faults":
            with self.state.lock:
                self.state.faults.update(json.loads(body))
            self._send_json(200, {})
        elif self.state.faults.get("refuse"):
            self._send_json(503, {})
        else:
            self._execute(body)

    def _execute(self, body: bytes) -> None:
        state = self.state
        key = self.headers.get("Idempotency-Key", "")
        with state.lock:
            state.in_flight += 1
            state.calls += 1
            if key:
                state.executions_by_key[key] = state.executions_by_key.get(key, 0) + 1
            number = len(state.executions_by_key)
        time.sleep(float(state.faults.get("delay_ms", 0)) / 1e3)
        with state.lock:
            state.in_flight -= 1
        if state.consume_fault("lose_answers"):
            self.close_connection = True
            return
        confirmation = {"confirmation": number, "key": key, "bytes": len(body)}
        self._send_json(201, confirmation, truncate=state.consume_fault("cut_answers"))

    def _send_json(self, status: int, document: object, truncate: bool = False) -> None:
        body = json.dumps(document).encode()
        if not truncate:
            self.send_body(status, body)
            return
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) // 2])
        self.close_connection = True


def serve(host: str, port: int, announce: Callable[[str], None]) -> None:
    """Runs the service stand-in until the process ends."""
    ServiceServer(host, port).run("service", announce)
