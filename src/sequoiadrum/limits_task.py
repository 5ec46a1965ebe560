"""Task that enforces account limits over the whole fleet by leased tokens."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer.ttypes import LimitLease
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import first_ranked
from sequoiadrum.interfaces import AccountLimits
from sequoiadrum.limits import AccountBucket, LeasedShare, LeaseGrant
from sequoiadrum.messages import Account, MembersChanged, RumorReceived
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.tasks import Task
from sequoiadrum.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.timers import TimerService

_TICK_INTERVAL_S: Final = 0.1
_CALL_TIMEOUT_S: Final = 0.3
MAX_LEASE_WAIT_S: Final = 0.1
"""Longest wait of a request for a lease; a lease normally takes a few milliseconds."""
_WORKER_THREADS: Final = 8
_PREFETCH_USE_PER_S: Final = 0.5
"""Requests per second from which tokens are leased ahead; below, a request triggers the lease."""
_IDLE_USE_PER_S: Final = 1e-3
"""Requests per second below which the share of an account is dropped."""
_MAX_SHARES: Final = 50_000


@frozen
class _Tick:
    """Timer message: apply membership changes and renew leases."""


@frozen
class _Lease:
    """Lease tokens for an account."""

    account: str


class LimitsTask(Task, AccountLimits):
    """Spends leased tokens on the request threads and leases new ones ahead of demand.

    Request threads take tokens under a lock instead of through the mailbox, because an admission
    must take microseconds and must not queue behind others.
    """

    def __init__(
        self,
        config: ConfigSource,
        membership: MembershipSource,
        peers: PeerClient,
        timers: TimerService,
        metrics: Metrics,
        on_invariant: Callable[[], None],
    ) -> None:
        super().__init__("limits", metrics, on_invariant)
        self._config = config
        self._membership = membership
        self._peers = peers
        self._timers = timers
        self._condition = threading.Condition()
        self._shares_by_account: dict[str, LeasedShare] = {}
        self._buckets_by_account: dict[str, AccountBucket] = {}
        self._owners_by_account: dict[str, str] = {}
        self._usable: frozenset[str] = frozenset()
        self._owner_since = time.monotonic()
        """Start of the refill of buckets created by this router, in monotonic seconds."""
        self._leasing_accounts: set[str] = set()
        self._executor = ReportingExecutor(_WORKER_THREADS, "limits", metrics)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _Tick: self._tick,
            _Lease: lambda message: self._request_lease(message.account),
            MembersChanged: lambda _: self._refresh_members(),
            RumorReceived: lambda _: None,
        }

    def start(self) -> None:
        """Starts the thread and its timer."""
        self._refresh_members()
        self._membership.subscribe(self)
        super().start()
        self._timers.subscribe(self, _TICK_INTERVAL_S, _Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the thread and the workers."""
        super().stop(timeout_s)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def admit(self, account: str) -> Refusal | None:
        """See `AccountLimits.admit`; waits at most `MAX_LEASE_WAIT_S` for a lease."""
        limit = self._config.current().accounts_by_name.get(account)
        if limit is None:
            return Refusal(RefusalReason.ACCOUNT_UNKNOWN, f"no account {account[:100]!r}")
        now = time.monotonic()
        with self._condition:
            share = self._share(limit, now)
            share.record_use(now)
            if share.take(now):
                return None
            if now < share.denied_until or share.owner_lost:
                return _over_limit(share, limit, now)
        self.post(_Lease(account))
        return self._wait_for_tokens(share, limit, now + MAX_LEASE_WAIT_S)

    def lease_tokens(self, account: str, wanted: int, router_id: str) -> LimitLease:
        """Handles `Peer.lease_tokens`.

        A router that does not own the account grants nothing and returns the id of the owner.
        """
        limit = self._config.current().accounts_by_name.get(account)
        owner_id = self._owner(account) if limit is not None else ""
        if limit is None or owner_id != self._membership.self_id():
            self.metrics.count("limit_leases_total", result="not_owner")
            return LimitLease(granted=0, ttl_ms=0, retry_after_ms=100, owner_id=owner_id)
        grant = self._grant(limit, wanted, router_id)
        self.metrics.count("limit_leases_total", result="granted" if grant.granted else "empty")
        return LimitLease(
            granted=grant.granted,
            ttl_ms=int(grant.ttl_s * 1e3),
            retry_after_ms=grant.retry_after_ms,
        )

    def _wait_for_tokens(self, share: LeasedShare, limit: Account, until: float) -> Refusal | None:
        with self._condition:
            while True:
                now = time.monotonic()
                if share.take(now):
                    return None
                if now >= until or now < share.denied_until:
                    return _over_limit(share, limit, now)
                self._condition.wait(until - now)

    def _share(self, limit: Account, now: float) -> LeasedShare:
        share = self._shares_by_account.get(limit.name)
        if share is None:
            bucket = TokenBucket(limit.requests_per_s, limit.burst, 0.0, now)
            share = LeasedShare(bucket, updated=now)
            self._shares_by_account[limit.name] = share
        return share

    def _grant(self, limit: Account, wanted: int, router_id: str) -> LeaseGrant:
        now = time.monotonic()
        rate, burst = limit.requests_per_s, limit.burst
        with self._condition:
            bucket = self._buckets_by_account.get(limit.name)
            if bucket is None:
                bucket = AccountBucket.empty(rate, burst, self._owner_since)
                self._buckets_by_account[limit.name] = bucket
            bucket.bucket.resize(rate, burst, now)
            return bucket.lease(router_id, wanted, now)

    def _tick(self, _: _Tick) -> None:
        self._refresh_members()
        now = time.monotonic()
        due: list[str] = []
        with self._condition:
            for account, share in list(self._shares_by_account.items()):
                wanted = share.wanted(now)
                if share.use_per_s < _IDLE_USE_PER_S or len(self._shares_by_account) > _MAX_SHARES:
                    del self._shares_by_account[account]
                elif wanted and share.use_per_s >= _PREFETCH_USE_PER_S:
                    due.append(account)
        for account in due:
            self._request_lease(account)

    def _refresh_members(self) -> None:
        members = self._membership.members().values()
        usable = frozenset(member.id for member in members if member.is_usable)
        with self._condition:
            if usable == self._usable:
                return
            self._usable = usable
            self._owners_by_account.clear()
            self._owner_since = time.monotonic()
            self_id = self._membership.self_id()
            for account in list(self._buckets_by_account):
                if self._find_owner(account) != self_id:
                    del self._buckets_by_account[account]

    def _owner(self, account: str) -> str:
        with self._condition:
            owner_id = self._owners_by_account.get(account)
            if owner_id is None:
                owner_id = self._owners_by_account[account] = self._find_owner(account)
            return owner_id

    def _find_owner(self, account: str) -> str:
        return first_ranked(f"limits:{account}", self._usable) or self._membership.self_id()

    def _request_lease(self, account: str) -> None:
        """Leases tokens from the owner of an account, with one call at a time for each account."""
        limit = self._config.current().accounts_by_name.get(account)
        now = time.monotonic()
        with self._condition:
            share = self._shares_by_account.get(account)
            if limit is None or share is None or account in self._leasing_accounts:
                return
            wanted = share.wanted(now)
            if not wanted:
                return
            self._leasing_accounts.add(account)
        if self._owner(account) == self._membership.self_id():
            grant = self._grant(limit, wanted, self._membership.self_id())
            self._finish_lease(limit, share, wanted, now, Success(grant))
        else:
            self._executor.submit(self._lease_from_owner, limit, share, wanted, now)

    def _lease_from_owner(
        self, limit: Account, share: LeasedShare, wanted: int, asked_at: float
    ) -> None:
        result: Result[LeaseGrant, PeerFailure] = Failure(PeerFailure.REFUSED)
        try:
            owner_id: str | None = self._owner(limit.name)
            for _ in range(2):  # Follows one redirect to another owner.
                result, owner_id = self._call_peer(owner_id, limit.name, wanted)
                if owner_id is None:
                    break
        finally:
            self._finish_lease(limit, share, wanted, asked_at, result)

    def _call_peer(
        self, owner_id: str | None, account: str, wanted: int
    ) -> tuple[Result[LeaseGrant, PeerFailure], str | None]:
        member = self._membership.members().get(owner_id or "")
        if member is None:
            return Failure(PeerFailure.UNREACHABLE), None
        self_id = self._membership.self_id()
        result = self._peers.call(
            member.peer_address,
            lambda client: client.lease_tokens(account, wanted, self_id),
            _CALL_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            return Failure(result.failure()), None
        lease = result.unwrap()
        if lease.owner_id:
            return Failure(PeerFailure.REFUSED), lease.owner_id
        return Success(LeaseGrant(lease.granted, lease.ttl_ms / 1e3, lease.retry_after_ms)), None

    def _finish_lease(
        self,
        limit: Account,
        share: LeasedShare,
        wanted: int,
        asked_at: float,
        result: Result[LeaseGrant, PeerFailure],
    ) -> None:
        now = time.monotonic()
        with self._condition:
            self._leasing_accounts.discard(limit.name)
            if isinstance(result, Success):
                share.add(result.unwrap(), wanted, asked_at, now)
            else:
                members = len(self._membership.members())
                share.record_owner_loss(limit.requests_per_s, limit.burst, members, now)
            self._condition.notify_all()
        if isinstance(result, Failure):
            self.metrics.count("limit_owner_lost_total", reason=result.failure().value)


def _over_limit(share: LeasedShare, limit: Account, now: float) -> Refusal:
    per_token_ms = 1e3 / limit.requests_per_s if limit.requests_per_s > 0 else 60_000.0
    retry_after_ms = int(max(per_token_ms, (share.denied_until - now) * 1e3, 1.0))
    return Refusal(RefusalReason.ACCOUNT_LIMIT, "the account is over its limit", retry_after_ms)
