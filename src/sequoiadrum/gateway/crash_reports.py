"""Shares between the routers which requests crash endpoints."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import RumorReceived

RUMOR_KIND: Final = "request-crash"
CRASHES_ALLOWED: Final = 3
"""A request that has broken off at so many endpoints is refused everywhere; one less would refuse
resumed streams that met a crash and a lost answer."""


class CrashReports:
    """Counts broken exchanges by the content of their requests; safe to use from any thread."""

    def __init__(self, spread: Callable[[str, str, int, bytes, float], None]) -> None:
        """Takes the function that sends a rumour: kind, key, version, payload, time to live."""
        self._spread = spread
        self._lock = threading.Lock()
        self._guard = CrashGuard()

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request has crashed endpoints too often."""
        with self._lock:
            return self._guard.count(fingerprint, time.time()) >= CRASHES_ALLOWED

    def record_crash(self, endpoint_id: str, fingerprint: str) -> None:
        """Counts an endpoint that broke off while it ran a request."""
        now = time.time()
        with self._lock:
            changed = self._guard.crashed(crash_event(endpoint_id, now), [fingerprint], now)
            if changed:
                self._tell(fingerprint, now)

    def record_completion(self, fingerprint: str) -> None:
        """Clears a request after a run that ended well."""
        now = time.time()
        with self._lock:
            if self._guard.completed(fingerprint, now):
                self._tell(fingerprint, now)

    def receive_rumor(self, rumor: RumorReceived) -> None:
        """Takes the news of another router."""
        if rumor.kind == RUMOR_KIND:
            with self._lock:
                self._guard.merge(rumor.key, rumor.payload, time.time())

    def _tell(self, fingerprint: str, now: float) -> None:
        payload = self._guard.encode(fingerprint)
        self._spread(RUMOR_KIND, fingerprint, int(now * 1e3), payload, CRASH_TTL_S)
