"""Whole answers put together from the events of a stream, without I/O."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import ChatRequest, StreamEvent

_SINGLE: Final = frozenset({"id", "index", "role", "type", "name"})
"""Fields of a delta that are set once; other strings grow piece by piece."""


def merge_events(request: ChatRequest, events: Sequence[StreamEvent]) -> dict[str, Any] | None:
    """Builds a chat completion; None when an event is malformed."""
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
    whole = choices_by_index.setdefault(
        index,
        {"index": index, "message": {"role": "assistant", "content": ""}, "finish_reason": None},
    )
    _merge(whole["message"], choice["delta"])
    whole["finish_reason"] = choice.get("finish_reason") or whole["finish_reason"]


def _merge(whole: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        known = whole.get(name)
        if value is None:
            continue
        if isinstance(value, str) and isinstance(known, str) and name not in _SINGLE:
            whole[name] = known + value
        elif isinstance(value, dict) and isinstance(known, dict):
            _merge(known, value)
        elif isinstance(value, list):
            _merge_list(whole.setdefault(name, []), value)
        else:
            whole[name] = value


def _merge_list(whole: list[Any], pieces: list[Any]) -> None:
    for piece in pieces:
        index = piece.get("index") if isinstance(piece, dict) else None
        known = next((w for w in whole if index is not None and w.get("index") == index), None)
        if known is None:
            whole.append(piece)
        else:
            _merge(known, piece)
