"""Tests of `gateway.load_board`: sums of the requests that routers report."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sequoiadrum.gateway.load_board import (
    MAX_KEPT_REPORTS,
    MAX_SENDERS,
    REPORT_TTL_S,
    ROUTERS_PER_HUB,
    LoadBoard,
    Loads,
    hubs_by_domain,
)
from sequoiadrum.messages import Member, MemberState

_COUNTS = st.dictionaries(st.integers(0, 4), st.integers(0, 9), max_size=4)
_REPORTS = st.lists(
    st.tuples(
        st.booleans(),
        st.sampled_from(["r1", "r2", "r3"]),
        st.builds(Loads, _COUNTS, _COUNTS),
        st.floats(0.0, 2.0),
    ),
    max_size=20,
)

_NONE = Loads({}, {})


def _members(count: int, domains: int, state: MemberState = MemberState.ALIVE) -> list[Member]:
    return [Member(f"r{n}", "h", 1, 2, f"z{n % domains}", "r", 1, 0, state) for n in range(count)]


class LoadBoardTest(unittest.TestCase):
    """One router as a hub, and as a router that reports to a hub."""

    @given(_REPORTS)
    def test_fleet_is_the_sum_of_the_recent_reports(
        self, reports: list[tuple[bool, str, Loads, float]]
    ) -> None:
        """Guards against sums that drift when reports are replaced or expire."""
        board, now = LoadBoard(), 100.0
        newest: dict[tuple[bool, str], tuple[Loads, float]] = {}
        for is_group, sender, loads, pause_s in reports:
            now += pause_s
            (board.record_group if is_group else board.record_router)(sender, loads, now)
            newest[is_group, sender] = (loads, now)
        in_flight, parts = Counter({7: 2}), Counter({8: 3})
        for loads, received_at in newest.values():
            if now - received_at <= REPORT_TTL_S:
                in_flight.update(loads.in_flight_by_endpoint)
                parts.update(loads.requests_by_part)
        fleet = board.fleet(Loads({7: 2}, {8: 3}), now)
        self.assertEqual(fleet.in_flight_by_endpoint, +in_flight)
        self.assertEqual(fleet.requests_by_part, +parts)

    def test_own_requests_are_not_counted_twice(self) -> None:
        """Guards against a router that considers its own requests as those of other routers."""
        board = LoadBoard()
        sequence = board.next_report(Loads({1: 2, 2: 1}, {}))
        self.assertEqual(board.elsewhere(sequence, {1: 5, 2: 1, 3: 4}), {1: 3, 2: 0, 3: 4})

    def test_reply_to_an_unknown_report_is_ignored(self) -> None:
        """Guards against wrong loads from a reply that is late or from before a restart."""
        board = LoadBoard()
        first = board.next_report(_NONE)
        for _ in range(MAX_KEPT_REPORTS):
            board.next_report(_NONE)
        self.assertIsNone(board.elsewhere(first, {1: 5}))
        self.assertIsNone(board.elsewhere(99, {1: 5}))

    def test_number_of_senders_is_bounded(self) -> None:
        """Guards against memory that grows with each sender of datagrams."""
        board = LoadBoard()
        for n in range(MAX_SENDERS + 5):
            board.record_router(f"r{n}", Loads({1: 1}, {}), 0.0)
        self.assertEqual(board.fleet(_NONE, 0.0).in_flight_by_endpoint, {1: MAX_SENDERS})


class HubsTest(unittest.TestCase):
    """Which routers are hubs."""

    def test_each_failure_domain_has_hubs_in_proportion(self) -> None:
        """Guards against a hub with more routers than it can answer, and domains without a hub."""
        hubs = hubs_by_domain(_members(6 * ROUTERS_PER_HUB + 3, 6))
        self.assertEqual(sorted(hubs), [f"z{n}" for n in range(6)])
        self.assertEqual([len(hubs[f"z{n}"]) for n in range(6)], [2, 2, 2, 1, 1, 1])

    def test_only_alive_routers_are_hubs(self) -> None:
        """Guards against reports to a router that is leaving or not reachable."""
        for state in (MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD):
            self.assertEqual(hubs_by_domain(_members(3, 1, state)), {})


if __name__ == "__main__":
    unittest.main()
