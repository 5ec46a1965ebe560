"""Tests of `LedgerTask` and `KeyedRouter` with threads and real peer connections."""

from __future__ import annotations

import threading
import time
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from attrs import evolve
from returns.result import Failure, Result, Success

from sequoiadrum._ledger_codec import decode_head
from sequoiadrum._ledger_dispatch import Dispatcher
from sequoiadrum._ledger_types import LedgerPolicy
from sequoiadrum.clock import Clock
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import Admission, ConfigSource, Grant, KeyedCall, KeyedState
from sequoiadrum.keyed_router import MAX_FORWARDED, MAX_WAITING, TAKEOVER_WAIT_S, KeyedRouter
from sequoiadrum.ledger_task import LedgerTask
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import PeerFailure, ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.platform_client import PlatformClient, PlatformFailure, StoredObject
from sequoiadrum.service_client import (
    Answered,
    CallOutcome,
    MaybeSent,
    ServiceClient,
    ServiceRequest,
)
from sequoiadrum.timers import TimerService
from tests.builders import a_config
from tools.load import run_threads

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from sequoiadrum.tasks import Task
    from sequoiadrum.thrift_server import ThriftServer

_OWNER_UNREACHABLE = (RefusalReason.OWNER_UNREACHABLE, KeyedState.NOT_RUN)


class _Platform(PlatformClient):
    """In-memory platform with conditional writes; `down` makes it unreachable."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.down = False

    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        with self.lock:
            if self.down:
                return Failure(PlatformFailure.UNREACHABLE)
            if name not in self.objects:
                return Failure(PlatformFailure.NOT_FOUND)
            return Success(StoredObject(name, *self.objects[name]))

    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        with self.lock:
            version = self.objects.get(name, (0, b""))[0]
            if self.down:
                return Failure(PlatformFailure.UNREACHABLE)
            if version != expected_version:
                return Failure(PlatformFailure.CONFLICT)
            self.objects[name] = (version + 1, value)
            return Success(StoredObject(name, version + 1, value))

    def delete(self, name: str, expected_version: int) -> Any:
        raise NotImplementedError

    list_names = watch = list_instances = delete  # type: ignore[assignment]


class _Services(ServiceClient):
    """Records executions; calls block while `gate` is not set."""

    def __init__(self) -> None:
        self.executions: list[str] = []
        self.gate = threading.Event()
        self.gate.set()

    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        self.executions.append(request.idempotency_key)
        if not self.gate.wait(timeout_s):
            return MaybeSent("timed out")
        return Answered(201, "text/plain", b"%d" % len(self.executions))


class _Admission(Admission):
    """Grants every request immediately."""

    def acquire(self, request: Any, excluded: Collection[str]) -> Any:
        return Success(Grant("g", request.pool, "s1", Address("127.0.0.1", 1), "r1"))

    def release(self, grant: Grant, outcome: Any) -> None:
        return


class _Config(ConfigSource):
    """Configuration with one plain service."""

    def __init__(self) -> None:
        route = (ObjectKind.ROUTE, "orders", {"pool": "orders", "idempotent": False})
        self._state = a_config(route)

    def current(self) -> Any:
        return self._state

    def refusal(self) -> None:
        return None


class _Members(MembershipSource):
    """Membership with a view that tests set."""

    def __init__(self, name: str, view: dict[str, Member]) -> None:
        self.name = name
        self.view = view

    def self_id(self) -> str:
        return self.name

    def members(self) -> Mapping[str, Member]:
        return self.view

    def subscribe(self, task: Task) -> None:
        return

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        return


class _LossyPeers(ThriftPeerClient):
    """Makes calls, but reports the next `losses` replies as lost."""

    losses = 0

    def call(self, address: Address, make: Callable[[Any], Any], timeout_s: float) -> Any:
        result = super().call(address, make, timeout_s)
        if self.losses:
            self.losses -= 1
            return Failure(PeerFailure.BROKEN)
        return result


class LedgerTaskTest(unittest.TestCase):
    """Tests two routers that share a platform and a service."""

    def setUp(self) -> None:
        self.platform = _Platform()
        self.services = _Services()
        self.timers = TimerService(Metrics())
        self.timers.start()
        self.addCleanup(self.timers.stop)
        self.view: dict[str, Member] = {}
        self.tasks: dict[str, LedgerTask] = {}
        self.routers: dict[str, KeyedRouter] = {}
        self.members: dict[str, _Members] = {}
        self.peers: dict[str, _LossyPeers] = {}
        self.servers: dict[str, ThriftServer] = {}
        for number, name in enumerate(("r1", "r2")):
            self._start(number, name)

    def _start(self, number: int, name: str) -> None:
        self.members[name] = _Members(name, self.view)
        metrics = Metrics()
        self.view[name] = Member(name, "127.0.0.1", 0, 0, "d1", "r", number, 0, MemberState.ALIVE)
        members = self.members[name]
        peers = self.peers[name] = _LossyPeers(metrics)
        self.addCleanup(peers.close)
        dispatcher = Dispatcher(_Config(), _Admission(), self.services, peers, Clock())
        task = self.tasks[name] = LedgerTask(
            1,
            LedgerPolicy(),
            members,
            self.platform,
            dispatcher,
            self.timers,
            metrics,
            lambda: self.fail("an invariant of the ledger task does not hold"),
        )
        router = self.routers[name] = KeyedRouter(task, members, peers)
        handler = PeerHandler(None, None, None, router, None)
        server = create_peer_server(Address("127.0.0.1", 0), handler, metrics)
        self.view[name] = evolve(self.view[name], peer_port=server.port)
        server.start()
        self.servers[name] = server
        self.addCleanup(server.stop)
        task.start()
        self.addCleanup(task.stop)

    def _submit(self, name: str, key: str, timeout_s: float = 20.0) -> Any:
        request = ServiceRequest("POST", "/", "text/plain", b"body", f"a:{key}")
        issued_at_ms = int(time.time() * 1e3)
        deadline = time.monotonic() + timeout_s
        call = KeyedCall("orders", "a", key, issued_at_ms, request, deadline)
        return self.routers[name].submit(call)

    def _owner(self) -> str:
        return decode_head(self.platform.objects["ledger/0/head"][1]).owner

    def test_every_router_gives_the_same_answer(self) -> None:
        """Guards against a second execution when a caller retries a key at another router."""
        outcomes = [self._submit(name, "k1") for name in ("r1", "r2", "r1", "r2")]
        self.assertEqual({outcome.body for outcome in outcomes}, {b"1"}, outcomes)
        self.assertEqual(self.services.executions, ["a:k1"])
        status = self.routers["r2"].status("orders", "a", "k1", int(time.time() * 1e3))
        self.assertEqual((status.state, status.body), (KeyedState.DONE, b"1"))
        owners = {router.router_for("orders", "a", "k1") for router in self.routers.values()}
        self.assertEqual(owners, {self._owner()})

    def test_lost_forwarding_is_found_out(self) -> None:
        """Guards against "not run" for a call that ran, if only the reply of the owner was lost."""
        self._submit("r1", "k1")
        other = next(name for name in self.routers if name != self._owner())
        self.peers[other].losses = 1
        outcome = self._submit(other, "k2")
        self.assertEqual((outcome.state, outcome.body), (KeyedState.DONE, b"2"))
        self.assertEqual(self.services.executions, ["a:k1", "a:k2"])

    def test_failed_job_does_not_block_the_shard(self) -> None:
        """Guards against a shard that waits for ever for a read or write that raised."""
        for key, method in (("k1", "get"), ("k2", "put"), ("k3", "put")):
            original = getattr(self.platform, method)
            faults: list[Exception] = [LookupError("injected")]

            def call(*args: Any, original: Any = original, faults: Any = faults) -> Any:
                if faults:
                    raise faults.pop()
                return original(*args)

            with self.subTest(key), mock.patch.object(self.platform, method, call):
                outcome = self._submit("r1", key, 10.0)
                self.assertEqual(faults, [])
                self.assertIs(outcome.state, KeyedState.DONE)
        self.assertEqual(self.services.executions, ["a:k1", "a:k2", "a:k3"])
        counts = [t.metrics.value("job_failures_total", pool="ledger-io") for t in self._all()]
        self.assertEqual(sum(counts), 3)

    def test_failed_dispatch_has_an_outcome(self) -> None:
        """Guards against a call that waits for its deadline, or is told that it did not run."""
        task = self.tasks["r1"]
        dispatcher = task._dispatcher
        for key, is_sent, state in (
            ("k1", False, KeyedState.NOT_RUN),
            ("k2", True, KeyedState.UNKNOWN),
        ):

            def send(_: Any, gate: Any, is_sent: bool = is_sent) -> Any:
                if is_sent:
                    gate.try_send(0.0)
                raise LookupError("injected")

            with self.subTest(key), mock.patch.object(dispatcher, "send", send):
                started_at = time.monotonic()
                self.assertIs(self._submit("r1", key, 20.0).state, state)
                self.assertLess(time.monotonic() - started_at, 20.0)
        self.assertEqual(task.metrics.value("job_failures_total", pool="ledger-send"), 2)

    def _all(self) -> list[LedgerTask]:
        return list(self.tasks.values())

    def test_call_waits_for_the_takeover(self) -> None:
        """Guards against refused calls between the death of an owner and its detection."""
        self._submit("r1", "k1")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.servers[owner].stop()
        dead = evolve(self.view[owner], state=MemberState.DEAD)
        detection = threading.Timer(0.5, lambda: self.view.update({owner: dead}))
        detection.start()
        self.assertEqual(self._submit(other, "k2").body, b"2")
        self.assertEqual(self._owner(), other)

    def test_waiting_calls_are_bounded(self) -> None:
        """Guards against an unreachable owner that blocks the threads of all callers."""
        self._submit("r1", "k1")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.servers[owner].stop()
        outcomes: list[Any] = []

        def call(number: int) -> None:
            outcome = self._submit(other, f"n{number}")
            outcomes.append((time.monotonic() - started, outcome.refusal.reason, outcome.state))

        started = time.monotonic()
        run_threads(MAX_WAITING + 8, call)
        self.assertEqual({o[1:] for o in outcomes}, {_OWNER_UNREACHABLE})
        self.assertGreaterEqual(sum(o[0] < TAKEOVER_WAIT_S / 2 for o in outcomes), 8)
        self.assertEqual(self.services.executions, ["a:k1"])

    def test_forwarded_calls_are_bounded(self) -> None:
        """Guards against forwarded calls that occupy all threads of the peer server."""
        self._submit("r1", "k0")
        other = next(name for name in self.routers if name != self._owner())
        self.services.gate.clear()
        outcomes: list[Any] = []

        def call(number: int) -> None:
            outcomes.append(self._submit(other, f"n{number}", 40.0))

        callers = threading.Thread(target=run_threads, args=(MAX_FORWARDED + 8, call))
        callers.start()
        while len(outcomes) < 8:
            time.sleep(0.01)
        busy = {(o.state, o.refusal.reason) for o in outcomes}
        self.assertEqual(busy, {(KeyedState.NOT_RUN, RefusalReason.LEDGER_BUSY)})
        status = self.routers[other].status("orders", "a", "k0", int(time.time() * 1e3))
        self.assertIs(status.state, KeyedState.DONE)
        self.services.gate.set()
        callers.join(60.0)
        done = [o for o in outcomes if o.state is KeyedState.DONE]
        self.assertEqual(len(done), MAX_FORWARDED)
        self.assertEqual(len(self.services.executions), 1 + MAX_FORWARDED)

    def test_unknown_owner_keeps_its_shard(self) -> None:
        """Guards against a takeover by a starting router that does not know the live owner yet.

        Calls that the owner has claimed would become `unknown`.
        """
        self._submit("r1", "k0")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.services.gate.clear()
        outcomes: list[Any] = []
        caller = threading.Thread(target=lambda: outcomes.append(self._submit(owner, "k1")))
        caller.start()
        while len(self.services.executions) < 2:
            time.sleep(0.01)
        self.members[other].view = {other: self.view[other]}
        self.tasks[other].record_owner(0, "")
        outcome = self._submit(other, "k1", timeout_s=1.0)
        self.assertEqual((outcome.refusal.reason, outcome.state), _OWNER_UNREACHABLE)
        self.assertEqual(self._owner(), owner)
        self.services.gate.set()
        caller.join(20.0)
        self.assertIs(outcomes[0].state, KeyedState.DONE)

    def test_outage(self) -> None:
        """Guards against calls that never end, and lost outcomes, while the platform is down."""
        self._submit("r1", "k1")
        self.platform.down = True
        outcomes = [self._submit(name, "k2") for name in self.routers]
        self.assertEqual({outcome.state for outcome in outcomes}, {KeyedState.NOT_RUN})
        self.assertEqual(self._submit("r1", "k1").body, b"1")
        self.platform.down = False
        self.assertEqual(self._submit("r2", "k2").body, b"2")

    def test_outcome_within_the_deadline(self) -> None:
        """Guards against a call without an outcome at its deadline when the service is slow."""
        self.services.gate.clear()
        outcome = self._submit("r1", "k1", timeout_s=1.0)
        self.assertIs(outcome.state, KeyedState.UNKNOWN)
        self.services.gate.set()

    def test_drain_waits_and_hands_over(self) -> None:
        """Guards against a graceful shutdown that interrupts a call or keeps its shard."""
        self._submit("r1", "k0")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.services.gate.clear()
        outcomes: list[Any] = []
        caller = threading.Thread(target=lambda: outcomes.append(self._submit(owner, "k1")))
        caller.start()
        while len(self.services.executions) < 2:
            time.sleep(0.01)
        self.view[owner] = evolve(self.view[owner], state=MemberState.LEAVING)
        released = threading.Timer(0.2, self.services.gate.set)
        released.start()
        self.assertTrue(self.tasks[owner].drain(20.0))
        caller.join(20.0)
        self.assertEqual(outcomes[0].body, b"2")
        self.assertEqual(self._owner(), "")
        self.assertEqual(self._submit(other, "k1").body, b"2")
        self.assertEqual(self._submit(other, "k2").body, b"3")
        self.assertEqual(self._owner(), other)
