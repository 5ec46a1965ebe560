"""What all operator commands share: flags, output and exit codes."""

from __future__ import annotations

import logging
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Annotated, Any, Final

import cappa
from attrs import define
from returns.result import Failure, Result

from sequoiadrum._tables import to_json
from sequoiadrum.addressing import parse_address
from sequoiadrum.operator_client import (
    CONFIRM_S,
    CallConflict,
    CallFailure,
    CallRefused,
    CallUnavailable,
    OperatorClient,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTER_VARIABLE: Final = "SEQUOIADRUM_ROUTER"
"""Names the routers when `--router` is not given."""
POLL_S: Final = 0.5
"""Between two looks of the commands that wait."""


class ExitCode(IntEnum):
    """Exit codes of the operator commands."""

    OK = 0
    USAGE = 2
    CONFLICT = 3
    """Someone else has changed the object; read it and decide again."""
    REFUSED = 4
    """Repeating the command unchanged does not help."""
    UNAVAILABLE = 5
    """Nothing was changed; repeat it later or at another router."""
    UNKNOWN = 6
    """The change may have been accepted; repeat it with the same change id."""


class UsageError(Exception):
    """The command line is wrong."""


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
        float, cappa.Arg(long="--timeout-s", help="Time for connecting and for the answer")
    ] = 10.0
    confirm_s: Annotated[
        float, cappa.Arg(long="--confirm-s", help="Time to look for a change after a lost answer")
    ] = CONFIRM_S

    def __call__(self) -> int:
        """Runs the command and prints its outcome."""
        # The thrift library logs failed connections, which the outcome tells already.
        logging.getLogger("thrift").setLevel(logging.CRITICAL)
        try:
            client = OperatorClient(self._addresses(), self.timeout_s, self.confirm_s)
            return self.execute(client)
        except UsageError as error:
            sys.stderr.write(f"sequoiadrum: {error}\n")
            return ExitCode.USAGE

    def execute(self, client: OperatorClient) -> int:
        """Makes the calls; gives the exit code."""
        raise NotImplementedError

    def _addresses(self) -> list[Any]:
        parts = [part.strip() for part in self.router.split(",") if part.strip()]
        if not parts:
            raise UsageError(f"name a router with --router IP:PORT or {ROUTER_VARIABLE}")
        try:
            return [parse_address(part) for part in parts]
        except ValueError as error:
            raise UsageError(f"--router: expected IP:PORT,...: {error}") from error

    def show(self, result: Result[Any, CallFailure], text: Callable[[Any], str]) -> int:
        """Prints a result as JSON or as text, or its failure; gives the exit code."""
        if isinstance(result, Failure):
            return self.fail(result.failure())
        value = result.unwrap()
        sys.stdout.write(to_json(value) if self.json else text(value))
        return ExitCode.OK

    def fail(self, failure: CallFailure) -> int:
        """Prints a failure; gives the exit code."""
        code, text, fields = _describe(failure)
        sys.stderr.write(f"sequoiadrum: {text}\n")
        if self.json:
            sys.stdout.write(to_json({"outcome": code.name.lower(), **fields}))
        return code


def _describe(failure: CallFailure) -> tuple[ExitCode, str, dict[str, Any]]:
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
    text = f"unknown outcome: {failure.detail}; repeat with --change-id {failure.change_id}"
    fields = {"change_id": failure.change_id, "detail": failure.detail}
    return ExitCode.UNKNOWN, text, fields
