"""Message and value types shared between modules."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping


class EndpointKind(Enum):
    """What an endpoint is."""

    ENGINE = "engine"
    """A model runner that streams tokens."""
    SERVICE = "service"
    """A plain HTTP service."""


class EndpointState(Enum):
    """Declared state of an endpoint."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Finishes what it has; gets nothing new."""
    REMOVED = "removed"


@frozen
class Address:
    """A TCP or UDP address by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen
class Account:
    """A client account."""

    name: str
    requests_per_s: float = 50.0
    """Sustained rate over the whole fleet."""
    burst: float = 100.0
    """Requests that may come at once after a quiet time."""


@frozen
class Route:
    """Maps a model name, or a plain service name, to a pool."""

    name: str
    pool: str
    idempotent: bool = True
    """False: calls need an idempotency key and run at most once."""


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
    """Whether the endpoint refuses orders with an old fencing number."""
    models: tuple[str, ...] = ()
    """Models that an engine is declared to hold; empty: not declared."""


@frozen
class ChatRequest:
    """One chat completion asked for by a caller."""

    request_id: str
    """Unique over the fleet; names the stream at the engine."""
    chat_id: str
    account: str
    model: str
    body: bytes
    """The JSON document for the engine, without routing fields."""
    priority: int = 1
    """0 is served first."""
    cost: float = 1.0
    """Weight of the request in the load of its engine."""
    deadline: float = 0.0
    """Monotonic time in seconds after which nobody waits."""
    replayable: bool = False
    """True when the output is the same on every engine (temperature 0 and a seed)."""
    fingerprint: str = ""
    """Hash of account, pool and body, see `crash_guard`."""


@frozen
class StreamEvent:
    """One event of an engine's stream."""

    offset: int
    """Position of the first token, counted from 0."""
    data: bytes
    """The JSON document of the event."""


@frozen
class LoadReport:
    """What an endpoint says of itself; it lags."""

    in_flight: float
    leaving: bool = False
    models: tuple[str, ...] = field(default=())


class MemberState(Enum):
    """What is believed of a router; the values are those of `schema/peer.thrift`."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@frozen
class Member:
    """A router of the fleet, as this router sees it."""

    id: str
    host: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    process_id: int
    """Random number of the running process; a restart changes it."""
    incarnation: int
    """Raised by the member itself to refute its suspicion or death."""
    state: MemberState
    config_revision: int = 0
    """Highest configuration revision that the member is known to have in force."""

    @property
    def peer_address(self) -> Address:
        """Where it answers its peers."""
        return Address(self.host, self.peer_port)

    @property
    def http_address(self) -> Address:
        """Where it answers callers."""
        return Address(self.host, self.http_port)

    @property
    def is_usable(self) -> bool:
        """Whether it may own shards and pools; a suspect still may."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@frozen
class MembersChanged:
    """Posted to subscribers when a member's state, process or address changed."""

    members_by_id: Mapping[str, Member]
    """All known members, this router included."""


@frozen
class RumorReceived:
    """Posted to subscribers when a rumour arrives for the first time."""

    kind: str
    key: str
    version: int
    payload: bytes


@frozen
class RevisionReceived:
    """Posted when a peer has a higher configuration revision in force."""

    revision: int
    address: Address
    """Peer port of the router that has it."""
