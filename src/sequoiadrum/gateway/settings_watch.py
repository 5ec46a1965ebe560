"""Reads the settings again when they change, with or without a signal."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import attrs
from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.metrics import Metrics

CHECK_S: Final = 1.0
"""How often the settings are read; well below the time in which a change must be in force."""


class SettingsWatch:
    """Compares the settings with those in force and hands over the ones that are valid."""

    def __init__(
        self,
        load: Callable[[], Result[GatewaySettings, str]],
        in_force: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._load = load
        self._in_force = in_force
        self._apply = apply
        self._metrics = metrics
        self._log = log
        self._last_problem = ""
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="settings", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped = True
        self._wake.set()

    def request(self) -> None:
        """Reads the settings soon; may be called from a signal handler."""
        self._wake.set()

    def check(self, on_request: bool) -> None:
        """Reads the settings and applies them if they are valid and differ."""
        loaded = self._load()
        problem = loaded.failure() if isinstance(loaded, Failure) else ""
        if not problem:
            found = loaded.unwrap()
            problem = "; ".join(found.problems())
        if problem:
            if problem != self._last_problem:
                self._metrics.count("settings_reloads_total", outcome="rejected")
                self._log.notable("settings_rejected", detail=problem)
            self._last_problem = problem
            return
        self._last_problem = ""
        changed = [
            field.name
            for field in attrs.fields(type(found))
            if getattr(found, field.name) != getattr(self._in_force, field.name)
        ]
        if changed or on_request:
            self._metrics.count("settings_reloads_total", outcome="applied")
            self._log.notable("settings_reloaded", changed=changed, on_request=on_request)
        if changed:
            self._in_force = found
            self._apply(found)

    def _run(self) -> None:
        while not self._stopped:
            on_request = self._wake.wait(CHECK_S)
            self._wake.clear()
            if not self._stopped:
                self.check(on_request)
