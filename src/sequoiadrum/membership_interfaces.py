"""Interfaces through which the tasks of a router use its membership."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.messages import Member
    from sequoiadrum.tasks import Task


class MembershipSource(ABC):
    """Provides this router's view of the routers in the fleet."""

    @abstractmethod
    def self_id(self) -> str:
        """Returns the id of this router."""

    @abstractmethod
    def members(self) -> Mapping[str, Member]:
        """Returns an immutable snapshot of all known members by id, including this router."""

    @abstractmethod
    def subscribe(self, task: Task) -> None:
        """Subscribes a task to `MembersChanged` and `RumorReceived` messages."""

    @abstractmethod
    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """Broadcasts a rumor to all routers; a higher version of a key replaces a lower one.

        Args:
            kind: Kind of the rumor, by which receivers dispatch it.
            key: What the rumor is about, unique within its kind.
            version: Version of the rumor for this key.
            payload: Content of the rumor.
            ttl_s: Time after which the rumor expires, in seconds.
        """

    def report_unreachable(self, router_id: str) -> None:
        """Reports that a router does not accept connections; a hint. Never blocks."""
        return


class FleetLink(MembershipSource):
    """Membership with the peer contacts and revisions that configuration updates depend on."""

    @abstractmethod
    def last_contact_at(self) -> float | None:
        """Returns when a peer was last in contact (monotonic time in seconds), or None if never."""

    @abstractmethod
    def subscribe_revisions(self, task: Task) -> None:
        """Subscribes a task to `RevisionReceived` messages."""

    @abstractmethod
    def announce_revision(self, revision: int) -> None:
        """Announces to peers the configuration revision in force on this router; never blocks."""
