"""Synchronizes the configuration and the endpoints with the platform's store."""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import REREGISTRATION_PERIOD_S
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.logs import traceback_of
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gateway.model import EndpointEntry, StoredItem, StoredPage, StoreEvent
    from sequoiadrum.gateway.peer_feed import PeerFeed
    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.gateway.ports import DocumentDecoder, Store
    from sequoiadrum.metrics import Metrics

WATCH_WAIT_S: Final = 2.0
"""Maximum wait of a watch. With the client's slack, an unresponsive watch is detected in less than
the 3 s after which the bounds on propagation apply again."""
FULL_LIST_INTERVAL_S: Final = 10.0
"""How often a watcher reads a complete list: a watch can miss changes without any error."""
BATCH_DELAY_S: Final = 0.4
"""Pause after changes of endpoints, so that changes in quick succession cost one call of the store
together; a fifth of the shortest time in which a leaving endpoint must be known."""
STARTUP_BATCH_DELAY_S: Final = 1.0
"""Replaces `BATCH_DELAY_S` during the first `STARTUP_S`, when all endpoints may be registering
and the router does not know yet that other routers watch the store for it."""
STARTUP_S: Final = 6.0
"""How long after its start a router may not know the complete fleet."""
MIN_EXPIRY_OUTAGE_S: Final = 2.0
"""Shortest outage of the store in which entries can expire. They expire after three heartbeats of
1.2 s, the last of which may have been due already. No entry expires during a short interruption of
a watch: what is missing afterwards has left."""
INITIAL_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 0.8
"""Maximum pause between two attempts in an outage, whose end must be detected within a second."""
OUTAGE_POLL_S: Final = 0.2
"""How often a kind whose outages others probe checks whether the outage has ended."""
OUTAGE_PEER_WAIT_S: Final = 0.4
"""Maximum wait for changes from a peer between two attempts to reach the store."""
FOLLOWER_FULL_LIST_INTERVAL_S: Final = 30.0
"""How often a router that receives changes from peers reads a complete list from the store."""
PEER_WAIT_S: Final = 1.0
"""How long a peer may wait for a change before it responds. A peer that becomes partitioned
reports nothing for this long, and changes must still arrive within the bounds on propagation."""
MAX_PEER_FAILURES: Final = 2
"""Consecutive calls to peers that fail before a router reads the store itself."""
MAX_STALENESS_S: Final = 20.0
"""How old a list may be that need not be the newest; the store keeps its history this long."""
MAX_PEER_AGE_S: Final = 2 * WATCH_WAIT_S
"""A peer whose last contact with the store is older has probably lost it. What a watch shows is as
old as its begin, and becomes older until the next one ends."""


class StoreAvailability:
    """Records outages of the store; shared by all threads that call it.

    A router loses the store with its first failed call and regains it with the next response. A
    follower calls the store rarely, and the store may fail for some routers only. Peers that reach
    the store meanwhile therefore show when the outage ended, or that there was none.
    """

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._lock = threading.Lock()
        self._lost_at: float | None = None
        self._contact_at = float("-inf")
        """Last time since `_lost_at` at which the store is known to have responded to a router, or
        else `_lost_at`."""
        self._epoch: int | None = None
        self._restore_subscribers: list[Callable[[], None]] = []
        self.restored_at: float = float("-inf")
        """When the last restore was detected, in monotonic seconds."""
        self.outage_ended: float = float("-inf")
        """End of the last outage in which entries can have expired, in monotonic seconds."""

    def subscribe_restores(self, on_restore: Callable[[], None]) -> None:
        """Subscribes to restores of the store; must be called before the start.

        Args:
            on_restore: Called by the thread that detects the restore; must not block.
        """
        self._restore_subscribers.append(on_restore)

    def record_epoch(self, epoch: int) -> None:
        """Records the epoch that the store named; a higher one shows that it was restored.

        Entries that the restored copy lacks are registered again, like those that expired in an
        outage. The router may have noticed none: the store can be away for a moment only.

        Args:
            epoch: From a response of the store, to this router or to a peer.
        """
        with self._lock:
            known = self._epoch
            if known is not None and epoch <= known:
                return
            self._epoch = epoch
            if known is None:
                return
            self.restored_at = self.outage_ended = clock.now()
        self._metrics.count("store_restores_total")
        self._log.notable("store_restored", epoch=epoch, former_epoch=known)
        for on_restore in self._restore_subscribers:
            on_restore()

    def is_lost(self) -> bool:
        """Returns whether calls of this router have failed since the last response."""
        return self._lost_at is not None

    def record_response(self) -> None:
        """Records a response of the store to this router."""
        with self._lock:
            if self._lost_at is None:
                return
            now = clock.now()
            self._record_contact(now)
            outage_s = now - self._lost_at
            self._lost_at = None
        self._log.notable("store_regained", after_s=round(outage_s, 3))

    def record_peer_contact(self, seen_at: float) -> None:
        """Records that the store responded to a peer.

        Args:
            seen_at: When it responded, in monotonic seconds.
        """
        with self._lock:
            if self._lost_at is not None:
                self._record_contact(seen_at)

    def _record_contact(self, at: float) -> None:
        if at <= self._contact_at:
            return
        # Peers show a contact for each of their watches, which wait up to `WATCH_WAIT_S`.
        has_contact = self._contact_at != self._lost_at
        min_outage_s = MIN_EXPIRY_OUTAGE_S + (WATCH_WAIT_S if has_contact else 0.0)
        if at - self._contact_at >= min_outage_s:
            self.outage_ended = at
        self._contact_at = at

    def expiry_hold_until(self) -> float:
        """Returns the time from which a missing entry counts as removed, in monotonic seconds.

        Entries that expired in an outage are registered again within `REREGISTRATION_PERIOD_S`
        of its end.
        """
        return self.outage_ended + REREGISTRATION_PERIOD_S

    def record_failure(self, why: StoreFailure, kind: str) -> None:
        """Records a failed call, which starts an outage unless one is in progress.

        Args:
            why: Reason of the failure.
            kind: Kind of the objects that the call concerned.
        """
        with self._lock:
            is_new_outage = self._lost_at is None
            if is_new_outage:
                self._lost_at = self._contact_at = clock.now()
        if is_new_outage:
            self._metrics.count("store_outages_total", why=why.value)
            self._log.notable("store_lost", why=why.value, kind=kind)


class KindSync(ABC):
    """Keeps the mirror of one kind of objects up to date, from the store or from peers.

    A watcher reads a complete list, then watches for changes, and reads a list again after
    `FULL_LIST_INTERVAL_S`. A router that cannot reach the store, or is not among the watchers of a
    large fleet, requests the changes from its peers.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        mirror: Mirror,
        feed: PeerFeed,
        availability: StoreAvailability,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._store = store
        self._kind = kind
        self._mirror = mirror
        self._feed = feed
        self._availability = availability
        self._metrics = metrics
        self._log = log
        self._started_at = clock.now()
        self._have_peers_failed = False
        self._refresh_lock = threading.Lock()
        self._listed_at = float("-inf")
        self._stopped = threading.Event()
        self.thread: Final = SupervisedThread(f"sync-{kind}", self._run, metrics)

    @property
    def peer_wait_s(self) -> float:
        """How long a peer may wait for a change before it responds, in seconds."""
        return PEER_WAIT_S

    def start(self) -> None:
        """Starts the thread."""
        self._started_at = clock.now()
        self.thread.start()

    def stop(self) -> None:
        """Requests the thread to end; returns without waiting for a call in progress."""
        self._stopped.set()
        self.thread.stop()

    def has_listed(self) -> bool:
        """Returns whether the objects have been received once, from the store or a peer."""
        return self._mirror.revision(self._kind) > 0

    def refresh(self, since: float) -> bool:
        """Ensures that all changes that the store acknowledged up to a time are applied.

        Concurrent callers share one list.

        Args:
            since: Monotonic seconds.

        Returns:
            False if neither the store nor a peer could show them.
        """
        with self._refresh_lock:
            if self._listed_at >= since:
                return True
            requested_at = clock.now()
            listed = self._store.list(self._kind)
            if isinstance(listed, Failure):
                self._record_failure(listed.failure())
                return self._request_from_peer(0.0) and self._mirror.seen_at(self._kind) >= since
            self._availability.record_response()
            if not self._apply_page(listed.unwrap(), requested_at):
                return False
            self._listed_at = requested_at
            return True

    @abstractmethod
    def apply(self, updates: list[StoreEvent], source: str) -> None:
        """Applies changes that are newer than the known state.

        Args:
            updates: The changes; may be empty.
            source: `list`, `watch`, `peer` or `restart`; reported in log lines and metrics.
        """

    @property
    def leaves_probing_to_others(self) -> bool:
        """Whether the calls of the other kinds find out when the store can be reached again."""
        return False

    @property
    def follower_list_interval_s(self) -> float:
        """How often a router that receives changes from peers reads a complete list, in seconds."""
        return FOLLOWER_FULL_LIST_INTERVAL_S

    def first_watch_delay_s(self, age_s: float) -> float:
        """Returns the pause between a list and the first watch after it, in seconds.

        Args:
            age_s: Seconds since the start.
        """
        return 0.0

    def batch_delay_s(self, age_s: float) -> float:
        """Returns the pause after changes, during which further changes accumulate, in seconds.

        Args:
            age_s: Seconds since the start.
        """
        return 0.0

    def record_full_list(self, requested_at: float) -> None:  # noqa: B027 (no-op by default)
        """Records that the store has shown all changes acknowledged up to a time.

        Args:
            requested_at: When the list was requested, in monotonic seconds.
        """

    def _run(self) -> None:
        # What was known when an earlier run failed may not have been applied.
        self.apply(self._mirror.changes(self._kind), "restart")
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self._stopped.is_set():
            if not self._feed.is_watcher() and self._sync_from_peers():
                continue
            if self.leaves_probing_to_others and self._availability.is_lost():
                if not self._request_from_peer(OUTAGE_PEER_WAIT_S):
                    self._stopped.wait(OUTAGE_POLL_S)
                continue
            if self._sync_from_store():
                retry_delay_s = INITIAL_RETRY_DELAY_S
                continue
            started_at = clock.now()
            self._request_from_peer(OUTAGE_PEER_WAIT_S)
            # Random, so that instances that lost the store together do not retry together.
            pause_s = retry_delay_s * random.uniform(0.5, 1.0) - (clock.now() - started_at)
            self._stopped.wait(max(0.0, pause_s))
            retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)

    def _sync_from_store(self) -> bool:
        """Lists and watches until a call fails or a new list is due; returns False on a failure."""
        requested_at = clock.now()
        may_be_stale = self._may_list_stale()
        listed = self._store.list(self._kind, may_be_stale)
        if isinstance(listed, Failure):
            return self._record_failure(listed.failure())
        self._availability.record_response()
        page = listed.unwrap()
        if may_be_stale and page.epoch != self._mirror.position(self._kind).epoch:
            # What it shows may be older than the restore; only a list of the newest state may
            # begin an epoch.
            self._availability.record_epoch(page.epoch)
            return True
        if not self._apply_page(page, float("-inf") if may_be_stale else requested_at):
            return False
        if not may_be_stale:
            self.record_full_list(requested_at)
        revision = page.revision
        next_list_at = requested_at + FULL_LIST_INTERVAL_S * random.uniform(0.8, 1.2)
        self._stopped.wait(self.first_watch_delay_s(clock.now() - self._started_at))
        while not self._stopped.is_set() and clock.now() < next_list_at and self._feed.is_watcher():
            requested_at = clock.now()
            watched = self._store.watch(self._kind, revision, WATCH_WAIT_S)
            if isinstance(watched, Failure):
                if watched.failure() is StoreFailure.HISTORY_GONE:
                    self._log.notable("watch_history_gone", kind=self._kind, revision=revision)
                    return True
                return self._record_failure(watched.failure())
            self._availability.record_response()
            changes = watched.unwrap()
            if changes.epoch != page.epoch:
                # Its revisions do not continue those of the list. A newer epoch needs a new list at
                # once; an older one is a late answer, after which the next call waits.
                self._availability.record_epoch(changes.epoch)
                return changes.epoch > page.epoch
            revision = max(revision, changes.revision)
            updates = self._mirror.apply_events(
                self._kind,
                changes.events,
                revision,
                requested_at,
                self._availability.expiry_hold_until(),
                changes.epoch,
            )
            self.apply(updates, "watch")
            if len(updates) < len(changes.events):
                self._record_ignored(changes.events, updates)
            if updates:
                self._stopped.wait(self.batch_delay_s(clock.now() - self._started_at))
        return True

    def _record_ignored(self, events: Iterable[StoreEvent], updates: list[StoreEvent]) -> None:
        """Logs the changes that the store reported and that are no newer than the known state."""
        for event in events:
            if event not in updates:
                self._metrics.count("store_changes_ignored_total", kind=self._kind)
                self._log.notable(
                    "store_change_ignored",
                    kind=self._kind,
                    name=event.item.name,
                    epoch=event.item.epoch,
                    revision=event.item.revision,
                    is_deleted=event.is_deleted,
                )

    def _apply_page(self, page: StoredPage, seen_at: float) -> bool:
        """Applies a list; returns False if it is from an older epoch than the known state."""
        self._availability.record_epoch(page.epoch)
        if page.epoch < self._mirror.position(self._kind).epoch:
            self._metrics.count("store_answers_outdated_total", kind=self._kind)
            self._log.notable("store_answer_outdated", kind=self._kind, epoch=page.epoch)
            return False
        visible_from = self._availability.expiry_hold_until()
        updates = self._mirror.apply_list(
            self._kind, page.items, page.revision, seen_at, visible_from, page.epoch
        )
        self.apply(updates, "list")
        return True

    def _may_list_stale(self) -> bool:
        """Returns whether a list may be some seconds old, which the store serves at a tenth.

        A router that is not a watcher has the newest state from its peers, unless they fail, and
        reads lists only for what a peer may have missed. Positions protect from older objects, but
        not soon after a restore: then a list may be older than it. A router that starts cannot tell
        whether there was one.
        """
        is_restored_recently = clock.now() - self._availability.restored_at < MAX_STALENESS_S
        return (
            self.has_listed()
            and not self._feed.is_watcher()
            and not self._have_peers_failed
            and not is_restored_recently
        )

    def _sync_from_peers(self) -> bool:
        """Receives changes from peers while this router is not a watcher.

        Returns:
            False if the store must be read: a complete list is due, or the peers failed.
        """
        next_list_at = clock.now() + self.follower_list_interval_s * random.uniform(0.8, 1.2)
        failures = 0
        while not self._stopped.is_set() and not self._feed.is_watcher():
            if clock.now() >= next_list_at:
                return False
            failures = 0 if self._request_from_peer(self.peer_wait_s) else failures + 1
            self._have_peers_failed = failures >= MAX_PEER_FAILURES
            if self._have_peers_failed:
                return False
        return True

    def _request_from_peer(self, wait_s: float) -> bool:
        """Applies the changes known to one peer; returns False without a recent response."""
        known = self._mirror.position(self._kind)
        view = self._feed.watch(self._kind, known, wait_s)
        if view is None or view.epoch < known.epoch:
            return False
        seen_at = clock.now() - view.age_s
        self._availability.record_epoch(view.epoch)
        self._availability.record_peer_contact(seen_at)
        if view.is_complete:
            updates = self._mirror.apply_list(
                self._kind,
                [event.item for event in view.events],
                view.revision,
                seen_at,
                self._availability.expiry_hold_until(),
                view.epoch,
            )
        else:
            updates = self._mirror.apply_events(
                self._kind, view.events, view.revision, seen_at, epoch=view.epoch
            )
        self.apply(updates, "peer")
        return view.age_s <= MAX_PEER_AGE_S

    def _record_failure(self, why: StoreFailure) -> bool:
        self._availability.record_failure(why, self._kind)
        return False


class ConfigSync(KindSync):
    """Keeps the operator's configuration up to date."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        holder: ConfigurationHolder,
        mirror: Mirror,
        feed: PeerFeed,
        availability: StoreAvailability,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.config_kind, mirror, feed, availability, metrics, log)
        self._name = documents.config_name
        self._holder = holder

    def apply(self, updates: list[StoreEvent], source: str) -> None:
        """See `KindSync.apply`."""
        for event in updates:
            if event.item.name == self._name and not event.is_deleted:
                self._holder.accept(event.item, source)

    def record_full_list(self, requested_at: float) -> None:
        """See `KindSync.record_full_list`."""
        # An unresponsive watch also ends without events, so only a list is a confirmation.
        self._holder.record_confirmation(requested_at)


class EndpointSync(KindSync):
    """Keeps the entries of the endpoints up to date."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        pool: EndpointPool,
        connections: EndpointConnections,
        mirror: Mirror,
        feed: PeerFeed,
        availability: StoreAvailability,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.endpoint_kind, mirror, feed, availability, metrics, log)
        self._documents = documents
        self._pool = pool
        self._connections = connections

    def apply(self, updates: list[StoreEvent], source: str) -> None:
        """See `KindSync.apply`."""
        is_initial = not self._pool.has_endpoints()
        for event in updates:
            try:
                self._apply_change(event, is_initial, source)
            except Exception as error:  # One entry must not keep the others from being applied.
                self._metrics.count("entry_failures_total", kind=self._kind)
                self._log.repeated("entry_failed", name=event.item.name, detail=traceback_of(error))
        for entry in self._pool.expire():
            self._record_change(entry.instance_id, entry, entry.revision, "held_back")
        self._connections.expire(clock.now())

    def batch_delay_s(self, age_s: float) -> float:
        """See `KindSync.batch_delay_s`."""
        return STARTUP_BATCH_DELAY_S if age_s < STARTUP_S else BATCH_DELAY_S

    def _apply_change(self, event: StoreEvent, is_initial: bool, source: str) -> None:
        name = event.item.name
        if event.is_deleted:
            if self._pool.remove(name, event.item.position, self._availability.outage_ended):
                self._record_change(name, None, event.item.revision, source)
            return
        entry = self._decode(event.item)
        if entry is not None and self._pool.apply(entry, is_newly_joined=not is_initial):
            self._record_change(name, entry, entry.revision, source)

    def _decode(self, item: StoredItem) -> EndpointEntry | None:
        decoded = self._documents.decode_endpoint(item)
        if not isinstance(decoded, Failure):
            return decoded.unwrap()
        self._metrics.count("malformed_entries_total", kind="endpoint")
        self._log.repeated(
            "endpoint_entry_malformed",
            endpoint=item.name,
            revision=item.revision,
            detail=decoded.failure(),
        )
        return None

    def _record_change(
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
            cold_ms=int(entry.warm_up_s * 1e3) if entry is not None and entry.warm_up_s else None,
            revision=revision,
            source=source,
        )
