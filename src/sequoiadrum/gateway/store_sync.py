"""Keeps the configuration and the endpoints in step with the platform's store."""

from __future__ import annotations

import random
import threading
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoreFailure

if TYPE_CHECKING:
    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections
    from sequoiadrum.gateway.model import EndpointEntry, StoredItem, StoredPage, WatchResult
    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.gateway.ports import Documents, Store
    from sequoiadrum.metrics import Metrics

WATCH_WAIT_S: Final = 2.0
"""With the slack of the client, a watch that fell silent is noticed in less than the 3 s after
which the bounds hold again."""
VERIFY_S: Final = 10.0
"""A whole list is read this often: a watch can pass over changes without a sign."""
FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 0.8
"""Longest pause between two tries in an outage; its end must be noticed within a second."""


class StoreLink:
    """Tells since when the store answers; shared by all that call it."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._lock = threading.Lock()
        self._lost_at: float | None = None
        self.outage_ended: float = float("-inf")
        """When the store came back last, in monotonic seconds."""

    def note_answer(self) -> None:
        """Notes that the store answered."""
        with self._lock:
            if self._lost_at is None:
                return
            now = clock.now()
            lasted_s = now - self._lost_at
            self._lost_at = None
            self.outage_ended = now
        self._log.notable("store_regained", after_s=round(lasted_s, 3))

    def note_failure(self, why: StoreFailure, kind: str) -> None:
        """Notes that a call failed."""
        with self._lock:
            is_new = self._lost_at is None
            if is_new:
                self._lost_at = clock.now()
        if is_new:
            self._metrics.count("store_outages_total", why=why.value)
            self._log.notable("store_lost", why=why.value, kind=kind)


class KindSync(ABC):
    """Follows all objects of one kind: a list, then watches, then a list again."""

    def __init__(self, store: Store, kind: str, link: StoreLink, log: EventLog) -> None:
        self._store = store
        self._kind = kind
        self._link = link
        self._log = log
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"sync-{kind}", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Asks the thread to end; it may wait in a call until then."""
        self._stopped.set()

    @abstractmethod
    def apply_page(self, page: StoredPage, asked_at: float) -> None:
        """Takes a whole list."""

    @abstractmethod
    def apply_changes(self, changes: WatchResult, asked_at: float) -> None:
        """Takes what a watch saw."""

    def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        while not self._stopped.is_set():
            if self._follow():
                retry_s = FIRST_RETRY_S
                continue
            # Instances that lost the store together must not come back together.
            self._stopped.wait(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    def _follow(self) -> bool:
        """Lists and watches until something fails or a new list is due; False on a failure."""
        asked_at = clock.now()
        listed = self._store.list(self._kind)
        if isinstance(listed, Failure):
            return self._failed(listed.failure())
        self._link.note_answer()
        page = listed.unwrap()
        self.apply_page(page, asked_at)
        revision = page.revision
        verify_at = asked_at + VERIFY_S * random.uniform(0.8, 1.2)
        while not self._stopped.is_set() and clock.now() < verify_at:
            asked_at = clock.now()
            watched = self._store.watch(self._kind, revision, WATCH_WAIT_S)
            if isinstance(watched, Failure):
                if watched.failure() is StoreFailure.HISTORY_GONE:
                    self._log.notable("watch_history_gone", kind=self._kind, revision=revision)
                    return True
                return self._failed(watched.failure())
            self._link.note_answer()
            changes = watched.unwrap()
            self.apply_changes(changes, asked_at)
            revision = max(revision, changes.revision)
        return True

    def _failed(self, why: StoreFailure) -> bool:
        self._link.note_failure(why, self._kind)
        return False


class ConfigSync(KindSync):
    """Follows the operator's configuration."""

    def __init__(
        self,
        store: Store,
        documents: Documents,
        holder: ConfigurationHolder,
        link: StoreLink,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.config_kind, link, log)
        self._name = documents.config_name
        self._holder = holder

    def apply_page(self, page: StoredPage, asked_at: float) -> None:
        """See `KindSync.apply_page`."""
        for item in page.items:
            self._accept(item, "list")
        self._holder.note_confirmed(asked_at)

    def apply_changes(self, changes: WatchResult, asked_at: float) -> None:
        """See `KindSync.apply_changes`."""
        for event in changes.events:
            if not event.is_deleted:
                self._accept(event.item, "watch")
        # A silent watch also ends without events, so it confirms nothing.

    def _accept(self, item: StoredItem, source: str) -> None:
        if item.name == self._name:
            self._holder.accept(item, source)


class EndpointSync(KindSync):
    """Follows the entries of the endpoints."""

    def __init__(
        self,
        store: Store,
        documents: Documents,
        pool: EndpointPool,
        connections: EndpointConnections,
        link: StoreLink,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.endpoint_kind, link, log)
        self._documents = documents
        self._pool = pool
        self._connections = connections
        self._metrics = metrics
        self._malformed_revisions: dict[str, int] = {}

    def apply_page(self, page: StoredPage, asked_at: float) -> None:
        """See `KindSync.apply_page`."""
        entries = [entry for item in page.items if (entry := self._decode(item)) is not None]
        names = {item.name for item in page.items}
        changed = self._pool.replace_all(entries, names, page.revision, self._link.outage_ended)
        entry_by_id = {entry.instance_id: entry for entry in entries}
        for instance_id in changed:
            self._changed(instance_id, entry_by_id.get(instance_id), page.revision, "list")
        self._pool.expire()
        self._connections.expire(clock.now())

    def apply_changes(self, changes: WatchResult, asked_at: float) -> None:
        """See `KindSync.apply_changes`."""
        for event in changes.events:
            name = event.item.name
            if event.is_deleted:
                revision = event.item.revision
                if self._pool.remove(name, revision, self._link.outage_ended):
                    self._changed(name, None, revision, "watch")
                continue
            entry = self._decode(event.item)
            if entry is not None and self._pool.apply(entry):
                self._changed(name, entry, entry.revision, "watch")
        self._pool.expire()

    def _decode(self, item: StoredItem) -> EndpointEntry | None:
        decoded = self._documents.decode_endpoint(item)
        if not isinstance(decoded, Failure):
            self._malformed_revisions.pop(item.name, None)
            return decoded.unwrap()
        # A malformed entry is listed again and again; it is logged once for each change.
        if self._malformed_revisions.get(item.name) != item.revision:
            self._malformed_revisions[item.name] = item.revision
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
