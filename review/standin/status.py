"""Exit statuses of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import signal
import sys
import traceback
from collections.abc import Callable
from typing import NoReturn


def exit_with(main: Callable[[], int]) -> NoReturn:
    """Runs a case and exits with its status; an unexpected error shows that it could not run."""
    # Without a handler, SIGTERM would leave the gateways behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)
