"""Tests that replay a short trace with faults against real processes."""

from __future__ import annotations

import unittest
from pathlib import Path

from tools.replay import replay
from tools.traces import read_trace

TRACE = Path(__file__).parent / "traces" / "short.jsonl"


class ReplayTest(unittest.TestCase):
    """Checks the outcomes of a trace with a drain, two kills and a platform outage."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.outcomes = replay(read_trace(TRACE))

    def test_answers_reach_their_callers_whole(self) -> None:
        """Guards against foreign, incomplete or missing responses when routers and engines die."""
        self.assertEqual(self.outcomes["wrong_answers"], 0)
        self.assertEqual(self.outcomes["failed_chats"], 0)
        self.assertGreater(self.outcomes["whole_answers"], 100)

    def test_keyed_calls_run_at_most_once(self) -> None:
        """Guards against a second execution of a key after a kill or an outage."""
        self.assertEqual(self.outcomes["doubles"], 0)
        self.assertEqual(self.outcomes["false_done"], 0)
        self.assertGreater(self.outcomes["done_keys"], 20)

    def test_keyed_calls_told_not_run_did_not_run(self) -> None:
        """Guards against a caller that retries, under a new key, a call that has run."""
        self.assertEqual(self.outcomes["false_not_run"], 0)

    def test_drained_engine_gets_no_late_request(self) -> None:
        """Guards against new requests at an engine more than 3 s after its drain was accepted."""
        self.assertEqual(self.outcomes["late_grants"], 0)
