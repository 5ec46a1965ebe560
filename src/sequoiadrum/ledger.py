"""One shard of the ledger of keyed calls: claims, outcomes and ownership.

The shard performs no I/O. The task that runs it starts the read or write that `next_io` returns,
passes the result to `io_done`, and handles the events of `take_events`. See
docs/design/at-most-once.md.
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
from sequoiadrum.platform_client import epoch_and_revision

if TYPE_CHECKING:
    from collections.abc import Callable


class LedgerShard(ShardStorage):
    """State of one shard on one router, whether or not the router holds the shard."""

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
        """Creates a shard that this router does not hold.

        Args:
            number: Number of the shard.
            owner: Id of this router.
            process_id: Id of the process of this router.
            policy: Settings of the shard.
            new_id: Returns a unique id at each call.
            is_gone: Returns whether a router's process is dead in the view of this router.
            should_own: Returns whether this router should own the shard in its own view.
        """
        super().__init__(number, owner, process_id, policy, new_id)
        self.known_owner = ""
        """Owner in the last head that was read or written; empty if there was none."""
        self._is_gone = is_gone
        self._should_own = should_own
        self._events: list[ShardEvent] = []

    # Calls

    def submit(self, call: ShardCall, now: float, now_ms: int) -> None:
        """Accepts a call, which ends in an `Answered` or `Redirected` event.

        The event comes by the deadline of the call if `tick` is called regularly.
        """
        if call.issued_at_ms + self._policy.retention_ms < now_ms:
            detail = "the key is older than the retention period; nothing is said of earlier calls"
            self._refuse(call, RefusalReason.KEY_EXPIRED, detail, None)
        elif len(self._queue) + len(self._attempts_by_key) >= self._policy.max_pending:
            self._refuse(call, RefusalReason.LEDGER_BUSY, "too many calls wait", 1_000)
        else:
            self._queue.append(call)
            if self.held:
                self._process_queue(now)

    def finish(self, key: str, attempt_id: str, outcome: KeyedOutcome, now: float) -> None:
        """Applies the outcome of a dispatched attempt."""
        attempt = self._attempts_by_key.get(key)
        if attempt is not None and attempt.call.attempt == attempt_id:
            self._finish_attempt(attempt, outcome, now)

    def record(self, key: str, attempt_id: str, outcome: KeyedOutcome, now: float) -> None:
        """Records the late outcome of an attempt that an earlier owner dispatched.

        It replaces only an unknown outcome of the same attempt.
        """
        buffer = self._buffer
        entry = buffer.pending_by_key.get(key) or buffer.head.entries_by_key.get(key)
        if not self.held or entry is None or entry.attempt != attempt_id:
            return
        if entry.state is EntryState.UNKNOWN and outcome.state is not KeyedState.UNKNOWN:
            buffer.put(entry.finished(outcome))

    def tick(self, now: float) -> None:
        """Answers calls whose deadline has passed."""
        for call in [c for c in self._queue if c.deadline <= now]:
            self._queue.remove(call)
            self._answer(call, _timeout_outcome(call))
        for attempt in list(self._attempts_by_key.values()):
            self._expire_attempt(attempt, now)
        write = self._buffer.write
        for unconfirmed in (self._buffer.unconfirmed, *([write.waiters] if write else ())):
            for expired in [w for w in unconfirmed if w[0].deadline <= now]:
                unconfirmed.remove(expired)
                self._answer_unconfirmed(*expired)

    def release(self) -> None:
        """Refuses new keys from now on and releases the shard once its calls have ended."""
        self._is_releasing = True

    def take_events(self) -> list[ShardEvent]:
        """Removes and returns the pending events, in the order in which they must be handled."""
        events, self._events = self._events, []
        return events

    def is_idle(self) -> bool:
        """Returns whether no call is in progress and every outcome is stored."""
        buffer = self._buffer
        calls = self._queue or self._attempts_by_key or buffer.unconfirmed
        return not (calls or buffer.pending_by_key or buffer.write)

    # Ownership

    def _unheld_head_read(self, head: Head, version: int, now: float) -> None:
        """Takes the shard over, or redirects the queued calls to its owner."""
        self.known_owner = head.owner
        holder = (head.owner, head.owner_process)
        if head.owner and holder != self._identity and not self._is_gone(*holder):
            self._redirect_queue(head.owner)
            return
        if not self._queue:
            return
        if not self._should_own() or self._is_releasing:
            self._redirect_queue("")
            return
        self._is_taking_over = True
        self._buffer.version = version
        unknown_before_ms = head.unknown_before_ms
        if epoch_and_revision(version)[0] > head.platform_epoch:
            # Its owner has written nothing since the platform was restored: what it had written
            # after the copy was made is lost.
            unknown_before_ms = round(now * 1e3 + self._clock_offset_ms)
        self._buffer.head = evolve(
            head,
            epoch=head.epoch + 1,
            unknown_before_ms=unknown_before_ms,
            entries_by_key={
                k: self._resolve_orphaned_claim(e) for k, e in head.entries_by_key.items()
            },
        )
        self._process_queue(now)

    def _resolve_orphaned_claim(self, entry: Entry) -> Entry:
        """Returns the entry to keep at a takeover.

        A claim of another process becomes unknown, because its request may have been sent.
        """
        attempt = self._attempts_by_key.get(entry.key)
        is_own = attempt is not None and attempt.entry.attempt == entry.attempt
        if entry.state is EntryState.CLAIMED and not is_own:
            return evolve(entry, state=EntryState.UNKNOWN)
        return entry

    def _redirect_queue(self, owner: str) -> None:
        queue, self._queue = self._queue, []
        self._events += [Redirected(call, owner) for call in queue]

    def _ownership_lost(self, head: Head) -> None:
        """Stops holding a shard that another router has taken over.

        Calls whose outcome is unconfirmed are queued again unless they have run. Known outcomes
        are reported to the new owner. Attempts that have not been sent are cancelled.
        """
        buffer = self._buffer
        write = buffer.write
        durable = write is not None and write.write_id in head.recent_write_ids
        changes = {**(write.changes_by_key if write else {}), **buffer.pending_by_key}
        unconfirmed = [*(write.waiters if write else ()), *buffer.unconfirmed]
        self._events += [ObsoleteObject(name) for name in buffer.clear(head)]
        self.held = self._is_taking_over = False
        self._segment_to_load = ""
        for call, outcome in unconfirmed:
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
                self._abandon_claim(attempt, head.owner, claimed)

    def _abandon_claim(self, attempt: Attempt, new_owner: str, claimed: bool) -> None:
        if not claimed:
            self._queue += attempt.waiters
            return
        outcome = not_run(RefusalReason.LEDGER_UNAVAILABLE, "the shard was taken over")
        self._answer_all(attempt, outcome)
        entry = attempt.entry
        self._events.append(LateOutcome(new_owner, entry.key, entry.attempt, outcome))

    # Decisions

    def _process_queue(self, now: float) -> None:
        """Processes the queued calls; those that need a segment stay queued until it is loaded."""
        queue, self._queue = self._queue, []
        for call in queue:
            attempt = self._attempts_by_key.get(call.key)
            if attempt is not None:
                self._join_attempt(attempt, call, now)
                continue
            found = self._buffer.find(call.key, call.issued_at_ms)
            if isinstance(found, SegmentRef):
                self._segment_to_load = found.name
                self._queue.append(call)
            else:
                self._resolve(call, found, now)

    def _join_attempt(self, attempt: Attempt, call: ShardCall, now: float) -> None:
        """Handles a call whose key already has an attempt in this process."""
        if call.kind is CallKind.RUN and call.fingerprint != attempt.entry.fingerprint:
            self._answer(call, _key_reused_outcome())
        elif call.kind is CallKind.STATUS:
            self._answer(call, KeyedOutcome(KeyedState.RUNNING))
        else:
            attempt.waiters.append(call)
            cancels = call.kind is CallKind.CANCEL and call.attempt == attempt.call.attempt
            if cancels and attempt.gate.try_cancel():
                self._finish_attempt(attempt, _cancelled_outcome(), now)

    def _resolve(self, call: ShardCall, entry: Entry | None, now: float) -> None:
        """Answers a call from the stored entry, or starts an attempt."""
        is_run = call.kind is CallKind.RUN
        if is_run and entry and entry.fingerprint not in ("", call.fingerprint):
            self._answer(call, _key_reused_outcome())
            return
        if entry is not None and entry.state is not EntryState.NOT_RUN:
            self._answer(call, entry.outcome())
            return
        cancelled = entry.cancelled if entry is not None else ()
        is_lost = call.issued_at_ms <= self._buffer.head.unknown_before_ms
        if is_lost and call.attempt not in cancelled:
            detail = "the records of calls from before a restore of the platform may be lost"
            self._answer(call, unknown(RefusalReason.LEDGER_UNAVAILABLE, detail))
        elif call.kind is CallKind.STATUS:
            detail = "no call with this key has run"
            self._buffer.unconfirmed.append((call, not_run(RefusalReason.NOT_FOUND, detail)))
        elif call.attempt in cancelled:
            self._answer(call, _cancelled_outcome())
        elif len(cancelled) >= MAX_CANCELLED or self._buffer.is_full:
            self._refuse(call, RefusalReason.LEDGER_BUSY, "the ledger is full", 60_000)
        elif self._is_releasing:
            self._refuse(call, RefusalReason.STOPPING, "the router is stopping", 1_000)
        elif is_run:
            self._claim(call, cancelled, now)
        else:
            self._store_early_cancel(call, entry, now)

    def _store_early_cancel(self, call: ShardCall, known: Entry | None, now: float) -> None:
        """Records that an attempt must never run although its request has not arrived."""
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
        self._buffer.unconfirmed.append((call, _cancelled_outcome()))

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

    def _expire_attempt(self, attempt: Attempt, now: float) -> None:
        if attempt.call.deadline <= now and attempt.gate.try_cancel():
            self._finish_attempt(
                attempt, not_run(RefusalReason.DEADLINE, "not sent by the deadline"), now
            )
            return
        for call in [c for c in attempt.waiters if c.deadline <= now]:
            attempt.waiters.remove(call)
            if call.kind is CallKind.CANCEL:
                self._answer(call, KeyedOutcome(KeyedState.RUNNING))
                continue
            self._answer(call, unknown(RefusalReason.DEADLINE, "the call is still running"))

    def _finish_attempt(self, attempt: Attempt, outcome: KeyedOutcome, now: float) -> None:
        """Answers the calls of an attempt and records its outcome if its claim may be stored."""
        entry = attempt.entry
        buffer = self._buffer
        del self._attempts_by_key[entry.key]
        if outcome.state is KeyedState.DONE and self.held:
            # Reported only once it is stored, so that every retry gets the same response.
            buffer.unconfirmed += [(call, outcome) for call in attempt.waiters]
            attempt.waiters = []
        self._answer_all(attempt, outcome)
        is_being_written = (
            buffer.write is not None and buffer.write.changes_by_key.get(entry.key) is entry
        )
        if attempt.committed and not (self.held or self._is_taking_over):
            late = LateOutcome(self.known_owner, entry.key, entry.attempt, outcome)
            self._events.append(late)
        elif attempt.committed or is_being_written:
            buffer.put(entry.finished(outcome))
        elif buffer.pending_by_key.get(entry.key) is entry:
            del buffer.pending_by_key[entry.key]

    def _refuse_undispatched(self, now: float) -> None:
        detail = "the ledger is out of reach; nothing is said of earlier calls with this key"
        outcome = not_run(RefusalReason.LEDGER_UNAVAILABLE, detail)
        for call in self._queue:
            self._answer(call, outcome if call.kind is CallKind.RUN else _timeout_outcome(call))
        for item in self._buffer.unconfirmed:
            self._answer_unconfirmed(*item)
        self._queue, self._buffer.unconfirmed = [], []
        self._segment_to_load = ""
        for attempt in list(self._attempts_by_key.values()):
            if not attempt.committed and attempt.gate.try_cancel():
                self._finish_attempt(attempt, outcome, now)
        if self._is_taking_over and self._buffer.write is None:
            self._is_taking_over = False
            self._events += [ObsoleteObject(name) for name in self._buffer.clear(Head())]

    # Commit

    def _ownership_confirmed(self) -> None:
        # A call that arrived after the read was issued is confirmed by the next read or write.
        for item in self._awaiting_read:
            if item in self._buffer.unconfirmed:
                self._buffer.unconfirmed.remove(item)
                self._answer(*item)

    def _write_committed(self, version: int, now: float) -> None:
        write = self._buffer.write
        assert write is not None
        self._reset_backoff()
        self._events += [ObsoleteObject(name) for name in self._buffer.mark_committed(version)]
        self._must_read_head = self._is_taking_over = False
        self.held = bool(write.head.owner)
        self.known_owner = write.head.owner
        for entry in write.changes_by_key.values():
            if entry.state is EntryState.CLAIMED:
                self._claim_stored(entry, now)
        for call, outcome in write.waiters:
            self._answer(call, outcome)
        if self.held:
            self._process_queue(now)

    def _claim_stored(self, entry: Entry, now: float) -> None:
        attempt = self._attempts_by_key.get(entry.key)
        if attempt is None or attempt.entry is not entry:
            # The attempt ended while its claim was written; its outcome is in the pending changes.
            return
        attempt.committed = True
        if attempt.call.deadline <= now:
            self._expire_attempt(attempt, now)
        else:
            self._events.append(Dispatch(attempt.call, attempt.gate))

    def _refuse(
        self, call: ShardCall, reason: RefusalReason, detail: str, retry_after_ms: int | None
    ) -> None:
        # A status or cancel call must not be answered "not run" if its key could not be looked up.
        is_run = call.kind is CallKind.RUN
        self._answer(
            call, not_run(reason, detail, retry_after_ms) if is_run else unknown(reason, detail)
        )

    def _answer(self, call: ShardCall, outcome: KeyedOutcome) -> None:
        self._events.append(Answered(call, outcome))

    def _answer_unconfirmed(self, call: ShardCall, outcome: KeyedOutcome) -> None:
        """Answers a call whose outcome is unconfirmed: only `DONE` is certain without a commit."""
        is_done = outcome.state is KeyedState.DONE
        self._answer(call, outcome if is_done else _timeout_outcome(call))

    def _answer_all(self, attempt: Attempt, outcome: KeyedOutcome) -> None:
        waiters, attempt.waiters = attempt.waiters, []
        for call in waiters:
            self._answer(call, outcome)


def _key_reused_outcome() -> KeyedOutcome:
    return not_run(RefusalReason.KEY_REUSED, "the key was used with another request", None)


def _cancelled_outcome() -> KeyedOutcome:
    return not_run(RefusalReason.CANCELLED, "the call was given up before it was sent")


def _timeout_outcome(call: ShardCall) -> KeyedOutcome:
    if call.kind is CallKind.RUN:
        detail = "the ledger did not answer in time; nothing is said of earlier calls with this key"
        return not_run(RefusalReason.DEADLINE, detail)
    return unknown(RefusalReason.LEDGER_UNAVAILABLE, "the ledger did not answer in time")
