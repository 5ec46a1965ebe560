"""Tests of `gateway.guards`."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import Interrupt, InterruptedWaitError
from sequoiadrum.gateway.guards import SHORTEST_ATTEMPT_S, body_guard, first_byte_guard
from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.request_run import Caller, RequestRun
from tests.gateway.builders import a_call, a_route, a_service


def a_run(kind: RequestKind, is_gone: bool = False, **route: Any) -> RequestRun:
    """Makes a request that arrived at 0 and must be answered at 10."""
    caller = Caller(0.0, lambda: is_gone)
    return RequestRun(
        a_call(), b"", a_route(kind=kind, **route), a_service(), None, caller, 10.0, "f"
    )


def interrupt_at(guard: Any, now: float) -> Interrupt | None:
    """Calls a guard at a time; gives why it ends the wait, or None."""
    with mock.patch.object(clock, "now", return_value=now):
        try:
            guard()
        except InterruptedWaitError as error:
            return error.interrupt
    return None


class GuardTest(unittest.TestCase):
    """Waits end when nobody gains from going on."""

    def test_deadline_ends_every_wait(self) -> None:
        """Guards against a request that is held past its route's timeout."""
        for kind in RequestKind:
            guard = body_guard(a_run(kind))
            self.assertIsNone(interrupt_at(guard, 9.9))
            self.assertIs(interrupt_at(guard, 10.0), Interrupt.DEADLINE)

    def test_order_is_finished_without_its_client(self) -> None:
        """Guards against an order that is cut off halfway because its client has left."""
        self.assertIsNone(interrupt_at(body_guard(a_run(RequestKind.NON_IDEMPOTENT, True)), 1.0))
        for kind in (RequestKind.IDEMPOTENT, RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
            guard = body_guard(a_run(kind, True))
            self.assertIs(interrupt_at(guard, 1.0), Interrupt.CALLER_GONE)

    def test_silent_endpoint_is_left_only_where_another_may_be_tried(self) -> None:
        """Guards against a read that waits for a dark endpoint, and an order that is sent twice."""
        late = SHORTEST_ATTEMPT_S + 0.1
        guard = first_byte_guard(a_run(RequestKind.IDEMPOTENT), 0.0)
        self.assertIsNone(interrupt_at(guard, SHORTEST_ATTEMPT_S - 0.1))
        self.assertIs(interrupt_at(guard, late), Interrupt.SLOW_ENDPOINT)
        for run in (
            a_run(RequestKind.NON_IDEMPOTENT),
            a_run(RequestKind.STREAM),
            a_run(RequestKind.IDEMPOTENT, max_attempts=1),
        ):
            self.assertIsNone(interrupt_at(first_byte_guard(run, 0.0), late))
