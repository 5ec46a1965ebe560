"""Runs the proof of a commit in a fresh clone and prints one table of its results.

The proof is the whole script of CI, the cases under `review/`, one after the other and several
times, fresh seeds of the soak, and the seeds of `tools/soak/seeds.txt`. It goes on after a failure.
Scores and hunts are played with the users' bench; their newest journal entries are listed, with
whether the program has changed since.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

_ROOT: Final = Path(__file__).parent.parent
_PROGRAM_PATHS: Final = ("src", "deploy", "requirements.txt")
"""What the users' bench measures."""
_SEED_LINE: Final = re.compile(r"\d+ \d+(?:, \d+ \d+)*")
_PLANNED_MARK: Final = "--planned"
MAX_STEP_S: Final = 3_600.0
"""Time after which one command counts as failed."""


@frozen
class SoakSeed:
    """One seed of the soak."""

    number: int
    seconds: float
    is_planned: bool = False
    """Whether it is played with planned work only."""

    def arguments(self) -> list[str]:
        """Returns the arguments of `tools.soak` that play it."""
        planned = [_PLANNED_MARK] if self.is_planned else []
        return ["--seed", str(self.number), "--seconds", f"{self.seconds:g}", *planned]


@define(eq=False)
class Row:
    """One line of the table: runs of one part of the proof."""

    what: str
    seed: str = "none"
    held: int = 0
    failed: int = 0
    seconds: float = 0.0

    @property
    def runs(self) -> int:
        """Number of runs."""
        return self.held + self.failed


def parse_seeds(text: str) -> list[SoakSeed]:
    """Returns the seeds of the text of `tools/soak/seeds.txt`.

    A line begins with pairs of a seed and its seconds. Those below a line that names the flag
    `--planned` are played with planned work only.
    """
    seeds = []
    is_planned = False
    for line in text.splitlines():
        is_planned = is_planned or _PLANNED_MARK in line
        match = _SEED_LINE.match(line)
        if match is not None:
            for pair in match[0].split(", "):
                number, seconds = pair.split()
                seeds.append(SoakSeed(int(number), float(seconds), is_planned))
    return seeds


def format_table(commit: str, rows: Sequence[Row]) -> str:
    """Returns the table of all rows."""
    cells = [("what", "commit", "seed", "runs", "held", "failed", "time")]
    cells += [
        (r.what, commit, r.seed, str(r.runs), str(r.held), str(r.failed), f"{r.seconds:.0f} s")
        for r in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = ("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in cells)
    return "\n".join(line.rstrip() for line in lines)


def newest_entries(entries: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the newest journal entry of each verb and site, scores and hunts only."""
    newest: dict[tuple[str, str], dict[str, Any]] = {}
    for entry in entries:
        if entry["cmd"] not in ("score", "hunt") or not entry.get("ok"):
            continue
        sites = [str(each) for each in entry["argv"] if str(each).endswith(".toml")]
        key = (entry["cmd"], Path(sites[0]).stem if sites else "")
        if key not in newest or entry["at"] > newest[key]["at"]:
            newest[key] = entry
    return [newest[key] for key in sorted(newest)]


class Proof:
    """The parts of the proof, run in a clone."""

    def __init__(self, clone: Path) -> None:
        self._clone = clone
        self.rows: list[Row] = []

    def install(self) -> None:
        """Installs the project in the clone."""
        self._measure(Row("install"), ["make", "install"])

    def run_script(self, runs: int) -> None:
        """Runs the whole script of CI."""
        row = Row("script")
        for _ in range(runs):
            self._measure(row, ["bash", ".ci/run"])

    def run_reviews(self, runs: int) -> None:
        """Builds the program and runs each case of the review, one after the other."""
        system = tomllib.loads((self._clone / "deploy/system.toml").read_text())
        self._measure(Row("build"), ["bash", "-c", system["build"]])
        rows = {case: Row(f"review/{case.name}") for case in self._cases()}
        for _ in range(runs):
            for case, row in rows.items():
                self._measure(row, ["bash", str(case / "run.sh")])

    def run_soak(self, what: str, seeds: Sequence[SoakSeed]) -> None:
        """Plays seeds of the soak; each that fails gets a line of its own."""
        row = Row(what, f"{seeds[0].number} to {seeds[-1].number}" if seeds else "none")
        for seed in seeds:
            command = [".venv/bin/python", "-m", "tools.soak", *seed.arguments()]
            if not self._measure(row, command):
                self.rows.append(Row(what, str(seed.number), failed=1))

    def _cases(self) -> Iterator[Path]:
        return (path.parent for path in sorted(self._clone.glob("review/*/run.sh")))

    def _measure(self, row: Row, command: list[str]) -> bool:
        """Runs a command, counts its outcome and returns whether it succeeded."""
        if row not in self.rows:
            self.rows.append(row)
        started_at = time.monotonic()
        environment = {**os.environ, "CI": "true"}
        try:
            status = subprocess.run(
                command, cwd=self._clone, env=environment, timeout=MAX_STEP_S, check=False
            ).returncode
        except subprocess.TimeoutExpired:
            status = 1
        row.seconds += time.monotonic() - started_at
        row.held += status == 0
        row.failed += status != 0
        print(f"{' '.join(command)}: status {status}", flush=True)
        return status == 0


def main(arguments: list[str] | None = None) -> int:
    """Runs the proof; returns 1 if a part of it failed, otherwise 0."""
    parser = argparse.ArgumentParser(prog="python -m tools.prove", description=__doc__)
    parser.add_argument("--commit", default="HEAD", help="commit to prove")
    parser.add_argument("--script-runs", type=int, default=2, help="runs of the script of CI")
    parser.add_argument("--review-runs", type=int, default=5, help="runs of each review case")
    parser.add_argument("--soak-seeds", type=int, default=50, help="fresh seeds of the soak")
    parser.add_argument("--first-seed", type=int, default=1, help="first fresh seed of the soak")
    parser.add_argument("--folder", type=Path, help="where the clone is made, outside /tmp")
    options = parser.parse_args(arguments)
    commit = _git("rev-parse", "--short", options.commit)
    with tempfile.TemporaryDirectory(dir=options.folder or _ROOT.parent) as folder:
        clone = Path(folder) / "clone"
        _git("clone", "--quiet", str(_ROOT), str(clone))
        _git("-C", str(clone), "checkout", "--quiet", commit)
        proof = Proof(clone)
        proof.install()
        proof.run_script(options.script_runs)
        if options.review_runs:
            proof.run_reviews(options.review_runs)
        fresh = [SoakSeed(options.first_seed + n, 20.0) for n in range(options.soak_seeds)]
        proof.run_soak("soak", fresh)
        proof.run_soak("seeds.txt", parse_seeds((clone / "tools/soak/seeds.txt").read_text()))
    print(format_table(commit, proof.rows))
    _print_journal(commit, _is_program_changed)
    return 1 if any(row.failed for row in proof.rows) else 0


def _print_journal(commit: str, is_changed: Callable[[str, str], bool]) -> None:
    entries = [json.loads(path.read_text()) for path in (_ROOT / "journal").glob("*.json")]
    for entry in newest_entries(entries):
        sites = [Path(str(a)).stem for a in entry["argv"] if str(a).endswith(".toml")]
        state = "older than the commit" if is_changed(entry["head"], commit) else "of this program"
        print(f"journal: {entry['cmd']} {' '.join(sites)} on {entry['head'][:7]}: {state}")


def _is_program_changed(measured: str, commit: str) -> bool:
    command = ["git", "diff", "--quiet", measured, commit, "--", *_PROGRAM_PATHS]
    return subprocess.run(command, cwd=_ROOT, check=False).returncode != 0


def _git(*arguments: str) -> str:
    command = ["git", *arguments]
    return subprocess.run(
        command, cwd=_ROOT, check=True, stdout=subprocess.PIPE, text=True
    ).stdout.strip()


if __name__ == "__main__":
    sys.exit(main())
