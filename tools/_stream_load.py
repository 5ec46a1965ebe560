"""Load client of the benches: many streams in one process, driven by one selector.

Run as `python -m tools._stream_load HOST PORT STREAMS TOKENS SECONDS`; prints one JSON line.
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
    socket: socket.socket
    last: float = 0.0
    tokens: int = 0
    whole: bool = False
    gaps_s: list[float] = field(factory=list)
    tail: bytes = b""

    def read(self, now: float) -> bool:
        """Counts what has come; False at the end of the answer."""
        data = self.socket.recv(1 << 18)
        if not data:
            return False
        if self.last:
            self.gaps_s.append(now - self.last)
        self.last = now
        text = self.tail + data
        self.tokens += text.count(b"\nid: ") - self.tail.count(b"\nid: ")
        self.whole = self.whole or b"data: [DONE]" in text
        self.tail = text[-16:]
        return True


def request_bytes(number: int, tokens: int, path: str = "/v1/chat/completions") -> bytes:
    """Writes a streaming chat request."""
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
    """Reads all streams until they end or the time is over."""
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
        "whole": sum(reader.whole for reader in readers),
    }


if __name__ == "__main__":
    host, port, streams, tokens, seconds = sys.argv[1:]
    print(json.dumps(run(host, int(port), int(streams), int(tokens), float(seconds))))
