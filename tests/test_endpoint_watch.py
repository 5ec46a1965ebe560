"""Tracking of leaving endpoints, and endpoint health by polls."""

from __future__ import annotations

import unittest

from returns.result import Failure, Success

from sequoiadrum.endpoint_watch import LEAVING_TTL_S, EndpointPoller, LeavingEndpoints, Polled
from sequoiadrum.engine_client import EngineFailure
from sequoiadrum.messages import Address, Endpoint, EndpointKind, LoadReport


class LeavingEndpointsTest(unittest.TestCase):
    """Runs on virtual time."""

    def test_drain_holds_until_the_configuration_has_it(self) -> None:
        """Guards against a partitioned router that uses a draining endpoint after the rumor TTL."""
        leaving = LeavingEndpoints()
        leaving.record_drain("e0", True, 7)
        leaving.record_drain("e0", False, 6)
        leaving.record_revision(6)
        self.assertEqual(leaving.all(10 * LEAVING_TTL_S), {"e0"})
        leaving.record_revision(7)
        self.assertEqual(leaving.all(0.0), frozenset())

    def test_sources_are_independent(self) -> None:
        """Guards against one source that clears the leaving state recorded by another source."""
        leaving = LeavingEndpoints()
        leaving.apply_list(["e1"])
        leaving.record_report("e1", False)
        leaving.record_report("e2", True)
        leaving.record_rumor("e3", True, 0.0)
        self.assertEqual(leaving.all(1.0), {"e1", "e2", "e3"})
        leaving.record_report("e2", False)
        self.assertEqual(leaving.all(LEAVING_TTL_S + 1), {"e1"})


class HealthTest(unittest.TestCase):
    """Endpoint health derived from poll results."""

    def test_one_lost_poll_is_no_outage(self) -> None:
        """Guards against moving chats away from an engine because one packet was lost."""
        poller = EndpointPoller(None, None, lambda _: None)  # type: ignore[arg-type]
        self.addCleanup(poller.stop)
        endpoint = Endpoint("e0", "p", EndpointKind.ENGINE, Address("127.0.0.1", 1), "d1")
        outcomes = [
            Failure(EngineFailure.UNREACHABLE),
            Success(LoadReport(0.0)),
            Failure(EngineFailure.BROKEN),
            Failure(EngineFailure.BROKEN),
            Failure(EngineFailure.BUSY),
        ]
        health = [poller.health(Polled(endpoint, 0.0, outcome)) for outcome in outcomes]
        self.assertEqual(health, [None, True, None, False, True])
