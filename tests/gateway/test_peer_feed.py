"""Routers that hear of the store through their peers."""

from __future__ import annotations

import unittest
from types import MappingProxyType
from typing import Any

from returns.result import Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.model import StoredItem
from sequoiadrum.gateway.peer_feed import SMALL_FLEET, WATCHERS, PeerFeed, answer_watch
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.metrics import Metrics
from tests.gateway.scripted_endpoint import ScriptedEndpoint, ok
from tests.gateway.world import World, config_document, eventually


class _Fleet:
    """Stands for the membership."""

    def __init__(self, own_id: str, size: int) -> None:
        self._own_id = own_id
        self._members = MappingProxyType(
            {
                f"r{n}": Member(f"r{n}", "127.0.0.1", 1, 2, "z", "r", 1, 0, MemberState.ALIVE)
                for n in range(size)
            }
        )

    def members(self) -> Any:
        return self._members

    def self_id(self) -> str:
        return self._own_id

    def report_unreachable(self, router_id: str) -> None:
        return


class _Peers:
    """Answers all calls with one value."""

    def __init__(self, value: Any) -> None:
        self.value = value

    def call(self, address: Any, make: Any, timeout_s: float) -> Any:
        return Success(self.value)


def _feed(own_id: str, size: int, value: Any = None) -> PeerFeed:
    log = EventLog("g1", Metrics(), None)  # type: ignore[arg-type]
    return PeerFeed(_Fleet(own_id, size), _Peers(value), log)  # type: ignore[arg-type]


class WatcherTest(unittest.TestCase):
    """Which routers watch the store."""

    def test_small_fleets_watch_all(self) -> None:
        """Guards against a small fleet that depends on a few of its routers."""
        self.assertTrue(all(_feed(f"r{n}", SMALL_FLEET).is_watcher() for n in range(SMALL_FLEET)))

    def test_calls_do_not_grow_with_a_large_fleet(self) -> None:
        """Guards against a price for calls of the store that grows with each router."""
        watchers = [n for n in range(100) if _feed(f"r{n}", 100).is_watcher()]
        self.assertEqual(len(watchers), WATCHERS)

    def test_lone_router_asks_nobody(self) -> None:
        """Guards against a wait for peers that do not exist."""
        self.assertIsNone(_feed("r0", 1).watch("k", 0, 1.0))

    def test_answers_pass_through_the_wire_form(self) -> None:
        """Guards against a document, revision or removal that is changed on its way."""
        mirror = Mirror()
        mirror.note_list("k", [StoredItem("a", 3, {"x": [1, None]}), StoredItem("b", 4, 1)], 5, 0.0)
        mirror.note_list("k", [StoredItem("a", 3, {"x": [1, None]})], 6, 0.0)
        view = _feed("r0", 2, answer_watch(mirror, "k", 0, 0.0)).watch("k", 0, 1.0)
        assert view is not None
        self.assertEqual(view.revision, 6)
        found = {(e.item.name, str(e.item.document), e.is_deleted) for e in view.events}
        self.assertEqual(found, {("a", "{'x': [1, None]}", False), ("b", "None", True)})

    def test_malformed_answer_is_none(self) -> None:
        """Guards against an exception that ends the thread that follows the endpoints."""
        broken = ttypes.SeenObjects([ttypes.SeenObject("a", 1, b"{", False)], 1, 0)
        feed = _feed("r0", 2, broken)
        feed._log = EventLog("g1", Metrics(), None)  # type: ignore[arg-type]
        self.assertIsNone(feed.watch("k", 0, 1.0))


class CutOffTest(unittest.TestCase):
    """Two whole gateways, one of which loses the store."""

    def setUp(self) -> None:
        self.first = World().start()
        self.addCleanup(self.first.stop)
        self.second = World(instance_id="g2")
        self.addCleanup(self.second.stop)
        self.second.join(self.first)
        self.second.start()
        eventually(
            lambda: len(self.second.gateway.gossip.members()) == 2, "the routers know each other"
        )

    def test_router_without_the_store_follows_its_peers(self) -> None:
        """Guards against work for a leaving endpoint, and against revoked keys, in an outage."""
        endpoint = ScriptedEndpoint(ok)
        self.addCleanup(endpoint.stop)
        for world in (self.first, self.second):
            world.register("e1", endpoint.address)
            eventually(lambda world=world: world.gateway.pool.knows("e1"), "e1 is known")
        self.second.store.status = 503
        self.first.register("e1", endpoint.address, state="draining")
        self.first.register("e1", endpoint.address, state="draining")
        self.first.store.put("config", "main", config_document(9))
        eventually(lambda: not self.second.gateway.pool.knows("e1"), "e1 is known to drain")
        eventually(lambda: self.second.gateway.configuration.version() == 9, "version 9")
