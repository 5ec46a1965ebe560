"""Puts together from log lines what happened to one request, and why."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

AROUND_S: Final = 5.0
"""Changes of belief so long before a request's first line can have decided about it."""
MAX_OTHERS: Final = 10
"""Lines about other requests that are shown."""
_FAILURES: Final = frozenset(
    {
        "answer_unsealed",
        "endpoint_error_repeated",
        "endpoint_rejected",
        "endpoint_unreachable",
        "exchange_broken",
    }
)
_BELIEFS: Final = frozenset(
    {
        "config_in_force",
        "config_malformed",
        "config_not_confirmed",
        "endpoint_changed",
        "endpoint_entry_malformed",
        "log_lines_dropped",
        "peer_has_newer_config",
        "settings_rejected",
        "settings_reloaded",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
        "watch_history_gone",
    }
)
_CAUSES: Final = {
    "bad_request": "the request could not be read",
    "caller_gone": "the client left before an answer began",
    "crashes_endpoints": "earlier requests with the same content broke off at several endpoints",
    "deadline": "no endpoint finished in time; the request may have run",
    "deadline_before_send": "the time was over before an endpoint could be reached; not run",
    "endpoint_failed": "an endpoint broke off or failed; the request may have run",
    "endpoints_full": "all endpoints refused new requests; not run",
    "endpoints_unreachable": "no endpoint accepted a connection; not run",
    "key_unknown": "the newest configuration does not hold the key",
    "no_configuration": "this router had not read a configuration yet; not run",
    "no_endpoint": "no endpoint of the service was listed as ready; not run",
    "route_unknown": "the newest configuration has no such route",
    "stopping": "this router was being stopped and could not have finished it; not run",
    "uncertain_key": "the key is unknown here and the store could not be asked; not run",
    "uncertain_route": "the route is unknown here and the store could not be asked; not run",
}


@define
class Explanation:
    """What the logs say of one request."""

    request_id: str
    own: list[dict[str, Any]] = field(factory=list)
    """Lines that name the request, in the order of time."""
    beliefs: list[dict[str, Any]] = field(factory=list)
    """Changes of belief on the same router shortly before."""
    others: list[dict[str, Any]] = field(factory=list)
    """What happened to other requests at the endpoints that failed this one, on any router."""

    def text(self) -> str:
        """Writes the explanation for a person."""
        if not self.own:
            return (
                f"request {self.request_id}: no line names it. Served requests beyond the rate "
                "limit of the log leave none; look for log_lines_dropped.\n"
            )
        lines = [f"request {self.request_id}", f"  {self.conclusion()}", "what happened:"]
        lines += [_show(line) for line in self.own]
        if self.beliefs:
            lines.append(f"what its router had learned in the {AROUND_S:g} s before:")
            lines += [_show(line) for line in self.beliefs]
        if self.others:
            lines.append(f"other requests at the same endpoints, {AROUND_S:g} s before and after:")
            lines += [_show(line) for line in self.others[:MAX_OTHERS]]
            if len(self.others) > MAX_OTHERS:
                lines.append(f"  and {len(self.others) - MAX_OTHERS} more")
        return "\n".join(lines) + "\n"

    def conclusion(self) -> str:
        """Names the outcome in one sentence."""
        last = self.own[-1]
        if last["event"] == "request_served":
            return (
                f"served with status {last.get('status')} by endpoint {last.get('endpoint')} "
                f"after {last.get('ms')} ms, in attempt {last.get('attempts')}"
            )
        if last["event"] == "request_refused":
            reason = str(last.get("reason"))
            detail = f" ({last['detail']})" if last.get("detail") else ""
            return f"refused, {reason}: {_CAUSES.get(reason, 'see the lines below')}{detail}"
        return f"no outcome is logged; the last event is {last['event']}"


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Reads the log lines of any number of routers, in any order.

    Args:
        request_id: The id that the client sent.
        lines: JSON lines; other lines, and text before the first brace, are passed over.
    """
    records = [record for line in lines if (record := _read(line)) is not None]
    own = sorted((r for r in records if r.get("request") == request_id), key=_time)
    explanation = Explanation(request_id, own)
    if own:
        routers = {record.get("instance") for record in own}
        first, last = _time(own[0]), _time(own[-1])
        explanation.beliefs = sorted(
            (
                r
                for r in records
                if r.get("event") in _BELIEFS
                and r.get("instance") in routers
                and first - AROUND_S <= _time(r) <= last
            ),
            key=_time,
        )
        failed = {r["endpoint"] for r in own if r["event"] in _FAILURES}
        explanation.others = sorted(
            (
                r
                for r in records
                if r.get("endpoint") in failed
                and r.get("request") != request_id
                and (r["event"] in _FAILURES or r["event"] == "endpoint_changed")
                and first - AROUND_S <= _time(r) <= last + AROUND_S
            ),
            key=_time,
        )
    return explanation


def _read(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    return record if isinstance(record, dict) and "event" in record else None


def _time(record: dict[str, Any]) -> float:
    return float(record.get("t", 0.0))


def _show(record: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={value}"
        for key, value in record.items()
        if key not in ("t", "steady", "event", "instance", "request") and value not in (None, "")
    )
    return f"  {_time(record):.3f} {record.get('instance')} {record['event']} {fields}"
