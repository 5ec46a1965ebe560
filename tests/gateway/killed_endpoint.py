"""An endpoint process that kills itself in the middle of an unframed response."""

from __future__ import annotations

import os
import signal
import socket
import sys
import time


def main() -> None:
    """Prints the port, answers one request with the bytes of the first argument, and dies."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    # The first connection may be that of a watch or a health check without a request.
    while True:
        connection, _ = listener.accept()
        received = b""
        while b"\r\n\r\n" not in received or not received.endswith(b"hello"):
            data = connection.recv(65_536)
            if not data:
                break
            received += data
        else:
            connection.sendall(sys.argv[1].encode("latin-1"))
            time.sleep(0.05)
            os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    main()
