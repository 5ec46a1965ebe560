"""The task that runs the ledger shards of a router and dispatches their keyed calls."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from concurrent.futures import Executor
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import structlog
from attrs import define, frozen
from returns.result import Failure, Result

from sequoiadrum._ledger_codec import not_run, unknown
from sequoiadrum._ledger_types import (
    Answered,
    CallKind,
    Dispatch,
    KeyName,
    LateOutcome,
    LedgerPolicy,
    ObsoleteObject,
    ReadObject,
    Redirected,
    ShardCall,
)
from sequoiadrum.clock import Clock
from sequoiadrum.errors import RefusalReason
from sequoiadrum.hashing import first_ranked
from sequoiadrum.ledger import LedgerShard
from sequoiadrum.messages import MemberState
from sequoiadrum.platform_client import PlatformFailure
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.tasks import Ask, MailboxFullError, Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum._ledger_dispatch import Dispatcher
    from sequoiadrum._ledger_types import SendGate, ShardEvent, ShardIo
    from sequoiadrum.interfaces import KeyedCall, KeyedOutcome
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.platform_client import PlatformClient, StoredObject
    from sequoiadrum.timers import TimerService

TICK_S: Final = 0.05
_IO_THREADS: Final = 16
_DISPATCH_THREADS: Final = 64
_MAX_TRACKED_ATTEMPTS: Final = 20_000
"""Attempts of which the call is remembered, so that their late outcomes can be reported."""
_MEMBERSHIP_SETTLE_S: Final = 5.0
"""Time after the start during which an owner that membership does not list counts as alive.

A router that has just started may not know a live owner yet. If it took over the shard, the claims
of that owner would become `unknown`. The first exchange of members takes a second.
"""
_POST_ATTEMPTS: Final = 1_200
_POST_RETRY_DELAY_S: Final = 0.05

_log = structlog.get_logger(__name__)


@frozen
class NotOwner:
    """Reports that this router does not hold the shard and that the call had no effect here."""

    owner: str
    """Id of the router that the caller should ask; empty if it is not known."""


@define(eq=False)
class AskShard(Ask["KeyedOutcome | NotOwner"]):
    """Requests an operation of a shard: a run, a status or a cancel."""

    shard: int
    call: ShardCall
    name: KeyName
    keyed: KeyedCall | None
    """Request to run; None for a status or a cancel."""


@frozen
class _IoDone:
    """Reports the result of a read or write that a shard requested."""

    shard: int
    result: Result[StoredObject, PlatformFailure]


@frozen
class _Finished:
    """Reports the outcome of a dispatched attempt."""

    shard: int
    key: str
    attempt: str
    outcome: KeyedOutcome


@frozen
class RecordOutcome:
    """Reports the late outcome of an attempt that an earlier owner of the shard dispatched."""

    shard: int
    key: str
    attempt: str
    outcome: KeyedOutcome


@frozen
class _Due:
    """Reports that the next scheduled action of a shard is due."""

    shard: int


@frozen
class Tick:
    """Triggers the check of the deadlines of all calls; posted every `TICK_S`."""


@define(eq=False)
class _Release(Ask[bool]):
    """Requests the release of all shards; the reply says whether all of them are released."""


class LedgerTask(Task):
    """Runs all ledger shards of one router on one thread.

    `KeyedRouter` posts requests to it, and its own executors post the results of storage
    operations and of dispatched calls. Blocking work runs only on the executors.
    """

    def __init__(
        self,
        shards: int,
        policy: LedgerPolicy,
        members: MembershipSource,
        platform: PlatformClient,
        dispatcher: Dispatcher,
        timers: TimerService,
        metrics: Metrics,
        on_invariant: Callable[[], None],
        *,
        clock: Clock | None = None,
        io_pool: Executor | None = None,
        dispatch_pool: Executor | None = None,
    ) -> None:
        super().__init__("ledger", metrics, on_invariant)
        self.shard_count: Final = shards
        self.clock: Final = clock or Clock()
        self._started_at = self.clock.now()
        self._members = members
        self._platform = platform
        self._dispatcher = dispatcher
        self._timers = timers
        self._io_pool = io_pool or ReportingExecutor(_IO_THREADS, "ledger-io", metrics)
        self._dispatch_pool = dispatch_pool or ReportingExecutor(
            _DISPATCH_THREADS, "ledger-send", metrics
        )
        self._names_by_attempt: OrderedDict[str, KeyName] = OrderedDict()
        self._due_by_shard: dict[int, float] = {}
        self._owner_by_shard: dict[int, str] = {}
        process_id = members.members()[members.self_id()].process_id
        self._shards = [
            LedgerShard(
                number,
                members.self_id(),
                process_id,
                policy,
                new_id=lambda: uuid.uuid4().hex,
                is_gone=self.is_gone,
                should_own=partial(self._should_own, number),
            )
            for number in range(shards)
        ]
        metrics.gauge("ledger_shards_held", lambda: float(sum(s.held for s in self._shards)))

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            AskShard: self._ask_shard,
            RecordOutcome: self._record_outcome,
            _IoDone: self._io_done,
            _Finished: self._finished,
            _Due: self._shard_due,
            Tick: self._tick,
            _Release: self._release,
        }

    def start(self) -> None:
        """Starts the thread and the periodic `Tick` messages."""
        super().start()
        self._timers.subscribe(self, TICK_S, Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the thread and the executors; a graceful shutdown calls `drain` first."""
        super().stop(timeout_s)
        self._io_pool.shutdown(wait=False, cancel_futures=True)
        self._dispatch_pool.shutdown(wait=False, cancel_futures=True)

    def drain(self, timeout_s: float) -> bool:
        """Waits until all calls have ended and their outcomes are stored, then releases the shards.

        Returns:
            Whether all shards were released within `timeout_s`.
        """
        deadline = self.clock.now() + timeout_s
        while self.clock.now() < deadline:
            try:
                if self.clock.wait(self.ask(_Release()), deadline - self.clock.now()):
                    return True
            except (FutureTimeoutError, MailboxFullError):
                _log.warning("ledger_release_not_handled")
            self.clock.sleep(TICK_S)
        return False

    def preferred_owner(self, shard: int) -> str:
        """Returns the id of the router to ask first for a shard.

        It is the last known owner unless that router is dead or not a member; otherwise the
        router that the hash ranking of usable routers puts first. May be called from any thread.
        """
        known = self._owner_by_shard.get(shard, "")
        member = self._members.members().get(known)
        if member is not None and member.state is not MemberState.DEAD:
            return known
        return self._first_ranked(shard)

    def record_owner(self, shard: int, owner: str) -> None:
        """Records the id of the router that holds a shard; may be called from any thread."""
        self._owner_by_shard[shard] = owner

    def is_gone(self, router: str, process_id: int) -> bool:
        """Returns whether a process of a router is dead in the view of this router."""
        member = self._members.members().get(router)
        if member is None:
            return self.clock.now() - self._started_at >= _MEMBERSHIP_SETTLE_S
        return member.state is MemberState.DEAD or member.process_id != process_id

    def _should_own(self, shard: int) -> bool:
        return self._first_ranked(shard) == self._members.self_id()

    def _first_ranked(self, shard: int) -> str:
        usable = [m.id for m in self._members.members().values() if m.is_usable]
        return first_ranked(f"ledger/{shard}", usable) or self._members.self_id()

    # Message handlers

    def _ask_shard(self, ask: AskShard) -> None:
        ask.call.context = ask
        if ask.call.kind is CallKind.RUN:
            self._names_by_attempt[ask.call.attempt] = ask.name
            while len(self._names_by_attempt) > _MAX_TRACKED_ATTEMPTS:
                self._names_by_attempt.popitem(last=False)
        shard = self._shards[ask.shard]
        shard.submit(ask.call, self.clock.now(), self.clock.unix_ms())
        self._run_shard(ask.shard)

    def _record_outcome(self, message: RecordOutcome) -> None:
        shard = self._shards[message.shard]
        shard.record(message.key, message.attempt, message.outcome, self.clock.now())
        self._run_shard(message.shard)

    def _io_done(self, message: _IoDone) -> None:
        self._shards[message.shard].io_done(message.result, self.clock.now())
        self._run_shard(message.shard)

    def _finished(self, message: _Finished) -> None:
        shard = self._shards[message.shard]
        shard.finish(message.key, message.attempt, message.outcome, self.clock.now())
        self._run_shard(message.shard)

    def _shard_due(self, message: _Due) -> None:
        self._due_by_shard.pop(message.shard, None)
        self._run_shard(message.shard)

    def _tick(self, _: Tick) -> None:
        now = self.clock.now()
        for number, shard in enumerate(self._shards):
            if not shard.is_idle() or shard.next_due() is not None:
                shard.tick(now)
                self._run_shard(number)

    def _release(self, ask: _Release) -> None:
        for number, shard in enumerate(self._shards):
            shard.release()
            self._run_shard(number)
        ask.answer(all(shard.is_idle() and not shard.held for shard in self._shards))

    # Events and storage operations of the shards

    def _run_shard(self, number: int) -> None:
        """Handles the events of a shard, then starts its next read or write or schedules it."""
        shard = self._shards[number]
        now = self.clock.now()
        io = shard.next_io(now, self.clock.unix_ms())
        self._handle_events(number, shard.take_events())
        if io is not None:
            self.metrics.count("ledger_io_total", kind=type(io).__name__)
            self._io_pool.submit(self._run_io, number, io)
            return
        due = shard.next_due()
        scheduled = self._due_by_shard.get(number, now)
        if due is not None and (scheduled <= now or due < scheduled):
            self._due_by_shard[number] = due
            self._timers.schedule(self, max(0.0, due - now), _Due(number))

    def _handle_events(self, number: int, events: list[ShardEvent]) -> None:
        for event in events:
            if isinstance(event, Answered):
                event.call.context.answer(event.outcome)
            elif isinstance(event, Redirected):
                self.record_owner(number, event.owner)
                event.call.context.answer(NotOwner(event.owner))
            elif isinstance(event, Dispatch):
                self._dispatch_pool.submit(self._send, number, event.call, event.gate)
            elif isinstance(event, LateOutcome):
                self._report_late_outcome(event)
            elif isinstance(event, ObsoleteObject):
                self._io_pool.submit(self._delete, event.name)
        if self._shards[number].held:
            self.record_owner(number, self._members.self_id())

    def _report_late_outcome(self, event: LateOutcome) -> None:
        name = self._names_by_attempt.get(event.attempt)
        member = self._members.members().get(event.owner)
        if name is None or member is None or event.owner == self._members.self_id():
            return
        self.metrics.count("ledger_late_outcomes_total")
        self._dispatch_pool.submit(
            self._dispatcher.report_late_outcome,
            member.peer_address,
            name,
            event.attempt,
            event.outcome,
        )

    # Run by the executors

    def _run_io(self, number: int, io: ShardIo) -> None:
        result: Result[StoredObject, PlatformFailure] = Failure(PlatformFailure.UNKNOWN)
        try:
            if isinstance(io, ReadObject):
                result = self._platform.get(io.name)
            else:
                result = self._platform.put(io.name, io.value, io.expected_version)
        finally:
            self._post_with_retries(_IoDone(number, result))

    def _delete(self, name: str) -> None:
        found = self._platform.get(name)
        if not isinstance(found, Failure):
            self._platform.delete(name, found.unwrap().version)

    def _send(self, number: int, call: ShardCall, gate: SendGate) -> None:
        outcome: KeyedOutcome | None = None
        try:
            outcome = self._dispatcher.send(call, gate)
        finally:
            if outcome is None:
                build = not_run if gate.try_cancel() else unknown
                outcome = build(RefusalReason.INTERNAL, "the dispatch failed")
            self._post_with_retries(_Finished(number, call.key, call.attempt, outcome))

    def _post_with_retries(self, message: object) -> None:
        """Posts a result to this task, with retries while the mailbox is full.

        A shard waits for every result that it requested, so a lost result would block it.
        """
        for _ in range(_POST_ATTEMPTS):
            if self.post(message):
                return
            self.clock.sleep(_POST_RETRY_DELAY_S)
        _log.error("ledger_result_dropped", message=type(message).__name__)
