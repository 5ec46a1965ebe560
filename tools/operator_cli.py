"""Runs operator commands against a fleet."""

from __future__ import annotations

import subprocess
import sys
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum._cli_base import ExitCode

if TYPE_CHECKING:
    from tools.fleet import Fleet

OUTAGE_TIMEOUT_S: Final = 30.0
"""Time after which a command is no longer retried; outages in the traces last up to 2.5 s."""
RETRY_PAUSE_S: Final = 0.5


class OperatorCommandError(RuntimeError):
    """An operator command ended with a status other than 0."""

    def __init__(self, arguments: tuple[str, ...], status: int, message: str) -> None:
        super().__init__(f"{arguments}: status {status}: {message}")
        self.status: Final = status


def run_operator_command(fleet: Fleet, *arguments: str) -> str:
    """Runs one command and returns its output; the command skips routers that do not respond.

    Raises:
        OperatorCommandError: The command ended with a status other than 0.
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
    """Runs a command and, as an operator would, retries it while a platform outage prevents it.

    Only commands that had no effect are retried.

    Raises:
        OperatorCommandError: The command failed for another reason, or the outage outlasted
            `OUTAGE_TIMEOUT_S`.
    """
    deadline = time.monotonic() + OUTAGE_TIMEOUT_S
    while True:
        try:
            return run_operator_command(fleet, *arguments)
        except OperatorCommandError as error:
            if error.status != ExitCode.UNAVAILABLE or time.monotonic() > deadline:
                raise
            time.sleep(RETRY_PAUSE_S)
