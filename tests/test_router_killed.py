"""Tests with real processes that a stream continues at another router after a kill."""

from __future__ import annotations

import json
import unittest
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING

from tests.builders import a_chat_body
from tools.fleet import Fleet

if TYPE_CHECKING:
    from sequoiadrum.messages import Address

_TOKENS = 60


class RouterKilledTest(unittest.TestCase):
    """A caller resumes a stream at another router."""

    def test_rest_comes_from_another_router(self) -> None:
        """Guards against a response that is lost or lacks tokens after its router was killed."""
        with Fleet(["--address-ttl-s=0.2"]) as fleet:
            fleet.start_platform()
            fleet.start_engine("e1", "--token-ms=20")
            fleet.write_config(fleet.default_config(accounts=1))
            for router_id in ("r1", "r2"):
                fleet.start_router(router_id)
            fleet.wait_ready()
            first = self.read(
                fleet.routers_by_id["r1"].address,
                "POST",
                "/v1/chat/completions",
                fleet,
            )
            self.assertNotIn("[DONE]", first)
            ids = [line[4:] for line in first.split("\n") if line.startswith("id: ")]
            path = f"/v1/streams/{ids[-1].split('.')[0]}"
            rest = self.read(fleet.routers_by_id["r2"].address, "GET", path, None, ids[-1])
        self.assertTrue(rest.endswith("data: [DONE]\n\n"))
        ids += [line[4:] for line in rest.split("\n") if line.startswith("id: ")]
        self.assertEqual([int(i.rsplit(".", 1)[1]) for i in ids], list(range(_TOKENS)))

    def read(
        self,
        address: Address,
        method: str,
        path: str,
        fleet_to_disrupt: Fleet | None,
        last_id: str = "",
    ) -> str:
        """Reads events until the stream ends, and discards an incomplete last event.

        If `fleet_to_disrupt` is given, its router r1 is killed after ten events.
        """
        connection = HTTPConnection(address.host, address.port, timeout=30)
        self.addCleanup(connection.close)
        headers = {"X-Account": "account-0", "Last-Event-ID": last_id}
        body = json.dumps(a_chat_body(max_tokens=_TOKENS, stream=True))
        connection.request(method, path, body if method == "POST" else None, headers)
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        received = b""
        try:
            while chunk := response.read1(1 << 16):
                received += chunk
                if fleet_to_disrupt is not None and received.count(b"\n\n") >= 10:
                    fleet_to_disrupt.routers_by_id["r1"].kill()
                    fleet_to_disrupt = None
        except (OSError, HTTPException):
            received = received[: received.rfind(b"\n\n") + 2]
        return received.decode()
