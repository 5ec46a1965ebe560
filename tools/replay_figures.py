"""Measures the load of the engines and the control traffic during the replay of a trace."""

from __future__ import annotations

import threading
import time
from http.client import HTTPException
from typing import TYPE_CHECKING, Final

from attrs import define, field

from tools.fleet import call_json, parse_metrics

if TYPE_CHECKING:
    from tools.fleet import Fleet

LEAVING_GRACE_PERIOD_S: Final = 3.0
"""Time after which a leaving engine must not receive a new request."""
_SAMPLE_INTERVAL_S: Final = 0.05
_LOW_LOAD_MEAN: Final = 3.2
"""Samples up to this mean of requests in flight are skipped, because the low-load allowance permits
an engine 4 requests at such a mean."""
_LOAD_BOUND: Final = 1.25


@define
class _LeavingEngine:
    """Requests that an engine received after its leave was announced."""

    announced_at: float
    requests: int = -1
    """Number of requests at the last sample; -1 before the first one."""
    last_request_at: float = 0.0
    requests_after_grace: int | None = None
    """Number of requests when the grace period ended; None before that."""


@define(eq=False)
class EngineSampler:
    """Samples the requests in flight and in total of every engine every 50 ms."""

    fleet: Fleet
    _ratios: list[float] = field(factory=list)
    """Maximum over mean of the requests in flight of the engines that are up and not leaving."""
    _leaving_by_id: dict[str, _LeavingEngine] = field(factory=dict)
    _stopped: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread = field(init=False)

    def start(self) -> None:
        """Starts the sampling thread."""
        self._thread = threading.Thread(target=self._run, name="engine-sampler", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Takes a last sample and ends the sampling thread."""
        self._stopped.set()
        self._thread.join()

    def record_leaving(self, engine_id: str) -> None:
        """Records that an engine has announced its leave, or that its drain was accepted."""
        self._leaving_by_id[engine_id] = _LeavingEngine(time.monotonic())

    def figures(self) -> dict[str, float]:
        """Returns the load skew and the late requests of leaving engines; call it after `stop`."""
        ratios = sorted(self._ratios)
        figures: dict[str, float] = {
            "late_grants": sum(
                max(0, leaving.requests - leaving.requests_after_grace)
                for leaving in self._leaving_by_id.values()
                if leaving.requests_after_grace is not None
            )
        }
        for engine_id, leaving in self._leaving_by_id.items():
            last_s = max(0.0, leaving.last_request_at - leaving.announced_at)
            figures[f"last new request at {engine_id}, s"] = last_s
        figures["samples with mean above 3.2"] = len(ratios)
        if ratios:
            figures["skew median"] = ratios[len(ratios) // 2]
            figures["skew largest"] = ratios[-1]
            figures["skew share above 1.25"] = sum(r > _LOAD_BOUND for r in ratios) / len(ratios)
        return figures

    def _run(self) -> None:
        while not self._stopped.wait(_SAMPLE_INTERVAL_S):
            self._sample()
        self._sample()

    def _sample(self) -> None:
        loads = []
        for engine_id, engine in list(self.fleet.engines_by_id.items()):
            try:
                stats = call_json(engine.address, "GET", "/_stats", timeout_s=2.0)[1]
            except (OSError, HTTPException):
                continue
            leaving = self._leaving_by_id.get(engine_id)
            if leaving is None:
                loads.append(stats["in_flight"])
            else:
                _record_requests(leaving, int(stats.get("requests", 0)))
        mean = sum(loads) / max(1, len(loads))
        if mean > _LOW_LOAD_MEAN:
            self._ratios.append(max(loads) / mean)


def _record_requests(leaving: _LeavingEngine, requests: int) -> None:
    now = time.monotonic()
    if 0 <= leaving.requests < requests:
        leaving.last_request_at = now
    leaving.requests = requests
    if leaving.requests_after_grace is None and now - leaving.announced_at > LEAVING_GRACE_PERIOD_S:
        leaving.requests_after_grace = requests


@define(eq=False)
class ControlTraffic:
    """Measures the bytes sent between routers and the calls to the platform during a run."""

    fleet: Fleet
    _started_at: float = 0.0
    """Time of the call to `begin`, by the monotonic clock."""
    _initial_bytes_by_id: dict[str, float] = field(factory=dict)
    """Control bytes that each router had sent at that time."""
    _initial_platform_calls: int = 0
    """Calls that the platform had received at that time."""

    def begin(self) -> None:
        """Records the counters at the start of the run."""
        self._started_at = time.monotonic()
        self._initial_platform_calls = self._count_platform_calls()
        self._initial_bytes_by_id = self._bytes_sent_by_id()

    def figures(self) -> dict[str, float]:
        """Returns rates since `begin`; bytes are those of routers that ran without a restart."""
        elapsed_s = time.monotonic() - self._started_at
        sent = self._bytes_sent_by_id()
        rates = [
            (sent[router_id] - before) / elapsed_s
            for router_id, before in self._initial_bytes_by_id.items()
            if sent.get(router_id, 0.0) >= before
        ]
        return {
            "control B/s sent, mean of routers": sum(rates) / len(rates),
            "control B/s sent, largest": max(rates),
            "platform calls/s, whole fleet": (
                self._count_platform_calls() - self._initial_platform_calls
            )
            / elapsed_s,
        }

    def _count_platform_calls(self) -> int:
        stats = call_json(self.fleet.platform_address(), "GET", "/_stats")[1]
        return sum(stats.values())

    def _bytes_sent_by_id(self) -> dict[str, float]:
        sent = {}
        for router_id, router in self.fleet.routers_by_id.items():
            try:
                values = parse_metrics(router.address)
            except (OSError, HTTPException):
                continue
            sent[router_id] = sum(
                value
                for name, value in values.items()
                if "control_bytes" in name and '"sent"' in name
            )
        return sent
