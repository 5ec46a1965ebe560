"""Estimates the room of a service and the time that a request takes there; performs no I/O.

Designed for large fleets, where a router rarely sees a response of the endpoint that it is about to
choose: what it knows of an endpoint are the requests of all routers there, up to a second old, and
the times that its own requests took at any endpoint of the service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Collection

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.model import RequestHead

SMOOTHING: Final = 0.1
"""Weight of a new observation, once there are enough of them."""
MIN_OBSERVATIONS: Final = 8
"""Observations of a size class from which its times are used."""
EARLIEST_QUANTILE: Final = 0.02
"""Share of the observed times that are below the earliest one."""
EARLIEST_STEP: Final = 0.1
"""Relative step by which the earliest time follows the observed ones."""
OCCUPANCY_BANDS: Final = 6
"""Bands of occupancy with a factor of their own; each is a quarter of the slots wide."""
BANDS_PER_SLOTS: Final = 4
MIN_BAND_FACTOR: Final = 0.2
MAX_BAND_FACTOR: Final = 10.0
_SIZE_CLASS_BITS: Final = 2


@frozen
class RequestSize:
    """Classes of a request by its tokens; requests of a class differ by less than a factor of four.

    Both are 0 for a request to a plain service.
    """

    prompt: int
    """Class by the tokens of the prompt, on which the time to the first event depends."""
    output: int
    """Class by the largest number of tokens to generate, on which the rest of the time depends."""


def size_of(call: RequestHead) -> RequestSize:
    """Returns the classes of a request."""
    return RequestSize(_size_class(call.prompt_tokens), _size_class(call.output_tokens))


def _size_class(tokens: int) -> int:
    return (max(0, tokens).bit_length() + _SIZE_CLASS_BITS - 1) // _SIZE_CLASS_BITS


@define(eq=False)
class SmoothedTime:
    """An exponentially smoothed time in seconds."""

    mean_s: float = 0.0
    earliest_s: float = 0.0
    """The time that hardly any request stays below."""
    observations: int = 0

    def record(self, seconds: float) -> None:
        """Adds an observation; the first ones count alike."""
        self.observations += 1
        if self.observations == 1:
            self.earliest_s = seconds
        self.mean_s += max(SMOOTHING, 1.0 / self.observations) * (seconds - self.mean_s)
        is_shorter = seconds < self.earliest_s
        self.earliest_s *= 1 + EARLIEST_STEP * (EARLIEST_QUANTILE - is_shorter)


@frozen
class Expectation:
    """The time that a request is expected to take from its placement on, in seconds."""

    first_s: float
    """Until its first event, or its response."""
    earliest_first_s: float
    """The same, for a request that is served as soon as can be hoped for."""
    earliest_done_s: float
    """Until its response is complete, if it is served as soon as can be hoped for."""


@frozen
class Room:
    """The slots of a service, as this router knows them."""

    slots: int
    """Slots of all endpoints that may take requests."""
    taken: float
    """Requests of all routers at these endpoints."""
    own: int
    """Requests of this router at these endpoints."""
    queued: float
    """Those of all routers that exceed the slots of their endpoint."""
    shortest_queue: float
    """Requests beyond the slots at the endpoint with the fewest, as a multiple of its slots."""
    is_fleet_known: bool
    """Whether recent reports of the other routers are included."""

    @property
    def is_calm(self) -> bool:
        """Whether under half of the slots are taken and nothing waits."""
        return self.queued <= 0 and 2 * self.taken < self.slots


NO_ROOM_KNOWN: Final = Room(0, 0.0, 0, 0.0, 0.0, is_fleet_known=False)


def occupancy(endpoint: Endpoint, routers: int, now: float) -> float:
    """Returns the requests of all routers at an endpoint as a multiple of its slots.

    Without a recent report of the other routers, it is the higher of what the endpoint reported
    itself and of what all routers have there if each has as many as this one. So a router that is
    cut off from its peers takes no more than an equal part of the slots.

    Args:
        endpoint: The endpoint.
        routers: Number of routers, which may be wrong.
        now: Monotonic seconds.
    """
    load: float | None = endpoint.fleet_load(now)
    if load is None:
        load = max(endpoint.reported_load(now) or 0, endpoint.in_flight * routers)
    return load / max(1, endpoint.entry.slots)


def room_of(endpoints: Collection[Endpoint], routers: int, now: float) -> Room:
    """Returns the room of a service.

    Args:
        endpoints: All endpoints of the service.
        routers: Number of routers; used only without their reports.
        now: Monotonic seconds.
    """
    usable = [e for e in endpoints if e.can_serve(now) and not e.is_suspended(now)]
    if not usable:
        return NO_ROOM_KNOWN
    is_fleet_known = any(e.fleet_load(now) is not None for e in usable)
    slots = sum(e.entry.slots for e in usable)
    if is_fleet_known:
        occupied = [(e.entry.slots, occupancy(e, 1, now)) for e in usable]
    else:
        # A router of a large fleet has less than one request at each endpoint, so that only the
        # sum over all of them says how full they are.
        mean = sum(e.in_flight for e in usable) * routers / max(1, slots)
        reported = [(e.entry.slots, e.reported_load(now)) for e in usable]
        occupied = [(slots, max(mean, (load or 0) / max(1, slots))) for slots, load in reported]
    return Room(
        slots,
        sum(slots * share for slots, share in occupied),
        sum(e.in_flight for e in usable),
        sum(slots * max(0.0, share - 1) for slots, share in occupied),
        max(0.0, min(share for _, share in occupied) - 1),
        is_fleet_known,
    )


@define(eq=False)
class ServiceTimes:
    """The times that requests of one service took, as this router observed them."""

    _first_by_prompt: dict[int, SmoothedTime] = field(factory=dict)
    """Times to the first event, divided by the factor of their band and without queueing."""
    _factor_by_band: list[float] = field(factory=lambda: [1.0] * OCCUPANCY_BANDS)
    """Time to the first event in a band of occupancy, as a multiple of that in the lowest one."""
    _rest_by_output: dict[int, SmoothedTime] = field(factory=dict)
    """Times from the first event to the end."""
    _slot_by_size: dict[RequestSize, SmoothedTime] = field(factory=dict)
    """Times for which requests held a slot."""
    _whole: SmoothedTime = field(factory=SmoothedTime)
    """Times for which requests of any size held a slot."""

    def slot_s(self, size: RequestSize | None = None) -> float:
        """Returns the mean seconds for which a request holds a slot; 0 before any is known.

        Args:
            size: Its classes; None for the mean over all requests.
        """
        held = None if size is None else self._slot_by_size.get(size)
        return self._whole.mean_s if held is None else held.mean_s

    def queue_s(self, occupied: float) -> float:
        """Returns the seconds until a slot is free at an endpoint.

        Args:
            occupied: Its requests as a multiple of its slots.
        """
        return max(0.0, occupied - 1) * self._whole.mean_s

    def expect(self, size: RequestSize, occupied: float) -> Expectation | None:
        """Returns how long a request is expected to take; None before enough were observed.

        Args:
            size: Its classes.
            occupied: Requests at the endpoint as a multiple of its slots.
        """
        first = self._first_by_prompt.get(size.prompt)
        if first is None or first.observations < MIN_OBSERVATIONS:
            return None
        queue_s = self.queue_s(occupied)
        rest = self._rest_by_output.get(size.output)
        rest_s = 0.0 if rest is None else rest.earliest_s
        # An urgent request passes the others in the queue, and some of them give up.
        earliest_s = first.earliest_s + queue_s / 2
        return Expectation(
            first.mean_s * self._factor_by_band[_band(occupied)] + queue_s,
            earliest_s,
            earliest_s + rest_s,
        )

    def record_first(self, size: RequestSize, occupied: float, seconds: float) -> None:
        """Records the time from a placement to the first event.

        Args:
            size: Classes of the request.
            occupied: Requests at the endpoint at its placement, as a multiple of its slots.
            seconds: The observed time.
        """
        service_s = max(0.0, seconds - self.queue_s(occupied))
        first = self._first_by_prompt.setdefault(size.prompt, SmoothedTime())
        band = _band(occupied)
        if band > 0 and first.observations >= MIN_OBSERVATIONS and first.mean_s > 0:
            ratio = min(MAX_BAND_FACTOR, max(MIN_BAND_FACTOR, service_s / first.mean_s))
            self._factor_by_band[band] += SMOOTHING * (ratio - self._factor_by_band[band])
        first.record(service_s / self._factor_by_band[band])

    def record_done(
        self, size: RequestSize, occupied: float, first_s: float, whole_s: float
    ) -> None:
        """Records the times from a placement to the first event and to the end of the response.

        Args:
            size: Classes of the request.
            occupied: Requests at the endpoint at its placement, as a multiple of its slots.
            first_s: Time to the first event.
            whole_s: Time to the end of the complete response.
        """
        queue_s = min(first_s, self.queue_s(occupied))
        rest_s = max(0.0, whole_s - first_s)
        self._rest_by_output.setdefault(size.output, SmoothedTime()).record(rest_s)
        self._slot_by_size.setdefault(size, SmoothedTime()).record(whole_s - queue_s)
        self._whole.record(whole_s - queue_s)


def _band(occupied: float) -> int:
    return min(OCCUPANCY_BANDS - 1, int(max(0.0, occupied) * BANDS_PER_SLOTS))
