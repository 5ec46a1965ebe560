"""Threads that go on after a failure, and whether they can be kept running."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.logs import LineLimit, get_logger, traceback_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.metrics import Metrics

MIN_RESTART_DELAY_S: Final = 0.05
MAX_RESTART_DELAY_S: Final = 2.0
"""Pause before the work starts again; it doubles with each failure in a row."""
STABLE_RUN_S: Final = 10.0
"""A run of this length ends a row of failures."""
MAX_FAILURES_IN_A_ROW: Final = 3
"""From this many failures in a row on, the thread counts as one that cannot be kept running."""

_log = get_logger(__name__)


class SupervisedThread:
    """A daemon thread that starts its work again when it fails or ends before `stop` is called.

    Each failure is counted and logged with its traceback; the number of lines is limited.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], None],
        metrics: Metrics,
        *,
        is_needed: bool = True,
    ) -> None:
        """Creates a thread that does nothing until `start`.

        Args:
            name: Name of the thread, in log lines and metrics.
            run: The work, which returns only after `stop`. It is called again after it raised an
                exception, so that it must be able to continue from the state that it left.
            metrics: Counts the failures.
            is_needed: Whether the process must not serve while the thread cannot be kept running.
        """
        self.name: Final = name
        self.is_needed: Final = is_needed
        self._run = run
        self._metrics = metrics
        self._line_limit = LineLimit()
        self._stopped = threading.Event()
        self._is_started = False
        self._failures_in_a_row = 0
        self._run_began_at = float("inf")
        self._thread = threading.Thread(target=self._supervise, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()
        self._is_started = True

    def stop(self) -> None:
        """Lets the thread end with its work, or with its pause; does not wait for it."""
        self._stopped.set()

    def join(self, timeout_s: float | None = None) -> None:
        """Waits for the end of the thread."""
        self._thread.join(timeout_s)

    def is_alive(self) -> bool:
        """Returns whether the thread was started and has not ended."""
        return self._thread.is_alive()

    def is_failing(self) -> bool:
        """Returns whether the work cannot be kept running at the moment."""
        if self._stopped.is_set() or not self._is_started:
            return False
        if not self._thread.is_alive():
            return True
        is_stable = time.monotonic() - self._run_began_at >= STABLE_RUN_S
        return self._failures_in_a_row >= MAX_FAILURES_IN_A_ROW and not is_stable

    def _supervise(self) -> None:
        while not self._stopped.is_set():
            began_at = self._run_began_at = time.monotonic()
            try:
                self._run()
                if self._stopped.is_set():
                    return
                detail = "the work ended"
            except BaseException as error:  # A SystemExit would end the thread without a message.
                detail = traceback_of(error)
            self._run_began_at = float("inf")
            if time.monotonic() - began_at >= STABLE_RUN_S:
                self._failures_in_a_row = 0
            self._failures_in_a_row += 1
            self._record_failure(detail)
            doublings = min(self._failures_in_a_row - 1, 10)
            self._stopped.wait(min(MAX_RESTART_DELAY_S, MIN_RESTART_DELAY_S * 2**doublings))

    def _record_failure(self, detail: str) -> None:
        self._metrics.count("thread_failures_total", thread=self.name)
        if not self._line_limit.allows():
            return
        try:
            _log.error(
                "thread_failed",
                thread=self.name,
                failures_in_a_row=self._failures_in_a_row,
                detail=detail,
            )
        except Exception:  # The log may be what failed; the failure was counted.
            self._metrics.count("log_lines_dropped_total", reason="unwritable")


class ThreadMonitor:
    """Knows the long-lived threads of a process, and whether they can be kept running."""

    def __init__(self, metrics: Metrics) -> None:
        self._threads: list[SupervisedThread] = []
        metrics.gauge("threads_failing", lambda: float(len(self.failing())))

    def add(self, *threads: SupervisedThread) -> None:
        """Adds threads; must be called before they are started."""
        self._threads += threads

    def threads(self) -> tuple[SupervisedThread, ...]:
        """Returns all threads that were added."""
        return tuple(self._threads)

    def failing(self) -> list[str]:
        """Returns the names of the threads that cannot be kept running at the moment."""
        return [thread.name for thread in self._threads if thread.is_failing()]

    def can_serve(self) -> bool:
        """Returns whether all threads that the promises of the process need are running."""
        return not any(thread.is_failing() for thread in self._threads if thread.is_needed)
