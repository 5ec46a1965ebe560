"""Tests of `gateway.closed_ports`."""

from __future__ import annotations

import unittest
from unittest import mock

from sequoiadrum.gateway import closed_ports
from sequoiadrum.gateway.closed_ports import ClosedPorts
from sequoiadrum.messages import Address

_ADDRESSES = [Address("127.0.0.1", port) for port in (1, 2, 3)]


class ClosedPortsTest(unittest.TestCase):
    """An address that refused a connection is known to have done so."""

    def test_only_a_later_refusal_counts(self) -> None:
        """Guards against a connection to a new process that is taken for one to its predecessor."""
        ports = ClosedPorts()
        ports.record(_ADDRESSES[0], 5.0)
        ports.record(_ADDRESSES[0], 4.0)  # A slower attempt that began earlier.
        self.assertTrue(ports.has_closed_since(_ADDRESSES[0], 4.5))
        self.assertFalse(ports.has_closed_since(_ADDRESSES[0], 5.0))
        self.assertFalse(ports.has_closed_since(_ADDRESSES[1], 4.5))

    def test_memory_is_bounded(self) -> None:
        """Guards against a table that grows with each address of a changing fleet."""
        ports = ClosedPorts()
        with mock.patch.object(closed_ports, "MAX_ADDRESSES", 2):
            for address in _ADDRESSES:
                ports.record(address, 5.0)
        known = [ports.has_closed_since(address, 1.0) for address in _ADDRESSES]
        self.assertEqual(known, [False, True, True])


if __name__ == "__main__":
    unittest.main()
