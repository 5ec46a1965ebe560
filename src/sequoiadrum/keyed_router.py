"""Routes keyed calls to the router that holds their ledger shard."""

from __future__ import annotations

import threading
import uuid
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure

from sequoiadrum._ledger_codec import key_hash, not_run, request_fingerprint, unknown
from sequoiadrum._ledger_types import CallKind, KeyName, ShardCall
from sequoiadrum._ledger_wire import (
    not_owner_to_wire,
    outcome_from_wire,
    reply_to_wire,
    request_from_wire,
    request_to_wire,
)
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import KeyedCalls, KeyedOutcome, KeyedState
from sequoiadrum.ledger_task import AskShard, NotOwner, RecordOutcome
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.tasks import MailboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum._gen.peer.ttypes import KeyedReply, KeyedRequest
    from sequoiadrum.interfaces import KeyedCall
    from sequoiadrum.ledger_task import LedgerTask
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.peer_client import PeerClient

_MAX_HOPS: Final = 3
"""Routers asked for one call: the preferred owner, the owner that it reports, and this router."""
_STATUS_TIMEOUT_S: Final = 2.0
_RETRY_DELAY_S: Final = 0.1
TAKEOVER_WAIT_S: Final = 4.0
"""Time that a call waits for another router to take over the shard of an unreachable owner.

Membership detects a death within 2.9 s in a fleet of 14; the takeover is two platform calls.
"""
MAX_WAITING: Final = 64
"""Calls that may wait for a takeover at the same time; each blocks the thread of its caller."""
MAX_FORWARDED: Final = 96
"""Calls forwarded by peers that may run at the same time.

Each blocks one of the 256 threads of the peer server until its outcome is known. The other threads
stay free for membership, grants and releases, and for idle connections.
"""
_REPLY_MARGIN_S: Final = 0.5
"""Time past the deadline after which the outcome counts as unknown if the task has not replied."""
_INCONCLUSIVE_REASONS: Final = (
    RefusalReason.LEDGER_BUSY,
    RefusalReason.LEDGER_UNAVAILABLE,
    RefusalReason.STOPPING,
)
"""Reasons of an unknown outcome that a later query may replace."""


@frozen
class _ReplyLost:
    """Reports that the call may have reached another router, but that its reply was lost."""


@frozen
class _NotAccepted:
    """Reports that no router accepted the call, so it was not run and is retryable."""

    detail: str


_HopResult = KeyedOutcome | NotOwner | _ReplyLost | _NotAccepted


class KeyedRouter(KeyedCalls):
    """Runs keyed calls on this router or forwards them to the owner of their shard.

    Its methods block the thread of the caller or of the peer server that calls them.
    """

    def __init__(
        self,
        task: LedgerTask,
        members: MembershipSource,
        peers: PeerClient,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._task = task
        self._members = members
        self._peers = peers
        self._clock = task.clock
        self._new_id = new_id
        self._waiting = threading.BoundedSemaphore(MAX_WAITING)
        self._forwarded = threading.BoundedSemaphore(MAX_FORWARDED)

    # KeyedCalls

    def submit(self, call: KeyedCall) -> KeyedOutcome:
        """See `KeyedCalls.submit`."""
        attempt = self._new_id()
        name = KeyName(call.service, call.account, call.key)
        outcome = self._run(name, call, attempt)
        if isinstance(outcome, _NotAccepted) and self._waiting.acquire(blocking=False):
            try:
                outcome = self._retry_until_takeover(name, call, attempt, outcome)
            finally:
                self._waiting.release()
        if isinstance(outcome, _ReplyLost):
            return self._resolve_lost_call(name, call, attempt)
        if isinstance(outcome, _NotAccepted):
            return not_run(RefusalReason.OWNER_UNREACHABLE, outcome.detail)
        return outcome

    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """See `KeyedCalls.status`."""
        name = KeyName(service, account, key)
        outcome = self._query(CallKind.STATUS, name, issued_at_ms, "", _STATUS_TIMEOUT_S)
        if isinstance(outcome, KeyedOutcome):
            return outcome
        return unknown(RefusalReason.OWNER_UNREACHABLE, "the owner of the key does not answer")

    def router_for(self, service: str, account: str, key: str) -> str:
        """See `KeyedCalls.router_for`."""
        return self._task.preferred_owner(self._shard_of(KeyName(service, account, key)))

    # Operations of `schema/peer.thrift`

    def submit_keyed(self, request: KeyedRequest) -> KeyedReply:
        """Runs a forwarded call if this router holds its shard or should take it over."""
        if not self._forwarded.acquire(blocking=False):
            detail = "too many forwarded calls at the owner"
            return self._to_reply(not_run(RefusalReason.LEDGER_BUSY, detail, 200))
        try:
            call = request_from_wire(request, self._clock.now())
            return self._to_reply(self._run_here(call, request.attempt_id))
        finally:
            self._forwarded.release()

    def keyed_status(
        self, service: str, account: str, key: str, issued_at_ms: int, cancel: bool, attempt: str
    ) -> KeyedReply:
        """Returns the state of a key; with `cancel`, the attempt is no longer dispatched."""
        kind = CallKind.CANCEL if cancel else CallKind.STATUS
        name = KeyName(service, account, key)
        return self._to_reply(
            self._query_here(kind, name, issued_at_ms, attempt, _STATUS_TIMEOUT_S / 2)
        )

    def record_outcome(
        self, service: str, account: str, key: str, attempt: str, outcome: KeyedReply
    ) -> None:
        """Records the late outcome of an attempt that an earlier owner dispatched."""
        known = outcome_from_wire(outcome)
        name = KeyName(service, account, key)
        if known is not None:
            hashed_key = key_hash(service, account, key)
            self._task.post(RecordOutcome(self._shard_of(name), hashed_key, attempt, known))

    # Routing

    def _run(
        self, name: KeyName, call: KeyedCall, attempt: str
    ) -> KeyedOutcome | _ReplyLost | _NotAccepted:
        return self._ask_owner(
            self._shard_of(name),
            lambda: self._run_here(call, attempt),
            lambda owner: self._forward(owner, call, attempt),
        )

    def _retry_until_takeover(
        self, name: KeyName, call: KeyedCall, attempt: str, outcome: _NotAccepted
    ) -> KeyedOutcome | _ReplyLost | _NotAccepted:
        """Retries a call that no router accepted.

        Ends when a router accepts it, after `TAKEOVER_WAIT_S`, or at the deadline.
        """
        self._task.metrics.count("keyed_owner_waits_total")
        until = min(call.deadline, self._clock.now() + TAKEOVER_WAIT_S)
        latest: KeyedOutcome | _ReplyLost | _NotAccepted = outcome
        while isinstance(latest, _NotAccepted) and self._clock.now() + _RETRY_DELAY_S < until:
            self._clock.sleep(_RETRY_DELAY_S)
            latest = self._run(name, call, attempt)
        return latest

    def _shard_of(self, name: KeyName) -> int:
        return int(key_hash(name.service, name.account, name.key), 16) % self._task.shard_count

    def _ask_owner(
        self, shard: int, ask_here: Callable[[], _HopResult], ask_peer: Callable[[str], _HopResult]
    ) -> KeyedOutcome | _ReplyLost | _NotAccepted:
        """Asks the preferred owner of a shard, then the owner that its reply reports.

        Ends after `_MAX_HOPS` routers, or when the preferred owner stays the same after a reply.

        Args:
            shard: Number of the shard.
            ask_here: Asks the ledger task of this router.
            ask_peer: Asks the router with the given id.
        """
        owner = self._task.preferred_owner(shard)
        for _ in range(_MAX_HOPS):
            result = ask_here() if owner == self._members.self_id() else ask_peer(owner)
            if not isinstance(result, NotOwner):
                return result
            self._task.record_owner(shard, result.owner)
            next_owner = self._task.preferred_owner(shard)
            if next_owner == owner:
                break
            owner = next_owner
        return _NotAccepted("the routers disagree on the owner")

    def _run_here(self, call: KeyedCall, attempt: str) -> KeyedOutcome | NotOwner:
        remaining_s = call.deadline - self._clock.now()
        # An earlier deadline in the ledger leaves time to return the outcome.
        deadline = call.deadline - min(0.1, 0.05 * remaining_s)
        shard_call = ShardCall(
            CallKind.RUN,
            key_hash(call.service, call.account, call.key),
            attempt,
            request_fingerprint(call),
            call.issued_at_ms,
            deadline,
        )
        name = KeyName(call.service, call.account, call.key)
        return self._ask(AskShard(self._shard_of(name), shard_call, name, call))

    def _query_here(
        self, kind: CallKind, name: KeyName, issued_at_ms: int, attempt: str, timeout_s: float
    ) -> KeyedOutcome | NotOwner:
        hashed_key = key_hash(name.service, name.account, name.key)
        deadline = self._clock.now() + timeout_s
        call = ShardCall(kind, hashed_key, attempt, "", issued_at_ms, deadline)
        return self._ask(AskShard(self._shard_of(name), call, name, None))

    def _ask(self, ask: AskShard) -> KeyedOutcome | NotOwner:
        timeout_s = ask.call.deadline - self._clock.now() + _REPLY_MARGIN_S
        try:
            return self._clock.wait(self._task.ask(ask), timeout_s)
        except FutureTimeoutError:
            return unknown(RefusalReason.DEADLINE, "the ledger did not answer in time")
        except MailboxFullError:
            if ask.call.kind is CallKind.RUN:
                return not_run(RefusalReason.LEDGER_BUSY, "the ledger is overloaded", 200)
            return unknown(RefusalReason.LEDGER_BUSY, "the ledger is overloaded")

    def _forward(self, owner: str, call: KeyedCall, attempt: str) -> _HopResult:
        remaining_s = call.deadline - self._clock.now()
        # The rest of the time is for querying the outcome if the reply is lost.
        forwarded_s = remaining_s - min(1.0, 0.2 * remaining_s)
        request = request_to_wire(call, attempt, forwarded_s)
        result = self._call_peer(owner, lambda client: client.submit_keyed(request), forwarded_s)
        if not isinstance(result, _NotAccepted):
            self._task.metrics.count("keyed_forwards_total")
        return result

    def _call_peer(
        self, owner: str, make: Callable[[Any], KeyedReply], timeout_s: float
    ) -> _HopResult:
        member = self._members.members().get(owner)
        if member is None or timeout_s <= 0:
            return _NotAccepted("the owner is not known")
        result = self._peers.call(member.peer_address, make, timeout_s)
        if isinstance(result, Failure):
            if result.failure() is PeerFailure.UNREACHABLE:
                self._members.report_unreachable(owner)
                return _NotAccepted("the owner cannot be reached")
            return _ReplyLost()
        reply = result.unwrap()
        return outcome_from_wire(reply) or NotOwner(reply.owner_id or "")

    def _query(
        self, kind: CallKind, name: KeyName, issued_at_ms: int, attempt: str, timeout_s: float
    ) -> KeyedOutcome | _ReplyLost:
        def ask_peer(owner: str) -> _HopResult:
            return self._call_peer(
                owner,
                lambda client: client.keyed_status(
                    name.service,
                    name.account,
                    name.key,
                    issued_at_ms,
                    kind is CallKind.CANCEL,
                    attempt,
                ),
                timeout_s,
            )

        outcome = self._ask_owner(
            self._shard_of(name),
            lambda: self._query_here(kind, name, issued_at_ms, attempt, timeout_s),
            ask_peer,
        )
        # A query that no router accepted leaves the state of the key unknown.
        return _ReplyLost() if isinstance(outcome, _NotAccepted) else outcome

    def _resolve_lost_call(self, name: KeyName, call: KeyedCall, attempt: str) -> KeyedOutcome:
        """Cancels a call whose reply was lost, or waits for its outcome, until the deadline."""
        while (remaining_s := call.deadline - self._clock.now()) > 0:
            timeout_s = min(_STATUS_TIMEOUT_S, remaining_s)
            outcome = self._query(CallKind.CANCEL, name, call.issued_at_ms, attempt, timeout_s)
            if isinstance(outcome, KeyedOutcome) and _is_final(outcome):
                return outcome
            self._clock.sleep(min(_RETRY_DELAY_S, remaining_s))
        return unknown(RefusalReason.OWNER_UNREACHABLE, "the answer of the owner was lost")

    def _to_reply(self, result: KeyedOutcome | NotOwner) -> KeyedReply:
        if isinstance(result, NotOwner):
            return not_owner_to_wire(result.owner)
        return reply_to_wire(result)


def _is_final(outcome: KeyedOutcome) -> bool:
    """Returns whether the outcome needs no further query."""
    if outcome.state is KeyedState.RUNNING:
        return False
    is_inconclusive = (
        outcome.refusal is not None and outcome.refusal.reason in _INCONCLUSIVE_REASONS
    )
    return outcome.state is not KeyedState.UNKNOWN or not is_inconclusive
