"""Quantiles and the use of processes, for the measuring tools."""

from __future__ import annotations

import math
import os
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.fleet import Process

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


def quantile(values: Sequence[float], share: float) -> float:
    """Gives the value at a share of the sorted values, NaN without values."""
    if not values:
        return math.nan
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def cpu_seconds(process: Process) -> float:
    """Gives the processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def status(process: Process, name: str) -> int:
    """Reads one number of a process's status; sizes are in KiB."""
    text = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith(name)))
