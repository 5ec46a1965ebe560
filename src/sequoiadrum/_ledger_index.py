"""What an owner keeps in memory of its segments."""

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
"""A repeated key is found in segments when its issue time differs by less than this."""
_MAX_INDEXED: Final = 4_096
_MAX_LOADED: Final = 4


class SegmentIndex:
    """Key hashes of known segments (8 bytes a key) and the last few loaded segments."""

    def __init__(self) -> None:
        self._hashes_by_name: OrderedDict[str, array[int]] = OrderedDict()
        self._entries_by_name: OrderedDict[str, dict[str, Entry]] = OrderedDict()

    def add(self, name: str, keys: Iterable[str]) -> None:
        """Remembers the keys of a segment."""
        self._hashes_by_name[name] = array("Q", sorted(int(key, 16) for key in keys))
        while len(self._hashes_by_name) > _MAX_INDEXED:
            self._hashes_by_name.popitem(last=False)

    def drop(self, name: str) -> None:
        """Forgets a segment that the head does not name any more."""
        self._hashes_by_name.pop(name, None)
        self._entries_by_name.pop(name, None)

    def load(self, name: str, value: bytes) -> None:
        """Remembers the value of a segment.

        Raises:
            ValueError: The value is not a segment.
        """
        entries = decode_segment(value)
        self.add(name, entries)
        self._entries_by_name[name] = entries
        while len(self._entries_by_name) > _MAX_LOADED:
            self._entries_by_name.popitem(last=False)

    def find(
        self, key: str, issued_at_ms: int, segments: Iterable[SegmentRef]
    ) -> Entry | SegmentRef | None:
        """Looks a key up, the newest segment first.

        Returns:
            The entry, None when no segment has the key, or the segment that must be loaded first.
        """
        for segment in segments:
            low, high = segment.low_ms - ISSUED_SLACK_MS, segment.high_ms + ISSUED_SLACK_MS
            if not low <= issued_at_ms <= high:
                continue
            hashes = self._hashes_by_name.get(segment.name)
            if hashes is None:
                return segment
            wanted = int(key, 16)
            place = bisect_left(hashes, wanted)
            if place == len(hashes) or hashes[place] != wanted:
                continue
            loaded = self._entries_by_name.get(segment.name)
            return segment if loaded is None else loaded[key]
        return None
