"""Sends claimed keyed calls to endpoints of their pools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import structlog
from returns.result import Failure, Success

from sequoiadrum._ledger_codec import not_run, unknown
from sequoiadrum._ledger_wire import reply_to_wire
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome, KeyedOutcome, KeyedState
from sequoiadrum.service_client import Answered, CallOutcome, MaybeSent, NotSent

if TYPE_CHECKING:
    from sequoiadrum._ledger_types import KeyName, SendGate, ShardCall
    from sequoiadrum.clock import Clock
    from sequoiadrum.interfaces import Admission, ConfigSource, KeyedCall
    from sequoiadrum.messages import Address
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.service_client import ServiceClient

_REPORT_ATTEMPTS: Final = 3
_REPORT_RETRY_DELAY_S: Final = 0.5
_PEER_TIMEOUT_S: Final = 2.0

_log = structlog.get_logger(__name__)


class Dispatcher:
    """Sends each claimed call at most once, without retries.

    Its methods block and run on the dispatch executor of `LedgerTask`.
    """

    def __init__(
        self,
        config: ConfigSource,
        admission: Admission,
        services: ServiceClient,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._config = config
        self._admission = admission
        self._services = services
        self._peers = peers
        self._clock = clock

    def send(self, call: ShardCall, gate: SendGate) -> KeyedOutcome:
        """Waits for a grant, then sends the call unless it is cancelled or late.

        Returns:
            The outcome; not run, if no byte was sent.
        """
        keyed: KeyedCall = call.context.keyed
        route = self._config.current().routes_by_name.get(keyed.service)
        if route is None:
            gate.try_cancel()
            return not_run(RefusalReason.ROUTE_UNKNOWN, "no such service", None)
        request = AdmissionRequest(
            route.pool, call.attempt, call.key, keyed.account, 0, 1.0, call.deadline, ""
        )
        granted = self._admission.acquire(request, ())
        if isinstance(granted, Failure):
            gate.try_cancel()
            return KeyedOutcome(KeyedState.NOT_RUN, refusal=granted.failure())
        grant = granted.unwrap()
        # The gate also stays closed if the process was paused between the claim and the deadline.
        if not gate.try_send(self._clock.now()):
            self._admission.release(grant, GrantOutcome.CANCELLED)
            return not_run(RefusalReason.DEADLINE, "given up before it was sent")
        outcome = self._call_service(grant.address, call, keyed)
        self._admission.release(grant, _grant_outcome(outcome))
        return _keyed_outcome(outcome)

    def report_late_outcome(
        self, owner: Address, name: KeyName, attempt: str, outcome: KeyedOutcome
    ) -> None:
        """Reports the outcome of an attempt to the current owner of its shard.

        After a few failed attempts to reach the owner, the outcome is dropped.
        """
        reply = reply_to_wire(outcome)
        for _ in range(_REPORT_ATTEMPTS):
            reported = self._peers.call(
                owner,
                lambda client: client.record_outcome(
                    name.service, name.account, name.key, attempt, reply
                ),
                _PEER_TIMEOUT_S,
            )
            if isinstance(reported, Success):
                return
            self._clock.sleep(_REPORT_RETRY_DELAY_S)

    def _call_service(self, address: Address, call: ShardCall, keyed: KeyedCall) -> CallOutcome:
        remaining_s = call.deadline - self._clock.now()
        if remaining_s <= 0:
            return NotSent("deadline passed before sending")
        try:
            return self._services.call(address, keyed.request, remaining_s)
        except Exception as error:  # After any exception, part of the request may have been sent.
            _log.exception("service_client_failed")
            return MaybeSent(type(error).__name__)


def _grant_outcome(outcome: CallOutcome) -> GrantOutcome:
    if isinstance(outcome, Answered):
        return GrantOutcome.OK
    return GrantOutcome.CRASHED if isinstance(outcome, NotSent) else GrantOutcome.FAILED


def _keyed_outcome(outcome: CallOutcome) -> KeyedOutcome:
    if isinstance(outcome, Answered):
        return KeyedOutcome(KeyedState.DONE, outcome.status, outcome.content_type, outcome.body)
    if isinstance(outcome, NotSent):
        return not_run(RefusalReason.ENDPOINT_FAILED, outcome.detail)
    return unknown(RefusalReason.ENDPOINT_FAILED, outcome.detail)
