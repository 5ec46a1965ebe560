"""The gateway's data types, independent of the platform's formats."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from sequoiadrum.messages import Address  # noqa: TC001 (attrs reads it)


class RequestKind(Enum):
    """How often the requests of a route may run, and how their responses are sent."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """May run at most once."""
    STREAM = "stream"
    """The response consists of server-sent events; the request may run at most once."""
    RESUMABLE_STREAM = "resumable_stream"
    """A stream that another endpoint can continue after the last event."""

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)

    @property
    def is_retryable(self) -> bool:
        """Whether a request can be retried after it may have run."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)


@frozen
class WeightedService:
    """A service of a route, with the weight by which it receives requests."""

    service: str
    weight: float


@frozen
class Route:
    """How requests for a host and path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """Longest time from the arrival of the request until the response is complete."""
    goal_s: float
    """Time to the first byte of a response up to which it has its full value."""
    max_attempts: int
    """Number of endpoints that may start to run one request."""
    priority: int
    """Priority 0 is served first."""
    is_public: bool
    """Whether requests are accepted without an API key."""
    is_sticky: bool
    """Whether requests list the parts of their prompt."""
    pause_goal_s: float = 0.0
    """Longest pause between two events of a stream up to which it has its full value."""
    homes: tuple[str, ...] = ()
    """Regions whose endpoints may run the requests; empty if all may."""


@frozen
class Service:
    """A group of interchangeable endpoints."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one endpoint accepts from all instances together."""
    batch_slots: int | None
    """Requests that a model engine runs in parallel; None for a plain service."""
    kv_tokens: int | None
    """Capacity of an engine's KV cache in tokens; None for a plain service."""
    cold_start_s: float = 0.0
    """Time for which an endpoint stays cold after its start."""
    cold_requests_per_s: float = 0.0
    """Requests that a cold endpoint tolerates from all instances together; 0 if not limited."""


@frozen
class Account:
    """A client account."""

    name: str
    priority: int | None
    """Overrides the priority of the route; None keeps the route's priority."""
    homes: tuple[str, ...] = ()
    """Regions whose endpoints may run the account's requests; empty if all may."""


@frozen
class CallerLimits:
    """Limits on the requests and connections of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class GatewayConfig:
    """One version of the operator's configuration."""

    version: int
    """Increases with each version that the operator writes, not always by one."""
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    account_by_key: dict[str, Account]
    has_accounts: bool
    """Whether requests to routes that are not public need an API key."""
    limits: CallerLimits = field(factory=CallerLimits)


class EndpointState(Enum):
    """State that an endpoint publishes in its entry."""

    READY = "ready"
    DRAINING = "draining"


@frozen(order=True)
class StorePosition:
    """A point in the history of the platform's store.

    A store that is restored from an older copy begins a new epoch. Revisions that the copy lacks
    are given out again in it, so that only revisions of one epoch can be compared.
    """

    epoch: int
    """0 if the store names none."""
    revision: int


@frozen
class EndpointEntry:
    """An endpoint's entry in the store."""

    instance_id: str
    """Id of one incarnation; sent with each request, so that a reused address is detected."""
    service: str
    address: Address
    failure_domain: str
    slots: int
    """Requests that the endpoint runs in parallel."""
    state: EndpointState
    warm_up_s: float
    """Remaining time for which the endpoint stays slow after its start."""
    started_ms: int | None
    """Unix milliseconds of the process start; a changed value under one id means a new process."""
    revision: int
    """Revision of the store at the last change of the entry."""
    epoch: int = 0

    @property
    def position(self) -> StorePosition:
        """Where in the history of the store the entry was changed last."""
        return StorePosition(self.epoch, self.revision)

    def is_same_process(self, other: EndpointEntry) -> bool:
        """Returns whether two entries of one id describe the same process."""
        return (
            self.service == other.service
            and self.address == other.address
            and self.started_ms == other.started_ms
        )


@frozen
class PromptPart:
    """A part of a prompt; requests with a common beginning share parts."""

    id: str
    tokens: int


@frozen
class RequestHead:
    """The decoded head of a caller's request."""

    request_id: str
    """Differs for each attempt of a caller."""
    method: str
    target: str
    """Path and query string as received."""
    host: str
    path: str
    """Path as received, without the query string."""
    deadline_s: float | None
    """Seconds for which the caller waits; None if the request does not say."""
    key: str | None
    """API key; never forwarded."""
    prompt: tuple[PromptPart, ...]
    """The parts of the prompt in order; the last part is not shared with other requests."""
    prompt_tokens: int
    output_tokens: int
    """Maximum number of tokens to generate."""
    last_event_id: str | None
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers to forward, except those that the gateway sets."""


@frozen
class EngineLoad:
    """The load that an endpoint reports with a response, in requests."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """How long work takes on the endpoint's host at the moment, as a multiple of the usual time;
    None if the endpoint does not share its host with others, and does not say."""


@frozen
class ResponseHead:
    """The decoded head of an endpoint's response."""

    status: int
    reason: str
    request_id: str | None
    """Id of the request that the response belongs to."""
    instance_id: str | None
    is_not_executed: bool
    """The endpoint states that it did not run the request."""
    is_sealed: bool
    """Whether the endpoint has signed the response."""
    load: EngineLoad | None
    idle_timeout_s: float | None
    """Seconds for which the endpoint keeps an idle connection open."""
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers to forward to the caller."""
    rate_limit: float | None = None
    """Requests per second that the endpoint takes from all routers together; None if unlimited."""
    is_leaving: bool = False
    """Whether the endpoint states that its process leaves."""
    retry_after_s: float | None = None
    """Seconds for which the endpoint wants no request from this router; None if it names none."""
    unusable: tuple[str, ...] = ()
    """Names of the fields that were left out because their headers cannot be used."""
    cold_left_s: float | None = None
    """Remaining time for which the endpoint stays cold; None if the response does not say."""


@frozen
class StoredItem:
    """An object of the platform's store."""

    name: str
    revision: int
    """Revision of the store at the last change of the object."""
    document: object
    """The content, decoded from JSON."""
    epoch: int = 0
    """Epoch of the store in which the object was read; see `StorePosition`."""

    @property
    def position(self) -> StorePosition:
        """Where in the history of the store the object was changed last."""
        return StorePosition(self.epoch, self.revision)


@frozen
class StoredPage:
    """The complete list of the objects of a kind."""

    items: tuple[StoredItem, ...]
    revision: int
    """Revision of the store at which the list was read."""
    epoch: int = 0


@frozen
class StoreEvent:
    """The creation, change or deletion of an object."""

    item: StoredItem
    is_deleted: bool


@frozen
class WatchResult:
    """The changes that one watch call returned."""

    events: tuple[StoreEvent, ...]
    revision: int
    """Revision from which the next watch continues."""
    epoch: int = 0


class StoreFailure(Enum):
    """Why a call to the store failed."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object already exists or has another revision; nothing was changed."""
    HISTORY_GONE = "history_gone"
    """The store no longer has the events that the watch needs; the list must be read again."""
    RATE_LIMITED = "rate_limited"
    UNAVAILABLE = "unavailable"
    """The store rejected the call; nothing was changed."""
    UNREACHABLE = "unreachable"
    """No response; a write may still take effect."""
    MALFORMED = "malformed"
    """The response cannot be decoded."""
