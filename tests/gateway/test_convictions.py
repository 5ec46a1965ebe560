"""Tests of the convicted prompt parts that outlast the routers."""

from __future__ import annotations

import time
import unittest
from typing import Any

from sequoiadrum.gateway.convictions import CONVICTION_KIND, decode_crashes, encode_crashes
from sequoiadrum.gateway.crash_rumors import part_key, process_key
from sequoiadrum.gateway.crashing_parts import CRASH_LIMIT, RECORD_TTL_S, PastCrash
from tests.gateway.builders import an_entry
from tests.gateway.world import World, eventually

SYSTEM, DEADLY = "5e", "dead"
KEY = part_key(DEADLY)
PATH = f"/objects/{CONVICTION_KIND}"


def _evidence(at: float, crashes: int = CRASH_LIMIT) -> dict[str, object]:
    return encode_crashes(
        PastCrash(process_key(f"e{number}", 1), at + number, at + number - 0.5)
        for number in range(crashes)
    )


class ConvictionTest(unittest.TestCase):
    """What the routers learned about a part does not end with them."""

    def setUp(self) -> None:
        self.first = self._world("g1")

    def _world(self, name: str, **changes: Any) -> World:
        world = World(instance_id=name, **changes)
        self.addCleanup(world.stop)
        return world

    def _convict(self, world: World) -> None:
        for number in range(CRASH_LIMIT):
            entry = an_entry(f"e{number}", started_ms=number)
            world.gateway.crashes.record_part_crash(entry, [SYSTEM, DEADLY], 0.0)
        self.assertTrue(self._knows(world))

    def _knows(self, world: World) -> bool:
        return world.gateway.crashes.crashing_part([SYSTEM, DEADLY]) == DEADLY

    def _is_stored(self) -> bool:
        return self.first.store.has(CONVICTION_KIND, KEY)

    def test_part_is_known_after_all_routers_were_killed(self) -> None:
        """Guards against engines that crash anew for each part after each loss of all routers."""
        self.first.start()
        self._convict(self.first)
        eventually(self._is_stored, "the conviction is stored")
        self.first.gateway.kill()
        for number in range(3):
            world = self._world(f"g{number + 2}", store=self.first.store).start()
            eventually(lambda world=world: self._knows(world), "the new router knows the part")
            self.assertIsNone(world.gateway.crashes.crashing_part([SYSTEM]))
            world.gateway.kill()

    def test_store_that_is_down_delays_the_conviction_only_there(self) -> None:
        """Guards against requests that wait for the store, and against giving up on it."""
        self.first.start()
        self.first.store.status = 503
        self._convict(self.first)
        self.assertFalse(self._is_stored())
        self.first.store.status = None
        eventually(self._is_stored, "the conviction is stored later")

    def test_router_starts_while_convictions_cannot_be_read(self) -> None:
        """Guards against a start that waits for the convictions or never reads them."""
        self.first.store.put(CONVICTION_KIND, KEY, _evidence(time.time() - 60.0))
        self.first.store.status_by_path[PATH] = 503
        self.first.start()
        self.assertFalse(self._knows(self.first))
        del self.first.store.status_by_path[PATH]
        eventually(lambda: self._knows(self.first), "the conviction is read later")

    def test_expired_conviction_is_removed(self) -> None:
        """Guards against parts that stay refused, and objects that stay in the store, for ever."""
        self.first.store.put(CONVICTION_KIND, KEY, _evidence(time.time() - RECORD_TTL_S - 60.0))
        self.first.start()
        eventually(lambda: not self._is_stored(), "the object is deleted")
        self.assertFalse(self._knows(self.first))

    def test_acquitted_part_is_removed(self) -> None:
        """Guards against a healthy part that the next routers refuse again."""
        self.first.start()
        self._convict(self.first)
        eventually(self._is_stored, "the conviction is stored")
        self.first.gateway.crashes.record_completion("f", [DEADLY])
        eventually(lambda: not self._is_stored(), "the object is deleted")

    def test_conviction_survives_a_restored_store(self) -> None:
        """Guards against a conviction that a restored store lacks."""
        self.first.start()
        copy = self.first.store.copy()
        self._convict(self.first)
        eventually(self._is_stored, "the conviction is stored")
        self.first.store.restore(copy)
        eventually(self._is_stored, "the conviction is stored again")

    def test_malformed_objects_cost_only_themselves(self) -> None:
        """Guards against an object of another writer that hides the others or convicts a part."""
        good = _evidence(time.time() - 60.0)
        documents: list[tuple[str, object]] = [
            ("not-a-key", good),
            ("0" * 16, None),
            ("1" * 16, {"crashes": [["p", 1, 1]] * 3}),
            ("2" * 16, {"crashes": [[KEY, 10**400, 1]]}),
            ("3" * 16, {"crashes": {"a": 1}}),
            ("4" * 16, {"crashes": [[KEY, 1.5, float("inf")]]}),
            ("5" * 16, {"crashes": [1, 2]}),
        ]
        for name, document in documents:
            self.first.store.put(CONVICTION_KIND, name, document)
        self.first.store.put(CONVICTION_KIND, KEY, good)
        self.first.start()
        eventually(lambda: self._knows(self.first), "the good object is read")
        malformed = self.first.gateway.metrics.value("malformed_entries_total", kind="conviction")
        self.assertEqual(malformed, len(documents))
        self.assertEqual(self.first.gateway.crashes.convicted().keys(), {KEY})

    def test_quiet_router_calls_the_store_once(self) -> None:
        """Guards against a price for what rarely happens."""
        self.first.start()
        calls = self.first.store.calls
        listed = ("GET", f"{PATH}?serializable=1")
        eventually(lambda: listed in calls, "the convictions are read")
        time.sleep(1.5)
        self.assertEqual([call for call in calls if PATH in call[1]], [listed])

    def test_one_router_writes(self) -> None:
        """Guards against a write by each router that learns of a conviction."""
        second = self._world("g2", store=self.first.store)
        self.first.start()
        second.start()
        for one, other in ((self.first, second), (second, self.first)):
            eventually(
                lambda one=one, other=other: other.settings.instance_id
                in one.gateway.gossip.members(),
                "the routers know each other",
            )
        self._convict(self.first)
        eventually(lambda: self._knows(second), "the other router knows the part")
        eventually(self._is_stored, "the conviction is stored")
        time.sleep(1.0)
        writes = [call for call in self.first.store.calls if call == ("POST", PATH)]
        self.assertEqual(len(writes), 1)


class EvidenceTest(unittest.TestCase):
    """The stored form of the evidence."""

    def test_evidence_survives_the_store(self) -> None:
        """Guards against separate crashes that count as one after a restart."""
        now = 1_700_000_000.0
        crashes = [PastCrash(process_key("e1", 1), now - 9.25, now - 9.5)]
        self.assertEqual(decode_crashes(encode_crashes(crashes), now), crashes)


if __name__ == "__main__":
    unittest.main()
