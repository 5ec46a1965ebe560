"""The platform's object service, as the rest of the program sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class PlatformFailure(Enum):
    """Why a call has no answer."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object has another version than expected; the write had no effect."""
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    """Refused by the platform before any effect."""
    UNREACHABLE = "unreachable"
    """No connection or an answer that says so; a write had no effect."""
    UNKNOWN = "unknown"
    """The answer was lost; a write may have taken effect."""


@frozen
class StoredObject:
    """One version of an object."""

    name: str
    version: int
    """Raised by each write of any object; 0 stands for an object that does not exist."""
    value: bytes


@frozen
class ListedInstance:
    """One line of the platform's lagging list of instances."""

    id: str
    host: str
    port: int
    role: str
    leaving: bool


class InstanceList(ABC):
    """Where a router finds others when it knows none."""

    @abstractmethod
    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """Reads the lagging list of live and leaving instances."""


class PlatformClient(InstanceList):
    """Conditional object store with watches and a list of instances.

    All calls block up to their timeout and give outcomes as values.
    """

    @abstractmethod
    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """Reads an object."""

    @abstractmethod
    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Writes an object of at most 1 MB if it has the expected version.

        Args:
            name: Slash-separated name.
            value: The new value.
            expected_version: The version to replace; 0 creates.

        Returns:
            The written version, or `CONFLICT`, `TOO_LARGE`, `RATE_LIMITED` and `UNREACHABLE`
            (no effect), or `UNKNOWN` (the effect must be found out by a read).
        """

    @abstractmethod
    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        """Deletes an object if it has the expected version."""

    @abstractmethod
    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        """Lists names and versions of the objects below a prefix."""

    @abstractmethod
    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        """Waits until an object has another version than the known one.

        Returns:
            The object, or None when nothing changed within the timeout.
        """
