"""Tests of the validation of settings."""

from __future__ import annotations

import unittest

from tests.builders import a_settings


class SettingsTest(unittest.TestCase):
    """The validation reports the flag of each value that is not allowed."""

    def test_valid_settings_have_no_problems(self) -> None:
        """Guards against rules that reject the defaults."""
        self.assertEqual(a_settings().problems(), [])

    def test_each_bad_value_is_named(self) -> None:
        """Guards against an invalid value that is detected only when it is first used."""
        bad_values = {
            "instance_id": "a b",
            "host": "localhost",
            "platform": "127.0.0.1",
            "http_port": 70_000,
            "seeds": "127.0.0.1:7400,x",
            "max_streams": 0,
            "bound_multiple": 1.0,
            "log_format": "xml",
        }
        for name, value in bad_values.items():
            with self.subTest(name):
                flags = [p.flag for p in a_settings(**{name: value}).problems()]
                self.assertIn("--" + name.replace("_", "-"), flags)

    def test_admit_multiple_stays_below_bound(self) -> None:
        """Guards against grants above the load bound."""
        problems = a_settings(admit_multiple=1.5, bound_multiple=1.25).problems()
        self.assertEqual([p.flag for p in problems], ["--admit-multiple"])
