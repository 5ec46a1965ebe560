"""Tests of `LedgerTask` and `KeyedRouter` with threads and real peer connections."""

from __future__ import annotations

import threading
import time
import unittest
from typing import TYPE_CHECKING, Any

from attrs import evolve
from returns.result import Failure, Result, Success

from sequoiadrum._ledger_codec import decode_head
from sequoiadrum._ledger_dispatch import Dispatcher
from sequoiadrum._ledger_types import LedgerPolicy
from sequoiadrum.clock import Clock
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import (
    Admission,
    ConfigSource,
    Grant,
    KeyedCall,
    KeyedState,
    MembershipSource,
)
from sequoiadrum.keyed_router import MAX_FORWARDED, MAX_WAITING, TAKEOVER_WAIT_S, KeyedRouter
from sequoiadrum.ledger_task import LedgerTask
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
    """Conditional writes in memory."""

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
    """Counts executions; holds them while `gate` is closed."""

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
    """Grants at once."""

    def acquire(self, request: Any, excluded: Collection[str]) -> Any:
        return Success(Grant("g", request.pool, "s1", Address("127.0.0.1", 1), "r1"))

    def release(self, grant: Grant, outcome: Any) -> None:
        return


class _Config(ConfigSource):
    """One plain service."""

    def __init__(self) -> None:
        route = (ObjectKind.ROUTE, "orders", {"pool": "orders", "idempotent": False})
        self._state = a_config(route)

    def current(self) -> Any:
        return self._state

    def refusal(self) -> None:
        return None


class _Members(MembershipSource):
    """A view that tests set."""

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
    """Loses the answers of the first calls."""

    losses = 0

    def call(self, address: Address, make: Callable[[Any], Any], timeout_s: float) -> Any:
        result = super().call(address, make, timeout_s)
        if self.losses:
            self.losses -= 1
            return Failure(PeerFailure.BROKEN)
        return result


class LedgerTaskTest(unittest.TestCase):
    """Two routers that share a platform and a back end."""

    def setUp(self) -> None:
        self.platform = _Platform()
        self.services = _Services()
        self.timers = TimerService()
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
            lambda: self.fail("invariant broken"),
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
        """Guards against a second execution when a key comes again at another router."""
        answers = [self._submit(name, "k1") for name in ("r1", "r2", "r1", "r2")]
        self.assertEqual({answer.body for answer in answers}, {b"1"}, answers)
        self.assertEqual(self.services.executions, ["a:k1"])
        status = self.routers["r2"].status("orders", "a", "k1", int(time.time() * 1e3))
        self.assertEqual((status.state, status.body), (KeyedState.DONE, b"1"))
        named = {router.router_for("orders", "a", "k1") for router in self.routers.values()}
        self.assertEqual(named, {self._owner()})

    def test_lost_forwarding_is_found_out(self) -> None:
        """Guards against "not run" when only the answer of the owner was lost."""
        self._submit("r1", "k1")
        other = next(name for name in self.routers if name != self._owner())
        self.peers[other].losses = 1
        answer = self._submit(other, "k2")
        self.assertEqual((answer.state, answer.body), (KeyedState.DONE, b"2"))
        self.assertEqual(self.services.executions, ["a:k1", "a:k2"])

    def test_call_waits_for_the_takeover(self) -> None:
        """Guards against refusals between an owner's death and its discovery."""
        self._submit("r1", "k1")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.servers[owner].stop()
        dead = evolve(self.view[owner], state=MemberState.DEAD)
        discovery = threading.Timer(0.5, lambda: self.view.update({owner: dead}))
        discovery.start()
        self.assertEqual(self._submit(other, "k2").body, b"2")
        self.assertEqual(self._owner(), other)

    def test_waiting_calls_are_bounded(self) -> None:
        """Guards against an owner out of reach that holds the threads of all callers."""
        self._submit("r1", "k1")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.servers[owner].stop()
        answers: list[Any] = []

        def call(number: int) -> None:
            answer = self._submit(other, f"n{number}")
            answers.append((time.monotonic() - started, answer.refusal.reason, answer.state))

        started = time.monotonic()
        run_threads(MAX_WAITING + 8, call)
        self.assertEqual({a[1:] for a in answers}, {_OWNER_UNREACHABLE})
        self.assertGreaterEqual(sum(a[0] < TAKEOVER_WAIT_S / 2 for a in answers), 8)
        self.assertEqual(self.services.executions, ["a:k1"])

    def test_forwarded_calls_are_bounded(self) -> None:
        """Guards against forwarded calls that take the threads of all other peer calls."""
        self._submit("r1", "k0")
        other = next(name for name in self.routers if name != self._owner())
        self.services.gate.clear()
        answers: list[Any] = []

        def call(number: int) -> None:
            answers.append(self._submit(other, f"n{number}", 40.0))

        crowd = threading.Thread(target=run_threads, args=(MAX_FORWARDED + 8, call))
        crowd.start()
        while len(answers) < 8:
            time.sleep(0.01)
        busy = {(a.state, a.refusal.reason) for a in answers}
        self.assertEqual(busy, {(KeyedState.NOT_RUN, RefusalReason.LEDGER_BUSY)})
        status = self.routers[other].status("orders", "a", "k0", int(time.time() * 1e3))
        self.assertIs(status.state, KeyedState.DONE)
        self.services.gate.set()
        crowd.join(60.0)
        done = [a for a in answers if a.state is KeyedState.DONE]
        self.assertEqual(len(done), MAX_FORWARDED)
        self.assertEqual(len(self.services.executions), 1 + MAX_FORWARDED)

    def test_unknown_owner_keeps_its_shard(self) -> None:
        """Guards against a starting router that makes a live owner's calls `unknown`."""
        self._submit("r1", "k0")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.services.gate.clear()
        answers: list[Any] = []
        caller = threading.Thread(target=lambda: answers.append(self._submit(owner, "k1")))
        caller.start()
        while len(self.services.executions) < 2:
            time.sleep(0.01)
        self.members[other].view = {other: self.view[other]}
        self.tasks[other].record_owner(0, "")
        answer = self._submit(other, "k1", timeout_s=1.0)
        self.assertEqual((answer.refusal.reason, answer.state), _OWNER_UNREACHABLE)
        self.assertEqual(self._owner(), owner)
        self.services.gate.set()
        caller.join(20.0)
        self.assertIs(answers[0].state, KeyedState.DONE)

    def test_outage(self) -> None:
        """Guards against hanging calls and forgotten answers while the platform is down."""
        self._submit("r1", "k1")
        self.platform.down = True
        answers = [self._submit(name, "k2") for name in self.routers]
        self.assertEqual({answer.state for answer in answers}, {KeyedState.NOT_RUN})
        self.assertEqual(self._submit("r1", "k1").body, b"1")
        self.platform.down = False
        self.assertEqual(self._submit("r2", "k2").body, b"2")

    def test_outcome_within_the_deadline(self) -> None:
        """Guards against a caller that is left without an outcome by a slow back end."""
        self.services.gate.clear()
        answer = self._submit("r1", "k1", timeout_s=1.0)
        self.assertIs(answer.state, KeyedState.UNKNOWN)
        self.services.gate.set()

    def test_drain_waits_and_hands_over(self) -> None:
        """Guards against a planned stop that cuts a call off or keeps its shard."""
        self._submit("r1", "k0")
        owner = self._owner()
        other = next(name for name in self.routers if name != owner)
        self.services.gate.clear()
        answers: list[Any] = []
        caller = threading.Thread(target=lambda: answers.append(self._submit(owner, "k1")))
        caller.start()
        while len(self.services.executions) < 2:
            time.sleep(0.01)
        self.view[owner] = evolve(self.view[owner], state=MemberState.LEAVING)
        released = threading.Timer(0.2, self.services.gate.set)
        released.start()
        self.assertTrue(self.tasks[owner].drain(20.0))
        caller.join(20.0)
        self.assertEqual(answers[0].body, b"2")
        self.assertEqual(self._owner(), "")
        self.assertEqual(self._submit(other, "k1").body, b"2")
        self.assertEqual(self._submit(other, "k2").body, b"3")
        self.assertEqual(self._owner(), other)
