"""Task that keeps the configuration of this router up to date.

A few routers watch the configuration log on the platform; the others pull changes from peers.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any, Final

import structlog
from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._config_codec import pack, unpack
from sequoiadrum._config_history import ConfigHistory
from sequoiadrum._gen.peer.ttypes import ConfigUpdate
from sequoiadrum.config_compactor import CONFIG_LOG_NAME
from sequoiadrum.config_loader import load
from sequoiadrum.configuration import ConfigLog, ConfigState
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import rank
from sequoiadrum.interfaces import ConfigSource
from sequoiadrum.messages import RevisionReceived
from sequoiadrum.peer_client import PeerFailure
from sequoiadrum.platform_client import PlatformFailure
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.configuration import Change
    from sequoiadrum.membership_interfaces import FleetLink
    from sequoiadrum.messages import Address, Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient
    from sequoiadrum.platform_client import PlatformClient, StoredObject
    from sequoiadrum.timers import TimerService

WATCHER_COUNT: Final = 3
"""Routers that watch the platform; one may fail and another be partitioned without any delay."""
ISOLATION_TIMEOUT_S: Final = 3.0
"""A router that is out of contact, or behind its peers, for longer refuses requests.

An accepted change is due on every router within 4 s, and such a router may lack one.
"""
_TICK_INTERVAL_S: Final = 0.25
_WATCH_TIMEOUT_S: Final = 10.0
_MAX_BACKOFF_S: Final = 5.0
_CONTACT_TIMEOUT_S: Final = 1.0
"""After this long without a datagram from a peer, the log is read to test the platform.

Also the shortest time between two such reads.
"""
_ANTI_ENTROPY_INTERVAL_S: Final = 60.0
"""A router without a platform response for this long reads the log, in case all watchers fail."""
_PULL_TIMEOUT_S: Final = 3.0
_JOIN_PERIOD_S: Final = 1.0
"""Time that a starting router has to join before its list of members counts as complete."""
_BUCKET_READ_DELAY_S: Final = 15.0
"""Time for which a starting router that is not a watcher leaves reading the buckets to peers."""
_MAX_STARTUP_PEERS: Final = 3
"""Peers whose configurations a starting router compares if it cannot load from the log alone.

That is the case if the platform is unreachable or the log refers to buckets not yet read.
"""

_log = structlog.get_logger(__name__)


@frozen
class _Tick:
    pass


@frozen
class _LogRead:
    result: Result[StoredObject | None, PlatformFailure]
    watched: bool


@frozen
class _Pulled:
    peer: Address
    result: Result[ConfigUpdate, PeerFailure]


@frozen
class _Loaded:
    result: Result[ConfigState, PlatformFailure]


@frozen
class _Accepted:
    log: ConfigLog
    version: int


class ConfigTask(Task, ConfigSource):
    """Watches the configuration log, or pulls changes from peers with newer revisions."""

    def __init__(
        self,
        platform: PlatformClient,
        link: FleetLink,
        peers: PeerClient,
        metrics: Metrics,
        on_invariant: Callable[[], None],
    ) -> None:
        super().__init__("config", metrics, on_invariant)
        self._platform = platform
        self._link = link
        self._peers = peers
        self._history = ConfigHistory()
        self._created_at = time.monotonic()
        self._loaded = False
        self._on_lost_changes: Callable[[], object] = lambda: None
        self._behind_since: float | None = None
        self._platform_contact_at: float | None = None
        self._platform_failed = False
        self._version = 0
        self._reading = False
        self._watching = False
        self._pulling: set[Address] = set()
        self._loading = False
        self._pending_log: ConfigLog | None = None
        self._next_read = 0.0
        self._backoff_s = 0.5
        self._has_config_by_peer: dict[Address, bool] = {}
        self._watcher_cache: tuple[object, bool] = (None, True)
        self._pool = ReportingExecutor(6, "config-io", metrics)
        metrics.gauge("config_revision", lambda: float(self.current().revision))
        link.subscribe_revisions(self)

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {
            _Tick: self._on_tick,
            _LogRead: self._on_log_read,
            _Pulled: self._on_pulled,
            _Loaded: self._on_loaded,
            _Accepted: self._on_accepted,
            RevisionReceived: self._on_revision,
        }

    def run_on(self, timers: TimerService) -> None:
        """Starts the task and subscribes it to periodic ticks."""
        self.start()
        self.post(_Tick())
        timers.subscribe(self, _TICK_INTERVAL_S, _Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the task; a watch in progress is abandoned."""
        super().stop(timeout_s)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def current(self) -> ConfigState:
        """See `ConfigSource.current`."""
        return self._history.state

    def refusal(self) -> Refusal | None:
        """See `ConfigSource.refusal`."""
        if not self._loaded:
            return Refusal(RefusalReason.NOT_READY, "the configuration is not loaded yet", 500)
        now = time.monotonic()
        behind = self._behind_since
        if behind is not None and now - behind > ISOLATION_TIMEOUT_S:
            detail = "a newer configuration is in force and cannot be fetched"
            return Refusal(RefusalReason.ISOLATED, detail, 1_000)
        contact_at = self._link.last_contact_at()
        if (
            contact_at is None
            or now - max(contact_at, self._platform_contact_at or 0.0) <= ISOLATION_TIMEOUT_S
        ):
            return None
        detail = "neither the platform nor any other router answers"
        return Refusal(RefusalReason.ISOLATED, detail, 1_000)

    def accept(self, log: ConfigLog, version: int) -> None:
        """Applies a log that this router's writer wrote or read; may be called from any thread."""
        self.post(_Accepted(log, version))

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Returns the changes above a revision, or None if they are not all retained."""
        return self._history.changes_since(revision)

    def subscribe_lost_changes(self, on_lost: Callable[[], object]) -> None:
        """Sets what is called when the log may lack changes; must be called before the start.

        Args:
            on_lost: Called by this task when the platform shows an older log than is in force, as
                it does after it was restored from a copy; must not block.
        """
        self._on_lost_changes = on_lost

    def fetch_config(self, since_revision: int) -> ConfigUpdate:
        """Returns the reply to `Peer.fetch_config`; revision -1 if no configuration is loaded."""
        if not self._loaded:
            return ConfigUpdate(revision=-1, snapshot=False, payload=pack(()))
        return self._history.update_since(since_revision)

    # Platform

    def _on_tick(self, _: _Tick) -> None:
        now = time.monotonic()
        if self._should_watch():
            self._watch(now)
        elif now >= self._next_read and self._needs_read(now):
            self._read(now)
        if not self._loaded and (self._platform_failed or self._pending_log is not None):
            self._pull_at_startup()
        if self._behind_since is not None and not self._pulling:
            self._pull_from_any()

    def _should_watch(self) -> bool:
        return self._loaded and self._is_watcher()

    def _is_watcher(self) -> bool:
        members = self._link.members()
        if self._watcher_cache[0] is not members:
            usable_ids = [m.id for m in members.values() if m.is_usable]
            watcher_ids = rank("config-watch", usable_ids)[:WATCHER_COUNT]
            self._watcher_cache = (members, self._link.self_id() in watcher_ids)
        return self._watcher_cache[1]

    def _needs_read(self, now: float) -> bool:
        if not self._loaded:
            return True
        since_platform = now - (self._platform_contact_at or 0.0)
        contact_at = self._link.last_contact_at()
        is_out_of_contact = contact_at is not None and now - contact_at > _CONTACT_TIMEOUT_S
        return since_platform > (
            _CONTACT_TIMEOUT_S if is_out_of_contact else _ANTI_ENTROPY_INTERVAL_S
        )

    def _depends_on_platform(self, now: float) -> bool:
        contact_at = self._link.last_contact_at()
        return (
            contact_at is None
            or now - contact_at > _CONTACT_TIMEOUT_S
            or not self._loaded
            or self._should_watch()
        )

    def _watch(self, now: float) -> None:
        if self._watching:
            # A pending watch does not show that the platform is reachable, so the log is also read
            # if no peer has been in contact.
            if now >= self._next_read and self._needs_read(now):
                self._read(now)
            return
        if now < self._next_read:
            return
        self._watching = True
        version = self._version
        self._submit(
            lambda: _LogRead(
                self._platform.watch(CONFIG_LOG_NAME, version, _WATCH_TIMEOUT_S), True
            ),
            _LogRead(Failure(PlatformFailure.UNKNOWN), True),
        )

    def _read(self, now: float) -> None:
        if self._reading:
            return
        self._reading = True
        self._next_read = now + _CONTACT_TIMEOUT_S
        self._submit(
            lambda: _LogRead(self._platform.get(CONFIG_LOG_NAME), False),
            _LogRead(Failure(PlatformFailure.UNKNOWN), False),
        )

    def _on_log_read(self, message: _LogRead) -> None:
        now = time.monotonic()
        if message.watched:
            self._watching = False
        else:
            self._reading = False
        result = message.result
        if isinstance(result, Failure) and result.failure() is not PlatformFailure.NOT_FOUND:
            self._platform_failed = True
            self._next_read = now + self._backoff_s * (0.5 + random.random())
            limit_s = _MAX_BACKOFF_S if self._depends_on_platform(now) else _ANTI_ENTROPY_INTERVAL_S
            self._backoff_s = min(2 * self._backoff_s, limit_s)
            return
        self._platform_contact_at = now
        self._platform_failed = False
        self._backoff_s = 0.5
        if isinstance(result, Failure):
            self._version = 0
            self._finish_loading(now)
            if self.current().revision > 0:
                self._on_lost_changes()
        elif (stored := result.unwrap()) is not None:
            self._apply_stored(stored)
        if message.watched and self._should_watch():
            self._watch(now)

    def _apply_stored(self, stored: StoredObject) -> None:
        try:
            log = ConfigLog.decode(stored.value)
        except ValueError:
            _log.error("config_log_unreadable", version=stored.version)
            self.metrics.count("config_log_unreadable_total")
            self._next_read = time.monotonic() + _CONTACT_TIMEOUT_S
            return
        # Also a lower version, which a platform shows that was restored from a copy: a watch from
        # the higher one would return at once, again and again.
        self._version = stored.version
        self._apply_log(log, stored.version)
        if self._loaded and log.revision < self.current().revision:
            self._on_lost_changes()

    def _on_accepted(self, message: _Accepted) -> None:
        self._apply_log(message.log, message.version)

    def _apply_log(self, log: ConfigLog, version: int) -> None:
        if version > self._version:
            self._version = version
        if log.base_revision <= self.current().revision:
            self._pending_log = None
            self._announce_if_advanced(self._history.extend(log.changes))
            self._finish_loading(time.monotonic())
            return
        # Loading the buckets takes up to 256 reads per router, so peers are asked first.
        self._pending_log = log
        if self._loaded:
            self._mark_behind()

    def _may_read_buckets(self) -> bool:
        """Whether this router may read the buckets; in a starting fleet, watchers do so first."""
        age = time.monotonic() - self._created_at
        return age > (_JOIN_PERIOD_S if self._is_watcher() else _BUCKET_READ_DELAY_S)

    def _load_buckets(self, log: ConfigLog) -> None:
        if self._loading:
            return
        self._loading = True
        state = self.current()
        self._submit(
            lambda: _Loaded(load(self._platform, state, log)),
            _Loaded(Failure(PlatformFailure.UNKNOWN)),
        )

    def _on_loaded(self, message: _Loaded) -> None:
        self._loading = False
        if isinstance(message.result, Success):
            self._announce_if_advanced(self._history.replace(message.result.unwrap()))
            self._pending_log = None
            self._finish_loading(time.monotonic())
        else:
            self._pending_log = None
            self._version = 0

    # Peers

    def _on_revision(self, message: RevisionReceived) -> None:
        if message.revision <= self.current().revision or not self._loaded:
            return
        self._mark_behind()
        if not self._pulling:
            self._pull(message.address)

    def _mark_behind(self) -> None:
        if self._behind_since is None:
            self._behind_since = time.monotonic()

    def _other_members(self) -> list[Member]:
        own_id = self._link.self_id()
        return [m for m in self._link.members().values() if m.is_usable and m.id != own_id]

    def _highest_peer_revision(self) -> int:
        return max((m.config_revision for m in self._other_members()), default=0)

    def _pull_from_any(self) -> None:
        revision = self.current().revision
        ahead = [m for m in self._other_members() if m.config_revision > revision]
        if ahead:
            self._pull(random.choice(ahead).peer_address)
        elif self._pending_log is not None:
            self._load_buckets(self._pending_log)
        else:
            self._behind_since = None

    def _pull_at_startup(self) -> None:
        """Pulls from a few peers at startup; after all peers have failed, starts over."""
        if self._pulling:
            return
        addresses = [m.peer_address for m in self._other_members()]
        usable_replies = sum(self._has_config_by_peer.values())
        untried = [a for a in addresses if a not in self._has_config_by_peer]
        for address in random.sample(
            untried, min(len(untried), max(0, _MAX_STARTUP_PEERS - usable_replies))
        ):
            self._pull(address)
        if self._pulling:
            return
        if not usable_replies:
            self._has_config_by_peer.clear()
            if self._pending_log is not None and self._may_read_buckets():
                self._load_buckets(self._pending_log)
        elif self.current().revision < self._highest_peer_revision():
            self._pull_from_any()
        else:
            self._finish_loading(time.monotonic())

    def _pull(self, address: Address) -> None:
        self._pulling.add(address)
        since = self.current().revision
        self._submit(
            lambda: _Pulled(
                address,
                self._peers.call(address, lambda c: c.fetch_config(since), _PULL_TIMEOUT_S),
            ),
            _Pulled(address, Failure(PeerFailure.BROKEN)),
        )

    def _on_pulled(self, message: _Pulled) -> None:
        self._pulling.discard(message.peer)
        before = self.current().revision
        is_usable_reply = isinstance(message.result, Success) and self._apply_update(
            message.result.unwrap()
        )
        if not self._loaded:
            self._has_config_by_peer[message.peer] = is_usable_reply
        pending_log = self._pending_log
        if pending_log is not None and pending_log.base_revision <= self.current().revision:
            self._apply_log(pending_log, 0)
        if self._behind_since is not None and not self._pulling:
            if (
                self._highest_peer_revision() <= self.current().revision
                and self._pending_log is None
            ):
                self._behind_since = None
            elif self.current().revision > before:
                # Without progress, only the next tick retries.
                self._pull_from_any()

    def _apply_update(self, update: ConfigUpdate) -> bool:
        if update.revision is None or update.revision < 0:
            return False
        try:
            changes = unpack(update.payload)
        except ValueError:
            self.metrics.count("config_update_unreadable_total")
            return False
        if update.revision > self.current().revision:
            if update.snapshot:
                state = ConfigState.from_snapshot(changes, update.revision)
                self._announce_if_advanced(self._history.replace(state))
            else:
                self._announce_if_advanced(self._history.extend(changes))
        return True

    # State

    def _announce_if_advanced(self, advanced: bool) -> None:
        if not advanced:
            return
        state = self.current()
        self._link.announce_revision(state.revision)
        if self._behind_since is not None and self._highest_peer_revision() <= state.revision:
            self._behind_since = None
        _log.info("config_applied", revision=state.revision)

    def _finish_loading(self, now: float) -> None:
        if not self._loaded:
            self._loaded = True
            self._next_read = now
            _log.info("config_loaded", revision=self.current().revision)

    def _submit(self, work: Callable[[], object], failed: object) -> None:
        """Runs a blocking job and posts its result.

        Args:
            work: The job.
            failed: Posted if the job raises: the task waits for each result that it requested.
        """
        self._pool.submit(self._run_job, work, failed)

    def _run_job(self, work: Callable[[], object], failed: object) -> None:
        result = failed
        try:
            result = work()
        finally:
            self.post(result)
