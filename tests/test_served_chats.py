"""Tests of the table of endpoints that served a router's chats."""

from __future__ import annotations

import unittest

from sequoiadrum.served_chats import ServedChats


class ServedChatsTest(unittest.TestCase):
    """Tests that the table keeps the chats with the most recent grants."""

    def test_bounded_and_separate_by_pool(self) -> None:
        """Guards against unbounded growth of the table, and hints from another pool."""
        table = ServedChats(capacity=2)
        for chat, engine in (("a", "e1"), ("b", "e2"), ("a", "e3"), ("c", "e4")):
            table.record("p", chat, engine)
        found = [table.last_endpoint("p", chat) for chat in "abc"]
        self.assertEqual((found, len(table)), (["e3", "", "e4"], 2))
        self.assertEqual(table.last_endpoint("q", "a"), "")
