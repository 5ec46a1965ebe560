"""A TCP forwarder that a test can disconnect."""

from __future__ import annotations

import contextlib
import socket
import threading

from sequoiadrum.messages import Address


class Forwarder:
    """Forwards connections to one address until it is disconnected."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open_sockets: list[socket.socket] = []
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        """Closes all connections and refuses new ones."""
        for sock in (self._listener, *self._open_sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                inbound = self._listener.accept()[0]
                outbound = socket.create_connection((self._target.host, self._target.port))
                self._open_sockets += [inbound, outbound]
                for direction in ((inbound, outbound), (outbound, inbound)):
                    threading.Thread(target=_copy, args=direction, daemon=True).start()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            sink.sendall(data)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
