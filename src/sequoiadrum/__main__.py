"""Entry point of the `sequoiadrum` program."""

from __future__ import annotations

import sys

from sequoiadrum.cli import run


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
