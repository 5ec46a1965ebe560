"""Keyed calls under faults: the whole matrix, some storms, and proof that both find faults."""

from __future__ import annotations

import random
import unittest

from tools.fault_matrix import LEDGERS, run_matrix
from tools.fault_storm import Storm


class FaultMatrixTest(unittest.TestCase):
    """Every step of a call times every fault."""

    def test_no_double_and_no_false_not_run(self) -> None:
        """Guards against a call that runs twice, or runs after "not run" was told."""
        verdicts = run_matrix(LEDGERS[0])
        self.assertTrue(all(verdict.reached for verdict in verdicts))
        self.assertEqual([v for v in verdicts if v.problems], [])
        early = [v for v in verdicts if any(r.endswith("had left") for r in v.remarks)]
        self.assertEqual(early, [], "unknown where not run could be told")

    def test_faulty_ledgers_are_found(self) -> None:
        """Guards against a matrix that passes everything."""
        for ledger in LEDGERS[1:]:
            with self.subTest(ledger):
                problems = [p for v in run_matrix(ledger) for p in v.problems]
                self.assertTrue(any(p.startswith("DOUBLE") for p in problems))

    def test_storms(self) -> None:
        """Guards against faults that only show in combination."""
        for seed in range(25):
            self.assertEqual(Storm(random=random.Random(seed)).run(), [], f"seed {seed}")

    def test_storms_find_faulty_ledgers(self) -> None:
        """Guards against storms that pass everything."""
        for ledger in LEDGERS[1:]:
            found = [Storm(random=random.Random(seed), ledger=ledger).run() for seed in range(5)]
            self.assertTrue(any(found), ledger)
