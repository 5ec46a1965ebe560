"""Rumors, and the queue of updates that are piggybacked on datagrams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import define, field

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gossip_wire import to_wire, wire_size

if TYPE_CHECKING:
    from sequoiadrum.messages import Member

RETRANSMIT_FACTOR: Final = 4
"""Each of n routers transmits an update this factor times log10(n + 1) times, as in memberlist."""
MAX_RUMORS: Final = 2_000
"""Capacity of `RumorStore`; when it is full, the rumor that expires first is dropped."""


@define
class _Broadcast:
    """A queued update, its encoded size, and how often it was sent."""

    item: ttypes.Member | ttypes.Rumor
    size: int
    sent: int = 0


@define
class BroadcastQueue:
    """Membership updates and rumors to transmit; those transmitted least often come first."""

    _broadcasts_by_key: dict[tuple[str, str], _Broadcast] = field(factory=dict)

    def add_member(self, member: Member) -> None:
        """Queues a member update; it replaces an older one of the same member."""
        wire = to_wire(member)
        self._broadcasts_by_key[("", member.id)] = _Broadcast(wire, wire_size(wire))

    def add_rumor(self, rumor: ttypes.Rumor) -> None:
        """Queues a rumor; it replaces an older version."""
        self._broadcasts_by_key[(rumor.kind, rumor.key)] = _Broadcast(rumor, wire_size(rumor))

    def take(self, free_bytes: int, members: int) -> list[ttypes.Member | ttypes.Rumor]:
        """Returns the updates that fit into a datagram and counts each as sent once.

        Args:
            free_bytes: Bytes left in the datagram.
            members: Number of members, which determines how often an update is transmitted.
        """
        if not self._broadcasts_by_key:
            return []
        limit = RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1))
        picked = []
        for key, update in sorted(self._broadcasts_by_key.items(), key=lambda entry: entry[1].sent):
            if update.size > free_bytes:
                continue
            free_bytes -= update.size
            picked.append(update.item)
            update.sent += 1
            if update.sent >= limit:
                del self._broadcasts_by_key[key]
            if free_bytes < 40:
                break
        return picked

    def __len__(self) -> int:
        return len(self._broadcasts_by_key)


@define
class RumorStore:
    """The newest version of each rumor until its time to live ends."""

    _rumors_by_key: dict[tuple[str, str], tuple[ttypes.Rumor, float]] = field(factory=dict)

    def add(self, rumor: ttypes.Rumor, now: float) -> bool:
        """Stores a rumor.

        Returns:
            False if the same or a newer version is stored, or the time to live has ended.
        """
        key = (rumor.kind, rumor.key)
        stored = self._rumors_by_key.get(key)
        if rumor.ttl_ms <= 0 or (stored is not None and stored[0].version >= rumor.version):
            return False
        self._rumors_by_key.pop(key, None)
        if len(self._rumors_by_key) >= MAX_RUMORS:
            del self._rumors_by_key[
                min(self._rumors_by_key, key=lambda k: self._rumors_by_key[k][1])
            ]
        self._rumors_by_key[key] = (rumor, now + rumor.ttl_ms / 1e3)
        return True

    def expire(self, now: float) -> None:
        """Removes rumors whose time to live has ended."""
        for key in [k for k, (_, until) in self._rumors_by_key.items() if until <= now]:
            del self._rumors_by_key[key]

    def with_remaining_ttl(self, rumor: ttypes.Rumor, now: float) -> ttypes.Rumor | None:
        """Returns a rumor with its remaining time to live; None if it expired or was replaced."""
        stored = self._rumors_by_key.get((rumor.kind, rumor.key))
        if stored is None or stored[0].version != rumor.version or stored[1] <= now:
            return None
        left_ms = int((stored[1] - now) * 1e3)
        return ttypes.Rumor(rumor.kind, rumor.key, rumor.version, rumor.payload, left_ms)

    def in_force(self, limit: int, now: float) -> list[ttypes.Rumor]:
        """Returns the rumors whose time to live has not ended, those with most of it left first."""
        newest = sorted(self._rumors_by_key.values(), key=lambda stored: stored[1], reverse=True)
        current = (self.with_remaining_ttl(rumor, now) for rumor, _ in newest[:limit])
        return [rumor for rumor in current if rumor is not None]

    def next_rumor(self) -> ttypes.Rumor | None:
        """Returns one stored rumor; calls rotate through all, for members that joined later."""
        if not self._rumors_by_key:
            return None
        key = next(iter(self._rumors_by_key))
        stored = self._rumors_by_key[key] = self._rumors_by_key.pop(key)
        return stored[0]


def pick_broadcasts(
    queue: BroadcastQueue, store: RumorStore, free_bytes: int, members: int, now: float
) -> tuple[list[ttypes.Member], list[ttypes.Rumor]]:
    """Returns the member updates and rumors to send in one datagram.

    If no update is pending, the datagram carries one stored rumor.
    """
    updates: list[ttypes.Member] = []
    rumors: list[ttypes.Rumor] = []
    for item in queue.take(free_bytes, members):
        if isinstance(item, ttypes.Member):
            updates.append(item)
        elif (rumor := store.with_remaining_ttl(item, now)) is not None:
            rumors.append(rumor)
    if not updates and not rumors and (stored := store.next_rumor()) is not None:
        current = store.with_remaining_ttl(stored, now)
        rumors = [current] if current is not None else []
    return updates, rumors
