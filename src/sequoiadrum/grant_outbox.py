"""Grants that this router holds, and the releases and reports sent to their pool owners."""

from __future__ import annotations

import threading
import time
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from attrs import define
from returns.result import Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import encode_hex
from sequoiadrum.interfaces import GrantOutcome
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.interfaces import AdmissionRequest, Grant
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.pool_owner import GrantHolder

BATCH_DELAY_S: Final = 0.02
"""Longest delay of a release, so that releases to the same owner are sent in one batch."""
BATCH_LIMIT: Final = 64
"""Number of pending releases of a pool at which they are sent without delay."""
_CALL_TIMEOUT_S: Final = 1.0
_SENDER_THREADS: Final = 4
_MAX_PENDING_RELEASES: Final = 10_000
"""Releases kept for each owner and pool; the next report makes up for those dropped beyond it."""

_OUTCOMES: Final = {
    GrantOutcome.OK: ttypes.ReleaseOutcome.OK,
    GrantOutcome.FAILED: ttypes.ReleaseOutcome.FAILED,
    GrantOutcome.CRASHED: ttypes.ReleaseOutcome.CRASHED,
    GrantOutcome.CANCELLED: ttypes.ReleaseOutcome.CANCELLED,
    GrantOutcome.REFUSED: ttypes.ReleaseOutcome.REFUSED,
}
OUTCOMES_BY_NUMBER: Final = {number: outcome for outcome, number in _OUTCOMES.items()}


@define(eq=False)
class _Held:
    """One grant held by this router."""

    grant: Grant
    request: AdmissionRequest
    owners: set[str]
    """Routers that count the grant: the one that granted it and those it was reported to."""
    held_since: float
    """Time of the grant, in monotonic seconds."""


class GrantOutbox:
    """Sends releases and reports on a few threads, one call at a time to each owner.

    The calls to one owner stay in order. A report therefore never restores a grant whose release
    was sent before it.
    """

    def __init__(
        self,
        holder: GrantHolder,
        client: PeerClient,
        address_of: Callable[[str], Address | None],
        metrics: Metrics,
    ) -> None:
        """Creates an outbox that sends nothing until `start`.

        Args:
            holder: Process of this router.
            client: Client for calls to peers.
            address_of: Returns the peer address of a router, or None if the router is unknown.
            metrics: Registry for the counters of batches and lost messages.
        """
        self._holder = holder
        self._client = client
        self._address_of = address_of
        self._metrics = metrics
        self._condition = threading.Condition()
        self._held_by_id: dict[str, _Held] = {}
        self._pending_releases: dict[str, dict[str, list[tuple[str, GrantOutcome]]]] = {}
        self._due_by_owner: dict[str, float] = {}
        self._queued_reports: dict[str, dict[str, bool]] = {}
        """Reports to send, by owner and pool; the value is whether the report carries ids only."""
        self._requested_reports: dict[str, set[str]] = {}
        """Pools of each owner for which the next periodic report must not be skipped."""
        self._busy_owners: set[str] = set()
        self._stopped = False
        self._executor = ReportingExecutor(_SENDER_THREADS, "grant-sender", metrics)
        self.thread: Final = SupervisedThread("grant-outbox", self._run, metrics)

    def start(self) -> None:
        """Starts the thread that sends due batches."""
        self.thread.start()

    def stop(self) -> None:
        """Stops the threads and sends the pending releases."""
        self.thread.stop()
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        if self.thread.is_alive():
            self.thread.join(2 * _CALL_TIMEOUT_S)
        for owner in list(self._pending_releases):
            self.flush_releases(owner)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def hold(self, grant: Grant, request: AdmissionRequest) -> None:
        """Records a grant that this router has received."""
        with self._condition:
            self._held_by_id[grant.grant_id] = _Held(
                grant, request, {grant.owner_id}, time.monotonic()
            )

    def request_report(self, owner_id: str, pool: str) -> None:
        """Includes a pool in the next periodic report because a call to its owner failed."""
        with self._condition:
            self._requested_reports.setdefault(owner_id, set()).add(pool)

    def release(self, grant: Grant, outcome: GrantOutcome) -> bool:
        """Ends a grant and queues releases to the other routers that count it; performs no I/O.

        Returns:
            Whether this router itself counts the grant as a pool owner.
        """
        with self._condition:
            held = self._held_by_id.pop(grant.grant_id, None)
            owners = held.owners if held is not None else {grant.owner_id}
            for owner in owners - {self._holder.router_id}:
                self._queue_release(owner, grant, outcome)
            return self._holder.router_id in owners

    def held_pools(self, age_s: float) -> set[str]:
        """Returns the pools with a grant that has been held for at least `age_s`."""
        latest = time.monotonic() - age_s
        with self._condition:
            return {h.grant.pool for h in self._held_by_id.values() if h.held_since <= latest}

    def unreported_pools(self, owner_of: Callable[[str], str | None]) -> dict[str, set[str]]:
        """Returns by owner the pools with a grant that their current owner does not count."""
        pools_by_owner: dict[str, set[str]] = {}
        with self._condition:
            for held in self._held_by_id.values():
                owner = owner_of(held.grant.pool)
                if owner is not None and owner not in held.owners:
                    pools_by_owner.setdefault(owner, set()).add(held.grant.pool)
        return pools_by_owner

    def queue_report(self, owner_id: str, pool: str, ids_only: bool) -> None:
        """Queues a report of all held grants of a pool, whichever router granted them.

        Args:
            owner_id: Owner that receives the report.
            pool: Name of the pool.
            ids_only: Whether to send the ids only; the complete grants follow if the owner does not
                know all of them.
        """
        with self._condition:
            reports = self._queued_reports.setdefault(owner_id, {})
            reports[pool] = ids_only and reports.get(pool, True)
            self._due_by_owner[owner_id] = 0.0
            self._condition.notify_all()

    def flush_releases(self, owner_id: str) -> None:
        """Waits until an owner has received all releases up to now; sends the pending ones itself.

        Another thread may be sending some of them; these arrive first. An owner that does not
        respond ends the wait after the timeout of a call.
        """
        with self._condition:
            is_idle = self._condition.wait_for(
                lambda: owner_id not in self._busy_owners, _CALL_TIMEOUT_S
            )
            pending = self._pending_releases.pop(owner_id, {})
            if is_idle:
                self._busy_owners.add(owner_id)
        try:
            self._send_releases(owner_id, pending)
        finally:
            if is_idle:
                with self._condition:
                    self._busy_owners.discard(owner_id)
                    self._condition.notify_all()

    def build_report(self, owner_id: str, pool: str) -> list[Any]:
        """Returns the entries of a pool's report and records that the owner counts the grants."""
        with self._condition:
            entries = []
            for held in self._held_by_id.values():
                if held.grant.pool == pool:
                    held.owners.add(owner_id)
                    entries.append(
                        ttypes.HeldGrant(
                            encode_hex(held.grant.grant_id),
                            held.grant.endpoint_id,
                            held.request.chat_id,
                            held.request.cost,
                            encode_hex(held.request.fingerprint),
                        )
                    )
            return entries

    def _queue_release(self, owner: str, grant: Grant, outcome: GrantOutcome) -> None:
        releases = self._pending_releases.setdefault(owner, {}).setdefault(grant.pool, [])
        if len(releases) >= _MAX_PENDING_RELEASES:
            self._metrics.count("releases_lost_total")
            self._requested_reports.setdefault(owner, set()).add(grant.pool)
            return
        releases.append((grant.grant_id, outcome))
        wait = (
            0.0
            if len(releases) >= BATCH_LIMIT or outcome is GrantOutcome.CRASHED
            else BATCH_DELAY_S
        )
        due = time.monotonic() + wait
        if due < self._due_by_owner.get(owner, float("inf")):
            self._due_by_owner[owner] = due
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                now = time.monotonic()
                ready = [
                    owner
                    for owner, due in self._due_by_owner.items()
                    if due <= now and owner not in self._busy_owners
                ]
                if not ready:
                    waits = [d for o, d in self._due_by_owner.items() if o not in self._busy_owners]
                    self._condition.wait(max(0.0, min(waits) - now) if waits else None)
                    continue
                for owner in ready:
                    del self._due_by_owner[owner]
                    self._busy_owners.add(owner)
                    pending = self._pending_releases.pop(owner, {})
                    pools = self._queued_reports.pop(owner, {})
                    self._start_sending(owner, pending, pools)

    def _start_sending(
        self,
        owner: str,
        pending: dict[str, list[tuple[str, GrantOutcome]]],
        pools: dict[str, bool],
    ) -> None:
        try:
            self._executor.submit(self._send, owner, pending, pools)
        except RuntimeError:
            # No thread can be started. A report makes up for the lost messages.
            self._busy_owners.discard(owner)
            self._metrics.count("grant_messages_lost_total")
            for pool in pending.keys() | pools.keys():
                self._requested_reports.setdefault(owner, set()).add(pool)

    def _send(
        self,
        owner: str,
        pending: dict[str, list[tuple[str, GrantOutcome]]],
        pools: dict[str, bool],
    ) -> None:
        try:
            self._send_releases(owner, pending)
            for pool, ids_only in pools.items():
                self._send_report(owner, pool, ids_only)
        finally:
            with self._condition:
                self._busy_owners.discard(owner)
                self._condition.notify_all()

    def _send_releases(
        self, owner: str, pending: Mapping[str, list[tuple[str, GrantOutcome]]]
    ) -> None:
        for pool, releases in pending.items():
            batch = [
                ttypes.Release(
                    encode_hex(grant_id),
                    _OUTCOMES[outcome] if outcome is not GrantOutcome.OK else None,
                )
                for grant_id, outcome in releases
            ]
            self._call(owner, pool, partial(_release, pool, batch))
            self._metrics.count("release_batches_total")

    def _send_report(self, owner: str, pool: str, ids_only: bool) -> None:
        holder = self._holder
        if ids_only:
            with self._condition:
                held = [h for h in self._held_by_id.values() if h.grant.pool == pool]
                ids = [encode_hex(h.grant.grant_id) for h in held]
            unknown = self._call(
                owner,
                pool,
                lambda c: c.confirm_grants(pool, holder.router_id, holder.process_id, ids),
            )
            if not unknown:
                return
        entries = self.build_report(owner, pool)
        self._call(
            owner,
            pool,
            lambda c: c.report_grants(pool, holder.router_id, holder.process_id, entries),
        )

    def take_requested_reports(self) -> dict[str, set[str]]:
        """Returns and clears the pools of each owner for which `request_report` was called."""
        with self._condition:
            requested, self._requested_reports = self._requested_reports, {}
            return requested

    def _call(self, owner: str, pool: str, make: Callable[[Any], Any]) -> Any:
        """Calls an owner and returns the result; on failure, requests a report and returns None."""
        address = self._address_of(owner)
        if address is not None:
            result = self._client.call(address, make, _CALL_TIMEOUT_S)
            if isinstance(result, Success):
                return result.unwrap()
        self._metrics.count("grant_messages_lost_total")
        self.request_report(owner, pool)
        return None


def _release(pool: str, batch: list[Any], client: Any) -> None:
    client.release(pool, batch)
