"""Measures the request path of one router process.

Sections: added latency against a direct call to the engine stand-in; tokens per second, processor
time per token, threads and memory at 10, 100 and 200 streams; cost of a counter and of a histogram
record. With `--baseline DIR` the same is measured with the package of another source tree, in
turns, so that both see the same machine.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
import timeit
from http.client import HTTPConnection
from typing import TYPE_CHECKING, Any, Final

from sequoiadrum.metrics import Metrics
from tools._stream_load import request_bytes
from tools.figures import cpu_seconds, quantile, status
from tools.fleet import Fleet, Process

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import Address

_CLIENTS: Final = 2
_ENGINES: Final = 4
_ANSWER_TOKENS: Final = 16


def timed_chat(address: Address, number: int, streaming: bool) -> tuple[float, float]:
    """Makes one chat request; gives the seconds to the first token and to the end."""
    head, _, body = request_bytes(number, _ANSWER_TOKENS).partition(b"\r\n\r\n")
    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
    document = json.loads(body)
    document["stream"] = streaming
    headers.pop("Content-Length")
    connection = HTTPConnection(address.host, address.port, timeout=30)
    started = time.perf_counter()
    connection.request("POST", "/v1/chat/completions", json.dumps(document), headers)
    response = connection.getresponse()
    response.read1(1)
    first = time.perf_counter() - started
    answer = response.read()
    whole = time.perf_counter() - started
    connection.close()
    if response.status != 200 or (streaming and b"[DONE]" not in answer):
        raise RuntimeError(f"not a whole answer: {response.status} {answer[-200:]!r}")
    return first, whole


def measure_latency(targets: dict[str, Address], requests: int) -> None:
    """Calls all targets in turns and prints what the routers add to the direct call."""
    for streaming in (True, False):
        times: dict[str, list[tuple[float, float]]] = {name: [] for name in targets}
        for number in range(requests):
            for index, (name, address) in enumerate(targets.items()):
                # The engine stand-in always streams; its whole answer is what a router waits for.
                direct = name == "direct"
                # Each request is a chat of its own, so that no engine has its prefix cached.
                chat = (2 * number + streaming) * len(targets) + index
                times[name].append(timed_chat(address, 10_000 + chat, streaming or direct))
        print(f"\n{'streaming' if streaming else 'non-streaming'}, {requests} requests each, in ms")
        print(f"{'target':<12}{'first p50':>11}{'first p99':>11}{'whole p50':>11}{'whole p99':>11}")
        rows = {}
        for name, pairs in times.items():
            columns = [[pair[index] * 1e3 for pair in pairs] for index in (0, 1)]
            rows[name] = [quantile(column, q) for column in columns for q in (0.5, 0.99)]
            if not streaming:  # The first byte of a collected answer says nothing.
                rows[name][:2] = [float("nan")] * 2
            print(f"{name:<12}" + "".join(f"{value:>11.2f}" for value in rows[name]))
        for name in list(targets)[1:]:
            added = [a - b for a, b in zip(rows[name], rows["direct"], strict=True)]
            print(f"{'+ ' + name:<12}" + "".join(f"{value:>11.2f}" for value in added))


def load(router: Process, streams: int, tokens: int, seconds: float) -> dict[str, Any]:
    """Runs the load clients against a router; gives their sums and the router's use."""
    before = cpu_seconds(router)
    share = streams // _CLIENTS
    command = [sys.executable, "-m", "tools._stream_load", router.address.host]
    clients = [
        subprocess.Popen(
            [*command, str(router.address.port), str(share), str(tokens), str(seconds)],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_CLIENTS)
    ]
    time.sleep(seconds / 2)
    threads, rss_kb = status(router, "Threads:"), status(router, "VmRSS:")
    results = [json.loads(client.communicate(timeout=seconds + 30)[0]) for client in clients]
    cpu_s = cpu_seconds(router) - before
    count = sum(result["tokens"] for result in results)
    elapsed = max(result["seconds"] for result in results)
    return {
        "tokens_per_s": count / elapsed,
        "cpu_us_per_token": cpu_s / max(1, count) * 1e6,
        "cores": cpu_s / elapsed,
        "tokens_per_read": count / max(1, sum(result["reads"] for result in results)),
        "gap_p95_ms": max(result["gap_p95_ms"] for result in results),
        "threads": threads,
        "rss_mb": rss_kb / 1024,
    }


def measure_throughput(
    routers: dict[str, Process], token_ms: float, seconds: float, counts: Sequence[int]
) -> None:
    """Prints the throughput of each router at several numbers of streams."""
    print(
        f"\nstreams with one token each {token_ms:g} ms, {_ENGINES} engine processes, "
        f"{_CLIENTS} client processes, {seconds:g} s each"
    )
    print(
        f"{'router':<12}{'streams':>8}{'offered/s':>11}{'tokens/s':>10}{'us cpu/token':>14}"
        f"{'cores':>7}{'tokens/read':>13}{'gap p95 ms':>12}{'threads':>9}{'rss MB':>8}"
    )
    for streams in counts:
        for name, router in routers.items():
            result = load(router, streams, int(2 * seconds * 1e3 / token_ms), seconds)
            print(
                f"{name:<12}{streams:>8}{streams / token_ms * 1e3:>11.0f}"
                f"{result['tokens_per_s']:>10.0f}{result['cpu_us_per_token']:>14.1f}"
                f"{result['cores']:>7.2f}{result['tokens_per_read']:>13.1f}"
                f"{result['gap_p95_ms']:>12.1f}{result['threads']:>9}{result['rss_mb']:>8.0f}",
                flush=True,
            )
            time.sleep(4.0)  # Abandoned streams end at the engines within their grace time.


def measure_metrics() -> None:
    """Prints the cost of one counter and of one histogram record."""
    metrics = Metrics()
    number = 100_000
    counter = timeit.timeit(lambda: metrics.count("bench_total", reason="x"), number=number)
    record = timeit.timeit(lambda: metrics.record_seconds("bench_seconds", 0.01), number=number)
    print(f"\ncounter {counter / number * 1e6:.2f} us, histogram {record / number * 1e6:.2f} us")


def main() -> None:
    """Runs all sections."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", help="directory with another version of the package")
    parser.add_argument("--requests", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--token-ms", type=float, default=5.0)
    parser.add_argument("--streams", default="10,100,200", help="numbers of streams to measure")
    parser.add_argument("--throughput-only", action="store_true")
    arguments = parser.parse_args()
    counts = [int(count) for count in arguments.streams.split(",")]
    print(
        f"bench_relay: requests={arguments.requests} answer_tokens={_ANSWER_TOKENS} "
        f"seconds={arguments.seconds:g} token_ms={arguments.token_ms:g} (no random input)"
    )
    limit = f"--max-streams={max(counts) + 20}"
    with Fleet([limit, "--engine-slots=1000", "--address-ttl-s=0.2"]) as fleet:
        fleet.start_platform()
        for number in range(_ENGINES):
            fleet.start_engine(f"e{number}", f"--token-ms={arguments.token_ms:g}", "--prefill-ms=5")
        fleet.write_config(fleet.default_config())
        routers: dict[str, Process] = {}
        if arguments.baseline:
            fleet.router_environment = {**os.environ, "PYTHONPATH": arguments.baseline}
            routers["baseline"] = fleet.start_router("baseline")
            fleet.router_environment = None
        routers["this"] = fleet.start_router("this")
        fleet.wait_ready()
        time.sleep(1.0)  # The buckets of the accounts fill.
        engine = next(iter(fleet.engines_by_id.values()))
        targets = {"direct": engine.address} | {n: r.address for n, r in routers.items()}
        if not arguments.throughput_only:
            measure_latency(targets, arguments.requests)
        measure_throughput(routers, arguments.token_ms, arguments.seconds, counts)
    measure_metrics()


if __name__ == "__main__":
    main()
