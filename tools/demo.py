"""Demonstrates a fleet on one machine: returning chats, confirmations, a drain and a killed router.

Starts the platform stand-in, engines, two order services and routers as separate processes, runs
callers against them, drains an engine, kills a router and shuts another one down gracefully. Prints
the reuse of the KV cache, load skew, outcomes and control traffic. The exit status is 1 if a
guarantee was violated.
"""

from __future__ import annotations

import random
import sys
import threading
import time
from collections import Counter
from typing import Final

from attrs import define, field

from tools.fleet import Fleet, call_json, parse_metrics
from tools.load import Caller, LoadReport, run_threads
from tools.operator_cli import run_operator_command

SEED: Final = 7
ROUTERS: Final = 6
ENGINES: Final = 5
ACCOUNTS: Final = 10
CALLERS: Final = 48
CHATS_PER_CALLER: Final = 4
RUN_S: Final = 20.0
DRAIN_AT_S: Final = 6.0
KILL_AT_S: Final = 10.0
STOP_AT_S: Final = 13.0
_LOAD_BOUND: Final = 1.25
_LOW_LOAD_MEAN: Final = 3.2
"""Samples below this mean of requests in flight are skipped, because the low-load allowance applies
there; see docs/design/load-bound.md."""


@define
class Skew:
    """Samples of the load skew between the engines."""

    ratios: list[float] = field(factory=list)
    """Maximum over mean of the requests in flight, for samples with at least the low-load mean."""


def sample_skew(fleet: Fleet, drained: set[str], skew: Skew, stop: threading.Event) -> None:
    """Samples the requests in flight of all engines that are not drained until `stop` is set."""
    while not stop.wait(0.05):
        loads = [
            call_json(engine.address, "GET", "/_stats")[1]["in_flight"]
            for engine_id, engine in fleet.engines_by_id.items()
            if engine_id not in drained
        ]
        mean = sum(loads) / len(loads)
        if mean >= _LOW_LOAD_MEAN:
            skew.ratios.append(max(loads) / mean)


def run_caller(fleet: Fleet, number: int, report: LoadReport, until: float) -> None:
    """Runs one caller: turns of returning chats, and an order at every fourth turn."""
    rng = random.Random(SEED * 1000 + number)
    entry = [router.address for router in fleet.routers_by_id.values()]
    caller = Caller(entry, f"account-{number % ACCOUNTS}", report, rng)
    prompts = {f"chat-{number}-{n}": "supplier thread" for n in range(CHATS_PER_CALLER)}
    turn = 0
    while time.monotonic() < until:
        turn += 1
        chat_id = rng.choice(sorted(prompts))
        prompts[chat_id] += f" turn {turn}"
        caller.chat(chat_id, prompts[chat_id], rng.randint(20, 60))
        if turn % 4 == 0:
            caller.keyed(f"order-{number}-{turn}", {"pallets": 2}, also_at_another=turn % 8 == 0)


def inject_faults(fleet: Fleet, started: float, drained: set[str]) -> None:
    """Drains an engine, kills a router and shuts another one down, each at its time of the run."""
    time.sleep(max(0.0, started + DRAIN_AT_S - time.monotonic()))
    run_operator_command(fleet, "plan", "drain", "e5", "--id", "drain-e5")
    drained.add("e5")
    time.sleep(max(0.0, started + KILL_AT_S - time.monotonic()))
    fleet.routers_by_id["r6"].kill()
    time.sleep(max(0.0, started + STOP_AT_S - time.monotonic()))
    fleet.routers_by_id["r5"].terminate()


def find_violations(fleet: Fleet, report: LoadReport, skew: Skew) -> list[str]:
    """Compares the outcomes that callers received with the executions of the services.

    Returns:
        One line for each violated guarantee.
    """
    executions: Counter[str] = Counter()
    for service in fleet.services_by_id.values():
        executions.update(call_json(service.address, "GET", "/_stats")[1]["executions"])
    violations = [f"{key} ran {times} times" for key, times in executions.items() if times > 1]
    for key, outcome in report.outcomes_by_key.items():
        if outcome == "done" and not executions[key]:
            violations.append(f"{key} was reported done but did not run")
        if outcome == "not_run" and executions[key]:
            violations.append(f"{key} was reported not run but ran")
    if report.wrong_answers:
        violations.append(f"{report.wrong_answers} responses with missing or foreign tokens")
    if report.failed_chats:
        violations.append(f"{report.failed_chats} chats without a complete response")
    exit_status = fleet.routers_by_id["r5"].popen.wait(60)
    if exit_status:
        violations.append(f"the graceful shutdown of r5 ended with status {exit_status}")
    return violations


def main() -> int:
    """Runs the demo; returns the exit status."""
    report, skew, drained = LoadReport(), Skew(), set[str]()
    with Fleet(["--address-ttl-s=2"]) as fleet:
        fleet.start_platform()
        for number in range(ENGINES):
            fleet.start_engine(f"e{number + 1}", "--token-ms=10", "--prefill-ms=60")
        for number in range(2):
            fleet.start_service(f"s{number + 1}")
        fleet.write_config(fleet.default_config(ACCOUNTS))
        for number in range(ROUTERS):
            fleet.start_router(f"r{number + 1}", f"d{number % 4 + 1}")
        fleet.wait_converged()
        print(
            f"{ROUTERS} routers, {ENGINES} engines, 2 order services, {CALLERS} callers with "
            f"{CHATS_PER_CALLER} chats each, {RUN_S:g} s, seed {SEED}"
        )
        started, stop = time.monotonic(), threading.Event()
        background_threads = [
            threading.Thread(target=sample_skew, args=(fleet, drained, skew, stop)),
            threading.Thread(target=inject_faults, args=(fleet, started, drained)),
        ]
        for thread in background_threads:
            thread.start()
        run_threads(CALLERS, lambda n: run_caller(fleet, n, report, started + RUN_S))
        stop.set()
        for thread in background_threads:
            thread.join()
        print_report(fleet, report, skew, time.monotonic() - started)
        violations = find_violations(fleet, report, skew)
    for line in violations:
        print(f"BROKEN: {line}")
    print("all guarantees held" if not violations else f"{len(violations)} guarantees violated")
    return 1 if violations else 0


def print_report(fleet: Fleet, report: LoadReport, skew: Skew, elapsed_s: float) -> None:
    """Prints cache reuse, skew, control traffic, outcomes and refusals."""
    stats = [call_json(e.address, "GET", "/_stats")[1] for e in fleet.engines_by_id.values()]
    hits = sum(s.get("cache_hits", 0) for s in stats)
    returning = sum(s.get("requests", 0) for s in stats) - CALLERS * CHATS_PER_CALLER
    ratios = sorted(skew.ratios) or [0.0]
    chats = report.whole_answers + report.resumed_answers
    print(f"answers whole: {chats}, of them resumed at another router: {report.resumed_answers}")
    print(f"cache reuse: {hits} of about {returning} returning turns ({hits / returning:.1%})")
    print(
        f"skew, max over mean: median {ratios[len(ratios) // 2]:.2f}, largest {ratios[-1]:.2f}, "
        f"{sum(r > _LOAD_BOUND for r in ratios)} of {len(ratios)} samples above {_LOAD_BOUND}"
    )
    outcomes = Counter(report.outcomes_by_key.values())
    print(f"confirmations by outcome: {dict(sorted(outcomes.items()))}")
    print(f"refusals seen by callers: {dict(sorted(report.refusals_by_reason.items()))}")
    keyed: Counter[str] = Counter()
    for router_id, router in fleet.routers_by_id.items():
        if router.popen.poll() is not None:
            continue
        values = parse_metrics(router.address)
        sent = sum(v for k, v in values.items() if "control_bytes" in k and '"sent"' in k)
        calls = sum(v for k, v in values.items() if "platform_calls" in k)
        for name in ("keyed_calls_total", "keyed_forwards_total"):
            keyed[name] += int(sum(v for k, v in values.items() if name in k))
        print(
            f"{router_id}: {sent / elapsed_s / 1e3:.2f} KB/s control sent, "
            f"{calls / elapsed_s:.2f} platform calls/s"
        )
    print(
        f"keyed calls at these routers: {keyed['keyed_calls_total']}, "
        f"forwardings: {keyed['keyed_forwards_total']}"
    )


if __name__ == "__main__":
    sys.exit(main())
