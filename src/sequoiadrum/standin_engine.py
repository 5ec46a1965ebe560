"""A stand-in for a model engine, for tests and trials.

It serves the HTTP interface that `_engine_http` calls. The number of available tokens depends on
the time since the start of the stream, so that a stream continues without a reader and can be
resumed. A request body that contains `crash-endpoint` crashes the engine. It also serves:

- `GET /kv/export?chat=ID` returns the number of cached tokens of a chat.
- `GET /kv/chats` returns the cached chats, the most recently used first.
- `GET /cache_events?since=N` returns the cache events after sequence number N.
- `GET /_stats` returns the counters.
- `POST /_faults` sets faults: `leaving` is reported with the load, `hang` delays every other call
  by this many seconds, `refuse` refuses every other call with status 503, `cut_after` interrupts
  each stream once, after this many tokens, and `pause_after` pauses each stream after this many
  tokens while the fault is set.
"""

from __future__ import annotations

import json
import os
import socket
import threading
import time
from collections import OrderedDict, deque
from hashlib import blake2b
from http.client import HTTPConnection
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, quote, unquote, urlsplit

from attrs import define, field, frozen

from sequoiadrum._standin_server import StandInHandler, StandInServer

if TYPE_CHECKING:
    from collections.abc import Callable

CRASH_MARKER: Final = b"crash-endpoint"
_DEFAULT_TOKENS: Final = 32
_FINISHED_RETENTION_S: Final = 30.0
_MAX_SLEEP_S: Final = 0.01


@frozen
class EngineOptions:
    """Speed, cache size and injected imperfections of the engine stand-in."""

    token_ms: float = 5.0
    """Time between two tokens, in milliseconds."""
    prefill_ms: float = 20.0
    """Time to the first token, in milliseconds; a fifth of it if a prefix is cached."""
    cache_chats: int = 1000
    """Number of chats whose prefix fits the cache; the least recently used is evicted."""
    load_lag_s: float = 0.3
    """Age of the reported load, in seconds."""
    event_loss_interval: int = 7
    """Every n-th cache event is lost; 0 disables the loss."""
    checks_fencing: bool = True
    """Whether orders with a lower fencing number than the highest received are refused."""
    stream_grace_s: float = 3.0
    """An unfinished stream without a reader is cancelled after this time, in seconds."""


@define(eq=False)
class _Stream:
    request_id: str
    chat_id: str
    text_seed: str
    started: float
    first_token_s: float
    tokens: int
    """Number of tokens of the complete response."""
    cached_tokens: int
    prompt_tokens: int
    readers: int = 0
    detached_at: float = 0.0
    cancelled: bool = False
    aborted: bool = False
    """Whether a crash ended the stream before it was complete."""

    def available_tokens(self, now: float, token_s: float) -> int:
        """Returns the number of tokens that are generated at a time."""
        since_first = now - self.started - self.first_token_s
        if since_first < 0:
            return 0
        return min(self.tokens, 1 + int(since_first / token_s) if token_s else self.tokens)


@define
class EngineState:
    """Streams, prefix cache, orders and counters of one engine."""

    options: EngineOptions
    crash: Callable[[], None]
    lock: threading.Lock = field(factory=threading.Lock)
    streams_by_id: dict[str, _Stream] = field(factory=dict)
    cache: OrderedDict[str, int] = field(factory=OrderedDict)
    loads: deque[tuple[float, int]] = field(factory=lambda: deque([(0.0, 0)], 10_000))
    events: list[dict[str, Any]] = field(factory=list)
    event_count: int = 0
    faults: dict[str, Any] = field(factory=dict)
    stats: dict[str, int] = field(factory=dict)
    models: list[str] = field(factory=list)
    role: str = "serve"
    highest_fencing_number: int = 0
    peak_in_flight: int = 0

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter; the caller must hold the lock."""
        self.stats[name] = self.stats.get(name, 0) + amount

    def in_flight(self, now: float) -> int:
        """Returns the number of streams that still generate tokens; the caller must hold the lock.

        Cancels streams that had no reader for too long, and removes those that ended long ago.
        """
        token_s = self.options.token_ms / 1e3
        running = 0
        for stream in list(self.streams_by_id.values()):
            finished = stream.available_tokens(now, token_s) >= stream.tokens
            detached_s = now - stream.detached_at if not stream.readers else 0.0
            if not finished and not stream.cancelled and detached_s > self.options.stream_grace_s:
                stream.cancelled = True
                self.count("abandoned")
            if finished or stream.cancelled:
                if now - stream.started > _FINISHED_RETENTION_S and not stream.readers:
                    del self.streams_by_id[stream.request_id]
            else:
                running += 1
        return running

    def start(self, request_id: str, chat_id: str, body: dict[str, Any]) -> _Stream:
        """Registers a stream, or returns the stream that this request id already has."""
        with self.lock:
            existing = self.streams_by_id.get(request_id)
            if existing is not None:
                self.count("repeated_requests")
                existing.readers += 1
                return existing
            prompt_tokens = sum(len(str(m.get("content", "")).split()) for m in body["messages"])
            cached = min(self.cache.get(chat_id, 0), prompt_tokens)
            self.count("requests")
            self.count("cache_hits" if cached else "cache_misses")
            seed = json.dumps(body.get("messages")) if body.get("seed") is not None else request_id
            tokens = int(body.get("max_tokens") or _DEFAULT_TOKENS)
            prefill_s = self.options.prefill_ms / 1e3 * (0.2 if cached else 1.0)
            now = time.monotonic()
            stream = _Stream(
                request_id, chat_id, seed, now, prefill_s, tokens, cached, prompt_tokens, 1
            )
            self.streams_by_id[request_id] = stream
            self.cache_prefix(chat_id, prompt_tokens + tokens)
            self.record_load(now)
            return stream

    def record_load(self, now: float) -> None:
        """Records the load for later reports, which lag behind; the caller must hold the lock."""
        running = self.in_flight(now)
        self.peak_in_flight = max(self.peak_in_flight, running)
        self.loads.append((now, running))

    def cache_prefix(self, chat_id: str, tokens: int) -> None:
        """Caches the prefix of a chat and evicts over the limit; the caller must hold the lock."""
        self.cache[chat_id] = max(tokens, self.cache.get(chat_id, 0))
        self.cache.move_to_end(chat_id)
        self._record_cache_event("stored", chat_id)
        while len(self.cache) > self.options.cache_chats:
            self._record_cache_event("evicted", self.cache.popitem(last=False)[0])

    def _record_cache_event(self, kind: str, chat_id: str) -> None:
        self.event_count += 1
        interval = self.options.event_loss_interval
        if not interval or self.event_count % interval:
            self.events.append({"seq": self.event_count, "kind": kind, "chat": chat_id})
            del self.events[:-1000]


class EngineServer(StandInServer):
    """HTTP server of the engine stand-in."""

    def __init__(
        self,
        host: str,
        port: int,
        options: EngineOptions,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self.state = EngineState(options, crash or self._crash)
        super().__init__(host, port, _Handler, self.state)

    def _crash(self) -> None:
        """Aborts all streams and clears the streams and the cache, as a restart does."""
        with self.state.lock:
            self.state.count("crashes")
            for stream in self.state.streams_by_id.values():
                stream.aborted = True
            self.state.streams_by_id.clear()
            self.state.cache.clear()


class _Handler(StandInHandler):
    state: EngineState

    def do_GET(self) -> None:
        """Handles load, resume, KV export, cached chats, cache events and counters."""
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if self._apply_faults():
            return
        if url.path == "/load":
            self._send_load()
        elif url.path.startswith("/v1/streams/"):
            self._resume(unquote(url.path.removeprefix("/v1/streams/")), int(query["offset"]))
        elif url.path == "/kv/export":
            with self.state.lock:
                self._send_json(200, {"tokens": self.state.cache.get(query["chat"], 0)})
        elif url.path == "/kv/chats":
            with self.state.lock:
                self._send_json(200, {"chats": list(reversed(self.state.cache))})
        elif url.path == "/cache_events":
            with self.state.lock:
                events = [e for e in self.state.events if e["seq"] > int(query["since"])]
            self._send_json(200, {"events": events})
        elif url.path == "/_stats":
            self._send_stats()
        else:
            self._send_json(404, {})

    def do_POST(self) -> None:
        """Handles chat completions, cancellation, KV import, orders and faults."""
        body = self.read_body()
        if self.path == "/_faults":
            self.state.faults.update(json.loads(body))
            self._send_json(200, {})
        elif self._apply_faults():
            return
        elif self.path == "/v1/chat/completions":
            self._chat(body)
        elif self.path.endswith("/cancel"):
            self._cancel(unquote(self.path.split("/")[3]), json.loads(body))
        elif self.path == "/kv/import":
            self._import_kv(json.loads(body))
        elif self.path == "/orders":
            self._apply_order(json.loads(body))
        else:
            self._send_json(404, {})

    def _apply_faults(self) -> bool:
        """Applies the faults `hang` and `refuse`; returns whether the call was refused."""
        if self.state.faults.get("hang"):
            time.sleep(float(self.state.faults["hang"]))
        if self.state.faults.get("refuse"):
            self._send_json(503, {})
            return True
        return False

    def _chat(self, body: bytes) -> None:
        if CRASH_MARKER in body:
            self.state.crash()
            self.close_connection = True
            return
        request_id = self.headers["X-Request-Id"]
        stream = self.state.start(request_id, self.headers["X-Chat-Id"], json.loads(body))
        self._send_stream(stream, 0)

    def _resume(self, request_id: str, offset: int) -> None:
        with self.state.lock:
            stream = self.state.streams_by_id.get(request_id)
            if stream is None or stream.cancelled:
                self._send_json(404, {})
                return
            stream.readers += 1
            self.state.count("resumed")
        self._send_stream(stream, offset)

    def _send_stream(self, stream: _Stream, offset: int) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            self._send_tokens(stream, offset)
        except OSError:
            self.close_connection = True
        finally:
            with self.state.lock:
                stream.readers -= 1
                stream.detached_at = time.monotonic()
                self.state.record_load(stream.detached_at)

    def _send_tokens(self, stream: _Stream, offset: int) -> None:
        token_s = self.state.options.token_ms / 1e3
        cut_after = self.state.faults.get("cut_after")
        while offset < stream.tokens:
            available = stream.available_tokens(time.monotonic(), token_s)
            pause_after = self.state.faults.get("pause_after")
            if pause_after is not None:
                available = min(available, int(pause_after))
            if stream.cancelled or stream.aborted:
                self.close_connection = True
                return
            if offset >= available:
                if self._is_reader_gone():
                    raise BrokenPipeError
                due_at = stream.started + stream.first_token_s + offset * token_s
                time.sleep(max(0.0005, min(_MAX_SLEEP_S, due_at - time.monotonic())))
                continue
            events = b"".join(_encode_event(stream, i) for i in range(offset, available))
            offset = available
            if (
                cut_after is not None
                and offset >= int(cut_after)
                and not self._was_interrupted_before(stream)
            ):
                self.connection.close()
                raise BrokenPipeError
            self._send_chunk(events)
        self._send_chunk(b"data: [DONE]\n\n")
        self._send_chunk(b"")

    def _is_reader_gone(self) -> bool:
        """Returns whether the reader closed its connection; does not block."""
        try:
            return not self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False

    def _was_interrupted_before(self, stream: _Stream) -> bool:
        """Counts an injected interruption; returns whether the stream had an earlier one."""
        with self.state.lock:
            key = f"cut:{stream.request_id}"
            self.state.count(key)
            return self.state.stats[key] > 1

    def _send_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _cancel(self, request_id: str, document: dict[str, Any]) -> None:
        with self.state.lock:
            stream = self.state.streams_by_id.get(request_id)
            if stream is not None and not (document.get("if_unattached") and stream.readers):
                stream.cancelled = True
                self.state.count("cancelled")
        self._send_json(200, {})

    def _send_load(self) -> None:
        now = time.monotonic()
        with self.state.lock:
            self.state.record_load(now)
            latest_visible = now - self.state.options.load_lag_s
            reported = next(
                (running for at, running in reversed(self.state.loads) if at <= latest_visible), 0
            )
        self._send_json(
            200,
            {
                "in_flight": reported,
                "leaving": bool(self.state.faults.get("leaving")),
                "models": self.state.models,
            },
        )

    def _send_stats(self) -> None:
        with self.state.lock:
            stats = {k: v for k, v in self.state.stats.items() if not k.startswith("cut:")}
            stats["in_flight"] = self.state.in_flight(time.monotonic())
            stats["peak_in_flight"] = self.state.peak_in_flight
        self._send_json(200, stats)

    def _import_kv(self, document: dict[str, Any]) -> None:
        chat_id = document["chat_id"]
        try:
            source = HTTPConnection(document["host"], document["port"], timeout=1)
            source.request("GET", f"/kv/export?chat={quote(chat_id, safe='')}")
            tokens = json.loads(source.getresponse().read())["tokens"]
            source.close()
        except OSError:
            self._send_json(404, {})
            return
        with self.state.lock:
            if tokens:
                self.state.cache_prefix(chat_id, tokens)
                self.state.count("kv_imports")
        self._send_json(200, {"tokens": tokens})

    def _apply_order(self, document: dict[str, Any]) -> None:
        state = self.state
        with state.lock:
            fencing_number = int(document["fencing_number"])
            if state.options.checks_fencing and fencing_number < state.highest_fencing_number:
                state.count("stale_orders_refused")
                self._send_json(409, {})
                return
            if fencing_number < state.highest_fencing_number:
                state.count("stale_orders_obeyed")
            state.highest_fencing_number = max(state.highest_fencing_number, fencing_number)
            state.count(f"orders_{document['action']}")
            if document["action"] == "load" and document["argument"] not in state.models:
                state.models.append(document["argument"])
            elif document["action"] == "unload" and document["argument"] in state.models:
                state.models.remove(document["argument"])
            elif document["action"] == "set_role":
                state.role = document["argument"]
        self._send_json(200, {})

    def _send_json(self, status: int, document: object) -> None:
        self.send_body(status, json.dumps(document).encode())


def token_text(seed: str, index: int) -> str:
    """Returns the text of one token of a response; the same seed and index give the same text."""
    return blake2b(f"{seed}:{index}".encode(), digest_size=3).hexdigest() + " "


def _encode_event(stream: _Stream, index: int) -> bytes:
    last = index == stream.tokens - 1
    document: dict[str, Any] = {
        "id": stream.request_id,
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": {"content": token_text(stream.text_seed, index)},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        document["usage"] = {
            "prompt_tokens": stream.prompt_tokens,
            "completion_tokens": stream.tokens,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        }
    return b"id: %d\ndata: %s\n\n" % (index, json.dumps(document).encode())


def serve(host: str, port: int, options: EngineOptions, announce: Callable[[str], None]) -> None:
    """Runs the engine stand-in until the process ends; a crash exits with status 70."""
    EngineServer(host, port, options, crash=lambda: os._exit(70)).run("engine", announce)
