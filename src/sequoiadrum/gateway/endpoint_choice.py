"""Ways to choose among the endpoints that may take a request; performs no I/O.

The choice by requests in flight takes the endpoint that looks best. Where many routers choose at
the same moment by reports that are a little old, all of them see the same endpoint idle and overrun
it. The even choice estimates what is in flight now, draws in proportion to free room and speed, and
lets an engine's chats spill before requests wait there while other engines have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.endpoint_speed import ObservedSpeeds, StatedSpeed
from sequoiadrum.gateway.load_estimate import LoadEstimate
from sequoiadrum.gateway.placement import (
    FLEET_SPILL_ALLOWANCE,
    FLEET_SPILL_MULTIPLE,
    EndpointChoice,
    choose_engine,
    choose_least_loaded,
    load_bound,
    rank_engines,
)
from sequoiadrum.hashing import stable_hash
from sequoiadrum.placement import chat_score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import EngineLoad
    from sequoiadrum.gateway.placement import PlacementRequest

MIN_ROOM: Final = 0.05
"""Share of free slots that is assumed at least, so that a full endpoint stays possible."""
NEAR_UNTIL: Final = 0.6
"""Share of slots in use up to which all calls stay with the endpoints of the own failure domain."""
NEAR_BELOW: Final = 1.0
"""Share of slots in use from which the own failure domain is not preferred. Between the two, the
preference falls in proportion, so that routers do not leave and return together."""
NEAR_UNKNOWN: Final = 0.5
"""Share of calls that stay where the requests of the other routers are not known."""
ALL_ACCEPTED: Final = 0.9
"""Share of its slots in use up to which an engine takes all chats whose home it is."""
NONE_ACCEPTED: Final = 1.3
"""Share from which it takes none. Between the two the share falls in proportion: a limit would send
the chats of all routers to the few engines that were below it at the last report."""
ROOM_UNTIL: Final = 0.8
"""Share of all slots in use from which a service has no room to even out: leaving a home then only
moves the wait to another engine."""
MIN_ROUTERS: Final = 30
"""Fewer routers choose plain endpoints by their own requests in flight. They make up much of the
load, and are known at once."""
INITIAL_DURATION_S: Final = 0.5
"""Mean duration of a service's requests that is assumed before any has ended."""
DURATION_WEIGHT: Final = 0.05
"""Weight of the latest request in the mean duration."""
MAX_CALL_S: Final = 0.2
"""Mean duration of requests up to which own requests in flight say more of the others' than the
last report does."""
MAX_SERVICES: Final = 500
"""Services of which durations are kept."""
_HALF: Final = 1 << 32
_HASH_RANGE: Final = 1 << 64


class InFlightChoice(EndpointChoice):
    """Takes the fewest requests in flight, or the highest-ranked engine within a load bound."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        if request.service.batch_slots is None:
            return choose_least_loaded(candidates, request, now)
        return choose_engine(candidates, request, now)


@define(eq=False)
class Outlook:
    """What is expected of one endpoint while a request runs there."""

    endpoint: Endpoint
    load: float
    """Requests in flight now, of all routers if they are known."""
    is_fleet_known: bool
    """Whether the requests of the other routers are known."""
    slowdown: float
    """Expected time of work as a multiple of the usual one."""
    load_age_s: float
    speed_age_s: float

    @property
    def slots(self) -> int:
        """Requests that the endpoint runs in parallel."""
        return max(1, self.endpoint.entry.slots)

    @property
    def room(self) -> float:
        """Free slots, at least `MIN_ROOM` of all."""
        return max(MIN_ROOM * self.slots, self.slots - self.load)

    @property
    def accepted_share(self) -> float:
        """Share of the chats that an engine takes whose home it is, or next in rank."""
        used = (self.load + 1) / self.slots
        return min(1.0, max(0.0, (NONE_ACCEPTED - used) / (NONE_ACCEPTED - ALL_ACCEPTED)))

    @property
    def weight(self) -> float:
        """Weight in a draw: free room by speed."""
        return self.room / self.slowdown

    @property
    def cost(self) -> float:
        """Expected time of one more request as a multiple of the usual one, and some for load."""
        return self.slowdown * (1.0 + (self.load + 1) / self.slots)


@define(eq=False)
class _ServiceKnowledge:
    mean_duration_s: float = INITIAL_DURATION_S
    observed: ObservedSpeeds = field(factory=ObservedSpeeds)


@define(eq=False)
class _EndpointKnowledge:
    endpoint: Endpoint
    elsewhere: LoadEstimate = field(factory=LoadEstimate)
    stated: StatedSpeed = field(factory=StatedSpeed)


@define(eq=False)
class EndpointKnowledge:
    """What one router knows of loads and speeds; the caller serializes all calls.

    Nothing is recorded before an endpoint states how long work takes on its host: only then do
    endpoints share hosts with others.
    """

    is_active: bool = False
    _by_endpoint: dict[str, _EndpointKnowledge] = field(factory=dict)
    _by_service: dict[str, _ServiceKnowledge] = field(factory=dict)

    def record_load(self, endpoint: Endpoint, load: EngineLoad, now: float) -> None:
        """Records what an endpoint states of its host."""
        if load.slowdown is not None:
            self.is_active = True
            self._of(endpoint).stated.record(load.slowdown, now)

    def record_elsewhere(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Records the requests of the other routers that the endpoints carry by their reports."""
        if not self.is_active:
            return
        known = {e.id: e for e in endpoints}
        for endpoint in known.values():
            self._of(endpoint).elsewhere.record(
                endpoint.in_flight_elsewhere, endpoint.in_flight, now
            )
        for endpoint_id in self._by_endpoint.keys() - known.keys():
            del self._by_endpoint[endpoint_id]
        for service in self._by_service.values():
            service.observed.forget(known.keys())

    def record_duration(self, endpoint: Endpoint, duration_s: float) -> None:
        """Records how long a request of any result was in flight."""
        if self.is_active:
            service = self._service(endpoint.entry.service)
            service.mean_duration_s += DURATION_WEIGHT * (duration_s - service.mean_duration_s)

    def record_completed(self, endpoint: Endpoint, duration_s: float, now: float) -> None:
        """Records how long a call to a plain endpoint took that did not fail.

        Failures are left out: an endpoint that fails at once would look like a fast one.
        """
        if self.is_active:
            service = self._service(endpoint.entry.service)
            service.observed.record(endpoint.id, duration_s, now)

    def highest_multiple(self, endpoints: Iterable[Endpoint], now: float) -> float:
        """Returns the highest estimated load as a multiple of the mean of its service; 0 if none.

        Services with less than one request at each endpoint on average are left out.
        """
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.entry.service, []).append(endpoint)
        highest = 0.0
        for group in by_service.values():
            loads = [o.load for o in self.outlooks(group, now)]
            mean = sum(loads) / len(loads)
            if mean >= 1:
                highest = max(highest, max(loads) / mean)
        return highest

    def outlooks(self, endpoints: Sequence[Endpoint], now: float) -> list[Outlook]:
        """Returns what is expected of endpoints of one service.

        An endpoint whose speed is not known is taken as the mean of those whose speed is.
        """
        if not endpoints:
            return []
        service = self._by_service.get(endpoints[0].entry.service) or _ServiceKnowledge()
        duration_s = service.mean_duration_s
        speeds = [self._slowdown(e, service, now) for e in endpoints]
        known = [speed for speed in speeds if speed is not None]
        mean = sum(known) / len(known) if known else 1.0
        outlooks = []
        for endpoint, speed in zip(endpoints, speeds, strict=True):
            knowledge = self._known(endpoint)
            elsewhere, load_age_s, speed_age_s = None, float("inf"), float("inf")
            if knowledge is not None:
                elsewhere = knowledge.elsewhere.expected(now, duration_s)
                if elsewhere is not None and duration_s < MAX_CALL_S:
                    elsewhere *= knowledge.elsewhere.own_excess(endpoint.in_flight)
                load_age_s = knowledge.elsewhere.age_s(now)
                speed_age_s = knowledge.stated.age_s(now)
            outlooks.append(
                Outlook(
                    endpoint,
                    endpoint.in_flight + (elsewhere or 0.0),
                    elsewhere is not None,
                    mean if speed is None else speed,
                    load_age_s,
                    speed_age_s,
                )
            )
        return outlooks

    def _slowdown(self, endpoint: Endpoint, service: _ServiceKnowledge, now: float) -> float | None:
        knowledge = self._known(endpoint)
        if knowledge is not None:
            stated = knowledge.stated.expected(now, service.mean_duration_s)
            if stated is not None:
                return stated
        return service.observed.expected(endpoint.id, now)

    def _known(self, endpoint: Endpoint) -> _EndpointKnowledge | None:
        knowledge = self._by_endpoint.get(endpoint.id)
        # A new process with the same id starts without the knowledge of the former one.
        return knowledge if knowledge is not None and knowledge.endpoint is endpoint else None

    def _of(self, endpoint: Endpoint) -> _EndpointKnowledge:
        knowledge = self._known(endpoint)
        if knowledge is None:
            knowledge = self._by_endpoint[endpoint.id] = _EndpointKnowledge(endpoint)
        return knowledge

    def _service(self, name: str) -> _ServiceKnowledge:
        if len(self._by_service) >= MAX_SERVICES and name not in self._by_service:
            del self._by_service[next(iter(self._by_service))]
        return self._by_service.setdefault(name, _ServiceKnowledge())


@frozen
class EvenChoice(EndpointChoice):
    """Spreads requests by estimated load and speed, without all routers choosing alike."""

    _knowledge: EndpointKnowledge
    _instances: Callable[[], int]
    """Returns the number of routers; wrong by a factor of two, it decides nothing of weight."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        if len(candidates) == 1:
            return candidates[0]
        is_plain = request.service.batch_slots is None
        if is_plain and self._instances() < MIN_ROUTERS:
            return choose_least_loaded(candidates, request, now)
        outlooks = self._knowledge.outlooks(candidates, now)
        if is_plain:
            return self._choose_plain(outlooks, request).endpoint
        return self._choose_engine(outlooks, request, now)

    def _choose_plain(self, outlooks: list[Outlook], request: PlacementRequest) -> Outlook:
        """Returns one of two drawn endpoints, of the own failure domain while it has room."""
        digest = stable_hash("spread", request.call.request_id)
        near = [o for o in outlooks if o.endpoint.entry.failure_domain == request.failure_domain]
        if near and len(near) < len(outlooks) and _fraction(digest) < near_share(near, outlooks):
            outlooks = near
        return _draw_better(outlooks, stable_hash("draw", request.call.request_id))

    def _choose_engine(
        self, outlooks: list[Outlook], request: PlacementRequest, now: float
    ) -> Endpoint:
        """Returns the highest-ranked engine that is not above the mean and has room."""
        by_id = {o.endpoint.id: o for o in outlooks}
        is_full = sum(o.load for o in outlooks) >= ROOM_UNTIL * sum(o.slots for o in outlooks)
        if is_full or not any(o.is_fleet_known for o in outlooks):
            return choose_engine([o.endpoint for o in outlooks], request, now)
        bound = load_bound([o.load for o in outlooks], FLEET_SPILL_MULTIPLE, FLEET_SPILL_ALLOWANCE)
        work_bound = load_bound(
            [o.load * o.slowdown for o in outlooks], FLEET_SPILL_MULTIPLE, FLEET_SPILL_ALLOWANCE
        )
        within = [
            o
            for e in rank_engines([o.endpoint for o in outlooks], request)
            if (o := by_id[e.id]).load + 1 <= bound
        ]
        request_hash = stable_hash("accept", request.call.request_id)
        for outlook in within:
            fraction = chat_score(request_hash, outlook.endpoint.id_hash) / _HASH_RANGE
            if (outlook.load + 1) * outlook.slowdown <= work_bound and (
                fraction < outlook.accepted_share
            ):
                return outlook.endpoint
        return _draw(
            within or outlooks, _fraction(stable_hash("draw", request.call.request_id))
        ).endpoint


def near_share(near: Sequence[Outlook], outlooks: Sequence[Outlook]) -> float:
    """Returns the share of calls that stay with the endpoints of the own failure domain."""
    if not any(o.is_fleet_known for o in near):
        return NEAR_UNKNOWN
    used = sum(o.load for o in near) / sum(o.slots for o in near)
    share = min(1.0, max(0.0, (NEAR_BELOW - used) / (NEAR_BELOW - NEAR_UNTIL)))
    mean = sum(o.slowdown for o in outlooks) / len(outlooks)
    slowdown = sum(o.slowdown for o in near) / len(near)
    return share * min(1.0, mean / slowdown)


def _draw_better(outlooks: Sequence[Outlook], digest: int) -> Outlook:
    """Draws two endpoints by their weights and returns the one with the lower cost."""
    first = _draw(outlooks, _fraction(digest))
    others = [o for o in outlooks if o is not first]
    if not others:
        return first
    second = _draw(others, (digest >> 32) / _HALF)
    return min(first, second, key=lambda o: o.cost)


def _draw(outlooks: Sequence[Outlook], fraction: float) -> Outlook:
    left = fraction * sum(o.weight for o in outlooks)
    for outlook in outlooks:
        left -= outlook.weight
        if left < 0:
            return outlook
    return outlooks[-1]


def _fraction(digest: int) -> float:
    return (digest % _HALF) / _HALF
