"""Simulates routers that share out requests over endpoints with slots, queues and shared hosts."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING, Final
from unittest import mock

from attrs import define, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoint_choice import EndpointChoice, InFlightChoice
from sequoiadrum.gateway.model import EngineLoad, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest, rank_engines
from sequoiadrum.gateway.pool import EndpointPool
from tests.gateway.builders import a_call, a_service, an_entry, bounds
from tests.gateway.simulated_fleet import FleetSize, SimulatedFleet

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.pool import EndpointPlacement

SAMPLE_S: Final = 0.01
"""Interval at which the loads of all endpoints are compared."""
WARM_UP_S: Final = 3.0
"""Time before measurements begin."""
SWING: Final = (1.5, 0.5)
"""An endpoint swings when its load passes from the first multiple of the mean to the second."""


@frozen
class EvenLoadCase:
    """Sizes and load of a service; the defaults are the plain service of vbwt-fleet-grown."""

    instances: int = 69
    endpoints: int = 4
    slots: int = 6
    is_plain: bool = True
    failure_domains: int = 4
    requests_per_s: float = 170.0
    work_s: float = 0.0225
    work_spread: float = 0.5
    """Standard deviation of the logarithm of the work of a request."""
    wave: float = 0.55
    """Share by which the rate of a failure domain rises and falls."""
    wave_s: float = 15.0
    parts: int = 600
    noise_share: float = 0.15
    """Share of the time for which work on a host takes `noise_factor` times as long."""
    noise_factor: float = 2.5
    noise_s: float = 0.6
    """Mean length of a spell on a slow host."""
    simulated_s: float = 14.0
    states_slowdown: bool = True


VBWT_PLAIN: Final = EvenLoadCase()
VBWT_ENGINES: Final = EvenLoadCase(
    endpoints=45, slots=24, is_plain=False, requests_per_s=474.0, work_s=0.9, work_spread=0.9
)
AMENDOA_PLAIN: Final = EvenLoadCase(
    instances=14, requests_per_s=40.0, work_s=0.04, wave=0.15, noise_share=0.0
)
AMENDOA_ENGINES: Final = EvenLoadCase(
    instances=14,
    endpoints=9,
    slots=128,
    is_plain=False,
    requests_per_s=104.0,
    work_s=1.5,
    work_spread=0.9,
    wave=0.15,
    noise_share=0.0,
)


@define(eq=False)
class Server:
    """One endpoint with slots and a queue, on a host that is slow at times."""

    id: str
    slots: int
    running: int = 0
    queue: deque[Callable[[], None]] = field(factory=deque)
    slowdown: float = 1.0

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.queue)


@frozen
class Spread:
    """How even the load was, and what requests waited."""

    highest: float
    """Highest load of an endpoint as a multiple of the mean, at the 99th percentile of the time."""
    waits_while_idle: float
    """Share of the time in which requests waited at an endpoint while another had free slots."""
    swings_per_s: float
    """How often an endpoint passed from well above the mean to well below it."""
    wait_mean_s: float
    wait_p99_s: float
    time_mean_s: float
    """Mean time of waiting and work."""
    time_p99_s: float
    away: float
    """Share of requests that left their failure domain, or their home engine."""
    refused: int


class TrueLoadChoice(EndpointChoice):
    """Base of the choices to compare with; they may know the servers themselves."""

    def __init__(self, fleet: EvenLoadFleet) -> None:
        self._fleet = fleet

    @abstractmethod
    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""


class RandomChoice(TrueLoadChoice):
    """Takes any endpoint."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        return self._fleet.rng.choice(candidates)


class TwoOnOldReports(TrueLoadChoice):
    """Takes the less loaded of two by the reports as they are."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        two = self._fleet.rng.sample(list(candidates), min(2, len(candidates)))
        return min(two, key=lambda e: e.in_flight + e.in_flight_elsewhere)


class LeastOnOldReports(TrueLoadChoice):
    """Takes the least loaded by the reports as they are."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        return min(candidates, key=lambda e: (e.in_flight + e.in_flight_elsewhere, e.id_hash))


class LeastOnExactLoads(TrueLoadChoice):
    """Takes the least loaded by the servers' own state."""

    def choose(
        self, candidates: Sequence[Endpoint], request: PlacementRequest, now: float
    ) -> Endpoint:
        """See `EndpointChoice.choose`."""
        servers = self._fleet.server_by_id
        candidates = [e for e in candidates if e.id in servers] or candidates
        if candidates[0].id not in servers:
            return candidates[0]
        return min(
            candidates, key=lambda e: (servers[e.id].load, servers[e.id].slowdown, e.id_hash)
        )


class EvenLoadFleet(SimulatedFleet):
    """Places requests of many routers, and measures how even the load is."""

    def __init__(
        self,
        seed: int,
        case: EvenLoadCase,
        choice: Callable[[EvenLoadFleet], EndpointChoice | None] = lambda _: None,
        counted_instances: int | None = None,
        has_reports: bool = True,
    ) -> None:
        """Creates the fleet.

        Args:
            seed: Seed of all random numbers.
            case: Sizes and load.
            choice: Creates the choice of all routers; None for that of the product.
            counted_instances: Number of routers that the routers assume; by default the right one.
            has_reports: Whether routers learn of each other's requests.
        """
        self.case = case
        self.size = FleetSize(instances=case.instances, failure_domains=case.failure_domains)
        self.now = 100.0
        self.rng = self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events = []
        self.datagrams = 0
        self._service = a_service("model", case.slots) if not case.is_plain else a_service()
        self.server_by_id: dict[str, Server] = {}
        self.reports_until = float("inf")
        """Time from which all reports between routers are lost."""
        self.stated_by_id: dict[str, float] = {}
        """False slowdowns that endpoints state instead of the true ones."""
        made = choice(self)
        counted = counted_instances or case.instances
        self._pools = [
            EndpointPool(bounds(), lambda: counted, choice=made) for _ in range(case.instances)
        ]
        for n in range(case.endpoints):
            self.add_endpoint(n)
        if case.is_plain and case.states_slowdown:
            with mock.patch.object(clock, "now", self._clock):
                self._add_stating_engine()
        if has_reports and case.instances > 1:
            self._start_exchange()
        self._waits: list[float] = []
        self._times: list[float] = []
        self._away = self._refused = 0
        self._highest: list[float] = []
        self.share_by_id: dict[str, float] = {}
        """Sum of each server's samples of its load as a multiple of the mean."""
        self._unfair_samples = self._swings = self._samples = 0
        self._was_above: set[str] = set()

    def add_endpoint(self, number: int, revision: int = 1, **changes: object) -> Server:
        """Adds an endpoint, or a new process of one."""
        name = f"e{number}"
        domain = f"z{number % self.case.failure_domains}"
        entry = an_entry(
            name,
            revision,
            service=self._service.name,
            slots=self.case.slots,
            failure_domain=domain,
            **changes,
        )
        for pool in self._pools:
            pool.apply(entry, is_newly_joined=revision > 1)
        server = self.server_by_id[name] = Server(name, self.case.slots)
        if self.case.noise_share:
            self._schedule(self.rng.random(), lambda: self._toggle_noise(server))
        return server

    def _add_stating_engine(self) -> None:
        """Lets each router see an engine that states its speed; plain endpoints state nothing."""
        for pool in self._pools:
            pool.apply(an_entry("engine", service="model"), is_newly_joined=False)
            service = a_service("model", 128)
            placement = pool.take(PlacementRequest(service, a_call("first"), "z0", False))
            assert not isinstance(placement, PlacementFailure)
            load = EngineLoad(0, 0, 128, 1.0)
            head = ResponseHead(200, "OK", "q", None, False, True, load, None, ())
            pool.record_response(placement, head, failed=False)
            pool.release(placement)

    @property
    def pools(self) -> list[EndpointPool]:
        """The pools of all routers."""
        return self._pools

    def at(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedules something to happen."""
        self._schedule(delay_s, run)

    def measure(self) -> Spread:
        """Runs the simulation."""
        self._schedule(WARM_UP_S, self._sample)
        with mock.patch.object(clock, "now", self._clock):
            started = self.now
            rate = self.case.requests_per_s * (1 + self.case.wave)
            number = 0
            while self.now < started + self.case.simulated_s:
                arrival = self.now + self.rng.expovariate(rate)
                while self._events and self._events[0][0] <= arrival:
                    self.now, _, run = heapq.heappop(self._events)
                    run()
                self.now, number = arrival, number + 1
                router = self.rng.randrange(self.case.instances)
                domain = router % self.case.failure_domains
                phase = 2 * math.pi * (self.now / self.case.wave_s + domain / 4)
                level = (1 + self.case.wave * math.sin(phase)) / (1 + self.case.wave)
                if self.rng.random() < level:
                    self._arrive(router, number, is_measured=self.now > started + WARM_UP_S)
        self._waits.sort()
        self._times.sort()
        count = max(1, len(self._times))
        self._highest.sort()
        return Spread(
            self._highest[int(0.99 * len(self._highest))],
            self._unfair_samples / self._samples,
            self._swings / (self._samples * SAMPLE_S),
            sum(self._waits) / count,
            self._waits[int(0.99 * count)],
            sum(self._times) / count,
            self._times[int(0.99 * count)],
            self._away / count,
            self._refused,
        )

    def _arrive(self, router: int, number: int, is_measured: bool) -> None:
        pool = self._pools[router]
        domain = f"z{router % self.case.failure_domains}"
        part = f"part{int(self.case.parts * self.rng.random() ** 1.5)}"
        prompt = () if self.case.is_plain else (("sys", 500), (part, 9_000), (f"own{number}", 300))
        request = PlacementRequest(self._service, a_call(f"q{number}", prompt), domain, False)
        placement = pool.take(request)
        if isinstance(placement, PlacementFailure):
            self._refused += is_measured
            return
        if is_measured:
            self._away += self._is_away(placement, request)
        server = self.server_by_id[placement.endpoint.id]
        sent_at = self.now
        spread = self.case.work_spread
        work_s = self.case.work_s * self.rng.lognormvariate(-spread * spread / 2, spread)

        def begin() -> None:
            server.running += 1
            if is_measured:
                self._waits.append(self.now - sent_at)
            if not self.case.is_plain:
                self._respond(pool, placement, server)
            self._schedule(work_s * server.slowdown, complete)

        def complete() -> None:
            server.running -= 1
            if is_measured:
                self._times.append(self.now - sent_at)
            pool.release(placement)
            if self.case.is_plain:
                self._respond(pool, placement, server)
            if server.queue:
                server.queue.popleft()()

        if server.running < server.slots:
            begin()
        else:
            server.queue.append(begin)

    def _respond(self, pool: EndpointPool, placement: EndpointPlacement, server: Server) -> None:
        slowdown = self.stated_by_id.get(server.id, server.slowdown)
        load = EngineLoad(
            server.running,
            len(server.queue),
            server.slots,
            slowdown if self.case.states_slowdown else None,
        )
        head = ResponseHead(
            200, "OK", "q", None, False, True, None if self.case.is_plain else load, None, ()
        )
        pool.record_response(placement, head, failed=False)

    def _is_away(self, placement: EndpointPlacement, request: PlacementRequest) -> bool:
        if self.case.is_plain:
            return placement.endpoint.entry.failure_domain != request.failure_domain
        endpoints = self._pools[0]._table.of_service(self._service.name)
        return rank_engines(endpoints, request)[0].id != placement.endpoint.id

    def _toggle_noise(self, server: Server) -> None:
        is_slow = server.slowdown > 1
        server.slowdown = 1.0 if is_slow else self.case.noise_factor
        share = self.case.noise_share
        mean_s = self.case.noise_s * ((1 - share) / share if is_slow else 1.0)
        self._schedule(self.rng.expovariate(1 / mean_s), lambda: self._toggle_noise(server))

    def _deliver(self, receive: Callable[[], None]) -> None:
        if self.now < self.reports_until:
            super()._deliver(receive)

    def _sample(self) -> None:
        self._schedule(SAMPLE_S, self._sample)
        servers = list(self.server_by_id.values())
        mean = sum(s.load for s in servers) / len(servers)
        self._samples += 1
        has_waiting = any(s.queue for s in servers)
        self._unfair_samples += has_waiting and any(s.running < s.slots for s in servers)
        if mean < 1:
            return
        self._highest.append(max(s.load for s in servers) / mean)
        for server in servers:
            share = self.share_by_id.get(server.id, 0.0)
            self.share_by_id[server.id] = share + server.load / mean
            if server.load > SWING[0] * mean + 1:
                self._was_above.add(server.id)
            elif server.load < SWING[1] * mean and server.id in self._was_above:
                self._was_above.discard(server.id)
                self._swings += 1


CHOICES: Final[dict[str, Callable[[EvenLoadFleet], EndpointChoice | None]]] = {
    "as it is": lambda _: InFlightChoice(),
    "even": lambda _: None,
    "random": RandomChoice,
    "two, old reports": TwoOnOldReports,
    "least, old reports": LeastOnOldReports,
    "least, exact": LeastOnExactLoads,
}
