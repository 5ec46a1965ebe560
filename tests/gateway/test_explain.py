"""Tests of `gateway.explain`."""

from __future__ import annotations

import json
import unittest
from typing import Any

from sequoiadrum.gateway.explain import explain


def a_line(t: float, event: str, instance: str = "g1", **fields: Any) -> str:
    """Makes a log line, with the prefix that a collector may add."""
    return "12.3 g1 | " + json.dumps({"t": t, "instance": instance, "event": event, **fields})


class ExplainTest(unittest.TestCase):
    """The id of a request leads to its cause."""

    def test_refusal_is_explained_by_what_was_believed(self) -> None:
        """Guards against a refusal whose cause, a lost endpoint, cannot be found."""
        lines = [
            a_line(9.0, "endpoint_changed", endpoint="e1", state="removed"),
            a_line(9.5, "endpoint_changed", instance="g2", endpoint="e9", state="ready"),
            a_line(1.0, "store_lost", why="unreachable"),
            a_line(10.0, "request_refused", request="q1", reason="no_endpoint"),
            "not a log line",
        ]
        text = explain("q1", lines).text()
        self.assertIn("refused, no_endpoint", text)
        self.assertIn("endpoint=e1 state=removed", text)
        self.assertNotIn("e9", text)
        self.assertNotIn("store_lost", text)

    def test_path_of_a_repeated_request_is_in_order(self) -> None:
        """Guards against lines of one request that are shown in the order of the files."""
        lines = [
            a_line(2.0, "request_served", request="q1", endpoint="e2", status=200, attempts=2),
            a_line(1.0, "exchange_broken", request="q1", endpoint="e1", detail="reset"),
        ]
        found = explain("q1", lines)
        self.assertEqual([r["event"] for r in found.own], ["exchange_broken", "request_served"])
        self.assertIn("served with status 200 by endpoint e2", found.conclusion())

    def test_failure_is_compared_with_other_requests(self) -> None:
        """Guards against a crashed endpoint that looks like the fault of one request."""
        lines = [
            a_line(1.0, "exchange_broken", request="q1", endpoint="e1", detail="reset"),
            a_line(1.0, "request_refused", request="q1", reason="endpoint_failed"),
            a_line(1.1, "exchange_broken", instance="g2", request="q2", endpoint="e1"),
            a_line(1.1, "exchange_broken", instance="g2", request="q3", endpoint="e2"),
            a_line(2.0, "endpoint_changed", instance="g3", endpoint="e1", state="removed"),
        ]
        found = explain("q1", lines)
        self.assertEqual([line["instance"] for line in found.others], ["g2", "g3"])
        self.assertIn("state=removed", found.text())

    def test_unknown_request_is_told(self) -> None:
        """Guards against an empty answer to the id of a request without lines."""
        self.assertIn("no line names it", explain("q1", []).text())
