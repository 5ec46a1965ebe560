"""Quantiles and process resource usage, shared by the measuring tools."""

from __future__ import annotations

import math
import os
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.fleet import Process

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns the value at a fraction (0 to 1) of the sorted values, or NaN if there are none."""
    if not values:
        return math.nan
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def cpu_seconds(process: Process) -> float:
    """Returns the user and system CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def status(process: Process, name: str) -> int:
    """Returns a numeric field of `/proc/PID/status`; sizes are in KiB.

    Args:
        process: The process to inspect.
        name: Field name with its colon, such as `VmRSS:`.
    """
    text = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith(name)))
