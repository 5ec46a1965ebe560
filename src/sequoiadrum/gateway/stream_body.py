"""The body of a stream on its way to the client."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sequoiadrum.gateway.exchange import Broken
from sequoiadrum.gateway.model import RequestKind
from sequoiadrum.gateway.request_run import StreamBrokenError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiadrum.gateway.exchange import Exchange
    from sequoiadrum.gateway.model import ResponseHead
    from sequoiadrum.gateway.pool import EndpointPlacement
    from sequoiadrum.gateway.request_run import RequestRun
    from sequoiadrum.gateway.sse_framing import EventSplitter


class StreamOwner(ABC):
    """What a stream asks for when it ends or breaks."""

    @abstractmethod
    def continue_stream(
        self, run: RequestRun, place: EndpointPlacement, broken: Broken, last_event_id: str | None
    ) -> tuple[EndpointPlacement, Exchange]:
        """Continues a broken stream at another endpoint.

        Raises:
            StreamBrokenError: The stream cannot be finished.
        """

    @abstractmethod
    def end_stream(self, run: RequestRun, place: EndpointPlacement, head: ResponseHead) -> None:
        """Notes that a stream was passed on to its end."""

    @abstractmethod
    def release(self, place: EndpointPlacement) -> None:
        """Gives a place back; doing so again changes nothing."""


class StreamBody:
    """Gives the bytes of a stream as they come and continues it elsewhere where that is allowed.

    `close` must be called, also when the client has left.
    """

    def __init__(
        self,
        owner: StreamOwner,
        run: RequestRun,
        place: EndpointPlacement,
        exchange: Exchange,
        splitter: EventSplitter,
        first: bytes,
    ) -> None:
        self._owner = owner
        self._run = run
        self._place = place
        self._exchange = exchange
        self._splitter = splitter
        self._first = first
        self._head = exchange.head

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Waits for the next bytes.

        Raises:
            StreamBrokenError: The stream cannot be finished.
            StopIteration: The stream has ended as it should.
        """
        if self._first:
            data, self._first = self._first, b""
            return data
        while True:
            read = self._exchange.read()
            if isinstance(read, Broken):
                self._owner.release(self._place)
                self._splitter.drop_rest()
                self._place, self._exchange = self._owner.continue_stream(
                    self._run, self._place, read, self._splitter.last_id
                )
                continue
            if not read:
                self._end()
                raise StopIteration
            data = passable(self._run, self._splitter, read)
            if data:
                return data

    def close(self) -> None:
        """Ends the exchange; the endpoint drops a request that still runs."""
        self._exchange.close()
        self._owner.release(self._place)

    def _end(self) -> None:
        self._owner.release(self._place)
        if self._run.kind is RequestKind.RESUMABLE_STREAM and self._splitter.holds_rest:
            raise StreamBrokenError("the stream ended within an event")
        self._owner.end_stream(self._run, self._place, self._head)


def passable(run: RequestRun, splitter: EventSplitter, data: bytes) -> bytes:
    """Gives the part of the bytes that can be passed on to the client now."""
    whole = splitter.feed(data)
    # An unfinished event could not be continued by another endpoint.
    return whole if run.kind is RequestKind.RESUMABLE_STREAM else data
