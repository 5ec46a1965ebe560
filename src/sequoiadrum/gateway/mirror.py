"""What this router has read of the store, for routers that read it from their peers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoredItem, StoreEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

REMOVED_KEPT: Final = 2_000
"""Removals that are remembered; a router that missed older ones gets them from a whole list."""
_HELD_CHECK_S: Final = 0.5
"""How often a wait looks whether a removal may be shown by now."""


@frozen
class _Noted:
    event: StoreEvent
    revision: int
    """Revision of the store up to which everything was known with this change. It is above that of
    any answer without the change, whatever revision the change itself carries."""
    shown_from: float
    """Peers hear of the change from this time on."""


@define(eq=False)
class _Kind:
    noted_by_name: dict[str, _Noted] = field(factory=dict)
    """The last change of each object, removals included."""
    revision: int = 0
    """All changes up to this revision of the store are known."""
    seen_at: float = float("-inf")
    """When the store showed that."""


@frozen
class MirrorView:
    """Changes of a kind after a revision."""

    events: tuple[StoreEvent, ...]
    revision: int
    """All changes up to this revision are in this view or in earlier ones."""
    age_s: float
    """How long ago the store showed that nothing else had changed."""


class Mirror:
    """The newest known state of each object by kind; safe to use from any thread.

    Revisions never go back, whatever the order in which lists, watches and peers tell of them.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._kinds: dict[str, _Kind] = {}

    def revision(self, kind: str) -> int:
        """Gives the revision up to which all changes are known; 0 when nothing is."""
        with self._changed:
            return self._kind(kind).revision

    def apply_events(
        self,
        kind: str,
        events: Iterable[StoreEvent],
        revision: int,
        seen_at: float,
        removals_shown_from: float = float("-inf"),
    ) -> list[StoreEvent]:
        """Takes changes; gives those that are news.

        Args:
            kind: Kind of the objects.
            events: The changes, in the order of the store.
            revision: Revision of the store up to which the changes are whole.
            seen_at: When the store showed them.
            removals_shown_from: Peers do not hear of removals before. Entries that lapsed in an
                outage of the store come back soon after it.
        """
        with self._changed:
            known = self._kind(kind)
            news = []
            for event in events:
                if _is_news(known, event):
                    shown_from = removals_shown_from if event.is_deleted else float("-inf")
                    noted_revision = max(revision, event.item.revision)
                    noted = _Noted(event, noted_revision, shown_from)
                    known.noted_by_name.pop(event.item.name, None)
                    known.noted_by_name[event.item.name] = noted
                    news.append(event)
            known.revision = max(known.revision, revision)
            known.seen_at = max(known.seen_at, seen_at)
            _drop_old_removals(known)
            if news:
                self._changed.notify_all()
            return news

    def apply_list(
        self,
        kind: str,
        items: Iterable[StoredItem],
        revision: int,
        seen_at: float,
        removals_shown_from: float = float("-inf"),
    ) -> list[StoreEvent]:
        """Takes a whole list; gives the changes, with objects that are missing as removed."""
        listed = {item.name: item for item in items}
        with self._changed:
            gone = [
                StoreEvent(StoredItem(name, revision, None), is_deleted=True)
                for name, noted in self._kind(kind).noted_by_name.items()
                if name not in listed
                and not noted.event.is_deleted
                and noted.event.item.revision <= revision
            ]
        present = [StoreEvent(item, is_deleted=False) for item in listed.values()]
        return self.apply_events(kind, present + gone, revision, seen_at, removals_shown_from)

    def wait(self, kind: str, since: int, wait_s: float) -> MirrorView:
        """Gives the changes after a revision; waits for one at most so long."""
        until = clock.now() + wait_s
        with self._changed:
            while True:
                view = self._view(self._kind(kind), since)
                left = until - clock.now()
                if view.events or left <= 0:
                    return view
                self._changed.wait(min(left, _HELD_CHECK_S))

    @staticmethod
    def _view(known: _Kind, since: int) -> MirrorView:
        now = clock.now()
        revision = known.revision
        events = []
        for noted in known.noted_by_name.values():
            if noted.revision <= since:
                continue
            if noted.shown_from > now:
                revision = min(revision, noted.revision - 1)
            else:
                events.append(noted.event)
        return MirrorView(tuple(events), revision, now - known.seen_at)

    def _kind(self, kind: str) -> _Kind:
        return self._kinds.setdefault(kind, _Kind())


def _drop_old_removals(known: _Kind) -> None:
    removed = [name for name, noted in known.noted_by_name.items() if noted.event.is_deleted]
    for name in removed[: max(0, len(removed) - REMOVED_KEPT)]:
        del known.noted_by_name[name]


def _is_news(known: _Kind, event: StoreEvent) -> bool:
    noted = known.noted_by_name.get(event.item.name)
    if noted is None:
        return True
    last = noted.event
    if event.item.revision == last.item.revision:
        # A removal can carry the revision of the last change before it.
        return event.is_deleted and not last.is_deleted
    return event.item.revision > last.item.revision
