"""Keeps the configuration and the endpoints in step with the platform's store."""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import OUTAGE_RETURN_S
from sequoiadrum.gateway.model import StoreFailure

if TYPE_CHECKING:
    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gateway.model import EndpointEntry, StoredItem, StoreEvent
    from sequoiadrum.gateway.peer_feed import PeerFeed
    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.gateway.ports import DocumentDecoder, Store
    from sequoiadrum.metrics import Metrics

WATCH_WAIT_S: Final = 2.0
"""With the slack of the client, a watch that fell silent is noticed in less than the 3 s after
which the bounds hold again."""
VERIFY_S: Final = 10.0
"""A whole list is read this often: a watch can pass over changes without a sign."""
GATHER_S: Final = 0.4
"""Pause after changes of endpoints, so that those that come one after another cost one call of the
store together; a fifth of the shortest time in which a leaving endpoint must be known."""
START_GATHER_S: Final = 1.0
"""The same just after the start, when all endpoints may be registering and the router does not know
yet that others watch for it."""
STARTING_S: Final = 6.0
"""For so long after its start a router may not know the whole fleet."""
SHORTEST_LAPSE_S: Final = 2.0
"""Entries lapse after three heartbeats of 1.2 s, the last of which may have been due. A watch that
is cut for a moment makes no entry lapse: what is missing after it has left."""
FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 0.8
"""Longest pause between two tries in an outage; its end must be noticed within a second."""
OUTAGE_PEER_WAIT_S: Final = 0.4
"""How long a router that lost the store waits for a peer's news between two tries."""
FOLLOWER_VERIFY_S: Final = 30.0
"""A router that hears changes from peers reads a whole list of its own this often."""
PEER_WAIT_S: Final = 1.0
"""How long a peer may hold a question until something changes. One that has just been cut off tells
nothing for so long, and news must arrive within the bounds all the same."""
PEER_TRIES: Final = 2
"""Peers that are asked before a router turns to the store itself."""
PEER_AGE_S: Final = 4.0
"""A peer that has not heard of the store for longer has probably lost it."""


class StoreAvailability:
    """Tells since when the store answers; shared by all that call it."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._lock = threading.Lock()
        self._lost_at: float | None = None
        self.outage_ended: float = float("-inf")
        """When the store came back last from an outage in which entries can have lapsed."""

    def record_response(self) -> None:
        """Notes that the store answered."""
        with self._lock:
            if self._lost_at is None:
                return
            now = clock.now()
            lasted_s = now - self._lost_at
            self._lost_at = None
            if lasted_s >= SHORTEST_LAPSE_S:
                self.outage_ended = now
        self._log.notable("store_regained", after_s=round(lasted_s, 3))

    def expiry_hold_until(self) -> float:
        """Gives the time from which a missing entry is gone, see `OUTAGE_RETURN_S`."""
        return self.outage_ended + OUTAGE_RETURN_S

    def record_failure(self, why: StoreFailure, kind: str) -> None:
        """Notes that a call failed."""
        with self._lock:
            is_new = self._lost_at is None
            if is_new:
                self._lost_at = clock.now()
        if is_new:
            self._metrics.count("store_outages_total", why=why.value)
            self._log.notable("store_lost", why=why.value, kind=kind)


class KindSync(ABC):
    """Follows all objects of one kind: through the store, or through peers that do.

    Through the store: a list, then watches, then a list again. A router that has lost the store,
    or is not among the watchers of a large fleet, asks its peers for what they have seen.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        mirror: Mirror,
        feed: PeerFeed,
        link: StoreAvailability,
        log: EventLog,
    ) -> None:
        self._store = store
        self._kind = kind
        self._mirror = mirror
        self._feed = feed
        self._link = link
        self._log = log
        self._started_at = clock.now()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"sync-{kind}", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._started_at = clock.now()
        self._thread.start()

    def stop(self) -> None:
        """Asks the thread to end; it may wait in a call until then."""
        self._stopped.set()

    @abstractmethod
    def apply(self, news: list[StoreEvent], source: str) -> None:
        """Takes changes that are newer than all that were known."""

    def gather_s(self, age_s: float) -> float:
        """Gives the pause after changes in which further ones are gathered.

        Args:
            age_s: Time since the start.
        """
        return 0.0

    def record_full_list(self, asked_at: float) -> None:  # noqa: B027 (nothing to do by default)
        """Notes that the store has shown everything acknowledged up to a moment."""

    def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        while not self._stopped.is_set():
            if not self._feed.is_watcher() and self._follow_peers():
                continue
            if self._follow_store():
                retry_s = FIRST_RETRY_S
                continue
            started = clock.now()
            self._ask_peer(OUTAGE_PEER_WAIT_S)
            # Instances that lost the store together must not come back together.
            pause_s = retry_s * random.uniform(0.5, 1.0) - (clock.now() - started)
            self._stopped.wait(max(0.0, pause_s))
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    def _follow_store(self) -> bool:
        """Lists and watches until something fails or a new list is due; False on a failure."""
        asked_at = clock.now()
        listed = self._store.list(self._kind)
        if isinstance(listed, Failure):
            return self._failed(listed.failure())
        self._link.record_response()
        page = listed.unwrap()
        shown_from = self._link.expiry_hold_until()
        news = self._mirror.apply_list(self._kind, page.items, page.revision, asked_at, shown_from)
        self.apply(news, "list")
        self.record_full_list(asked_at)
        revision = page.revision
        verify_at = asked_at + VERIFY_S * random.uniform(0.8, 1.2)
        while not self._stopped.is_set() and clock.now() < verify_at and self._feed.is_watcher():
            asked_at = clock.now()
            watched = self._store.watch(self._kind, revision, WATCH_WAIT_S)
            if isinstance(watched, Failure):
                if watched.failure() is StoreFailure.HISTORY_GONE:
                    self._log.notable("watch_history_gone", kind=self._kind, revision=revision)
                    return True
                return self._failed(watched.failure())
            self._link.record_response()
            changes = watched.unwrap()
            revision = max(revision, changes.revision)
            news = self._mirror.apply_events(
                self._kind, changes.events, revision, asked_at, self._link.expiry_hold_until()
            )
            self.apply(news, "watch")
            if news:
                self._stopped.wait(self.gather_s(clock.now() - self._started_at))
        return True

    def _follow_peers(self) -> bool:
        """Hears changes from peers until they fail or a list is due; False on a failure."""
        verify_at = clock.now() + FOLLOWER_VERIFY_S * random.uniform(0.8, 1.2)
        failures = 0
        while not self._stopped.is_set() and not self._feed.is_watcher():
            if clock.now() >= verify_at:
                return False
            failures = 0 if self._ask_peer(PEER_WAIT_S) else failures + 1
            if failures >= PEER_TRIES:
                return False
        return True

    def _ask_peer(self, wait_s: float) -> bool:
        """Takes what one peer has seen; False when it cannot tell anything that is recent."""
        answer = self._feed.watch(self._kind, self._mirror.revision(self._kind), wait_s)
        if answer is None:
            return False
        seen_at = clock.now() - answer.age_s
        news = self._mirror.apply_events(self._kind, answer.events, answer.revision, seen_at)
        self.apply(news, "peer")
        return answer.age_s <= PEER_AGE_S

    def _failed(self, why: StoreFailure) -> bool:
        self._link.record_failure(why, self._kind)
        return False


class ConfigSync(KindSync):
    """Follows the operator's configuration."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        holder: ConfigurationHolder,
        mirror: Mirror,
        feed: PeerFeed,
        link: StoreAvailability,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.config_kind, mirror, feed, link, log)
        self._name = documents.config_name
        self._holder = holder

    def apply(self, news: list[StoreEvent], source: str) -> None:
        """See `KindSync.apply`."""
        for event in news:
            if event.item.name == self._name and not event.is_deleted:
                self._holder.accept(event.item, source)

    def record_full_list(self, asked_at: float) -> None:
        """See `KindSync.record_full_list`."""
        # A watch that fell silent also ends without events, so only lists confirm.
        self._holder.record_confirmation(asked_at)


class EndpointSync(KindSync):
    """Follows the entries of the endpoints."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        pool: EndpointPool,
        connections: EndpointConnections,
        mirror: Mirror,
        feed: PeerFeed,
        link: StoreAvailability,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.endpoint_kind, mirror, feed, link, log)
        self._documents = documents
        self._pool = pool
        self._connections = connections
        self._metrics = metrics

    def apply(self, news: list[StoreEvent], source: str) -> None:
        """See `KindSync.apply`."""
        is_first = not self._pool.has_endpoints()
        for event in news:
            name = event.item.name
            if event.is_deleted:
                if self._pool.remove(name, event.item.revision, self._link.outage_ended):
                    self._changed(name, None, event.item.revision, source)
                continue
            entry = self._decode(event.item)
            if entry is not None and self._pool.apply(entry, is_newly_joined=not is_first):
                self._changed(name, entry, entry.revision, source)
        self._pool.expire()
        self._connections.expire(clock.now())

    def gather_s(self, age_s: float) -> float:
        """See `KindSync.gather_s`."""
        return START_GATHER_S if age_s < STARTING_S else GATHER_S

    def _decode(self, item: StoredItem) -> EndpointEntry | None:
        decoded = self._documents.decode_endpoint(item)
        if not isinstance(decoded, Failure):
            return decoded.unwrap()
        self._metrics.count("malformed_entries_total", kind="endpoint")
        self._log.notable(
            "endpoint_entry_malformed",
            endpoint=item.name,
            revision=item.revision,
            detail=decoded.failure(),
        )
        return None

    def _changed(
        self, instance_id: str, entry: EndpointEntry | None, revision: int, source: str
    ) -> None:
        state = entry.state.value if entry is not None else "removed"
        if entry is None:
            self._connections.forget(instance_id)
        self._metrics.count("endpoint_changes_total", state=state)
        self._log.notable(
            "endpoint_changed",
            endpoint=instance_id,
            state=state,
            service=entry.service if entry is not None else None,
            address=f"{entry.address.host}:{entry.address.port}" if entry is not None else None,
            revision=revision,
            source=source,
        )
