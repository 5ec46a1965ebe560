"""Tests of `gateway.explain`."""

from __future__ import annotations

import json
import unittest
from typing import Any

from sequoiadrum.gateway.explain import explain


def a_line(t: float, event: str, instance: str = "g1", **fields: Any) -> str:
    """Returns a log line with a prefix such as a log collector adds."""
    return "12.3 g1 | " + json.dumps({"t": t, "instance": instance, "event": event, **fields})


class ExplainTest(unittest.TestCase):
    """The logs of all routers explain the outcome of a request."""

    def test_refusal_is_explained_by_state_changes(self) -> None:
        """Guards against an explanation that omits the cause of a refusal, a lost endpoint."""
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

    def test_path_of_a_retried_request_is_in_order(self) -> None:
        """Guards against showing the lines of a request in file order instead of time order."""
        lines = [
            a_line(2.0, "request_served", request="q1", endpoint="e2", status=200, attempts=2),
            a_line(1.0, "exchange_broken", request="q1", endpoint="e1", detail="reset"),
        ]
        explanation = explain("q1", lines)
        self.assertEqual(
            [r["event"] for r in explanation.request_lines], ["exchange_broken", "request_served"]
        )
        self.assertIn("served with status 200 by endpoint e2", explanation.summary())

    def test_size_and_framing_of_the_body_are_shown(self) -> None:
        """Guards against a short answer that cannot be told from a whole one by its line."""
        fields = {"request": "q1", "endpoint": "e1", "status": 200, "attempts": 1, "ms": 2}
        for framing, declared, expected in (
            ("length", 9, "body of 4 of 9 bytes, framed by length"),
            ("connection", None, "body of 4 bytes, framed by connection"),
        ):
            line = a_line(
                1.0, "request_served", framing=framing, received=4, declared=declared, **fields
            )
            self.assertIn(expected, explain("q1", [line]).summary())

    def test_failure_is_compared_with_other_requests(self) -> None:
        """Guards against attributing the crash of an endpoint to a single request."""
        lines = [
            a_line(1.0, "exchange_broken", request="q1", endpoint="e1", detail="reset"),
            a_line(1.0, "request_refused", request="q1", reason="endpoint_failed"),
            a_line(1.1, "exchange_broken", instance="g2", request="q2", endpoint="e1"),
            a_line(1.1, "exchange_broken", instance="g2", request="q3", endpoint="e2"),
            a_line(2.0, "endpoint_changed", instance="g3", endpoint="e1", state="removed"),
        ]
        explanation = explain("q1", lines)
        self.assertEqual([line["instance"] for line in explanation.other_lines], ["g2", "g3"])
        self.assertIn("state=removed", explanation.text())

    def test_request_that_the_end_of_the_process_cut_is_explained(self) -> None:
        """Guards against an order without an answer whose logs do not say how it ended."""
        fields = {"request": "q1", "endpoint": "e1", "age_ms": 4100, "was_sent": True}
        explanation = explain(
            "q1", [a_line(9.0, "stopping"), a_line(12.0, "request_cut", **fields)]
        )
        self.assertIn("cut off: this router ended after 4100 ms", explanation.summary())
        self.assertIn("may have run", explanation.summary())
        self.assertIn("stopping", explanation.text())

    def test_unknown_request_is_reported(self) -> None:
        """Guards against an empty explanation of a request that has no log lines."""
        self.assertIn("no log line has this id", explain("q1", []).text())
