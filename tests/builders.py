"""Builders of settings, configuration objects and requests for tests."""

from __future__ import annotations

import itertools
from typing import Any

from sequoiadrum.configuration import Change, ConfigState, ObjectKind
from sequoiadrum.settings import Settings

_numbers = itertools.count(1)


def a_settings(**values: Any) -> Settings:
    """Builds valid settings on ephemeral loopback ports."""
    defaults: dict[str, Any] = {
        "instance_id": "r1",
        "host": "127.0.0.1",
        "failure_domain": "d1",
        "platform": "127.0.0.1:1",
        "http_port": 0,
        "peer_port": 0,
        "operator_port": 0,
    }
    return Settings(**{**defaults, **values})


def an_endpoint_value(**values: Any) -> dict[str, Any]:
    """Builds the value of an endpoint declaration."""
    defaults = {
        "pool": "assistant",
        "kind": "engine",
        "host": "127.0.0.1",
        "port": 9000,
        "failure_domain": "d1",
    }
    return {**defaults, **values}


def a_change(
    kind: ObjectKind, name: str, value: dict[str, Any] | None, revision: int | None = None
) -> Change:
    """Builds an accepted change with a unique change id; the default revision is unique too."""
    number = next(_numbers)
    return Change(number if revision is None else revision, f"change-{number}", kind, name, value)


def a_config(*objects: tuple[ObjectKind, str, dict[str, Any]]) -> ConfigState:
    """Builds a configuration that holds the objects, declared at revisions 1, 2, ..."""
    changes = [
        a_change(kind, name, value, revision)
        for revision, (kind, name, value) in enumerate(objects, 1)
    ]
    return ConfigState().apply(changes)


def a_chat_body(text: str = "hello", **values: Any) -> dict[str, Any]:
    """Builds the body of a chat completion request."""
    return {
        "model": "assistant",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 4,
        **values,
    }
