"""Tests that the product's own data path sends nothing for a caller that has left."""

from __future__ import annotations

import threading
import time
import unittest
from typing import TYPE_CHECKING, Any

from sequoiadrum.chat_relay import RetryBudgets
from sequoiadrum.errors import RefusalReason
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.service_client import CallOutcome, NotSent, ServiceClient, ServiceRequest
from sequoiadrum.service_relay import ServiceRelay
from tests.relay_fakes import FakeAdmission, RelayRig
from tests.test_chat_relay import a_request

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeServiceClient(ServiceClient):
    """Accepts no call; runs a function at each one."""

    def __init__(self, on_call: Callable[[], None]) -> None:
        self.called: list[Address] = []
        self._on_call = on_call

    def call(self, address: Address, request: ServiceRequest, timeout_s: float) -> CallOutcome:
        self.called.append(address)
        self._on_call()
        return NotSent("no connection")


class LeavingCallerTest(unittest.TestCase):
    """The caller leaves before its request is sent."""

    def setUp(self) -> None:
        self.gone = threading.Event()

    def test_chat_is_not_started_after_a_wait_for_a_grant(self) -> None:
        """Guards against a chat that is started at an engine although nobody waits for it."""
        rig = self.enterContext(RelayRig())
        acquire = rig.admission.acquire

        def leave_meanwhile(request: Any, excluded: Any) -> Any:
            self.gone.set()
            return acquire(request, excluded)

        rig.admission.acquire = leave_meanwhile  # type: ignore[method-assign]
        result = rig.relay.start(a_request(), "assistant", caller_gone=self.gone.is_set)
        refusal = result.failure()
        self.assertEqual((refusal.reason, refusal.ran), (RefusalReason.CANCELLED, False))
        self.assertEqual(rig.admission.released, [("e1", "cancelled")])
        self.assertEqual([e.state.stats.get("requests", 0) for e in rig.engines.values()], [0, 0])

    def test_chat_is_not_started_again(self) -> None:
        """Guards against a chat that the next engine starts after the first one was busy."""
        rig = self.enterContext(RelayRig())
        rig.engines["e1"].state.faults["refuse"] = True
        release = rig.admission.release

        def leave_meanwhile(grant: Any, outcome: Any) -> None:
            self.gone.set()
            release(grant, outcome)

        rig.admission.release = leave_meanwhile  # type: ignore[method-assign]
        result = rig.relay.start(a_request(), "assistant", caller_gone=self.gone.is_set)
        self.assertEqual(result.failure().reason, RefusalReason.CANCELLED)
        self.assertEqual(rig.engines["e2"].state.stats.get("requests", 0), 0)

    def test_call_is_not_sent_to_the_next_endpoint(self) -> None:
        """Guards against an idempotent call that is repeated for a caller that has left."""
        services = FakeServiceClient(self.gone.set)
        addresses = {f"e{n}": Address("127.0.0.1", n) for n in range(1, 4)}
        admission = FakeAdmission(addresses)
        relay = ServiceRelay(admission, services, RetryBudgets(Metrics()))
        result = relay.call(
            "pool",
            "a1",
            ServiceRequest("GET", "/", "", b""),
            time.monotonic() + 20.0,
            self.gone.is_set,
        )
        refusal = result.failure()
        self.assertEqual((refusal.reason, refusal.ran), (RefusalReason.CANCELLED, False))
        self.assertEqual(services.called, [addresses["e1"]])
        self.assertEqual(admission.released, [("e1", "failed"), ("e2", "cancelled")])

    def test_call_with_its_caller_is_repeated(self) -> None:
        """Guards against a check that ends calls whose callers wait."""
        services = FakeServiceClient(lambda: None)
        admission = FakeAdmission({f"e{n}": Address("127.0.0.1", n) for n in range(1, 3)})
        relay = ServiceRelay(admission, services, RetryBudgets(Metrics()))
        relay.call("pool", "a1", ServiceRequest("GET", "/", "", b""), time.monotonic() + 20.0)
        self.assertEqual(len(services.called), 2)
