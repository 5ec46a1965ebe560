"""Structured log lines that never block and never grow without bound."""

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
from sequoiadrum.logs import configure_on_first_use

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from sequoiadrum.metrics import Metrics

QUEUE_LINES: Final = 4_000
"""Lines that wait for a slow reader of standard output; about 2 MB."""
ROUTINE_LINES_PER_S: Final = 100
"""Lines a second about requests that were served; refusals and failures are always kept."""
_FLUSH_S: Final = 0.5
"""How often lines are written; one write for many lines saves processor time."""


class Weight(IntEnum):
    """Which lines go first when there are too many."""

    ROUTINE = 0
    """A request that was served."""
    NOTABLE = 1
    """A refusal, a failure, or a change of what the process believes."""


class EventLog:
    """Writes JSON lines to standard output from a thread of its own.

    At most `ROUTINE_LINES_PER_S` routine lines a second are kept. Notable lines are lost only when
    `QUEUE_LINES` lines wait already. Both losses are counted and reported by a line of their own.
    """

    def __init__(self, instance_id: str, metrics: Metrics, output: TextIO) -> None:
        self._output = output
        self._instance_id = instance_id
        self._metrics = metrics
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._second = 0
        self._routine = 0
        self._dropped = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="event-log", daemon=True)

    def start(self) -> None:
        """Starts the thread; lines of structlog come through it too."""
        configure_on_first_use(self._configure_structlog)
        self._thread.start()

    def stop(self) -> None:
        """Writes what waits and ends the thread."""
        self._stopped = True
        self._wake.set()
        self._thread.join(1.0)

    def routine(self, event: str, **fields: Any) -> None:
        """Logs that a request was served."""
        self._add(Weight.ROUTINE, event, fields)

    def notable(self, event: str, **fields: Any) -> None:
        """Logs a refusal, a failure or a change of belief."""
        self._add(Weight.NOTABLE, event, fields)

    def _configure_structlog(self) -> None:
        import structlog

        def take(_logger: Any, _method: str, fields: MutableMapping[str, Any]) -> str:
            self._take(dict(fields))
            raise structlog.DropEvent

        structlog.configure(
            processors=[structlog.processors.add_log_level, take],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
            logger_factory=structlog.ReturnLoggerFactory(),
            cache_logger_on_first_use=True,
        )

    def _take(self, fields: dict[str, Any]) -> None:
        event = str(fields.pop("event", ""))
        exception = fields.pop("exc_info", None)
        if exception:
            fields["exception"] = repr(sys.exc_info()[1] if exception is True else exception)
        self._add(Weight.NOTABLE, event, fields)

    def _add(self, weight: Weight, event: str, fields: dict[str, Any]) -> None:
        # The time of day may jump; the steady clock orders the lines of one process.
        steady = clock.now()
        with self._lock:
            if weight is Weight.ROUTINE and not self._has_room_for_routine(steady):
                self._drop("routine_rate")
                return
            if len(self._lines) >= QUEUE_LINES:
                self._drop("queue_full")
                return
            record = {
                "t": round(time.time(), 3),
                "steady": round(steady, 3),
                "instance": self._instance_id,
                "event": event,
                **fields,
            }
            self._lines.append(json.dumps(record, separators=(",", ":"), default=str))

    def _has_room_for_routine(self, steady: float) -> bool:
        if int(steady) != self._second:
            self._second = int(steady)
            self._routine = 0
        self._routine += 1
        return self._routine <= ROUTINE_LINES_PER_S

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        self._metrics.count("log_lines_dropped_total", reason=reason)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(_FLUSH_S)
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
            # Nobody reads the log; the counter is the only place left to say so.
            self._metrics.count("log_lines_dropped_total", len(lines), reason="output_closed")
