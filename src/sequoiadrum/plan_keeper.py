"""Acquires and renews the lease of a plan and writes new versions of the plan."""

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


class AdvanceResult(Enum):
    """Result of one slice of work on a plan."""

    PROGRESS = "progress"
    """The next slice can run immediately."""
    WAIT = "wait"
    """No work is possible now; the next slice runs later."""
    LOST = "lost"
    """Another driver holds the lease, or the plan is missing or unreadable."""
    FINISHED = "finished"
    """The plan is in a final state."""


@define(eq=False)
class DrivenPlan:
    """State of a plan that this process drives or is about to take over."""

    stored: StoredPlan
    """Plan and version from the last confirmed read or write."""
    renewed_at: float = float("-inf")
    """Monotonic time in seconds at which the last confirmed write started."""
    unconfirmed_write: Plan | None = None
    """Plan of a write whose outcome is unknown; the write is retried before any other work."""
    needs_refresh: bool = False
    """Whether the plan must be read again: a newer version was announced, or a read failed."""
    progress_detail: str = ""
    """Progress of the current step; stored with the next lease renewal."""
    chats: Sequence[str] | None = None
    """Chats whose KV cache is to be moved; None until they are listed."""
    chats_tried: int = 0
    chats_moved: int = 0
    ordered_at_by_model: dict[str, float] = field(factory=dict)
    stale_orders: int = 0
    """Number of orders that engines refused because the fencing number was too low."""

    @property
    def plan(self) -> Plan:
        """The plan from the last confirmed read or write."""
        return self.stored.plan


class PlanKeeper:
    """Makes every write of a driver conditional on the last version that the driver confirmed."""

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

    def release(self, driven: DrivenPlan) -> None:
        """Releases the lease, so that the next driver does not have to wait until it expires."""
        lease = driven.plan.lease
        if lease is not None and self._holds_lease(driven.plan) and not driven.plan.state.is_final:
            self.write(driven, evolve(driven.plan, lease=lease.released()))

    def synchronize(self, driven: DrivenPlan) -> AdvanceResult | None:
        """Retries an unconfirmed write, reads an announced version, or obtains the lease.

        Returns:
            None if the lease is held and was renewed recently, or if the plan is in a final state;
            otherwise the result of the slice.
        """
        if driven.unconfirmed_write is not None:
            return self._put(driven, driven.unconfirmed_write)
        if driven.needs_refresh:
            driven.needs_refresh = False
            return self._reread(driven)
        if driven.plan.state.is_final:
            return None
        if not self._holds_lease(driven.plan):
            return self.acquire(driven)
        if self._clock() - driven.renewed_at >= self._lease_s / 3:
            return self.renew(driven)
        return None

    def _holds_lease(self, plan: Plan) -> bool:
        return plan.lease is not None and plan.lease.is_held_by(self._router_id, self._process_id)

    def acquire(self, driven: DrivenPlan) -> AdvanceResult:
        """Takes over the lease; if this process already holds it, raises its fencing number."""
        lease = take_over(self._router_id, self._process_id, driven.stored.version)
        return self.write(driven, evolve(driven.plan, lease=lease))

    def renew(self, driven: DrivenPlan) -> AdvanceResult | None:
        """Confirms the lease with a write; returns None if the lease is still held."""
        plan = driven.plan
        if driven.progress_detail and plan.state is PlanState.RUNNING:
            plan = evolve(plan, detail=driven.progress_detail)
        outcome = self.write(driven, plan)
        return None if outcome is AdvanceResult.PROGRESS else outcome

    def write(self, driven: DrivenPlan, plan: Plan) -> AdvanceResult:
        """Writes a new version of the plan."""
        return self._put(driven, with_write_id(plan))

    def _put(self, driven: DrivenPlan, plan: Plan) -> AdvanceResult:
        started = self._clock()
        written = self._store.write(plan, driven.stored.version)
        driven.unconfirmed_write = None
        if isinstance(written, Success):
            driven.stored = written.unwrap()
            driven.renewed_at = started
            return AdvanceResult.FINISHED if driven.plan.state.is_final else AdvanceResult.PROGRESS
        failure = written.failure()
        self._metrics.count("plan_write_failures_total", reason=failure.value)
        if failure is PlanFailure.CONFLICT:
            return self._reread(driven)
        if failure is PlanFailure.UNKNOWN:
            driven.unconfirmed_write = plan
        return AdvanceResult.WAIT

    def _reread(self, driven: DrivenPlan) -> AdvanceResult:
        """Reads the plan; returns `LOST` if this process no longer holds the lease."""
        found = self._store.get(driven.plan.id)
        if isinstance(found, Success):
            driven.stored = found.unwrap()
            if driven.plan.state.is_final:
                return AdvanceResult.FINISHED
            if self._holds_lease(driven.plan):
                return AdvanceResult.PROGRESS
            _log.info("plan_lease_lost", plan=driven.plan.id, lease=str(driven.plan.lease))
            return AdvanceResult.LOST
        if found.failure() is PlanFailure.UNAVAILABLE:
            driven.needs_refresh = True
            return AdvanceResult.WAIT
        return AdvanceResult.LOST

    def finish(
        self, driven: DrivenPlan, detail: str, revision: int = 0, state: StepState = StepState.DONE
    ) -> AdvanceResult:
        """Writes the plan with its current step ended; see `Plan.finish_step`."""
        driven.progress_detail = ""
        return self.write(driven, driven.plan.finish_step(detail, revision, state))

    def fail(self, driven: DrivenPlan, detail: str) -> AdvanceResult:
        """Starts the undo of a plan that failed; skips the current step of an undo."""
        if driven.plan.state is PlanState.UNDOING:
            return self.finish(driven, detail, state=StepState.SKIPPED)
        return self.write(driven, driven.plan.undo(PlanState.FAILED, detail))

    def defer(self, driven: DrivenPlan, reason: str) -> AdvanceResult:
        """Records why the current step cannot proceed and returns `WAIT`."""
        driven.progress_detail = reason
        return AdvanceResult.WAIT
