"""The task that exchanges the loads of endpoints with other routers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gen.peer.ttypes import LoadReportKind
from sequoiadrum._thrift_transport import decode, encode
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.load_board import LoadBoard, Loads, hubs_by_domain
from sequoiadrum.hashing import rank
from sequoiadrum.messages import SideDatagram
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.gateway.pool import EndpointPool
    from sequoiadrum.gossip_task import GossipTask
    from sequoiadrum.messages import Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

REPORT_INTERVAL_S: Final = 0.5
"""How often each router reports its requests in flight."""
GROUP_INTERVAL_S: Final = 0.25
"""How often a hub sends the sums of its group to the other hubs."""
MAX_HUB_SILENCE_S: Final = 1.2
"""A hub that has not replied for this long is replaced by the next one."""
MAX_ENDPOINTS: Final = 160
"""Endpoints in one report, so that its datagram is not fragmented; those with most requests."""
MAX_PARTS: Final = 20
"""Prompt parts in one report; those with most requests."""
MAX_COUNT: Final = 100_000
"""A report with more requests at one endpoint or for one part is malformed."""


@frozen
class _ReportDue:
    """Timer message that sends a report to the hub."""


@frozen
class _GroupDue:
    """Timer message that sends the sums of the group to the other hubs."""


@frozen
class _Hubs:
    members: object
    """Snapshot of the members from which the hubs were computed."""
    own: tuple[Member, ...]
    """Hubs that this router reports to, the preferred one first."""
    others: tuple[Member, ...]
    """All hubs except this router, if this router is a hub; otherwise empty."""
    is_hub: bool


class LoadExchangeTask(Task):
    """Reports the requests of this router, and passes the requests of all others to the pool."""

    def __init__(
        self,
        gossip: GossipTask,
        pool: EndpointPool,
        failure_domain: str,
        metrics: Metrics,
        on_invariant: Callable[[], None],
    ) -> None:
        self._gossip = gossip
        self._pool = pool
        self._failure_domain = failure_domain
        self._board = LoadBoard()
        self._hubs = _Hubs(None, (), (), False)
        self._hub_index = 0
        self._replied_at = clock.now()
        super().__init__("load-exchange", metrics, on_invariant)
        gossip.subscribe_side_datagrams(self)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _ReportDue: self._on_report_due,
            _GroupDue: self._on_group_due,
            SideDatagram: self._on_datagram,
        }

    def run_on(self, timers: TimerService) -> None:
        """Starts the task and its timers."""
        self.start()
        timers.subscribe(self, REPORT_INTERVAL_S, _ReportDue())
        timers.subscribe(self, GROUP_INTERVAL_S, _GroupDue())

    def _on_report_due(self, _: _ReportDue) -> None:
        hubs = self._current_hubs()
        if hubs.is_hub or not hubs.own:
            return
        now = clock.now()
        if now - self._replied_at > MAX_HUB_SILENCE_S:
            self._replace_hub(hubs, now)
        own = self._pool.own_loads()
        sequence = self._board.next_report(own)
        hub = hubs.own[self._hub_index % len(hubs.own)]
        self._send(hub, LoadReportKind.OWN, sequence, own)

    def _on_group_due(self, _: _GroupDue) -> None:
        hubs = self._current_hubs()
        if not hubs.is_hub:
            return
        now = clock.now()
        own = self._pool.own_loads()
        group = self._board.group(own, now)
        for hub in hubs.others:
            self._send(hub, LoadReportKind.GROUP, 0, group)
        fleet = self._board.fleet(own, now)
        elsewhere = Counter(fleet.in_flight_by_endpoint)
        elsewhere.subtract(own.in_flight_by_endpoint)
        self._pool.set_fleet_loads(Loads(elsewhere, fleet.requests_by_part))

    def _on_datagram(self, message: SideDatagram) -> None:
        report = decode(ttypes.LoadReport(), message.data)
        if report is None or not _is_valid(report):
            self.metrics.count("malformed_datagrams_total")
            return
        sender = self._gossip.members().get(report.sender_id)
        if sender is None:
            return
        now = clock.now()
        loads = Loads(report.in_flight_by_endpoint, report.requests_by_part)
        if report.kind == LoadReportKind.OWN:
            if not self._current_hubs().is_hub:
                # A reply would lack the requests of the other groups.
                return
            self._board.record_router(sender.id, loads, now)
            fleet = self._board.fleet(self._pool.own_loads(), now)
            self._send(sender, LoadReportKind.FLEET, report.sequence, fleet)
        elif report.kind == LoadReportKind.GROUP:
            self._board.record_group(sender.id, loads, now)
        else:
            elsewhere = self._board.elsewhere(report.sequence, loads.in_flight_by_endpoint)
            if elsewhere is not None:
                self._replied_at = now
                self._pool.set_fleet_loads(Loads(elsewhere, loads.requests_by_part))

    def _replace_hub(self, hubs: _Hubs, now: float) -> None:
        self._gossip.report_unreachable(hubs.own[self._hub_index % len(hubs.own)].id)
        self.metrics.count("load_hub_changes_total")
        self._hub_index += 1
        self._replied_at = now

    def _send(self, to: Member, kind: LoadReportKind, sequence: int, loads: Loads) -> None:
        report = ttypes.LoadReport(
            kind,
            self._gossip.self_id(),
            sequence,
            self._truncate(loads.in_flight_by_endpoint, MAX_ENDPOINTS, "endpoints"),
            self._truncate(loads.requests_by_part, MAX_PARTS, "parts"),
        )
        self._gossip.send_side_datagram(to.peer_address, encode(report))

    def _truncate(self, counts: Mapping[int, int], limit: int, content: str) -> dict[int, int]:
        if len(counts) <= limit:
            return dict(counts)
        self.metrics.count("load_reports_truncated_total", content=content)
        return dict(Counter(counts).most_common(limit))

    def _current_hubs(self) -> _Hubs:
        members = self._gossip.members()
        if self._hubs.members is members:
            return self._hubs
        own_id = self._gossip.self_id()
        by_domain = hubs_by_domain(members.values())
        local = rank(own_id, by_domain.get(self._failure_domain, ()))
        remote = [
            hub
            for domain, ids in by_domain.items()
            if domain != self._failure_domain
            for hub in ids
        ]
        own = tuple(members[name] for name in (*local, *rank(own_id, remote)) if name != own_id)
        is_hub = own_id in local
        if own[:1] != self._hubs.own[:1]:
            self._hub_index = 0
            self._replied_at = clock.now()
        self._hubs = _Hubs(members, own, own if is_hub else (), is_hub)
        return self._hubs


def _is_valid(report: ttypes.LoadReport) -> bool:
    if report.kind is None or not report.sender_id or report.sequence is None:
        return False
    counts = (report.in_flight_by_endpoint, report.requests_by_part)
    return all(c is not None and all(0 <= n <= MAX_COUNT for n in c.values()) for c in counts)
