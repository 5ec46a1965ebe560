"""Finds the prompt parts that crash engines; performs no I/O.

Designed for many different requests that share one part which crashes each engine that responds to
it, at any moment until the response is complete. A crash breaks the exchanges of healthy requests
too, and the crashing requests share their other parts with healthy ones, so that a single crash
does not identify the part. Only complete responses tell healthy parts from the crashing one.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CRASH_LIMIT: Final = 3
"""Crashes after which requests with a part that no engine has completed are refused."""
COMPLETED_PART_CRASH_LIMIT: Final = 4
"""Crashes since the last completed request after which requests with a part are refused. Parts that
many requests share meet some crashes between two of their responses."""
RECORD_TTL_S: Final = 600.0
"""Time after which a crash no longer counts."""
MIN_SEPARATION_S: Final = 0.2
"""Crashes of several engines within this time count as one unless a request was sent between them:
they are more likely to have a common cause, such as a loss of power."""
AGE_RESOLUTION_S: Final = 0.1
"""Differences of the ages of requests that count as equal; routers notice a crash within it."""
MAX_CRASHES: Final = 256
"""Crashes that are kept; the first recorded one is evicted."""
MAX_PARTS_PER_CRASH: Final = 200
"""Parts that are kept for one crash; further ones are ignored."""
MAX_COMPLETED_PARTS: Final = 4_000
"""Parts whose last complete response is kept; the one that was recorded first is evicted."""
MAX_PAST_CRASHES: Final = 6
"""Crashes that are kept as the evidence against a part, the newest ones."""
NEVER: Final = float("-inf")
"""Time of an event that did not happen."""


@frozen
class Suspicion:
    """A prompt part of requests that were in flight at an engine when it crashed."""

    part: str
    depth: int
    """Position of the part in a prompt."""
    sent_at: float
    """Unix seconds at which the last of the requests was sent to the engine."""
    completed_at: float = NEVER
    """Unix seconds at which the last request with the part that was completed was sent."""


@frozen
class SuspectRun:
    """A request that was in flight at an engine when it crashed."""

    process: str
    """Identifies the process that crashed; reports of the same crash share it."""
    sent_at: float
    """Unix seconds at which the request was sent to the engine."""
    crashed_at: float
    """Unix seconds."""
    parts: tuple[str, ...]
    """Ids of the prompt parts that other requests may share, in the order of the prompt."""


@frozen
class PastCrash:
    """A crash that counts against a convicted part."""

    process: str
    at: float
    """Unix seconds."""
    last_sent_at: float
    """Unix seconds at which the engine is known to have run."""


@define(eq=False)
class _Crash:
    at: float
    suspicion_by_part: dict[str, Suspicion] = field(factory=dict)

    def suspect(self, suspicion: Suspicion) -> bool:
        """Adds a part; returns False if nothing changed."""
        known = self.suspicion_by_part.get(suspicion.part)
        if known is None and len(self.suspicion_by_part) >= MAX_PARTS_PER_CRASH:
            return False
        merged = suspicion if known is None else merge_suspicions(known, suspicion)
        self.suspicion_by_part[suspicion.part] = merged
        return merged != known

    def last_sent_at(self) -> float:
        """Returns the last time at which the engine is known to have run."""
        return max((each.sent_at for each in self.suspicion_by_part.values()), default=NEVER)


@define(eq=False)
class _Case:
    """What speaks against one part."""

    times: list[float] = field(factory=list)
    """Times of the separate crashes."""
    depth: int = 0
    """Largest position in a prompt."""
    ages: list[float] = field(factory=list)
    """For each crash, seconds since the last request with the part was sent to the engine."""

    def age_spread(self) -> int:
        """Returns by how much the ages differ, in steps of `AGE_RESOLUTION_S`."""
        return round((max(self.ages) - min(self.ages)) / AGE_RESOLUTION_S)


@define(eq=False)
class CrashingParts:
    """Convicts a part of crashes that no complete response since and no other part explains.

    A complete response for a part speaks against the crashes before its request was sent, not
    against those after it. The first events prove nothing: the engine may crash at the next one.

    Times are Unix seconds because routers exchange them. Reports may come late, repeatedly and in
    any order.
    """

    _crash_by_process: OrderedDict[str, _Crash] = field(factory=OrderedDict)
    _completed_at_by_part: OrderedDict[str, float] = field(factory=OrderedDict)
    _convicted: frozenset[str] = frozenset()
    _is_current: bool = True
    """Whether `_convicted` includes all reports."""
    _valid_until: float = float("inf")
    """Unix seconds at which the next crash expires."""

    def record_crash(self, run: SuspectRun, now: float) -> bool:
        """Records a suspect run; returns False if it adds nothing."""
        suspicions = [Suspicion(part, depth, run.sent_at) for depth, part in enumerate(run.parts)]
        return self.record_suspicions(run.process, run.crashed_at, suspicions, now)

    def record_suspicions(
        self, process: str, crashed_at: float, suspicions: Iterable[Suspicion], now: float
    ) -> bool:
        """Records parts of requests that were in flight at an engine when it crashed.

        Args:
            process: Identifies the process that crashed.
            crashed_at: Unix seconds.
            suspicions: The parts.
            now: Unix seconds.

        Returns:
            False if the report adds nothing.
        """
        if crashed_at <= now - RECORD_TTL_S:
            return False
        crash = self._crash_by_process.get(process)
        if crash is None:
            crash = self._crash_by_process[process] = _Crash(crashed_at)
            if len(self._crash_by_process) > MAX_CRASHES:
                self._crash_by_process.popitem(last=False)
        crash.at = min(crash.at, crashed_at)
        changed = False
        for suspicion in suspicions:
            changed |= crash.suspect(suspicion)
            if suspicion.completed_at > max(self.completed_at(suspicion.part), now - RECORD_TTL_S):
                self._record_completed(suspicion.part, suspicion.completed_at)
                changed = True
        self._is_current = self._is_current and not changed
        return changed

    def record_completion(self, parts: Iterable[str], sent_at: float) -> list[str]:
        """Records that an engine completed the response to a request with these parts.

        Args:
            parts: The parts.
            sent_at: Unix seconds at which the request was sent to the engine.

        Returns:
            The parts that at least two crashes counted against until now; other routers should
            know that they are healthy.
        """
        cleared = []
        for part in parts:
            crashes = [
                crash for crash in self._crash_by_process.values() if _counts(part, crash, self)
            ]
            self._record_completed(part, sent_at)
            if crashes:
                self._is_current = False
            if len(crashes) > 1:
                cleared.append(part)
        return cleared

    def convicted_part(self, parts: Iterable[str], now: float) -> str | None:
        """Returns the first of some parts that crashes engines; None if there is none."""
        convicted = self.convicted(now)
        if not convicted:
            return None
        return next((part for part in parts if part in convicted), None)

    def convicted(self, now: float) -> frozenset[str]:
        """Returns all parts that crash engines."""
        if not self._is_current or now >= self._valid_until:
            self._expire(now)
            self._convicted = self._convict()
            self._is_current = True
        return self._convicted

    def past_crashes(self, part: str) -> list[PastCrash]:
        """Returns the newest crashes that count against a part."""
        crashes = sorted(
            (
                PastCrash(process, crash.at, min(crash.at, crash.last_sent_at()))
                for process, crash in self._crash_by_process.items()
                if _counts(part, crash, self)
            ),
            key=lambda crash: crash.at,
        )
        return crashes[-MAX_PAST_CRASHES:]

    def completed_at(self, part: str) -> float:
        """Returns when the last request with a part that was completed was sent, or `NEVER`."""
        return self._completed_at_by_part.get(part, NEVER)

    def _record_completed(self, part: str, at: float) -> None:
        known = self._completed_at_by_part.pop(part, NEVER)
        self._completed_at_by_part[part] = max(known, at)
        if len(self._completed_at_by_part) > MAX_COMPLETED_PARTS:
            self._completed_at_by_part.popitem(last=False)

    def _expire(self, now: float) -> None:
        for process, crash in list(self._crash_by_process.items()):
            if crash.at <= now - RECORD_TTL_S:
                del self._crash_by_process[process]
        for part, at in list(self._completed_at_by_part.items()):
            if at <= now - RECORD_TTL_S:
                del self._completed_at_by_part[part]
        oldest = min((c.at for c in self._crash_by_process.values()), default=float("inf"))
        self._valid_until = oldest + RECORD_TTL_S

    def _convict(self) -> frozenset[str]:
        """Convicts parts, the worst one first, until no other part has enough crashes left.

        A convicted part explains its crashes: they no longer count against the parts beside it in
        the prompt, nor against those of other requests that were broken at the same time. The part
        that is furthest above its limit comes first. Of several, the one that was not completed
        for longest does, then the one whose requests were most alike in age when the engines
        crashed, because engines crash at the same point of a response, and then the one nearest to
        the end of the prompt, because the fewest healthy requests share it.
        """
        crashes = sorted(self._crash_by_process.values(), key=lambda crash: crash.at)
        convicted: set[str] = set()
        while True:
            case_by_part = self._count(crashes)
            guilty = [p for p, case in case_by_part.items() if len(case.times) >= self._limit(p)]
            if not guilty:
                return frozenset(convicted)
            worst = max(
                guilty,
                key=lambda part: (
                    len(case_by_part[part].times) - self._limit(part),
                    -self.completed_at(part),
                    -case_by_part[part].age_spread(),
                    case_by_part[part].depth,
                    part,
                ),
            )
            convicted.add(worst)
            crashes = [crash for crash in crashes if not _counts(worst, crash, self)]

    def _limit(self, part: str) -> int:
        return CRASH_LIMIT if self.completed_at(part) == NEVER else COMPLETED_PART_CRASH_LIMIT

    def _count(self, crashes: Sequence[_Crash]) -> dict[str, _Case]:
        """Returns what speaks against each part."""
        case_by_part: dict[str, _Case] = {}
        for crash in crashes:
            last_sent_at = crash.last_sent_at()
            for part, suspicion in crash.suspicion_by_part.items():
                if not _counts(part, crash, self):
                    continue
                case = case_by_part.setdefault(part, _Case())
                case.depth = max(suspicion.depth, case.depth)
                case.ages.append(crash.at - suspicion.sent_at)
                times = case.times
                if (
                    not times
                    or crash.at - times[-1] >= MIN_SEPARATION_S
                    or last_sent_at >= times[-1]
                ):
                    times.append(crash.at)
        return case_by_part


def merge_suspicions(one: Suspicion, other: Suspicion) -> Suspicion:
    """Returns what two reports state about one part of one crash."""
    return Suspicion(
        one.part,
        max(one.depth, other.depth),
        max(one.sent_at, other.sent_at),
        max(one.completed_at, other.completed_at),
    )


def _counts(part: str, crash: _Crash, records: CrashingParts) -> bool:
    """Returns whether a crash counts against a part: no request sent since was completed."""
    return part in crash.suspicion_by_part and records.completed_at(part) < crash.at
