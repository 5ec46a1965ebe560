"""Tests of `connection_memory`."""

from __future__ import annotations

import unittest

from attrs import define, evolve

from sequoiadrum.connection_memory import (
    MIN_PROGRESS_BYTES_PER_S,
    SMALL_REQUEST_BYTES,
    STALL_GRACE_S,
    ConnectionMemory,
    MemoryHolder,
    Progress,
    Usage,
)


@define(eq=False)
class _Holder(MemoryHolder):
    """A connection with a given usage."""

    name: str
    is_usage: Usage

    def usage(self, now: float) -> Usage:
        return self.is_usage


def a_usage(size: int = 100, **changes: object) -> Usage:
    """Returns the usage of a request that arrives without delay."""
    usage = Usage(size=size, missing_share=0.5, behind_s=0.0, is_droppable=True, address="a")
    return evolve(usage, **changes)


class MakeRoomTest(unittest.TestCase):
    """Callers together send more than fits."""

    def _select(self, limit: int, **usage_by_name: Usage) -> list[str]:
        """Returns the names of the connections that must go, in their order."""
        memory = ConnectionMemory(limit)
        for name, usage in usage_by_name.items():
            memory.update(_Holder(name, usage), usage.size)
        selected = memory.make_room(0, 0.0)
        self.assertLessEqual(
            memory.total(),
            max(limit, sum(u.size for u in usage_by_name.values() if not u.is_droppable)),
        )
        return [holder.name for holder, _ in selected if isinstance(holder, _Holder)]

    def test_nothing_is_dropped_while_all_fit(self) -> None:
        """Guards against slow callers that are cut in calm."""
        self.assertEqual(self._select(200, a=a_usage(behind_s=60.0), b=a_usage()), [])

    def test_stalled_request_goes_before_a_larger_one_that_arrives(self) -> None:
        """Guards against bodies that stop just short of their end and outlast sound ones."""
        stalled = a_usage(90, missing_share=0.01, behind_s=2 * STALL_GRACE_S)
        self.assertEqual(self._select(200, stalled=stalled, sound=a_usage(150)), ["stalled"])

    def test_longest_stalled_of_equal_size_goes_first(self) -> None:
        """Guards against a new request that goes before those that hold memory for long."""
        new, old = a_usage(behind_s=2.0), a_usage(behind_s=9.0)
        self.assertEqual(self._select(250, new=new, old=old, third=new), ["old"])

    def test_request_near_its_end_stays(self) -> None:
        """Guards against work that is thrown away shortly before it is done."""
        near, far = a_usage(120, missing_share=0.1), a_usage(100, missing_share=0.9)
        self.assertEqual(self._select(200, near=near, far=far), ["far"])

    def test_address_that_holds_most_loses_first(self) -> None:
        """Guards against one caller whose many connections displace those of all others."""
        crowd = {f"b{n}": a_usage(50, address="b") for n in range(4)}
        selected = self._select(260, a=a_usage(100, missing_share=1.0), **crowd)
        self.assertEqual(len(selected), 1)
        self.assertNotIn("a", selected)

    def test_running_request_stays(self) -> None:
        """Guards against a request that has run and is refused as one that has not."""
        self.assertEqual(
            self._select(50, running=a_usage(is_droppable=False), other=a_usage(10)), ["other"]
        )

    def test_released_memory_is_found(self) -> None:
        """Guards against sound callers that are dropped for memory that is free already."""
        memory = ConnectionMemory(150)
        ended, sound = _Holder("ended", a_usage()), _Holder("sound", a_usage())
        memory.update(ended, 100)
        memory.update(sound, 100)
        ended.is_usage = a_usage(0)
        self.assertEqual(memory.make_room(0, 0.0), [])
        self.assertEqual(memory.total(), 100)


class RunningShareTest(unittest.TestCase):
    """Large requests wait for their answers."""

    def test_large_requests_leave_room_for_others(self) -> None:
        """Guards against large heads of slow requests that keep all others from running."""
        memory = ConnectionMemory(1_000_000)
        self.assertTrue(memory.may_run(300_000, 200_000))
        self.assertFalse(memory.may_run(300_000, 300_000))
        self.assertTrue(memory.may_run(SMALL_REQUEST_BYTES - 1, 900_000))

    def test_single_request_runs(self) -> None:
        """Guards against a request inside the limits that is refused in calm."""
        self.assertTrue(ConnectionMemory(1_000_000).may_run(900_000, 0))


class ProgressTest(unittest.TestCase):
    """A peer sends slower than the least rate."""

    def test_one_byte_now_and_then_is_no_progress(self) -> None:
        """Guards against connections that are held by a few bytes."""
        progress = Progress(0.0)
        for second in range(1, 31):
            progress.record(10, float(second))
        self.assertGreater(progress.behind_s(30.0), 29.0)

    def test_least_rate_is_enough(self) -> None:
        """Guards against a slow caller inside the limits that is cut."""
        progress = Progress(0.0)
        for second in range(1, 31):
            progress.record(MIN_PROGRESS_BYTES_PER_S, float(second))
        self.assertEqual(progress.behind_s(30.0), 0.0)

    def test_bytes_do_not_count_in_advance(self) -> None:
        """Guards against a large first part that pays for a long pause."""
        progress = Progress(0.0)
        progress.record(4_000_000, 1.0)
        self.assertEqual(progress.behind_s(21.0), 20.0)
