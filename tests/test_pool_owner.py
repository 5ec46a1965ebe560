"""Crash counting and applied configuration at the pool owner."""

from __future__ import annotations

import unittest
from concurrent.futures import Future
from typing import Any

from returns.result import Failure, Success

from sequoiadrum.configuration import ObjectKind
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, Grant, GrantOutcome
from sequoiadrum.metrics import Metrics
from sequoiadrum.placement import BoundPolicy
from sequoiadrum.pool_owner import GrantHolder, PoolOwner, configured_policy
from tests.builders import a_config, an_endpoint_value
from tests.fakes import FakeConfig

_HOLDER = GrantHolder("r1", 1)


class PoolOwnerTest(unittest.TestCase):
    """Runs on a clock that the test advances."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.rumors: list[tuple[Any, ...]] = []
        self.config = FakeConfig(
            a_config(
                *(
                    (ObjectKind.ENDPOINT, f"e{n}", an_endpoint_value(port=9000 + n))
                    for n in range(4)
                )
            )
        )
        self.metrics = Metrics()
        self.owner = PoolOwner(
            "r1",
            BoundPolicy(engine_slots=8.0),
            self.config,
            self.metrics,
            lambda *rumor: self.rumors.append(rumor),
            lambda: self.now,
            lambda: self.now,
        )

    def acquire(self, fingerprint: str = "", excluded: tuple[str, ...] = ()) -> Any:
        """Requests a grant for a new chat."""
        self.now += 0.001
        name = f"q{self.now}"
        request = AdmissionRequest("assistant", name, name, "a", 1, 1.0, self.now + 60, fingerprint)
        return self.owner.acquire(request, excluded, _HOLDER)

    def granted(self, fingerprint: str = "") -> Grant:
        """Acquires a grant without queuing; fails if the request is queued or refused."""
        decision = self.acquire(fingerprint)
        assert isinstance(decision, Success), decision
        return decision.unwrap()

    def end(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Releases a grant after 10 ms."""
        self.now += 0.01
        self.owner.release("assistant", [(grant.grant_id, outcome)])

    def recover(self, endpoint_id: str) -> None:
        """Records a successful poll that started after the crash."""
        endpoint = self.config.state.endpoints_by_id[endpoint_id]
        self.now += 1
        self.owner.record_poll_result(endpoint, self.now, True, 0.0)

    def test_crashing_request_is_refused_and_neighbours_are_not(self) -> None:
        """Guards against refusing harmless requests that were in flight at the crashed engine."""
        for _ in range(2):
            bad = self.granted("bad")
            neighbours = [self.granted(f"n{n}") for n in range(12)]
            hit = [g for g in neighbours if g.endpoint_id == bad.endpoint_id]
            self.assertTrue(hit)
            for grant in [*hit, bad]:
                self.end(grant, GrantOutcome.CRASHED)
            for grant in neighbours:
                if grant not in hit:
                    self.end(grant, GrantOutcome.OK)
            for number, _grant in enumerate(hit):
                again = self.granted(f"n{neighbours.index(hit[number])}")
                self.assertNotEqual(again.endpoint_id, bad.endpoint_id)
                self.end(again, GrantOutcome.OK)
            self.recover(bad.endpoint_id)
            self.now += 5
        refused = self.acquire("bad")
        assert isinstance(refused, Failure)
        self.assertIs(refused.failure().reason, RefusalReason.CRASHES_ENDPOINTS)
        self.assertIsInstance(self.acquire("n0"), Success)
        self.assertEqual(self.metrics.value("endpoint_crashes_total"), 2)
        self.assertIn("bad", {rumor[1] for rumor in self.rumors})

    def test_late_news_of_one_crash_counts_once(self) -> None:
        """Guards against counting a crash twice when a router reports it after the recovery."""
        first, second = self.granted("f"), self.granted("x")
        while second.endpoint_id != first.endpoint_id:
            second = self.granted("x")
        self.end(first, GrantOutcome.CRASHED)
        self.recover(first.endpoint_id)
        self.now += 5
        self.end(second, GrantOutcome.CRASHED)
        self.assertIsInstance(self.acquire("x"), Success)
        self.assertEqual(self.metrics.value("endpoint_crashes_total"), 1)

    def test_request_that_was_never_sent_is_no_suspect(self) -> None:
        """Guards against counting a crash against a request that was refused and did not run."""
        for outcome in (GrantOutcome.REFUSED, GrantOutcome.REFUSED, GrantOutcome.CANCELLED):
            # Grants at other engines are cancelled, as a completed run would clear the fingerprint.
            bad, waiting = self.granted("bad"), self.granted("never sent")
            while waiting.endpoint_id != bad.endpoint_id:
                self.end(waiting, GrantOutcome.CANCELLED)
                waiting = self.granted("never sent")
            self.end(bad, GrantOutcome.CRASHED)
            self.end(waiting, outcome)
            self.recover(bad.endpoint_id)
            self.now += 15
            self.owner._guard.completed("bad", self.now)
        self.assertEqual(self.owner._guard.count("never sent", self.now), 1)

    def test_poll_from_before_a_crash_does_not_end_the_outage(self) -> None:
        """Guards against requests to a crashed engine, whose refusals would count as crashes."""
        started_at = self.now
        grant = self.granted("f")
        self.end(grant, GrantOutcome.CRASHED)
        endpoint = self.config.state.endpoints_by_id[grant.endpoint_id]
        self.owner.record_poll_result(endpoint, started_at, True, 0.0)
        placed = {self.granted().endpoint_id for _ in range(20)}
        self.assertNotIn(grant.endpoint_id, placed)

    def test_waiting_request_gets_the_next_slot(self) -> None:
        """Guards against releases that place no queued request, and slots lost to abandoning."""
        held = [self.granted() for _ in range(32)]
        abandoned, queued = self.acquire(), self.acquire()
        assert isinstance(abandoned, Future)
        assert isinstance(queued, Future)
        self.owner.abandon(abandoned)
        self.end(held[0], GrantOutcome.OK)
        self.assertIsInstance(queued.result(0), Success)
        self.owner.abandon(queued)
        self.assertEqual(sum(self.owner.loads("assistant").values()), 31)

    def test_draining_and_leaving_endpoints_get_nothing(self) -> None:
        """Guards against grants of an endpoint that is draining or announced to leave."""
        self.granted()
        drained = an_endpoint_value(port=9000, state="draining")
        self.config.state = a_config(
            (ObjectKind.ENDPOINT, "e0", drained),
            *((ObjectKind.ENDPOINT, f"e{n}", an_endpoint_value(port=9000 + n)) for n in (1, 2, 3)),
            (ObjectKind.SETTING, "admit_multiple", {"value": 1.0}),
        )
        self.owner.set_leaving(frozenset({"e1"}))
        placed = {self.granted().endpoint_id for _ in range(12)}
        self.assertEqual(placed, {"e2", "e3"})

    def test_settings_that_are_not_allowed_are_passed_over(self) -> None:
        """Guards against an invalid setting that disables the load bound."""
        base = BoundPolicy()
        for name, value in (("bound_multiple", "x"), ("bound_multiple", 1.0), ("kv_import", 3)):
            self.assertEqual(configured_policy(base, {name: value}), base)
        tight = configured_policy(base, {"bound_multiple": 1.1, "kv_import": False})
        self.assertEqual((tight.admit_multiple, tight.kv_import), (1.1, False))
