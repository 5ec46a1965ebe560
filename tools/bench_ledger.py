"""Measures the platform writes, latency and memory of the ledger.

Usage: `python -m tools.bench_ledger`. The baseline stores one object for each key and needs two
writes per call: the claim and the outcome.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import sys
import tracemalloc
import zlib
from typing import TYPE_CHECKING, Final

from attrs import define, evolve, field
from returns.result import Failure, Success

from sequoiadrum._ledger_codec import (
    Entry,
    EntryState,
    compress,
    decode_segment,
    dump_segment,
    encoded_size,
    key_hash,
)
from sequoiadrum._ledger_index import SegmentIndex
from sequoiadrum._ledger_types import (
    Answered,
    CallKind,
    Dispatch,
    LedgerPolicy,
    ReadObject,
    ShardCall,
    WriteObject,
)
from sequoiadrum.interfaces import KeyedOutcome, KeyedState
from sequoiadrum.ledger import LedgerShard
from sequoiadrum.platform_client import PlatformFailure, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

RATES_PER_S: Final = (10, 100, 1_000)
WINDOWS_S: Final = (0.005, 0.02, 0.1)
SHARDS: Final = (1, 4, 16)
DURATION_S: Final = 10.0
BUDGET_RATES_PER_S: Final = (195, 780, 3_900)
"""Keyed calls/s: 0.5, 2 and 10 % of 39,000 requests/s."""
BUDGET_SIZES: Final = ((16, 0.02), (16, 0.1), (32, 0.1))
"""Pairs of the number of shards and the commit window in seconds."""
BYTES_RATES_PER_S: Final = (12.2, 48.75)
"""Calls/s of one of 16 shards when the fleet has 195 and 780 calls/s."""
BYTES_DURATION_S: Final = 200.0
"""Long enough for segments to reach their limit; shorter runs hide the cost of rewriting them."""
BYTES_LIMITS: Final = (
    (24_000, 480_000),
    (12_000, 480_000),
    (6_000, 480_000),
    (12_000, 120_000),
    (6_000, 120_000),
)
"""Pairs of the size limits of head and segment in bytes, before compression."""
PLATFORM_LATENCY_S: Final = 0.004
SERVICE_LATENCY_S: Final = 0.02
SERVICE_OUTCOME: Final = KeyedOutcome(
    KeyedState.DONE, 201, "application/json", b'{"confirmation": 123456}'
)


@define(eq=False)
class SimulatedRun:
    """One simulated run on virtual time, with exponential gaps between the calls."""

    rate_per_s: float
    seed: int
    now: float = 1.0
    writes: int = 0
    reads: int = 0
    written_bytes: int = 0
    latencies_s: list[float] = field(factory=list)
    failed: int = 0
    seconds: float = DURATION_S
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: itertools.count[int] = field(factory=itertools.count)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def run_calls(self, submit_call: Callable[[int], None]) -> None:
        """Starts calls for the duration of the run and returns when all of them have completed."""
        gaps = random.Random(self.seed)
        arrival_s = 0.0
        for number in itertools.count():
            arrival_s += gaps.expovariate(self.rate_per_s)
            if arrival_s > self.seconds:
                break
            self.schedule(arrival_s, lambda number=number: submit_call(number))  # type: ignore[misc]
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def format_row(self, name: str) -> str:
        """Returns the table row of the run."""
        latencies = sorted(self.latencies_s)
        count = len(latencies)
        p50, p99 = latencies[count // 2], latencies[int(count * 0.99)]
        return (
            f"{name:<22} {self.rate_per_s:>6g} {count:>6} {self.failed:>6} "
            f"{self.writes / count:>10.3f} {self.writes / self.seconds:>9.1f} {self.reads:>6} "
            f"{self.written_bytes / count:>9.0f} {p50 * 1e3:>8.1f} {p99 * 1e3:>8.1f}"
        )


@define(eq=False)
class GroupCommit:
    """Runs the ledger shards against a simulated platform of fixed latency."""

    run: SimulatedRun
    shard_count: int
    window_s: float
    objects: dict[str, tuple[int, bytes]] = field(factory=dict)
    shards: list[LedgerShard] = field(factory=list)
    policy: LedgerPolicy = field(factory=LedgerPolicy)
    is_compressed: bool = True
    """Whether written bytes are counted after compression instead of before it."""
    version: int = 0
    largest_head: int = 0
    largest_segment: int = 0

    def __attrs_post_init__(self) -> None:
        ids = itertools.count()
        self.shards = [
            LedgerShard(
                number,
                "router-0001",
                2**61,
                evolve(self.policy, window_s=self.window_s),
                new_id=lambda: f"{next(ids):032x}",
                is_gone=lambda *_: True,
                should_own=lambda: True,
            )
            for number in range(self.shard_count)
        ]

    def submit_call(self, number: int) -> None:
        """Submits one call to the shard of its key."""
        key = key_hash("orders", "account-1", f"key-{number}")
        issued_at_ms = int(self.run.now * 1e3)
        attempt = _random_id(number)
        deadline = self.run.now + 10.0
        call = ShardCall(
            CallKind.RUN,
            key,
            attempt,
            _random_id(number)[:16],
            issued_at_ms,
            deadline,
            self.run.now,
        )
        shard_number = int(key, 16) % self.shard_count
        self.shards[shard_number].submit(call, self.run.now, issued_at_ms)
        self._step(shard_number)

    def _step(self, shard_number: int) -> None:
        shard = self.shards[shard_number]
        io = shard.next_io(self.run.now, int(self.run.now * 1e3))
        for event in shard.take_events():
            if isinstance(event, Answered):
                self.run.latencies_s.append(self.run.now - event.call.context)
                self.run.failed += event.outcome.state is not KeyedState.DONE
            elif isinstance(event, Dispatch) and event.gate.try_send(self.run.now):
                self._send_to_service(shard_number, event.call)
        if io is not None:
            self.run.schedule(PLATFORM_LATENCY_S, lambda: self._complete_io(shard_number, io))
        elif (due_at := shard.next_due()) is not None:
            self.run.schedule(max(0.0, due_at - self.run.now), lambda: self._step(shard_number))

    def _send_to_service(self, shard_number: int, call: ShardCall) -> None:
        def finish() -> None:
            self.shards[shard_number].finish(call.key, call.attempt, SERVICE_OUTCOME, self.run.now)
            self._step(shard_number)

        self.run.schedule(SERVICE_LATENCY_S, finish)

    def _complete_io(self, shard_number: int, io: ReadObject | WriteObject) -> None:
        if isinstance(io, WriteObject):
            self.run.writes += 1
            counted_bytes = len(io.value) if self.is_compressed else len(zlib.decompress(io.value))
            self.run.written_bytes += counted_bytes
            self.version += 1
            self.objects[io.name] = (self.version, io.value)
            if io.name.endswith("/head"):
                self.largest_head = max(self.largest_head, len(io.value))
            else:
                self.largest_segment = max(self.largest_segment, len(io.value))
        else:
            self.run.reads += 1
        found = self.objects.get(io.name)
        result = Success(StoredObject(io.name, *found)) if found else Failure(_NOT_FOUND)
        self.shards[shard_number].io_done(result, self.run.now)
        self._step(shard_number)


def _random_id(number: int) -> str:
    """Returns 32 hex digits that are as incompressible as the ids of a real call."""
    return key_hash("attempt", str(number), "1") + key_hash("attempt", str(number), "2")


_NOT_FOUND: Final = PlatformFailure.NOT_FOUND


def baseline(run: SimulatedRun) -> None:
    """Runs the baseline of one object for each key: claim, call and outcome in sequence."""
    size = len(b'{"state": "claimed"}') + len(b'{"state": "done", "body": ""}') + 32

    def submit_call(_: int) -> None:
        run.writes += 2
        run.written_bytes += size
        latency_s = PLATFORM_LATENCY_S + SERVICE_LATENCY_S + PLATFORM_LATENCY_S
        run.schedule(latency_s, lambda: run.latencies_s.append(latency_s))

    run.run_calls(submit_call)


def entries(count: int) -> list[Entry]:
    """Returns entries of finished calls, as the ledger stores them."""
    return [
        Entry(
            key_hash("orders", "account-1", f"key-{n}"),
            _random_id(n)[:16],
            _random_id(n),
            1_700_000_000_000 + n,
            EntryState.DONE,
            201,
            "application/json",
            SERVICE_OUTCOME.body,
        )
        for n in range(count)
    ]


def print_bytes(seed: int) -> None:
    """Prints the bytes and writes per call of one shard, by encoding and size limits."""
    print("one of 16 shards, window 100 ms; encoding, limits of head and segment:")
    for rate in BYTES_RATES_PER_S:
        for is_compressed, sizes in itertools.product((False, True), BYTES_LIMITS):
            run = SimulatedRun(rate, seed, seconds=BYTES_DURATION_S)
            policy = LedgerPolicy(head_limit_bytes=sizes[0], segment_limit_bytes=sizes[1])
            ledger = GroupCommit(run, 1, 0.1, policy=policy, is_compressed=is_compressed)
            run.run_calls(ledger.submit_call)
            kind = "zlib" if is_compressed else "JSON"
            print(run.format_row(f"{kind} {sizes[0] // 1000}K, {sizes[1] // 1000}K"))


def memory_bytes(make: Callable[[], object]) -> int:
    """Returns the bytes that a value keeps allocated, measured by `tracemalloc`."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return after - before


def print_sizes(count: int) -> None:
    """Prints the size of an entry when stored, loaded and indexed."""
    sample = entries(count)
    value = compress(dump_segment(sample))

    def indexed() -> SegmentIndex:
        index = SegmentIndex()
        index.add("ledger/0/seg/1", (entry.key for entry in sample))
        return index

    print(f"sizes of {count} finished entries with an answer of {len(SERVICE_OUTCOME.body)} bytes:")
    loaded = memory_bytes(lambda: decode_segment(value))
    print(f"  stored, head or segment:         {len(value) / count:8.1f} bytes each")
    print(f"  in memory, head or loaded:       {loaded / count:8.1f} bytes each")
    print(f"  in memory, index of a segment:   {memory_bytes(indexed) / count:8.1f} bytes each")
    print(f"  claim without an outcome, stored {encoded_size(_claim(sample[0])):8d} bytes each")


def _claim(entry: Entry) -> Entry:
    """Returns the entry as it is before the call has an outcome."""
    return Entry(
        entry.key, entry.fingerprint, entry.attempt, entry.issued_at_ms, EntryState.CLAIMED
    )


def main(arguments: Sequence[str]) -> int:
    """Runs the selected measurement and prints its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--budget", action="store_true", help="call rates expected in two years")
    parser.add_argument(
        "--bytes", action="store_true", help="compare encodings and size limits of one shard"
    )
    options = parser.parse_args(arguments)
    flag = " --budget" if options.budget else " --bytes" if options.bytes else ""
    print(f"command: python -m tools.bench_ledger --seed {options.seed}{flag}")
    print(
        f"virtual time; platform {PLATFORM_LATENCY_S * 1e3:g} ms a call without a rate limit, "
        f"back end {SERVICE_LATENCY_S * 1e3:g} ms, "
        f"{BYTES_DURATION_S if options.bytes else DURATION_S:g} s of calls with exponential gaps"
    )
    print(
        f"{'ledger':<22} {'calls/s':>6} {'calls':>6} {'failed':>6} {'writes/call':>10} "
        f"{'writes/s':>9} {'reads':>6} {'B/call':>9} {'p50 ms':>8} {'p99 ms':>8}"
    )
    if options.bytes:
        print_bytes(options.seed)
        return 0
    largest_head = largest_segment = 0
    sizes = BUDGET_SIZES if options.budget else list(itertools.product(SHARDS, WINDOWS_S))
    for rate in BUDGET_RATES_PER_S if options.budget else RATES_PER_S:
        run = SimulatedRun(rate, options.seed)
        baseline(run)
        print(run.format_row("object for each key"))
        for shards, window_s in sizes:
            run = SimulatedRun(rate, options.seed)
            ledger = GroupCommit(run, shards, window_s)
            run.run_calls(ledger.submit_call)
            print(run.format_row(f"{shards} shards, {window_s * 1e3:g} ms"))
            largest_head = max(largest_head, ledger.largest_head)
            largest_segment = max(largest_segment, ledger.largest_segment)
    print(f"largest head {largest_head} bytes, largest segment {largest_segment} bytes")
    if not options.budget:
        print_sizes(10_000)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
