"""A TCP forwarder that a test can cut."""

from __future__ import annotations

import contextlib
import socket
import threading

from sequoiadrum.messages import Address


class Forwarder:
    """Passes connections on to one address until it is cut."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open: list[socket.socket] = []
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Refuses new connections and ends the open ones."""
        for sock in (self._listener, *self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near = self._listener.accept()[0]
                far = socket.create_connection((self._target.host, self._target.port))
                self._open += [near, far]
                for pair in ((near, far), (far, near)):
                    threading.Thread(target=_pump, args=pair, daemon=True).start()


def _pump(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
