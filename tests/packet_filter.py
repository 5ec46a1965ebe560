"""Lets the kernel drop the packets that arrive at a socket, as a lossy network does."""

from __future__ import annotations

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_PROGRAM = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
"""One instruction: accept no byte of a packet."""


def drop_packets(sock: socket.socket) -> None:
    """Drops all packets that arrive at a socket, those of a listener included."""
    sock.setsockopt(
        socket.SOL_SOCKET, _SO_ATTACH_FILTER, struct.pack("HL", 1, ctypes.addressof(_PROGRAM))
    )


def pass_packets(sock: socket.socket) -> None:
    """Ends `drop_packets`."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
