"""Keeps the configuration of this router up to date."""

from __future__ import annotations

import random
import time
from concurrent.futures import ThreadPoolExecutor
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
from sequoiadrum.platform_client import PlatformFailure
from sequoiadrum.tasks import Task

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.interfaces import FleetLink
    from sequoiadrum.messages import Address, Member
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.peer_client import PeerClient, PeerFailure
    from sequoiadrum.platform_client import PlatformClient, StoredObject
    from sequoiadrum.timers import TimerService

WATCHERS: Final = 3
"""Routers that watch the platform: one may be lost and one cut off without any delay."""
ISOLATED_AFTER_S: Final = 3.0
"""Without news for this long, a change may have been accepted that is due here within 4 s."""
_TICK_S: Final = 0.25
_WATCH_S: Final = 10.0
_MAX_BACKOFF_S: Final = 5.0
_QUIET_S: Final = 1.0
"""Without a datagram for this long, the platform is asked for a sign of life."""
_ANTI_ENTROPY_S: Final = 60.0
"""A router that had no platform answer for this long reads the log, in case all watchers fail."""
_PULL_TIMEOUT_S: Final = 3.0
_JOIN_S: Final = 1.0
"""Time to join before a starting router takes itself for alone."""
_BUCKET_WAIT_S: Final = 15.0
"""How long a starting router waits for peers that read the buckets."""
_STARTUP_PEERS: Final = 3
"""Peers whose configuration a router compares when it starts without the platform."""

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
    """Watches the configuration log, or pulls changes from peers that have them."""

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
        self._created = time.monotonic()
        self._loaded = False
        self._behind_since: float | None = None
        self._platform_ok: float | None = None
        self._platform_failed = False
        self._version = 0
        self._reading = False
        self._watching = False
        self._pulling: set[Address] = set()
        self._loading = False
        self._waiting_log: ConfigLog | None = None
        self._next_read = 0.0
        self._backoff_s = 0.5
        self._answered_by_peer: dict[Address, bool] = {}
        self._ranked: tuple[object, bool] = (None, True)
        self._pool = ThreadPoolExecutor(6, thread_name_prefix="config-io")
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
        """Starts the task and its ticks."""
        self.start()
        self.post(_Tick())
        timers.subscribe(self, _TICK_S, _Tick())

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ends; a waiting watch is abandoned."""
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
        if behind is not None and now - behind > ISOLATED_AFTER_S:
            detail = "a newer configuration is in force and cannot be fetched"
            return Refusal(RefusalReason.ISOLATED, detail, 1_000)
        heard = self._link.last_contact_at()
        if heard is None or now - max(heard, self._platform_ok or 0.0) <= ISOLATED_AFTER_S:
            return None
        detail = "neither the platform nor any other router answers"
        return Refusal(RefusalReason.ISOLATED, detail, 1_000)

    def accept(self, log: ConfigLog, version: int) -> None:
        """Takes a log that this router wrote or read while writing."""
        self.post(_Accepted(log, version))

    def fetch_config(self, since_revision: int) -> ConfigUpdate:
        """Answers `Peer.fetch_config`; revision -1 while nothing is loaded."""
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
        if not self._loaded and (self._platform_failed or self._waiting_log is not None):
            self._ask_peers()
        if self._behind_since is not None and not self._pulling:
            self._pull_from_any()

    def _should_watch(self) -> bool:
        return self._loaded and self._is_watcher()

    def _is_watcher(self) -> bool:
        members = self._link.members()
        if self._ranked[0] is not members:
            usable = [m.id for m in members.values() if m.is_usable]
            chosen = rank("config-watch", usable)[:WATCHERS]
            self._ranked = (members, self._link.self_id() in chosen)
        return self._ranked[1]

    def _needs_read(self, now: float) -> bool:
        if not self._loaded:
            return True
        since_platform = now - (self._platform_ok or 0.0)
        heard = self._link.last_contact_at()
        quiet = heard is not None and now - heard > _QUIET_S
        return since_platform > (_QUIET_S if quiet else _ANTI_ENTROPY_S)

    def _depends_on_platform(self, now: float) -> bool:
        heard = self._link.last_contact_at()
        return heard is None or now - heard > _QUIET_S or not self._loaded or self._should_watch()

    def _watch(self, now: float) -> None:
        if self._watching:
            # A long watch is no sign of life; ask besides it when the peers are silent.
            if now >= self._next_read and self._needs_read(now):
                self._read(now)
            return
        if now < self._next_read:
            return
        self._watching = True
        version = self._version
        self._submit(
            lambda: _LogRead(self._platform.watch(CONFIG_LOG_NAME, version, _WATCH_S), True)
        )

    def _read(self, now: float) -> None:
        if self._reading:
            return
        self._reading = True
        self._next_read = now + _QUIET_S
        self._submit(lambda: _LogRead(self._platform.get(CONFIG_LOG_NAME), False))

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
            limit_s = _MAX_BACKOFF_S if self._depends_on_platform(now) else _ANTI_ENTROPY_S
            self._backoff_s = min(2 * self._backoff_s, limit_s)
            return
        self._platform_ok = now
        self._platform_failed = False
        self._backoff_s = 0.5
        if isinstance(result, Failure):
            self._version = 0
            self._finish_loading(now)
        elif (stored := result.unwrap()) is not None:
            self._take_stored(stored)
        if message.watched and self._should_watch():
            self._watch(now)

    def _take_stored(self, stored: StoredObject) -> None:
        try:
            log = ConfigLog.decode(stored.value)
        except ValueError:
            _log.error("config_log_unreadable", version=stored.version)
            self.metrics.count("config_log_unreadable_total")
            self._next_read = time.monotonic() + _QUIET_S
            return
        self._take_log(log, stored.version)

    def _on_accepted(self, message: _Accepted) -> None:
        self._take_log(message.log, message.version)

    def _take_log(self, log: ConfigLog, version: int) -> None:
        if version > self._version:
            self._version = version
        if log.base_revision <= self.current().revision:
            self._waiting_log = None
            self._advanced(self._history.extend(log.changes))
            self._finish_loading(time.monotonic())
            return
        # The buckets are up to 256 reads for each router, so peers are asked first.
        self._waiting_log = log
        if self._loaded:
            self._mark_behind()

    def _may_load_buckets(self) -> bool:
        """Lets a few routers read the buckets first when a whole fleet starts."""
        age = time.monotonic() - self._created
        return age > (_JOIN_S if self._is_watcher() else _BUCKET_WAIT_S)

    def _load_buckets(self, log: ConfigLog) -> None:
        if self._loading:
            return
        self._loading = True
        state = self.current()
        self._submit(lambda: _Loaded(load(self._platform, state, log)))

    def _on_loaded(self, message: _Loaded) -> None:
        self._loading = False
        if isinstance(message.result, Success):
            self._advanced(self._history.replace(message.result.unwrap()))
            self._waiting_log = None
            self._finish_loading(time.monotonic())
        else:
            self._waiting_log = None
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

    def _others(self) -> list[Member]:
        own = self._link.self_id()
        return [m for m in self._link.members().values() if m.is_usable and m.id != own]

    def _highest_heard(self) -> int:
        return max((m.config_revision for m in self._others()), default=0)

    def _pull_from_any(self) -> None:
        revision = self.current().revision
        ahead = [m for m in self._others() if m.config_revision > revision]
        if ahead:
            self._pull(random.choice(ahead).peer_address)
        elif self._waiting_log is not None:
            self._load_buckets(self._waiting_log)
        else:
            self._behind_since = None

    def _ask_peers(self) -> None:
        """Asks a few peers at start-up; after all have failed, begins again."""
        if self._pulling:
            return
        others = [m.peer_address for m in self._others()]
        answered = sum(self._answered_by_peer.values())
        rest = [a for a in others if a not in self._answered_by_peer]
        for address in random.sample(rest, min(len(rest), max(0, _STARTUP_PEERS - answered))):
            self._pull(address)
        if self._pulling:
            return
        if not answered:
            self._answered_by_peer.clear()
            if self._waiting_log is not None and self._may_load_buckets():
                self._load_buckets(self._waiting_log)
        elif self.current().revision < self._highest_heard():
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
            )
        )

    def _on_pulled(self, message: _Pulled) -> None:
        self._pulling.discard(message.peer)
        before = self.current().revision
        took = isinstance(message.result, Success) and self._take_update(message.result.unwrap())
        if not self._loaded:
            self._answered_by_peer[message.peer] = took
        waiting = self._waiting_log
        if waiting is not None and waiting.base_revision <= self.current().revision:
            self._take_log(waiting, 0)
        if self._behind_since is not None and not self._pulling:
            if self._highest_heard() <= self.current().revision and self._waiting_log is None:
                self._behind_since = None
            elif self.current().revision > before:
                # Without progress the next tick tries again.
                self._pull_from_any()

    def _take_update(self, update: ConfigUpdate) -> bool:
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
                self._advanced(self._history.replace(state))
            else:
                self._advanced(self._history.extend(changes))
        return True

    # State

    def _advanced(self, advanced: bool) -> None:
        if not advanced:
            return
        state = self.current()
        self._link.announce_revision(state.revision)
        if self._behind_since is not None and self._highest_heard() <= state.revision:
            self._behind_since = None
        _log.info("config_applied", revision=state.revision)

    def _finish_loading(self, now: float) -> None:
        if not self._loaded:
            self._loaded = True
            self._next_read = now
            _log.info("config_loaded", revision=self.current().revision)

    def _submit(self, work: Callable[[], object]) -> None:
        self._pool.submit(lambda: self.post(work()))
