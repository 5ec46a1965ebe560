"""Operator commands; each calls the operator port of a router."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated, Any

import cappa
from attrs import define

from sequoiadrum._cli_base import STATUS_POLL_INTERVAL_S, OperatorCommand
from sequoiadrum._cli_values import number_option
from sequoiadrum._tables import format_table, to_plain
from sequoiadrum.cli_objects import AccountCommand, EndpointCommand, RouteCommand, SettingCommand
from sequoiadrum.cli_plans import PlanCommand
from sequoiadrum.operator_client import CallUnavailable

if TYPE_CHECKING:
    from sequoiadrum._gen.operator import ttypes
    from sequoiadrum.operator_client import OperatorClient


@cappa.command(name="config", help="Show on how many routers a revision is in force.")
@define(kw_only=True)
class ConfigCommand(OperatorCommand):
    """Shows the configuration status; with `--wait-s`, waits until all routers have it in force."""

    revision: Annotated[int, number_option("revision", "Configuration revision; 0: newest", 0)] = 0
    wait_s: Annotated[
        float, number_option("wait_s", "Longest wait until it is in force (s)", 0.0)
    ] = 0.0

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        deadline = time.monotonic() + self.wait_s
        while True:
            result = client.read(lambda c: c.config_status(self.revision))
            status = result.value_or(None)
            if status is not None and status.routers_in_force == status.routers_alive:
                return self.print_result(result, _format_config_status)
            if self.wait_s <= 0:
                return self.print_result(result, _format_config_status)
            if time.monotonic() >= deadline:
                if status is None:
                    return self.print_result(result, _format_config_status)
                behind = ", ".join(status.routers_behind)
                return self.print_failure(CallUnavailable(f"not in force on {behind}", 1_000))
            time.sleep(STATUS_POLL_INTERVAL_S)


def _format_config_status(status: ttypes.ConfigStatus) -> str:
    fields = to_plain(status)
    fields["routers_behind"] = ", ".join(fields["routers_behind"])
    return format_table(tuple(fields), [tuple(fields.values())])


@cappa.command(name="fleet", help="List the routers.")
@define(kw_only=True)
class FleetCommand(OperatorCommand):
    """Lists the routers in the view of the called router."""

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        return self.print_result(client.read(lambda c: c.fleet_status()), _format_structures)


@cappa.command(name="pool", help="Show the load of a pool.")
@define(kw_only=True)
class PoolCommand(OperatorCommand):
    """Shows the load of a pool and of its endpoints."""

    name: Annotated[str, cappa.Arg(help="Name of the pool")]

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        return self.print_result(client.read(lambda c: c.pool_status(self.name)), _format_pool)


def _format_pool(pool: ttypes.PoolStatus) -> str:
    heading = f"{pool.pool}: owner {pool.owner_id}, mean {pool.mean_in_flight:.2f} in flight, "
    heading += f"max over mean {pool.max_over_mean:.2f}, {pool.queued} queued\n"
    return heading + _format_structures(pool.endpoints)


@cappa.command(name="counters", help="Show the metrics of the called router.")
@define(kw_only=True)
class CountersCommand(OperatorCommand):
    """Shows counters, gauges and quantiles."""

    prefix: Annotated[
        str, cappa.Arg(long="--prefix", default="", help="Show only names with this prefix")
    ] = ""

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        result = client.read(lambda c: c.counters()).map(
            lambda values: {k: v for k, v in sorted(values.items()) if k.startswith(self.prefix)}
        )
        return self.print_result(
            result, lambda values: format_table(("name", "value"), list(values.items()))
        )


def _format_structures(entries: list[Any]) -> str:
    if not entries:
        return "none\n"
    rows = [to_plain(entry) for entry in entries]
    return format_table(tuple(rows[0]), [tuple(row.values()) for row in rows])


OperatorCommands = (
    AccountCommand
    | RouteCommand
    | EndpointCommand
    | SettingCommand
    | PlanCommand
    | ConfigCommand
    | FleetCommand
    | PoolCommand
    | CountersCommand
)
"""Operator commands that `cli.py` adds to the program."""
