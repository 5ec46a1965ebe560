"""Conversion of decoded JSON values that another process wrote into values that can be used.

JSON can hold text that no encoding accepts, numbers that no calculation accepts, and names of any
length. All functions raise a `ValueError` for a value that cannot be used, and no other error.
"""

from __future__ import annotations

import re
from typing import Any, Final

MAX_NAME_CHARS: Final = 255
MAX_TEXT_CHARS: Final = 4_096
MAX_NESTING: Final = 32
"""Deepest nesting of objects and lists that is read."""
MAX_WHOLE_NUMBER: Final = 2**63 - 1
MAX_DURATION_MS: Final = 7 * 86_400_000.0
_UNREADABLE: Final = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")
"""Control characters, and halves of surrogate pairs, which no encoding accepts."""
_SCALARS: Final = frozenset({int, float, bool, type(None)})
_SHOWN_CHARS: Final = 40
_SHOWN_BITS: Final = 64


def text(value: Any, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Returns a text that is not empty, can be encoded and has no control characters."""
    if not isinstance(value, str) or not 0 < len(value) <= max_chars:
        raise ValueError(f"expected a text of 1 to {max_chars} characters, not {shown(value)}")
    if _UNREADABLE.search(value):
        raise ValueError(f"expected a text of readable characters, not {shown(value)}")
    return value


def name(value: Any) -> str:
    """Returns a text of at most `MAX_NAME_CHARS` characters."""
    return text(value, MAX_NAME_CHARS)


def whole_number(value: Any, low: int = 0, high: int = MAX_WHOLE_NUMBER) -> int:
    """Returns an integer from `low` to `high`; JSON may write it with a fraction of zero."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise ValueError(f"expected a whole number from {low} to {high}, not {shown(value)}")
    return value


def number(value: Any, high: float, low: float = 0.0) -> float:
    """Returns a finite number from `low` to `high`."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError(f"expected a number from {low:g} to {high:g}, not {shown(value)}")
    return float(value)


def duration_s(milliseconds: Any) -> float:
    """Returns a duration in seconds that is given in milliseconds."""
    return number(milliseconds, MAX_DURATION_MS) / 1e3


def flag(value: Any) -> bool:
    """Returns a boolean; None counts as false."""
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"expected a boolean, not {shown(value)}")
    return bool(value)


def is_encodable(value: str) -> bool:
    """Returns whether a text can be encoded: it has no half of a surrogate pair."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_readable(document: Any) -> bool:
    """Returns whether a document can be passed on as JSON.

    All its texts can be encoded, it has only types of JSON, and it is not nested too deeply.
    """
    level = [document]
    for _ in range(MAX_NESTING + 1):
        inner: list[Any] = []
        for value in level:
            kind = type(value)
            if kind is str:
                if not (value.isascii() or is_encodable(value)):
                    return False
            elif kind is dict:
                inner += value
                inner += value.values()
            elif kind is list:
                inner += value
            elif kind not in _SCALARS:
                return False
        if not inner:
            return True
        level = inner
    return False


def shown(value: Any) -> str:
    """Returns a short description of any value for a log line."""
    if isinstance(value, str):
        return ascii(value[:_SHOWN_CHARS])
    if value is None or isinstance(value, bool | float):
        return repr(value)
    if isinstance(value, int) and value.bit_length() <= _SHOWN_BITS:
        return repr(value)
    return f"a value of type {type(value).__name__}"
