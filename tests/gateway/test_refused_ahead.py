"""Whole-path tests of requests that the gateway refuses before it sends them."""

from __future__ import annotations

import unittest
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.admission_control import Admission, Outcome
from sequoiadrum.gateway.holds import HoldReason
from sequoiadrum.gateway.pool import EndpointPool
from tests.gateway.scripted_endpoint import ScriptedEndpoint, answer
from tests.gateway.world import World, config_document, eventually

SHARED_HOST = "Sequoiadrum-Server-Load: 1,0,6,100\r\n"


class RefusedAheadTest(unittest.TestCase):
    """A whole gateway with one endpoint that states how long work takes on its host."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.stop)
        self.world.start()

    def add(self, headers: str) -> ScriptedEndpoint:
        """Registers an endpoint, and sends it one request."""
        endpoint = ScriptedEndpoint(lambda c, request: c.send(answer(request, headers=headers)))
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/read/1", "q0")[0], 200)
        return endpoint

    def test_refused_request_never_reaches_an_endpoint(self) -> None:
        """Guards against a refusal that promises "not run" for a request that was sent."""
        endpoint = self.add(SHARED_HOST)
        for outcome in Outcome:
            if outcome is Outcome.ADMITTED:
                continue
            with (
                self.subTest(outcome),
                mock.patch.object(
                    EndpointPool, "admit", return_value=Admission(outcome, 0.7, 0.25)
                ),
            ):
                status, headers, body = self.world.call("/order/1", f"q-{outcome.value}")
                self.assertEqual((status, headers["retry-after"]), (503, "0.70"))
                self.assertTrue(body.startswith(outcome.value.encode()))
                metrics = self.world.gateway.metrics
                self.assertEqual(metrics.value("refusals_total", reason=outcome.value), 1)
                self.assertEqual(metrics.value("admissions_total", outcome=outcome.value), 1)
        self.assertEqual(len(endpoint.received), 1)
        eventually(lambda: '"urgent_first"' in self.world.output.getvalue(), "it is logged")

    def test_deployment_without_shared_hosts_is_served_as_before(self) -> None:
        """Guards against decisions and metrics where no endpoint states how long work takes."""
        self.add("Sequoiadrum-Server-Load: 6,40,6\r\n")
        with mock.patch.object(EndpointPool, "admit", side_effect=AssertionError("asked")):
            self.assertEqual(self.world.call("/read/1", "q1")[0], 200)
        self.assertNotIn(b"room_slots{", self.world.ask_control(3, "/metrics")[1])

    def test_operator_sees_the_room(self) -> None:
        """Guards against decisions that an operator cannot follow."""
        self.add(SHARED_HOST)
        self.assertEqual(self.world.call("/read/1", "q1")[0], 200)
        exposition = self.world.ask_control(3, "/metrics")[1].decode()
        self.assertIn('sequoiadrum_room_slots{service="shop"} 6', exposition)
        self.assertIn('sequoiadrum_admissions_total{outcome="admitted"} 1', exposition)

    def test_waits_briefly_for_a_full_endpoint(self) -> None:
        """Guards against refusals where the next endpoint has room in a moment."""
        endpoint = self.add(SHARED_HOST)
        (known,) = self.world.gateway.pool._table.of_service("shop")
        document = config_document(2)
        document["routes"][0]["goal_ms"] = 16_000
        self.world.store.put("config", "main", document)
        eventually(lambda: self.world.gateway.configuration.version() == 2, "in force")
        known.holds.add(HoldReason.FULL, clock.now() + 1.5)
        self.assertEqual(self.world.call("/read/1", "q1")[0], 200)
        self.assertEqual(self.world.gateway.metrics.value("room_waits_total"), 1)
        # The goal of this route is too short for the wait.
        known.holds.add(HoldReason.FULL, clock.now() + 10.0)
        status, _, body = self.world.call("/order/1", "q2")
        self.assertEqual((status, body), (503, b"endpoints_full\n"))
        self.assertEqual(len(endpoint.received), 2)

    def test_rejections_of_full_endpoints_spread_their_callers(self) -> None:
        """Guards against callers of full endpoints who come back all at once."""
        endpoint = self.add(SHARED_HOST)
        endpoint.script = lambda c, request: c.send(
            answer(request, status="503 Full", headers="Sequoiadrum-Not-Executed: 1\r\n")
        )
        waits = []
        for n in range(6):
            status, headers, _ = self.world.call("/order/1", f"full-{n}")
            self.assertEqual(status, 503)
            waits.append(headers["retry-after"])
        self.assertGreater(len(set(waits)), 3)


if __name__ == "__main__":
    unittest.main()
