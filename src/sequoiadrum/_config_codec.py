"""Encodes configuration changes for stored buckets and for transfer between routers."""

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
"""Buckets of the compacted configuration; with 31,000 accounts, one holds about 120 objects."""
MAX_DECOMPRESSED_BYTES: Final = 64_000_000
"""Payloads of peers that decompress to more are rejected."""


def bucket_of(kind: ObjectKind, name: str) -> int:
    """Returns the number of the bucket that holds an object."""
    return stable_hash("bucket", kind.value, name) % BUCKETS


def bucket_name(bucket: int, revision: int) -> str:
    """Returns the name under which a bucket is stored at a revision."""
    return f"config/bucket/{bucket}/{revision}"


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Encodes changes as JSON, sorted by revision; equal sets of changes give equal bytes."""
    ordered = sorted(changes, key=lambda change: change.revision)
    return json.dumps([c.to_json() for c in ordered], separators=(",", ":")).encode()


def decode_changes(value: bytes) -> tuple[Change, ...]:
    """Parses the output of `encode_changes`.

    Raises:
        ValueError: The value is not a JSON list of changes.
    """
    try:
        return tuple(Change.from_json(entry) for entry in json.loads(value))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError("the value is not a list of changes") from error


def pack(changes: Iterable[Change]) -> bytes:
    """Encodes and compresses changes for transfer to a peer."""
    return zlib.compress(encode_changes(changes), 1)


def unpack(payload: bytes) -> tuple[Change, ...]:
    """Parses the output of `pack`.

    Raises:
        ValueError: The payload is malformed, truncated, or too large when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(payload, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError("the payload is not zlib data") from error
    if not decompressor.eof:
        raise ValueError("the payload is truncated or too large")
    return decode_changes(value)
