"""The requests that a gateway has accepted and not completed yet."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock

if TYPE_CHECKING:
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.request_run import RequestRun
    from sequoiadrum.metrics import Metrics

MAX_CUT_LINES: Final = 100
"""Log lines on requests that the end of the process cuts off; the others are only counted."""


class RequestsInFlight:
    """Keeps the accepted requests until their response was handed to the server; thread-safe."""

    def __init__(self, metrics: Metrics, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log
        self._lock = threading.Lock()
        self._runs: dict[int, RequestRun] = {}

    def add(self, run: RequestRun) -> None:
        """Adds an accepted request."""
        with self._lock:
            self._runs[id(run)] = run

    def remove(self, run: RequestRun) -> None:
        """Removes a request; removing it again has no effect."""
        with self._lock:
            self._runs.pop(id(run), None)

    def record_cut(self, stop_began_at: float) -> int:
        """Logs and counts the requests that the end of the process cuts off.

        Args:
            stop_began_at: Monotonic seconds of the stop signal.

        Returns:
            The number of these requests.
        """
        with self._lock:
            runs = sorted(self._runs.values(), key=lambda run: run.caller.arrived_at)
        for number, run in enumerate(runs):
            self._metrics.count("requests_cut_total", kind=run.kind.value)
            if number < MAX_CUT_LINES:
                self._log.notable(
                    "request_cut",
                    request=run.call.request_id,
                    route=run.route.name,
                    kind=run.kind.value,
                    endpoint=run.endpoint_id,
                    was_sent=run.was_sent,
                    attempts=run.attempts,
                    age_ms=run.age_ms(),
                    sent_ms_ago=int((clock.now() - run.sent_at) * 1e3) if run.sent_at else None,
                    accepted_ms_after_stop=int((run.accepted_at - stop_began_at) * 1e3),
                    left_ms=int(run.time_left() * 1e3),
                )
        return len(runs)
