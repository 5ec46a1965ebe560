"""Compacts the configuration log by moving its changes into buckets."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final
from uuid import uuid4

from attrs import evolve
from returns.result import Failure

from sequoiadrum._config_codec import bucket_name, bucket_of, encode_changes
from sequoiadrum.config_loader import load
from sequoiadrum.configuration import ConfigLog
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from sequoiadrum.configuration import Change, ConfigState
    from sequoiadrum.platform_client import PlatformClient

LOG_LIMIT_BYTES: Final = 65_536
"""A longer log is compacted, because each watcher reads the complete log at each change."""
CONFIG_LOG_NAME: Final = "config/log"
_MAX_LOG_WRITES: Final = 5


def compact(platform: PlatformClient, state: ConfigState) -> bool:
    """Compacts the log if it is longer than the limit; safe to run concurrently and to interrupt.

    The name of a stored bucket contains the revision, which alone determines the content, so
    concurrent compactions write the same bytes. The conditional write of the log selects the
    compaction that takes effect.

    Returns:
        Whether this compaction replaced the log.
    """
    read = platform.get(CONFIG_LOG_NAME)
    if isinstance(read, Failure) or len(read.unwrap().value) <= LOG_LIMIT_BYTES:
        return False
    try:
        log = ConfigLog.decode(read.unwrap().value)
    except ValueError:
        return False
    loaded = load(platform, state, log)
    if isinstance(loaded, Failure) or loaded.unwrap().revision != log.revision:
        return False
    buckets = _write_buckets(platform, loaded.unwrap(), log)
    if buckets is None:
        return False
    return _replace_log(platform, log, {**log.bucket_revisions, **buckets})


def _write_buckets(
    platform: PlatformClient, state: ConfigState, log: ConfigLog
) -> dict[str, int] | None:
    changed = {bucket_of(change.kind, change.name) for change in log.changes}
    changes_by_bucket: dict[int, list[Change]] = defaultdict(list)
    for change in state.changes_by_key.values():
        bucket = bucket_of(change.kind, change.name)
        if bucket in changed and change.value is not None:
            changes_by_bucket[bucket].append(change)
    for bucket in changed:
        value = encode_changes(changes_by_bucket[bucket])
        written = platform.put(bucket_name(bucket, log.revision), value, 0)
        if isinstance(written, Failure) and not _is_bucket_stored(
            platform, bucket, log.revision, written
        ):
            return None
    return {str(bucket): log.revision for bucket in changed}


def _is_bucket_stored(
    platform: PlatformClient, bucket: int, revision: int, written: Failure[PlatformFailure]
) -> bool:
    if written.failure() is PlatformFailure.CONFLICT:
        return True
    if written.failure() is not PlatformFailure.UNKNOWN:
        return False
    return not isinstance(platform.get(bucket_name(bucket, revision)), Failure)


def _replace_log(platform: PlatformClient, old: ConfigLog, buckets: dict[str, int]) -> bool:
    for _ in range(_MAX_LOG_WRITES):
        read = platform.get(CONFIG_LOG_NAME)
        if isinstance(read, Failure):
            return False
        try:
            found = ConfigLog.decode(read.unwrap().value)
        except ValueError:
            return False
        if found.base_revision != old.base_revision:
            return False
        later_changes = tuple(c for c in found.changes if c.revision > old.revision)
        log = evolve(
            found,
            changes=later_changes,
            base_revision=old.revision,
            bucket_revisions=buckets,
            write_id=uuid4().hex,
        )
        written = platform.put(CONFIG_LOG_NAME, log.encode(), read.unwrap().version)
        if not isinstance(written, Failure):
            _delete_replaced_buckets(platform, old, buckets)
            return True
        if written.failure() is not PlatformFailure.CONFLICT:
            return False
    return False


def _delete_replaced_buckets(
    platform: PlatformClient, old: ConfigLog, buckets: dict[str, int]
) -> None:
    for bucket, revision in old.bucket_revisions.items():
        if buckets[bucket] != revision:
            platform.delete(
                bucket_name(int(bucket), revision), _bucket_version(platform, bucket, revision)
            )


def _bucket_version(platform: PlatformClient, bucket: str, revision: int) -> int:
    read = platform.get(bucket_name(int(bucket), revision))
    return 0 if isinstance(read, Failure) else read.unwrap().version
