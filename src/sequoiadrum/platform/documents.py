"""Decodes the store objects that are written by the operator and the endpoints."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum import field_values as values
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
    from sequoiadrum.messages import Address

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
ENDPOINT_KIND: Final = "servers"
EVACUATION_KIND: Final = "evacuations"
_MAX_SLOTS: Final = 100_000
_MAX_CONNECTIONS: Final = 1_000_000
_MAX_ATTEMPTS: Final = 1_000
_MAX_PRIORITY: Final = 1_000_000
_MAX_WEIGHT: Final = 1e9
_MAX_RATE: Final = 1e9
_MAX_INPUT_BYTES: Final = 2**40
_MAX_ADDRESS_CHARS: Final = 64

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
        state = _STATE_BY_NAME.get(document["state"])
        if state is None:
            return Failure("the state is unknown")
        started = document.get("born")
        return Success(
            EndpointEntry(
                instance_id=_decode_id(item.name),
                service=values.name(document["service"]),
                address=_decode_address(document["address"]),
                failure_domain=values.name(document["zone"]),
                slots=values.whole_number(document["slots"], 1, _MAX_SLOTS),
                state=state,
                warm_up_s=values.duration_s(document.get("cold_left_ms") or 0),
                started_ms=None if started is None else values.whole_number(started),
                revision=item.revision,
                epoch=item.epoch,
            )
        )
    except KeyError as error:
        return Failure(f"field {error} is missing")
    except (TypeError, ValueError, AttributeError) as error:
        return Failure(f"a field has a wrong value: {error}")


def _decode_id(value: str) -> str:
    """Decodes the id of an endpoint, which requests carry in a header."""
    if not (value.isascii() and value.isprintable()) or value != value.strip():
        raise ValueError("the id cannot be sent in a header")
    return values.name(value)


def _decode_address(value: Any) -> Address:
    """Decodes an address to which requests can be sent."""
    text = values.text(value, _MAX_ADDRESS_CHARS)
    if not text.isascii():
        raise ValueError("the address has characters that are not ASCII")
    address = parse_address(text)
    host = ipaddress.ip_address(address.host)
    if host.is_unspecified or host.is_multicast or "%" in address.host:
        raise ValueError("no endpoint can have the address")
    return address


def _decode_config_document(document: Any) -> GatewayConfig:
    accounts = document.get("tenants") or []
    limits = document.get("limits") or {}
    return GatewayConfig(
        version=values.whole_number(document["version"]),
        routes=tuple(_decode_route(entry) for entry in document["routes"]),
        service_by_name={
            service.name: service for service in map(_decode_service, document["services"])
        },
        account_by_key={
            values.text(key): account
            for entry, account in ((entry, _decode_account(entry)) for entry in accounts)
            for key in _entries(entry["api_keys"])
        },
        has_accounts="tenants" in document,
        limits=CallerLimits(
            max_header_bytes=_decode_size(limits, "max_header_bytes"),
            max_body_bytes=_decode_size(limits, "max_body_bytes"),
            header_timeout_s=values.duration_s(limits.get("header_timeout_ms", 3_000)),
            idle_timeout_s=values.duration_s(limits.get("idle_timeout_ms", 15_000)),
        ),
    )


def _decode_size(limits: dict[str, Any], field: str) -> int:
    default = getattr(CallerLimits(), field)
    return values.whole_number(limits.get(field, default), high=_MAX_INPUT_BYTES)


def _decode_account(entry: dict[str, Any]) -> Account:
    return Account(
        values.name(entry["name"]), _decode_priority(entry.get("priority")), _decode_homes(entry)
    )


def _decode_homes(entry: dict[str, Any]) -> tuple[str, ...]:
    return tuple(values.name(region) for region in _entries(entry.get("allowed_regions") or []))


def _decode_priority(value: Any) -> int | None:
    return None if value is None else values.whole_number(value, -_MAX_PRIORITY, _MAX_PRIORITY)


def _decode_route(entry: dict[str, Any]) -> Route:
    shares = entry.get("backends")
    services = (
        tuple(_decode_share(share) for share in _entries(shares))
        if shares
        else (WeightedService(values.name(entry["service"]), 1.0),)
    )
    if not any(share.weight > 0 for share in services):
        raise ValueError("no service of a route has a weight")
    return Route(
        name=values.text(entry["name"]),
        host=values.text(entry["host"]),
        path_prefix=values.text(entry["path_prefix"]),
        kind=_decode_kind(entry),
        services=services,
        timeout_s=values.duration_s(entry["timeout_ms"]),
        goal_s=values.duration_s(entry.get("goal_ms") or entry["timeout_ms"]),
        max_attempts=values.whole_number(entry["max_attempts"], 1, _MAX_ATTEMPTS),
        priority=_decode_priority(entry.get("priority")) or 0,
        is_public=values.flag(entry.get("public")),
        is_sticky=values.flag(entry.get("sticky")),
        pause_goal_s=values.duration_s(entry.get("gap_goal_ms") or 0),
        homes=_decode_homes(entry),
    )


def _decode_share(share: dict[str, Any]) -> WeightedService:
    return WeightedService(
        values.name(share["service"]), values.number(share["weight"], _MAX_WEIGHT)
    )


def _decode_kind(entry: dict[str, Any]) -> RequestKind:
    kind = entry["type"]
    if kind == "streaming":
        # Streams run at most once unless the route allows them to be resumed.
        is_resumable = values.flag(entry.get("resumable"))
        return RequestKind.RESUMABLE_STREAM if is_resumable else RequestKind.STREAM
    if kind == "idempotent":
        return RequestKind.IDEMPOTENT
    if kind == "non_idempotent":
        return RequestKind.NON_IDEMPOTENT
    raise ValueError(f"unknown kind of request {values.shown(kind)}")


def _decode_service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    slots, tokens = engine.get("slots"), engine.get("kv_capacity_tokens")
    return Service(
        name=values.name(entry["name"]),
        health_path=values.text(entry.get("health_path", "/health")),
        max_connections=values.whole_number(entry.get("max_conns") or 0, high=_MAX_CONNECTIONS),
        batch_slots=None if slots is None else values.whole_number(slots, 1, _MAX_SLOTS),
        kv_tokens=None if tokens is None else values.whole_number(tokens),
        cold_start_s=values.duration_s(values.number(entry.get("cold_start_s") or 0, 1e6) * 1e3),
        cold_requests_per_s=values.number(entry.get("cold_per_s") or 0, _MAX_RATE),
    )


def _entries(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"expected a list, not {values.shown(value)}")
    return value
