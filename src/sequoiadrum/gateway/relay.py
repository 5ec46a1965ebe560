"""Carries one request of a client to endpoints and the answer back."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import Broken, Exchange, Interrupt, NotSent
from sequoiadrum.gateway.guards import body_guard, first_byte_guard
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.request_run import (
    Caller,
    Refused,
    Reply,
    RequestRun,
    StreamBrokenError,
    fingerprint_of,
    refusal,
)
from sequoiadrum.gateway.sse_framing import EventSplitter
from sequoiadrum.gateway.stream_body import StreamBody, StreamOwner, passable

if TYPE_CHECKING:
    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.exchange import EndpointConnections
    from sequoiadrum.gateway.model import Account, RequestHead, ResponseHead, Route, Service
    from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
    from sequoiadrum.gateway.ports import HeaderCodec
    from sequoiadrum.metrics import Metrics

PLAIN_ANSWER_BYTES: Final = 8_000_000
"""Largest answer of a plain service that is held in memory until it is whole."""
RESTART_PAUSE_S: Final = 0.3
"""Told to clients when endpoints restart or cannot be reached."""
FULL_PAUSE_S: Final = 0.2
"""Told to clients when all endpoints are full: about two requests' work."""
UNSENT_TRIES: Final = 6
"""Endpoints that are tried as long as no byte of the request has left."""
REFUSAL_MARGIN_S: Final = 0.02
"""An answer leaves this long before the client stops waiting."""


class Relay(StreamOwner):
    """Sends requests to endpoints until one answers or nothing more may be tried."""

    def __init__(
        self,
        wire: HeaderCodec,
        pool: EndpointPool,
        connections: EndpointConnections,
        crashes: CrashReports,
        failure_domain: str,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._wire = wire
        self._pool = pool
        self._connections = connections
        self._crashes = crashes
        self._failure_domain = failure_domain
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
    ) -> Reply:
        """Carries out a request; blocks until its answer begins."""
        wait_s = route.timeout_s
        if call.deadline_s is not None:
            wait_s = min(wait_s, call.deadline_s - REFUSAL_MARGIN_S)
        fingerprint = fingerprint_of(call, body, account)
        run = RequestRun(
            call, body, route, service, account, caller, caller.arrived_at + wait_s, fingerprint
        )
        self._pool.record_request(service.name)
        if self._crashes.is_refused(fingerprint):
            return self._refuse(run, Refused.CRASHES_ENDPOINTS)
        return self._attempt(run, call.last_event_id)

    def _attempt(self, run: RequestRun, last_event_id: str | None) -> Reply:
        while True:
            outcome = self._start(run, last_event_id)
            if isinstance(outcome, Reply):
                return outcome
            place, exchange = outcome
            if run.kind.is_stream and exchange.head.status == HTTPStatus.OK:
                reply = self._begin_stream(run, place, exchange)
            else:
                reply = self._plain(run, place, exchange)
            if reply is not None:
                return reply

    def _start(
        self, run: RequestRun, last_event_id: str | None
    ) -> tuple[EndpointPlacement, Exchange] | Reply:
        """Finds an endpoint that begins to answer, or the reply that ends the request."""
        while True:
            if run.time_left() <= 0:
                return self._out_of_time(run)
            place = self._place(run)
            if isinstance(place, PlacementFailure):
                return self._no_place(run, place)
            result = self._send(run, place, last_event_id)
            if isinstance(result, Exchange):
                return place, result
            self._pool.release(place)
            if isinstance(result, NotSent):
                self._after_not_sent(run, place, result)
                if run.unsent >= UNSENT_TRIES:
                    return self._no_place(run, PlacementFailure.UNREACHABLE)
                continue
            reply = self._after_broken(run, place, result)
            if reply is not None:
                return reply

    def _place(self, run: RequestRun) -> EndpointPlacement | PlacementFailure:
        placing = PlacementRequest(
            run.service,
            run.call,
            self._failure_domain,
            run.kind.is_retryable and run.attempts + 1 < run.route.max_attempts,
            tuple(run.tried),
        )
        return self._pool.take(placing)

    def _send(
        self, run: RequestRun, place: EndpointPlacement, last_event_id: str | None
    ) -> Exchange | NotSent | Broken:
        entry = place.endpoint.entry
        headers = self._wire.encode_request(
            run.call,
            entry.instance_id,
            run.account.name if run.account else None,
            run.priority(),
            run.time_left(),
            last_event_id,
            place.context_source.entry.address if place.context_source is not None else None,
        )
        started = clock.now()
        result = self._connections.send(
            entry.instance_id,
            entry.address,
            run.call,
            headers,
            run.body,
            first_byte_guard(run, started),
            run.kind.is_retryable,
        )
        self._metrics.record_seconds("endpoint_first_byte_seconds", clock.now() - started)
        if not isinstance(result, NotSent):
            run.attempts += 1
            run.was_sent = True
        return result

    def _after_not_sent(self, run: RequestRun, place: EndpointPlacement, result: NotSent) -> None:
        run.unsent += 1
        run.last_error = result.detail
        run.tried.append(place.endpoint.id)
        self._pool.record_unreachable(place)
        self._connections.forget(place.endpoint.id)
        self._note("endpoint_unreachable", run, place, detail=result.detail)

    def _after_broken(
        self, run: RequestRun, place: EndpointPlacement, result: Broken
    ) -> Reply | None:
        """Decides after an exchange without an answer; None sends the request again."""
        run.last_error = result.detail
        run.tried.append(place.endpoint.id)
        if result.interrupt is Interrupt.CALLER_GONE:
            return self._refuse(run, Refused.CALLER_GONE)
        if result.interrupt is Interrupt.DEADLINE:
            self._pool.record_exchange_failure(place)
            return self._out_of_time(run)
        self._pool.record_exchange_failure(place)
        self._note("exchange_broken", run, place, detail=result.detail)
        if result.interrupt is None:
            self._connections.forget(place.endpoint.id)
            self._crashes.record_crash(place.endpoint.id, run.fingerprint)
        if self._may_retry(run):
            return None
        return self._refuse(run, Refused.ENDPOINT_FAILED, run.last_error)

    def _may_retry(self, run: RequestRun) -> bool:
        """Decides whether a request that may have run is sent again."""
        if not run.kind.is_retryable or run.attempts >= run.route.max_attempts:
            return False
        if run.time_left() <= 0 or self._crashes.is_refused(run.fingerprint):
            return False
        return self._spend_retry(run)

    def _spend_retry(self, run: RequestRun) -> bool:
        allowed = self._pool.spend_retry(run.service.name)
        outcome = "allowed" if allowed else "budget_used_up"
        self._metrics.count("repeats_total", outcome=outcome)
        return allowed

    def _plain(self, run: RequestRun, place: EndpointPlacement, exchange: Exchange) -> Reply | None:
        """Reads a whole answer; None when the request is to be sent again."""
        exchange.set_guard(body_guard(run))
        head = exchange.head
        body = exchange.read_all(PLAIN_ANSWER_BYTES)
        self._pool.release(place)
        if isinstance(body, Broken):
            return self._after_broken(run, place, body)
        failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._pool.record_response(place, head, failed)
        if head.is_not_executed:
            return self._after_rejection(run, place, head)
        self._crashes.record_completion(run.fingerprint)
        if head.status < HTTPStatus.MULTIPLE_CHOICES and not head.is_sealed:
            self._note("answer_unsealed", run, place, status=head.status)
            if self._may_retry_after(run, place):
                return None
            return self._refuse(run, Refused.ENDPOINT_FAILED, "the answer is not signed")
        if failed and self._may_retry_after(run, place):
            self._note("endpoint_error_repeated", run, place, status=head.status)
            return None
        self._served(run, place, head)
        return Reply(head.status, head.reason, head.headers, body)

    def _may_retry_after(self, run: RequestRun, place: EndpointPlacement) -> bool:
        run.tried.append(place.endpoint.id)
        return self._may_retry(run)

    def _after_rejection(
        self, run: RequestRun, place: EndpointPlacement, head: ResponseHead
    ) -> Reply | None:
        """The endpoint did not run the request, which may go to another one."""
        run.attempts -= 1
        run.was_sent = run.attempts > 0
        run.tried.append(place.endpoint.id)
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._pool.record_misdirected(place)
            self._connections.forget(place.endpoint.id)
        self._note("endpoint_rejected", run, place, status=head.status)
        if run.time_left() > 0 and self._spend_retry(run):
            return None
        if run.was_sent:
            return self._refuse(run, Refused.ENDPOINT_FAILED, "a repeat was rejected")
        return self._refuse(run, Refused.ENDPOINTS_FULL, retry_after_s=FULL_PAUSE_S)

    def _begin_stream(
        self, run: RequestRun, place: EndpointPlacement, exchange: Exchange
    ) -> Reply | None:
        """Waits for the first bytes of a stream, so that it can still be sent elsewhere."""
        head = exchange.head
        splitter = EventSplitter(run.call.last_event_id)
        first = self._first_bytes(run, exchange, splitter)
        if isinstance(first, Broken):
            self._pool.release(place)
            return self._after_broken(run, place, first)
        if not head.is_sealed:
            exchange.close()
            self._pool.release(place)
            self._note("answer_unsealed", run, place, status=head.status)
            if self._may_retry_after(run, place):
                return None
            return self._refuse(run, Refused.ENDPOINT_FAILED, "the answer is not signed")
        self._pool.record_response(place, head, failed=False)
        exchange.set_guard(body_guard(run))
        body = StreamBody(self, run, place, exchange, splitter, first)
        return Reply(head.status, head.reason, head.headers, body)

    @staticmethod
    def _first_bytes(
        run: RequestRun, exchange: Exchange, splitter: EventSplitter
    ) -> bytes | Broken:
        while True:
            data = exchange.read()
            if isinstance(data, Broken) or not data:
                return data
            data = passable(run, splitter, data)
            if data:
                return data

    def continue_stream(
        self, run: RequestRun, place: EndpointPlacement, broken: Broken, last_event_id: str | None
    ) -> tuple[EndpointPlacement, Exchange]:
        """See `StreamOwner.continue_stream`."""
        reply = self._after_broken(run, place, broken)
        while reply is None:
            outcome = self._start(run, last_event_id)
            if isinstance(outcome, Reply):
                break
            next_place, exchange = outcome
            head = exchange.head
            if head.status == HTTPStatus.OK and head.is_sealed:
                self._pool.record_response(next_place, head, failed=False)
                self._note("stream_continued", run, next_place, after=last_event_id)
                exchange.set_guard(body_guard(run))
                return next_place, exchange
            exchange.close()
            self._pool.release(next_place)
            self._pool.record_response(next_place, head, failed=True)
            self._note("endpoint_rejected", run, next_place, status=head.status)
            run.tried.append(next_place.endpoint.id)
            if head.is_not_executed:
                run.attempts -= 1
            if not self._may_retry(run):
                break
        self._metrics.count("streams_broken_total")
        raise StreamBrokenError(run.last_error)

    def end_stream(self, run: RequestRun, place: EndpointPlacement, head: ResponseHead) -> None:
        """See `StreamOwner.end_stream`."""
        self._crashes.record_completion(run.fingerprint)
        self._served(run, place, head)

    def release(self, place: EndpointPlacement) -> None:
        """See `StreamOwner.release`."""
        self._pool.release(place)

    def _out_of_time(self, run: RequestRun) -> Reply:
        if run.was_sent:
            return self._refuse(run, Refused.DEADLINE, run.last_error)
        return self._refuse(run, Refused.DEADLINE_BEFORE_SEND, run.last_error)

    def _no_place(self, run: RequestRun, why: PlacementFailure) -> Reply:
        if run.was_sent:
            return self._refuse(run, Refused.ENDPOINT_FAILED, run.last_error or why.value)
        reason, pause_s = {
            PlacementFailure.UNKNOWN_SERVICE: (Refused.NO_ENDPOINT, RESTART_PAUSE_S),
            PlacementFailure.UNREACHABLE: (Refused.ENDPOINTS_UNREACHABLE, RESTART_PAUSE_S),
            PlacementFailure.FULL: (Refused.ENDPOINTS_FULL, FULL_PAUSE_S),
        }[why]
        return self._refuse(run, reason, run.last_error, pause_s)

    def _refuse(
        self, run: RequestRun, reason: Refused, detail: str = "", retry_after_s: float | None = None
    ) -> Reply:
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
        return refusal(reason, detail, retry_after_s)

    def _served(self, run: RequestRun, place: EndpointPlacement, head: ResponseHead) -> None:
        age_s = clock.now() - run.caller.arrived_at
        self._metrics.count("requests_total", status=str(head.status))
        self._metrics.record_seconds("request_seconds", age_s)
        self._log.routine(
            "request_served",
            request=run.call.request_id,
            route=run.route.name,
            endpoint=place.endpoint.id,
            in_flight=place.in_flight,
            context_from=place.context_source.id if place.context_source is not None else None,
            entry_revision=place.endpoint.entry.revision,
            attempts=run.attempts,
            status=head.status,
            ms=int(age_s * 1e3),
        )

    def _note(
        self, event: str, run: RequestRun, place: EndpointPlacement, **fields: object
    ) -> None:
        self._metrics.count("endpoint_events_total", event=event)
        self._log.notable(
            event,
            request=run.call.request_id,
            endpoint=place.endpoint.id,
            entry_revision=place.endpoint.entry.revision,
            attempt=run.attempts,
            age_ms=run.age_ms(),
            **fields,
        )
