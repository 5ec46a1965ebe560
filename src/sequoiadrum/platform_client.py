"""Interface of the platform's object store and instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


REVISIONS_PER_EPOCH: Final = 2**40
"""Versions of one epoch of the platform; at 300 writes a second they last a century."""


def version_in(epoch: int, revision: int) -> int:
    """Returns the version of an object that the platform shows in an epoch.

    A platform that is restored from an older copy begins a new epoch, in which revisions that the
    copy lacks are given out again. The epoch is a part of the version, so that versions always
    increase and a version of a former epoch is never the expected one.

    Args:
        epoch: Number of restores of the platform.
        revision: Revision that the platform names; 0 if the object does not exist.
    """
    return epoch * REVISIONS_PER_EPOCH + revision if revision else 0


def epoch_and_revision(version: int) -> tuple[int, int]:
    """Returns the arguments of `version_in` that give a version."""
    return divmod(version, REVISIONS_PER_EPOCH)


class PlatformFailure(Enum):
    """Reason for which a platform call failed."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object does not have the expected version; the write had no effect."""
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    """The platform rejected the call because of its rate limit; a write had no effect."""
    UNREACHABLE = "unreachable"
    """No connection could be opened, or the platform reported an outage; a write had no effect."""
    UNKNOWN = "unknown"
    """No usable response was received; a write may have taken effect."""


@frozen
class StoredObject:
    """An object of the store at one version."""

    name: str
    version: int
    """Increases with each write of any object; 0 means that the object does not exist.

    It increases as well if the platform is restored from a copy; see `version_in`.
    """
    value: bytes


@frozen
class ListedInstance:
    """An entry of the platform's instance list, which lags behind the running instances."""

    id: str
    host: str
    port: int
    role: str
    leaving: bool


class InstanceList(ABC):
    """Lists instances, so that a router without known members can discover other routers."""

    @abstractmethod
    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """Returns the live and leaving instances; the list lags behind the running instances."""


class PlatformClient(InstanceList):
    """Object store with conditional writes and watches, and a list of instances.

    Each call blocks for at most its timeout and returns failures as values.
    """

    @abstractmethod
    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """Returns the current version of an object."""

    @abstractmethod
    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Writes an object of at most 1 MB if its current version is the expected one.

        Args:
            name: Slash-separated name.
            value: The new value.
            expected_version: The version to replace; 0 creates the object.

        Returns:
            The written object with its new version; `CONFLICT`, `TOO_LARGE`, `RATE_LIMITED` or
            `UNREACHABLE` if the write had no effect; `UNKNOWN` if only a read can tell whether it
            took effect.
        """

    @abstractmethod
    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        """Deletes an object if its current version is the expected one."""

    @abstractmethod
    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        """Returns the names and versions of the objects whose names start with a prefix."""

    @abstractmethod
    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        """Waits until the version of an object differs from the known version.

        Returns:
            The object, or None if its version did not change within the timeout.
        """
