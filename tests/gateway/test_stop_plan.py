"""Tests of `gateway.stop_plan`."""

from __future__ import annotations

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.request_run import Caller, response_deadline
from sequoiadrum.gateway.stop_plan import MIN_DRAIN_S, Shutdown, StopPlan
from tests.gateway.builders import a_call, a_route

EXCUSED_S = 3.0
"""Requests sent this soon after the stop signal may end with the process."""
EXCUSED_SHARE = 5 / 6
"""Share of the grace period before which no request may be cut off."""
SECONDS = st.floats(0.01, 60.0)


class StopPlanTest(unittest.TestCase):
    """A graceful shutdown completes every request that it accepts."""

    @given(
        grace_s=st.one_of(st.sampled_from([2.0, 5.0, 8.0, 20.0, 30.0]), st.floats(0.5, 60.0)),
        arrived_s=st.floats(0.0, 60.0),
        accepted_after_s=st.floats(0.0, 5.0),
        timeout_s=SECONDS,
        wait_s=st.one_of(st.none(), SECONDS),
        kind=st.sampled_from(RequestKind),
    )
    def test_what_is_accepted_ends_in_time_or_is_excused(
        self,
        grace_s: float,
        arrived_s: float,
        accepted_after_s: float,
        timeout_s: float,
        wait_s: float | None,
        kind: RequestKind,
    ) -> None:
        """Guards against an accepted request that lasts as long as it may and is cut off."""
        started_at, accepted_s = 100.0, arrived_s + accepted_after_s
        plan = StopPlan(started_at, grace_s)
        deadline = response_deadline(
            evolve(a_call(), deadline_s=wait_s),
            a_route(kind=kind, timeout_s=timeout_s),
            Caller(started_at + arrived_s, lambda: False),
        )
        is_accepted = plan.accepts(kind, deadline, started_at + accepted_s)
        if deadline <= plan.responses_due_at:
            self.assertTrue(is_accepted)
        elif is_accepted:
            self.assertTrue(kind.is_stream)
            self.assertLessEqual(accepted_s, EXCUSED_S)
            self.assertGreater(plan.exit_at - started_at, EXCUSED_SHARE * grace_s)

    @given(grace_s=st.floats(0.5, 60.0))
    def test_nothing_is_ended_before_the_last_sixth(self, grace_s: float) -> None:
        """Guards against a sound request that is ended although time is left for it."""
        plan = StopPlan(100.0, grace_s)
        self.assertGreater(plan.responses_due_at, 100.0 + EXCUSED_SHARE * grace_s)
        self.assertGreater(plan.exit_at, plan.responses_due_at)
        self.assertLess(plan.exit_at, 100.0 + grace_s)

    def test_accepts_only_what_can_be_finished(self) -> None:
        """Guards against a stream that is accepted shortly before the process is killed."""
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertTrue(plan.accepts(RequestKind.STREAM, 130.0, 102.4))
        self.assertFalse(plan.accepts(RequestKind.RESUMABLE_STREAM, 130.0, 102.6))
        self.assertTrue(plan.accepts(RequestKind.STREAM, 107.2, 106.0))
        self.assertTrue(plan.accepts(RequestKind.NON_IDEMPOTENT, 107.2, 103.2))
        self.assertFalse(plan.accepts(RequestKind.NON_IDEMPOTENT, 107.4, 103.4))
        self.assertFalse(plan.accepts(RequestKind.IDEMPOTENT, 110.0, 100.1))

    def test_short_grace_period_takes_no_stream_that_it_would_cut(self) -> None:
        """Guards against streams that are accepted although few of them could end in time."""
        plan = StopPlan(started_at=100.0, grace_s=5.0)
        self.assertFalse(plan.accepts(RequestKind.STREAM, 130.0, 100.1))
        self.assertTrue(plan.accepts(RequestKind.STREAM, 104.0, 100.1))

    def test_running_process_accepts_everything(self) -> None:
        """Guards against a process without a stop signal that refuses or ends requests."""
        shutdown = Shutdown()
        self.assertTrue(shutdown.accepts(RequestKind.STREAM, 1e9, 100.0))
        self.assertFalse(shutdown.responses_due_at() <= 1e9)

    def test_closes_connections_when_cached_addresses_have_expired(self) -> None:
        """Guards against a process that ends while callers still cache its address."""
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertFalse(plan.can_drain(0, 2.0, 105.9))
        self.assertTrue(plan.can_drain(0, 2.0, 106.1))
        self.assertFalse(plan.can_drain(1, 2.0, 107.0))
        self.assertTrue(plan.can_drain(1, 2.0, 107.4))

    def test_closing_connections_fits_into_the_grace_period(self) -> None:
        """Guards against a process that is killed because it waits when its time is used up.

        Requests that are still in flight then keep their connections open for the whole wait.
        """
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertEqual(plan.drain_s(107.7), MIN_DRAIN_S)
        for now in (106.1, 107.0, 107.5):
            self.assertAlmostEqual(now + plan.drain_s(now), plan.exit_at)
        for now in (106.1, 107.0, 107.5, 107.6, 107.7):
            self.assertLess(now + plan.drain_s(now), 108.0)
