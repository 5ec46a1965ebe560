"""Discovers the other routers through the store and tracks them by the membership protocol."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer import Peer
from sequoiadrum._thrift_transport import COMPACT
from sequoiadrum.addressing import parse_address
from sequoiadrum.connection_memory import ConnectionMemory
from sequoiadrum.field_values import name, whole_number
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoreFailure, StorePosition
from sequoiadrum.gateway.pause_detector import OBSERVATION_INTERVAL_S
from sequoiadrum.gateway.settings import RESERVED_DESCRIPTORS
from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import (
    Address,
    MembersChanged,
    MemberState,
    RevisionReceived,
    RumorReceived,
)
from sequoiadrum.platform_client import InstanceList, ListedInstance, PlatformFailure
from sequoiadrum.supervised_thread import SupervisedThread
from sequoiadrum.tasks import Task
from sequoiadrum.thrift_server import ThriftServer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum._gen.peer.ttypes import MemberReport, Rumor, SeenObjects
    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.pause_detector import PauseDetector
    from sequoiadrum.gateway.peer_feed import PeerResponder
    from sequoiadrum.gateway.ports import AddressQuery, Store
    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

ROUTER_KIND: Final = "sequoiadrum-routers"
"""Kind of the routers' registrations in the store; written at each start, graceful shutdown and
restore of the store."""
MAX_ADDRESSES: Final = 64
"""Callers read at most this many addresses of a response."""
MIN_LOCAL_ROUTERS: Final = 2
"""Routers in the caller's failure domain from which on no others are returned."""
CLEAN_UP_INTERVAL_S: Final = 30.0
"""How often registrations of dead routers are removed."""
DEAD_ROUTER_RETENTION_S: Final = 120.0
"""A router dead for this long is not expected to return; if it does, it registers again."""
PEER_CONNECTIONS: Final = 160
"""Maximum connections from peers. Each follower keeps two to a watcher, and each waiting request
uses a thread."""
MIN_PEER_CONNECTIONS: Final = 16
PEER_DESCRIPTOR_SHARE: Final = 0.25
"""Largest share of the descriptors for sockets that connections from peers may take."""
PEER_BYTES: Final = 4_000_000
"""Memory of the calls of peers that are read, handled or answered."""
MAX_PEER_CALL_BYTES: Final = 2_000_000
"""Size of one call; the largest holds the members of the fleet, each in some 150 bytes."""
REGISTRATION_SPREAD_S: Final = 5.0
"""Time within which the routers of a fleet register again after a restore of the store, each at a
random moment, so that the store does not refuse them."""
_REGISTER_RETRY_S: Final = 0.5
_FAILURES: Final = {
    StoreFailure.NOT_FOUND: PlatformFailure.NOT_FOUND,
    StoreFailure.RATE_LIMITED: PlatformFailure.RATE_LIMITED,
}


class StoreInstanceList(InstanceList):
    """Lists the routers registered in the store, some of which may no longer run."""

    def __init__(
        self, store: Store, settings: GatewaySettings, metrics: Metrics, log: EventLog
    ) -> None:
        self._store = store
        self._settings = settings
        self._metrics = metrics
        self._log = log
        self._stopped = threading.Event()
        self._is_due = threading.Event()
        self.thread: Final = SupervisedThread("register", self._run, metrics)

    def start(self) -> None:
        """Registers this router in the background, until `withdraw` is called."""
        self.thread.start()

    def register_again(self) -> None:
        """Registers this router again, since a restored store may lack its registration.

        Callable by any thread; returns at once.
        """
        self._is_due.set()

    def withdraw(self) -> None:
        """Removes the registration in the background, before a graceful shutdown.

        A failure is only logged, as the other routers detect the stop anyway.
        """
        self._stopped.set()
        self._is_due.set()

    def forget(self, router_id: str) -> None:
        """Removes the registration of a dead router; registrations do not expire on their own."""
        result = self._store.delete(ROUTER_KIND, router_id)
        self._log.notable("registration_removed", router=router_id, outcome=_outcome(result))

    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """See `InstanceList.list_instances`."""
        listed = self._store.list(ROUTER_KIND, may_be_stale=True)
        if isinstance(listed, Failure):
            return Failure(_FAILURES.get(listed.failure(), PlatformFailure.UNREACHABLE))
        routers = []
        for item in listed.unwrap().items:
            document = item.document if isinstance(item.document, dict) else {}
            try:
                port = whole_number(document.get("peer_port"), 1)
                address = parse_address(f"{name(document.get('host'))}:{port}")
            except ValueError as error:
                self._metrics.count("malformed_entries_total", kind="router")
                self._log.repeated("router_entry_malformed", name=item.name, detail=str(error))
                continue
            routers.append(
                ListedInstance(item.name, address.host, address.port, "router", leaving=False)
            )
        return Success(routers)

    def _run(self) -> None:
        self._register()
        while not self._stopped.is_set():
            self._is_due.wait()
            self._is_due.clear()
            if not self._stopped.wait(random.uniform(0.0, REGISTRATION_SPREAD_S)):
                self._register()
        result = self._store.delete(ROUTER_KIND, self._settings.instance_id)
        self._log.notable("registration_withdrawn", outcome=_outcome(result))
        self.thread.stop()

    def _register(self) -> None:
        document = {"host": self._settings.host, "peer_port": self._settings.peer_port}
        while not self._stopped.is_set():
            own_id = self._settings.instance_id
            result = self._store.create(ROUTER_KIND, own_id, document)
            if isinstance(result, Failure) and result.failure() is StoreFailure.CONFLICT:
                result = self._store.replace(ROUTER_KIND, own_id, document)
            if isinstance(result, Success):
                self._log.notable("registered", host=self._settings.host)
                return
            self._log.notable("registration_failed", why=result.failure().value)
            self._stopped.wait(_REGISTER_RETRY_S)


class GatewayPeerHandler:
    """Handles the peer calls that a gateway supports; other calls of the service are refused."""

    def __init__(self, gossip: GossipTask, responder: PeerResponder) -> None:
        self._gossip = gossip
        self._responder = responder

    def sync_members(self, members: list[MemberReport]) -> list[MemberReport]:
        """Merges the member list of a peer; returns the complete list of this router."""
        return self._gossip.sync_members(members)

    def list_rumors(self) -> list[Rumor]:
        """Returns the rumors in force."""
        return self._gossip.list_rumors()

    def watch_objects(
        self, kind: str, since_revision: int, wait_ms: int, epoch: int | None
    ) -> SeenObjects:
        """Returns the objects that changed after a position; waits if there are none yet."""
        since = StorePosition(epoch or 0, since_revision)
        return self._responder.watch(kind, since, wait_ms / 1e3)

    def confirm_configuration(self, known_version: int | None, max_age_ms: int) -> SeenObjects:
        """Returns the configuration in force if it is newer; reads the store if necessary."""
        return self._responder.confirm(known_version or 0, max_age_ms / 1e3)


def create_member_server(
    gossip: GossipTask, responder: PeerResponder, metrics: Metrics, settings: GatewaySettings
) -> ThriftServer:
    """Creates the server for peers on the listener that the membership has bound."""
    share = int(PEER_DESCRIPTOR_SHARE * (settings.max_descriptors - RESERVED_DESCRIPTORS))
    return ThriftServer(
        "peer",
        Address(settings.host, settings.peer_port),
        Peer.Processor(GatewayPeerHandler(gossip, responder)),
        COMPACT,
        metrics,
        max(MIN_PEER_CONNECTIONS, min(PEER_CONNECTIONS, share)),
        gossip.listener,
        memory=ConnectionMemory(PEER_BYTES),
        max_frame_bytes=MAX_PEER_CALL_BYTES,
    )


@frozen
class _CleanUp:
    """Timer message that starts a removal of the registrations of dead routers."""


@frozen
class _StoreRestored:
    """Reports that the store was restored from a copy and may show removed registrations again."""


@frozen
class _Observe:
    """Timer message that observes the clock for pauses of the process."""


class PeerEventTask(Task):
    """Handles events from peers, and observes the clock for pauses of the process.

    The events are crash reports, newer configurations and membership changes.
    """

    def __init__(
        self,
        own_id: str,
        crashes: CrashReports,
        configuration: ConfigurationHolder,
        instances: StoreInstanceList,
        pauses: PauseDetector,
        metrics: Metrics,
        log: EventLog,
        on_invariant: Callable[[], None],
    ) -> None:
        self._pauses = pauses
        self._resumed_at = float("-inf")
        self._crashes = crashes
        self._configuration = configuration
        self._log = log
        self._own_id = own_id
        self._instances = instances
        self._states_by_id: dict[str, MemberState] = {}
        self._dead_since_by_id: dict[str, float] = {}
        super().__init__("peer-news", metrics, on_invariant)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            RumorReceived: self._crashes.receive_rumor,
            RevisionReceived: self._on_revision,
            MembersChanged: self._on_members,
            _CleanUp: self._on_clean_up,
            _StoreRestored: self._on_store_restored,
            _Observe: self._on_observe,
        }

    def run_on(self, timers: TimerService) -> None:
        """Starts the task and its periodic clean-up."""
        self.start()
        timers.subscribe(self, CLEAN_UP_INTERVAL_S, _CleanUp())
        timers.subscribe(self, OBSERVATION_INTERVAL_S, _Observe())

    def store_restored(self) -> None:
        """Reports that the store was restored from a copy; callable by any thread."""
        self.post(_StoreRestored())

    def _on_store_restored(self, _: _StoreRestored) -> None:
        now = clock.now()
        self._dead_since_by_id = {
            router_id: min(dead_since, now)
            for router_id, dead_since in self._dead_since_by_id.items()
        }

    def _on_revision(self, message: RevisionReceived) -> None:
        if message.revision <= self._configuration.version():
            return
        self._log.notable(
            "peer_has_newer_config",
            version=message.revision,
            own_version=self._configuration.version(),
            peer=message.address.host,
        )
        # The watch may have become unresponsive, so the configuration is confirmed by a call.
        self._configuration.confirm(clock.now())

    def _on_members(self, message: MembersChanged) -> None:
        states = {member.id: member.state for member in message.members_by_id.values()}
        now = clock.now()
        for member_id, state in states.items():
            if self._states_by_id.get(member_id) is not state:
                self._log.notable("router_state", router=member_id, state=state.name)
        self._states_by_id = states
        self._dead_since_by_id = {
            member_id: self._dead_since_by_id.get(member_id, now)
            for member_id, state in states.items()
            if state is MemberState.DEAD
        }

    def _on_observe(self, _: _Observe) -> None:
        resumed_at = self._pauses.observe(clock.now())
        if resumed_at != self._resumed_at:
            self._resumed_at = resumed_at
            self.metrics.count("pauses_total")
            self._log.notable("resumed_after_pause")

    def _on_clean_up(self, _: _CleanUp) -> None:
        alive = [i for i, state in self._states_by_id.items() if state is MemberState.ALIVE]
        removable_before = clock.now() - DEAD_ROUTER_RETENTION_S
        for router_id, dead_since in list(self._dead_since_by_id.items()):
            # Only one router deletes a registration; further deletes would be wasted calls.
            if dead_since <= removable_before and first_ranked(router_id, alive) == self._own_id:
                self._instances.forget(router_id)
                self._dead_since_by_id[router_id] = float("inf")


class RouterDirectory:
    """Selects the addresses of routers for callers."""

    def __init__(self, gossip: GossipTask, settings: GatewaySettings) -> None:
        self._gossip = gossip
        self._settings = settings
        self._rng = random.Random()

    def answer(
        self, query: AddressQuery, is_serving: bool, homes: frozenset[str] = frozenset()
    ) -> list[Address]:
        """Returns the addresses of usable routers, of the caller's failure domain if possible.

        Routers of other failure domains are included only if the caller's own has fewer than
        `MIN_LOCAL_ROUTERS`. More than `MAX_ADDRESSES` are reduced to a random sample.

        Args:
            query: Location of the caller.
            is_serving: Whether this router itself may be returned.
            homes: Regions to which callers should send their requests, besides their own one;
                empty if there is no such region. Others are returned only if these have no router.
        """
        own_id = self._settings.instance_id
        usable = [
            member
            for member in self._gossip.members().values()
            if member.state is MemberState.ALIVE and (member.id != own_id or is_serving)
        ]
        if not usable:
            # Suspected routers are better than an empty response.
            usable = [m for m in self._gossip.members().values() if m.is_usable and m.id != own_id]
        if homes:
            permitted = homes | {query.region}
            usable = [m for m in usable if m.region in permitted] or usable
        local = [m for m in usable if m.failure_domain == query.failure_domain]
        selected = local if len(local) >= MIN_LOCAL_ROUTERS else usable
        return [member.http_address for member in self._sample(selected)]

    def count(self) -> int:
        """Returns the number of routers that share budgets, including this one."""
        return max(1, sum(m.state is not MemberState.DEAD for m in self._gossip.members().values()))

    def _sample(self, members: list[Member]) -> list[Member]:
        if len(members) <= MAX_ADDRESSES:
            return members
        return self._rng.sample(members, MAX_ADDRESSES)


def _outcome(result: Result[None, StoreFailure]) -> str:
    return result.failure().value if isinstance(result, Failure) else "done"
