"""Copy of the store's objects as known to this router, served to routers that do not watch it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from attrs import define, field, frozen

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.model import StoredItem, StoreEvent, StorePosition

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_REMOVALS: Final = 2_000
"""Removals kept for each kind; a router that missed an older one finds it in a complete list."""
_VISIBILITY_CHECK_INTERVAL_S: Final = 0.5
"""How often a waiting call checks whether a delayed removal has become visible."""


@frozen
class _RecordedChange:
    event: StoreEvent
    revision: int
    """Revision of the store up to which all changes were known once this one was recorded. It is
    above that of every view without the change, whatever revision the change itself carries."""
    visible_from: float
    """Time from which views include the change, in monotonic seconds."""


@define(eq=False)
class _KindState:
    changes_by_name: dict[str, _RecordedChange] = field(factory=dict)
    """The last change of each object, including removals."""
    epoch: int = 0
    """Epoch of the store in which the changes were made; see `StorePosition`."""
    revision: int = 0
    """All changes up to this revision of the store are known."""
    seen_at: float = float("-inf")
    """Latest time at which the store showed its changes, in monotonic seconds."""


@frozen
class MirrorView:
    """Changes of one kind after a revision."""

    events: tuple[StoreEvent, ...]
    revision: int
    """All changes up to this revision are part of this view or of earlier ones."""
    age_s: float
    """Seconds since the store showed that there were no further changes."""
    epoch: int = 0
    is_complete: bool = False
    """Whether the events are all objects that exist, so that any other one was removed."""


class Mirror:
    """Holds the newest known state of each object, by kind; safe to use from any thread.

    Revisions never decrease within an epoch of the store, in whatever order lists, watches and
    peers deliver the changes. A complete list of a newer epoch replaces what is known.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._states_by_kind: dict[str, _KindState] = {}

    def revision(self, kind: str) -> int:
        """Returns the revision up to which all changes are known, or 0 if none are."""
        with self._changed:
            return self._state_of(kind).revision

    def position(self, kind: str) -> StorePosition:
        """Returns the epoch, and the revision in it up to which all changes are known."""
        with self._changed:
            state = self._state_of(kind)
            return StorePosition(state.epoch, state.revision)

    def seen_at(self, kind: str) -> float:
        """Returns when the store showed the known state, in monotonic seconds."""
        with self._changed:
            return self._state_of(kind).seen_at

    def changes(self, kind: str) -> list[StoreEvent]:
        """Returns the last known change of each object, including removals."""
        with self._changed:
            return [c.event for c in self._state_of(kind).changes_by_name.values()]

    def apply_events(
        self,
        kind: str,
        events: Iterable[StoreEvent],
        revision: int,
        seen_at: float,
        removals_visible_from: float = float("-inf"),
        epoch: int = 0,
    ) -> list[StoreEvent]:
        """Applies changes; returns those that are newer than the known state.

        Changes of another epoch than that of the known state are ignored: those of a newer one
        continue a state that only a complete list can show.

        Args:
            kind: Kind of the objects.
            events: The changes, in the order of the store.
            revision: Revision of the store up to which the changes are complete.
            seen_at: When the store showed the changes, in monotonic seconds.
            removals_visible_from: Views omit these removals before this time: entries that expired
                during an outage of the store are registered again soon after it.
            epoch: Epoch of the store in which the changes were made.
        """
        with self._changed:
            state = self._state_of(kind)
            if epoch != state.epoch:
                return []
            updates = []
            for event in events:
                if _is_newer(state, event):
                    visible_from = removals_visible_from if event.is_deleted else float("-inf")
                    recorded_revision = max(revision, event.item.revision)
                    change = _RecordedChange(event, recorded_revision, visible_from)
                    state.changes_by_name.pop(event.item.name, None)
                    state.changes_by_name[event.item.name] = change
                    updates.append(event)
            state.revision = max(state.revision, revision)
            state.seen_at = max(state.seen_at, seen_at)
            _drop_old_removals(state)
            if updates:
                self._changed.notify_all()
            return updates

    def apply_list(
        self,
        kind: str,
        items: Iterable[StoredItem],
        revision: int,
        seen_at: float,
        removals_visible_from: float = float("-inf"),
        epoch: int = 0,
    ) -> list[StoreEvent]:
        """Applies a complete list; returns the newer changes, with missing objects as removals.

        A list of an older epoch is ignored. One of a newer epoch replaces the known state, and each
        object whose content differs counts as changed: it may be older than what was known.

        The arguments are those of `apply_events`.
        """
        listed = {item.name: item for item in items}
        with self._changed:
            state = self._state_of(kind)
            if epoch < state.epoch:
                return []
            is_new_epoch = epoch > state.epoch
            missing = [
                StoreEvent(StoredItem(name, revision, None, epoch), is_deleted=True)
                for name, change in state.changes_by_name.items()
                if name not in listed
                and not change.event.is_deleted
                and (is_new_epoch or change.event.item.revision <= revision)
            ]
            present = [StoreEvent(item, is_deleted=False) for item in listed.values()]
            unchanged: frozenset[str] = frozenset()
            if is_new_epoch:
                unchanged = frozenset(n for n, item in listed.items() if _has_content(state, item))
                self._states_by_kind[kind] = _KindState(epoch=epoch)
            updates = self.apply_events(
                kind, present + missing, revision, seen_at, removals_visible_from, epoch
            )
            return [event for event in updates if event.item.name not in unchanged]

    def wait(self, kind: str, since: int, wait_s: float, epoch: int = 0) -> MirrorView:
        """Returns the changes after a revision; waits up to `wait_s` seconds for the first one.

        Args:
            kind: Kind of the objects.
            since: Revision up to which the changes are known already.
            wait_s: Maximum wait in seconds, also for an epoch that is not known here yet.
            epoch: Epoch of that revision; a newer one that is known here yields a complete view.
        """
        deadline = clock.now() + wait_s
        with self._changed:
            while True:
                state = self._state_of(kind)
                if state.epoch > epoch:
                    return _complete_view(state)
                view = self._view(state, since)
                remaining_s = deadline - clock.now()
                is_behind = state.epoch < epoch
                if (view.events and not is_behind) or remaining_s <= 0:
                    return view
                self._changed.wait(min(remaining_s, _VISIBILITY_CHECK_INTERVAL_S))

    @staticmethod
    def _view(state: _KindState, since: int) -> MirrorView:
        now = clock.now()
        revision = state.revision
        events = []
        for change in state.changes_by_name.values():
            if change.revision <= since:
                continue
            if change.visible_from > now:
                revision = min(revision, change.revision - 1)
            else:
                events.append(change.event)
        return MirrorView(tuple(events), revision, now - state.seen_at, state.epoch)

    def _state_of(self, kind: str) -> _KindState:
        return self._states_by_kind.setdefault(kind, _KindState())


def _complete_view(state: _KindState) -> MirrorView:
    present = [c.event for c in state.changes_by_name.values() if not c.event.is_deleted]
    age_s = clock.now() - state.seen_at
    return MirrorView(tuple(present), state.revision, age_s, state.epoch, is_complete=True)


def _drop_old_removals(state: _KindState) -> None:
    removed = [name for name, change in state.changes_by_name.items() if change.event.is_deleted]
    for name in removed[: max(0, len(removed) - MAX_REMOVALS)]:
        del state.changes_by_name[name]


def _has_content(state: _KindState, item: StoredItem) -> bool:
    change = state.changes_by_name.get(item.name)
    if change is None or change.event.is_deleted:
        return False
    return change.event.item.document == item.document


def _is_newer(state: _KindState, event: StoreEvent) -> bool:
    change = state.changes_by_name.get(event.item.name)
    if change is None:
        return True
    last = change.event
    if event.item.revision == last.item.revision:
        # A removal can carry the same revision as the last change before it.
        return event.is_deleted and not last.is_deleted
    return event.item.revision > last.item.revision
