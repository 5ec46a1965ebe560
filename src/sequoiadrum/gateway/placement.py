"""Chooses the endpoint of a request, without I/O.

Load it answers: returning chats whose prompts share long parts, on engines that read a part again
when it is not in their memory, and short calls on plain services with few slots.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import frozen

from sequoiadrum.hashing import stable_hash
from sequoiadrum.placement import chat_score

if TYPE_CHECKING:
    from collections.abc import Collection

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import RequestHead, Service

SPILL_MULTIPLE: Final = 1.5
"""An engine above this multiple of the mean gets no request of another home; below the operators'
bound of 2, since each instance sees only its own share of the load."""
SPILL_ALLOWANCE: Final = 2
"""Requests that an engine may always carry of this instance; rounding exceeds any multiple."""
LOCAL_IN_FLIGHT: Final = 2
"""A plain endpoint of the same failure domain is preferred up to this number of requests."""
PROBE_INTERVAL_S: Final = 1.0
"""A failing endpoint gets one request that can be repeated in this time."""


NEWCOMER_S: Final = 10.0
"""An engine that joined within this time lacks the contexts of its chats; most return sooner."""
MIN_LOADS_TOLD: Final = 3
"""Engines whose told loads give a mean; an instance of a large fleet hears of a few at a time."""
MIN_SHARED_PARTS: Final = 2
"""A prompt of fewer parts shares nothing."""


class PlacementFailure(Enum):
    """Why no endpoint can take a request."""

    UNKNOWN_SERVICE = "unknown_service"
    """No endpoint of the service is listed as ready."""
    UNREACHABLE = "unreachable"
    """All endpoints were unreachable just now."""
    FULL = "full"
    """All endpoints refused requests just now because they were full."""


@frozen
class PlacementRequest:
    """What decides about the place of one request."""

    service: Service
    call: RequestHead
    failure_domain: str
    """Of this instance."""
    is_retryable: bool
    """Whether the request may be used to try a failing endpoint again."""
    excluded: Collection[str] = ()
    """Ids of endpoints that failed the request already."""
    replicas: int = 1
    """Engines that share the requests of the prompt's longest shared part."""


def prompt_key(call: RequestHead) -> str:
    """Gives the name of the longest part of a prompt that other requests share.

    The last part is the request's own. Without a shared part it is the only key there is.
    """
    if not call.prompt:
        return call.request_id
    shared = call.prompt[:-1] or call.prompt
    return shared[-1].id


def choose(
    endpoints: list[Endpoint], placing: PlacementRequest, now: float
) -> Endpoint | PlacementFailure:
    """Picks the endpoint for a request.

    Args:
        endpoints: All endpoints of the service.
        placing: The request and its circumstances.
        now: Monotonic seconds.
    """
    listed = [e for e in endpoints if e.may_serve(now) and e.id not in placing.excluded]
    if not listed:
        return PlacementFailure.UNKNOWN_SERVICE
    open_ones = [e for e in listed if not e.is_suspended(now)]
    if not open_ones:
        is_full = any(now < e.full_until for e in listed)
        return PlacementFailure.FULL if is_full else PlacementFailure.UNREACHABLE
    sound = [e for e in open_ones if not e.is_failing(now)]
    if placing.is_retryable:
        for endpoint in open_ones:
            if endpoint not in sound and now >= endpoint.next_probe_at:
                endpoint.next_probe_at = now + PROBE_INTERVAL_S
                return endpoint
    candidates = sound or open_ones
    if placing.service.batch_slots is None:
        return _least_loaded(candidates, placing, now)
    return _home(candidates, placing, now)


def context_source(
    endpoints: list[Endpoint], chosen: Endpoint, placing: PlacementRequest, now: float
) -> Endpoint | None:
    """Finds the engine that has the shared parts of a prompt when the chosen one lacks them.

    That is the home of the prompt when the request went elsewhere, or the home before when the
    chosen engine has just joined. A transfer costs a tenth of reading the parts again.

    Returns:
        None when the chosen engine has the parts already, or nobody has.
    """
    if placing.service.batch_slots is None or len(placing.call.prompt) < MIN_SHARED_PARTS:
        return None
    holders = [
        e
        for e in endpoints
        if e is not chosen and now - e.joined_at > NEWCOMER_S and not e.is_unreachable(now)
    ]
    if not holders:
        return None
    key = stable_hash("prompt", prompt_key(placing.call))
    best = max(holders, key=lambda e: chat_score(key, e.id_hash))
    is_newly_joined = now - chosen.joined_at <= NEWCOMER_S
    if is_newly_joined or chat_score(key, best.id_hash) > chat_score(key, chosen.id_hash):
        return best
    return None


def _home(candidates: list[Endpoint], placing: PlacementRequest, now: float) -> Endpoint:
    key = stable_hash("prompt", prompt_key(placing.call))
    ranked = sorted(candidates, key=lambda e: chat_score(key, e.id_hash), reverse=True)
    own_bound = _bound([e.in_flight for e in candidates])
    told = {e.id: e.reported_load(now) for e in candidates}
    known = [load for load in told.values() if load is not None]
    told_bound = _bound(known) if len(known) == len(candidates) else math.inf
    for endpoint in _shared_first(ranked, placing):
        load = told[endpoint.id]
        if endpoint.in_flight + 1 <= own_bound and (load is None or load + 1 <= told_bound):
            return endpoint
    return min(ranked, key=lambda e: e.in_flight)


def mean_load(endpoints: Collection[Endpoint], instances: int, now: float) -> float:
    """Estimates the requests at an engine in the mean, of all instances together.

    Args:
        endpoints: All engines of a service.
        instances: Routers, which are assumed to carry as much as this one.
        now: Monotonic seconds.
    """
    told = [load for load in (e.reported_load(now) for e in endpoints) if load is not None]
    if len(told) >= MIN_LOADS_TOLD:
        return sum(told) / len(told)
    return sum(e.in_flight for e in endpoints) * instances / max(1, len(endpoints))


def _shared_first(ranked: list[Endpoint], placing: PlacementRequest) -> list[Endpoint]:
    """Orders engines by rank, but the replicas of a hot part in an order of each request's own."""
    if placing.replicas <= 1:
        return ranked
    spread = stable_hash("replica", placing.call.request_id)
    replicas = ranked[: placing.replicas]
    replicas.sort(key=lambda e: chat_score(spread, e.id_hash), reverse=True)
    return replicas + ranked[placing.replicas :]


def _bound(loads: list[int]) -> float:
    return SPILL_MULTIPLE * (sum(loads) + 1) / len(loads) + SPILL_ALLOWANCE


def _least_loaded(candidates: list[Endpoint], placing: PlacementRequest, now: float) -> Endpoint:
    spread = stable_hash("spread", placing.call.request_id)

    def order(endpoint: Endpoint) -> tuple[bool, float, int]:
        is_near = (
            endpoint.entry.failure_domain == placing.failure_domain
            and endpoint.in_flight < LOCAL_IN_FLIGHT
        )
        load = endpoint.in_flight / endpoint.entry.slots
        # The same order on all instances would make them agree on one endpoint.
        return (not is_near, load, chat_score(spread, endpoint.id_hash))

    return min(candidates, key=order)
