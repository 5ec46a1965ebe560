"""Simulates routers whose engines crash on a prompt part, on virtual time and without sockets."""

from __future__ import annotations

import heapq
import itertools
from functools import partial
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.crash_reports import CrashReports
from sequoiadrum.messages import RumorReceived
from sequoiadrum.metrics import Metrics
from tests.gateway.builders import an_entry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sequoiadrum.gateway.model import EndpointEntry

CONTACT_S: Final = 3.0
"""Time within which routers learn of each other's reports."""
CRASHES: Final = 5
"""The rules hold from this crash on."""
ALLOWED_LATE: Final = 3
"""Requests with the crashing part that may reach engines later than `CONTACT_S` after it."""
MIN_JUDGED: Final = 20
MAX_LOAD: Final = 0.4
"""Share of the places that healthy requests take."""
EPOCH_S: Final = 1_700_000_000.0
BACK_AFTER_S: Final = 3.0
MAX_ATTEMPTS: Final = 2
GUILTY: Final = "guilty"


@frozen
class Day:
    """What happens to the fleet; `random_day` draws it."""

    routers: int
    engines: int
    slots: int
    sound_per_s: float
    guilty_per_s: float
    guilty_from_s: float
    guilty_for_s: float
    crash_delay_s: float
    """Time from the begin of a response until it crashes its engine."""
    first_parts: int
    chats: int
    guilty_position: int
    """Index of the guilty part among the parts of its request."""
    guilty_chats: int
    """Chats that requests with the guilty part belong to."""
    mean_duration_s: float
    was_sound: bool
    """Whether requests with the part were completed before it began to crash engines."""
    simulated_s: float = 60.0


def random_day(rng: random.Random) -> Day:
    """Draws a day: crashes before the first event, after it, in the middle and seconds later."""
    chats = rng.choice((3, 10, 60))
    engines = rng.randint(4, 14)
    slots = rng.choice((8, 32, 128))
    mean_duration_s = rng.uniform(0.4, 2.5)
    return Day(
        routers=rng.randint(2, 14),
        engines=engines,
        slots=slots,
        sound_per_s=min(rng.uniform(8.0, 40.0), MAX_LOAD * engines * slots / mean_duration_s),
        guilty_per_s=rng.uniform(0.3, 3.0),
        guilty_from_s=rng.choice((0.5, 8.0, 15.0)),
        guilty_for_s=rng.uniform(20.0, 40.0),
        crash_delay_s=rng.choice((0.0, 0.02, 0.3, 1.0, 3.0, 6.0)),
        first_parts=rng.randint(1, 3),
        chats=chats,
        guilty_position=rng.randint(0, 2),
        guilty_chats=rng.choice((1, chats)),
        mean_duration_s=mean_duration_s,
        was_sound=rng.random() < 0.3,
    )


@define(eq=False)
class _Request:
    router: int
    parts: tuple[str, ...]
    is_guilty: bool
    asked_at: float
    attempts: int = 0
    sent_at: float = 0.0
    begins_at: float = 0.0


@define(eq=False)
class _Engine:
    name: str
    process: int = 1
    is_up: bool = True
    runs: set[_Request] = field(factory=set)


class CrashingFleet:
    """Runs one day and judges it by both rules."""

    def __init__(self, day: Day, rng: random.Random) -> None:
        self.day = day
        self.crashes: list[float] = []
        self.guilty_arrivals: list[float] = []
        self.sound_begun: list[tuple[float, bool]] = []
        """For each sound request, when it came and whether its first attempt began."""
        self._rng = rng
        self._now = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._engines = [_Engine(f"e{number}") for number in range(day.engines)]
        self._reports = [
            CrashReports(partial(self._broadcast, router), Metrics(), self._wall_clock)
            for router in range(day.routers)
        ]

    def run(self) -> None:
        """Runs the day to its end."""
        self._come(False)
        if self.day.was_sound:
            self._at(0.0, partial(self._come, True, False))
        self._at(self.day.guilty_from_s, partial(self._come, True))
        while self._events and self._events[0][0] < self.day.simulated_s:
            self._now, _, act = heapq.heappop(self._events)
            act()

    def late_arrivals(self) -> int:
        """Returns the guilty requests that reached engines too late after the fifth crash."""
        if len(self.crashes) < CRASHES:
            return 0
        return sum(at > self.crashes[CRASHES - 1] + CONTACT_S for at in self.guilty_arrivals)

    def shares_begun(self) -> tuple[float, float] | None:
        """Returns the shares of sound requests that began before the crashes and after them.

        Returns:
            None if there are too few to judge; if only few came before, all should begin.
        """
        if not self.crashes:
            return None
        since = self.crashes[min(len(self.crashes), CRASHES) - 1]
        until = self.day.guilty_from_s + self.day.guilty_for_s
        before = [begun for at, begun in self.sound_begun if at < self.crashes[0] - 1.0]
        after = [begun for at, begun in self.sound_begun if since + 2 * CONTACT_S <= at < until]
        if len(after) < MIN_JUDGED:
            return None
        usual = sum(before) / len(before) if len(before) >= MIN_JUDGED else 1.0
        return usual, sum(after) / len(after)

    def _wall_clock(self) -> float:
        return EPOCH_S + self._now

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay_s, next(self._numbers), act))

    def _broadcast(
        self, author: int, kind: str, key: str, version: int, payload: bytes, _: float
    ) -> None:
        rumor = RumorReceived(kind, key, version, payload)
        for router, reports in enumerate(self._reports):
            if router != author:
                self._at(self._rng.uniform(0.02, 1.5), partial(reports.receive_rumor, rumor))

    def _come(self, is_guilty: bool, crashes: bool = True) -> None:
        """Creates one request and schedules the next one."""
        day, rng = self.day, self._rng
        if is_guilty and self._now >= day.guilty_from_s + day.guilty_for_s:
            return
        if is_guilty and not crashes and self._now >= day.guilty_from_s:
            return
        chat = rng.randrange(day.guilty_chats if is_guilty else day.chats)
        parts = [f"first{chat % day.first_parts}", f"chat{chat}"]
        if is_guilty:
            parts.insert(day.guilty_position, GUILTY)
        parts.append(f"own{next(self._numbers)}")
        request = _Request(rng.randrange(day.routers), tuple(parts), is_guilty, self._now)
        self._send(request)
        rate = day.guilty_per_s if is_guilty else day.sound_per_s
        self._at(rng.expovariate(rate), partial(self._come, is_guilty, crashes))

    def _send(self, request: _Request) -> None:
        request.attempts += 1
        reports = self._reports[request.router]
        free = [e for e in self._engines if e.is_up and len(e.runs) < self.day.slots]
        if reports.crashing_part(request.parts[:-1]) is not None or not free:
            self._record_begun(request, False)
            return
        engine = self._rng.choice(free)
        engine.runs.add(request)
        request.sent_at = self._now
        request.begins_at = self._now + self._rng.uniform(0.02, 0.2)
        begin_s = request.begins_at - self._now
        if request.is_guilty and self._now >= self.day.guilty_from_s:
            self.guilty_arrivals.append(self._now)
            self._at(begin_s + self.day.crash_delay_s, partial(self._crash, engine, request))
        else:
            duration_s = self._rng.expovariate(1.0 / self.day.mean_duration_s)
            self._at(begin_s + duration_s, partial(self._complete, engine, request))

    def _record_begun(self, request: _Request, begun: bool) -> None:
        if not request.is_guilty and request.attempts == 1:
            self.sound_begun.append((request.asked_at, begun))

    def _complete(self, engine: _Engine, request: _Request) -> None:
        if request not in engine.runs:
            return
        engine.runs.discard(request)
        self._record_begun(request, True)
        self._reports[request.router].record_completion(
            request.parts[-1], request.parts[:-1], self._now - request.sent_at
        )

    def _crash(self, engine: _Engine, request: _Request) -> None:
        if request not in engine.runs:
            return
        self.crashes.append(self._now)
        broken, engine.runs, engine.is_up = engine.runs, set(), False
        entry = an_entry(engine.name, started_ms=engine.process)
        for run in sorted(broken, key=lambda run: run.parts):
            self._at(self._rng.uniform(0.0, 0.05), partial(self._break, run, entry))
        self._at(BACK_AFTER_S, partial(self._restart, engine))

    def _break(self, request: _Request, entry: EndpointEntry) -> None:
        self._record_begun(request, request.begins_at < self._now)
        reports = self._reports[request.router]
        reports.record_part_crash(entry, request.parts[:-1], self._now - request.sent_at)
        if request.attempts < MAX_ATTEMPTS:
            self._send(request)

    def _restart(self, engine: _Engine) -> None:
        engine.process += 1
        engine.is_up = True
