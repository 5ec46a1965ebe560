"""Decodes JSON whose parts were written by different processes.

One part that cannot be decoded, such as bytes that are no UTF-8, a number with too many digits or
too deep a nesting, does not make the other parts unreadable.
"""

from __future__ import annotations

import json
import re
from typing import Any, Final

MAX_LEVELS: Final = 5
"""Levels of a document at which parts are decoded separately: a response, its list,
an object in it, and its metadata, which must be known although the content cannot be read."""


class Unreadable:
    """Stands for a part that cannot be decoded."""


UNREADABLE: Final = Unreadable()

_TOKEN: Final = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:"]', re.DOTALL)


def loads(raw: bytes) -> Any:
    """Decodes a document; parts that cannot be decoded are `UNREADABLE`.

    Bytes that are no UTF-8 become lone surrogates, like those that JSON escapes.

    Raises:
        ValueError: The document as a whole cannot be decoded.
    """
    text = raw.decode("utf-8", "surrogateescape")
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        decoded = _decode_parts(text, MAX_LEVELS)
    if decoded is UNREADABLE:
        raise ValueError("the document is no JSON")
    return decoded


def _decode_parts(text: str, levels: int) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        opening = text.lstrip()[:1]
    if levels == 0 or opening not in ("{", "["):
        return UNREADABLE
    try:
        parts = _split(text, is_object=opening == "{")
    except (ValueError, RecursionError):
        return UNREADABLE
    if opening == "[":
        return [_decode_parts(part, levels - 1) for _, part in parts]
    return {key: _decode_parts(part, levels - 1) for key, part in parts}


def _split(text: str, is_object: bool) -> list[tuple[str, str]]:
    """Returns the keys and the texts of the values of an object; the keys of a list are empty.

    Raises:
        ValueError: The text does not end with the object or list, or a key cannot be decoded.
    """
    parts: list[tuple[str, str]] = []
    key: str | None = None
    depth = start = 0
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token == '"':
            raise ValueError("a string does not end")
        if token in ("{", "["):
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in ("}", "]"):
            depth -= 1
            if depth == 0:
                last = text[start : match.start()]
                if text[match.end() :].strip():
                    raise ValueError("text after the end")
                return [*parts, *_part(key, last, is_object, is_last=not parts)]
        elif depth == 1 and token == ",":
            parts += _part(key, text[start : match.start()], is_object)
            key, start = None, match.end()
        elif depth == 1 and token == ":" and key is None:
            key, start = _decode_key(text[start : match.start()]), match.end()
    raise ValueError("the end is missing")


def _part(
    key: str | None, text: str, is_object: bool, is_last: bool = False
) -> list[tuple[str, str]]:
    if is_object and key is None:
        if is_last and not text.strip():
            return []
        raise ValueError("a key is missing")
    if not is_object and is_last and not text.strip():
        return []
    return [(key or "", text)]


def _decode_key(text: str) -> str:
    key = json.loads(text)
    if not isinstance(key, str):
        raise ValueError("a key is no text")
    return key
