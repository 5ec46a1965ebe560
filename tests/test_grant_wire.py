"""Wire format of grant ids and fingerprints."""

from __future__ import annotations

import unittest

from sequoiadrum._grant_wire import decode_fingerprint, decode_grant_id, encode_hex


class GrantWireTest(unittest.TestCase):
    """Encoding to signed numbers and decoding to hexadecimal digits."""

    def test_round_trips(self) -> None:
        """Guards against overflow of numbers above 2**63 - 1 and against lost leading zeros."""
        for digits in ("0000000000000001", "7fffffffffffffff", "8000000000000000", "f" * 16):
            self.assertEqual(decode_fingerprint(encode_hex(digits)), digits)
            self.assertLess(abs(encode_hex(digits)), 2**63 + 1)
            self.assertEqual(decode_grant_id(encode_hex(digits)), digits.lstrip("0"))
        self.assertEqual((decode_fingerprint(encode_hex("")), decode_fingerprint(None)), ("", ""))
