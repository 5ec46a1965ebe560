"""Detects requests that crash endpoints; performs no I/O."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASH_LIMIT: Final = 2
"""Number of crashes at which a request is refused."""
CRASH_TTL_S: Final = 600.0
"""Time after which a crash no longer counts."""
SAME_CRASH_WINDOW_S: Final = 2.0
"""Crashes of one endpoint within this time count as one, since two owners of a pool may each record
the same crash; an endpoint takes longer than this to restart."""
_MAX_EVENTS: Final = 4
"""Crashes kept per fingerprint; keeps rumors far below the size of a datagram."""
_MAX_FINGERPRINTS: Final = 10_000


def crash_event(endpoint_id: str, now: float) -> str:
    """Returns the event id of a crash of an endpoint at a Unix time in seconds."""
    return f"{endpoint_id}@{int(now * 1e3):x}"


@define(eq=False)
class _CrashRecord:
    """Crashes in which one fingerprint was involved; times are Unix seconds."""

    time_by_event: dict[str, float] = field(factory=dict)
    cleared_at: float = 0.0
    """Time of the last completed run; crashes up to this time do not count."""
    retracted_at_by_event: dict[str, float] = field(factory=dict)
    """Crashes without involvement of the request; kept so that late rumors do not restore them."""

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
            if (
                at > first
                and at - last_by_endpoint.get(endpoint, -SAME_CRASH_WINDOW_S) >= SAME_CRASH_WINDOW_S
            ):
                time_by_event[event] = last_by_endpoint[endpoint] = at
        self.time_by_event = dict(list(time_by_event.items())[:_MAX_EVENTS])


@define(eq=False)
class CrashGuard:
    """Counts crashes by fingerprint; times are Unix seconds because routers exchange them.

    Records merge by the union of their crashes, the union of their retracted crashes and the time
    of the newest completed run, so rumors may arrive repeatedly and in any order.
    """

    _record_by_fingerprint: dict[str, _CrashRecord] = field(factory=dict)

    def count(self, fingerprint: str, now: float) -> int:
        """Returns the number of crashes that still count against a fingerprint."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return 0
        record.prune(now)
        if not record.time_by_event and now - record.cleared_at > CRASH_TTL_S:
            del self._record_by_fingerprint[fingerprint]
        return len(record.time_by_event)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was involved in a crash; suspects never share an engine."""
        return bool(fingerprint) and self.count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was involved in at least `CRASH_LIMIT` crashes."""
        return bool(fingerprint) and self.count(fingerprint, now) >= CRASH_LIMIT

    def crashed(self, event: str, fingerprints: Iterable[str], now: float) -> list[str]:
        """Counts one crash against all requests involved and returns the changed fingerprints.

        Args:
            event: Event id of the crash, see `crash_event`; recording it again changes nothing.
            fingerprints: Fingerprints of the requests that were in flight at the endpoint; empty
                ones are ignored.
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
        """Clears a fingerprint after a completed run; returns False if it had no crashes."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or not record.time_by_event:
            return False
        record.cleared_at = now
        record.prune(now)
        return True

    def retract(self, event: str, fingerprint: str, now: float) -> bool:
        """Retracts a crash in which a request was not involved.

        Returns:
            False if the crash did not count against the fingerprint.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or event not in record.time_by_event:
            return False
        record.retracted_at_by_event[event] = now
        record.prune(now)
        return True

    def encode(self, fingerprint: str) -> bytes:
        """Returns the payload of the rumor about a fingerprint, as JSON."""
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
        """Merges the payload of a rumor into the record; returns False if it is malformed."""
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
