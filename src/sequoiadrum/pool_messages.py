"""Requests, grants and outcomes of `PoolAdmission`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from sequoiadrum.placement import EngineState


@frozen
class PoolRequest:
    """Asks a pool for an engine."""

    request_id: str
    grant_id: str
    """Names the grant in `release`."""
    chat_id: str
    account: str
    router_id: str
    """Router that will hold the grant."""
    router_process_id: int
    deadline: float
    """Monotonic seconds."""
    priority: int = 1
    cost: float = 1.0
    fingerprint: str = ""
    suspect: bool = False
    """Was involved in a crash; gets an engine without another suspect."""
    excluded: frozenset[str] = frozenset()
    """Endpoints that have failed this request."""
    last_engine: str = ""
    """Engine that served the chat last as far as its router knows; a hint."""


@frozen
class Placed:
    """An engine was granted."""

    grant_id: str
    engine_id: str
    kv_source: str | None
    """Engine that last held the chat's context, when it is another one."""
    reused: bool
    """Whether the engine is the one that last served the chat."""


@frozen
class Waiting:
    """The request is queued; `pump` or `expire` will decide it."""


@define(eq=False)
class HeldGrant:
    """One grant in flight."""

    engine: EngineState
    cost: float
    router_id: str
    router_process_id: int
    fingerprint: str
    suspect: bool
    granted_at: float
    confirmed_at: float
    """When the router last said that it holds the grant."""
    crash: str = ""
    """Crash of the engine that counts against the request, as it was in flight at that time."""


@frozen
class ReportedGrant:
    """A grant that a router says it holds."""

    grant_id: str
    engine_id: str
    chat_id: str
    cost: float
    fingerprint: str
    suspect: bool = False
