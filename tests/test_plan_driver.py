"""Tests of plans with a crash, pause, outage, lost response or abort at every external call."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from attrs import evolve
from returns.result import Success

from sequoiadrum.admission import PoolAdmission
from sequoiadrum.configuration import ChangeRequest, ObjectKind
from sequoiadrum.engine_client import EngineFailure, EngineOrder
from sequoiadrum.messages import Address
from sequoiadrum.placement import BoundPolicy
from sequoiadrum.plan_keeper import AdvanceResult
from sequoiadrum.plan_store import AbortRefused, PlanStore, with_write_id
from sequoiadrum.plans import PlanKind, PlanState, StepName, StepState, new_plan
from sequoiadrum.pool_messages import Placed, PoolRequest
from tests.builders import a_config, an_endpoint_value
from tests.plan_world import FakeEngine, Killed, World, a_member

if TYPE_CHECKING:
    from collections.abc import Iterator

ENDPOINT = ObjectKind.ENDPOINT
KINDS = (PlanKind.DRAIN, PlanKind.MOVE)


def a_world(kind: PlanKind, checks_fencing: bool = True) -> World:
    """Builds a pool of three engines and the plan `p`, which drains e1 or moves it to e2."""
    values = {"checks_fencing": checks_fencing}
    world = World(
        a_config(
            (ENDPOINT, "e1", an_endpoint_value(port=1, **values)),
            (ENDPOINT, "e2", an_endpoint_value(port=2, state="draining", **values)),
            (ENDPOINT, "e3", an_endpoint_value(port=3, **values)),
        )
    )
    world.engines.by_port = {
        1: FakeEngine("m1", "m2", checks_fencing=checks_fencing),
        2: FakeEngine(checks_fencing=checks_fencing),
        3: FakeEngine("m1", "m2", checks_fencing=checks_fencing),
    }
    target = "e2" if kind is PlanKind.MOVE else ""
    world.store.write(with_write_id(new_plan("p", kind, "e1", target)), 0)
    return world


class MoveKvTest(unittest.TestCase):
    """Tests to which engines the KV caches of chats are moved."""

    def test_chats_go_where_the_pool_places_them(self) -> None:
        """Guards against moving a KV cache to an engine on which the pool does not place the chat.

        The chat could not reuse the moved cache there.
        """
        world = a_world(PlanKind.MOVE)
        world.inspector.chats = [f"c{n}" for n in range(40)]
        world.run("r1", "p")
        name_by_port = {2: "e2", 3: "e3"}
        imported = {chat: name_by_port[port] for port, chat, _ in world.engines.imports}
        self.assertEqual(set(imported), set(world.inspector.chats))
        self.assertEqual(world.inspector.moved, imported)
        pool = PoolAdmission(BoundPolicy(engine_slots=1e9))
        pool.set_engines({"e1": True, "e2": False, "e3": False}, 0.0)
        for chat, engine_id in imported.items():
            request = PoolRequest(chat, chat, chat, "a", "r1", 1, 1e9)
            placed = pool.acquire(request, 100.0)
            pool.release(chat)
            assert isinstance(placed, Placed)
            self.assertEqual(placed.engine_id, engine_id)


def each_call(checks_fencing: bool = True) -> Iterator[tuple[PlanKind, int]]:
    """Yields the number of each external call in an undisturbed run, for each kind of plan."""
    for kind in KINDS:
        world = a_world(kind, checks_fencing)
        world.run("r1", "p")
        for number in range(1, world.calls + 1):
            yield kind, number


def run_before_call(world: World, number: int, action: Any) -> None:
    """Runs `action` before the external call of router r1 that has the given number."""

    def on_call(count: int, what: str) -> None:
        if count == number:
            action()

    world.on_call = on_call


def kill_driver() -> None:
    """Stops the driver in the middle of a call."""
    raise Killed


def reactivate_source(world: World) -> None:
    """Makes e1 active again, as an operator, and loads its models, as a later plan."""
    value = {**world.config.value(ENDPOINT, "e1"), "state": "active"}
    request = ChangeRequest("operator-puts-back", ENDPOINT, "e1", value, None)
    world.config.state = world.config.state.apply([world.config.state.decide(request).unwrap()])
    for model in ("m1", "m2"):
        order = EngineOrder(f"later-{model}", "load", model, world.platform.version)
        world.engines.order(Address("127.0.0.1", 1), order)


class PlanDriverTest(unittest.TestCase):
    """Tests each disturbance at every external call of a run."""

    def assert_done(self, world: World) -> None:
        plan = world.plan("p")
        self.assertIs(plan.state, PlanState.DONE, plan)
        self.assertEqual(world.config.value(ENDPOINT, "e1")["state"], "removed")
        if plan.kind is PlanKind.MOVE:
            self.assertEqual(world.config.value(ENDPOINT, "e2")["state"], "active")
            self.assertEqual(sorted(world.engines.by_port[2].models), ["m1", "m2"])

    def assert_restored(self, world: World) -> None:
        self.assertEqual(world.config.value(ENDPOINT, "e1")["state"], "active")
        self.assertEqual(world.config.value(ENDPOINT, "e2")["state"], "draining")
        self.assertEqual(world.engines.by_port[1].models, ["m1", "m2"])

    def test_undisturbed(self) -> None:
        """Guards against a plan that omits a step or executes steps in the wrong order."""
        for kind in KINDS:
            world = a_world(kind)
            world.inspector.in_flight_left = [None, 2.0, 1.0]
            self.assertIs(world.run("r1", "p"), AdvanceResult.FINISHED)
            self.assert_done(world)
            self.assertEqual({chat for _, chat, _ in world.engines.imports}, {"c1", "c2"})
            self.assertEqual(world.plan("p").lease.holder_id, "")
        self.assertEqual(world.engines.by_port[1].models, [])

    def test_killed_at_every_call(self) -> None:
        """Guards against a plan that no other driver can finish after its driver was killed."""
        for kind, number in each_call():
            with self.subTest(kind=kind, call=number):
                world = a_world(kind)
                run_before_call(world, number, kill_driver)
                with self.assertRaises(Killed):
                    world.run("r1", "p")
                self.assertIs(world.run("r2", "p"), AdvanceResult.FINISHED)
                self.assert_done(world)

    def run_with_pause(self, world: World, number: int) -> None:
        """Runs r1, paused before a call until r2 has finished the plan and e1 is active again."""

        def finish_elsewhere() -> None:
            world.now += 60
            world.run("r2", "p")
            reactivate_source(world)

        run_before_call(world, number, finish_elsewhere)
        self.assertIn(world.run("r1", "p"), (AdvanceResult.LOST, AdvanceResult.FINISHED))

    def violations(self, world: World) -> list[str]:
        """Returns the harm that a driver has done to e1 after its lease expired."""
        found = []
        if world.config.value(ENDPOINT, "e1")["state"] != "active":
            found.append("e1 was taken out of service")
        if world.engines.by_port[1].models[:2] not in (["m1", "m2"], ["m2", "m1"]):
            found.append("e1 lost models")
        return found

    def test_paused_at_every_call(self) -> None:
        """Guards against a driver that acts on an outdated plan after its lease has expired."""
        for checks_fencing in (True, False):
            for kind, number in each_call(checks_fencing):
                with self.subTest(kind=kind, call=number, fencing=checks_fencing):
                    world = a_world(kind, checks_fencing)
                    self.run_with_pause(world, number)
                    self.assertEqual(self.violations(world), [])
                    self.assertIs(world.plan("p").state, PlanState.DONE)

    def test_pause_harness_detects_missing_safeguards(self) -> None:
        """Guards against a pause test that passes without conditional writes or fencing checks."""
        unconditional = unfenced = 0
        for kind, number in each_call():
            world = a_world(kind)
            world.store = _UnconditionalStore(world.platform)
            self.run_with_pause(world, number)
            unconditional += bool(self.violations(world))
            world = a_world(kind)
            # The engine is declared to check fencing numbers but does not check them.
            world.engines.by_port[1].checks_fencing = False
            self.run_with_pause(world, number)
            unfenced += "e1 lost models" in self.violations(world)
        self.assertGreater(unconditional, 0)
        self.assertGreater(unfenced, 0)

    def test_engine_that_ignores_fencing_gets_harmless_orders_only(self) -> None:
        """Guards against an unload order to an engine that cannot reject it when it is late."""
        world = a_world(PlanKind.MOVE, checks_fencing=False)
        world.run("r1", "p")
        self.assert_done(world)
        self.assertEqual({a for e in world.engines.by_port.values() for a in e.actions}, {"load"})
        self.assertIs(world.plan("p").step(StepName.UNLOAD_SOURCE).state, StepState.SKIPPED)

    def test_abort_at_every_call(self) -> None:
        """Guards against an abort that does not restore the state of an endpoint."""
        refused = 0
        for kind, number in each_call():
            with self.subTest(kind=kind, call=number):
                world = a_world(kind)
                results: list[Any] = []
                run_before_call(
                    world, number, lambda w=world, r=results: r.append(w.store.abort("p", "stop"))
                )
                if world.run("r1", "p") is AdvanceResult.LOST:
                    world.run("r2", "p")
                if isinstance(results[0], Success):
                    self.assertIs(world.plan("p").state, PlanState.ABORTED)
                    self.assertEqual(world.plan("p").detail, "stop")
                    self.assert_restored(world)
                else:
                    self.assertIsInstance(results[0].failure(), AbortRefused)
                    refused += 1
                    self.assert_done(world)
        self.assertGreater(refused, 0)

    def test_paused_across_an_abort(self) -> None:
        """Guards against a change that a paused driver sends after an abort restored the state."""
        for kind, number in each_call():
            with self.subTest(kind=kind, call=number):
                world = a_world(kind)
                results: list[Any] = []

                def abort_elsewhere(world: World = world, results: list[Any] = results) -> None:
                    results.append(world.store.abort("p", "stop"))
                    world.now += 60
                    world.run("r2", "p")

                world.active = "r2"  # Calls by the operator and r2 are not counted.
                run_before_call(world, number, abort_elsewhere)
                world.run("r1", "p")
                if isinstance(results[0], Success):
                    self.assert_restored(world)

    def test_outage_at_every_call(self) -> None:
        """Guards against a plan that fails or acts without its lease during a platform outage."""
        for kind, number in each_call():
            with self.subTest(kind=kind, call=number):
                world = a_world(kind)
                until = [float("inf")]

                def start(world: World = world, until: list[float] = until) -> None:
                    world.platform.outage = world.config.outage = True
                    until[0] = world.now + 30

                def on_call(
                    count: int,
                    what: str,
                    world: World = world,
                    number: int = number,
                    until: list[float] = until,
                    start: Any = start,
                ) -> None:
                    if count == number:
                        start()
                    elif world.now >= until[0]:
                        world.platform.outage = world.config.outage = False

                world.on_call = on_call
                self.assertIs(world.run("r1", "p"), AdvanceResult.FINISHED)
                self.assert_done(world)

    def test_lost_answer_of_every_write(self) -> None:
        """Guards against skipping or repeating a step after a lost response to its write."""
        for kind in KINDS:
            for number in range(2, 30):
                for applied in (True, False):
                    with self.subTest(kind=kind, write=number, applied=applied):
                        world = a_world(kind)
                        world.platform.lost_puts = {number: applied}
                        self.assertIs(world.run("r1", "p"), AdvanceResult.FINISHED)
                        self.assert_done(world)

    def test_lost_answer_of_every_change(self) -> None:
        """Guards against a configuration change that is made twice after a lost response."""
        for kind, number in each_call():
            for applied in (True, False):
                world = a_world(kind)
                run_before_call(
                    world,
                    number,
                    lambda w=world, a=applied: setattr(w.config, "lose_next", a),
                )
                self.assertIs(world.run("r1", "p"), AdvanceResult.FINISHED)
                self.assert_done(world)

    def test_router_behind_delays_idle(self) -> None:
        """Guards against a removal while a router can still grant requests to the endpoint.

        Router r2 has not yet applied the revision that drains the endpoint.
        """
        world = a_world(PlanKind.DRAIN)
        outdated = evolve(a_member("r2"), config_revision=0)
        world.members_by_id["r2"] = outdated
        early_calls: list[str] = []

        def on_call(count: int, what: str) -> None:
            if world.now > 20:
                world.members_by_id["r2"] = a_member("r2")
            elif world.config.value(ENDPOINT, "e1").get("state") == "removed":
                early_calls.append(what)

        world.on_call = on_call
        world.run("r1", "p")
        self.assertEqual(early_calls, [])
        self.assert_done(world)

    def test_loads_are_paced(self) -> None:
        """Guards against load orders at a higher rate than the weight store can serve."""
        world = a_world(PlanKind.MOVE)
        ordered: list[float] = []
        world.on_call = lambda count, what: (
            ordered.append(world.now) if what == "order load" else None
        )
        world.run("r1", "p")
        self.assertEqual(len(ordered), 2)
        self.assertGreaterEqual(ordered[1] - ordered[0], 2.0)

    def test_operator_takes_the_endpoint_back(self) -> None:
        """Guards against a drain that removes an endpoint that an operator made active again."""
        failed = 0
        for kind, number in each_call():
            with self.subTest(kind=kind, call=number):
                world = a_world(kind)
                reactivated: list[bool] = []

                def reactivate(world: World = world, reactivated: list[bool] = reactivated) -> None:
                    if world.config.value(ENDPOINT, "e1").get("state") == "draining":
                        reactivate_source(world)
                        reactivated.append(True)

                run_before_call(world, number, reactivate)
                world.run("r1", "p")
                # If the step is not recorded yet, the plan makes its own change again.
                if reactivated and world.plan("p").state is PlanState.FAILED:
                    self.assertIn("operator-puts-back", world.plan("p").detail)
                    self.assert_restored(world)
                    failed += 1
                else:
                    self.assert_done(world)
        self.assertGreater(failed, 0)

    def test_younger_plan_on_the_same_engine(self) -> None:
        """Guards against a plan that stops because a newer plan sent an order to its engine."""
        world = a_world(PlanKind.MOVE)

        def on_call(count: int, what: str) -> None:
            if what == "order load" and not world.engines.by_port[2].actions:
                world.engines.by_port[2].highest_fence = 102

        world.on_call = on_call
        self.assertIs(world.run("r1", "p"), AdvanceResult.FINISHED)
        self.assert_done(world)
        labels = {"action": "load", "outcome": "stale_fence"}
        self.assertGreater(world.metrics.value("engine_orders_total", **labels), 0)
        order = EngineOrder("late", "unload", "m1", 1)
        late = world.engines.order(Address("127.0.0.1", 2), order)
        self.assertIs(late.failure(), EngineFailure.STALE_FENCE)

    def test_engine_that_refuses_every_number(self) -> None:
        """Guards against an endless loop of lease writes if an engine refuses every number."""
        world = a_world(PlanKind.MOVE)
        world.engines.by_port[1].highest_fence = 2**60
        world.run("r1", "p")
        self.assert_done(world)
        self.assertIs(world.plan("p").step(StepName.UNLOAD_SOURCE).state, StepState.SKIPPED)
        self.assertLess(world.platform.puts, 40)

    def test_undeclared_target_fails_and_restores(self) -> None:
        """Guards against a failed plan that leaves its source out of service."""
        world = a_world(PlanKind.MOVE)
        request = ChangeRequest("delete-e2", ENDPOINT, "e2", None, None)
        change = world.config.state.decide(request).unwrap()
        world.config.state = world.config.state.apply([change])
        world.run("r1", "p")
        self.assertIs(world.plan("p").state, PlanState.FAILED)
        self.assertIn("e2 is not declared", world.plan("p").detail)
        self.assertEqual(world.config.value(ENDPOINT, "e1")["state"], "active")


class _UnconditionalStore(PlanStore):
    """Overwrites any version, as a store without conditional writes does."""

    def write(self, plan: Any, expected_version: int) -> Any:
        found = self._platform.get(plan.name)
        return super().write(plan, found.unwrap().version)
