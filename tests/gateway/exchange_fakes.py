"""Stand-ins for the parts around `LoadExchangeTask`, without threads and sockets."""

from __future__ import annotations

import time
from types import MappingProxyType
from typing import Any

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._thrift_transport import decode
from sequoiadrum.gateway.cold_endpoints import ColdEndpoints
from sequoiadrum.gateway.load_board import Loads
from sequoiadrum.gateway.load_exchange import LoadExchangeTask
from sequoiadrum.gateway.rate_limits import RateLimits
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics


class FakeLink:
    """Stand-in for the membership: all routers are alive, and datagrams are collected."""

    def __init__(self, own_id: str, size: int, domains: int) -> None:
        self._own_id = own_id
        self._members = MappingProxyType(
            {
                f"r{n}": Member(
                    f"r{n}", f"h{n}", 1, 2, f"z{n % domains}", "r", 1, 0, MemberState.ALIVE
                )
                for n in range(size)
            }
        )
        self.sent: list[tuple[str, ttypes.LoadReport]] = []
        self.unreachable: list[str] = []

    def subscribe_side_datagrams(self, task: Any) -> None:
        return

    def members(self) -> Any:
        return self._members

    def last_contact_at(self) -> float | None:
        return time.monotonic()

    def self_id(self) -> str:
        return self._own_id

    def report_unreachable(self, router_id: str) -> None:
        self.unreachable.append(router_id)

    def send_side_datagram(self, address: Address, data: bytes) -> None:
        report = decode(ttypes.LoadReport(), data)
        assert report is not None
        self.sent.append((address.host.replace("h", "r"), report))


class FakePool:
    """Stand-in for the endpoint pool with fixed own requests."""

    def __init__(self, own: Loads) -> None:
        self._own = own
        self.fleet: Loads | None = None
        self.rate_limits = RateLimits()
        self.cold = ColdEndpoints()

    def own_loads(self) -> Loads:
        return self._own

    def set_fleet_loads(self, loads: Loads) -> None:
        self.fleet = loads

    def elsewhere(self) -> dict[int, int]:
        assert self.fleet is not None
        return {k: v for k, v in self.fleet.in_flight_by_endpoint.items() if v}


def make_task(
    own_id: str,
    own: dict[int, int],
    parts: dict[int, int] | None = None,
    size: int = 8,
    domains: int = 2,
) -> tuple[LoadExchangeTask, FakeLink, FakePool]:
    """Creates the task of one of `size` routers, with the requests that it has in flight."""
    link, pool = FakeLink(own_id, size, domains), FakePool(Loads(own, parts or {}))
    domain = link.members()[own_id].failure_domain
    task = LoadExchangeTask(link, pool, domain, Metrics(), lambda: None)  # type: ignore[arg-type]
    return task, link, pool
