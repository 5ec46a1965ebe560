"""Tests of the load bound, placement, queueing and reconciliation of one pool in virtual time."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.admission import GRANT_LEASE_S, MISSING_GRACE_S, SETTLE_S, PoolAdmission
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.placement import SLOW_START_S, BoundPolicy, RecentEngineTable
from sequoiadrum.pool_messages import Placed, PoolRequest, ReportedGrant, Waiting

_numbers = itertools.count(1)
_NOW = 100.0


def a_request(chat_id: str = "", **values: Any) -> PoolRequest:
    """Builds a request with a unique id."""
    number = next(_numbers)
    defaults: dict[str, Any] = {
        "request_id": f"q{number}",
        "grant_id": f"g{number}",
        "chat_id": chat_id or f"c{number}",
        "account": "a",
        "router_id": "r1",
        "router_process_id": 1,
        "deadline": _NOW + 1000,
    }
    return PoolRequest(**{**defaults, **values})


def a_pool(
    engines: int = 5, recent: RecentEngineTable | None = None, **policy: Any
) -> PoolAdmission:
    """Builds a pool with engines e0, e1, ... after its settling period and their slow start."""
    pool = PoolAdmission(
        BoundPolicy(**policy), recent=RecentEngineTable() if recent is None else recent
    )
    pool.set_engines({f"e{n}": False for n in range(engines)}, 0.0)
    return pool


def fill(pool: PoolAdmission, count: int, now: float = _NOW, **values: Any) -> list[Placed]:
    """Places `count` requests, each of a new chat."""
    return [placed_by(pool, now=now, **values) for _ in range(count)]


def placed_by(pool: PoolAdmission, chat_id: str = "", now: float = _NOW, **values: Any) -> Placed:
    """Places one request and fails if it is queued or refused."""
    outcome = pool.acquire(a_request(chat_id, **values), now)
    assert isinstance(outcome, Placed), outcome
    return outcome


class LoadBoundTest(unittest.TestCase):
    """Tests that no grant puts an engine over the load bound."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(2, 9),
        st.sampled_from([0, 1, 2]),
        st.lists(st.tuples(st.booleans(), st.integers(0, 40)), min_size=50, max_size=300),
    )
    def test_no_grant_exceeds_the_bound(
        self, engines: int, choices: int, steps: list[tuple[bool, int]]
    ) -> None:
        """Guards against hot chats that put the load of an engine over 1.25 of the mean."""
        pool = a_pool(engines, cold_choices=choices)
        held: list[str] = []
        for is_acquire, number in steps:
            if is_acquire or not held:
                outcome = pool.acquire(a_request(f"c{number % 3}"), _NOW)
                if isinstance(outcome, Placed):
                    held.append(outcome.grant_id)
                    loads = pool.loads()
                    bound = max(4.0, 1.25 * sum(loads.values()) / engines)
                    self.assertLessEqual(loads[outcome.engine_id], bound + 1e-9)
            else:
                pool.release(held.pop(number % len(held)))

    def test_two_owners_together_keep_the_bound(self) -> None:
        """Guards against two owners, in a partition, that both fill the same engine."""
        owners = [a_pool(5), a_pool(5)]
        for number in range(400):
            placed_by(owners[number % 2], f"c{number % 7}")
        loads = [sum(pool.loads()[f"e{n}"] for pool in owners) for n in range(5)]
        self.assertLessEqual(max(loads), 1.25 * sum(loads) / 5 + 1)

    def test_a_heavy_request_is_served_by_an_idle_pool(self) -> None:
        """Guards against never admitting a request heavier than the low-load allowance."""
        self.assertIsInstance(a_pool().acquire(a_request(cost=50.0), _NOW), Placed)

    def test_new_owner_trusts_reported_load_until_it_is_settled(self) -> None:
        """Guards against a new owner that knows no grants and treats a loaded engine as idle."""
        pool = a_pool(3)
        pool.started_at = _NOW
        for engine_id, load in (("e0", 30.0), ("e1", 30.0), ("e2", 2.0)):
            pool.record_load(engine_id, load, _NOW)
        self.assertEqual({p.engine_id for p in fill(pool, 10)}, {"e2"})
        self.assertGreater(len({p.engine_id for p in fill(pool, 30, _NOW + SETTLE_S)}), 1)

    def test_joining_engine_gets_a_growing_share(self) -> None:
        """Guards against a joining engine that gets all spilled requests because it has no load."""
        pool = a_pool(4)
        fill(pool, 80)
        pool.set_engines({f"e{n}": False for n in range(5)}, _NOW)
        early = [p.engine_id for p in fill(pool, 20, _NOW + 1.0)].count("e4")
        late = [p.engine_id for p in fill(pool, 20, _NOW + SLOW_START_S)].count("e4")
        self.assertLess(early, 8)
        self.assertGreater(late, early)


class PlacementTest(unittest.TestCase):
    """Tests that chats are placed on the engine that holds their context."""

    def test_spilled_chat_is_told_where_its_context_is(self) -> None:
        """Guards against a spilled chat whose new engine computes the full prefix again."""
        pool = a_pool()
        home = placed_by(pool, "hot").engine_id
        placed = [placed_by(pool, "hot") for _ in range(8)]
        spilled = next(p for p in placed if p.engine_id != home)
        self.assertEqual(spilled.kv_source, home)
        self.assertEqual(pool.spills, len({p.engine_id for p in placed}) - 1)

    def test_flap_moves_no_chat_for_good(self) -> None:
        """Guards against chats that do not return to an engine after its short outage."""
        pool = a_pool()
        before = {f"c{n}": placed_by(pool, f"c{n}") for n in range(200)}
        for placed in before.values():
            pool.release(placed.grant_id)
        pool.set_healthy("e0", False, _NOW)
        for chat in before:
            pool.release(placed_by(pool, chat).grant_id)
        pool.set_healthy("e0", True, _NOW + 3)
        for chat, placed in before.items():
            again = placed_by(pool, chat, _NOW + 30)
            self.assertEqual(again.engine_id, placed.engine_id)
            pool.release(again.grant_id)

    def test_leaving_engine_gets_nothing_and_gives_its_context(self) -> None:
        """Guards against new requests on an engine that is about to stop."""
        pool = a_pool()
        home = placed_by(pool, "c").engine_id
        pool.set_leaving({home}, _NOW)
        placed = placed_by(pool, "c")
        self.assertNotEqual(placed.engine_id, home)
        self.assertEqual(placed.kv_source, home)
        self.assertNotIn(home, {p.engine_id for p in fill(pool, 100)})

    def test_removed_engine_gets_nothing(self) -> None:
        """Guards against chats that the table of recent engines sends to a removed engine."""
        pool = a_pool()
        before = {f"c{n}": placed_by(pool, f"c{n}") for n in range(50)}
        for placed in before.values():
            pool.release(placed.grant_id)
        pool.set_engines({f"e{n}": False for n in range(1, 5)}, _NOW)
        again = {chat: placed_by(pool, chat) for chat in before}
        self.assertNotIn("e0", {placed.engine_id for placed in again.values()})

    def test_suspects_never_share_an_engine(self) -> None:
        """Guards against a crash with two suspects, which does not show which of them caused it."""
        pool = a_pool(3)
        first = [placed_by(pool, suspect=True) for _ in range(3)]
        self.assertEqual(len({p.engine_id for p in first}), 3)
        self.assertIsInstance(pool.acquire(a_request(suspect=True), _NOW), Waiting)
        pool.release(first[0].grant_id)
        self.assertEqual(pool.pump(_NOW)[0][1].engine_id, first[0].engine_id)

    def test_hint_fills_only_a_missing_entry(self) -> None:
        """Guards against a new owner that ignores hints, and outdated hints that move chats."""
        pool = a_pool()
        home = placed_by(pool, "c").engine_id
        other = next(e for e in pool.loads() if e != home)
        self.assertEqual(placed_by(pool, "c", last_engine=other).engine_id, home)
        new = a_pool()
        self.assertEqual(placed_by(new, "c", last_engine=other).engine_id, other)
        self.assertEqual(placed_by(new, "c", last_engine=home).engine_id, other)
        new.set_healthy(other, False, _NOW)
        placed_by(new, "d", last_engine=other)
        new.set_healthy(other, True, _NOW)
        later = _NOW + SLOW_START_S
        self.assertEqual(placed_by(new, "d", later, last_engine=home).engine_id, other)

    def test_moved_chat_follows_its_context(self) -> None:
        """Guards against moves that are ignored, and late move reports that undo a placement."""
        for choices in (0, 1):
            pool = a_pool(cold_choices=choices)
            source = placed_by(pool, "c").engine_id
            target, other = [e for e in pool.loads() if e != source][:2]
            placed_by(pool, "elsewhere", last_engine=other)
            pool.note_moved(source, {"c": target, "elsewhere": target, "x": "unknown"}, _NOW)
            pool.set_engines({e: e == source for e in pool.loads()}, _NOW)
            placed = placed_by(pool, "c")
            self.assertEqual((placed.engine_id, placed.kv_source), (target, None))
            self.assertEqual(placed_by(pool, "elsewhere").engine_id, other)

    def test_hints_keep_the_bound(self) -> None:
        """Guards against hints that all refer to one engine, or to one that does not exist."""
        pool = a_pool()
        fill(pool, 100, last_engine="e0")
        fill(pool, 100, last_engine="no such engine")
        self.assertLessEqual(max(pool.loads().values()), 1.25 * 200 / 5)

    def test_table_of_recent_engines_is_bounded(self) -> None:
        """Guards against memory use that grows with each new chat."""
        pool = a_pool(recent=RecentEngineTable(capacity=50))
        for placed in fill(pool, 200):
            pool.release(placed.grant_id)
        self.assertEqual(len(pool.recent), 50)


class QueueingTest(unittest.TestCase):
    """Tests that requests are queued when all engines are full."""

    def test_waits_for_a_slot_and_expires(self) -> None:
        """Guards against refusals although a slot becomes free in time, and unlimited waits."""
        pool = a_pool(2, engine_slots=2.0)
        held = fill(pool, 4)
        outcomes = [pool.acquire(a_request(deadline=_NOW + n), _NOW) for n in (1, 5)]
        self.assertEqual([type(o) for o in outcomes], [Waiting, Waiting])
        [(_, refusal)] = pool.expire(_NOW + 2)
        self.assertIs(refusal.reason, RefusalReason.POOL_FULL)
        self.assertIsNotNone(refusal.retry_after_ms)
        pool.release(held[0].grant_id)
        self.assertEqual(len(pool.pump(_NOW + 2)), 1)

    def test_without_usable_engine_refuses_at_once(self) -> None:
        """Guards against queueing a request in a pool without a usable engine."""
        pool = a_pool(1)
        pool.set_healthy("e0", False, _NOW)
        outcome = pool.acquire(a_request(), _NOW)
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.reason, RefusalReason.NO_ENDPOINT)


class ReconciliationTest(unittest.TestCase):
    """Tests that lost messages do not leave load behind."""

    def test_report_restores_and_drops(self) -> None:
        """Guards against load that remains after a lost release, or is unknown to a new owner."""
        pool = a_pool()
        lost = placed_by(pool)
        kept = ReportedGrant("old", "e1", "c9", 2.0, "f")
        pool.report("r1", 1, [kept], _NOW + MISSING_GRACE_S + 1)
        self.assertIsNone(pool.release(lost.grant_id))
        self.assertEqual(sum(pool.loads().values()), 2.0)
        self.assertEqual(placed_by(pool, "c9").engine_id, "e1")

    def test_report_that_crosses_a_grant_keeps_it(self) -> None:
        """Guards against dropping a grant whose reply has not yet reached the router."""
        pool = a_pool()
        fresh = placed_by(pool)
        pool.report("r1", 1, [], _NOW + 0.1)
        self.assertIsNotNone(pool.release(fresh.grant_id))

    def test_dead_and_restarted_routers_hold_nothing(self) -> None:
        """Guards against load that remains for a dead router or an earlier process of it."""
        pool = a_pool()
        fill(pool, 3, router_id="r2", router_process_id=7)
        fill(pool, 2, router_id="r2", router_process_id=8)
        fill(pool, 1)
        self.assertEqual(pool.drop_router("r2", 7), 3)
        self.assertEqual(pool.drop_router("r2"), 2)
        self.assertEqual(len(pool), 1)
        self.assertEqual(pool.drop_unconfirmed(_NOW + GRANT_LEASE_S + 1), 1)
        self.assertEqual(sum(pool.loads().values()), 0.0)
