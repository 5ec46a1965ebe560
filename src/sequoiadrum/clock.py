"""Time for the parts that wait in a thread; replaced in tests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from concurrent.futures import Future


class Clock:
    """Time, and waiting for it; replaced in tests."""

    def now(self) -> float:
        """Monotonic seconds."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Unix time in milliseconds."""
        return int(time.time() * 1e3)

    def wait(self, future: Future[Any], timeout_s: float) -> Any:
        """Waits for a result.

        Raises:
            TimeoutError: None came in time.
        """
        return future.result(max(0.0, timeout_s))

    def sleep(self, seconds: float) -> None:
        """Waits."""
        time.sleep(seconds)
