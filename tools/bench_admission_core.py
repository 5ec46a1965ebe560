"""Measures the speed and memory of the admission core alone, and the sizes of its messages.

Usage: `PYTHONPATH=src python -m tools.bench_admission_core [--seed N]`.
"""

from __future__ import annotations

import argparse
import gc
import math
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any, Final

from attrs import define, frozen
from returns.result import Success
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from sequoiadrum._gen.peer import Peer, ttypes
from sequoiadrum._thrift_transport import COMPACT
from sequoiadrum.admission import PoolAdmission
from sequoiadrum.admission_task import REPORT_INTERVAL_S
from sequoiadrum.configuration import Change, ConfigState, ObjectKind
from sequoiadrum.interfaces import AdmissionRequest, ConfigSource, GrantOutcome
from sequoiadrum.metrics import Metrics
from sequoiadrum.placement import REUSE_WEIGHTED, SKEW_WEIGHTED, BoundPolicy, RecentEngineTable
from sequoiadrum.pool_messages import Placed, PoolRequest
from sequoiadrum.pool_owner import GrantHolder, PoolOwner
from sequoiadrum.tasks import Ask, Task

if TYPE_CHECKING:
    from collections.abc import Callable

_ENGINES: Final = 10_000
_POOL_SIZE: Final = 64
"""Largest number of engines in a pool."""
_ACCOUNTS: Final = 31_000
_GRANTS_IN_FLIGHT: Final = 156_000
"""Requests in flight at 39,000 requests/s with a mean service time of 4 s."""
_OPERATIONS: Final = 60_000
_CHATS: Final = 400_000
_GRANT_PREFIX: Final = 1 << 61


def main() -> None:
    """Runs all measurements and prints their results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    seed = parser.parse_args().seed
    print(f"tools/bench_admission_core.py --seed {seed}")
    print(
        f"{_ENGINES} engines in {-(-_ENGINES // _POOL_SIZE)} pools of up to {_POOL_SIZE}, "
        f"{_ACCOUNTS} accounts, {_GRANTS_IN_FLIGHT} grants in flight, {_CHATS} chats"
    )
    for name, policy in (("reuse-weighted", REUSE_WEIGHTED), ("skew-weighted", SKEW_WEIGHTED)):
        _measure_speed(name, policy, seed)
    _measure_local_owner()
    _measure_memory(seed)
    _measure_messages()


def _pools(policy: BoundPolicy) -> list[PoolAdmission]:
    pools = []
    for first in range(0, _ENGINES, _POOL_SIZE):
        pool = PoolAdmission(policy)
        last = min(_ENGINES, first + _POOL_SIZE)
        pool.set_engines({f"engine-{n:05}": False for n in range(first, last)}, 0.0)
        pools.append(pool)
    return pools


def _request(number: int, chat: int, source: random.Random) -> PoolRequest:
    return PoolRequest(
        f"request-{number}",
        f"{_GRANT_PREFIX | number:x}",
        f"chat-{chat:08}",
        f"account-{source.randrange(_ACCOUNTS):05}",
        f"router-{source.randrange(2400):04}",
        number % 2400,
        1e9,
        fingerprint=f"{chat:016x}",
    )


def _measure_speed(name: str, policy: BoundPolicy, seed: int) -> None:
    """Times alternating releases and acquires while all pools are under load."""
    source = random.Random(seed)
    pools = _pools(policy)
    held: list[tuple[PoolAdmission, str]] = []
    for number in range(_GRANTS_IN_FLIGHT):
        chat = source.randrange(_CHATS)
        pool = pools[chat % len(pools)]
        if isinstance(pool.acquire(_request(number, chat, source), 100.0), Placed):
            held.append((pool, f"{_GRANT_PREFIX | number:x}"))
    requests = [
        (source.randrange(_CHATS), _GRANTS_IN_FLIGHT + number, source.randrange(len(held)))
        for number in range(_OPERATIONS)
    ]
    prepared = [
        (chat, _request(number, chat, source), held_index) for chat, number, held_index in requests
    ]
    acquire_s = release_s = 0.0
    for chat, request, held_index in prepared:
        pool, grant_id = held[held_index]
        begin = time.perf_counter()
        pool.release(grant_id)
        between = time.perf_counter()
        new_pool = pools[chat % len(pools)]
        outcome = new_pool.acquire(request, 100.0)
        end = time.perf_counter()
        release_s += between - begin
        acquire_s += end - between
        if isinstance(outcome, Placed):
            held[held_index] = (new_pool, outcome.grant_id)
    spills = sum(pool.spills for pool in pools)
    print(
        f"{name}: acquire {1e6 * acquire_s / _OPERATIONS:.1f} us, release "
        f"{1e6 * release_s / _OPERATIONS:.1f} us ({_OPERATIONS} each, {spills} spills in all)"
    )


class _Config(ConfigSource):
    """A fixed configuration with five engines in one pool."""

    def __init__(self) -> None:
        value = {"pool": "p", "kind": "engine", "host": "192.0.2.1", "port": 8000}
        self._state = ConfigState().apply(
            Change(n, f"c{n}", ObjectKind.ENDPOINT, f"e{n}", value) for n in range(1, 6)
        )

    def current(self) -> ConfigState:
        """See `ConfigSource.current`."""
        return self._state

    def refusal(self) -> None:
        """See `ConfigSource.refusal`."""
        return


@define(eq=False)
class _Echo(Ask[int]):
    """A message without content, to time the round trip of a message."""


class _EchoTask(Task):
    """Replies to each message without doing any work."""

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {_Echo: lambda message: message.answer(1)}


def _measure_local_owner() -> None:
    """Compares a complete decision at the pool owner with an empty round trip to a task."""
    metrics = Metrics()
    owner = PoolOwner("r1", REUSE_WEIGHTED, _Config(), metrics, lambda *_: None)
    holder = GrantHolder("r1", 1)
    count = 20_000
    requests = [
        AdmissionRequest("p", f"q{n}", f"c{n % 5000}", "a", 1, 1.0, 1e12, f"{n:016x}")
        for n in range(count)
    ]
    begin = time.perf_counter()
    for request in requests:
        decision = owner.acquire(request, (), holder)
        assert isinstance(decision, Success)
        owner.release("p", [(decision.unwrap().grant_id, GrantOutcome.OK)])
    middle = time.perf_counter()
    task = _EchoTask("echo", metrics, lambda: None)
    task.start()
    for _ in range(count):
        task.ask(_Echo()).result()
    end = time.perf_counter()
    task.stop()
    print(
        f"pool of 5 engines at its owner: acquire and release {1e6 * (middle - begin) / count:.1f} "
        f"us on the calling thread; an empty round trip to a task "
        f"{1e6 * (end - middle) / count:.1f} us ({count} each, one calling thread)"
    )


def _measure_memory(seed: int) -> None:
    """Prints the memory of an engine, a grant and an entry of the recent-engine table."""
    source = random.Random(seed)
    pool = PoolAdmission(REUSE_WEIGHTED, recent=RecentEngineTable(capacity=10**6))
    engines = {f"engine-{n:05}": False for n in range(5_000)}
    print(
        "bytes per engine "
        f"{_allocated_bytes(lambda: pool.set_engines(engines, 0.0)) / len(engines):.0f} "
        f"({len(engines)} engines)"
    )
    pool = PoolAdmission(REUSE_WEIGHTED, recent=RecentEngineTable(capacity=10**6))
    pool.set_engines({f"engine-{n:05}": False for n in range(_POOL_SIZE)}, 0.0)
    count = 20_000
    pool.policy = BoundPolicy(engine_slots=1e9, cold_choices=0)

    def fill() -> None:
        for number in range(count):
            pool.acquire(_request(number, number, source), 100.0)

    total_bytes = _allocated_bytes(fill)
    grants = [f"{_GRANT_PREFIX | number:x}" for number in range(count)]

    def empty() -> None:
        for grant_id in grants:
            pool.release(grant_id)
        pool._grant_by_id = {}

    table_bytes = total_bytes + _allocated_bytes(empty)
    print(
        f"bytes per grant {(total_bytes - table_bytes) / count:.0f}, per entry of the recent table "
        f"{table_bytes / count:.0f} ({count} each)"
    )


def _allocated_bytes(work: Callable[[], None]) -> int:
    """Returns by how many bytes `work` changes the traced memory."""
    gc.collect()
    starts_tracing = not tracemalloc.is_tracing()
    if starts_tracing:
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    work()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


@frozen
class _MessageSizes:
    """Message sizes of one grant in bytes: framed compact protocol, no TCP and IP headers."""

    acquire: float
    acquire_reply: float
    release: float
    report: float
    """Report without entries."""
    report_entry: float
    empty_reply: float
    """Reply to a release or a report."""


_SIZES_BEFORE: Final = _MessageSizes(161, 100, 82, 64, 103.0, 26)
"""Sizes at commit 05095db, whose `acquire` had no hint; replies are assumed equal to today's."""


def _measure_messages() -> None:
    """Prints the sizes of the messages and the control traffic that follows from them."""
    request = ttypes.AcquireRequest(
        "assistant-large", "chat-01234567", "account-01234", 2000, "router-0123", 2**61, 123_456,
        2**61, None, None, None, None, "engine-01234",
    )  # fmt: skip
    reply = ttypes.AcquireReply(ttypes.AcquireStatus.GRANTED, 2**61, "engine-01234")
    with_address = ttypes.AcquireReply(
        ttypes.AcquireStatus.GRANTED, 2**61, "engine-01234", "192.0.2.123", 8000
    )
    release = ttypes.Release(2**61)
    held = ttypes.HeldGrant(2**61, "engine-01234", "chat-01234567", 1.0, 2**61)
    acquire = _call_size(lambda c: c.send_acquire(request))
    acquire_reply = _struct_size(Peer.acquire_result(reply)) + 20
    print(
        f"acquire with a hint: call {acquire} bytes, reply {acquire_reply} bytes, "
        f"{_struct_size(Peer.acquire_result(with_address)) + 20} when revisions differ "
        f"(framed compact protocol; before: {_SIZES_BEFORE.acquire}, without a hint, and "
        f"{_SIZES_BEFORE.acquire_reply})"
    )
    pool, router = "assistant-large", "router-0123"
    by_name: dict[str, list[int]] = {}
    for name, send in (
        ("release", lambda c, n: c.send_release(pool, [release] * n)),
        ("whole report", lambda c, n: c.send_report_grants(pool, router, 2**61, [held] * n)),
        ("report of ids", lambda c, n: c.send_confirm_grants(pool, router, 2**61, [2**61] * n)),
    ):
        sizes = [_call_size(lambda c, n=n, s=send: s(c, n)) for n in (0, 1, 64)]  # type: ignore[misc]
        print(
            f"{name}: {sizes[0]} bytes when empty, {sizes[1]} with one entry, "
            f"{sizes[2]} with 64 ({(sizes[2] - sizes[0]) / 64:.1f} per entry)"
        )
        by_name[name] = sizes
    report = by_name["report of ids"]
    empty = _struct_size(Peer.confirm_grants_result([])) + 20
    after = _MessageSizes(
        acquire,
        acquire_reply,
        by_name["release"][1],
        report[0],
        (report[2] - report[0]) / 64,
        empty,
    )
    _print_control_traffic(after)


def _print_control_traffic(after: _MessageSizes) -> None:
    """Prints the control traffic computed from the message sizes.

    The computation assumes that requests are distributed evenly over the routers and that each
    release is sent in a separate message. The mean per router counts each message at both ends.
    Arrivals are Poisson; service times are distributed as in `routing_model`.
    """
    print(
        "control traffic computed from these sizes (4 s per request in the mean, lognormal; 487 "
        "tokens per request, 120 bytes per token event, reports every 5 s; before: sizes and "
        "reports of commit 05095db)"
    )
    source = random.Random(7)
    services = [source.lognormvariate(math.log(3.2), 0.67) for _ in range(100_000)]
    mean_excess_s = sum(max(0.0, s - REPORT_INTERVAL_S) for s in services) / len(services)
    for name, routers, requests_s, pools in (
        ("deployment A", 14, 15.0, 1),
        ("fleet in two years", 2_400, 39_000.0, 157),
    ):
        remote = requests_s * (1 - 1 / routers)
        rate = remote / routers / pools
        # Before: a report for each pool with a grant in flight or in the last three intervals.
        reported_before = 1 - math.exp(-rate * (4.0 + 3 * REPORT_INTERVAL_S))
        # Now: a report for each pool with a grant that is, or was at the last report, older than
        # an interval.
        reported_now = 1 - math.exp(-2 * rate * mean_excess_s)
        messages = {"before": reported_before, "now": reported_now}
        print(f"  {name}: {routers} routers, {requests_s:g} requests/s, {pools} pools")
        for label, sizes in (("before", _SIZES_BEFORE), ("now", after)):
            per_request = sizes.acquire + sizes.acquire_reply + sizes.release + sizes.empty_reply
            entries = (
                remote
                * 4.0
                * (1.0 if label == "before" else min(1.0, reported_now + mean_excess_s / 4.0))
            )
            reports = (
                routers * pools * messages[label] * (sizes.report + sizes.empty_reply)
                + entries * sizes.report_entry
            ) / REPORT_INTERVAL_S
            grants = remote * per_request
            total = grants + reports
            print(
                f"    owner grants, {label}: mean per router {2 * total / routers / 1e3:.2f} KB/s "
                f"(grants and releases {2 * grants / routers / 1e3:.2f}, reports "
                f"{2 * reports / routers / 1e3:.2f}), per pool at its owner "
                f"{total / pools / 1e3:.1f} KB/s"
            )
        forwarded = remote * 487 * 120
        changes = requests_s * 2 * after.release * (routers - 1)
        in_flight = remote * 4.0
        print(
            f"    owner relays streams, mean per router {2 * forwarded / routers / 1e3:.0f} KB/s, "
            f"per pool at its owner {forwarded / pools / 1e3:.0f} KB/s\n"
            f"    every router broadcasts each change to all others, per router "
            f"{2 * changes / routers / 1e3:.1f} KB/s\n"
            f"    every router decides on its own requests: 0 KB/s; {in_flight / routers:.1f} "
            f"requests of its own in flight, {in_flight / routers / pools:.2f} per pool"
        )


def _call_size(send: Callable[[Any], None]) -> int:
    """Returns the size of the framed call that `send` writes with a client."""
    buffer = TMemoryBuffer()
    send(Peer.Client(COMPACT.getProtocol(TFramedTransport(buffer))))
    return len(buffer.getvalue())


def _struct_size(value: Any) -> int:
    """Returns the encoded size of a thrift structure, without a frame."""
    buffer = TMemoryBuffer()
    value.write(COMPACT.getProtocol(buffer))
    return len(buffer.getvalue())


if __name__ == "__main__":
    main()
