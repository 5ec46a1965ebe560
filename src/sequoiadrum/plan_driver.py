"""Executes the steps of plans in slices of bounded duration."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import structlog
from attrs import evolve, frozen
from returns.result import Failure, Success

from sequoiadrum.configuration import ChangeConflict, ChangeRequest, InvalidChange, ObjectKind
from sequoiadrum.engine_client import EngineFailure, EngineOrder
from sequoiadrum.messages import EndpointKind, EndpointState, MemberState
from sequoiadrum.placement import home_engine_id
from sequoiadrum.plan_keeper import AdvanceResult, DrivenPlan, PlanKeeper
from sequoiadrum.plans import PlanKind, PlanState, StepName, StepState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.configuration import Change
    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.interfaces import ConfigSource, ConfigWriter, PoolInspector
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.messages import Endpoint
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.plan_store import PlanStore

_MAX_MOVED_CHATS: Final = 1_000
"""Maximum number of chats whose KV cache a plan moves; others are imported on their next use."""
_CHATS_PER_SLICE: Final = 20
"""Maximum number of chats that are moved between two checks of the lease."""
_LOAD_TIMEOUT_S: Final = 60.0
"""The load order is sent again if the engine does not report the model within this time."""

_MAX_STALE_ORDERS: Final = 3
"""More refused fencing numbers are not due to a race; the order is not retried immediately."""

_log = structlog.get_logger(__name__)


class LoadOrderLimiter:
    """Enforces a minimum interval between load orders; thread-safe."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._next_at = float("-inf")

    def try_acquire(self, now: float) -> bool:
        """Returns whether a load order may be sent now; if so, the next interval starts."""
        with self._lock:
            if now < self._next_at:
                return False
            self._next_at = now + self._interval_s
            return True


@frozen
class DriverParts:
    """Dependencies of a driver."""

    store: PlanStore
    config: ConfigSource
    writer: ConfigWriter
    engines: EngineClient
    inspector: PoolInspector
    membership: MembershipSource
    metrics: Metrics


class PlanDriver:
    """Advances plans; every call blocks on the platform or on engines for a bounded time.

    A driver can be paused at any point, lose its lease and continue later. Two rules prevent such
    a driver from doing harm:

    - A configuration change carries the version that was read before the lease was last confirmed
      by a conditional write. Any change by a later driver raises that version, so the delayed
      change conflicts.
    - An order carries the fencing number of the lease. Engines that do not check fencing numbers
      receive only orders that are harmless when they arrive late.
    """

    def __init__(
        self,
        parts: DriverParts,
        process_id: int,
        lease_s: float,
        load_interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._lease_s = lease_s
        router_id = parts.membership.self_id()
        self._keeper = PlanKeeper(parts.store, router_id, process_id, lease_s, parts.metrics, clock)
        self._load_limiter = LoadOrderLimiter(load_interval_s)
        self._clock = clock
        self._handlers_by_step: Final[dict[StepName, Callable[[DrivenPlan], AdvanceResult]]] = {
            StepName.LOAD_MODELS: self._load_models,
            StepName.ACTIVATE_TARGET: self._activate_target,
            StepName.MARK_DRAINING: self._mark_draining,
            StepName.MOVE_KV: self._move_kv,
            StepName.WAIT_IDLE: self._wait_idle,
            StepName.MARK_REMOVED: self._mark_removed,
            StepName.UNLOAD_SOURCE: self._unload_source,
            StepName.RESTORE_SOURCE: self._restore_source,
            StepName.RESTORE_TARGET: self._restore_target,
        }

    def advance(self, driven: DrivenPlan) -> AdvanceResult:
        """Executes one slice of bounded duration.

        A slice takes over the lease if this process does not hold it. The caller must have checked
        that the lease was released or has expired.
        """
        outcome = self._keeper.synchronize(driven)
        if outcome is not None:
            return outcome
        if driven.plan.state.is_final:
            return AdvanceResult.FINISHED
        step = driven.plan.current_step
        if step is None:
            return self._keeper.write(
                driven, driven.plan.undo(PlanState.FAILED, "no step is pending")
            )
        return self._handlers_by_step[step.name](driven)

    def release(self, driven: DrivenPlan) -> None:
        """See `PlanKeeper.release`."""
        self._keeper.release(driven)

    # Steps that change the configuration

    def _activate_target(self, driven: DrivenPlan) -> AdvanceResult:
        return self._set_endpoint_state(driven, driven.plan.target_id, EndpointState.ACTIVE.value)

    def _mark_draining(self, driven: DrivenPlan) -> AdvanceResult:
        return self._set_endpoint_state(
            driven, driven.plan.endpoint_id, EndpointState.DRAINING.value
        )

    def _mark_removed(self, driven: DrivenPlan) -> AdvanceResult:
        return self._set_endpoint_state(
            driven, driven.plan.endpoint_id, EndpointState.REMOVED.value
        )

    def _restore_source(self, driven: DrivenPlan) -> AdvanceResult:
        return self._set_endpoint_state(driven, driven.plan.endpoint_id, driven.plan.endpoint_state)

    def _restore_target(self, driven: DrivenPlan) -> AdvanceResult:
        return self._set_endpoint_state(driven, driven.plan.target_id, driven.plan.target_state)

    def _set_endpoint_state(
        self, driven: DrivenPlan, endpoint_id: str, state: str
    ) -> AdvanceResult:
        step = driven.plan.current_step
        assert step is not None
        change_id = driven.plan.change_id(step.name)
        # The version must be read before the lease is confirmed; see the class docstring.
        found = self._parts.config.current().changes_by_key.get((ObjectKind.ENDPOINT, endpoint_id))
        if found is None or found.value is None:
            return self._keeper.fail(driven, f"endpoint {endpoint_id} is not declared")
        if step.name is StepName.MARK_REMOVED and self._is_reactivated(driven, found):
            return self._keeper.fail(driven, f"{endpoint_id} was made active by {found.change_id}")
        renewed = self._keeper.renew(driven)
        if renewed is not None:
            return renewed
        if driven.plan.current_step != step:
            return AdvanceResult.PROGRESS
        submitted = self._parts.writer.submit(
            ChangeRequest(
                change_id,
                ObjectKind.ENDPOINT,
                endpoint_id,
                {**found.value, "state": state},
                found.revision,
            )
        )
        if isinstance(submitted, Success):
            revision = submitted.unwrap().revision
            return self._keeper.finish(driven, f"{endpoint_id} is {state}", revision)
        failure = submitted.failure()
        if isinstance(failure, InvalidChange):
            return self._keeper.fail(driven, failure.detail)
        if isinstance(failure, ChangeConflict):
            self._parts.metrics.count("plan_change_conflicts_total")
            return self._keeper.defer(
                driven, f"{endpoint_id} was changed by {failure.winning_change_id}"
            )
        return self._keeper.defer(driven, "the configuration cannot be changed now")

    def _is_reactivated(self, driven: DrivenPlan, found: Change | None) -> bool:
        """Whether an operator made the endpoint active again after the plan marked it as draining.

        Args:
            driven: Plan that drains the endpoint.
            found: Current declaration of the endpoint; None if it is not declared.
        """
        draining_step = driven.plan.step(StepName.MARK_DRAINING)
        if found is None or found.value is None or draining_step is None:
            return False
        is_active = found.value.get("state", EndpointState.ACTIVE.value) == "active"
        return is_active and found.revision > draining_step.revision

    # Steps that call engines

    def _load_models(self, driven: DrivenPlan) -> AdvanceResult:
        plan = driven.plan
        target_id = plan.endpoint_id if plan.kind is PlanKind.REPAIR else plan.target_id
        target = self._parts.config.current().declared_endpoint(target_id)
        if target is None:
            return self._keeper.fail(driven, f"endpoint {target_id} is not declared")
        if not plan.models:
            return self._record_models(driven, target)
        report = self._parts.engines.load(target.address)
        if isinstance(report, Failure):
            return self._keeper.defer(
                driven, f"{target_id} does not report: {report.failure().value}"
            )
        missing = [model for model in plan.models if model not in report.unwrap().models]
        if not missing:
            return self._keeper.finish(driven, f"{target_id} holds {', '.join(plan.models)}")
        return self._order_load(driven, target, missing)

    def _record_models(self, driven: DrivenPlan, target: Endpoint) -> AdvanceResult:
        source_id = driven.plan.endpoint_id
        source = self._parts.config.current().declared_endpoint(source_id)
        if source is None:
            return self._keeper.fail(driven, f"endpoint {source_id} is not declared")
        report = self._parts.engines.load(source.address)
        if isinstance(report, Failure) and not source.models:
            return self._keeper.defer(
                driven, f"{source_id} does not report: {report.failure().value}"
            )
        held = report.unwrap().models if isinstance(report, Success) else ()
        models = tuple(sorted({*held, *source.models, *target.models}))
        if not models:
            return self._keeper.finish(
                driven, f"{source_id} holds no models", state=StepState.SKIPPED
            )
        return self._keeper.write(driven, evolve(driven.plan, models=models))

    def _order_load(
        self, driven: DrivenPlan, target: Endpoint, missing: Sequence[str]
    ) -> AdvanceResult:
        now = self._clock()
        ordered = driven.ordered_at_by_model
        pending = [m for m in missing if now - ordered.get(m, float("-inf")) < _LOAD_TIMEOUT_S]
        detail = f"{target.id} lacks {', '.join(missing)}"
        if pending or not self._load_limiter.try_acquire(now):
            return self._keeper.defer(driven, detail)
        outcome = self._send_order(driven, target, "load", missing[0])
        if outcome is None:
            ordered[missing[0]] = now
            return self._keeper.defer(driven, detail)
        return outcome

    def _unload_source(self, driven: DrivenPlan) -> AdvanceResult:
        source = self._parts.config.current().declared_endpoint(driven.plan.endpoint_id)
        if source is None:
            return self._keeper.finish(
                driven, "the source is not declared", state=StepState.SKIPPED
            )
        if not source.checks_fencing:
            detail = "the source does not check fencing numbers; stop it to free its memory"
            return self._keeper.finish(driven, detail, state=StepState.SKIPPED)
        for model in driven.plan.models:
            outcome = self._send_order(driven, source, "unload", model)
            if outcome is AdvanceResult.WAIT:
                # The source is already out of service, so a failed unload does not block the plan.
                detail = f"{model} was not unloaded: {driven.progress_detail}"
                return self._keeper.finish(driven, detail, state=StepState.SKIPPED)
            if outcome is not None:
                return outcome
        return self._keeper.finish(driven, f"unloaded {', '.join(driven.plan.models) or 'nothing'}")

    def _send_order(
        self, driven: DrivenPlan, engine: Endpoint, action: str, argument: str
    ) -> AdvanceResult | None:
        """Sends an order to an engine; returns None if the engine accepted it."""
        plan = driven.plan
        assert plan.lease is not None
        order_id = f"{plan.id}-{action}-{argument}"
        order = EngineOrder(order_id, action, argument, plan.lease.fencing_number)
        result = self._parts.engines.order(engine.address, order)
        outcome = result.failure().value if isinstance(result, Failure) else "ok"
        self._parts.metrics.count("engine_orders_total", action=action, outcome=outcome)
        if isinstance(result, Success):
            return None
        if result.failure() is EngineFailure.STALE_FENCE:
            # Either another driver holds the lease of this plan, which the write of the new lease
            # detects, or the engine has received an order of a plan whose lease is newer. The
            # number of the new lease is higher than that.
            driven.stale_orders += 1
            acquired = self._keeper.acquire(driven)
            if acquired is not AdvanceResult.PROGRESS or driven.stale_orders <= _MAX_STALE_ORDERS:
                return acquired
        return self._keeper.defer(driven, f"{engine.id} did not {action} {argument}: {outcome}")

    def _move_kv(self, driven: DrivenPlan) -> AdvanceResult:
        config = self._parts.config.current()
        source = config.declared_endpoint(driven.plan.endpoint_id)
        if source is None or source.kind is not EndpointKind.ENGINE:
            return self._keeper.finish(driven, "no engine to move from", state=StepState.SKIPPED)
        engines_by_id = {
            e.id: e
            for e in config.pool_endpoints(source.pool)
            if e.id != source.id and e.state is EndpointState.ACTIVE
        }
        if not engines_by_id:
            return self._keeper.finish(driven, "no engine to move to", state=StepState.SKIPPED)
        if driven.chats is None:
            driven.chats = self._parts.inspector.recent_chats(source.id, _MAX_MOVED_CHATS)
            driven.chats_tried = driven.chats_moved = 0
        target_by_chat: dict[str, str] = {}
        started_at = self._clock()
        for chat in driven.chats[driven.chats_tried : driven.chats_tried + _CHATS_PER_SLICE]:
            home = engines_by_id[home_engine_id(chat, engines_by_id) or ""]
            moved = self._parts.engines.import_kv(home.address, chat, source.address)
            driven.chats_tried += 1
            if isinstance(moved, Success) and moved.unwrap() > 0:
                driven.chats_moved += 1
                target_by_chat[chat] = home.id
            if self._clock() - started_at >= self._lease_s / 4:
                break
        self._parts.inspector.note_moved(source.id, target_by_chat)
        driven.progress_detail = f"moved {driven.chats_moved} of {len(driven.chats)} chats"
        if driven.chats_tried < len(driven.chats):
            return AdvanceResult.PROGRESS
        return self._keeper.finish(driven, driven.progress_detail)

    def _wait_idle(self, driven: DrivenPlan) -> AdvanceResult:
        endpoint_id = driven.plan.endpoint_id
        found = self._parts.config.current().changes_by_key.get((ObjectKind.ENDPOINT, endpoint_id))
        if found is not None and self._is_reactivated(driven, found):
            return self._keeper.fail(driven, f"{endpoint_id} was made active by {found.change_id}")
        draining_step = driven.plan.step(StepName.MARK_DRAINING)
        revision = draining_step.revision if draining_step else 0
        outdated_ids = sorted(
            member.id
            for member in self._parts.membership.members().values()
            if member.state is not MemberState.DEAD and member.config_revision < revision
        )
        if outdated_ids:
            return self._keeper.defer(driven, f"not draining yet on {', '.join(outdated_ids[:5])}")
        in_flight = self._parts.inspector.in_flight(endpoint_id)
        if in_flight is None:
            return self._keeper.defer(driven, "the owner of the pool does not answer")
        if in_flight > 0:
            return self._keeper.defer(driven, f"{in_flight:g} in flight")
        return self._keeper.finish(driven, f"idle; revision {revision} is in force on all routers")
