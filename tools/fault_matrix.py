"""Injects every fault at every step of a keyed call: `python -m tools.fault_matrix`.

Runs on virtual time. The exit status is 1 if a key ran twice, if a request that was reported as
"not run" ran, or if requests with one key received different responses.
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
    SERVICE_DURATION_S,
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
    make_member,
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
"""Which routers receive the call and the fault.

direct: The owner of the key receives both.
forwarded: Another router receives the call, the owner has the fault.
entry: Another router receives the call and has the fault.
"""
LEDGERS: Final = ("sequoiadrum", "claim-after-dispatch", "unconditional-claim")
SHARDS: Final = 4
DEADLINE_S: Final = 10.0
_SIMULATION_END_S: Final = 60.0
_SERVICE: Final = "orders"
_ACCOUNT: Final = "a"


class _StaticConfig(ConfigSource):
    """Configuration with a route to one plain service."""

    def __init__(self) -> None:
        change = Change(1, "c1", ObjectKind.ROUTE, _SERVICE, {"pool": "p", "idempotent": False})
        self._state = ConfigState().apply([change])

    def current(self) -> ConfigState:
        return self._state

    def refusal(self) -> Refusal | None:
        return None


@define(eq=False)
class RequestRecord:
    """One request of a caller and its outcome."""

    attempt: str
    outcome: KeyedOutcome | None = None
    """None if the connection failed."""
    responded_at: float = 0.0
    """Virtual time, in seconds."""

    def __str__(self) -> str:
        if self.outcome is None:
            return "no answer"
        text = self.outcome.state.value
        if self.outcome.state is not KeyedState.DONE and self.outcome.refusal is not None:
            text += f" ({self.outcome.refusal.reason.value})"
        return text


@frozen
class CellResult:
    """Outcomes of one cell and the faults found in them."""

    path: str
    step: str
    fault: str
    reached: bool
    executions: int
    requests: Sequence[RequestRecord]
    status: str
    """Outcome that a status query returned at the end."""
    problems: Sequence[str]
    """Double executions, false "not run" outcomes and different responses for one key."""
    remarks: Sequence[str]
    """Outcomes that are correct but less exact than they could be."""


@define(eq=False)
class SimulationHarness:
    """State shared by the routers of a simulation of keyed calls."""

    ledger: str = LEDGERS[0]
    service_s: Callable[[], float] = lambda: SERVICE_DURATION_S
    """Returns the time that the back end takes for the next call."""
    sim: Sim = field(factory=Sim)
    platform: PlatformState = field(factory=PlatformState)
    executions: list[Execution] = field(factory=list)
    first_byte_at_by_attempt: dict[str, float] = field(factory=dict)
    """Virtual time at which the first byte of a request was sent to the back end."""
    requests: list[RequestRecord] = field(factory=list)
    key: str = ""

    def attach_ledger(self, router: SimRouter, shards: int, policy: LedgerPolicy) -> None:
        """Creates the ledger of a router and attaches it."""
        sim = self.sim
        admission = SimAdmission(sim, router)
        services = SimService(
            sim, router, self.executions, self.first_byte_at_by_attempt, self.service_s
        )
        if self.ledger != LEDGERS[0]:
            kind = {
                "claim-after-dispatch": naive_ledgers.ClaimAfterDispatch,
                "unconditional-claim": naive_ledgers.UnconditionalClaim,
            }[self.ledger]
            platform = SimPlatform(sim, router, self.platform, naive_ledgers.classify_write)
            router.calls = kind(sim, router, platform, admission, services, self._attempt_id)
            return
        platform = SimPlatform(sim, router, self.platform, self._classify_write)
        clock, members, peers = SimClock(sim), SimMembers(router), SimPeers(sim)
        timers = SimTimers(sim)
        task = SimTask(
            shards,
            policy,
            members,
            platform,
            Dispatcher(_StaticConfig(), admission, services, peers, clock),
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

    def _classify_write(self, value: bytes) -> str:
        try:
            head = decode_head(value)
        except TypeError:  # The value is a segment, which has no head.
            return ""
        entry = head.entries_by_key.get(key_hash(_SERVICE, _ACCOUNT, self.key))
        if entry is None:
            return ""
        return {EntryState.CLAIMED: "claim", EntryState.DONE: "outcome"}.get(entry.state, "")


@define(eq=False)
class Cell(SimulationHarness):
    """One cell of the matrix: three routers, one key and one fault."""

    path: str = ""
    step: str = ""
    fault: str = ""
    status: RequestRecord = field(factory=lambda: RequestRecord("status"))
    """The status query at the end of the simulation."""

    def run(self) -> CellResult:
        """Simulates the cell and checks the outcomes."""
        ranked = self._choose_key()
        for number, router_id in enumerate(ranked):
            self.sim.routers.append(SimRouter(self.sim, router_id))
            self.sim.routers[number].view = {
                other: make_member(index, other) for index, other in enumerate(ranked)
            }
        for router in self.sim.routers:
            self.attach_ledger(router, SHARDS, LedgerPolicy())
        owner, second, third = self.sim.routers
        entry = owner if self.path == "direct" else third
        self.sim.armed_step = self.step
        self.sim.inject = partial(self._inject_fault, entry if self.path == "entry" else owner)
        self.sim.call_later(0.2, partial(self._call, entry, True))
        later_router = second if third.is_killed or self.path == "entry" else third
        self.sim.call_later(30.0, partial(self._call, later_router, False))
        self.sim.call_later(45.0, lambda: self.sim.spawn(second, partial(self._ask_status, second)))
        self.sim.run(_SIMULATION_END_S)
        self.sim.close()
        return self._check_outcomes()

    def _choose_key(self) -> list[str]:
        """Sets the key and returns the ids of the routers, ranked for its shard, owner first."""
        self.key = "k1"
        shard = int(key_hash(_SERVICE, _ACCOUNT, self.key), 16) % SHARDS
        return rank(f"ledger/{shard}", ["r1", "r2", "r3"])

    # Callers

    def _call(self, router: SimRouter, is_first: bool) -> None:
        record = RequestRecord(f"request {len(self.requests) + 1}")
        self.requests.append(record)
        request = ServiceRequest("POST", "/", "text/plain", b"body", f"{_ACCOUNT}:{self.key}")

        def work() -> None:
            assert router.calls is not None
            assert self.sim.current is not None
            self.sim.current.attempt = record.attempt
            deadline = self.sim.now + DEADLINE_S
            call = KeyedCall(_SERVICE, _ACCOUNT, self.key, UNIX_EPOCH_MS, request, deadline)
            outcome = router.calls.submit(call)
            self.sim.pause(0)
            record.outcome, record.responded_at = outcome, self.sim.now
            if is_first:
                self.sim.reach_step("answer sent")

        if not router.is_killed:
            self.sim.spawn(router, work)

    def _ask_status(self, router: SimRouter) -> None:
        assert router.calls is not None
        self.status.outcome = router.calls.status(_SERVICE, _ACCOUNT, self.key, UNIX_EPOCH_MS)

    # Faults

    def _inject_fault(self, target: SimRouter) -> None:
        owner, second, third = self.sim.routers
        others = [r for r in self.sim.routers if r is not target]
        retry = partial(self._call, second, False)
        if self.fault == "killed":
            target.is_running, target.is_killed = False, True
            self.sim.call_later(
                0.5, lambda: self._set_member_state(others, target, MemberState.DEAD)
            )
        elif self.fault.startswith("frozen"):
            target.is_running = False
            resume_s = 4.0 if "before" in self.fault else 14.0
            self.sim.call_later(
                0.5, lambda: self._set_member_state(others, target, MemberState.DEAD)
            )
            self.sim.call_later(resume_s, lambda: self._resume(others, target))
        elif self.fault == "same key, two owners":
            for router in (second, third):
                router.set_member_state(owner.id, MemberState.DEAD)
            self.sim.call_later(
                5.0, lambda: self._set_member_state([second, third], owner, MemberState.ALIVE)
            )
        else:
            self._set_fault(target, True)
            self.sim.call_later(5.0, lambda: self._set_fault(target, False))
        if self.fault.startswith("same key"):
            retry()
        else:
            self.sim.call_later(1.0, retry)

    def _set_member_state(
        self, routers: Sequence[SimRouter], target: SimRouter, state: MemberState
    ) -> None:
        for router in routers:
            router.set_member_state(target.id, state)

    def _resume(self, others: Sequence[SimRouter], target: SimRouter) -> None:
        target.is_running = True
        self._set_member_state(others, target, MemberState.ALIVE)

    def _set_fault(self, target: SimRouter, is_active: bool) -> None:
        if self.fault == "cut from the platform":
            target.is_platform_unreachable = is_active
        elif self.fault == "cut from the back end":
            target.is_service_unreachable = is_active
        elif self.fault == "platform outage":
            self.platform.is_down = is_active
        elif self.fault == "slow platform":
            self.platform.is_slow = is_active

    # Checks of the outcomes

    def _check_outcomes(self) -> CellResult:
        problems, remarks = [], []
        if len(self.executions) > 1:
            problems.append(f"DOUBLE: {len(self.executions)} executions")
        executed_attempts = {e.attempt: e.started_at for e in self.executions}
        bodies = set()
        for record in self.requests:
            if record.outcome is None:
                continue
            if record.outcome.state is KeyedState.DONE:
                bodies.add(record.outcome.body)
            if record.outcome.state is KeyedState.NOT_RUN:
                if record.attempt in executed_attempts:
                    problems.append(f"FALSE NOT RUN: {record.attempt}")
                elif any(e.started_at <= record.responded_at for e in self.executions):
                    remarks.append(f"{record.attempt} not run, but the key had run for another one")
            byte_sent = any(
                sent_at <= record.responded_at for sent_at in self.first_byte_at_by_attempt.values()
            )
            if record.outcome.state is KeyedState.UNKNOWN and not byte_sent:
                remarks.append(
                    f"{record.attempt} unknown although no byte had left{self._unavoidable_mark()}"
                )
        if len(bodies) > 1:
            problems.append("DIFFERENT ANSWERS")
        return CellResult(
            self.path,
            self.step,
            self.fault,
            self.sim.is_fault_injected,
            len(self.executions),
            self.requests,
            str(self.status),
            problems,
            remarks,
        )

    def _unavoidable_mark(self) -> str:
        # A stopped router, or one that is considered dead, cannot report what it has sent.
        stopped = self.fault.startswith(("killed", "frozen", "same key, two owners"))
        claim_may_be_stored = self.step in ("claim sent", "claim answer lost", "claimed")
        return " [unavoidable]" if stopped and claim_may_be_stored else ""


def run_matrix(
    ledger: str, on_result: Callable[[CellResult], None] = lambda _: None
) -> list[CellResult]:
    """Simulates all cells; a ledger with known faults runs on the direct path only.

    The ledgers with known faults never forward a call.
    """
    results = []
    for path in PATHS if ledger == LEDGERS[0] else PATHS[:1]:
        for step in STEPS:
            for fault in FAULTS:
                result = Cell(ledger, path=path, step=step, fault=fault).run()
                on_result(result)
                results.append(result)
    return results


def main(arguments: Sequence[str]) -> int:
    """Prints the result of each cell and the totals; returns the exit status."""
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
    results = run_matrix(ledger, _print)
    doubles = sum(any(p.startswith("DOUBLE") for p in v.problems) for v in results)
    false_not_run = sum(any(p.startswith("FALSE") for p in v.problems) for v in results)
    differing = sum("DIFFERENT ANSWERS" in v.problems for v in results)
    unreached = sum(not v.reached for v in results)
    unavoidable = sum(any("[unavoidable]" in r for r in v.remarks) for v in results)
    avoidable = sum(any(r.endswith("had left") for r in v.remarks) for v in results)
    ran_for_another = sum(any("another one" in r for r in v.remarks) for v in results)
    print(f"cells: {len(results)}, step not reached: {unreached}")
    print(f"doubles: {doubles}, false not run: {false_not_run}, different answers: {differing}")
    print(f"unknown although no byte had left: {unavoidable} unavoidable, {avoidable} others")
    print(f"not run told for a request whose key had run for another request: {ran_for_another}")
    return 1 if doubles or false_not_run or differing else 0


def _print(result: CellResult) -> None:
    outcomes = "; ".join(map(str, result.requests))
    reached = "" if result.reached else " | step not reached"
    print(
        f"{result.path} | {result.step} | {result.fault} | {result.executions} | "
        f"{outcomes} | {result.status}{reached}"
    )
    for line in (*result.problems, *result.remarks):
        print(f"    {line}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
