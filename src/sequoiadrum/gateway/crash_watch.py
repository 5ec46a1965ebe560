"""Observes endpoints whose exchanges broke, and reports those that crashed."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.crash_suspects import (
    BrokenExchange,
    CrashSuspects,
    Evidence,
    Listing,
    Sighting,
)
from sequoiadrum.gateway.event_log import loggable_parts
from sequoiadrum.gateway.exchange import BREAK_SETTLE_S, Presence
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections
    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

CHECK_INTERVAL_S: Final = 0.3
"""Pause between two connections to an endpoint that is observed."""
_SIGHTING_BY_PRESENCE: Final = {
    Presence.THERE: Sighting.REACHED,
    Presence.GONE: Sighting.REFUSED,
    Presence.UNKNOWN: Sighting.NOT_REACHED,
}


@frozen
class _Check:
    """Timer message that looks at all suspects."""


class CrashWatch(Task):
    """Reports the requests and prompt parts whose exchanges broke because an endpoint crashed.

    An endpoint that refuses connections right after is reported at once, on the thread of the
    request. Others are observed, in the background.
    """

    def __init__(
        self,
        connections: EndpointConnections,
        pool: EndpointPool,
        crashes: CrashReports,
        timers: TimerService,
        metrics: Metrics,
        log: EventLog,
        on_invariant: Callable[[], None],
    ) -> None:
        self._connections = connections
        self._pool = pool
        self._crashes = crashes
        self._timers = timers
        self._log = log
        self._lock = threading.Lock()
        self._suspects = CrashSuspects()
        self._is_scheduled = False
        super().__init__("crash-watch", metrics, on_invariant)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {_Check: self._on_check}

    def record_broken(self, exchange: BrokenExchange, is_lost: bool) -> None:
        """Reports a broken exchange if its endpoint crashed; observes the endpoint otherwise.

        Args:
            exchange: The exchange.
            is_lost: Whether the network lost the connection. A silent endpoint may then be cut off.
        """
        sighting = self._look_at(exchange)
        if sighting is Sighting.REFUSED:
            self._report(Evidence.REFUSED, [exchange])
            return
        if is_lost or self._pool.listing(exchange.entry) is Listing.LEAVING:
            return
        with self._lock:
            is_added = self._suspects.add(exchange, sighting, clock.now())
        if not is_added:
            self.metrics.count("crash_suspicions_dropped_total")
            return
        self._schedule()

    def record_response(self, endpoint_id: str, sent_at: float) -> None:
        """Records that an endpoint responded to a request.

        Args:
            endpoint_id: Id of the endpoint.
            sent_at: Monotonic seconds at which the request was sent.
        """
        # Without the lock, because there are few suspects and many responses.
        if self._suspects.is_suspect(endpoint_id):
            with self._lock:
                self._suspects.record_response(endpoint_id, sent_at)

    def _schedule(self) -> None:
        with self._lock:
            if self._is_scheduled:
                return
            self._is_scheduled = True
        self._timers.schedule(self, CHECK_INTERVAL_S, _Check())

    def _on_check(self, _: _Check) -> None:
        with self._lock:
            self._is_scheduled = False
            self._suspects.expire(clock.now())
            entries = self._suspects.entries()
        for entry in entries:
            listing = self._pool.listing(entry)
            with self._lock:
                self._suspects.record_listing(entry.instance_id, listing)
            if listing is Listing.LISTED:
                presence = self._connections.probe(entry.address, BREAK_SETTLE_S)
                with self._lock:
                    self._suspects.record_sighting(
                        entry.instance_id, _SIGHTING_BY_PRESENCE[presence], clock.now()
                    )
            with self._lock:
                crashed = self._suspects.take_crashed()
            for evidence, exchanges in crashed:
                self._report(evidence, exchanges)
        with self._lock:
            has_suspects = bool(self._suspects.entries())
        if has_suspects:
            self._schedule()

    def _look_at(self, exchange: BrokenExchange) -> Sighting:
        presence = self._connections.probe(exchange.entry.address, BREAK_SETTLE_S)
        return _SIGHTING_BY_PRESENCE[presence]

    def _report(self, evidence: Evidence, exchanges: Sequence[BrokenExchange]) -> None:
        now = clock.now()
        for exchange in exchanges:
            entry = exchange.entry
            crashed_s_ago = now - exchange.broken_at
            self._crashes.record_crash(entry.instance_id, exchange.fingerprint, crashed_s_ago)
            if exchange.parts:
                self._crashes.record_part_crash(
                    entry, exchange.parts, now - exchange.sent_at, crashed_s_ago
                )
            self.metrics.count("endpoint_events_total", event="endpoint_crashed")
            self.metrics.count("endpoint_crashes_total", evidence=evidence.value)
            self._log.notable(
                "endpoint_crashed",
                request=exchange.request_id,
                endpoint=entry.instance_id,
                entry_revision=entry.revision,
                evidence=evidence.value,
                broken_ms_ago=int(crashed_s_ago * 1e3),
                parts=loggable_parts(exchange.parts),
            )
