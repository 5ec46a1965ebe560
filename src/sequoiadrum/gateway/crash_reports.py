"""Shares between all routers which requests and which prompt parts crashed endpoints."""

from __future__ import annotations

import secrets
import threading
import time
from typing import TYPE_CHECKING, Final

from sequoiadrum.crash_guard import CRASH_TTL_S, CrashGuard, crash_event
from sequoiadrum.gateway.crash_rumors import (
    OwnCrashReports,
    decode_crash_report,
    part_key,
    process_key,
)
from sequoiadrum.gateway.crashing_parts import RECORD_TTL_S, CrashingParts, PastCrash, Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sequoiadrum.gateway.model import EndpointEntry
    from sequoiadrum.messages import RumorReceived
    from sequoiadrum.metrics import Metrics

RUMOR_KIND: Final = "request-crash"
ENGINE_CRASH_KIND: Final = "engine-crash"
"""Kind of the rumors about the parts of the requests that a crash broke."""
PART_COMPLETION_KIND: Final = "part-completion"
"""Kind of the rumor that an engine has completed the response to a request with a part."""
CRASH_REFUSAL_THRESHOLD: Final = 3
"""A request that ran at this many endpoints when they crashed is refused by all routers. One less
would refuse resumed streams that met two crashes of other requests."""
MAX_PARTS_PER_REPORT: Final = 64
"""Parts of one request that are reported, those nearest to its end."""


class CrashReports:
    """Counts crashes by request fingerprint and by prompt part; safe to use from any thread."""

    def __init__(
        self,
        broadcast: Callable[[str, str, int, bytes, float], None],
        metrics: Metrics,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates the reports without any counts.

        Args:
            broadcast: Disseminates a rumor; called with its kind, key, version, payload and time to
                live in seconds.
            metrics: Counts the reports.
            wall_clock: Returns the Unix seconds.
        """
        self._broadcast = broadcast
        self._metrics = metrics
        self.wall_clock: Final = wall_clock
        self._lock = threading.Lock()
        self._guard = CrashGuard()
        self._parts = CrashingParts()
        self._own = OwnCrashReports(secrets.token_hex(4))

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must be refused because it crashed too many endpoints."""
        with self._lock:
            return self._guard.count(fingerprint, self.wall_clock()) >= CRASH_REFUSAL_THRESHOLD

    def crashing_part(self, parts: Sequence[str]) -> str | None:
        """Returns the first of some prompt parts that crashes engines; None if there is none."""
        part_by_key = {part_key(part): part for part in parts}
        with self._lock:
            key = self._parts.convicted_part(part_by_key, self.wall_clock())
        return part_by_key[key] if key is not None else None

    def convicted(self) -> dict[str, list[PastCrash]]:
        """Returns the evidence against each convicted part, by the part's key."""
        with self._lock:
            convicted = self._parts.convicted(self.wall_clock())
            return {part: self._parts.past_crashes(part) for part in convicted}

    def restore(self, part: str, crashes: Iterable[PastCrash]) -> None:
        """Records evidence from before the start, by the key of a part."""
        now = self.wall_clock()
        with self._lock:
            for crash in crashes:
                suspicion = Suspicion(part, 0, crash.last_sent_at)
                self._parts.record_suspicions(crash.process, crash.at, [suspicion], now)

    def record_crash(self, endpoint_id: str, fingerprint: str, crashed_s_ago: float = 0.0) -> None:
        """Counts an endpoint that crashed while it ran a request; broadcasts the change.

        Args:
            endpoint_id: Id of the endpoint.
            fingerprint: Fingerprint of the request.
            crashed_s_ago: Seconds since the crash.
        """
        now = self.wall_clock()
        at = now - crashed_s_ago
        with self._lock:
            changed = self._guard.crashed(crash_event(endpoint_id, at), [fingerprint], at)
            if changed:
                self._broadcast_counts(fingerprint, now)

    def record_part_crash(
        self,
        entry: EndpointEntry,
        parts: Sequence[str],
        sent_s_ago: float,
        crashed_s_ago: float = 0.0,
    ) -> None:
        """Records that an engine crashed before its response was complete; broadcasts it.

        Args:
            entry: The engine that crashed.
            parts: The shared parts of the request's prompt, in their order.
            sent_s_ago: Seconds since the request was sent to the engine.
            crashed_s_ago: Seconds since the crash.
        """
        now = self.wall_clock()
        process = process_key(entry.instance_id, entry.started_ms)
        first = max(0, len(parts) - MAX_PARTS_PER_REPORT)
        keys = [(depth, part_key(part)) for depth, part in enumerate(parts[first:], first)]
        with self._lock:
            crashed_at = self._own.crashed_at(process) or now - crashed_s_ago
            suspicions = [
                Suspicion(key, depth, now - sent_s_ago, self._parts.completed_at(key))
                for depth, key in keys
            ]
            if not self._parts.record_suspicions(process, crashed_at, suspicions, now):
                return
            rumors = self._own.add(process, crashed_at, suspicions, now)
            self._metrics.count("part_crash_reports_total", origin="own")
            for rumor in rumors:
                self._broadcast(
                    ENGINE_CRASH_KIND, rumor.key, rumor.version, rumor.payload, RECORD_TTL_S
                )

    def record_completion(
        self, fingerprint: str, parts: Sequence[str] = (), sent_s_ago: float = 0.0
    ) -> None:
        """Clears the counts of a request and of its prompt parts; broadcasts the change.

        Args:
            fingerprint: Fingerprint of the request that completed.
            parts: The shared parts of its prompt, if the response shows that they are healthy.
            sent_s_ago: Seconds since the request was sent to the engine.
        """
        now = self.wall_clock()
        sent_at = now - sent_s_ago
        with self._lock:
            if self._guard.completed(fingerprint, now):
                self._broadcast_counts(fingerprint, now)
            cleared = self._parts.record_completion(map(part_key, parts), sent_at)
        for key in cleared:
            self._broadcast(PART_COMPLETION_KIND, key, int(sent_at * 1e3), b"", RECORD_TTL_S)

    def receive_rumor(self, rumor: RumorReceived) -> None:
        """Merges what another router reported; ignores rumors of other kinds."""
        now = self.wall_clock()
        if rumor.kind == RUMOR_KIND:
            with self._lock:
                self._guard.merge(rumor.key, rumor.payload, now)
        elif rumor.kind == ENGINE_CRASH_KIND:
            report = decode_crash_report(rumor.payload, now)
            if report is None:
                self._metrics.count("malformed_datagrams_total")
                return
            with self._lock:
                is_new = self._parts.record_suspicions(
                    report.process, report.crashed_at, report.suspicions, now
                )
            if is_new:
                self._metrics.count("part_crash_reports_total", origin="peer")
        elif rumor.kind == PART_COMPLETION_KIND:
            with self._lock:
                self._parts.record_completion([rumor.key], min(rumor.version / 1e3, now))

    def _broadcast_counts(self, fingerprint: str, now: float) -> None:
        payload = self._guard.encode(fingerprint)
        self._broadcast(RUMOR_KIND, fingerprint, int(now * 1e3), payload, CRASH_TTL_S)
