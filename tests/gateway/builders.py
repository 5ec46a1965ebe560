"""Builders of test data for the gateway; keyword arguments override fields."""

from __future__ import annotations

from typing import Any

from sequoiadrum.gateway.model import (
    Account,
    EndpointEntry,
    EndpointState,
    GatewayConfig,
    PromptPart,
    RequestHead,
    RequestKind,
    ResponseHead,
    Route,
    Service,
    WeightedService,
)
from sequoiadrum.gateway.settings import Bounds, GatewaySettings, Listeners
from sequoiadrum.messages import Address


def a_route(**changes: Any) -> Route:
    """Returns a route of idempotent calls to the service `shop`."""
    fields: dict[str, Any] = {
        "name": "r1",
        "host": "shop.example",
        "path_prefix": "/a/",
        "kind": RequestKind.IDEMPOTENT,
        "services": (WeightedService("shop", 1.0),),
        "timeout_s": 2.0,
        "goal_s": 0.3,
        "max_attempts": 2,
        "priority": 1,
        "is_public": False,
        "is_sticky": False,
    }
    return Route(**{**fields, **changes})


def a_service(name: str = "shop", batch_slots: int | None = None, **changes: Any) -> Service:
    """Returns a plain service, or a service of engines if `batch_slots` is given."""
    kv_tokens = 1_000_000 if batch_slots else None
    return Service(name, "/health", 100, batch_slots, kv_tokens, **changes)


def a_config(version: int = 1, routes: tuple[Route, ...] | None = None) -> GatewayConfig:
    """Returns a configuration with one account, whose API key is `k1`."""
    return GatewayConfig(
        version=version,
        routes=routes if routes is not None else (a_route(),),
        service_by_name={"shop": a_service(), "model": a_service("model", 128)},
        account_by_key={"k1": Account("acme", None)},
        has_accounts=True,
    )


def an_entry(instance_id: str = "e1", revision: int = 1, **changes: Any) -> EndpointEntry:
    """Returns the entry of a ready endpoint of the service `shop`."""
    fields: dict[str, Any] = {
        "instance_id": instance_id,
        "service": "shop",
        "address": Address("127.0.0.1", 9),
        "failure_domain": "z1",
        "slots": 6,
        "state": EndpointState.READY,
        "warm_up_s": 0.0,
        "started_ms": 1,
        "revision": revision,
    }
    return EndpointEntry(**{**fields, **changes})


def a_call(request_id: str = "q1", prompt: tuple[tuple[str, int], ...] = ()) -> RequestHead:
    """Returns the head of a caller's request, with a prompt of parts and their token counts."""
    return RequestHead(
        request_id=request_id,
        method="POST",
        target="/a/b?c=d",
        host="shop.example",
        path="/a/b",
        deadline_s=2.0,
        key="k1",
        prompt=tuple(PromptPart(part, tokens) for part, tokens in prompt),
        prompt_tokens=sum(tokens for _, tokens in prompt),
        output_tokens=10,
        last_event_id=None,
        headers=(("Host", "shop.example"),),
    )


def response_head(**changes: Any) -> ResponseHead:
    """Returns the head of a signed response with status 200."""
    fields: dict[str, Any] = {
        "status": 200,
        "reason": "OK",
        "request_id": "q1",
        "instance_id": None,
        "is_not_executed": False,
        "is_sealed": True,
        "load": None,
        "idle_timeout_s": None,
        "headers": (),
    }
    return ResponseHead(**{**fields, **changes})


def settings(store: Address, ports: list[int], **changes: Any) -> GatewaySettings:
    """Returns settings of a gateway that listens on the loopback address.

    Args:
        store: Address of the store.
        ports: Ports for callers, readiness, directory, metrics and peers, in this order.
        changes: Fields to override.
    """
    fields: dict[str, Any] = {
        "instance_id": "g1",
        "host": "127.0.0.1",
        "failure_domain": "z1",
        "region": "r",
        "listeners": Listeners(
            callers=Address("127.0.0.1", ports[0]),
            readiness=Address("127.0.0.1", ports[1]),
            directory=Address("127.0.0.1", ports[2]),
        ),
        "metrics_port": ports[3],
        "peer_port": ports[4],
        "seed_hosts": (),
        "store": store,
        "memory_mb": 200,
        "max_descriptors": 1_500,
        "bounds": bounds(),
    }
    return GatewaySettings(**{**fields, **changes})


def bounds(**changes: Any) -> Bounds:
    """Returns the bounds of the smaller sites."""
    fields: dict[str, Any] = {
        "stop_grace_s": 8.0,
        "leaving_endpoint_s": 2.0,
        "config_in_force_s": 2.0,
        "retry_ratio": 0.2,
        "retry_slack": 108.0,
        "retry_window_s": 10.0,
        "address_lifetime_s": 5.0,
        "load_factor": 2.0,
    }
    return Bounds(**{**fields, **changes})
