"""Receives changes of the store from peers, and selects the routers that watch the store."""

from __future__ import annotations

import json
import math
import random
import threading
import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.field_values import is_readable, name, whole_number
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.configuration import ConfirmedConfig, ConfirmingPeers
from sequoiadrum.gateway.mirror import MirrorView
from sequoiadrum.gateway.model import StoredItem, StoreEvent, StorePosition
from sequoiadrum.hashing import rank
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient

SMALL_FLEET_SIZE: Final = 20
"""Up to this many routers all watch the store; that takes a hundredth of its read rate."""
MIN_WATCHERS: Final = 6
"""Minimum watchers in a larger fleet, whose other routers are their followers; some watchers remain
when a failure domain is lost."""
ROUTERS_PER_WATCHER: Final = 20
"""Fleet size per watcher above `MIN_WATCHERS`; a watcher uses a thread for each waiting request."""
SOURCES_PER_ROUTER: Final = 3
"""Watchers that one router calls. It keeps connections to each of them, so their number is limited;
one of them may be partitioned while another one restarts."""
RESPONSE_SLACK_S: Final = 0.5
"""Time beyond the requested wait until a call times out; a response takes milliseconds."""
CONFIRM_TIMEOUT_S: Final = 0.5
"""Timeout of a request to confirm the configuration, during which the peer may read the store."""
AVOID_UNRESPONSIVE_S: Final = 5.0
"""How long a peer is avoided after a failed call; by then the membership knows its state."""
MAX_ENCODED_DOCUMENTS: Final = 64
"""Encoded documents that are cached; peers request a change at about the same time."""
COMPRESSION_LEVEL: Final = 1
"""zlib level; higher levels save little on these documents."""
MAX_DETAIL_CHARS: Final = 200
MAX_DOCUMENT_BYTES: Final = 16_000_000
"""Size of a decompressed document; far above the objects of a store."""
MAX_WAIT_S: Final = 2.5
"""Maximum wait that a peer may request."""
_ANY_AGE_MS: Final = 2**31 - 1
"""Requests the configuration that a peer has in force, however long ago it was confirmed."""


@frozen
class _Ranking:
    members: object
    """Snapshot of the members from which the ranking was computed."""
    is_watcher: bool
    sources: tuple[Member, ...]
    """Peers from which this router requests changes."""


class PeerFeed(ConfirmingPeers):
    """Requests changes of the store from peers; safe to use from any thread."""

    def __init__(
        self, gossip: GossipTask, peers: PeerClient, metrics: Metrics, log: EventLog
    ) -> None:
        self._gossip = gossip
        self._peers = peers
        self._metrics = metrics
        self._log = log
        self._rng = random.Random()
        self._ranking = self._rank()
        self._unresponsive_until_by_id: dict[str, float] = {}
        self._last_peer_by_purpose: dict[str, str] = {}

    def is_watcher(self) -> bool:
        """Returns whether this router watches the store itself."""
        return self._current_ranking().is_watcher

    def watch(self, kind: str, since: StorePosition, wait_s: float) -> MirrorView | None:
        """Requests the changes of a kind after a position from one peer.

        Args:
            kind: Kind of the objects.
            since: Position of the store up to which the changes are known already.
            wait_s: How long the peer may wait for a change.

        Returns:
            None if there is no peer, or it gives no valid response in time.
        """
        member = self._choose_peer(kind)
        if member is None:
            return None
        response = self._call(
            member,
            lambda client: client.watch_objects(
                kind, since.revision, int(wait_s * 1e3), since.epoch
            ),
            wait_s + RESPONSE_SLACK_S,
        )
        return self._decode(response, member.id) if response is not None else None

    def confirm(self, known_version: int, max_age_s: float) -> ConfirmedConfig | None:
        """See `ConfirmingPeers.confirm`."""
        member = self._choose_peer("")
        if member is None:
            return None
        return self._request_config(member, known_version, int(max_age_s * 1e3))

    def announced_version(self) -> int:
        """See `ConfirmingPeers.announced_version`."""
        return max((m.config_revision for m in self._announcers()), default=0)

    def fetch_announced(self, known_version: int) -> ConfirmedConfig | None:
        """See `ConfirmingPeers.fetch_announced`."""
        newer = [m for m in self._announcers() if m.config_revision > known_version]
        if not newer:
            return None
        member = max(newer, key=lambda m: (m.config_revision, self._rng.random()))
        return self._request_config(member, known_version, _ANY_AGE_MS)

    def _announcers(self) -> list[Member]:
        own_id = self._gossip.self_id()
        return [
            member
            for member in self._gossip.members().values()
            if member.state is MemberState.ALIVE and member.id != own_id
        ]

    def _request_config(
        self, member: Member, known_version: int, max_age_ms: int
    ) -> ConfirmedConfig | None:
        response = self._call(
            member,
            lambda client: client.confirm_configuration(known_version, max_age_ms),
            CONFIRM_TIMEOUT_S,
        )
        view = self._decode(response, member.id) if response is not None else None
        if view is None:
            return None
        return ConfirmedConfig(view.events[0].item if view.events else None, view.age_s)

    def _choose_peer(self, purpose: str) -> Member | None:
        """Returns a source to call, or None if there is none.

        Sources without a recent failure are preferred, and among those the ones that were not
        called last for the same purpose, so that a partitioned peer costs only one wait.

        Args:
            purpose: The kind that is watched, or empty to confirm the configuration.
        """
        now = clock.now()
        sources = self._current_ranking().sources
        responsive = [m for m in sources if now >= self._unresponsive_until_by_id.get(m.id, 0.0)]
        others = [m for m in responsive if m.id != self._last_peer_by_purpose.get(purpose)]
        candidates = others or responsive or list(sources)
        if not candidates:
            return None
        member = self._rng.choice(candidates)
        self._last_peer_by_purpose[purpose] = member.id
        return member

    def _call(
        self, member: Member, make: Callable[[Any], ttypes.SeenObjects], timeout_s: float
    ) -> ttypes.SeenObjects | None:
        result = self._peers.call(member.peer_address, make, timeout_s)
        if isinstance(result, Failure):
            now = clock.now()
            unresponsive = {i: at for i, at in self._unresponsive_until_by_id.items() if at > now}
            self._unresponsive_until_by_id = {**unresponsive, member.id: now + AVOID_UNRESPONSIVE_S}
            self._gossip.report_unreachable(member.id)
            return None
        return result.unwrap()

    def _decode(self, response: ttypes.SeenObjects, peer: str) -> MirrorView | None:
        decoded = decode_objects(response)
        if not isinstance(decoded, Failure):
            return decoded.unwrap()
        self._metrics.count("peer_answers_malformed_total")
        self._log.repeated("peer_answer_malformed", peer=peer, detail=decoded.failure())
        return None

    def _current_ranking(self) -> _Ranking:
        if self._ranking.members is not self._gossip.members():
            self._ranking = self._rank()
        return self._ranking

    def _rank(self) -> _Ranking:
        members = self._gossip.members()
        own_id = self._gossip.self_id()
        alive = {m.id: m for m in members.values() if m.state is MemberState.ALIVE}
        others = tuple(m for m in alive.values() if m.id != own_id)
        if len(alive) <= SMALL_FLEET_SIZE:
            return _Ranking(members, True, others)
        watchers = rank("watchers", alive)[: max(MIN_WATCHERS, len(alive) // ROUTERS_PER_WATCHER)]
        selected = rank(own_id, [name for name in watchers if name != own_id])[:SOURCES_PER_ROUTER]
        return _Ranking(members, own_id in watchers, tuple(alive[name] for name in selected))


class PeerResponder:
    """Serves peers from the mirror and the configuration; safe to use from any thread."""

    def __init__(self, mirror: Mirror, configuration: ConfigurationHolder) -> None:
        self._mirror = mirror
        self._configuration = configuration
        self._lock = threading.Lock()
        self._encoded_by_position: OrderedDict[StorePosition, bytes] = OrderedDict()

    def watch(self, kind: str, since: StorePosition, wait_s: float) -> ttypes.SeenObjects:
        """Returns the changes of a kind after a position; waits for one if there is none.

        Args:
            kind: Kind of the objects.
            since: Position of the store up to which the peer knows the changes.
            wait_s: Maximum wait, limited to `MAX_WAIT_S`.
        """
        view = self._mirror.wait(kind, since.revision, min(wait_s, MAX_WAIT_S), since.epoch)
        return ttypes.SeenObjects(
            [self._encode(event) for event in view.events],
            view.revision,
            _milliseconds(view.age_s),
            view.epoch,
            view.is_complete,
        )

    def confirm(self, known_version: int, max_age_s: float) -> ttypes.SeenObjects:
        """Returns the configuration in force if its version is above a known one, with its age.

        Args:
            known_version: Version that the peer already has.
            max_age_s: The store is read first unless the configuration was confirmed at most this
                many seconds ago.
        """
        self._configuration.confirm_at_store(clock.now() - max_age_s)
        age_s = self._configuration.age_s()
        version, item = self._configuration.stored_version()
        updates = [StoreEvent(item, is_deleted=False)] if item and version > known_version else []
        return ttypes.SeenObjects(
            [self._encode(event) for event in updates],
            item.revision if item is not None else 0,
            _milliseconds(age_s),
            item.epoch if item is not None else 0,
        )

    def _encode(self, event: StoreEvent) -> ttypes.SeenObject:
        item = event.item
        document = b"" if event.is_deleted else self._document(item)
        return ttypes.SeenObject(item.name, item.revision, document, event.is_deleted)

    def _document(self, item: StoredItem) -> bytes:
        with self._lock:
            encoded = self._encoded_by_position.get(item.position)
            if encoded is None:
                encoded = zlib.compress(json.dumps(item.document).encode(), COMPRESSION_LEVEL)
                self._encoded_by_position[item.position] = encoded
                if len(self._encoded_by_position) > MAX_ENCODED_DOCUMENTS:
                    self._encoded_by_position.popitem(last=False)
            return encoded


def decode_objects(response: ttypes.SeenObjects) -> Result[MirrorView, str]:
    """Decodes the changes that a peer sent; a failure describes what cannot be used.

    A peer sends only what it could decode itself. One object that cannot be used therefore shows a
    faulty peer, and none of its objects counts.
    """
    try:
        epoch = whole_number(response.epoch or 0)
        revision, age_ms = whole_number(response.revision), whole_number(response.age_ms)
        events = tuple(_decode_event(entry, epoch) for entry in response.objects)
    except (ValueError, TypeError, RecursionError, zlib.error) as error:
        return Failure(repr(error)[:MAX_DETAIL_CHARS])
    return Success(MirrorView(events, revision, age_ms / 1e3, epoch, bool(response.is_complete)))


def _decode_event(entry: ttypes.SeenObject, epoch: int) -> StoreEvent:
    document = None
    if not entry.is_removed:
        decoder = zlib.decompressobj()
        document = json.loads(decoder.decompress(entry.document, MAX_DOCUMENT_BYTES))
        if not (decoder.eof and is_readable(document)):
            raise ValueError("a document cannot be read")
    item = StoredItem(name(entry.name), whole_number(entry.revision), document, epoch)
    return StoreEvent(item, bool(entry.is_removed))


def _milliseconds(age_s: float) -> int:
    # Rounded up, so that a peer never considers the information more recent than it is.
    return math.ceil(min(age_s, 1e6) * 1e3)
