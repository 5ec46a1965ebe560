"""Keeps the prompt parts that crash engines in the store, for the case that all routers end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.crash_rumors import checked_key, checked_number
from sequoiadrum.gateway.crashing_parts import RECORD_TTL_S, PastCrash
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.hashing import first_ranked
from sequoiadrum.messages import MemberState
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from sequoiadrum.gateway.crash_reports import CrashReports
    from sequoiadrum.gateway.event_log import EventLog
    from sequoiadrum.gateway.ports import Store
    from sequoiadrum.messages import Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.timers import TimerService

CONVICTION_KIND: Final = "sequoiadrum-crashing-parts"
"""Kind of the objects, one for each convicted part, named by its key. They are read at each start,
written when a part is convicted and deleted when it no longer is."""
CHECK_INTERVAL_S: Final = 0.25
"""How often the convicted parts are compared with the stored ones, without a call of the store."""
RETRY_DELAY_S: Final = 1.0
"""Pause after a failed call."""
MAX_STORED_CRASHES: Final = 16
"""Crashes that are accepted from one object."""
MAX_LISTED: Final = 500
"""Objects that are read; further ones are ignored."""


@frozen
class _Read:
    """Timer message that reads the stored convictions."""


@frozen
class _Check:
    """Timer message that writes and deletes what has changed."""


@frozen
class _StoreRestored:
    """Reports that the store was restored from a copy, which may lack convictions."""


class ConvictionStore(Task):
    """Stores the evidence against convicted parts and reads that of former processes.

    Of the routers that are alive, one writes. A store that is down delays this and nothing else.
    """

    def __init__(
        self,
        store: Store,
        crashes: CrashReports,
        own_id: str,
        members: Callable[[], Mapping[str, Member]],
        timers: TimerService,
        metrics: Metrics,
        log: EventLog,
        on_invariant: Callable[[], None],
    ) -> None:
        self._store = store
        self._crashes = crashes
        self._own_id = own_id
        self._members = members
        self._timers = timers
        self._log = log
        self._stored: set[str] = set()
        """Parts that the store has, as far as this router is to delete them."""
        self._retry_at = float("-inf")
        super().__init__("convictions", metrics, on_invariant)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {_Read: self._on_read, _Check: self._on_check, _StoreRestored: self._on_restored}

    def run(self) -> None:
        """Starts the task, which reads the stored convictions first, and its periodic checks."""
        self.post(_Read())
        self.start()
        self._timers.subscribe(self, CHECK_INTERVAL_S, _Check())

    def store_restored(self) -> None:
        """Reports that the store was restored from a copy; callable by any thread."""
        self.post(_StoreRestored())

    def _on_restored(self, _: _StoreRestored) -> None:
        self._stored.clear()

    def _on_read(self, _: _Read) -> None:
        # Peers report what is new. The store is read for what no router knows any more.
        listed = self._store.list(CONVICTION_KIND, may_be_stale=True)
        if isinstance(listed, Failure):
            self._record("read", listed.failure().value)
            self._timers.schedule(self, RETRY_DELAY_S, _Read())
            return
        now = self._crashes.wall_clock()
        for item in listed.unwrap().items[:MAX_LISTED]:
            crashes = decode_crashes(item.document, now)
            try:
                part = checked_key(item.name)
            except ValueError:
                crashes = None
            if crashes is None:
                self.metrics.count("malformed_entries_total", kind="conviction")
                self._log.notable("conviction_malformed", name=item.name[:40])
                continue
            self._stored.add(part)
            self._crashes.restore(part, crashes)
        self._record("read", "done")

    def _on_check(self, _: _Check) -> None:
        convicted = self._crashes.convicted()
        if convicted.keys() == self._stored or clock.now() < self._retry_at:
            return
        alive = [i for i, m in self._members().items() if m.state is MemberState.ALIVE]
        alive.append(self._own_id)
        for part in convicted.keys() - self._stored:
            if first_ranked(part, alive) != self._own_id:
                continue
            document = encode_crashes(convicted[part])
            created = self._store.create(CONVICTION_KIND, part, document)
            if not self._is_done("create", created, StoreFailure.CONFLICT):
                return
            self._stored.add(part)
        for part in self._stored - convicted.keys():
            if first_ranked(part, alive) == self._own_id:
                deleted = self._store.delete(CONVICTION_KIND, part)
                if not self._is_done("delete", deleted, StoreFailure.NOT_FOUND):
                    return
            self._stored.discard(part)

    def _is_done(self, call: str, result: Any, expected: StoreFailure) -> bool:
        """Records the outcome of a call; an expected failure shows that nothing is left to do."""
        if not isinstance(result, Failure):
            self._record(call, "done")
            return True
        self._record(call, result.failure().value)
        if result.failure() is expected:
            return True
        self._retry_at = clock.now() + RETRY_DELAY_S
        return False

    def _record(self, call: str, outcome: str) -> None:
        self.metrics.count("conviction_calls_total", call=call, outcome=outcome)
        self._log.notable("conviction_call", call=call, outcome=outcome)


def encode_crashes(crashes: Iterable[PastCrash]) -> dict[str, object]:
    """Returns the stored form of the evidence against a part."""
    return {
        "crashes": [
            [crash.process, int(crash.at * 1e6), max(0, int((crash.at - crash.last_sent_at) * 1e6))]
            for crash in crashes
        ]
    }


def decode_crashes(document: object, now: float) -> list[PastCrash] | None:
    """Decodes stored evidence; returns None if it is malformed.

    Args:
        document: The stored document.
        now: Unix seconds; no crash is later.
    """
    try:
        entries: Any = document["crashes"]  # type: ignore[index]
        if not isinstance(entries, list) or len(entries) > MAX_STORED_CRASHES:
            return None
        crashes = []
        for process, at_us, alive_us in entries:
            at = min(checked_number(at_us, int((now + RECORD_TTL_S) * 1e6)) / 1e6, now)
            alive_s = checked_number(alive_us, int(RECORD_TTL_S * 1e6)) / 1e6
            crashes.append(PastCrash(checked_key(process), at, at - alive_s))
        return crashes
    except (KeyError, TypeError, ValueError):
        return None
