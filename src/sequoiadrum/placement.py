"""Load of engines, the bound on it, and where chats were served, without I/O."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

SLOW_START_S: Final = 10.0
"""A cold engine reaches its full cap after this time."""
DISPLACED_S: Final = 600.0
"""A chat returns to its engine if that engine recovers within this time."""

CHATS_LISTED_PER_ENGINE: Final = 256
"""Names of chats kept for each engine, for plans that move their context."""

_MASK: Final = (1 << 64) - 1


@frozen
class BoundPolicy:
    """How far the load of one engine may be from the mean."""

    bound_multiple: float = 1.25
    """Largest load of an engine over the mean load."""
    admit_multiple: float = 1.15
    """Multiple at which new requests spill; the gap to the bound is headroom for releases."""
    cold_choices: int = 1
    """Engines of the ranking among which a chat without cached context takes the least loaded;
    0 means all engines."""
    kv_import: bool = True
    """Whether a spilled chat is told where its context is."""
    engine_slots: float = 64.0
    """Cost in flight at one engine at most."""

    @property
    def low_load_allowance(self) -> float:
        """Load that an engine may always carry: below it, rounding exceeds any multiple."""
        return math.ceil(1 / (self.bound_multiple - 1) - 1e-9)

    def cap(self, multiple: float, total_after: float, engines: float, cost: float) -> float:
        """Gives the largest load of one engine.

        Args:
            multiple: Multiple of the mean.
            total_after: Load of all engines with the new request.
            engines: Number of engines; one in slow start counts as a fraction.
            cost: Weight of the new request; the allowance is counted in requests of this size.
        """
        allowance = self.low_load_allowance * max(1.0, cost)
        return min(self.engine_slots, max(multiple * total_after / engines, allowance))


REUSE_WEIGHTED: Final = BoundPolicy(admit_multiple=1.15, cold_choices=1)
"""Keeps chats on their home engines, where a new owner finds them again."""
SKEW_WEIGHTED: Final = BoundPolicy(admit_multiple=1.05, cold_choices=0)
"""Spreads whatever has no context, and spills early."""


@define(eq=False)
class EngineState:
    """What the pool owner knows of one engine."""

    id: str
    id_hash: int
    declared: bool = True
    draining: bool = False
    """Declared as draining."""
    leaving: bool = False
    """Announced by the engine, the platform's list or a rumour."""
    healthy: bool = True
    usable: bool = True
    """Whether it may get new work; follows from the other states."""
    load: float = 0.0
    """Cost of the grants in flight."""
    reported: float = 0.0
    """Load in the engine's last report; it lags and only informs operators."""
    foreign: float = 0.0
    """Reported load that a new owner knows no grants for."""
    suspects: int = 0
    """Suspected requests in flight."""
    warm_at: float = 0.0
    """When the slow start ends, in monotonic seconds."""

    @classmethod
    def of(cls, engine_id: str) -> EngineState:
        """Makes the state of a newly declared engine."""
        return cls(engine_id, stable_hash("engine", engine_id))

    def weight(self, now: float) -> float:
        """Gives the part of the full cap that the engine may use, in (0, 1]."""
        if now >= self.warm_at:
            return 1.0
        return max(0.1, 1.0 - (self.warm_at - now) / SLOW_START_S)

    def label(self) -> str:
        """Names the state for operators."""
        if self.draining:
            return "draining"
        if self.leaving:
            return "leaving"
        return "active" if self.healthy else "unhealthy"

    def update_usable(self) -> None:
        """Derives `usable` from the other states."""
        self.usable = self.declared and self.healthy and not (self.draining or self.leaving)


def chat_score(chat_hash: int, engine_hash: int) -> int:
    """Gives the rendezvous weight of an engine for a chat.

    Mixes two 64-bit hashes with the finalizer of SplitMix64, which costs a tenth of hashing the
    names again for each engine.
    """
    z = chat_hash ^ engine_hash
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & _MASK
    return z ^ (z >> 31)


def home_engine_id(chat_id: str, engine_ids: Iterable[str]) -> str | None:
    """Gives the first engine in a chat's ranking, or None without engines."""
    chat_hash = stable_hash(chat_id)
    return max(
        engine_ids,
        key=lambda engine_id: chat_score(chat_hash, EngineState.of(engine_id).id_hash),
        default=None,
    )


@define
class RecentEngineTable:
    """Bounded table of the engines that last served the chats, least recently used out first."""

    capacity: int = 100_000
    """Chats kept."""
    _engine_by_chat: dict[int, EngineState] = field(factory=dict)
    _displaced_by_chat: dict[int, tuple[EngineState, float]] = field(factory=dict)
    _chats_by_engine: dict[str, OrderedDict[str, None]] = field(factory=dict)

    def last_engine(self, chat_hash: int) -> EngineState | None:
        """Gives the engine that last served a chat."""
        return self._engine_by_chat.get(chat_hash)

    def displaced_from(self, chat_hash: int, now: float) -> EngineState | None:
        """Gives the engine that a chat left only because the engine was unhealthy."""
        if not self._displaced_by_chat:
            return None
        entry = self._displaced_by_chat.get(chat_hash)
        if entry is None:
            return None
        if now - entry[1] > DISPLACED_S or not entry[0].declared:
            del self._displaced_by_chat[chat_hash]
            return None
        return entry[0]

    def record(self, chat_hash: int, engine: EngineState, now: float) -> None:
        """Notes a placement."""
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

    def list_chat(self, engine_id: str, chat_id: str) -> None:
        """Notes the name of a chat that an engine serves."""
        chats = self._chats_by_engine.setdefault(engine_id, OrderedDict())
        chats[chat_id] = None
        chats.move_to_end(chat_id)
        if len(chats) > CHATS_LISTED_PER_ENGINE:
            chats.popitem(last=False)

    def chats_of(self, engine_id: str, limit: int) -> list[str]:
        """Lists chats that an engine served last, the most recent first."""
        return list(reversed(self._chats_by_engine.get(engine_id, ())))[:limit]

    def __len__(self) -> int:
        return len(self._engine_by_chat)
