"""Runs keyed calls at most once, with one platform object for each key."""

from __future__ import annotations

import base64
import json
import time
import uuid
from typing import TYPE_CHECKING, Any

from returns.result import Failure

from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import stable_hash
from sequoiadrum.interfaces import (
    AdmissionRequest,
    GrantOutcome,
    KeyedCalls,
    KeyedOutcome,
    KeyedState,
)
from sequoiadrum.platform_client import PlatformFailure
from sequoiadrum.service_client import Answered, NotSent

if TYPE_CHECKING:
    from sequoiadrum.interfaces import Admission, ConfigSource, KeyedCall
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.platform_client import PlatformClient
    from sequoiadrum.service_client import ServiceClient


class ObjectLedger(KeyedCalls):
    """Claims each key by creating an object before the first byte goes to the service."""

    def __init__(
        self,
        platform: PlatformClient,
        config: ConfigSource,
        admission: Admission,
        services: ServiceClient,
        metrics: Metrics,
    ) -> None:
        self._platform = platform
        self._config = config
        self._admission = admission
        self._services = services
        self._metrics = metrics

    def submit(self, call: KeyedCall) -> KeyedOutcome:
        """See `KeyedCalls.submit`."""
        name = _object_name(call.service, call.account, call.key)
        route = self._config.current().routes_by_name[call.service]
        request = AdmissionRequest(
            route.pool, uuid.uuid4().hex, call.key, call.account, 0, 1.0, call.deadline, ""
        )
        granted = self._admission.acquire(request, ())
        if isinstance(granted, Failure):
            return KeyedOutcome(KeyedState.NOT_RUN, refusal=granted.failure())
        grant = granted.unwrap()
        claimed = self._platform.put(name, json.dumps({"state": "claimed"}).encode(), 0)
        if isinstance(claimed, Failure):
            self._admission.release(grant, GrantOutcome.REFUSED)
            return self._not_claimed(call, claimed.failure())
        outcome = self._services.call(
            grant.address, call.request, max(0.0, call.deadline - time.monotonic())
        )
        ended = GrantOutcome.OK if isinstance(outcome, Answered) else GrantOutcome.FAILED
        self._admission.release(grant, ended)
        if isinstance(outcome, Answered):
            keyed = KeyedOutcome(
                KeyedState.DONE, outcome.status, outcome.content_type, outcome.body
            )
        elif isinstance(outcome, NotSent):
            refusal = Refusal(RefusalReason.ENDPOINT_FAILED, outcome.detail, 1_000)
            keyed = KeyedOutcome(KeyedState.NOT_RUN, refusal=refusal)
        else:
            refusal = Refusal(RefusalReason.ENDPOINT_FAILED, outcome.detail, None, None)
            keyed = KeyedOutcome(KeyedState.UNKNOWN, refusal=refusal)
        self._platform.put(name, _encode(keyed), claimed.unwrap().version)
        return keyed

    def status(self, service: str, account: str, key: str, issued_at_ms: int) -> KeyedOutcome:
        """See `KeyedCalls.status`."""
        found = self._platform.get(_object_name(service, account, key))
        if isinstance(found, Failure):
            if found.failure() is PlatformFailure.NOT_FOUND:
                return KeyedOutcome(KeyedState.NOT_RUN)
            return _unknown("the ledger cannot be read")
        return _decode(json.loads(found.unwrap().value))

    def _not_claimed(self, call: KeyedCall, failure: PlatformFailure) -> KeyedOutcome:
        if failure is PlatformFailure.CONFLICT:
            return self.status(call.service, call.account, call.key, call.issued_at_ms)
        refusal = Refusal(RefusalReason.LEDGER_UNAVAILABLE, "the claim was not stored", 1_000)
        return KeyedOutcome(KeyedState.NOT_RUN, refusal=refusal)


def _unknown(detail: str) -> KeyedOutcome:
    refusal = Refusal(RefusalReason.LEDGER_UNAVAILABLE, detail, 1_000, None)
    return KeyedOutcome(KeyedState.UNKNOWN, refusal=refusal)


def _object_name(service: str, account: str, key: str) -> str:
    return f"ledger/{stable_hash(service, account, key):016x}"


def _encode(outcome: KeyedOutcome) -> bytes:
    return json.dumps(
        {
            "state": outcome.state.value,
            "status": outcome.status,
            "content_type": outcome.content_type,
            "body": base64.b64encode(outcome.body).decode(),
        }
    ).encode()


def _decode(document: dict[str, Any]) -> KeyedOutcome:
    if document["state"] == "claimed":
        return _unknown("the call was started and its outcome is not recorded")
    return KeyedOutcome(
        KeyedState(document["state"]),
        document["status"],
        document["content_type"],
        base64.b64decode(document["body"]),
    )
