"""Command line of the soak."""

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
from tools.soak.world import Soak

if TYPE_CHECKING:
    from tools.soak.record import Record

DEFAULT_S: Final = 20.0
"""Length of one seed."""


def main(arguments: list[str] | None = None) -> int:
    """Plays seeds; gives 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; a fresh one if left out")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, counted up")
    parser.add_argument("--seconds", type=float, default=DEFAULT_S, help="length of each seed")
    parser.add_argument("--minutes", type=float, help="play seeds one after another for so long")
    parser.add_argument("--keep", type=Path, help="folder for the logs of the gateways")
    chosen = parser.parse_args(arguments)
    seed = random.randrange(1_000_000) if chosen.seed is None else chosen.seed
    until = time.monotonic() + 60 * (chosen.minutes or 0)
    failed, played = [], 0
    while played < chosen.seeds or time.monotonic() < until:
        if not play(seed + played, chosen.seconds, chosen.keep):
            failed.append(seed + played)
        played += 1
    print(f"{played} seeds, {len(failed)} with a broken promise: {failed}")
    return 1 if failed else 0


def play(seed: int, seconds: float, keep: Path | None) -> bool:
    """Plays one seed and prints what was found; True when all promises held.

    The logs of a seed that broke a promise are kept in the folder that is printed.
    """
    folder = (keep or Path(tempfile.gettempdir())) / f"soak-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, seconds, folder)
    record = soak.run()
    violations = check(record)
    print(f"seed {seed}: {len(soak.plan)} actions, {_summary(record)}")
    for violation in violations:
        print(f"  broken: {violation.promise}: {violation.request_id} {violation.detail}")
    if violations:
        actions = "\n".join(str(action) for action in soak.plan)
        (folder / "plan.txt").write_text(actions + "\n")
        print(f"  logs and plan: {folder}")
    sys.stdout.flush()
    return not violations


def _summary(record: Record) -> str:
    statuses = Counter(answer.status or answer.error for answer in record.answers)
    by_status = ", ".join(f"{count} x {status}" for status, count in statuses.most_common())
    return f"{len(record.answers)} requests ({by_status}), {len(record.runs)} runs"


if __name__ == "__main__":
    sys.exit(main())
