"""Tests of `platform.domain_command`."""

from __future__ import annotations

import contextlib
import io
import unittest

from sequoiadrum._cli_base import ExitCode
from sequoiadrum.platform.domain_command import run
from tests.platform.store_stand_in import StoreStandIn


class DomainCommandTest(unittest.TestCase):
    """Operators evacuate and readmit failure domains by commands."""

    def setUp(self) -> None:
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)

    def _run(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        address = f"{self.store.address.host}:{self.store.address.port}"
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = run([*arguments, "--store", address])
        return status, output.getvalue()

    def test_evacuate_status_and_readmit(self) -> None:
        """Guards against a command whose effect differs from what it prints."""
        self.assertEqual(self._run("evacuate", "z1")[0], ExitCode.OK)
        self.assertTrue(self.store.has("evacuations", "z1"))
        status, output = self._run("status")
        self.assertEqual(status, ExitCode.OK)
        self.assertIn("z1: evacuated at revision", output)
        self.assertEqual(self._run("readmit", "z1")[0], ExitCode.OK)
        self.assertFalse(self.store.has("evacuations", "z1"))
        self.assertIn("no failure domain", self._run("status")[1])

    def test_commands_may_be_repeated(self) -> None:
        """Guards against a retry after a lost response that reports a failure."""
        for action in ("evacuate", "readmit"):
            self._run(action, "z1")
            status, output = self._run(action, "z1")
            self.assertEqual(status, ExitCode.OK)
            self.assertIn("already", output)

    def test_failures_say_whether_something_changed(self) -> None:
        """Guards against an operator who takes a lost response for a refusal."""
        self.store.status = 503
        self.assertEqual(self._run("evacuate", "z1")[0], ExitCode.UNAVAILABLE)
        self.assertEqual(self._run("status")[0], ExitCode.UNAVAILABLE)
        self.store.status = None
        self.store.loses_responses = True
        self.assertEqual(self._run("evacuate", "z1")[0], ExitCode.UNKNOWN)

    def test_wrong_usage(self) -> None:
        """Guards against an object without a name, and a traceback for a wrong address."""
        self.assertEqual(self._run("evacuate")[0], ExitCode.USAGE)
        self.assertEqual(self._run("status", "z1")[0], ExitCode.USAGE)
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(run(["status", "--store", "nowhere"]), ExitCode.USAGE)
