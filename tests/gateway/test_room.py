"""Tests of the estimates of room, and of where they take effect."""

from __future__ import annotations

import random
import unittest
from typing import Final
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import MAX_LOAD_AGE_S, Endpoint, EndpointTable
from sequoiadrum.gateway.load_board import Loads
from sequoiadrum.gateway.model import EngineLoad, ResponseHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.room import (
    MIN_OBSERVATIONS,
    RequestSize,
    ServiceTimes,
    occupancy,
    room_of,
)
from tests.gateway.builders import a_call, a_service, an_entry, bounds

SIZE: Final = RequestSize(6, 4)


def _endpoints(loads: list[int], reported_at: float = 0.0, slots: int = 10) -> list[Endpoint]:
    table = EndpointTable()
    for n, load in enumerate(loads):
        table.apply(an_entry(f"e{n}", service="model", slots=slots), 0.0)
        table.by_id[f"e{n}"].in_flight_elsewhere = load
        table.by_id[f"e{n}"].elsewhere_reported_at = reported_at
    return table.of_service("model")


class RoomTest(unittest.TestCase):
    """What is known of the slots of a service."""

    def test_requests_beyond_the_slots_of_one_endpoint_wait(self) -> None:
        """Guards against a mean that hides a queue at one endpoint."""
        room = room_of(_endpoints([14, 3]), 5, 0.0)
        self.assertEqual(room.slots, 20)
        self.assertAlmostEqual(room.taken, 17)
        self.assertAlmostEqual(room.queued, 4)
        self.assertEqual(room.shortest_queue, 0)
        self.assertFalse(room.is_calm)

    def test_calm_needs_half_of_the_places_and_no_queue(self) -> None:
        """Guards against refusals at a low load."""
        self.assertTrue(room_of(_endpoints([9, 0]), 5, 0.0).is_calm)
        self.assertFalse(room_of(_endpoints([10, 0]), 5, 0.0).is_calm)

    def test_outdated_reports_of_others_are_not_used(self) -> None:
        """Guards against decisions by loads of a hub that is gone."""
        endpoints = _endpoints([20, 20])
        endpoints[0].in_flight = 1
        room = room_of(endpoints, 4, MAX_LOAD_AGE_S + 0.1)
        self.assertFalse(room.is_fleet_known)
        self.assertEqual(room.taken, 4)

    def test_endpoints_that_are_held_back_have_no_slots(self) -> None:
        """Guards against slots of endpoints that no request may be sent to."""
        endpoints = _endpoints([5, 5])
        endpoints[0].record_unreachable(0.0)
        self.assertEqual(room_of(endpoints, 1, 0.0).slots, 10)

    def test_router_alone_assumes_an_equal_part(self) -> None:
        """Guards against a router without peers that takes all slots of an endpoint."""
        endpoint = _endpoints([0], reported_at=float("-inf"))[0]
        endpoint.in_flight = 2
        self.assertEqual(occupancy(endpoint, 5, 0.0), 1.0)


class EstimateTest(unittest.TestCase):
    """Expected times follow the observed ones."""

    def _observed(self, occupied: float, first_s: float, whole_s: float) -> ServiceTimes:
        times, rng = ServiceTimes(), random.Random(1)
        for _ in range(200):
            noise = rng.uniform(0.8, 1.2)
            times.record_first(SIZE, 0.1, 0.1 * noise)
            times.record_done(SIZE, 0.1, 0.1 * noise, whole_s * noise)
            times.record_first(SIZE, occupied, first_s * noise)
        return times

    def test_nothing_is_expected_before_there_are_observations(self) -> None:
        """Guards against refusals by a guess after a start."""
        times = ServiceTimes()
        for _ in range(MIN_OBSERVATIONS - 1):
            times.record_first(SIZE, 0.5, 9.0)
        self.assertIsNone(times.expect(SIZE, 0.5))

    def test_estimate_follows_the_occupancy(self) -> None:
        """Guards against estimates of an idle engine for a busy one."""
        times = self._observed(0.9, 0.4, 1.0)
        idle, busy, queued = (times.expect(SIZE, occupied) for occupied in (0.1, 0.9, 2.5))
        assert idle is not None
        assert busy is not None
        assert queued is not None
        self.assertAlmostEqual(idle.first_s, 0.1, delta=0.03)
        self.assertAlmostEqual(busy.first_s, 0.4, delta=0.1)
        self.assertGreater(queued.first_s, 1.4)

    def test_hardly_any_request_is_faster_than_the_earliest_time(self) -> None:
        """Guards against refusals of requests that would have been served in time."""
        times, rng = ServiceTimes(), random.Random(2)
        too_slow = 0
        for n in range(2_000):
            # Some requests find their prompt cached; the others wait for it to be read.
            first_s = rng.choice((0.05, 0.3)) * rng.uniform(0.7, 1.3)
            expected = times.expect(SIZE, 0.1)
            if n > 100 and expected is not None and first_s < expected.earliest_first_s:
                too_slow += 1
            times.record_first(SIZE, 0.1, first_s)
        self.assertLess(too_slow, 1_900 * 0.05)


class ScopeTest(unittest.TestCase):
    """Admission is controlled only where endpoints share their hosts."""

    def _pool(self, slowdown: float | None) -> EndpointPool:
        pool = EndpointPool(bounds(), lambda: 1)
        pool.apply(an_entry("e1", service="model", slots=4), is_newly_joined=False)
        placement = pool.take(PlacementRequest(a_service("model", 4), a_call(), "z1", False))
        assert not isinstance(placement, PlacementFailure)
        load = EngineLoad(4, 40, 4, slowdown)
        head = ResponseHead(200, "OK", "q1", None, False, True, load, None, ())
        pool.record_response(placement, head, failed=False)
        return pool

    def test_takes_effect_only_where_endpoints_state_how_long_work_takes(self) -> None:
        """Guards against new refusals in deployments that did not ask for them."""
        self.assertFalse(self._pool(None).controls_admission())
        self.assertTrue(self._pool(1.0).controls_admission())

    def test_error_of_an_estimate_is_known_once_the_first_event_arrives(self) -> None:
        """Guards against estimates that nobody can compare with what came."""
        now = 10.0
        with mock.patch.object(clock, "now", side_effect=lambda: now):
            pool = self._pool(1.0)
            pool.set_fleet_loads(Loads({}, {}))
            errors = []
            for n in range(30):
                request = PlacementRequest(a_service("model", 4), a_call(f"q{n}"), "z1", False)
                placement = pool.take(request)
                assert not isinstance(placement, PlacementFailure)
                now += 0.2
                head = ResponseHead(200, "OK", "q", None, False, True, None, None, ())
                pool.record_response(placement, head, failed=False)
                errors.append(placement.estimate_error_s())
                pool.record_done(placement)
                pool.release(placement)
        self.assertIsNone(errors[0])
        assert errors[-1] is not None
        self.assertAlmostEqual(errors[-1], 0.0, delta=0.01)


if __name__ == "__main__":
    unittest.main()
