"""Tests of the fairness of the admission queue."""

from __future__ import annotations

import unittest

from attrs import frozen

from sequoiadrum.admission_queue import AdmissionQueue


@frozen
class Entry:
    """Queued request."""

    account: str
    number: int = 0
    priority: int = 1
    cost: float = 1.0
    deadline: float = 10.0


def drain(queue: AdmissionQueue[Entry], count: int) -> list[Entry]:
    """Takes up to `count` entries in the order of service."""
    taken = [queue.take(lambda _: True) for _ in range(count)]
    return [entry for entry in taken if entry is not None]


class AdmissionQueueTest(unittest.TestCase):
    """Tests that one account cannot delay the requests of others."""

    def test_surging_account_takes_turns(self) -> None:
        """Guards against first-come, first-served order, in which a surge delays all others."""
        queue: AdmissionQueue[Entry] = AdmissionQueue()
        for number in range(100):
            queue.push(Entry("loud", number))
        queue.push(Entry("quiet"))
        self.assertIn("quiet", [entry.account for entry in drain(queue, 2)])

    def test_shares_follow_cost(self) -> None:
        """Guards against an account that gets a larger share by sending heavier requests."""
        queue: AdmissionQueue[Entry] = AdmissionQueue()
        for number in range(60):
            queue.push(Entry("heavy", number, cost=4.0))
            queue.push(Entry("light", number))
        cost = {"heavy": 0.0, "light": 0.0}
        for entry in drain(queue, 50):
            cost[entry.account] += entry.cost
        self.assertAlmostEqual(cost["heavy"], cost["light"], delta=4.0)

    def test_overflow_displaces_the_surging_account(self) -> None:
        """Guards against accounts that are refused because another account has filled the queue."""
        queue: AdmissionQueue[Entry] = AdmissionQueue(capacity=10)
        for number in range(10):
            queue.push(Entry("loud", number))
        self.assertEqual(queue.push(Entry("quiet")), Entry("loud", 9))
        next_entry = Entry("loud", 10)
        self.assertIs(queue.push(next_entry), next_entry)
        self.assertEqual(len(queue), 10)

    def test_priority_deadline_and_blocked_heads(self) -> None:
        """Guards against a first entry that fits on no engine and blocks the entries behind it."""
        queue: AdmissionQueue[Entry] = AdmissionQueue()
        for entry in (Entry("a", priority=2), Entry("b"), Entry("c", deadline=1.0)):
            queue.push(entry)
        self.assertEqual([e.account for e in queue.expire(2.0)], ["c"])
        first = queue.take(lambda entry: entry.account != "b")
        self.assertEqual(first and first.account, "a")
        self.assertEqual([e.account for e in drain(queue, 2)], ["b"])
        self.assertEqual(len(queue), 0)
