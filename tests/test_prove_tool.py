"""Tests of `tools.prove`."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

from tools.prove import Proof, Row, SoakSeed, format_table, newest_entries, parse_seeds

_SEEDS = """Seeds that broke a promise once.

100 22  SIGHUP at the end of a planned stop
11 20, 12 24  heads cut

With planned work only: python -m tools.soak --planned --seed SEED --seconds SECONDS

3 40  orders that were cut off
      start the interpreter has not reached the first line
"""


def an_entry(cmd: str, site: str, at: list[int], ok: bool = True) -> dict[str, Any]:
    """Builds a journal entry."""
    return {"cmd": cmd, "argv": ["--jobs", "3", f"x/{site}.toml"], "at": at, "ok": ok}


class ProveTest(unittest.TestCase):
    """The proof plays what it says, and a failure is seen."""

    def test_all_seeds_of_the_file_are_played(self) -> None:
        """Guards against a seed that broke a promise and is not played again."""
        self.assertEqual(
            parse_seeds(_SEEDS),
            [
                SoakSeed(100, 22.0),
                SoakSeed(11, 20.0),
                SoakSeed(12, 24.0),
                SoakSeed(3, 40.0, is_planned=True),
            ],
        )
        self.assertEqual(
            SoakSeed(3, 40.0, is_planned=True).arguments(),
            ["--seed", "3", "--seconds", "40", "--planned"],
        )

    def test_proof_goes_on_after_a_failure(self) -> None:
        """Guards against a proof that ends, or counts as held, at its first failure."""
        with tempfile.TemporaryDirectory() as folder:
            proof = Proof(Path(folder))
            row = Row("script")
            outcomes = [proof._measure(row, ["bash", "-c", f"exit {n}"]) for n in (0, 1, 0)]
        self.assertEqual(outcomes, [True, False, True])
        self.assertEqual([(r.runs, r.held, r.failed) for r in proof.rows], [(3, 2, 1)])

    def test_table_shows_runs_and_failures(self) -> None:
        """Guards against a table from which a failure cannot be read."""
        lines = format_table("abc1234", [Row("soak", "1 to 50", 49, 1, 1_000.4)]).splitlines()
        self.assertEqual(
            lines[0].split(), ["what", "commit", "seed", "runs", "held", "failed", "time"]
        )
        self.assertEqual(lines[1].split()[-5:], ["50", "49", "1", "1000", "s"])

    def test_only_the_newest_finished_plays_count(self) -> None:
        """Guards against a score of an older program that is taken for the newest one."""
        entries = [
            an_entry("hunt", "a", [2]),
            an_entry("hunt", "a", [3]),
            an_entry("hunt", "a", [4], ok=False),
            an_entry("score", "a", [1]),
            an_entry("run", "a", [9]),
        ]
        self.assertEqual(newest_entries(entries), [entries[1], entries[3]])


if __name__ == "__main__":
    unittest.main()
