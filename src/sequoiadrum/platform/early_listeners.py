"""Opens the listening sockets for callers before the rest of the program is imported.

Importing the program takes most of a start. Callers that connect meanwhile wait in the backlog of
the listener; without it their connections would be refused, which many retry only once.
"""

from __future__ import annotations

import ipaddress
import os
import socket
import tomllib

EARLY_INTERFACES = ("front", "directory")
"""Interfaces of the settings file that callers connect to. A check of readiness is not among them:
it should fail until the process can serve."""
BACKLOG = 1024
PATH_VARIABLE = "SEQUOIADRUM_NODE_FILE"
"""Environment variable that names the settings file."""


def open_listeners() -> dict[tuple[str, int], socket.socket]:
    """Opens the listeners of the settings file that the environment names.

    Returns:
        The listeners by host and port. Those that cannot be opened, and all of an unreadable file,
        are missing: the program opens them itself later and reports why it cannot.
    """
    listeners: dict[tuple[str, int], socket.socket] = {}
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as file:
            bind = tomllib.load(file)["bind"]
        for name in EARLY_INTERFACES:
            host, _, port = str(bind[name]).rpartition(":")
            address = (ipaddress.ip_address(host.strip("[]")).compressed, int(port))
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            listeners[address] = socket.create_server(address, family=family, backlog=BACKLOG)
    except (KeyError, TypeError, ValueError, OSError):
        return listeners
    return listeners
