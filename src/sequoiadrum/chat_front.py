"""Chat calls of the HTTP interface for callers: completions and the resumption of streams."""

from __future__ import annotations

import json
import re
import time
import uuid
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._front_server import internal_error
from sequoiadrum._wsgi import parse_deadline, refusal_document, refuse, respond_json
from sequoiadrum.chat_completion import merge_events
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.hashing import stable_hash
from sequoiadrum.messages import ChatRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from sequoiadrum._wsgi import HttpRequest, StartResponse
    from sequoiadrum.chat_relay import ChatRelay
    from sequoiadrum.chat_stream import ChatStream
    from sequoiadrum.interfaces import AccountLimits, ConfigSource
    from sequoiadrum.messages import Route
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.settings import Settings

_EVENT_ID: Final = re.compile(r"([A-Za-z0-9_-]{1,100})\.([A-Za-z0-9_-]{1,64})\.([0-9]{1,9})")
_CALLER_REQUEST_ID: Final = re.compile(r"[A-Za-z0-9_-]{1,64}")
_CHAT_ID: Final = re.compile(r"[\x21-\x7e]{1,200}")
_ROUTING_FIELDS: Final = ("metadata", "user")
"""Fields of the body that only the router reads; they are not forwarded to the engine."""


@frozen
class _ParsedChat:
    """A valid chat request and how it is routed."""

    request: ChatRequest
    pool: str
    streaming: bool
    """Whether the caller asked for a stream of events."""


def _bad_request(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_REQUEST, detail)


@frozen
class ChatFront:
    """Parses chat requests and writes their responses."""

    settings: Settings
    config: ConfigSource
    limits: AccountLimits
    relay: ChatRelay
    metrics: Metrics
    linger_s: Callable[[], float]
    """Returns the time in seconds for which events are batched into one write."""

    def complete(self, request: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        """Handles `/v1/chat/completions`."""
        started = time.monotonic()
        parsed = self._parse(request, started)
        if isinstance(parsed, Failure):
            return refuse(self.metrics, start_response, parsed.failure())
        chat = parsed.unwrap()
        result = self.relay.start(
            chat.request, chat.pool, chat.streaming, request.is_disconnected, self.linger_s
        )
        if isinstance(result, Failure):
            return refuse(self.metrics, start_response, result.failure())
        self.metrics.record_seconds("first_token_seconds", time.monotonic() - started)
        if chat.streaming:
            return self._stream(result.unwrap(), started, start_response)
        return self._collect(result.unwrap(), started, start_response)

    def attach(
        self, request: HttpRequest, request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles `/v1/streams/ID`: sends the events after the header `Last-Event-ID`."""
        started = time.monotonic()
        match = _EVENT_ID.fullmatch(request.header("Last-Event-ID"))
        deadline = parse_deadline(request, started, self.settings.request_timeout_s)
        if match is None or match[1] != request_id:
            detail = "Last-Event-ID must be the id of an event of this stream"
            return refuse(self.metrics, start_response, _bad_request(detail))
        if deadline is None:
            return refuse(
                self.metrics, start_response, _bad_request("X-Deadline-Ms must be a number")
            )
        chat_request = ChatRequest(
            request_id=request_id, chat_id="", account="", model="", body=b"", deadline=deadline
        )
        result = self.relay.attach(
            chat_request, match[2], int(match[3]) + 1, request.is_disconnected, self.linger_s
        )
        if isinstance(result, Failure):
            return refuse(self.metrics, start_response, result.failure())
        return self._stream(result.unwrap(), started, start_response)

    def _parse(self, request: HttpRequest, now: float) -> Result[_ParsedChat, Refusal]:
        account = request.header("X-Account")
        # If the header names the account, the limit applies before the body is parsed.
        refusal = self.limits.admit(account) if account else None
        if refusal is not None:
            return Failure(refusal)
        document = _json_object(request.body())
        if document is None or not _messages_are_valid(document.get("messages")):
            detail = "the body must be a JSON object with a list `messages` of objects"
            return Failure(_bad_request(detail))
        metadata = document.get("metadata")
        metadata = metadata if isinstance(metadata, dict) else {}
        if not account:
            account = str(metadata.get("account") or document.get("user") or "")
            refusal = self.limits.admit(account)
        route = self.config.current().routes_by_name.get(str(document.get("model")))
        if refusal is None and route is None:
            refusal = Refusal(RefusalReason.ROUTE_UNKNOWN, "no such model")
        if refusal is not None or route is None:
            return Failure(refusal or _bad_request(""))
        return self._build_request(request, document, metadata, account, route, now)

    def _build_request(
        self,
        request: HttpRequest,
        document: dict[str, Any],
        metadata: dict[str, Any],
        account: str,
        route: Route,
        now: float,
    ) -> Result[_ParsedChat, Refusal]:
        caller_request_id = request.header("X-Request-Id") or "r"
        priority = request.header("X-Priority") or str(metadata.get("priority", 1))
        if not _CALLER_REQUEST_ID.fullmatch(caller_request_id) or priority not in ("0", "1", "2"):
            detail = "X-Request-Id must be 1 to 64 of A-Z a-z 0-9 _ -, X-Priority 0, 1 or 2"
            return Failure(_bad_request(detail))
        deadline = parse_deadline(request, now, self.settings.request_timeout_s)
        if deadline is None:
            return Failure(_bad_request("X-Deadline-Ms must be a number"))
        streaming = document.get("stream", False)
        if not isinstance(streaming, bool):
            return Failure(_bad_request("`stream` must be true or false"))
        # Two requests with the same id would share one stream at the engine: a caller could
        # receive the response to another caller's request.
        request_id = f"{caller_request_id}-{uuid.uuid4().hex}"
        chat_id = request.header("X-Chat-Id") or str(metadata.get("chat_id") or request_id)
        if not _CHAT_ID.fullmatch(chat_id):
            return Failure(_bad_request("X-Chat-Id must be 1 to 200 visible ASCII characters"))
        forwarded = {k: v for k, v in document.items() if k not in _ROUTING_FIELDS}
        forwarded["stream"] = True
        encoded = _encode_json(forwarded)
        if encoded is None:
            return Failure(_bad_request("the body is nested too deeply"))
        chat_request = ChatRequest(
            request_id=request_id,
            chat_id=chat_id,
            account=account,
            model=route.name,
            body=encoded,
            priority=int(priority),
            deadline=deadline,
            replayable=_is_zero(document.get("temperature")) and document.get("seed") is not None,
            fingerprint=f"{stable_hash(account, route.pool, encoded.decode()):016x}",
        )
        return Success(_ParsedChat(chat_request, route.pool, streaming))

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
        return _EventStreamBody(chat, started, self.metrics)

    def _collect(
        self, chat: ChatStream, started: float, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            events = chat.collect()
            refusal = chat.failure
            completion = None if refusal else merge_events(chat.request, events)
            if completion is None:
                detail = "the engine's answer is malformed"
                refusal = refusal or Refusal(RefusalReason.ENDPOINT_FAILED, detail, ran=True)
                return refuse(self.metrics, start_response, refusal)
            headers = [("X-Request-Id", chat.request.request_id)]
            return respond_json(start_response, 200, completion, headers)
        finally:
            chat.close()
            self.metrics.record_seconds("chat_seconds", time.monotonic() - started)


class _EventStreamBody:
    """WSGI body that sends a chat as server-sent events.

    `close` releases the chat even if the body was never read.
    """

    def __init__(self, chat: ChatStream, started: float, metrics: Metrics) -> None:
        self._chat = chat
        self._started = started
        self._metrics = metrics

    def __iter__(self) -> Iterator[bytes]:
        chat = self._chat
        try:
            for events in chat:
                # Set for each batch: a restart on another engine changes the endpoint in the ids.
                prefix = f"id: {chat.request.request_id}.{chat.endpoint_id}.".encode()
                yield b"".join([b"%b%d\ndata: %b\n\n" % (prefix, e.offset, e.data) for e in events])
            failure = chat.failure
        except Exception as error:  # The status is sent; only an event can report the error.
            failure = internal_error(error, self._metrics)
        if failure is None:
            yield b"data: [DONE]\n\n"
        else:
            self._metrics.count("refusals_total", reason=failure.reason.value)
            document = json.dumps(refusal_document(failure))
            yield f"event: error\ndata: {document}\n\n".encode()

    def close(self) -> None:
        """Closes the chat; the WSGI server always calls this, also after errors."""
        self._chat.close()
        self._metrics.record_seconds("chat_seconds", time.monotonic() - self._started)


def _json_object(body: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _encode_json(document: dict[str, Any]) -> bytes | None:
    try:
        return json.dumps(document).encode()
    except RecursionError:
        return None


def _messages_are_valid(messages: object) -> bool:
    return isinstance(messages, list) and all(isinstance(entry, dict) for entry in messages)


def _is_zero(value: object) -> bool:
    return value == 0 and not isinstance(value, bool)
