"""The calls by which operators create, abort and read plans."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NoReturn

from returns.result import Failure, Result, Success

from sequoiadrum._gen.operator import ttypes
from sequoiadrum._operator_codec import parse_text, plan_to_wire, refuse
from sequoiadrum.messages import EndpointKind, EndpointState
from sequoiadrum.plan_store import (
    MAX_LISTED_PLANS,
    AbortRefused,
    PlanFailure,
    PlanStore,
    StoredPlan,
    with_write_id,
)
from sequoiadrum.plans import Plan, PlanKind, new_plan, plan_problem

if TYPE_CHECKING:
    from sequoiadrum.interfaces import ConfigSource, PlanListener
    from sequoiadrum.messages import Endpoint

RETRY_AFTER_MS: Final = 1_000
_KINDS_BY_NAME: Final = {"drain": PlanKind.DRAIN, "move": PlanKind.MOVE}


class OperatorPlans:
    """Handles the plan calls of the operator interface; raises its typed exceptions."""

    def __init__(self, store: PlanStore, config: ConfigSource, plan_listener: PlanListener) -> None:
        self._store = store
        self._config = config
        self._plan_listener = plan_listener

    def create(
        self, plan_id: object, kind: object, endpoint_id: object, target_id: object
    ) -> ttypes.PlanStatus:
        """Creates a plan; a retry with the same arguments returns the existing plan."""
        plan = self._build_plan(
            parse_text(plan_id, "the plan id"),
            parse_text(kind, "the plan kind"),
            parse_text(endpoint_id, "the endpoint"),
            parse_text(target_id or "", "the target", may_be_empty=True),
        )
        written = self._store.write(with_write_id(plan), 0)
        if isinstance(written, Failure) and written.failure() is PlanFailure.CONFLICT:
            return plan_to_wire(self._existing_plan(plan))
        return self._written_status(plan.id, written)

    def abort(self, plan_id: object) -> ttypes.PlanStatus:
        """Aborts a plan; has no effect on a plan that is aborted already."""
        name = parse_text(plan_id, "the plan id")
        aborted = self._store.abort(name, "aborted by an operator")
        if isinstance(aborted, Failure):
            failure = aborted.failure()
            if isinstance(failure, AbortRefused):
                refuse("too_late", failure.detail)
            return self._written_status(name, Failure(failure))
        return self._written_status(name, Success(aborted.unwrap()))

    def get(self, plan_id: object) -> ttypes.PlanStatus:
        """Returns a plan."""
        return plan_to_wire(self._stored_plan(parse_text(plan_id, "the plan id")))

    def list_all(self) -> list[ttypes.PlanStatus]:
        """Returns the newest plans, at most `MAX_LISTED_PLANS`."""
        listed = self._store.names()
        if isinstance(listed, Failure):
            _raise_unavailable()
        plans = []
        for plan_id, _ in listed.unwrap()[:MAX_LISTED_PLANS]:
            found = self._store.get(plan_id)
            if isinstance(found, Success):
                plans.append(plan_to_wire(found.unwrap()))
            elif found.failure() is PlanFailure.UNAVAILABLE:
                _raise_unavailable()
        return plans

    def _build_plan(self, plan_id: str, kind_name: str, endpoint_id: str, target_id: str) -> Plan:
        kind = _KINDS_BY_NAME.get(kind_name)
        if kind is None:
            refuse("unknown_kind", f"{kind_name!r} is no plan kind; use drain or move")
        problem = plan_problem(plan_id, kind, endpoint_id, target_id)
        if problem:
            refuse("bad_argument", problem)
        endpoint = self._declared_endpoint(endpoint_id)
        if kind is PlanKind.DRAIN:
            return new_plan(plan_id, kind, endpoint_id, endpoint_state=endpoint.state.value)
        target = self._declared_endpoint(target_id)
        if endpoint.kind is not EndpointKind.ENGINE or target.kind is not EndpointKind.ENGINE:
            refuse("not_an_engine", "a move is between two engines")
        if endpoint.pool != target.pool:
            refuse("other_pool", f"{target_id} is in pool {target.pool}, not {endpoint.pool}")
        return new_plan(
            plan_id,
            kind,
            endpoint_id,
            target_id,
            endpoint_state=endpoint.state.value,
            target_state=target.state.value,
        )

    def _declared_endpoint(self, endpoint_id: str) -> Endpoint:
        endpoint = self._config.current().declared_endpoint(endpoint_id)
        if endpoint is None or endpoint.state is EndpointState.REMOVED:
            refuse("not_found", f"endpoint {endpoint_id} is not declared")
        return endpoint

    def _existing_plan(self, plan: Plan) -> StoredPlan:
        found = self._stored_plan(plan.id)
        existing = found.plan
        if (existing.kind, existing.endpoint_id, existing.target_id) != (
            plan.kind,
            plan.endpoint_id,
            plan.target_id,
        ):
            raise ttypes.Conflict(plan.name, 0, found.version, existing.write_id)
        return found

    def _stored_plan(self, plan_id: str) -> StoredPlan:
        found = self._store.get(plan_id)
        if isinstance(found, Success):
            return found.unwrap()
        if found.failure() is PlanFailure.UNAVAILABLE:
            _raise_unavailable()
        raise ttypes.Refused(found.failure().value, f"plan {plan_id}")

    def _written_status(
        self, plan_id: str, result: Result[StoredPlan, PlanFailure]
    ) -> ttypes.PlanStatus:
        if isinstance(result, Success):
            stored = result.unwrap()
            self._plan_listener.plan_changed(plan_id, stored.version)
            return plan_to_wire(stored)
        failure = result.failure()
        if failure is PlanFailure.UNAVAILABLE:
            _raise_unavailable()
        if failure is PlanFailure.UNKNOWN:
            raise ttypes.UnknownOutcome(plan_id, "the platform's answer was lost")
        if failure is PlanFailure.CONFLICT:
            raise ttypes.Conflict(f"plans/{plan_id}", 0, 0, "")
        raise ttypes.Refused(failure.value, f"plan {plan_id}")


def _raise_unavailable() -> NoReturn:
    raise ttypes.Unavailable("platform_unavailable", RETRY_AFTER_MS)
