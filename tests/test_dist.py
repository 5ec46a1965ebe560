"""Tests of the program that is built as one file."""

from __future__ import annotations

import os
import subprocess
import tempfile
import unittest
from pathlib import Path

from tools.build_dist import build
from tools.fleet import Fleet, wait_until_ready
from tools.ports import free_ports


def child_processes(pid: int) -> list[int]:
    """Returns the ids of the direct children of a process, read from procfs."""
    children: list[int] = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        children += [int(child) for child in (task / "children").read_text().split()]
    return children


class DistTest(unittest.TestCase):
    """The built file is a self-contained program."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.program = build(self.folder / "sequoiadrum", self.folder / "site")
        self.environment = {
            "PATH": os.environ["PATH"],
            "SHIV_ROOT": str(self.folder / "root"),
        }

    def test_serves_as_one_process(self) -> None:
        """Guards against a launcher process beside the router, which the instances do not allow."""
        fleet = self.enterContext(Fleet())
        fleet.start_platform()
        fleet.write_config(fleet.default_config(accounts=1))
        http_port, peer_port, operator_port = free_ports(3)
        popen = subprocess.Popen(
            [
                str(self.program),
                "serve",
                "--instance-id=r1",
                "--host=127.0.0.1",
                "--failure-domain=d1",
                f"--platform={fleet.platform_address()}",
                f"--http-port={http_port}",
                f"--peer-port={peer_port}",
                f"--operator-port={operator_port}",
                "--address-ttl-s=0.1",
            ],
            env=self.environment,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        wait_until_ready("127.0.0.1", http_port, popen)
        self.assertEqual(child_processes(popen.pid), [])
        popen.terminate()
        self.assertEqual(popen.wait(30), 0)

    def test_check_names_bad_setting(self) -> None:
        """Guards against an error message without the flag, its value or the allowed values."""
        result = subprocess.run(
            [
                str(self.program),
                "serve",
                "--instance-id=r 1",
                "--host=x",
                "--failure-domain=d1",
                "--platform=127.0.0.1:9",
                "--check",
            ],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("--instance-id: 'r 1' is not allowed, expected 1 to 64", result.stderr)
        self.assertIn("--host: 'x' is not allowed, expected an IP address", result.stderr)
