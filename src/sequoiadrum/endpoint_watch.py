"""Polls endpoints and the platform's list, and keeps what is known of leaving endpoints."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from sequoiadrum.engine_client import EngineFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.messages import Endpoint, LoadReport
    from sequoiadrum.platform_client import ListedInstance, PlatformClient, PlatformFailure

POLL_S: Final = 0.5
LEAVING_TTL_S: Final = 60.0
"""A rumour about a leaving endpoint is forgotten after this time unless it is repeated."""
_POLLERS: Final = 8
_FAILURES_UNTIL_DOWN: Final = 2
"""A single failed poll may be a lost packet."""
_NO_ANSWER: Final = (EngineFailure.UNREACHABLE, EngineFailure.BROKEN)


@frozen
class Polled:
    """Outcome of one poll."""

    endpoint: Endpoint
    started_at: float
    """Monotonic seconds; an answer says nothing of a crash after this time."""
    result: Result[LoadReport, EngineFailure]


@frozen
class Listed:
    """Outcome of one read of the instance list."""

    result: Result[Sequence[ListedInstance], PlatformFailure]


@define(eq=False)
class LeavingEndpoints:
    """Endpoints that are announced to leave, by source."""

    _reported: set[str] = field(factory=set)
    _listed: frozenset[str] = frozenset()
    _rumored_until: dict[str, float] = field(factory=dict)
    _drain_by_id: dict[str, tuple[int, bool]] = field(factory=dict)

    def record_report(self, endpoint_id: str, leaving: bool) -> None:
        """Takes what the endpoint says of itself."""
        if leaving:
            self._reported.add(endpoint_id)
        else:
            self._reported.discard(endpoint_id)

    def apply_list(self, leaving: Iterable[str]) -> None:
        """Takes the leaving endpoints of the platform's list."""
        self._listed = frozenset(leaving)

    def record_rumor(self, endpoint_id: str, leaving: bool, now: float) -> None:
        """Takes what another router says."""
        if leaving:
            self._rumored_until[endpoint_id] = now + LEAVING_TTL_S
        else:
            self._rumored_until.pop(endpoint_id, None)

    def record_drain(self, endpoint_id: str, draining: bool, revision: int) -> None:
        """Takes a drain that was accepted at a revision of the configuration.

        It holds until this router has that revision itself: a router that is cut off from the
        configuration would otherwise use the endpoint again when the rumour expires.
        """
        if revision >= self._drain_by_id.get(endpoint_id, (0, False))[0]:
            self._drain_by_id[endpoint_id] = (revision, draining)

    def record_revision(self, revision: int) -> None:
        """Forgets the drains that the configuration in force here contains."""
        for endpoint_id, (drained_at, _) in list(self._drain_by_id.items()):
            if drained_at <= revision:
                del self._drain_by_id[endpoint_id]

    def seen_here(self) -> frozenset[str]:
        """Gives the endpoints that this router itself saw leaving."""
        return self._listed | self._reported

    def all(self, now: float) -> frozenset[str]:
        """Gives all leaving endpoints."""
        for endpoint_id, until in list(self._rumored_until.items()):
            if until <= now:
                del self._rumored_until[endpoint_id]
        drained = {name for name, (_, draining) in self._drain_by_id.items() if draining}
        return self.seen_here() | self._rumored_until.keys() | drained


class EndpointPoller:
    """Makes the blocking reads on a bounded executor, one at a time for each endpoint."""

    def __init__(
        self, engines: EngineClient, platform: PlatformClient, post: Callable[[object], Any]
    ) -> None:
        self._engines = engines
        self._platform = platform
        self._post = post
        self._running: set[str] = set()
        self._listing = False
        self._failures_by_id: dict[str, int] = {}
        self._pool = ThreadPoolExecutor(_POLLERS, thread_name_prefix="endpoint-poll")

    def stop(self) -> None:
        """Drops what has not begun."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def poll(self, endpoints: Iterable[Endpoint]) -> None:
        """Starts a poll of each endpoint that is not being polled."""
        for endpoint in endpoints:
            if endpoint.id not in self._running:
                self._running.add(endpoint.id)
                self._pool.submit(self._poll_one, endpoint)

    def read_list(self) -> None:
        """Starts a read of the platform's list unless one is running."""
        if not self._listing:
            self._listing = True
            self._pool.submit(self._read_list)

    def health(self, polled: Polled) -> bool | None:
        """Judges a poll: up, down, or None when a single failure leaves it open.

        An endpoint that refuses the poll is up.
        """
        endpoint_id = polled.endpoint.id
        if isinstance(polled.result, Success) or polled.result.failure() not in _NO_ANSWER:
            self._failures_by_id.pop(endpoint_id, None)
            return True
        failures = self._failures_by_id[endpoint_id] = self._failures_by_id.get(endpoint_id, 0) + 1
        return False if failures >= _FAILURES_UNTIL_DOWN else None

    def _poll_one(self, endpoint: Endpoint) -> None:
        started_at = time.monotonic()
        result: Result[LoadReport, EngineFailure]
        try:
            result = self._engines.load(endpoint.address)
        except Exception:  # A malformed answer must not stop the polling of the endpoint.
            result = Failure(EngineFailure.BROKEN)
        finally:
            self._running.discard(endpoint.id)
        self._post(Polled(endpoint, started_at, result))

    def _read_list(self) -> None:
        try:
            self._post(Listed(self._platform.list_instances()))
        finally:
            self._listing = False
