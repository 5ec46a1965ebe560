"""Handlers of the admission calls of `schema/peer.thrift` at the pool owner."""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import decode_fingerprint, decode_grant_id, encode_hex
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.grant_outbox import OUTCOMES_BY_NUMBER
from sequoiadrum.interfaces import AdmissionRequest, Grant, GrantOutcome
from sequoiadrum.pool_messages import ReportedGrant
from sequoiadrum.pool_owner import GrantHolder

if TYPE_CHECKING:
    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.pool_directory import PoolDirectory
    from sequoiadrum.pool_owner import PoolOwner

MAX_WAITING_REQUESTS: Final = 128
"""Limit on the peers' requests that wait at the same time.

Each of them occupies a connection, and releases need free connections.
"""
MAX_COST: Final = 1_000.0
"""Largest accepted cost of a request.

The queue gives each account a finite credit per round, so it would never serve an infinite cost.
"""


class PeerAdmission:
    """Handles admission calls of peers on the threads of the peer server."""

    def __init__(
        self, router_id: str, owner: PoolOwner, directory: PoolDirectory, config: ConfigSource
    ) -> None:
        self._router_id = router_id
        self._owner = owner
        self._directory = directory
        self._config = config
        self._waiting_slots = threading.BoundedSemaphore(MAX_WAITING_REQUESTS)

    def acquire(self, request: Any) -> Any:
        """Decides a peer's request and returns an `AcquireReply`.

        The reply is `NOT_OWNER` with the id of the owner if another router owns the pool, unless
        the request is forced.
        """
        if not request.forced:
            owner_id = self._directory.owner_of(request.pool)
            if owner_id is not None and owner_id != self._router_id:
                return ttypes.AcquireReply(ttypes.AcquireStatus.NOT_OWNER, owner_id=owner_id)
        cost = 1.0 if request.cost is None else request.cost
        if not 0 < cost <= MAX_COST:
            return self._reply(Failure(Refusal(RefusalReason.BAD_REQUEST, "cost out of range")), 0)
        wanted = AdmissionRequest(
            pool=request.pool,
            request_id="",
            chat_id=request.chat_id,
            account=request.account,
            priority=1 if request.priority is None else request.priority,
            cost=cost,
            deadline=time.monotonic() + request.deadline_ms / 1e3,
            fingerprint=decode_fingerprint(request.fingerprint),
            last_endpoint=request.last_endpoint or "",
        )
        holder = GrantHolder(request.router_id, request.router_process_id)
        decision = self._owner.acquire(wanted, request.excluded_endpoints or (), holder)
        if isinstance(decision, Future):
            decision = self._wait(decision, wanted.deadline)
        return self._reply(decision, request.config_revision)

    def release(self, pool: str, releases: list[Any]) -> None:
        """Ends grants; outcomes that only a newer version defines count as failures."""
        self._owner.release(
            pool,
            [(decode_grant_id(r.grant_id), _decode_outcome(r.outcome)) for r in releases],
        )

    def report(self, pool: str, holder: GrantHolder, grants: list[Any]) -> None:
        """Applies the complete list of a router's grants; skips those with an invalid cost."""
        self._owner.report(
            pool,
            holder,
            [
                ReportedGrant(
                    decode_grant_id(g.grant_id),
                    g.endpoint_id,
                    g.chat_id,
                    g.cost,
                    decode_fingerprint(g.fingerprint),
                )
                for g in grants
                if 0 < g.cost <= MAX_COST
            ],
        )

    def confirm(self, pool: str, holder: GrantHolder, grant_ids: list[int]) -> list[int]:
        """Applies the ids of all grants of a pool that a router holds; returns the unknown ones."""
        unknown = self._owner.confirm(pool, holder, [decode_grant_id(n) for n in grant_ids])
        return [encode_hex(grant_id) for grant_id in unknown]

    def inspect(self, pool: str, endpoint_id: str, max_chats: int) -> Any:
        """Returns this router's state of a pool, with the recent chats of an endpoint if given."""
        queued, engines = self._owner.inspect(pool)
        reports = [ttypes.EndpointReport(e.id, e.load, e.reported, e.label()) for e in engines]
        chats = self._owner.recent_chats(pool, endpoint_id, max_chats) if endpoint_id else []
        return ttypes.PoolReport(self._router_id, queued, reports, chats)

    def _wait(
        self, future: Future[Result[Grant, Refusal]], deadline: float
    ) -> Result[Grant, Refusal]:
        if not self._waiting_slots.acquire(blocking=False):
            self._owner.abandon(future)
            return Failure(Refusal(RefusalReason.POOL_FULL, "too many routers wait", 500))
        try:
            return future.result(max(0.0, deadline - time.monotonic()))
        except FutureTimeoutError:
            self._owner.abandon(future)
            return Failure(Refusal(RefusalReason.POOL_FULL, "no engine had room in time", 500))
        finally:
            self._waiting_slots.release()

    def _reply(self, decision: Result[Grant, Refusal], requester_revision: int) -> Any:
        if isinstance(decision, Success):
            grant = decision.unwrap()
            config = self._config.current()
            endpoint = config.endpoints_by_id.get(grant.endpoint_id)
            # Routers with the same applied revision know the same endpoint addresses.
            same_revision = config.revision == requester_revision
            is_known = same_revision and endpoint is not None and endpoint.address == grant.address
            return ttypes.AcquireReply(
                ttypes.AcquireStatus.GRANTED,
                grant_id=encode_hex(grant.grant_id),
                endpoint_id=grant.endpoint_id,
                host=None if is_known else grant.address.host,
                port=None if is_known else grant.address.port,
                kv_source=str(grant.kv_source) if grant.kv_source is not None else None,
            )
        refusal = decision.failure()
        return ttypes.AcquireReply(
            ttypes.AcquireStatus.REFUSED,
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
        )


def _decode_outcome(number: int | None) -> GrantOutcome:
    return OUTCOMES_BY_NUMBER.get(number or ttypes.ReleaseOutcome.OK, GrantOutcome.FAILED)
