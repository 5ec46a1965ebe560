"""Finds the requests that crash endpoints, without I/O."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASH_LIMIT: Final = 2
"""Crashes after which a request is refused."""
CRASH_TTL_S: Final = 600.0
"""Crashes are forgotten after this time."""
SAME_CRASH_S: Final = 2.0
"""Two owners of a pool may each see one crash; an endpoint takes longer than this to restart."""
_MAX_EVENTS: Final = 4
"""Crashes kept per fingerprint; keeps rumours far below the size of a datagram."""
_MAX_FINGERPRINTS: Final = 10_000


def crash_event(endpoint_id: str, now: float) -> str:
    """Names a crash of an endpoint."""
    return f"{endpoint_id}@{int(now * 1e3):x}"


@define(eq=False)
class _CrashRecord:
    """Crashes that one fingerprint was involved in."""

    time_by_event: dict[str, float] = field(factory=dict)
    cleared_at: float = 0.0
    """Crashes up to this time do not count, because a run completed since."""
    retracted_at_by_event: dict[str, float] = field(factory=dict)
    """Crashes in which the request had no part; kept against late rumours."""

    def prune(self, now: float) -> None:
        first = max(self.cleared_at, now - CRASH_TTL_S)
        retracted = sorted(
            (at, event)
            for event, at in self.retracted_at_by_event.items()
            if at > now - CRASH_TTL_S
        )
        self.retracted_at_by_event = {event: at for at, event in retracted[-_MAX_EVENTS:]}
        time_by_event: dict[str, float] = {}
        last_by_endpoint: dict[str, float] = {}
        for at, event in sorted((at, event) for event, at in self.time_by_event.items()):
            if event in self.retracted_at_by_event:
                continue
            endpoint = event.rpartition("@")[0]
            if at > first and at - last_by_endpoint.get(endpoint, -SAME_CRASH_S) >= SAME_CRASH_S:
                time_by_event[event] = last_by_endpoint[endpoint] = at
        self.time_by_event = dict(list(time_by_event.items())[:_MAX_EVENTS])


@define(eq=False)
class CrashGuard:
    """Crash counts by fingerprint; times are Unix seconds, since they travel between routers.

    Records merge by the union of their crashes, the union of the retracted ones and the newest
    completed run, so rumours may arrive repeatedly and in any order.
    """

    _record_by_fingerprint: dict[str, _CrashRecord] = field(factory=dict)

    def count(self, fingerprint: str, now: float) -> int:
        """Gives the crashes that still count against a fingerprint."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return 0
        record.prune(now)
        if not record.time_by_event and now - record.cleared_at > CRASH_TTL_S:
            del self._record_by_fingerprint[fingerprint]
        return len(record.time_by_event)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Whether a request was involved in a crash; suspects are kept apart from each other."""
        return bool(fingerprint) and self.count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Whether a request has crashed endpoints too often."""
        return bool(fingerprint) and self.count(fingerprint, now) >= CRASH_LIMIT

    def crashed(self, event: str, fingerprints: Iterable[str], now: float) -> list[str]:
        """Counts one crash against all requests involved; gives the changed fingerprints.

        Args:
            event: Names the crash, see `crash_event`; repeating it changes nothing.
            fingerprints: Of the requests that were in flight at the endpoint; empty ones are
                passed over.
            now: Unix seconds.
        """
        changed = []
        for fingerprint in set(fingerprints) - {""}:
            record = self._record(fingerprint)
            before = len(record.time_by_event)
            record.time_by_event.setdefault(event, now)
            record.prune(now)
            if len(record.time_by_event) > before:
                changed.append(fingerprint)
        return changed

    def completed(self, fingerprint: str, now: float) -> bool:
        """Clears a fingerprint after a completed run; False when there was nothing to clear."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or not record.time_by_event:
            return False
        record.cleared_at = now
        record.prune(now)
        return True

    def retract(self, event: str, fingerprint: str, now: float) -> bool:
        """Takes a crash back that a request had no part in; False when it does not count."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or event not in record.time_by_event:
            return False
        record.retracted_at_by_event[event] = now
        record.prune(now)
        return True

    def encode(self, fingerprint: str) -> bytes:
        """Gives the payload of the rumour about a fingerprint."""
        record = self._record(fingerprint)
        return json.dumps(
            {
                "crashes": record.time_by_event,
                "cleared": record.cleared_at,
                "retracted": record.retracted_at_by_event,
            },
            separators=(",", ":"),
        ).encode()

    def merge(self, fingerprint: str, payload: bytes, now: float) -> bool:
        """Takes a rumour; False when it is malformed."""
        try:
            document = json.loads(payload)
            cleared = float(document["cleared"])
            events = {str(event): float(at) for event, at in document["crashes"].items()}
            retracted = {
                str(event): min(float(at), now)
                for event, at in document.get("retracted", {}).items()
            }
        except (KeyError, TypeError, ValueError, AttributeError):
            return False
        record = self._record(fingerprint)
        record.cleared_at = max(record.cleared_at, min(cleared, now))
        record.time_by_event.update(events)
        record.retracted_at_by_event.update(retracted)
        record.prune(now)
        return True

    def _record(self, fingerprint: str) -> _CrashRecord:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            record = self._record_by_fingerprint[fingerprint] = _CrashRecord()
            if len(self._record_by_fingerprint) > _MAX_FINGERPRINTS:
                del self._record_by_fingerprint[next(iter(self._record_by_fingerprint))]
        return record
