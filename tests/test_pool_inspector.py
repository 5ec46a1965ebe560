"""Pool state that plans read from the pool owners."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Success

from sequoiadrum.configuration import ObjectKind
from sequoiadrum.messages import Address
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.pool_inspector import PeerPoolInspector
from tests.builders import a_config, an_endpoint_value
from tests.fakes import FakeConfig


class RecentChatsTest(unittest.TestCase):
    """Runs with an owner that has joined recently."""

    def test_chats_of_the_former_owner_are_listed(self) -> None:
        """Guards against plans that move no chats because a new owner does not know them yet."""
        former = Address("127.0.0.1", 2)
        admission: Any = SimpleNamespace(
            owner_address=lambda pool: None,
            former_owner_address=lambda pool: former,
            inspect_pool=lambda *_: SimpleNamespace(recent_chats=["new", "both"]),
        )
        old = Success(SimpleNamespace(recent_chats=["both", "old", "older"]))
        responses: dict[Address, Any] = {former: old}
        peers: Any = SimpleNamespace(call=lambda address, *_: responses[address])
        config = FakeConfig(a_config((ObjectKind.ENDPOINT, "e0", an_endpoint_value())))
        inspector = PeerPoolInspector(admission, config, peers)
        self.assertEqual(inspector.recent_chats("e0", 3), ("new", "both", "old"))
        responses[former] = Failure(PeerFailure.UNREACHABLE)
        self.assertEqual(inspector.recent_chats("e0", 3), ("new", "both"))
