"""Tests of `gateway.peer_feed`: routers that receive changes of the store from peers."""

from __future__ import annotations

import itertools
import time
import unittest
from collections import Counter
from types import MappingProxyType
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.fleet import PEER_CONNECTIONS
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.model import StoredItem, StorePosition
from sequoiadrum.gateway.peer_feed import (
    MIN_WATCHERS,
    SMALL_FLEET_SIZE,
    SOURCES_PER_ROUTER,
    PeerFeed,
    PeerResponder,
)
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import PeerFailure
from tests.gateway.scripted_endpoint import ScriptedEndpoint, ok
from tests.gateway.world import World, config_document, eventually, start_follower_and_watcher

START = StorePosition(0, 0)
"""The position of a router that knows nothing yet."""


class _Fleet:
    """Stand-in for the membership; all routers are alive."""

    def __init__(self, own_id: str, size: int) -> None:
        self._own_id = own_id
        self._members = MappingProxyType(
            {
                f"r{n}": Member(f"r{n}", f"h{n}", 1, 2, "z", "r", 1, 0, MemberState.ALIVE)
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
    """Stand-in for the peer client; every call returns the same value."""

    def __init__(self, value: Any) -> None:
        self.value = value

    def call(self, address: Any, make: Any, timeout_s: float) -> Any:
        return Success(self.value)


def _feed(own_id: str, size: int, value: Any = None) -> PeerFeed:
    metrics = Metrics()
    log = EventLog("g1", metrics, None)  # type: ignore[arg-type]
    return PeerFeed(_Fleet(own_id, size), _Peers(value), metrics, log)  # type: ignore[arg-type]


class WatcherTest(unittest.TestCase):
    """Which routers of a fleet watch the store, and which peers the others call."""

    def test_small_fleets_watch_all(self) -> None:
        """Guards against a small fleet that depends on a few of its routers."""
        self.assertTrue(
            all(_feed(f"r{n}", SMALL_FLEET_SIZE).is_watcher() for n in range(SMALL_FLEET_SIZE))
        )

    def test_calls_do_not_grow_with_a_large_fleet(self) -> None:
        """Guards against a load on the store that grows with each router."""
        watchers = [n for n in range(100) if _feed(f"r{n}", 100).is_watcher()]
        self.assertEqual(len(watchers), MIN_WATCHERS)

    def test_no_watcher_serves_more_connections_than_it_has_threads(self) -> None:
        """Guards against watchers that refuse connections of other routers in a large fleet."""
        for size in (100, 300):
            feeds = [_feed(f"r{n}", size) for n in range(size)]
            following = [feed for feed in feeds if not feed.is_watcher()]
            followers = Counter(m.id for feed in following for m in feed._current_ranking().sources)
            # A follower uses one connection for the configuration and one for the endpoints.
            self.assertLess(2 * max(followers.values()), PEER_CONNECTIONS)
            self.assertTrue(
                all(
                    len(feed._current_ranking().sources) == SOURCES_PER_ROUTER for feed in following
                )
            )

    def test_lone_router_asks_nobody(self) -> None:
        """Guards against waiting for a peer in a fleet of one router."""
        self.assertIsNone(_feed("r0", 1).watch("k", START, 1.0))

    def test_answers_pass_through_the_wire_form(self) -> None:
        """Guards against documents, revisions or removals that are altered by the encoding."""
        mirror = Mirror()
        mirror.apply_list(
            "k", [StoredItem("a", 3, {"x": [1, None]}), StoredItem("b", 4, 1)], 5, 0.0
        )
        mirror.apply_list("k", [StoredItem("a", 3, {"x": [1, None]})], 6, 0.0)
        view = _feed("r0", 2, PeerResponder(mirror, mock.Mock()).watch("k", START, 0.0)).watch(
            "k", START, 1.0
        )
        assert view is not None
        self.assertEqual(view.revision, 6)
        found = {(e.item.name, str(e.item.document), e.is_deleted) for e in view.events}
        self.assertEqual(found, {("a", "{'x': [1, None]}", False), ("b", "None", True)})

    def test_malformed_answer_is_none(self) -> None:
        """Guards against an exception that ends the thread that synchronizes the endpoints."""
        malformed = ttypes.SeenObjects([ttypes.SeenObject("a", 1, b"{", False)], 1, 0)
        feed = _feed("r0", 2, malformed)
        feed._log = EventLog("g1", Metrics(), None)  # type: ignore[arg-type]
        self.assertIsNone(feed.watch("k", START, 1.0))


class ChoiceTest(unittest.TestCase):
    """Which peer a router calls."""

    def _called_hosts(self, feed: PeerFeed, respond: Any, times: int) -> list[str]:
        hosts: list[str] = []

        def call(address: Any, make: Any, timeout_s: float) -> Any:
            hosts.append(address.host)
            return respond(address.host)

        feed._peers.call = call  # type: ignore[method-assign]
        for _ in range(times):
            feed.watch("k", START, 1.0)
        return hosts

    def test_next_question_goes_to_another_peer(self) -> None:
        """Guards against changes that are delayed by several waits for one partitioned peer."""
        empty = Success(ttypes.SeenObjects([], 1, 0))
        hosts = self._called_hosts(_feed("r0", 4), lambda _: empty, 30)
        self.assertTrue(all(a != b for a, b in itertools.pairwise(hosts)))

    def test_unresponsive_peer_is_avoided(self) -> None:
        """Guards against repeated waits for the same dead peer."""

        def respond(host: str) -> Any:
            if host == "h1":
                return Failure(PeerFailure.BROKEN)
            return Success(ttypes.SeenObjects([], 1, 0))

        self.assertLessEqual(self._called_hosts(_feed("r0", 4), respond, 30).count("h1"), 1)


class FollowerTest(unittest.TestCase):
    """Two complete gateways, one of which watches the store for both."""

    def setUp(self) -> None:
        self.follower, self.watcher = start_follower_and_watcher(self)
        time.sleep(1.2)  # Until then the read at the start is a recent confirmation.

    def _reads(self, world: World) -> int:
        return sum(call == ("GET", "/objects/config/main") for call in world.store.calls)

    def test_denied_request_costs_the_store_no_read_for_each_router(self) -> None:
        """Guards against a load on the store that grows with the routers that deny requests."""
        reads = self._reads(self.follower)
        status, _, _ = self.follower.call("/read/x", headers={"Sequoiadrum-Key": "k9"})
        self.assertEqual(status, 401)
        self.assertEqual(self._reads(self.follower), reads)

    def test_key_that_only_the_watcher_has_seen_is_accepted(self) -> None:
        """Guards against a 401 from a follower whose configuration is older than the watcher's."""
        accounts = [{"name": "acme", "api_keys": ["k1", "k2"]}]
        self.watcher.store.drops_watch_events = True
        self.watcher.store.put("config", "main", config_document(7, tenants=accounts))
        status, _, _ = self.follower.call("/read/x", headers={"Sequoiadrum-Key": "k2"})
        self.assertEqual(status, 503)  # The key is accepted; there is no endpoint.
        self.assertEqual(self.follower.gateway.configuration.version(), 7)

    def test_store_is_asked_when_no_watcher_can_tell(self) -> None:
        """Guards against an unconfirmed refusal although this router can read the store."""
        self.watcher.store.status = 503
        status, _, _ = self.follower.call("/read/x", headers={"Sequoiadrum-Key": "k9"})
        self.assertEqual(status, 401)

    def test_nothing_is_denied_when_nobody_can_tell(self) -> None:
        """Guards against a 401 or 404 based on a configuration that may have been replaced."""
        self.watcher.store.status = 503
        self.follower.store.status = 503
        self.assertEqual(self.follower.call("/nowhere/x")[0], 503)


class StoreUnreachableTest(unittest.TestCase):
    """Two complete gateways, one of which cannot reach the store."""

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
        """Guards against requests to a leaving endpoint and accepted revoked keys in an outage."""
        endpoint = ScriptedEndpoint(ok)
        self.addCleanup(endpoint.stop)
        for world in (self.first, self.second):
            world.register("e1", endpoint.address)
            eventually(lambda world=world: world.gateway.pool.can_route_to("e1"), "e1 is known")
        self.second.store.status = 503
        self.first.register("e1", endpoint.address, state="draining")
        self.first.register("e1", endpoint.address, state="draining")
        self.first.store.put("config", "main", config_document(9))
        eventually(lambda: not self.second.gateway.pool.can_route_to("e1"), "e1 is known to drain")
        eventually(lambda: self.second.gateway.configuration.version() == 9, "version 9")
