"""Holds the lease of a driven plan and writes its versions."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import structlog
from attrs import define, evolve, field
from returns.result import Success

from sequoiadrum.leases import take_over
from sequoiadrum.plan_store import PlanFailure, PlanStore, StoredPlan, with_write_id
from sequoiadrum.plans import Plan, PlanState, StepState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.metrics import Metrics

_log = structlog.get_logger(__name__)


class Advance(Enum):
    """What a slice of work came to."""

    PROGRESS = "progress"
    """There is more to do at once."""
    WAIT = "wait"
    """Nothing can be done now; ask again later."""
    LOST = "lost"
    """Another driver has the plan, or it is gone."""
    FINISHED = "finished"
    """The plan is in a final state."""


@define(eq=False)
class Driven:
    """A plan that this process drives, or is about to take over."""

    stored: StoredPlan
    """The version that the last confirmed read or write gave."""
    renewed_at: float = float("-inf")
    """Monotonic time at which the last confirmed write began."""
    unconfirmed: Plan | None = None
    """A write whose outcome is unknown; it is repeated before anything else."""
    refresh: bool = False
    """Whether someone else has announced a newer version."""
    note: str = ""
    """Progress within the step; stored with the next renewal."""
    chats: Sequence[str] | None = None
    """Chats whose KV cache is to be moved."""
    chats_tried: int = 0
    chats_moved: int = 0
    ordered_at_by_model: dict[str, float] = field(factory=dict)
    stale_orders: int = 0
    """Orders of this driver that an engine refused because of their fencing number."""

    @property
    def plan(self) -> Plan:
        """The plan as last confirmed."""
        return self.stored.plan


class PlanKeeper:
    """Makes every write of a driver conditional on the version that it saw."""

    def __init__(
        self,
        store: PlanStore,
        router_id: str,
        process_id: int,
        lease_s: float,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._router_id = router_id
        self._process_id = process_id
        self._lease_s = lease_s
        self._metrics = metrics
        self._clock = clock

    def release(self, driven: Driven) -> None:
        """Gives the lease up, so that the next driver need not wait for its expiry."""
        lease = driven.plan.lease
        if lease is not None and self._is_mine(driven.plan) and not driven.plan.state.is_final:
            self.write(driven, evolve(driven.plan, lease=lease.released()))

    def settle(self, driven: Driven) -> Advance | None:
        """Resolves an unknown write, reads news, and makes sure that the lease is held."""
        if driven.unconfirmed is not None:
            return self._put(driven, driven.unconfirmed)
        if driven.refresh:
            driven.refresh = False
            return self._reread(driven)
        if driven.plan.state.is_final:
            return None
        if not self._is_mine(driven.plan):
            return self.acquire(driven)
        if self._clock() - driven.renewed_at >= self._lease_s / 3:
            return self.renew(driven)
        return None

    def _is_mine(self, plan: Plan) -> bool:
        return plan.lease is not None and plan.lease.is_held_by(self._router_id, self._process_id)

    def acquire(self, driven: Driven) -> Advance:
        """Takes the lease over, also from an older fencing number of this process."""
        lease = take_over(self._router_id, self._process_id, driven.stored.version)
        return self.write(driven, evolve(driven.plan, lease=lease))

    def renew(self, driven: Driven) -> Advance | None:
        """Confirms the lease with a write; None when it is still held."""
        plan = driven.plan
        if driven.note and plan.state is PlanState.RUNNING:
            plan = evolve(plan, detail=driven.note)
        outcome = self.write(driven, plan)
        return None if outcome is Advance.PROGRESS else outcome

    def write(self, driven: Driven, plan: Plan) -> Advance:
        """Writes a new version of the plan."""
        return self._put(driven, with_write_id(plan))

    def _put(self, driven: Driven, plan: Plan) -> Advance:
        started = self._clock()
        written = self._store.write(plan, driven.stored.version)
        driven.unconfirmed = None
        if isinstance(written, Success):
            driven.stored = written.unwrap()
            driven.renewed_at = started
            return Advance.FINISHED if driven.plan.state.is_final else Advance.PROGRESS
        failure = written.failure()
        self._metrics.count("plan_write_failures_total", reason=failure.value)
        if failure is PlanFailure.CONFLICT:
            return self._reread(driven)
        if failure is PlanFailure.UNKNOWN:
            driven.unconfirmed = plan
        return Advance.WAIT

    def _reread(self, driven: Driven) -> Advance:
        """Adopts a version that someone else wrote, if the lease in it is still held here."""
        found = self._store.get(driven.plan.id)
        if isinstance(found, Success):
            driven.stored = found.unwrap()
            if driven.plan.state.is_final:
                return Advance.FINISHED
            if self._is_mine(driven.plan):
                return Advance.PROGRESS
            _log.info("plan_lost", plan=driven.plan.id, lease=str(driven.plan.lease))
            return Advance.LOST
        if found.failure() is PlanFailure.UNAVAILABLE:
            driven.refresh = True
            return Advance.WAIT
        return Advance.LOST

    def finish(
        self, driven: Driven, detail: str, revision: int = 0, state: StepState = StepState.DONE
    ) -> Advance:
        """Writes the end of the current step."""
        driven.note = ""
        return self.write(driven, driven.plan.finish_step(detail, revision, state))

    def fail(self, driven: Driven, detail: str) -> Advance:
        """Ends the plan as failed after putting the endpoints back."""
        if driven.plan.state is PlanState.UNDOING:
            return self.finish(driven, detail, state=StepState.SKIPPED)
        return self.write(driven, driven.plan.undo(PlanState.FAILED, detail))

    def wait(self, driven: Driven, note: str) -> Advance:
        """Notes why nothing can be done now."""
        driven.note = note
        return Advance.WAIT
