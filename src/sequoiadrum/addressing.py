"""Parsing of network addresses."""

from __future__ import annotations

import ipaddress

from sequoiadrum.messages import Address


def parse_address(text: str) -> Address:
    """Parses `IP:port`; an IPv6 address may be in brackets.

    Raises:
        ValueError: The host is not an IP address, or the port is not a number from 1 to 65,535.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port out of range: {text}")
    return Address(host.strip("[]"), int(port))
