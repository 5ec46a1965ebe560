"""The endpoints as all threads of the process share them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from attrs import define, evolve

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import Endpoint, EndpointTable
from sequoiadrum.gateway.hot_parts import HotParts
from sequoiadrum.gateway.part_memory import PartMemory
from sequoiadrum.gateway.placement import (
    MIN_SHARED_PARTS,
    PlacementFailure,
    PlacementRequest,
    choose,
    context_source,
    mean_load,
    prompt_key,
)
from sequoiadrum.gateway.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.model import EndpointEntry, ResponseHead
    from sequoiadrum.gateway.settings import Bounds


@define(eq=False)
class EndpointPlacement:
    """A request's place at an endpoint, held until it is released."""

    endpoint: Endpoint
    in_flight: int
    """Requests of this instance at the endpoint when the place was taken, this one included."""
    context_source: Endpoint | None = None
    """Has parts of the prompt that the endpoint lacks."""
    taken_at: float = 0.0
    is_released: bool = False


class EndpointPool:
    """Guards the endpoint table and the retry budgets with one lock.

    Decisions take microseconds, so that a lock costs less than a message to an owning task.
    """

    def __init__(self, bounds: Bounds, instances: Callable[[], int]) -> None:
        self._bounds = bounds
        self._instances = instances
        self._lock = threading.Lock()
        self._table = EndpointTable()
        self._parts = PartMemory()
        self._hot_parts = HotParts()
        self._budget_by_service: dict[str, RetryBudget] = {}

    def take(self, placing: PlacementRequest) -> EndpointPlacement | PlacementFailure:
        """Places a request; the place must be released."""
        now = clock.now()
        with self._lock:
            endpoints = self._table.of_service(placing.service.name)
            placing = self._with_replicas(placing, endpoints, now)
            chosen = choose(endpoints, placing, now)
            if isinstance(chosen, PlacementFailure):
                return chosen
            chosen.in_flight += 1
            chosen.started_since_load += 1
            source = self._context_source(endpoints, chosen, placing, now)
            return EndpointPlacement(chosen, chosen.in_flight, source, now)

    def release(self, place: EndpointPlacement) -> None:
        """Ends the use of a place; doing so again changes nothing."""
        with self._lock:
            if not place.is_released:
                place.is_released = True
                place.endpoint.in_flight -= 1
                self._hot_parts.record_duration(clock.now() - place.taken_at)

    def record_unreachable(self, place: EndpointPlacement) -> None:
        """Notes that no connection could be made."""
        now = clock.now()
        with self._lock:
            place.endpoint.record_unreachable(now)
            place.endpoint.record_result(failed=True, now=now)

    def record_response(self, place: EndpointPlacement, head: ResponseHead, failed: bool) -> None:
        """Notes what an answer shows of its endpoint."""
        now = clock.now()
        with self._lock:
            if head.load is not None:
                place.endpoint.record_load(head.load, now)
            if head.is_not_executed:
                place.endpoint.record_full(now)
            else:
                place.endpoint.record_result(failed, now)

    def record_exchange_failure(self, place: EndpointPlacement) -> None:
        """Notes that an exchange broke off."""
        with self._lock:
            place.endpoint.record_result(failed=True, now=clock.now())

    def record_misdirected(self, place: EndpointPlacement) -> None:
        """Notes that another endpoint answers at the address."""
        with self._lock:
            place.endpoint.is_listed = False
            place.endpoint.keep_until = 0.0

    def record_request(self, service: str) -> None:
        """Counts a client's request for the retry budget of a service."""
        with self._lock:
            self._budget(service).record_request(clock.now())

    def spend_retry(self, service: str) -> bool:
        """Takes a repeated send from the budget; False when it is used up."""
        with self._lock:
            return self._budget(service).spend(clock.now(), self._instances())

    def has_endpoints(self) -> bool:
        """Tells whether any endpoint is known."""
        with self._lock:
            return bool(self._table.by_id)

    def apply(self, entry: EndpointEntry, is_newly_joined: bool) -> bool:
        """See `EndpointTable.apply`; newcomers have just joined, as far as this router knows."""
        joined_at = clock.now() if is_newly_joined else float("-inf")
        with self._lock:
            return self._table.apply(entry, joined_at)

    def remove(self, instance_id: str, revision: int, outage_ended: float) -> bool:
        """See `EndpointTable.remove`."""
        with self._lock:
            return self._table.remove(instance_id, revision, clock.now(), outage_ended)

    def can_route_to(self, instance_id: str) -> bool:
        """Tells whether an endpoint can get requests."""
        with self._lock:
            endpoint = self._table.by_id.get(instance_id)
            return endpoint is not None and endpoint.may_serve(clock.now())

    def set_bounds(self, bounds: Bounds) -> None:
        """Puts other bounds in force; budgets that were spent stay spent."""
        with self._lock:
            self._bounds = bounds
            for budget in self._budget_by_service.values():
                budget.ratio = bounds.retry_ratio
                budget.slack = bounds.retry_slack
                budget.window_s = bounds.retry_window_s

    def expire(self) -> None:
        """Forgets what is gone for good."""
        with self._lock:
            self._table.expire(clock.now())

    def _with_replicas(
        self, placing: PlacementRequest, endpoints: list[Endpoint], now: float
    ) -> PlacementRequest:
        if placing.service.batch_slots is None or len(placing.call.prompt) < MIN_SHARED_PARTS:
            return placing
        others = self._hot_parts.record_request(prompt_key(placing.call), now)
        if not others:
            return placing
        instances = self._instances()
        mean = mean_load(endpoints, instances, now)
        return evolve(placing, replicas=self._hot_parts.replicas(others, instances, mean))

    def _context_source(
        self, endpoints: list[Endpoint], chosen: Endpoint, placing: PlacementRequest, now: float
    ) -> Endpoint | None:
        prompt = placing.call.prompt
        if placing.service.batch_slots is None or len(prompt) < MIN_SHARED_PARTS:
            return None
        first_part = self._parts.source_for(prompt[0].id, chosen, endpoints, now)
        return context_source(endpoints, chosen, placing, now) or first_part

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budget_by_service[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return budget
