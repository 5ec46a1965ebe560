"""Tests of how soon the membership detects that many members failed together, on virtual time."""

from __future__ import annotations

import random
import unittest

from sequoiadrum.messages import MemberState
from tests.virtual_bus import Bus

BOUND_S = 7.0
"""Directories may name a router that is gone for 4 s and, in a few responses, 3 s more."""


def named_s(size: int, killed: int, seed: int) -> float:
    """Returns for how long a remaining member counts a killed one as alive, in virtual seconds."""
    bus = Bus(seed=seed)
    bus.start(size)
    assert bus.run(60, bus.has_converged)
    bus.run(3 + 0.13 * seed)
    gone = random.Random(seed).sample(sorted(bus.nodes), killed)
    for name in gone:
        bus.kill(name)
    killed_at = bus.now

    def counts_none() -> bool:
        return not any(
            node.members_by_id[name].state is MemberState.ALIVE
            for node in bus.nodes.values()
            for name in gone
        )

    bus.run(30, counts_none)
    return bus.now - killed_at


class MassFailureTest(unittest.TestCase):
    """Killed routers are named to callers no longer than operators allow."""

    def _check(self, size: int, killed: int, seeds: int) -> None:
        for seed in range(seeds):
            with self.subTest(size=size, killed=killed, seed=seed):
                self.assertLessEqual(named_s(size, killed, seed), BOUND_S)

    def test_small_fleet(self) -> None:
        """Guards against callers that are sent to dead routers of a small fleet."""
        for killed in (1, 4, 9):
            self._check(14, killed, 10)

    def test_one_of_a_large_fleet(self) -> None:
        """Guards against a dead router that a large fleet takes long to probe."""
        self._check(142, 1, 5)

    def test_many_of_a_large_fleet(self) -> None:
        """Guards against dead routers that are found one in each interval of the probes.

        The broadcasts of some of them were lost to the others.
        """
        self._check(142, 14, 4)
        self._check(142, 85, 4)

    def test_slow_acknowledgements_cause_a_bounded_number_of_datagrams(self) -> None:
        """Guards against busy routers that send more datagrams the later the responses are."""
        sent = []
        for delay_s in (0.001, 0.45):
            bus = Bus(seed=1)
            bus.start(28)
            assert bus.run(60, bus.has_converged)
            bus.delay_s = delay_s
            before = bus.sent_datagrams
            bus.run(20)
            sent.append((bus.sent_datagrams - before) / 20 / 28)
        self.assertLess(sent[0], 5.0)
        self.assertLess(sent[1], 120.0)
