"""Admission state of the pools that this router owns, shared by the request threads."""

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
"""Longest wait in a pool's queue; an unresponsive owner delays a caller by little more."""
IDLE_POOL_TTL_S: Final = 600.0
"""Time after which the state of an unused pool with no grants is dropped.

A router that becomes the owner again within this time still has the table of recent engines.
"""

Decision = Result[Grant, Refusal]


@frozen
class GrantHolder:
    """Router process that holds a grant, or for which one is requested."""

    router_id: str
    process_id: int


@define(eq=False)
class _Pool:
    """One pool with the configuration applied to it."""

    core: PoolAdmission
    used_at: float
    """Time of the last call for the pool, in monotonic seconds."""
    revision: int = -1
    """Applied revision of the configuration."""
    leaving_version: int = -1
    """Applied version of the owner's set of leaving endpoints."""
    endpoint_by_id: dict[str, Endpoint] = field(factory=dict)
    crash_by_engine: dict[str, tuple[str, float]] = field(factory=dict)
    """Event id and time of the last crash of each engine; the time is in monotonic seconds."""


class PoolOwner:
    """Decides requests on the calling thread, under one lock; thread-safe.

    A decision takes some ten microseconds. Passing it to another thread and back would take longer
    than the decision, and up to the interpreter's switch interval under load.
    """

    def __init__(
        self,
        router_id: str,
        policy: BoundPolicy,
        config: ConfigSource,
        metrics: Metrics,
        broadcast_rumor: Callable[[str, str, int, bytes, float], None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._router_id = router_id
        self._base_policy = policy
        self._config = config
        self._metrics = metrics
        self._broadcast_rumor = broadcast_rumor
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.RLock()
        self._pools_by_name: dict[str, _Pool] = {}
        self._waiting_by_grant: dict[str, tuple[Future[Decision], str]] = {}
        self._grant_numbers = itertools.count(1)
        # The 31 high bits of grant ids differ between routers and between processes of a router.
        self._grant_prefix = stable_hash(router_id, repr(wall_clock())) >> 33 << 32
        self._guard = CrashGuard()
        self._leaving: frozenset[str] = frozenset()
        self._leaving_version = 0

    def refusal(self, fingerprint: str) -> Refusal | None:
        """Returns a refusal if the crash guard refuses the fingerprint, otherwise None."""
        if not fingerprint:
            return None
        with self._lock:
            if not self._guard.is_refused(fingerprint, self._wall_clock()):
                return None
        return Refusal(RefusalReason.CRASHES_ENDPOINTS, "the request has crashed endpoints")

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str], holder: GrantHolder
    ) -> Decision | Future[Decision]:
        """Decides a request, or returns a future if the request is queued.

        A caller that stops waiting before the future is done must pass it to `abandon`.

        Args:
            request: The request.
            excluded: Ids of endpoints at which the request has failed.
            holder: Router process that will hold the grant.
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
        """Withdraws the queued request of a future, or releases the grant if it was placed."""
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
        """Ends grants, places queued requests and broadcasts changed crash records.

        Args:
            pool_name: Pool of the grants.
            releases: Id and outcome of each grant; unknown ids are ignored.
        """
        changed: list[str] = []
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            if pool is None:
                return
            for grant_id, outcome in releases:
                changed += self._release(pool, grant_id, outcome)
            self._pump(pool, self._clock())
            rumors = [(f, self._guard.encode(f)) for f in changed]
        self._broadcast_crashes(rumors)

    def report(self, pool_name: str, holder: GrantHolder, grants: Iterable[ReportedGrant]) -> None:
        """Applies the complete list of a router's grants of a pool; see `PoolAdmission.report`."""
        now = self._clock()
        with self._lock:
            pool = self._pool(pool_name, now)
            wall_now = self._wall_clock()
            marked = [
                evolve(grant, suspect=self._guard.is_suspect(grant.fingerprint, wall_now))
                for grant in grants
            ]
            pool.core.report(holder.router_id, holder.process_id, marked, now)
            self._pump(pool, now)

    def confirm(self, pool_name: str, holder: GrantHolder, grant_ids: Collection[str]) -> list[str]:
        """Applies the ids of all grants of a pool that a router holds; returns the unknown ones."""
        now = self._clock()
        with self._lock:
            pool = self._pool(pool_name, now)
            unknown = pool.core.confirm(holder.router_id, holder.process_id, grant_ids, now)
            self._pump(pool, now)
            return unknown

    def drop_router(self, router_id: str, process_id: int | None) -> None:
        """Drops the grants of a dead router, or only of one of its processes."""
        with self._lock:
            for pool in self._pools_by_name.values():
                dropped = pool.core.drop_router(router_id, process_id)
                self._count_dropped(dropped, "router_dead")
                self._pump(pool, self._clock())

    def set_leaving(self, leaving: frozenset[str]) -> None:
        """Sets the endpoints that are announced to leave; applied on the next call or tick."""
        with self._lock:
            if leaving != self._leaving:
                self._leaving = leaving
                self._leaving_version += 1

    def record_poll_result(
        self, endpoint: Endpoint, started_at: float, healthy: bool | None, in_flight: float | None
    ) -> None:
        """Applies the result of a poll.

        Args:
            endpoint: Polled endpoint.
            started_at: Start of the poll in monotonic seconds. The success of a poll that started
                before the endpoint's last crash does not make the endpoint healthy.
            healthy: Whether the endpoint is healthy; None if the poll does not show it.
            in_flight: Load reported by the endpoint, if any.
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
        """Merges a rumor about a request that crashes endpoints; counts a malformed payload."""
        with self._lock:
            known = self._guard.merge(fingerprint, payload, self._wall_clock())
        if not known:
            self._metrics.count("malformed_rumors_total", kind="crash")

    def tick(self, owned: Collection[str]) -> None:
        """Applies configuration changes and expires queued requests; call a few times a second.

        Args:
            owned: Pools that this router owns according to its view of the membership.
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
        """Drops unconfirmed grants and the state of unused pools; call every few seconds."""
        now = self._clock()
        with self._lock:
            for name, pool in list(self._pools_by_name.items()):
                self._count_dropped(pool.core.drop_unconfirmed(now), "unconfirmed")
                self._pump(pool, now)
                if not len(pool.core) and now - pool.used_at > IDLE_POOL_TTL_S:
                    del self._pools_by_name[name]

    def loads(self, pool_name: str) -> Mapping[str, float]:
        """Returns the load of each engine of a pool; empty if there is no state of the pool."""
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            return pool.core.loads() if pool is not None else {}

    def inspect(self, pool_name: str) -> tuple[int, list[EngineState]]:
        """Returns the length of a pool's queue and copies of the states of its engines."""
        with self._lock:
            pool = self._pool(pool_name, self._clock())
            return len(pool.core.queue), pool.core.engines()

    def recent_chats(self, pool_name: str, endpoint_id: str, limit: int) -> list[str]:
        """Returns up to `limit` chats that an endpoint served last, the most recent first."""
        with self._lock:
            pool = self._pools_by_name.get(pool_name)
            return pool.core.recent_chats(endpoint_id, limit) if pool is not None else []

    def note_moved(self, pool_name: str, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """Records the endpoints to which a plan has moved the contexts of chats."""
        now = self._clock()
        with self._lock:
            self._pool(pool_name, now).core.note_moved(source_id, target_by_chat, now)

    def pools(self) -> list[str]:
        """Returns the names of the pools that have state on this router."""
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
        """Ends one grant and returns the fingerprints whose crash records changed."""
        grant = pool.core.release(grant_id)
        if grant is None:
            return []
        if outcome is GrantOutcome.OK and grant.fingerprint:
            cleared = self._guard.completed(grant.fingerprint, self._wall_clock())
            return [grant.fingerprint] if cleared else []
        if outcome is GrantOutcome.REFUSED and grant.crash:
            # The request was granted before the crash but did not run, so it is not involved.
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
            # The grant is newer than the crash and the engine is still down: not involved.
            return []
        event = crash_event(engine_id, self._wall_clock())
        since = known[1] if known is not None else float("-inf")
        # Grants older than the previous crash ended with it; their routers have not released them.
        involved = [held for held in pool.core.in_flight_at(engine_id) if held.granted_at > since]
        for held in involved:
            held.crash = event
        now = self._clock()
        pool.crash_by_engine[engine_id] = (event, now)
        pool.core.set_healthy(engine_id, False, now)
        self._metrics.count("endpoint_crashes_total")
        fingerprints = [grant.fingerprint, *(held.fingerprint for held in involved)]
        return self._guard.crashed(event, fingerprints, self._wall_clock())

    def _broadcast_crashes(self, rumors: Iterable[tuple[str, bytes]]) -> None:
        for fingerprint, payload in rumors:
            version = int(self._wall_clock() * 1e3)
            self._broadcast_rumor("crash", fingerprint, version, payload, 600.0)

    def _count_dropped(self, dropped: int, reason: str) -> None:
        if dropped:
            self._metrics.count("grants_dropped_total", dropped, reason=reason)


def configured_policy(base: BoundPolicy, settings_by_name: Mapping[str, Any]) -> BoundPolicy:
    """Returns the policy with the settings of the configuration; invalid values are ignored.

    The base policy is returned if the resulting bound multiple is below 1.01, and the admit
    multiple is capped at the bound multiple.
    """
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
