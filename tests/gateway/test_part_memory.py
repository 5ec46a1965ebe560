"""Tests of `gateway.part_memory`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.endpoints import Endpoint, EndpointTable
from sequoiadrum.gateway.part_memory import KEPT_S, MAX_PARTS, PartMemory
from tests.gateway.builders import an_entry


def _engines(count: int) -> list[Endpoint]:
    table = EndpointTable()
    for n in range(count):
        table.apply(an_entry(f"e{n}", service="model"))
    return table.of_service("model")


class PartMemoryTest(unittest.TestCase):
    """A system prompt is read once and copied after that."""

    def setUp(self) -> None:
        self.memory = PartMemory()
        self.engines = _engines(3)

    def test_second_engine_copies_from_the_first(self) -> None:
        """Guards against each engine reading each system prompt."""
        first, second, _ = self.engines
        self.assertIsNone(self.memory.source_for("s", first, self.engines, 0.0))
        self.assertIs(self.memory.source_for("s", second, self.engines, 1.0), first)
        self.assertIsNone(self.memory.source_for("s", second, self.engines, 2.0))

    def test_old_or_lost_holders_are_not_named(self) -> None:
        """Guards against a copy from an engine that has dropped the part or cannot be reached."""
        first, second, third = self.engines
        self.memory.source_for("s", first, self.engines, 0.0)
        self.assertIsNone(self.memory.source_for("s", second, self.engines, KEPT_S + 1))
        second.record_unreachable(KEPT_S + 1)
        self.assertIsNone(self.memory.source_for("s", third, self.engines, KEPT_S + 1.1))

    def test_memory_is_bounded(self) -> None:
        """Guards against a table that grows with each prompt that was ever seen."""
        for n in range(MAX_PARTS + 5):
            self.memory.source_for(f"s{n}", self.engines[0], self.engines, 0.0)
        self.assertIsNone(self.memory.source_for("s0", self.engines[1], self.engines, 0.0))
        last = f"s{MAX_PARTS}"
        found = self.memory.source_for(last, self.engines[1], self.engines, 0.0)
        self.assertIs(found, self.engines[0])
