"""Tests of `gateway.fleet`."""

from __future__ import annotations

import io
import unittest
from types import MappingProxyType
from typing import Any
from unittest import mock

from sequoiadrum.gateway import clock, fleet
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.fleet import DEAD_ROUTER_RETENTION_S, PeerEventTask, RouterDirectory
from sequoiadrum.gateway.ports import AddressQuery
from sequoiadrum.messages import Member, MembersChanged, MemberState
from sequoiadrum.metrics import Metrics
from tests.gateway.builders import settings


def a_member(name: str, domain: str = "z1", state: MemberState = MemberState.ALIVE) -> Member:
    """Builds a router whose HTTP port is 1000 plus the number in its name."""
    return Member(name, "127.0.0.1", 1, 1000 + int(name[1:]), domain, "r", 1, 0, state)


class _Gossip:
    def __init__(self, *members: Member) -> None:
        self._members = MappingProxyType({member.id: member for member in members})

    def members(self) -> Any:
        return self._members


def _directory(*members: Member) -> RouterDirectory:
    own = settings(mock.Mock(), [1, 2, 3, 4, 5], instance_id="r1")
    return RouterDirectory(_Gossip(*members), own)  # type: ignore[arg-type]


class DirectoryTest(unittest.TestCase):
    """Callers receive addresses of routers that can serve them."""

    def _ports(self, directory: RouterDirectory, is_serving: bool = True) -> set[int]:
        query = AddressQuery("h", "r", "z1")
        return {address.port for address in directory.answer(query, is_serving)}

    def test_near_routers_alone_when_there_are_enough(self) -> None:
        """Guards against unnecessary traffic between failure domains."""
        directory = _directory(a_member("r1"), a_member("r2"), a_member("r3", "z2"))
        self.assertEqual(self._ports(directory), {1001, 1002})

    def test_others_are_named_when_few_are_near(self) -> None:
        """Guards against one router that receives all callers of its failure domain."""
        directory = _directory(a_member("r1"), a_member("r3", "z2"), a_member("r4", "z2"))
        self.assertEqual(self._ports(directory), {1001, 1003, 1004})

    def test_routers_that_stop_or_are_lost_are_not_named(self) -> None:
        """Guards against callers that are sent to a router that is stopping or dead."""
        directory = _directory(
            a_member("r1"),
            a_member("r2", state=MemberState.LEAVING),
            a_member("r3", state=MemberState.DEAD),
            a_member("r4"),
            a_member("r5", state=MemberState.SUSPECT),
        )
        self.assertEqual(self._ports(directory, is_serving=False), {1004})

    def test_suspects_are_better_than_no_answer(self) -> None:
        """Guards against an empty response from a router that is partitioned from its peers."""
        directory = _directory(a_member("r1"), a_member("r2", state=MemberState.SUSPECT))
        self.assertEqual(self._ports(directory, is_serving=False), {1002})


class CleanUpTest(unittest.TestCase):
    """Registrations of dead routers are removed."""

    def test_one_router_removes_what_is_dead_for_long(self) -> None:
        """Guards against a list of registrations that grows with each replaced router."""
        removed: list[str] = []
        members = MappingProxyType(
            {
                m.id: m
                for m in (
                    a_member("r1"),
                    a_member("r2"),
                    a_member("r3"),
                    a_member("r9", state=MemberState.DEAD),
                )
            }
        )
        started = clock.now()
        for own_id in ("r1", "r2", "r3"):
            metrics = Metrics()
            instances = mock.Mock(forget=removed.append)
            log = EventLog(own_id, metrics, io.StringIO())
            task = PeerEventTask(
                own_id, mock.Mock(), mock.Mock(), instances, mock.Mock(), metrics, log, mock.Mock()
            )
            handlers = task.handlers()
            handlers[MembersChanged](MembersChanged(members))
            handlers[fleet._CleanUp](fleet._CleanUp())
            later = started + DEAD_ROUTER_RETENTION_S + 10
            with mock.patch.object(clock, "now", return_value=later):
                handlers[fleet._CleanUp](fleet._CleanUp())
                handlers[fleet._CleanUp](fleet._CleanUp())
        self.assertEqual(removed, ["r9"])
