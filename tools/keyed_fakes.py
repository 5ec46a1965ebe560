"""Fakes of the peers, the platform, the back end and admission for simulated routers."""

from __future__ import annotations

from concurrent.futures import Future
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field
from returns.result import Failure, Result, Success

from sequoiadrum.interfaces import Admission, Grant
from sequoiadrum.messages import Address
from sequoiadrum.peer_client import PeerClient, PeerFailure
from sequoiadrum.platform_client import PlatformClient, PlatformFailure, StoredObject
from sequoiadrum.service_client import Answered, CallOutcome, MaybeSent, NotSent, ServiceClient

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from sequoiadrum.errors import Refusal
    from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome
    from sequoiadrum.platform_client import ListedInstance
    from sequoiadrum.service_client import ServiceRequest
    from tools.keyed_sim import Sim, SimRouter

PLATFORM_LATENCY_S: Final = 0.005
PLATFORM_TIMEOUT_S: Final = 2.0
SLOW_PLATFORM_LATENCY_S: Final = 3.0
"""Longer than the timeout: a write takes effect after its writer has timed out."""
SERVICE_DURATION_S: Final = 0.05


@define(eq=False)
class SimPeers(PeerClient):
    """Calls to other simulated routers; a frozen router executes them when it is resumed."""

    sim: Sim

    def call(
        self, address: Address, make: Callable[[Any], Any], timeout_s: float
    ) -> Result[Any, PeerFailure]:
        """See `PeerClient.call`."""
        target = self.sim.routers[address.port]
        if target.is_killed:
            return Failure(PeerFailure.UNREACHABLE)
        reply: Future[Any] = Future()
        self.sim.spawn(target, lambda: reply.set_result(make(target.peer_handler)))
        self.sim.block(lambda: reply.done() or target.is_killed, timeout_s)
        if not reply.done() or target.is_killed:
            return Failure(PeerFailure.BROKEN)
        return Success(reply.result())


@define(eq=False)
class PlatformState:
    """Objects and faults of the fake platform, shared by all routers."""

    objects_by_name: dict[str, tuple[int, bytes]] = field(factory=dict)
    version: int = 0
    writes: int = 0
    deletes: int = 0
    is_down: bool = False
    is_slow: bool = False

    def put(
        self, name: str, value: bytes | None, expected: int | None
    ) -> Result[StoredObject, PlatformFailure]:
        """Writes if the version is the expected one, or unconditionally if `expected` is None."""
        found = self.objects_by_name.get(name, (0, b""))[0]
        self.writes += 1
        if expected is not None and found != expected:
            return Failure(PlatformFailure.CONFLICT)
        self.version += 1
        self.objects_by_name[name] = (self.version, value or b"")
        return Success(StoredObject(name, self.version, value or b""))


class SimPlatform(PlatformClient):
    """One router's connection to the fake platform."""

    def __init__(
        self,
        sim: Sim,
        router: SimRouter,
        state: PlatformState,
        classify_write: Callable[[bytes], str],
    ) -> None:
        self._sim = sim
        self._router = router
        self._state = state
        self._classify_write = classify_write

    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """See `PlatformClient.get`."""
        self._sim.pause(PLATFORM_LATENCY_S)
        if self._is_platform_unreachable():
            return Failure(PlatformFailure.UNREACHABLE)
        if self._state.is_slow:
            return self._time_out()
        found = self._state.objects_by_name.get(name)
        if found is None:
            return Failure(PlatformFailure.NOT_FOUND)
        return Success(StoredObject(name, *found))

    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """See `PlatformClient.put`."""
        return self._put(name, value, expected_version)

    def put_unconditionally(self, name: str, value: bytes) -> Result[StoredObject, PlatformFailure]:
        """Overwrites an object; only the ledgers with known faults use it."""
        return self._put(name, value, None)

    def _put(
        self, name: str, value: bytes, expected: int | None
    ) -> Result[StoredObject, PlatformFailure]:
        self._sim.pause(PLATFORM_LATENCY_S)
        if self._is_platform_unreachable():
            return Failure(PlatformFailure.UNREACHABLE)
        stage = self._classify_write(value) if self._router is self._sim.routers[0] else ""
        if stage == "claim":
            self._sim.reach_step("claim sent")
        if self._is_platform_unreachable():
            return self._time_out()
        if self._state.is_slow:
            self._sim.call_later(
                SLOW_PLATFORM_LATENCY_S, partial(self._state.put, name, value, expected)
            )
            return self._time_out()
        result = self._state.put(name, value, expected)
        is_lost = stage == "claim" and self._sim.reach_step("claim answer lost")
        is_lost = is_lost or (self._router.drops_write_responses and self._state.writes % 2 == 0)
        if stage == "outcome":
            self._sim.reach_step("outcome recorded")
        self._sim.pause(0)
        return self._time_out() if is_lost or self._is_platform_unreachable() else result

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        """See `PlatformClient.delete`."""
        self._sim.pause(PLATFORM_LATENCY_S)
        found = self._state.objects_by_name.get(name, (0, b""))[0]
        if self._is_platform_unreachable():
            return Failure(PlatformFailure.UNREACHABLE)
        if found != expected_version:
            return Failure(PlatformFailure.CONFLICT)
        del self._state.objects_by_name[name]
        self._state.deletes += 1
        return Success(None)

    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        """See `PlatformClient.list_names`."""
        return Failure(PlatformFailure.UNREACHABLE)

    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        """See `PlatformClient.watch`."""
        return Failure(PlatformFailure.UNREACHABLE)

    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """See `PlatformClient.list_instances`."""
        return Failure(PlatformFailure.UNREACHABLE)

    def _is_platform_unreachable(self) -> bool:
        return self._state.is_down or self._router.is_platform_unreachable

    def _time_out(self) -> Failure[PlatformFailure]:
        self._sim.pause(PLATFORM_TIMEOUT_S)
        return Failure(PlatformFailure.UNKNOWN)


@define(eq=False)
class Execution:
    """One execution of a call by the fake back end."""

    started_at: float
    """Virtual time, in seconds."""
    attempt: str
    """Id of the request that caused it."""


class SimService(ServiceClient):
    """One router's client of the fake back end, which records executions."""

    def __init__(
        self,
        sim: Sim,
        router: SimRouter,
        executions: list[Execution],
        first_byte_at_by_attempt: dict[str, float],
        duration_s: Callable[[], float],
    ) -> None:
        self._sim = sim
        self._router = router
        self._executions = executions
        self._duration_s = duration_s
        self._first_byte_at_by_attempt = first_byte_at_by_attempt

    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        """See `ServiceClient.call`."""
        assert self._sim.current is not None
        if self._router.is_service_unreachable:
            return NotSent("refused")
        attempt = self._sim.current.attempt
        self._first_byte_at_by_attempt.setdefault(attempt, self._sim.now)
        is_owner = self._router is self._sim.routers[0]
        if is_owner:
            self._sim.reach_step("first byte sent")
        if self._router.is_service_unreachable:
            self._sim.pause(timeout_s)
            return MaybeSent("cut")
        self._executions.append(Execution(self._sim.now, attempt))
        body = b"%d" % len(self._executions)
        duration_s = self._duration_s()
        self._sim.pause(min(duration_s, timeout_s))
        if duration_s > timeout_s:
            return MaybeSent("timed out")
        is_lost = is_owner and self._sim.reach_step("back-end answer lost")
        self._sim.pause(0)
        if is_lost or self._router.is_service_unreachable:
            return MaybeSent("response lost")
        return Answered(201, "text/plain", body)


class SimAdmission(Admission):
    """Admission that grants every request immediately."""

    def __init__(self, sim: Sim, router: SimRouter) -> None:
        self._sim = sim
        self._router = router

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        """See `Admission.acquire`."""
        assert self._sim.current is not None
        self._sim.current.attempt = request.request_id
        if self._router is self._sim.routers[0]:
            self._sim.reach_step("claimed")
        self._sim.pause(0)
        return Success(Grant("g", request.pool, "s1", Address("127.0.0.1", 1), self._router.id))

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """See `Admission.release`."""
