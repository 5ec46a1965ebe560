"""Ends the process without waiting for threads that have nothing left to deliver."""

from __future__ import annotations

import os
import sys
from typing import NoReturn


def exit_process(status: int) -> NoReturn:
    """Flushes the standard streams and ends the process with a status.

    The interpreter would first join the threads of all executors. One of them may still wait for an
    unresponsive peer, and the platform counts the time until the process is gone.
    """
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except (OSError, ValueError):  # The reader of the stream is gone, or the stream closed.
            continue
    os._exit(status)
