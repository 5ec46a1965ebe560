"""Commands that create, abort and show plans."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Annotated

import cappa
from attrs import define
from returns.result import Failure

from sequoiadrum._cli_base import STATUS_POLL_INTERVAL_S, ExitCode, OperatorCommand
from sequoiadrum._cli_values import number_option
from sequoiadrum._tables import format_table
from sequoiadrum.operator_client import CallRefused, CallUnavailable

if TYPE_CHECKING:
    from sequoiadrum._gen.operator import ttypes
    from sequoiadrum.operator_client import OperatorClient


@cappa.command(name="drain", help="Take an endpoint out of service.")
@define(kw_only=True)
class PlanDrain(OperatorCommand):
    """Creates a drain plan."""

    endpoint: Annotated[str, cappa.Arg(help="Endpoint to drain")]
    id: Annotated[str, cappa.Arg(long="--id", default="", help="Name of the plan")] = ""

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        plan_id = self.id or _generate_plan_id("drain", self.endpoint)
        return self.print_result(
            client.create_plan(plan_id, "drain", self.endpoint, ""), _format_plan
        )


@cappa.command(name="move", help="Replace an engine by another one.")
@define(kw_only=True)
class PlanMove(OperatorCommand):
    """Creates a move plan."""

    endpoint: Annotated[str, cappa.Arg(help="Engine to replace")]
    target: Annotated[str, cappa.Arg(help="Declared engine that replaces it")]
    id: Annotated[str, cappa.Arg(long="--id", default="", help="Name of the plan")] = ""

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        plan_id = self.id or _generate_plan_id("move", self.endpoint)
        result = client.create_plan(plan_id, "move", self.endpoint, self.target)
        return self.print_result(result, _format_plan)


@cappa.command(name="abort", help="Abort a plan and restore the endpoints.")
@define(kw_only=True)
class PlanAbort(OperatorCommand):
    """Aborts a plan."""

    id: Annotated[str, cappa.Arg(help="Name of the plan")]

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        return self.print_result(client.abort_plan(self.id), _format_plan)


@cappa.command(name="get", help="Show a plan.")
@define(kw_only=True)
class PlanGet(OperatorCommand):
    """Shows a plan."""

    id: Annotated[str, cappa.Arg(help="Name of the plan")]

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        return self.print_result(client.read(lambda c: c.get_plan(self.id)), _format_plan)


@cappa.command(name="wait", help="Wait for the end of a plan.")
@define(kw_only=True)
class PlanWait(OperatorCommand):
    """Waits until a plan ends; the exit code is `REFUSED` if it was aborted or has failed."""

    id: Annotated[str, cappa.Arg(help="Name of the plan")]
    wait_s: Annotated[float, number_option("wait_s", "Longest wait in seconds", 600.0)] = 600.0

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        deadline = time.monotonic() + self.wait_s
        while True:
            result = client.read(lambda c: c.get_plan(self.id))
            failure = result.failure() if isinstance(result, Failure) else None
            if isinstance(failure, CallRefused):
                return self.print_failure(failure)
            plan = result.value_or(None)
            if plan is not None and plan.state in ("done", "aborted", "failed"):
                self.print_result(result, _format_plan)
                return ExitCode.OK if plan.state == "done" else ExitCode.REFUSED
            if time.monotonic() >= deadline:
                state = f"still {plan.state}" if plan else "not readable"
                return self.print_failure(CallUnavailable(f"plan {self.id} is {state}", 1_000))
            time.sleep(STATUS_POLL_INTERVAL_S)


@cappa.command(name="list", help="List the newest plans.")
@define(kw_only=True)
class PlanList(OperatorCommand):
    """Lists the newest plans."""

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        headings = ("id", "kind", "endpoint", "target", "state", "driver", "detail")
        return self.print_result(
            client.read(lambda c: c.list_plans()),
            lambda plans: format_table(
                headings,
                [
                    (p.id, p.kind, p.endpoint_id, p.target_id, p.state, p.driver_id, p.detail)
                    for p in plans
                ],
            ),
        )


@cappa.command(name="plan", help="Plans that drain or move endpoints.")
@define
class PlanCommand:
    """Groups the plan commands."""

    command: cappa.Subcommands[PlanDrain | PlanMove | PlanAbort | PlanGet | PlanWait | PlanList]


def _generate_plan_id(kind: str, endpoint: str) -> str:
    return f"{kind}-{endpoint[:60]}-{uuid.uuid4().hex[:8]}"


def _format_plan(plan: ttypes.PlanStatus) -> str:
    target = f" to {plan.target_id}" if plan.target_id else ""
    driver = f", driven by {plan.driver_id}" if plan.driver_id else ""
    detail = f": {plan.detail}" if plan.detail else ""
    heading = f"{plan.id}: {plan.kind} {plan.endpoint_id}{target}: {plan.state}{driver}{detail}\n"
    rows = [(step.name, step.state, step.detail) for step in plan.steps]
    return heading + format_table(("step", "state", "detail"), rows)
