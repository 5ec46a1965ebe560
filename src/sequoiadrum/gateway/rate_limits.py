"""Rates that endpoints name in their responses, shared by all routers; performs no I/O.

A named rate is for all routers together, and each router alone stays far below it. One router, the
owner, therefore hands out the units of an endpoint's rate; the others ask it before each request.
"""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import MemberState
from sequoiadrum.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sequoiadrum.messages import Member

LIMIT_TTL_S: Final = 5.0
"""A limit that no response has named for this long is not in force any more. Responses confirm it
at its own rate; a limit below one request per second is kept for as many requests."""
MAX_LIMIT_TTL_S: Final = 30.0
BURST_S: Final = 0.5
"""Units that an owner saves up while nobody asks, as a time at the full rate."""
MAX_WAIT_S: Final = 1.0
"""Longest time for which a router does not ask again after a refusal."""
MIN_WAIT_S: Final = 0.02
"""Shortest such time; other routers wait for the next unit as well."""
MAX_LIMITS: Final = 2_000
"""Endpoints whose limits are kept; the one observed first is evicted."""


@frozen
class NamedLimit:
    """What the last known response of an endpoint said about its rate."""

    requests_per_s: float | None
    """Requests that it takes from all routers together; None if it named no limit."""
    observed_at: float
    """Monotonic seconds of the response."""

    @property
    def expires_at(self) -> float:
        """Monotonic seconds after which the observation does not count any more."""
        rate = 1.0 if self.requests_per_s is None else min(1.0, self.requests_per_s)
        ttl_s = LIMIT_TTL_S / rate if rate > 0 else MAX_LIMIT_TTL_S
        return self.observed_at + min(MAX_LIMIT_TTL_S, ttl_s)


@frozen
class Grant:
    """The decision about one request to an endpoint with a limit."""

    is_granted: bool
    wait_s: float = 0.0
    """Seconds after which another request may be asked for, if this one was refused."""


@define(eq=False)
class RateLimits:
    """The limits that this router knows, by `load_board.endpoint_key`; safe to use from any thread.

    The newest observation of any router wins, in whichever order they arrive.
    """

    _limit_by_endpoint: OrderedDict[int, NamedLimit] = field(factory=OrderedDict)
    _bucket_by_endpoint: dict[int, TokenBucket] = field(factory=dict)
    """Buckets of the endpoints for which this router has decided."""
    _refused_until_by_endpoint: dict[int, float] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def record(self, endpoint: int, named: NamedLimit, now: float) -> bool:
        """Records an observation; returns whether it puts a limit into force or lifts it."""
        with self._lock:
            known = self._limit_by_endpoint.get(endpoint)
            if named.requests_per_s is None and known is None:
                return False
            if known is not None and known.observed_at >= named.observed_at:
                return False
            before = self._in_force(endpoint, now)
            self._limit_by_endpoint[endpoint] = named
            if len(self._limit_by_endpoint) > MAX_LIMITS:
                self._forget(next(iter(self._limit_by_endpoint)))
            return (before is None) != (self._in_force(endpoint, now) is None)

    def has_any(self) -> bool:
        """Returns whether any endpoint has named a limit recently."""
        return bool(self._limit_by_endpoint)

    def in_force(self, endpoint: int, now: float) -> float | None:
        """Returns the requests per second that an endpoint takes; None without a limit."""
        if not self._limit_by_endpoint:
            return None
        with self._lock:
            return self._in_force(endpoint, now)

    def known(self, now: float) -> dict[int, NamedLimit]:
        """Returns the observations that other routers should know."""
        with self._lock:
            for endpoint, named in list(self._limit_by_endpoint.items()):
                if now > named.expires_at:
                    self._forget(endpoint)
            return dict(self._limit_by_endpoint)

    def decide(self, endpoint: int, now: float) -> Grant:
        """Decides, as the owner, whether a request may be sent now."""
        with self._lock:
            requests_per_s = self._in_force(endpoint, now)
            if requests_per_s is None:
                return Grant(is_granted=True)
            burst = max(1.0, requests_per_s * BURST_S)
            bucket = self._bucket_by_endpoint.get(endpoint)
            if bucket is None:
                # It starts empty: a new owner does not know what its predecessor has granted.
                bucket = TokenBucket(requests_per_s, burst, 0.0, now)
                self._bucket_by_endpoint[endpoint] = bucket
            bucket.resize(requests_per_s, burst, now)
            if bucket.take(now):
                return Grant(is_granted=True)
            wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, bucket.wait_ms() / 1e3))
            return Grant(is_granted=False, wait_s=wait_s)

    def refuse_until(self, endpoint: int, until: float) -> None:
        """Withholds requests from an endpoint until a time in monotonic seconds."""
        with self._lock:
            if endpoint in self._limit_by_endpoint:
                self._refused_until_by_endpoint[endpoint] = until

    def refused_until(self, endpoint: int, now: float) -> float:
        """Returns the time until which requests are withheld; a time in the past if they are not.

        Args:
            endpoint: Key of the endpoint.
            now: Monotonic seconds.
        """
        if not self._refused_until_by_endpoint:
            return float("-inf")
        with self._lock:
            if self._in_force(endpoint, now) is None:
                return float("-inf")
            return self._refused_until_by_endpoint.get(endpoint, float("-inf"))

    def _in_force(self, endpoint: int, now: float) -> float | None:
        named = self._limit_by_endpoint.get(endpoint)
        if named is None or now > named.expires_at:
            return None
        return named.requests_per_s

    def _forget(self, endpoint: int) -> None:
        del self._limit_by_endpoint[endpoint]
        self._bucket_by_endpoint.pop(endpoint, None)
        self._refused_until_by_endpoint.pop(endpoint, None)


class QuotaSource(ABC):
    """Obtains units of the rates that endpoints named, and of those of cold endpoints."""

    @abstractmethod
    def acquire(self, endpoint: int) -> bool:
        """Asks whether one request may be sent to an endpoint now; blocks for a moment.

        After a refusal, `RateLimits.refused_until` says when to ask again.
        """

    @abstractmethod
    def acquire_cold(self, endpoint: int, permitted_per_s: float) -> bool:
        """Asks whether one request may be sent to a cold endpoint now; blocks for a moment.

        After a refusal, `ColdEndpoints.refused_until` says when to ask again.

        Args:
            endpoint: Key of the endpoint.
            permitted_per_s: Requests that it may receive from all routers in any one second.
        """


def quota_owner(endpoint: int, members: Mapping[str, Member]) -> str | None:
    """Returns the id of the router that hands out an endpoint's rate; None without live routers."""
    alive: Iterable[str] = (m.id for m in members.values() if m.state is MemberState.ALIVE)
    return first_ranked(f"rate-owner {endpoint}", alive)
