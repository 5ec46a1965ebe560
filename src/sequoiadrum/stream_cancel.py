"""Task that cancels the streams of callers that have disconnected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum.interfaces import GrantOutcome
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.interfaces import Admission, Grant
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

RECONNECT_GRACE_S: Final = 2.0
"""Time within which a caller that lost its router attaches at another router."""
CLOSE_DETECTION_S: Final = 0.5
"""Time after which an engine has detected that a connection was closed.

Before that, the engine would take the closed connection for another reader.
"""
_CANCEL_THREADS: Final = 4
_MAX_PENDING_CANCELS: Final = 2_000
"""Further streams are left to the timeout of their engine; their grants are still released."""


@frozen
class Abandoned:
    """A stream that no caller of this router reads any more."""

    address: Address
    request_id: str
    grant: Grant | None
    """Held until the stream is cancelled: until then, the request runs at the engine."""
    grace_s: float
    """Time before the stream is cancelled, in which another reader can attach."""
    force: bool = False
    """Whether to cancel even if the engine still sees a reader, as no other reader can attach."""


@frozen
class _Due:
    """Timer message: the grace period of a stream is over."""

    abandoned: Abandoned


@frozen
class _Ended:
    """The call that cancels a stream has ended, with or without success."""

    abandoned: Abandoned


class StreamCanceller(Task):
    """Cancels abandoned streams after the grace period unless another reader has attached."""

    is_needed = False

    def __init__(
        self,
        engines: EngineClient,
        admission: Admission,
        timers: TimerService,
        metrics: Metrics,
        on_invariant: Callable[[], None],
    ) -> None:
        super().__init__("stream-cancel", metrics, on_invariant)
        self._engines = engines
        self._admission = admission
        self._timers = timers
        self._pending: set[Abandoned] = set()
        self._pool = ReportingExecutor(_CANCEL_THREADS, "stream-cancel", metrics)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {Abandoned: self._abandoned, _Due: self._due, _Ended: self._ended}

    def abandon(self, abandoned: Abandoned) -> None:
        """Schedules the cancellation of a stream and later releases its grant; never blocks.

        If the mailbox of the task is full, the grant is released immediately.
        """
        if not self.post(abandoned):
            self._release(abandoned)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the task, then releases the grants that are still held."""
        super().stop(timeout_s)
        self._pool.shutdown(wait=False, cancel_futures=True)
        for abandoned in self._pending:
            self._release(abandoned)
        self._pending.clear()

    def _abandoned(self, message: Abandoned) -> None:
        if len(self._pending) >= _MAX_PENDING_CANCELS:
            self.metrics.count("cancels_dropped_total")
            self._release(message)
            return
        self._pending.add(message)
        if message.grace_s > 0:
            self._timers.schedule(self, message.grace_s, _Due(message))
        else:
            self._due(_Due(message))

    def _due(self, message: _Due) -> None:
        self._pool.submit(self._cancel, message.abandoned)

    def _cancel(self, abandoned: Abandoned) -> None:
        try:
            self._engines.cancel(
                abandoned.address, abandoned.request_id, if_unattached=not abandoned.force
            )
            self.metrics.count("cancels_total")
        finally:
            self.post(_Ended(abandoned))

    def _ended(self, message: _Ended) -> None:
        self._pending.discard(message.abandoned)
        self._release(message.abandoned)

    def _release(self, abandoned: Abandoned) -> None:
        if abandoned.grant is not None:
            self._admission.release(abandoned.grant, GrantOutcome.CANCELLED)
