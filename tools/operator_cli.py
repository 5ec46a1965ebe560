"""Runs operator commands of the program against a fleet."""

from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum._cli_base import ExitCode

if TYPE_CHECKING:
    from tools.fleet import Fleet

OUTAGE_TIMEOUT_S: Final = 30.0
"""Longest time for which a command is repeated; the traces' outages last up to 2.5 s."""
RETRY_PAUSE_S: Final = 0.5


class OperatorCommandError(RuntimeError):
    """A command ended with another status than 0."""

    def __init__(self, arguments: tuple[str, ...], status: int, message: str) -> None:
        super().__init__(f"{arguments}: status {status}: {message}")
        self.status: Final = status


def run_operator_command(fleet: Fleet, *arguments: str) -> str:
    """Runs one command; routers that do not answer are passed over by the client.

    Raises:
        OperatorCommandError: The command ended with another status than 0.
    """
    routers = ",".join(str(router.operator_address) for router in fleet.routers_by_id.values())
    result = subprocess.run(
        [sys.executable, "-m", "sequoiadrum", *arguments, "--router", routers],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    if result.returncode:
        raise OperatorCommandError(arguments, result.returncode, result.stderr)
    return result.stdout


def run_until_available(fleet: Fleet, *arguments: str) -> str:
    """Repeats a command that an outage of the platform kept from any effect, as an operator would.

    Raises:
        OperatorCommandError: The command failed for another reason, or the outage does not end.
    """
    until = time.monotonic() + OUTAGE_TIMEOUT_S
    while True:
        try:
            return run_operator_command(fleet, *arguments)
        except OperatorCommandError as error:
            if error.status != ExitCode.UNAVAILABLE or time.monotonic() > until:
                raise
            time.sleep(RETRY_PAUSE_S)
