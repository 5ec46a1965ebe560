"""Random faults in combination on keyed calls, on virtual time: `python -m tools.fault_storm`.

Ends with status 1 when a key ran twice, a request that was told "not run" was run, or two callers
of a key were told different answers.
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
from tools.fault_matrix import Bench, Told
from tools.keyed_sim import UNIX_EPOCH_MS, SimRouter, a_member

if TYPE_CHECKING:
    from collections.abc import Sequence

KINDS: Final = (
    "killed and restarted",
    "frozen",
    "cut from the platform",
    "cut from the back end",
    "platform outage",
    "slow platform",
    "lost answers",
    "wrong view",
    "planned stop",
)
POLICY: Final = LedgerPolicy(head_limit_bytes=900, batch_bytes=500, segment_limit_bytes=1_500)
"""Small, so that entries move to segments."""


@define(eq=False)
class Storm(Bench):
    """Three routers, several keys in one shard, random calls and faults."""

    random: random.Random = field(factory=random.Random)
    keys: int = 10
    bursts: int = 16
    """Calls of one key within 50 ms, at random routers."""
    faults: int = 8
    """Within 120 ms of the start of a burst, where a call passes through its steps."""
    span_s: float = 30.0
    key_by_attempt: dict[str, str] = field(factory=dict)
    process: int = 1_000

    def run(self) -> list[str]:
        """Plays one storm; gives what went wrong."""
        self.service_s = lambda: self.random.choice((0.01, 0.05, 0.5, 2.0, 5.0))
        names = ["r1", "r2", "r3"]
        for name in names:
            router = SimRouter(self.sim, name)
            router.view = {other: a_member(place, other) for place, other in enumerate(names)}
            self.sim.routers.append(router)
        for router in self.sim.routers:
            self.equip(router, 1, POLICY)
        starts = [self.random.uniform(0.2, self.span_s) for _ in range(self.bursts)]
        for start in starts:
            key = f"k{self.random.randrange(self.keys)}"
            for _ in range(self.random.randint(1, 4)):
                self.sim.at(start + self.random.uniform(0.0, 0.05), partial(self._call, key))
        for _ in range(self.faults):
            at = self.random.choice(starts) + self.random.uniform(0.0, 0.12)
            lasts = self.random.uniform(0.1, 8.0)
            kind = self.random.choice(KINDS)
            self.sim.at(at, partial(self._inject, kind, self.random.randrange(3), lasts))
        self.sim.run(self.span_s + 40.0)
        self.sim.close()
        return self._judge()

    def _call(self, key: str) -> None:
        router = self.sim.routers[self.random.randrange(3)]
        told = Told(f"request {len(self.told) + 1}")
        timeout_s = self.random.choice((0.5, 3.0, 10.0))
        request = ServiceRequest("POST", "/", "text/plain", b"body", f"a:{key}")

        def work() -> None:
            assert self.sim.current is not None
            assert router.calls is not None
            self.sim.current.attempt = told.attempt
            deadline = self.sim.now + timeout_s
            outcome = router.calls.submit(
                KeyedCall("orders", "a", key, UNIX_EPOCH_MS, request, deadline)
            )
            self.sim.pause(0)
            told.outcome, told.at = outcome, self.sim.now

        if not router.is_killed:
            self.told.append(told)
            self.key_by_attempt[told.attempt] = key
            self.sim.spawn(router, work)

    def _inject(self, kind: str, place: int, lasts_s: float) -> None:
        router = self.sim.routers[place]
        others = [r for r in self.sim.routers if r is not router]
        heal = partial(self._heal, kind, router, lasts_s)
        if kind == "killed and restarted":
            router.is_running, router.is_killed = False, True
            self.sim.at(lasts_s, partial(self._restart, place))
        elif kind == "frozen":
            router.is_running = False
        elif kind == "wrong view":
            self.random.choice(others).mark(router.id, MemberState.DEAD)
        elif kind == "planned stop" and router.task is not None:
            for other in self.sim.routers:
                other.mark(router.id, MemberState.LEAVING)
            task = router.task
            self.sim.spawn(router, partial(task.drain, lasts_s))
            self.sim.at(lasts_s + 0.5, partial(self._stop, place, router))
        else:
            self._set(kind, router, True)
        if kind in ("killed and restarted", "frozen"):
            for other in others:
                self.sim.at(
                    self.random.uniform(0.2, 3.0), partial(other.mark, router.id, MemberState.DEAD)
                )
        self.sim.at(lasts_s, heal)

    def _heal(self, kind: str, router: SimRouter, lasts_s: float) -> None:
        if kind == "frozen" and not router.is_killed:
            router.is_running = True
        if kind in ("frozen", "wrong view") and not router.is_killed:
            for other in self.sim.routers:
                self.sim.at(0.5, partial(other.mark, router.id, MemberState.ALIVE))
        self._set(kind, router, False)

    def _stop(self, place: int, router: SimRouter) -> None:
        if self.sim.routers[place] is router:
            router.is_running, router.is_killed = False, True
            self._restart(place)

    def _restart(self, place: int) -> None:
        """Replaces a dead process by a new one, which the others learn of."""
        old = self.sim.routers[place]
        if not old.is_killed:
            return
        self.process += 1
        router = SimRouter(self.sim, old.id)
        member = evolve(a_member(place, old.id), process_id=self.process)
        router.view = {**old.view, old.id: member}
        self.sim.routers[place] = router
        self.equip(router, 1, POLICY)
        for other in self.sim.routers:
            other.view = {**other.view, old.id: member}

    def _set(self, kind: str, router: SimRouter, bad: bool) -> None:
        if kind == "cut from the platform":
            router.cut_platform = bad
        elif kind == "cut from the back end":
            router.cut_service = bad
        elif kind == "platform outage":
            self.platform.is_down = bad
        elif kind == "slow platform":
            self.platform.is_slow = bad
        elif kind == "lost answers":
            router.loses_answers = bad

    def _judge(self) -> list[str]:
        problems = []
        runs_by_key: dict[str, int] = {}
        ran = {execution.attempt for execution in self.executions}
        for execution in self.executions:
            key = self.key_by_attempt[execution.attempt]
            runs_by_key[key] = runs_by_key.get(key, 0) + 1
        problems += [f"DOUBLE: {key} ran {n} times" for key, n in runs_by_key.items() if n > 1]
        bodies_by_key: dict[str, set[bytes]] = {}
        for told in self.told:
            if told.outcome is None:
                continue
            if told.outcome.state is KeyedState.NOT_RUN and told.attempt in ran:
                problems.append(f"FALSE NOT RUN: {told.attempt}")
            if told.outcome.state is KeyedState.DONE:
                key = self.key_by_attempt[told.attempt]
                bodies_by_key.setdefault(key, set()).add(told.outcome.body)
        problems += [f"DIFFERENT: {key}" for key, b in bodies_by_key.items() if len(b) > 1]
        return problems


def main(arguments: Sequence[str]) -> int:
    """Plays storms; gives the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--storms", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", default="sequoiadrum")
    options = parser.parse_args(arguments)
    print(
        f"command: python -m tools.fault_storm --storms {options.storms} --seed {options.seed} "
        f"--ledger {options.ledger}"
    )
    told_by_state: dict[str, int] = {}
    failed = executions = segments = deletes = 0
    for seed in range(options.seed, options.seed + options.storms):
        storm = Storm(random=random.Random(seed), ledger=options.ledger)
        problems = storm.run()
        executions += len(storm.executions)
        segments += sum("/seg/" in name for name in storm.platform.objects_by_name)
        deletes += storm.platform.deletes
        for told in storm.told:
            text = "no answer" if told.outcome is None else told.outcome.state.value
            told_by_state[text] = told_by_state.get(text, 0) + 1
        failed += bool(problems)
        if problems:
            print(f"seed {seed}: {'; '.join(problems)}")
    print(
        f"sizes: {storm.bursts} bursts of 1 to 4 calls on {storm.keys} keys, {storm.faults} faults"
    )
    print(
        f"executions: {executions}, segments kept: {segments}, "
        f"deleted: {deletes}, told: {told_by_state}"
    )
    print(f"storms with a double, a false not run or different answers: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
