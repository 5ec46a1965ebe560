"""Replays a trace against a fleet of real processes and checks the expected outcomes.

Expected outcomes are upper limits, or lower limits if the name ends with `_at_least`:

- `doubles`: Keys that ran more than once.
- `false_not_run`: Keys that were reported as not run, but ran.
- `false_done`: Keys that were reported as done, but did not run.
- `unknown_keys`: Keys whose outcome stayed unknown to the caller.
- `wrong_answers`: Chat responses with missing, repeated or foreign tokens.
- `failed_chats`: Chat turns without a complete response.
- `late_grants`: Requests that a leaving engine received more than 3 s after it announced its leave.
- `reuse_at_least`: Share of returning chat turns that found their prefix in the KV cache.

Each trace is replayed first without its faults; this run, called calm, is the baseline.
"""

from __future__ import annotations

import random
import sys
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from attrs import define, evolve, field

from tools.fleet import Fleet, call_json
from tools.load import Caller, LoadReport
from tools.operator_cli import run_until_available
from tools.replay_figures import ControlTraffic, EngineSampler
from tools.traces import FAULTS, Trace, read_trace

if TYPE_CHECKING:
    from collections.abc import Callable

_CALLER_THREADS: Final = 96


@define(eq=False)
class Replay:
    """One replay of a trace against a running fleet."""

    trace: Trace
    fleet: Fleet
    report: LoadReport = field(factory=LoadReport)
    _callers_by_account: dict[str, Caller] = field(factory=dict)
    _chat_locks: defaultdict[str, threading.Lock] = field(
        factory=lambda: defaultdict(threading.Lock)
    )
    """Locks that serialize the turns of each chat."""
    _turns_by_chat: Counter[str] = field(factory=Counter)
    _lost_executions: Counter[str] = field(factory=Counter)
    _killed_engine_stats: Counter[str] = field(factory=Counter)
    """Counters that killed engines had before they were killed."""
    _timers: list[threading.Timer] = field(factory=list)
    _sampler: EngineSampler = field(init=False)

    def run(self) -> dict[str, float]:
        """Starts the fleet and replays all events; returns outcomes and sampled figures by name."""
        self._start_fleet()
        sampler = EngineSampler(self.fleet)
        traffic = ControlTraffic(self.fleet)
        self._sampler = sampler
        entry = [router.address for router in self.fleet.routers_by_id.values()]
        for number in range(self.trace.accounts):
            account = f"account-{number}"
            rng = random.Random(f"{self.trace.name}:{account}")
            self._callers_by_account[account] = Caller(entry, account, self.report, rng)
        sampler.start()
        traffic.begin()
        started = time.monotonic()
        pending: list[Future[Any]] = []
        with ThreadPoolExecutor(_CALLER_THREADS) as pool:
            for event in self.trace.events:
                time.sleep(max(0.0, started + event["at"] - time.monotonic()))
                pending.append(pool.submit(self._execute, event))
            for future in pending:
                future.result()
        for timer in self._timers:
            timer.join()
        figures = traffic.figures()
        sampler.stop()
        return {**self._outcomes(), **sampler.figures(), **figures}

    def _start_fleet(self) -> None:
        self.fleet.start_platform()
        for number in range(self.trace.engines):
            self.fleet.start_engine(f"e{number + 1}", "--token-ms=8", "--prefill-ms=60")
        for number in range(self.trace.services):
            self.fleet.start_service(f"s{number + 1}")
        self.fleet.write_config(self.fleet.default_config(self.trace.accounts))
        for number in range(self.trace.routers):
            domain = f"d{number % self.trace.failure_domains + 1}"
            self.fleet.start_router(f"r{number + 1}", domain)
        self.fleet.wait_converged()

    def _execute(self, event: dict[str, Any]) -> None:
        kind = event["do"]
        if kind == "chat":
            self._chat(event)
        elif kind == "keyed":
            caller = self._callers_by_account[event["account"]]
            caller.keyed(event["key"], {"n": 1}, also_at_another=event["twice"])
        elif kind in FAULTS:
            handler: Callable[[dict[str, Any]], None] = getattr(self, f"_{kind}")
            handler(event)
        else:
            raise ValueError(f"unknown event {kind!r}")

    def _chat(self, event: dict[str, Any]) -> None:
        chat_id = event["chat"]
        with self._chat_locks[chat_id]:
            self._turns_by_chat[chat_id] += 1
            prompt = "thread " * (10 + self._turns_by_chat[chat_id])
            self._callers_by_account[event["account"]].chat(chat_id, prompt, event["tokens"])

    def _kill_router(self, event: dict[str, Any]) -> None:
        self.fleet.routers_by_id[event["id"]].kill()

    def _freeze_router(self, event: dict[str, Any]) -> None:
        router = self.fleet.routers_by_id[event["id"]]
        router.freeze()
        timer = threading.Timer(event["for_s"], router.resume)
        timer.start()
        self._timers.append(timer)

    def _start_router(self, event: dict[str, Any]) -> None:
        self.fleet.start_router(event["id"], "d1")

    def _stop_router(self, event: dict[str, Any]) -> None:
        self.fleet.routers_by_id[event["id"]].terminate()

    def _kill_engine(self, event: dict[str, Any]) -> None:
        engine = self.fleet.engines_by_id[event["id"]]
        # The engine loses its counters when it is killed.
        self._killed_engine_stats.update(call_json(engine.address, "GET", "/_stats")[1])
        engine.kill()

    def _start_engine(self, event: dict[str, Any]) -> None:
        old = self.fleet.engines_by_id[event["id"]]
        self.fleet.start_engine(
            event["id"], "--token-ms=8", "--prefill-ms=60", f"--port={old.address.port}"
        )

    def _engine_leaves(self, event: dict[str, Any]) -> None:
        engine = self.fleet.engines_by_id[event["id"]]
        call_json(engine.address, "POST", "/_faults", {"leaving": True})
        self._sampler.record_leaving(event["id"])

    def _drain_engine(self, event: dict[str, Any]) -> None:
        # On a busy machine the command takes seconds to start and can run into the platform outage
        # of the trace.
        run_until_available(
            self.fleet, "plan", "drain", event["id"], "--id", f"drain-{event['id']}"
        )
        self._sampler.record_leaving(event["id"])

    def _platform(self, event: dict[str, Any]) -> None:
        call_json(self.fleet.platform_address(), "POST", "/_faults", event["faults"])

    def _lose_service_answers(self, event: dict[str, Any]) -> None:
        for service in self.fleet.services_by_id.values():
            call_json(service.address, "POST", "/_faults", {"lose_answers": event["count"]})

    def _delay_service(self, event: dict[str, Any]) -> None:
        for service in self.fleet.services_by_id.values():
            call_json(service.address, "POST", "/_faults", {"delay_ms": event["delay_ms"]})

    def _outcomes(self) -> dict[str, float]:
        executions: Counter[str] = Counter()
        for service in self.fleet.services_by_id.values():
            executions.update(call_json(service.address, "GET", "/_stats")[1]["executions"])
        outcomes_by_key = self.report.outcomes_by_key
        for key, outcome in outcomes_by_key.items():
            if executions[key] > 1 or (outcome == "not_run" and executions[key]):
                history = "; ".join(self.report.answers_by_key.get(key, ()))
                print(f"  {key} ran {executions[key]} times; reported outcomes: {history}")
        stats = Counter(self._killed_engine_stats)
        for engine in self.fleet.engines_by_id.values():
            stats.update(call_json(engine.address, "GET", "/_stats")[1])
        first_turns = len(self._turns_by_chat)
        returning = sum(self._turns_by_chat.values()) - first_turns
        return {
            "doubles": sum(times > 1 for times in executions.values()),
            "false_not_run": sum(
                o == "not_run" and executions[k] > 0 for k, o in outcomes_by_key.items()
            ),
            "keys that ran, repetition not run": sum(
                executions[key] > 0
                and any(": lost" in line for line in lines)
                and any(": not_run" in line for line in lines)
                for key, lines in self.report.answers_by_key.items()
            ),
            "false_done": sum(
                o == "done" and not executions[k] for k, o in outcomes_by_key.items()
            ),
            "unknown_keys": sum(o in ("unknown", "lost") for o in outcomes_by_key.values()),
            "done_keys": sum(o == "done" for o in outcomes_by_key.values()),
            "wrong_answers": self.report.wrong_answers,
            "failed_chats": self.report.failed_chats,
            "whole_answers": self.report.whole_answers + self.report.resumed_answers,
            "resumed_answers": self.report.resumed_answers,
            "reuse": min(1.0, stats["cache_hits"] / max(1, returning)),
        }


def violations(outcomes: dict[str, float], expected: dict[str, float]) -> list[str]:
    """Compares outcomes with their expected limits; returns a line for each violated limit."""
    lines = []
    for name, limit in expected.items():
        if name.endswith("_at_least"):
            value = outcomes[name.removesuffix("_at_least")]
            holds = value >= limit
        else:
            value = outcomes[name]
            holds = value <= limit
        if not holds:
            lines.append(f"{name}: {value:g}, stated {limit:g}")
    return lines


def replay(trace: Trace) -> dict[str, float]:
    """Replays a trace against a separate fleet; returns the outcomes by name."""
    with Fleet(["--address-ttl-s=2"]) as fleet:
        run = Replay(trace, fleet)
        outcomes = run.run()
    refusals = sorted(run.report.refusals_by_reason.items())
    return {**outcomes, **{f"refused {reason}": float(count) for reason, count in refusals}}


def without_faults(trace: Trace) -> Trace:
    """Returns a copy of a trace without its fault events."""
    return evolve(trace, events=[event for event in trace.events if event["do"] not in FAULTS])


def main(paths: list[str]) -> int:
    """Replays each trace and prints its outcomes; returns 1 if an expected outcome is violated."""
    failed = False
    for path in paths:
        trace = read_trace(Path(path))
        faults = [event for event in trace.events if event["do"] in FAULTS]
        print(f"python -m tools.replay {path}")
        print(
            f"{trace.name}: {trace.routers} routers in {trace.failure_domains} domains, "
            f"{trace.engines} engines, {trace.services} services, {trace.accounts} accounts, "
            f"{len(trace.events) - len(faults)} requests in {trace.events[-1]['at']:.0f} s, "
            f"address time to live 2 s"
        )
        for event in faults:
            details = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("at", "do"))
            print(f"  fault at {event['at']:g} s: {event['do']} {details}")
        baseline, faulted = replay(without_faults(trace)), replay(trace)
        print(f"  {'outcome':34} {'calm':>9} {'faults':>9}  stated")
        for name in {**faulted, **baseline}:
            print(
                f"  {name:34} {_format_outcome(baseline, name):>9} "
                f"{_format_outcome(faulted, name):>9}"
                f"  {_format_limit(trace, name)}"
            )
        for label, outcomes in (("calm", baseline), ("faults", faulted)):
            for line in violations(outcomes, trace.expected):
                failed = True
                print(f"  BROKEN ({label}) {line}")
    return 1 if failed else 0


def _format_outcome(outcomes: dict[str, float], name: str) -> str:
    value = outcomes.get(name)
    if value is None:
        return "0" if name.startswith("refused") else "-"
    return f"{value:.0f}" if value == int(value) else f"{value:.3f}"


def _format_limit(trace: Trace, name: str) -> str:
    if name in trace.expected:
        return f"at most {trace.expected[name]:g}"
    least = trace.expected.get(f"{name}_at_least")
    return "" if least is None else f"at least {least:g}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or [str(p) for p in sorted(Path("tests/traces").glob("*.jsonl"))]))
