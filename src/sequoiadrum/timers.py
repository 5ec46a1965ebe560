"""A timer service that posts messages to tasks when timers expire."""

from __future__ import annotations

import heapq
import itertools
import random
import threading
import time
from typing import TYPE_CHECKING, Final

from attrs import define

from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.tasks import Task


@define(eq=False)
class Subscription:
    """One registered timer."""

    task: Task
    """The task that receives the message."""
    message: object
    """The message posted each time the timer expires."""
    interval_s: float | None
    """Time between expirations; None for a timer that expires once."""
    active: bool = True
    """False after a call of `cancel`."""

    def cancel(self) -> None:
        """Stops further messages of the timer."""
        self.active = False


class TimerService:
    """A thread that posts the messages of timers as they expire on the monotonic clock."""

    def __init__(self, metrics: Metrics) -> None:
        self._condition = threading.Condition()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._stopped = False
        self.thread: Final = SupervisedThread("timers", self._run, metrics)

    def start(self) -> None:
        """Starts the timer thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stops the timer thread and discards pending timers."""
        self.thread.stop()
        with self._condition:
            self._stopped = True
            self._condition.notify()
        self.thread.join()

    def subscribe(self, task: Task, interval_s: float, message: object) -> Subscription:
        """Posts a message at a fixed interval, first after a random part of the interval.

        The random phase keeps the timers of different routers from expiring simultaneously.
        """
        subscription = Subscription(task, message, interval_s)
        self._push(time.monotonic() + random.random() * interval_s, subscription)
        return subscription

    def schedule(self, task: Task, delay_s: float, message: object) -> Subscription:
        """Posts a message once, after `delay_s` seconds."""
        subscription = Subscription(task, message, None)
        self._push(time.monotonic() + delay_s, subscription)
        return subscription

    def _push(self, due: float, subscription: Subscription) -> None:
        with self._condition:
            heapq.heappush(self._heap, (due, next(self._order), subscription))
            self._condition.notify()

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                now = time.monotonic()
                if not self._heap or self._heap[0][0] > now:
                    self._condition.wait(self._heap[0][0] - now if self._heap else None)
                    continue
                due, _, subscription = heapq.heappop(self._heap)
            self._expire(due, subscription)

    def _expire(self, due: float, subscription: Subscription) -> None:
        if not subscription.active:
            return
        if subscription.interval_s is not None:
            # Expirations that were missed while the process was paused are skipped. The next one
            # is scheduled first, so that a failure to post does not end the timer.
            self._push(
                max(due, time.monotonic() - subscription.interval_s) + subscription.interval_s,
                subscription,
            )
        subscription.task.post(subscription.message)
