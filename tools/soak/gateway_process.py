"""One gateway process of a soak: its settings, its way to the store and its signals."""

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
from sequoiadrum.platform.node_settings import PATH_VARIABLE
from tests.gateway.world import free_ports
from tools.soak.callers import GatewayAddress
from tools.soak.proxy import FaultProxy
from tools.soak.record import Exit

if TYPE_CHECKING:
    from tools.soak.record import Record

GRACE_S: Final = 8.0
"""From SIGTERM to SIGKILL."""
_ROOT: Final = Path(__file__).parent.parent.parent
_SETTINGS: Final = """
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
    """One gateway: its settings, its way to the store and its process."""

    def __init__(self, name: str, host: str, store: Address, folder: Path, record: Record) -> None:
        self.name: Final = name
        self.host: Final = host
        self.store_proxy: Final = FaultProxy(store)
        self.ports: Final = free_ports(5)
        self.address: Final = GatewayAddress(name, Address(host, self.ports[2]))
        self._record = record
        self._settings = folder / f"{name}.toml"
        self._log = (folder / f"{name}.log").open("ab")
        self._popen: subprocess.Popen[bytes] | None = None
        self.lock: Final = threading.Lock()
        """Held by whoever ends and starts the process."""
        self._ends_expected = False

    def start(self) -> None:
        """Starts a process."""
        environment = {**os.environ, PATH_VARIABLE: str(self._settings)}
        program = [sys.executable, str(_ROOT / "deploy" / "gateway.py")]
        self.address.process += 1
        self._ends_expected = False
        self._popen = subprocess.Popen(
            program, env=environment, stdout=self._log, stderr=self._log, cwd=_ROOT
        )

    def write_settings(self, seeds: list[str], ports: list[int]) -> None:
        """Writes the settings file; ports are the same on all gateways."""
        proxy = self.store_proxy.address
        self._settings.write_text(_settings(self.name, self.host, proxy, seeds, ports))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it lives."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def expect_end(self) -> None:
        """Notes that the process will be ended."""
        self._ends_expected = True

    def wait(self, timeout_s: float) -> bool:
        """Waits for the end of the process; False when it goes on."""
        assert self._popen is not None
        try:
            self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def record_exit(self, late_s: float = 0.0) -> None:
        """Records that the process has ended."""
        assert self._popen is not None
        code = self._popen.returncode
        expected = self._ends_expected and code in (0, -signal.SIGKILL)
        self._record.exits.append(Exit(self.name, self.address.process, code, expected, late_s))

    def has_ended_by_itself(self) -> bool:
        """Tells whether the process is gone although nobody ended it."""
        popen = self._popen
        return popen is not None and popen.poll() is not None and not self._ends_expected

    def kill(self) -> None:
        """Ends the process at once."""
        self.expect_end()
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()

    def close(self) -> None:
        """Ends the process and closes what belongs to it."""
        self.kill()
        self.store_proxy.stop()
        self._log.close()


def is_ready(address: Address) -> bool:
    """Asks a gateway whether it is ready."""
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
    return _SETTINGS.format(name=name, host=host, ports=ports, seeds=seeds, store=address)
