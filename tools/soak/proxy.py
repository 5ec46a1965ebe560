"""A loopback proxy that delays, stalls, resets or refuses connections, or stalls only responses."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from enum import Enum
from typing import TYPE_CHECKING, Final

from sequoiadrum.messages import Address

if TYPE_CHECKING:
    from collections.abc import Iterable

_LINGER_RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Value of SO_LINGER with which closing a socket sends a TCP reset."""
SLOW_S: Final = 0.25
"""Delay of each received block of data in mode `SLOW`; a slow store takes this long."""
_POLL_S: Final = 0.02
_REOPEN_S: Final = 5.0


class Mode(Enum):
    """How the proxy handles connections and their data."""

    PASS = "pass"
    SLOW = "slow"
    UNRESPONSIVE = "silent"
    """No data passes in either direction; new connections are accepted."""
    ONE_WAY = "one_way"
    """Requests pass, responses do not."""
    REFUSE = "refuse"
    """New connections are reset immediately."""


class FaultProxy:
    """Forwards connections to one address, with the faults of the current mode."""

    def __init__(self, target: Address, host: str = "127.0.0.1") -> None:
        self._target = target
        self._mode = Mode.PASS
        self._lock = threading.Lock()
        self._open_sockets: set[socket.socket] = set()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address: Final = Address(host, self._listener.getsockname()[1])
        self._start_accepting()

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode, also for open connections.

        Data that the previous mode held back is forwarded once the new mode lets it pass.
        """
        self._mode = mode

    def close_listener(self) -> None:
        """Refuses new connections, as the system does for a process that has ended."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def reopen_listener(self) -> None:
        """Accepts connections again after `close_listener`; otherwise has no effect.

        Raises:
            OSError: The port is used by another socket and does not become free in time.
        """
        if self._listener.fileno() >= 0:
            return
        give_up_at = time.monotonic() + _REOPEN_S
        while True:
            try:
                self._listener = socket.create_server(
                    (self.address.host, self.address.port), backlog=256
                )
                break
            except OSError:
                if time.monotonic() > give_up_at:
                    raise
                time.sleep(_POLL_S)
        self._start_accepting()

    def reset(self) -> None:
        """Resets all open connections."""
        with self._lock:
            sockets, self._open_sockets = self._open_sockets, set()
        _reset_all(sockets)

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        self.close_listener()
        self.reset()

    def _start_accepting(self) -> None:
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                inbound = listener.accept()[0]
            except OSError:
                return
            if self._mode is Mode.REFUSE:
                _reset_all([inbound])
                continue
            try:
                outbound = socket.create_connection((self._target.host, self._target.port), 5)
            except OSError:
                _reset_all([inbound])
                continue
            outbound.settimeout(None)
            for sock in (inbound, outbound):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open_sockets |= {inbound, outbound}
            half_closed = threading.Event()
            for source, sink, is_response in (
                (inbound, outbound, False),
                (outbound, inbound, True),
            ):
                arguments = (source, sink, is_response, half_closed)
                threading.Thread(target=self._forward, args=arguments, daemon=True).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        is_response: bool,
        half_closed: threading.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._apply_mode(is_response)
                sink.sendall(data)
            self._apply_mode(is_response)
            sink.shutdown(socket.SHUT_WR)
            if not half_closed.is_set():
                half_closed.set()
                return
        self._reset_connection(source, sink)

    def _apply_mode(self, is_response: bool) -> None:
        if self._mode is Mode.SLOW:
            time.sleep(SLOW_S)
        while self._mode is Mode.UNRESPONSIVE or (self._mode is Mode.ONE_WAY and is_response):
            time.sleep(_POLL_S)

    def _reset_connection(self, *socks: socket.socket) -> None:
        with self._lock:
            still_open = self._open_sockets & set(socks)
            self._open_sockets -= still_open
        _reset_all(still_open)


def _reset_all(socks: Iterable[socket.socket]) -> None:
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        with contextlib.suppress(OSError):
            # Wakes the thread that reads from the socket. SHUT_WR would send a FIN, SHUT_RD sends
            # nothing.
            sock.shutdown(socket.SHUT_RD)
        sock.close()
