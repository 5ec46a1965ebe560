"""Tests of `gateway.sse_framing`."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway.sse_framing import MAX_EVENT_BYTES, EventSplitter


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

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(min_size=1, max_size=5), max_size=30))
    def test_stream_that_is_not_resumable_passes_at_once(self, parts: list[bytes]) -> None:
        """Guards against bytes of a plain stream that are collected, lost or changed."""
        splitter = EventSplitter(holds_partial=False)
        for part in parts:
            self.assertEqual(splitter.feed(part), part)
            self.assertLessEqual(len(splitter._partial), 1)

    @settings(derandomize=True, deadline=None)
    @given(st.booleans(), st.lists(st.integers(1, 4), max_size=20))
    def test_progress_is_seen_at_each_cut(self, holds_partial: bool, sizes: list[int]) -> None:
        """Guards against a sound stream that counts as stalled because an event was cut in two."""
        data = b"id: 1\ndata: a\n\n" * 3
        splitter, offset, ends = EventSplitter(holds_partial=holds_partial), 0, 0
        for size in [*sizes, len(data)]:
            ends += b"\n\n" in data[max(0, offset - 1) : offset + size][: len(data)]
            splitter.feed(data[offset : offset + size])
            offset += size
        self.assertGreaterEqual(splitter.completed, 1)
        self.assertLessEqual(splitter.completed, ends)

    def test_event_without_end_is_oversized(self) -> None:
        """Guards against an event that is collected for as long as bytes arrive."""
        for holds_partial in (True, False):
            splitter = EventSplitter(holds_partial=holds_partial)
            splitter.feed(b"id: 1\n\n" + b"a" * MAX_EVENT_BYTES)
            self.assertFalse(splitter.is_oversized)
            splitter.feed(b"a")
            self.assertTrue(splitter.is_oversized)
            splitter.discard_partial_event()
            self.assertFalse(splitter.is_oversized)

    def test_unfinished_event_is_held(self) -> None:
        """Guards against resuming after an event of which the caller received only a part."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_id, "1")
        self.assertTrue(splitter.has_partial_event)
        splitter.discard_partial_event()
        self.assertFalse(splitter.has_partial_event)
