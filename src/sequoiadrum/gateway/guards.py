"""Guards that end the waits of a request early.

`end_reason` alone decides whether a request must end; the guards call it at intervals wherever a
request waits, and before any byte of it is sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import Interrupt, InterruptedWaitError
from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.request_run import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.evacuations import Evacuations
    from sequoiadrum.gateway.model import Route
    from sequoiadrum.gateway.request_run import Caller, RequestRun
    from sequoiadrum.gateway.stop_plan import Shutdown

ATTEMPT_GOAL_MULTIPLE: Final = 2.5
"""A retryable request is sent to another endpoint if no response begins within this multiple of the
route's goal for the first byte."""
REFUSED_BEFORE_SEND: Final = {
    Interrupt.CALLER_GONE: Refused.CALLER_GONE,
    Interrupt.DEADLINE: Refused.DEADLINE_BEFORE_SEND,
}
"""How a request is refused that `end_reason` ends before it was sent."""
MIN_ATTEMPT_S: Final = 0.9
"""Lower bound on the time of an attempt; the slowest regular responses take half a second."""
STALL_PAUSE_MULTIPLE: Final = 8.0
STALL_GOAL_MULTIPLE: Final = 4.0
MIN_STALL_S: Final = 2.0
"""Callers give up on a stream after a gap of this time, or of these multiples of the longest pause
and of the goal for the first byte of its route, whichever is longest."""
STALL_MARGIN_S: Final = 1.0
"""Time beyond that gap after which a stream without a complete event counts as stalled."""


def end_reason(caller: Caller, deadline: float, is_binding: bool) -> Interrupt | None:
    """Returns why a request must end now, or None if it may go on.

    Args:
        caller: The caller of the request.
        deadline: Monotonic seconds at which the response must be complete.
        is_binding: Whether the request was sent and is non-idempotent; it is then completed even if
            its caller has disconnected.
    """
    if clock.now() >= deadline:
        return Interrupt.DEADLINE
    if not is_binding and caller.is_gone():
        return Interrupt.CALLER_GONE
    return None


def lookup_guard(caller: Caller, deadline: float, shutdown: Shutdown) -> Callable[[], None]:
    """Returns a guard for the waits before the route of a request is known.

    The guard raises `InterruptedWaitError` if `end_reason` returns a reason, and shortly before the
    process ends.
    """

    def check() -> None:
        interrupt = end_reason(caller, deadline, is_binding=False)
        if interrupt is None and clock.now() >= shutdown.responses_due_at():
            interrupt = Interrupt.STOPPED
        if interrupt is not None:
            raise InterruptedWaitError(interrupt)

    return check


def unsent_end_reason(run: RequestRun) -> Interrupt | None:
    """Returns why a request must not be sent any more, or None if it may be."""
    interrupt = end_reason(run.caller, run.deadline, is_binding=False)
    if interrupt is None and run.is_stopped():
        return Interrupt.STOPPED
    return interrupt


def unsent_guard(run: RequestRun) -> Callable[[], None]:
    """Returns a guard for the waits before an attempt is sent, also of a request that is retried.

    The guard raises `InterruptedWaitError` if `unsent_end_reason` returns a reason: at the
    deadline, when the caller has disconnected, whatever the kind of the request, and shortly before
    the process ends.
    """

    def check() -> None:
        interrupt = unsent_end_reason(run)
        if interrupt is not None:
            raise InterruptedWaitError(interrupt)

    return check


def placed_guard(run: RequestRun, evacuations: Evacuations, domain: str) -> Callable[[], None]:
    """Returns a guard for the wait for a connection to an endpoint of a failure domain.

    The guard raises `InterruptedWaitError` as the guard of `unsent_guard` does, and also when the
    failure domain is evacuated.
    """
    check_run = unsent_guard(run)

    def check() -> None:
        check_run()
        if evacuations.is_evacuated(domain):
            raise InterruptedWaitError(Interrupt.EVACUATED)

    return check


def first_byte_guard(run: RequestRun, sent_at: float) -> Callable[[], None]:
    """Returns a guard for the wait for the first byte of a response.

    The guard raises `InterruptedWaitError` as the guard of `body_guard` does, and also when the
    endpoint is too slow and another one may be tried.

    Args:
        run: The request.
        sent_at: Monotonic seconds at which the request was sent to the endpoint.
    """
    can_try_another = run.kind.is_retryable and run.attempts + 1 < run.route.max_attempts
    if not can_try_another:
        return body_guard(run)
    attempt_s = max(MIN_ATTEMPT_S, ATTEMPT_GOAL_MULTIPLE * run.route.goal_s)
    check_body = body_guard(run)

    def check() -> None:
        check_body()
        if clock.now() >= sent_at + attempt_s:
            raise InterruptedWaitError(Interrupt.SLOW_ENDPOINT)

    return check


def stream_patience_s(route: Route) -> float:
    """Returns the seconds without an event after which the callers of a route give up."""
    return max(
        MIN_STALL_S,
        STALL_GOAL_MULTIPLE * route.goal_s,
        STALL_PAUSE_MULTIPLE * route.pause_goal_s,
    )


def stream_guard(run: RequestRun) -> Callable[[], None]:
    """Returns a guard for the wait for the next event of a stream that has begun.

    The guard raises `InterruptedWaitError` at the deadline, when the caller has disconnected, and
    when no event was completed for longer than the callers of the route wait, whatever bytes
    arrive. A shutdown leaves the stream its time until the process ends.
    """
    check_body = _request_guard(run)
    stall_s = STALL_MARGIN_S + stream_patience_s(run.route)

    def check() -> None:
        check_body()
        if clock.now() >= run.progress_at + stall_s:
            raise InterruptedWaitError(Interrupt.STALLED)

    return check


def body_guard(run: RequestRun) -> Callable[[], None]:
    """Returns a guard for the wait for the rest of a response that the caller gets as a whole.

    The guard raises `InterruptedWaitError` at the deadline, shortly before the process ends, and
    also when the caller has disconnected, unless the request is non-idempotent.
    """
    check_request = _request_guard(run)

    def check() -> None:
        check_request()
        if run.is_stopped():
            raise InterruptedWaitError(Interrupt.STOPPED)

    return check


def _request_guard(run: RequestRun) -> Callable[[], None]:
    is_binding = run.kind is RequestKind.NON_IDEMPOTENT

    def check() -> None:
        interrupt = end_reason(run.caller, run.deadline, is_binding)
        if interrupt is not None:
            raise InterruptedWaitError(interrupt)

    return check
