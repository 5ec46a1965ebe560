"""Tests of `gateway.holds`, of their place in the endpoint table, and of placements by them."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from attrs import evolve

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import EndpointTable
from sequoiadrum.gateway.holds import (
    MAX_RETRY_AFTER_S,
    MIN_SPREAD_S,
    RAMP_STEP_S,
    Hold,
    HoldReason,
    Holds,
    come_back_s,
)
from sequoiadrum.gateway.model import EndpointState, StorePosition
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from sequoiadrum.platform.headers import PlatformHeaderCodec
from tests.gateway.builders import a_call, a_service, an_entry, bounds

NO_OUTAGE = float("-inf")
FOREVER = Hold(HoldReason.LEAVING, math.inf)


class HoldsTest(unittest.TestCase):
    """Which hold is in force, and for how many requests."""

    def test_later_of_two_ends_counts(self) -> None:
        """Guards against a second response that shortens the time that an endpoint has named."""
        holds = Holds()
        self.assertTrue(holds.add(HoldReason.TURNED_AWAY, 8.0))
        self.assertFalse(holds.add(HoldReason.TURNED_AWAY, 3.0))
        self.assertEqual(holds.current(4.0), Hold(HoldReason.TURNED_AWAY, 8.0))
        self.assertIsNone(holds.current(8.0))

    def test_each_reason_ends_by_itself(self) -> None:
        """Guards against a found connection that ends a time that the endpoint has named."""
        holds = Holds()
        holds.add(HoldReason.TURNED_AWAY, 8.0)
        holds.add(HoldReason.UNREACHABLE, 9.0)
        self.assertEqual(holds.current(1.0), Hold(HoldReason.UNREACHABLE, 9.0))
        holds.lift(HoldReason.UNREACHABLE)
        self.assertEqual(holds.current(1.0), Hold(HoldReason.TURNED_AWAY, 8.0))

    def test_work_grows_again(self) -> None:
        """Guards against an endpoint that gets all waiting requests at once when it is back."""
        holds = Holds()
        self.assertIsNone(holds.available_at(100, 0.0))
        holds.add(HoldReason.TURNED_AWAY, 8.0)
        self.assertEqual(holds.available_at(0, 7.9), Hold(HoldReason.TURNED_AWAY, 8.0))
        for step, in_flight in ((0, 0), (1, 1), (2, 3), (3, 7)):
            at = 8.0 + step * RAMP_STEP_S
            self.assertIsNone(holds.available_at(in_flight, at))
            next_step = Hold(HoldReason.TURNED_AWAY, at + RAMP_STEP_S)
            self.assertEqual(holds.available_at(in_flight + 1, at), next_step)
        self.assertIsNone(holds.available_at(1_000, 60.0))

    def test_callers_come_back_after_the_end_and_not_together(self) -> None:
        """Guards against a wave of callers, and against callers who come back in vain."""
        times = [come_back_s(4.0, share / 100) for share in range(100)]
        self.assertEqual(min(times), 4.0)
        self.assertGreaterEqual(max(times), 4.0 + MIN_SPREAD_S)
        self.assertEqual(len(set(times)), 100)


class ProcessTest(unittest.TestCase):
    """Holds that an endpoint asked for belong to its process."""

    def setUp(self) -> None:
        self.table = EndpointTable()
        self.table.apply(an_entry(revision=3), 0.0)
        self.table.hold(self.table.by_id["e1"], FOREVER)

    def can_serve(self) -> bool:
        return self.table.by_id["e1"].can_serve(100.0)

    def test_leaving_is_final_whatever_the_store_says(self) -> None:
        """Guards against an entry that makes a leaving process ready again.

        It may be newer, come after a removal, or after a restore of the store from a copy.
        """
        self.assertFalse(self.can_serve())
        self.table.apply(an_entry(revision=5), 1.0)
        self.assertFalse(self.can_serve())
        self.table.remove("e1", StorePosition(0, 6), 2.0, NO_OUTAGE)
        self.table.expire(3.0)
        self.assertNotIn("e1", self.table.by_id)
        for entry in (an_entry(revision=7), an_entry(revision=2, epoch=1)):
            self.table.apply(entry, 50.0)
            self.table.expire(90.0)
            self.assertFalse(self.can_serve())

    def test_next_process_starts_clean(self) -> None:
        """Guards against a new process that inherits the holds of the one before."""
        self.table.apply(an_entry(revision=4, started_ms=2), 1.0)
        self.assertTrue(self.can_serve())
        self.table.apply(an_entry(revision=5), 1.0)
        self.assertFalse(self.can_serve())

    def test_draining_entry_keeps_its_holds(self) -> None:
        """Guards against a state change that forgets what the process has said."""
        self.table.apply(an_entry(revision=4, state=EndpointState.DRAINING), 1.0)
        self.table.apply(an_entry(revision=5), 2.0)
        self.assertFalse(self.can_serve())


class TurnedAwayTest(unittest.TestCase):
    """A pool of four plain endpoints on virtual time."""

    RETRY_AFTER_S = 4.0

    def setUp(self) -> None:
        self.now = 100.0
        self.enterContext(mock.patch.object(clock, "now", side_effect=lambda: self.now))
        self.pool = EndpointPool(bounds(), lambda: 3)
        for n in range(4):
            self.pool.apply(an_entry(f"e{n}"), is_newly_joined=False)
        response = PlatformHeaderCodec().decode_response(
            503, "Busy", [("Retry-After", str(self.RETRY_AFTER_S))]
        )
        self.busy = response
        self.sound = evolve(response, status=200, retry_after_s=None, is_sealed=True)
        self.number = 0

    def place(self) -> EndpointPlacement | PlacementFailure:
        self.number += 1
        call = evolve(a_call(), request_id=f"q{self.number}")
        return self.pool.take(PlacementRequest(a_service(), call, "z1", True))

    def turn_away(self, count: int = 4) -> None:
        """Lets some endpoints turn this router away."""
        for _ in range(count):
            placement = self.place()
            assert isinstance(placement, EndpointPlacement)
            self.pool.record_notices(placement, self.busy)
            self.pool.release(placement)

    def test_others_take_the_requests_meanwhile(self) -> None:
        """Guards against requests to an endpoint that wants none while others are free."""
        self.turn_away(1)
        endpoints = set()
        for _ in range(30):
            self.now += 0.1
            placement = self.place()
            assert isinstance(placement, EndpointPlacement)
            endpoints.add(placement.endpoint.id)
            self.pool.release(placement)
        self.assertEqual(len(endpoints), 3)

    def test_nobody_is_asked_while_all_are_away(self) -> None:
        """Guards against one request after the other by way of an endpoint that wants none."""
        self.turn_away()
        for wait_s in (0.5, 2.0, 3.9):
            self.now = 100.0 + wait_s
            self.assertIs(self.place(), PlacementFailure.TURNED_AWAY)
            self.assertAlmostEqual(self.pool.hold_wait_s("shop"), self.RETRY_AFTER_S - wait_s)
        self.now = 104.0
        self.assertIsInstance(self.place(), EndpointPlacement)

    def test_response_without_the_header_does_not_shorten_the_time(self) -> None:
        """Guards against a late success that brings the requests back too soon."""
        placement = self.place()
        assert isinstance(placement, EndpointPlacement)
        self.turn_away()
        self.pool.record_notices(placement, self.sound)
        self.pool.record_response(placement, self.sound, failed=False)
        self.pool.release(placement)
        self.now = 103.9
        self.assertIs(self.place(), PlacementFailure.TURNED_AWAY)

    def test_time_goes_on_while_the_process_is_suspended(self) -> None:
        """Guards against a hold that ends late because the process was suspended meanwhile."""
        self.turn_away()
        self.now += 3_600.0
        self.assertIsInstance(self.place(), EndpointPlacement)

    def test_time_is_bounded(self) -> None:
        """Guards against an endpoint that is lost for ever because it named an absurd time."""
        self.busy = evolve(self.busy, retry_after_s=1e9)
        self.turn_away()
        self.now += MAX_RETRY_AFTER_S
        self.assertIsInstance(self.place(), EndpointPlacement)

    def test_work_of_endpoints_that_are_back_grows(self) -> None:
        """Guards against a flood of requests at the moment at which all endpoints are back."""
        self.turn_away()
        self.now = 104.0
        placed = sum(isinstance(self.place(), EndpointPlacement) for _ in range(200))
        self.assertEqual(placed, 4)
        self.now += RAMP_STEP_S
        placed += sum(isinstance(self.place(), EndpointPlacement) for _ in range(200))
        self.assertEqual(placed, 8)

    def test_end_of_a_hold_is_reported_once(self) -> None:
        """Guards against log lines without an end, and against one for each request."""
        self.turn_away()
        self.assertEqual(self.pool.take_ended_holds(), [])
        self.now = 104.0
        self.assertEqual(sorted(self.pool.take_ended_holds()), ["e0", "e1", "e2", "e3"])
        self.assertEqual(self.pool.take_ended_holds(), [])

    def test_other_instance_at_the_address_speaks_for_itself(self) -> None:
        """Guards against an endpoint that is given up for what another one has said."""
        placement = self.place()
        assert isinstance(placement, EndpointPlacement)
        other = next(n for n in ("e0", "e1") if n != placement.endpoint.id)
        leaving = evolve(self.sound, is_leaving=True)
        self.pool.record_notices(placement, evolve(leaving, instance_id="unknown"))
        self.pool.record_notices(placement, evolve(leaving, instance_id=other))
        self.assertTrue(self.pool.can_route_to(placement.endpoint.id))
        self.assertFalse(self.pool.can_route_to(other))
