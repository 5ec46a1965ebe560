"""Tests of the probe that tells a crashed endpoint from a lost response."""

from __future__ import annotations

import socket
import struct
import threading
import unittest

from sequoiadrum.gateway.exchange import BREAK_SETTLE_S, EndpointConnections, Presence
from sequoiadrum.messages import Address
from sequoiadrum.platform.headers import PlatformHeaderCodec
from tests.gateway.world import WAIT_S


class CrashProbeTest(unittest.TestCase):
    """Only an endpoint that refuses connections has crashed."""

    def setUp(self) -> None:
        self.connections = EndpointConnections(PlatformHeaderCodec())
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])

    def test_endpoint_that_listens_has_not_crashed(self) -> None:
        """Guards against taking each lost response for a crash."""
        self.assertIs(self.connections.probe(self.address, BREAK_SETTLE_S), Presence.THERE)

    def test_closed_port_has_crashed(self) -> None:
        """Guards against crashes that are not counted."""
        self.listener.close()
        self.assertIs(self.connections.probe(self.address, BREAK_SETTLE_S), Presence.GONE)

    def test_ending_process_that_accepts_a_probe_has_crashed(self) -> None:
        """Guards against a crash that is missed while the process still closes its sockets."""
        for resets in (True, False):
            with self.subTest(resets=resets), socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address("127.0.0.1", listener.getsockname()[1])
                thread = threading.Thread(target=self._end, args=(listener, resets))
                thread.start()
                self.assertIs(self.connections.probe(address, WAIT_S), Presence.GONE)
                thread.join()

    def _end(self, listener: socket.socket, resets: bool) -> None:
        accepted, _ = listener.accept()
        listener.close()
        if resets:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        accepted.close()


if __name__ == "__main__":
    unittest.main()
