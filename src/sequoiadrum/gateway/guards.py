"""Decides when a wait for an endpoint ends before its answer comes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import Interrupt, InterruptedWaitError
from sequoiadrum.gateway.model import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.request_run import RequestRun

ATTEMPT_GOALS: Final = 2.5
"""A request that can be repeated leaves an endpoint that is silent for so many goals."""
SHORTEST_ATTEMPT_S: Final = 0.9
"""The slowest regular answers take half a second."""


def first_byte_guard(run: RequestRun, started: float) -> Callable[[], None]:
    """Makes the guard of the wait for the beginning of an answer.

    Args:
        run: The request.
        started: When it was sent to the endpoint.
    """
    can_move = run.kind.is_retryable and run.attempts + 1 < run.route.max_attempts
    if not can_move:
        return body_guard(run)
    attempt_s = max(SHORTEST_ATTEMPT_S, ATTEMPT_GOALS * run.route.goal_s)
    check_body = body_guard(run)

    def check() -> None:
        check_body()
        if clock.now() >= started + attempt_s:
            raise InterruptedWaitError(Interrupt.SLOW_ENDPOINT)

    return check


def body_guard(run: RequestRun) -> Callable[[], None]:
    """Makes the guard of the wait for the rest of an answer."""
    # An order that has begun is finished, whether or not its client still listens.
    watches_caller = run.kind is not RequestKind.NON_IDEMPOTENT

    def check() -> None:
        if clock.now() >= run.deadline:
            raise InterruptedWaitError(Interrupt.DEADLINE)
        if watches_caller and run.caller.is_gone():
            raise InterruptedWaitError(Interrupt.CALLER_GONE)

    return check
