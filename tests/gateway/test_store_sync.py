"""Tests of `gateway.store_sync`."""

from __future__ import annotations

import io
import unittest
from unittest import mock

from returns.result import Success

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.mirror import MirrorView
from sequoiadrum.gateway.model import StoredPage, StoreFailure, WatchResult
from sequoiadrum.gateway.store_sync import StoreAvailability
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from tests.gateway.world import World, eventually


class StoreAvailabilityTest(unittest.TestCase):
    """How long missing entries are kept after an outage of the store."""

    def setUp(self) -> None:
        metrics = Metrics()
        self.availability = StoreAvailability(EventLog("g1", metrics, io.StringIO()), metrics)

    def _record_outage(self, started_at: float, ended_at: float) -> None:
        with mock.patch.object(clock, "now", return_value=started_at):
            self.availability.record_failure(StoreFailure.UNREACHABLE, "k")
        with mock.patch.object(clock, "now", return_value=ended_at):
            self.availability.record_response()

    def test_interrupted_watch_is_no_outage(self) -> None:
        """Guards against requests to an endpoint that left while a watch was interrupted."""
        self._record_outage(100.0, 100.1)
        self.assertLess(self.availability.expiry_hold_until(), 0.0)

    def test_entries_may_have_expired_in_a_long_outage(self) -> None:
        """Guards against a service without endpoints right after an outage of the store."""
        self._record_outage(100.0, 104.0)
        self.assertGreater(self.availability.expiry_hold_until(), 106.0)

    def test_interruption_after_an_outage_does_not_shorten_the_hold(self) -> None:
        """Guards against dropping expired endpoints when a watch fails right after an outage."""
        self._record_outage(100.0, 104.0)
        self._record_outage(104.5, 104.6)
        self.assertGreater(self.availability.expiry_hold_until(), 106.0)

    def _record_contacts(self, *times: float) -> None:
        for at in times:
            self.availability.record_peer_contact(at)

    def test_router_that_alone_lost_the_store_keeps_no_entry(self) -> None:
        """Guards against requests to endpoints that left long after a router's own failed call."""
        with mock.patch.object(clock, "now", return_value=100.0):
            self.availability.record_failure(StoreFailure.UNREACHABLE, "k")
        self._record_contacts(*(100.5 + 2.2 * n for n in range(10)))
        with mock.patch.object(clock, "now", return_value=121.5):
            self.availability.record_response()
        self.assertLess(self.availability.expiry_hold_until(), 0.0)

    def test_peers_show_the_end_of_an_outage(self) -> None:
        """Guards against a hold that begins when a router happens to call the store again."""
        with mock.patch.object(clock, "now", return_value=100.0):
            self.availability.record_failure(StoreFailure.UNREACHABLE, "k")
        self._record_contacts(99.0, 104.0, 106.0)
        with mock.patch.object(clock, "now", return_value=107.5):
            self.availability.record_response()
        self.assertEqual(self.availability.outage_ended, 104.0)

    def test_outage_within_the_time_of_an_own_failure_is_noticed(self) -> None:
        """Guards against a service without endpoints after an outage that peers had as well."""
        with mock.patch.object(clock, "now", return_value=100.0):
            self.availability.record_failure(StoreFailure.UNREACHABLE, "k")
        self._record_contacts(101.0, 103.0, 110.0, 112.0)
        self.assertEqual(self.availability.outage_ended, 110.0)

    def test_followers_learn_of_contacts_from_their_peers(self) -> None:
        """Guards against views of peers that do not count as contacts with the store."""
        world = World()  # Not started, so that no other thread calls the store.
        self.addCleanup(world.store.stop)
        sync = world.gateway._syncs[1]
        now = clock.now()
        with mock.patch.object(clock, "now", return_value=now):
            sync._availability.record_failure(StoreFailure.UNREACHABLE, "servers")
        view = MirrorView((), 7, 0.1)
        with (
            mock.patch.object(sync, "_feed", **{"watch.return_value": view}),
            mock.patch.object(clock, "now", return_value=now + 5.0),
        ):
            self.assertTrue(sync._request_from_peer(0.0))
        self.assertAlmostEqual(sync._availability.outage_ended, now + 4.9, places=3)


class StaleListTest(unittest.TestCase):
    """A gateway starts while the store serves cheap lists from an older state."""

    def test_state_after_a_stale_list_is_the_newest(self) -> None:
        """Guards against requests to endpoints that left, and against missing new ones."""
        world = World()
        self.addCleanup(world.stop)
        world.register("gone", Address("127.0.0.1", 9))
        world.register("draining", Address("127.0.0.1", 9))
        world.store.keep_stale_state()
        world.store.delete("servers", "gone")
        world.register("draining", Address("127.0.0.1", 9), state="draining")
        world.register("new", Address("127.0.0.1", 9))
        world.start()
        pool = world.gateway.pool
        eventually(lambda: pool.can_route_to("new"), "the new endpoint is known")
        eventually(lambda: not pool.can_route_to("draining"), "the draining one is known")
        eventually(lambda: not pool.can_route_to("gone"), "the removed one is known")

    def test_only_lists_that_need_no_newest_state_may_be_stale(self) -> None:
        """Guards against a state from before a restore of the store that counts as the newest.

        A router that starts cannot tell whether the store was restored seconds ago.
        """
        world = World()
        self.addCleanup(world.stop)
        world.start()
        for kind in ("sequoiadrum-routers", "sequoiadrum-crashing-parts"):
            eventually(
                lambda kind=kind: any(f"{kind}?" in path for _, path in world.store.calls),
                f"{kind} are listed",
            )
        lists = [
            path for method, path in world.store.calls if method == "GET" and "watch" not in path
        ]
        stale = {
            path.split("?")[0].rsplit("/", 1)[-1] for path in lists if "serializable=1" in path
        }
        self.assertEqual(stale, {"sequoiadrum-routers", "sequoiadrum-crashing-parts"})

    def test_answers_of_different_epochs_do_not_cause_calls_without_a_pause(self) -> None:
        """Guards against lists in a tight loop while two states of the store answer in turn."""
        world = World()  # Not started, so that no other thread lists.
        self.addCleanup(world.store.stop)
        sync = world.gateway._syncs[1]
        with (
            mock.patch.object(sync._store, "list", return_value=Success(StoredPage((), 9, 2))),
            mock.patch.object(sync._store, "watch", return_value=Success(WatchResult((), 9, 1))),
        ):
            self.assertFalse(sync._sync_from_store())
        with (
            mock.patch.object(sync._store, "list", return_value=Success(StoredPage((), 9, 2))),
            mock.patch.object(sync._store, "watch", return_value=Success(WatchResult((), 9, 3))),
        ):
            self.assertTrue(sync._sync_from_store())

    def test_follower_whose_peers_fail_reads_the_newest_state(self) -> None:
        """Guards against requests to endpoints that left, when no peer has recent state."""
        world = World()  # Not started, so that no other thread lists.
        self.addCleanup(world.store.stop)
        sync = world.gateway._syncs[1]
        with mock.patch.object(sync, "_feed") as feed:
            feed.is_watcher.return_value = False
            feed.watch.return_value = None
            self.assertFalse(sync._sync_from_peers())
            sync._sync_from_store()
        lists = [path for _, path in world.store.calls if "servers" in path]
        self.assertEqual(len(lists), 1)
        self.assertNotIn("serializable", lists[0])
