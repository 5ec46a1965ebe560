"""Tests with real processes of the failures in docs/design.md, section 2.5."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Any, Final

from sequoiadrum.standin_engine import token_text
from tests.builders import a_chat_body
from tests.forwarder import Forwarder
from tools.fleet import Fleet, call_json, is_ready

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

DEADLINE_S: Final = 30.0
GRACE_S: Final = 3.0
"""A leaving endpoint must receive no new requests after this time."""


class FleetTestCase(unittest.TestCase):
    """Helpers that the tests share; each subclass starts one fleet."""

    fleet: Fleet

    def router(self, router_id: str) -> Address:
        return self.fleet.routers_by_id[router_id].address

    def chat(self, router_id: str, chat_id: str, account: str = "account-0", **body: Any) -> Any:
        headers = {"X-Account": account, "X-Chat-Id": chat_id}
        path = "/v1/chat/completions"
        return call_json(self.router(router_id), "POST", path, a_chat_body(**body), headers)

    def assert_complete(self, response: tuple[int, Any], tokens: int = 4) -> None:
        self.assertEqual(response[0], 200, response)
        self.assertEqual(len(response[1]["choices"][0]["message"]["content"].split()), tokens)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        routers = self.fleet.routers_by_id.values()
        addresses = ",".join(str(r.operator_address) for r in routers if r.popen.poll() is None)
        return subprocess.run(
            [sys.executable, "-m", "sequoiadrum", *arguments, f"--router={addresses}"],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def run_json_command(self, *arguments: str) -> Any:
        completed = self.command(*arguments, "--json")
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return json.loads(completed.stdout)

    def owner(self) -> str:
        owner = self.run_json_command("pool", "assistant")["owner_id"]
        assert isinstance(owner, str)
        return owner

    def platform(self, path: str, document: Any) -> None:
        call_json(self.fleet.platform_address(), "POST", path, document)

    def wait_until(self, condition: Callable[[], bool], failure: str) -> float:
        started = time.monotonic()
        while not condition():
            self.assertLess(time.monotonic(), started + DEADLINE_S, failure)
            time.sleep(0.05)
        return time.monotonic() - started


def read_stream(
    router: Address, headers: dict[str, str], body: Any = None, resume: str = ""
) -> tuple[str, str, list[int], bool]:
    """Reads a stream until it ends or fails.

    Returns:
        The request id, the id of the last event, the offset of each token (-1 for a token with an
        unexpected text), and whether the response was complete.
    """
    connection = HTTPConnection(router.host, router.port, timeout=20)
    if resume:
        path, extra = f"/v1/streams/{resume.split('.')[0]}", {"Last-Event-ID": resume}
        connection.request("GET", path, headers={**headers, **extra})
    else:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    offsets, event_id, complete, request_id = [], resume, False, ""
    try:
        response = connection.getresponse()
        if response.status != 200:
            return "", resume, [], False
        request_id = response.getheader("X-Request-Id") or ""
        for raw in response:
            line = raw.strip().decode()
            if line.startswith("id: "):
                event_id = line[4:]
            elif line == "data: [DONE]":
                complete = True
            elif line.startswith("data: "):
                offset = int(event_id.rsplit(".", 1)[1])
                text = json.loads(line[6:])["choices"][0]["delta"]["content"]
                offsets.append(offset if text == token_text(request_id, offset) else -1)
    except (OSError, HTTPException):
        complete = False
    finally:
        connection.close()
    return request_id, event_id, offsets, complete


class LeavingEndpointTest(FleetTestCase):
    """Endpoints leave while the owner of their pool cannot reach the platform."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet())
        cls.fleet.start_platform()
        for number in range(5):
            cls.fleet.start_engine(f"e{number}", "--token-ms=1")
        cls.fleet.write_config(cls.fleet.default_config(accounts=1))
        forwarders = {}
        for router_id in ("r1", "r2", "r3"):
            forwarders[router_id] = Forwarder(cls.fleet.platform_address())
            cls.fleet.start_router(router_id, platform=forwarders[router_id].address)
        cls.fleet.wait_converged()
        cls.disconnected_owner = cls.owner(cls())
        forwarders[cls.disconnected_owner].disconnect()

    def requests_at(self, engine_id: str) -> int:
        address = self.fleet.engines_by_id[engine_id].address
        return int(call_json(address, "GET", "/_stats")[1].get("requests", 0))

    def assert_no_new_requests(self, engine_id: str, announce: Callable[[], object]) -> None:
        stop = threading.Event()

        def call(router_id: str) -> list[int]:
            statuses = []
            while not stop.wait(0.02):
                statuses.append(self.chat(router_id, f"{engine_id}-{len(statuses)}")[0])
            return statuses

        with ThreadPoolExecutor(3) as pool:
            calls = [pool.submit(call, router_id) for router_id in self.fleet.routers_by_id]
            try:
                self.wait_until(
                    lambda: self.requests_at(engine_id) > 0, "the engine receives no requests"
                )
                announce()
                time.sleep(GRACE_S)
                before = self.requests_at(engine_id)
                time.sleep(1.5)
                after = self.requests_at(engine_id)
            finally:
                stop.set()
        self.assertEqual(after, before)
        for completed in calls:
            statuses = completed.result()
            self.assertGreater(len(statuses), 20)
            self.assertEqual(set(statuses), {200}, Counter(statuses))

    def test_drain_by_operator(self) -> None:
        """Guards against new requests to a drained engine from a router that missed the drain."""
        self.assert_no_new_requests(
            "e0", lambda: self.run_json_command("plan", "drain", "e0", "--id=drain-e0")
        )

    def test_own_report(self) -> None:
        """Guards against new requests to an engine that reports that it is leaving."""
        address = self.fleet.engines_by_id["e1"].address
        self.assert_no_new_requests(
            "e1", lambda: call_json(address, "POST", "/_faults", {"leaving": True})
        )

    def test_platform_list(self) -> None:
        """Guards against new requests from an owner that cannot read the list of the platform."""
        address = self.fleet.engines_by_id["e2"].address
        entry = {"id": "e2", "role": "engine", "host": address.host, "port": address.port}
        self.assert_no_new_requests(
            "e2", lambda: self.platform("/_instances", [{**entry, "leaving": True}])
        )


class RouterFailureTest(FleetTestCase):
    """Routers shut down gracefully, are killed or are frozen."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet(["--address-ttl-s=3"]))
        cls.fleet.start_platform()
        for number in range(3):
            cls.fleet.start_engine(f"e{number}", "--token-ms=30")
        cls.fleet.start_service("s1")
        cls.fleet.write_config(cls.fleet.default_config(accounts=2))
        for number in range(6):
            cls.fleet.start_router(f"r{number + 1}", f"d{number % 4 + 1}")
        cls.fleet.wait_converged()

    def stream(self, router_id: str, chat_id: str, tokens: int) -> tuple[str, str, list[int], bool]:
        headers = {"X-Account": "account-0", "X-Chat-Id": chat_id}
        body = a_chat_body(max_tokens=tokens, stream=True)
        return read_stream(self.router(router_id), headers, body)

    def keyed(self, router_id: str, key: str) -> Any:
        headers = {
            "X-Account": "account-0",
            "Idempotency-Key": key,
            "Idempotency-Issued-At": str(int(time.time() * 1000)),
        }
        path = "/v1/services/orders/confirm"
        return call_json(self.router(router_id), "POST", path, {"n": 1}, headers)

    def test_graceful_shutdown_interrupts_no_requests(self) -> None:
        """Guards against a shutdown that ends streams early or refuses a cached address."""
        tokens = 200  # The streams take 6 s, longer than the TTL of the address.
        with ThreadPoolExecutor(16) as pool:
            long_streams = [pool.submit(self.stream, "r6", f"long-{n}", tokens) for n in range(8)]
            time.sleep(1.0)
            self.fleet.routers_by_id["r6"].terminate()
            late_chats = [self.chat("r6", f"kept-{n}") for n in range(8)]
            for response in late_chats:
                self.assert_complete(response)
            for completed in long_streams:
                self.assertEqual(completed.result()[2:], (list(range(tokens)), True))
        self.assertEqual(self.fleet.routers_by_id["r6"].popen.wait(60), 0)

    def test_streams_of_killed_router_resume_elsewhere(self) -> None:
        """Guards against lost or duplicate tokens when a caller resumes at another router."""
        tokens = 100
        with ThreadPoolExecutor(8) as pool:
            streams = [pool.submit(self.stream, "r5", f"chat-{n}", tokens) for n in range(8)]
            time.sleep(1.0)
            self.fleet.routers_by_id["r5"].kill()
            interrupted = [completed.result() for completed in streams]
        for _, event_id, offsets, complete in interrupted:
            self.assertTrue(offsets)
            self.assertFalse(complete)
            headers = {"X-Account": "account-0"}
            _, _, rest, complete = read_stream(self.router("r1"), headers, resume=event_id)
            self.assertEqual((offsets + rest, complete), (list(range(tokens)), True))

    def test_frozen_router_returns_without_stale_state(self) -> None:
        """Guards against a resumed router that serves a deleted account or executes a key again."""
        frozen = self.owner()
        others = [router_id for router_id in self.fleet.routers_by_id if router_id != frozen]
        keys = [f"key-{number}" for number in range(12)]
        first = [self.keyed(frozen, key) for key in keys]
        self.assertEqual({status for status, _ in first}, {201})
        self.assert_complete(self.chat(frozen, "c", "account-1"))
        process = self.fleet.routers_by_id[frozen]
        process.freeze()
        resume_at = time.monotonic() + 6.0
        # The revision that deletes the account must replace the view of the frozen router.
        self.fleet.routers_by_id.pop(frozen)
        statuses: Counter[int] = Counter()
        with ThreadPoolExecutor(1) as pool:
            # Runs beside the chats, because on a busy machine the command alone takes longer than
            # the freeze.
            deleted = pool.submit(self.run_json_command, "account", "delete", "account-1")
            while time.monotonic() < resume_at or not deleted.done():
                for router_id in others:
                    statuses[self.chat(router_id, "c")[0]] += 1
            deleted.result()
        for key in keys:
            self.assertEqual(self.keyed(others[0], key), first[keys.index(key)])
        self.fleet.routers_by_id[frozen] = process
        process.resume()
        statuses_after_resume = []
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline:
            statuses_after_resume.append(self.chat(frozen, "c", "account-1")[0])
        self.assertNotIn(200, statuses_after_resume)
        self.wait_until(
            lambda: self.chat(frozen, "c")[0] == 200, "the resumed router does not serve requests"
        )
        self.fleet.wait_converged()
        for key, response in zip(keys, first, strict=True):
            self.assertEqual(self.keyed(frozen, key), response)
        service = self.fleet.services_by_id["s1"].address
        executions = call_json(service, "GET", "/_stats")[1]["executions"]
        self.assertEqual(set(executions.values()), {1})
        print(f"\nwhile the owner was frozen: {dict(statuses)}")
        self.assertGreater(statuses[200], 0)


class ConfigurationTest(FleetTestCase):
    """Configuration changes take effect on all routers, also during an outage of the platform."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet())
        cls.fleet.start_platform()
        cls.fleet.start_engine("e1", "--token-ms=1")
        cls.fleet.write_config(cls.fleet.default_config(accounts=4))
        for number in range(5):
            cls.fleet.start_router(f"r{number + 1}")
        cls.fleet.wait_converged()

    def refused_everywhere(self, account: str) -> bool:
        responses = [self.chat(router_id, "c", account) for router_id in self.fleet.routers_by_id]
        return all(status == 403 or status == 404 or status == 401 for status, _ in responses)

    def delete(self, account: str) -> float:
        for router_id in self.fleet.routers_by_id:
            self.assert_complete(self.chat(router_id, "c", account))
        self.run_json_command("account", "delete", account)
        return time.monotonic()

    def test_deleted_account_is_refused_everywhere(self) -> None:
        """Guards against a router that continues to serve a deleted account."""
        accepted = self.delete("account-1")
        self.wait_until(
            lambda: self.refused_everywhere("account-1"),
            "a router still serves the deleted account",
        )
        print(f"\nin force on 5 routers after {time.monotonic() - accepted:.2f} s")

    def test_deletion_holds_through_platform_outage(self) -> None:
        """Guards against a change that is lost or reverted when the platform fails after it."""
        self.addCleanup(self.platform, "/_faults", {"outage": False})
        accepted = self.delete("account-2")
        self.platform("/_faults", {"outage": True})
        self.wait_until(
            lambda: self.refused_everywhere("account-2"),
            "a router still serves the deleted account",
        )
        print(f"\nin force on 5 routers after {time.monotonic() - accepted:.2f} s, platform down")
        self.fleet.routers_by_id["r5"].kill()
        self.fleet.start_router("r5")
        statuses = set()

        def ready() -> bool:
            try:
                statuses.add(self.chat("r5", "c", "account-2")[0])
            except (OSError, HTTPException):
                return False
            return is_ready(self.router("r5"))

        self.wait_until(ready, "r5 does not start without the platform")
        statuses.add(self.chat("r5", "c", "account-2")[0])
        self.assertNotIn(200, statuses)
        self.assert_complete(self.chat("r5", "c", "account-0"))

    def test_race_of_two_operators_has_one_winner(self) -> None:
        """Guards against two accepted changes of one version, or an unreported conflict."""
        version = self.run_json_command("account", "get", "account-3")["version"]
        put = ("account", "put", "account-3")
        with ThreadPoolExecutor(2) as pool:
            completed = list(
                pool.map(
                    lambda n: self.command(
                        *put,
                        json.dumps({"requests_per_s": n, "burst": n}),
                        f"--expected-version={version}",
                        f"--change-id=operator-{n}",
                    ),
                    (100, 200),
                )
            )
        self.assertEqual(
            sorted(c.returncode for c in completed), [0, 3], [c.stderr for c in completed]
        )
        winner, loser = (100, 200) if completed[0].returncode == 0 else (200, 100)
        self.assertIn(f"operator-{winner}", completed[loser == 200].stderr)
        self.wait_until(
            lambda: self.run_json_command("account", "get", "account-3")["change_id"]
            == f"operator-{winner}",
            "the accepted change is not in force",
        )


class CrashTest(FleetTestCase):
    """A request crashes each engine that runs it."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(Fleet())
        cls.fleet.start_platform()
        for number in range(5):
            cls.fleet.start_engine(f"e{number}", "--token-ms=20")
        cls.fleet.write_config(cls.fleet.default_config(accounts=1))
        for number in range(3):
            cls.fleet.start_router(f"r{number + 1}")
        cls.fleet.wait_converged()

    def test_crashing_request_is_refused_after_two_crashes(self) -> None:
        """Guards against a request that crashes one engine after another."""
        routers = list(self.fleet.routers_by_id)
        with ThreadPoolExecutor(5) as pool:
            # One stream on each engine, so that each crash interrupts one of them.
            healthy = [
                pool.submit(self.chat, routers[n % 3], f"chat-{n}", text=f"{n}", max_tokens=250)
                for n in range(5)
            ]
            time.sleep(1.0)

            def refused(router_id: str) -> bool:
                status, response = self.chat(router_id, "bad", text="crash-endpoint")
                self.assertNotEqual(status, 200)
                return bool(response["error"]["type"] == "crashes_endpoints")

            for router_id in routers:
                self.wait_until(
                    lambda r=router_id: refused(r), f"{router_id} still runs the crashing request"
                )
            for completed in healthy:
                self.assert_complete(completed.result(), 250)
        exit_statuses = [e.popen.poll() for e in self.fleet.engines_by_id.values()]
        self.assertEqual(Counter(exit_statuses), Counter({None: 3, 70: 2}))
