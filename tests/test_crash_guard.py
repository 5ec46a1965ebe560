"""Tests of crash counts by fingerprint."""

from __future__ import annotations

import unittest

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event

_NOW = 1_000_000.0


def crash(guard: CrashGuard, endpoint: str, now: float, *fingerprints: str) -> None:
    """Records a crash of an endpoint with requests in flight."""
    guard.crashed(crash_event(endpoint, now), fingerprints, now)


class CrashGuardTest(unittest.TestCase):
    """Tests that a request that crashes endpoints is refused and others in flight are not."""

    def test_refused_after_two_crashes_and_forgotten(self) -> None:
        """Guards against a request that crashes one engine after the other."""
        guard = CrashGuard()
        crash(guard, "e0", _NOW, "bad", "")
        self.assertTrue(guard.is_suspect("bad", _NOW))
        self.assertFalse(guard.is_refused("bad", _NOW))
        crash(guard, "e1", _NOW + 1, "bad")
        self.assertTrue(guard.is_refused("bad", _NOW + 1))
        self.assertFalse(guard.is_refused("", _NOW + 1))
        self.assertFalse(guard.is_suspect("bad", _NOW + 2 + CRASH_TTL_S))

    def test_healthy_neighbour_is_cleared_by_its_run(self) -> None:
        """Guards against refusing a request that was in flight at a crash but did not cause it."""
        guard = CrashGuard()
        crash(guard, "e0", _NOW, "bad", "good")
        self.assertTrue(guard.completed("good", _NOW + 5))
        crash(guard, "e1", _NOW + 6, "good")
        self.assertFalse(guard.is_refused("good", _NOW + 6))

    def test_retracted_crash_does_not_come_back(self) -> None:
        """Guards against a late rumor that restores a retracted crash."""
        local, remote = CrashGuard(), CrashGuard()
        crash(local, "e0", _NOW, "f")
        crash(local, "e1", _NOW + 3, "f")
        late_payload = local.encode("f")
        self.assertTrue(local.retract(crash_event("e0", _NOW), "f", _NOW + 4))
        self.assertFalse(local.retract(crash_event("e0", _NOW), "f", _NOW + 4))
        remote.merge("f", local.encode("f"), _NOW + 5)
        for guard in (local, remote):
            guard.merge("f", late_payload, _NOW + 6)
            self.assertEqual(guard.count("f", _NOW + 6), 1)

    def test_one_crash_seen_by_two_owners_counts_once(self) -> None:
        """Guards against refusing a request after one crash because two owners counted it."""
        local, remote = CrashGuard(), CrashGuard()
        crash(local, "e0", _NOW, "good")
        crash(remote, "e0", _NOW + 0.3, "good")
        for _ in range(2):
            local.merge("good", remote.encode("good"), _NOW + 1)
        self.assertEqual(local.count("good", _NOW + 1), 1)

    def test_rumours_merge_in_any_order(self) -> None:
        """Guards against a late rumor that restores crashes cleared by a completed run."""
        local, remote = CrashGuard(), CrashGuard()
        crash(remote, "e0", _NOW, "f")
        late_payload = remote.encode("f")
        crash(remote, "e1", _NOW + 3, "f")
        local.merge("f", remote.encode("f"), _NOW + 4)
        self.assertTrue(local.is_refused("f", _NOW + 4))
        local.completed("f", _NOW + 5)
        local.merge("f", late_payload, _NOW + 6)
        self.assertFalse(local.is_suspect("f", _NOW + 6))
        self.assertFalse(local.merge("f", b"[1]", _NOW))
