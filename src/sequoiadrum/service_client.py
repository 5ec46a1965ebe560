"""Interface of the client that calls plain services, with its requests and outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from sequoiadrum.messages import Address


@frozen
class ServiceRequest:
    """One HTTP call to a plain service."""

    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str = ""
    """Value of the `Idempotency-Key` header; empty for a request without the header."""


@frozen
class Answered:
    """Reports that the service responded, with any status; the call ran."""

    status: int
    content_type: str
    body: bytes


@frozen
class NotSent:
    """Reports that no byte of the request was sent; the call has not run and never will."""

    detail: str


@frozen
class MaybeSent:
    """Reports that the call may have run.

    Part of the request may have been sent, and no complete response was received.
    """

    detail: str


CallOutcome = Answered | NotSent | MaybeSent


class ServiceClient(ABC):
    """Makes calls to all plain services."""

    @abstractmethod
    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        """Makes one call without retries; blocks.

        Args:
            address: Address of the service.
            request: The call.
            timeout_s: Time for the call, including the connect, in seconds.
        """
