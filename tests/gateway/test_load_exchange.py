"""Tests of `gateway.load_exchange`: routers that share the loads of endpoints."""

from __future__ import annotations

import unittest
from unittest import mock

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gen.peer.ttypes import LoadReportKind
from sequoiadrum._thrift_transport import encode
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.load_board import hubs_by_domain
from sequoiadrum.gateway.load_exchange import (
    MAX_ENDPOINTS,
    MAX_HUB_SILENCE_S,
    _GroupDue,
    _ReportDue,
)
from sequoiadrum.messages import Address, SideDatagram
from tests.gateway.builders import an_entry
from tests.gateway.exchange_fakes import FakeLink, make_task
from tests.gateway.world import World, eventually


def _hub_and_follower(size: int = 8, domains: int = 2) -> tuple[str, str]:
    """Returns the hub of the first failure domain and another router of that domain."""
    members = FakeLink("", size, domains).members()
    (hub,) = hubs_by_domain(members.values())["z0"]
    return hub, next(m for m in members if m != hub and members[m].failure_domain == "z0")


def _datagram(
    kind: LoadReportKind,
    sender: str,
    sequence: int,
    loads: dict[int, int],
    parts: dict[int, int] | None = None,
) -> SideDatagram:
    report = ttypes.LoadReport(kind, sender, sequence, loads, parts or {})
    return SideDatagram(encode(report), Address("h", 1))


class LoadExchangeTest(unittest.TestCase):
    """The task of one router, without threads and sockets."""

    def test_report_and_reply_give_the_requests_of_others(self) -> None:
        """Guards against a router that does not know the requests of the other routers."""
        hub, follower = _hub_and_follower()
        hub_task, hub_link, _ = make_task(hub, {1: 1}, {70: 1})
        task, link, pool = make_task(follower, {1: 2, 5: 1}, {70: 2})
        task._handle(_ReportDue())
        to, report = link.sent.pop()
        self.assertEqual(to, hub)
        hub_task._handle(_datagram(LoadReportKind.GROUP, "r1", 0, {1: 4, 9: 3}, {70: 3}))
        hub_task._handle(SideDatagram(encode(report), Address("h", 1)))
        to, reply = hub_link.sent.pop()
        self.assertEqual(to, follower)
        task._handle(SideDatagram(encode(reply), Address("h", 1)))
        self.assertEqual(pool.elsewhere(), {1: 5, 9: 3})
        assert pool.fleet is not None
        self.assertEqual(pool.fleet.requests_by_part, {70: 6})

    def test_hub_sends_its_group_to_all_other_hubs(self) -> None:
        """Guards against loads that do not leave their failure domain."""
        hub, follower = _hub_and_follower()
        task, link, pool = make_task(hub, {1: 1})
        task._handle(_datagram(LoadReportKind.OWN, follower, 1, {1: 2}))
        link.sent.clear()
        task._handle(_GroupDue())
        other_hubs = hubs_by_domain(link.members().values())["z1"]
        self.assertEqual([to for to, _ in link.sent], other_hubs)
        self.assertEqual(link.sent[0][1].in_flight_by_endpoint, {1: 3})
        self.assertEqual(pool.elsewhere(), {1: 2})

    def test_silent_hub_is_replaced(self) -> None:
        """Guards against a router without loads for as long as its hub is partitioned."""
        _, follower = _hub_and_follower()
        task, link, _ = make_task(follower, {})
        now = clock.now()
        task._handle(_ReportDue())
        with mock.patch.object(clock, "now", return_value=now + MAX_HUB_SILENCE_S + 0.5):
            task._handle(_ReportDue())
        first, second = (to for to, _ in link.sent)
        self.assertNotEqual(first, second)
        self.assertEqual(link.unreachable, [first])

    def test_router_that_is_no_hub_gives_no_reply(self) -> None:
        """Guards against loads that lack the requests of most routers."""
        _, follower = _hub_and_follower()
        task, link, _ = make_task(follower, {})
        task._handle(_datagram(LoadReportKind.OWN, "r1", 1, {1: 2}))
        self.assertEqual(link.sent, [])

    def test_malformed_datagrams_change_nothing(self) -> None:
        """Guards against a message that ends the task or sets absurd loads."""
        hub, follower = _hub_and_follower()
        task, link, pool = make_task(hub, {})
        for data in (
            b"",
            b"\xff" * 40,
            encode(ttypes.LoadReport(LoadReportKind.OWN, follower, 1, None, {})),
            encode(ttypes.LoadReport(LoadReportKind.OWN, follower, 1, {1: -5}, {})),
            encode(ttypes.LoadReport(LoadReportKind.OWN, follower, 1, {}, {1: 2**31 - 1})),
            encode(ttypes.LoadReport(None, follower, 1, {1: 1}, {})),
            encode(ttypes.LoadReport(LoadReportKind.OWN, "", 1, {1: 1}, {})),
        ):
            task._handle(SideDatagram(data, Address("h", 1)))
        self.assertEqual(task.metrics.value("malformed_datagrams_total"), 7)
        task._handle(_datagram(LoadReportKind.OWN, "stranger", 1, {1: 1}))
        self.assertEqual((link.sent, pool.fleet), ([], None))

    def test_large_report_is_truncated(self) -> None:
        """Guards against fragmented datagrams; the busiest engines decide the bound."""
        hub, _ = _hub_and_follower()
        task, link, _ = make_task(
            hub, {2**30 + n: 1 + n % 7 for n in range(500)}, {2**30 + n: 3 for n in range(500)}
        )
        task._handle(_GroupDue())
        loads = link.sent[0][1].in_flight_by_endpoint
        self.assertEqual(len(loads), MAX_ENDPOINTS)
        self.assertGreaterEqual(min(loads.values()), 5)
        self.assertLess(len(encode(link.sent[0][1])), 1_200)


class SharedLoadsWholePathTest(unittest.TestCase):
    """Two complete gateways."""

    def test_requests_of_one_router_are_known_to_the_other(self) -> None:
        """Guards against loads that are lost between sockets, membership and pool."""
        first, second = World(instance_id="g1"), World(instance_id="g2")
        first.join(second)
        second.join(first)
        for world in (first, second):
            self.addCleanup(world.stop)
            world.start()
        for world in (first, second):
            world.gateway.pool.apply(an_entry("e1", service="model"), is_newly_joined=False)
        first.gateway.pool._table.by_id["e1"].in_flight = 3
        seen = second.gateway.pool._table.by_id["e1"]
        eventually(lambda: seen.fleet_load(clock.now()) == 3, "the load is known")


if __name__ == "__main__":
    unittest.main()
