"""One shard of the ledger of keyed calls: claims, outcomes and ownership.

The shard makes no I/O. The shell asks `next_io` for the one read or write to be made, gives its
result to `io_done`, and carries out the events of `take_events`. See docs/design/at-most-once.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from sequoiadrum._ledger_codec import (
    MAX_CANCELLED,
    Entry,
    EntryState,
    Head,
    SegmentRef,
    not_run,
    unknown,
)
from sequoiadrum._ledger_storage import ShardStorage
from sequoiadrum._ledger_types import (
    Answered,
    Attempt,
    CallKind,
    Dispatch,
    LateOutcome,
    LedgerPolicy,
    ObsoleteObject,
    Redirected,
    SendGate,
    ShardCall,
    ShardEvent,
)
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import KeyedOutcome, KeyedState

if TYPE_CHECKING:
    from collections.abc import Callable


class LedgerShard(ShardStorage):
    """State of one shard on one router, whether the router holds the shard or not."""

    def __init__(
        self,
        number: int,
        owner: str,
        process_id: int,
        policy: LedgerPolicy,
        *,
        new_id: Callable[[], str],
        is_gone: Callable[[str, int], bool],
        should_own: Callable[[], bool],
    ) -> None:
        """Creates a shard that is not held.

        Args:
            number: Number of the shard.
            owner: Id of this router.
            process_id: Process of this router.
            policy: Settings.
            new_id: Gives a unique id at each call.
            is_gone: Whether a router's process is dead in this router's view.
            should_own: Whether this router's view names it as the owner.
        """
        super().__init__(number, owner, process_id, policy, new_id)
        self.known_owner = ""
        """Last owner read from the platform."""
        self._is_gone = is_gone
        self._should_own = should_own
        self._events: list[ShardEvent] = []

    # Calls

    def submit(self, call: ShardCall, now: float, now_ms: int) -> None:
        """Takes a call; its answer comes as an event, by its deadline if `tick` is called."""
        if call.issued_at_ms + self._policy.retention_ms < now_ms:
            detail = "the key is older than the retention period; nothing is said of earlier calls"
            self._refuse(call, RefusalReason.KEY_EXPIRED, detail, None)
        elif len(self._queue) + len(self._attempts_by_key) >= self._policy.max_pending:
            self._refuse(call, RefusalReason.LEDGER_BUSY, "too many calls wait", 1_000)
        else:
            self._queue.append(call)
            if self.held:
                self._decide(now)

    def finish(self, key: str, attempt_id: str, outcome: KeyedOutcome, now: float) -> None:
        """Takes the outcome of a dispatched attempt."""
        attempt = self._attempts_by_key.get(key)
        if attempt is not None and attempt.call.attempt == attempt_id:
            self._end(attempt, outcome, now)

    def record(self, key: str, attempt_id: str, outcome: KeyedOutcome, now: float) -> None:
        """Takes the late outcome of an attempt of an earlier owner."""
        buffer = self._buffer
        entry = buffer.pending_by_key.get(key) or buffer.head.entries_by_key.get(key)
        if not self.held or entry is None or entry.attempt != attempt_id:
            return
        if entry.state is EntryState.UNKNOWN and outcome.state is not KeyedState.UNKNOWN:
            buffer.put(entry.finished(outcome))

    def tick(self, now: float) -> None:
        """Answers the calls whose deadline has passed."""
        for call in [c for c in self._queue if c.deadline <= now]:
            self._queue.remove(call)
            self._answer(call, _not_known_in_time(call))
        for attempt in list(self._attempts_by_key.values()):
            self._expire(attempt, now)
        write = self._buffer.write
        for waiting in (self._buffer.waiting, *([write.waiters] if write else ())):
            for late in [w for w in waiting if w[0].deadline <= now]:
                waiting.remove(late)
                self._answer_unconfirmed(*late)

    def release(self) -> None:
        """Gives the shard up once its calls have ended; new keys are refused."""
        self._releasing = True

    def take_events(self) -> list[ShardEvent]:
        """Gives what is to be carried out, in order."""
        events, self._events = self._events, []
        return events

    def is_idle(self) -> bool:
        """Whether nothing waits and no outcome is unwritten."""
        buffer = self._buffer
        calls = self._queue or self._attempts_by_key or buffer.waiting
        return not (calls or buffer.pending_by_key or buffer.write)

    # Ownership

    def _consider(self, head: Head, version: int, now: float) -> None:
        """Takes the shard over, or sends the calls to its owner."""
        self.known_owner = head.owner
        holder = (head.owner, head.owner_process)
        if head.owner and holder != self._me and not self._is_gone(*holder):
            self._redirect_queue(head.owner)
            return
        if not self._queue:
            return
        if not self._should_own() or self._releasing:
            self._redirect_queue("")
            return
        self._taking = True
        self._buffer.version = version
        self._buffer.head = evolve(
            head,
            epoch=head.epoch + 1,
            entries_by_key={k: self._orphaned(e) for k, e in head.entries_by_key.items()},
        )
        self._decide(now)

    def _orphaned(self, entry: Entry) -> Entry:
        """A claim of another process, which may have sent its request, becomes unknown."""
        attempt = self._attempts_by_key.get(entry.key)
        is_own = attempt is not None and attempt.entry.attempt == entry.attempt
        if entry.state is EntryState.CLAIMED and not is_own:
            return evolve(entry, state=EntryState.UNKNOWN)
        return entry

    def _redirect_queue(self, owner: str) -> None:
        queue, self._queue = self._queue, []
        self._events += [Redirected(call, owner) for call in queue]

    def _lose(self, head: Head) -> None:
        """Gives up a shard that another router has taken."""
        buffer = self._buffer
        write = buffer.write
        durable = write is not None and write.write_id in head.recent_write_ids
        changes = {**(write.changes_by_key if write else {}), **buffer.pending_by_key}
        waiting = [*(write.waiters if write else ()), *buffer.waiting]
        self._events += [ObsoleteObject(name) for name in buffer.clear(head)]
        self.held = self._taking = False
        self._wanted_segment = ""
        for call, outcome in waiting:
            if outcome.state is KeyedState.DONE:
                self._answer(call, outcome)
            else:
                self._queue.append(call)
        for entry in changes.values():
            if entry.state in (EntryState.DONE, EntryState.NOT_RUN):
                late = LateOutcome(head.owner, entry.key, entry.attempt, entry.outcome())
                self._events.append(late)
        for attempt in list(self._attempts_by_key.values()):
            claimed = attempt.committed or (durable and attempt.entry.key in changes)
            if attempt.gate.try_cancel():
                del self._attempts_by_key[attempt.entry.key]
                self._give_up_claim(attempt, head.owner, claimed)

    def _give_up_claim(self, attempt: Attempt, new_owner: str, claimed: bool) -> None:
        if not claimed:
            self._queue += attempt.waiters
            return
        outcome = not_run(RefusalReason.LEDGER_UNAVAILABLE, "the shard was taken over")
        self._answer_all(attempt, outcome)
        entry = attempt.entry
        self._events.append(LateOutcome(new_owner, entry.key, entry.attempt, outcome))

    # Decisions

    def _decide(self, now: float) -> None:
        """Decides the queued calls as far as the loaded segments allow."""
        queue, self._queue = self._queue, []
        for call in queue:
            attempt = self._attempts_by_key.get(call.key)
            if attempt is not None:
                self._join(attempt, call, now)
                continue
            found = self._buffer.find(call.key, call.issued_at_ms)
            if isinstance(found, SegmentRef):
                self._wanted_segment = found.name
                self._queue.append(call)
            else:
                self._resolve(call, found, now)

    def _join(self, attempt: Attempt, call: ShardCall, now: float) -> None:
        """Decides a call whose key is being run by this process."""
        if call.kind is CallKind.RUN and call.fingerprint != attempt.entry.fingerprint:
            self._answer(call, _key_reused())
        elif call.kind is CallKind.STATUS:
            self._answer(call, KeyedOutcome(KeyedState.RUNNING))
        else:
            attempt.waiters.append(call)
            cancels = call.kind is CallKind.CANCEL and call.attempt == attempt.call.attempt
            if cancels and attempt.gate.try_cancel():
                self._end(attempt, _given_up(), now)

    def _resolve(self, call: ShardCall, entry: Entry | None, now: float) -> None:
        """Answers a call from the stored entry, or starts an attempt."""
        is_run = call.kind is CallKind.RUN
        if is_run and entry and entry.fingerprint not in ("", call.fingerprint):
            self._answer(call, _key_reused())
            return
        if entry is not None and entry.state is not EntryState.NOT_RUN:
            self._answer(call, entry.outcome())
            return
        cancelled = entry.cancelled if entry is not None else ()
        if call.kind is CallKind.STATUS:
            detail = "no call with this key has run"
            self._buffer.waiting.append((call, not_run(RefusalReason.NOT_FOUND, detail)))
        elif call.attempt in cancelled:
            self._answer(call, _given_up())
        elif len(cancelled) >= MAX_CANCELLED or self._buffer.is_full:
            self._refuse(call, RefusalReason.LEDGER_BUSY, "the ledger is full", 60_000)
        elif self._releasing:
            self._refuse(call, RefusalReason.STOPPING, "the router is stopping", 1_000)
        elif is_run:
            self._claim(call, cancelled, now)
        else:
            self._cancel_unseen(call, entry, now)

    def _cancel_unseen(self, call: ShardCall, known: Entry | None, now: float) -> None:
        """Stores that an attempt which never arrived must not be run."""
        fingerprint = known.fingerprint if known is not None else ""
        cancelled = (*(known.cancelled if known is not None else ()), call.attempt)
        entry = Entry(
            call.key,
            fingerprint,
            call.attempt,
            call.issued_at_ms,
            EntryState.NOT_RUN,
            cancelled=cancelled,
        )
        self._buffer.put(entry)
        self._buffer.waiting.append((call, _given_up()))

    def _claim(self, call: ShardCall, cancelled: tuple[str, ...], now: float) -> None:
        entry = Entry(
            call.key,
            call.fingerprint,
            call.attempt,
            call.issued_at_ms,
            EntryState.CLAIMED,
            cancelled=cancelled,
        )
        self._attempts_by_key[call.key] = Attempt(call, entry, SendGate(call.deadline), [call])
        self._buffer.put(entry)

    def _expire(self, attempt: Attempt, now: float) -> None:
        if attempt.call.deadline <= now and attempt.gate.try_cancel():
            self._end(attempt, not_run(RefusalReason.DEADLINE, "not sent by the deadline"), now)
            return
        for call in [c for c in attempt.waiters if c.deadline <= now]:
            attempt.waiters.remove(call)
            if call.kind is CallKind.CANCEL:
                self._answer(call, KeyedOutcome(KeyedState.RUNNING))
                continue
            self._answer(call, unknown(RefusalReason.DEADLINE, "the call is still running"))

    def _end(self, attempt: Attempt, outcome: KeyedOutcome, now: float) -> None:
        """Answers an attempt's callers and records its outcome if its claim may be stored."""
        entry = attempt.entry
        buffer = self._buffer
        del self._attempts_by_key[entry.key]
        if outcome.state is KeyedState.DONE and self.held:
            # Told once it is stored, so that a repeated key gets the same answer ever after.
            buffer.waiting += [(call, outcome) for call in attempt.waiters]
            attempt.waiters = []
        self._answer_all(attempt, outcome)
        under_way = buffer.write is not None and buffer.write.changes_by_key.get(entry.key) is entry
        if attempt.committed and not (self.held or self._taking):
            late = LateOutcome(self.known_owner, entry.key, entry.attempt, outcome)
            self._events.append(late)
        elif attempt.committed or under_way:
            buffer.put(entry.finished(outcome))
        elif buffer.pending_by_key.get(entry.key) is entry:
            del buffer.pending_by_key[entry.key]

    def _refuse_unsent(self, now: float) -> None:
        detail = "the ledger is out of reach; nothing is said of earlier calls with this key"
        outcome = not_run(RefusalReason.LEDGER_UNAVAILABLE, detail)
        for call in self._queue:
            self._answer(call, outcome if call.kind is CallKind.RUN else _not_known_in_time(call))
        for item in self._buffer.waiting:
            self._answer_unconfirmed(*item)
        self._queue, self._buffer.waiting = [], []
        self._wanted_segment = ""
        for attempt in list(self._attempts_by_key.values()):
            if not attempt.committed and attempt.gate.try_cancel():
                self._end(attempt, outcome, now)
        if self._taking and self._buffer.write is None:
            self._taking = False
            self._events += [ObsoleteObject(name) for name in self._buffer.clear(Head())]

    # Commit

    def _confirmed(self) -> None:
        # A call that came after the read was issued waits for the next one.
        for item in self._confirming:
            if item in self._buffer.waiting:
                self._buffer.waiting.remove(item)
                self._answer(*item)

    def _committed(self, version: int, now: float) -> None:
        write = self._buffer.write
        assert write is not None
        self._succeeded()
        self._events += [ObsoleteObject(name) for name in self._buffer.accept(version)]
        self._must_read = self._taking = False
        self.held = bool(write.head.owner)
        self.known_owner = write.head.owner
        for entry in write.changes_by_key.values():
            if entry.state is EntryState.CLAIMED:
                self._claimed(entry, now)
        for call, outcome in write.waiters:
            self._answer(call, outcome)
        if self.held:
            self._decide(now)

    def _claimed(self, entry: Entry, now: float) -> None:
        attempt = self._attempts_by_key.get(entry.key)
        if attempt is None or attempt.entry is not entry:
            # Given up while it was written, so its outcome is among the pending changes.
            return
        attempt.committed = True
        if attempt.call.deadline <= now:
            self._expire(attempt, now)
        else:
            self._events.append(Dispatch(attempt.call, attempt.gate))

    def _refuse(
        self, call: ShardCall, reason: RefusalReason, detail: str, retry_after_ms: int | None
    ) -> None:
        # A question about a key that cannot be looked up must not be answered with "not run".
        is_run = call.kind is CallKind.RUN
        self._answer(
            call, not_run(reason, detail, retry_after_ms) if is_run else unknown(reason, detail)
        )

    def _answer(self, call: ShardCall, outcome: KeyedOutcome) -> None:
        self._events.append(Answered(call, outcome))

    def _answer_unconfirmed(self, call: ShardCall, outcome: KeyedOutcome) -> None:
        """Answers a call that waited for a commit: only what has run is certain without it."""
        is_done = outcome.state is KeyedState.DONE
        self._answer(call, outcome if is_done else _not_known_in_time(call))

    def _answer_all(self, attempt: Attempt, outcome: KeyedOutcome) -> None:
        waiters, attempt.waiters = attempt.waiters, []
        for call in waiters:
            self._answer(call, outcome)


def _key_reused() -> KeyedOutcome:
    return not_run(RefusalReason.KEY_REUSED, "the key was used with another request", None)


def _given_up() -> KeyedOutcome:
    return not_run(RefusalReason.CANCELLED, "the call was given up before it was sent")


def _not_known_in_time(call: ShardCall) -> KeyedOutcome:
    if call.kind is CallKind.RUN:
        detail = "the ledger did not answer in time; nothing is said of earlier calls with this key"
        return not_run(RefusalReason.DEADLINE, detail)
    return unknown(RefusalReason.LEDGER_UNAVAILABLE, "the ledger did not answer in time")
