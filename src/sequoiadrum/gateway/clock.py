"""The clock of the gateway."""

from __future__ import annotations

import time


def now() -> float:
    """Gives seconds that neither jump nor stand still while the instance is suspended.

    The monotonic clock does not count a suspension, so that a deadline of a client, an idle
    connection or a told load would look younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
