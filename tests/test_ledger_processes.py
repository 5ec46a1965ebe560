"""Keyed calls at most once, with real processes under faults."""

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
_PATIENCE_S: Final = 40.0

_STATE_BY_RAN: Final = {"no": "not_run", "yes": "done", "not_by_this_request": "refused"}


@define(eq=False)
class _Told:
    """What the callers of each key were told, in any order."""

    lock: threading.Lock = field(factory=threading.Lock)
    states_by_key: dict[str, list[str]] = field(factory=dict)
    bodies_by_key: dict[str, set[str]] = field(factory=dict)

    def add(self, key: str, state: str, body: object = None) -> None:
        with self.lock:
            self.states_by_key.setdefault(key, []).append(state)
            if body is not None:
                self.bodies_by_key.setdefault(key, set()).add(json.dumps(body))


class LedgerProcessesTest(unittest.TestCase):
    """Three routers with one shard, so that every call meets the fault of its owner."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(Fleet(["--address-ttl-s=0.2", "--ledger-shards=1"]))
        self.fleet.start_platform()
        self.fleet.start_service("s1")
        self.fleet.write_config(self.fleet.default_config(accounts=1))
        for number in range(3):
            self.fleet.start_router(f"r{number + 1}", f"d{number + 1}")
        self.fleet.wait_ready()
        self._await(self._all_known)
        self.told = _Told()
        self.issued_at = str(int(time.time() * 1e3))
        self._submit(self._router("r1"), "first")
        self.owner = self.fleet.routers_by_id[self._owner_id()]
        self.others = [r for r in self.fleet.routers_by_id.values() if r is not self.owner]

    # Helpers

    def _all_known(self) -> bool:
        """Whether every router names all three in its address answers."""
        answers = [
            call_json(r.address, "GET", "/v1/address?operation=chat&chat=c")[1]
            for r in self.fleet.routers_by_id.values()
        ]
        return all(len(answer["alternates"]) == 2 for answer in answers)

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
        """Makes one call and notes what its caller was told."""
        headers = {
            "X-Account": _ACCOUNT,
            "Idempotency-Key": key,
            "Idempotency-Issued-At": self.issued_at,
            "X-Deadline-Ms": "15000",
        }
        try:
            status, answer = call_json(
                router.address, "POST", "/v1/services/orders/confirm", {}, headers, _PATIENCE_S
            )
        except (OSError, HTTPException):
            return "no answer"
        if status < 300:
            self.told.add(key, "done", answer)
            return "done"
        if answer["error"]["type"] == "account_limit":
            # Refused before the key was looked at; a caller repeats it.
            time.sleep(answer["error"]["retry_after_ms"] / 1e3)
            return self._submit(router, key)
        ran = answer["error"]["ran"]
        state = _STATE_BY_RAN.get(ran, "unknown")
        self.told.add(key, state)
        return state

    def _start_calls(self, routers: list[Process], prefix: str) -> list[threading.Thread]:
        """Starts calls of different keys, in turn at the given routers."""
        threads = [
            threading.Thread(target=self._submit, args=(routers[n % len(routers)], f"{prefix}{n}"))
            for n in range(_CALLS)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join(2 * _PATIENCE_S)
            self.assertFalse(thread.is_alive(), "a caller hangs")

    def _await(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + _PATIENCE_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the expected state was not reached")
            time.sleep(0.05)

    def _await_dispatched(self, prefix: str) -> None:
        """Waits until all calls of a prefix run at the service."""
        named = f"{_ACCOUNT}:{prefix}"
        self._await(lambda: sum(k.startswith(named) for k in self._executions()) == _CALLS)

    def _repeat_all(self, routers: list[Process]) -> None:
        """Sends every key again, which must not run it again."""
        for number, key in enumerate([f"a{n}" for n in range(_CALLS)]):
            self._submit(routers[number % len(routers)], key)

    def _check(self) -> None:
        executions = self._executions()
        self.assertEqual({k: n for k, n in executions.items() if n > 1}, {}, "ran twice")
        for key, states in self.told.states_by_key.items():
            ran = executions.get(f"{_ACCOUNT}:{key}", 0)
            if "done" in states:
                self.assertEqual(ran, 1, f"{key} was told done: {states}")
            if states[-1] == "not_run":
                self.assertEqual(ran, 0, f"{key} was told not run: {states}")
            self.assertLessEqual(len(self.told.bodies_by_key.get(key, ())), 1, key)

    # Faults

    def test_owner_killed(self) -> None:
        """Guards against a second run, or "not run", after the owner died during the call."""
        self._set_service(delay_ms=1500)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await_dispatched("a")
        self.owner.kill()
        self._join(calls)
        self._check()
        self._set_service(delay_ms=0)
        self._repeat_all(self.others)
        self._check()
        for states in (s for k, s in self.told.states_by_key.items() if k.startswith("a")):
            self.assertEqual(set(states), {"unknown"}, "all had been sent, none was answered")
        self.assertEqual(self._submit(self.others[0], "after"), "done")

    def test_owner_killed_between_claim_and_send(self) -> None:
        """Guards against "not run" or a second run of calls killed at any step."""
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await(lambda: len(self._executions()) > 1)
        self.owner.kill()
        self._join(calls)
        self._check()
        self._repeat_all(self.others)
        self._check()

    def test_owner_frozen_beyond_takeover(self) -> None:
        """Guards against a resumed owner that sends what the new owner has decided."""
        self._set_service(delay_ms=300)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await(lambda: len(self._executions()) > 1)
        self.owner.freeze()
        frozen_id = self.owner.name
        self._submit_until_done(self.others[0], "b")
        self.assertNotEqual(self._owner_id(), frozen_id)
        calls += self._start_calls(self.others, "a")
        self.owner.resume()
        # The former owner still believes that it holds the shard.
        calls += self._start_calls([self.owner], "c") + self._start_calls(self.others, "c")
        self._join(calls)
        self._check()
        self._repeat_all([*self.others, self.owner])
        self._check()

    def _submit_until_done(self, router: Process, prefix: str) -> None:
        """Calls with a new key each time until a router has taken the shard over."""
        keys = iter(range(1_000))
        self._await(lambda: self._submit(router, f"{prefix}{next(keys)}") == "done")

    def test_platform_outage_and_lost_answers(self) -> None:
        """Guards against calls that run without a durable claim or lose their outcome."""
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
        self._check()
        self._repeat_all([self.owner, *self.others])
        self._check()
        for number in range(_CALLS):
            self.assertIn("done", self.told.states_by_key[f"a{number}"])

    def test_same_key_at_all_routers(self) -> None:
        """Guards against a key that runs once at each router that it came to."""
        self._set_service(delay_ms=200)
        routers = [self.owner, *self.others]
        calls = [t for r in routers for t in self._start_calls([r], "a")]
        self._join(calls)
        self._check()
        for number in range(_CALLS):
            self.assertEqual(self.told.states_by_key[f"a{number}"], ["done"] * 3)

    def test_planned_stop_of_the_owner(self) -> None:
        """Guards against a planned stop that interrupts or forgets a keyed call."""
        self._set_service(delay_ms=1000)
        calls = self._start_calls([self.owner, *self.others], "a")
        self._await_dispatched("a")
        self.owner.terminate()
        self._join(calls)
        self.assertEqual(self.owner.popen.wait(_PATIENCE_S), 0)
        self._check()
        self._set_service(delay_ms=0)
        self._repeat_all(self.others)
        self._check()
        for number in range(_CALLS):
            self.assertEqual(set(self.told.states_by_key[f"a{number}"]), {"done"})
