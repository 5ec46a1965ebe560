"""Reconstructs from log lines what happened to a request, and why."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTEXT_S: Final = 5.0
"""Time before a request's first line in which state changes can have affected its outcome."""
MAX_OTHER_LINES: Final = 10
"""Maximum number of lines on other requests that are shown."""
_FAILURE_EVENTS: Final = frozenset(
    {
        "answer_unsealed",
        "endpoint_error_repeated",
        "endpoint_evacuated_before_send",
        "endpoint_rejected",
        "endpoint_unreachable",
        "exchange_broken",
    }
)
_STATE_CHANGE_EVENTS: Final = frozenset(
    {
        "announced_config_not_received",
        "config_in_force",
        "config_malformed",
        "config_not_confirmed",
        "endpoint_changed",
        "endpoint_entry_malformed",
        "endpoint_held_back",
        "endpoint_hold_ended",
        "failure_domain_evacuated",
        "failure_domain_readmitted",
        "log_lines_dropped",
        "peer_has_newer_config",
        "resumed_after_pause",
        "settings_rejected",
        "settings_reloaded",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
        "store_restored",
        "watch_history_gone",
    }
)
_CAUSE_BY_REASON: Final = {
    "account_share": "all slots were taken and the account sent more than its part; not run",
    "bad_request": "the request could not be parsed",
    "bytes_held": "the router held many bytes and kept the rest for urgent requests; not run",
    "caller_gone": "the caller disconnected before the response began",
    "crashes_endpoints": "several endpoints crashed while they ran requests with the same content",
    "deadline": "no endpoint finished before the deadline; the request may have run",
    "deadline_before_send": "the deadline passed before an endpoint could be reached; not run",
    "endpoint_failed": "an endpoint failed or broke the connection; the request may have run",
    "endpoints_evacuated": "all endpoints are in evacuated failure domains; not run",
    "evacuations_unknown": "this router had not read yet which domains are evacuated; not run",
    "endpoints_full": "all endpoints refused new requests; not run",
    "endpoints_limited": "all endpoints named rates below the demand; not run",
    "endpoints_turned_away": "all endpoints were held back, some by a time they named; not run",
    "endpoints_unreachable": "no endpoint accepted a connection; not run",
    "internal_error": "an error in the program; the request may have run",
    "key_unknown": "the newest configuration does not contain the key",
    "memory_short": "the answer was cut off because memory was short; the request may have run",
    "no_configuration": "this router had not loaded a configuration yet; not run",
    "no_endpoint_at_home": "no endpoint was in a home region of route and account; not run",
    "no_endpoint": "no endpoint of the service was listed as ready; not run",
    "too_late": "the response would have come after the caller gave up; not run",
    "resumed": "this router had been suspended and could not read what had changed; not run",
    "route_unknown": "the newest configuration has no such route",
    "stopped": "this router ended before the response began; the request may have run",
    "stopping": "this router was shutting down and could not have completed the request; not run",
    "uncertain_key": "the key is unknown here and the store could not be read; not run",
    "uncertain_route": "the route is unknown here and the store could not be read; not run",
    "urgent_first": "all slots were taken and more urgent requests needed them; not run",
}


@define
class LogSummary:
    """What the input of an explanation consisted of."""

    lines: int = 0
    malformed: int = 0
    """Lines that are no log lines of a gateway."""
    first_at: float = math.inf
    last_at: float = -math.inf
    """Unix seconds of the first and last line."""
    instances: set[str] = field(factory=set)
    """Routers that wrote the lines."""

    @property
    def has_records(self) -> bool:
        """Whether at least one line is a log line of a gateway."""
        return self.lines > self.malformed

    def add(self, record: dict[str, Any] | None) -> None:
        """Counts one line; None for a line that is no log line."""
        self.lines += 1
        if record is None:
            self.malformed += 1
            return
        self.first_at = min(self.first_at, _time(record))
        self.last_at = max(self.last_at, _time(record))
        self.instances.add(str(record.get("instance")))

    def text(self) -> str:
        """Returns the summary in one line."""
        text = f"read {self.lines} lines, {self.malformed} of them no log lines"
        if not self.has_records:
            return text
        span = f"{self.first_at:.3f} to {self.last_at:.3f}"
        return f"{text}; from {span} (Unix seconds), of {len(self.instances)} routers"


@define
class Explanation:
    """What the logs contain on one request."""

    request_id: str
    request_lines: list[dict[str, Any]] = field(factory=list)
    """Lines with the id of the request, in chronological order."""
    state_changes: list[dict[str, Any]] = field(factory=list)
    """State changes on the same router, from shortly before the request until its last line."""
    other_lines: list[dict[str, Any]] = field(factory=list)
    """Lines of any router on other requests at the endpoints that failed this one."""
    read: LogSummary = field(factory=lambda: LogSummary())
    """What was read in all."""

    def text(self) -> str:
        """Returns the explanation as readable text."""
        if not self.request_lines:
            return (
                f"request {self.request_id}: no log line has this id. Served requests beyond the "
                "rate limit of the log are not logged; look for log_lines_dropped.\n"
                f"{self.read.text()}\n"
            )
        lines = [f"request {self.request_id}", f"  {self.summary()}", "events:"]
        lines += [_format_record(line) for line in self.request_lines]
        if self.state_changes:
            lines.append(f"state changes on its router, from {CONTEXT_S:g} s before:")
            lines += [_format_record(line) for line in self.state_changes]
        if self.other_lines:
            lines.append(f"other requests at the same endpoints, {CONTEXT_S:g} s before and after:")
            lines += [_format_record(line) for line in self.other_lines[:MAX_OTHER_LINES]]
            if len(self.other_lines) > MAX_OTHER_LINES:
                lines.append(f"  and {len(self.other_lines) - MAX_OTHER_LINES} more")
        return "\n".join(lines) + "\n"

    def summary(self) -> str:
        """Returns the outcome in one sentence."""
        last = self.request_lines[-1]
        if last["event"] == "request_served":
            return (
                f"served with status {last.get('status')} by endpoint {last.get('endpoint')} "
                f"after {last.get('ms')} ms, in attempt {last.get('attempts')}"
                f"{_transfer_text(last)}"
            )
        if last["event"] == "request_refused":
            reason = str(last.get("reason"))
            detail = f" ({last['detail']})" if last.get("detail") else ""
            return (
                f"refused, {reason}: {_CAUSE_BY_REASON.get(reason, 'see the lines below')}{detail}"
            )
        if last["event"] == "request_cut":
            state = "sent, and may have run" if last.get("was_sent") else "not sent"
            return (
                f"cut off: this router ended after {last.get('age_ms')} ms, before the response of "
                f"endpoint {last.get('endpoint') or 'none'}; {state}"
            )
        if last["event"] == "request_failed_unexpectedly":
            return f"refused, internal_error: {_CAUSE_BY_REASON['internal_error']}"
        return f"no outcome is logged; the last event is {last['event']}"


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Explains a request from the log lines of any number of routers, in any order.

    Args:
        request_id: The id that the caller sent.
        lines: JSON lines; other lines, and text before the first brace, are ignored.
    """
    read, records = LogSummary(), []
    for line in lines:
        record = _parse_line(line)
        read.add(record)
        if record is not None:
            records.append(record)
    request_lines = sorted((r for r in records if r.get("request") == request_id), key=_time)
    explanation = Explanation(request_id, request_lines, read=read)
    if request_lines:
        routers = {record.get("instance") for record in request_lines}
        first, last = _time(request_lines[0]), _time(request_lines[-1])
        explanation.state_changes = sorted(
            (
                r
                for r in records
                if r.get("event") in _STATE_CHANGE_EVENTS
                and r.get("instance") in routers
                and first - CONTEXT_S <= _time(r) <= last
            ),
            key=_time,
        )
        failed = {r["endpoint"] for r in request_lines if r["event"] in _FAILURE_EVENTS}
        explanation.other_lines = sorted(
            (
                r
                for r in records
                if r.get("endpoint") in failed
                and r.get("request") != request_id
                and (r["event"] in _FAILURE_EVENTS or r["event"] == "endpoint_changed")
                and first - CONTEXT_S <= _time(r) <= last + CONTEXT_S
            ),
            key=_time,
        )
    return explanation


def _parse_line(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except (ValueError, RecursionError):
        return None
    return record if isinstance(record, dict) and "event" in record else None


def _time(record: dict[str, Any]) -> float:
    at = record.get("t")
    return float(at) if isinstance(at, int | float) else 0.0


def _transfer_text(record: dict[str, Any]) -> str:
    """Describes the body of a response; returns an empty text for lines of older versions."""
    if "framing" not in record:
        return ""
    declared = record.get("declared")
    size = record.get("received") if declared is None else f"{record.get('received')} of {declared}"
    return f"; body of {size} bytes, framed by {record['framing']}"


def _format_record(record: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={value}"
        for key, value in record.items()
        if key not in ("t", "steady", "event", "instance", "request") and value not in (None, "")
    )
    return f"  {_time(record):.3f} {record.get('instance')} {record['event']} {fields}"
