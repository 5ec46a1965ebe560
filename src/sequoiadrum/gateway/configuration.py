"""The configuration in force, and how recently it was confirmed to be the newest version."""

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
    from sequoiadrum.gateway.model import CallerLimits, GatewayConfig
    from sequoiadrum.gateway.ports import DocumentDecoder, Store
    from sequoiadrum.metrics import Metrics

CONFIRM_RETRY_INTERVAL_S: Final = 0.2
"""Minimum time between a failed read on request and the next one, so that an outage of the store
costs few calls."""


class ConfirmingPeers(ABC):
    """Interface for confirming the configuration with routers that watch the store."""

    @abstractmethod
    def is_watcher(self) -> bool:
        """Returns whether this router watches the store itself and needs no peer to confirm."""

    @abstractmethod
    def announced_version(self) -> int:
        """Returns the highest version that other routers announced, or 0 if there is none."""

    @abstractmethod
    def fetch_announced(self, known_version: int) -> ConfirmedConfig | None:
        """Requests the configuration in force from a router that announced the highest version.

        Args:
            known_version: The object is returned only if its version is above this one.

        Returns:
            None if no router announced a higher version, or it gives no valid response.
        """

    @abstractmethod
    def confirm(self, known_version: int, max_age_s: float) -> ConfirmedConfig | None:
        """Requests the configuration in force from one watcher.

        Args:
            known_version: The object is returned only if its version is above this one.
            max_age_s: The peer should know all changes that the store acknowledged up to this many
                seconds ago, and reads the store if it does not.

        Returns:
            None if no peer gives a valid response.
        """


@frozen
class ConfirmedConfig:
    """The newest configuration known to a peer."""

    item: StoredItem | None
    """None if the requesting router already has this version."""
    age_s: float
    """The peer knows all changes that the store acknowledged up to this many seconds ago."""


class ConfigurationHolder:
    """Holds the newest version received.

    The version never decreases. Safe to use from any thread.
    """

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        announce: Callable[[int], None],
        peers: ConfirmingPeers,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Creates a holder without a version.

        Args:
            store: Read when no peer can confirm the configuration.
            documents: Decodes the stored configuration.
            announce: Called with each version that comes into force, to inform the peers.
            peers: Watchers of the store.
            metrics: Receives the counters and gauges of the configuration.
            log: Receives changes and failures.
        """
        self._peers = peers
        self._store = store
        self._documents = documents
        self._announce = announce
        self._metrics = metrics
        self._log = log
        self._lock = threading.Lock()
        self._confirm_lock = threading.Lock()
        # Separate from `_confirm_lock`, which is held during a call to a peer: two routers that
        # each consider the other one a watcher would otherwise wait for each other.
        self._read_lock = threading.Lock()
        self._routing: RoutingTable | None = None
        self._item: StoredItem | None = None
        self._confirmed_at = float("-inf")
        self._failed_at = float("-inf")
        self._fetch_failed_at = float("-inf")
        metrics.gauge("config_version", lambda: float(self.version()))
        metrics.gauge("config_age_seconds", lambda: min(1e9, self.age_s()))

    def routing(self) -> RoutingTable | None:
        """Returns the routing table of the version in force, or None before the first version."""
        return self._routing

    def version(self) -> int:
        """Returns the number of the version in force, or 0 before the first version."""
        routing = self._routing
        return routing.config.version if routing is not None else 0

    def caller_limits(self) -> CallerLimits | None:
        """Returns the limits on requests of the version in force, or None before the first one."""
        routing = self._routing
        return routing.config.limits if routing is not None else None

    def age_s(self) -> float:
        """Returns the seconds since the version in force was last confirmed to be the newest."""
        return clock.now() - self._confirmed_at

    def accept(self, item: StoredItem, source: str) -> None:
        """Puts a version in force unless the same or a newer one is in force.

        A restored store may lack a version that was not acknowledged; another document that was
        written under the same version since then replaces it.

        A document that cannot be decoded is logged, counted and ignored.

        Args:
            item: The stored object.
            source: How the object was received; a label of the metric and the log line.
        """
        decoded = self._documents.decode_config(item)
        if isinstance(decoded, Failure):
            self._metrics.count("malformed_entries_total", kind="config")
            self._log.repeated("config_malformed", revision=item.revision, detail=decoded.failure())
            return
        config = decoded.unwrap()
        if self._swap(config, item):
            self._metrics.count("config_changes_total", source=source)
            self._log.notable(
                "config_in_force",
                version=config.version,
                revision=item.revision,
                epoch=item.epoch,
                source=source,
                routes=len(config.routes),
                keys=len(config.account_by_key),
            )
            self._announce(config.version)

    def record_confirmation(self, confirmed_at: float) -> None:
        """Records that all changes acknowledged by the store up to a time are known.

        Args:
            confirmed_at: Monotonic seconds.
        """
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def stored_version(self) -> tuple[int, StoredItem | None]:
        """Returns the version in force with its stored object; 0 and None before the first one."""
        with self._lock:
            return self.version(), self._item

    def is_confirmed(self, since: float) -> bool:
        """Returns whether `confirm` needs no call; `since` is in monotonic seconds."""
        return self._confirmed_at >= since and self._has_announced_version()

    def confirm(self, since: float) -> bool:
        """Ensures that all versions acknowledged up to a time are known to this router.

        Calls a watcher or the store unless a confirmation at or after that time is recorded
        already. Concurrent callers share one call. A store that was restored from a copy may lack
        a version that other routers have in force, which is requested from them.

        Args:
            since: Monotonic seconds.

        Returns:
            False if neither a peer nor the store confirmed it, or if a read failed less than
            `CONFIRM_RETRY_INTERVAL_S` ago; a newer version may exist.
        """
        if self.is_confirmed(since):
            return True
        with self._confirm_lock:
            if self._confirmed_at < since:
                if clock.now() - self._failed_at < CONFIRM_RETRY_INTERVAL_S:
                    return False
                is_follower = not self._peers.is_watcher()
                if not (is_follower and self._confirm_by_peer(since)) and not self.confirm_at_store(
                    since
                ):
                    return False
            return self._has_announced_version() or self._fetch_announced()

    def confirm_at_store(self, since: float) -> bool:
        """Ensures the same as `confirm` but never calls a peer.

        Concurrent callers share one read of the store.
        """
        with self._read_lock:
            if self._confirmed_at >= since:
                return True
            requested_at = clock.now()
            if requested_at - self._failed_at < CONFIRM_RETRY_INTERVAL_S:
                return False
            result = self._store.get(self._documents.config_kind, self._documents.config_name)
            self._metrics.count("config_reads_on_request_total")
            if isinstance(result, Failure):
                if result.failure() is not StoreFailure.NOT_FOUND:
                    self._log.notable("config_not_confirmed", why=result.failure().value)
                self._failed_at = clock.now()
                return False
            self.accept(result.unwrap(), "read_on_request")
            self.record_confirmation(requested_at)
            return True

    def _has_announced_version(self) -> bool:
        return self._peers.announced_version() <= self.version()

    def _fetch_announced(self) -> bool:
        if clock.now() - self._fetch_failed_at < CONFIRM_RETRY_INTERVAL_S:
            return False
        fetched = self._peers.fetch_announced(self.version())
        if fetched is not None and fetched.item is not None:
            self.accept(fetched.item, "announced_by_peer")
        if self._has_announced_version():
            return True
        self._fetch_failed_at = clock.now()
        self._metrics.count("announced_configs_not_received_total")
        self._log.notable(
            "announced_config_not_received",
            version=self._peers.announced_version(),
            own_version=self.version(),
        )
        return False

    def _confirm_by_peer(self, since: float) -> bool:
        requested_at = clock.now()
        confirmed = self._peers.confirm(self.version(), max(0.0, requested_at - since))
        self._metrics.count("config_confirmations_total", by="peer" if confirmed else "nobody")
        if confirmed is None:
            return False
        if confirmed.item is not None:
            self.accept(confirmed.item, "peer")
        # The peer measured the age when it responded, which was after `requested_at`; the
        # recorded time is therefore never too late.
        self.record_confirmation(requested_at - confirmed.age_s)
        return self._confirmed_at >= since

    def _swap(self, config: GatewayConfig, item: StoredItem) -> bool:
        with self._lock:
            if config.version <= self.version() and not self._is_replaced(config, item):
                return False
            self._routing = RoutingTable(config)
            self._item = item
            return True

    def _is_replaced(self, config: GatewayConfig, item: StoredItem) -> bool:
        """Returns whether a restored store has other content under the version in force."""
        known = self._item
        return (
            known is not None
            and config.version == self.version()
            and item.epoch > known.epoch
            and item.document != known.document
        )
