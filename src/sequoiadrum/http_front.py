"""HTTP interface for callers: a WSGI application that is served by waitress.

The calls are described in docs/callers.md.
"""

from __future__ import annotations

import sys
import threading
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum._front_server import FrontServer, internal_error
from sequoiadrum._wsgi import HttpRequest, refuse, respond, respond_json
from sequoiadrum.chat_front import ChatFront
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.service_front import ServiceFront
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from sequoiadrum._wsgi import StartResponse
    from sequoiadrum.chat_relay import ChatRelay
    from sequoiadrum.interfaces import AccountLimits, ConfigSource, Directory, KeyedCalls
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.service_relay import ServiceRelay
    from sequoiadrum.settings import Settings

_MAX_UNBATCHED_STREAMS: Final = 16
"""Up to this number of requests in flight, each event is sent immediately."""
_LINGER_S_PER_STREAM: Final = 2e-4
"""Batching time in seconds for each request in flight.

Writing one event costs about as much as writing ten; see docs/measurements/relay.txt.
"""
_MAX_LINGER_S: Final = 0.02
"""Far below the 68 ms between two tokens that callers are promised."""
_STOPPING: Final = Refusal(RefusalReason.STOPPING, "this router is stopping", 0)
_SERVICE_METHODS: Final = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})


@frozen
class FrontParts:
    """Dependencies of `HttpFront`."""

    config: ConfigSource
    limits: AccountLimits
    relay: ChatRelay
    services: ServiceRelay
    keyed: KeyedCalls
    directory: Directory
    metrics: Metrics
    can_serve: Callable[[], bool]
    """Returns whether the threads that serving needs can be kept running."""


class HttpFront:
    """Serves the HTTP requests of callers and owns the listening socket."""

    def __init__(self, settings: Settings, parts: FrontParts) -> None:
        self._settings = settings
        self._parts = parts
        self._metrics = parts.metrics
        self._lock = threading.Lock()
        self._active = 0
        self._stopping = False
        self._chats = ChatFront(
            settings, parts.config, parts.limits, parts.relay, parts.metrics, self._linger_s
        )
        self._services = ServiceFront(
            settings, parts.config, parts.limits, parts.services, parts.keyed, parts.metrics
        )
        self.server: Final = FrontServer(self.application, settings, parts.metrics)
        self.port: Final[int] = int(self.server.effective_port)
        self._metrics.gauge("requests_queued", lambda: float(self.server.queued()))
        self._metrics.gauge("connections", lambda: float(len(self.server.active_channels)))
        self.thread: Final = SupervisedThread("http-front", self._serve, parts.metrics)

    def start(self) -> None:
        """Starts the thread that serves requests."""
        self.thread.start()

    def refuse_new_requests(self) -> None:
        """Refuses new requests from now on; requests in flight continue."""
        with self._lock:
            self._stopping = True

    def active(self) -> int:
        """Returns the number of requests in flight."""
        with self._lock:
            return self._active

    def is_drained(self) -> bool:
        """Returns whether every request that was read has its complete response."""
        channels = list(self.server.active_channels.values())
        return not self.active() and all(channel.is_idle() for channel in channels)

    def stop(self) -> None:
        """Closes the listening socket and the connections."""
        self._stopping = True
        self.thread.stop()
        self.server.close()

    def application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles a request as a WSGI application; an unexpected exception is a typed error."""
        try:
            return self._handle(HttpRequest(environ), start_response)
        except Exception as error:
            replace = partial(start_response, exc_info=sys.exc_info())
            return refuse(self._metrics, replace, internal_error(error, self._metrics))

    def _handle(self, request: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        path = request.path
        if path == "/metrics":
            text = self._metrics.exposition().encode()
            return respond(start_response, 200, text, "text/plain; version=0.0.4")
        if path == "/healthz":
            return respond_json(start_response, 200, {"alive": True})
        refusal = self._admit(request)
        if refusal is not None:
            return refuse(self._metrics, start_response, refusal)
        try:
            response = self._dispatch(request, path, start_response)
        except BaseException:
            self._finish_request()
            raise
        return _TrackedResponse(response, self._finish_request)

    def _dispatch(
        self, request: HttpRequest, path: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        methods, handler = self._route(path)
        if request.method in methods:
            return handler(request, start_response)
        refusal = Refusal(RefusalReason.NOT_FOUND, "no such path")
        if methods:
            detail = f"use {' or '.join(sorted(methods))}"
            refusal = Refusal(RefusalReason.METHOD_NOT_ALLOWED, detail)
        return refuse(self._metrics, start_response, refusal)

    def _route(
        self, path: str
    ) -> tuple[frozenset[str] | set[str], Callable[[HttpRequest, StartResponse], Iterable[bytes]]]:
        if path == "/v1/address":
            return {"GET"}, self._resolve_address
        if path == "/readyz":
            return {"GET"}, self._report_readiness
        if path == "/v1/chat/completions":
            return {"POST"}, self._chats.complete
        if path.startswith("/v1/streams/"):
            suffix = path.removeprefix("/v1/streams/")
            return {"GET"}, lambda request, start: self._chats.attach(request, suffix, start)
        if path.startswith("/v1/services/"):
            suffix = path.removeprefix("/v1/services/")
            return _SERVICE_METHODS, lambda request, start: self._services.call(
                request, suffix, start
            )
        if path.startswith("/v1/calls/"):
            suffix = path.removeprefix("/v1/calls/")
            return {"GET"}, lambda request, start: self._services.status(request, suffix, start)
        return set(), lambda _, __: ()

    def _admit(self, request: HttpRequest) -> Refusal | None:
        """Counts the request as active, or returns why it is refused before any other work."""
        if self._stopping:
            return _STOPPING
        config_refusal = self._parts.config.refusal()
        if config_refusal is not None:
            return config_refusal
        if request.content_length() > self._settings.max_body_bytes:
            detail = f"the body is larger than {self._settings.max_body_bytes} bytes"
            return Refusal(RefusalReason.BODY_TOO_LARGE, detail)
        with self._lock:
            # Checked again, since a shutdown counts the requests in flight under this lock.
            if self._stopping:
                return _STOPPING
            if self._active >= self._settings.max_streams:
                return Refusal(RefusalReason.OVERLOADED, "too many requests in flight", 200)
            self._active += 1
        return None

    def _finish_request(self) -> None:
        with self._lock:
            self._active -= 1

    def _linger_s(self) -> float:
        """Returns the time in seconds for which events are batched.

        It grows with the number of requests in flight: under load, separate writes cost more
        than waiting for further events.
        """
        streams = self._active
        if streams <= _MAX_UNBATCHED_STREAMS:
            return 0.0
        return min(_MAX_LINGER_S, streams * _LINGER_S_PER_STREAM)

    def _report_readiness(self, _: HttpRequest, start_response: StartResponse) -> Iterable[bytes]:
        if self._parts.can_serve():
            return respond_json(start_response, 200, {"ready": True})
        refusal = Refusal(RefusalReason.NOT_READY, "a thread cannot be kept running", 1_000)
        return refuse(self._metrics, start_response, refusal)

    def _resolve_address(
        self, request: HttpRequest, start_response: StartResponse
    ) -> Iterable[bytes]:
        query = request.query()
        operation = query.get("operation", "chat")
        key = query.get("chat", "") if operation == "chat" else query.get("key", "")
        preferred = ""
        if operation != "chat" and key:
            account = query.get("account") or request.header("X-Account")
            preferred = self._parts.keyed.router_for(operation, account, key)
        addresses = self._parts.directory.address_for(f"{operation}:{key}", preferred)
        if not addresses:
            refusal = Refusal(RefusalReason.NOT_READY, "no router is known", 500)
            return refuse(self._metrics, start_response, refusal)
        document = {
            "address": str(addresses[0]),
            "alternates": [str(address) for address in addresses[1:3]],
            "ttl_ms": int(self._settings.address_ttl_s * 1e3),
        }
        return respond_json(start_response, 200, document)

    def _serve(self) -> None:
        try:
            self.server.run()
        except OSError:
            if not self._stopping:
                raise


class _TrackedResponse:
    """A response that calls a function once when the server has finished with it."""

    def __init__(self, response: Iterable[bytes], finished: Callable[[], None]) -> None:
        self._response = response
        self._finished = finished
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        yield from self._response

    def close(self) -> None:
        """Closes the response; the WSGI server always calls this, also after errors."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._response, "close", None)
            if close is not None:
                close()
        finally:
            self._finished()
