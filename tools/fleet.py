"""Starts a small fleet of real processes that listen on the loopback interface."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
import time
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum.configuration import Change, ConfigLog, ObjectKind
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from tools.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

_HOST: Final = "127.0.0.1"
_PROGRAM: Final = (sys.executable, "-m", "sequoiadrum")
_START_TIMEOUT_S: Final = 30.0


@define(eq=False)
class Process:
    """One process of the fleet."""

    name: str
    popen: subprocess.Popen[str]
    address: Address
    """Address for callers."""
    operator_address: Address | None = None
    """Address of a router for operators."""
    peer_address: Address | None = None
    """Address of a router for other routers."""

    def kill(self) -> None:
        """Kills the process (SIGKILL) and waits until it has ended."""
        self.popen.kill()
        self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()

    def freeze(self) -> None:
        """Pauses the process (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful shutdown (SIGTERM) without waiting for it."""
        self.popen.terminate()


@define(eq=False)
class Fleet:
    """Platform stand-in, engines, services and routers as separate processes."""

    router_flags: Sequence[str] = ()
    """Command line flags of every router."""
    router_environment: Mapping[str, str] | None = None
    """Environment of the routers; None for the environment of this process."""
    platform: Process | None = None
    engines_by_id: dict[str, Process] = field(factory=dict)
    services_by_id: dict[str, Process] = field(factory=dict)
    routers_by_id: dict[str, Process] = field(factory=dict)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start_platform(self) -> None:
        """Starts the platform stand-in."""
        self.platform = self._start_stand_in("platform", "platform")

    def start_engine(self, engine_id: str, *flags: str) -> Process:
        """Starts an engine stand-in."""
        process = self.engines_by_id[engine_id] = self._start_stand_in("engine", engine_id, *flags)
        return process

    def start_service(self, service_id: str) -> Process:
        """Starts a plain service stand-in."""
        process = self.services_by_id[service_id] = self._start_stand_in("service", service_id)
        return process

    def start_router(
        self,
        router_id: str,
        failure_domain: str = "d1",
        *flags: str,
        platform: Address | None = None,
    ) -> Process:
        """Starts a router without waiting until it is ready.

        Args:
            router_id: Instance id; the id of a process that has ended can be reused.
            failure_domain: Failure domain of the router.
            flags: Command line flags of this router only.
            platform: Address at which the router reaches the platform; by default that of the
                stand-in.
        """
        http_port, peer_port, operator_port = free_ports(3)
        seed = self.seed()
        arguments = [
            *_PROGRAM,
            "serve",
            f"--instance-id={router_id}",
            f"--host={_HOST}",
            f"--failure-domain={failure_domain}",
            f"--platform={platform or self.platform_address()}",
            f"--http-port={http_port}",
            f"--peer-port={peer_port}",
            f"--operator-port={operator_port}",
            *([f"--seeds={seed}"] if seed else []),
            *self.router_flags,
            *flags,
        ]
        popen = subprocess.Popen(
            arguments, stderr=subprocess.DEVNULL, text=True, env=self.router_environment
        )
        process = Process(
            router_id,
            popen,
            Address(_HOST, http_port),
            Address(_HOST, operator_port),
            Address(_HOST, peer_port),
        )
        self.routers_by_id[router_id] = process
        return process

    def seed(self) -> str:
        """Returns the peer address that others join by, of the first running router, or ""."""
        running = (r for r in self.routers_by_id.values() if r.popen.poll() is None)
        return next((str(router.peer_address) for router in running), "")

    def wait_ready(self) -> None:
        """Waits until every router that was not ended is ready.

        Raises:
            TimeoutError: A router did not become ready in time.
        """
        for router in self.routers_by_id.values():
            if router.popen.returncode is not None:
                continue  # The router was ended on purpose.
            wait_until_ready(router.address.host, router.address.port, router.popen)

    def wait_converged(self) -> None:
        """Waits until every router is ready and considers exactly the running routers alive.

        Until then several routers may act as owner of one pool, each with separate counts of its
        requests in flight.

        Raises:
            TimeoutError: The views did not converge in time.
        """
        self.wait_ready()
        running = [r for r in self.routers_by_id.values() if r.popen.poll() is None]
        deadline = time.monotonic() + _START_TIMEOUT_S
        while any(routers_alive(router.address) != len(running) for router in running):
            if time.monotonic() > deadline:
                raise TimeoutError("the routers do not agree on which of them are alive")
            time.sleep(0.05)

    def platform_address(self) -> Address:
        """Returns the address of the running platform stand-in."""
        assert self.platform is not None
        return self.platform.address

    def write_config(self, objects: Iterable[tuple[ObjectKind, str, Mapping[str, Any]]]) -> None:
        """Writes the initial configuration to the platform."""
        changes = tuple(
            Change(number, f"initial-{number}", kind, name, value)
            for number, (kind, name, value) in enumerate(objects, 1)
        )
        client = HttpPlatformClient(self.platform_address(), Metrics(), 5.0)
        client.put("config/log", ConfigLog(changes).encode(), 0).unwrap()
        client.close()

    def default_config(self, accounts: int = 10) -> list[tuple[ObjectKind, str, Mapping[str, Any]]]:
        """Returns configuration objects: the started endpoints, routes to them and accounts."""
        objects: list[tuple[ObjectKind, str, Mapping[str, Any]]] = [
            (ObjectKind.ROUTE, "assistant", {"pool": "assistant"}),
            (ObjectKind.ROUTE, "orders", {"pool": "orders", "idempotent": False}),
            (ObjectKind.ROUTE, "catalog", {"pool": "orders"}),
        ]
        for number in range(accounts):
            limits = {"requests_per_s": 10_000, "burst": 10_000}
            objects.append((ObjectKind.ACCOUNT, f"account-{number}", limits))
        for pool, kind, by_id in (
            ("assistant", "engine", self.engines_by_id),
            ("orders", "service", self.services_by_id),
        ):
            for number, (endpoint_id, process) in enumerate(by_id.items()):
                objects.append(
                    (
                        ObjectKind.ENDPOINT,
                        endpoint_id,
                        {
                            "pool": pool,
                            "kind": kind,
                            "host": process.address.host,
                            "port": process.address.port,
                            "failure_domain": f"d{number % 3 + 1}",
                            "checks_fencing": kind == "engine",
                        },
                    )
                )
        return objects

    def stop(self) -> None:
        """Kills all processes that this fleet started."""
        processes = [
            *self.routers_by_id.values(),
            *self.engines_by_id.values(),
            *self.services_by_id.values(),
            *([self.platform] if self.platform else []),
        ]
        for process in processes:
            with contextlib.suppress(OSError):
                process.kill()

    def _start_stand_in(self, kind: str, name: str, *flags: str) -> Process:
        popen = subprocess.Popen(
            [*_PROGRAM, "stand-in", kind, *flags], stdout=subprocess.PIPE, text=True
        )
        assert popen.stdout is not None
        line = popen.stdout.readline()
        return Process(name, popen, Address(_HOST, int(line.rsplit(":", 1)[1])))


def parse_metrics(address: Address) -> dict[str, float]:
    """Returns the metrics of a router by name with labels, read from its text exposition.

    Raises:
        OSError, HTTPException: The router did not respond.
    """
    connection = HTTPConnection(address.host, address.port, timeout=5)
    try:
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
    finally:
        connection.close()
    return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def routers_alive(address: Address) -> int:
    """Returns how many routers, itself included, a router considers alive; 0 without a response."""
    try:
        return int(parse_metrics(address).get("sequoiadrum_routers_alive", 0))
    except (OSError, HTTPException):
        return 0


def wait_until_ready(host: str, port: int, popen: subprocess.Popen[Any]) -> None:
    """Waits until a router is ready.

    Raises:
        TimeoutError: The router ended or was not ready in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while not is_ready(Address(host, port)):
        if time.monotonic() > deadline or popen.poll() is not None:
            raise TimeoutError(f"router on port {port} is not ready")
        time.sleep(0.05)


def is_ready(address: Address) -> bool:
    """Returns whether a router reports that it is ready; False without a response."""
    try:
        return call_json(address, "GET", "/readyz")[0] == 200
    except (OSError, HTTPException):
        return False


def call_json(
    address: Address,
    method: str,
    path: str,
    document: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, Any]:
    """Makes one call on a new connection; returns the status and the decoded JSON response.

    Raises:
        OSError, HTTPException: No response was received.
    """
    connection = HTTPConnection(address.host, address.port, timeout=timeout_s)
    try:
        body = None if document is None else json.dumps(document)
        connection.request(
            method, path, body, {"Content-Type": "application/json", **(headers or {})}
        )
        response = connection.getresponse()
        raw = response.read()
        return response.status, json.loads(raw) if raw else None
    finally:
        connection.close()
