"""Loggers that import structlog when they write their first line.

A gateway rarely logs anything from the modules that it shares with a router, so it starts without
importing structlog.
"""

from __future__ import annotations

import functools
import threading
import time
import traceback
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable


_configure: Callable[[], None] | None = None


def configure_on_first_use(configure: Callable[[], None]) -> None:
    """Sets the function that configures structlog before a logger writes its first line."""
    global _configure
    _configure = configure


class LazyLogger:
    """Logger like that of `structlog.get_logger(name)`, created on first use."""

    def __init__(self, name: str) -> None:
        self._name = name

    @functools.cached_property
    def _logger(self) -> Any:
        import structlog

        if _configure is not None:
            _configure()
        return structlog.get_logger(self._name)

    def __getattr__(self, method: str) -> Callable[..., Any]:
        """Returns a method of the structlog logger, such as `info`."""
        if method.startswith("_"):
            raise AttributeError(method)
        return getattr(self._logger, method)


def get_logger(name: str) -> Any:
    """Returns a logger that imports structlog on first use."""
    return LazyLogger(name)


MAX_TRACEBACK_CHARS: Final = 1_500
REPEATED_LINES: Final = 20
"""Lines about one kind of fault in `REPEATED_LINES_PERIOD_S`; the others are only counted."""
REPEATED_LINES_PERIOD_S: Final = 60.0


def traceback_of(error: BaseException) -> str:
    """Returns the end of the traceback of an error, limited to `MAX_TRACEBACK_CHARS`."""
    return "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARS:]


class LineLimit:
    """Limits the number of log lines about a fault that another process can cause at any rate."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._period_began_at = float("-inf")
        self._lines = 0

    def allows(self) -> bool:
        """Counts a line; returns whether it is within the limit."""
        now = time.monotonic()
        with self._lock:
            if now - self._period_began_at >= REPEATED_LINES_PERIOD_S:
                self._period_began_at = now
                self._lines = 0
            self._lines += 1
            return self._lines <= REPEATED_LINES
