"""Relays idempotent calls to plain services."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome
from sequoiadrum.service_client import Answered, NotSent

if TYPE_CHECKING:
    from sequoiadrum.interfaces import Admission
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.service_client import ServiceClient, ServiceRequest

_MAX_ATTEMPTS: Final = 3


class ServiceRelay:
    """Serves idempotent calls on the thread of their caller, with retries."""

    def __init__(self, admission: Admission, services: ServiceClient, metrics: Metrics) -> None:
        self._admission = admission
        self._services = services
        self._metrics = metrics

    def call(
        self, pool: str, account: str, request: ServiceRequest, deadline: float
    ) -> Result[Answered, Refusal]:
        """Calls one endpoint after the other until one answers."""
        request_id = uuid.uuid4().hex
        wanted = AdmissionRequest(pool, request_id, request_id, account, 1, 1.0, deadline, "")
        excluded: list[str] = []
        while len(excluded) < _MAX_ATTEMPTS:
            granted = self._admission.acquire(wanted, excluded)
            if isinstance(granted, Failure):
                return granted
            grant = granted.unwrap()
            outcome = self._services.call(
                grant.address, request, max(0.0, deadline - time.monotonic())
            )
            if isinstance(outcome, Answered):
                self._admission.release(grant, GrantOutcome.OK)
                return Success(outcome)
            sent = not isinstance(outcome, NotSent)
            self._admission.release(grant, GrantOutcome.FAILED if sent else GrantOutcome.CRASHED)
            excluded.append(grant.endpoint_id)
            self._metrics.count("retries_total", reason="sent" if sent else "not_sent")
        return Failure(Refusal(RefusalReason.ENDPOINT_FAILED, "no endpoint answered", 1_000, None))
