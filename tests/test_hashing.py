"""Tests of the rendezvous ranking."""

from __future__ import annotations

import unittest

from sequoiadrum.hashing import first_ranked, rank, stable_hash


class RankTest(unittest.TestCase):
    """Tests that only the keys of a changed candidate move."""

    def test_leave_moves_only_keys_of_the_leaver(self) -> None:
        """Guards against a ranking that moves chats of other engines when one engine leaves."""
        engines = [f"e{n}" for n in range(9)]
        for number in range(500):
            key = f"chat-{number}"
            before, after = first_ranked(key, engines), first_ranked(key, engines[:-1])
            if before != "e8":
                self.assertEqual(before, after)
            self.assertEqual(rank(key, engines)[0], before)

    def test_parts_are_separated(self) -> None:
        """Guards against equal hashes of different parts with the same concatenation."""
        self.assertNotEqual(stable_hash("ab", "c"), stable_hash("a", "bc"))
        self.assertIsNone(first_ranked("key", []))
