"""The owner's side of the admission calls of `schema/peer.thrift`."""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import fingerprint_of, grant_id_of, number_of
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.grant_outbox import OUTCOMES_BY_NUMBER
from sequoiadrum.interfaces import AdmissionRequest, Grant, GrantOutcome
from sequoiadrum.pool_messages import ReportedGrant
from sequoiadrum.pool_owner import GrantHolder

if TYPE_CHECKING:
    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.pool_directory import PoolDirectory
    from sequoiadrum.pool_owner import PoolOwner

MAX_WAITING: Final = 128
"""Peers' requests that wait at once; each holds a connection, and releases need free ones."""
MAX_COST: Final = 1_000.0
"""Heavier requests are refused; an infinite cost would never be served by the queue's rounds."""


class PeerAdmission:
    """Answers `acquire`, `release` and `report_grants` on the threads of the peer server."""

    def __init__(
        self, router_id: str, owner: PoolOwner, directory: PoolDirectory, config: ConfigSource
    ) -> None:
        self._router_id = router_id
        self._owner = owner
        self._directory = directory
        self._config = config
        self._waiting = threading.BoundedSemaphore(MAX_WAITING)

    def acquire(self, request: Any) -> Any:
        """Decides a peer's request, or names the owner."""
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
            fingerprint=fingerprint_of(request.fingerprint),
            last_endpoint=request.last_endpoint or "",
        )
        holder = GrantHolder(request.router_id, request.router_process_id)
        decision = self._owner.acquire(wanted, request.excluded_endpoints or (), holder)
        if isinstance(decision, Future):
            decision = self._wait(decision, wanted.deadline)
        return self._reply(decision, request.config_revision)

    def release(self, pool: str, releases: list[Any]) -> None:
        """Ends grants; outcomes of a newer version count as failures."""
        self._owner.release(
            pool,
            [(grant_id_of(r.grant_id), _outcome(r.outcome)) for r in releases],
        )

    def report(self, pool: str, holder: GrantHolder, grants: list[Any]) -> None:
        """Takes all grants of a pool that a router holds."""
        self._owner.report(
            pool,
            holder,
            [
                ReportedGrant(
                    grant_id_of(g.grant_id),
                    g.endpoint_id,
                    g.chat_id,
                    g.cost,
                    fingerprint_of(g.fingerprint),
                )
                for g in grants
                if 0 < g.cost <= MAX_COST
            ],
        )

    def confirm(self, pool: str, holder: GrantHolder, grant_ids: list[int]) -> list[int]:
        """Takes the ids of all grants of a pool that a router holds; gives the unknown ones."""
        unknown = self._owner.confirm(pool, holder, [grant_id_of(n) for n in grant_ids])
        return [number_of(grant_id) for grant_id in unknown]

    def inspect(self, pool: str, endpoint_id: str, max_chats: int) -> Any:
        """Gives the loads of a pool as they are decided here."""
        queued, engines = self._owner.inspect(pool)
        reports = [ttypes.EndpointReport(e.id, e.load, e.reported, e.label()) for e in engines]
        chats = self._owner.recent_chats(pool, endpoint_id, max_chats) if endpoint_id else []
        return ttypes.PoolReport(self._router_id, queued, reports, chats)

    def _wait(
        self, future: Future[Result[Grant, Refusal]], deadline: float
    ) -> Result[Grant, Refusal]:
        if not self._waiting.acquire(blocking=False):
            self._owner.abandon(future)
            return Failure(Refusal(RefusalReason.POOL_FULL, "too many routers wait", 500))
        try:
            return future.result(max(0.0, deadline - time.monotonic()))
        except FutureTimeoutError:
            self._owner.abandon(future)
            return Failure(Refusal(RefusalReason.POOL_FULL, "no engine had room in time", 500))
        finally:
            self._waiting.release()

    def _reply(self, decision: Result[Grant, Refusal], asker_revision: int) -> Any:
        if isinstance(decision, Success):
            grant = decision.unwrap()
            config = self._config.current()
            endpoint = config.endpoints_by_id.get(grant.endpoint_id)
            # Routers with the same revision in force have the same declarations.
            same = config.revision == asker_revision
            is_known = same and endpoint is not None and endpoint.address == grant.address
            return ttypes.AcquireReply(
                ttypes.AcquireStatus.GRANTED,
                grant_id=number_of(grant.grant_id),
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


def _outcome(number: int | None) -> GrantOutcome:
    return OUTCOMES_BY_NUMBER.get(number or ttypes.ReleaseOutcome.OK, GrantOutcome.FAILED)
