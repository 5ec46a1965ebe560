"""The task that cancels streams whose caller has gone."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum.interfaces import GrantOutcome
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.interfaces import Admission, Grant
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

GRACE_S: Final = 2.0
"""Time in which a caller that lost its router attaches at another one."""
SETTLE_S: Final = 0.5
"""Time after which an engine has noticed that a connection was closed; before that, it would take
the closed connection for another reader."""
_WORKERS: Final = 4
_MAX_WAITING: Final = 2_000
"""Beyond it streams are left to the engine's own timeout; their grants are still released."""


@frozen
class Abandoned:
    """A stream that nobody reads at this router any more."""

    address: Address
    request_id: str
    grant: Grant | None
    """Held until the cancellation: until then the engine still works on the request."""
    grace_s: float
    force: bool = False
    """Cancels even if the engine still sees a reader: nobody else can know the stream."""


@frozen
class _Due:
    abandoned: Abandoned


@frozen
class _Ended:
    abandoned: Abandoned


class StreamCanceller(Task):
    """Cancels abandoned streams after the grace period unless another reader has attached."""

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
        self._waiting: set[Abandoned] = set()
        self._pool = ThreadPoolExecutor(_WORKERS, thread_name_prefix="stream-cancel")

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {Abandoned: self._abandoned, _Due: self._due, _Ended: self._ended}

    def abandon(self, abandoned: Abandoned) -> None:
        """Takes over a stream and its grant; never blocks."""
        if not self.post(abandoned):
            self._release(abandoned)

    def stop(self, timeout_s: float = 5.0) -> None:
        """Releases the grants that are still held, then ends the thread."""
        super().stop(timeout_s)
        self._pool.shutdown(wait=False, cancel_futures=True)
        for abandoned in self._waiting:
            self._release(abandoned)
        self._waiting.clear()

    def _abandoned(self, message: Abandoned) -> None:
        if len(self._waiting) >= _MAX_WAITING:
            self.metrics.count("cancels_dropped_total")
            self._release(message)
            return
        self._waiting.add(message)
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
        self._waiting.discard(message.abandoned)
        self._release(message.abandoned)

    def _release(self, abandoned: Abandoned) -> None:
        if abandoned.grant is not None:
            self._admission.release(abandoned.grant, GrantOutcome.CANCELLED)
