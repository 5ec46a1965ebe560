"""Tests of the rumors about crashed engines."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway.crash_reports import ENGINE_CRASH_KIND, CrashReports
from sequoiadrum.gateway.crash_rumors import (
    MAX_PARTS_PER_RUMOR,
    OwnCrashReports,
    decode_crash_report,
    part_key,
    process_key,
)
from sequoiadrum.gateway.crashing_parts import (
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    NEVER,
    Suspicion,
)
from sequoiadrum.membership import MAX_DATAGRAM_BYTES
from sequoiadrum.messages import RumorReceived
from sequoiadrum.metrics import Metrics
from tests.gateway.builders import an_entry

PROCESS = process_key("e1", 1)
NOW = 1_700_000_000.0
FREE_DATAGRAM_BYTES = MAX_DATAGRAM_BYTES - 400


def _suspicion(number: int, **changes: Any) -> Suspicion:
    fields: dict[str, Any] = {"depth": number, "sent_at": NOW - 1.0, "completed_at": NOW - 2.0}
    return Suspicion(part=part_key(str(number)), **{**fields, **changes})


class CrashRumorTest(unittest.TestCase):
    """What one router tells about a crash reaches the others whole."""

    def setUp(self) -> None:
        self.own = OwnCrashReports("a1")

    def test_many_broken_requests_make_few_rumors(self) -> None:
        """Guards against rumors that reach the other routers late because there are so many."""
        latest: dict[str, bytes] = {}
        for number in range(128):
            suspicions = [_suspicion(0, sent_at=NOW - 1.0 + number / 1e3), _suspicion(number)]
            for rumor in self.own.add(PROCESS, NOW, suspicions, NOW):
                latest[rumor.key] = rumor.payload
        self.assertEqual(len(latest), -(-128 // MAX_PARTS_PER_RUMOR))
        told = set()
        for payload in latest.values():
            self.assertLess(len(payload), FREE_DATAGRAM_BYTES)
            report = decode_crash_report(payload, NOW)
            assert report is not None
            told |= {suspicion.part for suspicion in report.suspicions}
        self.assertEqual(told, {part_key(str(number)) for number in range(128)})

    def test_report_survives_the_way(self) -> None:
        """Guards against evidence that changes between two routers."""
        sent = (_suspicion(0), _suspicion(1, completed_at=NEVER), _suspicion(2, sent_at=NOW - 9e4))
        (rumor,) = self.own.add(PROCESS, NOW, sent, NOW)
        report = decode_crash_report(rumor.payload, NOW + 1.0)
        assert report is not None
        self.assertEqual((report.process, report.crashed_at), (PROCESS, NOW))
        self.assertEqual(report.suspicions[:2], sent[:2])
        self.assertEqual(report.suspicions[2].part, sent[2].part)

    def test_newer_version_replaces_the_older_one(self) -> None:
        """Guards against a part that is left out because two rumors share a version."""
        versions = []
        for number in range(3):
            (rumor,) = self.own.add(PROCESS, NOW, [_suspicion(number)], NOW)
            versions.append(rumor.version)
        self.assertEqual(versions, sorted(set(versions)))
        self.assertEqual(self.own.add(PROCESS, NOW, [_suspicion(0)], NOW), [])

    def test_reports_are_bounded(self) -> None:
        """Guards against memory that grows with crashes and with the prompts of callers."""
        for number in range(MAX_CRASHES + 10):
            parts = [_suspicion(part) for part in range(MAX_PARTS_PER_CRASH + 10)]
            self.own.add(process_key(f"e{number}", 1), NOW, parts, NOW)
        reports = self.own._report_by_process
        self.assertEqual(len(reports), MAX_CRASHES)
        sizes = {len(report.suspicion_by_part) for report in reports.values()}
        self.assertEqual(sizes, {MAX_PARTS_PER_CRASH})

    @settings(derandomize=True, deadline=None, suppress_health_check=())
    @given(
        st.one_of(
            st.binary(max_size=40),
            st.recursive(
                st.one_of(
                    st.none(), st.booleans(), st.floats(), st.integers(), st.text(max_size=9)
                ),
                lambda inner: st.lists(inner, max_size=4),
                max_leaves=8,
            ).map(lambda value: json.dumps(value).encode()),
            st.integers(min_value=1, max_value=600).map(lambda depth: b"[" * depth),
            st.sampled_from([b"NaN", b"[1e999]", b"[" + b"9" * 1000 + b"]"]),
        )
    )
    def test_malformed_rumor_is_counted(self, payload: bytes) -> None:
        """Guards against a datagram that ends the thread which reads the rumors."""
        metrics = Metrics()
        reports = CrashReports(lambda *_: None, metrics)
        reports.receive_rumor(RumorReceived(ENGINE_CRASH_KIND, "k", 1, payload))
        self.assertEqual(metrics.value("malformed_datagrams_total"), 1)

    def test_report_with_one_unusable_field_is_malformed(self) -> None:
        """Guards against times and positions that later arithmetic cannot use."""
        good: list[Any] = [part_key("a"), 1, 5, -1]
        self.assertIsNotNone(decode_crash_report(json.dumps([PROCESS, 1, [good]]).encode(), NOW))
        for index, values in enumerate(
            (
                ["", "x" * 17, "\ud800" * 16, 3],
                [-1, 1.5, True, 10**400],
                [-1, 1e9, 10**10],
                [-2, ""],
            )
        ):
            for value in values:
                bad = [*good[:index], value, *good[index + 1 :]]
                payload = json.dumps([PROCESS, 1, [bad]]).encode()
                self.assertIsNone(decode_crash_report(payload, NOW), bad)
        for process, at_us in (("p", 1), (PROCESS, -1), (PROCESS, 1e300), (PROCESS, 10**30)):
            payload = json.dumps([process, at_us, [good]]).encode()
            self.assertIsNone(decode_crash_report(payload, NOW))

    def test_requests_of_one_crash_are_told_by_their_routers(self) -> None:
        """Guards against broadcasts of what all routers know already."""
        sent: list[str] = []
        reports = CrashReports(lambda kind, key, *_: sent.append(key), Metrics())
        for _ in range(3):
            reports.record_part_crash(an_entry("e1"), ["a", "b"], 1.0)
        self.assertEqual(len(set(sent)), 1)


if __name__ == "__main__":
    unittest.main()
