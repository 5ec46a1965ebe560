"""The newest configuration state with the changes that led to it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from sequoiadrum._config_codec import pack
from sequoiadrum._gen.peer.ttypes import ConfigUpdate
from sequoiadrum.configuration import ConfigState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiadrum.configuration import Change

KEPT_CHANGES: Final = 2_000
"""Newest changes kept for peers; nearly an hour at 55,000 changes a day."""


class ConfigHistory:
    """One task advances it; any thread reads."""

    def __init__(self) -> None:
        self.state = ConfigState()
        self._lock = threading.Lock()
        self._recent: list[Change] = []
        """The changes up to the state's revision, without gaps."""
        self._packed: tuple[int, bytes] = (0, b"")
        """The last snapshot that a peer asked for, with its revision."""

    def extend(self, changes: Iterable[Change]) -> bool:
        """Applies the changes above the state's revision.

        Returns:
            Whether the state advanced; changes with a gap are not applied.
        """
        with self._lock:
            fresh = sorted(
                (c for c in changes if c.revision > self.state.revision), key=lambda c: c.revision
            )
            expected = range(self.state.revision + 1, self.state.revision + 1 + len(fresh))
            if not fresh or [c.revision for c in fresh] != list(expected):
                return False
            self._recent = [*self._recent, *fresh][-KEPT_CHANGES:]
            self.state = self.state.apply(fresh)
            return True

    def replace(self, state: ConfigState) -> bool:
        """Takes a state whose latest changes are not known; False unless it is newer."""
        with self._lock:
            if state.revision <= self.state.revision:
                return False
            self._recent = []
            self.state = state
            return True

    def update_since(self, revision: int) -> ConfigUpdate:
        """Gives the changes above a revision, or a snapshot when they are no longer kept.

        A snapshot may be older than the state, as long as the changes after it are kept: building
        one costs tenths of a second at 40,000 objects, and a fleet that starts asks often.
        """
        with self._lock:
            state = self.state
            first_kept = state.revision - len(self._recent)
            if revision >= first_kept:
                changes = [c for c in self._recent if c.revision > revision]
                return ConfigUpdate(state.revision, False, pack(changes))
            packed_revision, payload = self._packed
            if packed_revision <= max(revision, first_kept - 1):
                packed_revision = state.revision
                payload = pack(c for c in state.changes_by_key.values() if c.value is not None)
                self._packed = (packed_revision, payload)
            return ConfigUpdate(packed_revision, True, payload)
