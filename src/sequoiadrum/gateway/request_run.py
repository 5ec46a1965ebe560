"""The state of a request while the gateway runs it, and the responses that the gateway creates."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.stop_plan import Shutdown
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiadrum.gateway.memory_budget import Holding
    from sequoiadrum.gateway.model import Account, RequestHead, RequestKind, Route, Service


REFUSAL_MARGIN_S: Final = 0.02
"""A request that is not complete in time is refused this long before its caller stops waiting."""


class Refused(Enum):
    """Why the gateway refuses a request or reports its failure; each reason has a counter."""

    BAD_REQUEST = "bad_request"
    NO_CONFIGURATION = "no_configuration"
    UNCERTAIN_ROUTE = "uncertain_route"
    """The route is unknown to this router, but a newer configuration may contain it."""
    UNCERTAIN_KEY = "uncertain_key"
    """The key is unknown to this router, but a newer configuration may contain it."""
    ROUTE_UNKNOWN = "route_unknown"
    KEY_UNKNOWN = "key_unknown"
    RESUMED = "resumed"
    """The router was suspended and cannot read yet what has changed meanwhile."""
    STOPPING = "stopping"
    STOPPED = "stopped"
    """The router ends before the response has begun; the request may have run."""
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_UNREACHABLE = "endpoints_unreachable"
    ENDPOINTS_FULL = "endpoints_full"
    ENDPOINTS_TURNED_AWAY = "endpoints_turned_away"
    """All endpoints are held back, at least one because it named a time without requests."""
    ENDPOINTS_LIMITED = "endpoints_limited"
    """All endpoints take fewer requests than there are, by the rates that they named."""
    ENDPOINTS_EVACUATED = "endpoints_evacuated"
    """All endpoints are in failure domains that are evacuated."""
    NO_ENDPOINT_AT_HOME = "no_endpoint_at_home"
    """All endpoints are outside of the home regions of the route or of the account."""
    EVACUATIONS_UNKNOWN = "evacuations_unknown"
    """This router has started and does not know yet which failure domains are evacuated."""
    TOO_LATE = "too_late"
    """The response would begin or end after the caller has given up, by all that is known."""
    ACCOUNT_SHARE = "account_share"
    """All slots of the service are taken, and the account sends more than its part."""
    URGENT_FIRST = "urgent_first"
    """All slots of the service are taken, and more urgent requests need them."""
    BYTES_HELD = "bytes_held"
    """The router holds many bytes for others and keeps the rest for more urgent requests."""
    CRASHES_ENDPOINTS = "crashes_endpoints"
    CRASHING_PART = "crashing_part"
    """Other requests with one of its prompt parts crashed engines."""
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    MEMORY_SHORT = "memory_short"
    """The response was cut off because all responses together take too much memory."""
    CALLER_GONE = "caller_gone"
    INTERNAL_ERROR = "internal_error"
    """An unexpected error; the request may have run."""


_STATUS_BY_REASON: Final = {
    Refused.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Refused.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    Refused.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    Refused.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Refused.STOPPED: HTTPStatus.GATEWAY_TIMEOUT,
    Refused.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    Refused.MEMORY_SHORT: HTTPStatus.BAD_GATEWAY,
    Refused.CALLER_GONE: HTTPStatus.BAD_GATEWAY,
    Refused.INTERNAL_ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""All other reasons map to 503, which guarantees that the request did not run and will not run."""


@frozen
class CallerResponse:
    """A response to the caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes]
    """Bytes, or an iterable that raises `IncompleteStreamError` if the stream cannot continue."""


class IncompleteStreamError(Exception):
    """A stream cannot be completed; the caller's connection must close without a regular end."""


@define(eq=False)
class Caller:
    """The caller that sent one request."""

    arrived_at: float
    """Monotonic seconds at which the first byte of the request was read."""
    is_gone: Callable[[], bool]
    """Returns whether the caller has disconnected."""


@define(eq=False)
class RequestRun:
    """The state of one request, from its arrival to the end of its response."""

    call: RequestHead
    body: bytes
    route: Route
    service: Service
    account: Account | None
    caller: Caller
    deadline: float
    """Monotonic seconds at which the response must be complete."""
    fingerprint: str
    """Hash of the content; retries of the same request share it."""
    attempts: int = 0
    """Attempts in which an endpoint may have started to run the request."""
    unsent_attempts: int = 0
    """Attempts that failed before any byte of the request was sent."""
    tried: list[str] = field(factory=list)
    """Ids of the endpoints of all failed attempts."""
    was_sent: bool = False
    """Whether bytes were sent to an endpoint that has not reported the request as not executed."""
    has_waited: bool = False
    """Whether it has waited for a slot at an endpoint."""
    last_error: str = ""
    progress_at: float = 0.0
    """Monotonic seconds at which the last event of a stream was complete."""
    first_event_at: float | None = None
    """Monotonic seconds at which the first event, or the whole response, was complete."""
    longest_pause_s: float = 0.0
    """Longest time between two events of a stream."""
    accepted_at: float = field(factory=clock.now)
    """Monotonic seconds at which the whole request was accepted."""
    sent_at: float = 0.0
    """Monotonic seconds at which the current attempt was sent; 0 before the first one."""
    endpoint_id: str = ""
    """Id of the endpoint of the current attempt."""
    has_event: bool = False
    """Whether the endpoint of the current attempt has sent a complete event."""
    holding: Holding = field(kw_only=True)
    """The bytes that the response holds in memory."""
    shutdown: Shutdown = field(factory=Shutdown)
    """The shutdown of this process; it ends a request whose response has not begun."""

    @property
    def kind(self) -> RequestKind:
        """Kind of the route; decides whether a request may be retried."""
        return self.route.kind

    def shared_parts(self) -> tuple[str, ...]:
        """Returns the ids of the prompt parts that other requests may share, without the last."""
        return tuple(part.id for part in self.call.prompt[:-1])

    def time_left(self) -> float:
        """Returns the seconds until the deadline, negative after it."""
        return self.deadline - clock.now()

    def is_stopped(self) -> bool:
        """Returns whether the process ends too soon for a response that has not begun."""
        return clock.now() >= self.shutdown.responses_due_at()

    def record_event(self, now: float) -> None:
        """Records that an event of a stream, or a whole response, is complete."""
        if self.first_event_at is None:
            self.first_event_at = now
        elif self.has_event:
            self.longest_pause_s = max(self.longest_pause_s, now - self.progress_at)
        self.progress_at = now
        self.has_event = True

    def late_by(self) -> str | None:
        """Returns which goal of the route a complete response missed; None if none."""
        goal_s, pause_goal_s = self.route.goal_s, self.route.pause_goal_s
        first_at = self.first_event_at
        if first_at is not None and first_at - self.caller.arrived_at > goal_s:
            return "first"
        return "pause" if 0 < pause_goal_s < self.longest_pause_s else None

    def age_ms(self) -> int:
        """Returns the milliseconds since the request arrived."""
        return int((clock.now() - self.caller.arrived_at) * 1e3)

    def priority(self) -> int:
        """Returns the priority at the endpoint, 0 to 9; 0 is admitted first."""
        own = self.account.priority if self.account is not None else None
        return max(0, min(9, self.route.priority if own is None else own))


def response_deadline(call: RequestHead, route: Route, caller: Caller) -> float:
    """Returns the monotonic seconds at which the response to a request must be complete."""
    wait_s = route.timeout_s
    if call.deadline_s is not None:
        wait_s = min(wait_s, call.deadline_s - REFUSAL_MARGIN_S)
    return caller.arrived_at + wait_s


def refusal_response(
    reason: Refused, detail: str = "", retry_after_s: float | None = None
) -> CallerResponse:
    """Creates the response to a request that the gateway refuses or cannot complete.

    Args:
        reason: Determines the status; the body states it.
        detail: Appended to the reason in the body.
        retry_after_s: Value of the `Retry-After` header; None omits the header.
    """
    status = _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    text = f"{reason.value}: {detail}\n" if detail else f"{reason.value}\n"
    return CallerResponse(status, status.phrase, tuple(headers), text.encode())


def fingerprint_of(call: RequestHead, body: bytes, account: Account | None) -> str:
    """Returns a hash of account, target and body that retries of the same request share."""
    name = account.name if account is not None else ""
    return f"{stable_hash('request', name, call.target, body.decode('latin-1')):016x}"
