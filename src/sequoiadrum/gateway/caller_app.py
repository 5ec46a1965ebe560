"""The WSGI applications of a gateway."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.front import ARRIVED_AT, CLOSE_AFTER
from sequoiadrum.gateway.model import Route
from sequoiadrum.gateway.request_run import Caller, Refused, Reply, refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.fleet import RouterDirectory
    from sequoiadrum.gateway.model import Account, RequestHead
    from sequoiadrum.gateway.ports import DirectoryCodec, HeaderCodec
    from sequoiadrum.gateway.relay import Relay
    from sequoiadrum.gateway.stop_plan import StopPlan
    from sequoiadrum.metrics import Metrics

    StartResponse = Callable[..., object]

CERTAIN_S: Final = 1.0
"""A route or key is denied by a configuration that was the newest so long before the request; half
of the time in which operators expect a change to be in force."""
UNCERTAIN_PAUSE_S: Final = 0.4
"""Told to clients when the configuration cannot be confirmed."""
STOPPING_PAUSE_S: Final = 0.05
"""Told to clients of a router that stops; another one serves them."""
DIRECTORY_LIFETIME_S: Final = 2.0
"""Callers keep addresses for so long, some three times; a stop waits that out."""
METRICS_PATH: Final = "/metrics"


class ServingState:
    """Whether this router takes requests; one thread writes, any may read."""

    def __init__(self, configuration: ConfigurationHolder) -> None:
        self._configuration = configuration
        self.stop_plan: StopPlan | None = None
        """Set when a planned stop has begun."""

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.stop_plan is None and self._configuration.routing() is not None


class CallerApp:
    """Answers the requests of callers."""

    def __init__(
        self,
        wire: HeaderCodec,
        configuration: ConfigurationHolder,
        relay: Relay,
        state: ServingState,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._wire = wire
        self._configuration = configuration
        self._relay = relay
        self._state = state
        self._metrics = metrics
        self._log = log

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request; see PEP 3333."""
        reply = self._reply(environ)
        if self._state.stop_plan is not None:
            # Callers with kept connections go to another router with their next request.
            environ[CLOSE_AFTER]()
        headers = list(reply.headers)
        if isinstance(reply.body, bytes):
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(f"{reply.status} {reply.reason}", headers)
        return [reply.body] if isinstance(reply.body, bytes) else reply.body

    def _reply(self, environ: Mapping[str, Any]) -> Reply:
        decoded = self._wire.decode_request(environ)
        if isinstance(decoded, Failure):
            return self._refuse("", Refused.BAD_REQUEST, decoded.failure())
        call = decoded.unwrap()
        is_gone = environ["waitress.client_disconnected"]
        caller = Caller(arrived_at=environ[ARRIVED_AT], is_gone=is_gone)
        route = self._route(call, caller)
        if not isinstance(route, Route):
            return route
        account = self._account(call, route, caller)
        if isinstance(account, Reply):
            return account
        plan = self._state.stop_plan
        if plan is not None and not plan.accepts(route.kind, clock.now()):
            return self._refuse(call.request_id, Refused.STOPPING, "", STOPPING_PAUSE_S)
        routing = self._configuration.routing()
        assert routing is not None
        service = routing.config.service_by_name.get(routing.service(route, call.request_id))
        if service is None:
            return self._refuse(
                call.request_id, Refused.NO_ENDPOINT, "unknown service", UNCERTAIN_PAUSE_S
            )
        body = bytes(environ["wsgi.input"].read())
        return self._relay.handle(call, body, route, service, account, caller)

    def _route(self, call: RequestHead, caller: Caller) -> Route | Reply:
        routing = self._configuration.routing()
        route = routing.route(call.host, call.path) if routing is not None else None
        if route is not None:
            return route
        # Only the newest configuration can tell that a route does not exist.
        is_certain = self._configuration.confirm(caller.arrived_at - CERTAIN_S)
        routing = self._configuration.routing()
        if routing is None:
            return self._refuse(call.request_id, Refused.NO_CONFIGURATION, "", UNCERTAIN_PAUSE_S)
        route = routing.route(call.host, call.path)
        if route is not None:
            return route
        if is_certain:
            return self._refuse(call.request_id, Refused.ROUTE_UNKNOWN)
        return self._refuse(call.request_id, Refused.UNCERTAIN_ROUTE, "", UNCERTAIN_PAUSE_S)

    def _account(self, call: RequestHead, route: Route, caller: Caller) -> Account | Reply | None:
        found = self._find_account(call, route)
        if not isinstance(found, Refused):
            return found
        is_certain = self._configuration.confirm(caller.arrived_at - CERTAIN_S)
        found = self._find_account(call, route)
        if not isinstance(found, Refused):
            return found
        if is_certain:
            return self._refuse(call.request_id, Refused.KEY_UNKNOWN)
        return self._refuse(call.request_id, Refused.UNCERTAIN_KEY, "", UNCERTAIN_PAUSE_S)

    def _find_account(self, call: RequestHead, route: Route) -> Account | Refused | None:
        routing = self._configuration.routing()
        if routing is None:
            return Refused.KEY_UNKNOWN
        account = routing.account(call.key) if call.key is not None else None
        if account is not None or route.is_public or not routing.config.has_accounts:
            return account
        return Refused.KEY_UNKNOWN

    def _refuse(
        self, request_id: str, reason: Refused, detail: str = "", retry_after_s: float | None = None
    ) -> Reply:
        self._metrics.count("refusals_total", reason=reason.value)
        self._log.notable(
            "request_refused",
            request=request_id,
            reason=reason.value,
            detail=detail,
            config_version=self._configuration.version(),
            config_age_ms=int(min(1e6, self._configuration.age_s()) * 1e3),
        )
        return refusal(reason, detail, retry_after_s)


class ControlApp:
    """Answers readiness, address and metrics questions."""

    def __init__(
        self,
        wire: DirectoryCodec,
        state: ServingState,
        directory: RouterDirectory,
        metrics: Metrics,
    ) -> None:
        self._wire = wire
        self._state = state
        self._directory = directory
        self._metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request; see PEP 3333."""
        path = environ["PATH_INFO"]
        if path == self._wire.readiness_path:
            is_ready = self._state.is_ready()
            status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return _respond(start_response, status, b"ready\n" if is_ready else b"not ready\n")
        if path == self._wire.directory_path:
            return self._resolve(str(environ.get("QUERY_STRING", "")), start_response)
        if path == METRICS_PATH:
            return _respond(start_response, HTTPStatus.OK, self._metrics.exposition().encode())
        return _respond(start_response, HTTPStatus.NOT_FOUND, b"not found\n")

    def _resolve(self, query: str, start_response: StartResponse) -> Iterable[bytes]:
        question = self._wire.decode_query(query)
        addresses = self._directory.answer(question, self._state.is_ready())
        if not addresses:
            return _respond(start_response, HTTPStatus.SERVICE_UNAVAILABLE, b"no router\n")
        body = self._wire.encode_response(addresses, DIRECTORY_LIFETIME_S)
        return _respond(start_response, HTTPStatus.OK, body, "application/json")


def _respond(
    start_response: StartResponse, status: HTTPStatus, body: bytes, content_type: str = "text/plain"
) -> list[bytes]:
    start_response(
        f"{status.value} {status.phrase}",
        [("Content-Type", content_type), ("Content-Length", str(len(body)))],
    )
    return [body]
