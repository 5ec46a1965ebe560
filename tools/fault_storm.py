"""Injects random combinations of faults into keyed calls: `python -m tools.fault_storm`.

Runs on virtual time. The exit status is 1 if a key ran twice, if a request that was reported as
"not run" ran, or if two callers of one key received different responses.
"""

from __future__ import annotations

import argparse
import random
import sys
from functools import partial
from typing import TYPE_CHECKING, Final

from attrs import define, evolve, field

from sequoiadrum._ledger_types import LedgerPolicy
from sequoiadrum.interfaces import KeyedCall, KeyedState
from sequoiadrum.messages import MemberState
from sequoiadrum.service_client import ServiceRequest
from tools.fault_matrix import RequestRecord, SimulationHarness
from tools.keyed_sim import UNIX_EPOCH_MS, SimRouter, make_member

if TYPE_CHECKING:
    from collections.abc import Sequence

FAULT_KINDS: Final = (
    "killed and restarted",
    "frozen",
    "cut from the platform",
    "cut from the back end",
    "platform outage",
    "slow platform",
    "lost responses",
    "wrong view",
    "graceful shutdown",
)
POLICY: Final = LedgerPolicy(head_limit_bytes=900, batch_bytes=500, segment_limit_bytes=1_500)
"""Limits that are small enough to make entries move to segments."""


@define(eq=False)
class Storm(SimulationHarness):
    """Simulation of three routers and several keys in one shard, with random calls and faults."""

    random: random.Random = field(factory=random.Random)
    keys: int = 10
    bursts: int = 16
    """Number of bursts; a burst is up to 4 calls of one key within 50 ms, at random routers."""
    faults: int = 8
    """Number of faults; each starts within 120 ms of the start of a burst, while its calls run."""
    span_s: float = 30.0
    """Virtual time in which the bursts start."""
    key_by_attempt: dict[str, str] = field(factory=dict)
    last_process_id: int = 1_000
    """Process id of the last restarted router."""

    def run(self) -> list[str]:
        """Simulates one storm; returns a description of each violated guarantee."""
        self.service_s = lambda: self.random.choice((0.01, 0.05, 0.5, 2.0, 5.0))
        names = ["r1", "r2", "r3"]
        for name in names:
            router = SimRouter(self.sim, name)
            router.view = {other: make_member(index, other) for index, other in enumerate(names)}
            self.sim.routers.append(router)
        for router in self.sim.routers:
            self.attach_ledger(router, 1, POLICY)
        starts = [self.random.uniform(0.2, self.span_s) for _ in range(self.bursts)]
        for start in starts:
            key = f"k{self.random.randrange(self.keys)}"
            for _ in range(self.random.randint(1, 4)):
                self.sim.call_later(
                    start + self.random.uniform(0.0, 0.05), partial(self._call, key)
                )
        for _ in range(self.faults):
            at = self.random.choice(starts) + self.random.uniform(0.0, 0.12)
            duration_s = self.random.uniform(0.1, 8.0)
            kind = self.random.choice(FAULT_KINDS)
            self.sim.call_later(
                at, partial(self._inject_fault, kind, self.random.randrange(3), duration_s)
            )
        self.sim.run(self.span_s + 40.0)
        self.sim.close()
        return self._check_outcomes()

    def _call(self, key: str) -> None:
        router = self.sim.routers[self.random.randrange(3)]
        record = RequestRecord(f"request {len(self.requests) + 1}")
        timeout_s = self.random.choice((0.5, 3.0, 10.0))
        request = ServiceRequest("POST", "/", "text/plain", b"body", f"a:{key}")

        def work() -> None:
            assert self.sim.current is not None
            assert router.calls is not None
            self.sim.current.attempt = record.attempt
            deadline = self.sim.now + timeout_s
            outcome = router.calls.submit(
                KeyedCall("orders", "a", key, UNIX_EPOCH_MS, request, deadline)
            )
            self.sim.pause(0)
            record.outcome, record.responded_at = outcome, self.sim.now

        if not router.is_killed:
            self.requests.append(record)
            self.key_by_attempt[record.attempt] = key
            self.sim.spawn(router, work)

    def _inject_fault(self, kind: str, index: int, duration_s: float) -> None:
        router = self.sim.routers[index]
        others = [r for r in self.sim.routers if r is not router]
        end_fault = partial(self._end_fault, kind, router, duration_s)
        if kind == "killed and restarted":
            router.is_running, router.is_killed = False, True
            self.sim.call_later(duration_s, partial(self._restart, index))
        elif kind == "frozen":
            router.is_running = False
        elif kind == "wrong view":
            self.random.choice(others).set_member_state(router.id, MemberState.DEAD)
        elif kind == "graceful shutdown" and router.task is not None:
            for other in self.sim.routers:
                other.set_member_state(router.id, MemberState.LEAVING)
            task = router.task
            self.sim.spawn(router, partial(task.drain, duration_s))
            self.sim.call_later(duration_s + 0.5, partial(self._stop, index, router))
        else:
            self._set_fault(kind, router, True)
        if kind in ("killed and restarted", "frozen"):
            for other in others:
                self.sim.call_later(
                    self.random.uniform(0.2, 3.0),
                    partial(other.set_member_state, router.id, MemberState.DEAD),
                )
        self.sim.call_later(duration_s, end_fault)

    def _end_fault(self, kind: str, router: SimRouter, duration_s: float) -> None:
        if kind == "frozen" and not router.is_killed:
            router.is_running = True
        if kind in ("frozen", "wrong view") and not router.is_killed:
            for other in self.sim.routers:
                self.sim.call_later(
                    0.5, partial(other.set_member_state, router.id, MemberState.ALIVE)
                )
        self._set_fault(kind, router, False)

    def _stop(self, index: int, router: SimRouter) -> None:
        if self.sim.routers[index] is router:
            router.is_running, router.is_killed = False, True
            self._restart(index)

    def _restart(self, index: int) -> None:
        """Replaces a killed router process by a new one and adds it to the view of every router."""
        old = self.sim.routers[index]
        if not old.is_killed:
            return
        self.last_process_id += 1
        router = SimRouter(self.sim, old.id)
        member = evolve(make_member(index, old.id), process_id=self.last_process_id)
        router.view = {**old.view, old.id: member}
        self.sim.routers[index] = router
        self.attach_ledger(router, 1, POLICY)
        for other in self.sim.routers:
            other.view = {**other.view, old.id: member}

    def _set_fault(self, kind: str, router: SimRouter, is_active: bool) -> None:
        if kind == "cut from the platform":
            router.is_platform_unreachable = is_active
        elif kind == "cut from the back end":
            router.is_service_unreachable = is_active
        elif kind == "platform outage":
            self.platform.is_down = is_active
        elif kind == "slow platform":
            self.platform.is_slow = is_active
        elif kind == "lost responses":
            router.drops_write_responses = is_active

    def _check_outcomes(self) -> list[str]:
        problems = []
        runs_by_key: dict[str, int] = {}
        ran = {execution.attempt for execution in self.executions}
        for execution in self.executions:
            key = self.key_by_attempt[execution.attempt]
            runs_by_key[key] = runs_by_key.get(key, 0) + 1
        problems += [f"DOUBLE: {key} ran {n} times" for key, n in runs_by_key.items() if n > 1]
        bodies_by_key: dict[str, set[bytes]] = {}
        for record in self.requests:
            if record.outcome is None:
                continue
            if record.outcome.state is KeyedState.NOT_RUN and record.attempt in ran:
                problems.append(f"FALSE NOT RUN: {record.attempt}")
            if record.outcome.state is KeyedState.DONE:
                key = self.key_by_attempt[record.attempt]
                bodies_by_key.setdefault(key, set()).add(record.outcome.body)
        problems += [f"DIFFERENT: {key}" for key, b in bodies_by_key.items() if len(b) > 1]
        return problems


def main(arguments: Sequence[str]) -> int:
    """Simulates the storms and prints the totals; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--storms", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", default="sequoiadrum")
    options = parser.parse_args(arguments)
    print(
        f"command: python -m tools.fault_storm --storms {options.storms} --seed {options.seed} "
        f"--ledger {options.ledger}"
    )
    requests_by_state: dict[str, int] = {}
    failed = executions = segments = deletes = 0
    for seed in range(options.seed, options.seed + options.storms):
        storm = Storm(random=random.Random(seed), ledger=options.ledger)
        problems = storm.run()
        executions += len(storm.executions)
        segments += sum("/seg/" in name for name in storm.platform.objects_by_name)
        deletes += storm.platform.deletes
        for record in storm.requests:
            text = "no answer" if record.outcome is None else record.outcome.state.value
            requests_by_state[text] = requests_by_state.get(text, 0) + 1
        failed += bool(problems)
        if problems:
            print(f"seed {seed}: {'; '.join(problems)}")
    print(
        f"sizes: {storm.bursts} bursts of 1 to 4 calls on {storm.keys} keys, {storm.faults} faults"
    )
    print(
        f"executions: {executions}, segments kept: {segments}, "
        f"deleted: {deletes}, told: {requests_by_state}"
    )
    print(f"storms with a double, a false not run or different answers: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
