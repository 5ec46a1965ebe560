"""Builds `dist/sequoiadrum`, a single executable that bundles the program and its libraries.

The libraries are copied from the environment that runs this script, so the build needs no package
registry. The executable needs CPython 3.11 on the instance. At its first start it unpacks about
20 MB below `SHIV_ROOT`, which may be an in-memory file system.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
_SITE_PACKAGES: Final = ROOT / "build" / "site"
_OUTPUT: Final = ROOT / "dist" / "sequoiadrum"
_REQUIREMENT_NAME: Final = re.compile(r"^[A-Za-z0-9._-]+")


def runtime_distributions(name: str) -> dict[str, Distribution]:
    """Returns a distribution and its installed runtime dependencies, by normalized name."""
    distributions: dict[str, Distribution] = {}
    pending = [name]
    while pending:
        current = pending.pop().lower().replace("_", "-")
        if current in distributions:
            continue
        distributions[current] = distribution(current)
        for requirement in distributions[current].requires or ():
            match = _REQUIREMENT_NAME.match(requirement)
            if match and "extra ==" not in requirement and _is_installed(match[0]):
                pending.append(match[0])
    return distributions


def build(output: Path = _OUTPUT, site: Path = _SITE_PACKAGES) -> Path:
    """Writes the executable and returns its path.

    Raises:
        subprocess.CalledProcessError: shiv failed.
    """
    shutil.rmtree(site, ignore_errors=True)
    site.mkdir(parents=True)
    output.parent.mkdir(parents=True, exist_ok=True)
    for name, library in runtime_distributions("sequoiadrum").items():
        if name != "sequoiadrum":
            _copy_distribution(library, site)
    shutil.copytree(
        ROOT / "src" / "sequoiadrum",
        site / "sequoiadrum",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    subprocess.run(
        [
            str(Path(sys.executable).parent / "shiv"),
            "--site-packages",
            str(site),
            "--entry-point",
            "sequoiadrum.__main__:main",
            "--python",
            "/usr/bin/env python3.11",
            "--reproducible",
            "--output-file",
            str(output),
        ],
        check=True,
    )
    return output


def _is_installed(name: str) -> bool:
    try:
        distribution(name)
    except ModuleNotFoundError:
        return False
    return True


def _copy_distribution(library: Distribution, site: Path) -> None:
    for file in library.files or ():
        source = Path(str(library.locate_file(file)))
        if ".." in file.parts or "__pycache__" in file.parts or not source.is_file():
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


if __name__ == "__main__":
    built = build()
    sys.stdout.write(f"{built.relative_to(ROOT)} {built.stat().st_size / 1e6:.1f} MB\n")
