"""Blocking calls for requests that can stop waiting for them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, TypeVar

from sequoiadrum.gateway._sockets import GUARD_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class GuardedCalls:
    """Runs blocking calls on threads of its own; safe to use from any thread.

    A call to a peer or the store blocks for up to its time limit. The request that needs it waits
    on its own thread and can end meanwhile; the call goes on, because others may need it too.
    """

    def __init__(self, threads: int, name: str) -> None:
        """Creates an instance without threads; they are started on demand.

        Args:
            threads: Calls that run at a time.
            name: Prefix of the names of the threads.
        """
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix=name)

    def run(self, call: Callable[[], T], guard: Callable[[], None]) -> T:
        """Waits for the result of a call.

        Args:
            call: Runs on another thread; an exception that it raises is raised here.
            guard: Called at intervals; an exception that it raises ends the wait, and the call if
                it has not begun.
        """
        future = self._pool.submit(call)
        while True:
            try:
                return future.result(GUARD_INTERVAL_S)
            except TimeoutError:
                if future.done():
                    return future.result()
            try:
                guard()
            except BaseException:
                future.cancel()
                raise
