"""The types of the gateway, in the project's own words."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from sequoiadrum.messages import Address  # noqa: TC001 (attrs reads it)


class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """May run at most once."""
    STREAM = "stream"
    """Answers with server-sent events and may run at most once."""
    RESUMABLE_STREAM = "resumable_stream"
    """A stream that another endpoint can continue after the last event."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@frozen
class WeightedService:
    """A share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Where the requests of a host and path prefix go."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """Longest time until the final answer, from the arrival of the request."""
    goal_s: float
    """Time to the first byte of an answer at full value."""
    max_attempts: int
    """Endpoints that may begin to run one request."""
    priority: int
    """0 is served first."""
    is_public: bool
    """Whether requests need no key."""
    is_sticky: bool
    """Whether requests list the parts of their prompt."""


@frozen
class Service:
    """A group of interchangeable endpoints."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one endpoint accepts from all instances."""
    batch_slots: int | None
    """Requests that a model engine runs at once; None for a plain service."""
    kv_tokens: int | None
    """Tokens that fit an engine's memory; None for a plain service."""


@frozen
class Account:
    """A client account."""

    name: str
    priority: int | None
    """Goes before the priority of the route; None leaves that in force."""


@frozen
class CallerLimits:
    """Bounds on what a client may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class GatewayConfig:
    """One version of the operator's configuration."""

    version: int
    """Raised by each version the operator writes, in uneven steps."""
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    account_by_key: dict[str, Account]
    has_accounts: bool
    """Whether requests of routes that are not public need a key."""
    limits: CallerLimits = field(factory=CallerLimits)


class EndpointState(Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class EndpointEntry:
    """An endpoint's entry in the store."""

    instance_id: str
    """Names one incarnation; sent along so that a reused address is noticed."""
    service: str
    address: Address
    failure_domain: str
    slots: int
    """Requests that it works on at once."""
    state: EndpointState
    warm_up_s: float
    """How much longer it stays slow after its start."""
    started_ms: int | None
    """Unix milliseconds of its start; another value under the same id is another process."""
    revision: int
    """Revision of the store at which the entry changed last."""


@frozen
class PromptPart:
    """A part of a prompt that requests can share."""

    id: str
    tokens: int


@frozen
class RequestHead:
    """What a client's request says, decoded."""

    request_id: str
    """Its own for each attempt of a client."""
    method: str
    target: str
    """Path and query as received."""
    host: str
    path: str
    """Path as received, without the query."""
    deadline_s: float | None
    """How long the client waits; None when it does not say."""
    key: str | None
    """API key; never passed on."""
    prompt: tuple[PromptPart, ...]
    """The parts of the prompt in order; the last one is the request's own."""
    prompt_tokens: int
    output_tokens: int
    """At most so many are generated."""
    last_event_id: str | None
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers to pass on, without those that the gateway sets."""


@frozen
class EngineLoad:
    """What an endpoint says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@frozen
class ResponseHead:
    """What an endpoint's answer says, decoded."""

    status: int
    reason: str
    request_id: str | None
    """Of the request that the answer belongs to."""
    instance_id: str | None
    is_not_executed: bool
    """The endpoint states that it did not run the request."""
    is_sealed: bool
    """Whether the endpoint has signed the answer."""
    load: EngineLoad | None
    idle_timeout_s: float | None
    """How long the endpoint keeps an idle connection open."""
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers for the client."""


@frozen
class StoredItem:
    """An object of the platform's store."""

    name: str
    revision: int
    """Revision of its last change."""
    document: object
    """The decoded content."""


@frozen
class StoredPage:
    """A whole list of the objects of a kind."""

    items: tuple[StoredItem, ...]
    revision: int
    """Revision of the store that the list shows."""


@frozen
class StoreEvent:
    """A change of an object."""

    item: StoredItem
    is_deleted: bool


@frozen
class WatchResult:
    """What a watch saw until it returned."""

    events: tuple[StoreEvent, ...]
    revision: int
    """Where the next watch goes on."""


class StoreFailure(Enum):
    """Why a call to the store has no result."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object exists already or has another revision; nothing was done."""
    HISTORY_GONE = "history_gone"
    """The watch cannot go on; list again."""
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    """Refused by the store; nothing was done."""
    UNREACHABLE = "unreachable"
    """No answer; a write may still take effect."""
    MALFORMED = "malformed"
    """The answer cannot be read."""
