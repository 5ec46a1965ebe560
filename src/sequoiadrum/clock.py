"""The system clock for code that blocks a thread."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from concurrent.futures import Future


class Clock:
    """Reads the time and waits; tests replace it by a virtual clock."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Returns the Unix time in milliseconds."""
        return int(time.time() * 1e3)

    def wait(self, future: Future[Any], timeout_s: float) -> Any:
        """Waits for a future and returns its result.

        Raises:
            TimeoutError: The future was not completed within `timeout_s` seconds.
        """
        return future.result(max(0.0, timeout_s))

    def sleep(self, seconds: float) -> None:
        """Blocks the thread for a number of seconds."""
        time.sleep(seconds)
