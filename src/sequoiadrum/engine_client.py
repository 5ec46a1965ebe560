"""Model engines, as the rest of the program sees them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from sequoiadrum.messages import Address, ChatRequest, LoadReport, StreamEvent


class EngineFailure(Enum):
    """Why an engine did not answer."""

    UNREACHABLE = "unreachable"
    """No connection; nothing was sent."""
    BROKEN = "broken"
    """The connection broke; the request may be running."""
    BUSY = "busy"
    """The engine refused the request before running it."""
    LOST = "lost"
    """The engine does not know the stream (any more)."""
    REJECTED = "rejected"
    """The engine says that the request or order is wrong."""
    STALE_FENCE = "stale_fence"
    """The engine refused an order because it has seen a higher fencing number."""
    TIMED_OUT = "timed_out"
    """Nothing came within the time given to a read; the stream is intact."""


class EngineStream(ABC):
    """A running answer."""

    @abstractmethod
    def read(
        self, timeout_s: float, linger_s: float = 0.0
    ) -> Result[Sequence[StreamEvent], EngineFailure]:
        """Waits for more events; an empty sequence is the regular end of the answer.

        Args:
            timeout_s: Longest wait; `TIMED_OUT` after it.
            linger_s: Time to collect further events once the first have come.
        """

    @abstractmethod
    def close(self) -> None:
        """Closes the connection; idempotent. The engine goes on unless cancelled."""


@frozen
class EngineOrder:
    """An order to change what an engine holds."""

    order_id: str
    action: str
    """`load`, `unload` or `set_role`."""
    argument: str
    fencing_number: int


class EngineClient(ABC):
    """One client for all engines; calls block."""

    @abstractmethod
    def open(self, address: Address, request: ChatRequest) -> Result[EngineStream, EngineFailure]:
        """Starts a request and gives its stream from offset 0."""

    @abstractmethod
    def resume(
        self, address: Address, request_id: str, offset: int
    ) -> Result[EngineStream, EngineFailure]:
        """Attaches to a running or recently finished stream at a token offset."""

    @abstractmethod
    def cancel(
        self, address: Address, request_id: str, if_unattached: bool
    ) -> Result[None, EngineFailure]:
        """Cancels a stream; with `if_unattached` only when nobody reads it."""

    @abstractmethod
    def load(self, address: Address) -> Result[LoadReport, EngineFailure]:
        """Reads the lagging load report."""

    @abstractmethod
    def import_kv(
        self, address: Address, chat_id: str, source: Address, timeout_s: float | None = None
    ) -> Result[int, EngineFailure]:
        """Fetches the KV cache of a chat from another engine; gives the prefix length in tokens.

        Args:
            address: The engine that gets the cache.
            chat_id: The chat.
            source: The engine that holds the cache.
            timeout_s: Bound of the whole call; None for the client's own.
        """

    @abstractmethod
    def order(self, address: Address, order: EngineOrder) -> Result[None, EngineFailure]:
        """Gives an order with its fencing number."""
