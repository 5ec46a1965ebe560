"""Command-line interface of the fault soak."""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Final

from tools.soak.checks import check
from tools.soak.runner import Soak

if TYPE_CHECKING:
    from tools.soak.record import Record

DEFAULT_S: Final = 20.0
"""Default duration of one seed."""


def main(arguments: list[str] | None = None) -> int:
    """Runs the requested seeds; returns 1 if a promise was broken, otherwise 0."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; random if omitted")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--seconds", type=float, default=DEFAULT_S, help="duration of each seed")
    parser.add_argument(
        "--minutes", type=float, help="run further seeds until this time has passed"
    )
    parser.add_argument("--planned", action="store_true", help="planned work only, no faults")
    parser.add_argument("--keep", type=Path, help="directory for gateway logs")
    options = parser.parse_args(arguments)
    seed = random.randrange(1_000_000) if options.seed is None else options.seed
    ends_at = time.monotonic() + 60 * (options.minutes or 0)
    failed, seed_count = [], 0
    while seed_count < options.seeds or time.monotonic() < ends_at:
        if not run_seed(seed + seed_count, options.seconds, options.keep, not options.planned):
            failed.append(seed + seed_count)
        seed_count += 1
    print(f"{seed_count} seeds, {len(failed)} with a broken promise: {failed}")
    return 1 if failed else 0


def run_seed(seed: int, seconds: float, log_root: Path | None, has_faults: bool = True) -> bool:
    """Runs one seed, prints a summary and all violations, and returns whether all promises held.

    If a promise was broken, writes the plan next to the gateway logs and prints their directory.

    Args:
        seed: Seed of the plan and of the callers.
        seconds: Duration of the run.
        log_root: Directory below which logs are written; the system's temporary directory if None.
        has_faults: Whether the plan contains faults beside planned work.
    """
    log_dir = (log_root or Path(tempfile.gettempdir())) / f"soak-{seed}"
    log_dir.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, seconds, log_dir, has_faults)
    record = soak.run()
    violations = check(record)
    print(f"seed {seed}: {len(soak.plan)} actions, {_summary(record)}")
    for violation in violations:
        print(f"  broken: {violation.promise}: {violation.request_id} {violation.detail}")
    if violations:
        actions = "\n".join(str(action) for action in soak.plan)
        (log_dir / "plan.txt").write_text(actions + "\n")
        print(f"  logs and plan: {log_dir}")
    sys.stdout.flush()
    return not violations


def _summary(record: Record) -> str:
    statuses = Counter(result.status or result.error for result in record.results)
    by_status = ", ".join(f"{count} x {status}" for status, count in statuses.most_common())
    return f"{len(record.results)} requests ({by_status}), {len(record.runs)} runs"


if __name__ == "__main__":
    sys.exit(main())
