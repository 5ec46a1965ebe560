"""Tests of the membership protocol on virtual time."""

from __future__ import annotations

import random
import unittest
from typing import Any

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.membership import MAX_DATAGRAM_BYTES, Membership
from sequoiadrum.messages import Address, MemberState
from tests.virtual_bus import Bus, a_member

FLEET = 14


def _converged_bus(seed: int = 1, **values: Any) -> Bus:
    bus = Bus(seed=seed, **values)
    bus.start(FLEET, seed_count=1)
    assert bus.run(30, bus.has_converged)
    bus.run(5)
    return bus


def _is_dead(bus: Bus, observer: str, subject: str) -> bool:
    return bus.nodes[observer].members_by_id[subject].state is MemberState.DEAD


class ConvergenceTest(unittest.TestCase):
    """The views of all members converge again after each kind of fault."""

    def test_fleet_start(self) -> None:
        """Guards against a fleet that stays split after a simultaneous start with one seed."""
        for seed in range(3):
            self.assertTrue(_converged_bus(seed).has_converged())

    def test_fleet_start_from_several_seeds(self) -> None:
        """Guards against groups that form around different seeds and never merge."""
        for seed in range(10):
            bus = Bus(seed=seed, loss=0.01)
            bus.start(FLEET, seed_count=3)
            self.assertTrue(bus.run(30, bus.has_converged))

    def test_kill(self) -> None:
        """Guards against a dead member that still counts as alive."""
        bus = _converged_bus()
        bus.kill("router-5")
        self.assertTrue(bus.run(10, bus.has_converged))

    def test_hint_speeds_up_detection(self) -> None:
        """Guards against hints that do not speed up detection, or that mark a healthy member dead.

        A killed member must be detected at least 0.5 s earlier with a hint, and 30 false hints must
        not lead to a death.
        """
        times = {}
        for is_hinted in (False, True):
            bus = _converged_bus()
            killed = bus.now
            bus.kill("router-5")
            if is_hinted:
                bus.nodes["router-3"].check("router-5", bus.now)
            self.assertTrue(bus.run(20, lambda bus=bus: _is_dead(bus, "router-3", "router-5")))
            times[is_hinted] = bus.now - killed
        self.assertLess(times[True], times[False] - 0.5)
        for _ in range(30):
            bus.nodes["router-3"].check("router-4", bus.now)
            bus.run(0.1)
        bus.run(10)
        self.assertEqual([seen for seen in bus.observed_deaths if seen[2] == "router-4"], [])

    def test_freeze_and_resume(self) -> None:
        """Guards against a resumed member that stays dead or declares other members dead."""
        bus = _converged_bus()
        bus.frozen = {"router-3"}
        others = set(bus.nodes) - bus.frozen
        self.assertTrue(bus.run(10, lambda: bus.has_converged(alive=others)))
        bus.frozen = set()
        bus.observed_deaths.clear()
        self.assertTrue(bus.run(20, bus.has_converged))
        self.assertEqual([seen for seen in bus.observed_deaths if seen[1] == "router-3"], [])

    def test_one_way_cut(self) -> None:
        """Guards against a member that receives nothing and causes false deaths.

        It cannot receive acknowledgements, so it must not report healthy members as dead.
        """
        bus = _converged_bus()
        bus.is_disconnected = lambda _, target: target == "router-3"
        bus.run(30)
        healthy = {s for _, observer, s in bus.observed_deaths if observer != "router-3"} - {
            "router-3"
        }
        self.assertEqual(healthy, set())
        bus.is_disconnected = lambda _source, _target: False
        self.assertTrue(bus.run(30, bus.has_converged))

    def test_one_way_cut_between_domains(self) -> None:
        """Guards against false deaths in a one-way partition between two failure domains.

        A third failure domain still reaches both, so indirect probes must succeed.
        """
        bus = _converged_bus()
        bus.is_disconnected = lambda s, t: int(s[7:]) % 3 == 0 and int(t[7:] or 1) % 3 == 1
        bus.run(30)
        self.assertEqual(bus.observed_deaths, [])

    def test_split_and_heal(self) -> None:
        """Guards against the sides of a healed partition that never reconnect."""
        bus = _converged_bus()
        bus.is_disconnected = lambda s, t: (int(s[7:]) % 3 == 0) != (int(t[7:] or 0) % 3 == 0)
        left = {name for name in bus.nodes if int(name[7:]) % 3 == 0}
        self.assertTrue(
            bus.run(
                30,
                lambda: bus.has_converged(alive=left)
                and bus.has_converged(alive=set(bus.nodes) - left),
            )
        )
        bus.run(60)
        bus.is_disconnected = lambda _source, _target: False
        self.assertTrue(bus.run(60, bus.has_converged))

    def test_restart(self) -> None:
        """Guards against confusion between a restarted process and its predecessor.

        The new process must be recorded, and later datagrams of the old one ignored.
        """
        bus = _converged_bus()
        bus.kill("router-5")
        bus.run(1)
        seed = (bus.nodes["router-0"].me.peer_address,)
        bus.join(a_member(5, process_id=2), seed)
        replaced = lambda: bus.has_converged() and all(  # noqa: E731
            n.members_by_id["router-5"].process_id == 2 for n in bus.nodes.values()
        )
        self.assertTrue(bus.run(20, replaced))
        for node in bus.nodes.values():
            old = Membership(a_member(5), (), random.Random(1), bus.now)
            old.members_by_id[node.me.id] = node.me
            old.leave(bus.now)
            for _, data in old.take_outbox():
                node.receive(data, Address("10.0.0.6", 7400), bus.now)
            self.assertIs(node.members_by_id["router-5"].state, MemberState.ALIVE)

    def test_restart_after_the_time_of_day_went_back(self) -> None:
        """Guards against a restarted member that its peers ignore as a former process.

        This happens if the time of day was set back, so that its process id is lower than that of
        its predecessor.
        """
        for raises_process_id in (False, True):
            bus = _converged_bus(raises_process_id=raises_process_id)
            bus.kill("router-5")
            bus.run(1)
            bus.join(a_member(5, process_id=0), (bus.nodes["router-0"].me.peer_address,))
            # Long enough that the predecessor is declared dead.
            bus.run(20)
            self.assertEqual(bus.has_converged(), raises_process_id)

    def test_whole_fleet_restart(self) -> None:
        """Guards against records of former processes that prevent new ones from joining."""
        bus = _converged_bus()
        for number in range(FLEET):
            bus.kill(f"router-{number}")
        seeds = (a_member(0).peer_address,)
        for number in range(FLEET):
            bus.join(a_member(number, process_id=9), seeds)
        self.assertTrue(bus.run(30, bus.has_converged))

    def test_planned_stop(self) -> None:
        """Guards against a leaving router that other routers still consider alive."""
        bus = _converged_bus()
        bus.nodes["router-2"].leave(bus.now)
        bus.flush("router-2")

        def states() -> set[MemberState]:
            return {n.members_by_id["router-2"].state for n in bus.nodes.values()}

        self.assertTrue(bus.run(3, lambda: states() == {MemberState.LEAVING}))
        bus.nodes["router-2"].depart(bus.now)
        bus.flush("router-2")
        bus.kill("router-2")
        self.assertTrue(bus.run(3, lambda: states() == {MemberState.DEAD}))


class DisseminationTest(unittest.TestCase):
    """Revisions and rumors reach all members, within bounded datagrams."""

    def test_revision_and_rumor_reach_all(self) -> None:
        """Guards against an update that does not reach all members at 5 % datagram loss."""
        bus = _converged_bus(loss=0.05)
        bus.nodes["router-1"].set_revision(7, bus.now)
        bus.nodes["router-2"].broadcast("leaving", "e1", 3, b"x", 60.0, bus.now)
        bus.flush("router-1")
        bus.flush("router-2")
        reached = lambda: all(  # noqa: E731
            n.me.config_revision == 7 and not n.broadcast("leaving", "e1", 3, b"", 1.0, bus.now)
            for n in bus.nodes.values()
        )
        self.assertTrue(bus.run(4, reached))

    def test_restarted_member_counts_with_its_own_revision(self) -> None:
        """Guards against waiting for a version that a member had before it restarted."""
        node = Membership(a_member(0), (), random.Random(1), 0.0)
        former = evolve(a_member(1, process_id=1), config_revision=7)
        node.merge([former], 1.0)
        self.assertEqual(node.members_by_id["router-1"].config_revision, 7)
        node.merge([evolve(a_member(1, process_id=2), config_revision=5)], 2.0)
        node.merge([former], 3.0)
        self.assertEqual(node.members_by_id["router-1"].config_revision, 5)

    def test_late_joiner_receives_rumor(self) -> None:
        """Guards against a crash rumor that a router that starts later never receives."""
        bus = _converged_bus()
        bus.nodes["router-2"].broadcast("crash", "f1", 1, b"2", 600.0, bus.now)
        bus.run(30)
        late = bus.join(a_member(20), (a_member(0).peer_address,))
        known = lambda: ("crash", "f1") in late._rumors._rumors_by_key  # noqa: E731
        self.assertTrue(bus.run(20, known))

    def test_datagrams_stay_small(self) -> None:
        """Guards against datagrams that need fragmentation while a large fleet starts."""
        bus = Bus()
        bus.start(60)
        bus.run(10)
        self.assertLessEqual(bus.largest_datagram, MAX_DATAGRAM_BYTES)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_garbage(self, data: bytes) -> None:
        """Guards against arbitrary bytes that raise an exception or create members."""
        node = Membership(a_member(1), (), random.Random(1), 0.0)
        self.assertFalse(node.receive(data, Address("10.0.0.9", 1), 0.0))
        self.assertEqual(list(node.members_by_id), ["router-1"])

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.permutations(list(range(6))))
    def test_order_of_updates(self, order: list[int]) -> None:
        """Guards against an older update of a member that overrides a newer one."""
        sender = Membership(a_member(2), (), random.Random(1), 0.0)
        sender.members_by_id["router-1"] = a_member(1)
        datagrams = []
        for step in range(6):
            sender.take_outbox()
            sender.leave(float(step)) if step == 5 else sender._announce(MemberState.ALIVE, step)
            datagrams.append(sender.take_outbox()[0][1])
        node = Membership(a_member(1), (), random.Random(1), 0.0)
        for step in order:
            node.receive(datagrams[step], a_member(2).peer_address, 9.0)
        self.assertEqual(node.members_by_id["router-2"].incarnation, 6)
        self.assertIs(node.members_by_id["router-2"].state, MemberState.LEAVING)


if __name__ == "__main__":
    unittest.main()
