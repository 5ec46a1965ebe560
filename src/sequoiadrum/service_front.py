"""Service calls of the HTTP interface for callers: idempotent calls, keyed calls, key status."""

from __future__ import annotations

import re
import time
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from attrs import evolve, frozen
from returns.result import Failure

from sequoiadrum._wsgi import (
    is_decimal,
    parse_deadline,
    refusal_document,
    refuse,
    respond,
    respond_json,
)
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import KeyedCall, KeyedState
from sequoiadrum.service_client import ServiceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiadrum._wsgi import HttpRequest, StartResponse
    from sequoiadrum.interfaces import AccountLimits, ConfigSource, KeyedCalls, KeyedOutcome
    from sequoiadrum.messages import Route
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.service_relay import ServiceRelay
    from sequoiadrum.settings import Settings

_KEY: Final = re.compile(r"[\x20-\x7e]{1,200}")
_QUERY: Final = re.compile(r"[\x21-\x7e]*")
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
_KEY_REQUIRED: Final = (
    "Idempotency-Key (1 to 200 printable ASCII characters) and Idempotency-Issued-At "
    "(Unix time in milliseconds) are required"
)


@frozen
class ServiceFront:
    """Parses calls to plain services and writes their responses."""

    settings: Settings
    config: ConfigSource
    limits: AccountLimits
    services: ServiceRelay
    keyed: KeyedCalls
    metrics: Metrics

    def call(
        self, request: HttpRequest, suffix: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles `/v1/services/NAME/PATH`; `suffix` is `NAME/PATH`."""
        name, _, path = suffix.partition("/")
        account = request.header("X-Account")
        refusal = self.limits.admit(account)
        route = self.config.current().routes_by_name.get(name)
        deadline = parse_deadline(request, time.monotonic(), self.settings.request_timeout_s)
        query = str(request.environ.get("QUERY_STRING") or "")
        if refusal is None and route is None:
            refusal = Refusal(RefusalReason.ROUTE_UNKNOWN, "no such service")
        elif refusal is None and deadline is None:
            refusal = Refusal(RefusalReason.BAD_REQUEST, "X-Deadline-Ms must be a number")
        elif refusal is None and not _QUERY.fullmatch(query):
            refusal = Refusal(RefusalReason.BAD_REQUEST, "the query must be percent-encoded")
        if refusal is not None or route is None or deadline is None:
            return refuse(
                self.metrics, start_response, refusal or Refusal(RefusalReason.BAD_REQUEST)
            )
        service_request = ServiceRequest(
            method=request.method,
            path=quote(f"/{path}", safe=_PATH_SAFE) + (f"?{query}" if query else ""),
            content_type=request.content_type(),
            body=request.body(),
        )
        if not route.idempotent:
            return self._call_keyed(
                request, route, account, service_request, deadline, start_response
            )
        result = self.services.call(
            route.pool, account, service_request, deadline, request.is_disconnected
        )
        if isinstance(result, Failure):
            return refuse(self.metrics, start_response, result.failure())
        response = result.unwrap()
        return respond(start_response, response.status, response.body, response.content_type)

    def status(
        self, request: HttpRequest, service: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles `/v1/calls/NAME`: sends the known outcome of the call with an idempotency key."""
        query = request.query()
        key, issued_at = query.get("key", ""), query.get("issued_at", "")
        if not _KEY.fullmatch(key) or not is_decimal(issued_at, 15):
            refusal = Refusal(RefusalReason.KEY_MISSING, "key and issued_at are required")
            return refuse(self.metrics, start_response, refusal)
        account = request.header("X-Account")
        refused = self.limits.admit(account)
        if refused is not None:
            return refuse(self.metrics, start_response, refused)
        outcome = self.keyed.status(service, account, key, int(issued_at))
        document: dict[str, Any] = {"outcome": outcome.state.value}
        if outcome.state is KeyedState.DONE:
            document["status"] = outcome.status
            document["content_type"] = outcome.content_type
            document["body"] = outcome.body.decode("utf-8", "replace")
        if outcome.refusal is not None:
            document.update(refusal_document(outcome.refusal))
        return respond_json(start_response, 200, document)

    def _call_keyed(
        self,
        request: HttpRequest,
        route: Route,
        account: str,
        service_request: ServiceRequest,
        deadline: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        key = request.header("Idempotency-Key")
        issued_at = request.header("Idempotency-Issued-At")
        if not _KEY.fullmatch(key) or not is_decimal(issued_at, 15):
            refusal = Refusal(RefusalReason.KEY_MISSING, _KEY_REQUIRED)
            return refuse(self.metrics, start_response, refusal)
        outcome = self.keyed.submit(
            KeyedCall(
                service=route.name,
                account=account,
                key=key,
                issued_at_ms=int(issued_at),
                request=evolve(service_request, idempotency_key=f"{account}:{key}"),
                deadline=deadline,
            )
        )
        self.metrics.count("keyed_calls_total", outcome=outcome.state.value)
        return self._respond_keyed(outcome, start_response)

    def _respond_keyed(
        self, outcome: KeyedOutcome, start_response: StartResponse
    ) -> Iterable[bytes]:
        if outcome.state is KeyedState.DONE:
            headers = [("X-Outcome", outcome.state.value)]
            return respond(
                start_response, outcome.status, outcome.body, outcome.content_type, headers
            )
        if outcome.refusal is None:
            return respond_json(start_response, 202, {"outcome": outcome.state.value})
        return refuse(self.metrics, start_response, outcome.refusal)
