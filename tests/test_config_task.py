"""Tests of `config_task` with jobs that fail."""

from __future__ import annotations

import threading
import time
import unittest
from types import MappingProxyType
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from sequoiadrum.config_compactor import CONFIG_LOG_NAME
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.configuration import ConfigLog, ObjectKind
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform_client import PlatformFailure, StoredObject
from sequoiadrum.timers import TimerService
from tests.builders import a_change


def _link(*names: str) -> Any:
    """Returns a membership in which all routers are alive; the first one is this router."""
    members = {
        name: Member(name, f"h{n}", 1, 2, "z", "r", n, 0, MemberState.ALIVE)
        for n, name in enumerate(names)
    }
    link = mock.Mock()
    link.members.return_value = MappingProxyType(members)
    link.self_id.return_value = names[0]
    link.last_contact_at.return_value = None
    return link


class FailedJobTest(unittest.TestCase):
    """Calls that end with an exception, which no client of this repository should raise."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        change = a_change(ObjectKind.ACCOUNT, "acme", {"requests_per_s": 1}, 1)
        self.stored = StoredObject(CONFIG_LOG_NAME, 1, ConfigLog((change,)).encode())
        self.platform = mock.Mock()
        self.platform.get.return_value = Success(self.stored)
        self.platform.watch.side_effect = self._watch
        self.peers = mock.Mock()
        self.peers.call.return_value = Failure(PlatformFailure.UNREACHABLE)

    def _watch(self, *_: Any) -> Any:
        threading.Event().wait(0.05)
        return Success(self.stored)

    def _start(self, link: Any) -> ConfigTask:
        task = ConfigTask(self.platform, link, self.peers, self.metrics, lambda: None)
        timers = TimerService(self.metrics)
        self.addCleanup(timers.stop)
        self.addCleanup(task.stop)
        timers.start()
        task.run_on(timers)
        return task

    def _wait_for(self, condition: Any) -> None:
        deadline = time.monotonic() + 15
        while not condition() and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertTrue(condition())

    def _failures(self) -> float:
        return self.metrics.value("job_failures_total", pool="config-io")

    def test_failed_read_is_repeated(self) -> None:
        """Guards against a configuration that is never read again after a failed job."""
        self.platform.get.side_effect = [LookupError("injected"), *[Success(self.stored)] * 1_000]
        self.platform.watch.side_effect = lambda *_: Failure(PlatformFailure.UNREACHABLE)
        task = self._start(_link("r1"))
        self._wait_for(lambda: task.current().revision == 1)
        self.assertEqual(self._failures(), 1)

    def test_failed_watch_is_repeated(self) -> None:
        """Guards against a configuration that is never watched again after a failed job."""
        results: list[Any] = [LookupError("injected")]

        def watch(*_: Any) -> Any:
            if results:
                raise results.pop()
            return self._watch()

        self.platform.watch.side_effect = watch
        self._start(_link("r1"))
        self._wait_for(lambda: self.platform.watch.call_count >= 3)
        self.assertEqual(self._failures(), 1)

    def test_failed_pulls_do_not_hold_up_the_start(self) -> None:
        """Guards against a router that waits for ever for a peer whose call failed."""
        self.peers.call.side_effect = LookupError("injected")
        self.platform.get.side_effect = lambda _: Failure(PlatformFailure.UNREACHABLE)
        link = _link("r1", "r2")
        task = self._start(link)
        self._wait_for(lambda: self.peers.call.call_count >= 2 and not task._pulling)
        self.assertGreaterEqual(self._failures(), 1)
