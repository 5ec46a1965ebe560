"""Tests of the product's own interface on a platform that is restored from an older copy."""

from __future__ import annotations

import threading
import unittest
from types import MappingProxyType
from typing import TYPE_CHECKING, Any
from unittest import mock

from returns.result import Result, Success

from sequoiadrum._ledger_types import Answered, CallKind, Dispatch, ShardEvent
from sequoiadrum.config_compactor import CONFIG_LOG_NAME
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.configuration import Change, ConfigLog, ObjectKind
from sequoiadrum.interfaces import KeyedState
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.timers import TimerService
from tests.builders import a_change
from tests.fake_platform import FakePlatform
from tests.test_config_writer import Router
from tests.test_ledger import InMemoryStore, states
from tests.test_ledger import Router as LedgerRouter

if TYPE_CHECKING:
    from sequoiadrum.platform_client import PlatformFailure, StoredObject


def _stored_change_ids(platform: FakePlatform) -> list[str]:
    log = ConfigLog.decode(platform.objects[CONFIG_LOG_NAME].value)
    return [change.change_id for change in log.changes]


class WriterTest(unittest.TestCase):
    """Changes that were accepted after the copy was made."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.first, self.second = Router(self.platform), Router(self.platform)
        for router in (self.first, self.second):
            self.addCleanup(router.pool.shutdown)
        self.first.put("a", "acme", 1)
        self.copy = self.platform.copy()
        self.first.put("b", "bolt", 2)
        self.first.put("c", "cord", 3)
        self.platform.restore(self.copy)

    def test_lost_changes_are_written_again(self) -> None:
        """Guards against accepted changes that routers started later never learn of."""
        self.first.writer.restore_lost_changes()
        self.assertEqual(_stored_change_ids(self.platform), ["a", "b", "c"])

    def test_lost_log_is_written_again(self) -> None:
        """Guards against an empty configuration after a copy from before the first change."""
        self.platform.restore((0, {}))
        self.first.writer.restore_lost_changes()
        self.assertEqual(_stored_change_ids(self.platform), ["a", "b", "c"])

    def test_next_change_is_accepted_and_follows_the_lost_ones(self) -> None:
        """Guards against a router that refuses every change until it restarts."""
        self.assertEqual(self.first.put("d", "dent", 4).unwrap().revision, 4)
        self.assertEqual(_stored_change_ids(self.platform), ["a", "b", "c", "d"])

    def test_repeated_lost_change_is_stored(self) -> None:
        """Guards against a change that is confirmed again although the log lacks it."""
        self.assertEqual(self.first.put("c", "cord", 3).unwrap().revision, 3)
        self.assertEqual(_stored_change_ids(self.platform), ["a", "b", "c"])

    def test_change_with_a_reused_revision_is_in_force_everywhere(self) -> None:
        """Guards against routers that keep another change under the same revision."""
        self.assertEqual(self.second.put("d", "dent", 4).unwrap().revision, 2)
        self.first.put("e", "echo", 5)
        self.assertIn("dent", self.first.history.state.accounts_by_name)


class _WatchedPlatform(FakePlatform):
    """Watches wait while the version is the known one, as the platform's do."""

    watches = 0

    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        self.watches += 1
        if self.version_of(name) == known_version:
            threading.Event().wait(0.2)
            return Success(None)
        return self.get(name)


def _lone_link() -> Any:
    me = Member("r1", "h1", 1, 2, "z", "r", 1, 0, MemberState.ALIVE)
    link = mock.Mock()
    link.members.return_value = MappingProxyType({"r1": me})
    link.self_id.return_value = "r1"
    link.last_contact_at.return_value = None
    return link


class WatchTest(unittest.TestCase):
    """The task that watches the log."""

    def setUp(self) -> None:
        self.platform = _WatchedPlatform()
        self.changes: list[Change] = []
        self._append(1)
        self.copy = self.platform.copy()
        self._append(2)
        self._append(3)
        self.task = ConfigTask(self.platform, _lone_link(), mock.Mock(), Metrics(), lambda: None)
        self.lost = threading.Event()
        self.task.subscribe_lost_changes(self.lost.set)
        timers = TimerService(Metrics())
        self.addCleanup(timers.stop)
        self.addCleanup(self.task.stop)
        timers.start()
        self.task.run_on(timers)
        self._wait_for(lambda: self.task.current().revision == 3)

    def _append(self, revision: int) -> None:
        name, value = f"account-{revision}", {"requests_per_s": 1}
        self.changes.append(a_change(ObjectKind.ACCOUNT, name, value, revision))
        version = self.platform.version_of(CONFIG_LOG_NAME)
        self.platform.put(
            CONFIG_LOG_NAME, ConfigLog(tuple(self.changes)).encode(), version
        ).unwrap()

    def _wait_for(self, condition: Any) -> None:
        for _ in range(1_000):
            if condition():
                return
            threading.Event().wait(0.01)
        self.fail("the condition did not hold in time")

    def test_restore_does_not_make_the_watch_spin(self) -> None:
        """Guards against a watch that returns at once, again and again, after a restore."""
        self.platform.restore(self.copy)
        self._wait_for(self.lost.is_set)
        watches = self.platform.watches
        threading.Event().wait(1.0)
        self.assertLess(self.platform.watches - watches, 20)

    def test_lost_changes_are_noticed(self) -> None:
        """Guards against accepted changes that nobody writes again until the next change."""
        self.platform.restore(self.copy)
        self._wait_for(self.lost.is_set)
        self.assertEqual(self.task.current().revision, 3)


def _is_dispatched(events: list[ShardEvent]) -> bool:
    return any(isinstance(event, Dispatch) for event in events)


class LedgerTest(unittest.TestCase):
    """Keyed calls whose outcome was stored after the copy was made."""

    def setUp(self) -> None:
        self.store = InMemoryStore()
        self.owner = LedgerRouter(self.store)
        self.owner.run("1")
        self.copy = self.store.copy()
        self.assertTrue(_is_dispatched(self.owner.run("2")))

    def _next_owner(self) -> LedgerRouter:
        router = LedgerRouter(self.store, "r2")
        router.dead_routers.add("r1")
        return router

    def test_owner_does_not_run_a_repeated_call_again(self) -> None:
        """Guards against an owner that trusts the restored copy more than its own records."""
        self.store.restore(self.copy)
        events = self.owner.run("2")
        self.assertFalse(_is_dispatched(events))
        self.assertTrue(any(isinstance(event, Answered) for event in events))

    def test_next_claim_keeps_the_lost_records(self) -> None:
        """Guards against an owner that gives the shard up, and the records with it."""
        self.store.restore(self.copy)
        self.assertTrue(_is_dispatched(self.owner.run("3")))
        self.assertFalse(_is_dispatched(self._next_owner().run("2")))

    def test_next_claim_keeps_the_records_if_the_copy_has_none(self) -> None:
        """Guards against an order that runs twice because all records of its shard were lost."""
        self.store.restore((0, {}))
        self.assertTrue(_is_dispatched(self.owner.run("3")))
        self.assertFalse(_is_dispatched(self._next_owner().run("2")))

    def test_next_owner_of_an_idle_shard_does_not_run_a_call_again(self) -> None:
        """Guards against an order that runs twice after the only router that knew of it died."""
        self.store.restore(self.copy)
        self.assertFalse(_is_dispatched(self._next_owner().run("2")))

    def test_lost_call_is_unknown_for_every_operation_and_owner(self) -> None:
        """Guards against a call that is reported as not run although its record may be lost."""
        self.store.restore(self.copy)
        router = self._next_owner()
        for kind in CallKind:
            router.call("2", kind)
            self.assertEqual(states(router.pump()), [KeyedState.UNKNOWN])
        last = LedgerRouter(self.store, "r3")
        last.dead_routers.add("r2")
        self.assertEqual(states(last.run("2")), [KeyedState.UNKNOWN])

    def test_owner_that_wrote_since_the_restore_has_lost_nothing(self) -> None:
        """Guards against calls that are unknown although their records were written again."""
        self.store.restore(self.copy)
        self.owner.run("3")
        self.assertTrue(_is_dispatched(self._next_owner().run("4")))

    def test_shard_that_another_router_took_over_is_given_up(self) -> None:
        """Guards against two owners of one shard after the restore."""
        self.store.restore(self.copy)
        next_owner = self._next_owner()
        later_ms = next_owner.now_ms + 1
        self.assertTrue(_is_dispatched(next_owner.run("5", issued_at_ms=later_ms)))
        self.owner.run("6")
        self.assertFalse(self.owner.shard.held)
