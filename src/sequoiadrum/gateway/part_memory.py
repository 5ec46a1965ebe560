"""Tracks which engines have the first parts of prompts in their KV cache; performs no I/O.

Designed for many chats that begin with one of a few dozen system prompts. Each engine would compute
each of these prompts once, unless the request says from which engine to copy it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from sequoiadrum.gateway.endpoints import Endpoint

ASSUMED_CACHED_S: Final = 30.0
"""An engine that was sent a part longer ago may have evicted it from its KV cache."""
MAX_PARTS: Final = 1_000
"""Parts that are tracked; the least recently used part is evicted."""


@define(eq=False)
class PartMemory:
    """Times at which this instance last sent each part to each engine."""

    _sent_at_by_part: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)

    def record_send(
        self, part_id: str, chosen: Endpoint, endpoints: list[Endpoint], now: float
    ) -> Endpoint | None:
        """Records that a part is sent to an engine and finds an engine to copy it from.

        Args:
            part_id: Id of the first part of a prompt.
            chosen: The engine that the request is sent to.
            endpoints: All engines of the service.
            now: Monotonic seconds.

        Returns:
            The reachable engine that was sent the part last; None if there is none, or if the
            chosen engine is expected to have the part.
        """
        sent_at_by_id = self._sent_at_by_part.setdefault(part_id, {})
        self._sent_at_by_part.move_to_end(part_id)
        if len(self._sent_at_by_part) > MAX_PARTS:
            self._sent_at_by_part.popitem(last=False)
        has_part = now - sent_at_by_id.get(chosen.id, float("-inf")) <= ASSUMED_CACHED_S
        holders = [
            e
            for e in endpoints
            if e is not chosen
            and now - sent_at_by_id.get(e.id, float("-inf")) <= ASSUMED_CACHED_S
            and not e.is_unreachable(now)
        ]
        # Also removes the times of engines that no longer exist.
        for engine_id in [i for i, at in sent_at_by_id.items() if now - at > ASSUMED_CACHED_S]:
            del sent_at_by_id[engine_id]
        sent_at_by_id[chosen.id] = now
        if has_part or not holders:
            return None
        return max(holders, key=lambda e: sent_at_by_id[e.id])
