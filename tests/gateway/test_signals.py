"""Signals that come while a gateway starts or ends."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path
from typing import Final
from unittest import mock

from tests.gateway.world import WAIT_S, World

_ROOT: Final = Path(__file__).parent.parent.parent
_ENTRY: Final = _ROOT / "deploy" / "gateway.py"
_SHOW_HANDLERS: Final = f"""
import runpy, signal
import sequoiadrum.platform.launch as launch
numbers = (signal.SIGHUP, signal.SIGTERM)
launch.main = lambda: print(*(signal.getsignal(n) is signal.SIG_DFL for n in numbers))
runpy.run_path({str(_ENTRY)!r}, run_name="__main__")
"""


class SignalTest(unittest.TestCase):
    """A process is not killed by a signal that it has no handler for yet, or no longer."""

    def test_signals_are_handled_before_the_program_is_loaded(self) -> None:
        """Guards against a reload that ends a process which is just starting."""
        shown = subprocess.run(
            [sys.executable, "-c", _SHOW_HANDLERS],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            cwd=_ROOT,
        )
        self.assertEqual(shown.stdout.strip(), "False False")

    def test_stop_is_noticed_when_its_signal_reaches_another_thread(self) -> None:
        """Guards against a stop that is never begun because the process was suspended."""
        world = World().start()
        self.addCleanup(world.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        gateway, is_running, rescued = world.gateway, threading.Event(), []

        def deliver() -> None:
            is_running.wait(WAIT_S)
            time.sleep(0.2)  # Until the main thread waits.
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
            if not gateway._stop_requested.wait(WAIT_S):
                rescued.append(True)
                gateway._stop_requested.set()

        thread = threading.Thread(target=deliver)
        thread.start()
        with (
            mock.patch.object(gateway, "start", is_running.set),
            mock.patch.object(gateway, "stop"),
        ):
            gateway.run()
        thread.join()
        self.assertEqual(rescued, [])

    def test_reload_at_the_end_is_ignored(self) -> None:
        """Guards against a reload that turns the end of a planned stop into a crash."""
        world = World().start()
        self.addCleanup(world.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        gateway = world.gateway
        gateway._stop_requested.set()
        with mock.patch.object(gateway, "start"), mock.patch.object(gateway, "stop"):
            self.assertEqual(gateway.run(), 0)
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)
