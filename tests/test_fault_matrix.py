"""Tests of keyed calls under faults: the complete matrix, some storms, and ledgers with faults."""

from __future__ import annotations

import random
import unittest

from tools.fault_matrix import LEDGERS, run_matrix
from tools.fault_storm import Storm


class FaultMatrixTest(unittest.TestCase):
    """Checks keyed calls with every fault at every step and with combinations of faults."""

    def test_no_double_and_no_false_not_run(self) -> None:
        """Guards against a call that runs twice, or that runs although "not run" is reported."""
        results = run_matrix(LEDGERS[0])
        self.assertTrue(all(result.reached for result in results))
        self.assertEqual([v for v in results if v.problems], [])
        avoidable = [v for v in results if any(r.endswith("had left") for r in v.remarks)]
        self.assertEqual(avoidable, [], "reported unknown instead of not run")

    def test_faulty_ledgers_are_found(self) -> None:
        """Guards against a matrix that passes a ledger with known faults."""
        for ledger in LEDGERS[1:]:
            with self.subTest(ledger):
                problems = [p for v in run_matrix(ledger) for p in v.problems]
                self.assertTrue(any(p.startswith("DOUBLE") for p in problems))

    def test_storms(self) -> None:
        """Guards against faults that appear only in combination."""
        for seed in range(25):
            self.assertEqual(Storm(random=random.Random(seed)).run(), [], f"seed {seed}")

    def test_storms_find_faulty_ledgers(self) -> None:
        """Guards against storms that pass a ledger with known faults."""
        for ledger in LEDGERS[1:]:
            found = [Storm(random=random.Random(seed), ledger=ledger).run() for seed in range(5)]
            self.assertTrue(any(found), ledger)
