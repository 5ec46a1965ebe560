"""Measures the membership core on virtual time.

Usage: `PYTHONPATH=src:. python tools/bench_membership.py [--start] [SIZE ...]`.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, Final

from tests.virtual_bus import Bus, a_member
from tools.figures import quantile

if TYPE_CHECKING:
    from sequoiadrum.membership import Membership

SIZES: Final = (14, 28, 56, 112, 600, 2_400)
SEED: Final = 1
LOSS: Final = 0.01


def _measure_steady_state(size: int) -> str:
    """Measures the traffic, CPU time and memory of a converged fleet without failures."""
    seconds = 10.0 if size > 1_000 else 20.0 if size > 200 else 120.0
    tracemalloc.start()
    bus = Bus(seed=SEED, loss=LOSS)
    bus.start_converged(size)
    memory = tracemalloc.get_traced_memory()[0] / size
    tracemalloc.stop()
    bus.run(5)
    bus.sent_bytes = bus.sent_datagrams = bus.synced_bytes = 0
    started = time.process_time()
    bus.run(seconds)
    cpu = time.process_time() - started
    router_seconds = size * seconds
    # Doubled because one router sends and another receives each datagram and synced byte.
    return (
        f"{2 * bus.sent_bytes / router_seconds:7.0f} "
        f"{2 * bus.synced_bytes * 1.0 / router_seconds:7.0f} "
        f"{2 * bus.sent_datagrams / router_seconds:6.2f} {cpu / router_seconds * 1e3:7.3f} "
        f"{memory / 1024:8.1f} "
        f"{len(bus.observed_deaths):6d}"
    )


def _measure_detection(size: int) -> str:
    """Measures how long the other routers take to detect the death of a killed router."""
    rounds = 1 if size > 1_000 else 5 if size > 200 else 20
    delays: list[float] = []
    missed = 0
    for number in range(rounds):
        bus = Bus(seed=SEED + number, loss=LOSS)
        bus.start_converged(size)
        bus.run(3)
        victim = f"router-{size - 1}"
        killed_at = bus.now
        bus.kill(victim)
        bus.run(15 if size < 200 else 20)
        delay_by_observer = {
            o: t - killed_at for t, o, s in reversed(bus.observed_deaths) if s == victim
        }
        delays.extend(delay_by_observer.values())
        missed += len(bus.nodes) - len(delay_by_observer)
    quantiles = " ".join(f"{quantile(delays, fraction):6.2f}" for fraction in (0.5, 0.99, 1.0))
    return f"{quantiles} {missed:6d}"


def _measure_revision_broadcast(size: int) -> str:
    """Measures how long a new configuration revision takes to reach all routers."""
    rounds = 2 if size > 1_000 else 10
    delays = []
    for number in range(rounds):
        bus = Bus(seed=SEED + number, loss=LOSS)
        bus.start_converged(size)
        bus.run(1 + number * 0.13)
        started_at = bus.now
        bus.nodes["router-1"].set_revision(1, bus.now)
        bus.flush("router-1")
        nodes = bus.nodes.values()
        done = bus.run(10, partial(_all_have_revision, list(nodes)))
        delays.append(bus.now - started_at if done else float("inf"))
    return f"{quantile(delays, 0.5):6.2f} {max(delays):6.2f}"


def _all_have_revision(nodes: list[Membership]) -> bool:
    return all(node.me.config_revision for node in nodes)


def _measure_cold_start(size: int) -> str:
    """Measures how long routers that start at the same time take to learn of each other."""
    bus = Bus(seed=SEED, loss=LOSS)
    bus.start(size)
    started_at = time.process_time()
    done = bus.run(60, lambda: all(len(n.members_by_id) == size for n in bus.nodes.values()))
    total = (bus.sent_bytes + bus.synced_bytes) / size / 1e3
    cpu = time.process_time() - started_at
    state = f"{bus.now:.1f} s" if done else "not within 60 s"
    return (
        f"all know all after {state}; {total:.0f} KB sent for each router; "
        f"{len(bus.observed_deaths)} false deaths; {cpu:.1f} s of CPU time in total"
    )


def main() -> None:
    """Prints one table row, or with `--start` one result line, for each fleet size."""
    sizes = [int(text) for text in sys.argv[1:] if text.isdigit()] or list(SIZES)
    if "--start" in sys.argv:
        for size in sizes:
            print(
                f"simultaneous start of {size} from 3 seeds: {_measure_cold_start(size)}",
                flush=True,
            )
        return
    print(f"# membership core, virtual time, loss {LOSS:.0%}, delay 0.5 to 1.5 ms, seed {SEED}")
    print(f"# id like {a_member(1).id}, bytes with UDP and IP headers, sent and received")
    print("# gossip and sync: B/s; msgs: datagrams/s; cpu: ms per router-second; mem: KB traced")
    print("# detect: s from kill to death in each view (p50 p99 max, views that missed it)")
    print("# notice: s until a new revision has reached all (p50 max)")
    print(
        "# size  gossip    sync   msgs     cpu  mem-KB  false | detect p50 p99 max missed | notice"
    )
    for size in sizes:
        print(
            f"{size:6d} {_measure_steady_state(size)} | {_measure_detection(size)} | "
            f"{_measure_revision_broadcast(size)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
