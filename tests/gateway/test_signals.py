"""Tests of signals that arrive while a gateway starts or stops."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Final
from unittest import mock

from sequoiadrum.platform.early_listeners import open_listeners
from tests.gateway.world import WAIT_S, World
from tools.ports import free_ports

_ROOT: Final = Path(__file__).parent.parent.parent
_ENTRY: Final = _ROOT / "deploy" / "gateway.py"
_PRINT_DEFAULT_HANDLERS: Final = f"""
import runpy, signal
import sequoiadrum.platform.launch as launch
numbers = (signal.SIGHUP, signal.SIGTERM)
launch.main = lambda *_: print(*(signal.getsignal(n) is signal.SIG_DFL for n in numbers)) or 0
runpy.run_path({str(_ENTRY)!r}, run_name="__main__")
"""


_PRINT_OPENSSL_MODULES: Final = f"""
import runpy, sys
runpy.run_path({str(_ENTRY)!r}, run_name="entry")
import sequoiadrum.platform.launch
print("http.client" in sys.modules)
print([name for name in ("ssl", "_ssl", "_hashlib") if sys.modules.get(name)])
"""

_CONNECT_BEFORE_IMPORTS: Final = f"""
import runpy, socket, sys, types
loaded = types.ModuleType("sequoiadrum.platform.launch")
def main(listeners):
    for port in sys.argv[1:]:
        socket.create_connection(("127.0.0.1", int(port)), 10).close()
        print("connected")
    print("loaded" if "sequoiadrum.gateway.app" in sys.modules else "not loaded")
    return 0
loaded.main = main
sys.modules["sequoiadrum.platform.launch"] = loaded
runpy.run_path({str(_ENTRY)!r}, run_name="__main__")
"""


_EXIT_BESIDE_BLOCKED_THREAD: Final = """
import sys, threading, time
from concurrent.futures import ThreadPoolExecutor
from sequoiadrum.process_exit import exit_process
is_blocked = threading.Event()
executor = ThreadPoolExecutor(1)
executor.submit(lambda: (is_blocked.set(), time.sleep(600)))
is_blocked.wait()
executor.shutdown(wait=False, cancel_futures=True)
sys.stdout.write("stopped")
exit_process(3)
"""


class SignalTest(unittest.TestCase):
    """Signals do not kill a process before its handlers are set or after they are removed."""

    def test_signals_are_handled_before_the_program_is_loaded(self) -> None:
        """Guards against a reload or stop signal that kills a process during its imports."""
        completed = subprocess.run(
            [sys.executable, "-c", _PRINT_DEFAULT_HANDLERS],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            cwd=_ROOT,
        )
        self.assertEqual(completed.stdout.strip(), "False False")

    def test_openssl_is_not_loaded(self) -> None:
        """Guards against 4 MB in each process for a library that the gateway does not use."""
        completed = subprocess.run(
            [sys.executable, "-c", _PRINT_OPENSSL_MODULES],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            cwd=_ROOT,
        )
        self.assertEqual(completed.stdout.splitlines(), ["True", "[]"])

    def test_callers_connect_before_the_program_is_loaded(self) -> None:
        """Guards against connections that are refused while a restarted process imports itself."""
        ports = free_ports(2)
        lines = [
            "[bind]",
            f'front = "127.0.0.1:{ports[0]}"',
            f'directory = "127.0.0.1:{ports[1]}"',
        ]
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write("\n".join(lines))
            file.flush()
            process = subprocess.Popen(
                [sys.executable, "-c", _CONNECT_BEFORE_IMPORTS, *map(str, ports)],
                stdout=subprocess.PIPE,
                text=True,
                cwd=_ROOT,
                env={**os.environ, "SEQUOIADRUM_NODE_FILE": file.name},
            )
            output, _ = process.communicate(timeout=60)
        self.assertEqual(output.split(), ["connected", "connected", "not", "loaded"])
        self.assertEqual(process.returncode, 0)

    def test_process_ends_beside_a_blocked_thread(self) -> None:
        """Guards against a stopped process that stays while a thread waits for a silent peer.

        The soak found processes that were gone only 3 s after their last line (seed 5048).
        """
        completed = subprocess.run(
            [sys.executable, "-c", _EXIT_BESIDE_BLOCKED_THREAD],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            cwd=_ROOT,
        )
        self.assertEqual((completed.returncode, completed.stdout), (3, "stopped"))

    def test_unreadable_settings_open_no_listener(self) -> None:
        """Guards against a start that ends in a traceback where the settings are reported later."""
        for text in ("", "[bind]", "bind = 3", '[bind]\nfront = "x"', "\x00", "[bind]\nfront = 1"):
            with self.subTest(text), tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                file.write(text)
                file.flush()
                with mock.patch.dict(os.environ, {"SEQUOIADRUM_NODE_FILE": file.name}):
                    self.assertEqual(open_listeners(), {})
        with mock.patch.dict(os.environ, clear=True):
            self.assertEqual(open_listeners(), {})

    def test_stop_is_noticed_when_its_signal_reaches_another_thread(self) -> None:
        """Guards against a stop signal that is never handled.

        After a suspension, the signal may be delivered to another thread than the main thread.
        """
        world = World().start()
        self.addCleanup(world.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        gateway, is_running, timed_out = world.gateway, threading.Event(), []

        def deliver() -> None:
            is_running.wait(WAIT_S)
            time.sleep(0.2)  # Gives the main thread time to start waiting.
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
            if not gateway._stop_requested.wait(WAIT_S):
                timed_out.append(True)
                gateway._stop_requested.set()

        thread = threading.Thread(target=deliver)
        thread.start()
        with (
            mock.patch.object(gateway, "start", is_running.set),
            mock.patch.object(gateway, "stop"),
        ):
            gateway.run()
        thread.join()
        self.assertEqual(timed_out, [])

    def test_reload_at_the_end_is_ignored(self) -> None:
        """Guards against a reload that kills the process at the end of a graceful shutdown."""
        world = World().start()
        self.addCleanup(world.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        gateway = world.gateway
        gateway._stop_requested.set()
        with mock.patch.object(gateway, "start"), mock.patch.object(gateway, "stop"):
            self.assertEqual(gateway.run(), 0)
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)
