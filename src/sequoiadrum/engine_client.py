"""Interface of the client for model engines."""

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
    """Why a call to an engine failed."""

    UNREACHABLE = "unreachable"
    """The connection could not be opened; nothing was sent."""
    BROKEN = "broken"
    """The connection failed, or the engine hung or sent malformed data; the request may run."""
    BUSY = "busy"
    """The engine refused the request, which has not run."""
    LOST = "lost"
    """The engine has no stream with this id, or has discarded it."""
    REJECTED = "rejected"
    """The engine reported that the request or order is invalid, or its response is malformed."""
    STALE_FENCE = "stale_fence"
    """The engine refused an order because it has received a higher fencing number."""
    TIMED_OUT = "timed_out"
    """No events arrived within the timeout of a read; reading can continue."""


class EngineStream(ABC):
    """The stream of events of one response."""

    @abstractmethod
    def read(
        self, timeout_s: float, linger_s: float = 0.0
    ) -> Result[Sequence[StreamEvent], EngineFailure]:
        """Waits for more events; an empty sequence is the regular end of the response.

        Args:
            timeout_s: Longest wait; the call fails with `TIMED_OUT` after it.
            linger_s: Time for which events are batched before they are returned.
        """

    @abstractmethod
    def close(self) -> None:
        """Closes the connection; idempotent. The stream continues at the engine until cancelled."""


@frozen
class EngineOrder:
    """An order to change the models or the role of an engine."""

    order_id: str
    action: str
    """`load`, `unload` or `set_role`."""
    argument: str
    fencing_number: int


class EngineClient(ABC):
    """A client for all engines; calls block."""

    @abstractmethod
    def open(self, address: Address, request: ChatRequest) -> Result[EngineStream, EngineFailure]:
        """Starts a request and returns its stream from offset 0."""

    @abstractmethod
    def resume(
        self, address: Address, request_id: str, offset: int
    ) -> Result[EngineStream, EngineFailure]:
        """Attaches to a running or recently finished stream, from a token offset on."""

    @abstractmethod
    def cancel(
        self, address: Address, request_id: str, if_unattached: bool
    ) -> Result[None, EngineFailure]:
        """Cancels a stream; with `if_unattached` only if no connection is attached to it."""

    @abstractmethod
    def load(self, address: Address) -> Result[LoadReport, EngineFailure]:
        """Reads the load report of an engine, which lags behind its current load."""

    @abstractmethod
    def import_kv(
        self, address: Address, chat_id: str, source: Address, timeout_s: float | None = None
    ) -> Result[int, EngineFailure]:
        """Has an engine fetch the KV cache of a chat from another engine.

        Args:
            address: The engine that receives the cache.
            chat_id: The chat.
            source: The engine that holds the cache.
            timeout_s: Timeout of the call; None for the default of the client.

        Returns:
            The length of the cached prefix in tokens, or why the call failed.
        """

    @abstractmethod
    def order(self, address: Address, order: EngineOrder) -> Result[None, EngineFailure]:
        """Sends an order with its fencing number to an engine."""
