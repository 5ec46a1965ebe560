"""Tests that the checks of the fault soak find violations, and that a short soak has none."""

from __future__ import annotations

import itertools
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from attrs import evolve

from tools.soak.checks import check
from tools.soak.plan import (
    GRACE_PERIOD_S,
    NOTICE_KINDS,
    RESPONSE_KINDS,
    RESTORED,
    draw_plan,
    draw_planned_work,
)
from tools.soak.record import (
    CallKind,
    CallResult,
    Disturbance,
    Exit,
    KeyChange,
    Notice,
    NoticeKind,
    Record,
    Run,
    expected_body,
)
from tools.soak.runner import Soak

SEED: Final = 11
RESTORING_SEED: Final = 22
"""A seed whose store is restored from an older copy, twice."""
NOTICE_SEED: Final = 25
"""A seed whose endpoints say that they leave, and when to come back."""
DURATION_S: Final = 9.0
"""Duration of the seeds that this test runs; longer runs are started by hand."""


def make_result(request_id: str = "q1", **changes: Any) -> CallResult:
    """Returns the result of an order that was served correctly, with some fields changed."""
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
    return CallResult(**{**fields, **changes})


def make_record(*results: CallResult, **changes: Any) -> Record:
    """Returns a record in which each request ran once, at e1, with some fields changed."""
    runs = [Run(result.request_id, "e1", result.sent_at) for result in results]
    fields: dict[str, Any] = {
        "runs": runs,
        "results": list(results),
        "key_changes": [KeyChange(1, 0.0, 0.0, frozenset({1}))],
    }
    return Record(**{**fields, **changes})


class CheckTest(unittest.TestCase):
    """Tests that each check finds violations and accepts permitted behaviour."""

    def _broken_promises(self, record: Record) -> list[str]:
        return [violation.promise for violation in check(record)]

    def test_clean_record_holds(self) -> None:
        """Guards against checks that report violations although all promises hold."""
        self.assertEqual(self._broken_promises(make_record(make_result())), [])

    def test_second_run_of_an_order(self) -> None:
        """Guards against a check that misses an order that ran twice."""
        runs = [Run("q1", "e1", 100.0), Run("q1", "e2", 100.5)]
        self.assertEqual(
            self._broken_promises(make_record(make_result(), runs=runs)), ["at most once"]
        )
        read = make_result(kind=CallKind.READ)
        self.assertEqual(self._broken_promises(make_record(read, runs=runs)), [])

    def test_false_refusal(self) -> None:
        """Guards against a check that misses an order that ran after a "not run" status."""
        self.assertEqual(self._broken_promises(make_record(make_result(status=503))), ["not run"])
        self.assertEqual(self._broken_promises(make_record(make_result(status=502))), [])

    def test_answer_of_another_request(self) -> None:
        """Guards against foreign, unsigned or truncated responses that count as complete."""
        foreign = make_result(body=expected_body("q2"))
        self.assertEqual(self._broken_promises(make_record(foreign)), ["whole answer"])
        self.assertEqual(
            self._broken_promises(make_record(make_result(is_sealed=False))), ["whole answer"]
        )
        truncated = make_result(body=expected_body("q1")[:9], is_complete=False)
        self.assertEqual(self._broken_promises(make_record(truncated)), [])

    def test_gaps_in_a_stream(self) -> None:
        """Guards against lost or duplicate events, and truncated streams that count as complete."""
        stream = {"kind": CallKind.DRAFT, "expected_events": 3}
        for events, promise in (((1, 3), "stream order"), ((1, 2), "whole answer")):
            record = make_record(make_result(events=events, **stream))
            self.assertEqual(self._broken_promises(record), [promise])
        truncated = make_result(events=(1, 2), is_complete=False, **stream)
        self.assertEqual(self._broken_promises(make_record(truncated)), [])

    def test_work_for_a_leaving_endpoint(self) -> None:
        """Guards against new requests to a leaving endpoint; a disconnected gateway is exempt."""
        late = make_record(make_result(), leaving_since={"e1": 97.9})
        self.assertEqual(self._broken_promises(late), ["leaving"])
        late.disturbances.append(Disturbance("g0", "cut", 97.0, 99.0))
        self.assertEqual(self._broken_promises(late), [])

    def test_work_after_a_notice(self) -> None:
        """Guards against a gateway that does not heed what an endpoint has told it.

        Another gateway, another process of it, and one that was paused since are exempt.
        """
        told = make_result("q0", sent_at=90.0)
        results = [told, *(make_result(f"q{n}", sent_at=90.0 + n) for n in (1, 3, 4, 5))]
        for kind, at in ((NoticeKind.LEAVING, 90.0), (NoticeKind.TURNED_AWAY, 90.0)):
            with self.subTest(kind):
                notice = Notice(kind, "q0", "e1", at, 94.5)
                record = make_record(*results, notices=[notice])
                self.assertEqual(self._broken_promises(record), [kind.value])
                paused = Disturbance("g0", "pause", 90.2, 90.3)
                record.disturbances.append(paused)
                self.assertEqual(self._broken_promises(record), [])
                for change in ({"gateway": "g1"}, {"process": 2}):
                    others = [told, *(evolve(result, **change) for result in results[1:])]
                    record = make_record(*others, notices=[notice])
                    self.assertEqual(self._broken_promises(record), [])
                few = make_record(*results[:2], results[4], notices=[notice])
                is_broken = kind is NoticeKind.LEAVING
                self.assertEqual(bool(self._broken_promises(few)), is_broken)

    def test_keys(self) -> None:
        """Guards against removed keys that work, valid keys that are denied, and rollbacks."""
        changes = [KeyChange(1, 0, 0, frozenset({1})), KeyChange(2, 97, 97.5, frozenset({2}))]
        late = make_record(make_result(), key_changes=changes)
        self.assertEqual(self._broken_promises(late), ["keys"])
        denied = make_result(status=401, key=2, is_complete=True)
        self.assertEqual(
            self._broken_promises(make_record(denied, key_changes=changes, runs=[])), ["keys"]
        )
        first = make_result("q0", status=401, sent_at=98.0, ended_at=98.1)
        rolled_back = make_record(
            first, make_result(sent_at=98.5, ended_at=98.6), key_changes=changes
        )
        rolled_back.runs = [Run("q1", "e1", 98.5)]
        self.assertEqual(self._broken_promises(rolled_back), ["keys"])

    def test_request_cut_by_a_planned_stop(self) -> None:
        """Guards against a graceful shutdown that loses the response of a request that ran."""
        lost = make_result(status=None, is_complete=False)
        stop = Disturbance("g0", "term", 99.0, 107.0)
        record = make_record(lost, disturbances=[stop])
        self.assertEqual(self._broken_promises(record), ["planned stop"])
        record.disturbances.append(Disturbance("e1", "reset", 100.0, 101.0))
        self.assertEqual(self._broken_promises(record), [])

    def test_request_that_reached_its_deadline(self) -> None:
        """Guards against a long request that counts as cut off by a stop, or is never counted."""
        stop = Disturbance("g0", "term", 99.0, 107.0)
        for ended_at, promises in ((102.9, ["planned stop"]), (103.0, [])):
            lost = make_result(status=None, is_complete=False, ended_at=ended_at)
            record = make_record(lost, disturbances=[stop])
            self.assertEqual(self._broken_promises(record), promises)

    def test_processes(self) -> None:
        """Guards against processes that exit unexpectedly or too late."""
        exits = [Exit("g0", 1, 1, False), Exit("g1", 1, 0, True, 0.5), Exit("g2", 1, 0, True)]
        self.assertEqual(
            self._broken_promises(make_record(exits=exits)), ["processes", "processes"]
        )

    def test_fleet_that_stays_down(self) -> None:
        """Guards against a fleet that does not recover after the last fault."""
        results = [make_result(f"q{n}", status=None, is_complete=False) for n in range(8)]
        record = make_record(*results, runs=[], fault_free_since=99.0)
        self.assertEqual(self._broken_promises(record), ["recovery"])


class SoakTest(unittest.TestCase):
    """Tests the plan of a soak, and runs a short one on real processes."""

    def test_plan_follows_from_its_seed(self) -> None:
        """Guards against a failed seed that cannot be reproduced."""
        self.assertEqual(draw_plan(7, 30.0, 4, 5), draw_plan(7, 30.0, 4, 5))
        self.assertNotEqual(draw_plan(7, 30.0, 4, 5), draw_plan(8, 30.0, 4, 5))
        self.assertEqual(draw_planned_work(7, 30.0, 4, 5), draw_planned_work(7, 30.0, 4, 5))

    def test_planned_work_stops_gateways_in_series_and_overlapping(self) -> None:
        """Guards against a soak whose faults excuse all requests that a stop cuts off."""
        overlapping = 0
        for seed in range(20):
            plan = draw_planned_work(seed, 40.0, 4, 5)
            self.assertEqual(
                {(a.subject, a.kind) for a in plan},
                {
                    ("gateway", "term"),
                    ("config", "config"),
                    ("reload", "reload"),
                    ("endpoint", "leave"),
                },
            )
            stops = [action for action in plan if action.kind == "term"]
            self.assertGreaterEqual(len(stops), 4)
            pairs = itertools.pairwise(stops)
            overlapping += sum(after.at - before.at < GRACE_PERIOD_S for before, after in pairs)
        self.assertGreater(overlapping, 20)

    def test_short_seed_contains_faults_of_responses(self) -> None:
        """Guards against a soak that no longer cuts responses in the ways that passed for whole."""
        kinds = {action.kind for action in draw_plan(SEED, DURATION_S, 4, 5)}
        kinds |= {action.kind for action in draw_plan(RESTORING_SEED, DURATION_S, 4, 5)}
        self.assertGreaterEqual(len(kinds & set(RESPONSE_KINDS)), 2)
        longer = {action.kind for n in range(9) for action in draw_plan(n, 20.0, 4, 5)}
        self.assertLessEqual(set(RESPONSE_KINDS), longer)

    def _assert_promises_kept(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as log_dir:
            record = Soak(seed, DURATION_S, Path(log_dir)).run()
        self.assertEqual(check(record), [])
        self.assertGreater(sum(result.status == 200 for result in record.results), 50)

    def test_short_seed_keeps_all_promises(self) -> None:
        """Guards against promises that are broken when faults overlap."""
        self._assert_promises_kept(SEED)

    def test_short_seed_with_a_restored_store_keeps_all_promises(self) -> None:
        """Guards against promises that are broken when the store comes back from an older copy."""
        restores = [a for a in draw_plan(RESTORING_SEED, DURATION_S, 4, 5) if a.kind == RESTORED]
        self.assertEqual(len(restores), 2)
        self._assert_promises_kept(RESTORING_SEED)

    def test_short_seed_with_notices_keeps_all_promises(self) -> None:
        """Guards against requests to endpoints that say they leave, or when to come back."""
        kinds = {a.kind for a in draw_plan(NOTICE_SEED, DURATION_S, 4, 5)}
        self.assertLessEqual(set(NOTICE_KINDS), kinds)
        self._assert_promises_kept(NOTICE_SEED)


if __name__ == "__main__":
    unittest.main()
