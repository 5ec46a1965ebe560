"""Tests of the platform's HTTP client against the stand-in server."""

from __future__ import annotations

import unittest

from returns.result import Failure, Success

from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform_client import PlatformFailure, StoredObject
from sequoiadrum.standin_platform import MAX_VALUE_BYTES, PlatformServer


class HttpPlatformClientTest(unittest.TestCase):
    """The client distinguishes the outcomes of calls."""

    def setUp(self) -> None:
        self.server = PlatformServer("127.0.0.1", 0)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.metrics = Metrics()
        address = Address("127.0.0.1", self.server.port)
        self.client = HttpPlatformClient(address, self.metrics, 5.0)
        self.addCleanup(self.client.close)

    def test_conditional_write(self) -> None:
        """Guards against a write that replaces a version that the writer has not read."""
        first = self.client.put("a/b c", b"1", 0).unwrap()
        self.assertEqual(self.client.put("a/b c", b"2", 0), Failure(PlatformFailure.CONFLICT))
        second = self.client.put("a/b c", b"2", first.version).unwrap()
        self.assertGreater(second.version, first.version)
        self.assertEqual(
            self.client.get("a/b c"), Success(StoredObject("a/b c", second.version, b"2"))
        )

    def test_lost_answer_is_unknown(self) -> None:
        """Guards against a lost response that is reported as a write without effect."""
        self.server.store.faults.lose_answers = 1
        self.assertEqual(self.client.put("a", b"1", 0), Failure(PlatformFailure.UNKNOWN))
        self.assertEqual(self.client.get("a").unwrap().value, b"1")

    def test_refusals_have_no_effect(self) -> None:
        """Guards against an outage, rate limit or size limit reported as another failure."""
        too_large = b"x" * (MAX_VALUE_BYTES + 1)
        self.assertEqual(self.client.put("a", too_large, 0), Failure(PlatformFailure.TOO_LARGE))
        self.server.store.faults.outage = True
        self.assertEqual(self.client.put("a", b"1", 0), Failure(PlatformFailure.UNREACHABLE))
        self.server.store.faults.outage = False
        self.assertEqual(self.client.get("a"), Failure(PlatformFailure.NOT_FOUND))
        limited = PlatformServer("127.0.0.1", 0, writes_per_s=0.5)
        limited.start()
        self.addCleanup(limited.stop)
        client = HttpPlatformClient(Address("127.0.0.1", limited.port), self.metrics, 5.0)
        self.addCleanup(client.close)
        self.assertEqual(client.put("a", b"1", 0), Failure(PlatformFailure.RATE_LIMITED))

    def test_watch_sees_change_and_timeout(self) -> None:
        """Guards against a watch that misses a change made before the watch started."""
        written = self.client.put("a", b"1", 0).unwrap()
        self.assertEqual(self.client.watch("a", 0, 5.0).unwrap(), written)
        self.assertIsNone(self.client.watch("a", written.version, 0.05).unwrap())

    def test_version_of_a_former_epoch_is_not_the_expected_one(self) -> None:
        """Guards against a write that replaces another router's after the platform was restored."""
        self.client.put("a", b"1", 0)
        copy = self.server.store.copy()
        lost = self.client.put("a", b"2", self.client.get("a").unwrap().version).unwrap()
        self.server.store.restore(copy)
        found = self.client.get("a").unwrap()
        again = self.client.put("a", b"3", found.version).unwrap()
        self.assertEqual(self.server.store.get("a"), (lost.version, b"3"))
        self.assertGreater(again.version, lost.version)
        conflict = Failure(PlatformFailure.CONFLICT)
        self.assertEqual(self.client.put("a", b"4", lost.version), conflict)
        self.assertEqual(self.client.delete("a", lost.version), conflict)
        self.assertEqual(self.client.list_names("a").unwrap(), [("a", again.version)])

    def test_watch_from_a_former_epoch_returns_at_once(self) -> None:
        """Guards against a watch that waits for the next change although others were lost."""
        written = self.client.put("a", b"1", 0).unwrap()
        self.server.store.restore(self.server.store.copy())
        found = self.client.watch("a", written.version, 5.0).unwrap()
        assert found is not None
        self.assertGreater(found.version, written.version)
        self.assertIsNone(self.client.watch("a", found.version, 0.05).unwrap())

    def test_counts_calls_and_failures(self) -> None:
        """Guards against platform calls that are missing from the metrics of the call budget."""
        self.client.get("missing")
        self.client.put("a", b"1", 0)
        self.assertEqual(self.metrics.value("platform_calls_total", call="get_objects"), 1)
        self.assertEqual(self.metrics.value("platform_calls_total", call="put_objects"), 1)
        self.assertEqual(self.metrics.value("platform_failures_total", reason="not_found"), 1)
