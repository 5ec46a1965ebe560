"""Tests of `tools.operator_cli`, which runs operator commands during trace replays."""

from __future__ import annotations

import subprocess
import unittest
from unittest import mock

from tools import operator_cli


def _completed_process(status: int) -> subprocess.CompletedProcess[str]:
    return subprocess.CompletedProcess([], status, stdout="done", stderr="why")


class RunUntilAvailableTest(unittest.TestCase):
    """Runs commands while the platform of a replay is unavailable."""

    def setUp(self) -> None:
        self.fleet = mock.Mock(routers_by_id={})
        self.enterContext(mock.patch.object(operator_cli, "RETRY_PAUSE_S", 0.0))

    def test_command_without_effect_is_repeated(self) -> None:
        """Guards against a replay that fails because its drain starts late, during an outage."""
        with mock.patch.object(
            subprocess,
            "run",
            side_effect=[_completed_process(5), _completed_process(5), _completed_process(0)],
        ):
            self.assertEqual(operator_cli.run_until_available(self.fleet, "plan"), "done")

    def test_other_failures_are_raised_without_retry(self) -> None:
        """Guards against retries of a command that failed for another reason than an outage."""
        with mock.patch.object(
            subprocess, "run", side_effect=[_completed_process(3), _completed_process(0)]
        ):
            with self.assertRaises(operator_cli.OperatorCommandError):
                operator_cli.run_until_available(self.fleet, "plan")

    def test_outage_beyond_the_time_limit_is_raised(self) -> None:
        """Guards against a replay that retries a command forever."""
        with (
            mock.patch.object(operator_cli, "OUTAGE_TIMEOUT_S", -1.0),
            mock.patch.object(
                subprocess, "run", side_effect=[_completed_process(5), _completed_process(0)]
            ),
            self.assertRaises(operator_cli.OperatorCommandError),
        ):
            operator_cli.run_until_available(self.fleet, "plan")
