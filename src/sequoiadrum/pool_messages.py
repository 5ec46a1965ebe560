"""Requests to `PoolAdmission`, their outcomes, and grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from sequoiadrum.placement import EngineState


@frozen
class PoolRequest:
    """Request for an engine of a pool."""

    request_id: str
    grant_id: str
    """Id of the grant if the request is placed; passed to `release`."""
    chat_id: str
    account: str
    router_id: str
    """Router that will hold the grant."""
    router_process_id: int
    deadline: float
    """Monotonic seconds after which a queued request is refused."""
    priority: int = 1
    cost: float = 1.0
    fingerprint: str = ""
    suspect: bool = False
    """Whether the request was involved in a crash; it gets an engine without another suspect."""
    excluded: frozenset[str] = frozenset()
    """Ids of endpoints at which this request has failed."""
    last_engine: str = ""
    """Hint: id of the engine that last served the chat, as known to its router; may be empty."""


@frozen
class Placed:
    """Outcome of a request that was granted an engine."""

    grant_id: str
    engine_id: str
    kv_source: str | None
    """Id of another engine from which the chat's context can be imported, or None."""
    reused: bool
    """Whether the granted engine is the one that last served the chat."""


@frozen
class Waiting:
    """Outcome of a request that was queued; `pump` or `expire` decides it later."""


@define(eq=False)
class HeldGrant:
    """Grant in flight, as recorded by the pool owner."""

    engine: EngineState
    cost: float
    router_id: str
    router_process_id: int
    fingerprint: str
    suspect: bool
    granted_at: float
    confirmed_at: float
    """Time at which the router last reported the grant, in monotonic seconds."""
    crash: str = ""
    """Event id of the engine's crash that counts against the request, which was in flight then."""


@frozen
class ReportedGrant:
    """Grant in flight, as reported by the router that holds it."""

    grant_id: str
    engine_id: str
    chat_id: str
    cost: float
    fingerprint: str
    suspect: bool = False
