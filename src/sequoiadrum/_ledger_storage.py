"""Schedules the reads and writes of a ledger shard and handles lost responses and failures."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from sequoiadrum._ledger_codec import Head, decode_head
from sequoiadrum._ledger_commit import CommitBuffer
from sequoiadrum._ledger_types import (
    Attempt,
    LedgerPolicy,
    ReadObject,
    ShardCall,
    ShardIo,
    WriteObject,
)
from sequoiadrum.errors import InvariantError
from sequoiadrum.platform_client import PlatformFailure, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.interfaces import KeyedOutcome

IoResult = Result[StoredObject, PlatformFailure]


class ShardStorage(ABC):
    """Chooses the next read or write of a shard and calls its subclass with the results."""

    def __init__(
        self,
        number: int,
        owner: str,
        process_id: int,
        policy: LedgerPolicy,
        new_id: Callable[[], str],
    ) -> None:
        self.name: Final = f"ledger/{number}"
        self.held = False
        """Whether this process holds the shard: it wrote the last head that it knows of."""
        self._identity = (owner, process_id)
        self._policy = policy
        self._buffer = CommitBuffer(self.name, policy, new_id)
        self._queue: list[ShardCall] = []
        """Calls that have neither an outcome nor an attempt yet."""
        self._attempts_by_key: dict[str, Attempt] = {}
        self._awaiting_read: list[tuple[ShardCall, KeyedOutcome]] = []
        """Unconfirmed outcomes at the time when the last read or write was issued."""
        self._segment_to_load = ""
        """Name of the segment that a queued call needs; empty if none."""
        self._io: ShardIo | None = None
        """The read or write in flight."""
        self._must_read_head = False
        """Whether the head must be read to learn the effect of the last write."""
        self._must_write_head = False
        """Whether the head must be written because the platform shows an older one."""
        self._is_taking_over = False
        """Whether a takeover has started and its write has not been confirmed."""
        self._is_releasing = False
        self._earliest_io_at = 0.0
        self._last_write_at = -policy.window_s
        self._clock_offset_ms = 0.0
        """Unix time less monotonic time, in milliseconds."""
        self._backoff_s = policy.first_backoff_s

    @abstractmethod
    def _write_committed(self, version: int, now: float) -> None:
        """Called when the write in flight has taken effect."""

    @abstractmethod
    def _ownership_confirmed(self) -> None:
        """Called when a read has shown that the shard is still held."""

    @abstractmethod
    def _ownership_lost(self, head: Head) -> None:
        """Called when another router has written the head and this one may have held the shard."""

    @abstractmethod
    def _unheld_head_read(self, head: Head, version: int, now: float) -> None:
        """Called when a head was read while this router does not hold the shard."""

    @abstractmethod
    def _process_queue(self, now: float) -> None:
        """Called when a segment was loaded, so that queued calls may proceed."""

    @abstractmethod
    def _refuse_undispatched(self, now: float) -> None:
        """Called when the platform has failed, to refuse the calls not yet dispatched."""

    def next_due(self) -> float | None:
        """Returns the time from which `next_io` returns a read or write, in monotonic seconds.

        None means that the shard waits for a call or a result.
        """
        buffer = self._buffer
        if self._io is not None:
            return None
        if self._must_read_head or buffer.write or buffer.segment or self._segment_to_load:
            return self._earliest_io_at
        if self.held and self._must_write_head:
            return self._earliest_io_at
        if not self.held:
            return self._earliest_io_at if self._queue or self._is_taking_over else None
        if buffer.pending_by_key:
            return max(self._earliest_io_at, self._last_write_at + self._policy.window_s)
        if buffer.unconfirmed or self._can_release():
            return self._earliest_io_at
        return None

    def next_io(self, now: float, now_ms: int) -> ShardIo | None:
        """Returns the read or write to start now, None if there is none or one is in flight."""
        due = self.next_due()
        if due is None or due > now:
            return None
        self._clock_offset_ms = now_ms - now * 1e3
        self._io = self._choose_io(now_ms)
        if isinstance(self._io, WriteObject):
            self._last_write_at = now
        return self._io

    def io_done(self, result: IoResult, now: float) -> None:
        """Handles the result of the read or write that `next_io` returned.

        Raises:
            InvariantError: No read or write is in flight.
        """
        io, self._io = self._io, None
        if io is None:
            raise InvariantError(
                f"{self.name}: received a result but no read or write is in flight"
            )
        is_head = io.name == self._buffer.head_name
        if isinstance(io, WriteObject) and is_head:
            self._head_written(result, now)
        elif isinstance(io, WriteObject):
            self._segment_written(result, now)
        elif is_head:
            self._head_read(result, now)
        else:
            self._segment_read(io.name, result, now)

    def _choose_io(self, now_ms: int) -> ShardIo:
        buffer = self._buffer
        self._awaiting_read = list(buffer.unconfirmed)
        if self._must_read_head:
            return ReadObject(buffer.head_name)
        if buffer.write is not None:
            return buffer.head_write()
        if self._segment_to_load:
            return ReadObject(self._segment_to_load)
        if not self.held and not self._is_taking_over:
            return ReadObject(buffer.head_name)
        if buffer.segment is not None and not buffer.segment_stored:
            return buffer.segment_write()
        has_changes = buffer.pending_by_key or buffer.segment or self._must_write_head
        if self.held and not (has_changes or self._can_release()):
            return ReadObject(buffer.head_name)
        owner = ("", 0) if self._can_release() else self._identity
        io = buffer.prepare(now_ms, owner, self._attempts_by_key)
        self._must_write_head &= buffer.write is None
        return io

    def _can_release(self) -> bool:
        idle = not (self._queue or self._attempts_by_key or self._buffer.pending_by_key)
        return self.held and self._is_releasing and idle

    def _head_written(self, result: IoResult, now: float) -> None:
        write = self._buffer.write
        assert write is not None
        if isinstance(result, Success):
            self._write_committed(result.unwrap().version, now)
            return
        failure = result.failure()
        if failure is PlatformFailure.CONFLICT or failure is PlatformFailure.UNKNOWN:
            # This try of the write, or an earlier one with the same id, may have taken effect.
            self._must_read_head = True
            write.may_have_taken_effect = True
            if failure is PlatformFailure.UNKNOWN:
                self._back_off(now)
            return
        if not write.may_have_taken_effect:
            self._buffer.revert()
        self._io_failed(failure, now)

    def _head_read(self, result: IoResult, now: float) -> None:
        if isinstance(result, Failure) and result.failure() is not PlatformFailure.NOT_FOUND:
            self._io_failed(result.failure(), now)
            return
        found = result.value_or(StoredObject(self._buffer.head_name, 0, b""))
        try:
            head = decode_head(found.value) if found.version else Head()
        except (ValueError, KeyError, TypeError):
            self._io_failed(PlatformFailure.NOT_FOUND, now)
            return
        self._reset_backoff()
        self._must_read_head = False
        write = self._buffer.write
        if write is not None and found.version == write.expected_version:
            return  # The write may still take effect, so it is retried with the same bytes.
        if write is not None and head.write_id == write.write_id:
            self._write_committed(found.version, now)
            return
        if write is None and self.held and found.version == self._buffer.version:
            self._ownership_confirmed()
            return
        if self.held and self._is_older(head):
            # The platform was restored from a copy. The newer head is in memory.
            self._buffer.version = found.version
            if write is not None:
                write.expected_version = found.version
            self._must_write_head = write is None
            return
        if write is not None or self.held:
            self._ownership_lost(head)
        self._unheld_head_read(head, found.version, now)

    def _is_older(self, head: Head) -> bool:
        """Returns whether a head was replaced by one that this process wrote as the owner.

        Only valid while the shard is held: the epoch is then the one that this process began.
        """
        own_epoch = self._buffer.head.epoch
        is_own = (head.owner, head.owner_process) == self._identity
        return head.epoch < own_epoch or (head.epoch == own_epoch and is_own)

    def _segment_written(self, result: IoResult, now: float) -> None:
        if isinstance(result, Failure) and result.failure() is not PlatformFailure.CONFLICT:
            self._io_failed(result.failure(), now)
            return
        # The name is unique, so a conflict means that an earlier try took effect.
        self._reset_backoff()
        self._buffer.segment_stored = True

    def _segment_read(self, name: str, result: IoResult, now: float) -> None:
        if isinstance(result, Failure):
            # A later owner may have removed the segment; reading the head shows whether it did.
            self._must_read_head = result.failure() is PlatformFailure.NOT_FOUND
            self._io_failed(result.failure(), now)
            return
        self._reset_backoff()
        self._segment_to_load = ""
        self._buffer.index.load(name, result.unwrap().value)
        self._process_queue(now)

    def _io_failed(self, failure: PlatformFailure, now: float) -> None:
        """Backs off; refuses undispatched calls unless rate limited or the result is unknown."""
        self._back_off(now)
        if failure not in (PlatformFailure.RATE_LIMITED, PlatformFailure.UNKNOWN):
            self._refuse_undispatched(now)

    def _reset_backoff(self) -> None:
        self._backoff_s = self._policy.first_backoff_s
        self._earliest_io_at = 0.0

    def _back_off(self, now: float) -> None:
        self._earliest_io_at = now + self._backoff_s
        self._backoff_s = min(self._policy.max_backoff_s, 2 * self._backoff_s)
