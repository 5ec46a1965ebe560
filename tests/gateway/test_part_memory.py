"""Tests of `gateway.part_memory`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.endpoints import Endpoint, EndpointTable
from sequoiadrum.gateway.part_memory import ASSUMED_CACHED_S, MAX_PARTS, PartMemory
from tests.gateway.builders import an_entry


def _engines(count: int) -> list[Endpoint]:
    table = EndpointTable()
    for n in range(count):
        table.apply(an_entry(f"e{n}", service="model"), 0.0)
    return table.of_service("model")


class PartMemoryTest(unittest.TestCase):
    """A system prompt is computed by one engine and copied by the others."""

    def setUp(self) -> None:
        self.memory = PartMemory()
        self.engines = _engines(3)

    def test_second_engine_copies_from_the_first(self) -> None:
        """Guards against every engine computing the same system prompt."""
        first, second, _ = self.engines
        self.assertIsNone(self.memory.record_send("s", first, self.engines, 0.0))
        self.assertIs(self.memory.record_send("s", second, self.engines, 1.0), first)
        self.assertIsNone(self.memory.record_send("s", second, self.engines, 2.0))

    def test_old_or_lost_holders_are_not_named(self) -> None:
        """Guards against a copy from an engine that has evicted the part or is unreachable."""
        first, second, third = self.engines
        self.memory.record_send("s", first, self.engines, 0.0)
        self.assertIsNone(self.memory.record_send("s", second, self.engines, ASSUMED_CACHED_S + 1))
        second.record_unreachable(ASSUMED_CACHED_S + 1)
        self.assertIsNone(self.memory.record_send("s", third, self.engines, ASSUMED_CACHED_S + 1.1))

    def test_memory_is_bounded(self) -> None:
        """Guards against a table that grows with every prompt."""
        for n in range(MAX_PARTS + 5):
            self.memory.record_send(f"s{n}", self.engines[0], self.engines, 0.0)
        self.assertIsNone(self.memory.record_send("s0", self.engines[1], self.engines, 0.0))
        last = f"s{MAX_PARTS}"
        found = self.memory.record_send(last, self.engines[1], self.engines, 0.0)
        self.assertIs(found, self.engines[0])
