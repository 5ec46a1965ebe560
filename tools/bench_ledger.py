"""Platform writes, latency and memory of the ledger: `python -m tools.bench_ledger`.

The baseline stores one object for each key: a claim and an outcome, two writes a call.
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
SECONDS: Final = 10.0
BUDGET_RATES_PER_S: Final = (195, 780, 3_900)
"""0.5, 2 and 10 % of 39,000 requests/s."""
BUDGET_SIZES: Final = ((16, 0.02), (16, 0.1), (32, 0.1))
"""Shards and window."""
BYTES_RATES_PER_S: Final = (12.2, 48.75)
"""195 and 780 calls/s, for one of 16 shards."""
BYTES_SECONDS: Final = 200.0
"""Long enough for segments to reach their limit; shorter runs hide the cost of rewriting them."""
BYTES_SIZES: Final = (
    (24_000, 480_000),
    (12_000, 480_000),
    (6_000, 480_000),
    (12_000, 120_000),
    (6_000, 120_000),
)
"""Limits of head and segment, before compression."""
PLATFORM_S: Final = 0.004
SERVICE_S: Final = 0.02
ANSWER: Final = KeyedOutcome(KeyedState.DONE, 201, "application/json", b'{"confirmation": 123456}')


@define(eq=False)
class Run:
    """One run of calls with exponential gaps."""

    rate_per_s: float
    seed: int
    now: float = 1.0
    writes: int = 0
    reads: int = 0
    written_bytes: int = 0
    latencies_s: list[float] = field(factory=list)
    failed: int = 0
    seconds: float = SECONDS
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: itertools.count[int] = field(factory=itertools.count)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something later."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def drive(self, arrive: Callable[[int], None]) -> None:
        """Lets calls arrive for the set time and ends when all have their answers."""
        gaps = random.Random(self.seed)
        at = 0.0
        for number in itertools.count():
            at += gaps.expovariate(self.rate_per_s)
            if at > self.seconds:
                break
            self.at(at, lambda number=number: arrive(number))  # type: ignore[misc]
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def report(self, name: str) -> str:
        """Gives one line of the table."""
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
    """The shards of the ledger against a platform of fixed latency."""

    run: Run
    shard_count: int
    window_s: float
    objects: dict[str, tuple[int, bytes]] = field(factory=dict)
    shards: list[LedgerShard] = field(factory=list)
    policy: LedgerPolicy = field(factory=LedgerPolicy)
    is_compressed: bool = True
    """False: counts the bytes that the written values have before compression."""
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

    def arrive(self, number: int) -> None:
        """A call comes in."""
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
        place = int(key, 16) % self.shard_count
        self.shards[place].submit(call, self.run.now, issued_at_ms)
        self._step(place)

    def _step(self, place: int) -> None:
        shard = self.shards[place]
        io = shard.next_io(self.run.now, int(self.run.now * 1e3))
        for event in shard.take_events():
            if isinstance(event, Answered):
                self.run.latencies_s.append(self.run.now - event.call.context)
                self.run.failed += event.outcome.state is not KeyedState.DONE
            elif isinstance(event, Dispatch) and event.gate.try_send(self.run.now):
                self._send(place, event.call)
        if io is not None:
            self.run.at(PLATFORM_S, lambda: self._io(place, io))
        elif (due := shard.next_due()) is not None:
            self.run.at(max(0.0, due - self.run.now), lambda: self._step(place))

    def _send(self, place: int, call: ShardCall) -> None:
        def finish() -> None:
            self.shards[place].finish(call.key, call.attempt, ANSWER, self.run.now)
            self._step(place)

        self.run.at(SERVICE_S, finish)

    def _io(self, place: int, io: ReadObject | WriteObject) -> None:
        if isinstance(io, WriteObject):
            self.run.writes += 1
            plain = len(io.value) if self.is_compressed else len(zlib.decompress(io.value))
            self.run.written_bytes += plain
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
        self.shards[place].io_done(result, self.run.now)
        self._step(place)


def _random_id(number: int) -> str:
    """Gives 32 hex digits that do not compress, as those of a real call."""
    return key_hash("attempt", str(number), "1") + key_hash("attempt", str(number), "2")


_NOT_FOUND: Final = PlatformFailure.NOT_FOUND


def baseline(run: Run) -> None:
    """One object for each key: claim, call, outcome, each answered before the next."""
    size = len(b'{"state": "claimed"}') + len(b'{"state": "done", "body": ""}') + 32

    def arrive(_: int) -> None:
        run.writes += 2
        run.written_bytes += size
        took_s = PLATFORM_S + SERVICE_S + PLATFORM_S
        run.at(took_s, lambda: run.latencies_s.append(took_s))

    run.drive(arrive)


def entries(count: int) -> list[Entry]:
    """Builds entries as the ledger keeps them."""
    return [
        Entry(
            key_hash("orders", "account-1", f"key-{n}"),
            _random_id(n)[:16],
            _random_id(n),
            1_700_000_000_000 + n,
            EntryState.DONE,
            201,
            "application/json",
            ANSWER.body,
        )
        for n in range(count)
    ]


def report_bytes(seed: int) -> None:
    """Prints bytes and writes of a call for one shard, by encoding and limits."""
    print("one of 16 shards, window 100 ms; encoding, limits of head and segment:")
    for rate in BYTES_RATES_PER_S:
        for is_compressed, sizes in itertools.product((False, True), BYTES_SIZES):
            run = Run(rate, seed, seconds=BYTES_SECONDS)
            policy = LedgerPolicy(head_limit_bytes=sizes[0], segment_limit_bytes=sizes[1])
            ledger = GroupCommit(run, 1, 0.1, policy=policy, is_compressed=is_compressed)
            run.drive(ledger.arrive)
            kind = "zlib" if is_compressed else "JSON"
            print(run.report(f"{kind} {sizes[0] // 1000}K, {sizes[1] // 1000}K"))


def memory_bytes(make: Callable[[], object]) -> int:
    """Measures what a value holds, by tracemalloc."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return after - before


def report_sizes(count: int) -> None:
    """Prints the size of an entry in each place."""
    sample = entries(count)
    value = compress(dump_segment(sample))

    def indexed() -> SegmentIndex:
        index = SegmentIndex()
        index.add("ledger/0/seg/1", (entry.key for entry in sample))
        return index

    print(f"sizes of {count} finished entries with an answer of {len(ANSWER.body)} bytes:")
    loaded = memory_bytes(lambda: decode_segment(value))
    print(f"  stored, head or segment:         {len(value) / count:8.1f} bytes each")
    print(f"  in memory, head or loaded:       {loaded / count:8.1f} bytes each")
    print(f"  in memory, index of a segment:   {memory_bytes(indexed) / count:8.1f} bytes each")
    print(f"  claim without an outcome, stored {encoded_size(_claim(sample[0])):8d} bytes each")


def _claim(entry: Entry) -> Entry:
    return Entry(
        entry.key, entry.fingerprint, entry.attempt, entry.issued_at_ms, EntryState.CLAIMED
    )


def main(arguments: Sequence[str]) -> int:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--budget", action="store_true", help="rates of the scale in two years")
    parser.add_argument("--bytes", action="store_true", help="encodings and limits of one shard")
    options = parser.parse_args(arguments)
    flag = " --budget" if options.budget else " --bytes" if options.bytes else ""
    print(f"command: python -m tools.bench_ledger --seed {options.seed}{flag}")
    print(
        f"virtual time; platform {PLATFORM_S * 1e3:g} ms a call without a rate limit, back end "
        f"{SERVICE_S * 1e3:g} ms, {BYTES_SECONDS if options.bytes else SECONDS:g} s of calls with "
        f"exponential gaps"
    )
    print(
        f"{'ledger':<22} {'calls/s':>6} {'calls':>6} {'failed':>6} {'writes/call':>10} "
        f"{'writes/s':>9} {'reads':>6} {'B/call':>9} {'p50 ms':>8} {'p99 ms':>8}"
    )
    if options.bytes:
        report_bytes(options.seed)
        return 0
    largest_head = largest_segment = 0
    sizes = BUDGET_SIZES if options.budget else list(itertools.product(SHARDS, WINDOWS_S))
    for rate in BUDGET_RATES_PER_S if options.budget else RATES_PER_S:
        run = Run(rate, options.seed)
        baseline(run)
        print(run.report("object for each key"))
        for shards, window_s in sizes:
            run = Run(rate, options.seed)
            ledger = GroupCommit(run, shards, window_s)
            run.drive(ledger.arrive)
            print(run.report(f"{shards} shards, {window_s * 1e3:g} ms"))
            largest_head = max(largest_head, ledger.largest_head)
            largest_segment = max(largest_segment, ledger.largest_segment)
    print(f"largest head {largest_head} bytes, largest segment {largest_segment} bytes")
    if not options.budget:
        report_sizes(10_000)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
