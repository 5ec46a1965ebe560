"""Admission state of the pools that this router decides, shared by the threads that ask."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, Final

from attrs import define, evolve, field, frozen
from returns.result import Failure, Result, Success

from sequoiadrum.admission import PoolAdmission
from sequoiadrum.crash_guard import CrashGuard, crash_event
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import stable_hash
from sequoiadrum.interfaces import Grant, GrantOutcome
from sequoiadrum.messages import Address, Endpoint, EndpointState
from sequoiadrum.pool_messages import Placed, PoolRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from sequoiadrum.configuration import ConfigState
    from sequoiadrum.interfaces import AdmissionRequest, ConfigSource
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.placement import BoundPolicy, EngineState
    from sequoiadrum.pool_messages import HeldGrant, ReportedGrant

MAX_WAIT_S: Final = 2.0
"""Longest wait in the queue of a pool; a frozen owner delays a caller by little more than this."""
KEEP_IDLE_S: Final = 600.0
"""A pool that went to another owner keeps its table of recent engines this long."""

Decision = Result[Grant, Refusal]


@frozen
class GrantHolder:
    """The router process that will hold a grant."""

    router_id: str
    process_id: int


@define(eq=False)
class _Pool:
    """One pool with the configuration that it was told."""

    core: PoolAdmission
    used_at: float
    revision: int = -1
    leaving_version: int = -1
    endpoint_by_id: dict[str, Endpoint] = field(factory=dict)
    crash_by_engine: dict[str, tuple[str, float]] = field(factory=dict)
    """Name and time of the last crash of each engine."""


class PoolOwner:
    """Decides requests on the thread that asks, under one lock.

    A decision takes some ten microseconds; handing it to another thread and back would cost more
    than the decision, and up to the interpreter's switch interval under load.
    """

    def __init__(
        self,
        router_id: str,
        policy: BoundPolicy,
        config: ConfigSource,
        metrics: Metrics,
        disseminate: Callable[[str, str, int, bytes, float], None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._router_id = router_id
        self._base_policy = policy
        self._config = config
        self._metrics = metrics
        self._spread = disseminate
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.RLock()
        self._pools_by_name: dict[str, _Pool] = {}
        self._waiting_by_grant: dict[str, tuple[Future[Decision], str]] = {}
        self._grant_numbers = itertools.count(1)
        # 31 bits that differ between owners of one pool and between processes of a router.
        self._grant_prefix = stable_hash(router_id, repr(wall_clock())) >> 33 << 32
        self._guard = CrashGuard()
        self._leaving: frozenset[str] = frozenset()
        self._leaving_version = 0

    def refusal(self, fingerprint: str) -> Refusal | None:
        """Refuses a request that has crashed endpoints before."""
        if not fingerprint:
            return None
        with self._lock:
            if not self._guard.is_refused(fingerprint, self._wall_clock()):
                return None
        return Refusal(RefusalReason.CRASHES_ENDPOINTS, "the request has crashed endpoints")

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str], holder: GrantHolder
    ) -> Decision | Future[Decision]:
        """Decides a request, or gives a future when it has to wait.

        Whoever gives up waiting calls `abandon` with the future.
        """
        refusal = self.refusal(request.fingerprint)
        if refusal is not None:
            return Failure(refusal)
        now = self._clock()
        with self._lock:
            pool = self._pool(request.pool, now)
            number = next(self._grant_numbers) & 0xFFFFFFFF
            grant_id = f"{self._grant_prefix | number:x}"
            wanted = PoolRequest(
                request_id=request.request_id,
                grant_id=grant_id,
                chat_id=request.chat_id,
                account=request.account,
                router_id=holder.router_id,
                router_process_id=holder.process_id,
                deadline=min(request.deadline, now + MAX_WAIT_S),
                priority=request.priority,
                cost=request.cost,
                fingerprint=request.fingerprint,
                suspect=self._guard.is_suspect(request.fingerprint, self._wall_clock()),
                excluded=frozenset(excluded),
                last_engine=request.last_endpoint,
            )
            outcome = pool.core.acquire(wanted, now)
            if isinstance(outcome, Placed):
                return Success(self._grant(request.pool, pool, outcome))
            if isinstance(outcome, Refusal):
                return Failure(outcome)
            future: Future[Decision] = Future()
            self._waiting_by_grant[grant_id] = (future, request.pool)
            self._metrics.count("admission_queued_total")
            self._expire(pool, now)
            return future

    def abandon(self, future: Future[Decision]) -> None:
        """Ends the wait of a caller that has given up, and what it may have been granted."""
        with self._lock:
            for grant_id, (waiting, name) in list(self._waiting_by_grant.items()):
                if waiting is future:
                    del self._waiting_by_grant[grant_id]
                    pool = self._pools_by_name.get(name)
                    if pool is not None:
                        pool.core.withdraw(grant_id)
                    return
        if future.done() and isinstance(future.result(), Success):
            grant = future.result().unwrap()
            self.release(grant.pool, [(grant.grant_id, GrantOutcome.CANCELLED)])

    def release(self, pool_name: str, releases: Iterable[tuple[str, GrantOutcome]]) -> None:
        """Ends grants and serves those who wait."""
        changed: list[str] = []
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            if pool is None:
                return
            for grant_id, outcome in releases:
                changed += self._release(pool, grant_id, outcome)
            self._pump(pool, self._clock())
            rumors = [(f, self._guard.encode(f)) for f in changed]
        self._spread_crashes(rumors)

    def report(self, pool_name: str, holder: GrantHolder, grants: Iterable[ReportedGrant]) -> None:
        """Takes all grants of a pool that a router holds."""
        now = self._clock()
        with self._lock:
            pool = self._pool(pool_name, now)
            wall = self._wall_clock()
            marked = [
                evolve(grant, suspect=self._guard.is_suspect(grant.fingerprint, wall))
                for grant in grants
            ]
            pool.core.report(holder.router_id, holder.process_id, marked, now)
            self._pump(pool, now)

    def confirm(self, pool_name: str, holder: GrantHolder, grant_ids: Collection[str]) -> list[str]:
        """Takes the ids of all grants of a pool that a router holds; gives the unknown ones."""
        now = self._clock()
        with self._lock:
            pool = self._pool(pool_name, now)
            unknown = pool.core.confirm(holder.router_id, holder.process_id, grant_ids, now)
            self._pump(pool, now)
            return unknown

    def drop_router(self, router_id: str, process_id: int | None) -> None:
        """Drops the grants of a dead router, or of one process of it."""
        with self._lock:
            for pool in self._pools_by_name.values():
                dropped = pool.core.drop_router(router_id, process_id)
                self._count_dropped(dropped, "router_dead")
                self._pump(pool, self._clock())

    def set_leaving(self, leaving: frozenset[str]) -> None:
        """Takes the endpoints that are announced to leave."""
        with self._lock:
            if leaving != self._leaving:
                self._leaving = leaving
                self._leaving_version += 1

    def polled(
        self, endpoint: Endpoint, started_at: float, healthy: bool | None, in_flight: float | None
    ) -> None:
        """Takes the outcome of a poll.

        Args:
            endpoint: The endpoint.
            started_at: When the poll began; one from before a crash does not end the outage.
            healthy: Whether the endpoint works; None when that is open.
            in_flight: The reported load, if any.
        """
        now = self._clock()
        with self._lock:
            pool = self._pools_by_name.get(endpoint.pool)
            if pool is None:
                return
            crash = pool.crash_by_engine.get(endpoint.id)
            if healthy is not None and not (healthy and crash and crash[1] >= started_at):
                pool.core.set_healthy(endpoint.id, healthy, now)
            if in_flight is not None:
                pool.core.record_load(endpoint.id, in_flight, now)
            self._pump(pool, now)

    def receive_crash(self, fingerprint: str, payload: bytes) -> None:
        """Takes a rumour about a request that crashes endpoints."""
        with self._lock:
            known = self._guard.merge(fingerprint, payload, self._wall_clock())
        if not known:
            self._metrics.count("malformed_rumors_total", kind="crash")

    def tick(self, owned: Collection[str]) -> None:
        """Takes changes of the configuration and expires waits; call a few times a second.

        Args:
            owned: Pools that this router owns in its own view.
        """
        now = self._clock()
        with self._lock:
            for name in owned:
                self._pool(name, now)
            for name, pool in self._pools_by_name.items():
                self._refresh(name, pool, self._config.current(), now)
                self._expire(pool, now)
                self._pump(pool, now)

    def sweep(self) -> None:
        """Drops unconfirmed grants and pools that went to other owners; call every few seconds."""
        now = self._clock()
        with self._lock:
            for name, pool in list(self._pools_by_name.items()):
                self._count_dropped(pool.core.drop_unconfirmed(now), "unconfirmed")
                self._pump(pool, now)
                if not len(pool.core) and now - pool.used_at > KEEP_IDLE_S:
                    del self._pools_by_name[name]

    def loads(self, pool_name: str) -> Mapping[str, float]:
        """Gives the load of each engine of a pool decided here."""
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            return pool.core.loads() if pool is not None else {}

    def inspect(self, pool_name: str) -> tuple[int, list[EngineState]]:
        """Gives the length of a pool's queue and copies of its endpoints' states."""
        with self._lock:
            pool = self._pool(pool_name, self._clock())
            return len(pool.core.queue), pool.core.engines()

    def recent_chats(self, pool_name: str, endpoint_id: str, limit: int) -> list[str]:
        """Lists chats that an endpoint served last, the most recent first."""
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            return pool.core.recent_chats(endpoint_id, limit) if pool is not None else []

    def note_moved(self, pool_name: str, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """Takes where a plan has moved the contexts of chats."""
        now = self._clock()
        with self._lock:
            self._pool(pool_name, now).core.note_moved(source_id, target_by_chat, now)

    def pools(self) -> list[str]:
        """Lists the pools with state here."""
        with self._lock:
            return list(self._pools_by_name)

    def _pool(self, name: str, now: float) -> _Pool:
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = _Pool(PoolAdmission(self._base_policy, now), now)
        pool.used_at = now
        self._refresh(name, pool, self._config.current(), now)
        return pool

    def _refresh(self, name: str, pool: _Pool, config: ConfigState, now: float) -> None:
        if pool.revision != config.revision:
            pool.revision = config.revision
            pool.endpoint_by_id = {e.id: e for e in config.pool_endpoints(name)}
            pool.core.policy = configured_policy(self._base_policy, config.settings_by_name)
            pool.core.set_engines(
                {e.id: e.state is not EndpointState.ACTIVE for e in pool.endpoint_by_id.values()},
                now,
            )
            pool.leaving_version = -1
        if pool.leaving_version != self._leaving_version:
            pool.leaving_version = self._leaving_version
            pool.core.set_leaving(self._leaving, now)

    def _grant(self, name: str, pool: _Pool, placed: Placed) -> Grant:
        source = pool.endpoint_by_id.get(placed.kv_source or "")
        address: Address = pool.endpoint_by_id[placed.engine_id].address
        return Grant(
            placed.grant_id,
            name,
            placed.engine_id,
            address,
            self._router_id,
            source.address if source is not None else None,
        )

    def _pump(self, pool: _Pool, now: float) -> None:
        if not len(pool.core.queue):
            return
        for request, placed in pool.core.pump(now):
            waiting = self._waiting_by_grant.pop(request.grant_id, None)
            if waiting is None:
                pool.core.release(request.grant_id)
                continue
            waiting[0].set_result(Success(self._grant(waiting[1], pool, placed)))

    def _expire(self, pool: _Pool, now: float) -> None:
        for request, refusal in pool.core.expire(now):
            waiting = self._waiting_by_grant.pop(request.grant_id, None)
            if waiting is not None:
                waiting[0].set_result(Failure(refusal))

    def _release(self, pool: _Pool, grant_id: str, outcome: GrantOutcome) -> list[str]:
        """Ends one grant; gives the fingerprints whose crash count changed."""
        grant = pool.core.release(grant_id)
        if grant is None:
            return []
        if outcome is GrantOutcome.OK and grant.fingerprint:
            cleared = self._guard.completed(grant.fingerprint, self._wall_clock())
            return [grant.fingerprint] if cleared else []
        if outcome is GrantOutcome.REFUSED and grant.crash:
            # The request was granted before the crash but did not run.
            retracted = self._guard.retract(grant.crash, grant.fingerprint, self._wall_clock())
            return [grant.fingerprint] if retracted else []
        if outcome is not GrantOutcome.CRASHED:
            return []
        return self._crashed(pool, grant)

    def _crashed(self, pool: _Pool, grant: HeldGrant) -> list[str]:
        engine_id = grant.engine.id
        known = pool.crash_by_engine.get(engine_id)
        if known is not None and grant.granted_at <= known[1]:
            return self._guard.crashed(known[0], [grant.fingerprint], self._wall_clock())
        if known is not None and not pool.core.is_healthy(engine_id):
            # Granted after the engine went down, so the request was not involved.
            return []
        event = crash_event(engine_id, self._wall_clock())
        since = known[1] if known is not None else float("-inf")
        # Grants from before the previous crash are those whose routers have not noticed it yet.
        involved = [held for held in pool.core.in_flight_at(engine_id) if held.granted_at > since]
        for held in involved:
            held.crash = event
        now = self._clock()
        pool.crash_by_engine[engine_id] = (event, now)
        pool.core.set_healthy(engine_id, False, now)
        self._metrics.count("endpoint_crashes_total")
        fingerprints = [grant.fingerprint, *(held.fingerprint for held in involved)]
        return self._guard.crashed(event, fingerprints, self._wall_clock())

    def _spread_crashes(self, rumors: Iterable[tuple[str, bytes]]) -> None:
        for fingerprint, payload in rumors:
            version = int(self._wall_clock() * 1e3)
            self._spread("crash", fingerprint, version, payload, 600.0)

    def _count_dropped(self, dropped: int, reason: str) -> None:
        if dropped:
            self._metrics.count("grants_dropped_total", dropped, reason=reason)


def configured_policy(base: BoundPolicy, settings_by_name: Mapping[str, Any]) -> BoundPolicy:
    """Applies the settings of the configuration; values that are not allowed are passed over."""
    values: dict[str, Any] = {}
    for name in ("bound_multiple", "admit_multiple"):
        value = settings_by_name.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool) and 1 <= value <= 10:
            values[name] = float(value)
    if isinstance(settings_by_name.get("kv_import"), bool):
        values["kv_import"] = settings_by_name["kv_import"]
    policy = evolve(base, **values)
    if policy.bound_multiple < 1.01:
        return base
    if policy.admit_multiple > policy.bound_multiple:
        policy = evolve(policy, admit_multiple=policy.bound_multiple)
    return policy
