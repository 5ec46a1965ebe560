"""Runs one soak: starts its processes and callers, carries out its plan and stops everything."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from sequoiadrum.messages import Address
from sequoiadrum.platform.documents import CONFIG_KIND, CONFIG_NAME, ENDPOINT_KIND
from tests.gateway.world import config_document
from tests.platform.store_stand_in import StoreStandIn
from tools.soak.callers import Caller
from tools.soak.endpoints import ResponseFault, SoakEndpoint
from tools.soak.gateway_process import GatewayProcess, is_ready
from tools.soak.plan import (
    GRACE_PERIOD_S,
    RECOVERY_S,
    RESPONSE_KINDS,
    RESTORED,
    draw_plan,
    draw_planned_work,
)
from tools.soak.proxy import Mode
from tools.soak.record import KeyChange, Record

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tools.soak.plan import Action

GATEWAY_COUNT: Final = 4
ENDPOINT_COUNT: Final = 5
CALLER_COUNT: Final = 10
RESTART_S: Final = 0.3
"""Time between the exit of a gateway process and its restart."""
SETTLE_S: Final = 1.5
"""Time for which an ended fault may still have effects: retransmissions, full queues."""
LEAVING_SERVICE_S: Final = 4.0
"""Time for which a leaving endpoint still serves requests before it is removed from the store."""
START_TIMEOUT_S: Final = 20.0
_STORE_PROXY_MODES: Final = {
    "silent": Mode.UNRESPONSIVE,
    "refused": Mode.REFUSE,
    "one_way": Mode.ONE_WAY,
    "slow": Mode.SLOW,
}
_ENDPOINT_MODES: Final = {"silent": Mode.UNRESPONSIVE, "one_way": Mode.ONE_WAY, "slow": Mode.SLOW}


class Soak:
    """The processes, callers, plan and record of one seed."""

    def __init__(self, seed: int, seconds: float, log_dir: Path, has_faults: bool = True) -> None:
        self.record: Final = Record()
        draw = draw_plan if has_faults else draw_planned_work
        self.plan: Final = draw(seed, seconds, GATEWAY_COUNT, ENDPOINT_COUNT)
        self._seed = seed
        self._seconds = seconds
        self._store = StoreStandIn()
        self._store_lock = threading.Lock()
        self._store_copy = self._store.copy()
        """Taken before the last change of the configuration; a restore goes back to it."""
        self._config_lock = threading.Lock()
        self._entries_lock = threading.Lock()
        self._endpoint_numbers = 0
        self._endpoints = [self._new_endpoint() for _ in range(ENDPOINT_COUNT)]
        # Each soak uses a separate loopback network, so that several can run in parallel.
        network = random.Random(f"{seed}-{os.getpid()}")
        prefix = f"127.{network.randint(1, 250)}.{network.randint(1, 250)}"
        self._gateways = [
            GatewayProcess(f"g{n}", f"{prefix}.{n + 1}", self._store.address, log_dir, self.record)
            for n in range(GATEWAY_COUNT)
        ]
        self._pool = ThreadPoolExecutor(64, thread_name_prefix="action")
        self._ending = threading.Event()

    def run(self) -> Record:
        """Runs the soak and returns its record.

        Raises:
            TimeoutError: A gateway was not ready in time.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._stop_all)
            self._write_config()
            for endpoint in self._endpoints:
                self._register(endpoint, "ready")
            seeds = [f"{g.host}:{g.ports[4]}" for g in self._gateways[:3]]
            for gateway in self._gateways:
                gateway.write_settings(seeds, self._gateways[0].ports)
                gateway.address.directory = Address(gateway.host, self._gateways[0].ports[2])
                gateway.start()
            self._wait_ready()
            callers = self._start_callers()
            self._run_plan()
            for caller in callers:
                caller.stop()
            for caller in callers:
                caller.join()
            self._record_unexpected_exits()
        return self.record

    def _run_plan(self) -> None:
        started = time.monotonic()
        futures = []
        for action in self.plan:
            time.sleep(max(0.0, started + action.at - time.monotonic()))
            futures.append(self._pool.submit(self._execute, action))
        self.record.fault_free_since = started + self._seconds - RECOVERY_S / 2
        time.sleep(max(0.0, started + self._seconds - time.monotonic()))
        self._ending.set()
        for future in futures:
            # Raises the exception of an action that failed, which would otherwise look like a fault
            # that the gateways survived.
            future.result()

    def _execute(self, action: Action) -> None:
        if action.subject == "gateway":
            self._disturb_gateway(self._gateways[action.target], action)
        elif action.subject == "endpoint":
            self._disturb_endpoint(action)
        elif action.subject == "store":
            self._disturb_store(action)
        elif action.subject == "config":
            self._write_config()
        else:
            self._gateways[action.target].signal(signal.SIGHUP)

    def _disturb_gateway(self, gateway: GatewayProcess, action: Action) -> None:
        if action.kind in _STORE_PROXY_MODES:
            with self._disturbance(gateway.name, action.kind):
                gateway.store_proxy.set_mode(_STORE_PROXY_MODES[action.kind])
                if action.kind == "refused":
                    gateway.store_proxy.reset()
                time.sleep(action.for_s)
                gateway.store_proxy.set_mode(Mode.PASS)
        elif action.kind == "pause":
            with self._disturbance(gateway.name, "pause"):
                gateway.signal(signal.SIGSTOP)
                time.sleep(action.for_s)
                gateway.signal(signal.SIGCONT)
        elif gateway.lock.acquire(blocking=False):
            # Skipped while another action stops or restarts the process.
            try:
                self._restart_gateway(gateway, action.kind)
            finally:
                gateway.lock.release()

    def _restart_gateway(self, gateway: GatewayProcess, kind: str) -> None:
        with self._disturbance(gateway.name, kind):
            gateway.expect_exit()
            overdue_s = 0.0
            if kind == "term":
                gateway.signal(signal.SIGTERM)
                signaled_at = time.monotonic()
                while not gateway.wait(0.1):
                    # The time of a suspension does not count towards the grace period.
                    overdue_s = time.monotonic() - signaled_at - GRACE_PERIOD_S
                    overdue_s -= self._paused_s(gateway.name, signaled_at)
                    if overdue_s > 1.0:
                        gateway.kill()
            else:
                gateway.kill()
            gateway.record_exit(max(0.0, overdue_s))
            time.sleep(RESTART_S)
            gateway.start()

    def _paused_s(self, name: str, since: float) -> float:
        """Returns for how many seconds a gateway was suspended after `since`."""
        return sum(
            max(0.0, d.until - max(d.since, since))
            for d in self.record.disturbances
            if d.subject == name and d.kind == "pause"
        )

    def _disturb_endpoint(self, action: Action) -> None:
        endpoint = self._endpoints[action.target]
        if action.kind in ("leave", "say_leaving"):
            self._replace_endpoint(action.target, is_stated=action.kind == "say_leaving")
            return
        with self._disturbance(endpoint.id, action.kind):
            if action.kind == "crash":
                endpoint.crash()
            elif action.kind == "reset":
                endpoint.proxy.reset()
            elif action.kind == "turn_away":
                endpoint.turned_away_until = time.monotonic() + action.for_s
            elif action.kind == "lost_answers":
                endpoint.loses_responses = True
            elif action.kind == "cut_answers":
                endpoint.truncates_responses = True
            elif action.kind in RESPONSE_KINDS:
                endpoint.response_fault = ResponseFault(action.kind)
            else:
                endpoint.proxy.set_mode(_ENDPOINT_MODES[action.kind])
            time.sleep(action.for_s)
            endpoint.loses_responses = endpoint.truncates_responses = False
            endpoint.response_fault = None
            if endpoint.restart():
                self._register_again(action.target, endpoint)

    def _register_again(self, target: int, endpoint: SoakEndpoint) -> None:
        """Registers the process that came after one that ended, unless it is to leave."""
        with self._entries_lock:
            if endpoint is self._endpoints[target]:
                self._register(endpoint, "ready")

    def _replace_endpoint(self, target: int, is_stated: bool) -> None:
        """Replaces an endpoint that says that it leaves, either in responses or in its entry."""
        joining = self._new_endpoint()
        with self._entries_lock:
            leaving, self._endpoints[target] = self._endpoints[target], joining
        self._register(joining, "ready")
        if is_stated:
            leaving.says_leaving = True
        else:
            self._register(leaving, "draining")
            self.record.leaving_since[leaving.id] = time.monotonic()
        self._ending.wait(LEAVING_SERVICE_S)
        for name in _entry_names(leaving):
            self._store.delete(ENDPOINT_KIND, name)

    def _disturb_store(self, action: Action) -> None:
        if not self._store_lock.acquire(blocking=False):
            return
        try:
            with self._disturbance("store", action.kind):
                self._store.status = 503 if action.kind in ("down", RESTORED) else None
                self._store.is_unresponsive = action.kind == "silent"
                self._store.loses_responses = action.kind == "lost"
                self._store.drops_watch_events = action.kind == "muted"
                time.sleep(action.for_s)
                if action.kind in ("forget", "muted"):
                    # Ends the watches and drops the history of the events that they missed.
                    self._store.forget_history()
                if action.kind == RESTORED:
                    self._store.restore(self._store_copy, (CONFIG_KIND, ENDPOINT_KIND))
                self._store.status = None
                self._store.is_unresponsive = False
                self._store.loses_responses = False
                self._store.drops_watch_events = False
        finally:
            self._store_lock.release()

    @contextlib.contextmanager
    def _disturbance(self, subject: str, kind: str) -> Iterator[None]:
        disturbance = self.record.begin_disturbance(subject, kind)
        try:
            yield
        finally:
            disturbance.until = time.monotonic() + SETTLE_S

    def _write_config(self) -> None:
        with self._config_lock:
            self._store_copy = self._store.copy()
            changes = self.record.key_changes
            version = changes[-1].version + 1 if changes else 1
            keys = frozenset({version, max(1, version - 1)})
            accounts = [{"name": "acme", "api_keys": [f"k{key}" for key in sorted(keys)]}]
            written_at = time.monotonic()
            self._store.put(CONFIG_KIND, CONFIG_NAME, config_document(version, tenants=accounts))
            changes.append(KeyChange(version, written_at, time.monotonic(), keys))

    def _key_version(self, rng: random.Random) -> int:
        """Returns the key version for a request: mostly the newest, sometimes a removed one."""
        newest = self.record.key_changes[-1].version
        return max(1, newest - rng.choice((0, 0, 0, 0, 1, 2, 3)))

    def _new_endpoint(self) -> SoakEndpoint:
        self._endpoint_numbers += 1
        return SoakEndpoint(f"e{self._endpoint_numbers}", self.record)

    def _register(self, endpoint: SoakEndpoint, state: str) -> None:
        address = endpoint.proxy.address
        entry = {
            "address": f"{address.host}:{address.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": endpoint.starts,
        }
        for service, name in zip(("shop", "model"), _entry_names(endpoint), strict=True):
            self._store.put(ENDPOINT_KIND, name, {**entry, "service": service})

    def _wait_ready(self) -> None:
        ready_by = time.monotonic() + START_TIMEOUT_S
        waiting = {g.host: g for g in self._gateways}
        while waiting:
            for host in list(waiting):
                if is_ready(Address(host, self._gateways[0].ports[1])):
                    del waiting[host]
            if time.monotonic() > ready_by:
                raise TimeoutError(f"not ready in time: {[g.name for g in waiting.values()]}")
            time.sleep(0.05)

    def _start_callers(self) -> list[Caller]:
        gateways = {gateway.host: gateway.address for gateway in self._gateways}
        callers = [
            Caller(n, self._seed, gateways, self._key_version, self.record)
            for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        return callers

    def _record_unexpected_exits(self) -> None:
        for gateway in self._gateways:
            if gateway.has_exited_unexpectedly():
                gateway.record_exit()

    def _stop_all(self) -> None:
        self._ending.set()
        self._pool.shutdown(wait=True, cancel_futures=True)
        for gateway in self._gateways:
            gateway.close()
        for endpoint in self._endpoints:
            endpoint.stop()
        self._store.stop()


def _entry_names(endpoint: SoakEndpoint) -> tuple[str, str]:
    """Returns the names of an endpoint as a plain service and as a model engine."""
    return endpoint.id, f"{endpoint.id}-model"
