"""In-memory index of the segments of a ledger shard."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from sequoiadrum._ledger_codec import decode_segment

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiadrum._ledger_codec import Entry, SegmentRef

ISSUED_SLACK_MS: Final = 600_000
"""Maximum difference between the issue times of a call and its retry.

A retry whose issue time differs by more may not be found in a segment.
"""
_MAX_INDEXED: Final = 4_096
"""Maximum number of segments whose key hashes are kept."""
_MAX_LOADED: Final = 4
"""Maximum number of segments whose entries are kept."""


class SegmentIndex:
    """Key hashes of known segments (8 bytes per key) and entries of the last loaded segments."""

    def __init__(self) -> None:
        self._hashes_by_name: OrderedDict[str, array[int]] = OrderedDict()
        self._entries_by_name: OrderedDict[str, dict[str, Entry]] = OrderedDict()

    def add(self, name: str, keys: Iterable[str]) -> None:
        """Indexes the keys of a segment; beyond the limit, the first added one is removed."""
        self._hashes_by_name[name] = array("Q", sorted(int(key, 16) for key in keys))
        while len(self._hashes_by_name) > _MAX_INDEXED:
            self._hashes_by_name.popitem(last=False)

    def drop(self, name: str) -> None:
        """Removes a segment to which the head no longer refers."""
        self._hashes_by_name.pop(name, None)
        self._entries_by_name.pop(name, None)

    def load(self, name: str, value: bytes) -> None:
        """Indexes a segment and keeps its entries.

        Raises:
            ValueError: The value is damaged.
        """
        entries = decode_segment(value)
        self.add(name, entries)
        self._entries_by_name[name] = entries
        while len(self._entries_by_name) > _MAX_LOADED:
            self._entries_by_name.popitem(last=False)

    def find(
        self, key: str, issued_at_ms: int, segments: Iterable[SegmentRef]
    ) -> Entry | SegmentRef | None:
        """Looks a key up in the segments, in the given order.

        Returns:
            The entry, None if no segment contains the key, or the segment that must be loaded
            before the key can be looked up.
        """
        for segment in segments:
            low, high = segment.low_ms - ISSUED_SLACK_MS, segment.high_ms + ISSUED_SLACK_MS
            if not low <= issued_at_ms <= high:
                continue
            hashes = self._hashes_by_name.get(segment.name)
            if hashes is None:
                return segment
            wanted = int(key, 16)
            position = bisect_left(hashes, wanted)
            if position == len(hashes) or hashes[position] != wanted:
                continue
            loaded = self._entries_by_name.get(segment.name)
            return segment if loaded is None else loaded[key]
        return None
