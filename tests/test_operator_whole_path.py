"""End-to-end test of operator commands and plans, with routers and engines as processes."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from typing import Any

from tests.builders import a_chat_body
from tools.fleet import Fleet, call_json

SCRIPT = os.path.join(os.path.dirname(__file__), "..", "examples", "replace_engine.sh")


class OperatorWholePathTest(unittest.TestCase):
    """Runs the example script against a fleet of processes."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(Fleet(["--load-interval-s=0.1"]))
        self.fleet.start_platform()
        for engine_id in ("e0", "e1"):
            self.fleet.start_engine(engine_id, "--token-ms=1")
        self.fleet.write_config(self.fleet.default_config(accounts=1))
        self.new_engine = self.fleet.start_engine("e2", "--token-ms=1")
        for router_id in ("r1", "r2"):
            self.fleet.start_router(router_id)
        self.fleet.wait_converged()
        routers = self.fleet.routers_by_id.values()
        self.environment = {
            **os.environ,
            "SEQUOIADRUM": f"{sys.executable} -m sequoiadrum",
            "SEQUOIADRUM_ROUTER": ",".join(str(router.operator_address) for router in routers),
        }

    def engine_call(self, engine_id: str, method: str, path: str, document: Any = None) -> Any:
        address = self.fleet.engines_by_id[engine_id].address
        return call_json(address, method, path, document)[1]

    def chat(self, router_id: str, chat_id: str) -> None:
        router = self.fleet.routers_by_id[router_id].address
        headers = {"X-Account": "account-0", "X-Chat-Id": chat_id}
        status, response = call_json(router, "POST", "/v1/chat/completions", a_chat_body(), headers)
        self.assertEqual(status, 200, response)

    def test_example_script_replaces_an_engine(self) -> None:
        """Guards against incompatible commands, plans and wire formats between the processes."""
        order = {"order_id": "o1", "action": "load", "argument": "m1", "fencing_number": 0}
        self.engine_call("e0", "POST", "/orders", order)
        chats = [f"chat-{number}" for number in range(12)]
        for chat_id in chats:
            self.chat("r1", chat_id)
        source_chats = set(self.engine_call("e0", "GET", "/kv/chats")["chats"])
        self.assertTrue(source_chats)
        done = subprocess.run(
            ["sh", SCRIPT, "assistant", "e0", "e2", "127.0.0.1", str(self.new_engine.address.port)],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertEqual(self.engine_call("e2", "GET", "/load")["models"], ["m1"])
        self.assertEqual(self.engine_call("e0", "GET", "/load")["models"], [])
        listed_endpoints = [line.split()[0] for line in done.stdout.splitlines()[-2:]]
        self.assertEqual(listed_endpoints, ["e1", "e2"], done.stdout)
        available_chats = {
            chat
            for engine_id in ("e1", "e2")
            for chat in self.engine_call(engine_id, "GET", "/kv/chats")["chats"]
        }
        self.assertLessEqual(source_chats, available_chats)
        for chat_id in chats:
            self.chat("r2", chat_id)
