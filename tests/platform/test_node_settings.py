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
        self.assertIsNone(settings.bounds.evacuation_s)

    def test_bounds_of_evacuations_and_cold_endpoints(self) -> None:
        """Guards against settings that call for a feature and do not switch it on."""
        more = "cold_excess = 1.5\ncold_slack = 5\nevacuate_ms = 5000\n"
        zones = '[zones]\nz1 = "r1"\nz2 = "r2"\n'
        self.path.write_text(_FILE.replace("[platform]", f"{more}{zones}[platform]"))
        settings = load_settings(self.path).unwrap()
        bounds = settings.bounds
        self.assertEqual((bounds.cold_excess, bounds.cold_slack), (1.5, 5.0))
        self.assertEqual(bounds.evacuation_s, 5.0)
        self.assertEqual(settings.region_by_domain, {"z1": "r1", "z2": "r2"})

    def test_problems_are_reported(self) -> None:
        """Guards against a failed start that does not report the problem in the file."""
        for text, part in (
            (_FILE.replace('node_name = "edge-1"', ""), "node_name"),
            (_FILE.replace("10.200.1.7:8223", "nowhere"), "platform.address has a wrong value"),
            (_FILE + "[", "not valid TOML"),
        ):
            with self.subTest(part):
                self.path.write_text(text)
                loaded = load_settings(self.path)
                self.assertIsInstance(loaded, Failure)
                self.assertIn(part, loaded.failure().detail)

    def test_each_wrong_field_is_named(self) -> None:
        """Guards against a file whose problem has to be found by trying one field after another."""
        table = ""
        for line in _FILE.splitlines():
            table = f"{line.strip('[]')}." if line.startswith("[") else table
            name, _, value = line.partition(" = ")
            field = table + name
            if not value or name == "unknown":
                continue
            wrong = ["[]", "{}", "true"]
            wrong += ["-1", "nan", '"x"'] if value[0].isdigit() else ["7", '""']
            for text in wrong:
                if name == "seeds" and text in ("[]", '""', "{}"):
                    continue
                with self.subTest(field, value=text):
                    self.path.write_text(_FILE.replace(line, f"{name} = {text}"))
                    loaded = load_settings(self.path)
                    self.assertIsInstance(loaded, Failure)
                    self.assertIn(f"field {field} ", loaded.failure().detail)
            self.path.write_text(_FILE.replace(line, ""))
            loaded = load_settings(self.path)
            if name in ("region", "seeds"):
                self.assertNotIsInstance(loaded, Failure)
            else:
                self.assertEqual(loaded.failure().detail, f"field {field} is missing")

    def test_table_that_is_none_is_named(self) -> None:
        """Guards against a traceback when a table holds a plain value."""
        self.path.write_text("bind = 5\n" + _FILE[: _FILE.index("[bind]")])
        self.assertIn("field bind.front: 5 is no table", load_settings(self.path).failure().detail)

    def test_missing_file_is_reported(self) -> None:
        """Guards against a traceback if the file does not exist."""
        self.assertIsInstance(load_settings(self.path), Failure)
