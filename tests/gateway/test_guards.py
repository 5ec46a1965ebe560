"""Tests of `gateway.guards`."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import Interrupt, InterruptedWaitError
from sequoiadrum.gateway.guards import MIN_ATTEMPT_S, body_guard, first_byte_guard
from sequoiadrum.gateway.memory_budget import ResponseMemory
from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.request_run import Caller, RequestRun
from tests.gateway.builders import a_call, a_route, a_service


def a_run(kind: RequestKind, is_gone: bool = False, **route: Any) -> RequestRun:
    """Returns a request that arrived at 0 s and has its deadline at 10 s."""
    caller = Caller(0.0, lambda: is_gone)
    return RequestRun(
        a_call(),
        b"",
        a_route(kind=kind, **route),
        a_service(),
        None,
        caller,
        10.0,
        "f",
        holding=ResponseMemory(1_000_000).open(),
    )


def interrupt_at(guard: Any, now: float) -> Interrupt | None:
    """Calls a guard at a simulated time; returns why it ends the wait, or None."""
    with mock.patch.object(clock, "now", return_value=now):
        try:
            guard()
        except InterruptedWaitError as error:
            return error.interrupt
    return None


class GuardTest(unittest.TestCase):
    """A wait for an endpoint ends when its response is no longer useful."""

    def test_deadline_ends_every_wait(self) -> None:
        """Guards against a request that is held past its deadline."""
        for kind in RequestKind:
            guard = body_guard(a_run(kind))
            self.assertIsNone(interrupt_at(guard, 9.9))
            self.assertIs(interrupt_at(guard, 10.0), Interrupt.DEADLINE)

    def test_order_is_finished_without_its_caller(self) -> None:
        """Guards against a non-idempotent request that is aborted when its caller disconnects."""
        self.assertIsNone(interrupt_at(body_guard(a_run(RequestKind.NON_IDEMPOTENT, True)), 1.0))
        for kind in (RequestKind.IDEMPOTENT, RequestKind.STREAM, RequestKind.RESUMABLE_STREAM):
            guard = body_guard(a_run(kind, True))
            self.assertIs(interrupt_at(guard, 1.0), Interrupt.CALLER_GONE)

    def test_slow_endpoint_is_left_only_where_another_may_be_tried(self) -> None:
        """Guards against a retryable request that waits for an unresponsive endpoint.

        A request that must run at most once stays with its endpoint, so that it is not sent twice.
        """
        late = MIN_ATTEMPT_S + 0.1
        guard = first_byte_guard(a_run(RequestKind.IDEMPOTENT), 0.0)
        self.assertIsNone(interrupt_at(guard, MIN_ATTEMPT_S - 0.1))
        self.assertIs(interrupt_at(guard, late), Interrupt.SLOW_ENDPOINT)
        for run in (
            a_run(RequestKind.NON_IDEMPOTENT),
            a_run(RequestKind.STREAM),
            a_run(RequestKind.IDEMPOTENT, max_attempts=1),
        ):
            self.assertIsNone(interrupt_at(first_byte_guard(run, 0.0), late))
