"""Measures the request path of one router process.

The sections are: the latency that the router adds to a direct call of the engine stand-in; tokens
per second, CPU time per token, threads and memory at 10, 100 and 200 streams; the cost of a counter
increment and of a histogram record. With `--baseline DIR` the package of another source tree is
measured too, alternating with this one so that both run under the same machine load.
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

_CLIENT_PROCESSES: Final = 2
_ENGINE_PROCESSES: Final = 4
_RESPONSE_TOKENS: Final = 16


def timed_chat(address: Address, number: int, streaming: bool) -> tuple[float, float]:
    """Makes one chat request and returns the seconds to the first byte and to the last one.

    Raises:
        RuntimeError: The response was refused or incomplete.
    """
    head, _, body = request_bytes(number, _RESPONSE_TOKENS).partition(b"\r\n\r\n")
    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
    document = json.loads(body)
    document["stream"] = streaming
    headers.pop("Content-Length")
    connection = HTTPConnection(address.host, address.port, timeout=30)
    started = time.perf_counter()
    connection.request("POST", "/v1/chat/completions", json.dumps(document), headers)
    response = connection.getresponse()
    response.read1(1)
    first_byte_s = time.perf_counter() - started
    content = response.read()
    complete_s = time.perf_counter() - started
    connection.close()
    if response.status != 200 or (streaming and b"[DONE]" not in content):
        raise RuntimeError(f"incomplete response: {response.status} {content[-200:]!r}")
    return first_byte_s, complete_s


def measure_latency(targets: dict[str, Address], requests: int) -> None:
    """Calls all targets in turn and prints the latency that routers add to the direct call."""
    for streaming in (True, False):
        times: dict[str, list[tuple[float, float]]] = {name: [] for name in targets}
        for number in range(requests):
            for index, (name, address) in enumerate(targets.items()):
                # The engine stand-in always streams; a router waits for its complete response.
                direct = name == "direct"
                # Each request belongs to a new chat, so that no engine has its prefix cached.
                chat = (2 * number + streaming) * len(targets) + index
                times[name].append(timed_chat(address, 10_000 + chat, streaming or direct))
        print(f"\n{'streaming' if streaming else 'non-streaming'}, {requests} requests each, in ms")
        print(f"{'target':<12}{'first p50':>11}{'first p99':>11}{'whole p50':>11}{'whole p99':>11}")
        rows = {}
        for name, pairs in times.items():
            columns = [[pair[index] * 1e3 for pair in pairs] for index in (0, 1)]
            rows[name] = [quantile(column, q) for column in columns for q in (0.5, 0.99)]
            if not streaming:  # A collected response has no time of the first token.
                rows[name][:2] = [float("nan")] * 2
            print(f"{name:<12}" + "".join(f"{value:>11.2f}" for value in rows[name]))
        for name in list(targets)[1:]:
            added = [a - b for a, b in zip(rows[name], rows["direct"], strict=True)]
            print(f"{'+ ' + name:<12}" + "".join(f"{value:>11.2f}" for value in added))


def load(router: Process, streams: int, tokens: int, seconds: float) -> dict[str, Any]:
    """Runs the load clients against a router and returns their totals and its resource usage."""
    before = cpu_seconds(router)
    share = streams // _CLIENT_PROCESSES
    command = [sys.executable, "-m", "tools._stream_load", router.address.host]
    clients = [
        subprocess.Popen(
            [*command, str(router.address.port), str(share), str(tokens), str(seconds)],
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_CLIENT_PROCESSES)
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
    """Prints the throughput of each router for each number of streams."""
    print(
        f"\nstreams with one token each {token_ms:g} ms, {_ENGINE_PROCESSES} engine processes, "
        f"{_CLIENT_PROCESSES} client processes, {seconds:g} s each"
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
            time.sleep(4.0)  # Engines end abandoned streams within their grace period.


def measure_metrics() -> None:
    """Prints the cost of one counter increment and of one histogram record."""
    metrics = Metrics()
    number = 100_000
    counter = timeit.timeit(lambda: metrics.count("bench_total", reason="x"), number=number)
    record = timeit.timeit(lambda: metrics.record_seconds("bench_seconds", 0.01), number=number)
    print(f"\ncounter {counter / number * 1e6:.2f} us, histogram {record / number * 1e6:.2f} us")


def main() -> None:
    """Runs the selected sections and prints their results."""
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
        f"bench_relay: requests={arguments.requests} answer_tokens={_RESPONSE_TOKENS} "
        f"seconds={arguments.seconds:g} token_ms={arguments.token_ms:g} (no random input)"
    )
    limit = f"--max-streams={max(counts) + 20}"
    with Fleet([limit, "--engine-slots=1000", "--address-ttl-s=0.2"]) as fleet:
        fleet.start_platform()
        for number in range(_ENGINE_PROCESSES):
            fleet.start_engine(f"e{number}", f"--token-ms={arguments.token_ms:g}", "--prefill-ms=5")
        fleet.write_config(fleet.default_config())
        routers: dict[str, Process] = {}
        if arguments.baseline:
            fleet.router_environment = {**os.environ, "PYTHONPATH": arguments.baseline}
            routers["baseline"] = fleet.start_router("baseline")
            fleet.router_environment = None
        routers["this"] = fleet.start_router("this")
        fleet.wait_ready()
        time.sleep(1.0)  # Lets the token buckets of the accounts fill.
        engine = next(iter(fleet.engines_by_id.values()))
        targets = {"direct": engine.address} | {n: r.address for n, r in routers.items()}
        if not arguments.throughput_only:
            measure_latency(targets, arguments.requests)
        measure_throughput(routers, arguments.token_ms, arguments.seconds, counts)
    measure_metrics()


if __name__ == "__main__":
    main()
