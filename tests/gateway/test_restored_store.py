"""Tests of a gateway whose store is restored from an older copy."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import REAPPEARANCE_HOLD_S, EndpointTable
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.model import EndpointState, StoredItem, StoreEvent, StorePosition
from sequoiadrum.gateway.peer_feed import PeerResponder
from sequoiadrum.messages import Address
from tests.gateway.builders import an_entry
from tests.gateway.world import (
    World,
    config_document,
    eventually,
    route_document,
    start_follower_and_watcher,
)

UNUSED_ADDRESS = Address("127.0.0.1", 9)


def _added_route_document(version: int) -> dict[str, Any]:
    document = config_document(version)
    document["routes"].append(route_document("idempotent", "shop", "/added/"))
    return document


class RestoredStoreTest(unittest.TestCase):
    """A gateway that watches the store itself."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.stop)
        self.store = self.world.store

    def _start(self) -> None:
        self.world.start()
        self.configuration = self.world.gateway.configuration

    def _write_versions(self, *versions: int) -> None:
        for version in versions:
            self.store.put("config", "main", config_document(version))
        eventually(lambda: self.configuration.version() == versions[-1], "the version is in force")

    def test_version_with_a_reused_revision_comes_into_force(self) -> None:
        """Guards against a confirmed version that only a refused request brings into force."""
        self._start()
        copy = self.store.copy()
        self._write_versions(2, 3, 4)
        self.store.restore(copy)
        self.store.put("config", "main", config_document(4))
        self.store.put("config", "main", config_document(5))
        eventually(lambda: self.configuration.version() == 5, "the new version is in force")

    def test_configuration_of_the_copy_does_not_come_back(self) -> None:
        """Guards against a version that is replaced by an older one."""
        self._start()
        copy = self.store.copy()
        self._write_versions(2, 3)
        self.store.restore(copy)
        eventually(lambda: "store_restored" in self.world.output.getvalue(), "the restore is known")
        self.assertEqual(self.configuration.version(), 3)

    def test_version_that_is_written_with_other_content_replaces_the_lost_one(self) -> None:
        """Guards against a version that a router ignores because it saw another one of its number.

        The first one was never acknowledged: the store failed while it was written.
        """
        self._start()
        copy = self.store.copy()
        self._write_versions(2)
        self.store.restore(copy)
        self.store.put("config", "main", _added_route_document(2))
        eventually(
            lambda: self.configuration.routing().route("shop.example", "/added/x") is not None,
            "the route is served",
        )

    def test_watch_does_not_continue_in_another_epoch(self) -> None:
        """Guards against a change that the watch skips because its revision was given out before.

        The next complete list would show it ten seconds later.
        """
        self._start()
        copy = self.store.copy()
        self._write_versions(2, 3, 4)
        sync = self.world.gateway._syncs[1]
        eventually(
            lambda: sync._mirror.revision("servers") >= copy.revision + 3, "the watch is ahead"
        )
        self.store.restore(copy)
        self.world.register("skipped", UNUSED_ADDRESS)
        for version in (4, 5, 6, 7):
            self.store.put("config", "main", config_document(version))
        started = clock.now()
        eventually(lambda: self.world.gateway.pool.can_route_to("skipped"), "the endpoint is known")
        self.assertLess(clock.now() - started, 8.0)

    def test_removal_with_a_reused_revision_takes_effect(self) -> None:
        """Guards against requests to an endpoint that left after the restore."""
        self._start()
        copy = self.store.copy()
        for _ in range(4):
            self.world.register("e1", UNUSED_ADDRESS)
        pool = self.world.gateway.pool
        eventually(lambda: pool.can_route_to("e1"), "the endpoint is known")
        self.store.restore(copy)
        self.world.register("e1", UNUSED_ADDRESS)
        eventually(lambda: "store_restored" in self.world.output.getvalue(), "the restore is known")
        self.store.delete("servers", "e1")
        eventually(lambda: not pool.can_route_to("e1"), "the endpoint gets no request")

    def test_endpoint_that_the_copy_lacks_is_kept_until_it_registers_again(self) -> None:
        """Guards against a service without endpoints right after the restore."""
        self._start()
        copy = self.store.copy()
        self.world.register("e1", UNUSED_ADDRESS)
        self.world.register("gone", UNUSED_ADDRESS)
        pool = self.world.gateway.pool
        eventually(lambda: pool.can_route_to("gone"), "the endpoints are known")
        self.store.restore(copy)
        eventually(lambda: "store_restored" in self.world.output.getvalue(), "the restore is known")
        self.assertTrue(pool.can_route_to("e1"))
        self.world.register("e1", UNUSED_ADDRESS)
        eventually(lambda: not pool.can_route_to("gone"), "the other one counts as removed")
        self.assertTrue(pool.can_route_to("e1"))

    def test_router_registers_again(self) -> None:
        """Guards against a router that the next ones to start cannot find."""
        with mock.patch("sequoiadrum.gateway.fleet.REGISTRATION_SPREAD_S", 0.1):
            copy = self.store.copy()
            self._start()
            name = self.world.settings.instance_id
            eventually(lambda: self.store.has("sequoiadrum-routers", name), "it is registered")
            self.store.restore(copy)
            self.store.put("config", "main", config_document(2))
            eventually(lambda: self.store.has("sequoiadrum-routers", name), "it registered again")

    def test_two_restores_in_a_row(self) -> None:
        """Guards against a router that follows only the first of two restores."""
        self._start()
        copy = self.store.copy()
        self._write_versions(2, 3, 4)
        for version in (5, 6):
            self.store.restore(copy)
            self.store.put("config", "main", config_document(version))
        eventually(lambda: self.configuration.version() == 6, "the last version is in force")


class StartAfterRestoreTest(unittest.TestCase):
    """A gateway starts while the store shows an older version than its peers have in force."""

    def test_version_that_only_peers_know_is_fetched_from_them(self) -> None:
        """Guards against a 404 for a route that was confirmed before the store was restored."""
        first = World().start(_added_route_document(5))
        self.addCleanup(first.stop)
        second = World(instance_id="g2")
        self.addCleanup(second.stop)
        second.join(first)
        second.start(config_document(1))
        eventually(lambda: len(second.gateway.gossip.members()) == 2, "the routers know each other")
        eventually(lambda: second.gateway.configuration.version() == 5, "it has the peer's version")
        self.assertEqual(second.call("/added/x")[0], 503)  # There is no endpoint.


class RestoredFollowerTest(unittest.TestCase):
    """Two gateways, one of which watches the store for both."""

    def setUp(self) -> None:
        self.follower, self.watcher = start_follower_and_watcher(self)

    def test_changes_with_reused_revisions_reach_the_follower(self) -> None:
        """Guards against followers that keep the state from before the restore."""
        store, pool = self.watcher.store, self.follower.gateway.pool
        configuration = self.follower.gateway.configuration
        store.status_by_path = {"/objects/config/main": 503}  # Nothing is read on request.
        self.follower.store.status_by_path = {"/objects/config/main": 503}
        self.watcher.register("e1", UNUSED_ADDRESS)
        copy = store.copy()
        self.watcher.register("e1", UNUSED_ADDRESS)
        for version in (2, 3, 4):
            store.put("config", "main", config_document(version))
        eventually(lambda: configuration.version() == 4, "the follower has version 4")
        eventually(lambda: pool.can_route_to("e1"), "the follower knows the endpoint")
        store.restore(copy)
        store.put("config", "main", config_document(5))
        store.delete("servers", "e1")
        eventually(lambda: configuration.version() == 5, "the follower has version 5")
        eventually(lambda: not pool.can_route_to("e1"), "the endpoint gets no request")


class ResponderTest(unittest.TestCase):
    """What a router tells its peers after a restore."""

    def test_newer_version_with_a_lower_revision_is_returned(self) -> None:
        """Guards against a follower that takes its version for the newest and denies new routes."""
        configuration = mock.Mock()
        configuration.stored_version.return_value = (14, StoredItem("main", 28, {"v": 14}, 2))
        configuration.age_s.return_value = 0.0
        response = PeerResponder(Mirror(), configuration).confirm(11, 1.0)
        self.assertEqual(len(response.objects), 1)
        self.assertEqual(PeerResponder(Mirror(), configuration).confirm(14, 1.0).objects, [])

    def test_reused_revision_is_not_served_with_the_former_document(self) -> None:
        """Guards against an old document that a cache returns under a new version."""
        mirror = Mirror()
        responder = PeerResponder(mirror, mock.Mock())
        documents = []
        for epoch, content in ((1, "old"), (2, "new")):
            mirror.apply_list("k", [StoredItem("a", 28, content, epoch)], 28, 0.0, epoch=epoch)
            response = responder.watch("k", StorePosition(epoch, 0), 0.0)
            documents.append(response.objects[0].document)
        self.assertNotEqual(*documents)


class MirrorEpochTest(unittest.TestCase):
    """The mirror orders changes by epoch first."""

    def setUp(self) -> None:
        self.mirror = Mirror()
        items = [StoredItem("a", 30, "a", 1), StoredItem("b", 20, "b", 1)]
        self.mirror.apply_list("k", items, 35, 0.0, epoch=1)

    def _restore(self) -> list[StoreEvent]:
        items = [StoredItem("b", 20, "b", 2), StoredItem("c", 21, "c", 2)]
        return self.mirror.apply_list("k", items, 31, 0.0, epoch=2)

    def test_list_of_a_new_epoch_replaces_the_state(self) -> None:
        """Guards against objects that stay although the restore removed them."""
        updates = {(e.item.name, e.is_deleted) for e in self._restore()}
        self.assertEqual(updates, {("a", True), ("c", False)})
        self.assertEqual(self.mirror.position("k"), StorePosition(2, 31))

    def test_answers_of_the_former_epoch_are_ignored(self) -> None:
        """Guards against a late answer that brings the state from before the restore back."""
        self._restore()
        late = StoredItem("a", 40, "late", 1)
        self.assertEqual(self.mirror.apply_list("k", [late], 40, 0.0, epoch=1), [])
        events = [StoreEvent(late, is_deleted=False)]
        self.assertEqual(self.mirror.apply_events("k", events, 40, 0.0, epoch=1), [])
        self.assertEqual(self.mirror.position("k"), StorePosition(2, 31))

    def test_changes_without_their_list_are_ignored(self) -> None:
        """Guards against a state that mixes two epochs."""
        events = [StoreEvent(StoredItem("c", 36, "c", 2), is_deleted=False)]
        self.assertEqual(self.mirror.apply_events("k", events, 36, 0.0, epoch=2), [])

    def test_peer_of_the_former_epoch_gets_all_objects(self) -> None:
        """Guards against a follower that misses what the restore removed or gave back."""
        self._restore()
        view = self.mirror.wait("k", 35, 0.0, epoch=1)
        self.assertTrue(view.is_complete)
        self.assertEqual({e.item.name for e in view.events}, {"b", "c"})

    def test_peer_that_is_ahead_waits(self) -> None:
        """Guards against a follower that asks without a pause while its peers are behind."""
        started = clock.now()
        view = self.mirror.wait("k", 31, 0.3, epoch=2)
        self.assertGreaterEqual(clock.now() - started, 0.3)
        self.assertEqual(view.epoch, 1)


class ReappearanceTest(unittest.TestCase):
    """Endpoints that left, and that the restored copy shows as ready again."""

    def setUp(self) -> None:
        self.table = EndpointTable()
        self.table.apply(an_entry("drains", revision=5, epoch=1), 0.0)
        self.table.apply(an_entry("gone", revision=6, epoch=1), 0.0)
        draining = an_entry("drains", revision=20, epoch=1, state=EndpointState.DRAINING)
        self.table.apply(draining, 10.0)
        self.table.remove("gone", StorePosition(1, 21), 10.0, float("-inf"))
        self.table.expire(10.0)
        self.table.apply(an_entry("drains", revision=5, epoch=2), 20.0)
        self.table.apply(an_entry("gone", revision=6, epoch=2), 20.0)

    def _can_serve(self, name: str, now: float) -> bool:
        endpoint = self.table.by_id.get(name)
        return endpoint is not None and endpoint.can_serve(now)

    def test_endpoint_that_left_gets_no_request(self) -> None:
        """Guards against requests to an endpoint that the router knew to leave."""
        self.table.expire(20.1)
        self.assertFalse(self._can_serve("drains", 20.1))
        self.assertFalse(self._can_serve("gone", 20.1))

    def test_endpoint_that_stays_listed_is_used_again(self) -> None:
        """Guards against an endpoint that is withheld although it is alive."""
        now = 20.0 + REAPPEARANCE_HOLD_S
        self.assertEqual(
            {entry.instance_id for entry in self.table.expire(now)}, {"drains", "gone"}
        )
        self.assertTrue(self._can_serve("drains", now) and self._can_serve("gone", now))

    def test_written_again_that_it_leaves(self) -> None:
        """Guards against a held entry that replaces a newer one."""
        draining = an_entry("drains", revision=25, epoch=2, state=EndpointState.DRAINING)
        self.table.apply(draining, 21.0)
        self.table.remove("gone", StorePosition(2, 26), 21.0, float("-inf"))
        self.assertEqual(self.table.expire(20.0 + REAPPEARANCE_HOLD_S), [])
        self.assertFalse(self._can_serve("drains", 30.0) or self._can_serve("gone", 30.0))

    def test_new_process_under_the_same_id_is_used_at_once(self) -> None:
        """Guards against withholding an endpoint that started again."""
        self.table.apply(an_entry("gone", revision=30, epoch=2, started_ms=2), 21.0)
        self.assertTrue(self._can_serve("gone", 21.0))
