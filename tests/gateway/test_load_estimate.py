"""Tests of `gateway.load_estimate`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.load_estimate import MAX_REPORT_AGE_S, LoadEstimate


class LoadEstimateTest(unittest.TestCase):
    """Reports of the other routers' requests, some time later."""

    def test_long_requests_are_still_there(self) -> None:
        """Guards against an engine that looks empty because its report is half a second old."""
        estimate = LoadEstimate()
        estimate.record(4, 0, 0.0)
        estimate.record(20, 0, 0.5)
        expected = estimate.expected(0.9, duration_s=20.0)
        assert expected is not None
        self.assertGreater(expected, 19.0)

    def test_short_calls_have_ended(self) -> None:
        """Guards against routers that leave an endpoint for calls that ended long before."""
        estimate = LoadEstimate()
        for n in range(40):
            estimate.record(2, 0, n * 0.5)
        estimate.record(10, 0, 20.0)
        expected = estimate.expected(20.4, duration_s=0.02)
        assert expected is not None
        self.assertLess(expected, 5.0)
        self.assertGreater(expected, 2.0)

    def test_nothing_is_known_after_reports_stop(self) -> None:
        """Guards against choices by loads of routers that are gone."""
        estimate = LoadEstimate()
        self.assertIsNone(estimate.expected(0.0, 1.0))
        estimate.record(8, 0, 0.0)
        self.assertIsNotNone(estimate.expected(MAX_REPORT_AGE_S, 1.0))
        self.assertIsNone(estimate.expected(MAX_REPORT_AGE_S + 0.1, 1.0))

    def test_mean_of_before_a_gap_is_forgotten(self) -> None:
        """Guards against the load of before an outage that outweighs the first report after it."""
        estimate = LoadEstimate()
        for n in range(20):
            estimate.record(50, 0, n * 0.5)
        estimate.record(1, 0, 60.0)
        self.assertEqual(estimate.expected(60.2, 0.02), 1.0)

    def test_own_requests_tell_of_a_slow_moment(self) -> None:
        """Guards against a router that sees its own calls pile up and waits for the next report."""
        estimate = LoadEstimate()
        for n in range(40):
            estimate.record(8, 1, n * 0.5)
        self.assertAlmostEqual(estimate.own_excess(1), 1.0, places=2)
        self.assertGreater(estimate.own_excess(4), 1.5)
        self.assertLess(estimate.own_excess(0), 1.0)

    def test_reports_at_one_moment_do_not_divide_by_zero(self) -> None:
        """Guards against an exception for two reports, or a duration of nothing, at one moment."""
        estimate = LoadEstimate()
        estimate.record(3, 0, 1.0)
        estimate.record(5, 0, 1.0)
        self.assertIsNotNone(estimate.expected(1.0, 0.0))


if __name__ == "__main__":
    unittest.main()
