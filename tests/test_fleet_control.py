"""Tests of membership and configuration with routers in separate processes."""

from __future__ import annotations

import time
import unittest
from http.client import HTTPException
from typing import TYPE_CHECKING
from unittest.mock import patch

from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum.app import Router
from sequoiadrum.config_compactor import compact
from sequoiadrum.configuration import ChangeRequest, ObjectKind
from sequoiadrum.metrics import Metrics
from tests.builders import a_settings
from tools.fleet import Fleet, call_json, is_ready, parse_metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

DEADLINE_S = 30.0


def _wait_until(condition: Callable[[], bool]) -> bool:
    deadline = time.monotonic() + DEADLINE_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def _applied_revision(address: Address) -> int:
    try:
        return int(parse_metrics(address).get("sequoiadrum_config_revision", -1))
    except (OSError, HTTPException):
        return -1


class FleetControlTest(unittest.TestCase):
    """Five routers: four in processes of their own, one in this process for its writer."""

    def setUp(self) -> None:
        fleet = self.fleet = self.enterContext(Fleet(["--address-ttl-s=0.2"]))
        fleet.start_platform()
        fleet.write_config(fleet.default_config(accounts=1))
        for number in range(4):
            fleet.start_router(f"r{number}", f"d{number % 3}")
        settings = a_settings(
            instance_id="writer",
            platform=str(fleet.platform.address),
            seeds=fleet.seed(),
            address_ttl_s=0.2,
        )
        self.router = Router(settings)
        self.router.start()
        self.addCleanup(self.router.stop)
        fleet.wait_ready()
        self.assertTrue(
            _wait_until(lambda: len(self._alive()) == 5 and not self.router.config.refusal())
        )

    def _alive(self) -> list[str]:
        return [m.id for m in self.router.gossip.members().values() if m.state.name == "ALIVE"]

    def _set_outage(self, outage: bool) -> None:
        call_json(self.fleet.platform.address, "POST", "/_faults", {"outage": outage})

    def _submit(self, change_id: str) -> int:
        value = {"requests_per_s": 5}
        request = ChangeRequest(change_id, ObjectKind.ACCOUNT, change_id, value, 0)
        return self.router.config_writer.submit(request).unwrap().revision

    def test_outage_after_acceptance(self) -> None:
        """Guards against an accepted change that does not reach other routers in an outage.

        The platform fails right after acceptance. Running routers, and one that starts during the
        outage, must get the change from their peers.
        """
        revision = self._submit("acme")
        self._set_outage(True)
        addresses = [process.address for process in self.fleet.routers_by_id.values()]
        self.assertTrue(
            _wait_until(lambda: all(_applied_revision(a) >= revision for a in addresses))
        )
        self.assertEqual(self.router.config.current().revision, revision)
        started_late = self.fleet.start_router("late").address
        self.assertTrue(_wait_until(lambda: is_ready(started_late)))
        self.assertEqual(_applied_revision(started_late), revision)

    def test_change_reaches_all_while_platform_is_up(self) -> None:
        """Guards against routers that miss changes while the platform is healthy."""
        for number in range(5):
            revision = self._submit(f"account-x{number}")
        addresses = [process.address for process in self.fleet.routers_by_id.values()]
        self.assertTrue(
            _wait_until(lambda: all(_applied_revision(a) == revision for a in addresses))
        )

    def test_start_after_compaction(self) -> None:
        """Guards against a router that cannot start after the log was compacted into buckets."""
        revision = self._submit("acme")
        platform = HttpPlatformClient(self.fleet.platform.address, Metrics(), 5.0)
        self.addCleanup(platform.close)
        with patch("sequoiadrum.config_compactor.LOG_LIMIT_BYTES", 0):
            self.assertTrue(compact(platform, self.router.config.current()))
        started_late = self.fleet.start_router("late").address
        self.assertTrue(_wait_until(lambda: is_ready(started_late)))
        self.assertEqual(_applied_revision(started_late), revision)
        for process in self.fleet.routers_by_id.values():
            process.kill()
        self.fleet.routers_by_id.clear()
        alone = self.fleet.start_router("alone").address
        self.assertTrue(_wait_until(lambda: is_ready(alone)))
        self.assertEqual(_applied_revision(alone), revision)

    def test_isolated_router_refuses(self) -> None:
        """Guards against a partitioned router that serves with a configuration of unknown age."""
        self._set_outage(True)
        for process in self.fleet.routers_by_id.values():
            process.freeze()
        refused = lambda: self.router.config.refusal() is not None  # noqa: E731
        self.assertTrue(_wait_until(refused))
        for process in self.fleet.routers_by_id.values():
            process.resume()
        self.assertTrue(_wait_until(lambda: not refused()))
        self.assertTrue(_wait_until(lambda: len(self._alive()) == 5))


class ListedSeedsTest(unittest.TestCase):
    """Routers that are started without seed addresses."""

    def test_join_by_platform_list(self) -> None:
        """Guards against a router that does not join a router listed by the platform."""
        with Fleet(["--address-ttl-s=0.2"]) as fleet:
            fleet.start_platform()
            fleet.start_router("r0")
            host, port = fleet.seed().split(":")
            entry = {
                "id": "r0",
                "host": host,
                "port": int(port),
                "role": "router",
                "leaving": False,
            }
            call_json(fleet.platform.address, "POST", "/_instances", [entry])
            settings = a_settings(platform=str(fleet.platform.address), address_ttl_s=0.2)
            router = Router(settings)
            router.start()
            self.addCleanup(router.stop)
            self.assertTrue(_wait_until(lambda: sorted(router.gossip.members()) == ["r0", "r1"]))


if __name__ == "__main__":
    unittest.main()
