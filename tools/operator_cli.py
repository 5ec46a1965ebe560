"""Runs operator commands of the program against a fleet."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.fleet import Fleet


def run_operator_command(fleet: Fleet, *arguments: str) -> str:
    """Runs one command; routers that do not answer are passed over by the client.

    Raises:
        RuntimeError: The command ended with another status than 0.
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
        raise RuntimeError(f"{arguments}: status {result.returncode}: {result.stderr}")
    return result.stdout
