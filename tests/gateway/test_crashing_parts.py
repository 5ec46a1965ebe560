"""Tests of prompt parts that crash the engines that respond to them."""

from __future__ import annotations

import http.client
import json
import unittest
from typing import Any

from tests.gateway.scripted_endpoint import ScriptedEndpoint, chunk, event, stream_head
from tests.gateway.world import World, eventually


class BrokenExchangeLogTest(unittest.TestCase):
    """The log line of a broken exchange names what a search for the cause needs."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)

    def _broken(self) -> list[dict[str, Any]]:
        lines = self.world.output.getvalue().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == "exchange_broken"]

    def test_shared_parts_and_progress_are_logged(self) -> None:
        """Guards against broken exchanges that cannot be traced to a prompt part."""
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.reset()), "model")
        self.world.call("/tag/x", "q1", headers={"Sequoiadrum-Prefix-Hash": "aa:10,bb:20,cc:5"})
        eventually(self._broken, "the broken exchange is logged")
        self.assertEqual(self._broken()[0]["parts"], ["aa", "bb"])
        self.assertFalse(self._broken()[0]["had_event"])

    def test_a_response_that_had_begun_is_told_apart(self) -> None:
        """Guards against suspecting a request whose response had already begun."""

        def break_off(connection: Any, request: Any) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            connection.sock.close()

        self.world.add("e1", ScriptedEndpoint(break_off), "model")
        with self.assertRaises(http.client.IncompleteRead):
            self.world.call("/tag/x", headers={"Sequoiadrum-Prefix-Hash": "aa:10,bb:20,cc:5"})
        eventually(self._broken, "the broken exchange is logged")
        self.assertTrue(self._broken()[0]["had_event"])


if __name__ == "__main__":
    unittest.main()
