"""Reloads the settings when they change or when a signal requests it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import attrs
from returns.result import Failure

from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.metrics import Metrics

CHECK_INTERVAL_S: Final = 1.0
"""How often the settings are read; well below the time within which a change must take effect."""


class SettingsWatch:
    """Polls the settings and applies them when they are valid and have changed."""

    def __init__(
        self,
        load: Callable[[], Result[GatewaySettings, str]],
        current: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._load = load
        self._current = current
        self._apply = apply
        self._metrics = metrics
        self._log = log
        self._last_problem = ""
        self._wake = threading.Event()
        self._stopped = False
        self.thread: Final = SupervisedThread("settings", self._run, metrics, is_needed=False)

    def start(self) -> None:
        """Starts the polling thread."""
        self.thread.start()

    def stop(self) -> None:
        """Requests the polling thread to end; does not wait for it."""
        self._stopped = True
        self.thread.stop()
        self._wake.set()

    def request(self) -> None:
        """Wakes the thread to read the settings; can be called from a signal handler."""
        self._wake.set()

    def check(self, on_request: bool) -> None:
        """Reads the settings and applies them if they are valid and have changed.

        Args:
            on_request: Logs and counts the reload even if nothing has changed.
        """
        loaded = self._load()
        problem = loaded.failure() if isinstance(loaded, Failure) else ""
        if not problem:
            new_settings = loaded.unwrap()
            problem = "; ".join(new_settings.problems())
        if problem:
            if problem != self._last_problem:
                self._metrics.count("settings_reloads_total", outcome="rejected")
                self._log.notable("settings_rejected", detail=problem)
            self._last_problem = problem
            return
        self._last_problem = ""
        changed = [
            field.name
            for field in attrs.fields(type(new_settings))
            if getattr(new_settings, field.name) != getattr(self._current, field.name)
        ]
        if changed or on_request:
            self._metrics.count("settings_reloads_total", outcome="applied")
            self._log.notable("settings_reloaded", changed=changed, on_request=on_request)
        if changed:
            self._current = new_settings
            self._apply(new_settings)

    def _run(self) -> None:
        while not self._stopped:
            on_request = self._wake.wait(CHECK_INTERVAL_S)
            self._wake.clear()
            if not self._stopped:
                self.check(on_request)
