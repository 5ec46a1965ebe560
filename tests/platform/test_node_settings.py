"""Tests of `platform.node_settings`."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Final

from returns.result import Failure

from sequoiadrum.messages import Address
from sequoiadrum.platform.node_settings import load_settings

_FILE: Final = """
node_name = "edge-1"
ip = "10.1.0.40"
zone = "z1"
region = "r1"
internal_ports = [7340, 7355]
seeds = ["10.2.0.29:8229"]
unknown = { a = 1 }
[bind]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
[limits]
memory_mb = 222
max_fds = 1535
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 108
ttl_max_s = 5
[platform]
address = "10.200.1.7:8223"
"""


class LoadSettingsTest(unittest.TestCase):
    """Reading of the platform's settings file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.toml"

    def test_fields(self) -> None:
        """Guards against a field that is decoded into the wrong attribute or unit."""
        self.path.write_text(_FILE)
        settings = load_settings(self.path).unwrap()
        self.assertEqual(settings.instance_id, "edge-1")
        self.assertEqual(settings.listeners.callers, Address("10.1.0.40", 8227))
        self.assertEqual(settings.seed_addresses(), [Address("10.2.0.29", 7340)])
        self.assertEqual(settings.bounds.leaving_endpoint_s, 2.0)
        self.assertEqual(settings.bounds.stop_grace_s, 8.0)
        self.assertEqual(settings.problems(), [])

    def test_problems_are_reported(self) -> None:
        """Guards against a failed start that does not report the problem in the file."""
        for text, part in (
            (_FILE.replace('node_name = "edge-1"', ""), "node_name"),
            (_FILE.replace("10.200.1.7:8223", "nowhere"), "wrong value"),
            (_FILE + "[", "not valid TOML"),
        ):
            with self.subTest(part):
                self.path.write_text(text)
                loaded = load_settings(self.path)
                self.assertIsInstance(loaded, Failure)
                self.assertIn(part, loaded.failure().detail)

    def test_missing_file_is_reported(self) -> None:
        """Guards against a traceback if the file does not exist."""
        self.assertIsInstance(load_settings(self.path), Failure)
