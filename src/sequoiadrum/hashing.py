"""Stable hashes and rendezvous (highest random weight) ranking."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def stable_hash(*parts: str) -> int:
    """Hashes strings to 64 bits, the same in every process.

    Args:
        parts: The strings; their boundaries count.

    Returns:
        An integer in [0, 2**64).
    """
    digest = blake2b("\x00".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates by rendezvous hash of the key, the preferred one first.

    When a candidate joins or leaves, only the keys that it wins or held move
    (Thaler and Ravishankar, 1998).
    """
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)


def first_ranked(key: str, candidates: Iterable[str]) -> str | None:
    """Gives the head of `rank`, or None without candidates, in linear time."""
    return max(candidates, key=lambda name: (stable_hash(key, name), name), default=None)
