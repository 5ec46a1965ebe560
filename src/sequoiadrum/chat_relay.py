"""Relays chat requests to engines: admission, stream, resumption, restart and release."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from sequoiadrum.chat_stream import END_DETAILS, ChatStream, StreamRecovery
from sequoiadrum.engine_client import EngineFailure
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome
from sequoiadrum.limits import RetryBudget
from sequoiadrum.stream_cancel import CLOSE_DETECTION_S, RECONNECT_GRACE_S, Abandoned

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.engine_client import EngineClient, EngineStream
    from sequoiadrum.interfaces import Admission, ConfigSource, Grant
    from sequoiadrum.messages import Address, ChatRequest
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.stream_cancel import StreamCanceller

_RESUME_ATTEMPTS: Final = 3
_RESUME_BACKOFF_S: Final = 0.05
"""Base of the wait before each further attempt; doubles with each attempt."""
_MAX_ENDPOINTS: Final = 4
"""Endpoints that are tried for one request."""
_CRASH_PROBES: Final = 5
"""Probes of an engine whose connection failed, to find out whether it accepts connections."""
_CRASH_PROBE_INTERVAL_S: Final = 0.05
"""Wait after an inconclusive probe; an ending process closes its sockets within a few of these."""
_KV_IMPORT_TIMEOUT_S: Final = 0.25
"""About the prefill time that an import saves; a slower import delays the request."""
_STREAM_LOST: Final = Refusal(RefusalReason.STREAM_LOST, "the engine has lost the stream", ran=None)


class RetryBudgets:
    """Retry budgets of all pools; safe to use from any thread."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._budgets_by_pool: dict[str, RetryBudget] = {}

    def request(self, pool: str) -> None:
        """Counts the first attempt of a request, from which its pool's retry budget grows."""
        now = time.monotonic()
        with self._lock:
            self._budget(pool, now).request(now)

    def take(self, pool: str, reason: str) -> bool:
        """Takes one retry from the budget of a pool and counts it by its reason.

        Returns:
            Whether the retry is allowed; False if the budget is exhausted.
        """
        now = time.monotonic()
        with self._lock:
            allowed = self._budget(pool, now).take(now)
        name = "retries_total" if allowed else "retries_refused_total"
        self._metrics.count(name, reason=reason)
        return allowed

    def _budget(self, pool: str, now: float) -> RetryBudget:
        budget = self._budgets_by_pool.get(pool)
        if budget is None:
            budget = self._budgets_by_pool[pool] = RetryBudget.starting(now)
        return budget


class ChatRelay(StreamRecovery):
    """Serves each chat request on the thread that calls it."""

    def __init__(
        self,
        config: ConfigSource,
        admission: Admission,
        engines: EngineClient,
        canceller: StreamCanceller,
        budgets: RetryBudgets,
        metrics: Metrics,
        grace_s: float = RECONNECT_GRACE_S,
    ) -> None:
        self.admission = admission
        self._config = config
        self._engines = engines
        self._canceller = canceller
        self._budgets = budgets
        self._metrics = metrics
        self._grace_s = grace_s

    def start(
        self,
        request: ChatRequest,
        pool: str,
        streaming: bool = True,
        caller_gone: Callable[[], bool] = lambda: False,
        linger_s: Callable[[], float] = lambda: 0.0,
    ) -> Result[ChatStream, Refusal]:
        """Acquires a grant, opens the stream and waits for the first token.

        Args:
            request: The request.
            pool: Pool of its model.
            streaming: Whether the caller receives tokens before the response is complete.
            caller_gone: Returns whether the caller has closed its connection.
            linger_s: Returns the time in seconds for which events are batched.
        """
        self._budgets.request(pool)
        chat = ChatStream(self, request, pool, streaming, caller_gone, linger_s)
        refusal = self._place(chat)
        if refusal is None:
            chat.wait_for_first_events()
            refusal = chat.failure
        if refusal is not None:
            chat.close()
            return Failure(refusal)
        return Success(chat)

    def attach(
        self,
        request: ChatRequest,
        endpoint_id: str,
        offset: int,
        caller_gone: Callable[[], bool] = lambda: False,
        linger_s: Callable[[], float] = lambda: 0.0,
    ) -> Result[ChatStream, Refusal]:
        """Continues a stream that another router started.

        Args:
            request: A request with the id of the stream.
            endpoint_id: Engine that runs the stream.
            offset: First token that the caller has not received.
            caller_gone: Returns whether the caller has closed its connection.
            linger_s: Returns the time in seconds for which events are batched.
        """
        endpoint = self._config.current().endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return Failure(_STREAM_LOST)
        chat = ChatStream(
            self,
            request,
            endpoint.pool,
            True,
            caller_gone,
            linger_s,
            address=endpoint.address,
            endpoint_id=endpoint_id,
            first_offset=offset,
            next_offset=offset,
        )
        failure = self._resume(chat, endpoint.address, "caller")
        if failure is not None:
            # A retry may succeed unless the engine reports that it does not have the stream.
            retry_after_ms = None if failure is EngineFailure.LOST else 500
            return Failure(Refusal(_STREAM_LOST.reason, _STREAM_LOST.detail, retry_after_ms, None))
        return Success(chat)

    def recover(
        self, chat: ChatStream, failure: EngineFailure
    ) -> tuple[Refusal | None, GrantOutcome]:
        """See `StreamRecovery.recover`."""
        assert chat.stream is not None
        assert chat.address is not None
        chat.stream.close()
        resumed = self._resume(chat, chat.address, failure.value)
        if resumed is None:
            return None, GrantOutcome.OK
        # Only an engine that accepts no connections has crashed; any other has lost the stream.
        unreachable = resumed is EngineFailure.UNREACHABLE
        outcome = GrantOutcome.CRASHED if unreachable else GrantOutcome.FAILED
        chat.may_have_run = True
        if chat.grant is None or (chat.has_delivered_tokens and not chat.request.replayable):
            return _STREAM_LOST, outcome
        self._release_failed_engine(chat, outcome, cancel=not unreachable)
        if not self._may_retry(chat, f"restart_{resumed.value}"):
            return _refusal_without_retry(chat), outcome
        return self._place(chat), outcome

    def abandon(self, chat: ChatStream, may_resume: bool) -> None:
        """See `StreamRecovery.abandon`."""
        assert chat.address is not None
        self._metrics.count("streams_abandoned_total")
        grace_s = self._grace_s if may_resume else CLOSE_DETECTION_S
        # A caller without streaming has received no event id, so it cannot attach again.
        force = not chat.streaming
        self._canceller.abandon(
            Abandoned(
                chat.address,
                chat.request.request_id,
                chat.grant,
                0.0 if force else grace_s,
                force,
            )
        )

    def _resume(self, chat: ChatStream, address: Address, reason: str) -> EngineFailure | None:
        """Attaches to the stream at its next token; returns the last failure if that fails.

        The first attempt does not use the retry budget because the engine already runs the
        request; each further attempt does.
        """
        failure = EngineFailure.BROKEN
        for attempt in range(_RESUME_ATTEMPTS):
            if attempt == 0:
                self._metrics.count("retries_total", reason=f"resume_{reason}")
            else:
                backoff_s = _RESUME_BACKOFF_S * 2**attempt
                if time.monotonic() + backoff_s > chat.request.deadline or chat.caller_gone():
                    break
                if not self._budgets.take(chat.pool, f"resume_again_{failure.value}"):
                    break
                time.sleep(backoff_s)
            resumed = self._engines.resume(address, chat.request.request_id, chat.next_offset)
            if isinstance(resumed, Success):
                chat.continue_with(resumed.unwrap())
                return None
            failure = resumed.failure()
            if failure is EngineFailure.LOST:
                break
        return failure

    def _place(self, chat: ChatStream) -> Refusal | None:
        """Starts the request on the first granted engine that accepts it."""
        request = chat.request
        wanted = AdmissionRequest(
            pool=chat.pool,
            request_id=request.request_id,
            chat_id=request.chat_id,
            account=request.account,
            priority=request.priority,
            cost=request.cost,
            deadline=request.deadline,
            fingerprint=request.fingerprint,
        )
        while True:
            granted = self.admission.acquire(wanted, chat.excluded)
            if isinstance(granted, Failure):
                return _refusal_after_failures(chat, granted.failure())
            grant = granted.unwrap()
            end_reason = chat.end_reason()
            if end_reason is not None:
                self.admission.release(grant, GrantOutcome.CANCELLED)
                return _refusal_at_end(chat, end_reason)
            opened = self._open(request, grant)
            if isinstance(opened, Success):
                chat.begin(grant, opened.unwrap())
                return None
            failure = opened.failure()
            self._end_failed_open(chat, grant, failure)
            if failure is EngineFailure.REJECTED:
                return Refusal(RefusalReason.BAD_REQUEST, "the engine rejected the request")
            if not self._may_retry(chat, f"open_{failure.value}"):
                return _refusal_without_retry(chat)

    def _open(self, request: ChatRequest, grant: Grant) -> Result[EngineStream, EngineFailure]:
        if grant.kv_source is not None:
            imported = self._engines.import_kv(
                grant.address, request.chat_id, grant.kv_source, _KV_IMPORT_TIMEOUT_S
            )
            result = "ok" if isinstance(imported, Success) else imported.failure().value
            self._metrics.count("kv_imports_total", result=result)
        return self._engines.open(grant.address, request)

    def _end_failed_open(self, chat: ChatStream, grant: Grant, failure: EngineFailure) -> None:
        chat.excluded.append(grant.endpoint_id)
        if failure in (EngineFailure.BUSY, EngineFailure.REJECTED, EngineFailure.UNREACHABLE):
            # The request did not run, so it cannot have crashed the engine.
            self.admission.release(grant, GrantOutcome.REFUSED)
        else:
            chat.may_have_run = True
            crashed = self._has_crashed(grant.address, chat.request.request_id)
            outcome = GrantOutcome.CRASHED if crashed else GrantOutcome.FAILED
            self.admission.release(grant, outcome)
            if not crashed:
                self._schedule_cancel(grant.address, chat.request.request_id)

    def _has_crashed(self, address: Address, request_id: str) -> bool:
        """Returns whether an engine whose connection failed no longer accepts connections.

        An ending process closes its sockets one after another, so the connection of a probe may
        fail as well. Such a probe is inconclusive, and another one follows.
        """
        for _ in range(_CRASH_PROBES):
            probe = self._engines.resume(address, request_id, 0)
            if isinstance(probe, Success):
                probe.unwrap().close()
                return False
            if probe.failure() is not EngineFailure.BROKEN:
                return probe.failure() is EngineFailure.UNREACHABLE
            time.sleep(_CRASH_PROBE_INTERVAL_S)
        return False

    def _release_failed_engine(self, chat: ChatStream, outcome: GrantOutcome, cancel: bool) -> None:
        """Releases the grant of a failed stream and excludes its engine from the retries."""
        assert chat.grant is not None
        chat.excluded.append(chat.endpoint_id)
        self.admission.release(chat.grant, outcome)
        if cancel:
            self._schedule_cancel(chat.grant.address, chat.request.request_id)
        chat.grant = chat.stream = chat.address = None

    def _schedule_cancel(self, address: Address, request_id: str) -> None:
        self._canceller.abandon(Abandoned(address, request_id, None, CLOSE_DETECTION_S))

    def _may_retry(self, chat: ChatStream, reason: str) -> bool:
        if len(chat.excluded) >= _MAX_ENDPOINTS or chat.end_reason() is not None:
            return False
        return self._budgets.take(chat.pool, reason)


def _refusal_without_retry(chat: ChatStream) -> Refusal:
    """Returns the refusal that says why a failed request is not retried."""
    ran = None if chat.may_have_run else False
    end_reason = chat.end_reason()
    if end_reason is not None:
        return _refusal_at_end(chat, end_reason)
    if len(chat.excluded) >= _MAX_ENDPOINTS:
        return Refusal(RefusalReason.ENDPOINT_FAILED, "several engines failed", 1_000, ran)
    return Refusal(RefusalReason.RETRY_BUDGET, "an engine failed; too many retries", 1_000, ran)


def _refusal_at_end(chat: ChatStream, reason: RefusalReason) -> Refusal:
    """Returns the refusal of a request that ends before it is sent once more."""
    return Refusal(reason, END_DETAILS[reason], None, None if chat.may_have_run else False)


def _refusal_after_failures(chat: ChatStream, refusal: Refusal) -> Refusal:
    """Returns the refusal for a request of which earlier endpoints have failed.

    It reports the failure instead of `no_endpoint`, and that the request may have run.
    """
    if not chat.excluded:
        return refusal
    ran = None if chat.may_have_run else False
    if refusal.reason is RefusalReason.NO_ENDPOINT:
        return Refusal(RefusalReason.ENDPOINT_FAILED, "no other engine is left", 1_000, ran)
    return Refusal(refusal.reason, refusal.detail, refusal.retry_after_ms, ran)
