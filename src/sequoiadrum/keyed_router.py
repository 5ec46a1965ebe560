"""Brings keyed calls to the router that holds their ledger shard."""

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
from sequoiadrum.ledger_task import AskShard, Elsewhere, RecordOutcome
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.tasks import MailboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum._gen.peer.ttypes import KeyedReply, KeyedRequest
    from sequoiadrum.interfaces import KeyedCall, MembershipSource
    from sequoiadrum.ledger_task import LedgerTask
    from sequoiadrum.peer_client import PeerClient

_MAX_HOPS: Final = 3
"""The preferred owner, the one that it names, and this router."""
_STATUS_TIMEOUT_S: Final = 2.0
_RETRY_PAUSE_S: Final = 0.1
TAKEOVER_WAIT_S: Final = 4.0
"""Membership finds a death within 2.9 s in a fleet of 14; the takeover is two platform calls."""
MAX_WAITING: Final = 64
"""Calls that wait for a takeover at once; each holds the thread of its caller."""
MAX_FORWARDED: Final = 96
"""Calls of peers at once; each holds one of the 256 threads of the peer server until its outcome.

The others stay free for membership, grants and releases, and for idle connections.
"""
_GRACE_S: Final = 0.5
"""Time for a late task before its answer is given up for unknown."""
_UNDECIDED: Final = (
    RefusalReason.LEDGER_BUSY,
    RefusalReason.LEDGER_UNAVAILABLE,
    RefusalReason.STOPPING,
)


@frozen
class _Lost:
    """The call may have reached another router, whose answer was lost."""


@frozen
class _NoOwner:
    """No router took the call, so it was not run and may be put again."""

    detail: str


_Hop = KeyedOutcome | Elsewhere | _Lost | _NoOwner


class KeyedRouter(KeyedCalls):
    """Runs on the threads of callers and of the peer server."""

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
        if isinstance(outcome, _NoOwner) and self._waiting.acquire(blocking=False):
            try:
                outcome = self._await_owner(name, call, attempt, outcome)
            finally:
                self._waiting.release()
        if isinstance(outcome, _Lost):
            return self._find_out(name, call, attempt)
        if isinstance(outcome, _NoOwner):
            return not_run(RefusalReason.OWNER_UNREACHABLE, outcome.detail)
        return outcome

    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """See `KeyedCalls.status`."""
        name = KeyName(service, account, key)
        outcome = self._look(CallKind.STATUS, name, issued_at_ms, "", _STATUS_TIMEOUT_S)
        if isinstance(outcome, KeyedOutcome):
            return outcome
        return unknown(RefusalReason.OWNER_UNREACHABLE, "the owner of the key does not answer")

    def router_for(self, service: str, account: str, key: str) -> str:
        """See `KeyedCalls.router_for`."""
        return self._task.preferred_owner(self._shard(KeyName(service, account, key)))

    # Calls of `schema/peer.thrift`

    def submit_keyed(self, request: KeyedRequest) -> KeyedReply:
        """Runs a forwarded call if its shard is held here or to be taken over."""
        if not self._forwarded.acquire(blocking=False):
            detail = "too many forwarded calls at the owner"
            return self._reply(not_run(RefusalReason.LEDGER_BUSY, detail, 200))
        try:
            call = request_from_wire(request, self._clock.now())
            return self._reply(self._run_here(call, request.attempt_id))
        finally:
            self._forwarded.release()

    def keyed_status(
        self, service: str, account: str, key: str, issued_at_ms: int, cancel: bool, attempt: str
    ) -> KeyedReply:
        """Tells what is known of a key; with `cancel`, the attempt is not dispatched any more."""
        kind = CallKind.CANCEL if cancel else CallKind.STATUS
        name = KeyName(service, account, key)
        return self._reply(
            self._look_here(kind, name, issued_at_ms, attempt, _STATUS_TIMEOUT_S / 2)
        )

    def record_outcome(
        self, service: str, account: str, key: str, attempt: str, outcome: KeyedReply
    ) -> None:
        """Takes the late outcome of an earlier owner's attempt."""
        known = outcome_from_wire(outcome)
        name = KeyName(service, account, key)
        if known is not None:
            hashed = key_hash(service, account, key)
            self._task.post(RecordOutcome(self._shard(name), hashed, attempt, known))

    # Routing

    def _run(self, name: KeyName, call: KeyedCall, attempt: str) -> KeyedOutcome | _Lost | _NoOwner:
        return self._visit(
            self._shard(name),
            lambda: self._run_here(call, attempt),
            lambda owner: self._run_there(owner, call, attempt),
        )

    def _await_owner(
        self, name: KeyName, call: KeyedCall, attempt: str, outcome: _NoOwner
    ) -> KeyedOutcome | _Lost | _NoOwner:
        """Puts a call again that no router took, until a takeover or the end of its patience."""
        self._task.metrics.count("keyed_owner_waits_total")
        until = min(call.deadline, self._clock.now() + TAKEOVER_WAIT_S)
        found: KeyedOutcome | _Lost | _NoOwner = outcome
        while isinstance(found, _NoOwner) and self._clock.now() + _RETRY_PAUSE_S < until:
            self._clock.sleep(_RETRY_PAUSE_S)
            found = self._run(name, call, attempt)
        return found

    def _shard(self, name: KeyName) -> int:
        return int(key_hash(name.service, name.account, name.key), 16) % self._task.shard_count

    def _visit(
        self, shard: int, here: Callable[[], _Hop], there: Callable[[str], _Hop]
    ) -> KeyedOutcome | _Lost | _NoOwner:
        """Asks the owner; a router that does not hold the shard may name another one, once."""
        owner = self._task.preferred_owner(shard)
        for _ in range(_MAX_HOPS):
            result = here() if owner == self._members.self_id() else there(owner)
            if not isinstance(result, Elsewhere):
                return result
            self._task.record_owner(shard, result.owner)
            named = self._task.preferred_owner(shard)
            if named == owner:
                break
            owner = named
        return _NoOwner("the routers disagree on the owner")

    def _run_here(self, call: KeyedCall, attempt: str) -> KeyedOutcome | Elsewhere:
        remaining_s = call.deadline - self._clock.now()
        # The answer leaves a little before the deadline.
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
        return self._ask(AskShard(self._shard(name), shard_call, name, call))

    def _look_here(
        self, kind: CallKind, name: KeyName, issued_at_ms: int, attempt: str, timeout_s: float
    ) -> KeyedOutcome | Elsewhere:
        hashed = key_hash(name.service, name.account, name.key)
        deadline = self._clock.now() + timeout_s
        call = ShardCall(kind, hashed, attempt, "", issued_at_ms, deadline)
        return self._ask(AskShard(self._shard(name), call, name, None))

    def _ask(self, ask: AskShard) -> KeyedOutcome | Elsewhere:
        timeout_s = ask.call.deadline - self._clock.now() + _GRACE_S
        try:
            return self._clock.wait(self._task.ask(ask), timeout_s)
        except FutureTimeoutError:
            return unknown(RefusalReason.DEADLINE, "the ledger did not answer in time")
        except MailboxFullError:
            if ask.call.kind is CallKind.RUN:
                return not_run(RefusalReason.LEDGER_BUSY, "the ledger is overloaded", 200)
            return unknown(RefusalReason.LEDGER_BUSY, "the ledger is overloaded")

    def _run_there(self, owner: str, call: KeyedCall, attempt: str) -> _Hop:
        remaining_s = call.deadline - self._clock.now()
        # A part is kept for finding out what became of a lost forwarding.
        forwarded_s = remaining_s - min(1.0, 0.2 * remaining_s)
        request = request_to_wire(call, attempt, forwarded_s)
        result = self._call_peer(owner, lambda client: client.submit_keyed(request), forwarded_s)
        if not isinstance(result, _NoOwner):
            self._task.metrics.count("keyed_forwards_total")
        return result

    def _call_peer(self, owner: str, make: Callable[[Any], KeyedReply], timeout_s: float) -> _Hop:
        member = self._members.members().get(owner)
        if member is None or timeout_s <= 0:
            return _NoOwner("the owner is not known")
        result = self._peers.call(member.peer_address, make, timeout_s)
        if isinstance(result, Failure):
            if result.failure() is PeerFailure.UNREACHABLE:
                self._members.report_unreachable(owner)
                return _NoOwner("the owner cannot be reached")
            return _Lost()
        reply = result.unwrap()
        return outcome_from_wire(reply) or Elsewhere(reply.owner_id or "")

    def _look(
        self, kind: CallKind, name: KeyName, issued_at_ms: int, attempt: str, timeout_s: float
    ) -> KeyedOutcome | _Lost:
        def there(owner: str) -> _Hop:
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

        outcome = self._visit(
            self._shard(name),
            lambda: self._look_here(kind, name, issued_at_ms, attempt, timeout_s),
            there,
        )
        # A question that was not put says nothing of the key.
        return _Lost() if isinstance(outcome, _NoOwner) else outcome

    def _find_out(self, name: KeyName, call: KeyedCall, attempt: str) -> KeyedOutcome:
        """Cancels a lost forwarding or waits for its outcome, until the deadline."""
        while (remaining_s := call.deadline - self._clock.now()) > 0:
            timeout_s = min(_STATUS_TIMEOUT_S, remaining_s)
            outcome = self._look(CallKind.CANCEL, name, call.issued_at_ms, attempt, timeout_s)
            if isinstance(outcome, KeyedOutcome) and _is_final(outcome):
                return outcome
            self._clock.sleep(min(_RETRY_PAUSE_S, remaining_s))
        return unknown(RefusalReason.OWNER_UNREACHABLE, "the answer of the owner was lost")

    def _reply(self, result: KeyedOutcome | Elsewhere) -> KeyedReply:
        if isinstance(result, Elsewhere):
            return not_owner_to_wire(result.owner)
        return reply_to_wire(result)


def _is_final(outcome: KeyedOutcome) -> bool:
    if outcome.state is KeyedState.RUNNING:
        return False
    undecided = outcome.refusal is not None and outcome.refusal.reason in _UNDECIDED
    return outcome.state is not KeyedState.UNKNOWN or not undecided
