"""Finds the other routers through the store and follows them by the membership protocol."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._gen.peer import Peer
from sequoiadrum._thrift_transport import COMPACT
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import MembersChanged, MemberState, RevisionReceived, RumorReceived
from sequoiadrum.platform_client import InstanceList, ListedInstance, PlatformFailure
from sequoiadrum.tasks import Task
from sequoiadrum.thrift_server import ThriftServer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum._gen.peer.ttypes import MemberReport, SeenObjects
    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.peer_feed import PeerResponder
    from sequoiadrum.gateway.ports import AddressQuery, Store
    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Address, Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

ROUTER_KIND: Final = "sequoiadrum-routers"
"""Objects in the store that name the routers; one write at each start and planned stop."""
MAX_ADDRESSES: Final = 64
"""Callers read so many addresses of an answer."""
ENOUGH_NEAR: Final = 2
"""Routers of the caller's failure domain that are answered without any others."""
CLEAN_UP_S: Final = 30.0
"""How often registrations of routers that are gone are looked for."""
FORGET_ROUTER_S: Final = 120.0
"""A router that was dead for so long is not expected back; if it returns, it registers again."""
PEER_CONNECTIONS: Final = 160
"""Connections of peers; each follower of a watcher keeps two, and needs a thread while it waits."""
_REGISTER_RETRY_S: Final = 0.5
_FAILURES: Final = {
    StoreFailure.NOT_FOUND: PlatformFailure.NOT_FOUND,
    StoreFailure.RATE_LIMITED: PlatformFailure.RATE_LIMITED,
}


class StoreInstanceList(InstanceList):
    """The routers that have registered in the store; some may be gone."""

    def __init__(self, store: Store, settings: GatewaySettings, log: EventLog) -> None:
        self._store = store
        self._settings = settings
        self._log = log
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._register, name="register", daemon=True)

    def start(self) -> None:
        """Registers this router in the background."""
        self._thread.start()

    def withdraw(self) -> None:
        """Removes the registration before a planned stop; others find out anyway if that fails."""
        self._stopped.set()
        result = self._store.delete(ROUTER_KIND, self._settings.instance_id)
        self._log.notable("registration_withdrawn", outcome=_outcome(result))

    def forget(self, router_id: str) -> None:
        """Removes the registration of a router that was dead for long; nothing else expires it."""
        result = self._store.delete(ROUTER_KIND, router_id)
        self._log.notable("registration_removed", router=router_id, outcome=_outcome(result))

    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """See `InstanceList.list_instances`."""
        listed = self._store.list(ROUTER_KIND)
        if isinstance(listed, Failure):
            return Failure(_FAILURES.get(listed.failure(), PlatformFailure.UNREACHABLE))
        found = []
        for item in listed.unwrap().items:
            document: Any = item.document
            try:
                host, port = str(document["host"]), int(document["peer_port"])
            except (KeyError, TypeError, ValueError) as error:
                self._log.notable("router_entry_malformed", name=item.name, detail=repr(error))
                continue
            found.append(ListedInstance(item.name, host, port, "router", leaving=False))
        return Success(found)

    def _register(self) -> None:
        document = {"host": self._settings.host, "peer_port": self._settings.peer_port}
        while not self._stopped.is_set():
            name = self._settings.instance_id
            result = self._store.create(ROUTER_KIND, name, document)
            if isinstance(result, Failure) and result.failure() is StoreFailure.CONFLICT:
                result = self._store.replace(ROUTER_KIND, name, document)
            if isinstance(result, Success):
                self._log.notable("registered", host=self._settings.host)
                return
            self._log.notable("registration_failed", why=result.failure().value)
            self._stopped.wait(_REGISTER_RETRY_S)


class GatewayPeerHandler:
    """Answers the peer calls of a gateway; the calls of other parts of a router are refused."""

    def __init__(self, gossip: GossipTask, answers: PeerResponder) -> None:
        self._gossip = gossip
        self._answers = answers

    def sync_members(self, members: list[MemberReport]) -> list[MemberReport]:
        """Exchanges the whole member list."""
        return self._gossip.sync_members(members)

    def watch_objects(self, kind: str, since_revision: int, wait_ms: int) -> SeenObjects:
        """Gives objects that changed after a revision; waits for a change."""
        return self._answers.watch(kind, since_revision, wait_ms / 1e3)

    def confirm_configuration(self, since_revision: int, max_age_ms: int) -> SeenObjects:
        """Gives the configuration in force if it is newer; reads the store when it must."""
        return self._answers.confirm(since_revision, max_age_ms / 1e3)


def create_member_server(
    gossip: GossipTask, answers: PeerResponder, metrics: Metrics, address: Address
) -> ThriftServer:
    """Serves peers on the listener that the membership has bound."""
    return ThriftServer(
        "peer",
        address,
        Peer.Processor(GatewayPeerHandler(gossip, answers)),
        COMPACT,
        metrics,
        PEER_CONNECTIONS,
        gossip.listener,
    )


@frozen
class _CleanUp:
    """Looks for registrations of routers that are gone."""


class PeerEventTask(Task):
    """Takes what peers tell: crashing requests, newer configurations, changes of the fleet."""

    def __init__(
        self,
        own_id: str,
        crashes: CrashReports,
        configuration: ConfigurationHolder,
        instances: StoreInstanceList,
        metrics: Metrics,
        log: EventLog,
        on_invariant: Callable[[], None],
    ) -> None:
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
            RumorReceived: self._crashes.hear,
            RevisionReceived: self._on_revision,
            MembersChanged: self._on_members,
            _CleanUp: self._on_clean_up,
        }

    def run_on(self, timers: TimerService) -> None:
        """Starts the task and its ticks."""
        self.start()
        timers.subscribe(self, CLEAN_UP_S, _CleanUp())

    def _on_revision(self, message: RevisionReceived) -> None:
        if message.revision <= self._configuration.version():
            return
        self._log.notable(
            "peer_has_newer_config",
            version=message.revision,
            own_version=self._configuration.version(),
            peer=message.address.host,
        )
        # The watch may have fallen silent; a read tells.
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

    def _on_clean_up(self, _: _CleanUp) -> None:
        alive = [i for i, state in self._states_by_id.items() if state is MemberState.ALIVE]
        horizon = clock.now() - FORGET_ROUTER_S
        for router_id, since in list(self._dead_since_by_id.items()):
            # One router does it; a second delete would only be a wasted call.
            if since <= horizon and first_ranked(router_id, alive) == self._own_id:
                self._instances.forget(router_id)
                self._dead_since_by_id[router_id] = float("inf")


class RouterDirectory:
    """Tells callers which routers to use."""

    def __init__(self, gossip: GossipTask, settings: GatewaySettings) -> None:
        self._gossip = gossip
        self._settings = settings
        self._rng = random.Random()

    def answer(self, question: AddressQuery, is_serving: bool) -> list[Address]:
        """Gives addresses, those of the caller's failure domain alone when there are enough.

        Args:
            question: Where the caller is.
            is_serving: Whether this router itself may be named.
        """
        own_id = self._settings.instance_id
        alive = [
            member
            for member in self._gossip.members().values()
            if member.state is MemberState.ALIVE and (member.id != own_id or is_serving)
        ]
        if not alive:
            # Suspects are better than no answer.
            alive = [m for m in self._gossip.members().values() if m.is_usable and m.id != own_id]
        near = [m for m in alive if m.failure_domain == question.failure_domain]
        named = near if len(near) >= ENOUGH_NEAR else alive
        return [member.http_address for member in self._sampled(named)]

    def count(self) -> int:
        """Gives the number of routers that share budgets, this one included."""
        return max(1, sum(m.state is not MemberState.DEAD for m in self._gossip.members().values()))

    def _sampled(self, members: list[Member]) -> list[Member]:
        if len(members) <= MAX_ADDRESSES:
            return members
        return self._rng.sample(members, MAX_ADDRESSES)


def _outcome(result: Result[None, StoreFailure]) -> str:
    return result.failure().value if isinstance(result, Failure) else "done"
