"""Simulation of engines, chats and routers on virtual time, for `bench_routing`."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field, frozen

from sequoiadrum.admission import PoolAdmission
from sequoiadrum.hashing import first_ranked, stable_hash
from sequoiadrum.pool_messages import Placed, PoolRequest, ReportedGrant, Waiting
from sequoiadrum.served_chats import ServedChats
from tools.figures import quantile

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.placement import BoundPolicy

SAMPLE_INTERVAL_S: Final = 0.05
_GRANT_DELAY_S: Final = 0.001
"""Delay of a grant before the request starts and of a release after it ends."""
_MAX_RELEASE_DELAY_S: Final = 0.02
"""Largest extra delay of a release, because releases are sent in batches."""
_TURN_TOKENS: Final = 500
"""Tokens that each turn adds to the context of its chat."""
_CACHE_TOKENS: Final = 1_500_000
"""Capacity of the prefix cache of an engine."""
_PREFILL_S_PER_TOKEN: Final = 0.0004
_MEAN_TURNS: Final = 6.0
_MEAN_SERVICE_S: Final = 4.0


@frozen
class Deployment:
    """Numbers of routers and engines, and the relative demand of each account."""

    name: str
    routers: int
    engines: int
    account_weights: tuple[float, ...] = (30, 20, 15, 10, 8, 6, 4, 3, 2, 2)

    def engine_ids(self) -> list[str]:
        """Returns the ids of all engines."""
        return [f"e{n}" for n in range(self.engines)]


DEPLOYMENT_A: Final = Deployment("A", 14, 5)
DEPLOYMENT_B: Final = Deployment("B", 13, 9)


@define(eq=False)
class Chat:
    """One chat with its own random source, so that its draws are the same under every policy."""

    id: str
    account: str
    random: random.Random
    turns_left: int
    tokens: int = 0
    wait_limit_s: float = 2.0
    """Longest wait for an engine before the request is refused."""


@define(eq=False)
class Turn:
    """One request of a chat."""

    chat: Chat
    router: int
    requested_at: float
    request_id: str
    engine_id: str = ""


@define(eq=False)
class Engine:
    """One engine: its prefix cache with LRU eviction and its number of requests in flight."""

    id: str
    load: int = 0
    tokens_by_chat: OrderedDict[str, int] = field(factory=OrderedDict)
    cached_tokens: int = 0

    def store(self, chat: Chat) -> None:
        """Caches the context of a chat and evicts the least recently used ones if needed."""
        self.cached_tokens -= self.tokens_by_chat.pop(chat.id, 0)
        self.tokens_by_chat[chat.id] = chat.tokens
        self.cached_tokens += chat.tokens
        while self.cached_tokens > _CACHE_TOKENS:
            self.cached_tokens -= self.tokens_by_chat.popitem(last=False)[1]


class Chooser(ABC):
    """Selects an engine for each request."""

    @abstractmethod
    def choose(self, turn: Turn, now: float) -> tuple[str, str | None] | str | None:
        """Returns the engine and the KV source, None if the request waits, or a refusal reason."""

    def release(self, turn: Turn, now: float) -> None:  # noqa: B027 - most have no state
        """Handles the end of a request."""

    def pump(self, now: float) -> list[tuple[Turn, str, str | None]]:
        """Removes and returns the waiting requests that can start, with engine and KV source."""
        return []

    def refused(self, now: float) -> list[Turn]:
        """Removes and returns the waiting requests that are refused now."""
        return []


class ModuloChooser(Chooser):
    """Selects by the hash of the chat modulo the number of engines."""

    def __init__(self, engines: Sequence[str]) -> None:
        self.engines = list(engines)

    def choose(self, turn: Turn, now: float) -> tuple[str, None]:
        """See `Chooser`."""
        return self.engines[stable_hash(turn.chat.id) % len(self.engines)], None


class RendezvousChooser(ModuloChooser):
    """Selects by rendezvous hashing (highest random weight), without a load bound."""

    def choose(self, turn: Turn, now: float) -> tuple[str, None]:
        """See `Chooser`."""
        return first_ranked(turn.chat.id, self.engines) or "", None


class TwoChoicesChooser(ModuloChooser):
    """Selects the less loaded of two random engines, with exact knowledge of the loads."""

    def __init__(self, engines: Sequence[str], seed: int) -> None:
        super().__init__(engines)
        self._random = random.Random(seed)
        self._load: dict[str, int] = dict.fromkeys(engines, 0)

    def choose(self, turn: Turn, now: float) -> tuple[str, None]:
        """See `Chooser`."""
        chosen = min(self._random.sample(self.engines, 2), key=lambda e: self._load[e])
        self._load[chosen] += 1
        return chosen, None

    def release(self, turn: Turn, now: float) -> None:
        """See `Chooser`."""
        self._load[turn.engine_id] -= 1

    def reset(self) -> None:
        """Resets all engines to idle."""
        self._load = dict.fromkeys(self.engines, 0)


class LeastLoadedChooser(TwoChoicesChooser):
    """Selects the least loaded engine by exact loads: a lower bound on skew for any placement."""

    def choose(self, turn: Turn, now: float) -> tuple[str, None]:
        """See `Chooser`."""
        chosen = min(self.engines, key=lambda e: (self._load[e], self._random.random()))
        self._load[chosen] += 1
        return chosen, None


class PoolChooser(Chooser):
    """Selects with the real admission core, temporarily run by several owners in some scenarios."""

    def __init__(
        self, policy: BoundPolicy, engines: Sequence[str], routers_with_hints: int = 0
    ) -> None:
        self.policy = policy
        self.served_by_router = [ServedChats() for _ in range(routers_with_hints)]
        """Served chats of each router, the source of its hints to a pool owner; empty: no hints."""
        self.engines = list(engines)
        self.owner_of_router: Callable[[int], int] = lambda router: 0
        self.owners = [self.new_owner(0.0)]
        self._owner_by_request: dict[str, PoolAdmission] = {}
        self.turn_by_request: dict[str, Turn] = {}

    def new_owner(self, now: float) -> PoolAdmission:
        """Returns an owner without any grants."""
        pool = PoolAdmission(self.policy, now)
        pool.set_engines(dict.fromkeys(self.engines, False), now)
        return pool

    def choose(self, turn: Turn, now: float) -> tuple[str, str | None] | str | None:
        """See `Chooser`."""
        pool = self.owners[self.owner_of_router(turn.router)]
        outcome = pool.acquire(
            PoolRequest(
                turn.request_id,
                turn.request_id,
                turn.chat.id,
                turn.chat.account,
                f"r{turn.router}",
                1,
                now + turn.chat.wait_limit_s,
                last_engine=self._last_engine_hint(turn),
            ),
            now,
        )
        self.turn_by_request[turn.request_id] = turn
        self._owner_by_request[turn.request_id] = pool
        if isinstance(outcome, Placed):
            self._record_served(turn, outcome.engine_id)
            return outcome.engine_id, outcome.kv_source
        if isinstance(outcome, Waiting):
            return None
        del self.turn_by_request[turn.request_id]
        return outcome.reason.value

    def _last_engine_hint(self, turn: Turn) -> str:
        if not self.served_by_router:
            return ""
        return self.served_by_router[turn.router].last_endpoint("", turn.chat.id)

    def _record_served(self, turn: Turn, engine_id: str) -> None:
        if self.served_by_router:
            self.served_by_router[turn.router].record("", turn.chat.id, engine_id)

    def release(self, turn: Turn, now: float) -> None:
        """See `Chooser`."""
        self.turn_by_request.pop(turn.request_id, None)
        self._owner_by_request.pop(turn.request_id).release(turn.request_id)

    def pump(self, now: float) -> list[tuple[Turn, str, str | None]]:
        """See `Chooser`."""
        started = [
            (self.turn_by_request[request.request_id], placed.engine_id, placed.kv_source)
            for pool in self.owners
            if len(pool.queue)
            for request, placed in pool.pump(now)
        ]
        for turn, engine_id, _ in started:
            self._record_served(turn, engine_id)
        return started

    def refused(self, now: float) -> list[Turn]:
        """See `Chooser`."""
        return [
            self.turn_by_request.pop(request.request_id)
            for pool in self.owners
            if len(pool.queue)
            for request, _ in pool.expire(now)
        ]

    def report_held_grants(
        self,
        owner: PoolAdmission,
        now: float,
        reports: Callable[[int], bool] = lambda router: True,
    ) -> None:
        """Reports the grants of routers to an owner, as routers do when the owner changes.

        Args:
            owner: The owner that receives the reports.
            now: Time of the reports.
            reports: Whether a router, given by its number, reports its grants.
        """
        by_router: dict[str, list[ReportedGrant]] = {}
        for turn in self.turn_by_request.values():
            if turn.engine_id and reports(turn.router):
                by_router.setdefault(f"r{turn.router}", []).append(
                    ReportedGrant(turn.request_id, turn.engine_id, turn.chat.id, 1.0, "")
                )
                self._owner_by_request[turn.request_id] = owner
        for router_id, grants in by_router.items():
            owner.report(router_id, 1, grants, now)


@define(eq=False)
class Outcome:
    """Measurements of one simulation."""

    returning: int = 0
    """Requests that continue an earlier chat."""
    found_local: int = 0
    found_imported: int = 0
    evicted: int = 0
    """Returning requests whose context no engine had cached any more."""
    ratios: list[float] = field(factory=list)
    """Maximum over mean of the engine loads, for samples with a mean above 3.2."""
    waits: dict[str, list[float]] = field(factory=dict)
    refused: dict[str, int] = field(factory=dict)

    def returning_percent(self, value: int) -> float:
        """Returns a count as a percentage of the returning requests."""
        return 100 * value / max(1, self.returning)

    def ratio(self, fraction: float) -> float:
        """Returns a quantile of the ratio of maximum to mean load."""
        return quantile(self.ratios, fraction)

    def imbalanced_percent(self) -> float:
        """Returns the percentage of samples with a ratio above 1.25."""
        return 100 * sum(r > 1.25 + 1e-9 for r in self.ratios) / max(1, len(self.ratios))


class Simulation:
    """Simulates chats whose engines a chooser selects; the demand is the same for all choosers."""

    unused_random: Final = random.Random(0)
    """Random source for chats that never draw from it."""

    def __init__(
        self, deployment: Deployment, chooser: Chooser, mean_load: float, seed: int
    ) -> None:
        self.deployment = deployment
        self.chooser = chooser
        self.engines = {e: Engine(e) for e in deployment.engine_ids()}
        self.outcome = Outcome()
        self.measured_from = 150.0
        self.surge: tuple[float, float, float] = (0.0, 0.0, 1.0)
        """Start, end and rate factor of a surge of the two largest accounts."""
        self.other_router_percent = 100
        """Percentage of turns at a random router instead of the one in the address response."""
        self._rate = mean_load * deployment.engines / _MEAN_SERVICE_S / _MEAN_TURNS
        self._seed = seed
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._chat_numbers = itertools.count()
        self.now = 0.0

    def schedule(self, when: float, action: Callable[..., None], argument: Any = None) -> None:
        """Schedules an action at an absolute time."""
        heapq.heappush(self._events, (when, next(self._order), action, argument))

    def run(self, until: float) -> Outcome:
        """Runs the simulation from an empty system and returns its measurements."""
        weights = self.deployment.account_weights
        for number in range(len(weights)):
            self._schedule_chat(number)
        self.schedule(0.0, self._sample)
        while self._events and self._events[0][0] < until:
            self.now, _, action, argument = heapq.heappop(self._events)
            action(argument)
        return self.outcome

    def _schedule_chat(self, account: int) -> None:
        weights = self.deployment.account_weights
        rate = self._rate * weights[account] / sum(weights)
        start, end, factor = self.surge
        if account < 2 and start <= self.now < end:
            rate *= factor
        self.schedule(self.now + self._random.expovariate(rate), self._start_chat, account)

    def _start_chat(self, account: int) -> None:
        number = next(self._chat_numbers)
        chat_random = random.Random(self._seed * 1_000_003 + number)
        turns = 1 + int(chat_random.expovariate(1 / (_MEAN_TURNS - 0.5)))
        self._start_turn(Chat(f"chat-{number}", f"account-{account}", chat_random, turns))
        self._schedule_chat(account)

    def _start_turn(self, chat: Chat) -> None:
        router = chat.random.randrange(self.deployment.routers)
        request_id = f"{chat.id}.{chat.turns_left}"
        # A hash instead of a draw keeps the demand the same for every percentage.
        if stable_hash("elsewhere", request_id) % 100 >= self.other_router_percent:
            router = stable_hash("address", chat.id) % self.deployment.routers
        turn = Turn(chat, router, self.now, request_id)
        chosen = self.chooser.choose(turn, self.now)
        if isinstance(chosen, str):
            self._refuse(turn)
        elif chosen is not None:
            self._start_service(turn, *chosen)

    def _start_service(self, turn: Turn, engine_id: str, kv_source: str | None) -> None:
        turn.engine_id = engine_id
        chat, engine = turn.chat, self.engines[engine_id]
        found = chat.id in engine.tokens_by_chat
        source = self.engines.get(kv_source or "")
        imported = not found and source is not None and chat.id in source.tokens_by_chat
        if self.now >= self.measured_from:
            self._count(chat, found, imported)
            wait = self.now - turn.requested_at
            self.outcome.waits.setdefault(chat.account, []).append(wait)
        prefill_s = 0.0 if found or imported else chat.tokens * _PREFILL_S_PER_TOKEN
        chat.tokens += _TURN_TOKENS
        engine.store(chat)
        engine.load += 1
        service = chat.random.lognormvariate(math.log(_MEAN_SERVICE_S * 0.8), 0.67)
        self.schedule(self.now + _GRANT_DELAY_S + prefill_s + service, self._end_service, turn)

    def _count(self, chat: Chat, found: bool, imported: bool) -> None:
        if chat.tokens == 0:
            return
        self.outcome.returning += 1
        self.outcome.found_local += found
        self.outcome.found_imported += found or imported
        is_cached = any(chat.id in engine.tokens_by_chat for engine in self.engines.values())
        self.outcome.evicted += not is_cached

    def _end_service(self, turn: Turn) -> None:
        self.engines[turn.engine_id].load -= 1
        delay_s = _GRANT_DELAY_S + turn.chat.random.uniform(0, _MAX_RELEASE_DELAY_S)
        self.schedule(self.now + delay_s, self._release, turn)
        chat = turn.chat
        chat.turns_left -= 1
        if chat.turns_left > 0:
            think_s = chat.random.lognormvariate(math.log(25), 1.2)
            self.schedule(self.now + think_s, self._start_turn, chat)

    def _release(self, turn: Turn) -> None:
        self.chooser.release(turn, self.now)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        for turn, engine_id, source in self.chooser.pump(self.now):
            self._start_service(turn, engine_id, source)
        for turn in self.chooser.refused(self.now):
            self._refuse(turn)

    def _refuse(self, turn: Turn) -> None:
        if self.now >= self.measured_from:
            refused = self.outcome.refused
            refused[turn.chat.account] = refused.get(turn.chat.account, 0) + 1

    def _sample(self, _: None) -> None:
        self._serve_waiting()
        loads = [engine.load for engine in self.engines.values()]
        mean = sum(loads) / len(loads)
        if self.now >= self.measured_from and mean > 3.2:
            self.outcome.ratios.append(max(loads) / mean)
        self.schedule(self.now + SAMPLE_INTERVAL_S, self._sample)
