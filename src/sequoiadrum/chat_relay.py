"""Relays one chat request: admission, stream, resume, release."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from attrs import define, field
from returns.result import Failure, Result, Success

from sequoiadrum.engine_client import EngineFailure
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import AdmissionRequest, GrantOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sequoiadrum.engine_client import EngineClient, EngineStream
    from sequoiadrum.interfaces import Admission, ConfigSource, Grant
    from sequoiadrum.messages import Address, ChatRequest, StreamEvent
    from sequoiadrum.metrics import Metrics

_RESUME_ATTEMPTS: Final = 3
_RESUME_PAUSE_S: Final = 0.05


@define(eq=False)
class ChatStream:
    """An answer on its way to the caller."""

    relay: ChatRelay
    request: ChatRequest
    grant: Grant | None
    address: Address
    endpoint_id: str
    stream: EngineStream
    next_offset: int = 0
    """First token that the caller does not have yet."""
    failure: Refusal | None = None
    """Set when the stream ended before its regular end."""
    _pending: Sequence[StreamEvent] = field(factory=tuple)
    _outcome: GrantOutcome = GrantOutcome.CANCELLED

    def __iter__(self) -> Iterator[Sequence[StreamEvent]]:
        """Yields events in order, each token once; look at `failure` after the end."""
        if self._pending:
            yield self._pending
        while True:
            result = self.stream.read()
            if isinstance(result, Failure):
                self.failure = self.relay.recover(self, result.failure())
                if self.failure is not None:
                    self._outcome = GrantOutcome.FAILED
                    return
                continue
            events = result.unwrap()
            if not events:
                self._outcome = GrantOutcome.OK
                return
            fresh = self.accept(events)
            if fresh:
                yield fresh

    def accept(self, events: Sequence[StreamEvent]) -> Sequence[StreamEvent]:
        """Drops events that the caller has already and moves the offset."""
        fresh = [event for event in events if event.offset >= self.next_offset]
        if fresh:
            self.next_offset = fresh[-1].offset + 1
        return fresh

    def prefetch(self, events: Sequence[StreamEvent]) -> None:
        """Keeps the first events, read before the answer began."""
        self._pending = self.accept(events)

    def close(self) -> None:
        """Releases the grant; a stream that is not finished is cancelled at the engine."""
        self.stream.close()
        if self._outcome is GrantOutcome.CANCELLED:
            self.relay.abandon(self)
        if self.grant is not None:
            self.relay.admission.release(self.grant, self._outcome)
            self.grant = None


class ChatRelay:
    """Serves chat requests on the thread of their caller."""

    def __init__(
        self,
        config: ConfigSource,
        admission: Admission,
        engines: EngineClient,
        metrics: Metrics,
    ) -> None:
        self.admission: Final = admission
        self._config = config
        self._engines = engines
        self._metrics = metrics

    def start(self, request: ChatRequest, pool: str) -> Result[ChatStream, Refusal]:
        """Gets a grant and opens the stream; passes over endpoints that fail at once."""
        excluded: list[str] = []
        admission_request = AdmissionRequest(
            pool=pool,
            request_id=request.request_id,
            chat_id=request.chat_id,
            account=request.account,
            priority=request.priority,
            cost=request.cost,
            deadline=request.deadline,
            fingerprint=request.fingerprint,
        )
        while True:
            granted = self.admission.acquire(admission_request, excluded)
            if isinstance(granted, Failure):
                return granted
            grant = granted.unwrap()
            opened = self._open(request, grant)
            if isinstance(opened, Success):
                return opened
            failure = opened.failure()
            self.admission.release(grant, _grant_outcome(failure))
            if failure is EngineFailure.REJECTED:
                return Failure(
                    Refusal(RefusalReason.BAD_REQUEST, "the engine rejected the request")
                )
            excluded.append(grant.endpoint_id)
            self._metrics.count("retries_total", reason=f"open_{failure.value}")
            if len(excluded) > _RESUME_ATTEMPTS or time.monotonic() > request.deadline:
                return Failure(
                    Refusal(
                        RefusalReason.ENDPOINT_FAILED,
                        f"the last engine failed: {failure.value}",
                        retry_after_ms=1_000,
                    )
                )

    def attach(
        self, request: ChatRequest, endpoint_id: str, offset: int
    ) -> Result[ChatStream, Refusal]:
        """Continues a stream that another router began."""
        endpoint = self._config.current().endpoints_by_id.get(endpoint_id)
        lost = Refusal(RefusalReason.STREAM_LOST, "the engine has lost the stream", ran=None)
        if endpoint is None:
            return Failure(lost)
        resumed = self._engines.resume(endpoint.address, request.request_id, offset)
        if isinstance(resumed, Failure):
            return Failure(lost)
        self._metrics.count("retries_total", reason="caller_resumed")
        return Success(
            ChatStream(self, request, None, endpoint.address, endpoint_id, resumed.unwrap(), offset)
        )

    def recover(self, chat: ChatStream, failure: EngineFailure) -> Refusal | None:
        """Resumes a broken stream at its next token, or tells why that is impossible."""
        chat.stream.close()
        for attempt in range(_RESUME_ATTEMPTS):
            self._metrics.count("retries_total", reason=f"resume_{failure.value}")
            resumed = self._engines.resume(chat.address, chat.request.request_id, chat.next_offset)
            if isinstance(resumed, Success):
                chat.stream = resumed.unwrap()
                return None
            if resumed.failure() is EngineFailure.LOST:
                break
            time.sleep(_RESUME_PAUSE_S * 2**attempt)
        return Refusal(RefusalReason.STREAM_LOST, "the engine has lost the stream", ran=None)

    def abandon(self, chat: ChatStream) -> None:
        """Tells the engine to cancel unless another reader has attached."""
        self._metrics.count("streams_abandoned_total")
        self._engines.cancel(chat.address, chat.request.request_id, if_unattached=True)

    def _open(self, request: ChatRequest, grant: Grant) -> Result[ChatStream, EngineFailure]:
        if grant.kv_source is not None:
            self._engines.import_kv(grant.address, request.chat_id, grant.kv_source)
        opened = self._engines.open(grant.address, request)
        if isinstance(opened, Failure):
            return opened
        stream = opened.unwrap()
        first = stream.read()
        if isinstance(first, Failure):
            stream.close()
            return first
        chat = ChatStream(self, request, grant, grant.address, grant.endpoint_id, stream)
        chat.prefetch(first.unwrap())
        return Success(chat)


def _grant_outcome(failure: EngineFailure) -> GrantOutcome:
    if failure is EngineFailure.BUSY or failure is EngineFailure.REJECTED:
        return GrantOutcome.REFUSED
    if failure is EngineFailure.UNREACHABLE:
        return GrantOutcome.CRASHED
    return GrantOutcome.FAILED
