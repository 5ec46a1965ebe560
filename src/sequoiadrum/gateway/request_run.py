"""One request of a client while it is carried out, and the answers of the gateway's own."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiadrum.gateway.model import Account, RequestHead, RequestKind, Route, Service


class Refused(Enum):
    """Why the gateway answers by itself; each reason has a counter."""

    BAD_REQUEST = "bad_request"
    NO_CONFIGURATION = "no_configuration"
    UNCERTAIN_ROUTE = "uncertain_route"
    """The route is unknown here, and a newer configuration may have it."""
    UNCERTAIN_KEY = "uncertain_key"
    ROUTE_UNKNOWN = "route_unknown"
    KEY_UNKNOWN = "key_unknown"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_UNREACHABLE = "endpoints_unreachable"
    ENDPOINTS_FULL = "endpoints_full"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    CALLER_GONE = "caller_gone"


_STATUS_BY_REASON: Final = {
    Refused.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Refused.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    Refused.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    Refused.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Refused.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    Refused.CALLER_GONE: HTTPStatus.BAD_GATEWAY,
}
"""All other reasons answer 503, which promises that the request did not run and will not."""


@frozen
class Reply:
    """An answer to the client."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes]
    """Bytes, or an iterable that raises `StreamBrokenError` when the stream cannot be finished."""


class StreamBrokenError(Exception):
    """The rest of a stream cannot be had; the client's connection must end without its end."""


@define(eq=False)
class Caller:
    """The client of one request."""

    arrived_at: float
    """Monotonic seconds at which its first byte was read."""
    is_gone: Callable[[], bool]


@define(eq=False)
class RequestRun:
    """The state of one request."""

    call: RequestHead
    body: bytes
    route: Route
    service: Service
    account: Account | None
    caller: Caller
    deadline: float
    """Monotonic seconds at which the answer must be complete."""
    fingerprint: str
    attempts: int = 0
    """Endpoints that may have begun to run it."""
    unsent: int = 0
    tried: list[str] = field(factory=list)
    was_sent: bool = False
    """Whether a byte has left that no endpoint has denied to have run."""
    last_error: str = ""

    @property
    def kind(self) -> RequestKind:
        """What may be repeated."""
        return self.route.kind

    def time_left(self) -> float:
        """Gives the seconds until the deadline."""
        return self.deadline - clock.now()

    def age_ms(self) -> int:
        """Gives the milliseconds since the request arrived."""
        return int((clock.now() - self.caller.arrived_at) * 1e3)

    def priority(self) -> int:
        """Gives the rank at the endpoint, 0 to 9; 0 is admitted first."""
        own = self.account.priority if self.account is not None else None
        return max(0, min(9, self.route.priority if own is None else own))


def refusal(reason: Refused, detail: str = "", retry_after_s: float | None = None) -> Reply:
    """Makes an answer of the gateway's own."""
    status = _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    text = f"{reason.value}: {detail}\n" if detail else f"{reason.value}\n"
    return Reply(status, status.phrase, tuple(headers), text.encode())


def fingerprint_of(call: RequestHead, body: bytes, account: Account | None) -> str:
    """Names a request by its content, so that it is known again when it is sent once more."""
    name = account.name if account is not None else ""
    return f"{stable_hash('request', name, call.target, body.decode('latin-1')):016x}"
