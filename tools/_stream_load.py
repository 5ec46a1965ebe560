"""Load client of the benchmarks: reads many streams in one process with one selector.

Usage: `python -m tools._stream_load HOST PORT STREAMS TOKENS SECONDS`. Prints one JSON line.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import time
from typing import Any

from attrs import define, field


@define(eq=False)
class _Reader:
    """Counts the tokens of one stream and the gaps between its reads."""

    socket: socket.socket
    last_read_at: float = 0.0
    """Time of the last read; 0 before the first."""
    tokens: int = 0
    is_complete: bool = False
    gaps_s: list[float] = field(factory=list)
    tail: bytes = b""
    """Last bytes read, so that a marker split between two reads is found."""

    def read(self, now: float) -> bool:
        """Reads and counts the available data; returns False at the end of the response."""
        data = self.socket.recv(1 << 18)
        if not data:
            return False
        if self.last_read_at:
            self.gaps_s.append(now - self.last_read_at)
        self.last_read_at = now
        text = self.tail + data
        self.tokens += text.count(b"\nid: ") - self.tail.count(b"\nid: ")
        self.is_complete = self.is_complete or b"data: [DONE]" in text
        self.tail = text[-16:]
        return True


def request_bytes(number: int, tokens: int, path: str = "/v1/chat/completions") -> bytes:
    """Returns the bytes of an HTTP request for a streaming chat."""
    body = json.dumps(
        {
            "model": "assistant",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"load {number}"}],
        }
    )
    return (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nX-Account: account-{number % 10}\r\n"
        f"X-Request-Id: load-{number}\r\nX-Chat-Id: load-{number}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def run(host: str, port: int, streams: int, tokens: int, seconds: float) -> dict[str, Any]:
    """Reads all streams until they end or the time limit is reached, and returns the totals.

    Args:
        host: Host of the router.
        port: HTTP port of the router.
        streams: Number of concurrent streams.
        tokens: Tokens requested per stream.
        seconds: Time limit.
    """
    selector = selectors.DefaultSelector()
    readers = []
    for number in range(streams):
        connection = socket.create_connection((host, port), 10)
        connection.sendall(request_bytes(number, tokens))
        reader = _Reader(connection)
        readers.append(reader)
        selector.register(connection, selectors.EVENT_READ, reader)
    started = time.monotonic()
    open_streams = streams
    while open_streams and time.monotonic() < started + seconds:
        for key, _ in selector.select(0.2):
            if not key.data.read(time.monotonic()):
                selector.unregister(key.fileobj)
                open_streams -= 1
    elapsed = time.monotonic() - started
    gaps = sorted(gap for reader in readers for gap in reader.gaps_s)
    for reader in readers:
        reader.socket.close()
    return {
        "tokens": sum(reader.tokens for reader in readers),
        "seconds": elapsed,
        "reads": len(gaps),
        "gap_p95_ms": gaps[int(0.95 * len(gaps))] * 1e3 if gaps else 0.0,
        "whole": sum(reader.is_complete for reader in readers),
    }


if __name__ == "__main__":
    host, port, streams, tokens, seconds = sys.argv[1:]
    print(json.dumps(run(host, int(port), int(streams), int(tokens), float(seconds))))
