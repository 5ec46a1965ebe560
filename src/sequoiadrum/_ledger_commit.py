"""Group commit of a ledger shard: gathers changes and builds conditional writes of the head."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import evolve

from sequoiadrum._ledger_codec import (
    Entry,
    EntryState,
    Head,
    SegmentRef,
    compress,
    dump_segment,
    encoded_size,
)
from sequoiadrum._ledger_index import SegmentIndex
from sequoiadrum._ledger_types import LedgerPolicy, PendingWrite, Segment, WriteObject

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sequoiadrum._ledger_types import ShardCall
    from sequoiadrum.interfaces import KeyedOutcome

_REF_BYTES: Final = 95
"""Stored size of a reference to a segment."""
_RECENT_WRITE_IDS: Final = 16
"""A lost write is looked up at once; one that others have since pushed out counts as failed."""


class CommitBuffer:
    """The head as last written or read, the changes to it, and the one write under way."""

    def __init__(self, name: str, policy: LedgerPolicy, new_id: Callable[[], str]) -> None:
        self.head = Head()
        self.version = 0
        self.pending_by_key: dict[str, Entry] = {}
        """Changes for the next write."""
        self.waiting: list[tuple[ShardCall, KeyedOutcome]] = []
        """Answered once a write or read proves that the shard is still held."""
        self.write: PendingWrite | None = None
        self.segment: Segment | None = None
        """Stored before the head write that refers to it."""
        self.segment_stored = False
        self.index: Final = SegmentIndex()
        self._last: Segment | None = None
        """The segment stored last, to which the next one is added while it is short."""
        self._name = name
        self._policy = policy
        self._new_id = new_id

    @property
    def head_name(self) -> str:
        """Name of the head object."""
        return f"{self._name}/head"

    @property
    def is_full(self) -> bool:
        """Whether new keys must be refused."""
        return len(self.head.segments) >= self._policy.max_segments

    def put(self, entry: Entry) -> None:
        """Adds a change to the next write."""
        self.pending_by_key[entry.key] = entry

    def find(self, key: str, issued_at_ms: int) -> Entry | SegmentRef | None:
        """Looks a key up, the newest change first; see `SegmentIndex.find`."""
        found = self.pending_by_key.get(key)
        if found is None and self.write is not None:
            found = self.write.changes_by_key.get(key)
        found = found or self.head.entries_by_key.get(key)
        if found is not None:
            return found
        return self.index.find(key, issued_at_ms, reversed(self.head.segments))

    def prepare(self, now_ms: int, owner: tuple[str, int], running: Collection[str]) -> WriteObject:
        """Builds the next write: the head, or first a segment when the head is too large.

        Args:
            now_ms: Unix time in milliseconds, for expiry.
            owner: Router and process to name as the holder; an empty name releases the shard.
            running: Keys that must stay in the head.
        """
        changes = self._take_changes()
        horizon_ms = now_ms - self._policy.retention_ms - self._policy.clock_slack_ms
        entries = {
            key: entry
            for key, entry in {**self.head.entries_by_key, **changes}.items()
            if entry.issued_at_ms >= horizon_ms or key in running
        }
        segments = [s for s in self.head.segments if s.high_ms >= horizon_ms]
        sealed = self.segment
        if sealed is not None:
            segments = [s for s in segments if s.name != sealed.replaces] + [sealed.ref]
            entries = {k: e for k, e in entries.items() if sealed.entries_by_key.get(k) is not e}
        write_id = self._new_id()
        head = evolve(
            self.head,
            owner=owner[0],
            owner_process=owner[1],
            write_id=write_id,
            recent_write_ids=(*self.head.recent_write_ids, write_id)[-_RECENT_WRITE_IDS:],
            entries_by_key=entries,
            segments=tuple(segments),
        )
        dumped = head.dump()
        entry_bytes = len(dumped) - _REF_BYTES * len(segments)
        if sealed is None and entry_bytes > self._policy.head_limit_bytes:
            self.segment = self._seal(entries)
            if self.segment is not None:
                self.pending_by_key = {**changes, **self.pending_by_key}
                return self.segment_write()
        # A call whose change did not fit into this write waits for the next one.
        waiting = [item for item in self.waiting if item[0].key not in self.pending_by_key]
        self.waiting = [item for item in self.waiting if item[0].key in self.pending_by_key]
        self.segment, self.segment_stored = None, False
        value = compress(dumped)
        self.write = PendingWrite(write_id, head, value, self.version, changes, waiting, sealed)
        return self.head_write()

    def head_write(self) -> WriteObject:
        """Gives the write under way; repeated with the same bytes after a lost answer."""
        assert self.write is not None
        return WriteObject(self.head_name, self.write.value, self.write.expected_version)

    def segment_write(self) -> WriteObject:
        """Gives the write of the segment."""
        assert self.segment is not None
        return WriteObject(self.segment.ref.name, self.segment.value, 0)

    def take_back(self) -> None:
        """Undoes `prepare` for a write that certainly had no effect."""
        write, self.write = self.write, None
        assert write is not None
        self.pending_by_key = {**write.changes_by_key, **self.pending_by_key}
        self.waiting = write.waiters + self.waiting
        self.segment, self.segment_stored = write.sealed, write.sealed is not None

    def accept(self, version: int) -> list[str]:
        """The write took effect; gives the names of expired segments."""
        write, self.write = self.write, None
        assert write is not None
        kept = {s.name for s in write.head.segments}
        dropped = [s.name for s in self.head.segments if s.name not in kept]
        self.head, self.version = write.head, version
        if write.sealed is not None:
            self.index.add(write.sealed.ref.name, write.sealed.entries_by_key)
            self._last = write.sealed
        for name in dropped:
            self.index.drop(name)
        return dropped

    def clear(self, head: Head) -> list[str]:
        """Forgets all changes, because another router wrote the head.

        Returns:
            Segments that this router stored and the head does not name.
        """
        stored = [self.segment] if self.segment_stored else []
        if self.write is not None:
            stored.append(self.write.sealed)
        self.write, self.segment, self.segment_stored = None, None, False
        self.pending_by_key, self.waiting = {}, []
        self._last = None
        named = {s.name for s in head.segments}
        return [s.ref.name for s in stored if s is not None and s.ref.name not in named]

    def _take_changes(self) -> dict[str, Entry]:
        changes: dict[str, Entry] = {}
        size = 0
        for key, entry in list(self.pending_by_key.items()):
            size += encoded_size(entry)
            if changes and size > self._policy.batch_bytes:
                break
            changes[key] = self.pending_by_key.pop(key)
        return changes

    def _seal(self, entries_by_key: dict[str, Entry]) -> Segment | None:
        """Chooses the older entries, so that the issue times of a segment lie close together."""
        final = [e for e in entries_by_key.values() if e.state is not EntryState.CLAIMED]
        final.sort(key=lambda e: e.issued_at_ms)
        chosen: dict[str, Entry] = {}
        size = 0
        for entry in final:
            if size > self._policy.head_limit_bytes * 3 // 4:
                break
            chosen[entry.key] = entry
            size += encoded_size(entry)
        if not chosen:
            return None
        last = self._last
        replaces = ""
        if last is not None and last.dumped_bytes + size <= self._policy.segment_limit_bytes:
            chosen = {**last.entries_by_key, **chosen}
            replaces = last.ref.name
        issued = [e.issued_at_ms for e in chosen.values()]
        name = f"{self._name}/seg/{self._new_id()}"
        ref = SegmentRef(name, min(issued), max(issued), len(chosen))
        dumped = dump_segment(chosen.values())
        return Segment(ref, chosen, compress(dumped), len(dumped), replaces)
