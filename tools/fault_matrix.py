"""Every step of a keyed call times every fault, on virtual time: `python -m tools.fault_matrix`.

Ends with status 1 when a key ran twice, or a request that was told "not run" was run.
"""

from __future__ import annotations

import argparse
import sys
from functools import partial
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum._ledger_codec import EntryState, decode_head, key_hash
from sequoiadrum._ledger_dispatch import Dispatcher
from sequoiadrum._ledger_types import LedgerPolicy
from sequoiadrum.configuration import Change, ConfigState, ObjectKind
from sequoiadrum.hashing import rank
from sequoiadrum.interfaces import ConfigSource, KeyedCall, KeyedOutcome, KeyedState
from sequoiadrum.keyed_router import KeyedRouter
from sequoiadrum.ledger_task import TICK_S, Tick
from sequoiadrum.messages import MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.service_client import ServiceRequest
from tools import naive_ledgers
from tools.keyed_fakes import (
    SERVICE_S,
    Execution,
    PlatformState,
    SimAdmission,
    SimPeers,
    SimPlatform,
    SimService,
)
from tools.keyed_sim import (
    UNIX_EPOCH_MS,
    Sim,
    SimClock,
    SimExecutor,
    SimMembers,
    SimRouter,
    SimTask,
    SimTimers,
    a_member,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.errors import Refusal

STEPS: Final = (
    "before claim",
    "claim sent",
    "claim answer lost",
    "claimed",
    "first byte sent",
    "back-end answer lost",
    "outcome recorded",
    "answer sent",
)
FAULTS: Final = (
    "killed",
    "frozen, resumed before the deadline",
    "frozen, resumed after the deadline",
    "cut from the platform",
    "cut from the back end",
    "platform outage",
    "slow platform",
    "same key again elsewhere",
    "same key, two owners",
)
PATHS: Final = ("direct", "forwarded", "entry")
"""direct: the owner gets the call and the fault. forwarded: another router gets the call, the owner
the fault. entry: another router gets the call and the fault."""
LEDGERS: Final = ("sequoiadrum", "claim-after-dispatch", "unconditional-claim")
SHARDS: Final = 4
DEADLINE_S: Final = 10.0
_END_S: Final = 60.0
_SERVICE: Final = "orders"
_ACCOUNT: Final = "a"


class _Config(ConfigSource):
    """One plain service."""

    def __init__(self) -> None:
        change = Change(1, "c1", ObjectKind.ROUTE, _SERVICE, {"pool": "p", "idempotent": False})
        self._state = ConfigState().apply([change])

    def current(self) -> ConfigState:
        return self._state

    def refusal(self) -> Refusal | None:
        return None


@define(eq=False)
class Told:
    """One request of a caller and the answer to it."""

    attempt: str
    outcome: KeyedOutcome | None = None
    """None: the connection broke."""
    at: float = 0.0

    def __str__(self) -> str:
        if self.outcome is None:
            return "no answer"
        text = self.outcome.state.value
        if self.outcome.state is not KeyedState.DONE and self.outcome.refusal is not None:
            text += f" ({self.outcome.refusal.reason.value})"
        return text


@frozen
class Verdict:
    """What one cell has shown."""

    path: str
    step: str
    fault: str
    reached: bool
    executions: int
    told: Sequence[Told]
    status: str
    problems: Sequence[str]
    """Doubles and false "not run" answers."""
    remarks: Sequence[str]


@define(eq=False)
class Bench:
    """The parts that a simulation of keyed calls consists of."""

    ledger: str = LEDGERS[0]
    service_s: Callable[[], float] = lambda: SERVICE_S
    """Time that the back end takes for a call."""
    sim: Sim = field(factory=Sim)
    platform: PlatformState = field(factory=PlatformState)
    executions: list[Execution] = field(factory=list)
    bytes_left_by_attempt: dict[str, float] = field(factory=dict)
    told: list[Told] = field(factory=list)
    key: str = ""

    def equip(self, router: SimRouter, shards: int, policy: LedgerPolicy) -> None:
        """Gives a router its ledger."""
        sim = self.sim
        admission = SimAdmission(sim, router)
        services = SimService(
            sim, router, self.executions, self.bytes_left_by_attempt, self.service_s
        )
        if self.ledger != LEDGERS[0]:
            kind = {
                "claim-after-dispatch": naive_ledgers.ClaimAfterDispatch,
                "unconditional-claim": naive_ledgers.UnconditionalClaim,
            }[self.ledger]
            platform = SimPlatform(sim, router, self.platform, naive_ledgers.stage_of)
            router.calls = kind(sim, router, platform, admission, services, self._attempt_id)
            return
        platform = SimPlatform(sim, router, self.platform, self._stage_of)
        clock, members, peers = SimClock(sim), SimMembers(router), SimPeers(sim)
        timers = SimTimers(sim)
        task = SimTask(
            shards,
            policy,
            members,
            platform,
            Dispatcher(_Config(), admission, services, peers, clock),
            timers,
            Metrics(),
            lambda: sys.exit("invariant broken"),
            clock=clock,
            io_pool=SimExecutor(sim, router),
            dispatch_pool=SimExecutor(sim, router),
        )
        task.messages = []
        timers.subscribe(task, TICK_S, Tick())
        router.task = task
        router.calls = router.peer_handler = KeyedRouter(task, members, peers, self._attempt_id)

    def _attempt_id(self) -> str:
        assert self.sim.current is not None
        return self.sim.current.attempt

    def _stage_of(self, value: bytes) -> str:
        try:
            head = decode_head(value)
        except TypeError:  # A segment.
            return ""
        entry = head.entries_by_key.get(key_hash(_SERVICE, _ACCOUNT, self.key))
        if entry is None:
            return ""
        return {EntryState.CLAIMED: "claim", EntryState.DONE: "outcome"}.get(entry.state, "")


@define(eq=False)
class Cell(Bench):
    """Three routers, one key, one fault."""

    path: str = ""
    step: str = ""
    fault: str = ""
    status: Told = field(factory=lambda: Told("status"))

    def run(self) -> Verdict:
        """Plays the cell."""
        ranked = self._choose_key()
        for number, router_id in enumerate(ranked):
            self.sim.routers.append(SimRouter(self.sim, router_id))
            self.sim.routers[number].view = {
                other: a_member(place, other) for place, other in enumerate(ranked)
            }
        for router in self.sim.routers:
            self.equip(router, SHARDS, LedgerPolicy())
        owner, second, third = self.sim.routers
        entry = owner if self.path == "direct" else third
        self.sim.armed_step = self.step
        self.sim.inject = partial(self._inject, entry if self.path == "entry" else owner)
        self.sim.at(0.2, partial(self._call, entry, True))
        last = second if third.is_killed or self.path == "entry" else third
        self.sim.at(30.0, partial(self._call, last, False))
        self.sim.at(45.0, lambda: self.sim.spawn(second, partial(self._ask_status, second)))
        self.sim.run(_END_S)
        self.sim.close()
        return self._judge()

    def _choose_key(self) -> list[str]:
        """Sets the key; gives the routers as its shard ranks them."""
        self.key = "k1"
        shard = int(key_hash(_SERVICE, _ACCOUNT, self.key), 16) % SHARDS
        return rank(f"ledger/{shard}", ["r1", "r2", "r3"])

    # Callers

    def _call(self, router: SimRouter, is_first: bool) -> None:
        told = Told(f"request {len(self.told) + 1}")
        self.told.append(told)
        request = ServiceRequest("POST", "/", "text/plain", b"body", f"{_ACCOUNT}:{self.key}")

        def work() -> None:
            assert router.calls is not None
            assert self.sim.current is not None
            self.sim.current.attempt = told.attempt
            deadline = self.sim.now + DEADLINE_S
            call = KeyedCall(_SERVICE, _ACCOUNT, self.key, UNIX_EPOCH_MS, request, deadline)
            outcome = router.calls.submit(call)
            self.sim.pause(0)
            told.outcome, told.at = outcome, self.sim.now
            if is_first:
                self.sim.point("answer sent")

        if not router.is_killed:
            self.sim.spawn(router, work)

    def _ask_status(self, router: SimRouter) -> None:
        assert router.calls is not None
        self.status.outcome = router.calls.status(_SERVICE, _ACCOUNT, self.key, UNIX_EPOCH_MS)

    # Faults

    def _inject(self, target: SimRouter) -> None:
        owner, second, third = self.sim.routers
        others = [r for r in self.sim.routers if r is not target]
        repeat = partial(self._call, second, False)
        if self.fault == "killed":
            target.is_running, target.is_killed = False, True
            self.sim.at(0.5, lambda: self._mark(others, target, MemberState.DEAD))
        elif self.fault.startswith("frozen"):
            target.is_running = False
            resume_s = 4.0 if "before" in self.fault else 14.0
            self.sim.at(0.5, lambda: self._mark(others, target, MemberState.DEAD))
            self.sim.at(resume_s, lambda: self._resume(others, target))
        elif self.fault == "same key, two owners":
            for router in (second, third):
                router.mark(owner.id, MemberState.DEAD)
            self.sim.at(5.0, lambda: self._mark([second, third], owner, MemberState.ALIVE))
        else:
            self._set_weather(target, True)
            self.sim.at(5.0, lambda: self._set_weather(target, False))
        if self.fault.startswith("same key"):
            repeat()
        else:
            self.sim.at(1.0, repeat)

    def _mark(self, routers: Sequence[SimRouter], target: SimRouter, state: MemberState) -> None:
        for router in routers:
            router.mark(target.id, state)

    def _resume(self, others: Sequence[SimRouter], target: SimRouter) -> None:
        target.is_running = True
        self._mark(others, target, MemberState.ALIVE)

    def _set_weather(self, target: SimRouter, bad: bool) -> None:
        if self.fault == "cut from the platform":
            target.cut_platform = bad
        elif self.fault == "cut from the back end":
            target.cut_service = bad
        elif self.fault == "platform outage":
            self.platform.is_down = bad
        elif self.fault == "slow platform":
            self.platform.is_slow = bad

    # Judgement

    def _judge(self) -> Verdict:
        problems, remarks = [], []
        if len(self.executions) > 1:
            problems.append(f"DOUBLE: {len(self.executions)} executions")
        ran_by_attempt = {e.attempt: e.at for e in self.executions}
        bodies = set()
        for told in self.told:
            if told.outcome is None:
                continue
            if told.outcome.state is KeyedState.DONE:
                bodies.add(told.outcome.body)
            if told.outcome.state is KeyedState.NOT_RUN:
                if told.attempt in ran_by_attempt:
                    problems.append(f"FALSE NOT RUN: {told.attempt}")
                elif any(e.at <= told.at for e in self.executions):
                    remarks.append(f"{told.attempt} not run, but the key had run for another one")
            left = any(at <= told.at for at in self.bytes_left_by_attempt.values())
            if told.outcome.state is KeyedState.UNKNOWN and not left:
                remarks.append(f"{told.attempt} unknown although no byte had left{self._excuse()}")
        if len(bodies) > 1:
            problems.append("DIFFERENT ANSWERS")
        return Verdict(
            self.path,
            self.step,
            self.fault,
            self.sim.fired,
            len(self.executions),
            self.told,
            str(self.status),
            problems,
            remarks,
        )

    def _excuse(self) -> str:
        # Nobody can ask a process that is stopped, or believed to be, what it has sent.
        stopped = self.fault.startswith(("killed", "frozen", "same key, two owners"))
        claim_may_be_stored = self.step in ("claim sent", "claim answer lost", "claimed")
        return " [unavoidable]" if stopped and claim_may_be_stored else ""


def run_matrix(ledger: str, note: Callable[[Verdict], None] = lambda _: None) -> list[Verdict]:
    """Plays all cells; the faulty ledgers never forward a call."""
    verdicts = []
    for path in PATHS if ledger == LEDGERS[0] else PATHS[:1]:
        for step in STEPS:
            for fault in FAULTS:
                verdict = Cell(ledger, path=path, step=step, fault=fault).run()
                note(verdict)
                verdicts.append(verdict)
    return verdicts


def main(arguments: Sequence[str]) -> int:
    """Prints the matrix cell by cell; gives the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ledger", choices=LEDGERS, default=LEDGERS[0])
    ledger = parser.parse_args(arguments).ledger
    print(f"command: python -m tools.fault_matrix --ledger {ledger}")
    print(
        f"sizes: 3 routers, {SHARDS} shards, {len(STEPS)} steps x "
        f"{len(FAULTS)} faults, deadline {DEADLINE_S:g} s; virtual time, no random choices"
    )
    print(
        "columns: path | step | fault | executions | told to each request in order | status at end"
    )
    verdicts = run_matrix(ledger, _print)
    doubles = sum(any(p.startswith("DOUBLE") for p in v.problems) for v in verdicts)
    false = sum(any(p.startswith("FALSE") for p in v.problems) for v in verdicts)
    differing = sum("DIFFERENT ANSWERS" in v.problems for v in verdicts)
    unreached = sum(not v.reached for v in verdicts)
    excused = sum(any("[unavoidable]" in r for r in v.remarks) for v in verdicts)
    early = sum(any(r.endswith("had left") for r in v.remarks) for v in verdicts)
    other = sum(any("another one" in r for r in v.remarks) for v in verdicts)
    print(f"cells: {len(verdicts)}, step not reached: {unreached}")
    print(f"doubles: {doubles}, false not run: {false}, different answers: {differing}")
    print(f"unknown although no byte had left: {excused} unavoidable, {early} others")
    print(f"not run told for a request whose key had run for another request: {other}")
    return 1 if doubles or false or differing else 0


def _print(verdict: Verdict) -> None:
    told = "; ".join(map(str, verdict.told))
    reached = "" if verdict.reached else " | step not reached"
    print(
        f"{verdict.path} | {verdict.step} | {verdict.fault} | {verdict.executions} | "
        f"{told} | {verdict.status}{reached}"
    )
    for line in (*verdict.problems, *verdict.remarks):
        print(f"    {line}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
