"""Reads the loads and recent chats of a pool from its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import EndpointLoad, PoolInspector, PoolLoad

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sequoiadrum._gen.peer.ttypes import PoolReport
    from sequoiadrum.admission_task import AdmissionTask
    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.messages import Address
    from sequoiadrum.peer_client import PeerClient, PeerFailure

_CALL_TIMEOUT_S: Final = 2.0


class PeerPoolInspector(PoolInspector):
    """Reads pool state from the local admission task or by `Peer.inspect_pool` of the owner."""

    def __init__(self, admission: AdmissionTask, config: ConfigSource, peers: PeerClient) -> None:
        self._admission = admission
        self._config = config
        self._peers = peers

    def pool_load(self, pool: str) -> Result[PoolLoad, Refusal]:
        """See `PoolInspector.pool_load`."""
        declared = {e.id: e for e in self._config.current().pool_endpoints(pool)}
        if not declared:
            return Failure(Refusal(RefusalReason.NOT_FOUND, f"no pool {pool!r}"))
        report = self._inspect(pool, "", 0)
        if report is None:
            detail = "the owner of the pool does not answer"
            return Failure(Refusal(RefusalReason.OWNER_UNREACHABLE, detail, 1_000))
        endpoints = tuple(
            EndpointLoad(declared[e.endpoint_id], e.state, e.load, e.reported_load)
            for e in report.endpoints
            if e.endpoint_id in declared
        )
        return Success(PoolLoad(pool, report.owner_id, report.queued, endpoints))

    def in_flight(self, endpoint_id: str) -> float | None:
        """See `PoolInspector.in_flight`."""
        endpoint = self._config.current().endpoints_by_id.get(endpoint_id)
        report = self._inspect(endpoint.pool, "", 0) if endpoint is not None else None
        if report is None:
            return None
        # The owner has state of every endpoint with a grant.
        return next((e.load for e in report.endpoints if e.endpoint_id == endpoint_id), 0.0)

    def recent_chats(self, endpoint_id: str, limit: int) -> Sequence[str]:
        """See `PoolInspector.recent_chats`."""
        endpoint = self._config.current().endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return ()
        report = self._inspect(endpoint.pool, endpoint_id, limit)
        chats = [] if report is None else list(report.recent_chats)
        # An owner that has joined recently knows only the chats placed since then.
        former = self._admission.former_owner_address(endpoint.pool)
        if former is not None:
            earlier = self._call_router(former, endpoint.pool, endpoint_id, limit).value_or(None)
            chats += [] if earlier is None else earlier.recent_chats
        return tuple(dict.fromkeys(chats))[:limit]

    def note_moved(self, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """See `PoolInspector.note_moved`."""
        endpoint = self._config.current().endpoints_by_id.get(source_id)
        if endpoint is None or not target_by_chat:
            return
        pool, moved = endpoint.pool, dict(target_by_chat)
        owner = self._admission.owner_address(pool)
        if owner is None:
            self._admission.note_moved(pool, source_id, moved)
        else:
            self._peers.call(owner, lambda c: c.note_moved(pool, source_id, moved), _CALL_TIMEOUT_S)

    def _inspect(self, pool: str, endpoint_id: str, max_chats: int) -> PoolReport | None:
        owner = self._admission.owner_address(pool)
        if owner is None:
            return self._admission.inspect_pool(pool, endpoint_id, max_chats)
        return self._call_router(owner, pool, endpoint_id, max_chats).value_or(None)

    def _call_router(
        self, router: Address, pool: str, endpoint_id: str, max_chats: int
    ) -> Result[PoolReport, PeerFailure]:
        return self._peers.call(
            router, lambda c: c.inspect_pool(pool, endpoint_id, max_chats), _CALL_TIMEOUT_S
        )
