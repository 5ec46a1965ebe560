"""Decides which requests of a service are admitted while its room is short; performs no I/O.

Designed for services whose endpoints are short of slots for some seconds: a burst of long drafts
on the engines that answer short questions, an account that sends many times its usual, endpoints
that crash. A request that cannot be served in time is refused at once; else every request is
admitted until so many wait that callers would give up. From then on the router keeps to its part
of the slots: what it has in flight as a share of what all routers have. The parts add up to the
slots however many routers there are.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.gateway.room import Expectation, Room

NEED_HALF_LIFE_S: Final = 2.0
"""Time after which the need of a request counts half; about the time of a long draft."""
ACCOUNT_HALF_LIFE_S: Final = 5.0
"""The same for the requests of one account; one router gets few of them."""
USUAL_HALF_LIFE_S: Final = 60.0
"""The same for what is usual for an account."""
USUAL_MULTIPLE: Final = 1.5
"""Multiple of its usual part of the requests that an account may send before it counts as hot."""
COUNT_SLACK: Final = 3.0
"""Requests of an account beyond that multiple that chance explains."""
USUAL_PRIOR: Final = 100.0
"""Requests, in equal parts of all accounts, that are added to the usual ones. Until a router has
seen about as many, it does not know which accounts are large."""
MIN_ACCOUNT_SHARE: Final = 0.25
"""Share of its requests that a hot account keeps in any case."""
KEPT_SHARE: Final = 0.5
"""Share of its proportional part that each priority keeps, however many more urgent there are."""
SHARES_INTERVAL_S: Final = 0.1
"""Time after which the shares are computed again."""
RETURNING_MULTIPLE: Final = 2.0
"""Multiple of the admitted share for requests that were refused before."""
RETURNING_SHARE: Final = 0.97
"""A request whose caller waits less than this share of the longest wait on its route has used time
before it arrived: it was refused and came back."""
LONGEST_WAIT_DECAY: Final = 0.01
"""Share by which the longest wait of a route approaches that of each further request, so that one
caller with much patience does not make all others look as if they came back."""
MAX_WAIT_SHARE: Final = 0.33
"""Callers wait for at most a third of the time that they have left."""
CAPPED_SPREAD: Final = 0.3
"""Share of that third over which the callers are spread whose turn would come later."""
MIN_RETURN_S: Final = 0.1
MAX_RETURN_S: Final = 3.0
"""Bounds on the time after which a refused caller is asked to come back."""
TOLERATED_WAIT_SHARE: Final = 0.4
"""Share of the time after which callers give up that requests may wait for a slot on average. A
shorter wait at an endpoint serves more callers than a refusal does."""
MIN_CORRECTION: Final = 0.7
MAX_CORRECTION: Final = 1.1
"""Bounds on the factor by which a router corrects its part of the slots."""
PART_HALF_LIFE_S: Final = 5.0
"""Time after which an observation of this router's part of all requests counts half."""
PART_PRIOR: Final = 2.0
"""Seconds of equal parts of all routers that count beside the observed ones."""
HOT_USUAL_WEIGHT: Final = 0.1
"""Weight of the requests of a hot account in what is usual for it; it is hot for some seconds, or
else slowly becomes usual."""
MIN_PART: Final = 0.1
"""A router's part is at least this multiple of an equal part of all routers."""
OWN_WINDOW_S: Final = 1.0
"""Time constant with which the requests of this router in flight are smoothed."""
BYTES_SHORT_SHARE: Final = 0.5
"""Share of the memory for responses from which the least urgent requests are refused; responses
that hold much wait from there on."""
MAX_ACCOUNTS: Final = 2_000
"""Accounts whose requests are counted; those that were counted longest ago are forgotten."""


class Outcome(Enum):
    """What was decided about a request; each has a counter."""

    ADMITTED = "admitted"
    TOO_LATE = "too_late"
    """Its caller would have given up before the response could begin or end."""
    ACCOUNT_SHARE = "account_share"
    """All slots are taken, and its account sends more than its part."""
    URGENT_FIRST = "urgent_first"
    """All slots are taken, and more urgent requests need them."""
    BYTES_HELD = "bytes_held"
    """This router holds so many bytes for others that it keeps the rest for more urgent ones."""


@frozen
class Demand:
    """A request that asks for a slot."""

    priority: int
    """0 is the most urgent."""
    account: str
    """Name of its account; empty without one."""
    route: str
    wait_s: float
    """Time for which its caller said it would wait; infinity if it did not say."""
    first_left_s: float
    """Time until its caller gives up on a response that has not begun."""
    done_left_s: float
    """Time until the response must be complete."""
    spread: float
    """From 0 to 1, different for each request."""
    held_share: float = 0.0
    """What this router holds of responses, as a share of its memory for them."""


@frozen
class Admission:
    """The decision on a request, with what it was based on."""

    outcome: Outcome
    retry_after_s: float | None = None
    """Seconds after which the caller should come back; None if the request is admitted."""
    share: float = 1.0
    """Share of the requests of its priority and account that is admitted."""


@define(eq=False)
class DecayedSum:
    """A sum of amounts whose weight halves in a given time."""

    half_life_s: float
    _value: float = 0.0
    _at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at a time in monotonic seconds."""
        self._value = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Returns the sum at a time in monotonic seconds."""
        return self._value * 0.5 ** (max(0.0, now - self._at) / self.half_life_s)


@define(eq=False)
class _AccountUse:
    recent: DecayedSum = field(factory=lambda: DecayedSum(ACCOUNT_HALF_LIFE_S))
    usual: DecayedSum = field(factory=lambda: DecayedSum(USUAL_HALF_LIFE_S))


def account_shares(
    recent_by_account: Mapping[str, float],
    usual_by_account: Mapping[str, float],
    shortage: float,
) -> dict[str, float]:
    """Returns the share of the requests of each hot account that is admitted.

    Accounts may send an equal part of all requests, or a multiple of what is usual for them. Only
    what goes beyond that is refused, and no more of it than is needed.

    Args:
        recent_by_account: Recent requests.
        usual_by_account: Requests over a longer time.
        shortage: Share of all requests for which there is no slot.

    Returns:
        The shares of the hot accounts; all others keep 1.
    """
    total, usual_total = sum(recent_by_account.values()), sum(usual_by_account.values())
    accounts = len(recent_by_account)
    if accounts < 2:
        return {}
    excess_by_account = {}
    for account, recent in recent_by_account.items():
        allowed = _allowed(usual_by_account.get(account, 0.0), usual_total, total, accounts)
        if recent > allowed:
            excess_by_account[account] = recent - allowed
    excess = sum(excess_by_account.values())
    if excess <= 0:
        return {}
    cut = min(1.0, shortage * total / excess)
    return {
        account: max(MIN_ACCOUNT_SHARE, 1 - cut * beyond / recent_by_account[account])
        for account, beyond in excess_by_account.items()
    }


def _allowed(usual: float, usual_total: float, recent_total: float, accounts: int) -> float:
    """Returns the recent requests that an account may send before it counts as hot."""
    part = (usual + USUAL_PRIOR / accounts) / (usual_total + USUAL_PRIOR)
    return max(1 / accounts, USUAL_MULTIPLE * part) * recent_total + COUNT_SLACK


def priority_shares(need_by_priority: Mapping[int, float], capacity: float) -> dict[int, float]:
    """Returns the share of the requests of each priority that is admitted.

    What the requests of a priority lose grows with their distance from the most urgent ones, which
    lose nothing as long as the others have more than `KEPT_SHARE` of what an equal share for all
    would leave them.

    Args:
        need_by_priority: Slots that the requests of each priority need.
        capacity: Slots that there are for all of them.
    """
    total = sum(need_by_priority.values())
    shortage = total - capacity
    shares = dict.fromkeys(need_by_priority, 1.0)
    if shortage <= 0 or total <= 0:
        return shares
    most_lost = 1 - KEPT_SHARE * max(0.0, capacity) / total
    open_priorities = set(need_by_priority)
    most_urgent = min(open_priorities)
    while open_priorities and shortage > 0:
        weighted = sum(need_by_priority[p] * (p - most_urgent) for p in open_priorities)
        if weighted <= 0:
            break
        scale = shortage / weighted
        capped = {p for p in open_priorities if scale * (p - most_urgent) >= most_lost}
        for priority in capped or open_priorities:
            lost = min(most_lost, scale * (priority - most_urgent))
            shares[priority] = 1 - lost
            shortage -= lost * need_by_priority[priority]
        open_priorities = open_priorities - capped if capped else set()
    urgent_need = need_by_priority[most_urgent]
    if shortage > 0 and urgent_need > 0:
        shares[most_urgent] = max(0.0, 1 - shortage / urgent_need)
    return shares


@define(eq=False)
class ReturnQueue:
    """Assigns the times at which refused callers come back: the first who left returns first."""

    _next_at: float = 0.0

    def join(self, wait_s: float, interval_s: float, spread: float, now: float) -> float:
        """Returns the seconds after which the next refused caller should come back.

        Args:
            wait_s: Time until there may be room again.
            interval_s: Time between two callers for whom there is room.
            spread: From 0 to 1; position within the interval.
            now: Monotonic seconds.
        """
        latest_at = now + MAX_RETURN_S
        start_at = min(max(self._next_at, now + wait_s), latest_at)
        self._next_at = start_at + interval_s
        return start_at + spread * interval_s - now


@define(eq=False)
class AdmissionControl:
    """Admits the requests for one service."""

    _need_by_priority: dict[int, DecayedSum] = field(factory=dict)
    """Slots that the requests needed, admitted or not, in seconds of a slot."""
    _admitted_requests: DecayedSum = field(factory=lambda: DecayedSum(NEED_HALF_LIFE_S))
    _use_by_account: dict[str, _AccountUse] = field(factory=dict)
    """In the order of their last request."""
    _recent: DecayedSum = field(factory=lambda: DecayedSum(ACCOUNT_HALF_LIFE_S))
    """Requests of all accounts."""
    _usual: DecayedSum = field(factory=lambda: DecayedSum(USUAL_HALF_LIFE_S))
    _longest_wait_by_route: dict[str, float] = field(factory=dict)
    _credit_by_class: dict[tuple[int, str], float] = field(factory=dict)
    """What is left of the shares of a priority, or of one account in it; a request takes 1."""
    _share_by_priority: dict[int, float] = field(factory=dict)
    _share_by_account: dict[str, float] = field(factory=dict)
    _mean_need_s: float = 0.0
    """Mean time for which a request holds a slot; 0 if unknown."""
    _short_since: float | None = None
    """Monotonic seconds at which the slots became too few; None while they suffice."""
    _own_sum: float = 0.0
    """Requests of this router in flight, in request-seconds, with exponential decay."""
    _fleet_sum: float = 0.0
    """The same of all routers."""
    _fleet_s: float = 0.0
    """Seconds that these sums cover."""
    _observed_at: float = -math.inf
    _recent_own: float = 0.0
    """Smoothed requests of this router in flight."""
    _shares_at: float = -math.inf
    _returns: ReturnQueue = field(factory=ReturnQueue)

    def decide(
        self,
        demand: Demand,
        room: Room,
        expected: Expectation | None,
        need_s: float,
        mean_need_s: float,
        queue_s: float,
        routers: int,
        now: float,
    ) -> Admission:
        """Decides whether a request is admitted, and counts it.

        Args:
            demand: The request.
            room: Room of its service.
            expected: Time that it takes at the endpoint with the shortest queue; None if unknown.
            need_s: Time for which it holds a slot; 0 if unknown.
            mean_need_s: The same for all requests to the service.
            queue_s: Time until a slot is free at the endpoint with the shortest queue.
            routers: Number of routers; used until the part of this one is known.
            now: Monotonic seconds.
        """
        self._observe(room, now)
        self._mean_need_s = mean_need_s
        self._count(demand, need_s or 1.0, now)
        if not self._has_memory_for(demand):
            return self._refuse(demand, Outcome.BYTES_HELD, queue_s, now)
        if not room.is_calm:
            if expected is not None and _is_too_late(demand, expected):
                return self._refuse(demand, Outcome.TOO_LATE, queue_s, now)
            refusal = self._limit(demand, room, queue_s, routers, now)
            if refusal is not None:
                return refusal
        self._admitted_requests.add(1.0, now)
        return Admission(Outcome.ADMITTED)

    def return_after_s(self, demand: Demand, queue_s: float, now: float) -> float:
        """Returns the seconds after which the caller of a refused request should come back.

        Args:
            demand: The request.
            queue_s: Time until a slot is free.
            now: Monotonic seconds.
        """
        admitted_per_s = self._admitted_requests.value(now) * math.log(2) / NEED_HALF_LIFE_S
        interval_s = min(1.0, 1.0 / max(1.0, admitted_per_s))
        # How long it has been short is the best guess of how long it will be.
        short_s = 0.0 if self._short_since is None else now - self._short_since
        wait_s = max(MIN_RETURN_S, queue_s, short_s)
        wait_s = self._returns.join(wait_s, interval_s, demand.spread, now)
        longest_s = max(MIN_RETURN_S, MAX_WAIT_SHARE * demand.done_left_s)
        # Callers with little time left would otherwise all return at the end of what they honour.
        return min(wait_s, longest_s * (1 - CAPPED_SPREAD * demand.spread))

    def part(self, routers: int) -> float:
        """Returns this router's part of the requests of all routers."""
        equal = 1 / max(1, routers)
        if self._fleet_s <= 0:
            return equal
        observed = self._own_sum / max(1e-9, self._fleet_sum)
        weight = self._fleet_s / (self._fleet_s + PART_PRIOR)
        return max(MIN_PART * equal, weight * observed + (1 - weight) * equal)

    def _count(self, demand: Demand, need: float, now: float) -> None:
        priority = demand.priority
        if priority not in self._need_by_priority:
            self._need_by_priority[priority] = DecayedSum(NEED_HALF_LIFE_S)
        self._need_by_priority[priority].add(need, now)
        use = self._use_by_account.pop(demand.account, None) or _AccountUse()
        self._use_by_account[demand.account] = use
        use.recent.add(1.0, now)
        self._recent.add(1.0, now)
        accounts = len(self._use_by_account)
        allowed = _allowed(
            use.usual.value(now), self._usual.value(now), self._recent.value(now), accounts
        )
        is_hot = use.recent.value(now) > allowed
        weight = HOT_USUAL_WEIGHT if is_hot else 1.0
        use.usual.add(weight, now)
        self._usual.add(weight, now)
        if len(self._use_by_account) > MAX_ACCOUNTS:
            del self._use_by_account[next(iter(self._use_by_account))]
        if math.isfinite(demand.wait_s):
            longest_s = self._longest_wait_by_route.get(demand.route, 0.0)
            longest_s += LONGEST_WAIT_DECAY * min(0.0, demand.wait_s - longest_s)
            self._longest_wait_by_route[demand.route] = max(longest_s, demand.wait_s)

    def _has_memory_for(self, demand: Demand) -> bool:
        """Returns whether the bytes that this router holds leave room for a priority.

        From `BYTES_SHORT_SHARE` on, the priorities are refused one after the other, the least
        urgent first; the most urgent one never is.
        """
        if demand.held_share < BYTES_SHORT_SHARE:
            return True
        priorities = sorted(self._need_by_priority)
        left = max(0.0, 1 - demand.held_share) / (1 - BYTES_SHORT_SHARE)
        admitted = max(1, math.ceil(left * len(priorities)) - 1)
        return demand.priority in priorities[:admitted]

    def _limit(
        self, demand: Demand, room: Room, queue_s: float, routers: int, now: float
    ) -> Admission | None:
        """Returns the refusal of a request for which no slot is left; None if one is."""
        tolerated = room.slots * self._tolerated_occupancy(demand)
        part = self.part(routers)
        taken = room.taken if room.is_fleet_known else self._recent_own / part
        if taken <= tolerated:
            if taken <= room.slots:
                self._short_since = None
            return None
        if self._short_since is None:
            self._short_since = now
        if now - self._shares_at >= SHARES_INTERVAL_S:
            self._compute_shares(part * room.slots, taken / max(1.0, tolerated), now)
        priority_share = self._share_by_priority.get(demand.priority, 1.0)
        account_share = self._share_by_account.get(demand.account, 1.0)
        share = priority_share * account_share
        if self._is_returning(demand):
            share *= RETURNING_MULTIPLE
        if share >= 1.0:
            return None
        key = (demand.priority, demand.account if account_share < 1.0 else "")
        credit = self._credit_by_class.get(key, demand.spread) + share
        self._credit_by_class[key] = credit if credit < 1.0 else credit - 1.0
        if credit >= 1.0:
            return None
        is_account = account_share < priority_share
        outcome = Outcome.ACCOUNT_SHARE if is_account else Outcome.URGENT_FIRST
        return self._refuse(demand, outcome, queue_s, now, share)

    def _compute_shares(self, own_slots: float, exceeded: float, now: float) -> None:
        self._shares_at = now
        need_by_priority = {p: need.value(now) for p, need in self._need_by_priority.items()}
        total = sum(need_by_priority.values())
        correction = min(MAX_CORRECTION, max(MIN_CORRECTION, 2 - exceeded))
        # Sums of needs count about this many seconds.
        counted_s = NEED_HALF_LIFE_S / math.log(2)
        capacity = correction * own_slots * counted_s
        shortage = max(0.0, 1 - capacity / total) if total > 0 else 0.0
        recent = {a: use.recent.value(now) for a, use in self._use_by_account.items()}
        usual = {a: use.usual.value(now) for a, use in self._use_by_account.items()}
        self._share_by_account = account_shares(recent, usual, shortage)
        spared = sum((1 - share) * recent[a] for a, share in self._share_by_account.items())
        left = max(0.0, shortage - spared / max(1e-9, sum(recent.values())))
        self._share_by_priority = priority_shares(need_by_priority, total * (1 - left))
        self._credit_by_class = {
            key: credit
            for key, credit in self._credit_by_class.items()
            if not key[1] or key[1] in self._share_by_account
        }

    def _observe(self, room: Room, now: float) -> None:
        """Records how many of the requests in flight are those of this router."""
        elapsed_s = min(1.0, now - self._observed_at)
        if elapsed_s < SHARES_INTERVAL_S:
            return
        self._observed_at = now
        weight = 1 - math.exp(-elapsed_s / OWN_WINDOW_S)
        self._recent_own += weight * (room.own - self._recent_own)
        # Without reports of the others, the last known part stays.
        if room.is_fleet_known and room.taken > 0:
            kept = 0.5 ** (elapsed_s / PART_HALF_LIFE_S)
            self._own_sum = kept * self._own_sum + room.own * elapsed_s
            self._fleet_sum = kept * self._fleet_sum + room.taken * elapsed_s
            self._fleet_s = kept * self._fleet_s + elapsed_s

    def _tolerated_occupancy(self, demand: Demand) -> float:
        """Returns the requests at the endpoints, as a multiple of the slots, that may be there."""
        slot_s = self._mean_need_s or demand.first_left_s
        return 1 + TOLERATED_WAIT_SHARE * max(0.0, demand.first_left_s) / max(1e-3, slot_s)

    def _is_returning(self, demand: Demand) -> bool:
        longest_s = self._longest_wait_by_route.get(demand.route, 0.0)
        return demand.wait_s < RETURNING_SHARE * longest_s

    def _refuse(
        self, demand: Demand, outcome: Outcome, queue_s: float, now: float, share: float = 0.0
    ) -> Admission:
        return Admission(outcome, self.return_after_s(demand, queue_s, now), share)


def _is_too_late(demand: Demand, expected: Expectation) -> bool:
    return (
        expected.earliest_first_s > demand.first_left_s
        or expected.earliest_done_s > demand.done_left_s
    )
