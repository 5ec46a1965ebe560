"""Interfaces to the platform; adapters implement them."""

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
    """Encodes and decodes the HTTP headers that the platform defines."""

    @abstractmethod
    def decode_request(self, environ: Mapping[str, Any]) -> Result[RequestHead, str]:
        """Decodes the head of a caller's request; a failure describes what is invalid."""

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
        """Returns the headers of a request to an endpoint.

        Args:
            call: The caller's request.
            endpoint_id: Incarnation that should run the request; any other one refuses it.
            account: Name of the client account, if there is one.
            priority: From 0 to 9; 0 is admitted first.
            time_left_s: Seconds from now after which the endpoint stops running the request.
            last_event_id: Id of the last event that the caller has; None starts from the first.
            context_source: Engine from which the endpoint copies prompt parts that it lacks.
        """

    @abstractmethod
    def decode_response(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> ResponseHead:
        """Decodes the head of an endpoint's response."""


@frozen
class AddressQuery:
    """A query for the addresses of a host's routers, with the location of the caller."""

    host: str
    region: str
    failure_domain: str


class DirectoryCodec(ABC):
    """Decodes address queries and encodes their responses."""

    directory_path: ClassVar[str]
    readiness_path: ClassVar[str]

    @abstractmethod
    def decode_query(self, query: str) -> AddressQuery:
        """Decodes the query string of a request; missing fields become empty strings."""

    @abstractmethod
    def encode_response(self, addresses: Sequence[Address], lifetime_s: float) -> bytes:
        """Returns the JSON body with the addresses and the seconds for which they are valid."""


class DocumentDecoder(ABC):
    """Names the store objects of the operator and the endpoints, and decodes them."""

    config_kind: ClassVar[str]
    config_name: ClassVar[str]
    endpoint_kind: ClassVar[str]
    evacuation_kind: ClassVar[str]
    """Kind of the operator's evacuations; an object is named after its failure domain."""

    @abstractmethod
    def decode_config(self, item: StoredItem) -> Result[GatewayConfig, str]:
        """Decodes the configuration; a failure describes what is invalid."""

    @abstractmethod
    def decode_endpoint(self, item: StoredItem) -> Result[EndpointEntry, str]:
        """Decodes an endpoint's entry; a failure describes why the entry cannot be used."""


class Store(ABC):
    """The platform's store; calls block up to their timeout and return failures as values.

    Everything that is read carries the epoch that the response named.
    """

    @abstractmethod
    def list(self, kind: str, may_be_stale: bool = False) -> Result[StoredPage, StoreFailure]:
        """Reads all objects of a kind.

        Args:
            kind: Kind of the objects.
            may_be_stale: Accepts a state of some seconds ago, which costs the store less.
        """

    @abstractmethod
    def get(self, kind: str, name: str) -> Result[StoredItem, StoreFailure]:
        """Reads one object."""

    @abstractmethod
    def watch(self, kind: str, revision: int, wait_s: float) -> Result[WatchResult, StoreFailure]:
        """Waits for changes of a kind after a revision.

        Returns:
            The changes; without events if there was none within `wait_s` seconds.
        """

    @abstractmethod
    def create(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """Creates an object; fails with `CONFLICT` if it exists."""

    @abstractmethod
    def replace(self, kind: str, name: str, document: object) -> Result[None, StoreFailure]:
        """Replaces the content of an object."""

    @abstractmethod
    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """Deletes an object."""
