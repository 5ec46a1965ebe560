"""Leases with fencing numbers; their expiry needs no comparison of clocks between machines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping


@frozen
class Lease:
    """Identifies the process that may act on an object of the platform."""

    holder_id: str
    """Id of the router that holds the lease; empty after a release."""
    holder_process_id: int
    """Id of the process that holds the lease; a restarted router thus does not inherit it."""
    fencing_number: int
    """Version of the object that the takeover replaced; it increases with each takeover.

    The platform increments one version counter for all objects, so the numbers of different
    objects are ordered too, and an engine can compare the orders of several plans.
    """

    def is_held_by(self, router_id: str, process_id: int) -> bool:
        """Returns whether a process of a router holds the lease."""
        return self.holder_id == router_id and self.holder_process_id == process_id

    def released(self) -> Lease:
        """Returns the lease without a holder."""
        return Lease("", 0, self.fencing_number)

    def to_json(self) -> dict[str, Any]:
        """Returns the stored JSON document."""
        return {
            "holder": self.holder_id,
            "process": self.holder_process_id,
            "fence": self.fencing_number,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> Lease:
        """Parses a stored JSON document.

        Raises:
            KeyError, ValueError, TypeError: The document is not a lease.
        """
        return cls(str(document["holder"]), int(document["process"]), int(document["fence"]))


def take_over(router_id: str, process_id: int, replaced_version: int) -> Lease:
    """Returns the lease of a new holder.

    Args:
        router_id: Id of the router that takes the lease over.
        process_id: Id of its process.
        replaced_version: Version of the object that the conditional write of the takeover expects.
    """
    return Lease(router_id, process_id, replaced_version)


@define
class LeaseObserver:
    """Detects expired leases with the monotonic clock of the observer alone.

    A holder renews its lease by a write of the object, within one lease time after the start of
    its last write. If an observer sees the same version for a full lease time, the holder
    therefore considers its lease expired too.
    """

    lease_s: float
    """Time without a new version after which a lease has expired, in seconds."""
    _seen_by_name: dict[str, tuple[int, float]] = field(factory=dict)
    """Version last seen of each object, and the time at which it was first seen."""

    def observe(self, name: str, version: int, now: float) -> bool:
        """Records the version of an object; returns whether its lease has expired.

        Args:
            name: Name of the object.
            version: Version that was read.
            now: Current time on the monotonic clock, in seconds.
        """
        seen = self._seen_by_name.get(name)
        if seen is None or seen[0] != version:
            self._seen_by_name[name] = (version, now)
            return False
        return now - seen[1] >= self.lease_s

    def forget(self, name: str) -> None:
        """Discards the recorded version of an object."""
        self._seen_by_name.pop(name, None)
