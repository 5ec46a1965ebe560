"""Measures the CPU time and bytes of a call between routers, and the CPU time of a load poll.

Usage: `PYTHONPATH=src:. python -m tools.bench_peer`.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._gen.peer import ttypes
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.standin_engine import EngineOptions, EngineServer

if TYPE_CHECKING:
    from collections.abc import Callable

CALLS: Final = 5_000


def _cpu_us(work: Callable[[], object]) -> float:
    """Returns the CPU time of the process per call of `work` in microseconds, after a warm-up."""
    for _ in range(100):
        work()
    started = time.process_time()
    for _ in range(CALLS):
        work()
    return (time.process_time() - started) / CALLS * 1e6


def measure_peer_call() -> None:
    """Prints the cost of `Peer.lease_tokens` with a handler that returns a constant."""
    metrics = Metrics()
    lease = ttypes.LimitLease(granted=10, ttl_ms=1_000, retry_after_ms=0)
    limits = SimpleNamespace(lease_tokens=lambda account, wanted, router_id: lease)
    handler = PeerHandler(Any, Any, Any, Any, limits)
    server = create_peer_server(Address("127.0.0.1", 0), handler, metrics)
    server.start()
    client = ThriftPeerClient(metrics)
    address = Address("127.0.0.1", server.port)

    def make_call(peer: Any) -> Any:
        return peer.lease_tokens("account-12345", 10, "router-1234")

    cost = _cpu_us(lambda: client.call(address, make_call, 5.0).unwrap())
    sent = metrics.value("control_bytes_total", channel="peer", direction="sent")
    client.close()
    server.stop()
    print(f"peer call, both sides: {cost:.0f} us, {sent / (CALLS + 100):.0f} bytes both ways")


def measure_poll() -> None:
    """Prints the cost of one `GET /load` to an engine stand-in in the same process."""
    server = EngineServer("127.0.0.1", 0, EngineOptions())
    server.start()
    client = HttpEngineClient(2.0, 30.0)
    address = Address("127.0.0.1", server.port)
    cost = _cpu_us(lambda: client.load(address).unwrap())
    server.stop()
    print(f"poll of an endpoint, both sides: {cost:.0f} us")


if __name__ == "__main__":
    print(f"bench_peer: {CALLS} calls each, one calling thread, loopback, one process")
    measure_peer_call()
    measure_poll()
