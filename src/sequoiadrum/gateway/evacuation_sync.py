"""Synchronizes the evacuations of failure domains with the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.store_sync import STARTUP_S, KindSync

if TYPE_CHECKING:
    from sequoiadrum.gateway.evacuations import EvacuationChange, Evacuations
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.mirror import Mirror
    from sequoiadrum.gateway.model import StoreEvent
    from sequoiadrum.gateway.peer_feed import PeerFeed
    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.gateway.ports import DocumentDecoder, Store
    from sequoiadrum.gateway.store_sync import StoreAvailability
    from sequoiadrum.metrics import Metrics

EVACUATION_PEER_WAIT_S: Final = 1.5
"""How long a peer may wait for a change before it responds. Two peers in a row that became
partitioned delay an evacuation by this time and the slack of the call each."""


FIRST_WATCH_DELAY_S: Final = 1.0
"""Pause after the list of a router that starts. Until it knows the fleet, it takes itself for a
watcher; by then it knows that others watch for it."""
FOLLOWER_LIST_INTERVAL_S: Final = 120.0
"""How often a router that hears of evacuations from peers reads a complete list. The peers answer
about this kind every other second, and an object that they missed would show in their own lists."""


class EvacuationSync(KindSync):
    """Keeps the evacuations up to date."""

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        evacuations: Evacuations,
        pool: EndpointPool,
        mirror: Mirror,
        feed: PeerFeed,
        availability: StoreAvailability,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(store, documents.evacuation_kind, mirror, feed, availability, metrics, log)
        self._evacuations = evacuations
        self._pool = pool
        metrics.gauge("failure_domains_evacuated", lambda: float(len(evacuations.evacuated())))

    @property
    def peer_wait_s(self) -> float:
        """See `KindSync.peer_wait_s`."""
        return EVACUATION_PEER_WAIT_S

    @property
    def leaves_probing_to_others(self) -> bool:
        """See `KindSync.leaves_probing_to_others`."""
        return True

    @property
    def follower_list_interval_s(self) -> float:
        """See `KindSync.follower_list_interval_s`."""
        return FOLLOWER_LIST_INTERVAL_S

    def first_watch_delay_s(self, age_s: float) -> float:
        """See `KindSync.first_watch_delay_s`."""
        return FIRST_WATCH_DELAY_S if age_s < STARTUP_S else 0.0

    def apply(self, updates: list[StoreEvent], source: str) -> None:
        """See `KindSync.apply`."""
        for change in self._evacuations.apply(updates, clock.now()):
            self._record_change(change, source)

    def _record_change(self, change: EvacuationChange, source: str) -> None:
        now = clock.now()
        domain = change.failure_domain
        if not change.is_evacuated:
            self._pool.record_readmission(domain, change.effective_at)
        endpoints, in_flight = self._pool.domain_load(domain)
        state = "evacuated" if change.is_evacuated else "readmitted"
        self._metrics.count("evacuation_changes_total", state=state, source=source)
        self._log.notable(
            f"failure_domain_{state}",
            domain=domain,
            epoch=change.position.epoch,
            revision=change.position.revision,
            source=source,
            age_ms=int(min(1e6, now - self._mirror.seen_at(self._kind)) * 1e3),
            in_force_in_ms=max(0, int((change.effective_at - now) * 1e3)),
            endpoints=endpoints,
            in_flight=in_flight,
        )
