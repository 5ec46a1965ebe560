"""Loggers that load structlog with their first line.

The modules that a gateway shares with a router hardly ever write a line there, so that a gateway
starts without loading structlog.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


_configure: Callable[[], None] | None = None


def configure_on_first_use(configure: Callable[[], None]) -> None:
    """Sets the function that configures structlog when its first line is written."""
    global _configure
    _configure = configure


class LazyLogger:
    """Stands for `structlog.get_logger(name)`."""

    def __init__(self, name: str) -> None:
        self._name = name

    @functools.cached_property
    def _logger(self) -> Any:
        import structlog

        if _configure is not None:
            _configure()
        return structlog.get_logger(self._name)

    def __getattr__(self, method: str) -> Callable[..., Any]:
        """Gives a method of the logger, such as `info`."""
        if method.startswith("_"):
            raise AttributeError(method)
        return getattr(self._logger, method)


def get_logger(name: str) -> Any:
    """Gives a logger; see `structlog.get_logger`."""
    return LazyLogger(name)
