"""A structured event log that never blocks its callers and uses bounded memory."""

from __future__ import annotations

import json
import logging
import sys
import threading
import time
from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Final, TextIO

from sequoiadrum.gateway import clock
from sequoiadrum.logs import LineLimit, configure_on_first_use, traceback_of
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import MutableMapping, Sequence

    from sequoiadrum.metrics import Metrics

QUEUE_LINES: Final = 4_000
"""Maximum number of lines that wait to be written to a slow output; about 2 MB."""
ROUTINE_LINES_PER_S: Final = 100
"""Limit on lines per second for served requests; it does not apply to refusals and failures."""
MAX_LOGGED_PARTS: Final = 8
MAX_LOGGED_PART_CHARS: Final = 40
"""Callers choose the ids of prompt parts; log lines must stay short."""
_FLUSH_S: Final = 0.5
"""How often lines are written; writing many lines together saves CPU time."""


class LogPriority(IntEnum):
    """Priority of a line; routine lines are dropped first when there are too many."""

    ROUTINE = 0
    """A served request; limited by `ROUTINE_LINES_PER_S`."""
    NOTABLE = 1
    """A refusal, a failure or a change of the known state; dropped only when the queue is full."""


class EventLog:
    """Writes JSON lines to an output stream from a separate thread.

    At most `ROUTINE_LINES_PER_S` routine lines per second are kept. Notable lines are dropped only
    while `QUEUE_LINES` lines are waiting. Dropped lines are counted in a metric and reported by a
    separate line.
    """

    def __init__(self, instance_id: str, metrics: Metrics, output: TextIO) -> None:
        self._output = output
        self._instance_id = instance_id
        self._metrics = metrics
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._rate_second = 0
        self._routine_count = 0
        self._dropped = 0
        self._limits_by_event: dict[str, LineLimit] = {}
        self._wake = threading.Event()
        self._stopped = False
        self.thread: Final = SupervisedThread("event-log", self._run, metrics, is_needed=False)

    def start(self) -> None:
        """Starts the writer thread and routes the lines of structlog through this log."""
        configure_on_first_use(self._configure_structlog)
        self.thread.start()

    def stop(self) -> None:
        """Writes the waiting lines and ends the writer thread; waits for up to one second."""
        self._stopped = True
        self.thread.stop()
        self._wake.set()
        self.thread.join(1.0)

    def flush_soon(self) -> None:
        """Makes the writer thread write the waiting lines without delay."""
        self._wake.set()

    def routine(self, event: str, **fields: Any) -> None:
        """Logs a served request; the line may be dropped by the rate limit."""
        self._add(LogPriority.ROUTINE, event, fields)

    def notable(self, event: str, **fields: Any) -> None:
        """Logs a refusal, a failure or a change of the known state."""
        self._add(LogPriority.NOTABLE, event, fields)

    def repeated(self, event: str, **fields: Any) -> None:
        """Logs a fault that another process can repeat; see `LineLimit`."""
        limit = self._limits_by_event.setdefault(event, LineLimit())
        if limit.allows():
            self.notable(event, **fields)
        else:
            self._metrics.count("log_lines_dropped_total", reason="repeated")

    def unexpected(self, request_id: str, error: Exception) -> None:
        """Logs and counts an unexpected error that failed a request."""
        self._metrics.count("unexpected_errors_total", type=type(error).__name__)
        detail = traceback_of(error)
        self.notable("request_failed_unexpectedly", request=request_id, detail=detail)

    def _configure_structlog(self) -> None:
        import structlog

        def forward(_logger: Any, _method: str, fields: MutableMapping[str, Any]) -> str:
            self._add_structlog_event(dict(fields))
            raise structlog.DropEvent

        structlog.configure(
            processors=[structlog.processors.add_log_level, forward],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
            logger_factory=structlog.ReturnLoggerFactory(),
            cache_logger_on_first_use=True,
        )

    def _add_structlog_event(self, fields: dict[str, Any]) -> None:
        event = str(fields.pop("event", ""))
        exception = fields.pop("exc_info", None)
        if exception:
            fields["exception"] = repr(sys.exc_info()[1] if exception is True else exception)
        self._add(LogPriority.NOTABLE, event, fields)

    def _add(self, priority: LogPriority, event: str, fields: dict[str, Any]) -> None:
        # The wall clock may jump; the monotonic time orders the lines of one process.
        now = clock.now()
        with self._lock:
            if priority is LogPriority.ROUTINE and not self._allow_routine_line(now):
                self._drop("routine_rate")
                return
            if len(self._lines) >= QUEUE_LINES:
                self._drop("queue_full")
                return
            record = {
                "t": round(time.time(), 3),
                "steady": round(now, 3),
                "instance": self._instance_id,
                "event": event,
                **fields,
            }
            self._lines.append(json.dumps(record, separators=(",", ":"), default=str))

    def _allow_routine_line(self, now: float) -> bool:
        """Counts a routine line; returns whether it is within the limit of the current second."""
        if int(now) != self._rate_second:
            self._rate_second = int(now)
            self._routine_count = 0
        self._routine_count += 1
        return self._routine_count <= ROUTINE_LINES_PER_S

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        self._metrics.count("log_lines_dropped_total", reason=reason)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(_FLUSH_S)
            self._wake.clear()
            self._flush()
        self._flush()

    def _flush(self) -> None:
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(
                json.dumps(
                    {"instance": self._instance_id, "event": "log_lines_dropped", "count": dropped}
                )
            )
        if not lines:
            return
        try:
            self._output.write("\n".join(lines) + "\n")
            self._output.flush()
        except (OSError, ValueError):
            # The output cannot be written, so the loss is reported only by the metric.
            self._metrics.count("log_lines_dropped_total", len(lines), reason="output_closed")


def loggable_parts(parts: Sequence[str]) -> list[str]:
    """Returns the last of some prompt parts, shortened for a log line."""
    return [part[:MAX_LOGGED_PART_CHARS] for part in parts[-MAX_LOGGED_PARTS:]]
