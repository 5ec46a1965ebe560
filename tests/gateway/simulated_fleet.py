"""Simulates instances that place requests on engines, on virtual time and without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Final
from unittest import mock

from attrs import frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.load_board import LoadBoard, Loads, hubs_by_domain
from sequoiadrum.gateway.load_exchange import GROUP_INTERVAL_S, REPORT_INTERVAL_S
from sequoiadrum.gateway.model import EngineLoad, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from sequoiadrum.hashing import rank
from sequoiadrum.messages import Member, MemberState
from tests.gateway.builders import a_call, a_service, an_entry, bounds

if TYPE_CHECKING:
    from collections.abc import Callable

BOUND_MULTIPLE: Final = 2.0
BOUND_ALLOWANCE: Final = 3
"""No engine may carry more requests than the multiple of the mean plus this number."""
DATAGRAM_DELAY_S: Final = 0.05
"""Time from a report until it is applied: links, wake-ups and a busy processor."""
ENTRY_S: Final = 3.0
"""Requests are counted this long after a part becomes hot."""


@frozen
class FleetSize:
    """Sizes and load of a simulated fleet."""

    instances: int = 100
    engines: int = 56
    slots: int = 12
    failure_domains: int = 4
    requests_per_s: float = 190.0
    """Rate of the requests that are longest in flight: summaries and drafts."""
    mean_duration_s: float = 1.2
    """Mean time that a request is in flight."""
    parts: int = 600
    hot_share: float = 0.18
    """Share of all requests that are for the hot part."""
    hot_from_s: float = 4.0
    simulated_s: float = 14.0


class SimulatedFleet:
    """Places requests of random instances and counts those at engines above the bound."""

    def __init__(self, seed: int, size: FleetSize, shares_loads: bool = True) -> None:
        self.size = size
        self.now = 100.0
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._pools = [
            EndpointPool(bounds(), lambda: size.instances) for _ in range(size.instances)
        ]
        for pool in self._pools:
            for n in range(size.engines):
                entry = an_entry(f"e{n}", service="model", slots=size.slots)
                pool.apply(entry, is_newly_joined=False)
        self._load_by_engine = {f"e{n}": 0 for n in range(size.engines)}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.placed = 0
        self.above_bound = 0
        self.highest_share = 0.0
        """Highest load of an engine above the bound, as a multiple of the bound."""
        self.datagrams = 0
        if shares_loads:
            self._start_exchange()

    def run(self) -> float:
        """Returns the share of requests sent to an engine above the bound while a part is hot."""
        with mock.patch.object(clock, "now", self._clock):
            started, number = self.now, 0
            while self.now < started + self.size.simulated_s:
                arrival = self.now + self._rng.expovariate(self.size.requests_per_s)
                while self._events and self._events[0][0] <= arrival:
                    self.now, _, run = heapq.heappop(self._events)
                    run()
                self.now, number = arrival, number + 1
                hot_from = started + self.size.hot_from_s
                is_hot = self.now > hot_from and self._rng.random() < self.size.hot_share
                part = "hot" if is_hot else f"part{self._rng.randrange(self.size.parts)}"
                self._place_request(number, part, is_measured=self.now > hot_from + ENTRY_S)
        return self.above_bound / self.placed

    def _clock(self) -> float:
        return self.now

    def _place_request(self, number: int, part: str, is_measured: bool) -> None:
        pool = self._rng.choice(self._pools)
        call = a_call(f"q{number}", (("system", 500), (part, 9_000), (f"own{number}", 300)))
        request = PlacementRequest(a_service("model", self.size.slots), call, "z1", False)
        placement = pool.take(request)
        assert not isinstance(placement, PlacementFailure)
        engine_id = placement.endpoint.id
        load = self._load_by_engine[engine_id]
        mean = sum(self._load_by_engine.values()) / self.size.engines
        bound = BOUND_MULTIPLE * mean + BOUND_ALLOWANCE
        if is_measured:
            self.placed += 1
            self.above_bound += load > bound
            self.highest_share = max(self.highest_share, load / bound)
        self._load_by_engine[engine_id] += 1
        reported = EngineLoad(self._load_by_engine[engine_id], 0, self.size.slots)
        head = ResponseHead(200, "OK", "q", None, False, True, reported, None, ())
        pool.record_response(placement, head, failed=False)
        duration_s = self._rng.uniform(0.5, 1.5) * self.size.mean_duration_s
        self._schedule(duration_s, lambda: self._complete(pool, placement))

    def _complete(self, pool: EndpointPool, placement: EndpointPlacement) -> None:
        self._load_by_engine[placement.endpoint.id] -= 1
        pool.release(placement)

    def _start_exchange(self) -> None:
        ids = [f"r{n}" for n in range(self.size.instances)]
        pool_by_id = dict(zip(ids, self._pools, strict=True))
        board_by_id = {name: LoadBoard() for name in ids}
        domain_by_id = {name: f"z{n % self.size.failure_domains}" for n, name in enumerate(ids)}
        hubs = hubs_by_domain(
            Member(name, name, 1, 2, domain, "r", 1, 0, MemberState.ALIVE)
            for name, domain in domain_by_id.items()
        )
        all_hubs = [hub for names in hubs.values() for hub in names]

        def send_group(hub: str) -> None:
            own = pool_by_id[hub].own_loads()
            group = board_by_id[hub].group(own, self.now)
            for other in all_hubs:
                if other != hub:
                    self._deliver(partial(receive_group, other, hub, group))
            fleet = board_by_id[hub].fleet(own, self.now)
            elsewhere = Counter(fleet.in_flight_by_endpoint)
            elsewhere.subtract(own.in_flight_by_endpoint)
            pool_by_id[hub].set_fleet_loads(Loads(elsewhere, fleet.requests_by_part))
            self._schedule(GROUP_INTERVAL_S, lambda: send_group(hub))

        def receive_group(to: str, hub: str, group: Loads) -> None:
            board_by_id[to].record_group(hub, group, self.now)

        def report(router: str, hub: str) -> None:
            own = pool_by_id[router].own_loads()
            sequence = board_by_id[router].next_report(own)
            self._deliver(lambda: reply(router, hub, sequence, own))
            self._schedule(REPORT_INTERVAL_S, lambda: report(router, hub))

        def reply(router: str, hub: str, sequence: int, own: Loads) -> None:
            board_by_id[hub].record_router(router, own, self.now)
            fleet = board_by_id[hub].fleet(pool_by_id[hub].own_loads(), self.now)
            self._deliver(lambda: apply(router, sequence, fleet))

        def apply(router: str, sequence: int, fleet: Loads) -> None:
            elsewhere = board_by_id[router].elsewhere(sequence, fleet.in_flight_by_endpoint)
            assert elsewhere is not None
            pool_by_id[router].set_fleet_loads(Loads(elsewhere, fleet.requests_by_part))

        for name in ids:
            phase = self._rng.random()
            if name in all_hubs:
                self._schedule(phase * GROUP_INTERVAL_S, partial(send_group, name))
            else:
                hub = rank(name, hubs[domain_by_id[name]])[0]
                self._schedule(phase * REPORT_INTERVAL_S, partial(report, name, hub))

    def _deliver(self, receive: Callable[[], None]) -> None:
        self.datagrams += 1
        self._schedule(DATAGRAM_DELAY_S, receive)

    def _schedule(self, delay_s: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), run))
