"""Plain services, as the rest of the program sees them."""

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
    """Passed on in the `Idempotency-Key` header when not empty."""


@frozen
class Answered:
    """The service answered; the call ran."""

    status: int
    content_type: str
    body: bytes


@frozen
class NotSent:
    """No byte left this process; the call has not run and never will."""

    detail: str


@frozen
class MaybeSent:
    """A byte may have left and no whole answer came; the call may have run."""

    detail: str


CallOutcome = Answered | NotSent | MaybeSent


class ServiceClient(ABC):
    """One client for all plain services."""

    @abstractmethod
    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        """Makes one call without any retry."""
