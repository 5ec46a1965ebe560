"""Hears changes of the store from peers, and decides which routers watch the store themselves."""

from __future__ import annotations

import json
import math
import random
import threading
import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.configuration import ConfirmedConfig, ConfirmingPeers
from sequoiadrum.gateway.mirror import MirrorView
from sequoiadrum.gateway.model import StoredItem, StoreEvent
from sequoiadrum.hashing import rank
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Member
    from sequoiadrum.peer_client import PeerClient

SMALL_FLEET: Final = 20
"""Routers up to which all watch the store: their watches are a hundredth of its read rate."""
WATCHERS: Final = 6
"""Routers of a larger fleet that watch the store; some are left when a failure domain is lost."""
ROUTERS_PER_WATCHER: Final = 20
"""A large fleet has more watchers: each of them serves so many routers, in threads of its own."""
SOURCES: Final = 3
"""Watchers that one router asks. It keeps connections to each of them, so they are not all asked;
one of them may be cut off and another one restarting."""
ANSWER_SLACK_S: Final = 0.5
"""Time beyond the wait after which a peer is taken as silent; an answer takes milliseconds."""
CONFIRM_TIMEOUT_S: Final = 0.5
"""Time for a peer's answer about the configuration, for which it may read the store."""
AVOID_S: Final = 5.0
"""A peer that did not answer is not asked again for so long; by then its state is known."""
MAX_ENCODED: Final = 64
"""Documents whose wire form is kept; peers ask for a change at about the same time."""
COMPRESSION_LEVEL: Final = 1
"""Of zlib; the higher ones save little on these documents."""
MAX_WAIT_S: Final = 2.5
"""Longest wait that a peer may ask for."""


@frozen
class _Ranking:
    members: object
    """The snapshot of the members that the ranking belongs to."""
    is_watcher: bool
    sources: tuple[Member, ...]
    """Peers to ask."""


class PeerFeed(ConfirmingPeers):
    """Asks peers for changes; safe to use from any thread."""

    def __init__(self, gossip: GossipTask, peers: PeerClient, log: EventLog) -> None:
        self._gossip = gossip
        self._peers = peers
        self._log = log
        self._rng = random.Random()
        self._ranking = self._rank()
        self._silent_until_by_id: dict[str, float] = {}
        self._last_by_kind: dict[str, str] = {}

    def is_watcher(self) -> bool:
        """Whether this router follows the store itself."""
        return self._current().is_watcher

    def watch(self, kind: str, since: int, wait_s: float) -> MirrorView | None:
        """Waits for changes that a peer hears of; None when it does not answer."""
        member = self._choose(kind)
        if member is None:
            return None
        seen = self._call(
            member,
            lambda client: client.watch_objects(kind, since, int(wait_s * 1e3)),
            wait_s + ANSWER_SLACK_S,
        )
        return self._decode(seen, member.id) if seen is not None else None

    def confirm(self, since_revision: int, max_age_s: float) -> ConfirmedConfig | None:
        """See `ConfirmingPeers.confirm`."""
        member = self._choose("")
        if member is None:
            return None
        seen = self._call(
            member,
            lambda client: client.confirm_configuration(since_revision, int(max_age_s * 1e3)),
            CONFIRM_TIMEOUT_S,
        )
        view = self._decode(seen, member.id) if seen is not None else None
        if view is None:
            return None
        return ConfirmedConfig(view.events[0].item if view.events else None, view.age_s)

    def _choose(self, purpose: str) -> Member | None:
        """Gives another peer than last time, so that one that is cut off costs one wait only."""
        now = clock.now()
        sources = self._current().sources
        answering = [m for m in sources if now >= self._silent_until_by_id.get(m.id, 0.0)]
        others = [m for m in answering if m.id != self._last_by_kind.get(purpose)]
        candidates = others or answering or list(sources)
        if not candidates:
            return None
        member = self._rng.choice(candidates)
        self._last_by_kind[purpose] = member.id
        return member

    def _call(
        self, member: Member, make: Callable[[Any], ttypes.SeenObjects], timeout_s: float
    ) -> ttypes.SeenObjects | None:
        answer = self._peers.call(member.peer_address, make, timeout_s)
        if isinstance(answer, Failure):
            now = clock.now()
            silent = {i: at for i, at in self._silent_until_by_id.items() if at > now}
            self._silent_until_by_id = {**silent, member.id: now + AVOID_S}
            self._gossip.report_unreachable(member.id)
            return None
        return answer.unwrap()

    def _decode(self, seen: ttypes.SeenObjects, peer: str) -> MirrorView | None:
        try:
            events = tuple(
                StoreEvent(
                    StoredItem(
                        entry.name,
                        entry.revision,
                        None if entry.is_removed else json.loads(zlib.decompress(entry.document)),
                    ),
                    bool(entry.is_removed),
                )
                for entry in seen.objects
            )
        except (ValueError, TypeError, zlib.error) as error:
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
        watchers = rank("watchers", alive)[: max(WATCHERS, len(alive) // ROUTERS_PER_WATCHER)]
        asked = rank(own_id, [name for name in watchers if name != own_id])[:SOURCES]
        return _Ranking(members, own_id in watchers, tuple(alive[name] for name in asked))


class PeerResponder:
    """Answers peers with what this router has seen; safe to use from any thread."""

    def __init__(self, mirror: Mirror, configuration: ConfigurationHolder) -> None:
        self._mirror = mirror
        self._configuration = configuration
        self._lock = threading.Lock()
        self._encoded_by_revision: OrderedDict[int, bytes] = OrderedDict()

    def watch(self, kind: str, since: int, wait_s: float) -> ttypes.SeenObjects:
        """Gives the changes of a kind after a revision; waits for one at most so long."""
        view = self._mirror.wait(kind, since, min(wait_s, MAX_WAIT_S))
        return ttypes.SeenObjects(
            [self._encode(event) for event in view.events], view.revision, _milliseconds(view.age_s)
        )

    def confirm(self, since_revision: int, max_age_s: float) -> ttypes.SeenObjects:
        """Gives the configuration in force if it is above a revision, and how certain it is."""
        self._configuration.confirm_at_store(clock.now() - max_age_s)
        age_s = self._configuration.age_s()
        item = self._configuration.item()
        revision = item.revision if item is not None else 0
        news = [StoreEvent(item, is_deleted=False)] if item and revision > since_revision else []
        return ttypes.SeenObjects(
            [self._encode(event) for event in news], revision, _milliseconds(age_s)
        )

    def _encode(self, event: StoreEvent) -> ttypes.SeenObject:
        item = event.item
        document = b"" if event.is_deleted else self._document(item)
        return ttypes.SeenObject(item.name, item.revision, document, event.is_deleted)

    def _document(self, item: StoredItem) -> bytes:
        with self._lock:
            known = self._encoded_by_revision.get(item.revision)
            if known is None:
                known = zlib.compress(json.dumps(item.document).encode(), COMPRESSION_LEVEL)
                self._encoded_by_revision[item.revision] = known
                if len(self._encoded_by_revision) > MAX_ENCODED:
                    self._encoded_by_revision.popitem(last=False)
            return known


def _milliseconds(age_s: float) -> int:
    # Rounded up: a peer must not take a fact for younger than it is.
    return math.ceil(min(age_s, 1e6) * 1e3)
