"""The task that exchanges loads and named rates of endpoints with other routers."""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Any, Final

from attrs import define, frozen

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gen.peer.ttypes import LoadReportKind
from sequoiadrum._thrift_transport import decode, encode
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.cold_endpoints import (
    MAX_COLD_GRANT_AGE_S,
    MAX_SHARED_S,
    cold_key,
    is_cold_key,
)
from sequoiadrum.gateway.load_board import LoadBoard, Loads, hubs_by_domain
from sequoiadrum.gateway.rate_limits import (
    MAX_LIMIT_TTL_S,
    MAX_WAIT_S,
    MIN_WAIT_S,
    Grant,
    NamedLimit,
    QuotaSource,
    quota_owner,
)
from sequoiadrum.hashing import rank
from sequoiadrum.messages import SideDatagram
from sequoiadrum.tasks import Ask, MailboxFullError, Task

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
MAX_RATE_LIMITS: Final = 60
"""Named rates in one report; those that expire last."""
ASK_TIMEOUT_S: Final = 0.05
"""Longest wait for the owner of a rate; a round trip takes a few milliseconds."""
MAX_GRANT_AGE_S: Final = 0.5
"""A unit that was granted longer ago is not used."""
ASSUMED_DELAY_S: Final = 0.05
"""Added to the age of a rate from a datagram. Without it, a rate that routers send back and forth
would look newer each time."""
SILENT_OWNER_WAIT_S: Final = 0.25
"""Time for which an endpoint is withheld after the owner of its rate did not reply."""
MAX_PENDING_ASKS: Final = 500
"""Asks that wait for replies; the oldest is given up."""
MAX_OWNERS: Final = 2_000
_LIFTED: Final = -1
"""Marks an endpoint that named no limit any more."""
_MILLI: Final = 1_000


@frozen
class _ReportDue:
    """Timer message that sends a report to the hub."""


@frozen
class _GroupDue:
    """Timer message that sends the sums of the group to the other hubs."""


@define(eq=False)
class _AskForQuota(Ask[Grant]):
    """Asks the owner of an endpoint's rate for one unit."""

    endpoint: int
    """Key of the endpoint, or its `cold_key`."""
    owner: Member
    permitted_per_s: float = 0.0
    """Requests that a cold endpoint may receive in one second."""


@frozen
class _Hubs:
    members: object
    """Snapshot of the members from which the hubs were computed."""
    own: tuple[Member, ...]
    """Hubs that this router reports to, the preferred one first."""
    others: tuple[Member, ...]
    """All hubs except this router, if this router is a hub; otherwise empty."""
    is_hub: bool


class LoadExchangeTask(Task, QuotaSource):
    """Reports the requests of this router, and passes the requests of all others to the pool.

    All datagrams carry the rates that endpoints named. Units of these rates are obtained from the
    router that owns the endpoint's rate.
    """

    def __init__(
        self,
        gossip: GossipTask,
        pool: EndpointPool,
        failure_domain: str,
        metrics: Metrics,
        on_invariant: Callable[[], None],
        may_have_peers: bool = False,
    ) -> None:
        self._may_have_peers = may_have_peers
        self._gossip = gossip
        self._pool = pool
        self._failure_domain = failure_domain
        self._board = LoadBoard()
        self._hubs = _Hubs(None, (), (), False)
        self._hub_index = 0
        self._replied_at = clock.now()
        self._ask_numbers = itertools.count(1)
        self._pending_by_ask: OrderedDict[int, _AskForQuota] = OrderedDict()
        self._owners: tuple[object, dict[int, str | None]] = (None, {})
        """Snapshot of the members, and the owners among them by endpoint."""
        super().__init__("load-exchange", metrics, on_invariant)
        gossip.subscribe_side_datagrams(self)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _ReportDue: self._on_report_due,
            _GroupDue: self._on_group_due,
            SideDatagram: self._on_datagram,
            _AskForQuota: self._on_ask,
        }

    def acquire(self, endpoint: int) -> bool:
        """See `QuotaSource.acquire`."""
        grant, outcome = self._request_unit(endpoint, 0.0, MAX_GRANT_AGE_S)
        self.metrics.count("rate_quota_asks_total", outcome=outcome)
        if not grant.is_granted:
            self._pool.rate_limits.refuse_until(endpoint, clock.now() + grant.wait_s)
        return grant.is_granted

    def acquire_cold(self, endpoint: int, permitted_per_s: float) -> bool:
        """See `QuotaSource.acquire_cold`."""
        key = cold_key(endpoint)
        grant, outcome = self._request_unit(key, permitted_per_s, MAX_COLD_GRANT_AGE_S)
        self.metrics.count("cold_quota_asks_total", outcome=outcome)
        if not grant.is_granted:
            self._pool.cold.refuse_until(endpoint, clock.now() + grant.wait_s)
        return grant.is_granted

    def _request_unit(
        self, key: int, permitted_per_s: float, max_age_s: float
    ) -> tuple[Grant, str]:
        """Asks the owner of a rate for a unit; returns its decision and how it came about."""
        members = self._gossip.members()
        asked_at = clock.now()
        owner_id = self._owner_id(key)
        if owner_id is None or owner_id == self._gossip.self_id():
            grant = self._decide(key, permitted_per_s, clock.now())
            outcome = "granted" if grant.is_granted else "refused"
        else:
            ask = _AskForQuota(key, members[owner_id], permitted_per_s)
            try:
                grant = self.ask(ask).result(ASK_TIMEOUT_S)
                outcome = "granted" if grant.is_granted else "refused"
            except (TimeoutError, MailboxFullError):
                self._gossip.report_unreachable(owner_id)
                grant, outcome = Grant(is_granted=False, wait_s=SILENT_OWNER_WAIT_S), "no_reply"
        if grant.is_granted and clock.now() - asked_at > max_age_s:
            # The process was paused; the owner has handed out further units since.
            grant, outcome = Grant(is_granted=False, wait_s=MIN_WAIT_S), "expired"
        return grant, outcome

    def _decide(self, key: int, permitted_per_s: float, now: float) -> Grant:
        if is_cold_key(key):
            return self._pool.cold.quotas.decide(key, permitted_per_s, now)
        return self._pool.rate_limits.decide(key, now)

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
        self._observe_members()
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
        self._merge_rate_limits(report, now)
        loads = Loads(report.in_flight_by_endpoint, report.requests_by_part)
        if report.kind == LoadReportKind.ASK:
            self._reply_to_ask(sender, report, now)
        elif report.kind == LoadReportKind.GRANT:
            self._receive_grant(report)
        elif report.kind == LoadReportKind.OWN:
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

    def _on_ask(self, ask: _AskForQuota) -> None:
        number = next(self._ask_numbers)
        self._pending_by_ask[number] = ask
        if len(self._pending_by_ask) > MAX_PENDING_ASKS:
            self._pending_by_ask.popitem(last=False)
        self._send_quota(
            ask.owner,
            LoadReportKind.ASK,
            number,
            ttypes.Quota(ask.endpoint),
            ask.permitted_per_s,
        )

    def _observe_members(self) -> None:
        contact_at = self._gossip.last_contact_at()
        # The membership takes its times from another clock.
        silence_s = math.inf if contact_at is None else time.monotonic() - contact_at
        self._pool.cold.quotas.observe(
            self._gossip.self_id(),
            self._gossip.members(),
            silence_s,
            self._may_have_peers,
            clock.now(),
        )

    def _reply_to_ask(self, sender: Member, report: ttypes.LoadReport, now: float) -> None:
        endpoint = report.quota.endpoint
        if self._owner_id(endpoint) != self._gossip.self_id():
            # The asking router knows other members. Two owners would double the rate.
            grant = Grant(is_granted=False, wait_s=SILENT_OWNER_WAIT_S)
        else:
            named = (report.rate_limit_by_endpoint or {}).get(endpoint)
            permitted_per_s = named.milli_per_s / _MILLI if named is not None else 0.0
            grant = self._decide(endpoint, permitted_per_s, now)
        quota = ttypes.Quota(endpoint, grant.is_granted, round(grant.wait_s * _MILLI))
        self._send_quota(sender, LoadReportKind.GRANT, report.sequence, quota)

    def _receive_grant(self, report: ttypes.LoadReport) -> None:
        ask = self._pending_by_ask.pop(report.sequence, None)
        # The reply of a former owner, or one to an earlier process, decides nothing.
        if ask is None or report.sender_id != ask.owner.id:
            return
        wait_s = (report.quota.wait_ms or 0) / _MILLI
        ask.answer(Grant(bool(report.quota.is_granted), min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))))

    def _owner_id(self, endpoint: int) -> str | None:
        members = self._gossip.members()
        snapshot, owner_by_endpoint = self._owners
        if snapshot is not members or len(owner_by_endpoint) > MAX_OWNERS:
            owner_by_endpoint = {}
            self._owners = (members, owner_by_endpoint)
        if endpoint not in owner_by_endpoint:
            owner_by_endpoint[endpoint] = quota_owner(endpoint, members)
        return owner_by_endpoint[endpoint]

    def _merge_rate_limits(self, report: ttypes.LoadReport, now: float) -> None:
        for endpoint, limit in (report.rate_limit_by_endpoint or {}).items():
            if is_cold_key(endpoint):
                left_s = MAX_LIMIT_TTL_S - limit.age_ms / _MILLI - ASSUMED_DELAY_S
                self._pool.cold.record_statement(cold_key(endpoint), left_s, now)
                continue
            rate = None if limit.milli_per_s == _LIFTED else limit.milli_per_s / _MILLI
            named = NamedLimit(rate, now - limit.age_ms / _MILLI - ASSUMED_DELAY_S)
            self._pool.rate_limits.record(endpoint, named, now)

    def _encode_rate_limits(
        self, endpoint: int | None = None
    ) -> dict[int, ttypes.RateLimit] | None:
        """Returns the known rates, or that of one endpoint."""
        now = clock.now()
        known = self._pool.rate_limits.known(now)
        if endpoint is not None:
            known = {endpoint: known[endpoint]} if endpoint in known else {}
        newest = sorted(known.items(), key=lambda item: item[1].expires_at, reverse=True)
        if len(newest) > MAX_RATE_LIMITS:
            self.metrics.count("load_reports_truncated_total", content="rates")
        return {
            key: ttypes.RateLimit(
                (_LIFTED if named.requests_per_s is None else _milli(named.requests_per_s)),
                max(0, round((now - named.observed_at) * _MILLI)),
            )
            for key, named in newest[:MAX_RATE_LIMITS]
        } or None

    def _encode_cold_endpoints(self) -> dict[int, ttypes.RateLimit]:
        """Returns the rates of cold endpoints by `cold_key`.

        Their age is such that they expire when the endpoint becomes warm.
        """
        stated = self._pool.cold.stated(clock.now())
        if len(stated) > MAX_RATE_LIMITS:
            self.metrics.count("load_reports_truncated_total", content="cold")
        longest = sorted(stated.items(), key=lambda item: item[1], reverse=True)
        milli_per_s = _milli(self._pool.cold.permitted_per_s())
        return {
            cold_key(endpoint): ttypes.RateLimit(
                milli_per_s, round((MAX_LIMIT_TTL_S - min(MAX_SHARED_S, left_s)) * _MILLI)
            )
            for endpoint, left_s in longest[:MAX_RATE_LIMITS]
        }

    def _send_quota(
        self,
        to: Member,
        kind: LoadReportKind,
        number: int,
        quota: ttypes.Quota,
        permitted_per_s: float = 0.0,
    ) -> None:
        if is_cold_key(quota.endpoint):
            # It has the highest age, so that it does not tell for how long the endpoint is cold.
            limit = ttypes.RateLimit(_milli(permitted_per_s), round(MAX_LIMIT_TTL_S * _MILLI))
            limits: dict[int, ttypes.RateLimit] | None = {quota.endpoint: limit}
        else:
            limits = self._encode_rate_limits(quota.endpoint)
        report = ttypes.LoadReport(kind, self._gossip.self_id(), number, {}, {}, limits, quota)
        self._gossip.send_side_datagram(to.peer_address, encode(report))

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
            {**(self._encode_rate_limits() or {}), **self._encode_cold_endpoints()} or None,
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


def _milli(requests_per_s: float) -> int:
    return min(MAX_COUNT * _MILLI, round(requests_per_s * _MILLI))


def _is_valid(report: ttypes.LoadReport) -> bool:
    if report.kind is None or not report.sender_id or report.sequence is None:
        return False
    is_quota = report.kind in (LoadReportKind.ASK, LoadReportKind.GRANT)
    if is_quota and (report.quota is None or report.quota.endpoint is None):
        return False
    limits = (report.rate_limit_by_endpoint or {}).values()
    if not all(
        limit.milli_per_s is not None
        and limit.age_ms is not None
        and _LIFTED <= limit.milli_per_s <= MAX_COUNT * _MILLI
        and 0 <= limit.age_ms <= MAX_LIMIT_TTL_S * _MILLI
        for limit in limits
    ):
        return False
    counts = (report.in_flight_by_endpoint, report.requests_by_part)
    return all(c is not None and all(0 <= n <= MAX_COUNT for n in c.values()) for c in counts)
