"""The task that finds plans, takes their leases and drives them."""

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
from sequoiadrum.interfaces import PlanNotices
from sequoiadrum.leases import LeaseObserver
from sequoiadrum.messages import MembersChanged, RumorReceived
from sequoiadrum.plan_driver import DriverParts, PlanDriver
from sequoiadrum.plan_keeper import Advance, Driven
from sequoiadrum.plan_store import PlanFailure, StoredPlan, with_write_id
from sequoiadrum.plans import PLAN_PREFIX
from sequoiadrum.tasks import Ask, Task

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from concurrent.futures import Executor

    from sequoiadrum.settings import Settings
    from sequoiadrum.timers import TimerService

TICK_S: Final = 1.0
DRIVERS: Final = 3
"""The first in the ranking and its standbys, which act when it does not reach the platform."""
STANDBY_S: Final = 0.8
"""Each standby waits this much longer, so that an accepted drain begins within 3 s."""
SCAN_S: Final = 10.0
"""Between two listings of the plans by a scout."""
DRIFT_S: Final = 30.0
SCOUTS: Final = 2
"""Routers that list the plans; the others hear of them by rumour."""
RUMOR_KIND: Final = "plan"
MAX_DRIVEN: Final = 64
"""Plans that one router drives at once; further ones wait for the next hint."""
KEPT_PLANS: Final = 200
"""Plans in a final state that stay on the platform; older ones are deleted by the scouts."""
_RUMOR_TTL_S: Final = 30.0
_WORKERS: Final = 4
_READS_PER_SCAN: Final = 20
_MAX_REMEMBERED: Final = 1_000
_HINT_S: Final = 60.0
"""A scout announces an open plan again before this time."""
_FULL_PAUSE_S: Final = 0.05

_log = structlog.get_logger(__name__)


@frozen
class Tick:
    """Advances what is driven and looks again at what others hold."""


@frozen
class Scan:
    """Lists the plans if this router is a scout."""


@frozen
class CheckDrift:
    """Compares the engines that this router checks with their declarations."""


@frozen
class PlanHint:
    """Someone knows a version of a plan."""

    plan_id: str
    version: int


@frozen
class _Advanced:
    plan_id: str
    outcome: Advance


@frozen
class _Read:
    plan_id: str
    result: Result[StoredPlan, PlanFailure]


@frozen
class _Listed:
    result: Result[Sequence[tuple[str, int]], PlanFailure]


@frozen
class _Worked:
    """A job of the executor has ended; `message` is what it found out."""

    key: str
    message: object


class _Release(Ask[None]):
    """Gives all leases up."""


class PlanTask(Task, PlanNotices):
    """Drives the plans whose rendezvous ranking begins with this router."""

    def __init__(
        self,
        parts: DriverParts,
        settings: Settings,
        process_id: int,
        on_invariant: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
        executor: Executor | None = None,
    ) -> None:
        """Prepares the task; it drives nothing before `start`.

        Args:
            parts: What the driver works with.
            settings: Lease time and load interval.
            process_id: Random number of this process, as its peers know it.
            on_invariant: Called when an invariant is broken.
            clock: Monotonic seconds.
            executor: Runs the blocking calls; by default a small thread pool.
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
        self._executor = executor or ThreadPoolExecutor(_WORKERS, thread_name_prefix="plans")
        self._usable: list[str] = [self._self_id]
        self._driven_by_id: dict[str, Driven] = {}
        self._busy: set[str] = set()
        self._next_read_by_id: dict[str, float] = {}
        self._hinted_at_by_id: OrderedDict[str, float] = OrderedDict()
        self._members_are_new = False
        self._final_versions_by_id: OrderedDict[str, int] = OrderedDict()
        parts.metrics.gauge("plans_driven", lambda: float(len(self._driven_by_id)))

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            Tick: self._tick,
            Scan: self._scan,
            CheckDrift: self._check_drift,
            PlanHint: self._hint,
            RumorReceived: self._rumor,
            MembersChanged: self._members_changed,
            _Worked: self._worked,
            _Release: self._release,
        }

    def start(self) -> None:
        """Subscribes to members and rumours, then starts the thread."""
        members = self._parts.membership.members()
        self._members_changed(MembersChanged(members))
        self._parts.membership.subscribe(self)
        super().start()

    def subscribe_timers(self, timers: TimerService) -> None:
        """Registers the periodic work."""
        timers.subscribe(self, TICK_S, Tick())
        timers.subscribe(self, SCAN_S, Scan())
        timers.subscribe(self, DRIFT_S, CheckDrift())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Finishes the running slices, gives the leases up and ends the thread."""
        self._executor.shutdown(wait=True, cancel_futures=True)
        try:
            self.ask(_Release()).result(timeout_s)
        except Exception as error:
            # The leases then expire by themselves.
            _log.warning("plans_not_released", error=repr(error)[:200])
        super().stop(timeout_s)

    def plan_changed(self, plan_id: str, version: int) -> None:
        """See `PlanNotices.plan_changed`."""
        self._spread(plan_id, version)
        self.post(PlanHint(plan_id, version))

    def _spread(self, plan_id: str, version: int) -> None:
        # The rumour's own version is a time, so that an unchanged plan is heard again by routers
        # which have become its driver since. A skewed clock only delays a notice until the next.
        heard = int(time.time() * 1e3)
        payload = str(version).encode()
        self._parts.membership.broadcast(RUMOR_KIND, plan_id, heard, payload, _RUMOR_TTL_S)

    def _members_changed(self, message: MembersChanged) -> None:
        usable = [member.id for member in message.members_by_id.values() if member.is_usable]
        self._usable = usable or [self._self_id]
        self._members_are_new = True

    def _rumor(self, message: RumorReceived) -> None:
        if message.kind != RUMOR_KIND:
            return
        try:
            self._hint(PlanHint(message.key, int(message.payload)))
        except ValueError:
            self.metrics.count("malformed_rumors_total", kind=RUMOR_KIND)

    def _scan(self, _: Scan) -> None:
        if self._self_id in rank("plans", self._usable)[:SCOUTS]:
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
        for plan_id, version in open_entries[:_READS_PER_SCAN]:
            if plan_id in self._driven_by_id:
                continue
            self._read(plan_id)
            if not self._is_first(plan_id):
                self._spread(plan_id, version)
        self._prune(entries)

    def _prune(self, entries: Sequence[tuple[str, int]]) -> None:
        store = self._parts.store
        final = [e for e in entries if self._final_versions_by_id.get(e[0]) == e[1]]
        for plan_id, version in final[KEPT_PLANS:][:_READS_PER_SCAN]:
            self._submit(f"delete {plan_id}", partial(store.delete, plan_id, version))

    def _hint(self, message: PlanHint) -> None:
        plan_id = message.plan_id
        driven = self._driven_by_id.get(plan_id)
        if driven is not None:
            driven.refresh |= message.version > driven.stored.version
        elif self._final_versions_by_id.get(plan_id, -1) < message.version:
            self._hinted_at_by_id[plan_id] = self._clock()
            self._hinted_at_by_id.move_to_end(plan_id)
            if len(self._hinted_at_by_id) > _MAX_REMEMBERED:
                self._hinted_at_by_id.popitem(last=False)
            self._consider(plan_id)

    def _consider(self, plan_id: str) -> None:
        if plan_id in self._driven_by_id:
            return
        position = self._position(plan_id)
        if position == 0:
            self._read(plan_id)
        elif position is not None:
            due = self._clock() + position * STANDBY_S
            self._next_read_by_id.setdefault(plan_id, due)

    def _is_first(self, plan_id: str) -> bool:
        return first_ranked(plan_id, self._usable) == self._self_id

    def _position(self, plan_id: str) -> int | None:
        """Gives the place of this router among the driver and its standbys."""
        drivers = rank(plan_id, self._usable)[:DRIVERS]
        return drivers.index(self._self_id) if self._self_id in drivers else None

    def _read(self, plan_id: str) -> None:
        store = self._parts.store
        self._submit(plan_id, lambda: _Read(plan_id, store.get(plan_id)))

    def _read_done(self, message: _Read) -> None:
        plan_id = message.plan_id
        if isinstance(message.result, Failure):
            if message.result.failure() is PlanFailure.UNAVAILABLE:
                self._watch(plan_id)
            else:
                self._forget(plan_id)
            return
        stored = message.result.unwrap()
        if stored.plan.state.is_final:
            self._forget(plan_id)
            self._remember_final(plan_id, stored.version)
        elif self._position(plan_id) is None:
            self._next_read_by_id.pop(plan_id, None)
            self._observer.forget(stored.plan.name)
        elif self._may_take(stored) and len(self._driven_by_id) < MAX_DRIVEN:
            self._forget(plan_id)
            self._driven_by_id[plan_id] = Driven(stored)
            self._advance(plan_id)
        else:
            self._watch(plan_id)

    def _watch(self, plan_id: str) -> None:
        self._next_read_by_id[plan_id] = self._clock() + self._observer.lease_s / 4

    def _may_take(self, stored: StoredPlan) -> bool:
        expired = self._observer.observe(stored.plan.name, stored.version, self._clock())
        lease = stored.plan.lease
        return lease is None or not lease.holder_id or expired

    def _forget(self, plan_id: str) -> None:
        self._next_read_by_id.pop(plan_id, None)
        self._hinted_at_by_id.pop(plan_id, None)
        self._observer.forget(PLAN_PREFIX + plan_id)

    def _remember_final(self, plan_id: str, version: int) -> None:
        self._final_versions_by_id[plan_id] = version
        if len(self._final_versions_by_id) > _MAX_REMEMBERED:
            self._final_versions_by_id.popitem(last=False)

    def _reconsider(self) -> None:
        """Looks at the plans heard of lately, whose driver may have died."""
        self._members_are_new = False
        oldest = self._clock() - _HINT_S
        for plan_id, heard_at in list(self._hinted_at_by_id.items()):
            if heard_at < oldest:
                del self._hinted_at_by_id[plan_id]
            else:
                self._consider(plan_id)

    def _tick(self, _: Tick) -> None:
        for plan_id in list(self._driven_by_id):
            self._advance(plan_id)
        if self._members_are_new:
            self._reconsider()
        now = self._clock()
        for plan_id in [p for p, due in self._next_read_by_id.items() if due <= now]:
            self._read(plan_id)

    def _advance(self, plan_id: str) -> None:
        driven = self._driven_by_id[plan_id]
        self._submit(plan_id, lambda: _Advanced(plan_id, self._driver.advance(driven)))

    def _advanced(self, message: _Advanced) -> None:
        if message.outcome is Advance.PROGRESS:
            self._advance(message.plan_id)
        elif message.outcome is Advance.FINISHED:
            driven = self._driven_by_id.pop(message.plan_id)
            state = driven.plan.state.value
            self._remember_final(message.plan_id, driven.stored.version)
            self.metrics.count("plans_finished_total", state=state)
            _log.info("plan_finished", plan=message.plan_id, state=state)
        elif message.outcome is Advance.LOST:
            del self._driven_by_id[message.plan_id]
            self.metrics.count("plans_lost_total")
            self._watch(message.plan_id)

    def _check_drift(self, _: CheckDrift) -> None:
        usable = list(self._usable)
        self._submit("drift", lambda: self._repair(usable))

    def _repair(self, usable: list[str]) -> None:
        """Creates repair plans; runs on the executor."""
        for plan in self._drift.check(usable, self._clock()):
            created = self._parts.store.write(with_write_id(plan), 0)
            if isinstance(created, Success):
                self.plan_changed(plan.id, created.unwrap().version)

    def _submit(self, key: str, work: Callable[[], object]) -> None:
        """Runs blocking work unless work with the same key is still running."""
        if key in self._busy:
            return
        self._busy.add(key)
        try:
            self._executor.submit(self._work, key, work)
        except RuntimeError:  # The executor is shut down at the planned stop.
            self._busy.discard(key)

    def _work(self, key: str, work: Callable[[], object]) -> None:
        message: object = None
        try:
            message = work()
        except Exception:  # One plan that cannot be carried out must not stop the others.
            _log.exception("plan_work_failed", key=key)
            self.metrics.count("plan_errors_total")
        # The key stays busy until this message is handled, so it must not be dropped.
        while not self.post(_Worked(key, message)):
            time.sleep(_FULL_PAUSE_S)

    def _worked(self, message: _Worked) -> None:
        self._busy.discard(message.key)
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
