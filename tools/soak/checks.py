"""Checks the promises of the fleet on the observations of a soak."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

from attrs import frozen

from sequoiadrum.gateway.request_run import REFUSAL_MARGIN_S
from tools.soak.record import DEADLINE_S, PROMISES_NOT_RUN, NoticeKind, expected_body

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tools.soak.record import CallResult, Notice, Record, Run

UNDISTURBED_S: Final = 3.0
"""Time without a disturbance after which a time bound applies to a gateway.

The bounds of the smaller sites have the same condition.
"""
LEAVING_BOUND_S: Final = 2.0
"""Time after which a leaving endpoint gets no new request."""
CONFIG_APPLY_S: Final = 2.0
"""Time after which a configuration that the store acknowledged is in force."""
TURNED_AWAY_SLACK_S: Final = 0.5
"""Time after which a gateway that an endpoint turned away must heed it."""
MAX_TURNED_AWAY: Final = 2
"""Requests that a gateway may send nevertheless until the end of the time."""
MIN_RECOVERED_RATIO: Final = 0.25
"""Minimum ratio of requests that must be served after the last fault."""


@frozen
class Violation:
    """A broken promise; `request_id` is empty if it concerns no single request."""

    promise: str
    request_id: str
    detail: str


def check(record: Record) -> list[Violation]:
    """Returns the violations that all checks find in a record."""
    return [violation for run_check in _CHECKS for violation in run_check(record)]


def check_at_most_once(record: Record) -> Iterator[Violation]:
    """Checks that a call that must not be retried runs at most once."""
    runs = Counter(run.request_id for run in record.runs)
    for result in record.results:
        if not result.kind.is_retryable and runs[result.request_id] > 1:
            yield Violation("at most once", result.request_id, f"{runs[result.request_id]} runs")


def check_refusals(record: Record) -> Iterator[Violation]:
    """Checks that a refused call, for which the status promises "not run", never runs."""
    ran = {run.request_id for run in record.runs}
    for result in record.results:
        promises_not_run = result.status in PROMISES_NOT_RUN and not result.kind.is_retryable
        if promises_not_run and result.request_id in ran:
            yield Violation("not run", result.request_id, f"status {result.status}, but it ran")


def check_responses(record: Record) -> Iterator[Violation]:
    """Checks that a success is the response to its own request, and that streams have no gaps."""
    for result in record.results:
        if result.status is None or result.status >= 300:
            continue
        if not result.is_sealed:
            yield Violation("whole answer", result.request_id, "not signed by its endpoint")
        if result.kind.is_stream:
            yield from _check_events(result)
        elif result.is_complete and result.body != expected_body(result.request_id):
            yield Violation("whole answer", result.request_id, f"got {result.body[:60]!r}")


def check_leaving_endpoints(record: Record) -> Iterator[Violation]:
    """Checks that a leaving endpoint gets no new request from an undisturbed gateway."""
    by_id = {result.request_id: result for result in record.results}
    for run in record.runs:
        since = record.leaving_since.get(run.endpoint)
        result = by_id.get(run.request_id)
        if since is None or result is None or run.at <= since + LEAVING_BOUND_S:
            continue
        if record.has_disturbance("store", since - UNDISTURBED_S, run.at):
            continue
        if record.has_disturbance(run.endpoint, result.sent_at, run.at):
            continue
        if not record.has_disturbance(result.gateway, since - UNDISTURBED_S, run.at):
            elapsed_s = run.at - since
            detail = f"ran at {run.endpoint} {elapsed_s:.2f} s after it left, from {result.gateway}"
            yield Violation("leaving", run.request_id, detail)


def check_notices(record: Record) -> Iterator[Violation]:
    """Checks that a gateway heeds what an endpoint has told it with a response.

    A restart or a pause of the gateway since then exempts it, as does a disturbance of the
    endpoint, in which a response may not have reached the gateway.
    """
    by_id = {result.request_id: result for result in record.results}
    arrivals: dict[str, list[tuple[float, CallResult]]] = defaultdict(list)
    seen: list[Run | Notice] = [*record.runs, *record.notices]
    for each in seen:
        result = by_id.get(each.request_id)
        if result is not None:
            arrivals[_instance(each.endpoint, result)].append((each.at, result))
    reported = set()
    for notice in sorted(record.notices, key=lambda notice: notice.at):
        told = by_id.get(notice.request_id)
        if told is None or not _has_reached_gateway(record, notice, told):
            continue
        instance = _instance(notice.endpoint, told)
        late = {
            result.request_id
            for at, result in arrivals[instance]
            if _is_late(notice, at, result)
            and (result.gateway, result.process) == (told.gateway, told.process)
            and not record.has_disturbance(told.gateway, notice.at, at, kind="pause")
        }
        allowed = 0 if notice.kind is NoticeKind.LEAVING else MAX_TURNED_AWAY
        if len(late) > allowed and (instance, told.gateway) not in reported:
            reported.add((instance, told.gateway))
            detail = f"{len(late)} requests at {instance} from {told.gateway}"
            yield Violation(notice.kind.value, min(late), detail)


def check_api_keys(record: Record) -> Iterator[Violation]:
    """Checks that API keys are accepted or denied as the newest configuration says.

    A gateway process must not return to an older configuration.
    """
    denied_at: dict[tuple[str, int, int], float] = {}
    ran = {run.request_id for run in record.runs}
    for result in sorted(record.results, key=lambda result: result.ended_at):
        key_at_process = (result.gateway, result.process, result.key)
        if result.status == 401:
            if _is_key_always_valid(record, result):
                yield Violation("keys", result.request_id, f"valid key k{result.key} was denied")
            if _is_key_removed(record, result):
                denied_at.setdefault(key_at_process, result.ended_at)
        elif result.request_id in ran:
            if result.sent_at > denied_at.get(key_at_process, float("inf")):
                yield Violation(
                    "keys", result.request_id, f"k{result.key} was accepted after its denial"
                )
            elif _is_removal_in_force(record, result):
                yield Violation(
                    "keys", result.request_id, f"k{result.key} was accepted after its removal"
                )


def check_graceful_shutdowns(record: Record) -> Iterator[Violation]:
    """Checks that every request that ran gets its response during a graceful shutdown.

    Requests with another disturbance at the gateway, the endpoint or the store are exempt, and so
    are those that reached their deadline.
    """
    endpoint_by_id = {run.request_id: run.endpoint for run in record.runs}
    stops = defaultdict(list)
    for disturbance in record.disturbances:
        if disturbance.kind == "term":
            stops[disturbance.subject].append(disturbance)
    for result in record.results:
        endpoint = endpoint_by_id.get(result.request_id)
        if endpoint is None or result.is_complete:
            continue
        if result.ended_at - result.sent_at >= DEADLINE_S - REFUSAL_MARGIN_S:
            continue
        for stop in stops[result.gateway]:
            if not stop.since <= result.ended_at <= stop.until:
                continue
            since, until = stop.since - UNDISTURBED_S, result.ended_at
            is_undisturbed = not any(
                record.has_disturbance(subject, since, until, ignored_kind="term")
                for subject in (result.gateway, endpoint, "store")
            )
            if is_undisturbed:
                yield Violation(
                    "planned stop", result.request_id, f"response not completed by {result.gateway}"
                )


def check_process_exits(record: Record) -> Iterator[Violation]:
    """Checks that no process exits unexpectedly, and that graceful shutdowns end in time.

    The exit status of a graceful shutdown must be 0.
    """
    for process_exit in record.exits:
        name = f"{process_exit.gateway}/{process_exit.process}"
        if not process_exit.is_expected:
            yield Violation("processes", "", f"{name} exited by itself with {process_exit.code}")
        elif process_exit.overdue_s > 0:
            yield Violation(
                "processes",
                "",
                f"{name} exited {process_exit.overdue_s:.2f} s after its grace period",
            )


def check_recovery(record: Record) -> Iterator[Violation]:
    """Checks that requests are served again after the last fault."""
    after_faults = [
        result
        for result in record.results
        if result.sent_at >= record.fault_free_since and result.status != 401
    ]
    served = sum(result.status == 200 and result.is_complete for result in after_faults)
    if after_faults and served < MIN_RECOVERED_RATIO * len(after_faults):
        yield Violation(
            "recovery", "", f"{served} of {len(after_faults)} requests served after the faults"
        )


def _check_events(result: CallResult) -> Iterator[Violation]:
    wanted = tuple(range(1, len(result.events) + 1))
    if result.events != wanted:
        yield Violation("stream order", result.request_id, f"got events {result.events}")
    elif result.is_complete and len(result.events) != result.expected_events:
        detail = f"complete with {len(result.events)} of {result.expected_events} events"
        yield Violation("whole answer", result.request_id, detail)


def _instance(endpoint: str, result: CallResult) -> str:
    """Returns the name of an endpoint as the service that runs a call."""
    return f"{endpoint}-model" if result.kind.is_stream else endpoint


def _has_reached_gateway(record: Record, notice: Notice, told: CallResult) -> bool:
    """Returns whether the response with a notice is known to have reached its gateway."""
    if told.status is None or not told.is_complete:
        return False
    return not record.has_disturbance(
        notice.endpoint, notice.at - UNDISTURBED_S, notice.at, ignored_kind="turn_away"
    )


def _is_late(notice: Notice, at: float, result: CallResult) -> bool:
    """Returns whether a request that arrives at a time comes too late after a notice."""
    if notice.kind is NoticeKind.LEAVING:
        return result.sent_at > notice.at + LEAVING_BOUND_S
    return notice.at + TURNED_AWAY_SLACK_S < at < notice.until


def _is_key_always_valid(record: Record, result: CallResult) -> bool:
    """Whether every configuration that may have been in force at the gateway accepts the key."""
    changes = record.key_changes
    first = max(
        (i for i, c in enumerate(changes) if c.acknowledged_at <= result.sent_at - CONFIG_APPLY_S),
        default=0,
    )
    last = max((i for i, c in enumerate(changes) if c.written_at <= result.ended_at), default=0)
    return all(result.key in change.keys for change in changes[first : last + 1])


def _is_key_removed(record: Record, result: CallResult) -> bool:
    """Whether the store had acknowledged the key and then its removal before the request.

    A key that was introduced too recently may be denied at first; that is no removal.
    """
    acknowledged = [c for c in record.key_changes if c.acknowledged_at <= result.sent_at]
    was_accepted = any(result.key in change.keys for change in acknowledged)
    return was_accepted and result.key not in acknowledged[-1].keys


def _is_removal_in_force(record: Record, result: CallResult) -> bool:
    """Whether the key was removed so long ago that its gateway must deny it.

    A gateway that is disturbed, or whose store is, need not know of the removal.
    """
    with_key = [c for c in record.key_changes if result.key in c.keys]
    after = [c for c in record.key_changes if with_key and c.version > with_key[-1].version]
    if not after:
        return False
    removed_at = after[0].acknowledged_at
    if result.sent_at <= removed_at + CONFIG_APPLY_S:
        return False
    since = removed_at - UNDISTURBED_S
    return not (
        record.has_disturbance(result.gateway, since, result.ended_at)
        or record.has_disturbance("store", since, result.ended_at)
    )


_CHECKS: Final[tuple[Callable[[Record], Iterator[Violation]], ...]] = (
    check_at_most_once,
    check_refusals,
    check_responses,
    check_leaving_endpoints,
    check_notices,
    check_api_keys,
    check_graceful_shutdowns,
    check_process_exits,
    check_recovery,
)
