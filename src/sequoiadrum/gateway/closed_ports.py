"""When the ports of endpoints were last found closed; performs no I/O."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from sequoiadrum.messages import Address

MAX_ADDRESSES: Final = 20_000
"""Addresses that are remembered; the one that was found closed longest ago is forgotten first."""


class ClosedPorts:
    """Remembers which addresses refused connections; thread-safe.

    A process that has a connection and whose port is closed later has ended, whatever accepts
    connections at its address after that.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._closed_at_by_address: OrderedDict[Address, float] = OrderedDict()

    def record(self, address: Address, tried_at: float) -> None:
        """Records that an address refused a connection.

        Args:
            address: The address.
            tried_at: Monotonic seconds at which the attempt began.
        """
        with self._lock:
            before = self._closed_at_by_address.pop(address, tried_at)
            self._closed_at_by_address[address] = max(before, tried_at)
            if len(self._closed_at_by_address) > MAX_ADDRESSES:
                self._closed_at_by_address.popitem(last=False)

    def has_closed_since(self, address: Address, since: float) -> bool:
        """Returns whether an attempt that began after `since` was refused, in monotonic seconds."""
        with self._lock:
            closed_at = self._closed_at_by_address.get(address)
        return closed_at is not None and closed_at > since
