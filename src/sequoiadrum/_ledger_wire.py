"""Conversion of keyed calls and outcomes to and from thrift structures."""

from __future__ import annotations

from typing import Final

from sequoiadrum._gen.peer.ttypes import KeyedReply, KeyedRequest
from sequoiadrum._gen.peer.ttypes import KeyedState as WireState
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import KeyedCall, KeyedOutcome, KeyedState
from sequoiadrum.service_client import ServiceRequest

_WIRE_STATES_BY_STATE: Final = {
    KeyedState.DONE: WireState.DONE,
    KeyedState.NOT_RUN: WireState.NOT_RUN,
    KeyedState.UNKNOWN: WireState.UNKNOWN,
    KeyedState.RUNNING: WireState.RUNNING,
}
_STATES_BY_WIRE_STATE: Final = {wire: state for state, wire in _WIRE_STATES_BY_STATE.items()}
_NO_RETRY: Final = -1
"""`retry_after_ms` of a refusal that is not retryable."""


def request_to_wire(call: KeyedCall, attempt: str, remaining_s: float) -> KeyedRequest:
    """Returns the request that forwards a call to another router.

    Args:
        call: The call.
        attempt: Id of the attempt.
        remaining_s: Time that the other router has for the call, in seconds.
    """
    return KeyedRequest(
        service_name=call.service,
        account=call.account,
        key=call.key,
        issued_at_ms=call.issued_at_ms,
        method=call.request.method,
        path=call.request.path,
        content_type=call.request.content_type,
        body=call.request.body,
        deadline_ms=int(remaining_s * 1e3),
        attempt_id=attempt,
        forwarded=True,
    )


def request_from_wire(request: KeyedRequest, now: float) -> KeyedCall:
    """Parses a forwarded call; its deadline is `now` plus the remaining time in the request."""
    return KeyedCall(
        service=request.service_name,
        account=request.account,
        key=request.key,
        issued_at_ms=request.issued_at_ms,
        request=ServiceRequest(
            request.method,
            request.path,
            request.content_type,
            request.body,
            idempotency_key=f"{request.account}:{request.key}",
        ),
        deadline=now + request.deadline_ms / 1e3,
    )


def reply_to_wire(outcome: KeyedOutcome) -> KeyedReply:
    """Returns the reply that carries an outcome."""
    reply = KeyedReply(state=_WIRE_STATES_BY_STATE[outcome.state])
    if outcome.state is KeyedState.DONE:
        reply.status = outcome.status
        reply.content_type = outcome.content_type
        reply.body = outcome.body
    elif outcome.refusal is not None:
        retry_after_ms = outcome.refusal.retry_after_ms
        reply.reason = outcome.refusal.reason.value
        reply.retry_after_ms = _NO_RETRY if retry_after_ms is None else retry_after_ms
        if outcome.refusal.ran is True:
            # A status without `DONE` has one meaning: the call ran, but its response is not stored.
            reply.status = 0
    return reply


def not_owner_to_wire(owner_id: str) -> KeyedReply:
    """Returns the reply of a router that does not hold the shard."""
    return KeyedReply(state=WireState.NOT_OWNER, owner_id=owner_id)


def outcome_from_wire(reply: KeyedReply) -> KeyedOutcome | None:
    """Parses a reply; returns None for `NOT_OWNER` and for states unknown to this version."""
    state = _STATES_BY_WIRE_STATE.get(reply.state)
    if state is None:
        return None
    if state is KeyedState.DONE:
        return KeyedOutcome(state, reply.status or 0, reply.content_type or "", reply.body or b"")
    if not reply.reason:
        return KeyedOutcome(state)
    retry_after_ms = None if reply.retry_after_ms in (None, _NO_RETRY) else reply.retry_after_ms
    ran: bool | None = False if state is KeyedState.NOT_RUN else None
    if state is KeyedState.UNKNOWN and reply.status is not None:
        ran = True
    refusal = Refusal(_parse_reason(reply.reason), "told by the owner", retry_after_ms, ran)
    return KeyedOutcome(state, refusal=refusal)


def _parse_reason(text: str) -> RefusalReason:
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.ENDPOINT_FAILED
