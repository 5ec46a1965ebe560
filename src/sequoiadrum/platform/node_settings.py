"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum.addressing import parse_address
from sequoiadrum.gateway.settings import Bounds, GatewaySettings, Listeners

if TYPE_CHECKING:
    from pathlib import Path


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
    except KeyError as error:
        return Failure(SettingsProblem(str(path), f"field {error} is missing"))
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        return Failure(SettingsProblem(str(path), f"a field has a wrong value: {error}"))


def decode_settings(document: dict[str, Any]) -> GatewaySettings:
    """Converts the fields of the settings file to settings.

    Raises:
        KeyError: A required field is missing.
        TypeError: A field has the wrong type.
        ValueError: A field has an invalid value.
    """
    bind = document["bind"]
    bounds = document["bounds"]
    limits = document["limits"]
    peer_ports = document["internal_ports"]
    seed_hosts = [parse_address(text).host for text in document.get("seeds", [])]
    return GatewaySettings(
        instance_id=str(document["node_name"]),
        host=str(document["ip"]),
        failure_domain=str(document["zone"]),
        region=str(document.get("region", "default")),
        listeners=Listeners(
            callers=parse_address(bind["front"]),
            readiness=parse_address(bind["ready"]),
            directory=parse_address(bind["directory"]),
        ),
        peer_port=int(peer_ports[0]),
        # The seeds have the port of another interface; the peers listen on the same hosts.
        seed_hosts=tuple(seed_hosts),
        store=parse_address(document["platform"]["address"]),
        memory_mb=int(limits["memory_mb"]),
        max_descriptors=int(limits["max_fds"]),
        bounds=Bounds(
            # The grace period from SIGTERM to SIGKILL.
            stop_grace_s=float(bounds["grace_s"]),
            leaving_endpoint_s=float(bounds["drain_ms"]) / 1e3,
            config_in_force_s=float(bounds["config_apply_ms"]) / 1e3,
            retry_ratio=float(bounds["retry_budget_ratio"]),
            retry_slack=float(bounds["retry_slack"]),
            retry_window_s=float(bounds["retry_window_s"]),
            address_lifetime_s=float(bounds["ttl_max_s"]),
            load_factor=float(bounds.get("cap_factor", 2.0)),
        ),
    )
