"""Calls, input and output, and events of a ledger shard."""

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
    """What is asked of a shard."""

    RUN = "run"
    STATUS = "status"
    CANCEL = "cancel"
    """Keeps an attempt from being dispatched, or waits for its outcome."""


@frozen
class KeyName:
    """What names a keyed call between routers."""

    service: str
    account: str
    key: str


@define(eq=False)
class ShardCall:
    """One question to a shard; answered by exactly one `Answered` or `Redirected` event."""

    kind: CallKind
    key: str
    """See `key_hash`."""
    attempt: str
    """Unique for each request of a caller."""
    fingerprint: str
    issued_at_ms: int
    deadline: float
    """Monotonic seconds; the answer comes by then."""
    context: Any = None
    """Kept for the shell."""


class SendGate:
    """Decides between sending and giving up, whichever comes first; safe from any thread."""

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._lock = threading.Lock()
        self._decided = False
        self._opened = False

    def try_send(self, now: float) -> bool:
        """Whether the request may be sent now; False after a cancel or the deadline."""
        with self._lock:
            if self._decided:
                return False
            self._decided = True
            self._opened = now < self._deadline
            return self._opened

    def try_cancel(self) -> bool:
        """Whether the request is certain never to be sent."""
        with self._lock:
            self._decided = True
            return not self._opened


@frozen
class ReadObject:
    """The shell is to read an object."""

    name: str


@frozen
class WriteObject:
    """The shell is to write an object under its expected version."""

    name: str
    value: bytes
    expected_version: int


ShardIo = ReadObject | WriteObject


@frozen
class Answered:
    """A call has its outcome."""

    call: ShardCall
    outcome: KeyedOutcome


@frozen
class Redirected:
    """Another router holds the shard; the call was not run here."""

    call: ShardCall
    owner: str
    """The recorded owner; empty when the view of this router names another one."""


@frozen
class Dispatch:
    """The claim is stored; the request may be sent once the gate opens."""

    call: ShardCall
    gate: SendGate


@frozen
class LateOutcome:
    """An outcome that the present owner of the shard should record."""

    owner: str
    key: str
    attempt: str
    outcome: KeyedOutcome


@frozen
class ObsoleteObject:
    """An object that nothing refers to any more."""

    name: str


ShardEvent = Answered | Redirected | Dispatch | LateOutcome | ObsoleteObject


@define(eq=False)
class Attempt:
    """A call that is claimed, or about to be, by this process."""

    call: ShardCall
    entry: Entry
    gate: SendGate
    waiters: list[ShardCall] = field(factory=list)
    committed: bool = False
    """Whether the claim is known to be stored."""


@define(eq=False)
class PendingWrite:
    """A conditional write whose effect is not known yet."""

    write_id: str
    head: Head
    value: bytes
    expected_version: int
    changes_by_key: Mapping[str, Entry]
    waiters: list[tuple[ShardCall, KeyedOutcome]]
    """Answered once the write has taken effect."""
    sealed: Segment | None
    maybe_sent: bool = False
    """Whether an earlier answer was lost, so that the write may still take effect."""


@frozen
class Segment:
    """Entries that move from the head to an object of their own."""

    ref: SegmentRef
    entries_by_key: Mapping[str, Entry]
    value: bytes
    dumped_bytes: int
    """Size of the value before its compression."""
    replaces: str = ""
    """Name of a shorter segment whose entries are in this one too."""


@frozen(kw_only=True)
class LedgerPolicy:
    """Settings of a shard."""

    window_s: float = 0.02
    """Least time between two writes; what arrives meanwhile shares the next one."""
    retention_ms: int = 86_400_000
    """Older keys are refused."""
    clock_slack_ms: int = 600_000
    """Entries are kept this much longer, for routers whose clocks differ."""
    head_limit_bytes: int = 24_000
    """A head with more bytes of entries, before compression, moves its older ones to a segment, up
    to three quarters of this limit in one write. Half the limit let the head grow to 164 KB in
    10 s of 1,000 calls/s on one shard."""
    segment_limit_bytes: int = 480_000
    """A segment grows up to this size before compression, which keeps their list short."""
    batch_bytes: int = 24_000
    """Entries of one write."""
    max_pending: int = 500
    """Calls of one shard that are queued or running."""
    max_segments: int = 400
    """New keys are refused beyond; keeps the head near 64 KB."""
    first_backoff_s: float = 0.02
    max_backoff_s: float = 1.0
