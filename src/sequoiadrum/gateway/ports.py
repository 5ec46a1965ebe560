"""What the gateway asks of its surroundings; an adapter implements it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, ClassVar

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from returns.result import Result

    from sequoiadrum.gateway.model import (
        EndpointEntry,
        GatewayConfig,
        RequestHead,
        ResponseHead,
        StoredItem,
        StoredPage,
        StoreFailure,
        WatchResult,
    )
    from sequoiadrum.messages import Address


class HeaderCodec(ABC):
    """Translates HTTP headers."""

    @abstractmethod
    def decode_request(self, environ: Mapping[str, Any]) -> Result[RequestHead, str]:
        """Reads a request of a client, or tells what is wrong with it."""

    @abstractmethod
    def encode_request(
        self,
        call: RequestHead,
        endpoint_id: str,
        account: str | None,
        priority: int,
        time_left_s: float,
        last_event_id: str | None,
        context_source: Address | None,
    ) -> list[tuple[str, str]]:
        """Gives the headers of a request to an endpoint.

        Args:
            call: The client's request.
            endpoint_id: The incarnation that is meant; another one refuses the request.
            account: Name of the client account.
            priority: 0 to 9, 0 is admitted first.
            time_left_s: When the endpoint stops working, in seconds from now.
            last_event_id: Id of the last event that the client has; None starts from the first.
            context_source: Engine from which the endpoint copies parts of the prompt that it lacks.
        """

    @abstractmethod
    def decode_response(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> ResponseHead:
        """Reads the head of an endpoint's answer."""


@frozen
class AddressQuery:
    """A client asks which router to use."""

    host: str
    region: str
    failure_domain: str


class DirectoryCodec(ABC):
    """Translates questions about addresses."""

    directory_path: ClassVar[str]
    readiness_path: ClassVar[str]

    @abstractmethod
    def decode_query(self, query: str) -> AddressQuery:
        """Reads the query of a request; fields that are missing are empty."""

    @abstractmethod
    def encode_response(self, addresses: Sequence[Address], lifetime_s: float) -> bytes:
        """Writes the JSON body of an answer."""


class DocumentDecoder(ABC):
    """Finds and decodes the objects of the operator and the endpoints."""

    config_kind: ClassVar[str]
    config_name: ClassVar[str]
    endpoint_kind: ClassVar[str]

    @abstractmethod
    def decode_config(self, item: StoredItem) -> Result[GatewayConfig, str]:
        """Reads the configuration, or tells what is wrong with it."""

    @abstractmethod
    def decode_endpoint(self, item: StoredItem) -> Result[EndpointEntry, str]:
        """Reads an endpoint's entry, or tells why it names no endpoint to use."""


class Store(ABC):
    """The platform's store; calls block up to their timeout and give outcomes as values."""

    @abstractmethod
    def list(self, kind: str) -> Result[StoredPage, StoreFailure]:
        """Reads all objects of a kind."""

    @abstractmethod
    def get(self, kind: str, name: str) -> Result[StoredItem, StoreFailure]:
        """Reads one object."""

    @abstractmethod
    def watch(self, kind: str, revision: int, wait_s: float) -> Result[WatchResult, StoreFailure]:
        """Waits for changes of a kind after a revision; gives none when the wait ends."""

    @abstractmethod
    def create(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """Creates an object; `CONFLICT` when it exists."""

    @abstractmethod
    def replace(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """Replaces the content of an object."""

    @abstractmethod
    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """Removes an object."""
