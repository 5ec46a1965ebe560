"""Decides which connections must go when all together hold too much memory; performs no I/O."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from typing import Final

from attrs import define, frozen

MIN_PROGRESS_BYTES_PER_S: Final = 1_000
"""Least rate at which a peer sends or reads; one that is slower is behind by the difference."""
STALL_GRACE_S: Final = 1.0
"""A peer that is behind by less than this counts as one that makes progress."""
RUNNING_SHARE: Final = 0.5
"""Share of the memory for large requests that are running; the rest stays for those that arrive."""
SMALL_REQUEST_BYTES: Final = 32_768
"""A request that holds less may run although large ones take up their share."""


@define
class Progress:
    """Measures how far a peer is behind the least rate.

    Each byte counts for the time that it takes at that rate, so that one byte now and then does not
    make up for a pause.
    """

    reached_at: float
    """Monotonic seconds up to which the peer has kept up."""

    def record(self, size: int, now: float) -> None:
        """Records bytes that were transferred."""
        self.reached_at = min(now, self.reached_at + size / MIN_PROGRESS_BYTES_PER_S)

    def behind_s(self, now: float) -> float:
        """Returns by how many seconds the peer is behind."""
        return now - self.reached_at


@frozen
class Usage:
    """What one connection holds, and whether it could be dropped."""

    size: int
    """Bytes of its requests and of the output that its peer has not read."""
    missing_share: float
    """Share of the request that has not arrived; 1 if its length is unknown."""
    behind_s: float
    """Time by which the peer is behind the least rate."""
    is_droppable: bool
    """Whether its request has not begun to run, or its peer does not read."""
    address: str
    """Network address of the peer."""

    def cost(self) -> tuple[bool, float]:
        """Returns a value that is greatest for what holds most, for longest, with least progress.

        A request that makes progress counts less the nearer it is to its end.
        """
        if self.behind_s > STALL_GRACE_S:
            return True, self.size * self.behind_s
        return False, self.size * self.missing_share


class MemoryHolder(ABC):
    """A connection that holds memory."""

    @abstractmethod
    def usage(self, now: float) -> Usage:
        """Returns what the connection holds; `now` is in monotonic seconds."""


class ConnectionMemory:
    """Bounds the bytes that all connections of a group hold together; thread-safe."""

    def __init__(self, limit: int) -> None:
        self.limit: Final = limit
        self._lock = threading.RLock()
        self._size_by_holder: dict[MemoryHolder, int] = {}
        self._total = 0

    def total(self) -> int:
        """Returns the bytes held, as far as they were reported."""
        return self._total

    def update(self, holder: MemoryHolder, size: int) -> None:
        """Records what a connection holds."""
        with self._lock:
            self._total += size - self._size_by_holder.get(holder, 0)
            if size:
                self._size_by_holder[holder] = size
            else:
                self._size_by_holder.pop(holder, None)

    def fits(self, size: int) -> bool:
        """Returns whether further bytes can be held without dropping a connection."""
        return self._total + size <= self.limit

    def measure(self, now: float) -> dict[MemoryHolder, Usage]:
        """Asks all connections what they hold; what they have released meanwhile becomes free."""
        with self._lock:
            usage_by_holder = {holder: holder.usage(now) for holder in list(self._size_by_holder)}
            self._size_by_holder = {
                holder: usage.size for holder, usage in usage_by_holder.items() if usage.size
            }
            self._total = sum(self._size_by_holder.values())
            return usage_by_holder

    def make_room(self, size: int, now: float) -> list[tuple[MemoryHolder, Usage]]:
        """Selects the connections that must go so that further bytes fit; they hold nothing then.

        The address that holds most loses connections first, and of these the ones that hold most,
        for longest, with least progress.
        """
        with self._lock:
            if self.fits(size):
                return []
            usage_by_holder = self.measure(now)
            size_by_address: dict[str, int] = {}
            for usage in usage_by_holder.values():
                size_by_address[usage.address] = size_by_address.get(usage.address, 0) + usage.size
            droppable = {
                holder: usage
                for holder, usage in usage_by_holder.items()
                if usage.is_droppable and usage.size
            }
            selected = []
            while droppable and not self.fits(size):
                worst = max(
                    droppable,
                    key=lambda holder: (
                        size_by_address[droppable[holder].address],
                        droppable[holder].cost(),
                    ),
                )
                usage = droppable.pop(worst)
                size_by_address[usage.address] -= usage.size
                self.update(worst, 0)
                selected.append((worst, usage))
            return selected

    def may_run(self, size: int, running_bytes: int) -> bool:
        """Returns whether a request that has arrived may run.

        Args:
            size: Bytes that the request holds.
            running_bytes: Bytes that the requests hold that run already.
        """
        if size < SMALL_REQUEST_BYTES:
            return True
        return running_bytes + size <= RUNNING_SHARE * self.limit or running_bytes == 0
