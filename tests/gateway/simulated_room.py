"""Plays load on engines with few slots through several routers, on virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Final
from unittest import mock

from attrs import define, evolve, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.admission_control import Demand, Outcome
from sequoiadrum.gateway.load_board import Loads
from sequoiadrum.gateway.model import EngineLoad, RequestHead, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from tests.gateway.builders import a_call, a_service, an_entry, bounds

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_INTERVAL_S: Final = 0.5
REPORT_AGE_S: Final = 0.1
RETRY_SHARE: Final = 1 / 3
"""Callers wait for at most this share of the time that they have left, and come back once."""
TOKENS_PER_S: Final = 250
CALM_S: Final = 6.0
"""Time before the load that a test plays; the routers learn the usual times in it."""


@frozen
class Kind:
    """A kind of request."""

    name: str
    priority: int
    requests_per_s: float
    duration_s: float
    goal_s: float
    patience_s: float
    """Time after which a caller gives up on a response that has not begun."""
    deadline_s: float
    prompt_tokens: int = 500
    first_s: float = 0.05
    """Time from the start at an engine to the first event."""


@frozen
class Load:
    """Fleet and load of a simulation."""

    kinds: tuple[Kind, ...]
    routers: int = 20
    engines: int = 10
    slots: int = 8
    accounts: int = 12
    simulated_s: float = 20.0
    busy_s: tuple[float, float] = (0.0, 0.0)
    """Seconds after `CALM_S` between which the load differs."""
    busy_rate_by_kind: dict[str, float] = field(factory=dict)
    """Multiples of the usual rates meanwhile."""
    hot_account_rate: float = 1.0
    """Multiple of the usual rate of the first account meanwhile."""
    speed_by_engine: dict[int, float] = field(factory=dict)
    assumed_routers: float = 1.0
    """Number of routers that the routers know, as a multiple of the true one."""
    silent_from_s: float = float("inf")
    """Seconds after `CALM_S` from which no router hears of others."""


@define(eq=False)
class _Request:
    kind: Kind
    account: str
    arrived_at: float
    number: int
    is_returning: bool = False
    placement: EndpointPlacement | None = None
    pool: EndpointPool | None = None
    is_over: bool = False


@define(eq=False)
class _Engine:
    speed: float
    running: int = 0
    waiting: list[tuple[int, int, _Request]] = field(factory=list)


class SimulatedRoom:
    """Counts what callers get."""

    def __init__(self, load: Load, is_controlled: bool, seed: int = 1) -> None:
        self.load = load
        self.now = 100.0
        self._arrivals = random.Random(seed)
        """Apart from `_rng`, so that decisions do not change which requests arrive."""
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        routers = max(1, round(load.routers * load.assumed_routers))
        self._pools = [EndpointPool(bounds(), lambda: routers) for _ in range(load.routers)]
        self._engine_by_id = {
            f"e{n}": _Engine(load.speed_by_engine.get(n, 1.0)) for n in range(load.engines)
        }
        for pool in self._pools:
            for name in self._engine_by_id:
                entry = an_entry(name, service="model", slots=load.slots)
                pool.apply(entry, is_newly_joined=False)
        self._slowdown = 1.0 if is_controlled else None
        self.asked: Counter[tuple[str, str]] = Counter()
        """Callers' requests by kind and account, without those that came back."""
        self.on_time: Counter[tuple[str, str]] = Counter()
        self.served: Counter[tuple[str, str]] = Counter()
        self.gave_up: Counter[str] = Counter()
        self.refused: Counter[Outcome] = Counter()
        self.most_at_engines = 0

    def run(self) -> SimulatedRoom:
        """Plays the load."""
        with mock.patch.object(clock, "now", self._clock):
            for kind in self.load.kinds:
                self._schedule(0.0, partial(self._arrive, kind))
            self._schedule(0.0, self._exchange)
            end = self.now + CALM_S + self.load.simulated_s
            while self._events and self._events[0][0] <= end:
                self.now, _, run = heapq.heappop(self._events)
                run()
        return self

    def share(self, counted: Counter[tuple[str, str]], kind: str = "", account: str = "") -> float:
        """Returns the share of the requests of a kind or an account that were counted."""

        def total(counter: Counter[tuple[str, str]]) -> int:
            return sum(n for (k, a), n in counter.items() if kind in ("", k) and account in ("", a))

        return total(counted) / max(1, total(self.asked))

    def _clock(self) -> float:
        return self.now

    def _elapsed_s(self) -> float:
        return self.now - 100.0 - CALM_S

    def _arrive(self, kind: Kind) -> None:
        begin, end = self.load.busy_s
        is_busy = begin <= self._elapsed_s() < end
        rate = self.load.busy_rate_by_kind.get(kind.name, 1.0) if is_busy else 1.0
        weights = [1.0] * self.load.accounts
        if is_busy:
            weights[0] = self.load.hot_account_rate
            rate *= sum(weights) / self.load.accounts
        self._schedule(
            self._rng.expovariate(kind.requests_per_s * rate), partial(self._arrive, kind)
        )
        account = f"a{self._rng.choices(range(self.load.accounts), weights)[0]}"
        request = _Request(kind, account, self.now, next(self._numbers))
        if self._elapsed_s() >= 0:
            self.asked[kind.name, account] += 1
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        pool = self._rng.choice(self._pools)
        kind, left_s = request.kind, request.arrived_at + request.kind.deadline_s - self.now
        call = _call(request)
        if pool.controls_admission():
            demand = Demand(
                kind.priority,
                request.account,
                kind.name,
                left_s,
                min(left_s, kind.patience_s),
                left_s,
                self._rng.random(),
            )
            admission = pool.admit("model", call, demand)
            if admission.outcome is not Outcome.ADMITTED:
                self.refused[admission.outcome] += 1
                wait_s = admission.retry_after_s
                assert wait_s is not None
                if not request.is_returning and wait_s <= RETRY_SHARE * left_s:
                    request.is_returning = True
                    self._schedule(wait_s, partial(self._ask, request))
                return
        service = a_service("model", self.load.slots)
        placement = pool.take(PlacementRequest(service, call, "z1", False))
        assert not isinstance(placement, PlacementFailure)
        request.placement, request.pool = placement, pool
        engine = self._engine_by_id[placement.endpoint.id]
        if engine.running < self.load.slots:
            self._start(engine, request)
            return
        heapq.heappush(engine.waiting, (kind.priority, request.number, request))
        at_engines = sum(e.running + len(e.waiting) for e in self._engine_by_id.values())
        self.most_at_engines = max(self.most_at_engines, at_engines)
        self._schedule(min(kind.patience_s, left_s), partial(self._give_up, request))

    def _give_up(self, request: _Request) -> None:
        if request.placement is None or request.is_over:
            return
        engine = self._engine_by_id[request.placement.endpoint.id]
        entry = next((each for each in engine.waiting if each[2] is request), None)
        if entry is not None:
            engine.waiting.remove(entry)
            heapq.heapify(engine.waiting)
            self.gave_up[request.kind.name] += 1
            self._end(request)

    def _start(self, engine: _Engine, request: _Request) -> None:
        engine.running += 1
        self._schedule(request.kind.first_s / engine.speed, partial(self._begin, engine, request))
        duration_s = request.kind.duration_s * self._rng.uniform(0.7, 1.3) / engine.speed
        self._schedule(duration_s, partial(self._complete, engine, request))

    def _begin(self, engine: _Engine, request: _Request) -> None:
        assert request.pool is not None
        assert request.placement is not None
        reported = EngineLoad(engine.running, len(engine.waiting), self.load.slots, self._slowdown)
        head = ResponseHead(200, "OK", "q", None, False, True, reported, None, ())
        request.pool.record_response(request.placement, head, failed=False)
        if self.now - request.arrived_at <= request.kind.goal_s:
            self._record(self.on_time, request)

    def _complete(self, engine: _Engine, request: _Request) -> None:
        engine.running -= 1
        assert request.pool is not None
        assert request.placement is not None
        request.pool.record_done(request.placement)
        self._end(request)
        if self.now - request.arrived_at <= request.kind.deadline_s:
            self._record(self.served, request)
        if engine.waiting:
            self._start(engine, heapq.heappop(engine.waiting)[2])

    def _end(self, request: _Request) -> None:
        assert request.pool is not None
        assert request.placement is not None
        request.is_over = True
        request.pool.release(request.placement)

    def _record(self, counter: Counter[tuple[str, str]], request: _Request) -> None:
        if request.arrived_at >= 100.0 + CALM_S:
            counter[request.kind.name, request.account] += 1

    def _exchange(self) -> None:
        """Gives each router the requests of all others, as of a moment ago."""
        self._schedule(REPORT_INTERVAL_S, self._exchange)
        if self._elapsed_s() >= self.load.silent_from_s:
            return
        own = [pool.own_loads().in_flight_by_endpoint for pool in self._pools]
        fleet = sum((Counter(loads) for loads in own), Counter())
        for pool, loads in zip(self._pools, own, strict=True):
            others = Counter(fleet)
            others.subtract(loads)
            self._schedule(REPORT_AGE_S, partial(pool.set_fleet_loads, Loads(others, {})))

    def _schedule(self, delay_s: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), run))


def _call(request: _Request) -> RequestHead:
    """Returns the head of a request for a part of its own, so that the load is even."""
    parts = (("system", 100), (f"chat{request.number}", request.kind.prompt_tokens), ("own", 10))
    call = a_call(f"q{request.number}-{request.is_returning}", parts)
    return evolve(call, output_tokens=int(request.kind.duration_s * TOKENS_PER_S))
