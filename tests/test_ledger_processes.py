"""Tests that keyed calls run at most once, with real processes and injected faults."""

from __future__ import annotations

import json
import threading
import time
import unittest
from http.client import HTTPException
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

from sequoiadrum._ledger_codec import decode_head
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum.metrics import Metrics
from tools.fleet import Fleet, Process, call_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

_ACCOUNT: Final = "account-0"
_CALLS: Final = 8
_TIMEOUT_S: Final = 40.0

_STATE_BY_RAN: Final = {"no": "not_run", "yes": "done", "not_by_this_request": "refused"}


@define(eq=False)
class _ReceivedOutcomes:
    """Outcomes that the callers of each key received; calls record them from several threads."""

    lock: threading.Lock = field(factory=threading.Lock)
    states_by_key: dict[str, list[str]] = field(factory=dict)
    bodies_by_key: dict[str, set[str]] = field(factory=dict)

    def add(self, key: str, state: str, body: object = None) -> None:
        """Records the outcome of one call."""
        with self.lock:
            self.states_by_key.setdefault(key, []).append(state)
            if body is not None:
                self.bodies_by_key.setdefault(key, set()).add(json.dumps(body))


class LedgerProcessesTest(unittest.TestCase):
    """Tests three routers with one shard, so that a fault of the owner affects every call."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(Fleet(["--address-ttl-s=0.2", "--ledger-shards=1"]))
        self.fleet.start_platform()
        self.fleet.start_service("s1")
        self.fleet.write_config(self.fleet.default_config(accounts=1))
        for number in range(3):
            self.fleet.start_router(f"r{number + 1}", f"d{number + 1}")
        self.fleet.wait_ready()
        self._await(self._has_complete_membership)
        self.received_outcomes = _ReceivedOutcomes()
        self.issued_at = str(int(time.time() * 1e3))
        self._submit(self._router("r1"), "first")
        self.owner = self.fleet.routers_by_id[self._owner_id()]
        self.others = [r for r in self.fleet.routers_by_id.values() if r is not self.owner]

    # Helpers

    def _has_complete_membership(self) -> bool:
        """Returns whether every router lists all three in its responses to `/v1/address`."""
        responses = [
            call_json(r.address, "GET", "/v1/address?operation=chat&chat=c")[1]
            for r in self.fleet.routers_by_id.values()
        ]
        return all(len(response["alternates"]) == 2 for response in responses)

    def _router(self, name: str) -> Process:
        return self.fleet.routers_by_id[name]

    def _service(self) -> Address:
        return self.fleet.services_by_id["s1"].address

    def _owner_id(self) -> str:
        client = HttpPlatformClient(self.fleet.platform_address(), Metrics(), 5.0)
        self.addCleanup(client.close)
        return decode_head(client.get("ledger/0/head").unwrap().value).owner

    def _set_service(self, **faults: Any) -> None:
        call_json(self._service(), "POST", "/_faults", faults)

    def _set_platform(self, **faults: Any) -> None:
        call_json(self.fleet.platform_address(), "POST", "/_faults", faults)

    def _executions(self) -> dict[str, int]:
        return dict(call_json(self._service(), "GET", "/_stats")[1]["executions"])

    def _submit(self, router: Process, key: str) -> str:
        """Makes one call; records and returns the state that its caller received."""
        headers = {
            "X-Account": _ACCOUNT,
            "Idempotency-Key": key,
            "Idempotency-Issued-At": self.issued_at,
            "X-Deadline-Ms": "15000",
        }
        try:
            status, response = call_json(
                router.address, "POST", "/v1/services/orders/confirm", {}, headers, _TIMEOUT_S
            )
        except (OSError, HTTPException):
            return "no response"
        if status < 300:
            self.received_outcomes.add(key, "done", response)
            return "done"
        if response["error"]["type"] == "account_limit":
            # The limit is checked before the ledger, so a caller may retry the call.
            time.sleep(response["error"]["retry_after_ms"] / 1e3)
            return self._submit(router, key)
        ran = response["error"]["ran"]
        state = _STATE_BY_RAN.get(ran, "unknown")
        self.received_outcomes.add(key, state)
        return state

    def _start_calls(self, routers: list[Process], prefix: str) -> list[threading.Thread]:
        """Starts calls with different keys, distributed over the given routers in turn."""
        threads = [
            threading.Thread(target=self._submit, args=(routers[n % len(routers)], f"{prefix}{n}"))
            for n in range(_CALLS)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join(2 * _TIMEOUT_S)
            self.assertFalse(thread.is_alive(), "a call did not end in time")

    def _await(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + _TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the expected state was not reached")
            time.sleep(0.05)

    def _await_dispatched(self, prefix: str) -> None:
        """Waits until the service has received all calls with a key prefix."""
        key_prefix = f"{_ACCOUNT}:{prefix}"
        self._await(lambda: sum(k.startswith(key_prefix) for k in self._executions()) == _CALLS)

    def _retry_all(self, routers: list[Process]) -> None:
        """Retries every key with the prefix `a`; no call may run a second time."""
        for number, key in enumerate([f"a{n}" for n in range(_CALLS)]):
            self._submit(routers[number % len(routers)], key)

    def _check_at_most_once(self) -> None:
        """Asserts that no call ran more than once and that outcomes match the executions."""
        executions = self._executions()
        self.assertEqual(
            {k: n for k, n in executions.items() if n > 1}, {}, "calls that ran more than once"
        )
        for key, states in self.received_outcomes.states_by_key.items():
            ran = executions.get(f"{_ACCOUNT}:{key}", 0)
            if "done" in states:
                self.assertEqual(
                    ran, 1, f"{key} did not run once, but was reported as done: {states}"
                )
            if states[-1] == "not_run":
                self.assertEqual(ran, 0, f"{key} ran, but was last reported as not run: {states}")
            self.assertLessEqual(len(self.received_outcomes.bodies_by_key.get(key, ())), 1, key)

    # Faults

    def test_owner_killed(self) -> None:
        """Guards against a second run, or "not run", if the owner dies while its calls run."""
        self._set_service(delay_ms=1500)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await_dispatched("a")
        self.owner.kill()
        self._join(calls)
        self._check_at_most_once()
        self._set_service(delay_ms=0)
        self._retry_all(self.others)
        self._check_at_most_once()
        for states in (
            s for k, s in self.received_outcomes.states_by_key.items() if k.startswith("a")
        ):
            self.assertEqual(
                set(states), {"unknown"}, "all were sent, and no response was received"
            )
        self.assertEqual(self._submit(self.others[0], "after"), "done")

    def test_owner_killed_between_claim_and_send(self) -> None:
        """Guards against "not run", or a second run, if the owner dies at any step of a call."""
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await(lambda: len(self._executions()) > 1)
        self.owner.kill()
        self._join(calls)
        self._check_at_most_once()
        self._retry_all(self.others)
        self._check_at_most_once()

    def test_owner_frozen_beyond_takeover(self) -> None:
        """Guards against a resumed owner that sends calls that a new owner has already decided."""
        self._set_service(delay_ms=300)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await(lambda: len(self._executions()) > 1)
        self.owner.freeze()
        frozen_id = self.owner.name
        self._submit_until_done(self.others[0], "b")
        self.assertNotEqual(self._owner_id(), frozen_id)
        calls += self._start_calls(self.others, "a")
        self.owner.resume()
        # The former owner has not detected yet that it lost the shard.
        calls += self._start_calls([self.owner], "c") + self._start_calls(self.others, "c")
        self._join(calls)
        self._check_at_most_once()
        self._retry_all([*self.others, self.owner])
        self._check_at_most_once()

    def _submit_until_done(self, router: Process, prefix: str) -> None:
        """Makes calls with new keys until one succeeds, after a router took over the shard."""
        keys = iter(range(1_000))
        self._await(lambda: self._submit(router, f"{prefix}{next(keys)}") == "done")

    def test_platform_outage_and_lost_answers(self) -> None:
        """Guards against calls that run without a stored claim or whose outcome is lost."""
        self._set_service(delay_ms=800)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await_dispatched("a")
        self._set_platform(outage=True)
        self._join(self._start_calls([self.owner, *self.others], "b"))
        self.assertFalse([k for k in self._executions() if k.startswith(f"{_ACCOUNT}:b")])
        self._set_platform(outage=False)
        self._join(calls)
        self._set_platform(lose_answers=12)
        self._join(self._start_calls([self.owner, *self.others], "c"))
        self._set_platform(lose_answers=0)
        self._check_at_most_once()
        self._retry_all([self.owner, *self.others])
        self._check_at_most_once()
        for number in range(_CALLS):
            self.assertIn("done", self.received_outcomes.states_by_key[f"a{number}"])

    def test_same_key_at_all_routers(self) -> None:
        """Guards against a key that runs once at each router that receives it."""
        self._set_service(delay_ms=200)
        routers = [self.owner, *self.others]
        calls = [t for r in routers for t in self._start_calls([r], "a")]
        self._join(calls)
        self._check_at_most_once()
        for number in range(_CALLS):
            self.assertEqual(self.received_outcomes.states_by_key[f"a{number}"], ["done"] * 3)

    def test_planned_stop_of_the_owner(self) -> None:
        """Guards against a graceful shutdown that interrupts a keyed call or loses its outcome."""
        self._set_service(delay_ms=1000)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await_dispatched("a")
        self.owner.terminate()
        self._join(calls)
        self.assertEqual(self.owner.popen.wait(_TIMEOUT_S), 0)
        self._check_at_most_once()
        self._set_service(delay_ms=0)
        self._retry_all(self.others)
        self._check_at_most_once()
        for number in range(_CALLS):
            self.assertEqual(set(self.received_outcomes.states_by_key[f"a{number}"]), {"done"})
