"""Tests of `gateway.mirror`."""

from __future__ import annotations

import threading
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.model import StoredItem, StoreEvent


def a_change(name: str, revision: int, is_deleted: bool = False) -> StoreEvent:
    """Builds a change of an object whose content is its revision."""
    return StoreEvent(StoredItem(name, revision, None if is_deleted else revision), is_deleted)


class MirrorTest(unittest.TestCase):
    """Views contain the newest known changes and never revert an object."""

    def setUp(self) -> None:
        self.mirror = Mirror()

    def test_list_shows_what_is_missing_as_removed(self) -> None:
        """Guards against an endpoint that is kept although a watch missed its removal."""
        self.mirror.apply_list("k", [StoredItem("a", 3, 1), StoredItem("b", 4, 1)], 5, 0.0)
        updates = self.mirror.apply_list("k", [StoredItem("a", 3, 1)], 9, 0.0)
        self.assertEqual([(e.item.name, e.is_deleted) for e in updates], [("b", True)])

    def test_stale_list_removes_and_reverts_nothing(self) -> None:
        """Guards against a list that arrives after newer changes and undoes them."""
        self.mirror.apply_events("k", [a_change("a", 8)], 8, 0.0)
        updates = self.mirror.apply_list("k", [StoredItem("b", 2, 1)], 5, 0.0)
        self.assertEqual([e.item.name for e in updates], ["b"])
        self.assertEqual(self.mirror.apply_events("k", [a_change("a", 7)], 7, 0.0), [])

    def test_removal_with_the_revision_of_the_last_change_reaches_followers(self) -> None:
        """Guards against a removal that a follower misses.

        The removal carries the revision of the object's last change, which the follower already
        knows.
        """
        self.mirror.apply_events("k", [a_change("a", 3)], 3, 0.0)
        self.mirror.apply_events("k", [], 6, 0.0)
        since = self.mirror.wait("k", 0, 0.0).revision
        self.mirror.apply_events("k", [a_change("a", 3, is_deleted=True)], 7, 0.0)
        view = self.mirror.wait("k", since, 0.0)
        self.assertEqual([(e.item.name, e.is_deleted) for e in view.events], [("a", True)])

    def test_removals_of_expired_entries_are_delayed(self) -> None:
        """Guards against followers that drop all endpoints right after an outage of the store.

        Entries that expired during the outage are registered again soon after it.
        """
        self.mirror.apply_list("k", [StoredItem("a", 3, 1)], 5, 0.0)
        since = self.mirror.wait("k", 0, 0.0).revision
        self.mirror.apply_list("k", [], 9, 0.0, removals_visible_from=clock.now() + 0.4)
        view = self.mirror.wait("k", since, 0.0)
        self.assertEqual((view.events, view.revision), ((), 8))
        view = self.mirror.wait("k", view.revision, 5.0)
        self.assertEqual([e.is_deleted for e in view.events], [True])

    def test_wait_ends_with_a_change(self) -> None:
        """Guards against a follower that receives a change only when its wait times out."""
        threading.Timer(0.1, self.mirror.apply_events, ("k", [a_change("a", 3)], 3, 0.0)).start()
        started = clock.now()
        self.assertEqual(len(self.mirror.wait("k", 0, 20.0).events), 1)
        self.assertLess(clock.now() - started, 10.0)

    @settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12), st.randoms())
    def test_any_order_of_two_sources_converges(self, writes: list, rng) -> None:  # type: ignore
        """Guards against routers that stay inconsistent after changes arrive in another order."""
        events = [a_change(name, n + 1, is_deleted) for n, (name, is_deleted) in enumerate(writes)]
        first, second = Mirror(), Mirror()
        first.apply_events("k", events, len(events), 0.0)
        shuffled = list(events)
        rng.shuffle(shuffled)
        for event in shuffled:
            second.apply_events("k", [event], 0, 0.0)
        final = [
            {(e.item.name, e.item.revision, e.is_deleted) for e in m.wait("k", 0, 0.0).events}
            for m in (first, second)
        ]
        self.assertEqual(final[0], final[1])
