"""Shares between all routers how many endpoints a request has crashed."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import RumorReceived

RUMOR_KIND: Final = "request-crash"
CRASH_REFUSAL_THRESHOLD: Final = 3
"""A request whose exchange failed at this many endpoints is refused by all routers. One less would
refuse resumed streams that were affected by one crash and one lost response."""


class CrashReports:
    """Counts failed exchanges by request fingerprint; safe to use from any thread."""

    def __init__(self, broadcast: Callable[[str, str, int, bytes, float], None]) -> None:
        """Creates the reports without any counts.

        Args:
            broadcast: Disseminates a rumor; called with its kind, key, version, payload and time to
                live in seconds.
        """
        self._broadcast = broadcast
        self._lock = threading.Lock()
        self._guard = CrashGuard()

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must be refused because it crashed too many endpoints."""
        with self._lock:
            return self._guard.count(fingerprint, time.time()) >= CRASH_REFUSAL_THRESHOLD

    def record_crash(self, endpoint_id: str, fingerprint: str) -> None:
        """Counts an endpoint that failed while it ran a request; broadcasts the change."""
        now = time.time()
        with self._lock:
            changed = self._guard.crashed(crash_event(endpoint_id, now), [fingerprint], now)
            if changed:
                self._broadcast_counts(fingerprint, now)

    def record_completion(self, fingerprint: str) -> None:
        """Clears the count of a request after it completed; broadcasts the change."""
        now = time.time()
        with self._lock:
            if self._guard.completed(fingerprint, now):
                self._broadcast_counts(fingerprint, now)

    def receive_rumor(self, rumor: RumorReceived) -> None:
        """Merges the counts that another router sent; ignores rumors of other kinds."""
        if rumor.kind == RUMOR_KIND:
            with self._lock:
                self._guard.merge(rumor.key, rumor.payload, time.time())

    def _broadcast_counts(self, fingerprint: str, now: float) -> None:
        payload = self._guard.encode(fingerprint)
        self._broadcast(RUMOR_KIND, fingerprint, int(now * 1e3), payload, CRASH_TTL_S)
