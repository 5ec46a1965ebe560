"""Requests grants from pool owners on other routers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import decode_grant_id, encode_hex
from sequoiadrum.addressing import parse_address
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import Grant
from sequoiadrum.messages import Address
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.pool_owner import MAX_WAIT_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from sequoiadrum.configuration import ConfigState
    from sequoiadrum.grant_outbox import GrantOutbox
    from sequoiadrum.interfaces import AdmissionRequest, ConfigSource
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.pool_directory import PoolDirectory
    from sequoiadrum.pool_owner import GrantHolder

_CALL_MARGIN_S: Final = 0.5
"""Time allowed for a call in addition to the wait in the owner's queue."""
_MAX_OWNER_ATTEMPTS: Final = 3
"""Largest number of owners tried for one request."""


class RemoteAdmission:
    """Client of `Peer.acquire`; calls run on the thread of the request."""

    def __init__(
        self,
        holder: GrantHolder,
        client: PeerClient,
        directory: PoolDirectory,
        outbox: GrantOutbox,
        config: ConfigSource,
        metrics: Metrics,
    ) -> None:
        self._holder = holder
        self._client = client
        self._directory = directory
        self._outbox = outbox
        self._config = config
        self._metrics = metrics

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal] | None:
        """Requests a grant from the owner of the pool, and from the next ones if it fails.

        Returns:
            The decision, or None if this router must decide the request itself.
        """
        forced = False
        config = self._config.current()
        for _ in range(_MAX_OWNER_ATTEMPTS):
            owner = self._directory.available_owner(request.pool)
            if owner is None or owner == self._holder.router_id:
                return None
            if excluded:
                # The owner must receive the outcome of the failed attempt before the retry.
                self._outbox.flush_releases(owner)
            reply = self._call(owner, request, excluded, config.revision, forced)
            if isinstance(reply, Success) and reply.unwrap().status == _NOT_OWNER:
                hinted_owner = reply.unwrap().owner_id
                if hinted_owner == self._holder.router_id:
                    return None
                self._metrics.count("retries_total", reason="not_owner")
                owner = hinted_owner if self._directory.address_of(hinted_owner or "") else owner
                reply = self._call(owner, request, excluded, config.revision, forced=True)
            if isinstance(reply, Success):
                return self._to_decision(reply.unwrap(), request, owner, config)
            # The owner may have granted the request although its reply was lost.
            self._outbox.request_report(owner, request.pool)
            if time.monotonic() >= request.deadline:
                break
            self._directory.mark_unresponsive(owner)
            self._metrics.count("retries_total", reason=f"owner_{reply.failure().value}")
            # In the next router's view the failed one may still own the pool, so force a decision.
            forced = True
        return Failure(Refusal(RefusalReason.OWNER_UNREACHABLE, "no pool owner answered", 1_000))

    def _call(
        self,
        owner: str,
        request: AdmissionRequest,
        excluded: Collection[str],
        revision: int,
        forced: bool,
    ) -> Result[Any, PeerFailure]:
        address = self._directory.address_of(owner)
        if address is None:
            return Failure(PeerFailure.UNREACHABLE)
        remaining_s = min(MAX_WAIT_S, max(0.0, request.deadline - time.monotonic()))
        message = ttypes.AcquireRequest(
            pool=request.pool,
            chat_id=request.chat_id,
            account=request.account,
            priority=request.priority if request.priority != 1 else None,
            cost=request.cost if request.cost != 1.0 else None,
            deadline_ms=int(remaining_s * 1e3),
            fingerprint=encode_hex(request.fingerprint) or None,
            router_id=self._holder.router_id,
            router_process_id=self._holder.process_id,
            config_revision=revision,
            excluded_endpoints=list(excluded) or None,
            forced=forced or None,
            last_endpoint=request.last_endpoint or None,
        )
        return self._client.call(
            address, lambda c: c.acquire(message), remaining_s + _CALL_MARGIN_S
        )

    def _to_decision(
        self, reply: Any, request: AdmissionRequest, owner: str, config: ConfigState
    ) -> Result[Grant, Refusal]:
        if reply.status != ttypes.AcquireStatus.GRANTED:
            is_known = reply.reason in RefusalReason._value2member_map_
            reason = RefusalReason(reply.reason) if is_known else RefusalReason.NO_ENDPOINT
            return Failure(Refusal(reason, "refused by the pool owner", reply.retry_after_ms))
        if reply.host is not None:
            address = Address(reply.host, reply.port)
        else:
            endpoint = config.endpoints_by_id.get(reply.endpoint_id)
            if endpoint is None:
                # This router does not hold the grant, so the next report ends it.
                self._outbox.request_report(owner, request.pool)
                detail = "the pool owner granted an unknown endpoint"
                return Failure(Refusal(RefusalReason.NO_ENDPOINT, detail, 1_000))
            address = endpoint.address
        grant = Grant(
            decode_grant_id(reply.grant_id),
            request.pool,
            reply.endpoint_id,
            address,
            owner,
            parse_address(reply.kv_source) if reply.kv_source else None,
        )
        self._outbox.hold(grant, request)
        return Success(grant)


_NOT_OWNER: Final = ttypes.AcquireStatus.NOT_OWNER
