"""Tests of `gateway.front`."""

from __future__ import annotations

import http.client
import threading
import unittest
from unittest import mock

from sequoiadrum.gateway import front
from sequoiadrum.gateway.front import ServerGroup
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from tests.gateway.world import WAIT_S, eventually, free_ports


class OverloadTest(unittest.TestCase):
    """The server receives more requests than it has threads."""

    def test_request_without_a_thread_is_refused_at_once(self) -> None:
        """Guards against requests that wait in a queue until their callers time out."""
        may_respond = threading.Event()
        self.addCleanup(may_respond.set)
        metrics = Metrics()
        (port,) = free_ports(1)

        def application(environ, start_response):  # type: ignore[no-untyped-def]
            may_respond.wait(WAIT_S)
            start_response("200 OK", [("Content-Length", "0")])
            return []

        with mock.patch.multiple(front, CALLER_THREADS=1, MAX_WAITING_REQUESTS=1):
            group = ServerGroup(1_000, metrics)
            group.add_callers(application, Address("127.0.0.1", port))
            group.start()
            self.addCleanup(group.stop)
            connections = []
            for n in range(2):
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
                self.addCleanup(connection.close)
                connection.request("GET", "/")
                connections.append(connection)
                eventually(lambda n=n: group.active() == n + 1, "the request has arrived")
            third = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
            self.addCleanup(third.close)
            third.request("GET", "/")
            response = third.getresponse()
            self.assertEqual(response.status, 503)
            self.assertIsNotNone(response.getheader("Retry-After"))
            self.assertEqual(metrics.value("refusals_total", reason="overloaded"), 1)
            may_respond.set()
            self.assertEqual([c.getresponse().status for c in connections], [200, 200])
