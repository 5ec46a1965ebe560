"""Finds the prompt parts that crash engines; performs no I/O.

Designed for many different requests that share one part which crashes each engine that begins to
respond to it. A crash breaks the exchanges of healthy requests too, and the crashing requests share
their other parts with healthy ones, so that a single crash does not identify the part.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CRASH_LIMIT: Final = 3
"""Crashes without a response in between after which requests with a part are refused."""
RECORD_TTL_S: Final = 600.0
"""Time after which a crash no longer counts."""
MIN_SEPARATION_S: Final = 0.2
"""Crashes of several engines within this time count as one unless a request was sent between them:
they are more likely to have a common cause, such as a loss of power."""
MAX_CRASHES: Final = 256
"""Crashes that are kept; the first recorded one is evicted."""
MAX_PARTS_PER_CRASH: Final = 200
"""Parts that are kept for one crash; further ones are ignored."""
MAX_RESPONDED_PARTS: Final = 4_000
"""Parts whose last response is kept; the one that was responded to first is evicted."""


@frozen
class SuspectRun:
    """A request that was broken before its response began, because its engine crashed."""

    process: str
    """Identifies the process that crashed; reports of the same crash share it."""
    sent_at: float
    """Unix seconds at which the request was sent to the engine."""
    crashed_at: float
    """Unix seconds."""
    parts: tuple[str, ...]
    """Ids of the prompt parts that other requests may share, in the order of the prompt."""


@define(eq=False)
class _Suspicion:
    """A part of the requests that an engine may have crashed on."""

    depth: int
    """Position of the part in a prompt."""
    sent_at: float
    """When the last of the requests was sent."""


@define(eq=False)
class _Crash:
    at: float
    suspicion_by_part: dict[str, _Suspicion] = field(factory=dict)

    def suspect(self, part: str, depth: int, sent_at: float) -> bool:
        """Adds a part; returns False if nothing changed."""
        known = self.suspicion_by_part.get(part)
        if known is None:
            if len(self.suspicion_by_part) < MAX_PARTS_PER_CRASH:
                self.suspicion_by_part[part] = _Suspicion(depth, sent_at)
                return True
            return False
        if known.depth >= depth and known.sent_at >= sent_at:
            return False
        known.depth = max(known.depth, depth)
        known.sent_at = max(known.sent_at, sent_at)
        return True


@define(eq=False)
class CrashingParts:
    """Convicts a part of crashes if no response acquits it and no other part explains them.

    An engine that has begun to respond to a request was not crashed by any part of it.

    Times are Unix seconds because routers exchange them. Reports may come late, repeatedly and in
    any order.
    """

    _crash_by_process: OrderedDict[str, _Crash] = field(factory=OrderedDict)
    _responded_at_by_part: OrderedDict[str, float] = field(factory=OrderedDict)
    _convicted: frozenset[str] = frozenset()
    _is_current: bool = True
    """Whether `_convicted` includes all reports."""
    _valid_until: float = float("inf")
    """Unix seconds at which the next crash expires."""

    def record_crash(self, run: SuspectRun, now: float) -> bool:
        """Records a suspect run; returns False if it adds nothing."""
        if run.crashed_at <= now - RECORD_TTL_S:
            return False
        crash = self._crash_by_process.get(run.process)
        if crash is None:
            crash = self._crash_by_process[run.process] = _Crash(run.crashed_at)
            if len(self._crash_by_process) > MAX_CRASHES:
                self._crash_by_process.popitem(last=False)
        crash.at = min(crash.at, run.crashed_at)
        changed = False
        for depth, part in enumerate(run.parts):
            changed |= crash.suspect(part, depth, run.sent_at)
        self._is_current = self._is_current and not changed
        return changed

    def record_response(self, parts: Iterable[str], at: float) -> list[str]:
        """Records that an engine began to respond to a request with these parts.

        Returns:
            The parts that at least two crashes counted against until now; other routers should
            know that they are healthy.
        """
        cleared = []
        for part in parts:
            crashes = [
                crash for crash in self._crash_by_process.values() if _counts(part, crash, self)
            ]
            known = self._responded_at_by_part.pop(part, float("-inf"))
            self._responded_at_by_part[part] = max(known, at)
            if crashes:
                self._is_current = False
            if len(crashes) > 1:
                cleared.append(part)
        while len(self._responded_at_by_part) > MAX_RESPONDED_PARTS:
            self._responded_at_by_part.popitem(last=False)
        return cleared

    def convicted_part(self, parts: Iterable[str], now: float) -> str | None:
        """Returns the first of some parts that crashes engines; None if there is none."""
        if not self._is_current or now >= self._valid_until:
            self._expire(now)
            self._convicted = self._convict()
            self._is_current = True
        if not self._convicted:
            return None
        return next((part for part in parts if part in self._convicted), None)

    def responded_at(self, part: str) -> float:
        """Returns the Unix seconds of the last response for a part, or negative infinity."""
        return self._responded_at_by_part.get(part, float("-inf"))

    def _expire(self, now: float) -> None:
        for process, crash in list(self._crash_by_process.items()):
            if crash.at <= now - RECORD_TTL_S:
                del self._crash_by_process[process]
        oldest = min((c.at for c in self._crash_by_process.values()), default=float("inf"))
        self._valid_until = oldest + RECORD_TTL_S

    def _convict(self) -> frozenset[str]:
        """Convicts parts, the worst one first, until no other part has enough crashes left.

        A convicted part explains its crashes: they no longer count against the parts beside it in
        the prompt, nor against those of other requests that were broken at the same time. Of parts
        with as many crashes, the one nearest to the end of the prompt is convicted, because the
        fewest healthy requests share it.
        """
        crashes = sorted(self._crash_by_process.values(), key=lambda crash: crash.at)
        convicted = set()
        while len(crashes) >= CRASH_LIMIT:
            times_by_part, depth_by_part = self._count(crashes)
            if not times_by_part:
                break
            worst = max(
                times_by_part,
                key=lambda part: (len(times_by_part[part]), depth_by_part[part], part),
            )
            if len(times_by_part[worst]) < CRASH_LIMIT:
                break
            convicted.add(worst)
            crashes = [crash for crash in crashes if not _counts(worst, crash, self)]
        return frozenset(convicted)

    def _count(self, crashes: Sequence[_Crash]) -> tuple[dict[str, list[float]], dict[str, int]]:
        """Returns the times of the separate crashes, and the depth in prompts, by part."""
        times_by_part: dict[str, list[float]] = {}
        depth_by_part: dict[str, int] = {}
        for crash in crashes:
            for part, suspicion in crash.suspicion_by_part.items():
                if not _counts(part, crash, self):
                    continue
                depth_by_part[part] = max(suspicion.depth, depth_by_part.get(part, 0))
                times = times_by_part.setdefault(part, [])
                if (
                    not times
                    or crash.at - times[-1] >= MIN_SEPARATION_S
                    or suspicion.sent_at > times[-1]
                ):
                    times.append(crash.at)
        return times_by_part, depth_by_part


def _counts(part: str, crash: _Crash, records: CrashingParts) -> bool:
    """Returns whether a crash counts against a part: no engine responded for the part since."""
    return part in crash.suspicion_by_part and records.responded_at(part) < crash.at
