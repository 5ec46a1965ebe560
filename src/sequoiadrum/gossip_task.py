"""The task that runs the membership protocol on a UDP socket."""

from __future__ import annotations

import random
import secrets
import socket
import time
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from attrs import define, evolve, frozen
from returns.result import Success

from sequoiadrum._gossip_wire import from_reports, to_reports
from sequoiadrum.logs import get_logger
from sequoiadrum.membership import Membership, RevisionSeen, Superseded, SyncDue
from sequoiadrum.membership_interfaces import FleetLink
from sequoiadrum.messages import (
    Address,
    Member,
    MembersChanged,
    MemberState,
    RevisionReceived,
    RumorReceived,
    SideDatagram,
)
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.supervised_thread import SupervisedThread
from sequoiadrum.tasks import Ask, Task

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum._gen.peer.ttypes import MemberReport, Rumor
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.platform_client import InstanceList
    from sequoiadrum.settings import MemberSettings
    from sequoiadrum.timers import TimerService

TICK_S: Final = 0.1
_ALONE_LIST_INTERVAL_S: Final = 10.0
"""How often the platform's instance list is read while this router knows no other router."""
_LIST_INTERVAL_S: Final = 300.0
"""How often the instance list is read otherwise.

This finds the other side of a partition after its records as dead members have expired.
"""
_MAX_LISTED_SEEDS: Final = 8
"""Number of routers that are picked at random from the instance list as seeds."""
_SYNC_TIMEOUT_S: Final = 3.0
_RUMOR_LISTS: Final = 2
"""Peers whose rumors are read after a start, a pause or a cut; one of them may be new as well.
Otherwise, idle datagrams would bring the rumors of the past minutes one by one."""
_MAX_LISTED_RUMORS: Final = 1_000
_MISSED_RUMORS_S: Final = 2.0
"""A router that was paused, or got no datagram, for longer than this may have missed rumors."""
_EXCHANGE_TIMEOUT_S: Final = 2.0
_LISTEN_BACKLOG: Final = 512
_BIND_ATTEMPTS: Final = 20
"""Attempts to find a port that is free for both UDP and TCP, if the system chooses it."""
_MAX_READ_BYTES: Final = 2_048
_RECEIVE_BUFFER_BYTES: Final = 1 << 20
_SIDE_TAG: Final = b"SIDE"
"""First bytes of datagrams of other protocols; those of the membership begin with a checksum."""

_log = get_logger(__name__)


@frozen
class _Received:
    """A datagram was received."""

    data: bytes
    source: Address


@frozen
class _Tick:
    pass


@frozen
class _Merged:
    """A full sync returned the member list of a peer."""

    members: list[Member]


@frozen
class _Listed:
    """Routers were picked from the platform's instance list."""

    seeds: tuple[Address, ...]


@frozen
class _Revision:
    """A configuration revision came into force at this router."""

    revision: int


@frozen
class _Leave:
    """Requests the announcement of a graceful shutdown."""


@define(eq=False)
class _Depart(Ask[None]):
    """Requests the announcement that this process ends."""


@frozen
class _Spread:
    """Requests the broadcast of a rumor."""

    kind: str
    key: str
    version: int
    payload: bytes
    ttl_s: float


@frozen
class _Unreachable:
    """Reports that a router does not accept connections."""

    router_id: str


@frozen
class _RumorsListed:
    """A peer returned the rumors in force."""

    rumors: list[Rumor]


@define(eq=False)
class _ListRumors(Ask["list[Rumor]"]):
    """Requests the rumors in force on behalf of a peer."""


@define(eq=False)
class _Exchange(Ask[list[Member]]):
    """Requests a full sync on behalf of a peer; the reply is the merged member list."""

    members: list[Member]


def new_process_id() -> int:
    """Returns an id for a process that starts now; a later process has a higher id.

    The id has 41 bits of Unix time in milliseconds and 20 random bits, so ids stay in order across
    a restart without a disk.
    """
    return (int(time.time() * 1e3) << 20) | secrets.randbits(20)


class GossipTask(Task, FleetLink):
    """Runs `Membership` and publishes its changes to other tasks.

    A separate thread receives the datagrams; list reads and syncs run in a thread pool.
    """

    def __init__(
        self,
        settings: MemberSettings,
        platform: InstanceList,
        peers: PeerClient,
        metrics: Metrics,
        on_invariant: Callable[[], None],
        raises_process_id: bool = False,
    ) -> None:
        """Binds the UDP socket, and `listener` for the peer server, to the same port number.

        Args:
            settings: Id, addresses and failure domain of this router.
            platform: Lists the instances of the fleet.
            peers: Calls other routers.
            metrics: Counts datagrams and failures.
            on_invariant: Called when an invariant is broken.
            raises_process_id: Whether this process takes a higher process id, once, when peers know
                its instance id with a higher one. Only valid if nothing else relies on the id.

        Raises:
            OSError: The port is in use or the address is not local.
        """
        super().__init__("gossip", metrics, on_invariant)
        self._socket, self.listener = _bind_ports(settings.host, settings.peer_port)
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
        self._list_interval_s = _LIST_INTERVAL_S * (0.5 + random.random())
        self._subscribers: list[Task] = []
        self._revision_subscribers: list[Task] = []
        self._side_subscriber: Task | None = None
        self._executor = ReportingExecutor(2, "gossip-io", metrics)
        self._stopped = False
        self._rumor_lists_left = _RUMOR_LISTS
        """Syncs in which the peer's rumors are read as well."""
        self._last_tick_at = time.monotonic()
        self._may_have_missed_rumors = False
        self._raises_process_id = raises_process_id
        self._has_raised_process_id = False
        self.reader: Final = SupervisedThread("gossip-read", self._read_datagrams, metrics)
        metrics.gauge("routers_alive", lambda: float(self._count_alive()))

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
            _RumorsListed: self._on_rumors_listed,
            _ListRumors: self._on_list_rumors,
        }

    def set_http_port(self, port: int) -> None:
        """Sets the port for callers; must be called before the start."""
        self._core.me = evolve(self._core.me, http_port=port)
        self._core = Membership(self._core.me, self._seeds, random.Random(), time.monotonic())
        self._members = MappingProxyType(dict(self._core.members_by_id))

    def run_on(self, timers: TimerService) -> None:
        """Starts the task, the thread that receives datagrams, and the periodic ticks."""
        self.start()
        self.reader.start()
        timers.subscribe(self, TICK_S, _Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Announces to the peers that this process ends, then stops the task and its socket.

        Raises:
            TimeoutError: The announcement was not sent within `timeout_s` seconds.
            MailboxFullError: The mailbox of the task is full.
            queue.Full: The mailbox stayed full for `timeout_s` seconds.
        """
        self.ask(_Depart()).result(timeout_s)
        super().stop(timeout_s)
        self._stopped = True
        self.reader.stop()
        self._socket.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def self_id(self) -> str:
        """See `MembershipSource.self_id`."""
        return self._core.me.id

    def process_id(self) -> int:
        """Returns the id of this process in the fleet."""
        return self._core.me.process_id

    def members(self) -> Mapping[str, Member]:
        """See `MembershipSource.members`."""
        return self._members

    def subscribe(self, task: Task) -> None:
        """See `MembershipSource.subscribe`; must be called before the start."""
        self._subscribers.append(task)

    def subscribe_revisions(self, task: Task) -> None:
        """See `FleetLink.subscribe_revisions`; must be called before the start."""
        self._revision_subscribers.append(task)

    def subscribe_side_datagrams(self, task: Task) -> None:
        """Subscribes one task to `SideDatagram` messages; must be called before the start."""
        self._side_subscriber = task

    def send_side_datagram(self, address: Address, data: bytes) -> None:
        """Sends a datagram of another protocol to a peer; it may be lost. Callable by any thread.

        Args:
            address: Peer address of the other router.
            data: Content, without the tag that marks it as a side datagram.
        """
        try:
            self._socket.sendto(_SIDE_TAG + data, (address.host, address.port))
            self._count_bytes(len(data) + len(_SIDE_TAG), "sent", "side")
        except OSError:
            self.metrics.count("datagrams_unsent_total")

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """See `MembershipSource.broadcast`."""
        self.post(_Spread(kind, key, version, payload, ttl_s))

    def report_unreachable(self, router_id: str) -> None:
        """See `MembershipSource.report_unreachable`."""
        self.post(_Unreachable(router_id))

    def last_contact_at(self) -> float | None:
        """See `FleetLink.last_contact_at`."""
        return self._core.last_received_at

    def announce_revision(self, revision: int) -> None:
        """See `FleetLink.announce_revision`."""
        self.post(_Revision(revision))

    def leave(self) -> None:
        """Announces that this router begins a graceful shutdown."""
        self.post(_Leave())

    def sync_members(self, members: list[MemberReport]) -> list[MemberReport]:
        """Handles `Peer.sync_members`: merges the peer's member list and returns the result.

        Raises:
            TimeoutError: The task did not reply in time; the peer tries another router later.
            MailboxFullError: The mailbox of the task is full.
        """
        known = self.ask(_Exchange(from_reports(members))).result(_EXCHANGE_TIMEOUT_S)
        return to_reports(known)

    def list_rumors(self) -> list[Rumor]:
        """Handles `Peer.list_rumors`: returns the rumors in force.

        Raises:
            TimeoutError: The task did not reply in time; the peer asks another router later.
            MailboxFullError: The mailbox of the task is full.
        """
        return self.ask(_ListRumors()).result(_EXCHANGE_TIMEOUT_S)

    def _read_datagrams(self) -> None:
        while not self._stopped:
            try:
                data, source = self._socket.recvfrom(_MAX_READ_BYTES)
            except OSError:
                # Linux reports here that an earlier datagram was refused by its destination.
                continue
            if data.startswith(_SIDE_TAG):
                self._count_bytes(len(data), "received", "side")
                if self._side_subscriber is not None:
                    address = Address(source[0], source[1])
                    self._side_subscriber.post(SideDatagram(data[len(_SIDE_TAG) :], address))
                continue
            self._count_bytes(len(data), "received")
            self.post(_Received(data, Address(source[0], source[1])))

    def _on_received(self, message: _Received) -> None:
        now = time.monotonic()
        last = self._core.last_received_at
        if not self._core.receive(message.data, message.source, now):
            self.metrics.count("malformed_datagrams_total")
        elif self._may_have_missed_rumors or (last is not None and now - last > _MISSED_RUMORS_S):
            self._may_have_missed_rumors = False
            self._rumor_lists_left = _RUMOR_LISTS
            self._executor.submit(self._sync, message.source)
        self._flush()

    def _on_tick(self, _: _Tick) -> None:
        now = time.monotonic()
        self._may_have_missed_rumors |= now - self._last_tick_at > _MISSED_RUMORS_S
        self._last_tick_at = now
        self._core.tick(now)
        is_alone = len(self._core.members_by_id) == 1
        if now - self._listed_at >= (_ALONE_LIST_INTERVAL_S if is_alone else self._list_interval_s):
            self._listed_at = now
            self._executor.submit(self._read_instance_list)
        self._flush()

    def _on_merged(self, message: _Merged) -> None:
        self._core.merge(message.members, time.monotonic())
        self._flush()

    def _on_rumors_listed(self, message: _RumorsListed) -> None:
        self._core.merge_rumors(message.rumors, time.monotonic())
        self._flush()

    def _on_list_rumors(self, message: _ListRumors) -> None:
        message.answer(self._core.list_rumors(_MAX_LISTED_RUMORS, time.monotonic()))

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
            self._executor.submit(self._sync, random.choice(unknown))

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
            if isinstance(event, SyncDue):
                self._executor.submit(self._sync, event.address)
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
        # A second running process with the same instance id would raise its process id in turn, so
        # this one does it only once.
        if self._raises_process_id and not self._has_raised_process_id:
            self._has_raised_process_id = True
            _log.warning("process_id_raised", instance=self.self_id())
            self._core.raise_process_id(event.process_id, time.monotonic())
            return
        _log.error("instance_id_in_use", instance=self.self_id())

    def _count_alive(self) -> int:
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
        if not isinstance(result, Success):
            return
        self.post(_Merged(from_reports(result.unwrap())))
        if self._rumor_lists_left > 0:
            self._rumor_lists_left -= 1
            rumors = self._peers.call(address, lambda client: client.list_rumors(), _SYNC_TIMEOUT_S)
            if isinstance(rumors, Success):
                self.post(_RumorsListed(rumors.unwrap()))

    def _read_instance_list(self) -> None:
        listed = self._platform.list_instances()
        if isinstance(listed, Success):
            seeds = [
                Address(entry.host, entry.port)
                for entry in listed.unwrap()
                if entry.role == "router" and not entry.leaving
            ]
            others = [seed for seed in seeds if seed != self._own_address]
            picked = random.sample(others, min(len(others), _MAX_LISTED_SEEDS))
            self.post(_Listed(tuple(picked)))

    def _count_bytes(self, count: int, direction: str, channel: str = "gossip") -> None:
        self.metrics.count("control_bytes_total", count, channel=channel, direction=direction)


def _bind_ports(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Binds a UDP socket and a TCP listener to the same port number; port 0 picks a free one.

    Raises:
        OSError: The port is in use or the address is not local.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempt in range(_BIND_ATTEMPTS):
        listener = socket.create_server((host, port), family=family, backlog=_LISTEN_BACKLOG)
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
