"""Bounded admission queue of a pool: deficit round robin over accounts, by priority class."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, Generic, Protocol, TypeVar

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

_QUANTUM: Final = 1.0
"""Cost that an account may spend per round, equal to the cost of an ordinary request."""
_MAX_BLOCKED_ACCOUNTS: Final = 32
"""Unsuccessful offers of an account's first entry per call; bounds the work when no engine has
room."""


class QueueEntry(Protocol):
    """Attributes that the queue requires of an entry."""

    @property
    def account(self) -> str:
        """Client account of the request; accounts are served in turn."""

    @property
    def priority(self) -> int:
        """Priority class; 0 is served first."""

    @property
    def cost(self) -> float:
        """Weight of the request, charged to its account."""

    @property
    def deadline(self) -> float:
        """Monotonic seconds after which the entry expires."""


E = TypeVar("E", bound=QueueEntry)


@define(eq=False)
class _PriorityClass(Generic[E]):
    """Entries of one priority, by account."""

    ring: deque[str] = field(factory=deque)
    """Accounts with entries, in order of service."""
    entries_by_account: dict[str, deque[E]] = field(factory=dict)
    deficit_by_account: dict[str, float] = field(factory=dict)

    def push(self, entry: E) -> None:
        entries = self.entries_by_account.get(entry.account)
        if entries is None:
            entries = self.entries_by_account[entry.account] = deque()
            self.deficit_by_account[entry.account] = 0.0
            self.ring.append(entry.account)
        entries.append(entry)

    def take(self, fits: Callable[[E], bool]) -> E | None:
        blocked = 0
        while blocked < min(len(self.ring), _MAX_BLOCKED_ACCOUNTS):
            account = self.ring[0]
            head = self.entries_by_account[account][0]
            if self.deficit_by_account[account] < head.cost:
                self.deficit_by_account[account] += _QUANTUM
                self.ring.rotate(-1)
            elif fits(head):
                self.deficit_by_account[account] -= head.cost
                self.entries_by_account[account].popleft()
                self.drop_if_empty(account)
                return head
            else:
                blocked += 1
                self.ring.rotate(-1)
        return None

    def drop_if_empty(self, account: str) -> None:
        if not self.entries_by_account[account]:
            del self.entries_by_account[account]
            del self.deficit_by_account[account]
            self.ring.remove(account)


@define(eq=False)
class AdmissionQueue(Generic[E]):
    """Queued requests of one pool."""

    capacity: int = 1_000
    """Maximum number of entries."""
    _classes_by_priority: dict[int, _PriorityClass[E]] = field(factory=dict)
    _count_by_account: dict[str, int] = field(factory=dict)
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: E) -> E | None:
        """Queues an entry.

        Returns:
            The entry that is evicted when the queue is full, or None. It is the newest entry of
            the account with the most entries, so that a surging account evicts only its own.
        """
        evicted: E | None = None
        if self._size >= self.capacity:
            longest = max(self._count_by_account, key=lambda a: self._count_by_account[a])
            own_count = self._count_by_account.get(entry.account, 0)
            if own_count + 1 >= self._count_by_account[longest]:
                return entry
            evicted = self._remove_newest(longest)
        priority_class = self._classes_by_priority.get(entry.priority)
        if priority_class is None:
            priority_class = self._classes_by_priority[entry.priority] = _PriorityClass()
        priority_class.push(entry)
        self._change_count(entry.account, 1)
        return evicted

    def take(self, fits: Callable[[E], bool]) -> E | None:
        """Removes and returns the next entry for which `fits` holds, or None."""
        for priority in sorted(self._classes_by_priority):
            entry = self._classes_by_priority[priority].take(fits)
            if entry is not None:
                self._change_count(entry.account, -1)
                return entry
        return None

    def expire(self, now: float) -> list[E]:
        """Removes and returns the entries whose deadline has passed."""
        return self.remove(lambda entry: entry.deadline <= now)

    def remove(self, should_remove: Callable[[E], bool]) -> list[E]:
        """Removes and returns the entries for which the predicate holds."""
        removed: list[E] = []
        for priority_class in self._classes_by_priority.values():
            for account in list(priority_class.ring):
                entries = priority_class.entries_by_account[account]
                matching = [entry for entry in entries if should_remove(entry)]
                if matching:
                    kept = [entry for entry in entries if not should_remove(entry)]
                    priority_class.entries_by_account[account] = deque(kept)
                    priority_class.drop_if_empty(account)
                    self._change_count(account, -len(matching))
                    removed += matching
        return removed

    def _remove_newest(self, account: str) -> E:
        priority = max(
            p for p, c in self._classes_by_priority.items() if account in c.entries_by_account
        )
        priority_class = self._classes_by_priority[priority]
        entry = priority_class.entries_by_account[account].pop()
        priority_class.drop_if_empty(account)
        self._change_count(account, -1)
        return entry

    def _change_count(self, account: str, change: int) -> None:
        self._size += change
        count = self._count_by_account.get(account, 0) + change
        if count:
            self._count_by_account[account] = count
        else:
            del self._count_by_account[account]
