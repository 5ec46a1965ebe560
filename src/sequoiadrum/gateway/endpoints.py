"""What one instance knows of the endpoints, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import define, field

from sequoiadrum.gateway.model import EndpointState
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import EndpointEntry, EngineLoad

REREGISTRATION_PERIOD_S: Final = 2.5
"""Entries that lapsed during an outage of the store are back about 2 s after its return."""
FAILURE_HALF_LIFE_S: Final = 4.0
"""Failures weigh half after this time, so that an endpoint gets another chance."""
FAILURE_SHARE_LIMIT: Final = 0.45
"""An endpoint that fails a larger share is avoided; some answer 14 % with an error by nature."""
PRIOR_SUCCESSES: Final = 2.0
"""Assumed beside the results, so that one failure does not condemn an endpoint."""
FIRST_SUSPENSION_S: Final = 0.5
"""Pause after a refused connection; it doubles while the endpoint stays unreachable."""
LONGEST_SUSPENSION_S: Final = 4.0
FULL_PAUSE_S: Final = 0.15
"""Pause after an endpoint refused a request because it was full; about one request's work."""
MAX_REVISIONS: Final = 20_000
"""Entries whose last revision is remembered; a week of replacements at the target size."""
LOAD_VALID_S: Final = 1.5
"""A load that an endpoint told longer ago is not used."""


@define(eq=False)
class Endpoint:
    """One incarnation of an endpoint and what this instance has seen of it."""

    entry: EndpointEntry
    id_hash: int
    joined_at: float = float("-inf")
    """When its entry appeared, in monotonic seconds; long ago for those of the first list."""
    in_flight: int = 0
    """Requests of this instance that it works on."""
    is_listed: bool = True
    """Whether the store still names it."""
    removed_at: float | None = None
    """When its entry disappeared, in monotonic seconds."""
    keep_until: float = 0.0
    """A lapsed entry counts as listed until then."""
    suspended_until: float = 0.0
    suspension_s: float = 0.0
    full_until: float = 0.0
    failures: float = 0.0
    """Decayed number of failed requests."""
    results: float = 0.0
    """Decayed number of all requests."""
    results_at: float = 0.0
    load: EngineLoad | None = None
    load_at: float = 0.0
    started_since_load: int = 0
    """Requests sent by this instance since the endpoint told its load."""
    next_probe_at: float = 0.0

    @property
    def id(self) -> str:
        """Names the incarnation."""
        return self.entry.instance_id

    def may_serve(self, now: float) -> bool:
        """Whether new requests may be sent, by what is listed."""
        if self.entry.state is not EndpointState.READY:
            return False
        return self.is_listed or now < self.keep_until

    def is_suspended(self, now: float) -> bool:
        """Whether it was unreachable or full just now."""
        return self.is_unreachable(now) or now < self.full_until

    def is_unreachable(self, now: float) -> bool:
        """Whether it could not be reached just now, or its entry is gone."""
        return now < self.suspended_until or not (self.is_listed or now < self.keep_until)

    def failure_share(self, now: float) -> float:
        """Gives the share of recent requests that it failed, in [0, 1)."""
        self._decay(now)
        return self.failures / (self.results + PRIOR_SUCCESSES)

    def is_failing(self, now: float) -> bool:
        """Whether results show that it fails much of its requests."""
        return self.failure_share(now) > FAILURE_SHARE_LIMIT

    def record_result(self, failed: bool, now: float) -> None:
        """Counts the result of a request."""
        self._decay(now)
        self.results += 1
        self.failures += failed
        if not failed:
            self.suspension_s = 0.0
            self.suspended_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Suspends it after a connection could not be made."""
        if now < self.suspended_until:
            return
        self.suspension_s = min(
            LONGEST_SUSPENSION_S, max(FIRST_SUSPENSION_S, 2 * self.suspension_s)
        )
        self.suspended_until = now + self.suspension_s

    def record_full(self, now: float) -> None:
        """Pauses it after it refused a request because it was full."""
        self.full_until = now + FULL_PAUSE_S

    def record_load(self, load: EngineLoad, now: float) -> None:
        """Takes the load that it told with an answer."""
        self.load = load
        self.load_at = now
        self.started_since_load = 0

    def reported_load(self, now: float) -> int | None:
        """Gives its load by its own word and later sends; None when that is too old."""
        if self.load is None or now - self.load_at > LOAD_VALID_S:
            return None
        return self.load.running + self.load.waiting + self.started_since_load

    def _decay(self, now: float) -> None:
        passed = now - self.results_at
        if passed > 0:
            factor = 0.5 ** (passed / FAILURE_HALF_LIFE_S)
            self.failures *= factor
            self.results *= factor
            self.results_at = now


@define(eq=False)
class EndpointTable:
    """All endpoints by service, as the store lists them.

    Revisions never go back: an older entry, from a stale read or a late answer, is ignored.
    """

    by_id: dict[str, Endpoint] = field(factory=dict)
    _ids_by_service: dict[str, set[str]] = field(factory=dict)
    _revision_by_id: dict[str, int] = field(factory=dict)
    """Of the last change or removal; kept for entries that are gone, up to `MAX_REVISIONS`."""

    def apply(self, entry: EndpointEntry, joined_at: float = float("-inf")) -> bool:
        """Takes an entry; False when it is not newer than what is known.

        Args:
            entry: The entry.
            joined_at: Noted if the endpoint is new.
        """
        if entry.revision <= self._revision_by_id.get(entry.instance_id, 0):
            return False
        self._note_revision(entry.instance_id, entry.revision)
        known = self.by_id.get(entry.instance_id)
        if known is not None and _is_same_process(known.entry, entry):
            known.entry = entry
            known.is_listed = True
            known.removed_at = None
            return True
        if known is not None:
            self._forget(known)
        id_hash = stable_hash("engine", entry.instance_id)
        self.by_id[entry.instance_id] = Endpoint(entry, id_hash, joined_at)
        self._ids_by_service.setdefault(entry.service, set()).add(entry.instance_id)
        return True

    def remove(self, instance_id: str, revision: int, now: float, outage_ended: float) -> bool:
        """Takes the removal of an entry; False when something newer is known.

        A removal can carry the revision of the last change before it, so an equal one counts.

        Args:
            instance_id: Names the entry.
            revision: Revision of the store at which it is known to be absent.
            now: Monotonic seconds.
            outage_ended: When the store came back last; an entry may have lapsed meanwhile
                although its endpoint is alive.
        """
        if revision < self._revision_by_id.get(instance_id, 0):
            return False
        self._note_revision(instance_id, revision)
        known = self.by_id.get(instance_id)
        if known is None or not known.is_listed:
            return False
        known.is_listed = False
        known.removed_at = now
        known.keep_until = outage_ended + REREGISTRATION_PERIOD_S
        return True

    def expire(self, now: float) -> None:
        """Forgets endpoints whose entries are gone for good and which work on nothing."""
        for endpoint in list(self.by_id.values()):
            if not endpoint.is_listed and not endpoint.in_flight and now >= endpoint.keep_until:
                self._forget(endpoint)

    def of_service(self, service: str) -> list[Endpoint]:
        """Gives the endpoints of a service in the order of their ids."""
        return [self.by_id[i] for i in sorted(self._ids_by_service.get(service, ()))]

    def _note_revision(self, instance_id: str, revision: int) -> None:
        self._revision_by_id.pop(instance_id, None)
        self._revision_by_id[instance_id] = revision
        if len(self._revision_by_id) > MAX_REVISIONS:
            del self._revision_by_id[next(iter(self._revision_by_id))]

    def _forget(self, endpoint: Endpoint) -> None:
        del self.by_id[endpoint.id]
        self._ids_by_service[endpoint.entry.service].discard(endpoint.id)


def _is_same_process(known: EndpointEntry, entry: EndpointEntry) -> bool:
    return (
        known.service == entry.service
        and known.address == entry.address
        and known.started_ms == entry.started_ms
    )
