"""Placement of chats on the engines of a pool under a load bound, without I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from sequoiadrum.hashing import rank

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


@frozen
class BoundPolicy:
    """How far the load of one engine may be from the mean."""

    bound_multiple: float = 1.25
    """Largest load of an engine over the mean load."""
    admit_multiple: float = 1.15
    """Multiple at which new requests spill; the gap to the bound is headroom for releases."""

    @property
    def low_load_allowance(self) -> float:
        """Load that an engine may always carry: below it, rounding exceeds any multiple."""
        return math.ceil(1 / (self.bound_multiple - 1))

    def cap(self, total_after: float, engines: int) -> float:
        """Gives the largest load of one engine when `total_after` is in flight on all."""
        mean = total_after / engines
        return max(math.floor(self.admit_multiple * mean), self.low_load_allowance)


@define
class PoolAdmission:
    """Loads and placement of one pool, owned by one router."""

    policy: BoundPolicy
    _cost_by_grant: dict[str, tuple[str, float]] = field(factory=dict)
    _load_by_engine: dict[str, float] = field(factory=dict)

    def place(
        self,
        grant_id: str,
        chat_id: str,
        cost: float,
        declared: Collection[str],
        usable: Collection[str],
    ) -> str | None:
        """Grants the first engine of the chat's ranking that has room.

        Args:
            grant_id: Names the grant in `release`.
            chat_id: The chat.
            cost: Weight of the request.
            declared: All engines of the pool; they make the ranking, so a flap moves no home.
            usable: Those that may get new work.

        Returns:
            The engine, or None when none is usable.
        """
        total = sum(self._load_by_engine.get(engine, 0.0) for engine in usable) + cost
        if not usable:
            return None
        cap = self.policy.cap(total, len(usable))
        order = [engine for engine in rank(chat_id, declared) if engine in usable]
        chosen = next((e for e in order if self._load_by_engine.get(e, 0.0) + cost <= cap), None)
        if chosen is None:
            chosen = min(order, key=lambda e: self._load_by_engine.get(e, 0.0))
        self._cost_by_grant[grant_id] = (chosen, cost)
        self._load_by_engine[chosen] = self._load_by_engine.get(chosen, 0.0) + cost
        return chosen

    def release(self, grant_id: str) -> None:
        """Ends a grant; unknown ones are passed over."""
        engine, cost = self._cost_by_grant.pop(grant_id, ("", 0.0))
        if engine:
            self._load_by_engine[engine] -= cost

    def loads(self) -> Mapping[str, float]:
        """Gives the load of each engine that ever had one."""
        return dict(self._load_by_engine)
