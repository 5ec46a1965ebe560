"""Polls endpoints and the platform's instance list, and tracks leaving endpoints."""

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

POLL_INTERVAL_S: Final = 0.5
"""Interval of the polls of each endpoint."""
LEAVING_TTL_S: Final = 60.0
"""Lifetime of a rumor about a leaving endpoint; each further rumor renews it."""
_POLLER_THREADS: Final = 8
_FAILURES_UNTIL_DOWN: Final = 2
"""Failed polls in a row that mark an endpoint as down; a single one may be a lost packet."""
_NO_RESPONSE: Final = (EngineFailure.UNREACHABLE, EngineFailure.BROKEN)


@frozen
class Polled:
    """Result of one poll of an endpoint."""

    endpoint: Endpoint
    started_at: float
    """Monotonic seconds; a success does not disprove a crash after this time."""
    result: Result[LoadReport, EngineFailure]


@frozen
class Listed:
    """Result of one read of the platform's instance list."""

    result: Result[Sequence[ListedInstance], PlatformFailure]


@define(eq=False)
class LeavingEndpoints:
    """Endpoints that are announced to leave, kept separately for each source."""

    _reported: set[str] = field(factory=set)
    _listed: frozenset[str] = frozenset()
    _rumored_until: dict[str, float] = field(factory=dict)
    _drain_by_id: dict[str, tuple[int, bool]] = field(factory=dict)

    def record_report(self, endpoint_id: str, leaving: bool) -> None:
        """Records whether an endpoint reports itself as leaving."""
        if leaving:
            self._reported.add(endpoint_id)
        else:
            self._reported.discard(endpoint_id)

    def apply_list(self, leaving: Iterable[str]) -> None:
        """Replaces the ids of the endpoints that are leaving according to the platform's list."""
        self._listed = frozenset(leaving)

    def record_rumor(self, endpoint_id: str, leaving: bool, now: float) -> None:
        """Records another router's rumor about an endpoint; it expires after `LEAVING_TTL_S`."""
        if leaving:
            self._rumored_until[endpoint_id] = now + LEAVING_TTL_S
        else:
            self._rumored_until.pop(endpoint_id, None)

    def record_drain(self, endpoint_id: str, draining: bool, revision: int) -> None:
        """Records a drain, or its end, that was accepted at a revision of the configuration.

        The entry stays until this router has applied that revision: a router that is partitioned
        from the configuration would otherwise use the endpoint again when the rumor expires.
        """
        if revision >= self._drain_by_id.get(endpoint_id, (0, False))[0]:
            self._drain_by_id[endpoint_id] = (revision, draining)

    def record_revision(self, revision: int) -> None:
        """Removes the drains that are part of the applied revision of the configuration."""
        for endpoint_id, (drained_at, _) in list(self._drain_by_id.items()):
            if drained_at <= revision:
                del self._drain_by_id[endpoint_id]

    def observed_locally(self) -> frozenset[str]:
        """Returns the leaving endpoints known from polls and the instance list, without rumors."""
        return self._listed | self._reported

    def all(self, now: float) -> frozenset[str]:
        """Returns the leaving endpoints of all sources; removes expired rumors."""
        for endpoint_id, until in list(self._rumored_until.items()):
            if until <= now:
                del self._rumored_until[endpoint_id]
        drained = {name for name, (_, draining) in self._drain_by_id.items() if draining}
        return self.observed_locally() | self._rumored_until.keys() | drained


class EndpointPoller:
    """Runs blocking polls on a bounded executor, one at a time for each endpoint."""

    def __init__(
        self, engines: EngineClient, platform: PlatformClient, post: Callable[[object], Any]
    ) -> None:
        self._engines = engines
        self._platform = platform
        self._post = post
        self._polling_ids: set[str] = set()
        self._is_reading_list = False
        self._failures_by_id: dict[str, int] = {}
        self._executor = ThreadPoolExecutor(_POLLER_THREADS, thread_name_prefix="endpoint-poll")

    def stop(self) -> None:
        """Cancels the polls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def poll(self, endpoints: Iterable[Endpoint]) -> None:
        """Starts a poll of each endpoint unless one is running; posts each result as `Polled`."""
        for endpoint in endpoints:
            if endpoint.id not in self._polling_ids:
                self._polling_ids.add(endpoint.id)
                self._executor.submit(self._poll_endpoint, endpoint)

    def read_list(self) -> None:
        """Starts a read of the instance list unless one is running; posts a `Listed`."""
        if not self._is_reading_list:
            self._is_reading_list = True
            self._executor.submit(self._read_list)

    def health(self, polled: Polled) -> bool | None:
        """Returns whether an endpoint is healthy after a poll, or None after a single failure.

        An endpoint that refuses the poll is healthy. Call once for each poll, as failures in a row
        are counted.
        """
        endpoint_id = polled.endpoint.id
        if isinstance(polled.result, Success) or polled.result.failure() not in _NO_RESPONSE:
            self._failures_by_id.pop(endpoint_id, None)
            return True
        failures = self._failures_by_id[endpoint_id] = self._failures_by_id.get(endpoint_id, 0) + 1
        return False if failures >= _FAILURES_UNTIL_DOWN else None

    def _poll_endpoint(self, endpoint: Endpoint) -> None:
        started_at = time.monotonic()
        result: Result[LoadReport, EngineFailure]
        try:
            result = self._engines.load(endpoint.address)
        except Exception:  # A malformed response must not stop the polling of the endpoint.
            result = Failure(EngineFailure.BROKEN)
        finally:
            self._polling_ids.discard(endpoint.id)
        self._post(Polled(endpoint, started_at, result))

    def _read_list(self) -> None:
        try:
            self._post(Listed(self._platform.list_instances()))
        finally:
            self._is_reading_list = False
