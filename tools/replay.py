"""Replays a trace against a fleet of real processes and checks the stated outcomes.

Stated outcomes are upper limits, and lower limits where the name ends with `_at_least`:
`doubles` (keys that ran more than once), `false_not_run` (told not run, ran), `false_done` (told
done, did not run), `wrong_answers`, `failed_chats`, `unknown_keys`, `late_grants` (requests that a
leaving engine got more than 3 s after it said so) and `reuse_at_least` (share of returning turns
that found their prefix).
"""

from __future__ import annotations

import contextlib
import random
import sys
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

from tools.fleet import Fleet, call_json
from tools.load import Caller, LoadReport
from tools.operator_cli import run_operator_command
from tools.traces import FAULTS, Trace, read_trace

if TYPE_CHECKING:
    from collections.abc import Callable

_CALLER_THREADS: Final = 96
_LEAVING_GRACE_S: Final = 3.0


@define(eq=False)
class Replay:
    """One replay in progress."""

    trace: Trace
    fleet: Fleet
    report: LoadReport = field(factory=LoadReport)
    _callers_by_account: dict[str, Caller] = field(factory=dict)
    _chat_locks: defaultdict[str, threading.Lock] = field(
        factory=lambda: defaultdict(threading.Lock)
    )
    _turns_by_chat: Counter[str] = field(factory=Counter)
    _lost_executions: Counter[str] = field(factory=Counter)
    _lost_stats: Counter[str] = field(factory=Counter)
    _requests_at_leave: dict[str, int] = field(factory=dict)
    _timers: list[threading.Timer] = field(factory=list)

    def run(self) -> dict[str, float]:
        """Replays all events and gives the outcomes."""
        self._start_fleet()
        entry = [router.address for router in self.fleet.routers_by_id.values()]
        for number in range(self.trace.accounts):
            account = f"account-{number}"
            rng = random.Random(f"{self.trace.name}:{account}")
            self._callers_by_account[account] = Caller(entry, account, self.report, rng)
        started = time.monotonic()
        pending: list[Future[Any]] = []
        with ThreadPoolExecutor(_CALLER_THREADS) as pool:
            for event in self.trace.events:
                time.sleep(max(0.0, started + event["at"] - time.monotonic()))
                pending.append(pool.submit(self._perform, event))
            for future in pending:
                future.result()
        for timer in self._timers:
            timer.join()
        return self._outcomes()

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
        self.fleet.wait_ready()

    def _perform(self, event: dict[str, Any]) -> None:
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
        self._lost_stats.update(call_json(engine.address, "GET", "/_stats")[1])
        engine.kill()

    def _start_engine(self, event: dict[str, Any]) -> None:
        old = self.fleet.engines_by_id[event["id"]]
        self.fleet.start_engine(
            event["id"], "--token-ms=8", "--prefill-ms=60", f"--port={old.address.port}"
        )

    def _engine_leaves(self, event: dict[str, Any]) -> None:
        engine = self.fleet.engines_by_id[event["id"]]
        call_json(engine.address, "POST", "/_faults", {"leaving": True})
        self._watch_leaving(event["id"])

    def _drain_engine(self, event: dict[str, Any]) -> None:
        run_operator_command(
            self.fleet, "plan", "drain", event["id"], "--id", f"drain-{event['id']}"
        )
        self._watch_leaving(event["id"])

    def _watch_leaving(self, engine_id: str) -> None:
        def note() -> None:
            with contextlib.suppress(OSError, HTTPException):
                self._requests_at_leave[engine_id] = self._engine_requests(engine_id)

        timer = threading.Timer(_LEAVING_GRACE_S, note)
        timer.start()
        self._timers.append(timer)

    def _engine_requests(self, engine_id: str) -> int:
        address = self.fleet.engines_by_id[engine_id].address
        return int(call_json(address, "GET", "/_stats")[1].get("requests", 0))

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
        told = self.report.outcomes_by_key
        stats = Counter(self._lost_stats)
        for engine in self.fleet.engines_by_id.values():
            stats.update(call_json(engine.address, "GET", "/_stats")[1])
        first_turns = len(self._turns_by_chat)
        returning = sum(self._turns_by_chat.values()) - first_turns
        return {
            "doubles": sum(times > 1 for times in executions.values()),
            "false_not_run": sum(o == "not_run" and executions[k] > 0 for k, o in told.items()),
            "false_done": sum(o == "done" and not executions[k] for k, o in told.items()),
            "unknown_keys": sum(o in ("unknown", "lost") for o in told.values()),
            "done_keys": sum(o == "done" for o in told.values()),
            "wrong_answers": self.report.wrong_answers,
            "failed_chats": self.report.failed_chats,
            "whole_answers": self.report.whole_answers + self.report.resumed_answers,
            "resumed_answers": self.report.resumed_answers,
            "late_grants": sum(
                self._engine_requests(engine_id) - known
                for engine_id, known in self._requests_at_leave.items()
            ),
            "reuse": min(1.0, stats["cache_hits"] / max(1, returning)),
        }


def violations(outcomes: dict[str, float], expected: dict[str, float]) -> list[str]:
    """Compares outcomes with the stated ones; gives a line for each that does not hold."""
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


def main(paths: list[str]) -> int:
    """Replays each trace; gives 1 when a stated outcome does not hold."""
    failed = False
    for path in paths:
        trace = read_trace(Path(path))
        print(
            f"{trace.name}: {trace.routers} routers in {trace.failure_domains} domains, "
            f"{trace.engines} engines, {trace.services} services, {len(trace.events)} events"
        )
        with Fleet(["--address-ttl-s=2"]) as fleet:
            replay = Replay(trace, fleet)
            outcomes = replay.run()
        for name, value in outcomes.items():
            print(f"  {name}: {value:.3f}" if name == "reuse" else f"  {name}: {value:g}")
        print(
            f"  refusals seen by callers: {dict(sorted(replay.report.refusals_by_reason.items()))}"
        )
        for line in violations(outcomes, trace.expected):
            failed = True
            print(f"  BROKEN {line}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or [str(p) for p in sorted(Path("tests/traces").glob("*.jsonl"))]))
