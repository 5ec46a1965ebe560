"""Stable hashes and rendezvous (highest random weight) ranking."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

_UINT64_MASK: Final = (1 << 64) - 1


def stable_hash(*parts: str) -> int:
    """Hashes strings to 64 bits, with the same result in every process.

    Args:
        parts: The strings; their boundaries affect the hash.

    Returns:
        An integer in [0, 2**64).
    """
    digest = blake2b("\x00".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates ordered by rendezvous hash of the key, the preferred one first.

    When a candidate joins or leaves, only the keys that it gains or loses move
    (Thaler and Ravishankar, 1998).
    """
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)


def first_ranked(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the first item of `rank` in linear time, or None without candidates."""
    return max(candidates, key=lambda name: (stable_hash(key, name), name), default=None)


def chat_score(chat_hash: int, engine_hash: int) -> int:
    """Returns the rendezvous weight of an engine for a chat.

    Mixes the two 64-bit hashes with the finalizer of SplitMix64, which costs a tenth of hashing the
    chat and engine ids again for each engine.
    """
    z = chat_hash ^ engine_hash
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & _UINT64_MASK
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & _UINT64_MASK
    return z ^ (z >> 31)
