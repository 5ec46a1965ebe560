"""Engine loads, the bound on them, and the engines that served chats; performs no I/O."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.hashing import chat_score, stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

SLOW_START_S: Final = 10.0
"""Time after which a joining or recovered engine reaches its full cap."""
DISPLACED_TTL_S: Final = 600.0
"""A chat that left an unhealthy engine returns if the engine recovers within this time."""

CHAT_IDS_PER_ENGINE: Final = 256
"""Ids of recent chats kept for each engine, for plans that move their contexts."""


@frozen
class BoundPolicy:
    """Limits on the load of one engine in relation to the mean, and the choice of engines."""

    bound_multiple: float = 1.25
    """Largest load of an engine as a multiple of the mean load."""
    admit_multiple: float = 1.15
    """Multiple of the mean at which new requests spill.

    The gap to `bound_multiple` is headroom: releases at other engines lower the mean.
    """
    cold_choices: int = 1
    """Number of top-ranked engines from which a chat without cached context gets the least loaded;
    0 means all engines."""
    kv_import: bool = True
    """Whether the grant of a spilled chat names the engine that holds its context."""
    engine_slots: float = 64.0
    """Largest total cost in flight at one engine."""

    @property
    def low_load_allowance(self) -> float:
        """Load that an engine may always carry.

        Below it the bound is less than one request above the mean, so that rounding to whole
        requests exceeds the bound.
        """
        return math.ceil(1 / (self.bound_multiple - 1) - 1e-9)

    def cap(self, multiple: float, total_after: float, engines: float, cost: float) -> float:
        """Returns the largest load that one engine may have.

        Args:
            multiple: Multiple of the mean.
            total_after: Load of all engines with the new request.
            engines: Number of engines; one in slow start counts as a fraction.
            cost: Weight of the new request; the allowance is counted in requests of this size.
        """
        allowance = self.low_load_allowance * max(1.0, cost)
        return min(self.engine_slots, max(multiple * total_after / engines, allowance))


REUSE_WEIGHTED: Final = BoundPolicy(admit_multiple=1.15, cold_choices=1)
"""Keeps chats on their home engines, so that a new owner places them on the same engines."""
SKEW_WEIGHTED: Final = BoundPolicy(admit_multiple=1.05, cold_choices=0)
"""Places chats without context on the least loaded engine and spills early."""


@define(eq=False)
class EngineState:
    """State of one engine as known to the pool owner."""

    id: str
    id_hash: int
    declared: bool = True
    draining: bool = False
    """Whether the configuration declares the engine as draining."""
    leaving: bool = False
    """Whether the engine, the platform's list or a rumor has announced that the engine leaves."""
    healthy: bool = True
    usable: bool = True
    """Whether the engine may get new requests; derived from the other states."""
    load: float = 0.0
    """Total cost of the grants in flight."""
    reported: float = 0.0
    """Load in the engine's last report; delayed, so it is only shown to operators."""
    unattributed_load: float = 0.0
    """Reported load for which a new owner knows no grants."""
    suspects: int = 0
    """Number of requests in flight that were involved in a crash."""
    warm_at: float = 0.0
    """End of the slow start, in monotonic seconds."""

    @classmethod
    def of(cls, engine_id: str) -> EngineState:
        """Returns the state of a newly declared engine."""
        return cls(engine_id, stable_hash("engine", engine_id))

    def weight(self, now: float) -> float:
        """Returns the fraction of the full cap that the engine may use, in (0, 1]."""
        if now >= self.warm_at:
            return 1.0
        return max(0.1, 1.0 - (self.warm_at - now) / SLOW_START_S)

    def label(self) -> str:
        """Returns the name of the state that operators see."""
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        return "active" if self.healthy else "unhealthy"

    def update_usable(self) -> None:
        """Derives `usable` from the other states."""
        self.usable = self.declared and self.healthy and not (self.draining or self.leaving)


def home_engine_id(chat_id: str, engine_ids: Iterable[str]) -> str | None:
    """Returns the home engine of a chat, the first in its ranking, or None without engines."""
    chat_hash = stable_hash(chat_id)
    return max(
        engine_ids,
        key=lambda engine_id: chat_score(chat_hash, EngineState.of(engine_id).id_hash),
        default=None,
    )


@define
class RecentEngineTable:
    """Engine that last served each chat; a full table evicts the least recently used entry."""

    capacity: int = 100_000
    """Maximum number of chats."""
    _engine_by_chat: dict[int, EngineState] = field(factory=dict)
    _displaced_by_chat: dict[int, tuple[EngineState, float]] = field(factory=dict)
    _chats_by_engine: dict[str, OrderedDict[str, None]] = field(factory=dict)

    def last_engine(self, chat_hash: int) -> EngineState | None:
        """Returns the engine that last served a chat, or None."""
        return self._engine_by_chat.get(chat_hash)

    def displaced_from(self, chat_hash: int, now: float) -> EngineState | None:
        """Returns the engine that a chat left only because the engine was unhealthy, or None."""
        if not self._displaced_by_chat:
            return None
        entry = self._displaced_by_chat.get(chat_hash)
        if entry is None:
            return None
        if now - entry[1] > DISPLACED_TTL_S or not entry[0].declared:
            del self._displaced_by_chat[chat_hash]
            return None
        return entry[0]

    def record(self, chat_hash: int, engine: EngineState, now: float) -> None:
        """Records the placement of a chat on an engine."""
        previous = self._engine_by_chat.pop(chat_hash, None)
        self._engine_by_chat[chat_hash] = engine
        if len(self._engine_by_chat) > self.capacity:
            del self._engine_by_chat[next(iter(self._engine_by_chat))]
        displaced = self._displaced_by_chat.get(chat_hash)
        if displaced is not None:
            if displaced[0] is engine:
                del self._displaced_by_chat[chat_hash]
        elif previous is not None and not previous.healthy and previous is not engine:
            self._displaced_by_chat[chat_hash] = (previous, now)
            if len(self._displaced_by_chat) > self.capacity:
                del self._displaced_by_chat[next(iter(self._displaced_by_chat))]

    def record_chat_id(self, engine_id: str, chat_id: str) -> None:
        """Records the id of a chat that an engine serves."""
        chats = self._chats_by_engine.setdefault(engine_id, OrderedDict())
        chats[chat_id] = None
        chats.move_to_end(chat_id)
        if len(chats) > CHAT_IDS_PER_ENGINE:
            chats.popitem(last=False)

    def recent_chat_ids(self, engine_id: str, limit: int) -> list[str]:
        """Returns ids of chats that an engine recently served, the most recent first."""
        return list(reversed(self._chats_by_engine.get(engine_id, ())))[:limit]

    def __len__(self) -> int:
        return len(self._engine_by_chat)
