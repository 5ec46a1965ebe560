"""Message and value types shared between modules."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping


class EndpointKind(Enum):
    """The kind of an endpoint."""

    ENGINE = "engine"
    """A server that runs models and streams tokens."""
    SERVICE = "service"
    """A plain HTTP service."""


class EndpointState(Enum):
    """Declared state of an endpoint."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Completes its current requests and receives no new ones."""
    REMOVED = "removed"


@frozen
class Address:
    """The IP address and port of a TCP or UDP socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen
class Account:
    """A client account and its rate limit."""

    name: str
    requests_per_s: float = 50.0
    """Sustained rate over the whole fleet."""
    burst: float = 100.0
    """Number of requests accepted simultaneously after an idle period."""


@frozen
class Route:
    """Maps a model name, or a plain service name, to a pool."""

    name: str
    pool: str
    idempotent: bool = True
    """If False, calls need an idempotency key and run at most once."""


@frozen
class Endpoint:
    """A declared back end."""

    id: str
    pool: str
    kind: EndpointKind
    address: Address
    failure_domain: str
    state: EndpointState = EndpointState.ACTIVE
    checks_fencing: bool = False
    """Whether the endpoint rejects orders with an outdated fencing number."""
    models: tuple[str, ...] = ()
    """Models that an engine is declared to have loaded; empty if not declared."""


@frozen
class ChatRequest:
    """A chat completion requested by a caller."""

    request_id: str
    """Unique in the fleet; identifies the stream at the engine."""
    chat_id: str
    account: str
    model: str
    body: bytes
    """The JSON document that is sent to the engine, without routing fields."""
    priority: int = 1
    """Requests with a lower number are served first; 0 is the lowest."""
    cost: float = 1.0
    """Weight of the request in the load of its engine."""
    deadline: float = 0.0
    """Monotonic time in seconds after which the caller no longer waits."""
    replayable: bool = False
    """Whether every engine produces the same output (temperature 0 and a seed)."""
    fingerprint: str = ""
    """Hash of account, pool and body, by which `crash_guard` recognizes the request."""


@frozen
class StreamEvent:
    """One event of an engine's stream."""

    offset: int
    """Position of the first token, counted from 0."""
    data: bytes
    """The JSON document of the event."""


@frozen
class LoadReport:
    """The state that an endpoint reports of itself; it may be outdated."""

    in_flight: float
    leaving: bool = False
    models: tuple[str, ...] = field(default=())


class MemberState(Enum):
    """The known state of a router; the values are those of `schema/peer.thrift`."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@frozen
class Member:
    """A router of the fleet, as known to this router."""

    id: str
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    process_id: int
    """Identifies the running process; it changes with a restart."""
    incarnation: int
    """Incremented by the member itself to refute its suspicion or death."""
    state: MemberState
    config_revision: int = 0
    """Highest configuration revision that the member is known to have in force."""

    @property
    def peer_address(self) -> Address:
        """The address at which the router serves its peers."""
        return Address(self.host, self.peer_port)

    @property
    def http_address(self) -> Address:
        """The address at which the router serves callers."""
        return Address(self.host, self.http_port)

    @property
    def is_usable(self) -> bool:
        """Whether the router may own shards and pools; a suspect router may."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@frozen
class MembersChanged:
    """Posted to subscribers when a member's state, process or address changed."""

    members_by_id: Mapping[str, Member]
    """All known members, this router included."""


@frozen
class RumorReceived:
    """Posted to subscribers when a new rumor, or a newer version of one, is received."""

    kind: str
    key: str
    version: int
    payload: bytes


@frozen
class RevisionReceived:
    """Posted when a peer has a higher configuration revision in force."""

    revision: int
    address: Address
    """Peer address of the router that has the revision."""


@frozen
class SideDatagram:
    """Posted when a datagram of another protocol arrives on the socket of the membership."""

    data: bytes
    source: Address
