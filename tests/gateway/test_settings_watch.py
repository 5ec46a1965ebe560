"""Tests of `gateway.settings_watch`."""

from __future__ import annotations

import io
import unittest
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.settings_watch import SettingsWatch
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from tests.gateway.builders import bounds, settings

if TYPE_CHECKING:
    from sequoiadrum.gateway.settings import GatewaySettings


class SettingsWatchTest(unittest.TestCase):
    """Settings are applied when they are valid and have changed."""

    def setUp(self) -> None:
        self.first = settings(Address("127.0.0.1", 1), [1, 2, 3, 4, 5])
        self.loaded: Result[GatewaySettings, str] = Success(self.first)
        self.applied: list[GatewaySettings] = []
        self.metrics = Metrics()
        self.watch = SettingsWatch(
            lambda: self.loaded,
            self.first,
            self.applied.append,
            self.metrics,
            EventLog("g1", self.metrics, io.StringIO()),
        )

    def test_change_without_a_signal_is_applied(self) -> None:
        """Guards against settings that are applied only after a signal, which may never arrive."""
        self.loaded = Success(attrs.evolve(self.first, bounds=bounds(retry_slack=5.0)))
        self.watch.check(on_request=False)
        self.watch.check(on_request=False)
        self.assertEqual([s.bounds.retry_slack for s in self.applied], [5.0])

    def test_broken_settings_change_nothing(self) -> None:
        """Guards against applying a half-written file, and against repeated log lines about it."""
        self.loaded = Failure("not valid TOML")
        self.watch.check(on_request=False)
        self.watch.check(on_request=False)
        self.loaded = Success(attrs.evolve(self.first, memory_mb=1))
        self.watch.check(on_request=True)
        self.assertEqual(self.applied, [])
        self.assertEqual(self.metrics.value("settings_reloads_total", outcome="rejected"), 2)

    def test_signal_without_a_change_is_logged(self) -> None:
        """Guards against a requested reload that is not logged."""
        self.watch.check(on_request=True)
        self.assertEqual(self.applied, [])
        self.assertEqual(self.metrics.value("settings_reloads_total", outcome="applied"), 1)
