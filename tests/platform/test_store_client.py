"""Tests of `platform.store_client` against the stand-in for the store."""

from __future__ import annotations

import threading
import time
import unittest

from returns.result import Failure, Success

from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform.store_client import HttpStore
from tests.platform.store_stand_in import StoreStandIn


class HttpStoreTest(unittest.TestCase):
    """Calls of the store and their results."""

    def setUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.addCleanup(self.stand_in.stop)
        self.metrics = Metrics()
        self.store = HttpStore(self.stand_in.address, self.metrics)

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

    def test_unreadable_object_costs_only_itself(self) -> None:
        """Guards against a list or watch that fails because of an object of another writer."""
        start = self.store.list("k").unwrap().revision
        contents: dict[str, tuple[str, bytes]] = {
            "no UTF-8": ('"MARK"', b'"\xff"'),
            "too many digits": ('"MARK"', b"9" * 5_000),
            "nested too deeply": ('"MARK"', b"[" * 50_000 + b"]" * 50_000),
            "no JSON": ('"MARK"', b"nan"),
            "nested": ('"MARK"', b"[" * 40 + b"]" * 40),
            "half of a pair": ('"MARK"', b'"\\ud800"'),
        }
        for n, name in enumerate(["a", "b", "c", "d", "e"]):
            self.stand_in.put("k", name, "MARK" if n in (1, 2) else {"n": n})
        for what, (former, replacement) in contents.items():
            with self.subTest(what):
                self.stand_in.replaced_bytes = {former.encode(): replacement}
                expected = [("a", {"n": 0}), ("b", None), ("c", None), ("d", {"n": 3})]
                page = self.store.list("k").unwrap()
                self.assertEqual([(i.name, i.document) for i in page.items[:4]], expected)
                events = self.store.watch("k", start, 0.1).unwrap().events
                self.assertEqual([(e.item.name, e.item.document) for e in events[:4]], expected)
        self.assertGreaterEqual(self.metrics.value("unreadable_objects_total", kind="k"), 24)

    def test_unreadable_names_cost_only_their_objects(self) -> None:
        """Guards against a list that ends at a name which cannot be sent with the next call."""
        names = ["b\udcff", "c\ud800", "d" * 10_000, "e\n", ""]
        for name in ["a", *names, "f", "g"]:
            self.stand_in.put("k", name, 1)
        page = self.store.list("k").unwrap()
        # An empty name sorts first and is not listed, as names are listed after the empty one.
        self.assertEqual([item.name for item in page.items], ["a", "f", "g"])
        events = self.store.watch("k", 1, 0.1).unwrap().events
        self.assertEqual([event.item.name for event in events], ["a", "f", "g"])

    def test_unusable_revision_is_not_a_removal(self) -> None:
        """Guards against an object that counts as removed because its revision is malformed."""
        self.stand_in.put("k", "a", 1)
        for revision in (b"null", b"-1", b"1e400", b"9" * 400, b'"2"', b"NaN", b"true", b"[]"):
            with self.subTest(revision[:9]):
                self.stand_in.replaced_bytes = {b'"revision": 2': b'"revision": ' + revision}
                item = self.store.list("k").unwrap().items[0]
                self.assertEqual((item.name, item.document), ("a", None))
                self.assertEqual(item.revision, 0)

    def test_malformed_responses_are_failures(self) -> None:
        """Guards against an exception that ends the thread which calls the store."""
        self.stand_in.put("k", "a", 1)
        for former, replacement in (
            (b'"at": 2', b'"at": 1e999'),
            (b'"at": 2', b'"at": ' + b"9" * 400),
            (b'"at": 2', b'"at": ' + b"9" * 5_000),
            (b'"items"', b'"other"'),
            (b"{", b"[" * 100_000),
            (b"}", b""),
        ):
            with self.subTest(replacement[:20]):
                self.stand_in.replaced_bytes = {former: replacement}
                self.assertIs(self._failure(), StoreFailure.MALFORMED)
                self.assertIsInstance(self.store.watch("k", 1, 0.1), (Success, Failure))

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
