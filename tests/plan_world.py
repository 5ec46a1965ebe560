"""Fakes of the platform, configuration, engines and admission in virtual time, for plan tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sequoiadrum.engine_client import EngineClient, EngineFailure
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import (
    ConfigOutcomeUnknown,
    ConfigSource,
    ConfigUnavailable,
    ConfigWriter,
    EndpointLoad,
    PoolInspector,
    PoolLoad,
)
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import LoadReport, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.plan_driver import DriverParts, PlanDriver
from sequoiadrum.plan_keeper import AdvanceResult, DrivenPlan
from sequoiadrum.plan_store import PlanStore
from sequoiadrum.platform_client import PlatformClient, PlatformFailure, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.configuration import ConfigState
    from sequoiadrum.plans import Plan

LEASE_S = 9.0


class Killed(BaseException):
    """Stops a driver in the middle of a call, as SIGKILL does."""


class FakePlatform(PlatformClient):
    """Platform in memory with one version counter for all objects, outages and lost responses."""

    def __init__(self, called: Callable[[str], None]) -> None:
        self._called = called
        self.objects: dict[str, StoredObject] = {}
        self.version = 100
        self.outage = False
        self.puts = 0
        self.lost_puts: dict[int, bool] = {}
        """Whether a write takes effect, by the number of each write whose response is lost."""

    def get(self, name: str) -> Any:
        self._called(f"get {name}")
        if self.outage:
            return Failure(PlatformFailure.UNREACHABLE)
        found = self.objects.get(name)
        return Success(found) if found else Failure(PlatformFailure.NOT_FOUND)

    def put(self, name: str, value: bytes, expected_version: int) -> Any:
        self._called(f"put {name}")
        if self.outage:
            return Failure(PlatformFailure.UNREACHABLE)
        self.puts += 1
        if self.lost_puts.get(self.puts) is False:
            return Failure(PlatformFailure.UNKNOWN)
        found = self.objects.get(name)
        if expected_version != (found.version if found else 0):
            return Failure(PlatformFailure.CONFLICT)
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, value)
        if self.lost_puts.get(self.puts):
            return Failure(PlatformFailure.UNKNOWN)
        return Success(self.objects[name])

    def delete(self, name: str, expected_version: int) -> Any:
        self.objects.pop(name, None)
        return Success(None)

    def list_names(self, prefix: str) -> Any:
        self._called(f"list {prefix}")
        if self.outage:
            return Failure(PlatformFailure.UNREACHABLE)
        return Success([(n, o.version) for n, o in self.objects.items() if n.startswith(prefix)])

    def watch(self, name: str, known_version: int, timeout_s: float) -> Any:
        raise NotImplementedError

    def list_instances(self) -> Any:
        return Success([])


class FakeConfig(ConfigSource, ConfigWriter):
    """A configuration that applies changes immediately."""

    def __init__(self, state: ConfigState, called: Callable[[str], None]) -> None:
        self._called = called
        self.state = state
        self.not_ready: Refusal | None = None
        self.outage = False
        self.lose_next: bool | None = None
        """Whether the next change takes effect, if its response is lost; None if it is not lost."""

    def current(self) -> ConfigState:
        self._called("config")
        return self.state

    def refusal(self) -> Refusal | None:
        return self.not_ready

    def submit(self, request: Any) -> Any:
        self._called(f"submit {request.change_id}")
        if self.outage:
            return Failure(ConfigUnavailable("the platform is down"))
        lose, self.lose_next = self.lose_next, None
        if lose is False:
            return Failure(ConfigOutcomeUnknown(request.change_id))
        decided = self.state.decide(request)
        if isinstance(decided, Success):
            self.state = self.state.apply([decided.unwrap()])
        return Failure(ConfigOutcomeUnknown(request.change_id)) if lose else decided

    def value(self, kind: Any, name: str) -> Any:
        """Returns the value of an object without counting a call."""
        return self.state.changes_by_key[(kind, name)].value


class FakeEngine:
    """Models of an engine and the orders that it has executed."""

    def __init__(self, *models: str, checks_fencing: bool = True) -> None:
        self.models = list(models)
        self.checks_fencing = checks_fencing
        self.highest_fence = 0
        self.actions: list[str] = []


class FakeEngines(EngineClient):
    """Client of the fake engines, which are found by port."""

    def __init__(self, called: Callable[[str], None]) -> None:
        self._called = called
        self.by_port: dict[int, FakeEngine] = {}
        self.imports: list[tuple[int, str, int]] = []

    def load(self, address: Any) -> Any:
        self._called("load report")
        engine = self.by_port.get(address.port)
        if engine is None:
            return Failure(EngineFailure.UNREACHABLE)
        return Success(LoadReport(0.0, False, tuple(engine.models)))

    def import_kv(self, address: Any, chat_id: str, source: Any) -> Any:
        self._called("import")
        self.imports.append((address.port, chat_id, source.port))
        return Success(10)

    def order(self, address: Any, order: Any) -> Any:
        self._called(f"order {order.action}")
        engine = self.by_port[address.port]
        if engine.checks_fencing and order.fencing_number < engine.highest_fence:
            return Failure(EngineFailure.STALE_FENCE)
        engine.highest_fence = max(engine.highest_fence, order.fencing_number)
        engine.actions.append(order.action)
        if order.action == "load" and order.argument not in engine.models:
            engine.models.append(order.argument)
        if order.action == "unload" and order.argument in engine.models:
            engine.models.remove(order.argument)
        return Success(None)

    def open(self, address: Any, request: Any) -> Any:
        raise NotImplementedError

    def resume(self, address: Any, request_id: str, offset: int) -> Any:
        raise NotImplementedError

    def cancel(self, address: Any, request_id: str, if_unattached: bool) -> Any:
        raise NotImplementedError


class FakeInspector(PoolInspector):
    """Pool inspector with fixed values; the next calls of `in_flight` return `in_flight_left`."""

    def __init__(self, config: FakeConfig) -> None:
        self._config = config
        self.in_flight_left: list[float | None] = []
        self.chats = ["c1", "c2"]
        self.moved: dict[str, str] = {}

    def note_moved(self, source_id: str, target_by_chat: Any) -> None:
        self.moved.update(target_by_chat)

    def pool_load(self, pool: str) -> Any:
        endpoints = self._config.state.pool_endpoints(pool)
        if pool == "lost":
            return Failure(Refusal(RefusalReason.OWNER_UNREACHABLE, "no answer", 700))
        if not endpoints:
            return Failure(Refusal(RefusalReason.NOT_FOUND, f"no pool {pool}"))
        loads = [EndpointLoad(e, e.state.value, 2.0 + i, 1.0) for i, e in enumerate(endpoints)]
        return Success(PoolLoad(pool, "r1", 0, tuple(loads)))

    def in_flight(self, endpoint_id: str) -> float | None:
        return self.in_flight_left.pop(0) if self.in_flight_left else 0.0

    def recent_chats(self, endpoint_id: str, limit: int) -> list[str]:
        return self.chats[:limit]


class FakeMembership(MembershipSource):
    """A fixed set of routers."""

    def __init__(self, self_id: str, members_by_id: dict[str, Member]) -> None:
        self._self_id = self_id
        self.members_by_id = members_by_id
        self.subscribers: list[Any] = []
        self.rumors: list[tuple[str, str, int]] = []

    def self_id(self) -> str:
        return self._self_id

    def members(self) -> dict[str, Member]:
        return self.members_by_id

    def subscribe(self, task: Any) -> None:
        self.subscribers.append(task)

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        self.rumors.append((kind, key, version))


def a_member(member_id: str, **values: Any) -> Member:
    """Builds a router that has applied every revision."""
    defaults: dict[str, Any] = {
        "host": "127.0.0.1",
        "peer_port": 1,
        "http_port": 2,
        "failure_domain": "d1",
        "region": "default",
        "process_id": 1,
        "incarnation": 1,
        "state": MemberState.ALIVE,
        "config_revision": 1_000_000,
    }
    return Member(member_id, **{**defaults, **values})


class World:
    """Fakes and virtual time that the drivers of one test share."""

    def __init__(self, config: ConfigState) -> None:
        self.now = 0.0
        self.active = ""
        """Id of the router whose driver is running; empty if none is."""
        self.calls = 0
        """Number of external calls by router r1."""
        self.on_call: Callable[[int, str], None] | None = None
        """Called before each external call by router r1, with its number and a description."""
        self.platform = FakePlatform(self._called)
        self.config = FakeConfig(config, self._called)
        self.engines = FakeEngines(self._called)
        self.inspector = FakeInspector(self.config)
        self.members_by_id = {name: a_member(name) for name in ("r1", "r2")}
        self.store = PlanStore(self.platform)
        self.metrics = Metrics()

    def parts(self, router_id: str) -> DriverParts:
        """Builds the dependencies of a router's driver."""
        membership = FakeMembership(router_id, self.members_by_id)
        return DriverParts(
            self.store,
            self.config,
            self.config,
            self.engines,
            self.inspector,
            membership,
            self.metrics,
        )

    def run(self, router_id: str, plan_id: str) -> AdvanceResult:
        """Drives a plan until it is finished or lost, as a router that may take over its lease."""
        before, self.active = self.active, router_id
        driver = PlanDriver(self.parts(router_id), 7, LEASE_S, 2.0, lambda: self.now)
        try:
            found = self.store.get(plan_id)
            while isinstance(found, Failure):
                self.now += 1
                found = self.store.get(plan_id)
            return self._drive(driver, DrivenPlan(found.unwrap()))
        finally:
            self.active = before

    def _drive(self, driver: PlanDriver, driven: DrivenPlan) -> AdvanceResult:
        for _ in range(300):
            outcome = driver.advance(driven)
            if outcome in (AdvanceResult.LOST, AdvanceResult.FINISHED):
                return outcome
            if outcome is AdvanceResult.WAIT:
                self.now += 1
        raise AssertionError(
            f"plan not finished in 300 slices: {driven.plan}, {driven.progress_detail}"
        )

    def plan(self, plan_id: str) -> Plan:
        """Returns the stored plan."""
        return self.store.get(plan_id).unwrap().plan

    def _called(self, what: str) -> None:
        if self.active != "r1":
            return
        self.calls += 1
        if self.on_call is not None:
            self.on_call(self.calls, what)
