"""Tests of the rates that endpoints name, and of routers that keep to them together."""

from __future__ import annotations

import random
import threading
import time
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gen.peer.ttypes import LoadReportKind
from sequoiadrum._thrift_transport import encode
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.load_board import Loads, endpoint_key
from sequoiadrum.gateway.load_exchange import _AskForQuota
from sequoiadrum.gateway.placement import LimitedEndpoints, PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.rate_limits import (
    LIMIT_TTL_S,
    MAX_LIMIT_TTL_S,
    MAX_LIMITS,
    NamedLimit,
    RateLimits,
    quota_owner,
)
from sequoiadrum.hashing import stable_hash
from sequoiadrum.messages import Address, Member, MemberState, SideDatagram
from tests.gateway.builders import a_call, a_service, an_entry, bounds
from tests.gateway.exchange_fakes import FakeLink, make_task
from tests.gateway.scripted_endpoint import Connection, Received, ScriptedEndpoint, answer, ok
from tests.gateway.world import World, eventually

if TYPE_CHECKING:
    from collections.abc import Sequence

ALLOWED_MULTIPLE, ALLOWED_EXTRA, WINDOW_S = 1.5, 5, 4.0
"""An endpoint may get this multiple of its rate in a window, plus this number of requests."""


def most_in_window(times: Sequence[float]) -> int:
    """Returns the highest number of times within one window."""
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


class OwnedRateTest(unittest.TestCase):
    """The owner of a rate never hands out more than the endpoint takes."""

    @staticmethod
    def _granted(limits: RateLimits, now: float) -> bool:
        return limits.decide(1, now).is_granted

    def _limits(self, rate: float) -> RateLimits:
        limits = RateLimits()
        limits.record(1, NamedLimit(rate, 0.0), 0.0)
        return limits

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.1, 60.0), st.lists(st.floats(0.0, 0.3), min_size=1, max_size=300))
    def test_any_asks_stay_within_the_rate(self, rate: float, pauses: list[float]) -> None:
        """Guards against saved units that exceed the rate when many ask at once."""
        limits, now, granted = self._limits(rate), 0.0, []
        for pause in pauses:
            now += pause
            limits.record(1, NamedLimit(rate, now), now)
            if self._granted(limits, now):
                granted.append(now)
        self.assertLessEqual(
            most_in_window(granted), ALLOWED_MULTIPLE * rate * WINDOW_S + ALLOWED_EXTRA
        )

    def test_constant_demand_gets_the_whole_rate(self) -> None:
        """Guards against an endpoint that is left idle below its rate."""
        limits = self._limits(5.0)
        granted = 0
        for now in (n / 100 for n in range(1, 2_001)):
            limits.record(1, NamedLimit(5.0, now), now)
            granted += self._granted(limits, now)
        self.assertGreaterEqual(granted, 98)

    def test_new_owner_starts_without_units(self) -> None:
        """Guards against a burst at each change of the owner."""
        self.assertFalse(self._granted(self._limits(50.0), 2.0))

    def test_rate_of_zero_grants_nothing(self) -> None:
        """Guards against a division by zero, and requests to an endpoint that takes none."""
        limits = self._limits(0.0)
        for now in (1.0, 2.0, 20.0):
            self.assertFalse(self._granted(limits, now))


class RateLimitsTest(unittest.TestCase):
    """The newest observation counts, whoever made it."""

    def setUp(self) -> None:
        self.limits = RateLimits()

    @settings(derandomize=True, deadline=None)
    @given(st.permutations([(1.0, 5.0), (2.0, None), (3.0, 7.0), (4.0, None), (4.5, 6.0)]))
    def test_observations_come_in_any_order(self, order: list[tuple[float, float | None]]) -> None:
        """Guards against an old response, or a late datagram, that sets or lifts a limit."""
        limits = RateLimits()
        for at, rate in order:
            limits.record(1, NamedLimit(rate, at), 5.0)
        self.assertIn(limits.in_force(1, 5.0), (6.0,))

    def test_limit_is_lifted(self) -> None:
        """Guards against a limit that stays after the endpoint ceased to name it."""
        self.assertTrue(self.limits.record(1, NamedLimit(5.0, 1.0), 1.0))
        self.limits.refuse_until(1, 9.0)
        self.assertEqual(self.limits.refused_until(1, 1.5), 9.0)
        self.assertTrue(self.limits.record(1, NamedLimit(None, 2.0), 2.0))
        self.assertIsNone(self.limits.in_force(1, 2.0))
        self.assertLess(self.limits.refused_until(1, 2.0), 2.0)

    def test_unconfirmed_limit_ends(self) -> None:
        """Guards against an endpoint that gets nothing for ever because nobody asks it."""
        self.limits.record(1, NamedLimit(5.0, 0.0), 0.0)
        self.limits.record(2, NamedLimit(0.5, 0.0), 0.0)
        self.limits.record(3, NamedLimit(0.0, 0.0), 0.0)
        self.assertEqual(self.limits.in_force(1, LIMIT_TTL_S - 0.1), 5.0)
        later = LIMIT_TTL_S + 0.1
        self.assertEqual([self.limits.in_force(n, later) for n in (1, 2, 3)], [None, 0.5, 0.0])
        self.assertEqual(set(self.limits.known(later)), {2, 3})
        self.assertEqual(self.limits.known(MAX_LIMIT_TTL_S + 0.1), {})

    def test_memory_is_bounded(self) -> None:
        """Guards against limits of replaced endpoints that are kept for ever."""
        for endpoint in range(MAX_LIMITS + 10):
            self.limits.record(endpoint, NamedLimit(5.0, 1.0), 1.0)
            self.limits.refuse_until(endpoint + MAX_LIMITS, 9.0)
        self.assertEqual(len(self.limits.known(1.0)), MAX_LIMITS)
        self.assertLessEqual(len(self.limits._refused_until_by_endpoint), MAX_LIMITS)

    def test_one_owner_for_each_endpoint(self) -> None:
        """Guards against two routers that both hand out one rate, or a dead one that owns it."""
        states = [MemberState.ALIVE] * 5 + [MemberState.DEAD] * 5
        members = {
            f"r{n}": Member(f"r{n}", "h", 1, 2, "z", "r", 1, 0, state)
            for n, state in enumerate(states)
        }
        owners = {quota_owner(endpoint, members) for endpoint in range(100)}
        self.assertEqual(owners, {f"r{n}" for n in range(5)})
        self.assertIsNone(quota_owner(1, {}))


class FleetRateTest(unittest.TestCase):
    """Fleets of any size on virtual time: routers that learn late, and owners that change."""

    LEARNING_S = 1.25
    """Longest time until load reports have brought a rate to all routers."""
    RULE_FROM_S = 3.0

    def _sent(self, routers: int, rate: float, seed: int) -> list[float]:
        """Returns the times of the requests to an endpoint that names a rate from time 0 on.

        Twice as many requests want the endpoint. Its first owner is replaced after 10 s.
        """
        rng = random.Random(seed)
        learns_at = [rng.uniform(0.0, self.LEARNING_S) for _ in range(routers)]
        owners = [RateLimits(), RateLimits()]
        refused_until_by_router: dict[int, float] = {}
        now, sent = 0.0, []
        while now < 20.0:
            now += rng.expovariate(2 * rate)
            router = rng.randrange(routers)
            if now < learns_at[router]:
                sent.append(now)
                continue
            if now < refused_until_by_router.get(router, 0.0):
                continue
            owner = owners[now >= 10.0]
            owner.record(1, NamedLimit(rate, now), now)
            grant = owner.decide(1, now)
            if grant.is_granted:
                sent.append(now)
            else:
                refused_until_by_router[router] = now + grant.wait_s
        return sent

    def test_sum_over_routers_stays_within_the_rate_at_any_size(self) -> None:
        """Guards against a share for each router, of which many routers make a multiple."""
        for routers in (14, 100, 195, 2_400):
            for rate in (0.5, 5.0, 50.0):
                for seed in (1, 2, 3):
                    with self.subTest(routers=routers, rate=rate, seed=seed):
                        sent = self._sent(routers, rate, seed)
                        counted = [at for at in sent if at >= self.RULE_FROM_S]
                        allowed = ALLOWED_MULTIPLE * rate * WINDOW_S + ALLOWED_EXTRA
                        self.assertLessEqual(most_in_window(counted), allowed)
                        if rate > 1.0:
                            self.assertGreaterEqual(len(counted), 0.8 * rate * 17.0)


class QuotaExchangeTest(unittest.TestCase):
    """The task of one router asks the owner and decides as an owner."""

    ENDPOINT = 77

    def setUp(self) -> None:
        members = FakeLink("", 8, 2).members()
        owner = quota_owner(self.ENDPOINT, members)
        assert owner is not None
        self.owner = owner
        self.asking = next(name for name in members if name != owner)

    def _ask(self, sender: str) -> SideDatagram:
        limits = {self.ENDPOINT: ttypes.RateLimit(10_000, 100)}
        quota = ttypes.Quota(self.ENDPOINT)
        report = ttypes.LoadReport(LoadReportKind.ASK, sender, 3, {}, {}, limits, quota)
        return SideDatagram(encode(report), Address("h", 1))

    def test_owner_decides_by_a_limit_that_the_asking_router_named(self) -> None:
        """Guards against an owner that grants all because it did not know the limit."""
        task, link, pool = make_task(self.owner, {})
        started = clock.now()
        for n in range(20):
            with mock.patch.object(clock, "now", return_value=started + n / 100):
                task._handle(self._ask(self.asking))
        grants = [report.quota.is_granted for _, report in link.sent]
        self.assertEqual(len(grants), 20)
        self.assertLessEqual(sum(grants), 2)
        self.assertEqual(pool.rate_limits.in_force(self.ENDPOINT, started), 10.0)

    def test_router_that_is_not_the_owner_grants_nothing(self) -> None:
        """Guards against two owners while routers know different members."""
        task, link, _ = make_task(self.asking, {})
        task._handle(self._ask(self.owner))
        self.assertEqual([report.quota.is_granted for _, report in link.sent], [False])

    def test_silent_owner_grants_nothing(self) -> None:
        """Guards against requests beyond the rate while its owner is down, and against a wait."""
        task, link, pool = make_task(self.asking, {})
        now = clock.now()
        pool.rate_limits.record(self.ENDPOINT, NamedLimit(5.0, now), now)
        task.start()
        self.addCleanup(task.stop)
        self.assertFalse(task.acquire(self.ENDPOINT))
        self.assertEqual(link.unreachable, [self.owner])
        self.assertGreater(pool.rate_limits.refused_until(self.ENDPOINT, now), now)

    def test_unit_that_was_granted_before_a_pause_is_not_used(self) -> None:
        """Guards against a process that acts on a unit from before it was suspended."""
        task, _, pool = make_task(self.owner, {})
        started = clock.now()
        for pause_s, is_granted in ((0.0, True), (5.0, False)):
            now = started + 10.0
            pool.rate_limits.record(self.ENDPOINT, NamedLimit(50.0, now), now)
            pool.rate_limits.decide(self.ENDPOINT, now - 9.0)
            times = iter([now, now])
            with mock.patch.object(
                clock, "now", side_effect=lambda: next(times, now + pause_s)  # noqa: B023
            ):
                self.assertEqual(task.acquire(self.ENDPOINT), is_granted)

    def test_reply_of_another_router_decides_nothing(self) -> None:
        """Guards against a late reply of a former owner that passes for a grant."""
        task, link, _ = make_task(self.asking, {})
        ask = _AskForQuota(self.ENDPOINT, link.members()[self.owner])
        task._handle(ask)
        _, sent = link.sent.pop()
        other = next(n for n in link.members() if n not in (self.owner, self.asking))
        for sender in (other, self.owner):
            quota = ttypes.Quota(self.ENDPOINT, True, 0)
            grant = ttypes.LoadReport(
                LoadReportKind.GRANT, sender, sent.sequence, {}, {}, None, quota
            )
            task._handle(SideDatagram(encode(grant), Address("h", 1)))
            self.assertFalse(ask.reply.done())

    def test_malformed_rates_change_nothing(self) -> None:
        """Guards against a message that ends the task or sets an absurd rate."""
        task, _, pool = make_task(self.owner, {})
        kind = LoadReportKind.ASK
        for limits, quota in (
            ({}, None),
            ({}, ttypes.Quota(None)),
            ({1: ttypes.RateLimit(None, 0)}, ttypes.Quota(1)),
            ({1: ttypes.RateLimit(5, None)}, ttypes.Quota(1)),
            ({1: ttypes.RateLimit(-2, 0)}, ttypes.Quota(1)),
            ({1: ttypes.RateLimit(2**31 - 1, 0)}, ttypes.Quota(1)),
            ({1: ttypes.RateLimit(5, -1)}, ttypes.Quota(1)),
            ({1: ttypes.RateLimit(5, 2**31 - 1)}, ttypes.Quota(1)),
        ):
            report = ttypes.LoadReport(kind, self.asking, 1, {}, {}, limits, quota)
            task._handle(SideDatagram(encode(report), Address("h", 1)))
        self.assertEqual(task.metrics.value("malformed_datagrams_total"), 8)
        self.assertEqual(pool.rate_limits.known(clock.now()), {})


class CrowdedEndpointTest(unittest.TestCase):
    """Endpoints without a rate while others name one."""

    def setUp(self) -> None:
        self.pool = EndpointPool(bounds(), lambda: 14)
        for name in ("e1", "e2"):
            entry = an_entry(name, service="model", slots=4)
            self.pool.apply(entry, is_newly_joined=False)
        self.key_by_id = {e.id: endpoint_key(e.id_hash) for e in self.pool._table.by_id.values()}

    def _place(self, limited: LimitedEndpoints = LimitedEndpoints.ALLOWED) -> object:
        call = a_call(prompt=(("sys", 500), ("thread", 900), ("own", 30)))
        request = PlacementRequest(a_service("model", 4), call, "z1", False)
        placement = self.pool.take(request, limited=limited)
        if isinstance(placement, PlacementFailure):
            return placement
        self.pool.cancel(placement)
        return placement.endpoint.id

    def _share_load(self, load: int) -> None:
        self.pool.set_fleet_loads(Loads({self.key_by_id["e2"]: load}, {}))

    def test_the_last_endpoint_without_a_rate_is_not_flooded(self) -> None:
        """Guards against an engine that gets all that the others do not take, and serves none."""
        now = clock.now()
        self._share_load(5)
        self.pool.rate_limits.record(self.key_by_id["e1"], NamedLimit(1.0, now), now)
        self.pool.rate_limits.refuse_until(self.key_by_id["e1"], now + 60.0)
        for limited in LimitedEndpoints:
            self.assertIs(self._place(limited), PlacementFailure.RATE_LIMITED)
        self._share_load(4)
        self.assertEqual(self._place(), "e2")
        self.assertEqual(self._place(LimitedEndpoints.AVOIDED), "e2")
        without_room = self._place(LimitedEndpoints.AVOIDED_WITH_ROOM)
        self.assertIs(without_room, PlacementFailure.RATE_LIMITED)

    def test_crowded_endpoints_take_requests_while_none_names_a_rate(self) -> None:
        """Guards against refusals in place of a short queue on days without rates."""
        self._share_load(50)
        self.assertIn(self._place(), ("e1", "e2"))
        now = clock.now()
        self.pool.rate_limits.record(self.key_by_id["e1"], NamedLimit(1.0, now), now)
        self.pool.rate_limits.record(self.key_by_id["e1"], NamedLimit(None, now + 0.01), now + 0.01)
        self.assertIn(self._place(), ("e1", "e2"))


class NamedRatePathTest(unittest.TestCase):
    """Complete gateways and an endpoint that names its rate."""

    RATE = 4.0

    def _fleet(self, size: int) -> list[World]:
        worlds = [World(instance_id=f"g{n}") for n in range(size)]
        for world in worlds:
            self.addCleanup(world.stop)
            for other in worlds:
                if other is not world:
                    world.join(other)
        for world in worlds:
            world.start()
        for world in worlds:
            eventually(
                lambda world=world: world.gateway.directory.count() == size,  # type: ignore[misc]
                "the routers know each other",
            )
        return worlds

    def test_routers_together_keep_to_the_rate_that_an_endpoint_names(self) -> None:
        """Guards against an endpoint in need that gets the same requests as before."""
        worlds = self._fleet(3)
        times: list[float] = []

        def limited(connection: Connection, request: Received) -> None:
            times.append(time.monotonic())
            connection.send(answer(request, headers=f"Server-Limit: {self.RATE}\r\n"))

        endpoints = {"e1": ScriptedEndpoint(limited), "e2": ScriptedEndpoint(ok)}
        for world in worlds:
            for name, endpoint in endpoints.items():
                world.add(name, endpoint)
        statuses: list[int] = []

        def ask(world: World, prefix: str) -> None:
            for n in range(120):
                statuses.append(world.call("/read/x", f"{prefix}{n}")[0])
                time.sleep(0.05)

        threads = [
            threading.Thread(target=ask, args=(world, f"{n}-")) for n, world in enumerate(worlds)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(set(statuses), {200})
        # The rule begins some seconds after the first response with a rate.
        counted = [at for at in times if at > times[0] + 1.5]
        self.assertLessEqual(
            most_in_window(counted), ALLOWED_MULTIPLE * self.RATE * WINDOW_S + ALLOWED_EXTRA
        )
        self.assertGreater(len(counted), 0)

    def test_request_is_refused_at_once_when_no_endpoint_takes_more(self) -> None:
        """Guards against requests that wait or are sent although all endpoints named rates."""
        (world,) = self._fleet(1)
        endpoint = ScriptedEndpoint(lambda c, r: c.send(answer(r, headers="Server-Limit: 0.1\r\n")))
        world.add("e1", endpoint)
        self.assertEqual(world.call("/order/x", "q1")[0], 200)
        status, headers, body = world.call("/order/x", "q2")
        self.assertEqual((status, body), (503, b"endpoints_limited\n"))
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertEqual(len(endpoint.received), 1)
        key = endpoint_key(stable_hash("engine", "e1"))
        self.assertEqual(world.gateway.pool.rate_limits.in_force(key, clock.now()), 0.1)

    def test_limit_that_is_no_longer_named_ends(self) -> None:
        """Guards against an endpoint that stays restricted after it has recovered."""
        (world,) = self._fleet(1)
        rates = ["Server-Limit: 50\r\n", ""]
        endpoint = ScriptedEndpoint(
            lambda c, r: c.send(answer(r, headers=rates.pop(0) if rates else ""))
        )
        world.add("e1", endpoint)
        world.call("/read/x", "q1")
        eventually(lambda: world.call("/read/x", "q2")[0] == 200, "a unit is granted")
        statuses: list[Any] = [world.call("/read/x", f"r{n}")[0] for n in range(30)]
        self.assertEqual(statuses, [200] * 30)


if __name__ == "__main__":
    unittest.main()
