"""Merges the loads that all routers report: requests in flight and recent prompt parts; no I/O.

Designed for large fleets, where each router sees one request in hundreds and could not keep the
load bound of an engine from its own requests. Routers report to a load hub of their failure domain,
and the hubs exchange the sums of their groups.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.hashing import rank
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sequoiadrum.messages import Member

ROUTERS_PER_HUB: Final = 40
"""Routers of a failure domain for each of its hubs. A hub handles four datagrams a second for each
of them."""
REPORT_TTL_S: Final = 1.3
"""A report counts for this time after its receipt, so that one lost datagram does not remove it."""
MAX_KEPT_REPORTS: Final = 4
"""Own reports that are kept to interpret the replies to them."""
MAX_SENDERS: Final = 400
"""Routers whose reports a hub keeps; further ones are ignored."""
_KEY_MASK: Final = 0x7FFF_FFFF


def endpoint_key(id_hash: int) -> int:
    """Returns the number that identifies an endpoint in reports: 31 bits of the hash of its id."""
    return id_hash & _KEY_MASK


def hubs_by_domain(members: Iterable[Member]) -> dict[str, list[str]]:
    """Returns the ids of the load hubs of each failure domain, the same for the same members."""
    ids_by_domain: dict[str, list[str]] = {}
    for member in members:
        if member.state is MemberState.ALIVE:
            ids_by_domain.setdefault(member.failure_domain, []).append(member.id)
    return {
        domain: rank(f"load-hub {domain}", ids)[: math.ceil(len(ids) / ROUTERS_PER_HUB)]
        for domain, ids in ids_by_domain.items()
    }


@frozen
class Loads:
    """What routers report about endpoints and prompts."""

    in_flight_by_endpoint: Mapping[int, int]
    """Requests in flight by `endpoint_key`."""
    requests_by_part: Mapping[int, int]
    """Recent requests by the key of their shared prompt part; see `hot_parts`."""


@frozen
class _Report:
    loads: Loads
    received_at: float


@define(eq=False)
class _Reports:
    """The newest report of each sender, with their sums."""

    in_flight_by_endpoint: Counter[int] = field(factory=Counter)
    requests_by_part: Counter[int] = field(factory=Counter)
    _report_by_sender: OrderedDict[str, _Report] = field(factory=OrderedDict)
    """In the order of their receipt."""

    def replace(self, sender_id: str, loads: Loads, now: float) -> None:
        """Replaces the report of a sender; a new sender is ignored above `MAX_SENDERS`."""
        self.expire(now)
        known = self._report_by_sender.pop(sender_id, None)
        if known is not None:
            self._subtract(known.loads)
        elif len(self._report_by_sender) >= MAX_SENDERS:
            return
        self._report_by_sender[sender_id] = _Report(loads, now)
        self.in_flight_by_endpoint.update(loads.in_flight_by_endpoint)
        self.requests_by_part.update(loads.requests_by_part)

    def expire(self, now: float) -> None:
        """Removes the reports that are older than `REPORT_TTL_S`."""
        while self._report_by_sender:
            sender_id, oldest = next(iter(self._report_by_sender.items()))
            if now - oldest.received_at <= REPORT_TTL_S:
                return
            del self._report_by_sender[sender_id]
            self._subtract(oldest.loads)

    def _subtract(self, loads: Loads) -> None:
        for total, counts in (
            (self.in_flight_by_endpoint, loads.in_flight_by_endpoint),
            (self.requests_by_part, loads.requests_by_part),
        ):
            for key, count in counts.items():
                if total[key] <= count:
                    del total[key]
                else:
                    total[key] -= count


@define(eq=False)
class LoadBoard:
    """The newest report of each router and of each group of routers."""

    _own_by_sequence: OrderedDict[int, Loads] = field(factory=OrderedDict)
    _routers: _Reports = field(factory=_Reports)
    _groups: _Reports = field(factory=_Reports)
    _sequence: int = 0

    def next_report(self, own: Loads) -> int:
        """Records the own loads that are reported next; returns the number of the report."""
        self._sequence += 1
        self._own_by_sequence[self._sequence] = own
        if len(self._own_by_sequence) > MAX_KEPT_REPORTS:
            self._own_by_sequence.popitem(last=False)
        return self._sequence

    def record_router(self, router_id: str, loads: Loads, now: float) -> None:
        """Replaces the report of a router of this hub's group."""
        self._routers.replace(router_id, loads, now)

    def record_group(self, hub_id: str, loads: Loads, now: float) -> None:
        """Replaces the sums of the group of another hub."""
        self._groups.replace(hub_id, loads, now)

    def elsewhere(self, sequence: int, fleet: Mapping[int, int]) -> dict[int, int] | None:
        """Returns the requests of the other routers in flight, from a hub's reply.

        Args:
            sequence: Number of the own report that the reply includes.
            fleet: Requests of all routers in flight by endpoint.

        Returns:
            None if the report is too old to be known.
        """
        own = self._own_by_sequence.get(sequence)
        if own is None:
            return None
        own_in_flight = own.in_flight_by_endpoint
        return {key: max(0, count - own_in_flight.get(key, 0)) for key, count in fleet.items()}

    def group(self, own: Loads, now: float) -> Loads:
        """Returns the loads of this hub and of the routers that report to it."""
        self._routers.expire(now)
        return _sum(own, self._routers)

    def fleet(self, own: Loads, now: float) -> Loads:
        """Returns the loads of all routers that this hub has recent reports of."""
        self._groups.expire(now)
        return _sum(self.group(own, now), self._groups)


def _sum(loads: Loads, reports: _Reports) -> Loads:
    return Loads(
        Counter(loads.in_flight_by_endpoint) + reports.in_flight_by_endpoint,
        Counter(loads.requests_by_part) + reports.requests_by_part,
    )
