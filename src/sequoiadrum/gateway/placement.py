"""Chooses the endpoint of a request; performs no I/O.

Designed for returning chats whose prompts share long parts, on engines that must recompute a part
that is not in their KV cache, and for short calls to plain services with few slots.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import frozen

from sequoiadrum.gateway.holds import HoldReason
from sequoiadrum.hashing import chat_score, stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import RequestHead, Service

SPILL_MULTIPLE: Final = 1.5
"""A request spills from an engine whose load would exceed this multiple of the mean, plus
`SPILL_ALLOWANCE`, if only the loads of this instance are known. Well below the operators' bound of
2, because the requests of other instances add to it."""
SPILL_ALLOWANCE: Final = 2.0
"""Requests that the load bound adds to the multiple of the mean; at low load, rounding to whole
requests exceeds any multiple."""
FLEET_SPILL_MULTIPLE: Final = 1.75
"""Replaces `SPILL_MULTIPLE` where the loads of all instances are known, with a delay in which a few
more requests arrive. A request that spills needs a copy of its prompt parts."""
FLEET_SPILL_ALLOWANCE: Final = 2.5
"""Replaces `SPILL_ALLOWANCE` with `FLEET_SPILL_MULTIPLE`; the operators' bound allows 3."""
MAX_LOCAL_IN_FLIGHT: Final = 2
"""A plain endpoint in the failure domain of the instance is preferred while it has fewer requests
of this instance in flight."""
PROBE_INTERVAL_S: Final = 1.0
"""A failing endpoint receives at most one retryable request as a probe in this time."""


MAX_CROWDED_LOAD: Final = 1.25
"""While some endpoints of a service name rates, the others take no request above this multiple of
their slots. They would take all that the former do not, and serve none of it in time."""
NEWLY_JOINED_S: Final = 10.0
"""An engine that joined within this time is assumed to lack the KV cache of its chats. Most chats
return sooner than this, so that it has their KV cache afterwards."""
MIN_REPORTED_LOADS: Final = 3
"""Reported loads that are needed to compute a mean from them; an instance of a large fleet has
recent reports of only a few engines at a time."""
MIN_SHARED_PARTS: Final = 2
"""Length of the shortest prompt that shares a part; the last part is the request's own."""


class LimitedEndpoints(Enum):
    """Which endpoints may take a request while some named a rate."""

    ALLOWED = "allowed"
    """All that are not withheld; a unit of the rate must be obtained."""
    AVOIDED_WITH_ROOM = "avoided_with_room"
    """Those without a rate that have a free slot."""
    AVOIDED = "avoided"
    """Those without a rate that are not crowded."""


class PlacementFailure(Enum):
    """Why no endpoint can take a request."""

    UNKNOWN_SERVICE = "unknown_service"
    """No endpoint of the service is listed as ready, apart from those already tried."""
    UNREACHABLE = "unreachable"
    """All endpoints are suspended, and none of them because it is full."""
    FULL = "full"
    """All endpoints are suspended, at least one because it refused a request as full."""
    TURNED_AWAY = "turned_away"
    """All endpoints are held back, at least one because it turned this router away for a time."""
    RATE_LIMITED = "rate_limited"
    """The endpoints that are not suspended take no further request now by the rates they named."""
    EVACUATED = "evacuated"
    """All endpoints are in failure domains that are evacuated, apart from those already tried."""
    OUTSIDE_HOMES = "outside_homes"
    """All endpoints are outside of the home regions, apart from those already tried."""


@frozen
class PlacementRequest:
    """One request to place, with everything that its placement depends on."""

    service: Service
    call: RequestHead
    failure_domain: str
    """Failure domain of this instance."""
    is_retryable: bool
    """Whether the request may be sent to a failing endpoint as a probe."""
    excluded: Collection[str] = ()
    """Ids of endpoints that the request has already failed on."""
    withheld: Collection[str] = ()
    """Ids of endpoints that take no further request now by the rates they named."""
    domains: frozenset[str] | None = None
    """Failure domains that the homes of the request permit; None if it may run in all."""
    replicas: int = 1
    """Number of engines among which requests for the longest shared prompt part are divided."""


class EndpointChoice(ABC):
    """Chooses among endpoints that are all able to take a request."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """Returns one of the candidates, of which there is at least one; changes no state."""


def prompt_key(call: RequestHead) -> str:
    """Returns the id of the prompt part by which a request is assigned to its home engine.

    That is the part before the request's own one, which ends the longest prefix that other requests
    share. A prompt of one part is assigned by this part, a request without a prompt by its id.
    """
    if not call.prompt:
        return call.request_id
    shared = call.prompt[:-1] or call.prompt
    return shared[-1].id


def choose(
    endpoints: list[Endpoint],
    request: PlacementRequest,
    now: float,
    choice: EndpointChoice | None = None,
) -> Endpoint | PlacementFailure:
    """Chooses the endpoint for a request, and schedules the next probe if it is a failing one.

    Args:
        endpoints: All endpoints of the service.
        request: The request to place.
        now: Monotonic seconds.
        choice: Chooses among the endpoints that may take it; by default by requests in flight.

    Returns:
        The endpoint, or why no endpoint can take the request.
    """
    serving = [e for e in endpoints if e.can_serve(now)]
    listed = [e for e in serving if e.id not in request.excluded]
    available = [e for e in listed if not e.is_suspended(now)]
    if not available:
        return _why_unavailable(listed, serving, now)
    if request.withheld:
        available = [e for e in available if e.id not in request.withheld]
        if not available:
            return PlacementFailure.RATE_LIMITED
    healthy = [e for e in available if not e.is_failing(now)]
    if request.is_retryable:
        for endpoint in available:
            if endpoint not in healthy and now >= endpoint.next_probe_at:
                endpoint.next_probe_at = now + PROBE_INTERVAL_S
                return endpoint
    candidates = healthy or available
    if choice is not None:
        return choice.choose(candidates, request, now)
    if request.service.batch_slots is None:
        return choose_least_loaded(candidates, request, now)
    return choose_engine(candidates, request, now)


def _why_unavailable(
    listed: list[Endpoint], serving: list[Endpoint], now: float
) -> PlacementFailure:
    """Returns why none of the listed endpoints, or of those already tried, takes a request."""
    holds = [hold for e in listed or serving if (hold := e.hold(now)) is not None]
    if listed and any(hold.reason is HoldReason.FULL for hold in holds):
        return PlacementFailure.FULL
    if any(hold.reason is HoldReason.TURNED_AWAY for hold in holds):
        return PlacementFailure.TURNED_AWAY
    return PlacementFailure.UNREACHABLE if listed else PlacementFailure.UNKNOWN_SERVICE


def context_source(
    endpoints: list[Endpoint], chosen: Endpoint, request: PlacementRequest, now: float
) -> Endpoint | None:
    """Finds an engine from which the chosen one can copy the shared parts of a prompt.

    That is the prompt's home engine if the request spilled to another engine, or the previous home
    engine if the chosen one is newly joined. Copying costs a tenth of recomputing the parts.

    Returns:
        None if the chosen engine is expected to have the parts, or no reachable engine is.
    """
    if request.service.batch_slots is None or len(request.call.prompt) < MIN_SHARED_PARTS:
        return None
    holders = [
        e
        for e in endpoints
        if e is not chosen and now - e.joined_at > NEWLY_JOINED_S and not e.is_unreachable(now)
    ]
    if not holders:
        return None
    key = stable_hash("prompt", prompt_key(request.call))
    best = max(holders, key=lambda e: chat_score(key, e.id_hash))
    is_newly_joined = now - chosen.joined_at <= NEWLY_JOINED_S
    if is_newly_joined or chat_score(key, best.id_hash) > chat_score(key, chosen.id_hash):
        return best
    return None


def rank_engines(candidates: Sequence[Endpoint], request: PlacementRequest) -> list[Endpoint]:
    """Returns engines by preference: the home of a prompt first, or its replicas in any order."""
    key = stable_hash("prompt", prompt_key(request.call))
    ranked = sorted(candidates, key=lambda e: chat_score(key, e.id_hash), reverse=True)
    return _shuffle_replicas(ranked, request)


def choose_engine(
    candidates: Sequence[Endpoint], request: PlacementRequest, now: float
) -> Endpoint:
    """Returns the highest-ranked engine within the load bound, or else the least loaded one."""
    key = stable_hash("prompt", prompt_key(request.call))
    ranked = sorted(candidates, key=lambda e: chat_score(key, e.id_hash), reverse=True)
    preferred = _shuffle_replicas(ranked, request)
    fleet_loads = _fleet_loads(candidates, now)
    if fleet_loads is not None:
        bound = load_bound(fleet_loads.values(), FLEET_SPILL_MULTIPLE, FLEET_SPILL_ALLOWANCE)
        within = (e for e in preferred if fleet_loads[e.id] + 1 <= bound)
        return next(within, None) or min(ranked, key=lambda e: fleet_loads[e.id])
    own_bound = load_bound([e.in_flight for e in candidates])
    reported = {e.id: e.reported_load(now) for e in candidates}
    known = [load for load in reported.values() if load is not None]
    reported_bound = load_bound(known) if len(known) == len(candidates) else math.inf
    for endpoint in preferred:
        load = reported[endpoint.id]
        if endpoint.in_flight + 1 <= own_bound and (load is None or load + 1 <= reported_bound):
            return endpoint
    return min(ranked, key=lambda e: e.in_flight)


def _fleet_loads(endpoints: Collection[Endpoint], now: float) -> dict[str, int] | None:
    """Returns the requests of all routers by endpoint id; None without recent reports.

    An endpoint that joined after the last report has only requests of this instance.
    """
    loads = {e.id: e.fleet_load(now) for e in endpoints}
    if all(load is None for load in loads.values()):
        return None
    return {e.id: e.in_flight if (load := loads[e.id]) is None else load for e in endpoints}


def mean_load(endpoints: Collection[Endpoint], instances: int, now: float) -> float:
    """Estimates the mean number of requests at an engine, over all instances.

    Args:
        endpoints: All engines of a service.
        instances: Number of routers; each is assumed to carry as much load as this one.
        now: Monotonic seconds.
    """
    fleet_loads = _fleet_loads(endpoints, now)
    if fleet_loads is not None:
        return sum(fleet_loads.values()) / len(fleet_loads)
    reported = [load for load in (e.reported_load(now) for e in endpoints) if load is not None]
    if len(reported) >= MIN_REPORTED_LOADS:
        return sum(reported) / len(reported)
    return sum(e.in_flight for e in endpoints) * instances / max(1, len(endpoints))


def _shuffle_replicas(ranked: list[Endpoint], request: PlacementRequest) -> list[Endpoint]:
    """Shuffles the replicas of a hot part by request id; other engines stay in rank order."""
    if request.replicas <= 1:
        return ranked
    request_hash = stable_hash("replica", request.call.request_id)
    replicas = ranked[: request.replicas]
    replicas.sort(key=lambda e: chat_score(request_hash, e.id_hash), reverse=True)
    return replicas + ranked[request.replicas :]


def load_bound(
    loads: Collection[float],
    multiple: float = SPILL_MULTIPLE,
    allowance: float = SPILL_ALLOWANCE,
) -> float:
    """Returns the load that an engine may reach with one more request, by those of all engines."""
    return multiple * (sum(loads) + 1) / len(loads) + allowance


def choose_least_loaded(
    candidates: Sequence[Endpoint], request: PlacementRequest, now: float
) -> Endpoint:
    """Returns the endpoint with the fewest requests of this instance, by its slots.

    One in the own failure domain is preferred while it has few of them.
    """
    request_hash = stable_hash("spread", request.call.request_id)

    def sort_key(endpoint: Endpoint) -> tuple[bool, float, int]:
        is_near = (
            endpoint.entry.failure_domain == request.failure_domain
            and endpoint.in_flight < MAX_LOCAL_IN_FLIGHT
        )
        load = endpoint.in_flight / endpoint.entry.slots
        # Ties are broken by request id; a fixed order would send all instances to one endpoint.
        return (not is_near, load, chat_score(request_hash, endpoint.id_hash))

    return min(candidates, key=sort_key)
