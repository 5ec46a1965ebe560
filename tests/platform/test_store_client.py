"""Tests of `platform.store_client` against the stand-in for the store."""

from __future__ import annotations

import threading
import time
import unittest

from returns.result import Failure

from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform.store_client import HttpStore
from tests.platform.store_stand_in import StoreStandIn


class HttpStoreTest(unittest.TestCase):
    """Calls of the store and their results."""

    def setUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.addCleanup(self.stand_in.stop)
        self.store = HttpStore(self.stand_in.address, Metrics())

    def _failure(self) -> StoreFailure:
        result = self.store.list("k")
        assert isinstance(result, Failure)
        return result.failure()

    def test_list_takes_all_pages(self) -> None:
        """Guards against treating endpoints beyond the first page as removed."""
        for n in range(8):
            self.stand_in.put("k", f"n{n}", {"n": n})
        page = self.store.list("k").unwrap()
        self.assertEqual([item.name for item in page.items], [f"n{n}" for n in range(8)])
        self.assertEqual(page.items[7].document, {"n": 7})

    def test_watch_gives_changes_and_removals(self) -> None:
        """Guards against a watch that misses a removal, or keeps waiting after a change."""
        start = self.store.list("k").unwrap().revision
        threading.Timer(0.1, self.stand_in.put, ("k", "a", 1)).start()
        changes = self.store.watch("k", start, 5.0).unwrap()
        self.assertEqual([(e.item.name, e.is_deleted) for e in changes.events], [("a", False)])
        self.stand_in.delete("k", "a")
        changes = self.store.watch("k", changes.revision, 5.0).unwrap()
        self.assertEqual([(e.item.name, e.is_deleted) for e in changes.events], [("a", True)])

    def test_lost_history_is_reported(self) -> None:
        """Guards against a watch that continues after missing changes."""
        self.stand_in.put("k", "a", 1)
        self.stand_in.put("k", "a", 2)
        self.stand_in.forget_history()
        result = self.store.watch("k", 1, 0.1)
        self.assertEqual(result.failure(), StoreFailure.HISTORY_GONE)

    def test_refusals_are_told_apart(self) -> None:
        """Guards against treating a refusal as an empty list."""
        for status, failure in (
            (503, StoreFailure.UNAVAILABLE),
            (429, StoreFailure.RATE_LIMITED),
            (500, StoreFailure.MALFORMED),
        ):
            with self.subTest(status):
                self.stand_in.status = status
                self.assertEqual(self._failure(), failure)

    def test_unresponsive_store_times_out_and_connection_is_not_reused(self) -> None:
        """Guards against reading a late response as the response to the next call."""
        self.stand_in.put("k", "a", 1)
        self.stand_in.is_unresponsive = True
        started = time.monotonic()
        self.assertEqual(self._failure(), StoreFailure.UNREACHABLE)
        self.assertLess(time.monotonic() - started, 5.0)
        self.stand_in.is_unresponsive = False
        self.assertEqual(len(self.store.list("k").unwrap().items), 1)
        self.assertEqual(self.store.get("k", "a").unwrap().document, 1)

    def test_create_of_an_existing_object_is_a_conflict(self) -> None:
        """Guards against a registration that fails after a restart because its object exists."""
        self.store.create("k", "a", 1).unwrap()
        self.assertEqual(self.store.create("k", "a", 2).failure(), StoreFailure.CONFLICT)
        self.store.replace("k", "a", 3).unwrap()
        self.assertEqual(self.store.get("k", "a").unwrap().document, 3)
        self.store.delete("k", "a").unwrap()
        self.assertEqual(self.store.get("k", "a").failure(), StoreFailure.NOT_FOUND)
