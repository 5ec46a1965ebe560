"""Table of the endpoints that served the chats of this router's callers; performs no I/O."""

from __future__ import annotations

import threading
from sys import intern
from typing import Final

from sequoiadrum.hashing import stable_hash

CAPACITY: Final = 50_000
"""Chats kept over all pools. With 67 million chats and 2,400 routers, each router has 28,000."""


class ServedChats:
    """Bounded table of the endpoint of each chat's last grant; thread-safe.

    The directory returns the same router for a chat each time, so this router can give hints to a
    new pool owner, which has no placements yet. Entries may be out of date: they are only hints and
    affect neither refusals nor the load bound.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        """Creates an empty table.

        Args:
            capacity: Maximum number of chats; the chat with the oldest grant is evicted first.
        """
        self._capacity = capacity
        self._lock = threading.Lock()
        self._endpoint_by_chat: dict[int, str] = {}

    def last_endpoint(self, pool: str, chat_id: str) -> str:
        """Returns the id of the endpoint last granted to a chat, or an empty string if unknown."""
        with self._lock:
            return self._endpoint_by_chat.get(stable_hash(pool, chat_id), "")

    def record(self, pool: str, chat_id: str, endpoint_id: str) -> None:
        """Records the endpoint that was granted to a chat."""
        key = stable_hash(pool, chat_id)
        with self._lock:
            self._endpoint_by_chat.pop(key, None)
            # Interning keeps one string per endpoint instead of one per reply of an owner.
            self._endpoint_by_chat[key] = intern(endpoint_id)
            if len(self._endpoint_by_chat) > self._capacity:
                del self._endpoint_by_chat[next(iter(self._endpoint_by_chat))]

    def __len__(self) -> int:
        return len(self._endpoint_by_chat)
