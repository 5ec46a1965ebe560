"""Reads addresses written as text."""

from __future__ import annotations

import ipaddress

from sequoiadrum.messages import Address


def parse_address(text: str) -> Address:
    """Reads IP:port.

    Raises:
        ValueError: The text is something else.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port out of range: {text}")
    return Address(host.strip("[]"), int(port))
