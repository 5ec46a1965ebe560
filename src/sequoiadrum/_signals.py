"""Waiting for a signal in the main thread."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from threading import Event

CHECK_INTERVAL_S: Final = 0.5
"""How often the main thread runs pending signal handlers.

It is short compared with the grace period of a graceful shutdown.
"""


def wait_for_signal(requested: Event) -> None:
    """Waits in the main thread until a signal handler has set the event.

    When a suspended process resumes, a pending signal may be delivered to another thread. Its
    Python handler then runs only when the main thread executes bytecode, so a wait without a
    timeout would miss the signal.
    """
    while not requested.wait(CHECK_INTERVAL_S):
        continue
