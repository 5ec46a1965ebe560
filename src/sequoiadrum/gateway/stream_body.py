"""The body of a stream while it is forwarded to the caller."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.exchange import ExchangeFailure
from sequoiadrum.gateway.request_run import IncompleteStreamError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiadrum.gateway.exchange import Exchange, Transfer
    from sequoiadrum.gateway.model import ResponseHead
    from sequoiadrum.gateway.pool import EndpointPlacement
    from sequoiadrum.gateway.request_run import RequestRun
    from sequoiadrum.gateway.sse_framing import EventSplitter


class StreamOwner(ABC):
    """Handles the failure and the end of the streams that `StreamBody` forwards."""

    @abstractmethod
    def continue_stream(
        self,
        run: RequestRun,
        placement: EndpointPlacement,
        failure: ExchangeFailure,
        last_event_id: str | None,
    ) -> tuple[EndpointPlacement, Exchange]:
        """Continues an interrupted stream at another endpoint.

        Returns:
            The new placement and the exchange that delivers the rest of the stream.

        Raises:
            IncompleteStreamError: The stream cannot be completed.
        """

    @abstractmethod
    def end_stream(
        self,
        run: RequestRun,
        placement: EndpointPlacement,
        head: ResponseHead,
        transfer: Transfer,
    ) -> None:
        """Records that a stream was forwarded completely.

        Args:
            run: The request.
            placement: Where the last part of the stream came from.
            head: Head of the response that the caller received.
            transfer: Body of the response that ended the stream.
        """

    @abstractmethod
    def record_unexpected(self, run: RequestRun, error: Exception) -> None:
        """Logs and counts an unexpected error that ends a stream."""

    @abstractmethod
    def release(self, placement: EndpointPlacement) -> None:
        """Releases a placement; releasing it again has no effect."""

    @abstractmethod
    def forget(self, run: RequestRun) -> None:
        """Ends a request, completed or not; it is no longer in flight."""


class StreamBody:
    """Yields the bytes of a stream as they arrive.

    A resumable stream that is interrupted continues at another endpoint.
    `close` must be called even if the caller has disconnected.
    """

    def __init__(
        self,
        owner: StreamOwner,
        run: RequestRun,
        placement: EndpointPlacement,
        exchange: Exchange,
        splitter: EventSplitter,
        first: bytes,
    ) -> None:
        self._owner = owner
        self._run = run
        self._placement = placement
        self._exchange = exchange
        self._splitter = splitter
        self._first = first
        self._head = exchange.head

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Waits for the next bytes that can be forwarded.

        Raises:
            IncompleteStreamError: The stream cannot be completed.
            StopIteration: The stream is complete.
        """
        try:
            return self._next()
        except (IncompleteStreamError, StopIteration):
            raise
        except Exception as error:  # An unexpected error must not look like a complete stream.
            self._owner.record_unexpected(self._run, error)
            raise IncompleteStreamError(repr(error)) from error

    def _next(self) -> bytes:
        if self._first:
            data, self._first = self._first, b""
            return data
        while True:
            read = read_events(self._run, self._exchange, self._splitter)
            if isinstance(read, ExchangeFailure):
                self._owner.release(self._placement)
                self._splitter.discard_partial_event()
                self._placement, self._exchange = self._owner.continue_stream(
                    self._run, self._placement, read, self._splitter.last_id
                )
                continue
            if not read:
                self._end()
                raise StopIteration
            return read

    def close(self) -> None:
        """Closes the exchange, so that the endpoint cancels a request that is still running."""
        self._exchange.close()
        self._owner.release(self._placement)
        self._owner.forget(self._run)

    def _end(self) -> None:
        self._owner.release(self._placement)
        self._owner.end_stream(self._run, self._placement, self._head, self._exchange.transfer())


def read_events(
    run: RequestRun, exchange: Exchange, splitter: EventSplitter
) -> bytes | ExchangeFailure:
    """Waits for bytes that can be forwarded to the caller; returns empty bytes at the end.

    A stream that ends inside an event was broken off, and so was one without any event whose end is
    only that of its connection. Records the progress of the stream in `RequestRun.progress_at`.
    """
    while True:
        run.holding.resize(splitter.held_bytes)
        data = exchange.read_within(run.holding)
        if isinstance(data, ExchangeFailure):
            return data
        if not data:
            if splitter.has_partial_event:
                return ExchangeFailure(
                    "the stream ended inside an event", None, exchange.transfer()
                )
            if exchange.ends_with_connection and not run.has_event:
                return ExchangeFailure(
                    "the connection ended before the first event", None, exchange.transfer()
                )
            return data
        completed = splitter.completed
        data = splitter.feed(data)
        if splitter.completed != completed:
            run.record_event(clock.now())
        if splitter.is_oversized:
            return exchange.give_up("an event is too large")
        if data:
            return data
