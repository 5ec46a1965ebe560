"""Rumors about the prompt parts that were in flight at crashed engines; performs no I/O.

A crash can break hundreds of requests at once. Each router therefore tells about a crash with few
rumors, of which it is the only author and which grow with the requests that it sees broken.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field, frozen

from sequoiadrum.gateway.crashing_parts import (
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    NEVER,
    RECORD_TTL_S,
    Suspicion,
    merge_suspicions,
)
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PARTS_PER_RUMOR: Final = 16
"""Parts in one rumor, which must fit into a datagram."""
MAX_DEPTH: Final = 100_000
"""Largest position in a prompt that is accepted from another router."""
_KEY_CHARS: Final = 16
_NEVER: Final = -1


@frozen
class CrashRumor:
    """A version of a rumor about one crash."""

    key: str
    version: int
    payload: bytes


@frozen
class CrashReport:
    """A part of what one router tells about a crash."""

    process: str
    """Identifies the process that crashed."""
    crashed_at: float
    """Unix seconds."""
    suspicions: tuple[Suspicion, ...]


@define(eq=False)
class _OwnReport:
    crashed_at: float
    suspicion_by_part: dict[str, Suspicion] = field(factory=dict)
    version: int = 0


@define(eq=False)
class OwnCrashReports:
    """The reports of this router about recent crashes."""

    author: str
    """Unique among all router processes."""
    _report_by_process: OrderedDict[str, _OwnReport] = field(factory=OrderedDict)

    def crashed_at(self, process: str) -> float | None:
        """Returns when this router first saw a request broken by a crash, in Unix seconds."""
        report = self._report_by_process.get(process)
        return report.crashed_at if report is not None else None

    def add(
        self, process: str, crashed_at: float, suspicions: Iterable[Suspicion], now: float
    ) -> list[CrashRumor]:
        """Adds the parts of a broken request; returns the rumors that changed."""
        report = self._report_by_process.get(process)
        if report is None:
            report = self._report_by_process[process] = _OwnReport(crashed_at)
            if len(self._report_by_process) > MAX_CRASHES:
                self._report_by_process.popitem(last=False)
        known = report.suspicion_by_part
        changed = set()
        for suspicion in suspicions:
            if suspicion.part in known:
                merged = merge_suspicions(known[suspicion.part], suspicion)
            elif len(known) < MAX_PARTS_PER_CRASH:
                merged = suspicion
            else:
                continue
            if known.get(suspicion.part) != merged:
                known[suspicion.part] = merged
                changed.add(list(known).index(suspicion.part) // MAX_PARTS_PER_RUMOR)
        report.version = max(report.version + 1, int(now * 1e3))
        return [self._rumor(process, report, number) for number in sorted(changed)]

    def _rumor(self, process: str, report: _OwnReport, number: int) -> CrashRumor:
        first = number * MAX_PARTS_PER_RUMOR
        suspicions = list(report.suspicion_by_part.values())[first : first + MAX_PARTS_PER_RUMOR]
        key = f"{process}/{self.author}/{number}"
        return CrashRumor(key, report.version, _encode(process, report.crashed_at, suspicions))


def process_key(instance_id: str, started_ms: int | None) -> str:
    """Returns a key of one process of an engine."""
    return f"{stable_hash('process', instance_id, str(started_ms)):016x}"


def part_key(part: str) -> str:
    """Returns a short key of a part; callers choose the ids of parts, of any length."""
    return f"{stable_hash('prompt-part', part):016x}"


def decode_crash_report(payload: bytes, now: float) -> CrashReport | None:
    """Decodes the payload of a rumor; returns None if it is malformed.

    Args:
        payload: What another router sent.
        now: Unix seconds; no time in the report is later.
    """
    try:
        process, at_us, parts = json.loads(payload)
        crashed_at = min(checked_number(at_us, int((now + RECORD_TTL_S) * 1e6)) / 1e6, now)
        if len(parts) > MAX_PARTS_PER_RUMOR:
            return None
        suspicions = tuple(_decode_suspicion(part, crashed_at) for part in parts)
        return CrashReport(checked_key(process), crashed_at, suspicions)
    except (TypeError, ValueError, RecursionError):
        return None


def _encode(process: str, crashed_at: float, suspicions: Iterable[Suspicion]) -> bytes:
    parts = [
        [
            suspicion.part,
            suspicion.depth,
            _us_before(crashed_at, suspicion.sent_at),
            (
                _NEVER
                if suspicion.completed_at < crashed_at - RECORD_TTL_S
                else _us_before(crashed_at, suspicion.completed_at)
            ),
        ]
        for suspicion in suspicions
    ]
    return json.dumps([process, int(crashed_at * 1e6), parts], separators=(",", ":")).encode()


def _decode_suspicion(fields: Any, crashed_at: float) -> Suspicion:
    part, depth, sent_us, completed_us = fields
    max_us = int(RECORD_TTL_S * 1e6)
    return Suspicion(
        checked_key(part),
        checked_number(depth, MAX_DEPTH),
        crashed_at - checked_number(sent_us, max_us) / 1e6,
        (
            NEVER
            if completed_us == _NEVER
            else crashed_at - checked_number(completed_us, max_us) / 1e6
        ),
    )


def _us_before(crashed_at: float, at: float) -> int:
    """Returns how long before a crash something happened, at most `RECORD_TTL_S`."""
    return int(min(RECORD_TTL_S, max(0.0, crashed_at - at)) * 1e6)


def checked_number(value: Any, largest: int) -> int:
    """Returns a whole number from another router.

    Raises:
        ValueError: It is no number, negative or too large.
    """
    if type(value) is not int or not 0 <= value <= largest:
        raise ValueError(value)
    return value


def checked_key(value: Any) -> str:
    """Returns a key of a process or a part.

    Raises:
        ValueError: It cannot be one.
    """
    if not isinstance(value, str) or len(value) != _KEY_CHARS or not value.isalnum():
        raise ValueError(value)
    return value
