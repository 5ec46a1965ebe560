"""Detects that the process was suspended or not scheduled for some time; performs no I/O.

What a router knew before such a pause may have changed: endpoints may have left, and keys may have
been revoked. It must be confirmed before it is used again.
"""

from __future__ import annotations

import threading
from typing import Final

OBSERVATION_INTERVAL_S: Final = 0.5
"""How often the clock is observed besides the observations of requests."""
MAX_GAP_S: Final = 2.0
"""A longer gap between two observations is a pause; on a busy instance they are up to a second
late."""


class PauseDetector:
    """Compares the times of regular observations; safe to use from any thread."""

    def __init__(self, now: float) -> None:
        """Creates a detector; `now` is in monotonic seconds, as in all its methods."""
        self._lock = threading.Lock()
        self._observed_at = now
        self._resumed_at = float("-inf")

    def observe(self, now: float) -> float:
        """Records that the process runs.

        A thread that runs first after a pause detects it by its own observation.

        Returns:
            When the last pause ended; negative infinity if there was none.
        """
        with self._lock:
            if now - self._observed_at > MAX_GAP_S:
                self._resumed_at = now
            self._observed_at = max(now, self._observed_at)
            return self._resumed_at
