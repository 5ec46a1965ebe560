"""Wire format of grant ids and fingerprints.

In memory both are 64-bit numbers as hexadecimal digits; on the wire they are signed integers.
"""

from __future__ import annotations

_SIGN_BIT = 1 << 63
_RANGE = 1 << 64


def encode_hex(digits: str) -> int:
    """Returns the signed 64-bit number of hexadecimal digits; 0 for an empty string."""
    number = int(digits or "0", 16)
    return number - _RANGE if number >= _SIGN_BIT else number


def decode_grant_id(number: int) -> str:
    """Returns the grant id of a signed 64-bit number, without leading zeros."""
    return f"{number % _RANGE:x}"


def decode_fingerprint(number: int | None) -> str:
    """Returns the 16 digits of a fingerprint; an empty string for 0 or None."""
    return f"{number % _RANGE:016x}" if number else ""
