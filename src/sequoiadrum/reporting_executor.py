"""A thread pool whose jobs do not fail silently."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from sequoiadrum.logs import LineLimit, get_logger, traceback_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.metrics import Metrics

_log = get_logger(__name__)


class ReportingExecutor(ThreadPoolExecutor):
    """Counts the jobs that raise an exception, and logs them with their traceback.

    A `ThreadPoolExecutor` keeps the exception in a future, which nobody reads where the result of a
    job is a message. The worker goes on; the number of log lines is limited.
    """

    def __init__(self, threads: int, name: str, metrics: Metrics) -> None:
        """Creates a pool that starts its threads on demand.

        Args:
            threads: Maximum number of threads.
            name: Prefix of the names of the threads, and label of the metric.
            metrics: Counts the failures.
        """
        super().__init__(threads, thread_name_prefix=name)
        self.name: Final = name
        self._metrics = metrics
        self._line_limit = LineLimit()

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """See `Executor.submit`."""
        future = super().submit(fn, *args, **kwargs)
        future.add_done_callback(self._record_end)
        return future

    def _record_end(self, future: Future[Any]) -> None:
        error = None if future.cancelled() else future.exception()
        if error is None:
            return
        self._metrics.count("job_failures_total", pool=self.name)
        if self._line_limit.allows():
            _log.error("job_failed", pool=self.name, detail=traceback_of(error))
