"""The record of a run: what was sent, answered and run, in seconds since the start."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Collects lines from all threads and writes them in the order of their times."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started = time.monotonic()
        self._lines: list[tuple[float, str]] = []
        self._lock = threading.Lock()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, text: str, at: float | None = None) -> float:
        """Adds a line; returns its time."""
        at = self.now() if at is None else at
        with self._lock:
            self._lines.append((at, text))
        return at

    def write(self) -> None:
        """Writes the lines to the file."""
        with self._lock:
            lines = sorted(self._lines)
        self._path.write_text("".join(f"{at:8.3f} {text}\n" for at, text in lines))
