"""Table of the endpoints that served the chats of this router's callers, without I/O."""

from __future__ import annotations

import threading
from sys import intern
from typing import Final

from sequoiadrum.hashing import stable_hash

CAPACITY: Final = 50_000
"""Chats kept, of all pools; 67 million chats over 2,400 routers are 28,000 for each router."""


class ServedChats:
    """Remembers the endpoint of each chat's last grant; safe to use from any thread.

    The address answer names the same router for a chat each time, so the table is of use to a new
    owner of the pool, which has no placements of its own. Entries may be out of date: they are
    hints and decide neither a refusal nor the bound.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        """Starts empty.

        Args:
            capacity: Chats kept; the one granted longest ago is forgotten first.
        """
        self._capacity = capacity
        self._lock = threading.Lock()
        self._endpoint_by_chat: dict[int, str] = {}

    def last_endpoint(self, pool: str, chat_id: str) -> str:
        """Gives the endpoint that was granted to a chat last; empty when it is not known."""
        with self._lock:
            return self._endpoint_by_chat.get(stable_hash(pool, chat_id), "")

    def record(self, pool: str, chat_id: str, endpoint_id: str) -> None:
        """Notes a grant."""
        key = stable_hash(pool, chat_id)
        with self._lock:
            self._endpoint_by_chat.pop(key, None)
            # One string for each endpoint instead of one for each answer of an owner.
            self._endpoint_by_chat[key] = intern(endpoint_id)
            if len(self._endpoint_by_chat) > self._capacity:
                del self._endpoint_by_chat[next(iter(self._endpoint_by_chat))]

    def __len__(self) -> int:
        return len(self._endpoint_by_chat)
