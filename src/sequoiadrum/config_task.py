"""Keeps the configuration of this router up to date."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import structlog
from returns.result import Failure

from sequoiadrum.configuration import ConfigLog, ConfigState
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import ConfigSource
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.platform_client import PlatformClient, StoredObject

CONFIG_LOG_NAME: Final = "config/log"
_WATCH_S: Final = 10.0
_RETRY_S: Final = 0.5

_log = structlog.get_logger(__name__)


class ConfigTask(ConfigSource):
    """Watches the configuration log on a thread of its own."""

    def __init__(self, platform: PlatformClient, metrics: Metrics) -> None:
        self._platform = platform
        self._metrics = metrics
        self._state = ConfigState()
        self._loaded = False
        self._version = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Begins to read."""
        self._thread.start()

    def stop(self) -> None:
        """Ends after the current watch."""
        self._stopping.set()

    def current(self) -> ConfigState:
        """See `ConfigSource.current`."""
        return self._state

    def refusal(self) -> Refusal | None:
        """See `ConfigSource.refusal`."""
        if self._loaded:
            return None
        return Refusal(RefusalReason.NOT_READY, "the configuration is not loaded yet", 500)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._read_once():
                self._stopping.wait(_RETRY_S)

    def _read_once(self) -> bool:
        if not self._loaded:
            first = self._platform.get(CONFIG_LOG_NAME)
            if isinstance(first, Failure):
                self._loaded = first.failure() is PlatformFailure.NOT_FOUND
                return self._loaded
            self._take(first.unwrap())
            return True
        watched = self._platform.watch(CONFIG_LOG_NAME, self._version, _WATCH_S)
        if isinstance(watched, Failure):
            return False
        stored = watched.unwrap()
        if stored is not None:
            self._take(stored)
        return True

    def _take(self, stored: StoredObject) -> None:
        try:
            log = ConfigLog.decode(stored.value)
        except ValueError:
            _log.error("config_log_unreadable", version=stored.version)
            self._metrics.count("config_log_unreadable_total")
            return
        self._state = self._state.apply(log.changes)
        self._version = stored.version
        self._loaded = True
        _log.info("config_applied", revision=self._state.revision)
