"""Fakes of the dependencies of tasks, for tests in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field
from returns.result import Failure, Result, Success

from sequoiadrum.configuration import ConfigState
from sequoiadrum.engine_client import EngineFailure
from sequoiadrum.interfaces import ConfigSource
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import (
    Address,
    LoadReport,
    Member,
    MembersChanged,
    MemberState,
    RumorReceived,
)
from sequoiadrum.peer_client import PeerClient, PeerFailure
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.errors import Refusal
    from sequoiadrum.tasks import Task


@define(eq=False)
class FakeConfig(ConfigSource):
    """Configuration source whose state the test sets."""

    state: ConfigState = field(factory=ConfigState)

    def current(self) -> ConfigState:
        return self.state

    def refusal(self) -> Refusal | None:
        return None


def a_member(router_id: str, number: int, **values: Any) -> Member:
    """Builds an alive member; its ports and its process id are `number`."""
    defaults: dict[str, Any] = {
        "id": router_id,
        "host": "127.0.0.1",
        "peer_port": number,
        "http_port": number,
        "failure_domain": "d1",
        "region": "default",
        "process_id": number,
        "incarnation": 0,
        "state": MemberState.ALIVE,
    }
    return Member(**{**defaults, **values})


class FakeMembership(MembershipSource):
    """Membership view that the test sets; rumors are delivered to the linked views immediately."""

    def __init__(self, own_id: str, members: Mapping[str, Member]) -> None:
        self.own_id = own_id
        self.view = dict(members)
        self.linked: list[FakeMembership] = []
        self.spread_rumors: list[RumorReceived] = []
        self._tasks: list[Task] = []

    def self_id(self) -> str:
        return self.own_id

    def members(self) -> Mapping[str, Member]:
        return self.view

    def subscribe(self, task: Task) -> None:
        self._tasks.append(task)

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        rumor = RumorReceived(kind, key, version, payload)
        self.spread_rumors.append(rumor)
        for other in self.linked:
            other.post(rumor)

    def post(self, message: object) -> None:
        """Delivers a message to the subscribers."""
        for task in self._tasks:
            task.post(message)

    def change(self, router_id: str, **values: Any) -> None:
        """Changes attributes of a member in this view and notifies the subscribers."""
        self.view = {**self.view, router_id: evolve(self.view[router_id], **values)}
        self.post(MembersChanged(self.view))


class FakePeers(PeerClient):
    """Peer client that calls the handlers of other routers in this process."""

    def __init__(self) -> None:
        self.handlers_by_port: dict[int, Any] = {}
        self.calls: list[str] = []
        self.lost_calls: set[str] = set()
        """Names of calls that are lost before they reach the handler."""

    def call(
        self, address: Address, make: Callable[[Any], Any], timeout_s: float
    ) -> Result[Any, PeerFailure]:
        handler = self.handlers_by_port.get(address.port)
        if handler is None:
            return Failure(PeerFailure.UNREACHABLE)
        recorder = _Recorder(self, handler)
        value = make(recorder)
        return Failure(PeerFailure.BROKEN) if recorder.lost else Success(value)


@define(eq=False)
class _Recorder:
    peers: FakePeers
    handler: Any
    lost: bool = False

    def __getattr__(self, name: str) -> Any:
        def method(*arguments: Any) -> Any:
            self.peers.calls.append(name)
            if name in self.peers.lost_calls:
                self.lost = True
                return None
            return getattr(self.handler, name)(*arguments)

        return method


class FakeEngines:
    """Engine client for load polls; an endpoint without a report is down."""

    def __init__(self) -> None:
        self.report_by_port: dict[int, LoadReport] = {}

    def load(self, address: Address) -> Result[LoadReport, EngineFailure]:
        """See `EngineClient.load`."""
        report = self.report_by_port.get(address.port)
        return Success(report) if report is not None else Failure(EngineFailure.UNREACHABLE)


class FakePlatform:
    """Platform client with an instance list that the test sets; None simulates an outage."""

    def __init__(self) -> None:
        self.instances: list[Any] | None = []

    def list_instances(self) -> Result[Any, PlatformFailure]:
        """See `PlatformClient.list_instances`."""
        if self.instances is None:
            return Failure(PlatformFailure.UNREACHABLE)
        return Success(self.instances)
