"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import tomllib
from typing import TYPE_CHECKING, Any, Final, TypeVar

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum.addressing import parse_address
from sequoiadrum.gateway.settings import Bounds, GatewaySettings, Listeners

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

T = TypeVar("T")

MAX_DETAIL_CHARS: Final = 200


@frozen
class SettingsProblem:
    """The reason why a settings file cannot be used."""

    path: str
    detail: str


def load_settings(path: Path) -> Result[GatewaySettings, SettingsProblem]:
    """Reads the settings file; unknown fields are ignored."""
    try:
        return Success(decode_settings(tomllib.loads(path.read_text())))
    except OSError as error:
        return Failure(SettingsProblem(str(path), f"cannot be read: {error.strerror}"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure(SettingsProblem(str(path), f"not valid TOML: {error}"))
    except FieldError as error:
        return Failure(SettingsProblem(str(path), str(error)))


class FieldError(ValueError):
    """A field of the settings file is missing or has a wrong value."""


def decode_settings(document: dict[str, Any]) -> GatewaySettings:
    """Converts the fields of the settings file to settings.

    Raises:
        FieldError: A required field is missing, or a field has a wrong type or value.
    """
    return GatewaySettings(
        instance_id=_read(document, "node_name", _text),
        host=_read(document, "ip", _text),
        failure_domain=_read(document, "zone", _text),
        region=_read(document, "region", _text, "default"),
        listeners=Listeners(
            callers=_read(document, "bind.front", parse_address),
            readiness=_read(document, "bind.ready", parse_address),
            directory=_read(document, "bind.directory", parse_address),
        ),
        peer_port=_read(document, "internal_ports", lambda ports: int(_number(ports[0]))),
        # The seeds have the port of another interface; the peers listen on the same hosts.
        seed_hosts=_read(
            document, "seeds", lambda seeds: tuple(parse_address(seed).host for seed in seeds), ()
        ),
        store=_read(document, "platform.address", parse_address),
        memory_mb=_read(document, "limits.memory_mb", lambda value: int(_number(value))),
        max_descriptors=_read(document, "limits.max_fds", lambda value: int(_number(value))),
        bounds=Bounds(
            # The grace period from SIGTERM to SIGKILL.
            stop_grace_s=_read(document, "bounds.grace_s", _number),
            leaving_endpoint_s=_read(document, "bounds.drain_ms", _number) / 1e3,
            config_in_force_s=_read(document, "bounds.config_apply_ms", _number) / 1e3,
            retry_ratio=_read(document, "bounds.retry_budget_ratio", _number),
            retry_slack=_read(document, "bounds.retry_slack", _number),
            retry_window_s=_read(document, "bounds.retry_window_s", _number),
            address_lifetime_s=_read(document, "bounds.ttl_max_s", _number),
            load_factor=_read(document, "bounds.cap_factor", _number, 2.0),
            evacuation_s=_read_optional(document, "bounds.evacuate_ms", _duration_s),
            cold_excess=_read(document, "bounds.cold_excess", _number, 1.0),
            cold_slack=_read(document, "bounds.cold_slack", _number, 0.0),
        ),
        region_by_domain=_read(document, "zones", _texts_by_name, {}),
    )


def _read(
    document: dict[str, Any], path: str, convert: Callable[[Any], T], default: T | None = None
) -> T:
    """Reads a field by its names, separated by dots.

    Args:
        document: The decoded file.
        path: Names of the tables and of the field.
        convert: Converts the value, or raises an error.
        default: Value of a field that is missing; None if the field is required.

    Raises:
        FieldError: The field is missing without a default, or cannot be converted.
    """
    value: Any = document
    for name in path.split("."):
        if not isinstance(value, dict):
            raise FieldError(f"field {path}: {value!r} is no table"[:MAX_DETAIL_CHARS])
        if name not in value:
            if default is not None:
                return default
            raise FieldError(f"field {path} is missing")
        value = value[name]
    try:
        return convert(value)
    except (TypeError, ValueError, AttributeError, LookupError):
        raise FieldError(f"field {path} has a wrong value: {value!r}"[:MAX_DETAIL_CHARS]) from None


def _read_optional(document: dict[str, Any], path: str, convert: Callable[[Any], T]) -> T | None:
    """Reads a field as `_read` does; returns None if the last table of the path lacks it."""
    table, _, name = path.rpartition(".")
    if name not in _read(document, table, dict, {}):
        return None
    return _read(document, path, convert)


def _duration_s(value: Any) -> float:
    return _number(value) / 1e3


def _texts_by_name(value: Any) -> dict[str, str]:
    return {_text(name): _text(text) for name, text in value.items()}


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("expected a text")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("expected a number")
    if not math.isfinite(value) or value < 0:
        raise ValueError("expected a number of at least 0")
    return float(value)
