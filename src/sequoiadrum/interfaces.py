"""What the request path needs from the tasks behind it."""

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
    from sequoiadrum.messages import Address, Endpoint, Member
    from sequoiadrum.service_client import ServiceRequest
    from sequoiadrum.tasks import Task


@frozen
class AdmissionRequest:
    """Asks for an endpoint of a pool."""

    pool: str
    request_id: str
    chat_id: str
    account: str
    priority: int
    cost: float
    deadline: float
    """Monotonic seconds."""
    fingerprint: str
    last_endpoint: str = ""
    """Endpoint that served the chat last as far as the asking router knows; a hint."""


@frozen
class Grant:
    """The right to send one request to an endpoint."""

    grant_id: str
    pool: str
    endpoint_id: str
    address: Address
    owner_id: str
    """Router that counts the grant."""
    kv_source: Address | None = None
    """Engine that holds the context of the chat, when it is another one."""


class GrantOutcome(Enum):
    """How the granted request ended."""

    OK = "ok"
    FAILED = "failed"
    """The endpoint did not answer or broke off."""
    CRASHED = "crashed"
    """The endpoint broke off and does not accept connections any more."""
    CANCELLED = "cancelled"
    """The caller went away."""
    REFUSED = "refused"
    """The endpoint refused the request or the connection; the request did not run."""


class Admission(ABC):
    """Grants endpoints under the load bound."""

    @abstractmethod
    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        """Waits for a grant until the deadline.

        Args:
            request: What is asked for.
            excluded: Endpoints that have failed this request already.
        """

    @abstractmethod
    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Ends a grant; never blocks."""


class AccountLimits(ABC):
    """Account limits that hold over the whole fleet."""

    @abstractmethod
    def admit(self, account: str) -> Refusal | None:
        """Takes one request from the account's limit, or gives the refusal."""


@frozen
class KeyedCall:
    """A non-idempotent call with its caller's idempotency key."""

    service: str
    """Name of the route."""
    account: str
    key: str
    issued_at_ms: int
    """When the caller made the key, Unix time in milliseconds."""
    request: ServiceRequest
    deadline: float
    """Monotonic seconds."""


class KeyedState(Enum):
    """What is known of a keyed call."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


@frozen
class KeyedOutcome:
    """Outcome of a keyed call."""

    state: KeyedState
    status: int = 0
    """HTTP status of the service's answer, when done."""
    content_type: str = ""
    body: bytes = b""
    refusal: Refusal | None = None
    """Why it was not run, or why the outcome is unknown."""


class KeyedCalls(ABC):
    """Runs non-idempotent calls at most once."""

    @abstractmethod
    def submit(self, call: KeyedCall) -> KeyedOutcome:
        """Runs the call, or gives the outcome of the run that its key had before."""

    @abstractmethod
    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """Tells what is known of a key."""

    def router_for(self, service: str, account: str, key: str) -> str:
        """Names the router that answers a key without forwarding, or nothing; never blocks."""
        return ""


class ConfigSource(ABC):
    """The configuration in force on this router."""

    @abstractmethod
    def current(self) -> ConfigState:
        """Gives the newest applied state; cheap."""

    @abstractmethod
    def refusal(self) -> Refusal | None:
        """Why this router must not serve now (`not_ready`, `isolated`), or None."""


class Directory(ABC):
    """Routers that callers may use."""

    @abstractmethod
    def address_for(self, key: str, preferred: str = "") -> tuple[Address, ...]:
        """Gives callers' addresses for a chat or an idempotency key, the best one first.

        Args:
            key: What the calls have in common.
            preferred: Id of a router that should come first if it is alive.
        """


class MembershipSource(ABC):
    """The routers of the fleet, as this router sees them."""

    @abstractmethod
    def self_id(self) -> str:
        """Gives the id of this router."""

    @abstractmethod
    def members(self) -> Mapping[str, Member]:
        """Gives all known members by id, this router included; cheap, an immutable snapshot."""

    @abstractmethod
    def subscribe(self, task: Task) -> None:
        """Posts `MembersChanged` and `RumorReceived` messages to a task from now on."""

    @abstractmethod
    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """Spreads a rumour to all routers; a higher version of a key replaces a lower one."""

    def report_unreachable(self, router_id: str) -> None:
        """Hints that a router does not accept connections; never blocks, may be ignored."""
        return


@frozen
class ConfigUnavailable:
    """A change was not accepted because the platform is out of reach or overloaded."""

    detail: str
    retry_after_ms: int = 1_000


@frozen
class ConfigOutcomeUnknown:
    """The platform's answer was lost; the change may have been accepted."""

    change_id: str


class ConfigWriter(ABC):
    """Accepts changes of the configuration."""

    @abstractmethod
    def submit(
        self, request: ChangeRequest
    ) -> Result[Change, ChangeConflict | InvalidChange | ConfigUnavailable | ConfigOutcomeUnknown]:
        """Stores a change; blocks. An accepted change carries its revision.

        Repeating a request with the same `change_id` is safe.
        """


class FleetLink(MembershipSource):
    """Membership together with what keeps the configuration up to date."""

    @abstractmethod
    def last_contact_at(self) -> float | None:
        """Gives when a peer was last heard (monotonic seconds), None when never."""

    @abstractmethod
    def subscribe_revisions(self, task: Task) -> None:
        """Posts `RevisionReceived` messages to a task from now on."""

    @abstractmethod
    def announce_revision(self, revision: int) -> None:
        """Tells the peers which configuration revision is in force here; never blocks."""


@frozen
class EndpointLoad:
    """An endpoint as the owner of its pool sees it."""

    endpoint: Endpoint
    state: str
    """`active`, `draining`, `leaving` or `unhealthy`."""
    in_flight: float
    """Cost-weighted grants that are not released."""
    reported_load: float
    """What the endpoint itself reported last; it lags."""


@frozen
class PoolLoad:
    """A pool as its owner sees it."""

    pool: str
    owner_id: str
    queued: int
    endpoints: tuple[EndpointLoad, ...]


class PoolInspector(ABC):
    """What operators and plans learn from admission; calls may block on the pool owner."""

    @abstractmethod
    def pool_load(self, pool: str) -> Result[PoolLoad, Refusal]:
        """Reads the load of a pool from its owner."""

    @abstractmethod
    def in_flight(self, endpoint_id: str) -> float | None:
        """Gives the grants in flight at an endpoint; None when the owner cannot be asked."""

    @abstractmethod
    def recent_chats(self, endpoint_id: str, limit: int) -> Sequence[str]:
        """Lists chats that the endpoint served last, the most recent first."""

    @abstractmethod
    def note_moved(self, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """Tells the pool owner where the contexts of chats were moved; best effort.

        A chat whose move the owner does not learn of is imported again when it returns.
        """


class PlanNotices(ABC):
    """Learns at once of plans that an operator created or aborted on this router."""

    @abstractmethod
    def plan_changed(self, plan_id: str, version: int) -> None:
        """Tells the fleet that a plan has a new version; never blocks."""
