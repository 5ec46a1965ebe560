"""HTTP server and request handler that the stand-ins share."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable


class StandInHandler(BaseHTTPRequestHandler):
    """Handles requests over HTTP/1.1 with keep-alive and logs nothing.

    `StandInServer` sets the class attribute `state`.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Suppresses the access log."""

    def read_body(self) -> bytes:
        """Reads and returns the complete request body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def send_body(self, status: int, body: bytes) -> None:
        """Sends a complete JSON response."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StandInServer:
    """Serves a stand-in, with one thread for each connection."""

    def __init__(self, host: str, port: int, handler: type[StandInHandler], state: object) -> None:
        """Binds the socket.

        Args:
            host: IP address.
            port: TCP port; 0 selects a free port.
            handler: Class that handles the requests.
            state: Value of the attribute `state` of the handlers.

        Raises:
            OSError: The address is in use or not local.
        """
        self._server = _QuietServer((host, port), type("Handler", (handler,), {"state": state}))
        self.port: Final[int] = self._server.server_address[1]
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting connections and closes the listening socket."""
        self._server.shutdown()
        self._server.server_close()

    def run(self, name: str, announce: Callable[[str], None]) -> None:
        """Announces the address, then serves until the process ends."""
        self.start()
        announce(f"{name} stand-in on {self._server.server_address[0]!s}:{self.port}")
        threading.Event().wait()


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: object, client_address: object) -> None:
        """Suppresses the traceback when a caller disconnects."""
