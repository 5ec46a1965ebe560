"""Waiting for a signal in the main thread."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from threading import Event

CHECK_INTERVAL_S: Final = 0.1
"""How often the main thread runs pending signal handlers.

A graceful shutdown ends later by up to this time, which its margin before the kill must contain.
"""


def wait_for_signal(requested: Event) -> None:
    """Waits in the main thread until a signal handler has set the event.

    When a suspended process resumes, a pending signal may be delivered to another thread. Its
    Python handler then runs only when the main thread executes bytecode, so a wait without a
    timeout would miss the signal.
    """
    while not requested.wait(CHECK_INTERVAL_S):
        continue
