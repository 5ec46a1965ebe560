"""Tests of `gateway.sse_framing`."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway.sse_framing import EventSplitter


class EventSplitterTest(unittest.TestCase):
    """The splitter returns complete events only."""

    @settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(st.integers(1, 7), min_size=1, max_size=30))
    def test_any_cut_gives_the_same_bytes(self, sizes: list[int]) -> None:
        """Guards against events that are lost, duplicated or truncated at the end of a read."""
        data = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))
        splitter = EventSplitter()
        forwarded, offset = b"", 0
        for size in [*sizes, len(data)]:
            forwarded += splitter.feed(data[offset : offset + size])
            offset += size
        self.assertEqual(forwarded, data)
        self.assertEqual(splitter.last_id, "8")
        self.assertFalse(splitter.has_partial_event)

    def test_unfinished_event_is_held(self) -> None:
        """Guards against resuming after an event of which the caller received only a part."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_id, "1")
        self.assertTrue(splitter.has_partial_event)
        splitter.discard_partial_event()
        self.assertFalse(splitter.has_partial_event)
