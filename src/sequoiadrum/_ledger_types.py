"""Calls, storage operations and events of a ledger shard, and its settings."""

from __future__ import annotations

import threading
from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum._ledger_codec import Entry, Head, SegmentRef
    from sequoiadrum.interfaces import KeyedOutcome


class CallKind(Enum):
    """Operation that a call requests of a shard."""

    RUN = "run"
    STATUS = "status"
    CANCEL = "cancel"
    """Prevents an attempt from being dispatched, or waits for its outcome if it was dispatched."""


@frozen
class KeyName:
    """Identifies a keyed call in requests between routers: service, account and idempotency key."""

    service: str
    account: str
    key: str


@define(eq=False)
class ShardCall:
    """One request to a shard; it ends in exactly one `Answered` or `Redirected` event."""

    kind: CallKind
    key: str
    """Hash of service, account and idempotency key; see `key_hash`."""
    attempt: str
    """Unique id of one request of a caller; a retry with the same key has another one."""
    fingerprint: str
    """Hash of the request; see `request_fingerprint`."""
    issued_at_ms: int
    deadline: float
    """Time by which the call ends, on the monotonic clock in seconds."""
    context: Any = None
    """Set and read by the task that runs the shard; the shard ignores it."""


class SendGate:
    """Decides once between sending and cancelling a request, whichever comes first.

    Its methods may be called from any thread.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._lock = threading.Lock()
        self._is_decided = False
        self._is_open = False

    def try_send(self, now: float) -> bool:
        """Returns whether the request may be sent now; True once at most.

        After a cancel or from the deadline on, it returns False.
        """
        with self._lock:
            if self._is_decided:
                return False
            self._is_decided = True
            self._is_open = now < self._deadline
            return self._is_open

    def try_cancel(self) -> bool:
        """Cancels the request; returns whether it is certain that it is never sent."""
        with self._lock:
            self._is_decided = True
            return not self._is_open


@frozen
class ReadObject:
    """Requests a read of a stored object."""

    name: str


@frozen
class WriteObject:
    """Requests a write of a stored object on condition that it has the expected version."""

    name: str
    value: bytes
    expected_version: int


ShardIo = ReadObject | WriteObject


@frozen
class Answered:
    """Reports the outcome of a call."""

    call: ShardCall
    outcome: KeyedOutcome


@frozen
class Redirected:
    """Reports that another router holds the shard and that the call was not run here."""

    call: ShardCall
    owner: str
    """Owner recorded in the head; empty if no live router holds the shard."""


@frozen
class Dispatch:
    """Reports that the claim of a call is stored, so the request may be sent if its gate allows."""

    call: ShardCall
    gate: SendGate


@frozen
class LateOutcome:
    """Carries an outcome that the current owner of the shard should record."""

    owner: str
    key: str
    attempt: str
    outcome: KeyedOutcome


@frozen
class ObsoleteObject:
    """Reports a stored object that is no longer referenced and can be deleted."""

    name: str


ShardEvent = Answered | Redirected | Dispatch | LateOutcome | ObsoleteObject


@define(eq=False)
class Attempt:
    """A run of a call that this process has claimed or is about to claim."""

    call: ShardCall
    entry: Entry
    gate: SendGate
    waiters: list[ShardCall] = field(factory=list)
    """Calls that receive the outcome of the attempt."""
    committed: bool = False
    """Whether the claim is known to be stored."""


@define(eq=False)
class PendingWrite:
    """A conditional write of the head whose effect is not known yet."""

    write_id: str
    head: Head
    value: bytes
    expected_version: int
    changes_by_key: Mapping[str, Entry]
    waiters: list[tuple[ShardCall, KeyedOutcome]]
    """Calls that receive their outcomes once the write has taken effect."""
    sealed_segment: Segment | None
    """Segment to which entries of the old head have moved."""
    may_have_taken_effect: bool = False
    """Whether an earlier try has an unknown result, so that the write may still take effect."""


@frozen
class Segment:
    """Entries that move from the head to a separate object."""

    ref: SegmentRef
    entries_by_key: Mapping[str, Entry]
    value: bytes
    uncompressed_bytes: int
    """Size of the value before compression."""
    replaces: str = ""
    """Name of a smaller segment that this one supersedes; it contains all entries of it."""


@frozen(kw_only=True)
class LedgerPolicy:
    """Settings of a ledger shard."""

    window_s: float = 0.02
    """Minimum time between two writes; changes that arrive meanwhile share the next one."""
    retention_ms: int = 86_400_000
    """Calls whose keys were issued longer ago than this are refused."""
    clock_slack_ms: int = 600_000
    """Additional time that entries are kept, because the clocks of routers differ."""
    head_limit_bytes: int = 24_000
    """Limit of the entries in a head, before compression.

    Beyond it, one write moves older entries to a segment, up to three quarters of this limit. At
    half the limit, the head grew to 164 KB in 10 s of 1,000 calls/s on one shard.
    """
    segment_limit_bytes: int = 480_000
    """Maximum size of a segment before compression; large segments keep their list short."""
    batch_bytes: int = 24_000
    """Maximum size of the changed entries in one write; a single larger entry is still written."""
    max_pending: int = 500
    """Maximum number of calls of one shard that are queued or running."""
    max_segments: int = 400
    """Number of segments from which new keys are refused, which keeps the head near 64 KB."""
    first_backoff_s: float = 0.02
    """Delay after a failed read or write; it doubles with each further failure."""
    max_backoff_s: float = 1.0
