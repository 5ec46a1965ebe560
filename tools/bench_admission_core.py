"""Measures the admission core alone, and the sizes of its messages.

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
_PER_POOL: Final = 64
_ACCOUNTS: Final = 31_000
_IN_FLIGHT: Final = 156_000
"""39,000 requests/s for 4 s each."""
_OPERATIONS: Final = 60_000
_CHATS: Final = 400_000
_GRANT_PREFIX: Final = 1 << 61


def main() -> None:
    """Prints all figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=7)
    seed = parser.parse_args().seed
    print(f"tools/bench_admission_core.py --seed {seed}")
    print(
        f"{_ENGINES} engines in {-(-_ENGINES // _PER_POOL)} pools of up to {_PER_POOL}, "
        f"{_ACCOUNTS} accounts, {_IN_FLIGHT} grants in flight, {_CHATS} chats"
    )
    for name, policy in (("reuse-weighted", REUSE_WEIGHTED), ("skew-weighted", SKEW_WEIGHTED)):
        _speed(name, policy, seed)
    _local_owner()
    _memory(seed)
    _messages()


def _pools(policy: BoundPolicy) -> list[PoolAdmission]:
    pools = []
    for first in range(0, _ENGINES, _PER_POOL):
        pool = PoolAdmission(policy)
        last = min(_ENGINES, first + _PER_POOL)
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


def _speed(name: str, policy: BoundPolicy, seed: int) -> None:
    """Times one release and one acquire after the other with all pools under load."""
    source = random.Random(seed)
    pools = _pools(policy)
    held: list[tuple[PoolAdmission, str]] = []
    for number in range(_IN_FLIGHT):
        chat = source.randrange(_CHATS)
        pool = pools[chat % len(pools)]
        if isinstance(pool.acquire(_request(number, chat, source), 100.0), Placed):
            held.append((pool, f"{_GRANT_PREFIX | number:x}"))
    requests = [
        (source.randrange(_CHATS), _IN_FLIGHT + number, source.randrange(len(held)))
        for number in range(_OPERATIONS)
    ]
    prepared = [(chat, _request(number, chat, source), out) for chat, number, out in requests]
    acquire_s = release_s = 0.0
    for chat, request, out in prepared:
        pool, grant_id = held[out]
        begin = time.perf_counter()
        pool.release(grant_id)
        between = time.perf_counter()
        new_pool = pools[chat % len(pools)]
        outcome = new_pool.acquire(request, 100.0)
        end = time.perf_counter()
        release_s += between - begin
        acquire_s += end - between
        if isinstance(outcome, Placed):
            held[out] = (new_pool, outcome.grant_id)
    spills = sum(pool.spills for pool in pools)
    print(
        f"{name}: acquire {1e6 * acquire_s / _OPERATIONS:.1f} us, release "
        f"{1e6 * release_s / _OPERATIONS:.1f} us ({_OPERATIONS} each, {spills} spills in all)"
    )


class _Config(ConfigSource):
    """Five engines in one pool."""

    def __init__(self) -> None:
        value = {"pool": "p", "kind": "engine", "host": "192.0.2.1", "port": 8000}
        self._state = ConfigState().apply(
            Change(n, f"c{n}", ObjectKind.ENDPOINT, f"e{n}", value) for n in range(1, 6)
        )

    def current(self) -> ConfigState:
        """See `ConfigSource`."""
        return self._state

    def refusal(self) -> None:
        """See `ConfigSource`."""
        return


@define(eq=False)
class _Echo(Ask[int]):
    """Asks for nothing."""


class _EchoTask(Task):
    """Answers at once."""

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """See `Task.handlers`."""
        return {_Echo: lambda message: message.answer(1)}


def _local_owner() -> None:
    """Times a whole decision at its owner next to a mere hand-over to a task and back."""
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
        f"us on the asking thread; an empty hand-over to a task and back "
        f"{1e6 * (end - middle) / count:.1f} us ({count} each, one thread asking)"
    )


def _memory(seed: int) -> None:
    source = random.Random(seed)
    pool = PoolAdmission(REUSE_WEIGHTED, recent=RecentEngineTable(capacity=10**6))
    engines = {f"engine-{n:05}": False for n in range(5_000)}
    print(
        f"bytes per engine {_bytes(lambda: pool.set_engines(engines, 0.0)) / len(engines):.0f} "
        f"({len(engines)} engines)"
    )
    pool = PoolAdmission(REUSE_WEIGHTED, recent=RecentEngineTable(capacity=10**6))
    pool.set_engines({f"engine-{n:05}": False for n in range(_PER_POOL)}, 0.0)
    count = 20_000
    pool.policy = BoundPolicy(engine_slots=1e9, cold_choices=0)

    def fill() -> None:
        for number in range(count):
            pool.acquire(_request(number, number, source), 100.0)

    both = _bytes(fill)
    grants = [f"{_GRANT_PREFIX | number:x}" for number in range(count)]

    def empty() -> None:
        for grant_id in grants:
            pool.release(grant_id)
        pool._grant_by_id = {}

    rest = both + _bytes(empty)
    print(
        f"bytes per grant {(both - rest) / count:.0f}, per entry of the recent table "
        f"{rest / count:.0f} ({count} each)"
    )


def _bytes(work: Callable[[], None]) -> int:
    gc.collect()
    started = not tracemalloc.is_tracing()
    if started:
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    work()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


@frozen
class _Sizes:
    """Bytes of the messages of one grant, framed compact protocol, without TCP and IP headers."""

    acquire: float
    answer: float
    release: float
    report: float
    """Report of no grant."""
    report_entry: float
    empty_answer: float
    """Answer to a release or a report."""


_BEFORE: Final = _Sizes(161, 100, 82, 64, 103.0, 26)
"""Sizes at commit 05095db, which had no hint in `acquire`; its answers are taken as today's."""


def _messages() -> None:
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
    acquire = _call(lambda c: c.send_acquire(request))
    answer = _struct(Peer.acquire_result(reply)) + 20
    print(
        f"acquire with a hint: call {acquire} bytes, answer {answer} bytes, "
        f"{_struct(Peer.acquire_result(with_address)) + 20} when revisions differ (framed compact "
        f"protocol; before: {_BEFORE.acquire}, without a hint, and {_BEFORE.answer})"
    )
    pool, router = "assistant-large", "router-0123"
    by_name: dict[str, list[int]] = {}
    for name, send in (
        ("release", lambda c, n: c.send_release(pool, [release] * n)),
        ("whole report", lambda c, n: c.send_report_grants(pool, router, 2**61, [held] * n)),
        ("report of ids", lambda c, n: c.send_confirm_grants(pool, router, 2**61, [2**61] * n)),
    ):
        sizes = [_call(lambda c, n=n, s=send: s(c, n)) for n in (0, 1, 64)]  # type: ignore[misc]
        print(
            f"{name}: {sizes[0]} bytes when empty, {sizes[1]} with one entry, "
            f"{sizes[2]} with 64 ({(sizes[2] - sizes[0]) / 64:.1f} per entry)"
        )
        by_name[name] = sizes
    report = by_name["report of ids"]
    empty = _struct(Peer.confirm_grants_result([])) + 20
    after = _Sizes(
        acquire, answer, by_name["release"][1], report[0], (report[2] - report[0]) / 64, empty
    )
    _control(after)


def _control(after: _Sizes) -> None:
    """Computes control traffic from the sizes of the messages.

    Routers share the requests evenly; a mean over routers counts each message at both ends, and
    each release travels alone. Arrivals are Poisson, service times those of `routing_model`.
    """
    print(
        "control traffic computed from these sizes (4 s per request in the mean, lognormal; 487 "
        "tokens per request, 120 bytes per token event, reports every 5 s; before: sizes and "
        "reports of commit 05095db)"
    )
    source = random.Random(7)
    services = [source.lognormvariate(math.log(3.2), 0.67) for _ in range(100_000)]
    beyond_s = sum(max(0.0, s - REPORT_INTERVAL_S) for s in services) / len(services)
    for name, routers, requests_s, pools in (
        ("deployment A", 14, 15.0, 1),
        ("fleet in two years", 2_400, 39_000.0, 157),
    ):
        remote = requests_s * (1 - 1 / routers)
        rate = remote / routers / pools
        # Before: each pool with a grant in flight or in one of the last three intervals.
        reported = 1 - math.exp(-rate * (4.0 + 3 * REPORT_INTERVAL_S))
        # Now: each pool with a grant older than an interval, now or at the last report.
        old = 1 - math.exp(-2 * rate * beyond_s)
        messages = {"before": reported, "now": old}
        print(f"  {name}: {routers} routers, {requests_s:g} requests/s, {pools} pools")
        for label, sizes in (("before", _BEFORE), ("now", after)):
            per_request = sizes.acquire + sizes.answer + sizes.release + sizes.empty_answer
            entries = remote * 4.0 * (1.0 if label == "before" else min(1.0, old + beyond_s / 4.0))
            reports = (
                routers * pools * messages[label] * (sizes.report + sizes.empty_answer)
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
            f"    every router tells all others each change, per router "
            f"{2 * changes / routers / 1e3:.1f} KB/s\n"
            f"    every router decides on its own requests: 0 KB/s; {in_flight / routers:.1f} "
            f"requests of its own in flight, {in_flight / routers / pools:.2f} per pool"
        )


def _call(send: Callable[[Any], None]) -> int:
    buffer = TMemoryBuffer()
    send(Peer.Client(COMPACT.getProtocol(TFramedTransport(buffer))))
    return len(buffer.getvalue())


def _struct(value: Any) -> int:
    buffer = TMemoryBuffer()
    value.write(COMPACT.getProtocol(buffer))
    return len(buffer.getvalue())


if __name__ == "__main__":
    main()
