"""Common flags, output and exit codes of the operator commands."""

from __future__ import annotations

import logging
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Annotated, Any, Final

import cappa
from attrs import define
from returns.result import Failure, Result

from sequoiadrum._cli_values import number_option, report_wrong_values
from sequoiadrum._tables import to_json
from sequoiadrum.addressing import parse_address
from sequoiadrum.operator_client import (
    DEFAULT_CONFIRM_TIMEOUT_S,
    CallConflict,
    CallFailure,
    CallRefused,
    CallUnavailable,
    OperatorClient,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTER_VARIABLE: Final = "SEQUOIADRUM_ROUTER"
"""Environment variable with the routers to call if `--router` is not given."""
STATUS_POLL_INTERVAL_S: Final = 0.5
"""Interval at which commands with `--wait-s` read the state again."""


class ExitCode(IntEnum):
    """Exit codes of the operator commands."""

    OK = 0
    USAGE = 2
    CONFLICT = 3
    """Another change has replaced the expected version; read the object before the next change."""
    REFUSED = 4
    """The command is invalid or not allowed; retrying it unchanged does not help."""
    UNAVAILABLE = 5
    """Nothing was changed; retry later or at another router."""
    UNKNOWN = 6
    """The change may have been accepted; retry with the same change id."""


class UsageError(Exception):
    """The command line is invalid."""


@define(kw_only=True)
class OperatorCommand:
    """Flags of every operator command."""

    router: Annotated[
        str,
        cappa.Arg(
            long="--router",
            default=cappa.Env(ROUTER_VARIABLE, default=""),
            help=f"Operator ports of routers, IP:PORT,... [env: {ROUTER_VARIABLE}]",
        ),
    ] = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False
    timeout_s: Annotated[
        float,
        number_option("timeout_s", "Time limit for connecting and for the response (s)", 10.0),
    ] = 10.0
    confirm_s: Annotated[
        float,
        number_option(
            "confirm_s",
            "Time to look for a change after a lost response (s)",
            DEFAULT_CONFIRM_TIMEOUT_S,
        ),
    ] = DEFAULT_CONFIRM_TIMEOUT_S

    def __call__(self) -> int:
        """Runs the command and prints its outcome."""
        # The thrift library logs failed connections; the printed outcome already reports them.
        logging.getLogger("thrift").setLevel(logging.CRITICAL)
        if report_wrong_values(self):
            return ExitCode.USAGE
        try:
            client = OperatorClient(self._router_addresses(), self.timeout_s, self.confirm_s)
            return self.execute(client)
        except UsageError as error:
            sys.stderr.write(f"sequoiadrum: {error}\n")
            return ExitCode.USAGE

    def execute(self, client: OperatorClient) -> int:
        """Makes the calls; returns the exit code."""
        raise NotImplementedError

    def _router_addresses(self) -> list[Any]:
        parts = [part.strip() for part in self.router.split(",") if part.strip()]
        if not parts:
            raise UsageError(f"no router: use --router IP:PORT or set {ROUTER_VARIABLE}")
        try:
            return [parse_address(part) for part in parts]
        except ValueError as error:
            raise UsageError(f"--router: expected IP:PORT,...: {error}") from error

    def print_result(self, result: Result[Any, CallFailure], text: Callable[[Any], str]) -> int:
        """Prints a result as JSON or as text, or its failure; returns the exit code."""
        if isinstance(result, Failure):
            return self.print_failure(result.failure())
        value = result.unwrap()
        sys.stdout.write(to_json(value) if self.json else text(value))
        return ExitCode.OK

    def print_failure(self, failure: CallFailure) -> int:
        """Prints a failure; returns the exit code."""
        code, text, fields = _describe_failure(failure)
        sys.stderr.write(f"sequoiadrum: {text}\n")
        if self.json:
            sys.stdout.write(to_json({"outcome": code.name.lower(), **fields}))
        return code


def _describe_failure(failure: CallFailure) -> tuple[ExitCode, str, dict[str, Any]]:
    if isinstance(failure, CallConflict):
        text = f"conflict: {failure.name} has version {failure.found_version}, "
        text += f"expected {failure.expected_version}"
        if failure.winning_change_id:
            text += f"; changed by {failure.winning_change_id}"
        fields: dict[str, Any] = {
            "name": failure.name,
            "expected_version": failure.expected_version,
            "found_version": failure.found_version,
            "winning_change_id": failure.winning_change_id,
        }
        return ExitCode.CONFLICT, text, fields
    if isinstance(failure, CallRefused):
        fields = {"reason": failure.reason, "detail": failure.detail}
        return ExitCode.REFUSED, f"refused: {failure.reason}: {failure.detail}", fields
    if isinstance(failure, CallUnavailable):
        text = f"unavailable: {failure.reason}; nothing was changed"
        fields = {"reason": failure.reason, "retry_after_ms": failure.retry_after_ms}
        return ExitCode.UNAVAILABLE, text, fields
    text = f"unknown outcome: {failure.detail}; retry with --change-id {failure.change_id}"
    fields = {"change_id": failure.change_id, "detail": failure.detail}
    return ExitCode.UNKNOWN, text, fields
