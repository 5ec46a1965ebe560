"""Remembers which engines have read the first parts of prompts, without I/O.

Load it answers: many chats that begin with one of a few dozen system prompts. Each engine reads
each of these once, unless it is told which engine has it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from sequoiadrum.gateway.endpoints import Endpoint

KEPT_S: Final = 30.0
"""An engine that was sent a part longer ago may have dropped it for others."""
MAX_PARTS: Final = 1_000
"""Parts remembered; the least recently used ones are forgotten."""


@define(eq=False)
class PartMemory:
    """When this instance last sent each part to each engine."""

    _sent_at_by_part: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)

    def source_for(
        self, part_id: str, chosen: Endpoint, endpoints: list[Endpoint], now: float
    ) -> Endpoint | None:
        """Notes that a part goes to an engine; gives one that has it if the engine may lack it.

        Args:
            part_id: The first part of a prompt.
            chosen: Where the request goes.
            endpoints: All engines of the service.
            now: Seconds.
        """
        sent_at_by_id = self._sent_at_by_part.setdefault(part_id, {})
        self._sent_at_by_part.move_to_end(part_id)
        if len(self._sent_at_by_part) > MAX_PARTS:
            self._sent_at_by_part.popitem(last=False)
        has_it = now - sent_at_by_id.get(chosen.id, float("-inf")) <= KEPT_S
        holders = [
            e
            for e in endpoints
            if e is not chosen
            and now - sent_at_by_id.get(e.id, float("-inf")) <= KEPT_S
            and not e.is_unreachable(now)
        ]
        # Engines that are gone are forgotten with the part's other old entries.
        for engine_id in [i for i, at in sent_at_by_id.items() if now - at > KEPT_S]:
            del sent_at_by_id[engine_id]
        sent_at_by_id[chosen.id] = now
        if has_it or not holders:
            return None
        return max(holders, key=lambda e: sent_at_by_id[e.id])
