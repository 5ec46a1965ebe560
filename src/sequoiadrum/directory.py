"""Directory of the router addresses for callers, ranked by rendezvous hash of the key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiadrum.hashing import rank
from sequoiadrum.interfaces import Directory
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.messages import Address, Member

ADDRESSES_PER_RESPONSE: Final = 3
"""Maximum number of addresses in one response: the preferred one and alternates."""


class MemberDirectory(Directory):
    """Directory of the alive members; suspects are returned only if no member is alive."""

    def __init__(self, membership: MembershipSource) -> None:
        self._membership = membership
        self._cached: tuple[object, dict[str, Address]] = (None, {})

    def address_for(self, key: str, preferred: str = "") -> tuple[Address, ...]:
        """Returns the HTTP addresses for a key, the best first; see `Directory.address_for`."""
        members = self._membership.members()
        snapshot, candidates = self._cached
        if snapshot is not members:
            candidates = _candidates(members)
            # A single assignment of the pair keeps it consistent for concurrent readers.
            self._cached = (members, candidates)
        ranked = rank(key, candidates)
        if preferred in candidates:
            ranked.remove(preferred)
            ranked.insert(0, preferred)
        return tuple(candidates[name] for name in ranked[:ADDRESSES_PER_RESPONSE])


def _candidates(members: Mapping[str, Member]) -> dict[str, Address]:
    for state in (MemberState.ALIVE, MemberState.SUSPECT):
        found = {m.id: m.http_address for m in members.values() if m.state is state}
        if found:
            return found
    return {}
