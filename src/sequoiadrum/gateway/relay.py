"""Forwards a caller's request to endpoints and the response to the caller."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock, stop_plan
from sequoiadrum.gateway.admission_control import Outcome
from sequoiadrum.gateway.buffered_body import BufferedBody
from sequoiadrum.gateway.crash_suspects import BrokenExchange
from sequoiadrum.gateway.demand import demand_of
from sequoiadrum.gateway.event_log import loggable_parts
from sequoiadrum.gateway.exchange import (
    CONNECT_TIMEOUT_S,
    Exchange,
    ExchangeFailure,
    Interrupt,
    InterruptedWaitError,
    NotSent,
)
from sequoiadrum.gateway.guards import (
    REFUSED_BEFORE_SEND,
    body_guard,
    first_byte_guard,
    placed_guard,
    stream_guard,
    unsent_end_reason,
    unsent_guard,
)
from sequoiadrum.gateway.holds import HoldReason, come_back_s
from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.placement import (
    LimitedEndpoints,
    PlacementFailure,
    PlacementRequest,
)
from sequoiadrum.gateway.request_run import (
    Caller,
    CallerResponse,
    IncompleteStreamError,
    Refused,
    RequestRun,
    fingerprint_of,
    refusal_response,
    response_deadline,
)
from sequoiadrum.gateway.sse_framing import EventSplitter
from sequoiadrum.gateway.stream_body import StreamBody, StreamOwner, read_events
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.crash_watch import CrashWatch
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections, Transfer
    from sequoiadrum.gateway.homes import HomeRegions
    from sequoiadrum.gateway.memory_budget import ResponseMemory
    from sequoiadrum.gateway.model import Account, RequestHead, ResponseHead, Route, Service
    from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
    from sequoiadrum.gateway.ports import HeaderCodec
    from sequoiadrum.gateway.rate_limits import QuotaSource
    from sequoiadrum.gateway.requests_in_flight import RequestsInFlight
    from sequoiadrum.gateway.stop_plan import Shutdown
    from sequoiadrum.metrics import Metrics

MAX_PLAIN_RESPONSE_BYTES: Final = 8_000_000
"""Largest response of a plain service; it is buffered in memory until it is complete."""
UNREACHABLE_RETRY_AFTER_S: Final = 0.3
"""`Retry-After` sent when no endpoint is known or none can be reached, as during a restart."""
FULL_RETRY_AFTER_S: Final = 0.2
"""`Retry-After` sent when all endpoints are full: about the time of two requests."""
EVACUATED_RETRY_AFTER_S: Final = 1.0
"""`Retry-After` sent when all endpoints are evacuated or outside of the home regions, which lasts
seconds at least."""
LIMITED_RETRY_AFTER_S: Final = 0.5
"""Shortest `Retry-After` sent when endpoints named rates below the demand; others wait as well."""
MAX_ROOM_WAIT_SHARE: Final = 0.125
"""Longest wait for an endpoint that is full, as a share of the goal for the first byte."""
MAX_QUOTA_ASKS: Final = 4
"""Endpoints with a named rate that are asked for; then one without is chosen, if there is any."""
MAX_UNSENT_ATTEMPTS: Final = 6
"""Endpoints that are tried as long as no byte of the request was sent."""
MIN_CONNECT_TIMEOUT_S: Final = 0.01
"""Shortest wait for a connection to an endpoint; about five round trips."""


class Relay(StreamOwner):
    """Sends each request to endpoints until one responds or no further attempt is allowed."""

    def __init__(
        self,
        codec: HeaderCodec,
        pool: EndpointPool,
        connections: EndpointConnections,
        crashes: CrashReports,
        crash_watch: CrashWatch,
        quotas: QuotaSource,
        failure_domain: str,
        homes: HomeRegions,
        in_flight: RequestsInFlight,
        memory: ResponseMemory,
        shutdown: Shutdown,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._codec = codec
        self._in_flight = in_flight
        self._memory = memory
        self._shutdown = shutdown
        self._quotas = quotas
        self._pool = pool
        self._connections = connections
        self._crashes = crashes
        self._crash_watch = crash_watch
        self._failure_domain = failure_domain
        self._homes = homes
        self._metrics = metrics
        self._log = log

    def handle(
        self,
        call: RequestHead,
        body: bytes,
        route: Route,
        service: Service,
        account: Account | None,
        caller: Caller,
    ) -> CallerResponse:
        """Runs a request; blocks until its response begins."""
        run = RequestRun(
            call,
            body,
            route,
            service,
            account,
            caller,
            response_deadline(call, route, caller),
            fingerprint_of(call, body, account),
            holding=self._memory.open(),
            shutdown=self._shutdown,
        )
        self._in_flight.add(run)
        is_streaming = holds_body = False
        try:
            response = self._run(run)
            is_streaming = isinstance(response.body, StreamBody)
            holds_body = isinstance(response.body, BufferedBody)
        finally:
            if not is_streaming:
                self._in_flight.remove(run)
                if not holds_body:
                    run.holding.release()
        return response

    def _run(self, run: RequestRun) -> CallerResponse:
        self._pool.record_request(run.service.name)
        if self._crashes.is_refused(run.fingerprint):
            return self._refuse(run, Refused.CRASHES_ENDPOINTS)
        if run.call.last_event_id is None:
            refusal = self._admit(run)
            if refusal is not None:
                return refusal
        return self._run_attempts(run, run.call.last_event_id)

    def _admit(self, run: RequestRun) -> CallerResponse | None:
        """Returns the refusal of a request that is not admitted; None if it is."""
        if not self._pool.controls_admission():
            return None
        service = run.service.name
        admission = self._pool.admit(service, run.call, demand_of(run, self._memory.used_share()))
        self._metrics.count("admissions_total", outcome=admission.outcome.value)
        if admission.outcome is Outcome.ADMITTED:
            return None
        room = self._pool.room(service)
        detail = (
            f"{room.taken:.0f} of {room.slots} slots taken, {room.queued:.0f} requests wait,"
            f" share {admission.share:.2f}"
        )
        return self._refuse(run, Refused(admission.outcome.value), detail, admission.retry_after_s)

    def _run_attempts(self, run: RequestRun, last_event_id: str | None) -> CallerResponse:
        while True:
            outcome = self._start_exchange(run, last_event_id)
            if isinstance(outcome, CallerResponse):
                return outcome
            placement, exchange = outcome
            try:
                if run.kind.is_stream and exchange.head.status == HTTPStatus.OK:
                    response = self._begin_stream(run, placement, exchange)
                else:
                    response = self._read_response(run, placement, exchange)
            except Exception:
                exchange.close()
                self._pool.release(placement)
                raise
            if response is not None:
                return response

    def _start_exchange(
        self, run: RequestRun, last_event_id: str | None
    ) -> tuple[EndpointPlacement, Exchange] | CallerResponse:
        """Sends a request to endpoints until one begins to respond.

        Returns:
            The placement and the exchange, or the response that ends the request.
        """
        while True:
            part = self._crashes.crashing_part(run.shared_parts())
            if part is not None:
                return self._refuse_crashing_part(run, part)
            try:
                placement = self._place_request(run)
            except InterruptedWaitError as error:
                return self._refuse_ended(run, error.interrupt)
            if placement is PlacementFailure.FULL and self._wait_for_room(run):
                continue
            if isinstance(placement, PlacementFailure):
                return self._refuse_unplaced(run, placement)
            try:
                result = self._send(run, placement, last_event_id)
            except Exception:
                self._pool.release(placement)
                raise
            if isinstance(result, Exchange):
                return placement, result
            self._pool.release(placement)
            if isinstance(result, NotSent):
                if result.interrupt is Interrupt.EVACUATED:
                    self._record_event("endpoint_evacuated_before_send", run, placement)
                    continue
                if result.is_unresponsive:
                    self._handle_not_sent(run, placement, result)
                if result.interrupt is not None:
                    return self._refuse_ended(run, result.interrupt)
                if run.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                    return self._refuse_unplaced(run, PlacementFailure.UNREACHABLE)
                continue
            response = self._handle_failure(run, placement, result)
            if response is not None:
                return response

    def _wait_for_room(self, run: RequestRun) -> bool:
        """Waits once for an endpoint that refused others as full, if that ends soon.

        Returns:
            Whether it has waited; False if the wait would take too much of the goal.
        """
        if run.has_waited or run.was_sent or not self._pool.controls_admission():
            return False
        wait_s = self._pool.hold_wait_s(run.service.name)
        if not 0 < wait_s <= min(MAX_ROOM_WAIT_SHARE * run.route.goal_s, run.time_left()):
            return False
        run.has_waited = True
        self._metrics.count("room_waits_total")
        time.sleep(wait_s)
        return unsent_end_reason(run) is None

    def _place_request(self, run: RequestRun) -> EndpointPlacement | PlacementFailure:
        """Places a request at an endpoint whose rate, if it named one, permits the request.

        Raises:
            InterruptedWaitError: The request must end.
        """
        guard = unsent_guard(run)
        guard()
        for endpoint_id in self._pool.take_ended_holds():
            self._metrics.count("endpoint_holds_ended_total")
            self._log.notable("endpoint_hold_ended", endpoint=endpoint_id)
        self._record_cold_changes()
        placement_request = PlacementRequest(
            run.service,
            run.call,
            self._failure_domain,
            run.kind.is_retryable and run.attempts + 1 < run.route.max_attempts,
            tuple(run.tried),
            domains=self._homes.permitted_domains(run.route, run.account),
        )
        placement = self._pool.take(placement_request)
        for asked in range(MAX_QUOTA_ASKS):
            if isinstance(placement, PlacementFailure) or not placement.is_limited:
                return placement
            try:
                is_granted = self._acquire(run, placement)
                guard()
                if is_granted:
                    self._pool.confirm(placement, placement_request)
            except Exception:
                self._pool.cancel(placement)
                raise
            if is_granted:
                return placement
            # The endpoint is withheld from further placements until it may have room.
            self._pool.cancel(placement)
            if asked == 0:
                # The units of another engine's rate are better spent on the chats that it has
                # cached, as long as there are engines without a rate.
                spare = self._pool.take(
                    placement_request, is_repeated=True, limited=LimitedEndpoints.AVOIDED_WITH_ROOM
                )
                if not isinstance(spare, PlacementFailure):
                    return spare
            placement = self._pool.take(placement_request, is_repeated=True)
        if not isinstance(placement, PlacementFailure) and placement.is_limited:
            self._pool.cancel(placement)
            return self._pool.take(
                placement_request, is_repeated=True, limited=LimitedEndpoints.AVOIDED
            )
        return placement

    def _acquire(self, run: RequestRun, placement: EndpointPlacement) -> bool:
        """Obtains the units that a request needs for its endpoint."""
        limit = placement.cold_limit
        is_granted = (
            limit is None
            or self._quotas.acquire_cold(placement.endpoint_key, limit.permitted_per_s)
        ) and (not placement.needs_quota or self._quotas.acquire(placement.endpoint_key))
        if not is_granted:
            self._log.routine(
                "endpoint_unit_refused",
                request=run.call.request_id,
                endpoint=placement.endpoint.id,
                is_cold=limit is not None and limit.is_cold,
            )
        return is_granted

    def _record_cold_changes(self) -> None:
        for change in self._pool.cold.take_changes():
            is_cold = change.left_s > 0
            self._metrics.count("endpoint_cold_changes_total", to="cold" if is_cold else "warm")
            self._log.notable(
                "endpoint_cold" if is_cold else "endpoint_warm",
                endpoint=change.endpoint_id,
                left_ms=int(change.left_s * 1e3) if is_cold else None,
            )

    def _send(
        self, run: RequestRun, placement: EndpointPlacement, last_event_id: str | None
    ) -> Exchange | NotSent | ExchangeFailure:
        entry = placement.endpoint.entry
        headers = self._codec.encode_request(
            run.call,
            entry.instance_id,
            run.account.name if run.account else None,
            run.priority(),
            run.time_left(),
            last_event_id,
            (
                placement.context_source.entry.address
                if placement.context_source is not None
                else None
            ),
        )
        run.sent_at = clock.now()
        run.endpoint_id = placement.endpoint.id
        run.has_event = False
        evacuations = self._pool.evacuations
        send_guard = (
            unsent_guard(run)
            if evacuations is None
            else placed_guard(run, evacuations, entry.failure_domain)
        )
        result = self._connections.send(
            entry.instance_id,
            entry.address,
            run.call,
            headers,
            run.body,
            first_byte_guard(run, run.sent_at),
            run.kind.is_retryable,
            _connect_timeout_s(run),
            send_guard,
            lambda: self._pool.is_replaced(entry),
        )
        self._metrics.record_seconds("endpoint_first_byte_seconds", clock.now() - run.sent_at)
        if not isinstance(result, NotSent):
            run.attempts += 1
            run.was_sent = True
        if isinstance(result, Exchange):
            self._record_notices(run, placement, result.head)
            # Another endpoint at the address says nothing about this one.
            if result.head.status != HTTPStatus.MISDIRECTED_REQUEST:
                self._crash_watch.record_response(placement.endpoint.id, run.sent_at)
        return result

    def _record_notices(
        self, run: RequestRun, placement: EndpointPlacement, head: ResponseHead
    ) -> None:
        """Holds requests back from an endpoint that wants none, from its response's head on."""
        for name in head.unusable:
            self._metrics.count("unusable_headers_total", field=name)
            self._log.routine(
                "endpoint_header_unusable", endpoint=placement.endpoint.id, field=name
            )
        for endpoint_id, hold in self._pool.record_notices(placement, head):
            self._metrics.count("endpoint_holds_total", reason=hold.reason.value)
            is_leaving = hold.reason is HoldReason.LEAVING
            if is_leaving:
                self._connections.forget(endpoint_id)
            self._log.notable(
                "endpoint_held_back",
                request=run.call.request_id,
                endpoint=endpoint_id,
                reason=hold.reason.value,
                for_ms=None if is_leaving else int((hold.until - clock.now()) * 1e3),
                status=head.status,
            )

    def _handle_not_sent(
        self, run: RequestRun, placement: EndpointPlacement, result: NotSent
    ) -> None:
        run.unsent_attempts += 1
        run.last_error = result.detail
        run.tried.append(placement.endpoint.id)
        self._pool.record_unreachable(placement)
        self._connections.forget(placement.endpoint.id)
        self._record_event("endpoint_unreachable", run, placement, detail=result.detail)

    def _handle_failure(
        self, run: RequestRun, placement: EndpointPlacement, result: ExchangeFailure
    ) -> CallerResponse | None:
        """Handles an exchange without a complete response.

        Returns:
            The response that ends the request; None if the request is retried.
        """
        run.last_error = result.detail
        run.tried.append(placement.endpoint.id)
        reason = result.interrupt.value if result.interrupt is not None else "broken"
        self._metrics.count("exchange_failures_total", reason=reason)
        if result.transfer is not None:
            self._count_body(result.transfer, "broken")
        if result.unclear_end is not None:
            self._metrics.count("unclear_ends_total", reason=result.unclear_end.value)
        if result.interrupt in (Interrupt.CALLER_GONE, Interrupt.STOPPED):
            return self._refuse_ended(run, result.interrupt)
        if result.interrupt is Interrupt.DEADLINE:
            self._pool.record_exchange_failure(placement)
            return self._refuse_ended(run, result.interrupt)
        self._pool.record_exchange_failure(placement)
        self._record_event(
            "exchange_broken",
            run,
            placement,
            reason=reason,
            detail=result.detail,
            had_event=run.has_event,
            parts=loggable_parts(run.shared_parts()),
            **(result.transfer.log_fields() if result.transfer is not None else {}),
        )
        if result.interrupt is Interrupt.MEMORY_SHORT:
            return self._refuse(run, Refused.MEMORY_SHORT, result.detail)
        if result.interrupt in (None, Interrupt.OVERSIZED):
            self._connections.forget(placement.endpoint.id)
        if result.interrupt is None:
            self._record_broken(run, placement, result)
        if self._may_retry(run):
            return None
        return self._refuse(run, Refused.ENDPOINT_FAILED, run.last_error)

    def _record_broken(
        self, run: RequestRun, placement: EndpointPlacement, result: ExchangeFailure
    ) -> None:
        """Reports the request, and its prompt parts, if its endpoint has crashed while it ran."""
        exchange = BrokenExchange(
            placement.endpoint.entry,
            run.call.request_id,
            run.fingerprint,
            run.shared_parts(),
            run.sent_at,
            clock.now(),
        )
        self._crash_watch.record_broken(exchange, result.is_lost)

    def _record_completion(self, run: RequestRun, parts: Sequence[str]) -> None:
        sent_s_ago = clock.now() - run.sent_at
        self._crashes.record_completion(run.fingerprint, parts, sent_s_ago)

    def _may_retry(self, run: RequestRun) -> bool:
        """Spends a retry of a request that may have run; returns False if none is allowed."""
        if not run.kind.is_retryable or run.attempts >= run.route.max_attempts:
            return False
        if unsent_end_reason(run) is not None or self._crashes.is_refused(run.fingerprint):
            return False
        if self._crashes.crashing_part(run.shared_parts()) is not None:
            return False
        return self._spend_retry(run)

    def _spend_retry(self, run: RequestRun) -> bool:
        allowed = self._pool.spend_retry(run.service.name)
        outcome = "allowed" if allowed else "budget_used_up"
        self._metrics.count("repeats_total", outcome=outcome)
        return allowed

    def _read_response(
        self, run: RequestRun, placement: EndpointPlacement, exchange: Exchange
    ) -> CallerResponse | None:
        """Reads a complete response; returns None if the request is retried."""
        exchange.set_guard(body_guard(run))
        head = exchange.head
        body = exchange.read_all(MAX_PLAIN_RESPONSE_BYTES, run.holding)
        self._pool.release(placement)
        if isinstance(body, ExchangeFailure):
            return self._handle_failure(run, placement, body)
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._record_response(run, placement, head, failed)
        if head.is_not_executed:
            return self._handle_rejection(run, placement, head)
        # Errors and unsigned responses do not show that an engine processed the prompt.
        is_answer = head.is_sealed and head.status < HTTPStatus.MULTIPLE_CHOICES
        self._record_completion(run, run.shared_parts() if is_answer else ())
        if head.status < HTTPStatus.MULTIPLE_CHOICES and not head.is_sealed:
            self._record_event("answer_unsealed", run, placement, status=head.status)
            if self._may_retry_after(run, placement):
                return None
            return self._refuse(run, Refused.ENDPOINT_FAILED, "the answer is not signed")
        if failed and self._may_retry_after(run, placement):
            self._record_event("endpoint_error_repeated", run, placement, status=head.status)
            return None
        self._record_served(run, placement, head, exchange.transfer())
        headers = head.headers
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
            advice_s = max(FULL_RETRY_AFTER_S, self._come_back_s(run))
            headers = (*headers, ("Retry-After", f"{advice_s:.2f}"))
        return CallerResponse(head.status, head.reason, headers, BufferedBody(body, run.holding))

    def _may_retry_after(self, run: RequestRun, placement: EndpointPlacement) -> bool:
        run.tried.append(placement.endpoint.id)
        return self._may_retry(run)

    def _handle_rejection(
        self, run: RequestRun, placement: EndpointPlacement, head: ResponseHead
    ) -> CallerResponse | None:
        """Handles a response that states that the endpoint did not run the request.

        Returns:
            The response that ends the request; None if the request is retried.
        """
        run.attempts -= 1
        run.was_sent = run.attempts > 0
        run.tried.append(placement.endpoint.id)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._pool.record_misdirected(placement)
            self._connections.forget(placement.endpoint.id)
        self._record_event("endpoint_rejected", run, placement, status=head.status)
        interrupt = unsent_end_reason(run)
        if interrupt is not None:
            return self._refuse_ended(run, interrupt)
        if self._spend_retry(run):
            return None
        if run.was_sent:
            return self._refuse(run, Refused.ENDPOINT_FAILED, "a repeat was rejected")
        if self._pool.hold_wait_s(run.service.name) > 0 and head.retry_after_s is not None:
            return self._refuse_unplaced(run, PlacementFailure.TURNED_AWAY)
        return self._refuse(
            run, Refused.ENDPOINTS_FULL, retry_after_s=self._full_retry_after_s(run)
        )

    def _full_retry_after_s(self, run: RequestRun) -> float:
        if not self._pool.controls_admission():
            return FULL_RETRY_AFTER_S
        return self._pool.return_after_s(
            run.service.name, demand_of(run, self._memory.used_share())
        )

    def _begin_stream(
        self, run: RequestRun, placement: EndpointPlacement, exchange: Exchange
    ) -> CallerResponse | None:
        """Waits for the first bytes of a stream; a retryable request can be retried until then.

        Returns:
            The response to the caller; None if the request is retried.
        """
        head = exchange.head
        splitter = EventSplitter(
            run.call.last_event_id, holds_partial=run.kind is RequestKind.RESUMABLE_STREAM
        )
        first = read_events(run, exchange, splitter)
        if isinstance(first, ExchangeFailure):
            self._pool.release(placement)
            return self._handle_failure(run, placement, first)
        if not head.is_sealed:
            exchange.close()
            self._pool.release(placement)
            self._record_event("answer_unsealed", run, placement, status=head.status)
            if self._may_retry_after(run, placement):
                return None
            return self._refuse(run, Refused.ENDPOINT_FAILED, "the answer is not signed")
        self._record_response(run, placement, head, failed=False)
        run.progress_at = clock.now()
        exchange.set_guard(stream_guard(run))
        body = StreamBody(self, run, placement, exchange, splitter, first)
        return CallerResponse(head.status, head.reason, head.headers, body)

    def continue_stream(
        self,
        run: RequestRun,
        placement: EndpointPlacement,
        failure: ExchangeFailure,
        last_event_id: str | None,
    ) -> tuple[EndpointPlacement, Exchange]:
        """See `StreamOwner.continue_stream`."""
        response = self._handle_failure(run, placement, failure)
        while response is None:
            outcome = self._start_exchange(run, last_event_id)
            if isinstance(outcome, CallerResponse):
                break
            next_placement, exchange = outcome
            head = exchange.head
            if head.status == HTTPStatus.OK and head.is_sealed:
                self._record_response(run, next_placement, head, failed=False)
                self._record_event("stream_continued", run, next_placement, after=last_event_id)
                run.progress_at = clock.now()
                exchange.set_guard(stream_guard(run))
                return next_placement, exchange
            exchange.close()
            self._pool.release(next_placement)
            self._record_response(run, next_placement, head, failed=True)
            self._record_event("endpoint_rejected", run, next_placement, status=head.status)
            run.tried.append(next_placement.endpoint.id)
            if head.is_not_executed:
                run.attempts -= 1
            if not self._may_retry(run):
                break
        self._metrics.count("streams_broken_total")
        raise IncompleteStreamError(run.last_error)

    def end_stream(
        self,
        run: RequestRun,
        placement: EndpointPlacement,
        head: ResponseHead,
        transfer: Transfer,
    ) -> None:
        """See `StreamOwner.end_stream`."""
        self._record_completion(run, run.shared_parts())
        self._record_served(run, placement, head, transfer)

    def record_unexpected(self, run: RequestRun, error: Exception) -> None:
        """See `StreamOwner.record_unexpected`."""
        self._log.unexpected(run.call.request_id, error)

    def release(self, placement: EndpointPlacement) -> None:
        """See `StreamOwner.release`."""
        self._pool.release(placement)

    def forget(self, run: RequestRun) -> None:
        """See `StreamOwner.forget`."""
        self._in_flight.remove(run)
        run.holding.release()

    def _refuse_ended(self, run: RequestRun, why: Interrupt) -> CallerResponse:
        if why is Interrupt.STOPPED:
            return self._refuse_stopped(run)
        if why is Interrupt.DEADLINE and run.was_sent:
            return self._refuse(run, Refused.DEADLINE, run.last_error)
        return self._refuse(run, REFUSED_BEFORE_SEND[why], run.last_error)

    def _refuse_stopped(self, run: RequestRun) -> CallerResponse:
        if run.was_sent:
            return self._refuse(run, Refused.STOPPED, run.last_error)
        return self._refuse(run, Refused.STOPPING, run.last_error, stop_plan.RETRY_AFTER_S)

    def _refuse_crashing_part(self, run: RequestRun, part: str) -> CallerResponse:
        detail = f"prompt part {loggable_parts([part])[0]}"
        if run.was_sent:
            return self._refuse(run, Refused.ENDPOINT_FAILED, f"{run.last_error}; {detail}")
        return self._refuse(run, Refused.CRASHING_PART, detail)

    def _refuse_unplaced(self, run: RequestRun, why: PlacementFailure) -> CallerResponse:
        if run.was_sent:
            return self._refuse(run, Refused.ENDPOINT_FAILED, run.last_error or why.value)
        if why is PlacementFailure.FULL:
            wait_s = self._full_retry_after_s(run)
            return self._refuse(run, Refused.ENDPOINTS_FULL, run.last_error, wait_s)
        reason, retry_after_s = {
            PlacementFailure.UNKNOWN_SERVICE: (Refused.NO_ENDPOINT, UNREACHABLE_RETRY_AFTER_S),
            PlacementFailure.UNREACHABLE: (
                Refused.ENDPOINTS_UNREACHABLE,
                UNREACHABLE_RETRY_AFTER_S,
            ),
            PlacementFailure.TURNED_AWAY: (
                Refused.ENDPOINTS_TURNED_AWAY,
                self._come_back_s(run),
            ),
            PlacementFailure.RATE_LIMITED: (
                Refused.ENDPOINTS_LIMITED,
                self._quota_wait_s(run),
            ),
            PlacementFailure.EVACUATED: (Refused.ENDPOINTS_EVACUATED, EVACUATED_RETRY_AFTER_S),
            PlacementFailure.OUTSIDE_HOMES: (
                Refused.NO_ENDPOINT_AT_HOME,
                EVACUATED_RETRY_AFTER_S,
            ),
        }[why]
        return self._refuse(run, reason, run.last_error, retry_after_s)

    def _come_back_s(self, run: RequestRun) -> float:
        """Returns the seconds after which a caller should come back, spread over the callers."""
        share = (stable_hash("come-back", run.call.request_id) % 1_000) / 1_000
        return come_back_s(self._pool.hold_wait_s(run.service.name), share)

    def _quota_wait_s(self, run: RequestRun) -> float:
        """Returns the seconds after which a request may find a unit of a rate."""
        wait_s = max(LIMITED_RETRY_AFTER_S, self._pool.quota_wait_s(run.service.name))
        if run.service.cold_requests_per_s <= 0:
            return wait_s
        share = (stable_hash("quota", run.call.request_id) % 1_000) / 1_000
        return come_back_s(wait_s, share)

    def _refuse(
        self, run: RequestRun, reason: Refused, detail: str = "", retry_after_s: float | None = None
    ) -> CallerResponse:
        self._metrics.count("refusals_total", reason=reason.value)
        self._log.notable(
            "request_refused",
            request=run.call.request_id,
            route=run.route.name,
            service=run.service.name,
            reason=reason.value,
            detail=detail,
            attempts=run.attempts,
            tried=run.tried,
            age_ms=run.age_ms(),
            left_ms=int(run.time_left() * 1e3),
            timeout_ms=int(run.route.timeout_s * 1e3),
            client_wait_ms=int(run.call.deadline_s * 1e3) if run.call.deadline_s else None,
        )
        return refusal_response(reason, detail, retry_after_s)

    def _record_response(
        self, run: RequestRun, placement: EndpointPlacement, head: ResponseHead, failed: bool
    ) -> None:
        if self._pool.record_response(placement, head, failed):
            self._record_event("endpoint_limit_changed", run, placement, rate_limit=head.rate_limit)
        error_s = placement.estimate_error_s()
        if error_s is not None:
            self._metrics.record_seconds("first_event_estimate_error_seconds", abs(error_s))
            sign = "late" if error_s > 0 else "early"
            self._metrics.count("first_events_estimated_total", than_expected=sign)

    def _count_body(self, transfer: Transfer, outcome: str) -> None:
        self._metrics.count(
            "response_bodies_total", framing=transfer.framing.value, outcome=outcome
        )

    def _record_served(
        self,
        run: RequestRun,
        placement: EndpointPlacement,
        head: ResponseHead,
        transfer: Transfer,
    ) -> None:
        self._count_body(transfer, "whole")
        self._pool.record_done(placement)
        now = clock.now()
        age_s = now - run.caller.arrived_at
        if run.first_event_at is None:
            run.record_event(now)
        assert run.first_event_at is not None
        late_by = run.late_by()
        if late_by is not None:
            self._metrics.count("late_responses_total", missed=late_by)
        self._metrics.count("requests_total", status=str(head.status))
        self._metrics.record_seconds("request_seconds", age_s)
        self._log.routine(
            "request_served",
            request=run.call.request_id,
            route=run.route.name,
            endpoint=placement.endpoint.id,
            in_flight=placement.in_flight,
            fleet_load=placement.fleet_load,
            rate_limit=head.rate_limit,
            is_cold=(placement.cold_limit is not None and placement.cold_limit.is_cold) or None,
            context_from=(
                placement.context_source.id if placement.context_source is not None else None
            ),
            entry_revision=placement.endpoint.entry.revision,
            attempts=run.attempts,
            status=head.status,
            ms=int(age_s * 1e3),
            sent_ms=int((run.sent_at - run.caller.arrived_at) * 1e3),
            first_ms=int((run.first_event_at - run.caller.arrived_at) * 1e3),
            longest_pause_ms=int(run.longest_pause_s * 1e3),
            expected_first_ms=placement.expected_first_ms(),
            occupied=round(placement.stay.occupied, 2) if placement.stay is not None else None,
            **transfer.log_fields(),
        )

    def _record_event(
        self, event: str, run: RequestRun, placement: EndpointPlacement, **fields: object
    ) -> None:
        self._metrics.count("endpoint_events_total", event=event)
        self._log.notable(
            event,
            request=run.call.request_id,
            endpoint=placement.endpoint.id,
            entry_revision=placement.endpoint.entry.revision,
            attempt=run.attempts,
            age_ms=run.age_ms(),
            **fields,
        )


def _connect_timeout_s(run: RequestRun) -> float:
    """Returns the longest wait for a connection, which ends before the request does."""
    left_s = min(run.deadline, run.shutdown.responses_due_at()) - clock.now()
    return max(MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, left_s))
