"""Loggers that import structlog when they write their first line.

A gateway rarely logs anything from the modules that it shares with a router, so it starts without
importing structlog.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

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
