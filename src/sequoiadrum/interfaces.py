"""Interfaces and value types through which the request path uses the router's tasks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from returns.result import Result

    from sequoiadrum.configuration import (
        Change,
        ChangeConflict,
        ChangeRequest,
        ConfigState,
        InvalidChange,
    )
    from sequoiadrum.errors import Refusal
    from sequoiadrum.messages import Address, Endpoint
    from sequoiadrum.service_client import ServiceRequest


@frozen
class AdmissionRequest:
    """A request for the grant of an endpoint in a pool."""

    pool: str
    request_id: str
    chat_id: str
    account: str
    priority: int
    cost: float
    deadline: float
    """Monotonic time in seconds."""
    fingerprint: str
    last_endpoint: str = ""
    """Endpoint that last served the chat, as known to the requesting router; a hint."""


@frozen
class Grant:
    """Permission to send one request to an endpoint."""

    grant_id: str
    pool: str
    endpoint_id: str
    address: Address
    owner_id: str
    """Router that owns the pool and counts the grant."""
    kv_source: Address | None = None
    """Address of the engine that holds the chat's KV cache, if not the granted endpoint."""


class GrantOutcome(Enum):
    """Outcome of a granted request."""

    OK = "ok"
    FAILED = "failed"
    """The endpoint did not respond, or failed before the response was complete."""
    CRASHED = "crashed"
    """The endpoint failed during the request and no longer accepts connections."""
    CANCELLED = "cancelled"
    """The caller disconnected."""
    REFUSED = "refused"
    """The endpoint refused the request or the connection; the request did not run."""


class Admission(ABC):
    """Grants endpoints to requests within the load bound."""

    @abstractmethod
    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        """Waits for a grant until the deadline of the request.

        Args:
            request: The pool and the properties of the request to place.
            excluded: Ids of endpoints on which this request has already failed.
        """

    @abstractmethod
    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Releases a grant and reports the outcome of its request; never blocks."""


class AccountLimits(ABC):
    """Enforces fleet-wide rate limits of accounts."""

    @abstractmethod
    def admit(self, account: str) -> Refusal | None:
        """Counts one request against the account's limit; returns a refusal if it is exceeded."""


@frozen
class KeyedCall:
    """A non-idempotent call with the idempotency key that its caller chose."""

    service: str
    """Name of the route."""
    account: str
    key: str
    issued_at_ms: int
    """When the caller created the key; Unix time in milliseconds."""
    request: ServiceRequest
    deadline: float
    """Monotonic time in seconds."""


class KeyedState(Enum):
    """Known state of a keyed call."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


@frozen
class KeyedOutcome:
    """Outcome of a keyed call."""

    state: KeyedState
    status: int = 0
    """HTTP status of the service's response if the state is `DONE`."""
    content_type: str = ""
    body: bytes = b""
    refusal: Refusal | None = None
    """Why the call did not run, or why its outcome is unknown."""


class KeyedCalls(ABC):
    """Runs each non-idempotent call at most once."""

    @abstractmethod
    def submit(self, call: KeyedCall) -> KeyedOutcome:
        """Runs the call, or returns the outcome of the earlier run with the same key."""

    @abstractmethod
    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """Returns the known state of the call with a key, without running a call."""

    def router_for(self, service: str, account: str, key: str) -> str:
        """Returns the id of the router that handles a key without forwarding, or an empty string.

        Never blocks.
        """
        return ""


class ConfigSource(ABC):
    """Provides the configuration in force on this router."""

    @abstractmethod
    def current(self) -> ConfigState:
        """Returns the newest applied state; performs no I/O and never blocks."""

    @abstractmethod
    def refusal(self) -> Refusal | None:
        """Returns why this router must not serve now (`not_ready` or `isolated`), or None."""


class Directory(ABC):
    """Selects the routers to which callers should send their requests."""

    @abstractmethod
    def address_for(self, key: str, preferred: str = "") -> tuple[Address, ...]:
        """Returns addresses of routers for a chat or an idempotency key, in order of preference.

        Args:
            key: Chat or idempotency key that related requests share.
            preferred: Id of a router that is listed first if it is alive.
        """


@frozen
class ConfigUnavailable:
    """A change was not accepted because the platform is unreachable or overloaded."""

    detail: str
    retry_after_ms: int = 1_000


@frozen
class ConfigOutcomeUnknown:
    """The platform's response was lost; the change may have been accepted."""

    change_id: str


class ConfigWriter(ABC):
    """Accepts configuration changes."""

    @abstractmethod
    def submit(
        self, request: ChangeRequest
    ) -> Result[Change, ChangeConflict | InvalidChange | ConfigUnavailable | ConfigOutcomeUnknown]:
        """Validates and stores a change; blocks until its outcome is known or retries are used up.

        A request may be retried safely with the same `change_id`.

        Returns:
            The accepted change with its revision, or why it was not accepted.
        """


@frozen
class EndpointLoad:
    """Load of an endpoint in the view of the owner of its pool."""

    endpoint: Endpoint
    state: str
    """`active`, `draining`, `leaving` or `unhealthy`."""
    in_flight: float
    """Sum of the costs of the grants that are not yet released."""
    reported_load: float
    """Load that the endpoint last reported; it lags behind the actual load."""


@frozen
class PoolLoad:
    """Load of a pool in the view of its owner."""

    pool: str
    owner_id: str
    queued: int
    endpoints: tuple[EndpointLoad, ...]


class PoolInspector(ABC):
    """Reads admission state for operators and plans; calls may block on the pool owner."""

    @abstractmethod
    def pool_load(self, pool: str) -> Result[PoolLoad, Refusal]:
        """Returns the load of a pool, read from its owner."""

    @abstractmethod
    def in_flight(self, endpoint_id: str) -> float | None:
        """Returns the cost-weighted grants in flight at an endpoint; None if not readable."""

    @abstractmethod
    def recent_chats(self, endpoint_id: str, limit: int) -> Sequence[str]:
        """Returns ids of the chats that the endpoint served last, most recent first."""

    @abstractmethod
    def note_moved(self, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """Reports to the pool owner to which engines the KV caches of chats were moved.

        Best effort: the cache of a chat is imported again with its next request if the report of
        its move is lost.
        """


class PlanListener(ABC):
    """Receives plan changes that an operator makes through this router."""

    @abstractmethod
    def plan_changed(self, plan_id: str, version: int) -> None:
        """Handles a new version of a plan and announces it to the fleet; never blocks."""
