"""Directory of the pool owners, according to this router's view of the membership."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.hashing import first_ranked, rank

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.messages import Address, Member

UNRESPONSIVE_TTL_S: Final = 2.0
"""Time for which a router that failed to respond is skipped.

The membership takes about as long to detect a failed router.
"""


class PoolDirectory:
    """Ranks the usable routers for each pool; the first one owns the pool. Thread-safe."""

    def __init__(
        self, membership: MembershipSource, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot: Mapping[str, Member] | None = None
        self._owner_by_pool: dict[str, str | None] = {}
        self._unresponsive_until: dict[str, float] = {}

    def owner_of(self, pool: str) -> str | None:
        """Returns the owner of a pool by membership alone, or None if no router is usable."""
        members = self._membership.members()
        with self._lock:
            if members is not self._snapshot:
                self._snapshot = members
                self._owner_by_pool = {}
            if pool not in self._owner_by_pool:
                usable = [member.id for member in members.values() if member.is_usable]
                self._owner_by_pool[pool] = first_ranked(_ranking_key(pool), usable)
            return self._owner_by_pool[pool]

    def successors_of(self, pool: str, count: int) -> list[str]:
        """Returns up to `count` routers that follow the owner in the ranking.

        If the owner has joined recently, the first of them was the previous owner.
        """
        usable = [m.id for m in self._membership.members().values() if m.is_usable]
        return rank(_ranking_key(pool), usable)[1 : 1 + count]

    def available_owner(self, pool: str) -> str | None:
        """Returns the first router in the ranking that is not marked unresponsive, or None."""
        owner = self.owner_of(pool)
        now = self._clock()
        with self._lock:
            for router_id, until in list(self._unresponsive_until.items()):
                if until <= now:
                    del self._unresponsive_until[router_id]
            unresponsive = set(self._unresponsive_until)
        if owner not in unresponsive:
            return owner
        members = self._membership.members()
        usable = [m.id for m in members.values() if m.is_usable and m.id not in unresponsive]
        return first_ranked(_ranking_key(pool), usable)

    def mark_unresponsive(self, router_id: str) -> None:
        """Excludes a router from `available_owner` for `UNRESPONSIVE_TTL_S`."""
        with self._lock:
            self._unresponsive_until[router_id] = self._clock() + UNRESPONSIVE_TTL_S

    def address_of(self, router_id: str) -> Address | None:
        """Returns the peer address of a router, or None if the router is unknown."""
        member = self._membership.members().get(router_id)
        return member.peer_address if member is not None else None


def _ranking_key(pool: str) -> str:
    return f"pool/{pool}"
