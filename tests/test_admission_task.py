"""Admission by several routers in one process."""

from __future__ import annotations

import itertools
import threading
import time
import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from attrs import evolve
from returns.result import Failure, Success

from sequoiadrum import admission_task
from sequoiadrum._gen.peer import ttypes
from sequoiadrum._grant_wire import encode_hex
from sequoiadrum.admission_task import AdmissionParts, AdmissionTask
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.errors import RefusalReason
from sequoiadrum.grant_outbox import GrantOutbox
from sequoiadrum.hashing import rank
from sequoiadrum.interfaces import AdmissionRequest, Grant, GrantOutcome
from sequoiadrum.messages import Address, LoadReport, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import PeerFailure, ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.platform_client import ListedInstance
from sequoiadrum.pool_owner import GrantHolder
from sequoiadrum.timers import TimerService
from tests.builders import a_config, a_settings, an_endpoint_value
from tests.fakes import FakeConfig, FakeEngines, FakeMembership, FakePeers, FakePlatform, a_member

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_S = 15.0
_numbers = itertools.count(1)
_POOL = "assistant"
_BAD = "f0000000000000ba"


def a_request(chat_id: str = "", fingerprint: str = "", wait_s: float = 10.0) -> AdmissionRequest:
    """Builds a request with a unique id."""
    name = f"q{next(_numbers)}"
    deadline = time.monotonic() + wait_s
    return AdmissionRequest(_POOL, name, chat_id or name, "a", 1, 1.0, deadline, fingerprint)


class AdmissionTaskTest(unittest.TestCase):
    """Three routers, four engines; `first` owns the pool, `second` is next in the ranking."""

    def setUp(self) -> None:
        ids = ["r1", "r2", "r3"]
        self.first, self.second, self.third = rank(f"pool/{_POOL}", ids)
        members = {router_id: a_member(router_id, n) for n, router_id in enumerate(ids, 1)}
        self.ports = {router_id: n for n, router_id in enumerate(ids, 1)}
        self.peers = FakePeers()
        self.engines = FakeEngines()
        self.platforms = {router_id: FakePlatform() for router_id in ids}
        self.config = FakeConfig(self.endpoints())
        self.timers = TimerService(Metrics())
        self.metrics = Metrics()
        self.views = {router_id: FakeMembership(router_id, members) for router_id in ids}
        self.tasks: dict[str, AdmissionTask] = {}
        self.timers.start()
        self.addCleanup(self.timers.stop)
        for port in range(9000, 9004):
            self.engines.report_by_port[port] = LoadReport(0.0)
        for router_id in ids:
            view = self.views[router_id]
            view.linked = [other for other in self.views.values() if other is not view]
            engines: Any = self.engines
            platform: Any = self.platforms[router_id]
            parts = AdmissionParts(
                self.config, view, self.peers, engines, platform, self.timers, self.metrics
            )
            task = AdmissionTask(a_settings(instance_id=router_id), parts, self.fail)
            self.tasks[router_id] = task
            self.peers.handlers_by_port[self.ports[router_id]] = _Calls(task)
            task.start()
            self.addCleanup(task.stop)

    def endpoints(self, **values: Any) -> Any:
        """Builds a configuration; the values apply to the first engine."""
        return a_config(
            *(
                (
                    ObjectKind.ENDPOINT,
                    f"e{n}",
                    an_endpoint_value(port=9000 + n, **(values if n == 0 else {})),
                )
                for n in range(4)
            )
        )

    def granted(self, router_id: str, **values: Any) -> Grant:
        """Acquires a grant through a router."""
        decision = self.tasks[router_id].acquire(a_request(**values), ())
        assert isinstance(decision, Success), decision
        return decision.unwrap()

    def load(self, router_id: str) -> float:
        """Returns the total load of the pool as counted by a router."""
        return sum(self.tasks[router_id].loads(_POOL).values())

    def eventually(self, holds: Callable[[], bool]) -> None:
        """Waits until a condition holds; fails after `_TIMEOUT_S`."""
        deadline = time.monotonic() + _TIMEOUT_S
        while not holds():
            if time.monotonic() > deadline:
                self.fail("the condition did not come true")
            time.sleep(0.01)

    def test_all_routers_count_at_the_owner(self) -> None:
        """Guards against routers that each apply the load bound to their own requests only."""
        grants = [self.granted(router_id, chat_id="hot") for router_id in self.tasks]
        grants += [self.granted(self.third, chat_id="hot") for _ in range(9)]
        self.assertEqual({grant.owner_id for grant in grants}, {self.first})
        self.assertEqual(self.load(self.first), 12)
        self.assertLessEqual(max(self.tasks[self.first].loads(_POOL).values()), 4)
        for grant in grants[3:]:
            self.tasks[self.third].release(grant, GrantOutcome.OK)
        self.eventually(lambda: self.load(self.first) == 3)
        self.assertLess(self.peers.calls.count("release"), 9)

    def test_wrong_owner_names_the_right_one(self) -> None:
        """Guards against a request that two routers with different views redirect to each other."""
        self.views[self.third].change(self.first, state=MemberState.DEAD)
        self.assertEqual(self.granted(self.third).owner_id, self.first)
        self.views[self.second].change(self.first, state=MemberState.DEAD)
        self.assertEqual(self.granted(self.third).owner_id, self.second)

    def test_lost_owner_is_replaced_and_told(self) -> None:
        """Guards against a new owner that receives no report of the grants already held."""
        held = self.granted(self.third)
        del self.peers.handlers_by_port[self.ports[self.first]]
        self.assertEqual(self.granted(self.third).owner_id, self.second)
        for router_id in (self.second, self.third):
            self.views[router_id].change(self.first, state=MemberState.DEAD)
        self.eventually(lambda: self.load(self.second) == 2)
        self.tasks[self.third].release(held, GrantOutcome.OK)
        self.eventually(lambda: self.load(self.second) == 1)

    def test_new_owner_is_told_who_served_a_chat(self) -> None:
        """Guards against KV cache misses because a new owner has no placements of earlier chats."""
        home = self.granted(self.first, chat_id="c").endpoint_id
        grants = [self.granted(self.third, chat_id="c") for _ in range(11)]
        spilled = next(g for g in reversed(grants) if g.endpoint_id != home)
        self.tasks[self.third]._served_chats.record(_POOL, "c", spilled.endpoint_id)
        for grant in grants:
            self.tasks[self.third].release(grant, GrantOutcome.OK)
        self.tasks[self.first].stop()
        for router_id in (self.second, self.third):
            self.views[router_id].change(self.first, state=MemberState.DEAD)
        again = self.granted(self.third, chat_id="c")
        self.assertEqual((again.owner_id, again.endpoint_id), (self.second, spilled.endpoint_id))

    def test_dead_router_leaks_nothing(self) -> None:
        """Guards against load that stays counted after the death of the router that holds it."""
        for _ in range(4):
            self.granted(self.second)
        self.tasks[self.second].stop()
        self.views[self.first].change(self.second, state=MemberState.DEAD)
        self.eventually(lambda: self.load(self.first) == 0)

    def test_lost_release_leaks_nothing(self) -> None:
        """Guards against load that stays counted after a release call is lost."""
        grant = self.granted(self.third)
        self.peers.lost_calls.add("release")
        self.tasks[self.third].release(grant, GrantOutcome.OK)
        self.eventually(lambda: self.peers.calls.count("release") > 0)
        self.assertEqual(self.load(self.first), 1)
        self.eventually(lambda: self.load(self.first) == 0)

    def test_owner_that_lost_a_grant_gets_it_whole(self) -> None:
        """Guards against an owner that does not count a grant because reports carry only its id."""
        grant = self.granted(self.third)
        owner, outbox = self.tasks[self.first], self.tasks[self.third].outbox
        outbox.queue_report(self.first, _POOL, True)
        self.eventually(lambda: "confirm_grants" in self.peers.calls)
        self.assertNotIn("report_grants", self.peers.calls)
        owner.release_for_peer(_POOL, [ttypes.Release(encode_hex(grant.grant_id))])
        self.assertEqual(self.load(self.first), 0)
        outbox.queue_report(self.first, _POOL, True)
        self.eventually(lambda: self.load(self.first) == 1)

    def test_other_routers_changes_cause_no_report(self) -> None:
        """Guards against reports to an unchanged owner at each change of the membership."""
        self.granted(self.third)
        self.views[self.third].change(self.second, state=MemberState.DEAD)
        self.views[self.third].change(self.second, state=MemberState.ALIVE)
        time.sleep(0.2)
        self.assertNotIn("report_grants", self.peers.calls)

    def test_lost_answer_leaks_nothing(self) -> None:
        """Guards against load that stays counted after the reply with the grant is lost."""
        call = self.peers.call
        with patch.object(self.peers, "call", lambda *arguments: _fail_success(call(*arguments))):
            self.tasks[self.third].acquire(a_request(wait_s=0.0), ())
        self.assertEqual(self.load(self.first), 1)
        self.eventually(lambda: self.load(self.first) == 0)

    def test_address_is_sent_when_revisions_differ(self) -> None:
        """Guards against a request sent to the endpoint address of an older revision."""
        task = self.tasks[self.first]
        revision = self.config.state.revision
        for requester_revision, expected in ((revision, None), (revision - 1, "127.0.0.1")):
            request = ttypes.AcquireRequest(
                _POOL, "c", "a", 1000, self.third, 3, requester_revision, forced=True
            )
            self.assertEqual(task.acquire_for_peer(request).host, expected)

    def test_own_report_and_list_stop_new_work_everywhere(self) -> None:
        """Guards against grants of a leaving engine if the owner cannot reach the platform."""
        self.platforms[self.first].instances = None
        self.engines.report_by_port[9001] = LoadReport(0.0, leaving=True)
        line = ListedInstance("x", "127.0.0.1", 9002, "engine", True)
        self.platforms[self.second].instances = [line]
        self.eventually(lambda: self.used_by_all() <= {"e0", "e3"})

    def test_drain_reaches_an_owner_with_an_old_configuration(self) -> None:
        """Guards against grants of a draining engine by an owner with an old configuration."""
        old = FakeConfig(self.config.state)
        self.tasks[self.first]._owner._config = old
        object.__setattr__(self.tasks[self.first]._parts, "config", old)
        state = self.endpoints()
        drained = a_config(
            *[(c.kind, c.name, dict(c.value or {})) for c in state.changes_by_key.values()],
            (ObjectKind.ENDPOINT, "e0", an_endpoint_value(port=9000, state="draining")),
        )
        self.config.state = drained
        self.eventually(lambda: "e0" not in self.used_by_all())

    def test_crashing_request_is_refused_by_every_router(self) -> None:
        """Guards against a crashing request that is retried through another router."""
        for router_id in (self.third, self.second):
            grant = self.granted(router_id, fingerprint=_BAD)
            self.tasks[router_id].release(grant, GrantOutcome.CRASHED)
            self.eventually(lambda: self.was_crash_broadcast(_BAD))
            time.sleep(0.05)
        for task in self.tasks.values():
            self.eventually(lambda t=task: t._owner.refusal(_BAD) is not None)
        decision = self.tasks[self.first].acquire(a_request(fingerprint=_BAD), ())
        assert isinstance(decision, Failure)
        self.assertIs(decision.failure().reason, RefusalReason.CRASHES_ENDPOINTS)

    def used_by_all(self) -> set[str]:
        """Returns the ids of the engines granted to the routers in four requests each."""
        granted = [(task, self.granted(r)) for r, task in self.tasks.items() for _ in range(4)]
        for task, grant in granted:
            task.release(grant, GrantOutcome.OK)
        return {grant.endpoint_id for _, grant in granted}

    def was_crash_broadcast(self, fingerprint: str) -> bool:
        """Returns whether the owner has broadcast a crash of the fingerprint."""
        rumors = self.views[self.first].spread_rumors
        return any(r.kind == "crash" and r.key == fingerprint for r in rumors)

    def test_calls_pass_through_the_wire_format(self) -> None:
        """Guards against fields that are missing in the thrift schema."""
        server = create_peer_server(
            Address("127.0.0.1", 0),
            PeerHandler(None, self.tasks[self.first], None, None, None),
            self.metrics,
        )
        server.start()
        self.addCleanup(server.stop)
        client = ThriftPeerClient(self.metrics)
        self.addCleanup(client.close)
        remote = self.tasks[self.third]._remote
        remote._client = client
        for view in self.views.values():
            view.change(self.first, peer_port=server.port)
        grants = [self.granted(self.third, chat_id="hot") for _ in range(9)]
        self.assertTrue(any(grant.kv_source is not None for grant in grants))
        decision = self.tasks[self.third].acquire(a_request(), ("e0", "e1", "e2", "e3"))
        assert isinstance(decision, Failure)
        self.assertIs(decision.failure().reason, RefusalReason.NO_ENDPOINT)

    def test_costs_out_of_range_are_refused(self) -> None:
        """Guards against an infinite cost from a peer, which would stay in the queue forever."""
        for cost in (float("inf"), float("nan"), 0.0, -1.0):
            decision = self.tasks[self.third].acquire(evolve(a_request(), cost=cost), ())
            assert isinstance(decision, Failure)
            self.assertIs(decision.failure().reason, RefusalReason.BAD_REQUEST)

    def test_intervals_keep_the_leave_deadline(self) -> None:
        """Guards against intervals that leave less than 1 s of the 3 s for rumors of a leave."""
        self.assertLess(admission_task.LIST_INTERVAL_S + admission_task.POLL_INTERVAL_S, 2.0)


class GrantOutboxTest(unittest.TestCase):
    """Messages to the owners of pools."""

    def test_messages_without_a_thread_are_made_up_for(self) -> None:
        """Guards against an owner that gets no message any more after a thread could not start."""
        metrics, peers = Metrics(), FakePeers()
        outbox = GrantOutbox(
            GrantHolder("r1", 1), peers, lambda _: Address("127.0.0.1", 9), metrics
        )
        outbox.start()
        self.addCleanup(outbox.stop)
        deadline = time.monotonic() + _TIMEOUT_S
        with patch.object(outbox._executor, "submit", side_effect=RuntimeError("no thread")):
            outbox.queue_report("r2", "pool", ids_only=False)
            requested: dict[str, set[str]] = {}
            while not requested and time.monotonic() < deadline:
                requested = outbox.take_requested_reports()
        self.assertEqual(requested, {"r2": {"pool"}})
        self.assertEqual(metrics.value("thread_failures_total", thread="grant-outbox"), 0)
        with patch.object(outbox, "_send_report") as send:
            outbox.queue_report("r2", "pool", ids_only=False)
            while not send.called and time.monotonic() < deadline:
                time.sleep(0.01)
        send.assert_called_once()

    def test_flush_waits_for_releases_that_another_thread_sends(self) -> None:
        """Guards against a retry that reaches the owner before the crash of the first attempt."""
        for sender in ("outbox", "another flush"):
            with self.subTest(sender=sender):
                received: list[str] = []
                is_sending, may_arrive = threading.Event(), threading.Event()

                def release(
                    pool: str,
                    batch: list[Any],
                    received: list[str] = received,
                    is_sending: threading.Event = is_sending,
                    may_arrive: threading.Event = may_arrive,
                ) -> None:
                    is_sending.set()
                    may_arrive.wait(_TIMEOUT_S)
                    received.append(pool)

                peers = FakePeers()
                peers.handlers_by_port[9] = SimpleNamespace(release=release)
                outbox = GrantOutbox(
                    GrantHolder("r1", 1), peers, lambda _: Address("127.0.0.1", 9), Metrics()
                )
                self.addCleanup(outbox.stop)
                grant = Grant("1", "pool", "e1", Address("127.0.0.1", 8), "r2")
                outbox.release(grant, GrantOutcome.CRASHED)
                if sender == "outbox":
                    outbox.start()
                else:
                    threading.Thread(target=outbox.flush_releases, args=("r2",)).start()
                self.assertTrue(is_sending.wait(_TIMEOUT_S))
                threading.Timer(0.2, may_arrive.set).start()
                outbox.flush_releases("r2")
                self.assertEqual(received, ["pool"])


def _fail_success(result: Any) -> Any:
    """Replaces a success by a failure, as if the reply of an executed call were lost."""
    return Failure(PeerFailure.BROKEN) if isinstance(result, Success) else result


class _Calls:
    """The admission calls of `PeerHandler`."""

    def __init__(self, task: AdmissionTask) -> None:
        self.acquire = task.acquire_for_peer
        self.release = task.release_for_peer
        self.report_grants = task.report_grants
        self.confirm_grants = task.confirm_grants
