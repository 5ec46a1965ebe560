"""Accepts configuration changes by appending them to the log with conditional writes."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING, Final
from uuid import uuid4

import structlog
from attrs import define, evolve
from returns.result import Failure, Result, Success

from sequoiadrum.config_compactor import CONFIG_LOG_NAME, LOG_LIMIT_BYTES, compact
from sequoiadrum.config_loader import load
from sequoiadrum.configuration import (
    Change,
    ChangeConflict,
    ChangeRequest,
    ConfigLog,
    ConfigState,
    InvalidChange,
)
from sequoiadrum.interfaces import ConfigOutcomeUnknown, ConfigUnavailable, ConfigWriter
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from sequoiadrum.metrics import Metrics
    from sequoiadrum.platform_client import PlatformClient

Outcome = Result[Change, ChangeConflict | InvalidChange | ConfigUnavailable | ConfigOutcomeUnknown]

_MAX_ATTEMPTS: Final = 12
"""Attempts to write one change; each lost race means that another change was accepted."""
_MAX_UNCERTAIN_READS: Final = 4
_RETRY_DELAY_S: Final = 0.05

_log = structlog.get_logger(__name__)


@define(eq=False)
class _WriteAttempt:
    """A change request and what is known about the writes made for it."""

    request: ChangeRequest
    uncertain_version: int | None = None
    """Log version that a write whose response was lost may still replace; None if there is none."""
    uncertain_revision: int = 0
    """Revision of the change if the write with the lost response took effect."""


class PlatformConfigWriter(ConfigWriter):
    """Appends changes to the log, with one write of this router at a time."""

    def __init__(
        self,
        platform: PlatformClient,
        current: Callable[[], ConfigState],
        changes_since: Callable[[int], tuple[Change, ...] | None],
        accepted: Callable[[ConfigLog, int], None],
        metrics: Metrics,
        compactions: Executor,
    ) -> None:
        """Initializes the writer.

        Args:
            platform: Client of the store that holds the log.
            current: Returns the newest applied state.
            changes_since: Returns the applied changes above a revision, or None if they are not all
                known any more.
            accepted: Called with the log and its version after each accepted change.
            metrics: Counts outcomes.
            compactions: Runs compactions of the log.
        """
        self._platform = platform
        self._current = current
        self._changes_since = changes_since
        self._accepted = accepted
        self._metrics = metrics
        self._compactions = compactions
        self._lock = threading.Lock()

    def submit(self, request: ChangeRequest) -> Outcome:
        """See `ConfigWriter.submit`."""
        # Concurrent writes of one router would only conflict with each other.
        with self._lock:
            outcome = self._write_with_retries(_WriteAttempt(request))
        value = "accepted" if isinstance(outcome, Success) else type(outcome.failure()).__name__
        self._metrics.count("config_changes_total", outcome=value)
        return outcome

    def restore_lost_changes(self) -> None:
        """Appends the accepted changes that the log lacks since the platform was restored.

        A failure is left to the next call.
        """
        with self._lock:
            for _ in range(_MAX_ATTEMPTS):
                read = self._platform.get(CONFIG_LOG_NAME)
                stored = read.value_or(None)
                if stored is None and read != Failure(PlatformFailure.NOT_FOUND):
                    return
                try:
                    log = ConfigLog.decode(stored.value) if stored is not None else ConfigLog()
                except ValueError:
                    return
                restored = self._with_lost_changes(log)
                if restored is log:
                    return
                version = stored.version if stored is not None else 0
                written = self._platform.put(CONFIG_LOG_NAME, restored.encode(), version)
                if isinstance(written, Success):
                    return
                if written.failure() not in (PlatformFailure.CONFLICT, PlatformFailure.UNKNOWN):
                    return

    def _with_lost_changes(self, log: ConfigLog) -> ConfigLog:
        """Returns the log with the changes that were applied here and that it lacks.

        Only valid for a log whose version the write expects: a log that was read before another
        write would lack that change as well.
        """
        lost = self._changes_since(log.revision)
        if not lost:
            return log
        self._metrics.count("config_changes_restored_total", amount=len(lost))
        _log.warning("config_changes_restored", revisions=[change.revision for change in lost])
        return evolve(log, changes=(*log.changes, *lost), write_id=uuid4().hex)

    def _write_with_retries(self, attempt: _WriteAttempt) -> Outcome:
        for number in range(_MAX_ATTEMPTS):
            if number:
                time.sleep(_RETRY_DELAY_S * random.random() * min(number, 4))
            outcome = self._attempt_write(attempt)
            if outcome is not None:
                return outcome
        return self._fail(attempt, "too many concurrent changes")

    def _attempt_write(self, attempt: _WriteAttempt) -> Outcome | None:
        """Makes one attempt; returns None if another attempt is needed."""
        read = self._read(attempt)
        if isinstance(read, Failure):
            return self._fail(attempt, read.failure().value)
        log, version = read.unwrap()
        restored = self._with_lost_changes(log)
        if restored is not log:
            # Only a stored log proves that a change is accepted, so it is written and read first.
            self._platform.put(CONFIG_LOG_NAME, restored.encode(), version)
            return None
        request = attempt.request
        accepted_before = next((c for c in log.changes if c.change_id == request.change_id), None)
        if accepted_before is not None:
            self._accepted(log, version)
            return Success(accepted_before)
        loaded = load(self._platform, self._current(), log)
        if isinstance(loaded, Failure):
            is_replaced = loaded.failure() is PlatformFailure.NOT_FOUND
            return None if is_replaced else self._fail(attempt, loaded.failure().value)
        state = loaded.unwrap()
        if state.revision != log.revision:
            # The state is newer than the log that was read, so the log must be read again.
            return None
        if attempt.uncertain_version not in (None, version):
            if log.base_revision >= attempt.uncertain_revision:
                return self._resolve_compacted(attempt, state)
            # Another write replaced this version and its log lacks the change: the write with the
            # lost response had no effect and can have none any more.
            attempt.uncertain_version = None
        decided = state.decide(request)
        if isinstance(decided, Failure):
            return Failure(decided.failure())
        change = decided.unwrap()
        if change.revision <= state.revision:
            return Success(change)
        return self._append(attempt, log, version, change)

    def _append(
        self, attempt: _WriteAttempt, log: ConfigLog, version: int, change: Change
    ) -> Outcome | None:
        updated = evolve(log, changes=(*log.changes, change), write_id=uuid4().hex)
        value = updated.encode()
        written = self._platform.put(CONFIG_LOG_NAME, value, version)
        if isinstance(written, Success):
            self._accepted(updated, written.unwrap().version)
            if len(value) > LOG_LIMIT_BYTES:
                self._compactions.submit(self._compact)
            return Success(change)
        failure = written.failure()
        if failure is PlatformFailure.UNKNOWN:
            attempt.uncertain_version = version
            attempt.uncertain_revision = change.revision
            return None
        if failure is PlatformFailure.CONFLICT:
            return None
        if failure is PlatformFailure.TOO_LARGE:
            self._compact()
            return None
        return self._fail(attempt, failure.value)

    def _read(self, attempt: _WriteAttempt) -> Result[tuple[ConfigLog, int], PlatformFailure]:
        """Reads the log; retries if the outcome of an earlier write depends on the read."""
        max_reads = _MAX_UNCERTAIN_READS if attempt.uncertain_version is not None else 1
        failure = PlatformFailure.UNKNOWN
        for number in range(max_reads):
            if number:
                time.sleep(_RETRY_DELAY_S * 2**number)
            read = self._platform.get(CONFIG_LOG_NAME)
            if isinstance(read, Success):
                stored = read.unwrap()
                try:
                    return Success((ConfigLog.decode(stored.value), stored.version))
                except ValueError:
                    _log.error("config_log_unreadable", version=stored.version)
                    return Failure(PlatformFailure.UNKNOWN)
            failure = read.failure()
            if failure is PlatformFailure.NOT_FOUND:
                return Success((ConfigLog(), 0))
        return Failure(failure)

    def _resolve_compacted(self, attempt: _WriteAttempt, state: ConfigState) -> Outcome:
        """Determines the outcome from the objects if compaction may have moved the change."""
        request = attempt.request
        found = state.changes_by_key.get((request.kind, request.name))
        if found is not None and found.change_id == request.change_id:
            return Success(found)
        return Failure(ConfigOutcomeUnknown(request.change_id))

    def _fail(self, attempt: _WriteAttempt, detail: str) -> Outcome:
        if attempt.uncertain_version is not None:
            return Failure(ConfigOutcomeUnknown(attempt.request.change_id))
        return Failure(ConfigUnavailable(detail))

    def _compact(self) -> None:
        if compact(self._platform, self._current()):
            self._metrics.count("config_compactions_total")
