"""Waiting for a signal in the main thread."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from threading import Event

CHECK_S: Final = 0.5
"""How often the main thread looks for signals; small against the grace of a planned stop."""


def wait_for_signal(requested: Event) -> None:
    """Waits in the main thread until a handler of a signal has set the event.

    A signal that comes while the process is suspended may reach another thread when it goes on; its
    handler then runs only once the main thread does something, so an endless wait would miss it.
    """
    while not requested.wait(CHECK_S):
        continue
