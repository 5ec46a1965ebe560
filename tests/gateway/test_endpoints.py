"""Tests of `gateway.endpoints`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.endpoints import EndpointTable
from sequoiadrum.gateway.model import EndpointState, EngineLoad, StorePosition
from tests.gateway.builders import an_entry

NO_OUTAGE = float("-inf")


class EndpointTableTest(unittest.TestCase):
    """The table applies changes in the order of revisions."""

    def test_older_entry_is_ignored(self) -> None:
        """Guards against a stale read that marks a draining endpoint as ready again."""
        table = EndpointTable()
        table.apply(an_entry(revision=7, state=EndpointState.DRAINING), 0.0)
        self.assertFalse(table.apply(an_entry(revision=5), 0.0))
        self.assertFalse(table.by_id["e1"].can_serve(0.0))

    def test_removed_endpoint_gets_nothing(self) -> None:
        """Guards against new requests to an endpoint that was removed without draining first."""
        table = EndpointTable()
        table.apply(an_entry(revision=3), 0.0)
        self.assertTrue(table.remove("e1", StorePosition(0, 3), 10.0, NO_OUTAGE))
        self.assertFalse(table.by_id["e1"].can_serve(10.0))
        self.assertFalse(table.apply(an_entry(revision=3), 0.0))

    def test_entry_that_expired_in_an_outage_still_serves(self) -> None:
        """Guards against a service without endpoints right after a store outage.

        Entries expire during the outage, and their endpoints need about 2 s to register again.
        """
        table = EndpointTable()
        table.apply(an_entry(revision=3), 0.0)
        table.remove("e1", StorePosition(0, 9), now=100.0, outage_ended=100.0)
        self.assertTrue(table.by_id["e1"].can_serve(102.0))
        self.assertFalse(table.by_id["e1"].can_serve(102.6))
        self.assertTrue(table.apply(an_entry(revision=11), 0.0))
        self.assertTrue(table.by_id["e1"].can_serve(110.0))

    def test_recreated_entry_in_one_batch_stays(self) -> None:
        """Guards against a removal that hides an entry created right after it."""
        table = EndpointTable()
        table.apply(an_entry(revision=3), 0.0)
        table.remove("e1", StorePosition(0, 4), 1.0, NO_OUTAGE)
        self.assertTrue(table.apply(an_entry(revision=5), 0.0))
        self.assertTrue(table.by_id["e1"].can_serve(1.0))

    def test_restart_under_the_same_id_forgets_results(self) -> None:
        """Guards against a restarted process that inherits the failures of the previous one."""
        table = EndpointTable()
        table.apply(an_entry(revision=3), 0.0)
        for _ in range(5):
            table.by_id["e1"].record_result(failed=True, now=1.0)
        self.assertTrue(table.by_id["e1"].is_failing(1.0))
        table.apply(an_entry(revision=4, started_ms=2), 0.0)
        self.assertFalse(table.by_id["e1"].is_failing(1.0))

    def test_later_process_at_the_address_replaces_the_one_before(self) -> None:
        """Guards against a sign of life of one process that counts for another one."""
        table = EndpointTable()
        entry = an_entry(revision=3, started_ms=5)
        table.apply(entry, 0.0)
        table.apply(an_entry("e1-model", revision=4, started_ms=5), 0.0)
        self.assertFalse(table.is_replaced(entry))
        table.apply(an_entry("e2", revision=5, started_ms=4), 0.0)
        self.assertFalse(table.is_replaced(entry))
        table.apply(an_entry("e3", revision=6, started_ms=6), 0.0)
        self.assertTrue(table.is_replaced(entry))
        table.remove("e3", StorePosition(0, 7), 1.0, NO_OUTAGE)
        table.expire(10.0)
        self.assertFalse(table.is_replaced(entry))
        table.apply(an_entry(revision=8, started_ms=7), 0.0)
        self.assertTrue(table.is_replaced(entry))

    def test_failures_fade(self) -> None:
        """Guards against an endpoint that is avoided forever after a few failures."""
        table = EndpointTable()
        table.apply(an_entry(), 0.0)
        endpoint = table.by_id["e1"]
        for _ in range(6):
            endpoint.record_result(failed=True, now=0.0)
        self.assertTrue(endpoint.is_failing(0.0))
        self.assertFalse(endpoint.is_failing(20.0))

    def test_regular_errors_do_not_condemn(self) -> None:
        """Guards against avoiding endpoints that respond to one in seven requests with an error."""
        table = EndpointTable()
        table.apply(an_entry(), 0.0)
        endpoint = table.by_id["e1"]
        for n in range(70):
            endpoint.record_result(failed=n % 7 == 0, now=n * 0.1)
        self.assertFalse(endpoint.is_failing(7.0))

    def test_reported_load_expires(self) -> None:
        """Guards against placement by an outdated load."""
        table = EndpointTable()
        table.apply(an_entry(), 0.0)
        endpoint = table.by_id["e1"]
        endpoint.record_load(EngineLoad(3, 1, 8), 5.0)
        self.assertEqual(endpoint.reported_load(5.5), 4)
        self.assertIsNone(endpoint.reported_load(8.0))
