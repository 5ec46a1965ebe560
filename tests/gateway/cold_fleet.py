"""Simulates routers that share the rate of one cold endpoint, on virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from functools import partial
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from attrs import define, frozen

from sequoiadrum.gateway.cold_endpoints import (
    MAX_COLD_GRANT_AGE_S,
    ColdQuotas,
    cold_key,
)
from sequoiadrum.gateway.load_exchange import (
    ASK_TIMEOUT_S,
    GROUP_INTERVAL_S,
    SILENT_OWNER_WAIT_S,
)
from sequoiadrum.gateway.rate_limits import MIN_WAIT_S, quota_owner
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

PERMITTED_PER_S: Final = 9.3 * 1.5 + 5
"""The bound of the endpoints of a deployment of 136 routers."""
KEY: Final = cold_key(77)
MAX_LINK_S: Final = 0.008
"""Longest time of a datagram on its way, and until the task of its receiver reads it."""
MAX_SEND_S: Final = 0.15
"""Longest time from the grant of a unit until the request is on its way."""
MAX_CONTACT_S: Final = 0.5
"""Time between two datagrams that a router in touch receives."""


def most_in_a_second(times: Sequence[float]) -> int:
    """Returns the highest number of times within one second."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def busy_share(times: Sequence[float], start: float, end: float) -> float:
    """Returns the requests of a span of time as a ratio of those that the bound permits."""
    return sum(start <= at < end for at in times) / ((end - start) * PERMITTED_PER_S)


@frozen
class Demand:
    """Requests that want the endpoint, in a second."""

    per_s: float = 3 * PERMITTED_PER_S
    until: float = 20.0
    first_router_share: float = 0.0
    """Share of them that reaches the owner of the rate at the beginning."""


class Limiter(ABC):
    """How the routers of a simulated fleet limit their requests to the endpoint."""

    @abstractmethod
    def request(self, router: SimulatedRouter) -> None:
        """Sends a request of a router if the limit permits it."""


@define(eq=False)
class SimulatedRouter:
    """One router, with what it knows of the others."""

    id: str
    quotas: ColdQuotas
    members: Mapping[str, Member]
    phase_s: float
    """Time of its first observation of the members."""
    is_down: bool = False
    paused_until: float = float("-inf")
    group: int = 0
    """Routers of different groups cannot reach each other."""
    contact_at: float = 0.0
    refused_until: float = float("-inf")
    own_bucket: TokenBucket | None = None


class ColdFleet:
    """Routers, one of which owns the rate of the endpoint, and the times of their requests."""

    def __init__(self, size: int, seed: int, limiter: Limiter | None = None) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.sent: list[float] = []
        self.asks = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._owners: dict[int, tuple[Mapping[str, Member], str | None]] = {}
        """Owners by the identity of the view from which they were computed."""
        self._limiter = limiter or SharedRate(self)
        self.ids = [f"r{n}" for n in range(size)]
        everyone = self.view(self.ids)
        self.by_id = {
            each: SimulatedRouter(
                each, ColdQuotas(), everyone, self.rng.uniform(0.0, GROUP_INTERVAL_S)
            )
            for each in self.ids
        }
        for router in self.by_id.values():
            self._observe(router)
        owner = self.owner_in(everyone)
        assert owner is not None
        self.owner = self.by_id[owner]
        """The owner at the beginning."""

    def view(self, alive: Sequence[str], dead: Sequence[str] = ()) -> Mapping[str, Member]:
        """Returns the members as a router knows them that has found some of them dead."""
        states = dict.fromkeys(alive, MemberState.ALIVE) | dict.fromkeys(dead, MemberState.DEAD)
        return MappingProxyType(
            {each: Member(each, "h", 1, 2, "z", "r", 1, 0, s) for each, s in states.items()}
        )

    def owner_in(self, members: Mapping[str, Member]) -> str | None:
        """Returns the owner of the rate as a router with this view of the members knows it."""
        found = self._owners.get(id(members))
        if found is None or found[0] is not members:
            found = self._owners[id(members)] = members, quota_owner(KEY, members)
        return found[1]

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Runs an action at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def learn_within(
        self,
        start: float,
        duration_s: float,
        routers: Sequence[str],
        alive: Sequence[str],
        dead: Sequence[str] = (),
    ) -> None:
        """Gives routers a new view of the members, each at a random time in a span."""
        members = self.view(alive, dead)
        for each in routers:
            when = start + self.rng.uniform(0.0, duration_s)
            self.at(when, partial(setattr, self.by_id[each], "members", members))

    def restart(self, router: SimulatedRouter) -> None:
        """Replaces the process of a router, which knows only itself at first."""
        router.quotas = ColdQuotas()
        router.members = self.view([router.id])
        router.refused_until = float("-inf")
        router.is_down = False

    def run(self, demand: Demand) -> list[float]:
        """Runs all requests; returns the times at which they were sent to the endpoint."""
        self.at(self.rng.expovariate(demand.per_s), partial(self._arrive, demand))
        while self._events and self._events[0][0] <= demand.until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.sent

    def send(self, after_s: float) -> None:
        """Sends a request to the endpoint after a time."""
        self.sent.append(self.now + after_s)

    def can_reach(self, sender: SimulatedRouter, receiver: SimulatedRouter) -> bool:
        """Returns whether a datagram arrives."""
        return not receiver.is_down and sender.group == receiver.group

    def _arrive(self, demand: Demand) -> None:
        self.at(self.now + self.rng.expovariate(demand.per_s), partial(self._arrive, demand))
        is_at_first = self.rng.random() < demand.first_router_share
        router = self.owner if is_at_first else self.by_id[self.rng.choice(self.ids)]
        if router.is_down:
            return
        # The callers of a paused router wait for it, and it reads all requests when it resumes.
        when = max(self.now, router.paused_until)
        self.at(when, partial(self._limiter.request, router))

    def _observe(self, router: SimulatedRouter) -> None:
        def observe() -> None:
            self.at(max(self.now, router.paused_until) + GROUP_INTERVAL_S, observe)
            if router.is_down or self.now < router.paused_until:
                return
            others = (self.by_id[each] for each in self.ids if each != router.id)
            if any(self.can_reach(router, other) for other in others):
                router.contact_at = self.now - MAX_CONTACT_S
            silence_s = self.now - router.contact_at
            router.quotas.observe(router.id, router.members, silence_s, True, self.now)

        self.at(router.phase_s, observe)


class NoLimit(Limiter):
    """Routers that send each request to its home engine, cold or not."""

    def __init__(self) -> None:
        self.fleet: ColdFleet | None = None

    def request(self, router: SimulatedRouter) -> None:
        """See `Limiter.request`."""
        assert self.fleet is not None
        self.fleet.send(0.0)


class OwnShare(NoLimit):
    """Routers that each keep to their own part of the rate, without asking anyone."""

    def request(self, router: SimulatedRouter) -> None:
        """See `Limiter.request`."""
        fleet = self.fleet
        assert fleet is not None
        if router.own_bucket is None:
            rate = 0.55 * PERMITTED_PER_S / len(fleet.ids)
            # A router that was quiet has one unit, as less than one is of no use.
            router.own_bucket = TokenBucket(rate, 1.0, 1.0, fleet.now)
        if router.own_bucket.take(fleet.now):
            fleet.send(0.0)


class SharedRate(Limiter):
    """Routers that ask the owner of the rate for units, as `LoadExchangeTask.acquire_cold` does."""

    def __init__(self, fleet: ColdFleet) -> None:
        self.fleet = fleet

    def request(self, router: SimulatedRouter) -> None:
        """See `Limiter.request`."""
        fleet = self.fleet
        if fleet.now < router.refused_until or fleet.now < router.paused_until:
            return
        owner_id = fleet.owner_in(router.members)
        if owner_id is None or owner_id == router.id:
            grant = router.quotas.decide(KEY, PERMITTED_PER_S, fleet.now)
            self._finish(router, fleet.now, grant.is_granted, grant.wait_s)
            return
        fleet.asks += 1
        owner = fleet.by_id[owner_id]
        asked_at = fleet.now
        if fleet.can_reach(router, owner):
            arrives_at = fleet.now + fleet.rng.uniform(0.001, MAX_LINK_S)
            read_at = max(arrives_at, owner.paused_until)
            fleet.at(read_at, partial(self._decide, owner, router, asked_at))
        else:
            fleet.at(asked_at + ASK_TIMEOUT_S, partial(self._give_up, router))

    def _decide(self, owner: SimulatedRouter, router: SimulatedRouter, asked_at: float) -> None:
        fleet = self.fleet
        if owner.is_down:
            return
        is_granted, wait_s = False, SILENT_OWNER_WAIT_S
        if fleet.owner_in(owner.members) == owner.id:
            grant = owner.quotas.decide(KEY, PERMITTED_PER_S, fleet.now)
            is_granted, wait_s = grant.is_granted, grant.wait_s
        if fleet.can_reach(owner, router):
            arrives_at = fleet.now + fleet.rng.uniform(0.001, MAX_LINK_S)
            fleet.at(arrives_at, partial(self._receive, router, asked_at, is_granted, wait_s))

    def _receive(
        self, router: SimulatedRouter, asked_at: float, is_granted: bool, wait_s: float
    ) -> None:
        if self.fleet.now - asked_at > ASK_TIMEOUT_S:
            self._give_up(router)
        else:
            self._finish(router, asked_at, is_granted, wait_s)

    def _give_up(self, router: SimulatedRouter) -> None:
        router.refused_until = self.fleet.now + SILENT_OWNER_WAIT_S

    def _finish(
        self, router: SimulatedRouter, asked_at: float, is_granted: bool, wait_s: float
    ) -> None:
        fleet = self.fleet
        if is_granted and fleet.now - asked_at <= MAX_COLD_GRANT_AGE_S:
            fleet.send(fleet.rng.uniform(0.0, MAX_SEND_S))
        else:
            router.refused_until = fleet.now + max(MIN_WAIT_S, wait_s)


def naive_fleet(size: int, seed: int, limiter: NoLimit) -> ColdFleet:
    """Returns a fleet with a limiter that the product does not use."""
    limiter.fleet = ColdFleet(size, seed, limiter)
    return limiter.fleet
