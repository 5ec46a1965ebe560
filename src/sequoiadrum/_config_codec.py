"""Stored and transmitted forms of the configuration outside of the log."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Final

from sequoiadrum.configuration import Change
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiadrum.configuration import ObjectKind

BUCKETS: Final = 256
"""Buckets of the compacted configuration; 31,000 accounts give about 120 objects in each."""
MAX_UNPACKED_BYTES: Final = 64_000_000
"""Larger payloads of a peer are refused."""


def bucket_of(kind: ObjectKind, name: str) -> int:
    """Gives the bucket that holds an object."""
    return stable_hash("bucket", kind.value, name) % BUCKETS


def bucket_name(bucket: int, revision: int) -> str:
    """Gives the name of the stored object of a bucket."""
    return f"config/bucket/{bucket}/{revision}"


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Gives the JSON form of changes, the same bytes for the same changes."""
    ordered = sorted(changes, key=lambda change: change.revision)
    return json.dumps([c.to_json() for c in ordered], separators=(",", ":")).encode()


def decode_changes(value: bytes) -> tuple[Change, ...]:
    """Reads `encode_changes`.

    Raises:
        ValueError: The value is something else.
    """
    try:
        return tuple(Change.from_json(entry) for entry in json.loads(value))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError("not a list of changes") from error


def pack(changes: Iterable[Change]) -> bytes:
    """Compresses changes for a peer."""
    return zlib.compress(encode_changes(changes), 1)


def unpack(payload: bytes) -> tuple[Change, ...]:
    """Reads `pack`.

    Raises:
        ValueError: The payload is something else or too large.
    """
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(payload, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError("not a compressed payload") from error
    if not inflater.eof:
        raise ValueError("payload cut off or too large")
    return decode_changes(value)
