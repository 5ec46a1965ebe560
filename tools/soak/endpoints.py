"""Endpoints that record the requests they run and can inject faults."""

from __future__ import annotations

import random
import socket
import time
from enum import Enum
from typing import TYPE_CHECKING, Final

from sequoiadrum.platform.headers import (
    LAST_EVENT_ID,
    LEAVING,
    NOT_EXECUTED,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
)
from tests.gateway.scripted_endpoint import ScriptedEndpoint, answer, chunk, event, stream_head
from tools.soak.proxy import FaultProxy, Mode
from tools.soak.record import NoticeKind, expected_body

if TYPE_CHECKING:
    from tests.gateway.scripted_endpoint import Connection, Received
    from tools.soak.record import Record

SERVICE_TIME_S: Final = 0.03
"""Shortest time that an endpoint takes to serve a plain call; the call may name a longer one."""
EVENT_INTERVAL_S: Final = 0.02


class ResponseFault(Enum):
    """A fault of all responses of an endpoint; the values are kinds of the plan."""

    CUT_ANYWHERE = "cut_anywhere"
    """Responses end regularly at any byte."""
    UNFRAMED = "unframed"
    """Responses have neither a length nor chunks; they are whole."""
    UNFRAMED_RESET = "unframed_reset"
    """Responses of that kind are reset before their end."""
    UNFRAMED_DEATH = "unframed_death"
    """Responses of that kind end regularly before their end; the endpoint is gone by then."""


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
        self.response_fault: ResponseFault | None = None
        self.is_crashed = False
        self.starts = 1
        """Number of processes that have served at the address; names the present one."""
        self._has_ended = False
        self._rng = random.Random(endpoint_id)
        self.says_leaving = False
        """Whether each response says that the endpoint leaves."""
        self.turned_away_until = float("-inf")
        """The endpoint turns all requests away until this time, in monotonic seconds."""

    def crash(self) -> None:
        """Resets all open connections and refuses new ones until `restart`."""
        self.is_crashed = self._has_ended = True
        self.proxy.set_mode(Mode.REFUSE)
        self.proxy.reset()

    def restart(self) -> bool:
        """Accepts connections again; returns whether another process does, since one has ended."""
        has_ended, self._has_ended = self._has_ended, False
        self.starts += has_ended
        self.is_crashed = False
        self.proxy.set_mode(Mode.PASS)
        self.proxy.reopen_listener()
        return has_ended

    def stop(self) -> None:
        """Closes all sockets of the endpoint and its proxy."""
        self._endpoint.stop()
        self.proxy.stop()

    def _serve(self, connection: Connection, request: Received) -> None:
        if self.is_crashed:
            connection.reset()
            return
        away_s = self.turned_away_until - time.monotonic()
        if away_s > 0:
            self._record.add_notice(
                NoticeKind.TURNED_AWAY, request.request_id, self.id, round(away_s, 3)
            )
            headers = f"{NOT_EXECUTED}: 1\r\n{RETRY_AFTER}: {away_s:.3f}\r\n"
            connection.send(answer(request, b"", "503 Busy", headers))
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
        fault = self.response_fault
        body = expected_body(request.request_id)
        head, _, _ = answer(request, body).partition(b"\r\n\r\n")
        response = self._with_notices(head + b"\r\n\r\n", request) + body
        if self.truncates_responses:
            connection.send(response[: len(response) // 2])
            connection.reset()
        elif fault is None:
            connection.send(response)
        elif fault is ResponseFault.CUT_ANYWHERE:
            connection.send(response[: self._rng.randrange(1, len(response))])
            _end(connection)
        else:
            connection.send(self._with_notices(_unframed_head(request), request))
            is_whole = fault is ResponseFault.UNFRAMED
            connection.send(body if is_whole else body[: len(body) // 2])
            self._end_unframed(connection, fault)

    def _serve_stream(self, connection: Connection, request: Received, count: int) -> None:
        first = int(request.headers.get(LAST_EVENT_ID.lower(), 0)) + 1
        if self.loses_responses:
            connection.reset()
            return
        fault = self.response_fault
        is_unframed = fault not in (None, ResponseFault.CUT_ANYWHERE)
        head = _unframed_head(request) if is_unframed else stream_head(request)
        connection.send(self._with_notices(head, request))
        started = time.monotonic()
        for number in range(first, count + 1):
            due_at = started + (number - first + 1) * EVENT_INTERVAL_S
            time.sleep(max(0.0, due_at - time.monotonic()))
            data = event(number)
            is_middle = number == (first + count) // 2
            if is_middle and self.truncates_responses:
                connection.send(chunk(data)[:12])
                connection.reset()
                return
            if is_middle and fault is ResponseFault.CUT_ANYWHERE:
                connection.send(chunk(data)[: self._rng.randrange(len(chunk(data)))])
                _end(connection)
                return
            connection.send(data if is_unframed else chunk(data))
            if is_middle and number < count and is_unframed and fault is not ResponseFault.UNFRAMED:
                break
        if is_unframed:
            self._end_unframed(connection, fault)
        else:
            connection.send(chunk(b""))

    def _end_unframed(self, connection: Connection, fault: ResponseFault | None) -> None:
        """Ends a response that ends with its connection, as the fault says."""
        if fault is ResponseFault.UNFRAMED_RESET:
            time.sleep(EVENT_INTERVAL_S)
            connection.reset()
            return
        if fault is ResponseFault.UNFRAMED_DEATH:
            self._has_ended = True
            self.proxy.close_listener()
        _end(connection)

    def _with_notices(self, head: bytes, request: Received) -> bytes:
        """Adds to the head of a response what the endpoint says to gateways."""
        if not self.says_leaving:
            return head
        self._record.add_notice(NoticeKind.LEAVING, request.request_id, self.id)
        return head[:-2] + f"{LEAVING}: 1\r\n\r\n".encode()


def _unframed_head(request: Received) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request.request_id}\r\n{SEAL}: s.1\r\n\r\n"
    ).encode()


def _end(connection: Connection) -> None:
    """Ends the connection regularly."""
    connection.sock.shutdown(socket.SHUT_WR)
