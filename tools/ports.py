"""Listening ports for processes of tests and measurements, which may run side by side."""

from __future__ import annotations

import itertools
import os
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

_HOST: Final = "127.0.0.1"
_FIRST_PORT: Final = 10_000
_LAST_PORT: Final = 32_000
"""Below the ephemeral ports of Linux: an outgoing connection could take one of those before the
process that is started on it binds it."""
_RANGE_SIZE: Final = 500
"""Ports of one process, so that two of them never choose the same port."""
_own_ports: Iterator[int] | None = None
_claim: socket.socket | None = None


class NoFreePortsError(Exception):
    """All ranges of ports are in use by other processes."""


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP and that no other process gets from here.

    Raises:
        NoFreePortsError: Too many processes use this function at a time.
    """
    global _own_ports
    if _own_ports is None:
        _own_ports = itertools.cycle(_claim_range())
    ports: list[int] = []
    for port in _own_ports:
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def _claim_range() -> range:
    """Claims a range of ports for this process, by its first port, until the process ends."""
    global _claim
    ranges = (_LAST_PORT - _FIRST_PORT) // _RANGE_SIZE
    for number in range(ranges):
        first = _FIRST_PORT + (os.getpid() + number) % ranges * _RANGE_SIZE
        # Unlike a listener, it does not share its port, also not in the state TIME_WAIT.
        claim = socket.socket()
        try:
            claim.bind((_HOST, first))
        except OSError:
            claim.close()
            continue
        _claim = claim
        return range(first + 1, first + _RANGE_SIZE)
    raise NoFreePortsError(f"all {ranges} ranges of ports are in use")


def _is_free(port: int) -> bool:
    try:
        with (
            socket.create_server((_HOST, port)),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            datagram.bind((_HOST, port))
    except OSError:
        return False
    return True
