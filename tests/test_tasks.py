"""Tests of tasks and timers."""

from __future__ import annotations

import threading
import time
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from attrs import define, frozen

from sequoiadrum import tasks
from sequoiadrum.errors import InvariantError
from sequoiadrum.metrics import Metrics
from sequoiadrum.tasks import Ask, MailboxFullError, Task
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable


@define(eq=False)
class Double(Ask[int]):
    """Requests twice a number."""

    number: int


@frozen
class Fail:
    """Makes the handler raise."""

    error: Exception


class DoublingTask(Task):
    """Doubles numbers."""

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        return {Double: lambda ask: ask.answer(2 * ask.number), Fail: self._fail}

    def _fail(self, message: Fail) -> None:
        raise message.error


class TaskTest(unittest.TestCase):
    """A task handles its messages in order, and a failed message does not stop it."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        self.broken = threading.Event()
        self.task = DoublingTask("doubling", self.metrics, self.broken.set)

    def test_answers_after_failed_message(self) -> None:
        """Guards against a task that stops because a handler raised an exception."""
        self.task.start()
        with mock.patch.object(tasks, "_log"):
            self.task.post(Fail(ValueError("bad")))
            self.assertEqual(self.task.ask(Double(4)).result(10), 8)
        self.assertEqual(self.metrics.value("message_failures_total", task="doubling"), 1)
        self.assertFalse(self.broken.is_set())
        self.task.stop()

    def test_broken_invariant_is_reported(self) -> None:
        """Guards against a process that keeps running after a broken invariant."""
        self.task.start()
        with mock.patch.object(tasks, "_log"):
            self.task.post(Fail(InvariantError("broken")))
            self.assertTrue(self.broken.wait(10))
        self.task.stop()

    def test_full_mailbox_refuses(self) -> None:
        """Guards against a mailbox that grows without bound while its task is busy."""
        with mock.patch.object(tasks, "MAILBOX_LIMIT", 2):
            task = DoublingTask("busy", self.metrics, self.broken.set)
        self.assertTrue(task.post(Double(1)))
        self.assertTrue(task.post(Double(1)))
        with self.assertRaises(MailboxFullError):
            task.ask(Double(1)).result(0)
        self.assertEqual(self.metrics.value("mailbox_full_total", task="busy"), 1)


class TimerServiceTest(unittest.TestCase):
    """Timers deliver messages until they are cancelled."""

    def test_failed_post_does_not_end_the_timer(self) -> None:
        """Guards against a timer that is never due again after its message could not be posted."""
        metrics = Metrics()
        timers = TimerService(metrics)
        timers.start()
        self.addCleanup(timers.stop)
        posted = threading.Event()
        receiver = mock.Mock()
        receiver.post.side_effect = lambda _: receiver.post.call_count == 1 or posted.set()
        failing = mock.Mock(post=mock.Mock(side_effect=[LookupError("injected"), *[True] * 10_000]))
        timers.subscribe(failing, 0.01, "tick")
        timers.subscribe(receiver, 0.01, "tick")
        self.assertTrue(posted.wait(10))
        deadline = time.monotonic() + 10
        while failing.post.call_count < 3 and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertGreaterEqual(failing.post.call_count, 3)
        self.assertEqual(metrics.value("thread_failures_total", thread="timers"), 1)

    def test_repeats_until_cancelled(self) -> None:
        """Guards against a cancelled timer that still posts messages."""
        timers = TimerService(Metrics())
        timers.start()
        self.addCleanup(timers.stop)
        ticks = threading.Semaphore(0)
        receiver = mock.Mock(post=lambda message: ticks.release())
        subscription = timers.subscribe(receiver, 0.01, "tick")
        for _ in range(3):
            self.assertTrue(ticks.acquire(timeout=10))
        subscription.cancel()
        once = threading.Event()
        timers.schedule(mock.Mock(post=lambda message: once.set()), 0.01, "once")
        self.assertTrue(once.wait(10))
