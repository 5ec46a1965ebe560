"""Tests of a single ledger shard on virtual time."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from returns.result import Failure, Result, Success

from sequoiadrum._ledger_codec import MAX_STORED_RESPONSE_BYTES, EntryState, decode_head
from sequoiadrum._ledger_types import (
    Answered,
    CallKind,
    Dispatch,
    LateOutcome,
    LedgerPolicy,
    ObsoleteObject,
    ReadObject,
    Redirected,
    ShardCall,
    ShardEvent,
    WriteObject,
)
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import KeyedOutcome, KeyedState
from sequoiadrum.ledger import LedgerShard
from sequoiadrum.platform_client import PlatformFailure, StoredObject, version_in

_HEAD = "ledger/0/head"
_DONE = KeyedOutcome(KeyedState.DONE, 201, "text/plain", b"ok")


class InMemoryStore:
    """Keeps objects in memory and serves reads and conditional writes like the platform."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.epoch = 0
        """Number of restores from a copy."""
        self.writes = 0

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]]]:
        """Returns a copy of the state, to which `restore` goes back."""
        return self.version, dict(self.objects)

    def restore(self, copy: tuple[int, dict[str, tuple[int, bytes]]]) -> None:
        """Goes back to a copy; what was written since is lost, and its revisions are reused."""
        self.epoch += 1
        self.version, self.objects = copy[0], dict(copy[1])

    def execute(self, io: ReadObject | WriteObject) -> Result[StoredObject, PlatformFailure]:
        """Performs one read or write and returns its result."""
        revision, value = self.objects.get(io.name, (0, b""))
        version = version_in(self.epoch, revision)
        if isinstance(io, ReadObject):
            if not version:
                return Failure(PlatformFailure.NOT_FOUND)
            return Success(StoredObject(io.name, version, value))
        self.writes += 1
        if io.expected_version != version:
            return Failure(PlatformFailure.CONFLICT)
        self.version += 1
        self.objects[io.name] = (self.version, io.value)
        return Success(StoredObject(io.name, version_in(self.epoch, self.version), io.value))


class Router:
    """Runs shard 0 of one router against a store."""

    def __init__(self, store: InMemoryStore, name: str = "r1", **policy: Any) -> None:
        self.store = store
        self.dead_routers: set[str] = set()
        self.now = 100.0
        self.now_ms = 1_000_000_000
        self.attempts = itertools.count(1)
        ids = itertools.count(1)
        self.shard = LedgerShard(
            0,
            name,
            1,
            LedgerPolicy(**policy),
            new_id=lambda: f"{name}-{next(ids)}",
            is_gone=lambda router, _: router in self.dead_routers,
            should_own=lambda: True,
        )
        self.name = name

    def call(self, key: str, kind: CallKind = CallKind.RUN, **values: Any) -> ShardCall:
        """Submits a call; `values` replace the defaults of its fields."""
        defaults: dict[str, Any] = {
            "attempt": f"{self.name}-attempt-{next(self.attempts)}",
            "fingerprint": "f",
            "issued_at_ms": self.now_ms,
            "deadline": self.now + 10,
        }
        call = ShardCall(kind, f"{int(key):016x}", **{**defaults, **values})
        self.shard.submit(call, self.now, self.now_ms)
        return call

    def pump(self) -> list[ShardEvent]:
        """Performs reads and writes until none is due; returns the events."""
        while (due := self.shard.next_due()) is not None:
            self.now = max(self.now, due)
            io = self.shard.next_io(self.now, self.now_ms)
            assert io is not None
            self.shard.io_done(self.store.execute(io), self.now)
        return self.shard.take_events()

    def run(self, key: str, outcome: KeyedOutcome = _DONE, **values: Any) -> list[ShardEvent]:
        """Submits a call and finishes it with `outcome` if it is dispatched; returns the events."""
        call = self.call(key, **values)
        events = self.pump()
        if any(isinstance(e, Dispatch) and e.gate.try_send(self.now) for e in events):
            self.shard.finish(call.key, call.attempt, outcome, self.now)
            events += self.pump()
        return events

    def io(self) -> ReadObject | WriteObject:
        """Returns the next read or write, without performing it."""
        self.now = max(self.now, self.shard.next_due() or 0.0)
        io = self.shard.next_io(self.now, self.now_ms)
        assert io is not None
        return io

    def complete_io(self, result: Result[StoredObject, PlatformFailure]) -> None:
        """Passes the result of the read or write to the shard."""
        self.shard.io_done(result, self.now)


def outcomes(events: list[ShardEvent]) -> list[KeyedOutcome]:
    """Returns the outcomes that calls received."""
    return [event.outcome for event in events if isinstance(event, Answered)]


def states(events: list[ShardEvent]) -> list[KeyedState]:
    """Returns the states of the outcomes that calls received."""
    return [outcome.state for outcome in outcomes(events)]


def reason(events: list[ShardEvent]) -> RefusalReason:
    """Returns the refusal reason of the only outcome."""
    (outcome,) = outcomes(events)
    assert outcome.refusal is not None
    return outcome.refusal.reason


def dispatched(events: list[ShardEvent]) -> list[str]:
    """Returns the attempts that are to be sent."""
    return [event.call.attempt for event in events if isinstance(event, Dispatch)]


_RESPONSE_LOST: Failure[PlatformFailure] = Failure(PlatformFailure.UNKNOWN)
_PLATFORM_DOWN: Failure[PlatformFailure] = Failure(PlatformFailure.UNREACHABLE)


class LedgerShardTest(unittest.TestCase):
    """One shard on one or two routers, with lost responses, takeovers and deadlines."""

    def setUp(self) -> None:
        self.store = InMemoryStore()
        self.router = Router(self.store)

    def test_claim_is_stored_before_dispatch(self) -> None:
        """Guards against sending a request before its claim is stored."""
        call = self.router.call("1")
        self.router.complete_io(self.store.execute(self.router.io()))
        write = self.router.io()
        self.assertEqual(self.router.shard.take_events(), [])
        entry = decode_head(write.value).entries_by_key[call.key]  # type: ignore[union-attr]
        self.assertEqual((entry.attempt, entry.state), (call.attempt, EntryState.CLAIMED))
        self.router.complete_io(self.store.execute(write))
        self.assertEqual(dispatched(self.router.shard.take_events()), [call.attempt])

    def test_values_of_earlier_versions(self) -> None:
        """Guards against keys that run again because a new version cannot read the old format."""
        self.assertEqual(outcomes(self.router.run("1")), [_DONE])
        version, value = self.store.objects[_HEAD]
        self.store.objects[_HEAD] = (version, decode_head(value).dump())
        later = Router(self.store, "r2")
        later.dead_routers = {"r1"}
        self.assertEqual(outcomes(later.run("1")), [_DONE])
        with self.assertRaises(ValueError):
            decode_head(value[:-8])

    def test_repeated_key_gets_the_stored_answer(self) -> None:
        """Guards against a second dispatch of a finished key, by the same owner or a later one."""
        self.assertEqual(outcomes(self.router.run("1")), [_DONE])
        self.assertEqual(outcomes(self.router.run("1")), [_DONE])
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        self.assertEqual(outcomes(other.run("1")), [_DONE])

    def test_repeated_key_waits_for_the_running_call(self) -> None:
        """Guards against dispatching a key again while its first call is in flight."""
        call = self.router.call("1")
        self.router.pump()
        self.router.call("1")
        self.assertEqual(self.router.pump(), [])
        self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        self.assertEqual(outcomes(self.router.pump()), [_DONE, _DONE])

    def test_key_with_another_body_is_refused(self) -> None:
        """Guards against answering a request with the response to a different one."""
        self.router.call("1")
        self.router.pump()
        self.assertIs(reason(self.router.run("1", fingerprint="g")), RefusalReason.KEY_REUSED)

    def test_calls_share_writes(self) -> None:
        """Guards against one platform write for each call."""
        self.router.run("0")
        before = self.store.writes
        calls = [self.router.call(str(number)) for number in range(1, 51)]
        self.assertEqual(len(dispatched(self.router.pump())), 50)
        for call in calls:
            self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        self.assertEqual(len(outcomes(self.router.pump())), 50)
        self.assertEqual(self.store.writes - before, 2)

    def test_answers_wait_for_their_own_write(self) -> None:
        """Guards against an outcome that is reported before its change is stored.

        It could happen to a change that does not fit into the batch of the write in flight.
        """
        router = Router(self.store, batch_bytes=1)
        router.run("0")
        for key in ("1", "2"):
            router.call(key, CallKind.CANCEL, attempt=f"late-{key}", fingerprint="")
        outcome_counts = []
        for _ in range(2):
            router.complete_io(self.store.execute(router.io()))
            outcome_counts.append(len(outcomes(router.shard.take_events())))
        self.assertEqual(outcome_counts, [1, 1])

    def test_lost_answer_of_a_write_that_took_effect(self) -> None:
        """Guards against treating a write whose response was lost as failed."""
        call = self.router.call("1")
        self.router.complete_io(self.store.execute(self.router.io()))
        self.store.execute(self.router.io())
        self.router.complete_io(_RESPONSE_LOST)
        self.assertEqual(dispatched(self.router.shard.take_events()), [])
        self.assertEqual(dispatched(self.router.pump()), [call.attempt])

    def test_write_that_takes_effect_after_it_was_looked_up(self) -> None:
        """Guards against losing a delayed write that takes effect after the owner read the head."""
        call = self.router.call("1")
        self.router.complete_io(self.store.execute(self.router.io()))
        delayed = self.router.io()
        self.router.complete_io(_RESPONSE_LOST)
        self.router.complete_io(self.store.execute(self.router.io()))
        retried_write = self.router.io()
        self.assertEqual(retried_write, delayed)
        self.store.execute(delayed)
        self.router.complete_io(self.store.execute(retried_write))
        self.assertEqual(dispatched(self.router.pump()), [call.attempt])

    def test_deadline_before_the_claim_is_stored(self) -> None:
        """Guards against sending a call after it was reported as not run."""
        call = self.router.call("1")
        self.router.complete_io(self.store.execute(self.router.io()))
        write = self.router.io()
        self.router.now = call.deadline
        self.router.shard.tick(self.router.now)
        self.assertEqual(states(self.router.shard.take_events()), [KeyedState.NOT_RUN])
        self.router.complete_io(self.store.execute(write))
        self.assertEqual(self.router.pump(), [])
        (entry,) = decode_head(self.store.objects[_HEAD][1]).entries_by_key.values()
        self.assertEqual(entry.cancelled, (call.attempt,))

    def test_gate_after_the_deadline(self) -> None:
        """Guards against a late send by a process that was paused between claim and dispatch."""
        call = self.router.call("1")
        (event,) = self.router.pump()
        assert isinstance(event, Dispatch)
        self.assertFalse(event.gate.try_send(call.deadline))
        self.assertTrue(event.gate.try_cancel())

    def test_deadline_of_a_running_call(self) -> None:
        """Guards against "not run" for a call that was sent, and against losing its response."""
        call = self.router.call("1")
        (event,) = self.router.pump()
        assert isinstance(event, Dispatch)
        self.assertTrue(event.gate.try_send(self.router.now))
        self.router.now = call.deadline
        self.router.shard.tick(self.router.now)
        self.assertEqual(states(self.router.pump()), [KeyedState.UNKNOWN])
        self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        self.router.pump()
        self.assertEqual(outcomes(self.router.run("1")), [_DONE])

    def test_cancel_that_overtakes_its_call(self) -> None:
        """Guards against running a delayed forwarded request that was reported as not run."""
        self.router.call("1", CallKind.CANCEL, attempt="late", fingerprint="")
        self.assertEqual(states(self.router.pump()), [KeyedState.NOT_RUN])
        events = self.router.run("1", KeyedOutcome(KeyedState.NOT_RUN))
        self.assertEqual(len(dispatched(events)), 1)
        events = self.router.run("1", attempt="late")
        self.assertEqual((dispatched(events), states(events)), ([], [KeyedState.NOT_RUN]))
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        self.assertEqual(dispatched(other.run("1", attempt="late")), [])

    def test_cancel_of_a_sent_call_waits(self) -> None:
        """Guards against reporting a forwarded call as not run although it was sent."""
        call = self.router.call("1")
        (event,) = self.router.pump()
        assert isinstance(event, Dispatch)
        event.gate.try_send(self.router.now)
        self.router.call("1", CallKind.CANCEL, attempt=call.attempt)
        self.assertEqual(self.router.pump(), [])
        self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        self.assertEqual(outcomes(self.router.pump()), [_DONE, _DONE])

    def test_paused_former_owner(self) -> None:
        """Guards against a second dispatch by an owner that was paused during a takeover."""
        self.router.run("1")
        call = self.router.call("2")
        write = self.router.io()
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        self.assertEqual(len(dispatched(other.run("2"))), 1)
        self.router.complete_io(self.store.execute(write))
        self.assertEqual(self.router.pump(), [Redirected(call, "r2")])
        self.assertFalse(self.router.shard.held)

    def test_live_owner_keeps_its_shard(self) -> None:
        """Guards against shards that change owner whenever the ranking of the routers changes."""
        self.router.run("1")
        other = Router(self.store, "r2")
        call = other.call("2")
        self.assertEqual(other.pump(), [Redirected(call, "r1")])

    def test_claim_of_a_dead_owner(self) -> None:
        """Guards against rerunning, or reporting as not run, what a dead owner may have sent."""
        call = self.router.call("1")
        (event,) = self.router.pump()
        assert isinstance(event, Dispatch)
        event.gate.try_send(self.router.now)
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        self.assertEqual(states(other.run("1")), [KeyedState.UNKNOWN])
        self.router.call("2")
        self.router.pump()
        self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        events = self.router.pump()
        self.assertEqual(outcomes(events), [_DONE])
        (late,) = (e for e in events if isinstance(e, LateOutcome))
        self.assertEqual(late.owner, "r2")
        other.shard.record(late.key, late.attempt, late.outcome, other.now)
        other.pump()
        self.assertEqual(outcomes(other.run("1")), [_DONE])

    def test_status_of_a_stale_owner(self) -> None:
        """Guards against "not run" from the outdated state of an owner that has lost its shard."""
        self.router.run("1")
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        other.run("2")
        call = self.router.call("2", CallKind.STATUS)
        self.assertEqual(self.router.pump(), [Redirected(call, "r2")])

    def test_platform_down(self) -> None:
        """Guards against calls that hang in an outage, and against losing known outcomes."""
        self.router.run("1")
        self.router.call("2")
        self.router.io()
        self.router.complete_io(_PLATFORM_DOWN)
        events = self.router.shard.take_events()
        self.assertIs(reason(events), RefusalReason.LEDGER_UNAVAILABLE)
        self.assertEqual(states(events), [KeyedState.NOT_RUN])
        self.router.call("1")
        self.assertEqual(outcomes(self.router.shard.take_events()), [_DONE])
        self.assertEqual(len(dispatched(self.router.run("2"))), 1)

    def test_too_many_calls(self) -> None:
        """Guards against an unbounded queue when the platform is slow."""
        router = Router(self.store, max_pending=3)
        for number in range(3):
            router.call(str(number))
        router.call("9")
        self.assertIs(reason(router.shard.take_events()), RefusalReason.LEDGER_BUSY)
        router.call("1", CallKind.CANCEL, attempt="r1-attempt-2")
        self.assertEqual(states(router.shard.take_events()), [KeyedState.UNKNOWN])

    def test_segments(self) -> None:
        """Guards against stored objects that grow with the number of keys, and lost old keys."""
        self.router = Router(self.store, segment_limit_bytes=190_000)
        self.router.run("0", issued_at_ms=self.router.now_ms - 1)
        for first in range(1, 3_000, 100):
            calls = [self.router.call(str(n)) for n in range(first, first + 100)]
            self.router.pump()
            for call in calls:
                self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
            self.router.pump()
        sizes = {name: len(value) for name, (_, value) in self.store.objects.items()}
        self.assertLess(sizes[_HEAD], 65_000)
        self.assertLess(max(sizes.values()), 200_000)
        self.assertEqual(len(decode_head(self.store.objects[_HEAD][1]).segments), 2)
        other = Router(self.store, "r2")
        other.dead_routers = {"r1"}
        for router in (self.router, other):
            for key in ("0", "7", "2999"):
                events = router.run(key)
                self.assertEqual((dispatched(events), outcomes(events)), ([], [_DONE]), key)

    def test_expiry(self) -> None:
        """Guards against a ledger that grows without bound, and against running an expired key."""
        router = Router(
            self.store,
            retention_ms=1_000,
            clock_slack_ms=500,
            head_limit_bytes=600,
            segment_limit_bytes=0,
        )
        for number in range(20):
            router.run(str(number))
        segments = [name for name in self.store.objects if name != _HEAD]
        self.assertTrue(segments)
        issued_at_ms = router.now_ms
        router.now_ms += 1_400
        self.assertIs(reason(router.run("1", issued_at_ms=issued_at_ms)), RefusalReason.KEY_EXPIRED)
        router.now_ms += 200
        events = router.run("99")
        self.assertEqual({e.name for e in events if isinstance(e, ObsoleteObject)}, set(segments))
        head = decode_head(self.store.objects[_HEAD][1])
        self.assertEqual((len(head.entries_by_key), head.segments), (1, ()))

    def test_release(self) -> None:
        """Guards against a graceful shutdown that leaves the stopped router recorded as owner."""
        call = self.router.call("1")
        self.router.pump()
        self.router.shard.release()
        self.router.shard.finish(call.key, call.attempt, _DONE, self.router.now)
        self.assertEqual(outcomes(self.router.pump()), [_DONE])
        self.assertFalse(self.router.shard.held)
        other = Router(self.store, "r2")
        self.assertEqual(outcomes(other.run("1")), [_DONE])
        self.assertEqual(len(dispatched(other.run("2"))), 1)

    def test_long_answer_is_not_kept(self) -> None:
        """Guards against oversized heads, and against a truncated response reported as complete."""
        body = b"x" * (MAX_STORED_RESPONSE_BYTES + 1)
        response = KeyedOutcome(KeyedState.DONE, 200, "text/plain", body)
        self.assertEqual(outcomes(self.router.run("1", response)), [response])
        (retried,) = outcomes(self.router.run("1"))
        assert retried.refusal is not None
        self.assertIs(retried.state, KeyedState.UNKNOWN)
        self.assertIs(retried.refusal.ran, True)
