"""Tests of `tools.operator_cli`."""

from __future__ import annotations

import subprocess
import unittest
from unittest import mock

from tools import operator_cli


def _ended(status: int) -> subprocess.CompletedProcess[str]:
    return subprocess.CompletedProcess([], status, stdout="done", stderr="why")


class RunUntilAvailableTest(unittest.TestCase):
    """Commands of a replay meet the outages of its trace."""

    def setUp(self) -> None:
        self.fleet = mock.Mock(routers_by_id={})
        self.enterContext(mock.patch.object(operator_cli, "RETRY_PAUSE_S", 0.0))

    def test_command_without_effect_is_repeated(self) -> None:
        """Guards against a replay that fails because its drain began late, during the outage."""
        with mock.patch.object(subprocess, "run", side_effect=[_ended(5), _ended(5), _ended(0)]):
            self.assertEqual(operator_cli.run_until_available(self.fleet, "plan"), "done")

    def test_other_failures_are_told_at_once(self) -> None:
        """Guards against a broken command that is repeated until it happens to work."""
        with mock.patch.object(subprocess, "run", side_effect=[_ended(3), _ended(0)]):
            with self.assertRaises(operator_cli.OperatorCommandError):
                operator_cli.run_until_available(self.fleet, "plan")

    def test_outage_without_end_is_told(self) -> None:
        """Guards against a replay that hangs."""
        with (
            mock.patch.object(operator_cli, "OUTAGE_TIMEOUT_S", -1.0),
            mock.patch.object(subprocess, "run", side_effect=[_ended(5), _ended(0)]),
            self.assertRaises(operator_cli.OperatorCommandError),
        ):
            operator_cli.run_until_available(self.fleet, "plan")
