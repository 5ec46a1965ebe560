"""Callers' addresses."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from attrs import evolve

from sequoiadrum.directory import MemberDirectory
from sequoiadrum.messages import MemberState
from tests.virtual_bus import a_member


class DirectoryTest(unittest.TestCase):
    """Only routers that serve are named, and keys stay where they are."""

    def setUp(self) -> None:
        self.members = {f"router-{n}": a_member(n) for n in range(6)}
        self.directory = MemberDirectory(SimpleNamespace(members=lambda: self.members))

    def _set(self, member_id: str, state: MemberState) -> None:
        changed = evolve(self.members[member_id], state=state)
        self.members = {**self.members, member_id: changed}

    def test_unusable_routers_are_not_named(self) -> None:
        """Guards against sending callers to a router that leaves or is gone."""
        named = {key: self.directory.address_for(key) for key in map(str, range(200))}
        self._set("router-1", MemberState.LEAVING)
        self._set("router-2", MemberState.DEAD)
        self._set("router-3", MemberState.SUSPECT)
        gone = {self.members[f"router-{n}"].http_address for n in (1, 2, 3)}
        for key, before in named.items():
            after = self.directory.address_for(key)
            self.assertFalse(gone & set(after))
            if before[0] not in gone:
                self.assertEqual(after[0], before[0], "a key moved without need")

    def test_suspects_are_the_last_resort(self) -> None:
        """Guards against an empty answer while a suspect may still serve."""
        for member_id in self.members:
            self._set(member_id, MemberState.SUSPECT)
        self.assertEqual(len(self.directory.address_for("k")), 3)


if __name__ == "__main__":
    unittest.main()
