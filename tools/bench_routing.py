"""Measures the cache reuse, load skew, moved chats and queue waits of the routing policy.

Runs the real `PoolAdmission` against simulated engines on virtual time, and baselines under the
same demand. Usage: `PYTHONPATH=src python -m tools.bench_routing [--seed N] [--seconds N]`.
"""

from __future__ import annotations

import argparse
import itertools
from typing import TYPE_CHECKING, Final

from attrs import evolve

from sequoiadrum.placement import REUSE_WEIGHTED, SKEW_WEIGHTED, BoundPolicy
from sequoiadrum.served_chats import ServedChats
from tools.figures import quantile
from tools.routing_model import (
    DEPLOYMENT_A,
    DEPLOYMENT_B,
    Chat,
    Chooser,
    Deployment,
    LeastLoadedChooser,
    ModuloChooser,
    Outcome,
    PoolChooser,
    RendezvousChooser,
    Simulation,
    Turn,
    TwoChoicesChooser,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_UNLIMITED_SLOTS: Final = 1e9
_MEAN_LOADS: Final = (5, 12, 40)
_ADMIT_MULTIPLES: Final = (1.0, 1.05, 1.1, 1.15, 1.2, 1.25)
_IDLE_CHATS: Final = 20_000
_SPLIT_DURATION_S: Final = 10.0
_MEASURED_S: Final = 30.0
"""Measured time after a change of the owner."""
_POLL_INTERVAL_S: Final = 0.5
_POLICIES: Final = (("reuse-weighted", REUSE_WEIGHTED), ("skew-weighted", SKEW_WEIGHTED))


def main() -> None:
    """Runs all measurements and prints their tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=250.0)
    options = parser.parse_args()
    print(f"tools/bench_routing.py --seed {options.seed} --seconds {options.seconds:g}")
    for name, policy in _POLICIES:
        print(f"{name}: {policy}")
    for deployment in (DEPLOYMENT_A, DEPLOYMENT_B):
        _print_policy_sweep(deployment, options.seed, options.seconds)
        _print_owner_changes(deployment, options.seed)
        _print_hints(deployment, options.seed)
        _print_moves(deployment)
    _print_queue_waits(DEPLOYMENT_A, options.seed)


def _baselines(engines: Sequence[str], seed: int) -> list[tuple[str, Chooser]]:
    return [
        ("modulo", ModuloChooser(engines)),
        ("rendezvous, no bound", RendezvousChooser(engines)),
        ("random of two", TwoChoicesChooser(engines, seed)),
        ("least loaded, exact", LeastLoadedChooser(engines, seed)),
    ]


def _with_unlimited_slots(policy: BoundPolicy) -> BoundPolicy:
    return evolve(policy, engine_slots=_UNLIMITED_SLOTS)


def _print_policy_sweep(deployment: Deployment, seed: int, seconds: float) -> None:
    """Prints cache reuse and load skew by mean load, policy and policy parameters."""
    engines = deployment.engine_ids()
    print(
        f"\nDeployment {deployment.name}: {deployment.routers} routers, {deployment.engines} "
        f"engines, {len(deployment.account_weights)} accounts; 150 s warm-up, {seconds:g} s "
        "measured, sampled every 50 ms\n"
        "found: share of returning chats that find their prefix; ratio: max over mean of samples "
        "with a mean above 3.2; admit/k: admit_multiple and cold_choices (0: all)"
    )
    for mean_load in _MEAN_LOADS:
        print(f"mean load {mean_load} requests per engine")
        print(
            f"  {'policy':22}{'returning':>10}{'found %':>9}{'+import %':>10}{'spills':>8}"
            f"{'p50':>7}{'p99':>7}{'max':>7}{'>1.25 %':>9}"
        )
        choosers = _baselines(engines, seed)
        for multiple, choices in itertools.product(_ADMIT_MULTIPLES, (1, 2, 0)):
            policy = BoundPolicy(
                admit_multiple=multiple, cold_choices=choices, engine_slots=_UNLIMITED_SLOTS
            )
            choosers.append((f"admit {multiple:.2f}/{choices}", PoolChooser(policy, engines)))
        for name, chooser in choosers:
            outcome = Simulation(deployment, chooser, mean_load, seed).run(150.0 + seconds)
            print(f"  {name:22}{_format_row(outcome, chooser)}", flush=True)


def _format_row(outcome: Outcome, chooser: Chooser) -> str:
    spills = sum(p.spills for p in chooser.owners) if isinstance(chooser, PoolChooser) else 0
    return (
        f"{outcome.returning:10}{outcome.returning_percent(outcome.found_local):9.2f}"
        f"{outcome.returning_percent(outcome.found_imported):10.2f}{spills:8}"
        f"{outcome.ratio(0.5):7.3f}{outcome.ratio(0.99):7.3f}{outcome.ratio(1.0):7.3f}"
        f"{outcome.imbalanced_percent():9.2f}"
    )


def _print_owner_changes(deployment: Deployment, seed: int) -> None:
    """Prints cache reuse and load skew after changes of the pool owner."""
    print(
        f"Deployment {deployment.name}, mean load 40: changes of the owner at 300 s; measured the "
        f"{_MEASURED_S:g} s from then on\n"
        f"  {'event':62}{'returning':>10}{'found %':>9}{'+import %':>10}{'spills':>8}"
        f"{'p50':>7}{'p99':>7}{'max':>7}{'>1.25 %':>9}"
    )
    events: list[tuple[str, Callable[[Simulation, PoolChooser], None]]] = [
        ("none", lambda simulation, chooser: None),
        (f"two owners for {_SPLIT_DURATION_S:g} s", _split_ownership),
        (
            "new owner, polls lag 0 s, grants after 0.25 s",
            lambda s, c: _replace_owner(s, c, 0.25, 0.0),
        ),
        (
            "new owner, polls lag 2 s, grants after 0.25 s",
            lambda s, c: _replace_owner(s, c, 0.25, 2.0),
        ),
        ("new owner, polls lag 2 s, grants after 2 s", lambda s, c: _replace_owner(s, c, 2.0, 2.0)),
    ]
    variants = [(n, _with_unlimited_slots(p)) for n, p in _POLICIES]
    variants += [(f"reuse, k={k}", evolve(variants[0][1], cold_choices=k)) for k in (2, 0)]
    for (name, policy), (event, prepare) in itertools.product(variants, events):
        chooser = PoolChooser(policy, deployment.engine_ids())
        simulation = Simulation(deployment, chooser, 40, seed)
        simulation.measured_from = 300.0
        prepare(simulation, chooser)
        outcome = simulation.run(300.0 + _MEASURED_S)
        print(f"  {name + ': ' + event:62}{_format_row(outcome, chooser)}", flush=True)


def _print_hints(deployment: Deployment, seed: int) -> None:
    """Compares a new owner that receives hints from the routers with one that receives none."""
    print(
        f"Deployment {deployment.name}, mean load 40: hints of the routers to a new owner at 300 s "
        f"(polls lag 2 s, grants after 0.25 s); measured the {_MEASURED_S:g} s from then on; the "
        "hints of the router that was the owner are lost\n"
        f"  {'policy, turns at another router than the last':62}{'returning':>10}{'found %':>9}"
        f"{'+import %':>10}{'spills':>8}{'p50':>7}{'p99':>7}{'max':>7}{'>1.25 %':>9}"
    )
    for (name, policy), other_percent, routers in itertools.product(
        _POLICIES, (0, 10), (0, deployment.routers)
    ):
        chooser = PoolChooser(_with_unlimited_slots(policy), deployment.engine_ids(), routers)
        simulation = Simulation(deployment, chooser, 40, seed)
        simulation.measured_from = 300.0
        simulation.other_router_percent = other_percent
        _replace_owner(simulation, chooser, 0.25, 2.0)
        outcome = simulation.run(300.0 + _MEASURED_S)
        label = f"{name}, {other_percent} %: {'hints' if routers else 'no hints (before)'}"
        print(f"  {label:62}{_format_row(outcome, chooser)}", flush=True)


def _split_ownership(simulation: Simulation, chooser: PoolChooser) -> None:
    """Schedules a period in which half of the routers uses a second owner.

    Each of the two owners considers the routers of the other one dead.
    """

    def begin(_: None) -> None:
        other = chooser.new_owner(simulation.now)
        chooser.owners.append(other)
        chooser.owner_of_router = lambda router: router % 2
        chooser.report_held_grants(other, simulation.now, lambda router: router % 2 == 1)
        for router in range(1, simulation.deployment.routers, 2):
            chooser.owners[0].drop_router(f"r{router}")

    def end(_: None) -> None:
        chooser.owner_of_router = lambda router: 0
        chooser.report_held_grants(chooser.owners[0], simulation.now)

    simulation.schedule(300.0, begin)
    simulation.schedule(300.0 + _SPLIT_DURATION_S, end)


def _replace_owner(
    simulation: Simulation, chooser: PoolChooser, report_delay_s: float, load_age_s: float
) -> None:
    """Schedules the replacement of the owner by a new one without grants.

    Args:
        simulation: The simulation to change.
        chooser: The chooser whose owner is replaced.
        report_s: Delay after which the routers report their grants to the new owner.
        load_age_s: Age of the load reports of the engines that the new owner receives.
    """
    history: list[dict[str, float]] = []

    def record_loads(_: None) -> None:
        history.append({e.id: float(e.load) for e in simulation.engines.values()})
        simulation.schedule(simulation.now + _POLL_INTERVAL_S, record_loads)

    def begin(_: None) -> None:
        chooser.owners = [chooser.new_owner(simulation.now)]
        if chooser.served_by_router:
            chooser.served_by_router[0] = ServedChats()
        poll(None)

    def poll(_: None) -> None:
        for engine_id, load in history[-1 - round(load_age_s / _POLL_INTERVAL_S)].items():
            chooser.owners[0].record_load(engine_id, load, simulation.now)
        if simulation.now < 310.0:
            simulation.schedule(simulation.now + _POLL_INTERVAL_S, poll)

    def report(_: None) -> None:
        chooser.report_held_grants(chooser.owners[0], simulation.now)

    simulation.schedule(295.0, record_loads)
    simulation.schedule(300.0, begin)
    simulation.schedule(300.0 + report_delay_s, report)


def _print_moves(deployment: Deployment) -> None:
    """Prints the share of chats that move when an engine joins, leaves or flaps."""
    engines = deployment.engine_ids()
    n = len(engines)
    print(
        f"Deployment {deployment.name}: share of {_IDLE_CHATS} idle chats that another engine "
        f"serves; 1.1/n is {110 / n:.1f} %\n"
        f"  {'policy':22}{'join %':>8}{'leave %':>9}{'in flap %':>10}{'after flap %':>13}"
    )
    makers: list[tuple[str, Callable[[], Chooser]]] = [
        ("modulo", lambda: ModuloChooser(engines)),
        ("rendezvous, no bound", lambda: RendezvousChooser(engines)),
        ("random of two", lambda: TwoChoicesChooser(engines, 1)),
    ]
    for name, policy in _POLICIES:
        makers.append((name, lambda p=policy: PoolChooser(p, engines)))  # type: ignore[misc]
    for name, make in makers:
        shares = [_moved_percent(make(), steps) for steps in (["join"], ["leave"], ["down"])]
        shares.append(_moved_percent(make(), ["down", "up"]))
        print(f"  {name:22}{shares[0]:8.2f}{shares[1]:9.2f}{shares[2]:10.2f}{shares[3]:13.2f}")


def _moved_percent(chooser: Chooser, steps: Sequence[str]) -> float:
    """Returns the percentage of chats that another engine serves after the steps."""
    before = _serve_all(chooser, 100.0)
    now = 100.0
    for step in steps:
        now += 20.0
        _apply_step(chooser, step, now)
        after = _serve_all(chooser, now + 15.0)
    return 100 * sum(before[chat] != after[chat] for chat in before) / len(before)


def _apply_step(chooser: Chooser, step: str, now: float) -> None:
    """Applies a step: an engine joins, leaves, goes down or comes up again."""
    if isinstance(chooser, PoolChooser):
        pool = chooser.owners[0]
        if step == "join":
            chooser.engines.append("joined")
            pool.set_engines(dict.fromkeys(chooser.engines, False), now)
        elif step == "leave":
            pool.set_engines(dict.fromkeys(chooser.engines[1:], False), now)
        else:
            pool.set_healthy(chooser.engines[0], step == "up", now)
    elif isinstance(chooser, ModuloChooser):
        if step == "join":
            chooser.engines.append("joined")
        elif step == "up":
            chooser.engines.insert(0, "e0")
        else:
            chooser.engines.pop(0)
        if isinstance(chooser, TwoChoicesChooser):
            chooser.reset()


def _serve_all(chooser: Chooser, now: float) -> dict[str, str]:
    """Serves the chats one by one, so that none spills, and returns the engine of each chat."""
    engine_by_chat = {}
    for number in range(_IDLE_CHATS):
        chat = Chat(f"chat-{number}", "a", Simulation.unused_random, 1)
        turn = Turn(chat, 0, now, f"{number}@{now}")
        chosen = chooser.choose(turn, now)
        assert isinstance(chosen, tuple)
        turn.engine_id = engine_by_chat[chat.id] = chosen[0]
        chooser.release(turn, now)
    return engine_by_chat


def _print_queue_waits(deployment: Deployment, seed: int) -> None:
    """Prints refusals and queue waits with and without a surge of the two largest accounts."""
    print(
        f"\nDeployment {deployment.name}, 12 slots per engine, mean load 10, the two largest "
        "accounts send 10 times their rate from 200 to 260 s; measured 200 to 270 s, "
        "queue of 1,000, wait of at most 2 s"
    )
    print(f"  {'run':12}{'account':22}{'requests':>9}{'refused':>9}{'wait p50 s':>11}{'p99 s':>9}")
    for name, factor in (("calm", 1.0), ("surge", 10.0)):
        policy = evolve(REUSE_WEIGHTED, engine_slots=12.0)
        simulation = Simulation(deployment, PoolChooser(policy, deployment.engine_ids()), 10, seed)
        simulation.measured_from = 200.0
        simulation.surge = (200.0, 260.0, factor)
        outcome = simulation.run(270.0)
        accounts = {*outcome.waits, *outcome.refused}
        large = accounts & {"account-0", "account-1"}
        for label, names in (("two largest", large), ("others", accounts - large)):
            waits = [w for a in names for w in outcome.waits.get(a, [])]
            refused = sum(outcome.refused.get(a, 0) for a in names)
            print(
                f"  {name:12}{label:22}{len(waits) + refused:9}{refused:9}"
                f"{quantile(waits, 0.5):11.3f}{quantile(waits, 0.99):9.3f}"
            )


if __name__ == "__main__":
    main()
