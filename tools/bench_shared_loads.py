"""Compares placements of hot prompt parts with and without loads shared between routers.

Runs `tests.gateway.simulated_fleet` on virtual time: `python -m tools.bench_shared_loads`.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Final
from unittest import mock

from sequoiadrum.gateway import placement
from sequoiadrum.hashing import chat_score, stable_hash
from tests.gateway.simulated_fleet import FleetSize, SimulatedFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.gateway.endpoints import Endpoint
    from sequoiadrum.gateway.placement import PlacementRequest

    Choose = Callable[[list[Endpoint], PlacementRequest, float], Endpoint]

SIZES: Final = (
    FleetSize(instances=14, engines=5, slots=128, requests_per_s=60),
    FleetSize(),
    FleetSize(
        instances=200,
        engines=39,
        slots=24,
        failure_domains=6,
        requests_per_s=300,
        mean_duration_s=0.6,
    ),
    FleetSize(
        instances=2_400,
        engines=160,
        slots=24,
        failure_domains=37,
        requests_per_s=900,
        simulated_s=8,
    ),
)


def _choose_by_modulo(
    candidates: list[Endpoint], request: PlacementRequest, now: float
) -> Endpoint:
    return candidates[stable_hash(placement.prompt_key(request.call)) % len(candidates)]


def _choose_by_rendezvous(
    candidates: list[Endpoint], request: PlacementRequest, now: float
) -> Endpoint:
    key = stable_hash("prompt", placement.prompt_key(request.call))
    return max(candidates, key=lambda e: chat_score(key, e.id_hash))


def _choose_by_two(candidates: list[Endpoint], request: PlacementRequest, now: float) -> Endpoint:
    key = stable_hash("two", request.call.request_id)
    first, second = candidates[key % len(candidates)], candidates[(key >> 32) % len(candidates)]
    return min(first, second, key=lambda e: e.in_flight)


def main() -> None:
    """Prints the share of requests at engines above the bound, for each size and placement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3, help="seeds from 1 on")
    parser.add_argument("--largest", type=int, default=2_400, help="instances at the most")
    options = parser.parse_args()
    placements: dict[str, tuple[Choose | None, bool]] = {
        "modulo": (_choose_by_modulo, False),
        "rendezvous": (_choose_by_rendezvous, False),
        "random of two": (_choose_by_two, False),
        "own loads": (None, False),
        "shared loads": (None, True),
    }
    print(f"bench_shared_loads: seeds=1..{options.seeds}; a hot part has 18 % of the requests")
    print("in 100 requests, those at an engine above twice the mean + 3, for each seed;")
    print("highest load as a multiple of that bound; datagrams a router and second")
    for size in SIZES:
        if size.instances > options.largest:
            continue
        print(
            f"\n{size.instances} routers, {size.engines} engines of {size.slots} slots, "
            f"{size.requests_per_s:.0f} requests/s of {size.mean_duration_s} s, "
            f"{size.simulated_s:.0f} s"
        )
        for name, (choose, shares_loads) in placements.items():
            _print_row(name, choose, shares_loads, size, options.seeds)


def _print_row(
    name: str, choose: Choose | None, shares_loads: bool, size: FleetSize, seeds: int
) -> None:
    shares, highest, datagrams = [], 0.0, 0.0
    for seed in range(1, seeds + 1):
        fleet = SimulatedFleet(seed, size, shares_loads)
        with mock.patch.object(placement, "choose_engine", choose or placement.choose_engine):
            shares.append(100 * fleet.run())
        highest = max(highest, fleet.highest_share)
        datagrams = max(datagrams, fleet.datagrams / size.instances / size.simulated_s)
    text = " ".join(f"{share:6.2f}" for share in shares)
    print(f"{name:14} {text}   highest {highest:5.2f}   datagrams {datagrams:5.1f}", flush=True)


if __name__ == "__main__":
    main()
