"""Measures the control traffic of idle router processes and the propagation of changes.

Usage: `PYTHONPATH=src:. python tools/bench_control.py [SIZE ...]`.
"""

from __future__ import annotations

import statistics
import sys
import time
from http.client import HTTPException
from typing import TYPE_CHECKING, Final

from sequoiadrum.app import Router
from sequoiadrum.cli import configure_logs
from sequoiadrum.configuration import ChangeRequest, ObjectKind
from sequoiadrum.settings import Settings
from tools.figures import cpu_seconds, status
from tools.fleet import Fleet, call_json, parse_metrics
from tools.ports import free_ports

if TYPE_CHECKING:
    from sequoiadrum.messages import Address

SIZES: Final = (14, 28, 56)
CHANGES: Final = 20
IDLE_S: Final = 15.0


def _read_metrics(address: Address) -> dict[str, float]:
    """Returns the metrics of a router, or no values if it cannot be reached."""
    try:
        return parse_metrics(address)
    except (OSError, HTTPException):
        return {}


def _control_bytes(fleet: Fleet) -> dict[str, float]:
    totals = {"sent": 0.0, "received": 0.0}
    for process in fleet.routers_by_id.values():
        for name, value in _read_metrics(process.address).items():
            if name.startswith("sequoiadrum_control_bytes_total"):
                totals["sent" if 'direction="sent"' in name else "received"] += value
    return totals


def _cpu_s(fleet: Fleet) -> float:
    return sum(cpu_seconds(process) for process in fleet.routers_by_id.values())


def _memory_mb(fleet: Fleet) -> float:
    routers = fleet.routers_by_id.values()
    return statistics.mean(status(process, "VmRSS:") / 1024 for process in routers)


def _platform_calls(fleet: Fleet) -> int:
    assert fleet.platform is not None
    return sum(call_json(fleet.platform.address, "GET", "/_stats")[1].values())


def _propagation_times_s(fleet: Fleet, writer: Router) -> list[float]:
    """Measures for each change how many seconds pass until all routers have applied it.

    A change that some router has not applied after 10 s counts as infinite.
    """
    delays_s = []
    for number in range(CHANGES):
        value = {"requests_per_s": number + 1}
        request = ChangeRequest(f"bench-{number}", ObjectKind.ACCOUNT, "bench", value, None)
        revision = writer.config_writer.submit(request).unwrap().revision
        accepted_at = time.monotonic()
        lagging = [process.address for process in fleet.routers_by_id.values()]
        while lagging and time.monotonic() - accepted_at < 10:
            lagging = [a for a in lagging if _applied_revision(a) < revision]
        delays_s.append(time.monotonic() - accepted_at if not lagging else float("inf"))
    return delays_s


def _applied_revision(address: Address) -> int:
    return int(_read_metrics(address).get("sequoiadrum_config_revision", -1))


def measure(size: int) -> str:
    """Measures one fleet and returns its table row."""
    with Fleet(["--address-ttl-s=0.2", "--max-streams=8"]) as fleet:
        fleet.start_platform()
        fleet.write_config(fleet.default_config())
        for number in range(size - 1):
            fleet.start_router(f"router-{number}", f"d{number % 4}")
        fleet.wait_ready()
        assert fleet.platform is not None
        http_port, peer_port, operator_port = free_ports(3)
        settings = Settings(
            instance_id="writer",
            host="127.0.0.1",
            failure_domain="d1",
            platform=str(fleet.platform.address),
            http_port=http_port,
            peer_port=peer_port,
            operator_port=operator_port,
            seeds=fleet.seed(),
            max_streams=8,
            address_ttl_s=0.1,
        )
        writer = Router(settings)
        writer.start()
        try:
            deadline = time.monotonic() + 30
            while len(writer.gossip.members()) < size or writer.config.refusal():
                if time.monotonic() > deadline:
                    return f"{size:6d} not converged: {len(writer.gossip.members())} members"
                time.sleep(0.1)
            time.sleep(3)
            bytes_before, cpu_before, calls_before = (
                _control_bytes(fleet),
                _cpu_s(fleet),
                _platform_calls(fleet),
            )
            started = time.monotonic()
            time.sleep(IDLE_S)
            elapsed = time.monotonic() - started
            cpu = _cpu_s(fleet) - cpu_before
            calls = _platform_calls(fleet) - calls_before
            after = _control_bytes(fleet)
            routers = len(fleet.routers_by_id)
            sent, received = (
                (after[d] - bytes_before[d]) / elapsed / routers for d in ("sent", "received")
            )
            delays_s = sorted(_propagation_times_s(fleet, writer))
        finally:
            writer.stop()
        return (
            f"{size:6d} {sent:6.0f} {received:6.0f} {calls / elapsed:8.2f} "
            f"{100 * cpu / elapsed / routers:7.2f} {_memory_mb(fleet):7.1f} "
            f"{delays_s[len(delays_s) // 2]:7.3f} {delays_s[-1]:7.3f}"
        )


def main() -> None:
    """Prints one table row for each fleet size."""
    configure_logs("json")
    sizes = [int(text) for text in sys.argv[1:]] or list(SIZES)
    print(f"# idle routers for {IDLE_S:g} s, then {CHANGES} changes through one of them; loopback")
    print("# sent, received: control B/s per router; platform: calls/s of all routers together")
    print("# cpu: % of a core per router, including metrics reads; rss: MB per router")
    print("# in force: s from acceptance until all report the revision (p50 max), with polling")
    print("#  size   sent   recv platform    cpu%  rss-MB  p50-s   max-s")
    for size in sizes:
        print(measure(size), flush=True)


if __name__ == "__main__":
    main()
