"""Tests which router drives a plan, how it discovers the plan, and the number of platform calls."""

from __future__ import annotations

import unittest
from concurrent.futures import Executor
from typing import Any

from attrs import evolve

from sequoiadrum.configuration import ObjectKind
from sequoiadrum.hashing import rank
from sequoiadrum.messages import MembersChanged, MemberState, RumorReceived
from sequoiadrum.plan_store import with_write_id
from sequoiadrum.plan_task import MAX_FINISHED_PLANS, CheckDrift, PlanTask, Scan, Tick
from sequoiadrum.plans import PlanKind, PlanState, new_plan
from tests.builders import a_config, a_settings, an_endpoint_value
from tests.plan_world import LEASE_S, FakeEngine, Killed, World, a_member

ENDPOINT = ObjectKind.ENDPOINT
ROUTERS = ("r1", "r2", "r3", "r4")


class InlineExecutor(Executor):
    """Runs each job immediately, on the thread that submits it."""

    stopped = False

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Any:
        if self.stopped:
            raise RuntimeError("shut down")
        fn(*args, **kwargs)

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        self.stopped = True


class Fleet:
    """Plan tasks of several routers, which handle messages one at a time in virtual time."""

    def __init__(self, world: World) -> None:
        self.world = world
        world.members_by_id = {name: a_member(name) for name in ROUTERS}
        self.tasks_by_id: dict[str, PlanTask] = {}
        self.killed: set[str] = set()
        settings = a_settings(plan_lease_s=LEASE_S, load_interval_s=2.0)
        for name in ROUTERS:
            parts = world.parts(name)
            parts.membership.broadcast = self._broadcast  # type: ignore[method-assign]
            task = PlanTask(
                parts, settings, 7, self._invariant_broken, lambda: world.now, InlineExecutor()
            )
            task.post(MembersChanged(world.members_by_id))
            self.tasks_by_id[name] = task
        self.pump()

    def pump(self) -> None:
        """Handles all queued messages of the running routers."""
        busy = True
        while busy:
            busy = False
            for name, task in self.tasks_by_id.items():
                while name not in self.killed and not task._mailbox.empty():
                    busy = True
                    self.world.active = name
                    try:
                        task._handle(task._mailbox.get_nowait())
                    except Killed:
                        self.killed.add(name)
                    self.world.active = ""

    def send(self, message: object) -> None:
        """Posts a message to every running router and handles all resulting messages."""
        for name, task in self.tasks_by_id.items():
            if name not in self.killed:
                task.post(message)
        self.pump()

    def run(self, seconds: int) -> None:
        """Advances time, with one tick per second."""
        for _ in range(seconds):
            self.world.now += 1
            self.send(Tick())

    def create(self, plan_id: str, router_id: str) -> None:
        """Creates a drain of e1, as the operator interface of a router does."""
        stored = self.world.store.write(
            with_write_id(new_plan(plan_id, PlanKind.DRAIN, "e1")), 0
        ).unwrap()
        self.tasks_by_id[router_id].plan_changed(plan_id, stored.version)
        self.pump()

    def mark_dead(self, name: str) -> None:
        """Reports to the other routers that a router has failed."""
        dead = evolve(self.world.members_by_id[name], state=MemberState.DEAD)
        self.world.members_by_id = {**self.world.members_by_id, name: dead}
        self.send(MembersChanged(self.world.members_by_id))

    def _broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        for task in self.tasks_by_id.values():
            task.post(RumorReceived(kind, key, version, payload))

    def _invariant_broken(self) -> None:
        raise AssertionError("an invariant is broken")


def a_plan_id(driver: str) -> str:
    """Returns a plan id for which the given router is ranked first."""
    return next(f"p{n}" for n in range(1_000) if rank(f"p{n}", ROUTERS)[0] == driver)


class PlanTaskTest(unittest.TestCase):
    """Tests plan tasks with four routers and one engine pool."""

    def setUp(self) -> None:
        self.world = World(
            a_config(
                (ENDPOINT, "e1", an_endpoint_value(port=1)),
                (ENDPOINT, "e2", an_endpoint_value(port=2, models=["m1"])),
            )
        )
        self.world.engines.by_port = {1: FakeEngine("m1"), 2: FakeEngine("m1")}
        self.fleet = Fleet(self.world)

    def test_first_ranked_router_drives_at_once(self) -> None:
        """Guards against a plan that is not driven until the next listing, or is driven twice."""
        plan_id = a_plan_id("r3")
        self.fleet.create(plan_id, router_id="r2")
        self.assertIs(self.world.plan(plan_id).state, PlanState.DONE)
        self.assertEqual(self.world.metrics.value("plans_finished_total", state="done"), 1)
        self.assertEqual(self.world.metrics.value("plan_write_failures_total"), 0)

    def test_listing_finds_a_plan_whose_notice_was_lost(self) -> None:
        """Guards against a plan that is never driven because its creator failed."""
        plan_id = a_plan_id("r3")
        self.world.store.write(with_write_id(new_plan(plan_id, PlanKind.DRAIN, "e1")), 0)
        self.fleet.send(Scan())
        self.assertIs(self.world.plan(plan_id).state, PlanState.DONE)

    def test_another_router_resumes_after_the_lease(self) -> None:
        """Guards against a plan that stays with a failed driver, or a takeover before expiry."""
        plan_id = a_plan_id("r1")
        self.world.on_call = self._kill_at_submit
        self.fleet.create(plan_id, router_id="r2")
        self.assertEqual(self.fleet.killed, {"r1"})
        self.fleet.mark_dead("r1")
        self.fleet.run(int(LEASE_S) - 1)
        self.assertIs(self.world.plan(plan_id).state, PlanState.RUNNING)
        self.fleet.run(int(LEASE_S))
        self.assertIs(self.world.plan(plan_id).state, PlanState.DONE)

    def test_stop_hands_the_lease_over(self) -> None:
        """Guards against a graceful shutdown that leaves a plan idle until its lease expires."""
        plan_id = a_plan_id("r1")
        self.world.inspector.in_flight_left = [1.0] * 50
        self.fleet.create(plan_id, router_id="r1")
        self.assertEqual(self.world.plan(plan_id).lease.holder_id, "r1")
        task = self.fleet.tasks_by_id["r1"]
        super(PlanTask, task).start()
        task.stop()
        self.fleet.killed.add("r1")
        self.assertEqual(self.world.plan(plan_id).lease.holder_id, "")
        self.world.inspector.in_flight_left = []
        self.fleet.mark_dead("r1")
        self.fleet.run(1)
        self.assertIs(self.world.plan(plan_id).state, PlanState.DONE)

    def test_abort_reaches_the_driver_at_once(self) -> None:
        """Guards against a driver that continues an aborted plan until it renews its lease."""
        plan_id = a_plan_id("r1")
        self.world.inspector.in_flight_left = [1.0] * 50
        self.fleet.create(plan_id, router_id="r2")
        aborted = self.world.store.abort(plan_id, "stop").unwrap()
        self.fleet.tasks_by_id["r2"].plan_changed(plan_id, aborted.version)
        self.fleet.run(1)
        self.assertIs(self.world.plan(plan_id).state, PlanState.ABORTED)
        self.assertEqual(self.world.config.value(ENDPOINT, "e1")["state"], "active")

    def test_no_plans_cost_two_listings(self) -> None:
        """Guards against platform calls by every router when there are no plans."""
        calls: list[str] = []
        self.world.platform._called = calls.append
        self.fleet.send(Scan())
        self.fleet.run(10)
        self.assertEqual(calls, ["list plans/"] * 2)

    def test_malformed_rumor_is_counted(self) -> None:
        """Guards against a handler that fails on a rumor without a valid version."""
        self.fleet.send(RumorReceived("plan", "p1", 1, b"soon"))
        self.assertEqual(
            self.world.metrics.value("malformed_rumors_total", kind="plan"), len(ROUTERS)
        )

    def test_finished_plans_cost_no_more_reads(self) -> None:
        """Guards against reading finished plans again at every listing."""
        self.fleet.create(a_plan_id("r3"), router_id="r2")
        self.fleet.send(Scan())
        calls: list[str] = []
        self.world.platform._called = calls.append
        self.fleet.send(Scan())
        self.assertEqual(calls, ["list plans/"] * 2)

    def test_old_plans_are_deleted(self) -> None:
        """Guards against an unbounded number of stored finished plans."""
        final = evolve(new_plan("x", PlanKind.DRAIN, "e1"), state=PlanState.DONE)
        for number in range(MAX_FINISHED_PLANS + 10):
            self.world.store.write(with_write_id(evolve(final, id=f"old-{number}")), 0)
        for _ in range(MAX_FINISHED_PLANS // 10):
            self.fleet.send(Scan())
        self.assertEqual(len(self.world.platform.objects), MAX_FINISHED_PLANS)
        self.assertNotIn("plans/old-0", self.world.platform.objects)

    def test_missing_model_is_repaired_once(self) -> None:
        """Guards against an engine that never gets a missing model, and against a repair loop."""
        self.world.engines.by_port[2].models.clear()
        self.fleet.send(CheckDrift())
        self.fleet.run(5)
        self.assertEqual(self.world.engines.by_port[2].models, ["m1"])
        self.world.engines.by_port[2].models.clear()
        self.fleet.send(CheckDrift())
        repairs = [name for name in self.world.platform.objects if "repair-e2" in name]
        self.assertEqual(len(repairs), 1)

    def _kill_at_submit(self, count: int, what: str) -> None:
        if what.startswith("submit"):
            raise Killed
