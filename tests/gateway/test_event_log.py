"""Tests of `gateway.event_log`."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import unittest

from sequoiadrum.gateway.event_log import QUEUE_LINES, ROUTINE_LINES_PER_S, EventLog
from sequoiadrum.logs import get_logger
from sequoiadrum.metrics import Metrics


class EventLogTest(unittest.TestCase):
    """Lines are kept by priority, and logging never blocks."""

    def setUp(self) -> None:
        self.output = io.StringIO()
        self.metrics = Metrics()
        self.log = EventLog("g1", self.metrics, self.output)

    def _lines(self) -> list[dict[str, object]]:
        self.log.start()
        self.log.stop()
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    def test_refusals_survive_a_flood_of_served_requests(self) -> None:
        """Guards against refusals that cannot be explained because the log was under load."""
        for n in range(5 * ROUTINE_LINES_PER_S):
            self.log.routine("request_served", request=f"q{n}")
        self.log.notable("request_refused", request="r1")
        lines = self._lines()
        self.assertIn("r1", [line.get("request") for line in lines])
        self.assertLessEqual(len(lines), 2 * ROUTINE_LINES_PER_S + 2)
        self.assertIn("log_lines_dropped", [line["event"] for line in lines])

    def test_memory_is_bounded(self) -> None:
        """Guards against unbounded memory use while nothing reads the output."""
        for n in range(QUEUE_LINES + 50):
            self.log.notable("request_refused", request=f"q{n}")
        dropped = self.metrics.value("log_lines_dropped_total", reason="queue_full")
        self.assertEqual(dropped, 50)

    def test_closed_output_ends_nothing(self) -> None:
        """Guards against a writer thread that fails because the output was closed."""
        self.log.notable("a")
        self.output.close()
        self.log.start()
        self.log.stop()
        self.assertEqual(self.metrics.value("log_lines_dropped_total", reason="output_closed"), 1)

    def test_lines_of_shared_modules_come_through(self) -> None:
        """Guards against errors of shared modules that are lost or written to another stream."""
        self.log.start()
        get_logger("test-event-log").warning("shared_warning", detail=7)
        self.log.stop()
        lines = [json.loads(line) for line in self.output.getvalue().splitlines()]
        self.assertEqual(
            [(line["event"], line["detail"]) for line in lines], [("shared_warning", 7)]
        )

    def test_start_loads_no_structlog(self) -> None:
        """Guards against a slow start; each restart of a router is an outage for its callers."""
        code = (
            "import sys, sequoiadrum.platform.launch; "
            "print([m for m in ('structlog', 'asyncio', 'cappa', 'rich') if m in sys.modules])"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)
