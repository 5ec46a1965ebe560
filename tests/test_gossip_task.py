"""Tests of the gossip task on real sockets."""

from __future__ import annotations

import socket
import time
import unittest

from sequoiadrum.gossip_task import GossipTask, new_process_id
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.timers import TimerService
from tests.builders import a_settings
from tests.fake_platform import FakePlatform


class GossipTaskTest(unittest.TestCase):
    """A single router on an ephemeral port."""

    def test_garbage_is_counted(self) -> None:
        """Guards against malformed datagrams that stop the task or are not counted.

        It also guards against different port numbers for UDP and TCP.
        """
        metrics = Metrics()
        timers = TimerService(Metrics())
        timers.start()
        self.addCleanup(timers.stop)
        task = GossipTask(
            a_settings(), FakePlatform(), ThriftPeerClient(metrics), metrics, self.fail
        )
        task.run_on(timers)
        self.addCleanup(task.stop)
        self.addCleanup(task.listener.close)
        self.assertEqual(task.listener.getsockname()[1], task.peer_port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\x00" * 50, b"\xff" * 1400):
                sender.sendto(data, ("127.0.0.1", task.peer_port))
        deadline = time.monotonic() + 10
        while metrics.value("malformed_datagrams_total") < 3 and time.monotonic() < deadline:
            time.sleep(0.02)
        self.assertEqual(metrics.value("malformed_datagrams_total"), 3)
        self.assertEqual(list(task.members()), [task.self_id()])
        self.assertIsNone(task.last_contact_at())

    def test_process_ids_grow(self) -> None:
        """Guards against a restarted router whose records rank below those of its predecessor."""
        first = new_process_id()
        time.sleep(0.002)
        self.assertLess(first, new_process_id())
        self.assertLess(first, 1 << 63)


if __name__ == "__main__":
    unittest.main()
