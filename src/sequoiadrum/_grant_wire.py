"""Wire form of grant ids and fingerprints: both are 64-bit numbers in hexadecimal digits."""

from __future__ import annotations

_SIGN = 1 << 63
_RANGE = 1 << 64


def number_of(digits: str) -> int:
    """Gives the signed number for hexadecimal digits; 0 for none."""
    number = int(digits or "0", 16)
    return number - _RANGE if number >= _SIGN else number


def grant_id_of(number: int) -> str:
    """Gives a grant id."""
    return f"{number % _RANGE:x}"


def fingerprint_of(number: int | None) -> str:
    """Gives a fingerprint; empty for 0 or nothing."""
    return f"{number % _RANGE:016x}" if number else ""
