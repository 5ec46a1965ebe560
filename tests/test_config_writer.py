"""Tests of the acceptance, compaction and order of configuration changes."""

from __future__ import annotations

import random
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from sequoiadrum._config_codec import unpack
from sequoiadrum._config_history import RETAINED_CHANGES, ConfigHistory
from sequoiadrum.config_compactor import CONFIG_LOG_NAME, LOG_LIMIT_BYTES, compact
from sequoiadrum.config_loader import load
from sequoiadrum.config_writer import PlatformConfigWriter
from sequoiadrum.configuration import (
    ChangeConflict,
    ChangeRequest,
    ConfigLog,
    ConfigState,
    ObjectKind,
)
from sequoiadrum.interfaces import ConfigOutcomeUnknown, ConfigUnavailable
from sequoiadrum.metrics import Metrics
from tests.builders import a_change
from tests.fake_platform import FakePlatform


class Router:
    """A configuration writer with the history that its router would hold."""

    def __init__(self, platform: FakePlatform) -> None:
        self.history = ConfigHistory()
        self.pool = ThreadPoolExecutor(1)
        self.writer = PlatformConfigWriter(
            platform,
            lambda: self.history.state,
            self.history.changes_since,
            self._accept,
            Metrics(),
            self.pool,
        )

    def _accept(self, log: ConfigLog, _version: int) -> None:
        if self.history.state.revision >= log.base_revision:
            self.history.extend(log.changes)

    def put(self, change_id: str, name: str, rate: int, expected: int | None = None) -> object:
        """Submits a change of an account's rate and returns the outcome."""
        value = {"requests_per_s": rate}
        request = ChangeRequest(change_id, ObjectKind.ACCOUNT, name, value, expected)
        return self.writer.submit(request)


def _load_stored(platform: FakePlatform) -> ConfigState:
    log = ConfigLog.decode(platform.objects[CONFIG_LOG_NAME].value)
    return load(platform, ConfigState(), log).unwrap()


class WriterTest(unittest.TestCase):
    """Concurrent writes, lost responses and platform outages."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.routers = [Router(self.platform), Router(self.platform)]
        for router in self.routers:
            self.addCleanup(router.pool.shutdown)

    def test_race_has_one_winner(self) -> None:
        """Guards against reporting two conflicting changes as accepted."""
        first, second = self.routers
        self.platform.before_put = lambda: second.put("b", "acme", 2, expected=0)
        outcome = first.put("a", "acme", 1, expected=0)
        self.assertEqual(outcome, Failure(ChangeConflict("account/acme", 0, 1, "b")))
        self.assertEqual(_load_stored(self.platform).accounts_by_name["acme"].requests_per_s, 2)

    def test_concurrent_change_of_other_object(self) -> None:
        """Guards against a conflict between concurrent changes of different objects."""
        first, second = self.routers
        self.platform.before_put = lambda: second.put("b", "bolt", 2, expected=0)
        self.assertEqual(first.put("a", "acme", 1, expected=0).unwrap().revision, 2)
        self.assertEqual(sorted(_load_stored(self.platform).accounts_by_name), ["acme", "bolt"])

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(0, 10_000))
    def test_lost_answers_apply_once(self, seed: int) -> None:
        """Guards against a change that is applied twice, or reported as refused but applied."""
        platform = FakePlatform(
            random.Random(seed), lose_before=0.2, lose_after=0.2, delay_lost=0.5
        )
        routers = [Router(platform), Router(platform)]
        accepted = set()
        for number in range(12):
            with patch("sequoiadrum.config_writer.time.sleep"):
                outcome = routers[number % 2].put(f"c{number}", f"account-{number % 3}", 1)
            if isinstance(outcome, Success):
                accepted.add(f"c{number}")
            else:
                self.assertIsInstance(outcome.failure(), ConfigOutcomeUnknown)
        log = ConfigLog.decode(platform.objects[CONFIG_LOG_NAME].value)
        ids = [change.change_id for change in log.changes]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertLessEqual(accepted, set(ids))
        self.assertEqual([c.revision for c in log.changes], list(range(1, len(ids) + 1)))
        for router in routers:
            router.pool.shutdown()

    def test_outage(self) -> None:
        """Guards against an unknown outcome reported as unavailable, and the reverse.

        The first change is submitted while the platform is down. The write of the second takes
        effect, but its response is lost and the platform is down for the reads that follow.
        """
        router = self.routers[0]
        self.platform.down = True
        self.assertIsInstance(router.put("a", "acme", 1).failure(), ConfigUnavailable)
        self.platform.down = False
        self.platform.lose_after = 1.0
        reads = iter([False] + [True] * 10)
        real = FakePlatform.get

        def get(name: str) -> object:
            self.platform.down = next(reads)
            return real(self.platform, name)

        self.platform.get = get  # type: ignore[method-assign]
        self.platform.before_put = lambda: setattr(self.platform, "down", False)
        self.assertEqual(router.put("b", "acme", 1), Failure(ConfigOutcomeUnknown("b")))

    def test_repeated_change_id(self) -> None:
        """Guards against a second effect when an operator's client retries at another router."""
        first = self.routers[0].put("a", "acme", 1)
        self.routers[0].put("b", "acme", 2)
        self.assertEqual(self.routers[1].put("a", "acme", 1), first)
        self.assertEqual(_load_stored(self.platform).accounts_by_name["acme"].requests_per_s, 2)


class CompactionTest(unittest.TestCase):
    """Compaction neither loses changes nor restores deleted objects."""

    def _fill(self, platform: FakePlatform, router: Router) -> None:
        """Appends 899 changes to the log in one write, which exceeds the size limit."""
        read = platform.get(CONFIG_LOG_NAME)
        log = ConfigLog.decode(read.unwrap().value) if isinstance(read, Success) else ConfigLog()
        changes = [
            a_change(
                ObjectKind.ACCOUNT, f"account-{n % 300}", {"requests_per_s": n}, log.revision + n
            )
            for n in range(1, 900)
        ]
        log = evolve(log, changes=(*log.changes, *changes))
        self.assertGreater(len(log.encode()), LOG_LIMIT_BYTES)
        platform.put(CONFIG_LOG_NAME, log.encode(), platform.version_of(CONFIG_LOG_NAME))
        router.history.extend(log.changes)

    def test_compaction_keeps_every_object(self) -> None:
        """Guards against objects that a compaction loses or restores after their deletion.

        The second round loses the responses to all writes, as an interrupted compaction would.
        """
        platform = FakePlatform()
        router = Router(platform)
        router.writer._compact = lambda: None  # type: ignore[method-assign]
        self.addCleanup(router.pool.shutdown)
        stale_history = ConfigHistory()
        for round_number in range(3):
            self._fill(platform, router)
            delete = ChangeRequest(
                f"d{round_number}", ObjectKind.ACCOUNT, f"account-{round_number}", None, None
            )
            router.writer.submit(delete)
            expected = dict(router.history.state.accounts_by_name)
            platform.lose_after = 1.0 if round_number == 1 else 0.0
            compacted = compact(platform, router.history.state)
            platform.lose_after = 0.0
            self.assertTrue(compacted or round_number == 1)
            log = ConfigLog.decode(platform.objects[CONFIG_LOG_NAME].value)
            self.assertEqual(log.changes, ())
            for state in (ConfigState(), stale_history.state):
                loaded = load(platform, state, log).unwrap()
                self.assertEqual(loaded.accounts_by_name, expected)
                self.assertEqual(loaded.revision, router.history.state.revision)
            stale_history.replace(loaded)

    def test_append_during_compaction(self) -> None:
        """Guards against a compaction that overwrites a change accepted while it runs."""
        platform = FakePlatform()
        first, second = Router(platform), Router(platform)
        for router in (first, second):
            self.addCleanup(router.pool.shutdown)
            router.writer._compact = lambda: None  # type: ignore[method-assign]
        self._fill(platform, first)
        platform.before_put = lambda: second.put("late", "late", 5)
        self.assertTrue(compact(platform, first.history.state))
        self.assertIn("late", _load_stored(platform).accounts_by_name)


class OrderTest(unittest.TestCase):
    """The applied revision never decreases, in whatever order updates arrive."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 30), st.booleans())))
    def test_arrival(self, arrivals: list[tuple[int, int, bool]]) -> None:
        """Guards against an older revision that replaces a newer one, or a skipped revision."""
        changes = [
            a_change(ObjectKind.ACCOUNT, f"account-{n % 4}", {"requests_per_s": n}, n)
            for n in range(1, 31)
        ]
        history = ConfigHistory()
        for since, until, snapshot in arrivals:
            before = history.state
            if snapshot:
                history.replace(ConfigState().apply(changes[:until]))
            else:
                history.extend(changes[since:until])
            self.assertGreaterEqual(history.state.revision, before.revision)
            expected = ConfigState().apply(changes[: history.state.revision])
            self.assertEqual(history.state, expected)

    def test_peer_catches_up(self) -> None:
        """Guards against a peer that stays behind once changes are no longer retained.

        Every seventh change deletes an object, so the snapshot must convey deletions as well.
        """
        source, peer = ConfigHistory(), ConfigHistory()
        total = RETAINED_CHANGES + 50
        values = [None if n % 7 == 0 else {"requests_per_s": n} for n in range(1, total + 1)]
        changes = [
            a_change(ObjectKind.ACCOUNT, f"account-{n % 40}", value, n)
            for n, value in enumerate(values, 1)
        ]
        for end in (10, 30, total - 1, total):
            source.extend(changes[:end])
            for _ in range(3):
                update = source.update_since(peer.state.revision)
                received = unpack(update.payload)
                if update.snapshot:
                    peer.replace(ConfigState.from_snapshot(received, update.revision))
                else:
                    peer.extend(received)
            self.assertEqual(peer.state.revision, end)
            self.assertEqual(peer.state.accounts_by_name, source.state.accounts_by_name)


if __name__ == "__main__":
    unittest.main()
