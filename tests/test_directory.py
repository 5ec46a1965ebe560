"""Tests of the router addresses that callers get."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from attrs import evolve

from sequoiadrum.directory import MemberDirectory
from sequoiadrum.messages import MemberState
from tests.virtual_bus import a_member


class DirectoryTest(unittest.TestCase):
    """Tests that only usable routers are returned and that keys keep their routers."""

    def setUp(self) -> None:
        self.members = {f"router-{n}": a_member(n) for n in range(6)}
        self.directory = MemberDirectory(SimpleNamespace(members=lambda: self.members))

    def _set_state(self, member_id: str, state: MemberState) -> None:
        changed = evolve(self.members[member_id], state=state)
        self.members = {**self.members, member_id: changed}

    def test_unusable_routers_are_not_named(self) -> None:
        """Guards against sending callers to a router that is leaving, dead or suspect."""
        addresses_by_key = {key: self.directory.address_for(key) for key in map(str, range(200))}
        self._set_state("router-1", MemberState.LEAVING)
        self._set_state("router-2", MemberState.DEAD)
        self._set_state("router-3", MemberState.SUSPECT)
        unusable = {self.members[f"router-{n}"].http_address for n in (1, 2, 3)}
        for key, before in addresses_by_key.items():
            after = self.directory.address_for(key)
            self.assertFalse(unusable & set(after))
            if before[0] not in unusable:
                self.assertEqual(
                    after[0], before[0], "the router of a key changed although it is alive"
                )

    def test_suspects_are_the_last_resort(self) -> None:
        """Guards against an empty response while suspect routers may still serve."""
        for member_id in self.members:
            self._set_state(member_id, MemberState.SUSPECT)
        self.assertEqual(len(self.directory.address_for("k")), 3)


if __name__ == "__main__":
    unittest.main()
