"""Endpoints that record the requests they run and can inject faults."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.platform.headers import LAST_EVENT_ID
from tests.gateway.scripted_endpoint import ScriptedEndpoint, answer, chunk, event, stream_head
from tools.soak.proxy import FaultProxy, Mode
from tools.soak.record import expected_body

if TYPE_CHECKING:
    from tests.gateway.scripted_endpoint import Connection, Received
    from tools.soak.record import Record

SERVICE_TIME_S: Final = 0.03
"""Shortest time that an endpoint takes to serve a plain call; the call may name a longer one."""
EVENT_INTERVAL_S: Final = 0.02


class SoakEndpoint:
    """A plain service and a model engine at one address, behind a fault proxy."""

    def __init__(self, endpoint_id: str, record: Record) -> None:
        self.id: Final = endpoint_id
        self._record = record
        self._endpoint = ScriptedEndpoint(self._serve)
        self.proxy: Final = FaultProxy(self._endpoint.address)
        self.loses_responses = False
        """Whether the endpoint runs requests but resets the connection instead of responding."""
        self.truncates_responses = False
        """Whether the endpoint resets the connection in the middle of each response."""
        self.is_crashed = False

    def crash(self) -> None:
        """Resets all open connections and refuses new ones until `restart`."""
        self.is_crashed = True
        self.proxy.set_mode(Mode.REFUSE)
        self.proxy.reset()

    def restart(self) -> None:
        """Accepts connections again."""
        self.is_crashed = False
        self.proxy.set_mode(Mode.PASS)

    def stop(self) -> None:
        """Closes all sockets of the endpoint and its proxy."""
        self._endpoint.stop()
        self.proxy.stop()

    def _serve(self, connection: Connection, request: Received) -> None:
        if self.is_crashed:
            connection.reset()
            return
        self._record.add_run(request.request_id, self.id)
        path = request.line.split(" ")[1]
        count = int(path.rsplit("/", 1)[1])
        if path.startswith(("/draft/", "/tag/")):
            self._serve_stream(connection, request, count)
        else:
            self._serve_plain(connection, request, max(SERVICE_TIME_S, count / 1e3))

    def _serve_plain(self, connection: Connection, request: Received, seconds: float) -> None:
        time.sleep(seconds)
        if self.loses_responses:
            connection.reset()
            return
        response = answer(request, expected_body(request.request_id))
        if self.truncates_responses:
            connection.send(response[: len(response) // 2])
            connection.reset()
            return
        connection.send(response)

    def _serve_stream(self, connection: Connection, request: Received, count: int) -> None:
        first = int(request.headers.get(LAST_EVENT_ID.lower(), 0)) + 1
        if self.loses_responses:
            connection.reset()
            return
        connection.send(stream_head(request))
        started = time.monotonic()
        for number in range(first, count + 1):
            due_at = started + (number - first + 1) * EVENT_INTERVAL_S
            time.sleep(max(0.0, due_at - time.monotonic()))
            data = event(number)
            if self.truncates_responses and number == (first + count) // 2:
                connection.send(chunk(data)[:12])
                connection.reset()
                return
            connection.send(chunk(data))
        connection.send(chunk(b""))
