"""Compares ways to choose endpoints before many routers, on virtual time and without sockets.

Run from the root of the project: `python -m tools.bench_even_load [--engines] [--seeds N]`.
"""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING, Final

from attrs import evolve

from tests.gateway.even_load_fleet import (
    AMENDOA_ENGINES,
    AMENDOA_PLAIN,
    CHOICES,
    VBWT_ENGINES,
    VBWT_PLAIN,
    EvenLoadCase,
    EvenLoadFleet,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.gateway.even_load_fleet import Spread

PLAIN_CASES: Final = (
    ("vbwt plain, usual", evolve(VBWT_PLAIN, requests_per_s=170.0)),
    ("vbwt plain, busy", evolve(VBWT_PLAIN, requests_per_s=400.0)),
    ("amendoa plain", AMENDOA_PLAIN),
)
ENGINE_CASES: Final = (
    ("vbwt engines", VBWT_ENGINES),
    ("vbwt engines, busy", evolve(VBWT_ENGINES, requests_per_s=700.0)),
    ("amendoa engines", AMENDOA_ENGINES),
)
INSTANCES: Final = (1, 14, 69, 200)


def rows(
    cases: Iterable[tuple[str, EvenLoadCase]], instances: Iterable[int], seeds: int
) -> Iterable[str]:
    """Yields one line for each case, number of routers and choice."""
    for name, case in cases:
        for count in instances:
            for choice, create in CHOICES.items():
                sized = evolve(case, instances=count)
                spreads = [
                    EvenLoadFleet(seed, sized, create).measure() for seed in range(1, seeds + 1)
                ]

                def mean(field: str, measured: list[Spread] = spreads) -> float:
                    return sum(getattr(s, field) for s in measured) / len(measured)

                yield (
                    f"| {name} | {count} | {choice} | {mean('highest'):.2f} "
                    f"| {100 * mean('waits_while_idle'):.1f} % | {mean('swings_per_s'):.1f} "
                    f"| {1e3 * mean('wait_mean_s'):.1f} / {1e3 * mean('wait_p99_s'):.0f} "
                    f"| {1e3 * mean('time_mean_s'):.0f} / {1e3 * mean('time_p99_s'):.0f} "
                    f"| {mean('away'):.2f} |"
                )


def main() -> None:
    """Prints the comparison as a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--engines", action="store_true", help="engines instead of plain services")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--instances", type=int, nargs="*", default=INSTANCES)
    arguments = parser.parse_args()
    cases = ENGINE_CASES if arguments.engines else PLAIN_CASES
    sys.stdout.write(
        "| case | routers | choice | highest / mean, p99 | waits while others idle | swings / s "
        "| wait ms, mean / p99 | time ms, mean / p99 | away |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    )
    for row in rows(cases, arguments.instances, arguments.seeds):
        sys.stdout.write(row + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
