"""Tests of `gateway.store_sync`."""

from __future__ import annotations

import io
import unittest
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.gateway.store_sync import StoreAvailability
from sequoiadrum.metrics import Metrics


class StoreAvailabilityTest(unittest.TestCase):
    """How long missing entries are kept after an outage of the store."""

    def setUp(self) -> None:
        metrics = Metrics()
        self.availability = StoreAvailability(EventLog("g1", metrics, io.StringIO()), metrics)

    def _record_outage(self, started_at: float, ended_at: float) -> None:
        with mock.patch.object(clock, "now", return_value=started_at):
            self.availability.record_failure(StoreFailure.UNREACHABLE, "k")
        with mock.patch.object(clock, "now", return_value=ended_at):
            self.availability.record_response()

    def test_interrupted_watch_is_no_outage(self) -> None:
        """Guards against requests to an endpoint that left while a watch was interrupted."""
        self._record_outage(100.0, 100.1)
        self.assertLess(self.availability.expiry_hold_until(), 0.0)

    def test_entries_may_have_expired_in_a_long_outage(self) -> None:
        """Guards against a service without endpoints right after an outage of the store."""
        self._record_outage(100.0, 104.0)
        self.assertGreater(self.availability.expiry_hold_until(), 106.0)

    def test_interruption_after_an_outage_does_not_shorten_the_hold(self) -> None:
        """Guards against dropping expired endpoints when a watch fails right after an outage."""
        self._record_outage(100.0, 104.0)
        self._record_outage(104.5, 104.6)
        self.assertGreater(self.availability.expiry_hold_until(), 106.0)
