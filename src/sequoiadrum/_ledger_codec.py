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

MAX_STORED_ANSWER_BYTES: Final = 16_384
"""Longer answers are not kept; a repeated key is then told that the call ran, without it."""
_COMPRESSION_LEVEL: Final = 1
"""Hashes and ids, which make up most of an entry, gain nothing from higher levels."""
MAX_CANCELLED: Final = 8
"""Cancelled attempts that an entry remembers; the key is refused beyond them."""


class EntryState(Enum):
    """What the ledger holds of a key."""

    CLAIMED = "c"
    """May be dispatched by the process that wrote the claim, by nobody else."""
    DONE = "d"
    NOT_RUN = "n"
    UNKNOWN = "u"


@frozen
class Entry:
    """One key of a shard."""

    key: str
    """Hash of service, account and key, 16 hex digits."""
    fingerprint: str
    """Hash of the request."""
    attempt: str
    issued_at_ms: int
    state: EntryState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True
    cancelled: tuple[str, ...] = ()
    """Attempts that were told not run and must never be claimed."""

    def finished(self, outcome: KeyedOutcome) -> Entry:
        """Gives the entry with the outcome of its attempt."""
        if outcome.state is KeyedState.DONE:
            kept = len(outcome.body) <= MAX_STORED_ANSWER_BYTES
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
        """Gives what a repeated call is told."""
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
    """Names a create-only object that holds older entries."""

    name: str
    low_ms: int
    """Lowest `issued_at_ms` in it."""
    high_ms: int
    count: int


@frozen
class Head:
    """Value of a shard's head object."""

    epoch: int = 0
    """Raised by each takeover."""
    owner: str = ""
    """Router that holds the shard; empty when released."""
    owner_process: int = 0
    write_id: str = ""
    recent_write_ids: tuple[str, ...] = ()
    entries_by_key: Mapping[str, Entry] = field(factory=dict)
    segments: tuple[SegmentRef, ...] = ()

    def encode(self) -> bytes:
        """Writes the stored form."""
        return compress(self.dump())

    def dump(self) -> bytes:
        """Writes the form that `compress` makes the stored one."""
        return _dump(
            {
                "epoch": self.epoch,
                "owner": self.owner,
                "owner_process": self.owner_process,
                "write_id": self.write_id,
                "recent_write_ids": self.recent_write_ids,
                "segments": [[s.name, s.low_ms, s.high_ms, s.count] for s in self.segments],
                "entries": [_entry_row(e) for e in self.entries_by_key.values()],
            }
        )


def decode_head(value: bytes) -> Head:
    """Reads a head.

    Raises:
        ValueError, KeyError: The value is not a head.
    """
    document = _unpack(value)
    return Head(
        document["epoch"],
        document["owner"],
        document["owner_process"],
        document["write_id"],
        tuple(document["recent_write_ids"]),
        {row[0]: _entry(row) for row in document["entries"]},
        tuple(SegmentRef(*row) for row in document["segments"]),
    )


def dump_segment(entries: Iterable[Entry]) -> bytes:
    """Writes a segment; `compress` makes the stored form of it."""
    return _dump([_entry_row(e) for e in entries])


def decode_segment(value: bytes) -> dict[str, Entry]:
    """Reads a segment."""
    return {row[0]: _entry(row) for row in _unpack(value)}


def compress(value: bytes) -> bytes:
    """Makes the stored form of a dumped head or segment."""
    return zlib.compress(value, _COMPRESSION_LEVEL)


def key_hash(service: str, account: str, key: str) -> str:
    """Gives the name of a key in the ledger, 16 hex digits."""
    return f"{stable_hash(service, account, key):016x}"


def request_fingerprint(call: KeyedCall) -> str:
    """Hashes what must not differ when a key is repeated."""
    request = call.request
    digest = blake2b(digest_size=8)
    for part in (request.method, request.path, request.content_type):
        digest.update(part.encode() + b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def not_run(reason: RefusalReason, detail: str, retry_after_ms: int | None = 1_000) -> KeyedOutcome:
    """Builds the outcome of a request that was provably not run."""
    return KeyedOutcome(KeyedState.NOT_RUN, refusal=Refusal(reason, detail, retry_after_ms))


def unknown(reason: RefusalReason, detail: str) -> KeyedOutcome:
    """Builds the outcome of a call that may have run."""
    return KeyedOutcome(KeyedState.UNKNOWN, refusal=Refusal(reason, detail, None, None))


def encoded_size(entry: Entry) -> int:
    """Gives the bytes of one entry before compression."""
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


def _entry(row: list[Any]) -> Entry:
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


def _unpack(value: bytes) -> Any:
    """Reads a stored value.

    Raises:
        ValueError: The value is damaged.
    """
    # Values of earlier versions are plain JSON.
    if value[:1] in (b"{", b"["):
        return json.loads(value)
    try:
        return json.loads(zlib.decompress(value))
    except zlib.error as error:
        raise ValueError("the value is not compressed JSON") from error


def _dump(document: object) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
