"""Router addresses for callers: the owner of the key first, and only usable routers."""

from __future__ import annotations

import unittest

from attrs import evolve

from sequoiadrum.directory import ADDRESSES_PER_RESPONSE, MemberDirectory
from sequoiadrum.messages import Member, MemberState
from tests.fakes import FakeMembership


class MemberDirectoryTest(unittest.TestCase):
    """Five routers, of which one owns the shard of a key."""

    def setUp(self) -> None:
        self.members = {
            f"r{n}": Member(f"r{n}", "127.0.0.1", n, n, "d1", "r", 1, 0, MemberState.ALIVE)
            for n in range(1, 6)
        }

    def _ports(self, preferred: str) -> list[int]:
        directory = MemberDirectory(FakeMembership("r1", self.members))
        return [address.port for address in directory.address_for("orders:k", preferred)]

    def test_owner_comes_first(self) -> None:
        """Guards against forwarding of each keyed call, and against duplicate addresses."""
        for name, member in self.members.items():
            ports = self._ports(name)
            self.assertEqual(ports[0], member.http_port)
            self.assertEqual(len(set(ports)), ADDRESSES_PER_RESPONSE)

    def test_owner_that_cannot_be_used(self) -> None:
        """Guards against the address of an owner that is dead, leaving, suspect or unknown."""
        for state in (MemberState.DEAD, MemberState.LEAVING, MemberState.SUSPECT):
            self.members["r3"] = evolve(self.members["r3"], state=state)
            ports = self._ports("r3")
            self.assertNotIn(3, ports)
            self.assertEqual(ports, self._ports("r9"))
            self.assertEqual(ports, self._ports(""))
            self.assertEqual(len(ports), ADDRESSES_PER_RESPONSE)
