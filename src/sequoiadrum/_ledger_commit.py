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
from sequoiadrum.platform_client import epoch_and_revision

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sequoiadrum._ledger_types import ShardCall
    from sequoiadrum.interfaces import KeyedOutcome

_REF_BYTES: Final = 95
"""Size of a segment reference in a head, in bytes before compression."""
_RECENT_WRITE_IDS: Final = 16
"""Number of write ids kept in a head.

A router whose write has an unknown result reads the head next; if later writes have pushed the id
out by then, the write counts as failed.
"""


class CommitBuffer:
    """The head as last written or read, the changes to it, and the one write in flight."""

    def __init__(self, name: str, policy: LedgerPolicy, new_id: Callable[[], str]) -> None:
        self.head = Head()
        self.version = 0
        self.pending_by_key: dict[str, Entry] = {}
        """Changes for the next write, by key."""
        self.unconfirmed: list[tuple[ShardCall, KeyedOutcome]] = []
        """Outcomes to be delivered once a write or read proves that the shard is still held."""
        self.write: PendingWrite | None = None
        """The write in flight."""
        self.segment: Segment | None = None
        """Segment to be stored before the write of the head that refers to it."""
        self.segment_stored = False
        self.index: Final = SegmentIndex()
        self._last_segment: Segment | None = None
        """The segment stored last; the next one is merged with it up to the segment size limit."""
        self._name = name
        self._policy = policy
        self._new_id = new_id

    @property
    def head_name(self) -> str:
        """Name of the head object."""
        return f"{self._name}/head"

    @property
    def is_full(self) -> bool:
        """Whether the head has so many segments that new keys must be refused."""
        return len(self.head.segments) >= self._policy.max_segments

    def put(self, entry: Entry) -> None:
        """Adds a change to the next write."""
        self.pending_by_key[entry.key] = entry

    def find(self, key: str, issued_at_ms: int) -> Entry | SegmentRef | None:
        """Looks a key up in the changes, the head and then the segments, the newest first.

        Returns:
            The entry, None if the key is unknown, or the segment that must be loaded before the
            key can be looked up.
        """
        found = self.pending_by_key.get(key)
        if found is None and self.write is not None:
            found = self.write.changes_by_key.get(key)
        found = found or self.head.entries_by_key.get(key)
        if found is not None:
            return found
        return self.index.find(key, issued_at_ms, reversed(self.head.segments))

    def prepare(self, now_ms: int, owner: tuple[str, int], running: Collection[str]) -> WriteObject:
        """Builds the next write: the head, or first a segment if the head is too large.

        Args:
            now_ms: Unix time in milliseconds, for expiry.
            owner: Router and process to record as the owner; an empty name releases the shard.
            running: Keys of calls in flight, whose entries must stay in the head.
        """
        changes = self._take_changes()
        horizon_ms = now_ms - self._policy.retention_ms - self._policy.clock_slack_ms
        entries = {
            key: entry
            for key, entry in {**self.head.entries_by_key, **changes}.items()
            if entry.issued_at_ms >= horizon_ms or key in running
        }
        segments = [s for s in self.head.segments if s.high_ms >= horizon_ms]
        sealed_segment = self.segment
        if sealed_segment is not None:
            segments = [s for s in segments if s.name != sealed_segment.replaces] + [
                sealed_segment.ref
            ]
            entries = {
                k: e for k, e in entries.items() if sealed_segment.entries_by_key.get(k) is not e
            }
        write_id = self._new_id()
        head = evolve(
            self.head,
            owner=owner[0],
            owner_process=owner[1],
            write_id=write_id,
            recent_write_ids=(*self.head.recent_write_ids, write_id)[-_RECENT_WRITE_IDS:],
            entries_by_key=entries,
            segments=tuple(segments),
            platform_epoch=epoch_and_revision(self.version)[0],
        )
        dumped = head.dump()
        entry_bytes = len(dumped) - _REF_BYTES * len(segments)
        if sealed_segment is None and entry_bytes > self._policy.head_limit_bytes:
            self.segment = self._build_segment(entries)
            if self.segment is not None:
                self.pending_by_key = {**changes, **self.pending_by_key}
                return self.segment_write()
        # A call whose change did not fit into this write is confirmed by a later one.
        unconfirmed = [item for item in self.unconfirmed if item[0].key not in self.pending_by_key]
        self.unconfirmed = [item for item in self.unconfirmed if item[0].key in self.pending_by_key]
        self.segment, self.segment_stored = None, False
        value = compress(dumped)
        self.write = PendingWrite(
            write_id, head, value, self.version, changes, unconfirmed, sealed_segment
        )
        return self.head_write()

    def head_write(self) -> WriteObject:
        """Returns the write in flight; a retry after a lost response has the same bytes."""
        assert self.write is not None
        return WriteObject(self.head_name, self.write.value, self.write.expected_version)

    def segment_write(self) -> WriteObject:
        """Returns the write that creates the segment."""
        assert self.segment is not None
        return WriteObject(self.segment.ref.name, self.segment.value, 0)

    def revert(self) -> None:
        """Undoes `prepare` for a write that is known to have had no effect."""
        write, self.write = self.write, None
        assert write is not None
        self.pending_by_key = {**write.changes_by_key, **self.pending_by_key}
        self.unconfirmed = write.waiters + self.unconfirmed
        self.segment, self.segment_stored = write.sealed_segment, write.sealed_segment is not None

    def mark_committed(self, version: int) -> list[str]:
        """Applies the write in flight, which has taken effect.

        Args:
            version: Version of the head object after the write.

        Returns:
            Names of the segments to which the new head no longer refers.
        """
        write, self.write = self.write, None
        assert write is not None
        kept = {s.name for s in write.head.segments}
        dropped = [s.name for s in self.head.segments if s.name not in kept]
        self.head, self.version = write.head, version
        if write.sealed_segment is not None:
            self.index.add(write.sealed_segment.ref.name, write.sealed_segment.entries_by_key)
            self._last_segment = write.sealed_segment
        for name in dropped:
            self.index.drop(name)
        return dropped

    def clear(self, head: Head) -> list[str]:
        """Discards all changes, because another router has written the head.

        Returns:
            Names of the segments that this router stored and to which `head` does not refer.
        """
        stored = [self.segment] if self.segment_stored else []
        if self.write is not None:
            stored.append(self.write.sealed_segment)
        self.write, self.segment, self.segment_stored = None, None, False
        self.pending_by_key, self.unconfirmed = {}, []
        self._last_segment = None
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

    def _build_segment(self, entries_by_key: dict[str, Entry]) -> Segment | None:
        """Builds a segment of the oldest entries, None if every entry is a claim.

        Taking the oldest keeps the issue times within a segment close together.
        """
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
        last = self._last_segment
        replaces = ""
        if last is not None and last.uncompressed_bytes + size <= self._policy.segment_limit_bytes:
            chosen = {**last.entries_by_key, **chosen}
            replaces = last.ref.name
        issued = [e.issued_at_ms for e in chosen.values()]
        name = f"{self._name}/seg/{self._new_id()}"
        ref = SegmentRef(name, min(issued), max(issued), len(chosen))
        dumped = dump_segment(chosen.values())
        return Segment(ref, chosen, compress(dumped), len(dumped), replaces)
