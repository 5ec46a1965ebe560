"""Tests of the operator commands: output, exit codes and failover between routers."""

from __future__ import annotations

import json
import socket
import threading
import unittest.mock

from attrs import evolve

from sequoiadrum.cli import run
from tests.operator_world import ENDPOINT, OperatorTestCase
from tests.plan_world import a_member


def address_without_listener() -> str:
    """Returns an address that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class CliOperatorTest(OperatorTestCase):
    """Runs commands against a real operator server."""

    def start_disconnecting_router(self) -> str:
        """Starts a listener that reads one call and closes the connection without a response."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection, listener:
                connection.recv(65_536)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def test_objects(self) -> None:
        """Guards against commands that lose a value or its version."""
        done = self.cli_json("account", "put", "new", '{"burst": 7}', "--expected-version=0")
        self.assertEqual(done["version"], 5)
        found = self.cli_json("account", "get", "new")
        self.assertEqual((found["value"], found["version"]), ({"burst": 7}, 5))
        names = [entry["name"] for entry in self.cli_json("account", "list", "a")]
        self.assertEqual(names, ["acme"])
        self.assertIn("acme", self.cli("account", "list")[1])
        self.cli_json("account", "delete", "new", "--expected-version=5")
        self.assertEqual(self.cli("account", "get", "new")[0], 4)
        self.assertEqual(self.cli("account", "delete", "new")[0], 4)
        self.cli_json("setting", "put", "admit_multiple", "1.1")
        self.assertEqual(self.world.config.state.settings_by_name["admit_multiple"], 1.1)

    def test_usage_errors(self) -> None:
        """Guards against an invalid command line that is reported as a failed call."""
        for wrong in (
            ("account", "frob", "x"),
            ("account", "get"),
            ("account", "put", "x"),
            ("account", "get", "x", "{}"),
            ("account", "list", "--limit=0"),
            ("account", "put", "x", "{}", "--expected-version=soon"),
            ("plan", "move", "e1"),
        ):
            self.assertEqual(self.cli(*wrong)[0], 2, wrong)
        self.assertEqual(self.cli("fleet", router="localhost:99")[0], 2)
        with unittest.mock.patch.dict("os.environ", clear=True):
            self.assertEqual(run(["fleet"]), 2)

    def test_conflict(self) -> None:
        """Guards against a conflict that scripts cannot distinguish from other failures."""
        code, out, err = self.cli("account", "put", "acme", "{}", "--expected-version=1", "--json")
        self.assertEqual(code, 3, err)
        self.assertEqual(json.loads(out)["found_version"], 4)

    def test_refused(self) -> None:
        """Guards against a refusal that scripts retry forever because of its exit code."""
        self.assertEqual(self.cli("account", "put", "a", "{")[0], 4)
        self.assertEqual(self.cli("pool", "nowhere")[0], 4)

    def test_unavailable(self) -> None:
        """Guards against a call that fails although only one of its routers is unreachable."""
        unreachable_router = address_without_listener()
        self.assertEqual(self.cli("account", "put", "a", "{}", router=unreachable_router)[0], 5)
        both = f"{unreachable_router},{self.address}"
        self.assertEqual(self.cli("account", "put", "a", "{}", router=both)[0], 0)
        self.world.config.outage = True
        self.assertEqual(self.cli("account", "put", "a", "{}")[0], 5)
        self.assertEqual(self.cli("pool", "lost")[0], 5)

    def test_lost_answer_is_looked_up(self) -> None:
        """Guards against a wrong outcome when the response is lost.

        An accepted change must be found by a read; a change that no read shows stays unknown.
        """
        self.world.config.lose_next = True
        self.assertEqual(self.cli("account", "put", "a", "{}")[0], 0)
        self.world.config.lose_next = False
        code, out, err = self.cli("account", "put", "b", "{}", "--change-id=mine", "--json")
        self.assertEqual(code, 6)
        self.assertEqual(json.loads(out)["change_id"], "mine")
        self.assertIn("--change-id mine", err)

    def test_broken_connection_is_not_repeated(self) -> None:
        """Guards against a change sent to a second router after the first may have executed it."""
        routers = f"{self.start_disconnecting_router()},{self.address}"
        code, _, err = self.cli("account", "put", "a", "{}", router=routers)
        self.assertEqual(code, 6, err)
        self.assertRegex(err, "--change-id cli-[0-9a-f]{32}")
        self.assertEqual(self.outcomes("put_object"), {})
        routers = f"{self.start_disconnecting_router()},{self.address}"
        self.assertEqual(self.cli("account", "get", "acme", router=routers)[0], 0)

    def test_plans(self) -> None:
        """Guards against plan commands whose exit code does not show how a plan ended."""
        self.cli_json("plan", "drain", "e1", "--id=p1")
        self.assertEqual(self.cli("plan", "wait", "p1", "--wait-s=0")[0], 5)
        self.world.run("r1", "p1")
        self.assertEqual(self.cli("plan", "wait", "p1")[0], 0)
        self.assertEqual(self.cli("plan", "abort", "p1")[0], 4)
        self.assertEqual(self.cli("plan", "wait", "none")[0], 4)
        self.assertEqual(self.cli("plan", "drain", "e1", "--id=p2")[0], 4)
        self.assertEqual(self.world.config.value(ENDPOINT, "e1")["state"], "removed")
        self.cli_json("plan", "drain", "e2", "--id=p3")
        self.cli_json("plan", "abort", "p3")
        self.world.run("r1", "p3")
        self.assertEqual(self.cli("plan", "wait", "p3")[0], 4)
        self.assertIn("p3", self.cli("plan", "list")[1])
        self.assertIn("mark_draining", self.cli("plan", "get", "p1")[1])

    def test_status(self) -> None:
        """Guards against status commands that omit a router with an older revision."""
        self.world.members_by_id["r2"] = evolve(a_member("r2"), config_revision=3)
        self.world.members_by_id["r1"] = evolve(a_member("r1"), config_revision=4)
        status = self.cli_json("config")
        self.assertEqual((status["routers_in_force"], status["routers_behind"]), (1, ["r2"]))
        self.assertEqual(self.cli("config", "--revision=3", "--wait-s=1")[0], 0)
        self.assertEqual(self.cli("config", "--wait-s=0.1")[0], 5)
        self.assertEqual([m["state"] for m in self.cli_json("fleet")], ["alive", "alive"])
        self.assertIn("r2", self.cli("fleet")[1])
        pool = self.cli_json("pool", "assistant")
        self.assertEqual((pool["mean_in_flight"], len(pool["endpoints"])), (2.0, 2))
        self.assertIn("max over mean", self.cli("pool", "assistant")[1])
        counters = self.cli_json("counters", "--prefix=sequoiadrum_operator")
        self.assertIn(
            'sequoiadrum_operator_calls_total{call="fleet_status",outcome="ok"}', counters
        )
