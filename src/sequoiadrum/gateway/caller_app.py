"""The WSGI applications that serve callers, readiness checks, address queries and metrics."""

from __future__ import annotations

import json
import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure

from sequoiadrum.gateway import clock, stop_plan
from sequoiadrum.gateway.buffered_body import BufferedBody
from sequoiadrum.gateway.exchange import Interrupt, InterruptedWaitError
from sequoiadrum.gateway.front import ARRIVED_AT, CLOSE_AFTER_RESPONSE
from sequoiadrum.gateway.guarded_calls import GuardedCalls
from sequoiadrum.gateway.guards import REFUSED_BEFORE_SEND, lookup_guard
from sequoiadrum.gateway.model import Route
from sequoiadrum.gateway.request_run import (
    REFUSAL_MARGIN_S,
    Caller,
    CallerResponse,
    Refused,
    refusal_response,
    response_deadline,
)
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.fleet import RouterDirectory
    from sequoiadrum.gateway.model import Account, RequestHead
    from sequoiadrum.gateway.pause_detector import PauseDetector
    from sequoiadrum.gateway.ports import DirectoryCodec, HeaderCodec
    from sequoiadrum.gateway.relay import Relay
    from sequoiadrum.gateway.stop_plan import Shutdown
    from sequoiadrum.gateway.where import WhereExplainer
    from sequoiadrum.metrics import Metrics

    StartResponse = Callable[..., object]

MAX_CONFIRMATION_AGE_S: Final = 1.0
"""An unknown route or key is refused with 404 or 401 only if the configuration was confirmed as the
newest at most this long before the request arrived.

This is half of the time in which operators expect a change to take effect.
"""
UNCONFIRMED_RETRY_AFTER_S: Final = 0.4
"""`Retry-After` sent when the configuration cannot be confirmed as the newest."""
DIRECTORY_LIFETIME_S: Final = 2.0
"""How long callers may cache addresses.

Some callers cache them three times as long; a graceful shutdown waits until then.
"""
LOOKUP_THREADS: Final = 4
"""Calls to peers and the store that run for waiting requests; those that wait share their results.
"""
METRICS_PATH: Final = "/metrics"
WHERE_PATH: Final = "/where"
MAX_LOGGED_PATH_CHARS: Final = 200
KEY_FINGERPRINT_CHARS: Final = 8


class ServingState:
    """Whether this router accepts requests; written by one thread, read by any."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        pauses: PauseDetector,
        refresh_endpoints: Callable[[float], bool],
        shutdown: Shutdown,
        can_serve: Callable[[], bool],
        knows_evacuations: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the state of a router that serves.

        Args:
            configuration: The configuration in force.
            pauses: Detects that the process was suspended.
            refresh_endpoints: Applies all changes of endpoints up to a time in monotonic seconds;
                returns whether it could.
            shutdown: The shutdown of this process.
            can_serve: Returns whether the threads that serving needs can be kept running.
            knows_evacuations: Returns whether the evacuated failure domains were received once.
        """
        self.knows_evacuations: Final = knows_evacuations
        self.shutdown: Final = shutdown
        self._can_serve = can_serve
        self._configuration = configuration
        self._pauses = pauses
        self._refresh_endpoints = refresh_endpoints
        self._current_since = float("-inf")

    def is_ready(self) -> bool:
        """Returns whether callers should send requests to this router."""
        has_configuration = self._configuration.routing() is not None
        if not (has_configuration and self.knows_evacuations()):
            return False
        return not self.shutdown.has_begun and self._can_serve()

    def homes(self, host: str) -> frozenset[str]:
        """Returns the regions whose routers callers of a host should use; empty if all."""
        routing = self._configuration.routing()
        return routing.homes(host) if routing is not None else frozenset()

    def is_known_current(self) -> bool:
        """Returns whether `is_current` needs no read."""
        return self._pauses.observe(clock.now()) <= self._current_since

    def is_current(self) -> bool:
        """Returns whether configuration and endpoints were read since the last pause, if any.

        Reads them if necessary, except during a shutdown; concurrent callers share the reads.
        """
        resumed_at = self._pauses.observe(clock.now())
        if resumed_at <= self._current_since:
            return True
        if self.shutdown.has_begun:
            # The reads may take longer than the process lasts.
            return False
        if not (self._configuration.confirm(resumed_at) and self._refresh_endpoints(resumed_at)):
            return False
        self._current_since = max(self._current_since, resumed_at)
        return True


class CallerApp:
    """Serves the requests of callers."""

    def __init__(
        self,
        codec: HeaderCodec,
        configuration: ConfigurationHolder,
        relay: Relay,
        state: ServingState,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._codec = codec
        self._configuration = configuration
        self._relay = relay
        self._state = state
        self._metrics = metrics
        self._log = log
        self._lookups = GuardedCalls(LOOKUP_THREADS, "lookup")

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one request; see PEP 3333."""
        response = self._handle(environ)
        if self._state.shutdown.has_begun:
            # Callers with persistent connections send their next request to another router.
            environ[CLOSE_AFTER_RESPONSE]()
        headers = list(response.headers)
        if isinstance(response.body, bytes | BufferedBody):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} {response.reason}", headers)
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _handle(self, environ: Mapping[str, Any]) -> CallerResponse:
        decoded = self._codec.decode_request(environ)
        if isinstance(decoded, Failure):
            return self._refuse(None, Refused.BAD_REQUEST, decoded.failure())
        call = decoded.unwrap()
        try:
            return self._serve(call, environ)
        except InterruptedWaitError as error:
            if error.interrupt is Interrupt.STOPPED:
                return self._refuse_stopping(call)
            return self._refuse(call, REFUSED_BEFORE_SEND[error.interrupt])
        except Exception as error:  # An unexpected error must fail this request only.
            self._log.unexpected(call.request_id, error)
            return refusal_response(Refused.INTERNAL_ERROR)

    def _serve(self, call: RequestHead, environ: Mapping[str, Any]) -> CallerResponse:
        is_gone = environ["waitress.client_disconnected"]
        caller = Caller(arrived_at=environ[ARRIVED_AT], is_gone=is_gone)
        deadline = (
            math.inf
            if call.deadline_s is None
            else caller.arrived_at + call.deadline_s - REFUSAL_MARGIN_S
        )
        guard = lookup_guard(caller, deadline, self._state.shutdown)
        guard()
        if not (self._state.is_known_current() or self._lookups.run(self._state.is_current, guard)):
            return self._refuse(call, Refused.RESUMED, "", UNCONFIRMED_RETRY_AFTER_S)
        if not self._state.knows_evacuations():
            return self._refuse(call, Refused.EVACUATIONS_UNKNOWN, "", UNCONFIRMED_RETRY_AFTER_S)
        route = self._resolve_route(call, caller, guard)
        if not isinstance(route, Route):
            return route
        account = self._resolve_account(call, route, caller, guard)
        if isinstance(account, CallerResponse):
            return account
        deadline = response_deadline(call, route, caller)
        if not self._state.shutdown.accepts(route.kind, deadline, clock.now()):
            return self._refuse_stopping(call)
        routing = self._configuration.routing()
        assert routing is not None
        service = routing.config.service_by_name.get(routing.service(route, call.request_id))
        if service is None:
            return self._refuse(
                call, Refused.NO_ENDPOINT, "unknown service", UNCONFIRMED_RETRY_AFTER_S
            )
        body = bytes(environ["wsgi.input"].read())
        return self._relay.handle(call, body, route, service, account, caller)

    def _resolve_route(
        self, call: RequestHead, caller: Caller, guard: Callable[[], None]
    ) -> Route | CallerResponse:
        routing = self._configuration.routing()
        route = routing.route(call.host, call.path) if routing is not None else None
        if route is not None:
            return route
        if self._state.shutdown.has_begun:
            # Another router can take the time to confirm that it is missing.
            return self._refuse_stopping(call)
        # A route is known to be missing only if the configuration is confirmed as the newest.
        is_confirmed = self._confirm(caller, guard)
        routing = self._configuration.routing()
        if routing is None:
            return self._refuse(call, Refused.NO_CONFIGURATION, "", UNCONFIRMED_RETRY_AFTER_S)
        route = routing.route(call.host, call.path)
        if route is not None:
            return route
        if is_confirmed:
            return self._refuse(call, Refused.ROUTE_UNKNOWN)
        return self._refuse(call, Refused.UNCERTAIN_ROUTE, "", UNCONFIRMED_RETRY_AFTER_S)

    def _resolve_account(
        self, call: RequestHead, route: Route, caller: Caller, guard: Callable[[], None]
    ) -> Account | CallerResponse | None:
        account = self._find_account(call, route)
        if not isinstance(account, Refused):
            return account
        if self._state.shutdown.has_begun:
            return self._refuse_stopping(call)
        is_confirmed = self._confirm(caller, guard)
        account = self._find_account(call, route)
        if not isinstance(account, Refused):
            return account
        if is_confirmed:
            return self._refuse(call, Refused.KEY_UNKNOWN)
        return self._refuse(call, Refused.UNCERTAIN_KEY, "", UNCONFIRMED_RETRY_AFTER_S)

    def _confirm(self, caller: Caller, guard: Callable[[], None]) -> bool:
        since = caller.arrived_at - MAX_CONFIRMATION_AGE_S
        if self._configuration.is_confirmed(since):
            return True
        return self._lookups.run(lambda: self._configuration.confirm(since), guard)

    def _find_account(self, call: RequestHead, route: Route) -> Account | Refused | None:
        routing = self._configuration.routing()
        if routing is None:
            return Refused.KEY_UNKNOWN
        account = routing.account(call.key) if call.key is not None else None
        if account is not None or route.is_public or not routing.config.has_accounts:
            return account
        return Refused.KEY_UNKNOWN

    def _refuse_stopping(self, call: RequestHead) -> CallerResponse:
        return self._refuse(call, Refused.STOPPING, "", stop_plan.RETRY_AFTER_S)

    def _refuse(
        self,
        call: RequestHead | None,
        reason: Refused,
        detail: str = "",
        retry_after_s: float | None = None,
    ) -> CallerResponse:
        self._metrics.count("refusals_total", reason=reason.value)
        self._log.notable(
            "request_refused",
            request=call.request_id if call is not None else "",
            reason=reason.value,
            detail=detail,
            host=call.host if call is not None else None,
            path=call.path[:MAX_LOGGED_PATH_CHARS] if call is not None else None,
            key_fingerprint=key_fingerprint(call.key) if call is not None and call.key else None,
            config_version=self._configuration.version(),
            config_age_ms=int(min(1e6, self._configuration.age_s()) * 1e3),
        )
        return refusal_response(reason, detail, retry_after_s)


def key_fingerprint(key: str) -> str:
    """Returns a hash by which log lines identify an API key without revealing it."""
    return f"{stable_hash('api-key', key):016x}"[:KEY_FINGERPRINT_CHARS]


class ControlApp:
    """Serves readiness checks, queries of router addresses, and metrics."""

    def __init__(
        self,
        codec: DirectoryCodec,
        state: ServingState,
        directory: RouterDirectory,
        metrics: Metrics,
        where: WhereExplainer | None = None,
    ) -> None:
        """Creates the application.

        Args:
            codec: Paths and formats of the platform.
            state: Whether this router accepts requests.
            directory: Addresses of routers.
            metrics: Metrics of this process.
            where: Answers where a described request would go; None at ports that callers use.
        """
        self._where = where
        self._codec = codec
        self._state = state
        self._directory = directory
        self._metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one request; see PEP 3333."""
        path = environ["PATH_INFO"]
        if path == self._codec.readiness_path:
            is_ready = self._state.is_ready()
            status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return _respond(start_response, status, b"ready\n" if is_ready else b"not ready\n")
        if path == self._codec.directory_path:
            return self._respond_with_addresses(
                str(environ.get("QUERY_STRING", "")), start_response
            )
        if path == METRICS_PATH:
            return _respond(start_response, HTTPStatus.OK, self._metrics.exposition().encode())
        if path == WHERE_PATH and self._where is not None:
            return self._respond_where(str(environ.get("QUERY_STRING", "")), start_response)
        return _respond(start_response, HTTPStatus.NOT_FOUND, b"not found\n")

    def _respond_where(self, query: str, start_response: StartResponse) -> Iterable[bytes]:
        assert self._where is not None
        answer = self._where.answer(query)
        if isinstance(answer, Failure):
            text = f"{answer.failure()}\n".encode()
            return _respond(start_response, HTTPStatus.BAD_REQUEST, text)
        body = json.dumps(answer.unwrap()).encode()
        return _respond(start_response, HTTPStatus.OK, body, "application/json")

    def _respond_with_addresses(self, query: str, start_response: StartResponse) -> Iterable[bytes]:
        address_query = self._codec.decode_query(query)
        homes = self._state.homes(address_query.host)
        addresses = self._directory.answer(address_query, self._state.is_ready(), homes)
        if not addresses:
            return _respond(start_response, HTTPStatus.SERVICE_UNAVAILABLE, b"no router\n")
        body = self._codec.encode_response(addresses, DIRECTORY_LIFETIME_S)
        return _respond(start_response, HTTPStatus.OK, body, "application/json")


def _respond(
    start_response: StartResponse, status: HTTPStatus, body: bytes, content_type: str = "text/plain"
) -> list[bytes]:
    start_response(
        f"{status.value} {status.phrase}",
        [("Content-Type", content_type), ("Content-Length", str(len(body)))],
    )
    return [body]
