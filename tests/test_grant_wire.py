"""Wire form of grant ids and fingerprints."""

from __future__ import annotations

import unittest

from sequoiadrum._grant_wire import fingerprint_of, grant_id_of, number_of


class GrantWireTest(unittest.TestCase):
    """Numbers stand for the same digits at both ends."""

    def test_round_trips(self) -> None:
        """Guards against fingerprints above the largest signed number, and lost leading zeros."""
        for digits in ("0000000000000001", "7fffffffffffffff", "8000000000000000", "f" * 16):
            self.assertEqual(fingerprint_of(number_of(digits)), digits)
            self.assertLess(abs(number_of(digits)), 2**63 + 1)
            self.assertEqual(grant_id_of(number_of(digits)), digits.lstrip("0"))
        self.assertEqual((fingerprint_of(number_of("")), fingerprint_of(None)), ("", ""))
