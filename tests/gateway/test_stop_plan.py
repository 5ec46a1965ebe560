"""Tests of `gateway.stop_plan`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.stop_plan import EXIT_MARGIN_S, MAX_DRAIN_S, MIN_DRAIN_S, StopPlan


class StopPlanTest(unittest.TestCase):
    """A graceful shutdown completes every request that it accepts."""

    def test_accepts_only_what_can_be_finished(self) -> None:
        """Guards against a stream that is accepted shortly before the process is killed."""
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertTrue(plan.accepts(RequestKind.STREAM, 102.9))
        self.assertFalse(plan.accepts(RequestKind.RESUMABLE_STREAM, 103.1))
        self.assertTrue(plan.accepts(RequestKind.NON_IDEMPOTENT, 106.0))
        self.assertFalse(plan.accepts(RequestKind.IDEMPOTENT, 107.0))

    def test_exits_when_cached_addresses_have_expired(self) -> None:
        """Guards against a process that exits while callers still cache its address."""
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertFalse(plan.can_exit(0, 2.0, 105.9))
        self.assertTrue(plan.can_exit(0, 2.0, 106.1))
        self.assertFalse(plan.can_exit(1, 2.0, 107.0))
        self.assertTrue(plan.can_exit(1, 2.0, 107.7))

    def test_closing_connections_fits_into_the_grace_period(self) -> None:
        """Guards against a process that is killed because it waits when its time is used up.

        Requests that are still in flight then keep their connections open for the whole wait.
        """
        plan = StopPlan(started_at=100.0, grace_s=8.0)
        self.assertEqual(plan.drain_s(106.1), MAX_DRAIN_S)
        self.assertEqual(plan.drain_s(107.7), MIN_DRAIN_S)
        for now in (106.1, 107.0, 107.5, 107.6):
            self.assertLessEqual(now + plan.drain_s(now), 108.0 - EXIT_MARGIN_S + MIN_DRAIN_S)
