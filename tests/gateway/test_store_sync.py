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
    """Outages decide whether a missing entry may come back."""

    def setUp(self) -> None:
        metrics = Metrics()
        self.link = StoreAvailability(EventLog("g1", metrics, io.StringIO()), metrics)

    def _outage(self, begins: float, ends: float) -> None:
        with mock.patch.object(clock, "now", return_value=begins):
            self.link.record_failure(StoreFailure.UNREACHABLE, "k")
        with mock.patch.object(clock, "now", return_value=ends):
            self.link.record_response()

    def test_cut_watch_is_no_outage(self) -> None:
        """Guards against work for an endpoint that has left just after a watch was cut."""
        self._outage(100.0, 100.1)
        self.assertLess(self.link.expiry_hold_until(), 0.0)

    def test_entries_may_have_lapsed_in_a_long_outage(self) -> None:
        """Guards against a service without endpoints just after an outage of the store."""
        self._outage(100.0, 104.0)
        self.assertGreater(self.link.expiry_hold_until(), 106.0)

    def test_later_blip_does_not_end_the_time_to_come_back(self) -> None:
        """Guards against dropping lapsed endpoints when a watch is cut right after an outage."""
        self._outage(100.0, 104.0)
        self._outage(104.5, 104.6)
        self.assertGreater(self.link.expiry_hold_until(), 106.0)
