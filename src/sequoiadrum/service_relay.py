"""Relay of idempotent calls to plain services."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Final

from attrs import evolve
from returns.result import Failure, Result, Success

from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome
from sequoiadrum.service_client import Answered, NotSent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.chat_relay import RetryBudgets
    from sequoiadrum.interfaces import Admission
    from sequoiadrum.service_client import ServiceClient, ServiceRequest

_MAX_ATTEMPTS: Final = 3


class ServiceRelay:
    """Makes idempotent calls, with retries; blocks the thread of the caller."""

    def __init__(
        self, admission: Admission, services: ServiceClient, budgets: RetryBudgets
    ) -> None:
        self._admission = admission
        self._services = services
        self._budgets = budgets

    def call(
        self,
        pool: str,
        account: str,
        request: ServiceRequest,
        deadline: float,
        caller_gone: Callable[[], bool] = lambda: False,
    ) -> Result[Answered, Refusal]:
        """Calls endpoints of a pool, each at most once, until one of them responds.

        Args:
            pool: Name of the pool.
            account: Client account of the call.
            request: The call.
            deadline: Time by which the call ends, on the monotonic clock in seconds.
            caller_gone: Returns whether the caller has closed its connection; the call is not sent
                any more then.

        Returns:
            The response, with any status, or a refusal that says whether the call may have run.
        """
        request_id = uuid.uuid4().hex
        wanted = AdmissionRequest(pool, request_id, request_id, account, 1, 1.0, deadline, "")
        excluded: list[str] = []
        ran: bool | None = False
        self._budgets.request(pool)
        while True:
            granted = self._admission.acquire(wanted, excluded)
            if isinstance(granted, Failure):
                refusal = granted.failure()
                return Failure(evolve(refusal, ran=ran) if excluded else refusal)
            grant = granted.unwrap()
            if caller_gone():
                self._admission.release(grant, GrantOutcome.CANCELLED)
                return Failure(Refusal(RefusalReason.CANCELLED, "the caller has gone", None, ran))
            outcome = self._services.call(
                grant.address, request, max(0.0, deadline - time.monotonic())
            )
            if isinstance(outcome, Answered):
                self._admission.release(grant, GrantOutcome.OK)
                return Success(outcome)
            sent = not isinstance(outcome, NotSent)
            ran = None if sent else ran
            # Whether the service crashed is not known here; the pool owner detects it by polling.
            self._admission.release(grant, GrantOutcome.FAILED)
            excluded.append(grant.endpoint_id)
            if len(excluded) >= _MAX_ATTEMPTS:
                detail = "no endpoint answered"
                return Failure(Refusal(RefusalReason.ENDPOINT_FAILED, detail, 1_000, ran))
            if time.monotonic() > deadline:
                return Failure(Refusal(RefusalReason.DEADLINE, "no answer in time", None, ran))
            if not self._budgets.take(pool, "service_sent" if sent else "service_not_sent"):
                detail = "an endpoint failed; too many retries"
                return Failure(Refusal(RefusalReason.RETRY_BUDGET, detail, 1_000, ran))
