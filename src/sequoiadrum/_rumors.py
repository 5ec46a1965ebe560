"""Rumours and the queue of news that datagrams carry along."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import define, field

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gossip_wire import to_wire, wire_size

if TYPE_CHECKING:
    from sequoiadrum.messages import Member

RETRANSMIT_FACTOR: Final = 4
"""Times log10(n + 1): how often one router passes an item of news on (as in memberlist)."""
MAX_RUMORS: Final = 2_000
"""Rumours kept at most; the ones that expire first are dropped."""


@define
class _News:
    item: ttypes.Member | ttypes.Rumor
    size: int
    sent: int = 0


@define
class BroadcastQueue:
    """Membership updates and rumours still to be passed on, the least often sent first."""

    _news_by_key: dict[tuple[str, str], _News] = field(factory=dict)

    def add_member(self, member: Member) -> None:
        """Queues a member update; it replaces an older one of the same member."""
        wire = to_wire(member)
        self._news_by_key[("", member.id)] = _News(wire, wire_size(wire))

    def add_rumor(self, rumor: ttypes.Rumor) -> None:
        """Queues a rumour; it replaces an older version."""
        self._news_by_key[(rumor.kind, rumor.key)] = _News(rumor, wire_size(rumor))

    def take(self, room: int, members: int) -> list[ttypes.Member | ttypes.Rumor]:
        """Picks what fits into `room` bytes and counts it as sent once.

        Args:
            room: Bytes left in the datagram.
            members: Size of the fleet; it sets how often an item is passed on.
        """
        if not self._news_by_key:
            return []
        limit = RETRANSMIT_FACTOR * math.ceil(math.log10(members + 1))
        picked = []
        for key, news in sorted(self._news_by_key.items(), key=lambda entry: entry[1].sent):
            if news.size > room:
                continue
            room -= news.size
            picked.append(news.item)
            news.sent += 1
            if news.sent >= limit:
                del self._news_by_key[key]
            if room < 40:
                break
        return picked

    def __len__(self) -> int:
        return len(self._news_by_key)


@define
class RumorStore:
    """The newest version of each rumour until its time to live ends."""

    _held_by_key: dict[tuple[str, str], tuple[ttypes.Rumor, float]] = field(factory=dict)

    def add(self, rumor: ttypes.Rumor, now: float) -> bool:
        """Keeps a rumour; False when the same or a newer version is known."""
        key = (rumor.kind, rumor.key)
        held = self._held_by_key.get(key)
        if rumor.ttl_ms <= 0 or (held is not None and held[0].version >= rumor.version):
            return False
        self._held_by_key.pop(key, None)
        if len(self._held_by_key) >= MAX_RUMORS:
            del self._held_by_key[min(self._held_by_key, key=lambda k: self._held_by_key[k][1])]
        self._held_by_key[key] = (rumor, now + rumor.ttl_ms / 1e3)
        return True

    def expire(self, now: float) -> None:
        """Forgets rumours whose time to live has ended."""
        for key in [k for k, (_, until) in self._held_by_key.items() if until <= now]:
            del self._held_by_key[key]

    def fresh(self, rumor: ttypes.Rumor, now: float) -> ttypes.Rumor | None:
        """Gives a rumour with its remaining time to live; None when it is gone or replaced."""
        held = self._held_by_key.get((rumor.kind, rumor.key))
        if held is None or held[0].version != rumor.version or held[1] <= now:
            return None
        left_ms = int((held[1] - now) * 1e3)
        return ttypes.Rumor(rumor.kind, rumor.key, rumor.version, rumor.payload, left_ms)

    def next_in_turn(self) -> ttypes.Rumor | None:
        """Gives one held rumour, in rotation, so that members who joined later hear it."""
        if not self._held_by_key:
            return None
        key = next(iter(self._held_by_key))
        held = self._held_by_key[key] = self._held_by_key.pop(key)
        return held[0]


def pick_broadcasts(
    queue: BroadcastQueue, store: RumorStore, room: int, members: int, now: float
) -> tuple[list[ttypes.Member], list[ttypes.Rumor]]:
    """Picks the news of one datagram; an idle datagram carries one stored rumour."""
    updates: list[ttypes.Member] = []
    rumors: list[ttypes.Rumor] = []
    for item in queue.take(room, members):
        if isinstance(item, ttypes.Member):
            updates.append(item)
        elif (rumor := store.fresh(item, now)) is not None:
            rumors.append(rumor)
    if not updates and not rumors and (held := store.next_in_turn()) is not None:
        fresh = store.fresh(held, now)
        rumors = [fresh] if fresh is not None else []
    return updates, rumors
