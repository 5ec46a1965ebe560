"""The task that owns the admission state of the pools."""

from __future__ import annotations

import time
import uuid
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any

from attrs import define, frozen
from returns.result import Failure, Result, Success

from sequoiadrum.admission import BoundPolicy, PoolAdmission
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import Admission, AdmissionRequest, Grant, GrantOutcome
from sequoiadrum.messages import EndpointState
from sequoiadrum.tasks import Ask, MailboxFullError, Task

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.settings import Settings


@define(eq=False)
class _Acquire(Ask[Result[Grant, Refusal]]):
    request: AdmissionRequest
    excluded: tuple[str, ...]


@frozen
class _Release:
    grant: Grant
    outcome: GrantOutcome


class AdmissionTask(Task, Admission):
    """Decides each request of this router on the loads that this router knows."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigSource,
        metrics: Metrics,
        on_invariant: Callable[[], None],
    ) -> None:
        super().__init__("admission", metrics, on_invariant)
        self._router_id = settings.instance_id
        self._policy = BoundPolicy(settings.bound_multiple, settings.admit_multiple)
        self._config = config
        self._pools_by_name: dict[str, PoolAdmission] = {}

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {_Acquire: self._acquire, _Release: self._release}

    def acquire(
        self, request: AdmissionRequest, excluded: Collection[str]
    ) -> Result[Grant, Refusal]:
        """See `Admission.acquire`."""
        future = self.ask(_Acquire(request, tuple(excluded)))
        try:
            return future.result(max(0.0, request.deadline - time.monotonic()))
        except FutureTimeoutError:
            return Failure(Refusal(RefusalReason.DEADLINE, "no endpoint in time", 1_000))
        except MailboxFullError:
            return Failure(Refusal(RefusalReason.OVERLOADED, "admission is overloaded", 200))

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """See `Admission.release`."""
        self.post(_Release(grant, outcome))

    def _acquire(self, ask: _Acquire) -> None:
        request = ask.request
        endpoints = self._config.current().pool_endpoints(request.pool)
        usable = {
            e.id: e
            for e in endpoints
            if e.state is EndpointState.ACTIVE and e.id not in ask.excluded
        }
        pool = self._pools_by_name.setdefault(request.pool, PoolAdmission(self._policy))
        grant_id = uuid.uuid4().hex
        chosen = pool.place(
            grant_id, request.chat_id, request.cost, [e.id for e in endpoints], usable
        )
        if chosen is None:
            detail = f"no endpoint of pool {request.pool!r} is usable"
            ask.answer(Failure(Refusal(RefusalReason.NO_ENDPOINT, detail, 1_000)))
            return
        address = usable[chosen].address
        ask.answer(Success(Grant(grant_id, request.pool, chosen, address, self._router_id)))

    def _release(self, message: _Release) -> None:
        self._pools_by_name[message.grant.pool].release(message.grant.grant_id)
