"""Tracks the endpoints that one instance knows and their health; performs no I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.holds import HoldReason, Holds
from sequoiadrum.gateway.model import EndpointState, StorePosition
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from sequoiadrum.gateway.holds import Hold
    from sequoiadrum.gateway.model import EndpointEntry, EngineLoad
    from sequoiadrum.messages import Address

REREGISTRATION_PERIOD_S: Final = 2.5
"""Time after a store outage for which endpoints count as listed although their entries expired;
they are registered again about 2 s after the outage."""
FAILURE_HALF_LIFE_S: Final = 4.0
"""Time after which a failure counts half, so that an avoided endpoint receives requests again."""
MAX_FAILURE_RATIO: Final = 0.45
"""An endpoint is avoided above this ratio of failed requests; some healthy services respond with an
error to 14 % of requests."""
PRIOR_SUCCESSES: Final = 2.0
"""Successes added to the results, so that a single failure does not mark an endpoint as failing."""
INITIAL_SUSPENSION_S: Final = 0.5
"""Suspension after a failed connection; it doubles while the endpoint stays unreachable."""
MAX_SUSPENSION_S: Final = 4.0
FULL_PAUSE_S: Final = 0.15
"""Suspension after an endpoint refused a request because it was full; about the duration of one
request."""
MAX_KNOWN_ENTRIES: Final = 20_000
"""Entries whose last position is kept; covers a week of replacements at the target size."""
REAPPEARANCE_HOLD_S: Final = 5.0
"""Time after a restore of the store for which an entry that it shows as ready again does not count
if its process was known to leave: by then the endpoint has written again that it leaves, or the
store has removed the entry after three heartbeats of 1.2 s without a sign of life."""
MAX_LOAD_AGE_S: Final = 1.5
"""A load that an endpoint or other routers reported longer ago is not used."""
_UNKNOWN_POSITION: Final = StorePosition(0, 0)


@define(eq=False)
class Endpoint:
    """One incarnation of an endpoint, with the health and load that this instance observed."""

    entry: EndpointEntry
    id_hash: int
    joined_at: float = float("-inf")
    """Monotonic seconds at which the entry appeared or its failure domain was readmitted; negative
    infinity for the entries of the first list that this instance read."""
    in_flight: int = 0
    """Requests of this instance that are running at the endpoint."""
    is_listed: bool = True
    """Whether the store still has the entry."""
    removed_at: float | None = None
    """Monotonic seconds at which the entry was removed."""
    keep_until: float = 0.0
    """A removed entry counts as listed until this time, in monotonic seconds."""
    holds: Holds = field(factory=Holds)
    """Why and until when no request may be sent to its process."""
    suspension_s: float = 0.0
    """Length of the last suspension after a failed connection."""
    failures: float = 0.0
    """Number of failed requests, with exponential decay."""
    results: float = 0.0
    """Number of all requests with a result, with exponential decay."""
    decayed_at: float = 0.0
    """Monotonic seconds up to which decay has been applied to `failures` and `results`."""
    load: EngineLoad | None = None
    load_reported_at: float = 0.0
    started_since_load: int = 0
    """Requests sent by this instance since the endpoint last reported its load."""
    in_flight_elsewhere: int = 0
    """Requests of the other routers that are running at the endpoint."""
    elsewhere_reported_at: float = float("-inf")
    """Monotonic seconds at which `in_flight_elsewhere` was received."""
    next_probe_at: float = 0.0
    """Monotonic seconds from which a retryable request may probe it while it is failing."""

    @property
    def id(self) -> str:
        """The id of the incarnation."""
        return self.entry.instance_id

    def can_serve(self, now: float) -> bool:
        """Returns whether the entry permits new requests.

        It must be ready, not have said that it leaves, and be either listed or removed so recently
        that it still counts as listed.
        """
        if self.entry.state is not EndpointState.READY:
            return False
        if self.holds.is_held(HoldReason.LEAVING, now):
            return False
        return self.is_known_listed(now)

    def is_suspended(self, now: float) -> bool:
        """Returns whether requests are held back from it, or it is not known to be there."""
        return not self.is_known_listed(now) or self.hold(now) is not None

    def hold(self, now: float) -> Hold | None:
        """Returns the hold on one more request; None if it may be sent."""
        return self.holds.available_at(self.in_flight, now)

    def is_unreachable(self, now: float) -> bool:
        """Returns whether a connection recently failed, or the entry no longer counts as listed."""
        return self.holds.is_held(HoldReason.UNREACHABLE, now) or not self.is_known_listed(now)

    def is_known_listed(self, now: float) -> bool:
        """Returns whether the entry counts as listed."""
        return self.is_listed or now < self.keep_until

    def failure_ratio(self, now: float) -> float:
        """Returns the ratio of recent requests that failed, in [0, 1)."""
        self._decay(now)
        return self.failures / (self.results + PRIOR_SUCCESSES)

    def is_failing(self, now: float) -> bool:
        """Returns whether the ratio of failed requests exceeds `MAX_FAILURE_RATIO`."""
        return self.failure_ratio(now) > MAX_FAILURE_RATIO

    def record_result(self, failed: bool, now: float) -> None:
        """Counts the result of a request; a success ends a suspension."""
        self._decay(now)
        self.results += 1
        self.failures += failed
        if not failed:
            self.suspension_s = 0.0
            self.holds.lift(HoldReason.UNREACHABLE)

    def record_unreachable(self, now: float) -> None:
        """Suspends the endpoint after a connection could not be established."""
        if self.holds.is_held(HoldReason.UNREACHABLE, now):
            return
        self.suspension_s = min(MAX_SUSPENSION_S, max(INITIAL_SUSPENSION_S, 2 * self.suspension_s))
        self.holds.add(HoldReason.UNREACHABLE, now + self.suspension_s)

    def record_full(self, now: float) -> None:
        """Suspends the endpoint briefly after it refused a request because it was full."""
        self.holds.add(HoldReason.FULL, now + FULL_PAUSE_S)

    def record_load(self, load: EngineLoad, now: float) -> None:
        """Records the load that the endpoint reported with a response."""
        self.load = load
        self.load_reported_at = now
        self.started_since_load = 0

    def reported_load(self, now: float) -> int | None:
        """Returns the reported load plus requests sent since; None if the report is too old."""
        if self.load is None or now - self.load_reported_at > MAX_LOAD_AGE_S:
            return None
        return self.load.running + self.load.waiting + self.started_since_load

    def fleet_load(self, now: float) -> int | None:
        """Returns the requests of all routers at the endpoint; None without a recent report."""
        if now - self.elsewhere_reported_at > MAX_LOAD_AGE_S:
            return None
        return self.in_flight + self.in_flight_elsewhere

    def is_above(self, multiple: float, now: float) -> bool:
        """Returns whether the requests of all routers reach a multiple of the slots.

        Without a recent report of the other routers, the endpoint's own last report counts.
        """
        load = self.fleet_load(now)
        if load is None:
            load = self.reported_load(now)
        return load is not None and load >= multiple * self.entry.slots

    def _decay(self, now: float) -> None:
        elapsed_s = now - self.decayed_at
        if elapsed_s > 0:
            factor = 0.5 ** (elapsed_s / FAILURE_HALF_LIFE_S)
            self.failures *= factor
            self.results *= factor
            self.decayed_at = now


@frozen
class _KnownEntry:
    position: StorePosition
    """Position of the last change or removal."""
    left: EndpointEntry | None
    """The last entry if its process is known to leave or was removed; otherwise None."""


@frozen
class _Reappearance:
    entry: EndpointEntry
    joined_at: float
    usable_from: float
    """Time from which the entry counts, in monotonic seconds."""


@define(eq=False)
class EndpointTable:
    """All endpoints by service, as the store lists them.

    Positions never decrease: an older entry, from a stale read or a late response, is ignored.
    """

    by_id: dict[str, Endpoint] = field(factory=dict)
    _ids_by_service: dict[str, set[str]] = field(factory=dict)
    _ids_by_address: dict[Address, set[str]] = field(factory=dict)
    _known_by_id: dict[str, _KnownEntry] = field(factory=dict)
    """Also of removed entries; at most `MAX_KNOWN_ENTRIES`."""
    _holds_by_process: OrderedDict[tuple[str, int | None], Holds] = field(factory=OrderedDict)
    """Holds that processes have asked for, by id and start, also of removed entries; at most
    `MAX_KNOWN_ENTRIES`."""
    _reappeared_by_id: dict[str, _Reappearance] = field(factory=dict)
    _epoch: int = 0
    _restored_at: float = float("-inf")
    """Monotonic seconds at which the first entry of `_epoch` was applied."""

    def apply(self, entry: EndpointEntry, now: float, joined_at: float = float("-inf")) -> bool:
        """Applies an entry; returns False if it is not newer than the known one, or held back.

        A store that was restored from a copy can show an endpoint as ready that has left since the
        copy was made. Such an entry is held back for `REAPPEARANCE_HOLD_S`; see `expire`.

        Args:
            entry: The entry as read from the store.
            now: Monotonic seconds.
            joined_at: Monotonic seconds at which the entry appeared; stored if the endpoint is new.
        """
        instance_id = entry.instance_id
        position = self._position(instance_id)
        if entry.position <= position:
            return False
        if entry.epoch > self._epoch:
            self._epoch = entry.epoch
            self._restored_at = now
        usable_from = self._restored_at + REAPPEARANCE_HOLD_S
        if now < usable_from and self._has_left(entry):
            self._reappeared_by_id[instance_id] = _Reappearance(entry, joined_at, usable_from)
            return False
        self._reappeared_by_id.pop(instance_id, None)
        is_leaving = entry.state is not EndpointState.READY
        self._record_known(instance_id, _KnownEntry(entry.position, entry if is_leaving else None))
        known = self.by_id.get(instance_id)
        if known is not None and known.entry.is_same_process(entry):
            known.entry = entry
            known.is_listed = True
            known.removed_at = None
            return True
        if known is not None:
            self._delete(known)
        id_hash = stable_hash("engine", entry.instance_id)
        endpoint = Endpoint(entry, id_hash, joined_at)
        endpoint.holds = self._holds_by_process.get(_process_key(entry), endpoint.holds)
        self.by_id[entry.instance_id] = endpoint
        self._ids_by_service.setdefault(entry.service, set()).add(entry.instance_id)
        self._ids_by_address.setdefault(entry.address, set()).add(entry.instance_id)
        return True

    def hold(self, endpoint: Endpoint, hold: Hold) -> bool:
        """Adds a hold that the process of an endpoint asked for; returns whether it ends later.

        It stays in force if the entry is removed and an entry of the same process appears again.
        """
        key = _process_key(endpoint.entry)
        self._holds_by_process.pop(key, None)
        self._holds_by_process[key] = endpoint.holds
        if len(self._holds_by_process) > MAX_KNOWN_ENTRIES:
            self._holds_by_process.popitem(last=False)
        return endpoint.holds.add(hold.reason, hold.until)

    def remove(
        self, instance_id: str, position: StorePosition, now: float, outage_ended: float
    ) -> bool:
        """Applies the removal of an entry; returns False if it was outdated or changed nothing.

        A removal can carry the revision of the last change before it, so that an equal position is
        applied as well.

        Args:
            instance_id: Id of the endpoint's incarnation.
            position: Position of the store at which the entry is known to be absent.
            now: Monotonic seconds.
            outage_ended: Monotonic seconds at which the last store outage ended; an entry may have
                expired during the outage although its endpoint is alive.
        """
        if position < self._position(instance_id):
            return False
        self._reappeared_by_id.pop(instance_id, None)
        known = self.by_id.get(instance_id)
        left = known.entry if known is not None else self._left(instance_id)
        self._record_known(instance_id, _KnownEntry(position, left))
        if known is None or not known.is_listed:
            return False
        known.is_listed = False
        known.removed_at = now
        known.keep_until = outage_ended + REREGISTRATION_PERIOD_S
        return True

    def expire(self, now: float) -> list[EndpointEntry]:
        """Deletes endpoints that no longer count as listed and have no request in flight.

        Returns:
            Entries that were held back and count from now on, since nothing newer was received.
        """
        for endpoint in list(self.by_id.values()):
            if not endpoint.is_listed and not endpoint.in_flight and now >= endpoint.keep_until:
                self._delete(endpoint)
        due = [each for each in self._reappeared_by_id.values() if now >= each.usable_from]
        return [each.entry for each in due if self.apply(each.entry, now, each.joined_at)]

    def of_service(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service in the order of their ids."""
        return [self.by_id[i] for i in sorted(self._ids_by_service.get(service, ()))]

    def is_replaced(self, entry: EndpointEntry) -> bool:
        """Returns whether another process is known at the address of an entry's process.

        It has the same id and another start, or another id and a later start.
        """
        known = self.by_id.get(entry.instance_id)
        if known is not None and not known.entry.is_same_process(entry):
            return True
        started_ms = entry.started_ms
        if started_ms is None:
            return False
        others = (self.by_id[i].entry for i in self._ids_by_address.get(entry.address, ()))
        return any(e.started_ms is not None and e.started_ms > started_ms for e in others)

    def _position(self, instance_id: str) -> StorePosition:
        known = self._known_by_id.get(instance_id)
        return known.position if known is not None else _UNKNOWN_POSITION

    def _left(self, instance_id: str) -> EndpointEntry | None:
        known = self._known_by_id.get(instance_id)
        return known.left if known is not None else None

    def _has_left(self, entry: EndpointEntry) -> bool:
        """Returns whether the process of a ready entry was known to leave in a former epoch."""
        left = self._left(entry.instance_id)
        return (
            left is not None
            and entry.state is EndpointState.READY
            and self._position(entry.instance_id).epoch < entry.epoch
            and left.is_same_process(entry)
        )

    def _record_known(self, instance_id: str, known: _KnownEntry) -> None:
        self._known_by_id.pop(instance_id, None)
        self._known_by_id[instance_id] = known
        if len(self._known_by_id) > MAX_KNOWN_ENTRIES:
            del self._known_by_id[next(iter(self._known_by_id))]

    def _delete(self, endpoint: Endpoint) -> None:
        del self.by_id[endpoint.id]
        self._ids_by_service[endpoint.entry.service].discard(endpoint.id)
        ids_at_address = self._ids_by_address[endpoint.entry.address]
        ids_at_address.discard(endpoint.id)
        if not ids_at_address:
            del self._ids_by_address[endpoint.entry.address]


def _process_key(entry: EndpointEntry) -> tuple[str, int | None]:
    """Returns what identifies the process of an entry, wherever and whenever the entry was read."""
    return entry.instance_id, entry.started_ms
