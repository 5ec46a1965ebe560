"""Leases with fencing numbers, judged without comparing the clocks of two machines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping


@frozen
class Lease:
    """Who may act on an object of the platform."""

    holder_id: str
    """Router; empty when the lease was released."""
    holder_process_id: int
    """Process of the router, so that a restarted router does not inherit the lease."""
    fencing_number: int
    """Platform version that the takeover replaced; each takeover has a higher one.

    The platform raises one version counter for all objects, so the numbers of takeovers of
    different objects are ordered too, and one engine can compare the orders of several plans.
    """

    def is_held_by(self, router_id: str, process_id: int) -> bool:
        """Whether a process holds the lease."""
        return self.holder_id == router_id and self.holder_process_id == process_id

    def released(self) -> Lease:
        """Gives the lease without a holder."""
        return Lease("", 0, self.fencing_number)

    def to_json(self) -> dict[str, Any]:
        """Gives the stored form."""
        return {
            "holder": self.holder_id,
            "process": self.holder_process_id,
            "fence": self.fencing_number,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> Lease:
        """Reads the stored form.

        Raises:
            KeyError, ValueError, TypeError: The document is not a lease.
        """
        return cls(str(document["holder"]), int(document["process"]), int(document["fence"]))


def take_over(router_id: str, process_id: int, replaced_version: int) -> Lease:
    """Gives the lease of a new holder.

    Args:
        router_id: The new holder.
        process_id: Its process.
        replaced_version: Version of the object that the takeover's conditional write expects.
    """
    return Lease(router_id, process_id, replaced_version)


@define
class LeaseObserver:
    """Judges on the observer's own monotonic clock whether a holder still renews its lease.

    The holder writes the object before a lease time has passed since the start of its last write.
    An observer that saw one version for a whole lease time therefore knows that the holder, too,
    considers its lease expired.
    """

    lease_s: float
    """Time without a new version after which a lease has expired."""
    _seen_by_name: dict[str, tuple[int, float]] = field(factory=dict)

    def observe(self, name: str, version: int, now: float) -> bool:
        """Notes a version; gives whether it has been the same for the lease time."""
        seen = self._seen_by_name.get(name)
        if seen is None or seen[0] != version:
            self._seen_by_name[name] = (version, now)
            return False
        return now - seen[1] >= self.lease_s

    def forget(self, name: str) -> None:
        """Drops what is known of an object."""
        self._seen_by_name.pop(name, None)
