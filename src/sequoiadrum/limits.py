"""Account limits and retry budgets, without I/O; time is passed in as monotonic seconds."""

from __future__ import annotations

import math
from typing import Final

from attrs import define, field, frozen

RETRY_SHARE: Final = 0.1
"""Retries that each request adds to the budget of its pool."""
RETRIES_PER_S: Final = 3.0
"""Retries per second that a pool may always make, so that a quiet pool can fail over."""
_RETRY_BURST: Final = 30.0
"""Ten seconds of `RETRIES_PER_S`: what a quiet time saves up at most."""
LEASE_TTL_S: Final = 2.0
"""Life of leased tokens; tokens that a lost router held are gone after this time."""
_USE_HALF_LIFE_S: Final = 0.5
_LEASE_AHEAD_S: Final = 1.0
"""Leases cover this much of the recent use: long enough to bridge the loss of an owner until the
conservative share has tokens, and short enough that little is lost by expiry."""
_SCARCE_PAUSE_S: Final = 0.2
"""Pause before an account that has used up its limit asks again; bounds the control traffic."""
_MIN_CHUNK: Final = 1
_MAX_CHUNK: Final = 10_000


@define
class TokenBucket:
    """Tokens that flow in at a rate, up to a burst."""

    rate: float
    """Tokens per second."""
    burst: float
    tokens: float
    updated: float
    """Time up to which the inflow is counted."""

    def refill(self, now: float) -> None:
        """Counts the inflow up to a time; an earlier time changes nothing."""
        if now > self.updated:
            self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.rate)
            self.updated = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Takes the amount if it is there."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Applies another rate and burst from now on."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def wait_ms(self, amount: float = 1.0) -> int:
        """Gives the time until the amount is there, as of the last refill."""
        missing = amount - self.tokens
        return max(0, math.ceil(missing / self.rate * 1e3)) if self.rate > 0 else 60_000


@define
class RetryBudget:
    """Bounds the retries of one pool to a share of its requests plus a small rate."""

    _bucket: TokenBucket

    @classmethod
    def starting(cls, now: float) -> RetryBudget:
        """Starts with the retries of one second."""
        return cls(TokenBucket(RETRIES_PER_S, _RETRY_BURST, RETRIES_PER_S, now))

    def request(self, now: float) -> None:
        """Counts a first attempt."""
        self._bucket.refill(now)
        self._bucket.tokens = min(self._bucket.burst, self._bucket.tokens + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Takes one retry if the budget has it."""
        return self._bucket.take(now)


@frozen
class LeaseGrant:
    """Tokens that an account's owner gives to a router."""

    granted: int
    ttl_s: float
    retry_after_ms: int
    """When to ask again if nothing was granted."""


@define
class AccountBucket:
    """The whole limit of one account, held by the account's owner."""

    bucket: TokenBucket
    demand_by_router: dict[str, tuple[float, float]] = field(factory=dict)
    """Tokens last asked for and when; divides a scarce bucket in proportion to use."""

    @classmethod
    def empty(cls, rate: float, burst: float, now: float) -> AccountBucket:
        """Starts without tokens: the former owner may have leased the whole burst just now."""
        return cls(TokenBucket(rate, burst, 0.0, now))

    def lease(self, router_id: str, wanted: int, now: float) -> LeaseGrant:
        """Grants what is wanted, or a share in proportion to demand when that is not there."""
        wanted = max(_MIN_CHUNK, min(_MAX_CHUNK, wanted))
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
    """The tokens that this router may spend for one account."""

    conservative: TokenBucket
    """Used while no owner is in reach: the limit divided by the number of known members."""
    chunks: list[tuple[float, float]] = field(factory=list)
    """Tokens and expiry of each lease, the first to expire first."""
    use_per_s: float = 0.0
    """Recent rate of requests, admitted or not."""
    updated: float = 0.0
    owner_lost: bool = False
    """Whether the conservative share is in use."""
    denied_until: float = 0.0
    """The owner has said that nothing is there before this time."""

    def record_use(self, now: float) -> None:
        """Counts one request in the recent rate."""
        self._decay(now)
        self.use_per_s += math.log(2) / _USE_HALF_LIFE_S

    def take(self, now: float) -> bool:
        """Takes one token from the leases, or from the conservative share."""
        self.chunks = [chunk for chunk in self.chunks if chunk[1] > now]
        for index, (tokens, expiry) in enumerate(self.chunks):
            if tokens >= 1:
                self.chunks[index] = (tokens - 1, expiry)
                return True
        return self.owner_lost and self.conservative.take(now)

    def add(self, grant: LeaseGrant, wanted: int, asked_at: float, now: float) -> None:
        """Adds a lease; its life counts from the asking, so that it never ends too late."""
        self.owner_lost = False
        if grant.granted:
            self.chunks.append((float(grant.granted), asked_at + grant.ttl_s))
        if grant.granted < wanted:
            self.denied_until = now + _SCARCE_PAUSE_S

    def lose_owner(self, rate: float, burst: float, members: int, now: float) -> None:
        """Falls back on this router's part of the limit; leases already held stay valid."""
        share = max(1, members)
        if not self.owner_lost:
            self.owner_lost = True
            # Starts empty: what the lost owner granted until now counts against the limit.
            self.conservative = TokenBucket(rate / share, max(1.0, burst / share), 0.0, now)
        self.conservative.resize(rate / share, max(1.0, burst / share), now)
        self.denied_until = now + _SCARCE_PAUSE_S

    def wanted(self, now: float) -> int:
        """Tells how many tokens to lease now; 0 while enough are held."""
        self._decay(now)
        held = sum(tokens for tokens, expiry in self.chunks if expiry > now)
        target = max(1.0, self.use_per_s * _LEASE_AHEAD_S)
        if held > target / 2 or now < self.denied_until:
            return 0
        return min(_MAX_CHUNK, math.ceil(target - held) or _MIN_CHUNK)

    def _decay(self, now: float) -> None:
        if now > self.updated:
            self.use_per_s *= 0.5 ** ((now - self.updated) / _USE_HALF_LIFE_S)
            self.updated = now
