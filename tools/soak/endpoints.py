"""Endpoints that record what they run and fail on demand."""

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

WORK_S: Final = 0.03
"""A plain call takes so long."""
EVENT_PAUSE_S: Final = 0.02


class SoakEndpoint:
    """A plain service and a model engine at one address, behind a proxy."""

    def __init__(self, endpoint_id: str, record: Record) -> None:
        self.id: Final = endpoint_id
        self._record = record
        self._endpoint = ScriptedEndpoint(self._serve)
        self.proxy: Final = FaultProxy(self._endpoint.address)
        self.loses_answers = False
        """Runs requests and resets the connection instead of answering."""
        self.cuts_answers = False
        """Breaks off in the middle of each answer."""
        self.is_crashed = False

    def crash(self) -> None:
        """Resets everything and refuses connections until `restart`."""
        self.is_crashed = True
        self.proxy.set_mode(Mode.REFUSE)
        self.proxy.reset()

    def restart(self) -> None:
        """Takes connections again."""
        self.is_crashed = False
        self.proxy.set_mode(Mode.PASS)

    def stop(self) -> None:
        """Closes the sockets."""
        self._endpoint.stop()
        self.proxy.stop()

    def _serve(self, connection: Connection, request: Received) -> None:
        if self.is_crashed:
            connection.reset()
            return
        self._record.add_run(request.request_id, self.id)
        path = request.line.split(" ")[1]
        if path.startswith(("/draft/", "/tag/")):
            self._stream(connection, request, int(path.rsplit("/", 1)[1]))
        else:
            self._plain(connection, request)

    def _plain(self, connection: Connection, request: Received) -> None:
        time.sleep(WORK_S)
        if self.loses_answers:
            connection.reset()
            return
        whole = answer(request, expected_body(request.request_id))
        if self.cuts_answers:
            connection.send(whole[: len(whole) // 2])
            connection.reset()
            return
        connection.send(whole)

    def _stream(self, connection: Connection, request: Received, count: int) -> None:
        first = int(request.headers.get(LAST_EVENT_ID.lower(), 0)) + 1
        if self.loses_answers:
            connection.reset()
            return
        connection.send(stream_head(request))
        for number in range(first, count + 1):
            time.sleep(EVENT_PAUSE_S)
            data = event(number)
            if self.cuts_answers and number == (first + count) // 2:
                connection.send(chunk(data)[:12])
                connection.reset()
                return
            connection.send(chunk(data))
        connection.send(chunk(b""))
