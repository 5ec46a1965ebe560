"""Which router owns a pool, in the view of this router."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.hashing import first_ranked, rank

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.interfaces import MembershipSource
    from sequoiadrum.messages import Address, Member

AVOID_S: Final = 2.0
"""A router that failed to answer is passed over this long; membership needs about as long."""


class PoolDirectory:
    """Ranks the usable routers for each pool; safe to use from any thread."""

    def __init__(
        self, membership: MembershipSource, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot: Mapping[str, Member] | None = None
        self._owner_by_pool: dict[str, str | None] = {}
        self._avoided_until: dict[str, float] = {}

    def owner_of(self, pool: str) -> str | None:
        """Gives the owner by membership alone."""
        members = self._membership.members()
        with self._lock:
            if members is not self._snapshot:
                self._snapshot = members
                self._owner_by_pool = {}
            if pool not in self._owner_by_pool:
                usable = [member.id for member in members.values() if member.is_usable]
                self._owner_by_pool[pool] = first_ranked(_key(pool), usable)
            return self._owner_by_pool[pool]

    def successors_of(self, pool: str, count: int) -> list[str]:
        """Gives the routers after the owner in the ranking.

        The first of them owned the pool before a router that joined lately took it over.
        """
        usable = [m.id for m in self._membership.members().values() if m.is_usable]
        return rank(_key(pool), usable)[1 : 1 + count]

    def owner_to_ask(self, pool: str) -> str | None:
        """Gives the first owner in the ranking that has answered lately, as far as is known."""
        owner = self.owner_of(pool)
        now = self._clock()
        with self._lock:
            for router_id, until in list(self._avoided_until.items()):
                if until <= now:
                    del self._avoided_until[router_id]
            avoided = set(self._avoided_until)
        if owner not in avoided:
            return owner
        members = self._membership.members()
        usable = [m.id for m in members.values() if m.is_usable and m.id not in avoided]
        return first_ranked(_key(pool), usable)

    def avoid(self, router_id: str) -> None:
        """Passes over a router that did not answer."""
        with self._lock:
            self._avoided_until[router_id] = self._clock() + AVOID_S

    def address_of(self, router_id: str) -> Address | None:
        """Gives the peer address of a router."""
        member = self._membership.members().get(router_id)
        return member.peer_address if member is not None else None


def _key(pool: str) -> str:
    return f"pool/{pool}"
