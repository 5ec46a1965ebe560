"""Base of tests that call a real operator server, backed by fakes, on an ephemeral port."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from typing import Any

from sequoiadrum.cli import run
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.interfaces import PlanListener
from sequoiadrum.messages import Address
from sequoiadrum.operator_server import OperatorParts, create_operator_server
from tests.builders import a_config, an_endpoint_value
from tests.plan_world import FakeMembership, World

ENDPOINT = ObjectKind.ENDPOINT


class RecordingPlanListener(PlanListener):
    """Records the ids of the plans whose changes are reported."""

    def __init__(self) -> None:
        self.plan_ids: list[str] = []

    def plan_changed(self, plan_id: str, version: int) -> None:
        self.plan_ids.append(plan_id)


class OperatorTestCase(unittest.TestCase):
    """Starts an operator server for each test."""

    def setUp(self) -> None:
        self.world = World(
            a_config(
                (ENDPOINT, "e1", an_endpoint_value(port=1)),
                (ENDPOINT, "e2", an_endpoint_value(port=2, state="draining")),
                (ENDPOINT, "s1", an_endpoint_value(port=3, kind="service", pool="orders")),
                (ObjectKind.ACCOUNT, "acme", {"requests_per_s": 5}),
            )
        )
        self.plan_listener = RecordingPlanListener()
        parts = OperatorParts(
            self.world.config,
            self.world.config,
            FakeMembership("r1", self.world.members_by_id),
            self.world.inspector,
            self.world.store,
            self.plan_listener,
            self.world.metrics,
        )
        self.server = create_operator_server(Address("127.0.0.1", 0), parts)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server.port}"

    def cli(self, *arguments: str, router: str | None = None) -> tuple[int, str, str]:
        """Runs a command; returns its exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        flags = (f"--router={router or self.address}", "--confirm-s=0.3")
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run([*arguments, *flags])
        return code, out.getvalue(), err.getvalue()

    def cli_json(self, *arguments: str) -> Any:
        """Runs a command that must succeed; returns its decoded JSON output."""
        code, out, err = self.cli(*arguments, "--json")
        self.assertEqual(code, 0, err)
        return json.loads(out)

    def outcomes(self, call: str) -> dict[str, float]:
        """Returns the counts of the outcomes of a call, without those of 0."""
        names = ("ok", "conflict", "refused", "unavailable", "unknown", "error")
        value = self.world.metrics.value
        counted = {n: value("operator_calls_total", call=call, outcome=n) for n in names}
        return {name: count for name, count in counted.items() if count}
