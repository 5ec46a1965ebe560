"""Chat completions assembled from the events of a stream; performs no I/O."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import ChatRequest, StreamEvent

_SET_ONCE_FIELDS: Final = frozenset({"id", "index", "role", "type", "name"})
"""Fields that a delta contains in full, so that a value replaces an earlier one.

Other strings of a delta are parts that are appended to the earlier value.
"""


def merge_events(request: ChatRequest, events: Sequence[StreamEvent]) -> dict[str, Any] | None:
    """Assembles a chat completion from the events of a stream.

    Returns:
        The completion as a JSON document; None if an event is malformed.
    """
    choices_by_index: dict[int, dict[str, Any]] = {}
    usage = None
    try:
        for event in events:
            document = json.loads(event.data)
            usage = document.get("usage") or usage
            for choice in document["choices"]:
                _add_choice(choices_by_index, choice)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return {
        "id": request.request_id,
        "object": "chat.completion",
        "model": request.model,
        "choices": [choices_by_index[index] for index in sorted(choices_by_index)],
        "usage": usage,
    }


def _add_choice(choices_by_index: dict[int, dict[str, Any]], choice: dict[str, Any]) -> None:
    index = int(choice.get("index", 0))
    merged = choices_by_index.setdefault(
        index,
        {"index": index, "message": {"role": "assistant", "content": ""}, "finish_reason": None},
    )
    _merge(merged["message"], choice["delta"])
    merged["finish_reason"] = choice.get("finish_reason") or merged["finish_reason"]


def _merge(merged: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        existing = merged.get(name)
        if value is None:
            continue
        if isinstance(value, str) and isinstance(existing, str) and name not in _SET_ONCE_FIELDS:
            merged[name] = existing + value
        elif isinstance(value, dict) and isinstance(existing, dict):
            _merge(existing, value)
        elif isinstance(value, list):
            _merge_list(merged.setdefault(name, []), value)
        else:
            merged[name] = value


def _merge_list(merged: list[Any], pieces: list[Any]) -> None:
    for piece in pieces:
        index = piece.get("index") if isinstance(piece, dict) else None
        existing = next((m for m in merged if index is not None and m.get("index") == index), None)
        if existing is None:
            merged.append(piece)
        else:
            _merge(existing, piece)
