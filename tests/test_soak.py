"""The fault soak: its checks find what they are meant to find, and a short seed holds."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from tools.soak.checks import check
from tools.soak.plan import draw_plan
from tools.soak.record import (
    Answer,
    CallKind,
    Disturbance,
    Exit,
    KeyChange,
    Record,
    Run,
    expected_body,
)
from tools.soak.world import Soak

SEED: Final = 11
SECONDS: Final = 9.0
"""Of the seed that is played here; longer ones are played by hand."""


def an_answer(request_id: str = "q1", **changes: Any) -> Answer:
    """Makes the answer to an order that was served as it should."""
    fields: dict[str, Any] = {
        "request_id": request_id,
        "kind": CallKind.ORDER,
        "gateway": "g0",
        "process": 1,
        "key": 1,
        "sent_at": 100.0,
        "ended_at": 100.1,
        "status": 200,
        "is_sealed": True,
        "is_complete": True,
        "body": expected_body(request_id),
    }
    return Answer(**{**fields, **changes})


def a_record(*answers: Answer, **changes: Any) -> Record:
    """Makes a record in which each answer's request ran once at e1."""
    runs = [Run(answer.request_id, "e1", answer.sent_at) for answer in answers]
    fields: dict[str, Any] = {
        "runs": runs,
        "answers": list(answers),
        "key_changes": [KeyChange(1, 0.0, 0.0, frozenset({1}))],
    }
    return Record(**{**fields, **changes})


class CheckTest(unittest.TestCase):
    """Each check finds a broken promise and passes over what is allowed."""

    def _promises(self, record: Record) -> list[str]:
        return [violation.promise for violation in check(record)]

    def test_clean_record_holds(self) -> None:
        """Guards against checks that blame a fleet that keeps its promises."""
        self.assertEqual(self._promises(a_record(an_answer())), [])

    def test_second_run_of_an_order(self) -> None:
        """Guards against a doubled order that goes unnoticed."""
        runs = [Run("q1", "e1", 100.0), Run("q1", "e2", 100.5)]
        self.assertEqual(self._promises(a_record(an_answer(), runs=runs)), ["at most once"])
        read = an_answer(kind=CallKind.READ)
        self.assertEqual(self._promises(a_record(read, runs=runs)), [])

    def test_false_refusal(self) -> None:
        """Guards against an order that ran although its caller was told that it did not."""
        self.assertEqual(self._promises(a_record(an_answer(status=503))), ["not run"])
        self.assertEqual(self._promises(a_record(an_answer(status=502))), [])

    def test_answer_of_another_request(self) -> None:
        """Guards against mixed up, unsigned or cut answers that pass as whole."""
        foreign = an_answer(body=expected_body("q2"))
        self.assertEqual(self._promises(a_record(foreign)), ["whole answer"])
        self.assertEqual(self._promises(a_record(an_answer(is_sealed=False))), ["whole answer"])
        cut = an_answer(body=expected_body("q1")[:9], is_complete=False)
        self.assertEqual(self._promises(a_record(cut)), [])

    def test_gaps_in_a_stream(self) -> None:
        """Guards against lost or doubled events, and a stream that ends early as if whole."""
        stream = {"kind": CallKind.DRAFT, "expected_events": 3}
        for events, promise in (((1, 3), "stream order"), ((1, 2), "whole answer")):
            record = a_record(an_answer(events=events, **stream))
            self.assertEqual(self._promises(record), [promise])
        broken = an_answer(events=(1, 2), is_complete=False, **stream)
        self.assertEqual(self._promises(a_record(broken)), [])

    def test_work_for_a_leaving_endpoint(self) -> None:
        """Guards against new work for an endpoint that left, unless the gateway was cut off."""
        late = a_record(an_answer(), leaving_since={"e1": 97.9})
        self.assertEqual(self._promises(late), ["leaving"])
        late.disturbances.append(Disturbance("g0", "cut", 97.0, 99.0))
        self.assertEqual(self._promises(late), [])

    def test_keys(self) -> None:
        """Guards against removed keys that work, valid ones that are denied, and steps back."""
        changes = [KeyChange(1, 0, 0, frozenset({1})), KeyChange(2, 97, 97.5, frozenset({2}))]
        late = a_record(an_answer(), key_changes=changes)
        self.assertEqual(self._promises(late), ["keys"])
        denied = an_answer(status=401, key=2, is_complete=True)
        self.assertEqual(self._promises(a_record(denied, key_changes=changes, runs=[])), ["keys"])
        first = an_answer("q0", status=401, sent_at=98.0, ended_at=98.1)
        back = a_record(first, an_answer(sent_at=98.5, ended_at=98.6), key_changes=changes)
        back.runs = [Run("q1", "e1", 98.5)]
        self.assertEqual(self._promises(back), ["keys"])

    def test_request_cut_by_a_planned_stop(self) -> None:
        """Guards against a planned stop that loses a request which ran."""
        lost = an_answer(status=None, is_complete=False)
        stop = Disturbance("g0", "term", 99.0, 107.0)
        record = a_record(lost, disturbances=[stop])
        self.assertEqual(self._promises(record), ["planned stop"])
        record.disturbances.append(Disturbance("e1", "reset", 100.0, 101.0))
        self.assertEqual(self._promises(record), [])

    def test_processes(self) -> None:
        """Guards against processes that end by themselves or too late."""
        exits = [Exit("g0", 1, 1, False), Exit("g1", 1, 0, True, 0.5), Exit("g2", 1, 0, True)]
        self.assertEqual(self._promises(a_record(exits=exits)), ["processes", "processes"])

    def test_fleet_that_stays_down(self) -> None:
        """Guards against faults that the fleet does not recover from."""
        answers = [an_answer(f"q{n}", status=None, is_complete=False) for n in range(8)]
        record = a_record(*answers, runs=[], calm_since=99.0)
        self.assertEqual(self._promises(record), ["recovery"])


class SoakTest(unittest.TestCase):
    """Real processes under a short plan."""

    def test_plan_follows_from_its_seed(self) -> None:
        """Guards against a failed seed that cannot be played again."""
        self.assertEqual(draw_plan(7, 30.0, 4, 5), draw_plan(7, 30.0, 4, 5))
        self.assertNotEqual(draw_plan(7, 30.0, 4, 5), draw_plan(8, 30.0, 4, 5))

    def test_short_seed_keeps_all_promises(self) -> None:
        """Guards against promises that break when faults overlap."""
        with tempfile.TemporaryDirectory() as folder:
            record = Soak(SEED, SECONDS, Path(folder)).run()
        self.assertEqual(check(record), [])
        self.assertGreater(sum(answer.status == 200 for answer in record.answers), 50)


if __name__ == "__main__":
    unittest.main()
