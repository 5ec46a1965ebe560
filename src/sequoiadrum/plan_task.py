"""Task that finds plans, acquires their leases and drives them."""

from __future__ import annotations

import time
from collections import OrderedDict
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import structlog
from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum.drift_watch import DriftWatch
from sequoiadrum.hashing import first_ranked, rank
from sequoiadrum.interfaces import PlanListener
from sequoiadrum.leases import LeaseObserver
from sequoiadrum.messages import MembersChanged, RumorReceived
from sequoiadrum.plan_driver import DriverParts, PlanDriver
from sequoiadrum.plan_keeper import AdvanceResult, DrivenPlan
from sequoiadrum.plan_store import PlanFailure, StoredPlan, with_write_id
from sequoiadrum.plans import PLAN_PREFIX
from sequoiadrum.tasks import Ask, Task

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from concurrent.futures import Executor

    from sequoiadrum.settings import Settings
    from sequoiadrum.timers import TimerService

TICK_S: Final = 1.0
DRIVER_CANDIDATES: Final = 3
"""Number of routers that may drive a plan: the first in its ranking, and standbys that take over
if the first cannot reach the platform."""
STANDBY_DELAY_S: Final = 0.8
"""Additional delay of each standby; short enough that an accepted drain starts within 3 s."""
SCAN_INTERVAL_S: Final = 10.0
"""Interval between two listings of the plans by a listing router."""
DRIFT_CHECK_INTERVAL_S: Final = 30.0
LISTING_ROUTERS: Final = 2
"""Number of routers that list the plans; the others are informed by rumor."""
RUMOR_KIND: Final = "plan"
MAX_DRIVEN_PLANS: Final = 64
"""Maximum number of plans that one router drives at a time; other plans are read again later."""
MAX_FINISHED_PLANS: Final = 200
"""Plans in a final state that are kept on the platform; the listing routers delete older ones."""
_RUMOR_TTL_S: Final = 30.0
_WORKER_THREADS: Final = 4
_MAX_PLANS_PER_SCAN: Final = 20
"""Maximum number of plans that are read, and of plans that are deleted, after one listing."""
_MAX_TRACKED_PLANS: Final = 1_000
_HINT_LIFETIME_S: Final = 60.0
"""Longer than the interval at which the listing routers announce an unfinished plan again."""
_MAILBOX_RETRY_S: Final = 0.05

_log = structlog.get_logger(__name__)


@frozen
class Tick:
    """Advances the driven plans and reads plans that other routers may have stopped driving."""


@frozen
class Scan:
    """Lists the plans if this router is a listing router."""


@frozen
class CheckDrift:
    """Checks whether the engines assigned to this router hold their declared models."""


@frozen
class PlanHint:
    """A version of a plan is known to exist."""

    plan_id: str
    version: int


@frozen
class _Advanced:
    plan_id: str
    outcome: AdvanceResult


@frozen
class _Read:
    plan_id: str
    result: Result[StoredPlan, PlanFailure]


@frozen
class _Listed:
    result: Result[Sequence[tuple[str, int]], PlanFailure]


@frozen
class _Worked:
    """A job of the executor has ended."""

    key: str
    message: object
    """Result of the job; None if it has no result or failed."""


class _Release(Ask[None]):
    """Releases all leases."""


class PlanTask(Task, PlanListener):
    """Drives the plans in whose rendezvous ranking this router is first, or a standby."""

    is_needed = False

    def __init__(
        self,
        parts: DriverParts,
        settings: Settings,
        process_id: int,
        on_invariant: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
        executor: Executor | None = None,
    ) -> None:
        """Initializes the task; no plan is driven before `start`.

        Args:
            parts: Dependencies of the driver.
            settings: Provides the lease time and the interval between load orders.
            process_id: Random id of this process, which membership announces to the peers.
            on_invariant: Called when an invariant is violated.
            clock: Returns monotonic time in seconds.
            executor: Runs the blocking calls; a small thread pool by default.
        """
        super().__init__("plans", parts.metrics, on_invariant)
        self._parts = parts
        self._clock = clock
        self._self_id = parts.membership.self_id()
        self._driver = PlanDriver(
            parts, process_id, settings.plan_lease_s, settings.load_interval_s, clock
        )
        self._drift = DriftWatch(parts.config, parts.engines, self._self_id, parts.metrics)
        self._observer = LeaseObserver(settings.plan_lease_s)
        self._executor = executor or ThreadPoolExecutor(_WORKER_THREADS, thread_name_prefix="plans")
        self._usable_router_ids: list[str] = [self._self_id]
        self._driven_by_id: dict[str, DrivenPlan] = {}
        self._running_jobs: set[str] = set()
        self._next_read_by_id: dict[str, float] = {}
        self._hinted_at_by_id: OrderedDict[str, float] = OrderedDict()
        self._members_have_changed = False
        self._final_versions_by_id: OrderedDict[str, int] = OrderedDict()
        parts.metrics.gauge("plans_driven", lambda: float(len(self._driven_by_id)))

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            Tick: self._tick,
            Scan: self._scan,
            CheckDrift: self._check_drift,
            PlanHint: self._hint_received,
            RumorReceived: self._rumor_received,
            MembersChanged: self._members_changed,
            _Worked: self._job_ended,
            _Release: self._release,
        }

    def start(self) -> None:
        """Subscribes to membership changes and rumors, then starts the thread."""
        members = self._parts.membership.members()
        self._members_changed(MembersChanged(members))
        self._parts.membership.subscribe(self)
        super().start()

    def subscribe_timers(self, timers: TimerService) -> None:
        """Subscribes to the timers of the periodic work."""
        timers.subscribe(self, TICK_S, Tick())
        timers.subscribe(self, SCAN_INTERVAL_S, Scan())
        timers.subscribe(self, DRIFT_CHECK_INTERVAL_S, CheckDrift())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Cancels queued jobs, waits for running ones, releases the leases and stops the thread.

        Args:
            timeout_s: Maximum wait for the release of the leases, and then for each part of
                `Task.stop`.
        """
        self._executor.shutdown(wait=True, cancel_futures=True)
        try:
            self.ask(_Release()).result(timeout_s)
        except Exception as error:
            # Leases that were not released expire.
            _log.warning("plan_leases_not_released", error=repr(error)[:200])
        super().stop(timeout_s)

    def plan_changed(self, plan_id: str, version: int) -> None:
        """See `PlanListener.plan_changed`."""
        self._announce(plan_id, version)
        self.post(PlanHint(plan_id, version))

    def _announce(self, plan_id: str, version: int) -> None:
        # The version of the rumor is the current time, so that an unchanged plan is announced again
        # to routers that have become its driver since. A skewed clock can only suppress an
        # announcement until a later one.
        announced_at_ms = int(time.time() * 1e3)
        payload = str(version).encode()
        self._parts.membership.broadcast(
            RUMOR_KIND, plan_id, announced_at_ms, payload, _RUMOR_TTL_S
        )

    def _members_changed(self, message: MembersChanged) -> None:
        usable = [member.id for member in message.members_by_id.values() if member.is_usable]
        self._usable_router_ids = usable or [self._self_id]
        self._members_have_changed = True

    def _rumor_received(self, message: RumorReceived) -> None:
        if message.kind != RUMOR_KIND:
            return
        try:
            self._hint_received(PlanHint(message.key, int(message.payload)))
        except ValueError:
            self.metrics.count("malformed_rumors_total", kind=RUMOR_KIND)

    def _scan(self, _: Scan) -> None:
        if self._self_id in rank("plans", self._usable_router_ids)[:LISTING_ROUTERS]:
            self._submit("list", lambda: _Listed(self._parts.store.names()))

    def _listed(self, message: _Listed) -> None:
        if isinstance(message.result, Failure):
            return
        entries = message.result.unwrap()
        present = dict(entries)
        for plan_id, version in list(self._final_versions_by_id.items()):
            if present.get(plan_id) != version:
                del self._final_versions_by_id[plan_id]
        open_entries = [e for e in entries if self._final_versions_by_id.get(e[0]) != e[1]]
        for plan_id, version in open_entries[:_MAX_PLANS_PER_SCAN]:
            if plan_id in self._driven_by_id:
                continue
            self._read(plan_id)
            if not self._is_first_ranked(plan_id):
                self._announce(plan_id, version)
        self._delete_old_plans(entries)

    def _delete_old_plans(self, entries: Sequence[tuple[str, int]]) -> None:
        store = self._parts.store
        final = [e for e in entries if self._final_versions_by_id.get(e[0]) == e[1]]
        for plan_id, version in final[MAX_FINISHED_PLANS:][:_MAX_PLANS_PER_SCAN]:
            self._submit(f"delete {plan_id}", partial(store.delete, plan_id, version))

    def _hint_received(self, message: PlanHint) -> None:
        plan_id = message.plan_id
        driven = self._driven_by_id.get(plan_id)
        if driven is not None:
            driven.needs_refresh |= message.version > driven.stored.version
        elif self._final_versions_by_id.get(plan_id, -1) < message.version:
            self._hinted_at_by_id[plan_id] = self._clock()
            self._hinted_at_by_id.move_to_end(plan_id)
            if len(self._hinted_at_by_id) > _MAX_TRACKED_PLANS:
                self._hinted_at_by_id.popitem(last=False)
            self._schedule_by_rank(plan_id)

    def _schedule_by_rank(self, plan_id: str) -> None:
        """Reads a plan now if this router is the first driver, or later if it is a standby."""
        if plan_id in self._driven_by_id:
            return
        index = self._candidate_index(plan_id)
        if index == 0:
            self._read(plan_id)
        elif index is not None:
            due = self._clock() + index * STANDBY_DELAY_S
            self._next_read_by_id.setdefault(plan_id, due)

    def _is_first_ranked(self, plan_id: str) -> bool:
        return first_ranked(plan_id, self._usable_router_ids) == self._self_id

    def _candidate_index(self, plan_id: str) -> int | None:
        """Returns 0 if this router is the first driver, n if it is the nth standby, or None."""
        drivers = rank(plan_id, self._usable_router_ids)[:DRIVER_CANDIDATES]
        return drivers.index(self._self_id) if self._self_id in drivers else None

    def _read(self, plan_id: str) -> None:
        store = self._parts.store
        self._submit(plan_id, lambda: _Read(plan_id, store.get(plan_id)))

    def _read_done(self, message: _Read) -> None:
        plan_id = message.plan_id
        if isinstance(message.result, Failure):
            if message.result.failure() is PlanFailure.UNAVAILABLE:
                self._schedule_read(plan_id)
            else:
                self._forget(plan_id)
            return
        stored = message.result.unwrap()
        if stored.plan.state.is_final:
            self._forget(plan_id)
            self._record_final(plan_id, stored.version)
        elif self._candidate_index(plan_id) is None:
            self._next_read_by_id.pop(plan_id, None)
            self._observer.forget(stored.plan.name)
        elif self._can_take_over(stored) and len(self._driven_by_id) < MAX_DRIVEN_PLANS:
            self._forget(plan_id)
            self._driven_by_id[plan_id] = DrivenPlan(stored)
            self._advance(plan_id)
        else:
            self._schedule_read(plan_id)

    def _schedule_read(self, plan_id: str) -> None:
        self._next_read_by_id[plan_id] = self._clock() + self._observer.lease_s / 4

    def _can_take_over(self, stored: StoredPlan) -> bool:
        expired = self._observer.observe(stored.plan.name, stored.version, self._clock())
        lease = stored.plan.lease
        return lease is None or not lease.holder_id or expired

    def _forget(self, plan_id: str) -> None:
        self._next_read_by_id.pop(plan_id, None)
        self._hinted_at_by_id.pop(plan_id, None)
        self._observer.forget(PLAN_PREFIX + plan_id)

    def _record_final(self, plan_id: str, version: int) -> None:
        self._final_versions_by_id[plan_id] = version
        if len(self._final_versions_by_id) > _MAX_TRACKED_PLANS:
            self._final_versions_by_id.popitem(last=False)

    def _recheck_hints(self) -> None:
        """Schedules reads of recently announced plans, whose driver may have failed."""
        self._members_have_changed = False
        oldest = self._clock() - _HINT_LIFETIME_S
        for plan_id, hinted_at in list(self._hinted_at_by_id.items()):
            if hinted_at < oldest:
                del self._hinted_at_by_id[plan_id]
            else:
                self._schedule_by_rank(plan_id)

    def _tick(self, _: Tick) -> None:
        for plan_id in list(self._driven_by_id):
            self._advance(plan_id)
        if self._members_have_changed:
            self._recheck_hints()
        now = self._clock()
        for plan_id in [p for p, due in self._next_read_by_id.items() if due <= now]:
            self._read(plan_id)

    def _advance(self, plan_id: str) -> None:
        driven = self._driven_by_id[plan_id]
        self._submit(plan_id, lambda: _Advanced(plan_id, self._driver.advance(driven)))

    def _advanced(self, message: _Advanced) -> None:
        if message.outcome is AdvanceResult.PROGRESS:
            self._advance(message.plan_id)
        elif message.outcome is AdvanceResult.FINISHED:
            driven = self._driven_by_id.pop(message.plan_id)
            state = driven.plan.state.value
            self._record_final(message.plan_id, driven.stored.version)
            self.metrics.count("plans_finished_total", state=state)
            _log.info("plan_finished", plan=message.plan_id, state=state)
        elif message.outcome is AdvanceResult.LOST:
            del self._driven_by_id[message.plan_id]
            self.metrics.count("plans_lost_total")
            self._schedule_read(message.plan_id)

    def _check_drift(self, _: CheckDrift) -> None:
        usable = list(self._usable_router_ids)
        self._submit("drift", lambda: self._create_repair_plans(usable))

    def _create_repair_plans(self, usable: list[str]) -> None:
        """Creates repair plans for engines that lack declared models; runs on the executor."""
        for plan in self._drift.check(usable, self._clock()):
            created = self._parts.store.write(with_write_id(plan), 0)
            if isinstance(created, Success):
                self.plan_changed(plan.id, created.unwrap().version)

    def _submit(self, key: str, job: Callable[[], object]) -> None:
        """Runs a blocking job on the executor unless a job with the same key is still running."""
        if key in self._running_jobs:
            return
        self._running_jobs.add(key)
        try:
            self._executor.submit(self._run_job, key, job)
        except RuntimeError:  # A graceful shutdown has shut down the executor.
            self._running_jobs.discard(key)

    def _run_job(self, key: str, job: Callable[[], object]) -> None:
        message: object = None
        try:
            message = job()
        except Exception:  # A plan that cannot be executed must not stop the others.
            _log.exception("plan_job_failed", key=key)
            self.metrics.count("plan_errors_total")
        # The job counts as running until this message is handled, so it must not be dropped.
        while not self.post(_Worked(key, message)):
            time.sleep(_MAILBOX_RETRY_S)

    def _job_ended(self, message: _Worked) -> None:
        self._running_jobs.discard(message.key)
        if isinstance(message.message, _Advanced):
            self._advanced(message.message)
        elif isinstance(message.message, _Read):
            self._read_done(message.message)
        elif isinstance(message.message, _Listed):
            self._listed(message.message)

    def _release(self, ask: _Release) -> None:
        for driven in self._driven_by_id.values():
            self._driver.release(driven)
        self._driven_by_id.clear()
        ask.answer(None)
