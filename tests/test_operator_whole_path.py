"""Commands, operator server, plan task and the wire forms of platform and engines together."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from typing import Any

from returns.result import Failure, Success

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum.config_task import CONFIG_LOG_NAME, ConfigTask
from sequoiadrum.configuration import ConfigLog, ConfigState, ObjectKind
from sequoiadrum.interfaces import ConfigWriter, EndpointLoad, PoolInspector, PoolLoad
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.operator_side import OperatorSide
from sequoiadrum.plan_driver import DriverParts
from sequoiadrum.plan_store import PlanStore
from sequoiadrum.standin_engine import EngineOptions, EngineServer
from sequoiadrum.standin_platform import PlatformServer
from sequoiadrum.timers import TimerService
from tests.builders import a_change, a_settings, an_endpoint_value
from tests.plan_world import FakeMembership, a_member
from tools.fleet import call_json

SCRIPT = os.path.join(os.path.dirname(__file__), "..", "examples", "replace_engine.sh")


class LogWriter(ConfigWriter):
    """Appends each change to the configuration log."""

    def __init__(self, platform: HttpPlatformClient) -> None:
        self._platform = platform

    def submit(self, request: Any) -> Any:
        stored = self._platform.get(CONFIG_LOG_NAME).unwrap()
        log = ConfigLog.decode(stored.value)
        decided = ConfigState().apply(log.changes).decide(request)
        if isinstance(decided, Failure):
            return decided
        appended = ConfigLog((*log.changes, decided.unwrap())).encode()
        self._platform.put(CONFIG_LOG_NAME, appended, stored.version).unwrap()
        return decided


class EngineInspector(PoolInspector):
    """Asks the engines themselves."""

    def __init__(self, config: ConfigTask) -> None:
        self._config = config

    def pool_load(self, pool: str) -> Any:
        endpoints = self._config.current().pool_endpoints(pool)
        loads = [EndpointLoad(e, e.state.value, 0.0, 0.0) for e in endpoints]
        return Success(PoolLoad(pool, "r1", 0, tuple(loads)))

    def in_flight(self, endpoint_id: str) -> float | None:
        return 0.0

    def recent_chats(self, endpoint_id: str, limit: int) -> list[str]:
        endpoint = self._config.current().declared_endpoint(endpoint_id)
        assert endpoint is not None
        _, answer = call_json(endpoint.address, "GET", "/kv/chats")
        return list(answer["chats"][:limit])


class OperatorWholePathTest(unittest.TestCase):
    """One router's operator side over real connections."""

    def setUp(self) -> None:
        self.platform = PlatformServer("127.0.0.1", 0)
        self.engines = [
            EngineServer("127.0.0.1", 0, EngineOptions(load_lag_s=0.0)) for _ in range(3)
        ]
        for server in (self.platform, *self.engines):
            server.start()
            self.addCleanup(server.stop)
        metrics = Metrics()
        client = HttpPlatformClient(Address("127.0.0.1", self.platform.port), metrics, 5.0)
        changes = [
            a_change(
                ObjectKind.ENDPOINT,
                f"e{number}",
                an_endpoint_value(port=self.engines[number].port, checks_fencing=True),
                number + 1,
            )
            for number in range(2)
        ]
        client.put(CONFIG_LOG_NAME, ConfigLog(tuple(changes)).encode(), 0).unwrap()
        config = ConfigTask(client, metrics)
        timers = TimerService()
        parts = DriverParts(
            PlanStore(client),
            config,
            LogWriter(client),
            HttpEngineClient(2.0, 30.0),
            EngineInspector(config),
            FakeMembership("r1", {"r1": a_member("r1")}),
            metrics,
        )
        side = OperatorSide(a_settings(load_interval_s=0.1), parts, 7, self.fail)
        timers.start()
        config.start()
        side.start(timers)
        self.addCleanup(timers.stop)
        self.addCleanup(config.stop)
        self.addCleanup(side.stop)
        self.environment = {
            **os.environ,
            "SEQUOIADRUM": f"{sys.executable} -m sequoiadrum",
            "SEQUOIADRUM_ROUTER": f"127.0.0.1:{side.server.port}",
        }

    def test_example_script_replaces_an_engine(self) -> None:
        """Guards against commands, plan and wire forms that do not fit together."""
        self.engines[0].state.models.append("m1")
        self.engines[0].state.cache["chat-1"] = 40
        port = str(self.engines[2].port)
        done = subprocess.run(
            ["sh", SCRIPT, "assistant", "e0", "e2", "127.0.0.1", port],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertEqual(self.engines[2].state.models, ["m1"])
        self.assertEqual(self.engines[0].state.models, [])
        caches = [engine.state.cache.get("chat-1") for engine in self.engines[1:]]
        self.assertIn(40, caches)
        left = [line.split()[0] for line in done.stdout.splitlines()[-2:]]
        self.assertEqual(left, ["e1", "e2"], done.stdout)
