"""The timer service: delivers ticks as messages to subscribed tasks."""

from __future__ import annotations

import heapq
import itertools
import random
import threading
import time
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from sequoiadrum.tasks import Task


@define(eq=False)
class Subscription:
    """One registered timer."""

    task: Task
    """Receiver of the message."""
    message: object
    """Posted at each expiry."""
    interval_s: float | None
    """Time between expiries; None for a single one."""
    active: bool = True
    """False once cancelled."""

    def cancel(self) -> None:
        """Stops further deliveries."""
        self.active = False


class TimerService:
    """One thread that posts messages at their time, on the monotonic clock."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; pending timers are dropped."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        self._thread.join()

    def subscribe(self, task: Task, interval_s: float, message: object) -> Subscription:
        """Posts the message at a fixed interval; the first after a random part of it.

        The random phase keeps the routers of a fleet from ticking together.
        """
        subscription = Subscription(task, message, interval_s)
        self._push(time.monotonic() + random.random() * interval_s, subscription)
        return subscription

    def schedule(self, task: Task, delay_s: float, message: object) -> Subscription:
        """Posts the message once after the delay."""
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
        subscription.task.post(subscription.message)
        if subscription.interval_s is not None:
            # A process that was paused does not catch up on missed ticks.
            self._push(
                max(due, time.monotonic() - subscription.interval_s) + subscription.interval_s,
                subscription,
            )
