"""The HTTP server that the stand-ins share."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable


class StandInHandler(BaseHTTPRequestHandler):
    """Keep-alive HTTP without log lines; `state` is set by `StandInServer`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Keeps the console quiet."""

    def read_body(self) -> bytes:
        """Reads the whole request body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def send_body(self, status: int, body: bytes) -> None:
        """Sends a JSON answer with its length."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StandInServer:
    """Serves a stand-in in threads of its own."""

    def __init__(self, host: str, port: int, handler: type[StandInHandler], state: object) -> None:
        """Binds the socket.

        Args:
            host: IP address.
            port: TCP port; 0 lets the system choose.
            handler: Answers the requests.
            state: What the handlers find as their attribute `state`.

        Raises:
            OSError: The address is in use or not local.
        """
        self._server = _QuietServer((host, port), type("Handler", (handler,), {"state": state}))
        self.port: Final[int] = self._server.server_address[1]
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> None:
        """Begins to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def run(self, name: str, announce: Callable[[str], None]) -> None:
        """Serves until the process ends; announces the address first."""
        self.start()
        announce(f"{name} stand-in on {self._server.server_address[0]!s}:{self.port}")
        threading.Event().wait()


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        """Keeps the console quiet when a caller goes away."""
