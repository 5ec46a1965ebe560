"""The reads and writes of a ledger shard, with lost answers and backoff."""

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
    """Chooses the next read or write of a shard and tells its subclass what has come of it."""

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
        """Whether this process wrote the head last, as far as it knows."""
        self._me = (owner, process_id)
        self._policy = policy
        self._buffer = CommitBuffer(self.name, policy, new_id)
        self._queue: list[ShardCall] = []
        """Calls that are not decided yet."""
        self._attempts_by_key: dict[str, Attempt] = {}
        self._confirming: list[tuple[ShardCall, KeyedOutcome]] = []
        """Calls that waited when the last read was issued."""
        self._wanted_segment = ""
        self._io: ShardIo | None = None
        self._must_read = False
        """Whether the effect of the last write must be found out."""
        self._taking = False
        """Whether a takeover is being decided and written."""
        self._releasing = False
        self._not_before = 0.0
        self._last_write = -policy.window_s
        self._backoff_s = policy.first_backoff_s

    @abstractmethod
    def _committed(self, version: int, now: float) -> None:
        """The write under way has taken effect."""

    @abstractmethod
    def _confirmed(self) -> None:
        """A read has shown that the shard is still held."""

    @abstractmethod
    def _lose(self, head: Head) -> None:
        """Another router has written the head."""

    @abstractmethod
    def _consider(self, head: Head, version: int, now: float) -> None:
        """A head was read that this router does not hold."""

    @abstractmethod
    def _decide(self, now: float) -> None:
        """A segment was loaded."""

    @abstractmethod
    def _refuse_unsent(self, now: float) -> None:
        """The platform is down."""

    def next_due(self) -> float | None:
        """Gives when `next_io` has something to do, None when it waits for a call or result."""
        buffer = self._buffer
        if self._io is not None:
            return None
        if self._must_read or buffer.write or buffer.segment or self._wanted_segment:
            return self._not_before
        if not self.held:
            return self._not_before if self._queue or self._taking else None
        if buffer.pending_by_key:
            return max(self._not_before, self._last_write + self._policy.window_s)
        if buffer.waiting or self._can_release():
            return self._not_before
        return None

    def next_io(self, now: float, now_ms: int) -> ShardIo | None:
        """Gives the read or write to be made now; at most one is under way."""
        due = self.next_due()
        if due is None or due > now:
            return None
        self._io = self._choose_io(now_ms)
        if isinstance(self._io, WriteObject):
            self._last_write = now
        return self._io

    def io_done(self, result: IoResult, now: float) -> None:
        """Takes the result of the read or write that `next_io` gave."""
        io, self._io = self._io, None
        if io is None:
            raise InvariantError(f"{self.name}: result without a read or write")
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
        self._confirming = list(buffer.waiting)
        if self._must_read:
            return ReadObject(buffer.head_name)
        if buffer.write is not None:
            return buffer.head_write()
        if self._wanted_segment:
            return ReadObject(self._wanted_segment)
        if not self.held and not self._taking:
            return ReadObject(buffer.head_name)
        if buffer.segment is not None and not buffer.segment_stored:
            return buffer.segment_write()
        if self.held and not (buffer.pending_by_key or buffer.segment or self._can_release()):
            return ReadObject(buffer.head_name)
        owner = ("", 0) if self._can_release() else self._me
        return buffer.prepare(now_ms, owner, self._attempts_by_key)

    def _can_release(self) -> bool:
        idle = not (self._queue or self._attempts_by_key or self._buffer.pending_by_key)
        return self.held and self._releasing and idle

    def _head_written(self, result: IoResult, now: float) -> None:
        write = self._buffer.write
        assert write is not None
        if isinstance(result, Success):
            self._committed(result.unwrap().version, now)
            return
        failure = result.failure()
        if failure is PlatformFailure.CONFLICT or failure is PlatformFailure.UNKNOWN:
            # This write, or an earlier one with the same id, may have taken effect.
            self._must_read = True
            write.maybe_sent = True
            if failure is PlatformFailure.UNKNOWN:
                self._back_off(now)
            return
        if not write.maybe_sent:
            self._buffer.take_back()
        self._no_effect(failure, now)

    def _head_read(self, result: IoResult, now: float) -> None:
        if isinstance(result, Failure) and result.failure() is not PlatformFailure.NOT_FOUND:
            self._no_effect(result.failure(), now)
            return
        found = result.value_or(StoredObject(self._buffer.head_name, 0, b""))
        try:
            head = decode_head(found.value) if found.version else Head()
        except (ValueError, KeyError, TypeError):
            self._no_effect(PlatformFailure.NOT_FOUND, now)
            return
        self._succeeded()
        self._must_read = False
        write = self._buffer.write
        if write is not None and found.version == write.expected_version:
            return  # Not in effect yet, but it may still be: the same bytes are written again.
        if write is not None and head.write_id == write.write_id:
            self._committed(found.version, now)
            return
        if write is None and self.held and found.version == self._buffer.version:
            self._confirmed()
            return
        if write is not None or self.held:
            self._lose(head)
        self._consider(head, found.version, now)

    def _segment_written(self, result: IoResult, now: float) -> None:
        if isinstance(result, Failure) and result.failure() is not PlatformFailure.CONFLICT:
            self._no_effect(result.failure(), now)
            return
        # The name is unique: a conflict means that an earlier try took effect.
        self._succeeded()
        self._buffer.segment_stored = True

    def _segment_read(self, name: str, result: IoResult, now: float) -> None:
        if isinstance(result, Failure):
            # A later owner may have dropped the segment: the head tells.
            self._must_read = result.failure() is PlatformFailure.NOT_FOUND
            self._no_effect(result.failure(), now)
            return
        self._succeeded()
        self._wanted_segment = ""
        self._buffer.index.load(name, result.unwrap().value)
        self._decide(now)

    def _no_effect(self, failure: PlatformFailure, now: float) -> None:
        """Backs off; when the platform is down, refuses what has not been sent."""
        self._back_off(now)
        if failure not in (PlatformFailure.RATE_LIMITED, PlatformFailure.UNKNOWN):
            self._refuse_unsent(now)

    def _succeeded(self) -> None:
        self._backoff_s = self._policy.first_backoff_s
        self._not_before = 0.0

    def _back_off(self, now: float) -> None:
        self._not_before = now + self._backoff_s
        self._backoff_s = min(self._policy.max_backoff_s, 2 * self._backoff_s)
