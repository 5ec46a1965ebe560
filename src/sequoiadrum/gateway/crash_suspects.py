"""Decides by later signs whether endpoints crashed whose exchanges broke; performs no I/O.

A closed port shows a crash at once, but not every crashed process leaves one. Its address may not
reply at all, a forwarder in front of it may accept connections and end them, its port may close
later than its connections, or stay open in the hands of another process. A faulty link or endpoint
breaks exchanges too, and responds to the next requests.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.model import EndpointEntry

ABSENCE_S: Final = 1.0
"""An endpoint that no connection has reached for this time, and that has not responded, counts as
crashed. A lossy link loses single connection attempts, not all of them."""
SUSPICION_S: Final = 6.0
"""Time after which a broken exchange is no longer suspected. By then the endpoint has started
again, or the store has removed its entry after three heartbeats of 1.2 s without a sign of life."""
MAX_SUSPECTS: Final = 16
"""Endpoints that are observed at a time. More exchanges break at a time when power is lost, which
convicts nobody."""
MAX_EXCHANGES: Final = 128
"""Broken exchanges that are kept for one endpoint."""


class Listing(Enum):
    """What the store shows of the process that a broken exchange was with."""

    LISTED = "listed"
    LEAVING = "leaving"
    """It is listed, and leaves as planned."""
    RESTARTED = "restarted"
    """Another process has its id."""
    REMOVED = "removed"
    """Its entry was removed, or another endpoint has its address."""


class Evidence(Enum):
    """Why an endpoint counts as crashed."""

    REFUSED = "refused"
    """It refuses connections."""
    ABSENT = "absent"
    """It was not reached for `ABSENCE_S` and has not responded."""
    RESTARTED = "restarted"
    """Another process has its id, and it has not responded."""
    REMOVED = "removed"
    """Its entry was removed, and it has not responded."""


class Sighting(Enum):
    """What a new connection shows of an endpoint."""

    REACHED = "reached"
    NOT_REACHED = "not_reached"
    """There was no reply, or the connection was ended."""
    REFUSED = "refused"


@frozen
class BrokenExchange:
    """An exchange that an endpoint did not complete."""

    entry: EndpointEntry
    """Entry of the endpoint at the time."""
    request_id: str
    fingerprint: str
    """Fingerprint of the request."""
    parts: tuple[str, ...]
    """Shared parts of the request's prompt, in their order."""
    sent_at: float
    """Monotonic seconds at which the request was sent."""
    broken_at: float
    """Monotonic seconds at which the exchange broke."""


@define(eq=False)
class _Suspect:
    entry: EndpointEntry
    exchanges: list[BrokenExchange] = field(factory=list)
    missing_since: float | None = None
    """Monotonic seconds of the first of the sightings in a row that did not reach it."""
    evidence: Evidence | None = None


@define(eq=False)
class CrashSuspects:
    """The endpoints whose last exchanges broke, until they respond or count as crashed.

    Times are monotonic seconds.
    """

    _suspect_by_id: dict[str, _Suspect] = field(factory=dict)

    def add(self, exchange: BrokenExchange, sighting: Sighting, now: float) -> bool:
        """Adds a broken exchange, and what a connection showed of the endpoint right after it.

        Returns:
            False if too many endpoints or exchanges are observed.
        """
        endpoint_id = exchange.entry.instance_id
        suspect = self._suspect_by_id.get(endpoint_id)
        if suspect is None or not suspect.entry.is_same_process(exchange.entry):
            if suspect is None and len(self._suspect_by_id) >= MAX_SUSPECTS:
                return False
            suspect = self._suspect_by_id[endpoint_id] = _Suspect(exchange.entry)
        if len(suspect.exchanges) >= MAX_EXCHANGES:
            return False
        suspect.exchanges.append(exchange)
        self.record_sighting(endpoint_id, sighting, now)
        return True

    def entries(self) -> list[EndpointEntry]:
        """Returns the entries of all suspects, in the order in which they were added."""
        return [suspect.entry for suspect in self._suspect_by_id.values()]

    def is_suspect(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint is observed."""
        return endpoint_id in self._suspect_by_id

    def record_response(self, endpoint_id: str, sent_at: float) -> None:
        """Clears an endpoint of the exchanges that broke before a request to which it responded.

        Args:
            endpoint_id: Id of the endpoint.
            sent_at: When the request was sent.
        """
        self._keep(endpoint_id, lambda exchange: exchange.broken_at > sent_at)

    def record_sighting(self, endpoint_id: str, sighting: Sighting, now: float) -> None:
        """Records what a new connection showed of an endpoint."""
        suspect = self._suspect_by_id.get(endpoint_id)
        if suspect is None:
            return
        if sighting is Sighting.REFUSED:
            suspect.evidence = Evidence.REFUSED
        elif sighting is Sighting.REACHED:
            suspect.missing_since = None
        elif suspect.missing_since is None:
            suspect.missing_since = now
        elif now - suspect.missing_since >= ABSENCE_S:
            suspect.evidence = Evidence.ABSENT

    def record_listing(self, endpoint_id: str, listing: Listing) -> None:
        """Records what the store shows of the process of an endpoint."""
        suspect = self._suspect_by_id.get(endpoint_id)
        if suspect is None:
            return
        if listing is Listing.LEAVING:
            del self._suspect_by_id[endpoint_id]
        elif listing is Listing.RESTARTED:
            suspect.evidence = suspect.evidence or Evidence.RESTARTED
        elif listing is Listing.REMOVED:
            suspect.evidence = suspect.evidence or Evidence.REMOVED

    def take_crashed(self) -> list[tuple[Evidence, list[BrokenExchange]]]:
        """Removes the endpoints that count as crashed; returns the exchanges that they broke."""
        crashed = [
            (suspect.evidence, suspect.exchanges)
            for suspect in self._suspect_by_id.values()
            if suspect.evidence is not None
        ]
        for _, exchanges in crashed:
            del self._suspect_by_id[exchanges[0].entry.instance_id]
        return crashed

    def expire(self, now: float) -> None:
        """Forgets the exchanges that broke more than `SUSPICION_S` ago."""
        for endpoint_id in list(self._suspect_by_id):
            self._keep(endpoint_id, lambda exchange: exchange.broken_at > now - SUSPICION_S)

    def _keep(self, endpoint_id: str, condition: Callable[[BrokenExchange], bool]) -> None:
        suspect = self._suspect_by_id.get(endpoint_id)
        if suspect is None:
            return
        suspect.exchanges = [each for each in suspect.exchanges if condition(each)]
        if not suspect.exchanges:
            del self._suspect_by_id[endpoint_id]
