"""Tests of a gateway that was suspended, and of `gateway.pause_detector`."""

from __future__ import annotations

import unittest
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.pause_detector import MAX_GAP_S, PauseDetector
from tests.gateway.scripted_endpoint import ScriptedEndpoint, ok
from tests.gateway.world import World, config_document


class PauseDetectorTest(unittest.TestCase):
    """Observations of the clock, on virtual time."""

    def test_regular_observations_are_no_pause(self) -> None:
        """Guards against reads of the store that a busy instance makes for no reason."""
        detector = PauseDetector(0.0)
        for n in range(10):
            self.assertEqual(detector.observe(n * MAX_GAP_S), float("-inf"))

    def test_first_observation_after_a_gap_detects_the_pause(self) -> None:
        """Guards against a request that is served before a timer has noticed the pause."""
        detector = PauseDetector(0.0)
        self.assertEqual(detector.observe(60.0), 60.0)
        self.assertEqual(detector.observe(60.1), 60.0)
        self.assertEqual(detector.observe(90.0), 90.0)

    def test_threads_that_observe_out_of_order_make_no_pause(self) -> None:
        """Guards against a pause that is detected because a thread was late."""
        detector = PauseDetector(0.0)
        detector.observe(1.5)
        detector.observe(1.0)
        self.assertEqual(detector.observe(3.4), float("-inf"))


class SuspendedGatewayTest(unittest.TestCase):
    """A gateway whose watches show nothing after a pause, as silent connections do."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)
        self.world.add("e1", ScriptedEndpoint(ok))
        self.world.add("e2", ScriptedEndpoint(ok))

    def _pause(self) -> None:
        """Makes the clock of the process jump by a minute, as it does after a suspension."""
        really_now = clock.now
        jump = mock.patch.object(clock, "now", lambda: really_now() + 60.0)  # noqa: PT008
        jump.start()
        self.addCleanup(jump.stop)

    def test_key_that_was_revoked_meanwhile_is_refused(self) -> None:
        """Guards against a request that runs with a permission that ran out during a pause."""
        self.assertEqual(self.world.call("/read/1", "q1")[0], 200)
        self.world.store.drops_watch_events = True
        document = config_document(version=2, tenants=[{"name": "acme", "api_keys": ["other"]}])
        self.world.store.put("config", "main", document)
        self._pause()
        self.assertEqual(self.world.call("/read/1", "q2")[0], 401)

    def test_endpoint_that_left_meanwhile_gets_no_request(self) -> None:
        """Guards against requests to endpoints that left while the process was suspended."""
        self.world.store.drops_watch_events = True
        self.world.register("e1", self.world.endpoints["e1"].address, state="draining")
        self._pause()
        for n in range(6):
            self.assertEqual(self.world.call("/read/1", f"q{n}")[0], 200)
        self.assertEqual(self.world.endpoints["e1"].received, [])

    def test_nothing_is_served_before_the_store_was_read(self) -> None:
        """Guards against requests served by outdated state when the store is away as well."""
        self.world.store.status = 503
        self._pause()
        status, headers, body = self.world.call("/read/1", "q1")
        self.assertEqual((status, body.strip()), (503, b"resumed"))
        self.assertIn("retry-after", headers)
        self.assertEqual(self.world.endpoints["e1"].received, [])
        self.world.store.status = None


if __name__ == "__main__":
    unittest.main()
