"""Entries, heads and segments of ledger shards, and their JSON form on the platform."""

from __future__ import annotations

import base64
import json
import zlib
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve, field, frozen

from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import stable_hash
from sequoiadrum.interfaces import KeyedOutcome, KeyedState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sequoiadrum.interfaces import KeyedCall

MAX_STORED_RESPONSE_BYTES: Final = 16_384
"""Longer responses are not stored; a retry then learns that the call ran, but not its response."""
_COMPRESSION_LEVEL: Final = 1
"""Higher levels do not shrink the hashes and ids that make up most of an entry."""
MAX_CANCELLED: Final = 8
"""Maximum number of cancelled attempts in an entry; beyond it the key is refused."""


class EntryState(Enum):
    """State of a key in the ledger; the values are the stored form."""

    CLAIMED = "c"
    """May be dispatched by the process that wrote the claim, and by no other."""
    DONE = "d"
    NOT_RUN = "n"
    UNKNOWN = "u"


@frozen
class Entry:
    """Record of one key of a shard: its request, latest attempt and outcome."""

    key: str
    """Hash of service, account and idempotency key, 16 hex digits."""
    fingerprint: str
    """Hash of the request; empty if only a cancel of the key was seen."""
    attempt: str
    issued_at_ms: int
    state: EntryState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True
    """False if the response body was too long to be stored."""
    cancelled: tuple[str, ...] = ()
    """Attempts that were reported as not run and must never be claimed."""

    def finished(self, outcome: KeyedOutcome) -> Entry:
        """Returns a copy of the entry with the outcome of its attempt."""
        if outcome.state is KeyedState.DONE:
            kept = len(outcome.body) <= MAX_STORED_RESPONSE_BYTES
            return evolve(
                self,
                state=EntryState.DONE,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body if kept else b"",
                body_kept=kept,
            )
        if outcome.state is KeyedState.NOT_RUN:
            cancelled = (*self.cancelled, self.attempt)
            return evolve(self, state=EntryState.NOT_RUN, cancelled=cancelled)
        return evolve(self, state=EntryState.UNKNOWN)

    def outcome(self) -> KeyedOutcome:
        """Returns the outcome that a retry with the same key receives."""
        if self.state is EntryState.DONE and self.body_kept:
            return KeyedOutcome(KeyedState.DONE, self.status, self.content_type, self.body)
        if self.state is EntryState.DONE:
            detail = "the call ran; its answer was too large to be kept"
            refusal = Refusal(RefusalReason.ENDPOINT_FAILED, detail, None, True)
            return KeyedOutcome(KeyedState.UNKNOWN, refusal=refusal)
        if self.state is EntryState.NOT_RUN:
            return not_run(RefusalReason.CANCELLED, "the call was given up before it was sent")
        return unknown(RefusalReason.ENDPOINT_FAILED, "the call was started; no answer is known")


@frozen
class SegmentRef:
    """Reference to a segment: a stored object that is created once and holds older entries."""

    name: str
    low_ms: int
    """Lowest `issued_at_ms` of its entries."""
    high_ms: int
    """Highest `issued_at_ms` of its entries."""
    count: int


@frozen
class Head:
    """Contents of the head object of a shard: its owner, recent entries and segments."""

    epoch: int = 0
    """Incremented by each takeover."""
    owner: str = ""
    """Router that holds the shard; empty when it is released."""
    owner_process: int = 0
    """Id of the owner's process."""
    write_id: str = ""
    """Unique id of the write that stored this head."""
    recent_write_ids: tuple[str, ...] = ()
    """Ids of the last writes, from which a router learns whether its write took effect."""
    entries_by_key: Mapping[str, Entry] = field(factory=dict)
    segments: tuple[SegmentRef, ...] = ()
    platform_epoch: int = 0
    """Epoch of the platform in which the replaced head was read; see `version_in`."""
    unknown_before_ms: int = 0
    """Records of calls that were issued up to this Unix time may have been lost in a restore of the
    platform, so that a key without a record may have run."""

    def encode(self) -> bytes:
        """Returns the stored form: compressed JSON."""
        return compress(self.dump())

    def dump(self) -> bytes:
        """Returns the JSON form before compression."""
        return _dump(
            {
                "epoch": self.epoch,
                "owner": self.owner,
                "owner_process": self.owner_process,
                "write_id": self.write_id,
                "recent_write_ids": self.recent_write_ids,
                "segments": [[s.name, s.low_ms, s.high_ms, s.count] for s in self.segments],
                "entries": [_entry_row(e) for e in self.entries_by_key.values()],
                "platform_epoch": self.platform_epoch,
                "unknown_before_ms": self.unknown_before_ms,
            }
        )


def decode_head(value: bytes) -> Head:
    """Decodes the stored form of a head.

    Raises:
        ValueError, KeyError: The value is not a head.
    """
    document = _load(value)
    return Head(
        document["epoch"],
        document["owner"],
        document["owner_process"],
        document["write_id"],
        tuple(document["recent_write_ids"]),
        {row[0]: _entry_from_row(row) for row in document["entries"]},
        tuple(SegmentRef(*row) for row in document["segments"]),
        # Earlier versions stored neither.
        document.get("platform_epoch", 0),
        document.get("unknown_before_ms", 0),
    )


def dump_segment(entries: Iterable[Entry]) -> bytes:
    """Returns the JSON form of a segment before compression."""
    return _dump([_entry_row(e) for e in entries])


def decode_segment(value: bytes) -> dict[str, Entry]:
    """Decodes the stored form of a segment; returns its entries by key.

    Raises:
        ValueError: The value is damaged.
    """
    return {row[0]: _entry_from_row(row) for row in _load(value)}


def compress(value: bytes) -> bytes:
    """Returns the stored form of a head or segment from its JSON form."""
    return zlib.compress(value, _COMPRESSION_LEVEL)


def key_hash(service: str, account: str, key: str) -> str:
    """Returns the hash that identifies a key in the ledger, 16 hex digits."""
    return f"{stable_hash(service, account, key):016x}"


def request_fingerprint(call: KeyedCall) -> str:
    """Returns a hash of the parts of a request that must be the same in each retry of a key."""
    request = call.request
    digest = blake2b(digest_size=8)
    for part in (request.method, request.path, request.content_type):
        digest.update(part.encode() + b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def not_run(reason: RefusalReason, detail: str, retry_after_ms: int | None = 1_000) -> KeyedOutcome:
    """Builds the outcome of a request that is known not to have run.

    `retry_after_ms` is the time after which the caller may retry, None if a retry is pointless.
    """
    return KeyedOutcome(KeyedState.NOT_RUN, refusal=Refusal(reason, detail, retry_after_ms))


def unknown(reason: RefusalReason, detail: str) -> KeyedOutcome:
    """Builds the outcome of a call that may have run."""
    return KeyedOutcome(KeyedState.UNKNOWN, refusal=Refusal(reason, detail, None, None))


def encoded_size(entry: Entry) -> int:
    """Returns the size of one entry in a head or segment, in bytes before compression."""
    return len(_dump(_entry_row(entry))) + 1


def _entry_row(entry: Entry) -> list[Any]:
    row: list[Any] = [
        entry.key,
        entry.fingerprint,
        entry.attempt,
        entry.issued_at_ms,
        entry.state.value,
    ]
    if entry.state is EntryState.DONE:
        body = base64.b64encode(entry.body).decode()
        row += [entry.status, entry.content_type, body, entry.body_kept]
    elif entry.cancelled:
        row += [0, "", "", True]
    if entry.cancelled:
        row.append(entry.cancelled)
    return row


def _entry_from_row(row: list[Any]) -> Entry:
    key, fingerprint, attempt, issued_at_ms, state, *rest = row
    entry = Entry(key, fingerprint, attempt, issued_at_ms, EntryState(state))
    if not rest:
        return entry
    return evolve(
        entry,
        status=rest[0],
        content_type=rest[1],
        body=base64.b64decode(rest[2]),
        body_kept=rest[3],
        cancelled=tuple(rest[4]) if len(rest) > 4 else (),
    )


def _load(value: bytes) -> Any:
    """Decompresses and parses a stored value.

    Raises:
        ValueError: The value is damaged.
    """
    # Earlier versions stored plain JSON.
    if value[:1] in (b"{", b"["):
        return json.loads(value)
    try:
        return json.loads(zlib.decompress(value))
    except zlib.error as error:
        raise ValueError("the value is not compressed JSON") from error


def _dump(document: object) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
