"""Ledgers with known faults, which the fault matrix and the fault storms must detect."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Failure

from sequoiadrum._ledger_codec import key_hash, not_run, unknown
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, KeyedCalls, KeyedOutcome, KeyedState
from sequoiadrum.platform_client import PlatformFailure
from sequoiadrum.service_client import Answered, CallOutcome, NotSent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.interfaces import KeyedCall
    from tools.keyed_fakes import SimAdmission, SimPlatform, SimService
    from tools.keyed_sim import Sim, SimRouter


class ClaimAfterDispatch(KeyedCalls):
    """Looks up the key, sends the call, and only then stores the key with a conditional write."""

    claims_first = False
    """Whether the key is claimed before the call is sent."""

    def __init__(
        self,
        sim: Sim,
        router: SimRouter,
        platform: SimPlatform,
        admission: SimAdmission,
        services: SimService,
        new_id: Callable[[], str],
    ) -> None:
        self._sim = sim
        self._router = router
        self._platform = platform
        self._admission = admission
        self._services = services
        self._new_id = new_id

    def submit(self, call: KeyedCall) -> KeyedOutcome:
        """See `KeyedCalls.submit`."""
        if self._router is self._sim.routers[0]:
            self._sim.reach_step("before claim")
        self._sim.pause(0)
        known = self.status(call.service, call.account, call.key, call.issued_at_ms)
        if known.state is not KeyedState.NOT_RUN or known.refusal is not None:
            return known
        name = _object_name(call.service, call.account, call.key)
        if self.claims_first:
            stored = self._platform.put_unconditionally(name, b'{"state": "claimed"}')
            if isinstance(stored, Failure):
                return not_run(RefusalReason.LEDGER_UNAVAILABLE, "the claim was not stored")
        request = AdmissionRequest(
            "orders", self._new_id(), call.key, call.account, 0, 1.0, call.deadline, ""
        )
        grant = self._admission.acquire(request, ()).unwrap()
        remaining_s = call.deadline - self._sim.now
        outcome = _to_keyed_outcome(self._services.call(grant.address, call.request, remaining_s))
        document = {"state": outcome.state.value, "body": outcome.body.decode()}
        value = json.dumps(document).encode()
        if self.claims_first:
            self._platform.put_unconditionally(name, value)
        else:
            self._platform.put(name, value, 0)
        return outcome

    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """See `KeyedCalls.status`."""
        found = self._platform.get(_object_name(service, account, key))
        if isinstance(found, Failure):
            if found.failure() is PlatformFailure.NOT_FOUND:
                return KeyedOutcome(KeyedState.NOT_RUN)
            return not_run(RefusalReason.LEDGER_UNAVAILABLE, "the ledger cannot be read")
        document = json.loads(found.unwrap().value)
        if document["state"] == "done":
            return KeyedOutcome(KeyedState.DONE, 201, "text/plain", document["body"].encode())
        return unknown(RefusalReason.ENDPOINT_FAILED, "started")


class UnconditionalClaim(ClaimAfterDispatch):
    """Looks up the key and claims it with an unconditional write before it sends the call."""

    claims_first = True


def classify_write(value: bytes) -> str:
    """Returns "claim" or "outcome", the stage of a call at which these ledgers write a value."""
    return "claim" if json.loads(value)["state"] == "claimed" else "outcome"


def _object_name(service: str, account: str, key: str) -> str:
    return f"keys/{key_hash(service, account, key)}"


def _to_keyed_outcome(outcome: CallOutcome) -> KeyedOutcome:
    if isinstance(outcome, Answered):
        return KeyedOutcome(KeyedState.DONE, outcome.status, outcome.content_type, outcome.body)
    if isinstance(outcome, NotSent):
        return not_run(RefusalReason.ENDPOINT_FAILED, outcome.detail)
    return unknown(RefusalReason.ENDPOINT_FAILED, outcome.detail)
