"""Account limits and retry budgets; performs no I/O and takes times as monotonic seconds."""

from __future__ import annotations

import math
from typing import Final

from attrs import define, field, frozen

from sequoiadrum.token_bucket import TokenBucket

RETRY_SHARE: Final = 0.1
"""Retries that each first attempt adds to the budget of its pool."""
RETRIES_PER_S: Final = 3.0
"""Retries per second that any pool may make, so that one with few requests can fail over."""
_RETRY_BURST: Final = 30.0
"""Retries that an idle pool can accumulate: ten seconds of `RETRIES_PER_S`."""
LEASE_TTL_S: Final = 2.0
"""Lifetime of leased tokens; tokens held by a failed router expire after this time."""
_USE_HALF_LIFE_S: Final = 0.5
_LEASE_HORIZON_S: Final = 1.0
"""Time that the leased tokens last at the recent rate of use.

It is long enough to bridge the loss of an owner until the conservative share has tokens, and short
enough that few tokens expire unused.
"""
_SCARCITY_PAUSE_S: Final = 0.2
"""Pause before tokens are requested again for an account that has used up its limit; bounds the
control traffic."""
_MIN_LEASE_TOKENS: Final = 1
_MAX_LEASE_TOKENS: Final = 10_000


@define
class RetryBudget:
    """Limits the retries of one pool to a share of its requests plus a constant rate."""

    _bucket: TokenBucket

    @classmethod
    def starting(cls, now: float) -> RetryBudget:
        """Returns a budget that holds the retries of one second."""
        return cls(TokenBucket(RETRIES_PER_S, _RETRY_BURST, RETRIES_PER_S, now))

    def request(self, now: float) -> None:
        """Adds the retry share of one first attempt to the budget."""
        self._bucket.refill(now)
        self._bucket.tokens = min(self._bucket.burst, self._bucket.tokens + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Takes one retry and returns True, or returns False if the budget is used up."""
        return self._bucket.take(now)


@frozen
class LeaseGrant:
    """Response of an account's owner to a router that requests tokens."""

    granted: int
    ttl_s: float
    retry_after_ms: int
    """Time until the bucket has tokens again if none were granted, else 0."""


@define
class AccountBucket:
    """Fleet-wide limit of one account, held by the router that owns the account."""

    bucket: TokenBucket
    demand_by_router: dict[str, tuple[float, float]] = field(factory=dict)
    """Tokens that each router last requested and when; used to divide scarce tokens by demand."""

    @classmethod
    def empty(cls, rate: float, burst: float, now: float) -> AccountBucket:
        """Returns an empty bucket, as the previous owner may just have leased the full burst."""
        return cls(TokenBucket(rate, burst, 0.0, now))

    def lease(self, router_id: str, wanted: int, now: float) -> LeaseGrant:
        """Grants the requested tokens, or a share by demand if too few are available."""
        wanted = max(_MIN_LEASE_TOKENS, min(_MAX_LEASE_TOKENS, wanted))
        self.bucket.refill(now)
        self.demand_by_router = {
            router: entry
            for router, entry in self.demand_by_router.items()
            if now - entry[1] < LEASE_TTL_S
        }
        self.demand_by_router[router_id] = (float(wanted), now)
        demand = sum(amount for amount, _ in self.demand_by_router.values())
        available = self.bucket.tokens
        granted = wanted
        if demand > available:
            granted = min(wanted, math.ceil(available * wanted / demand), int(available))
        self.bucket.tokens -= granted
        return LeaseGrant(granted, LEASE_TTL_S, 0 if granted else self.bucket.wait_ms())


@define
class LeasedShare:
    """Tokens that this router may spend for one account."""

    conservative: TokenBucket
    """Bucket used while no owner is reachable: the limit divided by the number of known members."""
    leases: list[tuple[float, float]] = field(factory=list)
    """Tokens and expiry time of each lease, the earliest expiry first."""
    use_per_s: float = 0.0
    """Recent rate of requests, whether admitted or refused."""
    updated: float = 0.0
    owner_lost: bool = False
    """Whether the conservative share is in use."""
    denied_until: float = 0.0
    """Time before which no tokens are requested, because the owner granted too few or was lost."""

    def record_use(self, now: float) -> None:
        """Adds one request to the recent rate."""
        self._decay(now)
        self.use_per_s += math.log(2) / _USE_HALF_LIFE_S

    def take(self, now: float) -> bool:
        """Takes one token from the leases, or from the conservative share if the owner is lost."""
        self.leases = [lease for lease in self.leases if lease[1] > now]
        for index, (tokens, expiry) in enumerate(self.leases):
            if tokens >= 1:
                self.leases[index] = (tokens - 1, expiry)
                return True
        return self.owner_lost and self.conservative.take(now)

    def add(self, grant: LeaseGrant, wanted: int, asked_at: float, now: float) -> None:
        """Adds a lease.

        Its lifetime counts from `asked_at`, when the tokens were requested, so that it never ends
        later than the owner's `ttl_s` after the grant.
        """
        self.owner_lost = False
        if grant.granted:
            self.leases.append((float(grant.granted), asked_at + grant.ttl_s))
        if grant.granted < wanted:
            self.denied_until = now + _SCARCITY_PAUSE_S

    def record_owner_loss(self, rate: float, burst: float, members: int, now: float) -> None:
        """Falls back to this router's share of the limit; leases already held stay valid."""
        share = max(1, members)
        if not self.owner_lost:
            self.owner_lost = True
            # Starts empty because tokens that the lost owner has granted count against the limit.
            self.conservative = TokenBucket(rate / share, max(1.0, burst / share), 0.0, now)
        self.conservative.resize(rate / share, max(1.0, burst / share), now)
        self.denied_until = now + _SCARCITY_PAUSE_S

    def wanted(self, now: float) -> int:
        """Returns the number of tokens to lease now; 0 while enough are held."""
        self._decay(now)
        held = sum(tokens for tokens, expiry in self.leases if expiry > now)
        target = max(1.0, self.use_per_s * _LEASE_HORIZON_S)
        if held > target / 2 or now < self.denied_until:
            return 0
        return min(_MAX_LEASE_TOKENS, math.ceil(target - held) or _MIN_LEASE_TOKENS)

    def _decay(self, now: float) -> None:
        if now > self.updated:
            self.use_per_s *= 0.5 ** ((now - self.updated) / _USE_HALF_LIFE_S)
            self.updated = now
