"""Entry point of the gateway on the platform, which names the program by a path."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sequoiadrum.platform.launch import main

if __name__ == "__main__":
    sys.exit(main())
