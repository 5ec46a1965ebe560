"""Rates of cold endpoints, shared by all routers; performs no I/O.

A cold endpoint tolerates a low rate from all routers together. As for rates that endpoints name
(see `rate_limits`), one router, the owner, hands out the units, and the others ask it before each
request. Requests beyond the rate crash the endpoint, so that two owners at once would do harm: a
router hands out units only after it has been the owner for a while, and only in proportion to the
known routers that are alive.
"""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.rate_limits import MAX_WAIT_S, MIN_WAIT_S, Grant
from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import MemberState
from sequoiadrum.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from sequoiadrum.gateway.model import EndpointEntry, Service
    from sequoiadrum.gateway.settings import Bounds
    from sequoiadrum.messages import Member

RATE_SHARE: Final = 0.55
"""Units per second that an owner hands out, as a ratio of the requests that the bound permits in
one second. The rest is for `BURST_SHARE`, for requests that were sent together although their units
were handed out one after the other, and for routers that do not know yet that the endpoint is
cold."""
BURST_SHARE: Final = 0.12
"""Units that an owner saves up while nobody asks, as such a ratio; at least one."""
BUNCHING_S: Final = 0.25
"""Units of this time may be used together with those of the second after it; see
`MAX_COLD_GRANT_AGE_S`."""
MAX_COLD_GRANT_AGE_S: Final = BUNCHING_S
"""A unit for a cold endpoint that was asked for longer ago is not used."""
TAKEOVER_S: Final = 2.0
"""A router that becomes the owner hands out nothing for this time. The routers that still ask its
predecessor learn of the change meanwhile, and the predecessor, if it was paused or cut off, notices
it by `MAX_PAUSE_S` or `MAX_SILENCE_S`, which are shorter."""
MAX_PAUSE_S: Final = 1.0
"""A process that did not observe the members for longer was paused, and starts anew as an owner."""
MAX_SILENCE_S: Final = 1.5
"""A router that received nothing from the others for longer may be cut off, and hands out
nothing."""
ALONE_S: Final = 10.0
"""A router that knows no other one, although it knows where others may run, considers itself the
only one after this time."""
RAMP_S: Final = 4.0
"""Time after an endpoint became warm over which its rate grows; then it is not limited any more."""
RAMP_MULTIPLE: Final = 4.0
"""Multiple of the rate at the end of `RAMP_S`."""
ENTRY_LAG_S: Final = 2.5
"""Longest time until an entry shows that its endpoint became cold. Endpoints of a failure domain
that receives requests again are treated as cold for at least this long."""
MAX_STATED_S: Final = 600.0
"""A longer statement of the time for which an endpoint stays cold is shortened to this."""
MAX_SHARED_S: Final = 20.0
"""Longest remaining time in a load report; later ones extend it."""
LOWEST_RATE_S: Final = 1.0
"""Of the rates that routers name with their requests for units, the lowest of this time counts."""
MAX_PROCESSES: Final = 2_000
"""Endpoints that are kept, also of removed entries; the one recorded first is evicted."""


def cold_key(endpoint: int) -> int:
    """Returns the key under which the units of a cold endpoint are asked for.

    Keys of endpoints are not negative (see `load_board.endpoint_key`), and these are, so that an
    endpoint can be cold and name a rate at the same time.
    """
    return ~endpoint


def is_cold_key(key: int) -> bool:
    """Returns whether a key is one of `cold_key`."""
    return key < 0


@frozen
class ColdPolicy:
    """What the endpoints of a service tolerate while they are cold."""

    permitted_per_s: float
    """Requests from all routers that a cold endpoint may receive in any one second."""
    start_s: float
    """Time for which an endpoint stays cold after its start."""

    @classmethod
    def of(cls, service: Service, bounds: Bounds) -> ColdPolicy | None:
        """Returns the policy for a service; None if its endpoints are never limited."""
        rate = service.cold_requests_per_s
        if rate <= 0:
            return None
        return cls(rate * bounds.cold_excess + bounds.cold_slack, service.cold_start_s)

    def permitted_at(self, cold_until: float, now: float) -> float | None:
        """Returns the requests that an endpoint may receive in a second; None if not limited.

        Args:
            cold_until: Monotonic seconds until which the endpoint is cold.
            now: Monotonic seconds.
        """
        warm_s = now - cold_until
        if warm_s < 0:
            return self.permitted_per_s
        if warm_s >= RAMP_S:
            return None
        return float(self.permitted_per_s * RAMP_MULTIPLE ** (warm_s / RAMP_S))


@frozen
class ColdLimit:
    """The limit of an endpoint that is cold, or became warm a moment ago."""

    permitted_per_s: float
    """Requests from all routers that it may receive in one second."""
    is_cold: bool
    """Whether it is still cold."""


@define(eq=False)
class _Process:
    """What is known of the process of an endpoint."""

    key: tuple[str, int | None] | None = None
    """Id and start of the process; None if only other routers have reported it."""
    appeared_at: float = float("-inf")
    """Monotonic seconds at which it appeared; negative infinity if that was not seen."""
    entry_until: float = float("-inf")
    """End of the coldness by its newest entry, in monotonic seconds."""
    stated_until: float = float("-inf")
    """The same by its responses and by other routers."""


@define(eq=False)
class ColdEndpoints:
    """The endpoints that this router knows to be cold; safe to use from any thread.

    Endpoints are known by their keys; see `load_board.endpoint_key`.
    """

    quotas: ColdQuotas = field(factory=lambda: ColdQuotas())
    """The units that this router hands out."""
    _process_by_endpoint: OrderedDict[int, _Process] = field(factory=OrderedDict)
    _readmitted_at_by_domain: dict[str, float] = field(factory=dict)
    _refused_until_by_endpoint: dict[int, float] = field(factory=dict)
    _cold_until_by_service: dict[str, dict[str, float]] = field(factory=dict)
    """Cold endpoints by their ids, as of the last call of `limits`."""
    _changes: deque[ColdChange] = field(factory=lambda: deque(maxlen=MAX_PROCESSES))
    _permitted_per_s: float = 0.0
    """Permitted rate of the service used last; 0 while none limits cold endpoints."""
    _latest_at: float = float("-inf")
    """Latest time of a start, a readmission or the end of coldness that was recorded."""
    _lock: threading.Lock = field(factory=threading.Lock)

    def record_entry(
        self, entry: EndpointEntry, endpoint: int, is_newly_joined: bool, now: float
    ) -> None:
        """Records an entry that came into force.

        A process that is known already, and registers again, does not count as started.

        Args:
            entry: The entry.
            endpoint: Key of the endpoint.
            is_newly_joined: Whether the endpoint joined after this router read its first list.
            now: Monotonic seconds.
        """
        key = (entry.instance_id, entry.started_ms)
        with self._lock:
            process = self._process(endpoint)
            if process.key != key:
                if process.key is not None:
                    process.stated_until = float("-inf")
                process.key = key
                process.appeared_at = now if is_newly_joined else float("-inf")
                self._latest_at = max(self._latest_at, process.appeared_at)
            # The age of an entry is unknown, so that its endpoint is taken to be cold for longer.
            is_cold = entry.warm_up_s > 0
            process.entry_until = (
                now + min(MAX_STATED_S, entry.warm_up_s) if is_cold else float("-inf")
            )
            self._latest_at = max(self._latest_at, process.entry_until)

    def record_statement(self, endpoint: int, left_s: float, now: float) -> None:
        """Records that an endpoint, or another router, stated for how long it stays cold."""
        if left_s <= 0:
            return
        with self._lock:
            process = self._process(endpoint)
            process.stated_until = max(process.stated_until, now + min(MAX_STATED_S, left_s))
            self._latest_at = max(self._latest_at, process.stated_until)

    def record_readmission(self, failure_domain: str, now: float) -> None:
        """Records that the endpoints of an evacuated failure domain take requests again."""
        with self._lock:
            self._readmitted_at_by_domain[failure_domain] = now
            self._latest_at = max(self._latest_at, now)

    def may_limit(self, service: str, policy: ColdPolicy, now: float) -> bool:
        """Returns whether `limits` may return or record anything; reads no endpoint."""
        latest_end = self._latest_at + max(policy.start_s, ENTRY_LAG_S) + RAMP_S
        return now < latest_end or bool(self._cold_until_by_service.get(service))

    def limits(
        self,
        service: str,
        policy: ColdPolicy,
        entry_by_endpoint: Mapping[int, EndpointEntry],
        now: float,
        is_preview: bool = False,
    ) -> dict[int, ColdLimit]:
        """Returns the limits of those endpoints of a service that are cold or were recently.

        Args:
            service: Name of the service.
            policy: What its endpoints tolerate.
            entry_by_endpoint: The endpoints of the service that a request may use.
            now: Monotonic seconds.
            is_preview: Whether no change is recorded.
        """
        found: dict[int, ColdLimit] = {}
        cold_until_by_id: dict[str, float] = {}
        with self._lock:
            if not is_preview:
                self._permitted_per_s = policy.permitted_per_s
            for endpoint, entry in entry_by_endpoint.items():
                until = self._cold_until(endpoint, entry, policy)
                permitted = policy.permitted_at(until, now)
                if permitted is None:
                    continue
                found[endpoint] = ColdLimit(permitted, now < until)
                if now < until:
                    cold_until_by_id[entry.instance_id] = until
            if is_preview:
                return found
            asked = {entry.instance_id for entry in entry_by_endpoint.values()}
            self._record_changes(service, asked, cold_until_by_id, now)
        return found

    def take_changes(self) -> list[ColdChange]:
        """Returns the endpoints that became cold or warm since the last call."""
        if not self._changes:
            return []
        with self._lock:
            changes = list(self._changes)
            self._changes.clear()
        return changes

    def count(self, now: float) -> int:
        """Returns the number of endpoints that are cold."""
        with self._lock:
            return sum(
                now < until
                for cold_until_by_id in self._cold_until_by_service.values()
                for until in cold_until_by_id.values()
            )

    def stated(self, now: float) -> dict[int, float]:
        """Returns the seconds for which endpoints stay cold by their own statements.

        These are what other routers should know. What a router concludes from a start or a
        readmission, the others conclude as well.
        """
        if self._permitted_per_s <= 0:
            return {}
        with self._lock:
            left = {
                endpoint: max(process.entry_until, process.stated_until) - now
                for endpoint, process in self._process_by_endpoint.items()
            }
        return {endpoint: left_s for endpoint, left_s in left.items() if left_s > 0}

    def permitted_per_s(self) -> float:
        """Returns the permitted rate of the service used last; 0 if cold endpoints have none."""
        return self._permitted_per_s

    def refuse_until(self, endpoint: int, until: float) -> None:
        """Withholds requests from a cold endpoint until a time in monotonic seconds."""
        with self._lock:
            if endpoint in self._process_by_endpoint:
                self._refused_until_by_endpoint[endpoint] = until

    def refused_until(self, endpoint: int) -> float:
        """Returns the time until which requests are withheld by `refuse_until`."""
        return self._refused_until_by_endpoint.get(endpoint, float("-inf"))

    def _cold_until(self, endpoint: int, entry: EndpointEntry, policy: ColdPolicy) -> float:
        readmitted_at = self._readmitted_at_by_domain.get(entry.failure_domain, float("-inf"))
        until = readmitted_at + max(policy.start_s, ENTRY_LAG_S)
        process = self._process_by_endpoint.get(endpoint)
        if process is None:
            return until
        return max(
            until, process.appeared_at + policy.start_s, process.entry_until, process.stated_until
        )

    def _record_changes(
        self, service: str, asked: Set[str], cold_until_by_id: Mapping[str, float], now: float
    ) -> None:
        """Records which endpoints became cold or warm since the last call.

        Args:
            service: Name of the service.
            asked: The endpoints of which it is known now; a request may use some of them only.
            cold_until_by_id: Those of them that are cold.
            now: Monotonic seconds.
        """
        known = self._cold_until_by_service.get(service, {})
        if not known and not cold_until_by_id:
            return
        others = {each: t for each, t in known.items() if each not in asked and now < t}
        current = self._cold_until_by_service[service] = {**others, **cold_until_by_id}
        self._changes.extend(
            ColdChange(each, current[each] - now) for each in sorted(set(current) - set(known))
        )
        self._changes.extend(ColdChange(each, 0.0) for each in sorted(set(known) - set(current)))

    def _process(self, endpoint: int) -> _Process:
        process = self._process_by_endpoint.get(endpoint)
        if process is None:
            process = self._process_by_endpoint[endpoint] = _Process()
            if len(self._process_by_endpoint) > MAX_PROCESSES:
                evicted, _ = self._process_by_endpoint.popitem(last=False)
                self._refused_until_by_endpoint.pop(evicted, None)
        return process


@frozen
class ColdChange:
    """An endpoint became cold or warm."""

    endpoint_id: str
    left_s: float
    """Seconds for which it stays cold, as far as this router knows; 0 if it became warm."""


@define(eq=False)
class _View:
    """The routers that were alive in a span of time, as this router knew it."""

    since: float
    alive: frozenset[str]
    owner_by_key: dict[int, str | None] = field(factory=dict)

    def owner(self, key: int) -> str | None:
        """Returns the router that owns the units of a cold endpoint."""
        if key not in self.owner_by_key:
            self.owner_by_key[key] = first_ranked(f"rate-owner {key}", self.alive)
        return self.owner_by_key[key]


@define(eq=False)
class _Units:
    """The units of one cold endpoint."""

    bucket: TokenBucket
    lowest_per_s: float
    """The lowest rate that routers named recently."""
    lowest_at: float


@define(eq=False)
class ColdQuotas:
    """Hands out units of the rates of cold endpoints, as their owner; safe to use from any thread.

    It hands out nothing before `observe` has been called for `TAKEOVER_S`.
    """

    _own_id: str = ""
    _views: deque[_View] = field(factory=deque)
    """What this router knew during the last `TAKEOVER_S`, the oldest first."""
    _observed_at: float = float("-inf")
    _members: Mapping[str, Member] | None = None
    """The members of the last observation."""
    _alive: frozenset[str] = frozenset()
    _has_others: bool = False
    """Whether another router may be alive."""
    _share: float = 0.0
    """Ratio of the known routers that are alive."""
    _takeover_s: float = TAKEOVER_S
    _units_by_key: OrderedDict[int, _Units] = field(factory=OrderedDict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def observe(
        self,
        own_id: str,
        members: Mapping[str, Member],
        silence_s: float,
        may_have_peers: bool,
        now: float,
    ) -> None:
        """Records which routers are alive; must be called several times per second.

        Args:
            own_id: Id of this router.
            members: All routers that it knows, also those that are dead; a new mapping after each
                change.
            silence_s: Seconds since it received anything from another router.
            may_have_peers: Whether it knows addresses where other routers may run.
            now: Monotonic seconds.
        """
        with self._lock:
            if members is not self._members:
                self._members, self._own_id = members, own_id
                others = [member.state for member in members.values() if member.id != own_id]
                self._has_others = any(state is not MemberState.DEAD for state in others)
                self._alive = frozenset(
                    m.id for m in members.values() if m.state is MemberState.ALIVE
                )
                self._share = len(self._alive) / max(1, len(members))
            was_paused = now - self._observed_at > MAX_PAUSE_S
            self._observed_at = now
            is_cut_off = self._has_others and silence_s > MAX_SILENCE_S
            if was_paused or is_cut_off:
                self._views.clear()
            if is_cut_off:
                return
            self._takeover_s = ALONE_S if len(members) == 1 and may_have_peers else TAKEOVER_S
            if not self._views or self._views[-1].alive != self._alive:
                self._views.append(_View(now, self._alive))
            while len(self._views) > 1 and self._views[1].since <= now - self._takeover_s:
                self._views.popleft()

    def decide(self, key: int, permitted_per_s: float, now: float) -> Grant:
        """Decides whether one request may be sent to a cold endpoint now.

        Args:
            key: The `cold_key` of the endpoint.
            permitted_per_s: Requests that it may receive in any one second, as the router knows
                that wants to send one.
            now: Monotonic seconds.
        """
        with self._lock:
            wait_s = self._wait_s(key, now)
            if wait_s > 0:
                return Grant(is_granted=False, wait_s=wait_s)
            units = self._units(key, permitted_per_s, now)
            rate, burst = _rate_and_burst(units.lowest_per_s * self._share)
            units.bucket.resize(rate, burst, now)
            if units.bucket.take(now):
                return Grant(is_granted=True)
            wait_s = units.bucket.wait_ms() / 1e3
            return Grant(is_granted=False, wait_s=min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s)))

    def _wait_s(self, key: int, now: float) -> float:
        """Returns the seconds until this router may hand out units; 0 if it may."""
        if now - self._observed_at > MAX_PAUSE_S or not self._views:
            return MAX_WAIT_S
        owned_since = now
        for view in reversed(self._views):
            if view.owner(key) != self._own_id:
                break
            owned_since = view.since
        left_s = owned_since + self._takeover_s - now
        return 0.0 if left_s <= 0 else min(MAX_WAIT_S, max(MIN_WAIT_S, left_s))

    def _units(self, key: int, permitted_per_s: float, now: float) -> _Units:
        units = self._units_by_key.get(key)
        if units is None:
            rate, burst = _rate_and_burst(permitted_per_s * self._share)
            # It starts empty: a new owner does not know what its predecessor has granted.
            units = _Units(TokenBucket(rate, burst, 0.0, now), permitted_per_s, now)
            self._units_by_key[key] = units
            if len(self._units_by_key) > MAX_PROCESSES:
                self._units_by_key.popitem(last=False)
        elif permitted_per_s <= units.lowest_per_s or now - units.lowest_at > LOWEST_RATE_S:
            units.lowest_per_s, units.lowest_at = permitted_per_s, now
        return units


def _rate_and_burst(permitted_per_s: float) -> tuple[float, float]:
    """Returns the units per second, and those that may be saved up, below a bound of one second."""
    burst = max(1.0, BURST_SHARE * permitted_per_s)
    # A bound of a few requests has less room for the burst of one.
    highest = (permitted_per_s - burst) / (1.0 + BUNCHING_S)
    return max(0.0, min(RATE_SHARE * permitted_per_s, highest)), burst
