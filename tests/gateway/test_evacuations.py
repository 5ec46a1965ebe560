"""Tests of `gateway.evacuations` and of the placement of requests around evacuated domains."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.evacuations import (
    COPY_PERIOD_S,
    MAX_READMITTED,
    RAMP_UP_S,
    RESTORE_HOLD_S,
    Evacuations,
)
from sequoiadrum.gateway.model import StoredItem, StoreEvent
from sequoiadrum.gateway.placement import NEWLY_JOINED_S, PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from tests.gateway.builders import a_call, a_service, an_entry, bounds

DOMAINS = ("z1", "z2", "z3", "z4")


def an_evacuation(domain: str, revision: int, epoch: int = 0) -> StoreEvent:
    """Returns the event of an evacuation."""
    return StoreEvent(StoredItem(domain, revision, {}, epoch), is_deleted=False)


def a_readmission(domain: str, revision: int, epoch: int = 0) -> StoreEvent:
    """Returns the event of a readmission."""
    return StoreEvent(StoredItem(domain, revision, None, epoch), is_deleted=True)


class EvacuationsTest(unittest.TestCase):
    """Which failure domains count as evacuated, by the changes that arrive."""

    def setUp(self) -> None:
        self.evacuations = Evacuations()

    def test_evacuation_and_readmission(self) -> None:
        """Guards against requests to an evacuated domain, and against one that stays empty."""
        (change,) = self.evacuations.apply([an_evacuation("z1", 5)], 100.0)
        self.assertTrue(change.is_evacuated)
        self.assertEqual(self.evacuations.evacuated(), ["z1"])
        self.assertFalse(self.evacuations.is_evacuated_at("z2", 100.0))
        (change,) = self.evacuations.apply([a_readmission("z1", 6)], 110.0)
        self.assertFalse(change.is_evacuated)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 110.0))
        self.assertEqual(self.evacuations.readmitted_at("z1"), 110.0)

    def test_older_state_changes_nothing(self) -> None:
        """Guards against a stale list or a late watch that brings an evacuation back or ends it."""
        self.evacuations.apply([an_evacuation("z1", 5)], 100.0)
        self.evacuations.apply([a_readmission("z1", 4)], 101.0)
        self.assertTrue(self.evacuations.is_evacuated_at("z1", 101.0))
        self.evacuations.apply([a_readmission("z1", 7)], 102.0)
        self.evacuations.apply([an_evacuation("z1", 5)], 103.0)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 103.0))

    def test_deletion_that_arrives_before_its_evacuation(self) -> None:
        """Guards against a domain that stays evacuated since two threads applied changes."""
        self.evacuations.apply([a_readmission("z1", 6)], 100.0)
        self.evacuations.apply([an_evacuation("z1", 5)], 100.1)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 100.1))

    def test_deletion_with_the_revision_of_the_evacuation_takes_effect(self) -> None:
        """Guards against a readmission that is ignored since the store gave it no new revision."""
        self.evacuations.apply([an_evacuation("z1", 5)], 100.0)
        self.evacuations.apply([a_readmission("z1", 5)], 101.0)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 101.0))

    def test_repeated_evacuation_is_no_change(self) -> None:
        """Guards against log lines and counts for each rewrite of an object."""
        self.evacuations.apply([an_evacuation("z1", 5)], 100.0)
        self.assertEqual(self.evacuations.apply([an_evacuation("z1", 6)], 101.0), [])
        self.assertEqual(self.evacuations.evacuated_at("z1"), 100.0)

    def test_object_without_a_readable_revision_evacuates(self) -> None:
        """Guards against a domain that gets requests since its object cannot be read."""
        self.evacuations.apply([an_evacuation("z1", 0)], 100.0)
        self.assertTrue(self.evacuations.is_evacuated_at("z1", 100.0))

    def test_restored_copy_without_the_evacuation_does_not_end_it_at_once(self) -> None:
        """Guards against requests between a restore and the time the operator writes again."""
        self.evacuations.apply([an_evacuation("z1", 50, epoch=1)], 100.0)
        self.evacuations.apply([a_readmission("z1", 20, epoch=2)], 110.0)
        self.assertTrue(self.evacuations.is_evacuated_at("z1", 110.0 + RESTORE_HOLD_S - 0.1))
        self.evacuations.apply([an_evacuation("z1", 25, epoch=2)], 111.0)
        self.assertTrue(self.evacuations.is_evacuated_at("z1", 110.0 + RESTORE_HOLD_S + 0.1))
        self.evacuations.apply([a_readmission("z1", 30, epoch=2)], 120.0)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 120.0))

    def test_evacuation_that_the_operator_does_not_write_again_ends(self) -> None:
        """Guards against a domain that stays evacuated although its readmission was lost."""
        self.evacuations.apply([an_evacuation("z1", 50, epoch=1)], 100.0)
        self.evacuations.apply([a_readmission("z1", 20, epoch=2)], 110.0)
        self.assertFalse(self.evacuations.is_evacuated_at("z1", 110.0 + RESTORE_HOLD_S))

    def test_readmitted_domains_are_bounded(self) -> None:
        """Guards against memory that grows with each name that was ever evacuated."""
        for n in range(3 * MAX_READMITTED):
            self.evacuations.apply([an_evacuation(f"z{n}", 2 * n + 1)], 100.0)
            self.evacuations.apply([a_readmission(f"z{n}", 2 * n + 2)], 100.0)
        self.assertLessEqual(len(self.evacuations._state_by_domain), MAX_READMITTED)

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_any_order_of_delivery_ends_in_the_newest_state(self, data: st.DataObject) -> None:
        """Guards against a state that depends on which thread or peer brought a change first."""
        history = [
            (an_evacuation if data.draw(st.booleans()) else a_readmission)(
                data.draw(st.sampled_from(DOMAINS)), revision
            )
            for revision in range(1, data.draw(st.integers(1, 12)) + 1)
        ]
        newest = {event.item.name: event for event in history}
        evacuations = Evacuations()
        for event in data.draw(st.permutations(history + history)):
            evacuations.apply([event], 100.0)
        expected = sorted(name for name, event in newest.items() if not event.is_deleted)
        self.assertEqual(evacuations.evacuated(), expected)


class PlacementTest(unittest.TestCase):
    """Which endpoints of a pool receive requests around an evacuation."""

    def setUp(self) -> None:
        self.now = 1_000.0
        self.enterContext(mock.patch.object(clock, "now", self._clock))
        self.evacuations = Evacuations()
        self.pool = EndpointPool(bounds(), lambda: 3, self.evacuations)
        self.revision = 10
        for n in range(12):
            self._add(f"e{n}", DOMAINS[n % 4], "model")
        for n in range(4):
            self._add(f"s{n}", DOMAINS[n], "shop")

    def _clock(self) -> float:
        return self.now

    def _add(self, name: str, domain: str, service: str) -> None:
        entry = an_entry(name, service=service, slots=12, failure_domain=domain)
        self.pool.apply(entry, is_newly_joined=False)

    def _evacuate(self, *domains: str) -> None:
        for domain in domains:
            self.revision += 1
            self.evacuations.apply([an_evacuation(domain, self.revision)], self.now)

    def _readmit(self, domain: str) -> None:
        self.revision += 1
        for change in self.evacuations.apply([a_readmission(domain, self.revision)], self.now):
            self.pool.record_readmission(domain, change.effective_at)

    def _request(self, number: int, service: str = "model") -> PlacementRequest:
        if service == "shop":
            return PlacementRequest(a_service(), a_call(f"q{number}"), "z1", True)
        chat = (("system", 500), (f"chat{number}", 900), (f"own{number}", 30))
        return PlacementRequest(a_service("model", 12), a_call(f"q{number}", chat), "z1", False)

    def _take(self, number: int, service: str = "model") -> EndpointPlacement:
        placement = self.pool.take(self._request(number, service))
        assert not isinstance(placement, PlacementFailure)
        self.pool.release(placement)
        return placement

    def _domains(self, numbers: range, service: str = "model") -> list[str]:
        return [self._take(n, service).endpoint.entry.failure_domain for n in numbers]

    def test_no_request_is_placed_in_an_evacuated_domain(self) -> None:
        """Guards against a request to an engine or a service of an evacuated domain."""
        self._evacuate("z1", "z3")
        for service in ("model", "shop"):
            self.assertEqual(set(self._domains(range(200), service)), {"z2", "z4"})

    def test_probe_of_a_failing_endpoint_respects_the_evacuation(self) -> None:
        """Guards against a retryable request that is sent as a probe to an evacuated domain."""
        for _ in range(30):
            for n in range(40):
                placement = self._take(n, "shop")
                if placement.endpoint.entry.failure_domain == "z1":
                    self.pool.record_exchange_failure(placement)
            self.now += 0.1
        self._evacuate("z1")
        for n in range(200):
            self.now += 0.05
            self.assertNotEqual(self._take(n, "shop").endpoint.entry.failure_domain, "z1")

    def test_service_without_another_domain_is_refused_as_evacuated(self) -> None:
        """Guards against a refusal that tells operators of unknown endpoints."""
        self._evacuate(*DOMAINS)
        for service in ("model", "shop"):
            failure = self.pool.take(self._request(1, service))
            self.assertIs(failure, PlacementFailure.EVACUATED)
        self.assertEqual(self.pool.quota_wait_s("shop"), 0.0)

    def test_chats_of_an_evacuated_engine_are_copied_for_a_while(self) -> None:
        """Guards against chats that are read again although their engine still has them."""
        home = next(
            (n for n in range(50) if self._take(n).endpoint.entry.failure_domain == "z1"), -1
        )
        engine = self._take(home).endpoint
        self._evacuate("z1")
        moved = self._take(home)
        self.assertIsNot(moved.endpoint, engine)
        self.assertIs(moved.context_source, engine)
        self.now += COPY_PERIOD_S + 0.1
        self.assertIsNot(self._take(home).context_source, engine)

    def test_returning_chats_are_copied_back(self) -> None:
        """Guards against chats that a readmitted engine must read again."""
        home = next(
            (n for n in range(50) if self._take(n).endpoint.entry.failure_domain == "z1"), -1
        )
        self._evacuate("z1")
        interim = self._take(home).endpoint
        self.now += 20.0
        self._readmit("z1")
        self.now += RAMP_UP_S
        self.assertLess(RAMP_UP_S, NEWLY_JOINED_S)
        back = self._take(home)
        self.assertEqual(back.endpoint.entry.failure_domain, "z1")
        self.assertIs(back.context_source, interim)

    def test_readmitted_domain_regains_its_requests_in_steps(self) -> None:
        """Guards against all chats that return to engines with empty caches at once."""
        usual = self._domains(range(400)).count("z1")
        self._evacuate("z1")
        self.now += 20.0
        self._readmit("z1")
        counts = []
        for _ in range(5):
            counts.append(self._domains(range(400)).count("z1"))
            self.now += RAMP_UP_S / 4
        self.assertEqual(counts[0], 0)
        self.assertEqual(counts, sorted(counts))
        self.assertLess(counts[1], 0.45 * usual)
        self.assertEqual(counts[4], usual)

    def test_chat_that_returned_stays(self) -> None:
        """Guards against chats that alternate between two engines while a domain ramps up."""
        self._evacuate("z1")
        self._readmit("z1")
        returned: set[int] = set()
        for _ in range(20):
            self.now += RAMP_UP_S / 20
            back = {n for n, d in enumerate(self._domains(range(300))) if d == "z1"}
            self.assertLessEqual(returned, back)
            returned = back

    def test_ramp_does_not_refuse_requests(self) -> None:
        """Guards against refusals while the only usable domain is one that was just readmitted."""
        self._evacuate(*DOMAINS)
        self.now += 20.0
        self._readmit("z2")
        self.assertEqual(set(self._domains(range(50))), {"z2"})

    def test_load_bound_uses_the_mean_of_the_usable_engines(self) -> None:
        """Guards against a mean that idle engines of an evacuated domain lower.

        Chats would then spill from engines that carry no more than their share.
        """
        rng = random.Random(1)
        self._evacuate("z1", "z2", "z3")
        placed = [self.pool.take(self._request(rng.randrange(1_000))) for _ in range(90)]
        engines = [p.endpoint for p in placed if isinstance(p, EndpointPlacement)]
        self.assertEqual(len(engines), 90)
        for engine in set(engines):
            self.assertLessEqual(engine.in_flight, 2 * 30 + 3)

    def test_pool_without_evacuations_is_unchanged(self) -> None:
        """Guards against costs or effects where operators do not evacuate domains."""
        pool = EndpointPool(bounds(), lambda: 3)
        for n in range(12):
            entry = an_entry(f"e{n}", service="model", slots=12, failure_domain=DOMAINS[n % 4])
            pool.apply(entry, is_newly_joined=False)
        for n in range(50):
            expected = pool.take(self._request(n))
            assert isinstance(expected, EndpointPlacement)
            self.assertEqual(self._take(n).endpoint.id, expected.endpoint.id)
            pool.release(expected)
