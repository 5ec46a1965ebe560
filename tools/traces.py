"""Trace files: recorded load and faults with the outcomes expected of a replay.

A trace is a file of JSON lines. The first line is the header; each following line is one event with
its time `at`, in seconds from the start, and its kind `do`.
"""

from __future__ import annotations

import json
import random
import sys
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

FAULTS: Final = frozenset(
    {
        "kill_router",
        "freeze_router",
        "start_router",
        "stop_router",
        "kill_engine",
        "start_engine",
        "engine_leaves",
        "drain_engine",
        "platform",
        "lose_service_answers",
        "delay_service",
    }
)
"""Kinds of events that are faults or changes of the fleet; all other events are requests."""


@frozen
class Trace:
    """One trace: size of the fleet, expected outcomes and events."""

    name: str
    routers: int
    failure_domains: int
    engines: int
    services: int
    accounts: int
    expected: dict[str, float]
    """Limits of the outcomes by name, see `tools.replay`."""
    events: Sequence[dict[str, Any]]


def read_trace(path: Path) -> Trace:
    """Reads a trace file.

    Raises:
        ValueError, KeyError, TypeError: The file is not a valid trace.
    """
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return Trace(**lines[0], events=lines[1:])


def write_trace(path: Path, trace: Trace) -> None:
    """Writes a trace file."""
    header = {
        "name": trace.name,
        "routers": trace.routers,
        "failure_domains": trace.failure_domains,
        "engines": trace.engines,
        "services": trace.services,
        "accounts": trace.accounts,
        "expected": trace.expected,
    }
    lines = [json.dumps(document) for document in (header, *trace.events)]
    path.write_text("\n".join(lines) + "\n")


@frozen
class TrafficParameters:
    """Parameters of generated traffic; rates are means."""

    seed: int
    duration_s: float
    chats_per_s: float
    keyed_per_s: float
    chats: int
    """Number of different chats, each of which has many turns."""
    accounts: int
    large_accounts: int
    """Number of accounts that together cause two thirds of the traffic."""
    twice_share: float = 0.2
    """Share of keyed calls that are sent to two routers at the same time."""


def generate_traffic(parameters: TrafficParameters) -> list[dict[str, Any]]:
    """Generates the requests of a trace, ordered by time.

    Arrivals are Poisson processes; a few large accounts dominate, and chats have many turns.
    """
    rng = random.Random(parameters.seed)
    chats = [(f"chat-{n}", _pick_account(rng, parameters)) for n in range(parameters.chats)]
    events = [
        {
            "at": at,
            "do": "chat",
            "chat": chat,
            "account": account,
            "tokens": rng.randint(15, 60),
        }
        for at in _arrival_times(rng, parameters.chats_per_s, parameters.duration_s)
        for chat, account in [rng.choice(chats)]
    ]
    events += [
        {
            "at": at,
            "do": "keyed",
            "key": f"key-{number}",
            "account": _pick_account(rng, parameters),
            "twice": rng.random() < parameters.twice_share,
        }
        for number, at in enumerate(
            _arrival_times(rng, parameters.keyed_per_s, parameters.duration_s)
        )
    ]
    return sorted(events, key=lambda event: float(event["at"]))


def _pick_account(rng: random.Random, parameters: TrafficParameters) -> str:
    if rng.random() < 2 / 3:
        return f"account-{rng.randrange(parameters.large_accounts)}"
    return f"account-{rng.randrange(parameters.large_accounts, parameters.accounts)}"


def _arrival_times(rng: random.Random, per_s: float, duration_s: float) -> Iterable[float]:
    at = rng.expovariate(per_s)
    while at < duration_s:
        yield round(at, 3)
        at += rng.expovariate(per_s)


def write_all_traces(folder: Path) -> None:
    """Generates the traces of the repository and writes them to a folder."""
    order_rush = generate_traffic(
        TrafficParameters(11, 14.0, 40.0, 8.0, chats=120, accounts=10, large_accounts=2)
    )
    order_faults = [
        {"at": 3.0, "do": "drain_engine", "id": "e5"},
        {"at": 5.0, "do": "kill_router", "id": "r3"},
        {"at": 6.0, "do": "lose_service_answers", "count": 3},
        {"at": 7.0, "do": "freeze_router", "id": "r5", "for_s": 5.0},
        {"at": 9.0, "do": "platform", "faults": {"lose_answers": 4}},
        {"at": 10.0, "do": "stop_router", "id": "r8"},
    ]
    ticket_peak = generate_traffic(
        TrafficParameters(12, 14.0, 50.0, 10.0, chats=150, accounts=10, large_accounts=3)
    )
    ticket_faults = [
        {"at": 3.0, "do": "kill_engine", "id": "e2"},
        {"at": 4.0, "do": "platform", "faults": {"outage": True}},
        {"at": 5.0, "do": "start_router", "id": "r14"},
        {"at": 6.5, "do": "platform", "faults": {"outage": False, "slow_ms": 150}},
        {"at": 7.0, "do": "start_engine", "id": "e2"},
        {"at": 8.0, "do": "kill_router", "id": "r2"},
        {"at": 8.2, "do": "kill_router", "id": "r4"},
        {"at": 9.0, "do": "engine_leaves", "id": "e7"},
        {"at": 9.5, "do": "platform", "faults": {"slow_ms": 0}},
    ]
    expected: dict[str, float] = dict.fromkeys(
        ("doubles", "false_not_run", "wrong_answers", "failed_chats", "late_grants"), 0
    )
    short = generate_traffic(
        TrafficParameters(13, 8.0, 20.0, 6.0, chats=40, accounts=10, large_accounts=2)
    )
    short_faults = [
        {"at": 1.0, "do": "drain_engine", "id": "e3"},
        {"at": 2.5, "do": "kill_router", "id": "r4"},
        {"at": 3.5, "do": "platform", "faults": {"outage": True}},
        {"at": 4.0, "do": "kill_engine", "id": "e2"},
        {"at": 5.5, "do": "platform", "faults": {"outage": False}},
        {"at": 6.0, "do": "start_engine", "id": "e2"},
    ]
    write_trace(
        folder / "short.jsonl",
        Trace("short", 5, 3, 3, 2, 10, expected, _sort_by_time(short + short_faults)),
    )
    write_trace(
        folder / "order-rush.jsonl",
        Trace(
            "order-rush",
            14,
            4,
            5,
            4,
            10,
            {**expected, "reuse_at_least": 0.9},
            _sort_by_time(order_rush + order_faults),
        ),
    )
    write_trace(
        folder / "ticket-peak.jsonl",
        Trace(
            "ticket-peak",
            13,
            3,
            9,
            3,
            10,
            {**expected, "reuse_at_least": 0.85},
            _sort_by_time(ticket_peak + ticket_faults),
        ),
    )


def _sort_by_time(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return sorted(events, key=lambda event: float(event["at"]))


if __name__ == "__main__":
    from pathlib import Path as _Path

    write_all_traces(_Path("tests/traces"))
    sys.stdout.write("wrote tests/traces\n")
