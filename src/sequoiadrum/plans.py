"""State machines of drain, move and repair plans; performs no I/O."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve, field, frozen

from sequoiadrum.leases import Lease

if TYPE_CHECKING:
    from collections.abc import Mapping

PLAN_PREFIX: Final = "plans/"
"""Prefix of the names of plan objects on the platform."""


class PlanKind(Enum):
    """Purpose of a plan."""

    DRAIN = "drain"
    """Takes an endpoint out of service."""
    MOVE = "move"
    """Replaces an engine with another engine."""
    REPAIR = "repair"
    """Loads the declared models that an engine does not report."""


class PlanState(Enum):
    """State of a plan."""

    RUNNING = "running"
    UNDOING = "undoing"
    """Aborted or failed; the declared states of the endpoints are being restored."""
    DONE = "done"
    ABORTED = "aborted"
    FAILED = "failed"

    @property
    def is_final(self) -> bool:
        """Whether the plan can no longer change its state."""
        return self in (PlanState.DONE, PlanState.ABORTED, PlanState.FAILED)


class StepName(Enum):
    """Action that a step performs."""

    LOAD_MODELS = "load_models"
    ACTIVATE_TARGET = "activate_target"
    MARK_DRAINING = "mark_draining"
    MOVE_KV = "move_kv"
    WAIT_IDLE = "wait_idle"
    MARK_REMOVED = "mark_removed"
    UNLOAD_SOURCE = "unload_source"
    RESTORE_SOURCE = "restore_source"
    RESTORE_TARGET = "restore_target"


class StepState(Enum):
    """State of a step."""

    PENDING = "pending"
    DONE = "done"
    SKIPPED = "skipped"


_STEPS_BY_KIND: Final = {
    PlanKind.DRAIN: (
        StepName.MARK_DRAINING,
        StepName.MOVE_KV,
        StepName.WAIT_IDLE,
        StepName.MARK_REMOVED,
    ),
    PlanKind.MOVE: (
        StepName.LOAD_MODELS,
        StepName.ACTIVATE_TARGET,
        StepName.MOVE_KV,
        StepName.MARK_DRAINING,
        StepName.WAIT_IDLE,
        StepName.MARK_REMOVED,
        StepName.UNLOAD_SOURCE,
    ),
    PlanKind.REPAIR: (StepName.LOAD_MODELS,),
}


@frozen
class Step:
    """One step of a plan."""

    name: StepName
    state: StepState = StepState.PENDING
    detail: str = ""
    revision: int = 0
    """Configuration revision that the step created; 0 if it created none."""


@frozen
class Plan:
    """Immutable version of a plan."""

    id: str
    kind: PlanKind
    endpoint_id: str
    target_id: str = ""
    state: PlanState = PlanState.RUNNING
    detail: str = ""
    """Progress of the current step, or the reason for an abort or failure."""
    steps: tuple[Step, ...] = ()
    lease: Lease | None = None
    write_id: str = ""
    """Id of the last write; a later read compares it to find out whether the write took effect."""
    models: tuple[str, ...] = field(default=())
    """Models that the target must load; recorded once, because the source may be gone later."""
    undo_to: PlanState = PlanState.ABORTED
    """Final state of the plan after the undo."""
    endpoint_state: str = "active"
    """Declared state of the endpoint before the plan; an undo restores it."""
    target_state: str = "draining"
    """Declared state of the target before the plan; an undo restores it."""

    @property
    def name(self) -> str:
        """Name of the plan's object on the platform."""
        return PLAN_PREFIX + self.id

    @property
    def current_step(self) -> Step | None:
        """The first pending step; None if no step is pending."""
        return next((step for step in self.steps if step.state is StepState.PENDING), None)

    def step(self, name: StepName) -> Step | None:
        """Returns the step with a name; None if the plan has no such step."""
        return next((step for step in self.steps if step.name is name), None)

    def change_id(self, step: StepName) -> str:
        """Returns the id of a step's configuration change, which is the same for every driver."""
        return f"{self.id}-{step.value}"

    def finish_step(
        self, detail: str, revision: int = 0, state: StepState = StepState.DONE
    ) -> Plan:
        """Returns the plan with its current step ended.

        The plan enters its final state and releases its lease if no further step is pending.

        Args:
            detail: Result of the step, for operators.
            revision: Configuration revision that the step created; 0 if it created none.
            state: State in which the step ends.
        """
        current = self.current_step
        steps = tuple(
            evolve(step, state=state, detail=detail, revision=revision) if step is current else step
            for step in self.steps
        )
        undoing = self.state is PlanState.UNDOING
        after = evolve(self, steps=steps, detail=self.detail if undoing else "")
        if after.current_step is not None:
            return after
        return evolve(
            after,
            state=self.undo_to if undoing else PlanState.DONE,
            lease=self.lease.released() if self.lease else None,
        )

    def undo(self, final: PlanState, detail: str) -> Plan:
        """Returns the plan with its pending steps replaced by steps that restore the endpoints.

        Every endpoint of the plan is written, even if no step changed it: the write raises the
        version of the declaration, so that a delayed change of a paused driver conflicts. A repair
        has nothing to restore and ends immediately.

        Args:
            final: State of the plan after the endpoints are restored.
            detail: Reason for the undo.
        """
        done = tuple(
            evolve(step, state=StepState.SKIPPED) if step.state is StepState.PENDING else step
            for step in self.steps
        )
        restores: tuple[Step, ...] = ()
        if self.kind is not PlanKind.REPAIR:
            restores = (Step(StepName.RESTORE_SOURCE),)
        if self.kind is PlanKind.MOVE:
            restores += (Step(StepName.RESTORE_TARGET),)
        if not restores:
            lease = self.lease.released() if self.lease else None
            return evolve(self, state=final, steps=done, detail=detail, lease=lease)
        return evolve(
            self, state=PlanState.UNDOING, steps=done + restores, detail=detail, undo_to=final
        )

    @property
    def is_aborted(self) -> bool:
        """Whether an operator's abort has been accepted."""
        undone = self.state in (PlanState.UNDOING, PlanState.ABORTED)
        return undone and self.undo_to is PlanState.ABORTED

    def abort_problem(self) -> str:
        """Returns the reason why the plan cannot be aborted; empty if it can be."""
        if self.state.is_final or self.state is PlanState.UNDOING:
            return f"the plan is {self.state.value}"
        removed = self.step(StepName.MARK_REMOVED)
        if removed is not None and removed.state is StepState.DONE:
            return "the endpoint is removed already"
        return ""

    def encode(self) -> bytes:
        """Returns the plan as JSON for storage."""
        document = {
            "id": self.id,
            "kind": self.kind.value,
            "endpoint": self.endpoint_id,
            "target": self.target_id,
            "state": self.state.value,
            "detail": self.detail,
            "steps": [
                {"n": s.name.value, "s": s.state.value, "d": s.detail, "r": s.revision}
                for s in self.steps
            ],
            "lease": self.lease.to_json() if self.lease else None,
            "write_id": self.write_id,
            "models": list(self.models),
            "undo_to": self.undo_to.value,
            "endpoint_state": self.endpoint_state,
            "target_state": self.target_state,
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Plan:
        """Parses a stored plan.

        Raises:
            ValueError: The value is not a plan.
        """
        try:
            return cls._from_json(json.loads(value))
        except (KeyError, TypeError, AttributeError, ArithmeticError, RecursionError) as error:
            raise ValueError("stored value is not a plan") from error

    @classmethod
    def _from_json(cls, document: Mapping[str, Any]) -> Plan:
        return cls(
            id=str(document["id"]),
            kind=PlanKind(document["kind"]),
            endpoint_id=str(document["endpoint"]),
            target_id=str(document["target"]),
            state=PlanState(document["state"]),
            detail=str(document["detail"]),
            steps=tuple(
                Step(StepName(s["n"]), StepState(s["s"]), str(s["d"]), int(s["r"]))
                for s in document["steps"]
            ),
            lease=Lease.from_json(document["lease"]) if document["lease"] else None,
            write_id=str(document["write_id"]),
            models=tuple(str(model) for model in document["models"]),
            undo_to=PlanState(document["undo_to"]),
            endpoint_state=str(document["endpoint_state"]),
            target_state=str(document["target_state"]),
        )


def new_plan(
    plan_id: str,
    kind: PlanKind,
    endpoint_id: str,
    target_id: str = "",
    **values: Any,
) -> Plan:
    """Builds a plan with all its steps pending.

    Args:
        plan_id: Id of the plan and prefix of the ids of its configuration changes.
        kind: Determines the steps.
        endpoint_id: Endpoint to drain, move or repair.
        target_id: Engine that a move activates.
        values: Further attributes of `Plan`.
    """
    steps = tuple(Step(name) for name in _STEPS_BY_KIND[kind])
    return Plan(plan_id, kind, endpoint_id, target_id, steps=steps, **values)


def plan_problem(plan_id: str, kind: PlanKind, endpoint_id: str, target_id: str) -> str:
    """Returns what is invalid in the arguments of a new plan; empty if all are valid."""
    if not 0 < len(plan_id) <= 100 or not all(c.isalnum() or c in "-_." for c in plan_id):
        return "the id must have 1 to 100 letters, digits, '-', '_' or '.'"
    if not endpoint_id:
        return "a plan needs an endpoint"
    if kind is PlanKind.MOVE and (not target_id or target_id == endpoint_id):
        return "a move needs a target that is another endpoint"
    if kind is not PlanKind.MOVE and target_id:
        return f"a {kind.value} has no target"
    return ""
