"""The promises, checked on what was seen from outside."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

from attrs import frozen

from tools.soak.record import PROMISES_NOT_RUN, expected_body

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tools.soak.record import Answer, Record

CONTACT_S: Final = 3.0
"""A bound holds for a gateway that was undisturbed for so long, as on the smaller sites."""
LEAVING_S: Final = 2.0
"""A leaving endpoint gets no new request after this time."""
IN_FORCE_S: Final = 2.0
"""A configuration is in force after this time."""
RECOVERED_SHARE: Final = 0.25
"""Served again after the faults, at least."""


@frozen
class Violation:
    """A promise that did not hold."""

    promise: str
    request_id: str
    detail: str


def check(record: Record) -> list[Violation]:
    """Checks all promises."""
    return [violation for promise in _PROMISES for violation in promise(record)]


def runs_at_most_once(record: Record) -> Iterator[Violation]:
    """What cannot be repeated runs once at most."""
    runs = Counter(run.request_id for run in record.runs)
    for answer in record.answers:
        if not answer.kind.is_retryable and runs[answer.request_id] > 1:
            yield Violation("at most once", answer.request_id, f"{runs[answer.request_id]} runs")


def refusals_are_true(record: Record) -> Iterator[Violation]:
    """A refusal that says "not run" is right, also later."""
    ran = {run.request_id for run in record.runs}
    for answer in record.answers:
        promises = answer.status in PROMISES_NOT_RUN and not answer.kind.is_retryable
        if promises and answer.request_id in ran:
            yield Violation("not run", answer.request_id, f"status {answer.status}, but it ran")


def answers_are_whole(record: Record) -> Iterator[Violation]:
    """A success is the whole answer to its own request, and a stream has no gap."""
    for answer in record.answers:
        if answer.status is None or answer.status >= 300:
            continue
        if not answer.is_sealed:
            yield Violation("whole answer", answer.request_id, "not signed by its endpoint")
        if answer.kind.is_stream:
            yield from _check_events(answer)
        elif answer.is_complete and answer.body != expected_body(answer.request_id):
            yield Violation("whole answer", answer.request_id, f"got {answer.body[:60]!r}")


def leaving_endpoints_get_nothing(record: Record) -> Iterator[Violation]:
    """An endpoint that leaves gets no new request from a gateway in touch."""
    by_id = {answer.request_id: answer for answer in record.answers}
    for run in record.runs:
        since = record.leaving_since.get(run.endpoint)
        answer = by_id.get(run.request_id)
        if since is None or answer is None or run.at <= since + LEAVING_S:
            continue
        if record.disturbed("store", since - CONTACT_S, run.at):
            continue
        if record.disturbed(run.endpoint, answer.sent_at, run.at):
            continue
        if not record.disturbed(answer.gateway, since - CONTACT_S, run.at):
            late_s = run.at - since
            detail = f"ran at {run.endpoint} {late_s:.2f} s after it left, from {answer.gateway}"
            yield Violation("leaving", run.request_id, detail)


def configurations_hold(record: Record) -> Iterator[Violation]:
    """Keys are accepted and denied as the newest configuration says, and never go back."""
    denied_at: dict[tuple[str, int, int], float] = {}
    ran = {run.request_id for run in record.runs}
    for answer in sorted(record.answers, key=lambda a: a.ended_at):
        place = (answer.gateway, answer.process, answer.key)
        if answer.status == 401:
            if _is_valid_all_the_time(record, answer):
                yield Violation("keys", answer.request_id, f"valid key k{answer.key} was denied")
            if _was_removed(record, answer):
                denied_at.setdefault(place, answer.ended_at)
        elif answer.request_id in ran:
            if answer.sent_at > denied_at.get(place, float("inf")):
                yield Violation("keys", answer.request_id, f"k{answer.key} works again")
            elif _is_removed_in_force(record, answer):
                yield Violation("keys", answer.request_id, f"k{answer.key} works after its removal")


def planned_stops_cut_nothing(record: Record) -> Iterator[Violation]:
    """A planned stop of an otherwise calm gateway leaves no request that ran without an answer."""
    endpoint_by_id = {run.request_id: run.endpoint for run in record.runs}
    stops = defaultdict(list)
    for disturbance in record.disturbances:
        if disturbance.kind == "term":
            stops[disturbance.subject].append(disturbance)
    for answer in record.answers:
        endpoint = endpoint_by_id.get(answer.request_id)
        if endpoint is None or answer.is_complete:
            continue
        for stop in stops[answer.gateway]:
            if not stop.since <= answer.ended_at <= stop.until:
                continue
            since, until = stop.since - CONTACT_S, answer.ended_at
            is_calm = not any(
                record.disturbed(subject, since, until, but="term")
                for subject in (answer.gateway, endpoint, "store")
            )
            if is_calm:
                yield Violation("planned stop", answer.request_id, f"cut by {answer.gateway}")


def processes_end_as_asked(record: Record) -> Iterator[Violation]:
    """No process ends by itself, and a planned stop ends in time with status 0."""
    for ended in record.exits:
        name = f"{ended.gateway}/{ended.process}"
        if not ended.was_expected:
            yield Violation("processes", "", f"{name} ended by itself with {ended.code}")
        elif ended.late_s > 0:
            yield Violation("processes", "", f"{name} ended {ended.late_s:.2f} s after its grace")


def service_recovers(record: Record) -> Iterator[Violation]:
    """Requests are served again once the faults are over."""
    late = [a for a in record.answers if a.sent_at >= record.calm_since and a.status != 401]
    served = sum(a.status == 200 and a.is_complete for a in late)
    if late and served < RECOVERED_SHARE * len(late):
        yield Violation("recovery", "", f"{served} of {len(late)} requests served after the faults")


def _check_events(answer: Answer) -> Iterator[Violation]:
    wanted = tuple(range(1, len(answer.events) + 1))
    if answer.events != wanted:
        yield Violation("stream order", answer.request_id, f"got events {answer.events}")
    elif answer.is_complete and len(answer.events) != answer.expected_events:
        detail = f"complete with {len(answer.events)} of {answer.expected_events} events"
        yield Violation("whole answer", answer.request_id, detail)


def _is_valid_all_the_time(record: Record, answer: Answer) -> bool:
    """Whether each configuration that may have been in force at the gateway has the key."""
    changes = record.key_changes
    first = max(
        (i for i, c in enumerate(changes) if c.acknowledged_at <= answer.sent_at - IN_FORCE_S),
        default=0,
    )
    last = max((i for i, c in enumerate(changes) if c.written_at <= answer.ended_at), default=0)
    return all(answer.key in change.keys for change in changes[first : last + 1])


def _was_removed(record: Record, answer: Answer) -> bool:
    """Whether the key had been in force and was gone; a key that is too new is denied at first."""
    acknowledged = [c for c in record.key_changes if c.acknowledged_at <= answer.sent_at]
    had_it = any(answer.key in change.keys for change in acknowledged)
    return had_it and answer.key not in acknowledged[-1].keys


def _is_removed_in_force(record: Record, answer: Answer) -> bool:
    """Whether the key was removed so long ago that a gateway in touch must know."""
    with_key = [c for c in record.key_changes if answer.key in c.keys]
    after = [c for c in record.key_changes if with_key and c.version > with_key[-1].version]
    if not after:
        return False
    removed_at = after[0].acknowledged_at
    if answer.sent_at <= removed_at + IN_FORCE_S:
        return False
    since = removed_at - CONTACT_S
    return not (
        record.disturbed(answer.gateway, since, answer.ended_at)
        or record.disturbed("store", since, answer.ended_at)
    )


_PROMISES: Final[tuple[Callable[[Record], Iterator[Violation]], ...]] = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_whole,
    leaving_endpoints_get_nothing,
    configurations_hold,
    planned_stops_cut_nothing,
    processes_end_as_asked,
    service_recovers,
)
