"""A token bucket; performs no I/O and takes times as monotonic seconds."""

from __future__ import annotations

import math

from attrs import define


@define
class TokenBucket:
    """Token bucket that refills at a constant rate up to a burst."""

    rate: float
    """Tokens per second."""
    burst: float
    """Largest number of tokens."""
    tokens: float
    updated: float
    """Time of the last refill."""

    def refill(self, now: float) -> None:
        """Adds the tokens accrued since the last refill; an earlier time changes nothing."""
        if now > self.updated:
            self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.rate)
            self.updated = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Takes the amount and returns True, or returns False if too few tokens are left."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate and burst; tokens above the new burst are dropped."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def wait_ms(self, amount: float = 1.0) -> int:
        """Returns the milliseconds from the last refill until the amount is available."""
        missing = amount - self.tokens
        return max(0, math.ceil(missing / self.rate * 1e3)) if self.rate > 0 else 60_000
