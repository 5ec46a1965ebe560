"""The configuration in force and how certain it is that it is the newest."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from attrs import frozen
from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoredItem, StoreFailure
from sequoiadrum.gateway.routing import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.model import GatewayConfig
    from sequoiadrum.gateway.ports import DocumentDecoder, Store
    from sequoiadrum.metrics import Metrics

CONFIRM_GAP_S: Final = 0.2
"""Shortest time between two failed reads on request, so that an outage costs few calls."""


class ConfirmingPeers(ABC):
    """The routers that watch the store, as one that does not watch it asks them."""

    @abstractmethod
    def is_watcher(self) -> bool:
        """Whether this router follows the store itself, so that nobody has to be asked."""

    @abstractmethod
    def confirm(self, since_revision: int, max_age_s: float) -> ConfirmedConfig | None:
        """Asks one of them what is in force; None when none can tell.

        Args:
            since_revision: The object is given only if its revision is above this one.
            max_age_s: The peer must know all changes that were acknowledged up to so long ago.
        """


@frozen
class ConfirmedConfig:
    """What a router knows to be the newest configuration."""

    item: StoredItem | None
    """None when the asking router has it already."""
    age_s: float
    """Everything that was acknowledged up to so long ago is in it."""


class ConfigurationHolder:
    """Holds the newest version seen; it never goes back; safe to use from any thread."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        announce: Callable[[int], None],
        peers: ConfirmingPeers,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Takes the function that tells the peers which version is in force here."""
        self._peers = peers
        self._store = store
        self._documents = documents
        self._announce = announce
        self._metrics = metrics
        self._log = log
        self._lock = threading.Lock()
        self._confirm_lock = threading.Lock()
        # Apart from the lock above: two routers that take each other for a watcher must not wait
        # for each other.
        self._read_lock = threading.Lock()
        self._routing: RoutingTable | None = None
        self._item: StoredItem | None = None
        self._confirmed_at = float("-inf")
        self._failed_at = float("-inf")
        metrics.gauge("config_version", lambda: float(self.version()))
        metrics.gauge("config_age_seconds", lambda: min(1e9, self.age_s()))

    def routing(self) -> RoutingTable | None:
        """Gives the version in force; None before the first one is known."""
        return self._routing

    def version(self) -> int:
        """Gives the number of the version in force; 0 before the first one."""
        routing = self._routing
        return routing.config.version if routing is not None else 0

    def age_s(self) -> float:
        """Gives the seconds since the store last showed that this is the newest version."""
        return clock.now() - self._confirmed_at

    def accept(self, item: StoredItem, source: str) -> None:
        """Puts a version in force unless a newer one is."""
        decoded = self._documents.decode_config(item)
        if isinstance(decoded, Failure):
            self._metrics.count("malformed_entries_total", kind="config")
            self._log.notable("config_malformed", revision=item.revision, detail=decoded.failure())
            return
        config = decoded.unwrap()
        if self._swap(config, item):
            self._metrics.count("config_changes_total", source=source)
            self._log.notable(
                "config_in_force",
                version=config.version,
                revision=item.revision,
                source=source,
                routes=len(config.routes),
                keys=len(config.account_by_key),
            )
            self._announce(config.version)

    def record_confirmation(self, asked_at: float) -> None:
        """Notes that the store showed everything that it had acknowledged up to a moment."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def item(self) -> StoredItem | None:
        """Gives the object of the version in force."""
        return self._item

    def confirm(self, since: float) -> bool:
        """Makes sure that all versions acknowledged up to a moment are known here.

        Asks the watchers or the store unless that is known already. Callers at the same time share
        one question.

        Args:
            since: Monotonic seconds.

        Returns:
            False when nobody can tell; a newer version may exist.
        """
        if self._confirmed_at >= since:
            return True
        with self._confirm_lock:
            if self._confirmed_at >= since:
                return True
            if clock.now() - self._failed_at < CONFIRM_GAP_S:
                return False
            if not self._peers.is_watcher() and self._confirm_by_peer(since):
                return True
            return self.confirm_at_store(since)

    def confirm_at_store(self, since: float) -> bool:
        """Does the same without asking a peer; those who ask at the same time share one read."""
        with self._read_lock:
            if self._confirmed_at >= since:
                return True
            asked_at = clock.now()
            if asked_at - self._failed_at < CONFIRM_GAP_S:
                return False
            result = self._store.get(self._documents.config_kind, self._documents.config_name)
            self._metrics.count("config_reads_on_request_total")
            if isinstance(result, Failure):
                if result.failure() is not StoreFailure.NOT_FOUND:
                    self._log.notable("config_not_confirmed", why=result.failure().value)
                self._failed_at = clock.now()
                return False
            self.accept(result.unwrap(), "read_on_request")
            self.record_confirmation(asked_at)
            return True

    def _confirm_by_peer(self, since: float) -> bool:
        asked_at = clock.now()
        known = self._item.revision if self._item is not None else 0
        found = self._peers.confirm(known, max(0.0, asked_at - since))
        self._metrics.count("config_confirmations_total", by="peer" if found else "nobody")
        if found is None:
            return False
        if found.item is not None:
            self.accept(found.item, "peer")
        # The peer's age counts from its answer, which came after the question.
        self.record_confirmation(asked_at - found.age_s)
        return self._confirmed_at >= since

    def _swap(self, config: GatewayConfig, item: StoredItem) -> bool:
        with self._lock:
            if config.version <= self.version():
                return False
            self._routing = RoutingTable(config)
            self._item = item
            return True
