"""The failure domains to which operators want no request to be sent; performs no I/O.

An operator evacuates a failure domain by an object of the store, which is named after it, and
readmits it by deleting the object. What the object contains does not matter.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import evolve, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import StoreEvent, StorePosition

RESTORE_HOLD_S: Final = 5.0
"""Time for which a failure domain stays evacuated that a restored store no longer shows as such.
The copy may be older than the evacuation, and operators write again what it lacks."""
RAMP_UP_S: Final = 4.0
"""Time over which the endpoints of a readmitted failure domain regain their share of the requests:
their caches are empty of what came meanwhile, and all chats would return at once."""
COPY_PERIOD_S: Final = 10.0
"""Time after an evacuation for which engines of the failure domain serve as sources of copies of
prompt parts. Most chats return sooner; a copy sends no request to the engine that it reads."""
MAX_READMITTED: Final = 1_000
"""Readmitted failure domains whose last position is kept; far above the domains that exist."""


@frozen
class EvacuationChange:
    """A failure domain was evacuated or readmitted."""

    failure_domain: str
    is_evacuated: bool
    position: StorePosition
    effective_at: float
    """Monotonic seconds from which the change is in force."""


@frozen
class _KnownState:
    position: StorePosition
    evacuated_at: float
    """Monotonic seconds at which this router learned of the evacuation."""
    readmitted_at: float | None = None
    """Monotonic seconds from which the failure domain receives requests again; None if it is
    evacuated until further notice."""


class Evacuations:
    """The evacuated failure domains as known to this router; safe to use from any thread.

    Positions never decrease: a change that is not newer than the last known one of its failure
    domain is ignored, whether it comes from a stale list, a late watch or a peer.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state_by_domain: OrderedDict[str, _KnownState] = OrderedDict()

    def apply(self, events: Iterable[StoreEvent], now: float) -> list[EvacuationChange]:
        """Applies changes of the store; returns those that evacuate or readmit a failure domain.

        Args:
            events: Newer states of the evacuations, in the order of the store.
            now: Monotonic seconds.
        """
        changes = []
        with self._lock:
            states = self._state_by_domain.copy()
            for event in events:
                change = _apply_event(states, event, now)
                if change is not None:
                    changes.append(change)
            ended = [d for d, s in states.items() if s.readmitted_at is not None]
            for domain in ended[: max(0, len(ended) - MAX_READMITTED)]:
                del states[domain]
            # Readers take no lock: they see the states before or after all of these changes.
            self._state_by_domain = states
        return changes

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether no request may be sent to the endpoints of a failure domain."""
        return self.is_evacuated_at(failure_domain, clock.now())

    def is_evacuated_at(self, failure_domain: str, now: float) -> bool:
        """Returns what `is_evacuated` returns at a time in monotonic seconds."""
        state = self._state_by_domain.get(failure_domain)
        return state is not None and (state.readmitted_at is None or now < state.readmitted_at)

    def has_any(self) -> bool:
        """Returns whether any failure domain has been evacuated since the start."""
        return bool(self._state_by_domain)

    def evacuated(self) -> list[str]:
        """Returns the evacuated failure domains in the order of their names."""
        now = clock.now()
        return sorted(d for d in self._state_by_domain if self.is_evacuated_at(d, now))

    def evacuated_at(self, failure_domain: str) -> float:
        """Returns when this router learned of the last evacuation, in monotonic seconds.

        Negative infinity if the failure domain was never evacuated.
        """
        state = self._state_by_domain.get(failure_domain)
        return float("-inf") if state is None else state.evacuated_at

    def readmitted_at(self, failure_domain: str) -> float:
        """Returns from when a failure domain receives requests again, in monotonic seconds.

        Negative infinity if it was never evacuated, infinity while no readmission is known.
        """
        state = self._state_by_domain.get(failure_domain)
        if state is None:
            return float("-inf")
        return float("inf") if state.readmitted_at is None else state.readmitted_at

    def usable(
        self, endpoints: list[Endpoint], key: str, excluded: Collection[str], now: float
    ) -> list[Endpoint]:
        """Returns the endpoints to which a request may be sent.

        An endpoint of a failure domain that was readmitted a short time ago is left out for a
        decreasing part of the requests, unless no other one is available.

        Args:
            endpoints: All endpoints of a service.
            key: Decides from when on a request may use readmitted endpoints; requests of one chat
                have the same key, so that a chat returns once.
            excluded: Ids of endpoints that the request has already failed on.
            now: Monotonic seconds.
        """
        domains = {endpoint.entry.failure_domain for endpoint in endpoints}
        share_by_domain = {domain: self.share(domain, now) for domain in domains}
        if all(share >= 1.0 for share in share_by_domain.values()):
            return endpoints
        shares = [(e, share_by_domain[e.entry.failure_domain]) for e in endpoints]
        threshold = (stable_hash("readmitted", key) + 1) / 2**64
        ramped = [e for e, share in shares if share >= threshold]
        if any(
            e.id not in excluded and e.can_serve(now) and not e.is_suspended(now) for e in ramped
        ):
            return ramped
        return [e for e in endpoints if not self.is_evacuated_at(e.entry.failure_domain, now)]

    def context_sources(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Returns the endpoints from which prompt parts may be copied."""
        return [
            e
            for e in endpoints
            if not self.is_evacuated_at(e.entry.failure_domain, now)
            or now - self.evacuated_at(e.entry.failure_domain) <= COPY_PERIOD_S
        ]

    def share(self, failure_domain: str, now: float) -> float:
        """Returns the fraction of its usual requests that a failure domain may receive, in [0, 1].

        It is 0 during an evacuation and rises linearly during `RAMP_UP_S` after its end.
        """
        readmitted_at = self.readmitted_at(failure_domain)
        return max(0.0, min(1.0, (now - readmitted_at) / RAMP_UP_S))


def _apply_event(
    states: OrderedDict[str, _KnownState], event: StoreEvent, now: float
) -> EvacuationChange | None:
    """Applies one change to the states; returns None if it evacuates and readmits nothing."""
    domain, position = event.item.name, event.item.position
    known = states.get(domain)
    if known is None:
        if event.is_deleted:
            # Recorded, since an older state can still arrive from another thread.
            states[domain] = _KnownState(position, float("-inf"), float("-inf"))
            return None
        states[domain] = _KnownState(position, now)
        return EvacuationChange(domain, True, position, now)
    # A deletion can carry the revision of the last change before it.
    is_newer = position > known.position or (event.is_deleted and position == known.position)
    if not is_newer:
        return None
    is_in_force = known.readmitted_at is None
    if not event.is_deleted:
        is_held = known.readmitted_at is not None and now < known.readmitted_at
        evacuated_at = known.evacuated_at if is_in_force or is_held else now
        states[domain] = _KnownState(position, evacuated_at)
        return None if is_in_force else EvacuationChange(domain, True, position, now)
    if not is_in_force:
        states[domain] = evolve(known, position=position)
        return None
    is_absent_after_restore = position.epoch > known.position.epoch
    readmitted_at = now + RESTORE_HOLD_S if is_absent_after_restore else now
    states.pop(domain)
    states[domain] = _KnownState(position, known.evacuated_at, readmitted_at)
    return EvacuationChange(domain, False, position, readmitted_at)
