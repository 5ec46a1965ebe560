"""Measures the configuration state with 31,000 accounts and 10,000 endpoints.

Usage: `PYTHONPATH=src python tools/bench_config.py`.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import Final

from sequoiadrum._config_codec import BUCKETS, bucket_of, encode_changes, pack
from sequoiadrum.configuration import Change, ConfigState, ObjectKind

ACCOUNTS: Final = 31_000
ENDPOINTS: Final = 10_000
APPLY_COUNT: Final = 200


def _initial_changes() -> list[Change]:
    changes = [
        Change(
            n,
            f"operator-{n}",
            ObjectKind.ACCOUNT,
            f"account-{n}",
            {"requests_per_s": n % 90 + 10, "burst": 200},
        )
        for n in range(1, ACCOUNTS + 1)
    ]
    for n in range(ACCOUNTS + 1, ACCOUNTS + ENDPOINTS + 1):
        value = {
            "pool": f"pool-{n % 200}",
            "kind": "engine",
            "host": f"10.1.{n // 250 % 250}.{n % 250}",
            "port": 9000,
            "failure_domain": f"domain-{n % 37}",
        }
        changes.append(Change(n, f"operator-{n}", ObjectKind.ENDPOINT, f"engine-{n}", value))
    return changes


def main() -> None:
    """Prints the memory, update time and encoded sizes of the configuration state."""
    tracemalloc.start()
    state = ConfigState().apply(_initial_changes()[:ACCOUNTS])
    account_bytes = tracemalloc.get_traced_memory()[0]
    state = state.apply(_initial_changes()[ACCOUNTS:])
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    for n in range(APPLY_COUNT):
        revision = state.revision + 1
        value = {"requests_per_s": n + 1}
        state = state.apply(
            [Change(revision, f"c-{n}", ObjectKind.ACCOUNT, f"account-{n + 1}", value)]
        )
    apply_ms = (time.perf_counter() - started) / APPLY_COUNT * 1e3
    started = time.perf_counter()
    packed = pack(state.changes_by_key.values())
    pack_ms = (time.perf_counter() - started) * 1e3
    sizes = [0] * BUCKETS
    for change in state.changes_by_key.values():
        sizes[bucket_of(change.kind, change.name)] += len(encode_changes([change]))
    print(f"# {ACCOUNTS} accounts and {ENDPOINTS} endpoints")
    print(f"memory, traced: accounts {account_bytes / 1e6:.1f} MB", end="")
    print(
        f" ({account_bytes / ACCOUNTS:.0f} bytes each), with endpoints {total_bytes / 1e6:.1f} MB"
    )
    print(
        f"one change applied: {apply_ms:.2f} ms; 55,000 a day: {apply_ms * 0.0637:.3f} % of a core"
    )
    print(f"snapshot for a peer: {len(packed) / 1e6:.2f} MB, built in {pack_ms:.0f} ms")
    print(f"largest of {BUCKETS} buckets: {max(sizes) / 1e3:.1f} KB")


if __name__ == "__main__":
    main()
