"""Task that grants endpoints to requests through the owner of their pool."""

from __future__ import annotations

import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from sequoiadrum._peer_admission import PeerAdmission
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.endpoint_watch import (
    LEAVING_TTL_S,
    POLL_INTERVAL_S,
    EndpointPoller,
    LeavingEndpoints,
    Listed,
    Polled,
)
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.grant_outbox import GrantOutbox
from sequoiadrum.hashing import rank
from sequoiadrum.interfaces import Admission, Grant, GrantOutcome
from sequoiadrum.messages import EndpointState, MembersChanged, MemberState, RumorReceived
from sequoiadrum.placement import BoundPolicy
from sequoiadrum.pool_directory import PoolDirectory
from sequoiadrum.pool_owner import GrantHolder, PoolOwner
from sequoiadrum.remote_admission import RemoteAdmission
from sequoiadrum.served_chats import ServedChats
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from sequoiadrum.configuration import ConfigState
    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.interfaces import AdmissionRequest, ConfigSource
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.messages import Address, Endpoint, Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.platform_client import PlatformClient
    from sequoiadrum.settings import Settings
    from sequoiadrum.timers import TimerService

REPORT_INTERVAL_S: Final = 5.0
"""Interval of the reports of held grants.

It bounds how long an owner counts a grant whose release was lost.
"""
LIST_INTERVAL_S: Final = 1.0
"""Interval of the reads of the platform's instance list.

All routers must know of a leaving endpoint within 3 s; this leaves 2 s for rumors.
"""
_LIST_READERS: Final = 3
"""Number of routers that read the instance list even if they own no pool."""
_TICK_INTERVAL_S: Final = 0.1
_REBROADCAST_S: Final = LEAVING_TTL_S / 3
"""Interval at which the rumor about a leaving endpoint is repeated before it expires."""


@frozen
class AdmissionParts:
    """Dependencies of `AdmissionTask`."""

    config: ConfigSource
    membership: MembershipSource
    peers: PeerClient
    engines: EngineClient
    platform: PlatformClient
    timers: TimerService
    metrics: Metrics


@frozen
class _Tick:
    """Timer message: expire queued requests and check for a new configuration revision."""


@frozen
class _PollTick:
    """Timer message: poll the endpoints of the owned pools."""


@frozen
class _ListTick:
    """Timer message: read the platform's instance list."""


@frozen
class _ReportTick:
    """Timer message: report held grants to the pool owners."""


class AdmissionTask(Task, Admission):
    """Places requests through the pool owners, reports held grants and watches endpoints.

    Requests are decided on the calling threads; the thread of the task does the periodic work.
    """

    def __init__(
        self, settings: Settings, parts: AdmissionParts, on_invariant: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._router_id = settings.instance_id
        members = parts.membership.members()
        own = members.get(self._router_id)
        self._holder = GrantHolder(self._router_id, own.process_id if own is not None else 0)
        policy = BoundPolicy(
            settings.bound_multiple,
            settings.admit_multiple,
            cold_choices=settings.cold_choices,
            engine_slots=float(settings.engine_slots),
        )
        self._directory = PoolDirectory(parts.membership)
        self._owner = PoolOwner(
            self._router_id, policy, parts.config, parts.metrics, parts.membership.broadcast
        )
        self.outbox: Final = GrantOutbox(
            self._holder, parts.peers, self._directory.address_of, parts.metrics
        )
        self._remote = RemoteAdmission(
            self._holder, parts.peers, self._directory, self.outbox, parts.config, parts.metrics
        )
        self._peer_admission = PeerAdmission(
            self._router_id, self._owner, self._directory, parts.config
        )
        self._served_chats = ServedChats()
        self._leaving = LeavingEndpoints()
        self._poller = EndpointPoller(parts.engines, parts.platform, self.post)
        self._members: Mapping[str, Member] = members
        self._reported_pools_by_owner: dict[str, set[str]] = {}
        self._endpoints_by_pool: dict[str, list[Endpoint]] = {}
        self._draining_revision_by_id: dict[str, int] = {}
        self._config_revision = -1
        self._broadcast_at_by_id: dict[str, float] = {}
        super().__init__("admission", parts.metrics, on_invariant)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _Tick: self._tick,
            _PollTick: self._poll,
            _ListTick: self._read_list,
            _ReportTick: self._report_all,
            Polled: self._polled,
            Listed: self._listed,
            MembersChanged: self._members_changed,
            RumorReceived: self._rumor_received,
        }

    def start(self) -> None:
        """See `Task.start`."""
        super().start()
        self.outbox.start()
        self._parts.membership.subscribe(self)
        timers = self._parts.timers
        timers.subscribe(self, _TICK_INTERVAL_S, _Tick())
        timers.subscribe(self, POLL_INTERVAL_S, _PollTick())
        timers.subscribe(self, LIST_INTERVAL_S, _ListTick())
        timers.subscribe(self, REPORT_INTERVAL_S, _ReportTick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """See `Task.stop`."""
        self._poller.stop()
        self.outbox.stop()
        super().stop(timeout_s)

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        """See `Admission.acquire`."""
        refusal = self._owner.refusal(request.fingerprint)
        if refusal is not None:
            return Failure(refusal)
        # A request without a chat id has its request id as one, and no later request has that id.
        has_chat_id = request.chat_id != request.request_id
        if has_chat_id:
            hint = self._served_chats.last_endpoint(request.pool, request.chat_id)
            request = evolve(request, last_endpoint=hint)
        decision = self._decide(request, excluded)
        if has_chat_id and isinstance(decision, Success):
            grant = decision.unwrap()
            self._served_chats.record(request.pool, request.chat_id, grant.endpoint_id)
        return decision

    def _decide(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        local = self._directory.owner_of(request.pool) == self._router_id
        if not local:
            remote_decision = self._remote.acquire(request, excluded)
            if remote_decision is not None:
                return remote_decision
        decision = self._owner.acquire(request, excluded, self._holder)
        if isinstance(decision, Future):
            decision = self._wait(decision, request.deadline)
        if isinstance(decision, Success):
            self.outbox.hold(decision.unwrap(), request)
        return decision

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """See `Admission.release`."""
        if self.outbox.release(grant, outcome):
            self._owner.release(grant.pool, [(grant.grant_id, outcome)])

    def acquire_for_peer(self, request: Any) -> Any:
        """Handles `Peer.acquire`."""
        return self._peer_admission.acquire(request)

    def release_for_peer(self, pool: str, releases: list[Any]) -> None:
        """Handles `Peer.release`."""
        self._peer_admission.release(pool, releases)

    def report_grants(
        self, pool: str, router_id: str, router_process_id: int, grants: list[Any]
    ) -> None:
        """Handles `Peer.report_grants`."""
        self._peer_admission.report(pool, GrantHolder(router_id, router_process_id), grants)

    def confirm_grants(
        self, pool: str, router_id: str, router_process_id: int, grant_ids: list[int]
    ) -> list[int]:
        """Handles `Peer.confirm_grants`; returns the ids of the unknown grants."""
        return self._peer_admission.confirm(
            pool, GrantHolder(router_id, router_process_id), grant_ids
        )

    def owner_address(self, pool: str) -> Address | None:
        """Returns the peer address of the router that decides for a pool; None for this router."""
        owner = self._directory.available_owner(pool)
        if owner is None or owner == self._router_id:
            return None
        return self._directory.address_of(owner)

    def former_owner_address(self, pool: str) -> Address | None:
        """Returns the peer address of the router that owned a pool before its owner joined.

        It is the second router in the ranking of the pool, which may be this router. None if no
        other router is usable.
        """
        former = self._directory.successors_of(pool, 1)
        return self._directory.address_of(former[0]) if former else None

    def inspect_pool(self, pool: str, endpoint_id: str, max_chats: int) -> Any:
        """Handles `Peer.inspect_pool`."""
        return self._peer_admission.inspect(pool, endpoint_id, max_chats)

    def note_moved(self, pool: str, source_id: str, target_by_chat: Mapping[str, str]) -> None:
        """Handles `Peer.note_moved`."""
        self._owner.note_moved(pool, source_id, target_by_chat)

    def loads(self, pool: str) -> Mapping[str, float]:
        """Returns the load of each engine of a pool; empty if this router has no state of it."""
        return self._owner.loads(pool)

    def _wait(
        self, future: Future[Result[Grant, Refusal]], deadline: float
    ) -> Result[Grant, Refusal]:
        try:
            return future.result(max(0.0, deadline - time.monotonic()))
        except FutureTimeoutError:
            self._owner.abandon(future)
            return Failure(Refusal(RefusalReason.POOL_FULL, "no engine had room in time", 500))

    def _owned_pools(self) -> list[str]:
        return [
            pool
            for pool in self._endpoints_by_pool
            if self._directory.owner_of(pool) == self._router_id
        ]

    def _tick(self, _: _Tick) -> None:
        config = self._parts.config.current()
        if config.revision != self._config_revision:
            self._config_revision = config.revision
            self._endpoints_by_pool.clear()
            for endpoint in config.endpoints_by_id.values():
                self._endpoints_by_pool.setdefault(endpoint.pool, []).append(endpoint)
            self._leaving.record_revision(config.revision)
            self._broadcast_drains(config)
        self._owner.set_leaving(self._leaving.all(time.monotonic()))
        self._owner.tick(())

    def _poll(self, _: _PollTick) -> None:
        owned = self._owned_pools()
        self._owner.tick(owned)
        self._poller.poll(e for pool in owned for e in self._endpoints_by_pool[pool])

    def _polled(self, polled: Polled) -> None:
        endpoint = polled.endpoint
        in_flight = None
        if isinstance(polled.result, Success):
            report = polled.result.unwrap()
            in_flight = report.in_flight
            self._leaving.record_report(endpoint.id, report.leaving)
            self._leaving_changed()
        self._owner.record_poll_result(
            endpoint, polled.started_at, self._poller.health(polled), in_flight
        )

    def _read_list(self, _: _ListTick) -> None:
        usable = [member.id for member in self._members.values() if member.is_usable]
        first = rank("instance-list", usable)[:_LIST_READERS]
        if self._router_id in first or self._owner.pools():
            self._poller.read_list()

    def _listed(self, listed: Listed) -> None:
        if isinstance(listed.result, Failure):
            return
        leaving = [line for line in listed.result.unwrap() if line.leaving]
        leaving_addresses = {(line.host, line.port) for line in leaving}
        leaving_ids = {line.id for line in leaving}
        self._leaving.apply_list(
            e.id
            for e in self._parts.config.current().endpoints_by_id.values()
            if e.id in leaving_ids or (e.address.host, e.address.port) in leaving_addresses
        )
        self._leaving_changed()

    def _leaving_changed(self) -> None:
        """Applies the known leaving endpoints and broadcasts those observed by this router."""
        now = time.monotonic()
        observed = self._leaving.observed_locally()
        self._owner.set_leaving(self._leaving.all(now))
        for endpoint_id in observed:
            if now - self._broadcast_at_by_id.get(endpoint_id, -_REBROADCAST_S) >= _REBROADCAST_S:
                self._broadcast_at_by_id[endpoint_id] = now
                self._broadcast_leaving(endpoint_id, True)
        for endpoint_id in self._broadcast_at_by_id.keys() - observed:
            del self._broadcast_at_by_id[endpoint_id]
            self._broadcast_leaving(endpoint_id, False)

    def _broadcast_leaving(self, endpoint_id: str, leaving: bool) -> None:
        version = int(time.time() * 1e3)
        payload = b"1" if leaving else b"0"
        self._parts.membership.broadcast("leaving", endpoint_id, version, payload, LEAVING_TTL_S)

    def _broadcast_drains(self, config: ConfigState) -> None:
        """Broadcasts draining endpoints for routers that are partitioned from the configuration.

        The version of the rumor is the revision of the change, so all routers that have the change
        broadcast the same rumor.
        """
        for endpoint in config.endpoints_by_id.values():
            known_revision = self._draining_revision_by_id.get(endpoint.id)
            if endpoint.state is EndpointState.ACTIVE and known_revision is None:
                continue
            revision = config.changes_by_key[(ObjectKind.ENDPOINT, endpoint.id)].revision
            if endpoint.state is EndpointState.DRAINING and known_revision != revision:
                self._draining_revision_by_id[endpoint.id] = revision
                self._broadcast_drain(endpoint.id, revision, True)
            elif endpoint.state is EndpointState.ACTIVE:
                del self._draining_revision_by_id[endpoint.id]
                self._broadcast_drain(endpoint.id, revision, False)

    def _broadcast_drain(self, endpoint_id: str, revision: int, draining: bool) -> None:
        payload = b"1" if draining else b"0"
        self._parts.membership.broadcast("drain", endpoint_id, revision, payload, LEAVING_TTL_S)

    def _rumor_received(self, rumor: RumorReceived) -> None:
        if rumor.kind == "crash":
            self._owner.receive_crash(rumor.key, rumor.payload)
        elif rumor.kind == "leaving":
            self._leaving.record_rumor(rumor.key, rumor.payload == b"1", time.monotonic())
            self._owner.set_leaving(self._leaving.all(time.monotonic()))
        elif rumor.kind == "drain" and rumor.version > self._parts.config.current().revision:
            self._leaving.record_drain(rumor.key, rumor.payload == b"1", rumor.version)
            self._owner.set_leaving(self._leaving.all(time.monotonic()))

    def _members_changed(self, message: MembersChanged) -> None:
        before, self._members = self._members, message.members_by_id
        for member_id, old in before.items():
            new = self._members.get(member_id)
            if new is None:
                continue
            died = new.state is MemberState.DEAD and old.state is not MemberState.DEAD
            if died or new.process_id != old.process_id:
                self._owner.drop_router(member_id, old.process_id)
        self._report(only_new_owners=True)

    def _report_all(self, _: _ReportTick) -> None:
        self._report(only_new_owners=False)
        self._owner.sweep()

    def _report(self, only_new_owners: bool) -> None:
        """Reports the held grants of each pool to its owner.

        A periodic report carries ids only. It is sent for pools with a grant that is older than one
        interval, and for pools with a failed call: after a lost release or a lost reply to
        `acquire`, the owner counts a grant that only a report ends. An owner that received a report
        receives another one after the next interval, even if it is empty, because the first one may
        arrive within `MISSING_GRACE_S` of the grant.

        Args:
            only_new_owners: Whether only owners that do not count a grant yet receive a report, as
                after a change of the membership.
        """
        for owner, pools in self.outbox.unreported_pools(self._directory.owner_of).items():
            self._report_to(owner, pools, ids_only=False)
        if only_new_owners:
            return
        wanted: dict[str, set[str]] = {}
        for pool in self.outbox.held_pools(REPORT_INTERVAL_S):
            owner_id = self._directory.owner_of(pool)
            if owner_id is not None:
                wanted.setdefault(owner_id, set()).add(pool)
        for owner, pools in self.outbox.take_requested_reports().items():
            wanted.setdefault(owner, set()).update(pools)
        previous, self._reported_pools_by_owner = self._reported_pools_by_owner, wanted
        for owner in wanted.keys() | previous.keys():
            pools = wanted.get(owner, set()) | previous.get(owner, set())
            self._report_to(owner, pools, ids_only=True)

    def _report_to(self, owner: str, pools: Collection[str], ids_only: bool) -> None:
        for pool in pools:
            if owner != self._router_id:
                self.outbox.queue_report(owner, pool, ids_only)
            else:
                entries = self.outbox.build_report(owner, pool)
                self._peer_admission.report(pool, self._holder, entries)
