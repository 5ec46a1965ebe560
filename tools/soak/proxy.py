"""A loopback proxy that delays, resets, silences or cuts its connections one way."""

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

_RESET: Final = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Value of SO_LINGER that makes a close send a reset."""
SLOW_S: Final = 0.25
"""Delay of each piece in `SLOW`; the store takes so long on a slow day."""
_POLL_S: Final = 0.02


class Mode(Enum):
    """What happens to the bytes."""

    PASS = "pass"
    SLOW = "slow"
    SILENT = "silent"
    """Nothing passes either way; new connections are accepted."""
    ONE_WAY = "one_way"
    """Requests pass, answers do not."""
    REFUSE = "refuse"
    """New connections are reset at once."""


class FaultProxy:
    """Passes connections on to one address."""

    def __init__(self, target: Address, host: str = "127.0.0.1") -> None:
        self._target = target
        self._mode = Mode.PASS
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address: Final = Address(host, self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: Mode) -> None:
        """Puts a mode in force, also for open connections; held bytes pass afterwards."""
        self._mode = mode

    def reset(self) -> None:
        """Resets all open connections."""
        with self._lock:
            doomed, self._open = self._open, set()
        _reset_all(doomed)

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while True:
            try:
                near = self._listener.accept()[0]
            except OSError:
                return
            if self._mode is Mode.REFUSE:
                _reset_all([near])
                continue
            try:
                far = socket.create_connection((self._target.host, self._target.port), 5)
            except OSError:
                _reset_all([near])
                continue
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open |= {near, far}
            ended = threading.Event()
            for source, sink, is_answer in ((near, far, False), (far, near, True)):
                pump = (source, sink, is_answer, ended)
                threading.Thread(target=self._pump, args=pump, daemon=True).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool, ended: threading.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._hold(is_answer)
                sink.sendall(data)
            self._hold(is_answer)
            sink.shutdown(socket.SHUT_WR)
            if not ended.is_set():
                ended.set()
                return
        self._forget(source, sink)

    def _hold(self, is_answer: bool) -> None:
        if self._mode is Mode.SLOW:
            time.sleep(SLOW_S)
        while self._mode is Mode.SILENT or (self._mode is Mode.ONE_WAY and is_answer):
            time.sleep(_POLL_S)

    def _forget(self, *socks: socket.socket) -> None:
        with self._lock:
            known = self._open & set(socks)
            self._open -= known
        _reset_all(known)


def _reset_all(socks: Iterable[socket.socket]) -> None:
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        with contextlib.suppress(OSError):
            # Wakes the thread that reads; unlike the other direction it sends nothing.
            sock.shutdown(socket.SHUT_RD)
        sock.close()
