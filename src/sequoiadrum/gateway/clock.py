"""The monotonic clock of the gateway."""

from __future__ import annotations

import time


def now() -> float:
    """Returns monotonic seconds that also advance while the instance is suspended.

    `time.monotonic` stops during a suspension, so that a caller's deadline, an idle connection or a
    reported load would seem more recent than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
