"""Account limits over several routers, with peer calls over TCP on the loopback interface."""

from __future__ import annotations

import threading
import time
import unittest
from typing import Any

from returns.result import Failure

from sequoiadrum.configuration import ObjectKind
from sequoiadrum.hashing import first_ranked
from sequoiadrum.limits_task import LimitsTask
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import PeerClient, PeerFailure, ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.timers import TimerService
from tests.builders import a_config
from tests.relay_fakes import FakeConfig, FakeMembership, a_member


class HungPeers(PeerClient):
    """Client whose calls block until the test ends, for at most 60 s."""

    def __init__(self, released: threading.Event) -> None:
        self._released = released

    def call(self, address: Address, make: Any, timeout_s: float) -> Any:
        self._released.wait(60)
        return Failure(PeerFailure.BROKEN)


class LimitsTaskTest(unittest.TestCase):
    """Three routers that share one view of the membership."""

    def setUp(self) -> None:
        account = (ObjectKind.ACCOUNT, "a1", {"requests_per_s": 100, "burst": 20})
        config = FakeConfig(a_config(account))
        self.members: dict[str, Any] = {}
        self.tasks: dict[str, LimitsTask] = {}
        self.servers: dict[str, Any] = {}
        timers = TimerService(Metrics())
        timers.start()
        self.addCleanup(timers.stop)
        for router_id in ("r1", "r2", "r3"):
            metrics = Metrics()
            peers = ThriftPeerClient(metrics)
            self.addCleanup(peers.close)
            membership = FakeMembership(router_id, self.members)
            task = LimitsTask(config, membership, peers, timers, metrics, lambda: None)
            handler = PeerHandler(None, None, None, None, task)
            server = create_peer_server(Address("127.0.0.1", 0), handler, metrics)
            server.start()
            self.addCleanup(server.stop)
            self.members[router_id] = a_member(router_id, server.port)
            self.tasks[router_id] = task
            self.servers[router_id] = server
        self.started = time.monotonic()
        for task in self.tasks.values():
            task.start()
            self.addCleanup(task.stop)

    def surge(self, seconds: float, router_ids: tuple[str, ...]) -> int:
        """Sends requests to the routers in turn for a time; returns the number of admitted ones."""
        admitted = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for router_id in router_ids:
                admitted += self.tasks[router_id].admit("a1") is None
            time.sleep(0.001)
        return admitted

    def test_limit_holds_over_routers(self) -> None:
        """Guards against routers that each grant the full limit of the account."""
        admitted = self.surge(2.0, ("r1", "r2", "r3"))
        elapsed = time.monotonic() - self.started
        self.assertLessEqual(admitted, 20 + 100 * elapsed)
        self.assertGreater(admitted, 50)

    def test_request_does_not_wait_for_a_hung_owner(self) -> None:
        """Guards against requests that block until an unresponsive owner replies."""
        owner = first_ranked("limits:a1", self.members) or ""
        task = next(task for router_id, task in self.tasks.items() if router_id != owner)
        released = threading.Event()
        self.addCleanup(released.set)
        task._peers = HungPeers(released)
        self.assertIsNotNone(task.admit("a1"))
        self.assertFalse(released.is_set())

    def test_lost_owner_does_not_open_the_limit(self) -> None:
        """Guards against admitting all requests, or none, while the account owner is dead."""
        owner = first_ranked("limits:a1", self.members) or ""
        others = tuple(r for r in self.tasks if r != owner)
        self.servers[owner].stop()
        admitted = self.surge(2.0, others[:1])
        self.assertGreater(admitted, 0)
        self.assertLessEqual(admitted, (20 + 100 * (time.monotonic() - self.started)) / 3 + 1)

    def test_next_owner_takes_over(self) -> None:
        """Guards against an account that has no owner after its owner has died."""
        owner = first_ranked("limits:a1", self.members) or ""
        others = tuple(r for r in self.tasks if r != owner)
        self.servers[owner].stop()
        del self.members[owner]
        next_owner = first_ranked("limits:a1", self.members) or ""
        metrics = self.tasks[next_owner].metrics
        granted = 0.0
        for _ in range(20):
            self.surge(0.5, others)
            granted = metrics.value("limit_leases_total", result="granted")
            if granted:
                break
        self.assertGreater(granted, 0)
