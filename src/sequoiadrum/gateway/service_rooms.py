"""Keeps the room and the admission control of each service; performs no I/O.

Takes effect only while an endpoint states how long work takes on its host: the endpoints of such a
deployment share their hosts with others, so that the room that they have changes from moment to
moment. Elsewhere nothing is counted or refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.admission_control import (
    Admission,
    AdmissionControl,
    Demand,
)
from sequoiadrum.gateway.room import (
    NO_ROOM_KNOWN,
    Expectation,
    RequestSize,
    Room,
    ServiceTimes,
    occupancy,
    room_of,
    size_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import RequestHead

SHARED_HOSTS_S: Final = 300.0
"""Time for which admission stays controlled after an endpoint stated how long work takes."""
ROOM_INTERVAL_S: Final = 0.1
"""Time after which the room of a service is computed again."""


@frozen
class ExpectedStay:
    """What was expected of a request when it was placed."""

    size: RequestSize
    """Classes of the request."""
    occupied: float
    """Requests at the endpoint as a multiple of its slots."""
    expected: Expectation | None
    """None if too few requests of this size were observed before."""


@define(eq=False)
class _ServiceRoom:
    times: ServiceTimes = field(factory=ServiceTimes)
    admission: AdmissionControl = field(factory=AdmissionControl)
    room: Room = NO_ROOM_KNOWN
    room_at: float = float("-inf")


@define(eq=False)
class ServiceRooms:
    """The rooms of all services; the caller must hold the lock of the endpoints."""

    _room_by_service: dict[str, _ServiceRoom] = field(factory=dict)
    _active_until: float = float("-inf")

    def record_shared_host(self, now: float) -> None:
        """Records that an endpoint stated how long work takes on its host."""
        self._active_until = now + SHARED_HOSTS_S

    def is_active(self, now: float) -> bool:
        """Returns whether admission is controlled; `now` is in monotonic seconds."""
        return now < self._active_until

    def room(self, service: str) -> Room:
        """Returns the room of a service as computed last."""
        return self._of(service).room

    def rooms(self) -> dict[str, Room]:
        """Returns the rooms by service, as computed last."""
        return {service: state.room for service, state in self._room_by_service.items()}

    def own_parts(self, routers: int) -> dict[str, float]:
        """Returns this router's part of the requests in flight by service."""
        return {
            service: state.admission.part(routers)
            for service, state in self._room_by_service.items()
        }

    def decide(
        self,
        service: str,
        call: RequestHead,
        demand: Demand,
        endpoints: Callable[[], list[Endpoint]],
        routers: int,
        now: float,
    ) -> Admission:
        """Decides whether a request is admitted; see `AdmissionControl.decide`.

        Args:
            service: Name of the service.
            call: The request.
            demand: What it needs.
            endpoints: Returns the endpoints of the service that may take requests; called only if
                the room is computed again.
            routers: Number of routers.
            now: Monotonic seconds.
        """
        state = self._refreshed(service, endpoints, routers, now)
        size = size_of(call)
        occupied = state.room.shortest_queue + 1 if state.room.shortest_queue > 0 else 0.0
        return state.admission.decide(
            demand,
            state.room,
            state.times.expect(size, occupied),
            state.times.slot_s(size),
            state.times.slot_s(),
            state.times.queue_s(occupied),
            routers,
            now,
        )

    def return_after_s(self, service: str, demand: Demand, now: float) -> float:
        """Returns when the caller of a request that all endpoints refused should come back."""
        state = self._of(service)
        queue_s = state.times.queue_s(1 + state.room.shortest_queue)
        return state.admission.return_after_s(demand, queue_s, now)

    def expect(
        self, service: str, call: RequestHead, chosen: Endpoint, routers: int, now: float
    ) -> ExpectedStay:
        """Returns what is expected of a request that is placed at an endpoint."""
        size, occupied = size_of(call), occupancy(chosen, routers, now)
        return ExpectedStay(size, occupied, self._of(service).times.expect(size, occupied))

    def record_first(self, service: str, stay: ExpectedStay, seconds: float) -> None:
        """Records the time from the placement of a request to its first event or response."""
        self._of(service).times.record_first(stay.size, stay.occupied, seconds)

    def record_done(self, service: str, stay: ExpectedStay, first_s: float, whole_s: float) -> None:
        """Records the times from a placement to the first event and to the end."""
        self._of(service).times.record_done(stay.size, stay.occupied, first_s, whole_s)

    def _refreshed(
        self, service: str, endpoints: Callable[[], list[Endpoint]], routers: int, now: float
    ) -> _ServiceRoom:
        state = self._of(service)
        if now - state.room_at >= ROOM_INTERVAL_S:
            state.room = room_of(endpoints(), routers, now)
            state.room_at = now
        return state

    def _of(self, service: str) -> _ServiceRoom:
        state = self._room_by_service.get(service)
        if state is None:
            state = self._room_by_service[service] = _ServiceRoom()
        return state
