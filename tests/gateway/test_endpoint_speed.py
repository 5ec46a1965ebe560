"""Tests of `gateway.endpoint_speed`."""

from __future__ import annotations

import math
import unittest

from sequoiadrum.gateway.endpoint_speed import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    ObservedSpeeds,
    StatedSpeed,
)


def _expected(speed: StatedSpeed, now: float, duration_s: float = 0.1) -> float:
    expected = speed.expected(now, duration_s)
    assert expected is not None
    return expected


class StatedSpeedTest(unittest.TestCase):
    """Figures that endpoints state of their hosts."""

    def test_old_figure_does_not_count(self) -> None:
        """Guards against an engine that is avoided for a slow spell that ended long ago."""
        speed = StatedSpeed()
        for n in range(30):
            speed.record(1.0, n * 1.0)
        speed.record(2.5, 30.0)
        self.assertGreater(_expected(speed, 30.0), 2.0)
        self.assertLess(_expected(speed, 33.0), 1.5)

    def test_spell_counts_less_for_long_requests(self) -> None:
        """Guards against chats that leave their cached parts for a spell much shorter than they."""
        speed = StatedSpeed()
        for n in range(30):
            speed.record(1.0, n * 1.0)
        speed.record(2.5, 30.0)
        self.assertLess(_expected(speed, 30.0, 5.0), _expected(speed, 30.0, 0.1) - 0.5)

    def test_lasting_slowness_is_learnt(self) -> None:
        """Guards against a slow host that counts as a usual one between two responses."""
        speed = StatedSpeed()
        for n in range(60):
            speed.record(3.0, n * 1.0)
        self.assertGreater(_expected(speed, 75.0), 2.5)

    def test_figure_that_changes_with_each_response_does_not_flap(self) -> None:
        """Guards against routers that follow a figure which changes many times a second."""
        speed = StatedSpeed()
        seen = []
        for n in range(400):
            now = n * 0.02
            speed.record(1.0 if n % 2 else 2.0, now)
            if n > 200:
                seen.append(_expected(speed, now))
        self.assertLess(max(seen) - min(seen), 0.15)

    def test_false_figures_are_bounded(self) -> None:
        """Guards against one false figure that attracts all requests, or excludes an endpoint."""
        for stated in (0.0, -5.0, 1e9, math.inf, math.nan):
            speed = StatedSpeed()
            speed.record(1.0, 0.0)
            for n in range(1, 300):
                speed.record(stated, n * 0.1)
            self.assertTrue(MIN_SLOWDOWN <= _expected(speed, 30.0) <= MAX_SLOWDOWN, stated)

    def test_unknown_speed(self) -> None:
        """Guards against a speed that is made up for an endpoint that has stated none."""
        self.assertIsNone(StatedSpeed().expected(5.0, 1.0))


class ObservedSpeedsTest(unittest.TestCase):
    """Durations of calls to endpoints that state nothing."""

    def _observe(self, speeds: ObservedSpeeds, slow: float, calls: int, start: float = 0.0) -> None:
        for n in range(calls):
            for name in ("a", "b", "c", "d"):
                speeds.record(name, 0.02 * (slow if name == "a" else 1.0), start + n * 0.05)

    def test_slow_endpoint_is_told_apart(self) -> None:
        """Guards against a server that takes four times as long and gets as many calls."""
        speeds = ObservedSpeeds()
        self._observe(speeds, 4.0, 30)
        slow, usual = speeds.expected("a", 1.5), speeds.expected("b", 1.5)
        assert slow is not None
        assert usual is not None
        self.assertGreater(slow, 2 * usual)

    def test_one_long_call_marks_no_endpoint(self) -> None:
        """Guards against calls that leave an endpoint because one of them was large."""
        speeds = ObservedSpeeds()
        self._observe(speeds, 1.0, 5)
        speeds.record("a", 0.06, 0.25)
        slow = speeds.expected("a", 0.25)
        assert slow is not None
        self.assertLess(slow, 1.25)

    def test_former_slowness_is_forgotten(self) -> None:
        """Guards against an endpoint that is avoided for good, so that nobody sees it recover."""
        speeds = ObservedSpeeds()
        self._observe(speeds, 4.0, 30)
        for n in range(200):
            speeds.record("b", 0.02, 2.0 + n * 0.1)
        recovered = speeds.expected("a", 22.0)
        assert recovered is not None
        self.assertLess(recovered, 1.1)

    def test_removed_endpoints_are_forgotten(self) -> None:
        """Guards against memory that grows with each endpoint that was ever there."""
        speeds = ObservedSpeeds()
        self._observe(speeds, 4.0, 30)
        speeds.forget({"b"})
        self.assertIsNone(speeds.expected("a", 1.5))
        self.assertIsNotNone(speeds.expected("b", 1.5))

    def test_too_few_calls_say_nothing(self) -> None:
        """Guards against a comparison of endpoints by a call or two."""
        speeds = ObservedSpeeds()
        speeds.record("a", 5.0, 0.0)
        self.assertIsNone(speeds.expected("a", 0.0))
        self.assertIsNone(speeds.expected("b", 0.0))


if __name__ == "__main__":
    unittest.main()
