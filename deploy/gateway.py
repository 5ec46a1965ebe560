"""Entry point of the gateway on the platform, which names the program by a path."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# Without handlers, a reload or stop that is asked for during the imports would kill the process.
# The settings are read later, and nothing is in work yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sequoiadrum.platform.launch import main  # noqa: E402 (signals come first)

if __name__ == "__main__":
    sys.exit(main())
