"""The task that owns the membership and its UDP socket."""

from __future__ import annotations

import random
import secrets
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from attrs import define, evolve, frozen
from returns.result import Success

from sequoiadrum._gossip_wire import from_reports, to_reports
from sequoiadrum.interfaces import FleetLink
from sequoiadrum.logs import get_logger
from sequoiadrum.membership import Membership, RevisionSeen, Superseded, SyncWanted
from sequoiadrum.messages import (
    Address,
    Member,
    MembersChanged,
    MemberState,
    RevisionReceived,
    RumorReceived,
)
from sequoiadrum.tasks import Ask, Task

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum._gen.peer.ttypes import MemberReport
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.platform_client import InstanceList
    from sequoiadrum.settings import MemberSettings
    from sequoiadrum.timers import TimerService

TICK_S: Final = 0.1
_SEED_READ_S: Final = 10.0
"""How often the platform's list is read while this router is alone."""
_LIST_READ_S: Final = 300.0
"""How often otherwise: finds a part of the fleet whose dead records have expired."""
_LISTED_SEEDS: Final = 8
_SYNC_TIMEOUT_S: Final = 3.0
_ASK_TIMEOUT_S: Final = 2.0
_BACKLOG: Final = 512
_BIND_ATTEMPTS: Final = 20
_MAX_READ_BYTES: Final = 2_048
_RECEIVE_BUFFER_BYTES: Final = 1 << 20

_log = get_logger(__name__)


@frozen
class _Received:
    data: bytes
    source: Address


@frozen
class _Tick:
    pass


@frozen
class _Merged:
    members: list[Member]


@frozen
class _Listed:
    seeds: tuple[Address, ...]


@frozen
class _Revision:
    revision: int


@frozen
class _Leave:
    pass


@define(eq=False)
class _Depart(Ask[None]):
    pass


@frozen
class _Spread:
    kind: str
    key: str
    version: int
    payload: bytes
    ttl_s: float


@frozen
class _Unreachable:
    router_id: str


@define(eq=False)
class _Exchange(Ask[list[Member]]):
    members: list[Member]


def new_process_id() -> int:
    """Gives the id of a process that starts now; a later process has a higher one.

    41 bits of milliseconds and 20 random bits, so that the order survives a restart without a disk.
    """
    return (int(time.time() * 1e3) << 20) | secrets.randbits(20)


class GossipTask(Task, FleetLink):
    """Sends and receives the datagrams of `Membership`."""

    def __init__(
        self,
        settings: MemberSettings,
        platform: InstanceList,
        peers: PeerClient,
        metrics: Metrics,
        on_invariant: Callable[[], None],
        raises_process_id: bool = False,
    ) -> None:
        """Binds UDP, and TCP for the peer server (`listener`), to the same number.

        Args:
            settings: Names and addresses of this router.
            platform: Where others are found.
            peers: Calls to others.
            metrics: Counters.
            on_invariant: Called when an invariant is broken.
            raises_process_id: Whether a process that peers take for older than its predecessor
                takes a higher process id, once; nothing else may rely on the id then.

        Raises:
            OSError: The port is in use or the address not local.
        """
        super().__init__("gossip", metrics, on_invariant)
        self._socket, self.listener = _bind(settings.host, settings.peer_port)
        self.peer_port: Final[int] = self._socket.getsockname()[1]
        self._platform = platform
        self._peers = peers
        me = Member(
            id=settings.instance_id,
            host=settings.host,
            peer_port=self.peer_port,
            http_port=settings.http_port,
            failure_domain=settings.failure_domain,
            region=settings.region,
            process_id=new_process_id(),
            incarnation=0,
            state=MemberState.ALIVE,
        )
        self._own_address = me.peer_address
        self._seeds = tuple(a for a in settings.seed_addresses() if a != me.peer_address)
        self._core = Membership(me, self._seeds, random.Random(), time.monotonic())
        self._members: Mapping[str, Member] = MappingProxyType({me.id: me})
        self._version = self._core.version
        self._report_version = 0
        self._listed_at = float("-inf")
        self._list_pause_s = _LIST_READ_S * (0.5 + random.random())
        self._subscribers: list[Task] = []
        self._revision_subscribers: list[Task] = []
        self._pool = ThreadPoolExecutor(2, thread_name_prefix="gossip-io")
        self._stopped = False
        self._outranks = raises_process_id
        self._has_outranked = False
        self._reader = threading.Thread(target=self._read, name="gossip-read", daemon=True)
        metrics.gauge("routers_alive", lambda: float(self._alive()))

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _Received: self._on_received,
            _Tick: self._on_tick,
            _Merged: self._on_merged,
            _Listed: self._on_listed,
            _Revision: self._on_revision,
            _Leave: self._on_leave,
            _Depart: self._on_depart,
            _Spread: self._on_spread,
            _Unreachable: self._on_unreachable,
            _Exchange: self._on_exchange,
        }

    def set_http_port(self, port: int) -> None:
        """Sets the port for callers; call it before the start."""
        self._core.me = evolve(self._core.me, http_port=port)
        self._core = Membership(self._core.me, self._seeds, random.Random(), time.monotonic())
        self._members = MappingProxyType(dict(self._core.members_by_id))

    def run_on(self, timers: TimerService) -> None:
        """Starts the task, its reader and its ticks."""
        self.start()
        self._reader.start()
        timers.subscribe(self, TICK_S, _Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Tells the peers that this process ends, then ends."""
        self.ask(_Depart()).result(timeout_s)
        super().stop(timeout_s)
        self._stopped = True
        self._socket.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def self_id(self) -> str:
        """See `MembershipSource.self_id`."""
        return self._core.me.id

    def process_id(self) -> int:
        """Gives the id of this process in the fleet."""
        return self._core.me.process_id

    def members(self) -> Mapping[str, Member]:
        """See `MembershipSource.members`."""
        return self._members

    def subscribe(self, task: Task) -> None:
        """See `MembershipSource.subscribe`; call it before the start."""
        self._subscribers.append(task)

    def subscribe_revisions(self, task: Task) -> None:
        """See `FleetLink.subscribe_revisions`; call it before the start."""
        self._revision_subscribers.append(task)

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """See `MembershipSource.broadcast`."""
        self.post(_Spread(kind, key, version, payload, ttl_s))

    def report_unreachable(self, router_id: str) -> None:
        """See `MembershipSource.report_unreachable`."""
        self.post(_Unreachable(router_id))

    def last_contact_at(self) -> float | None:
        """See `FleetLink.last_contact_at`."""
        return self._core.last_heard

    def announce_revision(self, revision: int) -> None:
        """See `FleetLink.announce_revision`."""
        self.post(_Revision(revision))

    def leave(self) -> None:
        """Announces the planned stop."""
        self.post(_Leave())

    def sync_members(self, members: list[MemberReport]) -> list[MemberReport]:
        """Answers `Peer.sync_members`.

        Raises:
            TimeoutError: The task is too busy; the peer tries another router later.
        """
        known = self.ask(_Exchange(from_reports(members))).result(_ASK_TIMEOUT_S)
        return to_reports(known)

    def _read(self) -> None:
        while not self._stopped:
            try:
                data, source = self._socket.recvfrom(_MAX_READ_BYTES)
            except OSError:
                # Linux reports refused datagrams of earlier sends here.
                continue
            self._count_bytes(len(data), "received")
            self.post(_Received(data, Address(source[0], source[1])))

    def _on_received(self, message: _Received) -> None:
        if not self._core.receive(message.data, message.source, time.monotonic()):
            self.metrics.count("malformed_datagrams_total")
        self._flush()

    def _on_tick(self, _: _Tick) -> None:
        now = time.monotonic()
        self._core.tick(now)
        alone = len(self._core.members_by_id) == 1
        if now - self._listed_at >= (_SEED_READ_S if alone else self._list_pause_s):
            self._listed_at = now
            self._pool.submit(self._read_list)
        self._flush()

    def _on_merged(self, message: _Merged) -> None:
        self._core.merge(message.members, time.monotonic())
        self._flush()

    def _on_exchange(self, message: _Exchange) -> None:
        self._core.merge(message.members, time.monotonic())
        message.answer(list(self._core.members_by_id.values()))
        self._flush()

    def _on_listed(self, message: _Listed) -> None:
        seeds = dict.fromkeys((*self._seeds, *message.seeds))
        self._core.seeds = tuple(seeds)
        known = {
            member.peer_address
            for member in self._core.members_by_id.values()
            if member.state is not MemberState.DEAD
        }
        unknown = [seed for seed in seeds if seed not in known]
        if unknown:
            self._pool.submit(self._sync, random.choice(unknown))

    def _on_revision(self, message: _Revision) -> None:
        self._core.set_revision(message.revision, time.monotonic())
        self._flush()

    def _on_leave(self, _: _Leave) -> None:
        self._core.leave(time.monotonic())
        self._flush()

    def _on_depart(self, message: _Depart) -> None:
        self._core.depart(time.monotonic())
        self._flush()
        message.answer(None)

    def _on_spread(self, message: _Spread) -> None:
        now = time.monotonic()
        self._core.broadcast(
            message.kind, message.key, message.version, message.payload, message.ttl_s, now
        )
        self._flush()

    def _on_unreachable(self, message: _Unreachable) -> None:
        self._core.check(message.router_id, time.monotonic())
        self._flush()

    def _flush(self) -> None:
        for address, data in self._core.take_outbox():
            try:
                self._socket.sendto(data, (address.host, address.port))
                self._count_bytes(len(data), "sent")
            except OSError:
                self.metrics.count("datagrams_unsent_total")
        events = self._core.take_events()
        self._publish()
        for event in events:
            if isinstance(event, SyncWanted):
                self._pool.submit(self._sync, event.address)
            elif isinstance(event, RevisionSeen):
                for task in self._revision_subscribers:
                    task.post(RevisionReceived(event.revision, event.address))
            elif isinstance(event, RumorReceived):
                for task in self._subscribers:
                    task.post(event)
            elif isinstance(event, Superseded):
                self._on_superseded(event)

    def _on_superseded(self, event: Superseded) -> None:
        self.metrics.count("superseded_total")
        # A second process with the same id would outrank this one again; that is not answered.
        if self._outranks and not self._has_outranked:
            self._has_outranked = True
            _log.warning("former_process_outranked", instance=self.self_id())
            self._core.outrank(event.process_id, time.monotonic())
            return
        _log.error("instance_id_in_use", instance=self.self_id())

    def _alive(self) -> int:
        return sum(m.state is MemberState.ALIVE for m in self._members.values())

    def _publish(self) -> None:
        core = self._core
        changed = core.version != self._version
        if not changed and core.report_version == self._report_version:
            return
        self._version, self._report_version = core.version, core.report_version
        self._members = MappingProxyType(dict(core.members_by_id))
        if changed:
            for task in self._subscribers:
                task.post(MembersChanged(self._members))

    def _sync(self, address: Address) -> None:
        reports = to_reports(self._members.values())
        result = self._peers.call(
            address, lambda client: client.sync_members(reports), _SYNC_TIMEOUT_S
        )
        if isinstance(result, Success):
            self.post(_Merged(from_reports(result.unwrap())))

    def _read_list(self) -> None:
        listed = self._platform.list_instances()
        if isinstance(listed, Success):
            seeds = [
                Address(line.host, line.port)
                for line in listed.unwrap()
                if line.role == "router" and not line.leaving
            ]
            others = [seed for seed in seeds if seed != self._own_address]
            picked = random.sample(others, min(len(others), _LISTED_SEEDS))
            self.post(_Listed(tuple(picked)))

    def _count_bytes(self, count: int, direction: str) -> None:
        self.metrics.count("control_bytes_total", count, channel="gossip", direction=direction)


def _bind(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Binds UDP and TCP to one number; with port 0, the system chooses it.

    Raises:
        OSError: The port is in use or the address not local.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempt in range(_BIND_ATTEMPTS):
        listener = socket.create_server((host, port), family=family, backlog=_BACKLOG)
        bound = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
            bound.bind((host, listener.getsockname()[1]))
            return bound, listener
        except OSError:
            bound.close()
            listener.close()
            if port or attempt == _BIND_ATTEMPTS - 1:
                raise
    raise AssertionError("unreachable")
