"""Tests of the signs by which crashed endpoints are told from broken exchanges, on virtual time."""

from __future__ import annotations

import unittest

from attrs import evolve

from sequoiadrum.gateway.crash_suspects import (
    ABSENCE_S,
    MAX_EXCHANGES,
    MAX_SUSPECTS,
    SUSPICION_S,
    BrokenExchange,
    CrashSuspects,
    Evidence,
    Listing,
    Sighting,
)
from tests.gateway.builders import an_entry

STEP_S = 0.3


def a_broken_exchange(
    endpoint_id: str = "e1", broken_at: float = 10.0, started_ms: int = 1
) -> BrokenExchange:
    """Builds an exchange that broke a second after its request was sent."""
    entry = an_entry(endpoint_id, started_ms=started_ms)
    return BrokenExchange(entry, "q1", "f1", ("p1",), broken_at - 1.0, broken_at)


class CrashSuspectsTest(unittest.TestCase):
    """An endpoint counts as crashed by what follows the broken exchange."""

    def setUp(self) -> None:
        self.suspects = CrashSuspects()

    def _add(self, sighting: Sighting, exchange: BrokenExchange | None = None) -> bool:
        exchange = exchange or a_broken_exchange()
        return self.suspects.add(exchange, sighting, exchange.broken_at)

    def _see(self, sighting: Sighting, seconds: float, first: float = 10.0) -> None:
        steps = round(seconds / STEP_S)
        for step in range(1, steps + 1):
            self.suspects.record_sighting("e1", sighting, first + step * STEP_S)

    def _evidence(self) -> list[Evidence]:
        return [evidence for evidence, _ in self.suspects.take_crashed()]

    def test_endpoint_that_is_not_reached_for_a_while_has_crashed(self) -> None:
        """Guards against crashes that are not counted because no closed port shows them."""
        self._add(Sighting.NOT_REACHED)
        self._see(Sighting.NOT_REACHED, ABSENCE_S - STEP_S)
        self.assertEqual(self._evidence(), [])
        self._see(Sighting.NOT_REACHED, ABSENCE_S + STEP_S)
        self.assertEqual(self._evidence(), [Evidence.ABSENT])
        self.assertEqual(self.suspects.entries(), [])

    def test_lost_connection_attempts_are_no_crash(self) -> None:
        """Guards against counting a lossy link beside a cut response as a crash."""
        self._add(Sighting.NOT_REACHED)
        for number in range(10):
            at = 10.0 + number * 3 * STEP_S
            self._see(Sighting.NOT_REACHED, 2 * STEP_S, at)
            self.suspects.record_sighting("e1", Sighting.REACHED, at + 3 * STEP_S)
        self.assertEqual(self._evidence(), [])

    def test_port_that_closes_later_shows_a_crash(self) -> None:
        """Guards against crashes of processes that take long to end."""
        self._add(Sighting.REACHED)
        self._see(Sighting.REFUSED, STEP_S)
        self.assertEqual(self._evidence(), [Evidence.REFUSED])

    def test_response_to_a_later_request_clears_the_endpoint(self) -> None:
        """Guards against counting responses that were cut by a sound endpoint as crashes."""
        self._add(Sighting.NOT_REACHED)
        self.suspects.record_response("e1", 10.1)
        self._see(Sighting.REFUSED, STEP_S)
        self.assertEqual(self._evidence(), [])

    def test_response_to_an_earlier_request_clears_nothing(self) -> None:
        """Guards against a crash that a response hides which was read late."""
        self._add(Sighting.REACHED)
        self.suspects.record_response("e1", 9.9)
        self._see(Sighting.REFUSED, STEP_S)
        self.assertEqual(self._evidence(), [Evidence.REFUSED])

    def test_each_exchange_is_cleared_for_itself(self) -> None:
        """Guards against a crash that the response to a request from between two breaks hides."""
        self._add(Sighting.REACHED)
        last = a_broken_exchange(broken_at=12.0)
        self._add(Sighting.REACHED, last)
        self.suspects.record_response("e1", 11.0)
        self._see(Sighting.REFUSED, STEP_S, 12.0)
        self.assertEqual(self.suspects.take_crashed(), [(Evidence.REFUSED, [last])])

    def test_store_shows_a_crash(self) -> None:
        """Guards against crashes behind a listener that another process holds."""
        for listing, evidence in (
            (Listing.RESTARTED, [Evidence.RESTARTED]),
            (Listing.REMOVED, [Evidence.REMOVED]),
            (Listing.LISTED, []),
        ):
            with self.subTest(listing):
                self._add(Sighting.REACHED)
                self.suspects.record_listing("e1", listing)
                self.assertEqual(self._evidence(), evidence)

    def test_endpoint_that_leaves_as_planned_has_not_crashed(self) -> None:
        """Guards against counting the end of a drained endpoint as a crash."""
        self._add(Sighting.REACHED)
        self.suspects.record_listing("e1", Listing.LEAVING)
        self._see(Sighting.REFUSED, STEP_S)
        self.suspects.record_listing("e1", Listing.REMOVED)
        self.assertEqual(self._evidence(), [])

    def test_suspicion_ends(self) -> None:
        """Guards against counting a crash for an exchange that broke long before it."""
        self._add(Sighting.REACHED)
        self.suspects.expire(10.0 + SUSPICION_S)
        self._see(Sighting.REFUSED, STEP_S)
        self.assertEqual(self._evidence(), [])

    def test_new_process_under_the_id_is_observed_for_itself(self) -> None:
        """Guards against counting exchanges of the process before it for a process that crashed."""
        self._add(Sighting.REACHED)
        later = a_broken_exchange(broken_at=12.0, started_ms=2)
        self._add(Sighting.REACHED, later)
        self._see(Sighting.REFUSED, STEP_S, 12.0)
        self.assertEqual(self.suspects.take_crashed(), [(Evidence.REFUSED, [later])])

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with the endpoints and requests of a large failure."""
        added = [
            self._add(Sighting.REACHED, a_broken_exchange(f"e{n}")) for n in range(2 * MAX_SUSPECTS)
        ]
        self.assertEqual(sum(added), MAX_SUSPECTS)
        exchange = a_broken_exchange("e0")
        added = [
            self._add(Sighting.REACHED, evolve(exchange, request_id=f"q{n}"))
            for n in range(2 * MAX_EXCHANGES)
        ]
        self.assertEqual(sum(added), MAX_EXCHANGES - 1)


if __name__ == "__main__":
    unittest.main()
