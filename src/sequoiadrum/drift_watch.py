"""Detects engines whose loaded models differ from the declared ones."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import EndpointKind, EndpointState
from sequoiadrum.plans import Plan, PlanKind, new_plan

if TYPE_CHECKING:
    from collections.abc import Collection

    from sequoiadrum.engine_client import EngineClient
    from sequoiadrum.interfaces import ConfigSource
    from sequoiadrum.messages import Endpoint
    from sequoiadrum.metrics import Metrics

_REPAIR_INTERVAL_S: Final = 300.0
"""Minimum time between two repair plans for the same engine."""


class DriftWatch:
    """Detects engines that lack declared models; each engine is checked by one router.

    Missing models are loaded by a repair plan, because the lease of a plan gives its orders a
    fencing number. Models that are loaded but not declared are only counted: a late load order can
    leave them behind, and an unload without a lease could disrupt a plan that is preparing the
    engine.
    """

    def __init__(
        self, config: ConfigSource, engines: EngineClient, router_id: str, metrics: Metrics
    ) -> None:
        self._config = config
        self._engines = engines
        self._router_id = router_id
        self._metrics = metrics
        self._repaired_at_by_id: dict[str, float] = {}

    def check(self, usable_router_ids: Collection[str], now: float) -> list[Plan]:
        """Queries the engines assigned to this router and returns the repair plans to create.

        Engines that do not respond are skipped.

        Args:
            usable_router_ids: Routers among which the engines are divided.
            now: Monotonic time in seconds.
        """
        candidates = [
            endpoint
            for endpoint in self._config.current().endpoints_by_id.values()
            if endpoint.kind is EndpointKind.ENGINE
            and endpoint.state is EndpointState.ACTIVE
            and endpoint.models
            and first_ranked(endpoint.id, usable_router_ids) == self._router_id
        ]
        plans = [self._check_engine(endpoint, now) for endpoint in candidates]
        return [plan for plan in plans if plan is not None]

    def _check_engine(self, endpoint: Endpoint, now: float) -> Plan | None:
        report = self._engines.load(endpoint.address)
        if isinstance(report, Failure):
            return None
        held = set(report.unwrap().models)
        if held - set(endpoint.models):
            self._metrics.count("engine_drift_total", kind="extra")
        if set(endpoint.models) <= held:
            return None
        self._metrics.count("engine_drift_total", kind="missing")
        if now - self._repaired_at_by_id.get(endpoint.id, float("-inf")) < _REPAIR_INTERVAL_S:
            return None
        self._repaired_at_by_id[endpoint.id] = now
        plan_id = f"repair-{endpoint.id[:60]}-{uuid.uuid4().hex[:8]}"
        return new_plan(plan_id, PlanKind.REPAIR, endpoint.id, models=endpoint.models)
