"""Entry point of the gateway; the platform starts the program by the path of this file."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# Without handlers, a SIGHUP or SIGTERM during the imports would kill the process. A reload can be
# ignored because the settings are read later; a stop can exit because no request is in flight.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
# The gateway speaks plain HTTP and hashes with BLAKE2. Without these modules, the standard library
# does not load OpenSSL, which takes 4 MB of each process.
for name in ("ssl", "_hashlib"):
    sys.modules[name] = None  # type: ignore[assignment]
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sequoiadrum.platform.early_listeners import open_listeners  # noqa: E402 (after the handlers)
from sequoiadrum.process_exit import exit_process  # noqa: E402

if __name__ == "__main__":
    listeners = open_listeners()

    from sequoiadrum.platform.launch import main

    exit_process(main(listeners))
