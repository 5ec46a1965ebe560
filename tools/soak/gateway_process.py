"""Runs one gateway of a soak: writes its settings, starts its processes and sends signals."""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Final

from sequoiadrum.messages import Address
from sequoiadrum.platform.directory_codec import READINESS_PATH
from sequoiadrum.platform.early_listeners import PATH_VARIABLE
from tools.ports import free_ports
from tools.soak.callers import GatewayAddress
from tools.soak.proxy import FaultProxy
from tools.soak.record import Exit

if TYPE_CHECKING:
    from tools.soak.record import Record

_PROJECT_ROOT: Final = Path(__file__).parent.parent.parent
_SETTINGS_TEMPLATE: Final = """
node_name = "{name}"
ip = "{host}"
zone = "z1"
region = "r"
internal_ports = [{ports[4]}, {ports[4]}]
seeds = {seeds}
[bind]
front = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
directory = "{host}:{ports[2]}"
[limits]
memory_mb = 222
max_fds = 1535
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_slack = 108
retry_window_s = 10
ttl_max_s = 5
[platform]
address = "{store}"
"""


class GatewayProcess:
    """One gateway: its settings file, its proxy to the store and its current process."""

    def __init__(self, name: str, host: str, store: Address, log_dir: Path, record: Record) -> None:
        self.name: Final = name
        self.host: Final = host
        self.store_proxy: Final = FaultProxy(store)
        self.ports: Final = free_ports(5)
        self.address: Final = GatewayAddress(name, Address(host, self.ports[2]))
        self._record = record
        self._settings = log_dir / f"{name}.toml"
        self._log = (log_dir / f"{name}.log").open("ab")
        self._popen: subprocess.Popen[bytes] | None = None
        self.lock: Final = threading.Lock()
        """Held by the thread that ends and restarts the process."""
        self._is_exit_expected = False

    def start(self) -> None:
        """Starts a new process and increments the process number."""
        process_env = {**os.environ, PATH_VARIABLE: str(self._settings)}
        command = [sys.executable, str(_PROJECT_ROOT / "deploy" / "gateway.py")]
        self.address.process += 1
        self._is_exit_expected = False
        self._popen = subprocess.Popen(
            command, env=process_env, stdout=self._log, stderr=self._log, cwd=_PROJECT_ROOT
        )

    def write_settings(self, seeds: list[str], ports: list[int]) -> None:
        """Writes the settings file.

        Args:
            seeds: Addresses of the gateways that a starting gateway contacts first.
            ports: Ports of the gateway; they must be the same on all gateways.
        """
        proxy = self.store_proxy.address
        self._settings.write_text(_settings(self.name, self.host, proxy, seeds, ports))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def expect_exit(self) -> None:
        """Marks the exit of the current process as expected."""
        self._is_exit_expected = True

    def wait(self, timeout_s: float) -> bool:
        """Waits for the process to exit; returns False if it still runs after the timeout."""
        assert self._popen is not None
        try:
            self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def record_exit(self, overdue_s: float = 0.0) -> None:
        """Records the exit of the process.

        Args:
            overdue_s: Time by which a graceful shutdown exceeded its grace period, in seconds.
        """
        assert self._popen is not None
        code = self._popen.returncode
        is_expected = self._is_exit_expected and code in (0, -signal.SIGKILL)
        self._record.exits.append(
            Exit(self.name, self.address.process, code, is_expected, overdue_s)
        )

    def has_exited_unexpectedly(self) -> bool:
        """Returns whether the process has exited although no exit was expected."""
        popen = self._popen
        return popen is not None and popen.poll() is not None and not self._is_exit_expected

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit."""
        self.expect_exit()
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()

    def close(self) -> None:
        """Kills the process, stops its proxy to the store and closes its log file."""
        self.kill()
        self.store_proxy.stop()
        self._log.close()


def is_ready(address: Address) -> bool:
    """Returns whether the readiness endpoint at an address responds with status 200."""
    connection = http.client.HTTPConnection(address.host, address.port, timeout=1)
    try:
        connection.request("GET", READINESS_PATH)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def _settings(name: str, host: str, store: Address, seeds: list[str], ports: list[int]) -> str:
    address = f"{store.host}:{store.port}"
    return _SETTINGS_TEMPLATE.format(name=name, host=host, ports=ports, seeds=seeds, store=address)
