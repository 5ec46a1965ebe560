"""Tests of the metrics and their exposition."""

from __future__ import annotations

import unittest

from sequoiadrum.metrics import Metrics


class MetricsTest(unittest.TestCase):
    """The exposition contains the recorded values."""

    def test_exposition_names_every_kind_alike(self) -> None:
        """Guards against gauges and histogram counts without the program's name as prefix."""
        metrics = Metrics()
        metrics.count("refusals_total", reason="overloaded")
        metrics.count("refusals_total", 2, reason="overloaded")
        metrics.gauge("connections", lambda: 3.0)
        metrics.record_seconds("first_token_seconds", 0.25)
        lines = metrics.exposition().splitlines()
        self.assertIn('sequoiadrum_refusals_total{reason="overloaded"} 3', lines)
        self.assertIn("sequoiadrum_connections 3", lines)
        self.assertIn("sequoiadrum_first_token_seconds_count 1", lines)
        median = next(line for line in lines if 'quantile="0.5"' in line)
        self.assertAlmostEqual(float(median.split()[-1]), 0.25, delta=0.005)

    def test_out_of_range_latency_is_recorded(self) -> None:
        """Guards against an exception in the request path for a latency out of range."""
        metrics = Metrics()
        for seconds in (-1.0, 0.0, 1e9):
            metrics.record_seconds("chat_seconds", seconds)
        self.assertEqual(metrics.snapshot()["sequoiadrum_chat_seconds_count"], 3)
