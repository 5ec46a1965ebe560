"""A router of the product's own interface stays within its limits whatever callers send.

The tests are those of `tests.gateway.test_hostile_callers`, at the port that callers use.
"""

from __future__ import annotations

import time
import unittest
from http.client import HTTPException
from typing import TYPE_CHECKING, Final

from attrs import evolve

from sequoiadrum._front_server import MAX_INPUT_BYTES, SPARE_THREADS
from tests.builders import a_chat_body
from tests.gateway import hostile_callers
from tests.gateway.hostile_callers import (
    SERVED_WITHIN_S,
    Crowd,
    forget_peak,
    peak_bytes,
    sockets_and_pipes,
)
from tools.fleet import Fleet, call_json

if TYPE_CHECKING:
    from tests.gateway.hostile_callers import Behaviour

MAX_STREAMS: Final = 8
MAX_CONNECTIONS: Final = 4 * (MAX_STREAMS + SPARE_THREADS)
OWN_DESCRIPTORS: Final = 64
"""Sockets and pipes of a router without peers, beside those of callers and of their streams."""
OWN_BYTES: Final = 64_000_000
"""Memory of a router without callers."""
_CHAT: Final = "/v1/chat/completions"
_BODY_BYTES: Final = 1_000_000
"""Largest legal body, by default."""


class OwnFrontTest(unittest.TestCase):
    """Crowds at the port of a router for callers."""

    runs_alone = True
    """See `tools.run_tests`: the bounds on memory hold beside no other load of the machine."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(Fleet([f"--max-streams={MAX_STREAMS}"]))
        self.fleet.start_platform()
        self.fleet.start_engine("e1", "--token-ms=1")
        self.fleet.write_config(self.fleet.default_config(accounts=1))
        self.router = self.fleet.start_router("r1")
        self.fleet.wait_converged()

    def _play(self, *behaviours: Behaviour) -> None:
        for behaviour in behaviours:
            forget_peak(self.router.popen.pid)
            crowd = Crowd(self.router.address, behaviour)
            try:
                crowd.wait_until_settled()
                self._check()
                self._serve_ordinary_chat()
            finally:
                crowd.close()
            self._serve_ordinary_chat()
            self._check()

    def _check(self) -> None:
        pid = self.router.popen.pid
        self.assertIsNone(self.router.popen.poll(), "the process has ended")
        self.assertLessEqual(peak_bytes(pid), MAX_INPUT_BYTES + OWN_BYTES)
        most = MAX_CONNECTIONS + MAX_STREAMS + OWN_DESCRIPTORS
        self.assertLessEqual(sockets_and_pipes(pid), most)

    def _serve_ordinary_chat(self) -> None:
        deadline = time.monotonic() + SERVED_WITHIN_S
        headers = {"X-Account": "account-0", "X-Chat-Id": "c1"}
        seen: object = None
        while time.monotonic() < deadline:
            try:
                seen = call_json(
                    self.router.address, "POST", _CHAT, a_chat_body(max_tokens=2), headers, 5.0
                )
                if seen[0] == 200:
                    return
            except (OSError, HTTPException) as error:
                seen = error
            time.sleep(0.1)
        raise AssertionError(f"the chat was not served; last: {seen!r}")

    def test_bodies(self) -> None:
        """Guards against bodies of legal size that stop short of their end and take all memory."""
        for piece_bytes in (_BODY_BYTES, 2_000):
            bodies = hostile_callers.legal_bodies(_CHAT, piece_bytes, _BODY_BYTES)
            self._play(evolve(bodies, callers=90))

    def test_oversized_bodies(self) -> None:
        """Guards against bodies far over the limit."""
        self._play(*(hostile_callers.oversized_bodies(_CHAT, each) for each in (False, True)))

    def test_many_fields(self) -> None:
        """Guards against heads of very many short fields."""
        self._play(*(hostile_callers.many_fields("/none", each) for each in (False, True)))

    def test_pipelined_requests(self) -> None:
        """Guards against requests sent ahead on connections whose answers nobody reads."""
        self._play(hostile_callers.shortest_requests("/v1/address"))

    def test_slow_callers(self) -> None:
        """Guards against callers that send or read a byte at a time."""
        self._play(hostile_callers.slow_senders(_CHAT), hostile_callers.slow_readers("/metrics"))

    def test_half_requests(self) -> None:
        """Guards against callers that stop before, in or after the head."""
        self._play(
            hostile_callers.idle_connections(_CHAT),
            hostile_callers.half_head(_CHAT),
            hostile_callers.half_body(_CHAT),
        )
