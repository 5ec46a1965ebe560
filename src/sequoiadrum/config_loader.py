"""Builds the configuration state from the log and the buckets in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from sequoiadrum._config_codec import bucket_name, bucket_of, decode_changes
from sequoiadrum.configuration import ConfigState
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from sequoiadrum.configuration import Change, ConfigLog
    from sequoiadrum.platform_client import PlatformClient


def load(
    platform: PlatformClient, state: ConfigState, log: ConfigLog
) -> Result[ConfigState, PlatformFailure]:
    """Advances a state to a log; reads the buckets that changed after the state's revision.

    Returns:
        The state, never older than the given one. `NOT_FOUND` means that another compaction has
        replaced a bucket since the log was read; the caller must read the log again.
    """
    if state.revision >= log.base_revision:
        return Success(state.apply(log.changes))
    newer_buckets = {int(b): r for b, r in log.bucket_revisions.items() if r > state.revision}
    kept: list[Change] = [
        change
        for change in state.changes_by_key.values()
        if bucket_of(change.kind, change.name) not in newer_buckets
    ]
    for bucket, revision in newer_buckets.items():
        stored = platform.get(bucket_name(bucket, revision))
        if isinstance(stored, Failure):
            return stored
        try:
            kept.extend(decode_changes(stored.unwrap().value))
        except ValueError:
            return Failure(PlatformFailure.UNKNOWN)
    base_state = ConfigState.from_snapshot(kept, log.base_revision)
    return Success(base_state.apply(log.changes))
