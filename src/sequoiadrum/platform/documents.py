"""Decodes the store objects that are written by the operator and the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum.addressing import parse_address
from sequoiadrum.gateway.model import (
    Account,
    CallerLimits,
    EndpointEntry,
    EndpointState,
    GatewayConfig,
    RequestKind,
    Route,
    Service,
    WeightedService,
)

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import StoredItem

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
ENDPOINT_KIND: Final = "servers"

_STATE_BY_NAME: Final = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}


def decode_config(item: StoredItem) -> Result[GatewayConfig, str]:
    """Decodes the operator's configuration; a failure describes what is invalid."""
    try:
        return Success(_decode_config_document(item.document))
    except KeyError as error:
        return Failure(f"field {error} is missing")
    except (TypeError, ValueError, AttributeError) as error:
        return Failure(f"a field has a wrong value: {error}")


def decode_endpoint(item: StoredItem) -> Result[EndpointEntry, str]:
    """Decodes an endpoint's entry; a failure describes why the entry cannot be used."""
    document = item.document
    try:
        if not isinstance(document, dict):
            return Failure("the document is not an object")
        service, slots = document["service"], document["slots"]
        if not isinstance(service, str) or not service:
            return Failure("the service name is not a non-empty string")
        if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
            return Failure("the number of slots is not a positive integer")
        state = _STATE_BY_NAME.get(document["state"])
        if state is None:
            return Failure("the state is unknown")
        started = document.get("born")
        return Success(
            EndpointEntry(
                instance_id=item.name,
                service=service,
                address=parse_address(document["address"]),
                failure_domain=str(document["zone"]),
                slots=slots,
                state=state,
                warm_up_s=float(document.get("cold_left_ms") or 0) / 1e3,
                started_ms=started if isinstance(started, int) else None,
                revision=item.revision,
                epoch=item.epoch,
            )
        )
    except KeyError as error:
        return Failure(f"field {error} is missing")
    except (TypeError, ValueError, AttributeError) as error:
        return Failure(f"a field has a wrong value: {error}")


def _decode_config_document(document: Any) -> GatewayConfig:
    accounts = document.get("tenants") or []
    limits = document.get("limits") or {}
    return GatewayConfig(
        version=int(document["version"]),
        routes=tuple(_decode_route(entry) for entry in document["routes"]),
        service_by_name={entry["name"]: _decode_service(entry) for entry in document["services"]},
        account_by_key={
            key: Account(entry["name"], entry.get("priority"))
            for entry in accounts
            for key in entry["api_keys"]
        },
        has_accounts="tenants" in document,
        limits=CallerLimits(
            max_header_bytes=int(limits.get("max_header_bytes", CallerLimits().max_header_bytes)),
            max_body_bytes=int(limits.get("max_body_bytes", CallerLimits().max_body_bytes)),
            header_timeout_s=float(limits.get("header_timeout_ms", 3_000)) / 1e3,
            idle_timeout_s=float(limits.get("idle_timeout_ms", 15_000)) / 1e3,
        ),
    )


def _decode_route(entry: dict[str, Any]) -> Route:
    shares = entry.get("backends")
    services = (
        tuple(WeightedService(share["service"], float(share["weight"])) for share in shares)
        if shares
        else (WeightedService(entry["service"], 1.0),)
    )
    return Route(
        name=str(entry["name"]),
        host=str(entry["host"]),
        path_prefix=str(entry["path_prefix"]),
        kind=_decode_kind(entry),
        services=services,
        timeout_s=float(entry["timeout_ms"]) / 1e3,
        goal_s=float(entry.get("goal_ms") or entry["timeout_ms"]) / 1e3,
        max_attempts=int(entry["max_attempts"]),
        priority=int(entry.get("priority") or 0),
        is_public=bool(entry.get("public")),
        is_sticky=bool(entry.get("sticky")),
        pause_goal_s=float(entry.get("gap_goal_ms") or 0) / 1e3,
    )


def _decode_kind(entry: dict[str, Any]) -> RequestKind:
    if entry["type"] == "streaming":
        # Streams run at most once unless the route allows them to be resumed.
        return RequestKind.RESUMABLE_STREAM if entry.get("resumable") else RequestKind.STREAM
    if entry["type"] == "idempotent":
        return RequestKind.IDEMPOTENT
    if entry["type"] == "non_idempotent":
        return RequestKind.NON_IDEMPOTENT
    raise ValueError(f"unknown kind of request {entry['type']!r}")


def _decode_service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    return Service(
        name=str(entry["name"]),
        health_path=str(entry.get("health_path", "/health")),
        max_connections=int(entry.get("max_conns") or 0),
        batch_slots=engine.get("slots"),
        kv_tokens=engine.get("kv_capacity_tokens"),
    )
