"""The caller interface: a WSGI application on waitress.

The calls are described in docs/callers.md.
"""

from __future__ import annotations

import json
import re
import threading
import time
import uuid
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve, frozen
from returns.result import Failure, Result, Success
from waitress.server import create_server

from sequoiadrum._wsgi import (
    HttpRequest,
    refusal_document,
    respond,
    respond_json,
    respond_refusal,
)
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import stable_hash
from sequoiadrum.interfaces import KeyedCall, KeyedState
from sequoiadrum.messages import ChatRequest
from sequoiadrum.service_client import ServiceRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from sequoiadrum._wsgi import StartResponse
    from sequoiadrum.chat_relay import ChatRelay, ChatStream
    from sequoiadrum.interfaces import (
        AccountLimits,
        ConfigSource,
        Directory,
        KeyedCalls,
        KeyedOutcome,
    )
    from sequoiadrum.messages import Route, StreamEvent
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.service_relay import ServiceRelay
    from sequoiadrum.settings import Settings

_SPARE_THREADS: Final = 16
"""Threads above `max_streams`, so that refusals and short calls are answered under load."""
_EVENT_ID: Final = re.compile(r"^([A-Za-z0-9_-]{1,100})\.([A-Za-z0-9_-]{1,64})\.(\d{1,9})$")
_REQUEST_ID: Final = re.compile(r"^[A-Za-z0-9_-]{1,100}$")
_ROUTING_FIELDS: Final = ("metadata", "user")
_OUTPUT_BUFFER_BYTES: Final = 262_144
"""Output kept for a slow reader before its thread waits."""


@frozen
class FrontParts:
    """What the front calls."""

    config: ConfigSource
    limits: AccountLimits
    relay: ChatRelay
    services: ServiceRelay
    keyed: KeyedCalls
    directory: Directory
    metrics: Metrics


class HttpFront:
    """Owns the listening socket for callers."""

    def __init__(self, settings: Settings, parts: FrontParts) -> None:
        self._settings = settings
        self._parts = parts
        self._lock = threading.Lock()
        self._active = 0
        self._stopping = False
        threads = settings.max_streams + _SPARE_THREADS
        self._server = create_server(
            self.application,
            host=settings.host,
            port=settings.http_port,
            threads=threads,
            connection_limit=4 * threads,
            backlog=1024,
            channel_request_lookahead=1,
            max_request_body_size=settings.max_body_bytes,
            outbuf_high_watermark=_OUTPUT_BUFFER_BYTES,
            clear_untrusted_proxy_headers=True,
            ident="sequoiadrum",
        )
        self.port: Final[int] = int(self._server.effective_port)
        self._thread = threading.Thread(target=self._serve, name="http-front", daemon=True)

    def start(self) -> None:
        """Begins to answer."""
        self._thread.start()

    def refuse_new(self) -> None:
        """Turns new requests away; those in flight go on."""
        self._stopping = True

    def active(self) -> int:
        """How many requests are in flight."""
        return self._active

    def stop(self) -> None:
        """Closes the listening socket and the connections."""
        self._server.close()

    def _serve(self) -> None:
        try:
            self._server.run()
        except OSError:
            if not self._stopping:
                raise

    def application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """The WSGI application."""
        request = HttpRequest(environ)
        path = request.path
        if path == "/metrics":
            text = self._parts.metrics.exposition().encode()
            return respond(start_response, 200, text, "text/plain; version=0.0.4")
        if path == "/healthz":
            return respond_json(start_response, 200, {"alive": True})
        refusal = self._gate()
        if refusal is not None:
            return self._refuse(start_response, refusal)
        if path == "/readyz":
            self._leave()
            return respond_json(start_response, 200, {"ready": True})
        try:
            answer = self._dispatch(request, path, start_response)
        except BaseException:
            self._leave()
            raise
        return _Tracked(answer, self._leave)

    def _dispatch(
        self, request: HttpRequest, path: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        if path == "/v1/address":
            return self._address(request, start_response)
        if path == "/v1/chat/completions":
            return self._chat(request, start_response)
        if path.startswith("/v1/streams/"):
            return self._attach(request, path.removeprefix("/v1/streams/"), start_response)
        if path.startswith("/v1/services/"):
            return self._service(request, path.removeprefix("/v1/services/"), start_response)
        if path.startswith("/v1/calls/"):
            return self._call_status(request, path.removeprefix("/v1/calls/"), start_response)
        return self._refuse(start_response, Refusal(RefusalReason.NOT_FOUND, "no such path"))

    def _gate(self) -> Refusal | None:
        """Refuses before any work; counts the request as active otherwise."""
        if self._stopping:
            return Refusal(RefusalReason.STOPPING, "this router is stopping", 0)
        unready = self._parts.config.refusal()
        if unready is not None:
            return unready
        with self._lock:
            if self._active >= self._settings.max_streams:
                return Refusal(RefusalReason.OVERLOADED, "too many requests in flight", 200)
            self._active += 1
        return None

    def _leave(self) -> None:
        with self._lock:
            self._active -= 1

    def _refuse(self, start_response: StartResponse, refusal: Refusal) -> list[bytes]:
        self._parts.metrics.count("refusals_total", reason=refusal.reason.value)
        return respond_refusal(start_response, refusal)

    def _address(self, request: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        query = request.query()
        operation = query.get("operation", "chat")
        key = query.get("chat", "") if operation == "chat" else query.get("key", "")
        addresses = self._parts.directory.address_for(f"{operation}:{key}")
        if not addresses:
            return self._refuse(
                start_response, Refusal(RefusalReason.NOT_READY, "no router is known", 500)
            )
        document = {
            "address": str(addresses[0]),
            "alternates": [str(address) for address in addresses[1:3]],
            "ttl_ms": int(self._settings.address_ttl_s * 1e3),
        }
        return respond_json(start_response, 200, document)

    def _chat(self, request: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        started = time.monotonic()
        if request.method != "POST":
            return self._refuse(
                start_response, Refusal(RefusalReason.METHOD_NOT_ALLOWED, "use POST")
            )
        parsed = self._parse_chat(request, started)
        if isinstance(parsed, Failure):
            return self._refuse(start_response, parsed.failure())
        chat_request, pool, streaming = parsed.unwrap()
        result = self._parts.relay.start(chat_request, pool)
        if isinstance(result, Failure):
            return self._refuse(start_response, result.failure())
        chat = result.unwrap()
        self._parts.metrics.record_seconds("first_token_seconds", time.monotonic() - started)
        if streaming:
            return self._stream(chat, started, start_response)
        return self._collect(chat, started, start_response)

    def _parse_chat(
        self, request: HttpRequest, now: float
    ) -> Result[tuple[ChatRequest, str, bool], Refusal]:
        body = request.body()
        if len(body) > self._settings.max_body_bytes:
            return Failure(Refusal(RefusalReason.BODY_TOO_LARGE, "the body is too large"))
        document = _json_object(body)
        if document is None or not _messages_are_valid(document.get("messages")):
            detail = "the body must be a JSON object with a list `messages` of objects"
            return Failure(Refusal(RefusalReason.BAD_REQUEST, detail))
        metadata = document.get("metadata")
        metadata = metadata if isinstance(metadata, dict) else {}
        account = request.header("X-Account") or str(
            metadata.get("account") or document.get("user") or ""
        )
        route = self._parts.config.current().routes_by_name.get(str(document.get("model")))
        refusal = self._check_account(account) or _check_route(route)
        if refusal is not None or route is None:
            return Failure(refusal or Refusal(RefusalReason.ROUTE_UNKNOWN))
        request_id = request.header("X-Request-Id") or uuid.uuid4().hex
        priority = request.header("X-Priority") or str(metadata.get("priority", 1))
        if not _REQUEST_ID.match(request_id) or priority not in ("0", "1", "2"):
            detail = "X-Request-Id must be 1 to 100 of A-Z a-z 0-9 _ -, X-Priority 0, 1 or 2"
            return Failure(Refusal(RefusalReason.BAD_REQUEST, detail))
        deadline = self._deadline(request, now)
        if deadline is None:
            return Failure(Refusal(RefusalReason.BAD_REQUEST, "X-Deadline-Ms must be a number"))
        streaming = document.get("stream") is True
        forwarded = {k: v for k, v in document.items() if k not in _ROUTING_FIELDS}
        forwarded["stream"] = True
        encoded = json.dumps(forwarded).encode()
        chat_request = ChatRequest(
            request_id=request_id,
            chat_id=request.header("X-Chat-Id") or str(metadata.get("chat_id") or request_id),
            account=account,
            model=route.name,
            body=encoded,
            priority=int(priority),
            deadline=deadline,
            replayable=document.get("temperature") == 0 and document.get("seed") is not None,
            fingerprint=f"{stable_hash(account, route.pool, encoded.decode()):016x}",
        )
        return Success((chat_request, route.pool, streaming))

    def _check_account(self, account: str) -> Refusal | None:
        if account not in self._parts.config.current().accounts_by_name:
            return Refusal(RefusalReason.ACCOUNT_UNKNOWN, f"no account {account[:100]!r}")
        return self._parts.limits.admit(account)

    def _deadline(self, request: HttpRequest, now: float) -> float | None:
        text = request.header("X-Deadline-Ms")
        if not text:
            return now + self._settings.request_timeout_s
        if not text.isdigit() or len(text) > 9:
            return None
        return now + min(int(text) / 1e3, self._settings.request_timeout_s)

    def _stream(
        self, chat: ChatStream, started: float, start_response: StartResponse
    ) -> Iterable[bytes]:
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-store"),
                ("X-Request-Id", chat.request.request_id),
            ],
        )
        return _ChatFrames(chat, started, self._parts.metrics)

    def _collect(
        self, chat: ChatStream, started: float, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            events = [event for batch in chat for event in batch]
            if chat.failure is not None:
                return self._refuse(start_response, chat.failure)
            return respond_json(
                start_response,
                200,
                _whole_answer(chat, events),
                [("X-Request-Id", chat.request.request_id)],
            )
        finally:
            chat.close()
            self._parts.metrics.record_seconds("chat_seconds", time.monotonic() - started)

    def _attach(
        self, request: HttpRequest, request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        started = time.monotonic()
        match = _EVENT_ID.match(request.header("Last-Event-ID"))
        if match is None or match[1] != request_id:
            detail = "Last-Event-ID must be the id of an event of this stream"
            return self._refuse(start_response, Refusal(RefusalReason.BAD_REQUEST, detail))
        chat_request = ChatRequest(
            request_id=request_id,
            chat_id="",
            account="",
            model="",
            body=b"",
            deadline=started + self._settings.request_timeout_s,
        )
        result = self._parts.relay.attach(chat_request, match[2], int(match[3]) + 1)
        if isinstance(result, Failure):
            return self._refuse(start_response, result.failure())
        return self._stream(result.unwrap(), started, start_response)

    def _service(
        self, request: HttpRequest, rest: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        name, _, path = rest.partition("/")
        route = self._parts.config.current().routes_by_name.get(name)
        account = request.header("X-Account")
        refusal = self._check_account(account) or _check_route(route)
        deadline = self._deadline(request, time.monotonic())
        if deadline is None:
            refusal = Refusal(RefusalReason.BAD_REQUEST, "X-Deadline-Ms must be a number")
        if refusal is not None or route is None or deadline is None:
            return self._refuse(start_response, refusal or Refusal(RefusalReason.ROUTE_UNKNOWN))
        query = str(request.environ.get("QUERY_STRING") or "")
        service_request = ServiceRequest(
            method=request.method,
            path=f"/{path}" + (f"?{query}" if query else ""),
            content_type=request.content_type(),
            body=request.body(),
        )
        if route.idempotent:
            result = self._parts.services.call(route.pool, account, service_request, deadline)
            if isinstance(result, Failure):
                return self._refuse(start_response, result.failure())
            answer = result.unwrap()
            return respond(start_response, answer.status, answer.body, answer.content_type)
        return self._keyed(request, route, account, service_request, deadline, start_response)

    def _keyed(
        self,
        request: HttpRequest,
        route: Route,
        account: str,
        service_request: ServiceRequest,
        deadline: float,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        key = request.header("Idempotency-Key")
        issued_at = request.header("Idempotency-Issued-At")
        if not key or len(key) > 200 or not issued_at.isdigit() or len(issued_at) > 15:
            detail = (
                "Idempotency-Key (at most 200 characters) and Idempotency-Issued-At "
                "(Unix time in milliseconds) are required"
            )
            return self._refuse(start_response, Refusal(RefusalReason.KEY_MISSING, detail))
        outcome = self._parts.keyed.submit(
            KeyedCall(
                service=route.name,
                account=account,
                key=key,
                issued_at_ms=int(issued_at),
                request=evolve(service_request, idempotency_key=f"{account}:{key}"),
                deadline=deadline,
            )
        )
        return self._keyed_answer(outcome, start_response)

    def _keyed_answer(
        self, outcome: KeyedOutcome, start_response: StartResponse
    ) -> Iterable[bytes]:
        self._parts.metrics.count("keyed_calls_total", outcome=outcome.state.value)
        if outcome.state is KeyedState.DONE:
            return respond(
                start_response,
                outcome.status,
                outcome.body,
                outcome.content_type,
                [("X-Outcome", outcome.state.value)],
            )
        if outcome.refusal is None:
            return respond_json(start_response, 202, {"outcome": outcome.state.value})
        return self._refuse(start_response, outcome.refusal)

    def _call_status(
        self, request: HttpRequest, service: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        query = request.query()
        issued_at = query.get("issued_at", "")
        if not query.get("key") or not issued_at.isdigit():
            return self._refuse(
                start_response, Refusal(RefusalReason.KEY_MISSING, "key and issued_at are required")
            )
        outcome = self._parts.keyed.status(
            service, request.header("X-Account"), query["key"], int(issued_at)
        )
        document: dict[str, Any] = {"outcome": outcome.state.value}
        if outcome.state is KeyedState.DONE:
            document["status"] = outcome.status
            document["content_type"] = outcome.content_type
            document["body"] = outcome.body.decode("utf-8", "replace")
        if outcome.refusal is not None:
            document.update(refusal_document(outcome.refusal))
        return respond_json(start_response, 200, document)


class _Tracked:
    """Runs a function once when the server has finished with an answer."""

    def __init__(self, answer: Iterable[bytes], finished: Callable[[], None]) -> None:
        self._answer = answer
        self._finished = finished
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        yield from self._answer

    def close(self) -> None:
        """Closes the answer; called by the WSGI server in all cases."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._answer, "close", None)
            if close is not None:
                close()
        finally:
            self._finished()


class _ChatFrames:
    """The server-sent events of an answer; `close` releases it even if it was never read."""

    def __init__(self, chat: ChatStream, started: float, metrics: Metrics) -> None:
        self._chat = chat
        self._started = started
        self._metrics = metrics

    def __iter__(self) -> Iterator[bytes]:
        chat = self._chat
        for events in chat:
            yield b"".join(_frame(chat, event) for event in events)
        if chat.failure is None:
            yield b"data: [DONE]\n\n"
        else:
            self._metrics.count("refusals_total", reason=chat.failure.reason.value)
            document = json.dumps(refusal_document(chat.failure))
            yield f"event: error\ndata: {document}\n\n".encode()

    def close(self) -> None:
        """Ends the answer; called by the WSGI server in all cases."""
        self._chat.close()
        self._metrics.record_seconds("chat_seconds", time.monotonic() - self._started)


def _frame(chat: ChatStream, event: StreamEvent) -> bytes:
    event_id = f"{chat.request.request_id}.{chat.endpoint_id}.{event.offset}"
    return b"id: %s\ndata: %s\n\n" % (event_id.encode(), event.data)


def _whole_answer(chat: ChatStream, events: Sequence[StreamEvent]) -> dict[str, Any]:
    documents = [json.loads(event.data) for event in events]
    content = "".join(d["choices"][0]["delta"].get("content") or "" for d in documents)
    last = documents[-1] if documents else {}
    return {
        "id": chat.request.request_id,
        "object": "chat.completion",
        "model": chat.request.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": last["choices"][0]["finish_reason"] if documents else "stop",
            }
        ],
        "usage": last.get("usage"),
    }


def _json_object(body: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _messages_are_valid(messages: object) -> bool:
    return isinstance(messages, list) and all(isinstance(entry, dict) for entry in messages)


def _check_route(route: Route | None) -> Refusal | None:
    return None if route else Refusal(RefusalReason.ROUTE_UNKNOWN, "no such model or service")
