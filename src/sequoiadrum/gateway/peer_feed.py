"""Hears changes of the store from peers, and decides which routers watch the store themselves."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Final

from attrs import frozen
from returns.result import Failure

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.gateway.mirror import MirrorView
from sequoiadrum.gateway.model import StoredItem, StoreEvent
from sequoiadrum.hashing import rank
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Member
    from sequoiadrum.peer_client import PeerClient

SMALL_FLEET: Final = 20
"""Routers up to which all watch the store: their watches are a hundredth of its read rate."""
WATCHERS: Final = 6
"""Routers of a larger fleet that watch the store; some are left when a failure domain is lost."""
ANSWER_SLACK_S: Final = 0.7
"""Time beyond the wait after which a peer is taken as silent."""
MAX_WAIT_S: Final = 2.5
"""Longest wait that a peer may ask for."""


@frozen
class _Ranking:
    members: object
    """The snapshot of the members that the ranking belongs to."""
    is_watcher: bool
    sources: tuple[Member, ...]
    """Peers to ask."""


class PeerFeed:
    """Asks peers for changes; safe to use from any thread."""

    def __init__(self, gossip: GossipTask, peers: PeerClient, log: EventLog) -> None:
        self._gossip = gossip
        self._peers = peers
        self._log = log
        self._rng = random.Random()
        self._ranking = self._rank()

    def is_watcher(self) -> bool:
        """Whether this router follows the store itself."""
        return self._current().is_watcher

    def watch(self, kind: str, since: int, wait_s: float) -> MirrorView | None:
        """Waits for changes that a peer hears of; None when it does not answer."""
        sources = self._current().sources
        if not sources:
            return None
        member = self._rng.choice(sources)
        answer = self._peers.call(
            member.peer_address,
            lambda client: client.watch_objects(kind, since, int(wait_s * 1e3)),
            wait_s + ANSWER_SLACK_S,
        )
        if isinstance(answer, Failure):
            self._gossip.report_unreachable(member.id)
            return None
        return self._decode(answer.unwrap(), member.id)

    def _decode(self, seen: ttypes.SeenObjects, peer: str) -> MirrorView | None:
        try:
            events = tuple(
                StoreEvent(
                    StoredItem(
                        entry.name,
                        entry.revision,
                        None if entry.is_removed else json.loads(entry.document),
                    ),
                    bool(entry.is_removed),
                )
                for entry in seen.objects
            )
        except (ValueError, TypeError) as error:
            self._log.notable("peer_answer_malformed", peer=peer, detail=repr(error)[:200])
            return None
        return MirrorView(events, seen.revision, seen.age_ms / 1e3)

    def _current(self) -> _Ranking:
        if self._ranking.members is not self._gossip.members():
            self._ranking = self._rank()
        return self._ranking

    def _rank(self) -> _Ranking:
        members = self._gossip.members()
        own_id = self._gossip.self_id()
        alive = {m.id: m for m in members.values() if m.state is MemberState.ALIVE}
        others = tuple(m for m in alive.values() if m.id != own_id)
        if len(alive) <= SMALL_FLEET:
            return _Ranking(members, True, others)
        watchers = rank("watchers", alive)[:WATCHERS]
        sources = tuple(alive[name] for name in watchers if name != own_id)
        return _Ranking(members, own_id in watchers, sources)


def answer_watch(mirror: Mirror, kind: str, since: int, wait_s: float) -> ttypes.SeenObjects:
    """Answers a peer with what this router has seen."""
    view = mirror.wait(kind, since, min(wait_s, MAX_WAIT_S))
    return ttypes.SeenObjects(
        [
            ttypes.SeenObject(
                event.item.name,
                event.item.revision,
                b"" if event.is_deleted else json.dumps(event.item.document).encode(),
                event.is_deleted,
            )
            for event in view.events
        ],
        view.revision,
        int(min(view.age_s, 1e6) * 1e3),
    )
