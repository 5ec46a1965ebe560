"""Divides the memory of a process between the bytes that it holds for others; performs no I/O."""

from __future__ import annotations

import threading
from enum import Enum
from typing import Final

from attrs import frozen

RESERVED_BYTES: Final = 80_000_000
"""Memory for the program, its state, its threads and the receive buffers of its connections, and
for what checks of readiness, look-ups, readers of metrics and other routers send."""
CONTROL_BYTES: Final = 2_000_000
"""Memory of the requests to the ports for readiness, directory and metrics."""
MIN_BUDGET_SHARE: Final = 0.25
"""Share of the memory of a small instance that is available nevertheless."""
REQUEST_SHARE: Final = 0.3
"""Share of the budget for requests that arrive, wait or run."""
OUTPUT_SHARE: Final = 0.25
"""Share of the budget for output that callers have not read."""
MIN_OUTPUT_BUFFER_BYTES: Final = 16_384
MAX_OUTPUT_BUFFER_BYTES: Final = 262_144
SMALL_BYTES: Final = 65_536
"""A response that holds less than this always continues."""
MIN_WAIT_S: Final = 0.1
"""A response is ended only if it could not continue for this long."""


@frozen
class MemoryBudget:
    """Bytes that a process may hold for others, by what they belong to."""

    request_bytes: int
    """Requests of callers."""
    output_bytes: int
    """Output that callers have not read; both are bounded together (`connection_bytes`)."""
    response_bytes: int
    """Responses that are collected, and incomplete events."""

    @property
    def connection_bytes(self) -> int:
        """Requests of callers and output that they have not read."""
        return self.request_bytes + self.output_bytes

    def output_buffer_bytes(self, connections: int) -> int:
        """Returns the output that may be buffered for each of some connections."""
        share = self.output_bytes // max(1, connections)
        return max(MIN_OUTPUT_BUFFER_BYTES, min(MAX_OUTPUT_BUFFER_BYTES, share))


def budget_of(memory_mb: int) -> MemoryBudget:
    """Returns the budget of a process; `memory_mb` is the memory at which it is killed."""
    memory = memory_mb * 1_000_000
    total = max(memory - RESERVED_BYTES, int(MIN_BUDGET_SHARE * memory))
    requests, output = int(REQUEST_SHARE * total), int(OUTPUT_SHARE * total)
    return MemoryBudget(requests, output, total - requests - output)


class Growth(Enum):
    """Whether a response may receive further bytes."""

    CONTINUE = "continue"
    WAIT = "wait"
    """Memory is short and the response holds more than its share; it may continue later."""
    END = "end"
    """Memory stays short, and this response holds most and has progressed least."""


class ResponseMemory:
    """Bounds the bytes that all responses hold together; thread-safe.

    From half of the limit on, a response that holds more than an equal part of that half waits. So
    the others can grow up to their parts without exceeding the limit.
    """

    def __init__(self, limit: int) -> None:
        self._short_at: Final = limit // 2
        self._lock = threading.Lock()
        self._holdings: set[Holding] = set()
        self._used = 0

    def used(self) -> int:
        """Returns the bytes that all responses hold."""
        return self._used

    def used_share(self) -> float:
        """Returns the bytes that all responses hold as a share of the limit."""
        return self._used / max(1, 2 * self._short_at)

    def open(self) -> Holding:
        """Adds a response that holds nothing yet."""
        holding = Holding(self)
        with self._lock:
            self._holdings.add(holding)
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Records how many bytes a response holds."""
        with self._lock:
            if holding in self._holdings:
                self._used += size - holding.size
                holding.size = size

    def release(self, holding: Holding) -> None:
        """Removes a response; removing it again has no effect."""
        with self._lock:
            if holding in self._holdings:
                self._holdings.remove(holding)
                self._used -= holding.size

    def growth(self, holding: Holding, now: float) -> Growth:
        """Returns whether a response may receive further bytes; `now` is in monotonic seconds."""
        with self._lock:
            share = max(SMALL_BYTES, self._short_at // max(1, len(self._holdings)))
            if self._used < self._short_at or holding.size < share:
                holding.waits_since = None
                return Growth.CONTINUE
            if holding.waits_since is None:
                holding.waits_since = now
            if now - holding.waits_since < MIN_WAIT_S:
                return Growth.WAIT
            worst = max(self._holdings, key=Holding.cost)
            return Growth.END if worst is holding else Growth.WAIT


class Holding:
    """The bytes that one response holds."""

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._declared_bytes: int | None = None
        self.size = 0
        self.waits_since: float | None = None
        """Monotonic seconds since when the response waits for memory."""

    def cost(self) -> float:
        """Returns the bytes held, weighted by the part that is still to come.

        A response of unknown length has made no progress that could be relied on.
        """
        if not self._declared_bytes:
            return float(self.size)
        return self.size * max(0.0, 1.0 - self.size / self._declared_bytes)

    def begin(self, declared_bytes: int | None) -> None:
        """Begins a response, of a declared length if that is known; nothing of it is held."""
        self._declared_bytes = declared_bytes
        self.resize(0)

    def resize(self, size: int) -> None:
        """Records how many bytes the response holds."""
        self._memory.resize(self, size)

    def growth(self, now: float) -> Growth:
        """Returns whether the response may receive further bytes."""
        return self._memory.growth(self, now)

    def release(self) -> None:
        """Ends the response; it holds nothing any more."""
        self._memory.release(self)
