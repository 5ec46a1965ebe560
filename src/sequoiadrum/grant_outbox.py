"""Grants that this router holds, and the releases and reports it sends to their owners."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from attrs import define
from returns.result import Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import number_of
from sequoiadrum.interfaces import GrantOutcome

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.interfaces import AdmissionRequest, Grant
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.pool_owner import GrantHolder

BATCH_S: Final = 0.02
"""Releases wait at most this long for others to the same owner."""
BATCH_LIMIT: Final = 64
_CALL_TIMEOUT_S: Final = 1.0
_SENDERS: Final = 4
_MAX_PENDING: Final = 10_000
"""Releases kept for one unreachable owner; lost ones are made up for by the next report."""

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
    """One grant in flight at this router."""

    grant: Grant
    request: AdmissionRequest
    owners: set[str]
    """Routers that count the grant: the one that gave it and those it was reported to."""
    held_since: float
    """Monotonic seconds."""


class GrantOutbox:
    """Sends batches on a few threads, one call at a time to each owner.

    The calls to one owner stay in order, so that a report never revives a grant whose release was
    sent before it.
    """

    def __init__(
        self,
        holder: GrantHolder,
        client: PeerClient,
        address_of: Callable[[str], Address | None],
        metrics: Metrics,
    ) -> None:
        """Starts without threads; see `start`.

        Args:
            holder: This router.
            client: Makes the calls.
            address_of: Gives a router's peer address, or None when it is not known.
            metrics: Counts batches and failures.
        """
        self._holder = holder
        self._client = client
        self._address_of = address_of
        self._metrics = metrics
        self._condition = threading.Condition()
        self._held_by_id: dict[str, _Held] = {}
        self._pending: dict[str, dict[str, list[tuple[str, GrantOutcome]]]] = {}
        self._due_by_owner: dict[str, float] = {}
        self._reports: dict[str, dict[str, bool]] = {}
        """Whether ids are enough, by owner and pool."""
        self._touched: dict[str, set[str]] = {}
        self._busy: set[str] = set()
        self._stopped = False
        self._pool = ThreadPoolExecutor(_SENDERS, thread_name_prefix="grant-sender")
        self._thread = threading.Thread(target=self._run, name="grant-outbox", daemon=True)

    def start(self) -> None:
        """Begins to send."""
        self._thread.start()

    def stop(self) -> None:
        """Sends what is pending and ends."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        if self._thread.is_alive():
            self._thread.join(2 * _CALL_TIMEOUT_S)
        for owner in list(self._pending):
            self.flush(owner)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def hold(self, grant: Grant, request: AdmissionRequest) -> None:
        """Notes a grant that this router has got."""
        with self._condition:
            self._held_by_id[grant.grant_id] = _Held(
                grant, request, {grant.owner_id}, time.monotonic()
            )

    def touch(self, owner_id: str, pool: str) -> None:
        """Notes that a call about grants of a pool failed, so that the owner gets a report."""
        with self._condition:
            self._touched.setdefault(owner_id, set()).add(pool)

    def release(self, grant: Grant, outcome: GrantOutcome) -> bool:
        """Ends a grant; True when this router itself counts it. Never blocks on the network."""
        with self._condition:
            held = self._held_by_id.pop(grant.grant_id, None)
            owners = held.owners if held is not None else {grant.owner_id}
            for owner in owners - {self._holder.router_id}:
                self._queue(owner, grant, outcome)
            return self._holder.router_id in owners

    def held_pools(self, age_s: float) -> set[str]:
        """Gives the pools with a grant in flight for at least some seconds."""
        until = time.monotonic() - age_s
        with self._condition:
            return {h.grant.pool for h in self._held_by_id.values() if h.held_since <= until}

    def unreported(self, owner_of: Callable[[str], str | None]) -> dict[str, set[str]]:
        """Gives the pools with a grant that their present owner does not count, by owner."""
        pools_by_owner: dict[str, set[str]] = {}
        with self._condition:
            for held in self._held_by_id.values():
                owner = owner_of(held.grant.pool)
                if owner is not None and owner not in held.owners:
                    pools_by_owner.setdefault(owner, set()).add(held.grant.pool)
        return pools_by_owner

    def report(self, owner_id: str, pool: str, ids_only: bool) -> None:
        """Sends the grants of a pool to its owner soon; also those that another router gave.

        With `ids_only`, whole grants follow only when the owner does not know all ids.
        """
        with self._condition:
            reports = self._reports.setdefault(owner_id, {})
            reports[pool] = ids_only and reports.get(pool, True)
            self._due_by_owner[owner_id] = 0.0
            self._condition.notify()

    def flush(self, owner_id: str) -> None:
        """Sends the pending releases of an owner on this thread."""
        with self._condition:
            pending = self._pending.pop(owner_id, {})
        self._send_releases(owner_id, pending)

    def mark_reported(self, owner_id: str, pool: str) -> list[Any]:
        """Gives the grants of a pool for a report and notes that the owner counts them now."""
        with self._condition:
            entries = []
            for held in self._held_by_id.values():
                if held.grant.pool == pool:
                    held.owners.add(owner_id)
                    entries.append(
                        ttypes.HeldGrant(
                            number_of(held.grant.grant_id),
                            held.grant.endpoint_id,
                            held.request.chat_id,
                            held.request.cost,
                            number_of(held.request.fingerprint),
                        )
                    )
            return entries

    def _queue(self, owner: str, grant: Grant, outcome: GrantOutcome) -> None:
        releases = self._pending.setdefault(owner, {}).setdefault(grant.pool, [])
        if len(releases) >= _MAX_PENDING:
            self._metrics.count("releases_lost_total")
            self._touched.setdefault(owner, set()).add(grant.pool)
            return
        releases.append((grant.grant_id, outcome))
        wait = 0.0 if len(releases) >= BATCH_LIMIT or outcome is GrantOutcome.CRASHED else BATCH_S
        due = time.monotonic() + wait
        if due < self._due_by_owner.get(owner, float("inf")):
            self._due_by_owner[owner] = due
            self._condition.notify()

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                now = time.monotonic()
                ready = [
                    owner
                    for owner, due in self._due_by_owner.items()
                    if due <= now and owner not in self._busy
                ]
                if not ready:
                    waits = [d for o, d in self._due_by_owner.items() if o not in self._busy]
                    self._condition.wait(max(0.0, min(waits) - now) if waits else None)
                    continue
                for owner in ready:
                    del self._due_by_owner[owner]
                    self._busy.add(owner)
                    pending = self._pending.pop(owner, {})
                    pools = self._reports.pop(owner, {})
                    self._pool.submit(self._send, owner, pending, pools)

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
                self._busy.discard(owner)
                self._condition.notify()

    def _send_releases(
        self, owner: str, pending: Mapping[str, list[tuple[str, GrantOutcome]]]
    ) -> None:
        for pool, releases in pending.items():
            batch = [
                ttypes.Release(
                    number_of(grant_id),
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
                ids = [number_of(h.grant.grant_id) for h in held]
            unknown = self._call(
                owner,
                pool,
                lambda c: c.confirm_grants(pool, holder.router_id, holder.process_id, ids),
            )
            if not unknown:
                return
        entries = self.mark_reported(owner, pool)
        self._call(
            owner,
            pool,
            lambda c: c.report_grants(pool, holder.router_id, holder.process_id, entries),
        )

    def take_touched(self) -> dict[str, set[str]]:
        """Gives the pools of each owner for which a message was lost since the last call."""
        with self._condition:
            touched, self._touched = self._touched, {}
            return touched

    def _call(self, owner: str, pool: str, make: Callable[[Any], Any]) -> Any:
        """Makes a call; None when it was lost."""
        address = self._address_of(owner)
        if address is not None:
            result = self._client.call(address, make, _CALL_TIMEOUT_S)
            if isinstance(result, Success):
                return result.unwrap()
        self._metrics.count("grant_messages_lost_total")
        self.touch(owner, pool)
        return None


def _release(pool: str, batch: list[Any], client: Any) -> None:
    client.release(pool, batch)
