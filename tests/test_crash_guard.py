"""Counting of crashes by fingerprint."""

from __future__ import annotations

import unittest

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event

_NOW = 1_000_000.0


def crash(guard: CrashGuard, endpoint: str, now: float, *fingerprints: str) -> None:
    """Records a crash."""
    guard.crashed(crash_event(endpoint, now), fingerprints, now)


class CrashGuardTest(unittest.TestCase):
    """A request that crashes endpoints is refused; its neighbours are not."""

    def test_refused_after_two_crashes_and_forgotten(self) -> None:
        """Guards against a request that takes down one engine after the other."""
        guard = CrashGuard()
        crash(guard, "e0", _NOW, "bad", "")
        self.assertTrue(guard.is_suspect("bad", _NOW))
        self.assertFalse(guard.is_refused("bad", _NOW))
        crash(guard, "e1", _NOW + 1, "bad")
        self.assertTrue(guard.is_refused("bad", _NOW + 1))
        self.assertFalse(guard.is_refused("", _NOW + 1))
        self.assertFalse(guard.is_suspect("bad", _NOW + 2 + CRASH_TTL_S))

    def test_healthy_neighbour_is_cleared_by_its_run(self) -> None:
        """Guards against refusing a request that was only on the same engine."""
        guard = CrashGuard()
        crash(guard, "e0", _NOW, "bad", "good")
        self.assertTrue(guard.completed("good", _NOW + 5))
        crash(guard, "e1", _NOW + 6, "good")
        self.assertFalse(guard.is_refused("good", _NOW + 6))

    def test_retracted_crash_does_not_come_back(self) -> None:
        """Guards against a late rumour about a crash in which the request had no part."""
        here, there = CrashGuard(), CrashGuard()
        crash(here, "e0", _NOW, "f")
        crash(here, "e1", _NOW + 3, "f")
        late = here.encode("f")
        self.assertTrue(here.retract(crash_event("e0", _NOW), "f", _NOW + 4))
        self.assertFalse(here.retract(crash_event("e0", _NOW), "f", _NOW + 4))
        there.merge("f", here.encode("f"), _NOW + 5)
        for guard in (here, there):
            guard.merge("f", late, _NOW + 6)
            self.assertEqual(guard.count("f", _NOW + 6), 1)

    def test_one_crash_seen_by_two_owners_counts_once(self) -> None:
        """Guards against refusing after one crash because two owners counted it."""
        here, there = CrashGuard(), CrashGuard()
        crash(here, "e0", _NOW, "good")
        crash(there, "e0", _NOW + 0.3, "good")
        for _ in range(2):
            here.merge("good", there.encode("good"), _NOW + 1)
        self.assertEqual(here.count("good", _NOW + 1), 1)

    def test_rumours_merge_in_any_order(self) -> None:
        """Guards against a late rumour that revives crashes cleared by a completed run."""
        here, there = CrashGuard(), CrashGuard()
        crash(there, "e0", _NOW, "f")
        late = there.encode("f")
        crash(there, "e1", _NOW + 3, "f")
        here.merge("f", there.encode("f"), _NOW + 4)
        self.assertTrue(here.is_refused("f", _NOW + 4))
        here.completed("f", _NOW + 5)
        here.merge("f", late, _NOW + 6)
        self.assertFalse(here.is_suspect("f", _NOW + 6))
        self.assertFalse(here.merge("f", b"[1]", _NOW))
