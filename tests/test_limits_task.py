"""Account limits over several routers, with the real peer call on loopback."""

from __future__ import annotations

import time
import unittest
from typing import Any

from sequoiadrum.configuration import ObjectKind
from sequoiadrum.hashing import first_ranked
from sequoiadrum.limits_task import LimitsTask
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.timers import TimerService
from tests.builders import a_config
from tests.relay_fakes import FakeConfig, FakeMembership, a_member


class LimitsTaskTest(unittest.TestCase):
    """Three routers that share one view of the members."""

    def setUp(self) -> None:
        account = (ObjectKind.ACCOUNT, "a1", {"requests_per_s": 100, "burst": 20})
        config = FakeConfig(a_config(account))
        self.members: dict[str, Any] = {}
        self.tasks: dict[str, LimitsTask] = {}
        self.servers: dict[str, Any] = {}
        timers = TimerService()
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
        for task in self.tasks.values():
            task.start()
            self.addCleanup(task.stop)
        self.started = time.monotonic()

    def surge(self, seconds: float, router_ids: tuple[str, ...]) -> int:
        """Asks without pause on each router in turn; gives how many were admitted."""
        admitted = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for router_id in router_ids:
                admitted += self.tasks[router_id].admit("a1") is None
            time.sleep(0.001)
        return admitted

    def test_limit_holds_over_routers(self) -> None:
        """Guards against each router granting the whole limit for itself."""
        admitted = self.surge(2.0, ("r1", "r2", "r3"))
        elapsed = time.monotonic() - self.started
        self.assertLessEqual(admitted, 20 + 100 * elapsed)
        self.assertGreater(admitted, 50)

    def test_lost_owner_does_not_block_or_open_the_limit(self) -> None:
        """Guards against callers that wait for a dead owner, or pass without a limit."""
        owner = first_ranked("limits:a1", self.members) or ""
        others = tuple(r for r in self.tasks if r != owner)
        self.servers[owner].stop()
        longest = 0.0
        admitted = 0
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            asked = time.monotonic()
            admitted += self.tasks[others[0]].admit("a1") is None
            longest = max(longest, time.monotonic() - asked)
            time.sleep(0.001)
        self.assertLess(longest, 1.0)
        self.assertGreater(admitted, 0)
        self.assertLessEqual(admitted, (20 + 100 * (time.monotonic() - self.started)) / 3 + 1)

    def test_next_owner_takes_over(self) -> None:
        """Guards against an account without an owner after its owner's death."""
        owner = first_ranked("limits:a1", self.members) or ""
        others = tuple(r for r in self.tasks if r != owner)
        self.servers[owner].stop()
        del self.members[owner]
        self.surge(0.5, others)
        following = first_ranked("limits:a1", self.members) or ""
        granted = self.tasks[following].metrics.value("limit_leases_total", result="granted")
        self.assertGreater(granted, 0)
