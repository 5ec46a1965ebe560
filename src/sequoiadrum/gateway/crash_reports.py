"""Shares between all routers which requests and which prompt parts crashed endpoints."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event
from sequoiadrum.gateway.crashing_parts import RECORD_TTL_S, CrashingParts, SuspectRun
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.gateway.model import EndpointEntry
    from sequoiadrum.messages import RumorReceived
    from sequoiadrum.metrics import Metrics

RUMOR_KIND: Final = "request-crash"
PART_CRASH_KIND: Final = "part-crash"
"""Kind of the rumor about one request that was broken by a crash before its response began."""
PART_RESPONSE_KIND: Final = "part-response"
"""Kind of the rumor that an engine has begun to respond to a request with a part."""
CRASH_REFUSAL_THRESHOLD: Final = 3
"""A request whose exchange failed at this many endpoints is refused by all routers. One less would
refuse resumed streams that were affected by one crash and one lost response."""
MAX_PARTS_PER_REPORT: Final = 24
"""Parts of one request that are reported, those nearest to its end; they fit into a datagram."""


class CrashReports:
    """Counts crashes by request fingerprint and by prompt part; safe to use from any thread."""

    def __init__(
        self, broadcast: Callable[[str, str, int, bytes, float], None], metrics: Metrics
    ) -> None:
        """Creates the reports without any counts.

        Args:
            broadcast: Disseminates a rumor; called with its kind, key, version, payload and time to
                live in seconds.
            metrics: Counts the reports.
        """
        self._broadcast = broadcast
        self._metrics = metrics
        self._lock = threading.Lock()
        self._guard = CrashGuard()
        self._parts = CrashingParts()

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must be refused because it crashed too many endpoints."""
        with self._lock:
            return self._guard.count(fingerprint, time.time()) >= CRASH_REFUSAL_THRESHOLD

    def crashing_part(self, parts: Sequence[str]) -> str | None:
        """Returns the first of some prompt parts that crashes engines; None if there is none."""
        part_by_key = {_part_key(part): part for part in parts}
        with self._lock:
            key = self._parts.convicted_part(part_by_key, time.time())
        return part_by_key[key] if key is not None else None

    def record_crash(self, endpoint_id: str, fingerprint: str) -> None:
        """Counts an endpoint that failed while it ran a request; broadcasts the change."""
        now = time.time()
        with self._lock:
            changed = self._guard.crashed(crash_event(endpoint_id, now), [fingerprint], now)
            if changed:
                self._broadcast_counts(fingerprint, now)

    def record_part_crash(
        self, entry: EndpointEntry, parts: Sequence[str], sent_s_ago: float
    ) -> None:
        """Records that an engine crashed before it responded to a request; broadcasts it.

        Args:
            entry: The engine that crashed.
            parts: The shared parts of the request's prompt, in their order.
            sent_s_ago: Seconds since the request was sent to the engine.
        """
        now = time.time()
        process = f"{entry.instance_id}/{entry.started_ms}"
        keys = tuple(_part_key(part) for part in parts[-MAX_PARTS_PER_REPORT:])
        sent_at = now - sent_s_ago
        with self._lock:
            is_new = self._parts.record_crash(SuspectRun(process, sent_at, now, keys), now)
        if is_new:
            self._metrics.count("part_crash_reports_total", origin="own")
            # Each report is a rumor of its own: versions of one rumor would replace each other.
            key = f"{process}/{stable_hash(*keys):016x}"
            payload = json.dumps([process, sent_at, now, keys], separators=(",", ":"))
            self._broadcast(PART_CRASH_KIND, key, int(now * 1e3), payload.encode(), RECORD_TTL_S)

    def record_completion(self, fingerprint: str, parts: Sequence[str] = ()) -> None:
        """Clears the counts of a request and of its prompt parts; broadcasts the change.

        Args:
            fingerprint: Fingerprint of the request that completed.
            parts: The shared parts of its prompt.
        """
        now = time.time()
        with self._lock:
            if self._guard.completed(fingerprint, now):
                self._broadcast_counts(fingerprint, now)
        self.record_response_begun(parts)

    def record_response_begun(self, parts: Sequence[str]) -> None:
        """Acquits the shared parts of a prompt to which an engine has begun to respond."""
        now = time.time()
        with self._lock:
            cleared = self._parts.record_response(map(_part_key, parts), now)
        for key in cleared:
            self._broadcast(PART_RESPONSE_KIND, key, int(now * 1e3), b"", RECORD_TTL_S)

    def receive_rumor(self, rumor: RumorReceived) -> None:
        """Merges what another router reported; ignores rumors of other kinds."""
        now = time.time()
        if rumor.kind == RUMOR_KIND:
            with self._lock:
                self._guard.merge(rumor.key, rumor.payload, now)
        elif rumor.kind == PART_CRASH_KIND:
            run = _decode_run(rumor.payload, now)
            if run is None:
                self._metrics.count("malformed_datagrams_total")
                return
            with self._lock:
                is_new = self._parts.record_crash(run, now)
            if is_new:
                self._metrics.count("part_crash_reports_total", origin="peer")
        elif rumor.kind == PART_RESPONSE_KIND:
            with self._lock:
                self._parts.record_response([rumor.key], min(rumor.version / 1e3, now))

    def _broadcast_counts(self, fingerprint: str, now: float) -> None:
        payload = self._guard.encode(fingerprint)
        self._broadcast(RUMOR_KIND, fingerprint, int(now * 1e3), payload, CRASH_TTL_S)


def _part_key(part: str) -> str:
    """Returns a short key of a part; callers choose the ids of parts, of any length."""
    return f"{stable_hash('prompt-part', part):016x}"


def _decode_run(payload: bytes, now: float) -> SuspectRun | None:
    """Decodes the payload of a `PART_CRASH_KIND` rumor; returns None if it is malformed."""
    try:
        process, sent_at, crashed_at, parts = json.loads(payload)
        if not isinstance(process, str) or not isinstance(parts, list):
            return None
        if len(parts) > MAX_PARTS_PER_REPORT or not all(isinstance(part, str) for part in parts):
            return None
        crashed_at = min(float(crashed_at), now)
        return SuspectRun(process, min(float(sent_at), crashed_at), crashed_at, tuple(parts))
    except (TypeError, ValueError):
        return None
