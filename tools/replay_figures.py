"""Figures that are sampled while a trace is replayed: load of the engines, control traffic."""

from __future__ import annotations

import threading
import time
from http.client import HTTPException
from typing import TYPE_CHECKING, Final

from attrs import define, field

from tools.fleet import call_json, parse_metrics

if TYPE_CHECKING:
    from tools.fleet import Fleet

LEAVING_GRACE_S: Final = 3.0
"""After this time a leaving engine must get no new request."""
_SAMPLE_S: Final = 0.05
_LOW_LOAD_MEAN: Final = 3.2
"""Up to this mean an engine may carry its low-load allowance of 4 requests."""
_BOUND: Final = 1.25


@define
class _Leaving:
    at: float
    requests: int = -1
    last_new_at: float = 0.0
    at_grace: int | None = None
    """Requests that it had got when the grace ended."""


@define(eq=False)
class EngineSampler:
    """Reads requests in flight and in total from every engine, every 50 ms."""

    fleet: Fleet
    _ratios: list[float] = field(factory=list)
    """Max over mean over the engines that are up and not leaving."""
    _leaving_by_id: dict[str, _Leaving] = field(factory=dict)
    _stopped: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread = field(init=False)

    def start(self) -> None:
        """Begins to sample."""
        self._thread = threading.Thread(target=self._run, name="engine-sampler", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Takes a last sample and ends."""
        self._stopped.set()
        self._thread.join()

    def record_leaving(self, engine_id: str) -> None:
        """Takes that an engine has announced its leave, or that its drain was accepted."""
        self._leaving_by_id[engine_id] = _Leaving(time.monotonic())

    def figures(self) -> dict[str, float]:
        """Gives skew and what leaving engines got; call it after `stop`."""
        ratios = sorted(self._ratios)
        figures: dict[str, float] = {
            "late_grants": sum(
                max(0, leaving.requests - leaving.at_grace)
                for leaving in self._leaving_by_id.values()
                if leaving.at_grace is not None
            )
        }
        for engine_id, leaving in self._leaving_by_id.items():
            last_s = max(0.0, leaving.last_new_at - leaving.at)
            figures[f"last new request at {engine_id}, s"] = last_s
        figures["samples with mean above 3.2"] = len(ratios)
        if ratios:
            figures["skew median"] = ratios[len(ratios) // 2]
            figures["skew largest"] = ratios[-1]
            figures["skew share above 1.25"] = sum(r > _BOUND for r in ratios) / len(ratios)
        return figures

    def _run(self) -> None:
        while not self._stopped.wait(_SAMPLE_S):
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
                _note_requests(leaving, int(stats.get("requests", 0)))
        mean = sum(loads) / max(1, len(loads))
        if mean > _LOW_LOAD_MEAN:
            self._ratios.append(max(loads) / mean)


def _note_requests(leaving: _Leaving, requests: int) -> None:
    now = time.monotonic()
    if 0 <= leaving.requests < requests:
        leaving.last_new_at = now
    leaving.requests = requests
    if leaving.at_grace is None and now - leaving.at > LEAVING_GRACE_S:
        leaving.at_grace = requests


@define(eq=False)
class ControlTraffic:
    """Counts bytes between routers and calls to the platform over a run."""

    fleet: Fleet
    _began: float = 0.0
    _sent_by_id: dict[str, float] = field(factory=dict)
    _calls: int = 0

    def begin(self) -> None:
        """Notes the counts at the start."""
        self._began = time.monotonic()
        self._calls = self._platform_calls()
        self._sent_by_id = self._sent()

    def figures(self) -> dict[str, float]:
        """Gives rates over the time since `begin`, for the routers that ran all the time."""
        elapsed_s = time.monotonic() - self._began
        sent = self._sent()
        rates = [
            (sent[router_id] - before) / elapsed_s
            for router_id, before in self._sent_by_id.items()
            if sent.get(router_id, 0.0) >= before
        ]
        return {
            "control B/s sent, mean of routers": sum(rates) / len(rates),
            "control B/s sent, largest": max(rates),
            "platform calls/s, whole fleet": (self._platform_calls() - self._calls) / elapsed_s,
        }

    def _platform_calls(self) -> int:
        stats = call_json(self.fleet.platform_address(), "GET", "/_stats")[1]
        return sum(stats.values())

    def _sent(self) -> dict[str, float]:
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
