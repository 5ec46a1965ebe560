"""Places requests on the engines of one pool under a load bound; performs no I/O."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING, Final

from attrs import define, field

from sequoiadrum.admission_queue import AdmissionQueue
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import chat_score, stable_hash
from sequoiadrum.placement import (
    SLOW_START_S,
    BoundPolicy,
    EngineState,
    RecentEngineTable,
)
from sequoiadrum.pool_messages import HeldGrant, Placed, Waiting

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sequoiadrum.pool_messages import PoolRequest, ReportedGrant

SETTLE_S: Final = 5.0
"""Time for which a new owner adds the engines' reported load to its own counts.

It equals one interval of the routers' periodic reports, so that the owner also receives the report
of a router that missed the change of owner.
"""
GRANT_LEASE_S: Final = 16.0
"""A grant that no report confirms for this long is dropped; routers report twice in this time."""
MISSING_GRACE_S: Final = 3.0
"""Age below which a grant may be missing in its router's report, as the router may not have
received it yet."""


@define(eq=False)
class PoolAdmission:
    """Engine loads, placements and queue of one pool, kept by the router that owns the pool."""

    policy: BoundPolicy
    started_at: float = 0.0
    """Time at which this router became the pool owner, in monotonic seconds."""
    recent: RecentEngineTable = field(factory=RecentEngineTable)
    queue: AdmissionQueue[PoolRequest] = field(factory=AdmissionQueue)
    spills: int = 0
    """Requests placed on another engine than the one that last served their chat."""
    _engine_by_id: dict[str, EngineState] = field(factory=dict)
    _usable: list[EngineState] = field(factory=list)
    _total: float = 0.0
    _warm_at: float = 0.0
    _grant_by_id: dict[str, HeldGrant] = field(factory=dict)
    _evicted: list[PoolRequest] = field(factory=list)

    def set_engines(self, draining_by_id: Mapping[str, bool], now: float) -> None:
        """Applies the declared engines; one that joins a running pool goes through slow start.

        Args:
            draining_by_id: Whether each declared engine is draining; others are undeclared.
            now: Monotonic seconds.
        """
        joins_late = bool(self._engine_by_id)
        for engine_id, draining in draining_by_id.items():
            engine = self._engine_by_id.get(engine_id)
            if engine is None:
                engine = self._engine_by_id[engine_id] = EngineState.of(engine_id)
                engine.warm_at = now + SLOW_START_S if joins_late else now
            engine.declared, engine.draining = True, draining
        for engine_id, engine in list(self._engine_by_id.items()):
            if engine_id not in draining_by_id:
                engine.declared = False
                # The table of recent engines may still refer to the removed engine.
                engine.update_usable()
                if engine.load <= 0:
                    del self._engine_by_id[engine_id]
        self._refresh(now)

    def set_leaving(self, leaving: Collection[str], now: float) -> None:
        """Applies the complete set of engines that are announced to leave."""
        for engine in self._engine_by_id.values():
            engine.leaving = engine.id in leaving
        self._refresh(now)

    def set_healthy(self, engine_id: str, healthy: bool, now: float) -> None:
        """Applies an engine's health; a recovered engine goes through slow start."""
        engine = self._engine_by_id.get(engine_id)
        if engine is None or engine.healthy is healthy:
            return
        engine.healthy = healthy
        if healthy:
            engine.warm_at = now + SLOW_START_S
        self._refresh(now)

    def record_load(self, engine_id: str, in_flight: float, now: float) -> None:
        """Records an engine's load report.

        A new owner counts the reported load that exceeds its known grants as unattributed.
        """
        engine = self._engine_by_id.get(engine_id)
        if engine is None:
            return
        engine.reported = in_flight
        if self._is_settling(now):
            engine.unattributed_load = max(0.0, in_flight - engine.load)

    def acquire(self, request: PoolRequest, now: float) -> Placed | Waiting | Refusal:
        """Places a request, queues it or refuses it.

        A full queue may evict a queued request of another account instead; the next call of
        `expire` returns the evicted request.
        """
        if not len(self.queue):
            placed = self._place(request, now)
            if placed is not None:
                return placed
        if not any(e.id not in request.excluded for e in self._usable):
            return Refusal(RefusalReason.NO_ENDPOINT, "no endpoint of the pool is usable", 1_000)
        evicted = self.queue.push(request)
        if evicted is request:
            return self._refuse_full("the queue of the pool is full")
        if evicted is not None:
            self._evicted.append(evicted)
        return Waiting()

    def pump(self, now: float) -> list[tuple[PoolRequest, Placed]]:
        """Places queued requests as long as engines have room and returns their placements."""
        placed: list[tuple[PoolRequest, Placed]] = []

        def fits(request: PoolRequest) -> bool:
            outcome = self._place(request, now)
            if outcome is not None:
                placed.append((request, outcome))
            return outcome is not None

        while len(self.queue) and self.queue.take(fits) is not None:
            pass
        return placed

    def expire(self, now: float) -> list[tuple[PoolRequest, Refusal]]:
        """Returns refusals for queued requests whose deadline has passed or that were evicted."""
        expired = [
            (r, self._refuse_full("no engine had room in time")) for r in self.queue.expire(now)
        ]
        evicted = [(r, self._refuse_full("the queue of the pool is full")) for r in self._evicted]
        self._evicted.clear()
        return expired + evicted

    def withdraw(self, grant_id: str) -> None:
        """Removes a request from the queue."""
        self.queue.remove(lambda request: request.grant_id == grant_id)

    def release(self, grant_id: str) -> HeldGrant | None:
        """Ends a grant and returns it, or None if the grant is unknown."""
        grant = self._grant_by_id.pop(grant_id, None)
        if grant is None:
            return None
        engine = grant.engine
        engine.load -= grant.cost
        engine.suspects -= grant.suspect
        if engine.usable:
            self._total -= grant.cost
        elif not engine.declared and engine.load <= 0:
            self._engine_by_id.pop(engine.id, None)
        if not self._grant_by_id:
            self._reset_loads()
        return grant

    def in_flight_at(self, engine_id: str) -> list[HeldGrant]:
        """Returns the grants in flight at one engine."""
        return [grant for grant in self._grant_by_id.values() if grant.engine.id == engine_id]

    def report(
        self, router_id: str, process_id: int, grants: Iterable[ReportedGrant], now: float
    ) -> None:
        """Reconciles the grants with the complete list that a router reports.

        Adds reported grants that are unknown and drops grants that are missing in the report, as
        well as those of an earlier process of the router.
        """
        held = {grant.grant_id: grant for grant in grants}
        for grant_id in self.confirm(router_id, process_id, held, now):
            reported = held[grant_id]
            engine = self._engine_by_id.get(reported.engine_id)
            if engine is not None:
                self._add_grant(
                    grant_id,
                    HeldGrant(
                        engine,
                        reported.cost,
                        router_id,
                        process_id,
                        reported.fingerprint,
                        reported.suspect,
                        now,
                        now,
                    ),
                )
                engine.unattributed_load = max(0.0, engine.unattributed_load - reported.cost)
                self.recent.record(stable_hash(reported.chat_id), engine, now)

    def confirm(
        self, router_id: str, process_id: int, grant_ids: Collection[str], now: float
    ) -> list[str]:
        """Confirms the grants that a router reports and drops those missing in the report.

        Args:
            router_id: Router that reports.
            process_id: Process of the router that reports.
            grant_ids: Ids of all grants that the router holds.
            now: Monotonic seconds.

        Returns:
            The reported ids that are not known here.
        """
        held = set(grant_ids)
        for grant_id, grant in list(self._grant_by_id.items()):
            if grant.router_id != router_id:
                continue
            if grant_id in held:
                grant.confirmed_at = now
                continue
            if grant.router_process_id != process_id or now - grant.granted_at > MISSING_GRACE_S:
                self.release(grant_id)
        return [grant_id for grant_id in held if grant_id not in self._grant_by_id]

    def drop_router(self, router_id: str, process_id: int | None = None) -> int:
        """Drops the grants and queued requests of a dead router, or of one process of it.

        Args:
            router_id: Id of the router.
            process_id: Earlier process of the router; None for all processes.

        Returns:
            The number of dropped grants.
        """
        dropped = [
            grant_id
            for grant_id, grant in self._grant_by_id.items()
            if grant.router_id == router_id and process_id in (None, grant.router_process_id)
        ]
        for grant_id in dropped:
            self.release(grant_id)
        self.queue.remove(
            lambda r: r.router_id == router_id and process_id in (None, r.router_process_id)
        )
        return len(dropped)

    def drop_unconfirmed(self, now: float) -> int:
        """Drops grants without a confirmation for `GRANT_LEASE_S` and returns their number."""
        dropped = [
            grant_id
            for grant_id, grant in self._grant_by_id.items()
            if now - grant.confirmed_at > GRANT_LEASE_S
        ]
        for grant_id in dropped:
            self.release(grant_id)
        return len(dropped)

    def loads(self) -> dict[str, float]:
        """Returns the load of each engine by engine id."""
        return {engine.id: engine.load for engine in self._engine_by_id.values()}

    def engines(self) -> list[EngineState]:
        """Returns copies of the engines' states."""
        return [copy(engine) for engine in self._engine_by_id.values()]

    def recent_chats(self, engine_id: str, limit: int) -> list[str]:
        """Returns ids of chats that an engine recently served, the most recent first."""
        return self.recent.recent_chat_ids(engine_id, limit)

    def note_moved(self, source_id: str, target_by_chat: Mapping[str, str], now: float) -> None:
        """Records the engines to which the contexts of chats were moved from another engine.

        A chat that another engine has served in the meantime keeps that engine.
        """
        for chat_id, target_id in target_by_chat.items():
            chat_hash = stable_hash(chat_id)
            last = self.recent.last_engine(chat_hash)
            target = self._engine_by_id.get(target_id)
            if target is not None and (last is None or last.id == source_id):
                self.recent.record(chat_hash, target, now)
                self.recent.record_chat_id(target_id, chat_id)

    def is_healthy(self, engine_id: str) -> bool:
        """Returns whether an engine is known and healthy."""
        engine = self._engine_by_id.get(engine_id)
        return engine is not None and engine.healthy

    def __len__(self) -> int:
        return len(self._grant_by_id)

    def _place(self, request: PoolRequest, now: float) -> Placed | None:
        if not self._usable:
            return None
        chat_hash = stable_hash(request.chat_id)
        last = self._last_engine(chat_hash, request, now)
        preferred = self.recent.displaced_from(chat_hash, now) or last
        engines = self._engine_count(now)
        if preferred is not None and self._has_room(preferred, request, engines, now):
            chosen: EngineState | None = preferred
        elif last is not preferred and last and self._has_room(last, request, engines, now):
            chosen = last
        else:
            chosen = self._spill_target(chat_hash, request, engines, now)
        if chosen is None:
            return None
        if last is not None and chosen is not last:
            self.spills += 1
        self.recent.record(chat_hash, chosen, now)
        self.recent.record_chat_id(chosen.id, request.chat_id)
        self._add_grant(
            request.grant_id,
            HeldGrant(
                chosen,
                request.cost,
                request.router_id,
                request.router_process_id,
                request.fingerprint,
                request.suspect,
                now,
                now,
            ),
        )
        moved = last is not None and last is not chosen and last.healthy and last.declared
        source = last.id if last is not None and moved and self.policy.kv_import else None
        return Placed(request.grant_id, chosen.id, source, chosen is last)

    def _last_engine(self, chat_hash: int, request: PoolRequest, now: float) -> EngineState | None:
        """Returns the engine that last served a chat; the router's hint fills a missing entry."""
        last = self.recent.last_engine(chat_hash)
        if last is None and request.last_engine:
            last = self._engine_by_id.get(request.last_engine)
            if last is not None:
                self.recent.record(chat_hash, last, now)
        return last

    def _spill_target(
        self, chat_hash: int, request: PoolRequest, engines: float, now: float
    ) -> EngineState | None:
        """Returns an engine for a chat whose preferred engine is unknown or has no room."""
        choices = self.policy.cold_choices
        if choices == 1:
            # The ranking covers all engines, usable or not, so that a chat whose table entry was
            # lost returns to the engine on which an earlier owner placed it.
            home = max(
                self._engine_by_id.values(),
                key=lambda e: chat_score(chat_hash, e.id_hash),
                default=None,
            )
            if home is not None and self._has_room(home, request, engines, now):
                return home
        if choices != 0:
            order = sorted(
                self._engine_by_id.values(),
                key=lambda e: chat_score(chat_hash, e.id_hash),
                reverse=True,
            )
            first = [e for e in order[:choices] if self._has_room(e, request, engines, now)]
            if first:
                return min(first, key=lambda e: e.load / e.weight(now))
            for engine in order[choices:]:
                if self._has_room(engine, request, engines, now):
                    return engine
        return self._least_loaded(chat_hash, request, engines, now)

    def _least_loaded(
        self, chat_hash: int, request: PoolRequest, engines: float, now: float
    ) -> EngineState | None:
        """Returns the least loaded engine with room under `bound_multiple`, or None.

        The admission multiple would be too strict here: rounding alone can leave no engine with
        room below it.
        """
        bound = self.policy.bound_multiple
        candidates = self._usable
        is_unrestricted = not (request.suspect or request.excluded)
        if now < self._warm_at or self._is_settling(now) or not is_unrestricted:
            candidates = [e for e in candidates if self._has_room(e, request, engines, now, bound)]
            if not candidates:
                return None
            load_by_id = {e.id: self._load(e, now) / e.weight(now) for e in candidates}
            least = min(load_by_id.values())
            ties = [e for e in candidates if load_by_id[e.id] <= least]
        else:
            least = min([e.load for e in candidates])
            ties = [e for e in candidates if e.load <= least]
            # All engines have the same cap here, so if the least loaded one is full, all are.
            if not self._has_room(ties[0], request, engines, now, bound):
                return None
        # The ranking breaks ties, so that chats are distributed over an idle pool.
        return max(ties, key=lambda e: chat_score(chat_hash, e.id_hash))

    def _has_room(
        self,
        engine: EngineState,
        request: PoolRequest,
        engines: float,
        now: float,
        multiple: float | None = None,
    ) -> bool:
        if not engine.usable or engine.id in request.excluded:
            return False
        if request.suspect and engine.suspects:
            return False
        load = self._load(engine, now)
        if load <= 0:
            return True
        total = self._settling_total(now) if self._is_settling(now) else self._total
        multiple = self.policy.admit_multiple if multiple is None else multiple
        cap = self.policy.cap(multiple, total + request.cost, engines, request.cost)
        return load + request.cost <= cap * engine.weight(now) + 1e-9

    def _load(self, engine: EngineState, now: float) -> float:
        return engine.load + engine.unattributed_load if self._is_settling(now) else engine.load

    def _is_settling(self, now: float) -> bool:
        return now - self.started_at < SETTLE_S

    def _settling_total(self, now: float) -> float:
        return sum(self._load(engine, now) for engine in self._usable)

    def _engine_count(self, now: float) -> float:
        """Returns the number of usable engines, with an engine in slow start counted by its weight.

        A joining engine therefore lowers the cap of the others gradually.
        """
        if now >= self._warm_at:
            return len(self._usable)
        return sum(engine.weight(now) for engine in self._usable)

    def _add_grant(self, grant_id: str, grant: HeldGrant) -> None:
        self._grant_by_id[grant_id] = grant
        grant.engine.load += grant.cost
        grant.engine.suspects += grant.suspect
        if grant.engine.usable:
            self._total += grant.cost

    def _refresh(self, now: float) -> None:
        for engine in self._engine_by_id.values():
            engine.update_usable()
        self._usable = [engine for engine in self._engine_by_id.values() if engine.usable]
        self._total = sum(engine.load for engine in self._usable)
        self._warm_at = max((engine.warm_at for engine in self._usable), default=now)

    def _reset_loads(self) -> None:
        """Zeroes all loads to remove the rounding errors that fractional costs accumulate."""
        self._total = 0.0
        for engine in self._engine_by_id.values():
            engine.load = 0.0

    def _refuse_full(self, detail: str) -> Refusal:
        return Refusal(RefusalReason.POOL_FULL, detail, 200 + 2 * len(self.queue))
