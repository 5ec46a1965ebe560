"""Stand-ins of clients: they keep a connection to a gateway and compare each response."""

from __future__ import annotations

import http.client
import itertools
import random
import threading
import time

from review.standin.record import Record
from review.standin.runner import body_of

HOST = "shop.example"
KEY = "key-of-acme"
SEAL = "Sequoiadrum-Response-Seal"


def configuration(version: int, services: dict[str, str], timeout_ms: int = 4000) -> dict:
    """Returns a configuration with one order route and one read route for each service.

    Args:
        version: Its version.
        services: Path prefix by service.
        timeout_ms: Timeout of all routes.
    """
    routes = []
    for service, prefix in services.items():
        for kind, words in (("non_idempotent", "order"), ("idempotent", "read")):
            routes.append(
                {
                    "name": f"r-{service}-{words}",
                    "host": HOST,
                    "path_prefix": f"/{prefix}/{words}/",
                    "type": kind,
                    "timeout_ms": timeout_ms,
                    "goal_ms": 400,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 1 if kind == "non_idempotent" else 2,
                    "public": False,
                    "sticky": False,
                    "resumable": False,
                }
            )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": service, "health_path": "/health", "max_conns": 200} for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 2}],
    }


class Result:
    """What a client saw of one request."""

    def __init__(self, request_id: str, path: str, host: str, sent_at: float) -> None:
        self.id = request_id
        self.path = path
        self.host = host
        self.sent_at = sent_at
        self.status: int | None = None
        self.was_kept = False
        """Whether it was sent on a connection that had been used before."""
        self.is_sealed = False
        self.size = 0
        self.is_whole = False
        self.error = ""


class Client:
    """A thread that sends requests at random intervals and keeps its connection."""

    def __init__(
        self, number: int, host: str, port: int, paths: list[str], pause_s: float, record: Record
    ) -> None:
        self._name = f"c{number}"
        self._host = host
        self._port = port
        self._paths = itertools.cycle(paths)
        self._pause_s = pause_s
        self._record = record
        self._rng = random.Random(number)
        self._connection: http.client.HTTPConnection | None = None
        self._stopped = threading.Event()
        self.results: list[Result] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begins to send."""
        self._thread.start()

    def stop(self) -> None:
        """Ends after the request in flight."""
        self._stopped.set()
        self._thread.join(10)

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(self._rng.uniform(0, 2 * self._pause_s)):
            number += 1
            self._call(f"{self._name}-{number}", next(self._paths))

    def _call(self, request_id: str, path: str) -> None:
        result = Result(request_id, path, self._host, self._record.now())
        self._record.add(f"client: sends {request_id} {path} to {self._host}", result.sent_at)
        headers = {
            "Host": HOST,
            "Sequoiadrum-Request-Id": request_id,
            "Sequoiadrum-Deadline-Ms": "4000",
            "Sequoiadrum-Key": KEY,
        }
        result.was_kept = self._connection is not None
        if self._connection is None:
            self._connection = http.client.HTTPConnection(self._host, self._port, timeout=5)
        try:
            self._connection.request("POST", path, b"order", headers)
            response = self._connection.getresponse()
            body = response.read()
            result.status = response.status
            result.is_sealed = response.getheader(SEAL) is not None
            result.size = len(body)
            result.is_whole = result.is_sealed and body == body_of(request_id)
            if response.will_close or response.status >= 300:
                self._close()
        except (OSError, http.client.HTTPException) as error:
            result.error = type(error).__name__
            self._close()
        outcome = result.status if result.status is not None else result.error
        self._record.add(f"client: {request_id} gets {outcome}")
        self.results.append(result)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def wait_until(moment: float, record: Record) -> None:
    """Waits until a time of the record."""
    time.sleep(max(0.0, moment - record.now()))
