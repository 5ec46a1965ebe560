"""Clients leave early while one runner after the other is silent for a few seconds."""

from __future__ import annotations

import contextlib
import os
import random
import socket
import threading
import time
from pathlib import Path

from review.standin.client import HOST as ROUTE_HOST
from review.standin.client import KEY, Client, configuration, wait_until
from review.standin.gateway import CannotRunError, Fleet
from review.standin.record import Record
from review.standin.runner import Request, Runner
from review.standin.status import exit_with
from review.standin.store import Store

HERE = Path(__file__).resolve().parent
HOST = "127.0.0.1"
SERVICE = "app"
GATEWAYS = 2
RUNNERS = 4
"""One of them is silent at a time, a share of 0.25."""
CLIENTS = 28
LEAVING_CLIENTS = 12
"""30 % of all clients leave early."""
LEAVES_WITHIN_S = 0.15
"""Half of the latency objective of 300 ms."""
PERIODS = 12
SILENT_S = 4.5
PAUSE_S = 3.0
EXPIRY_S = 3.6
"""Three heartbeats, after which the store removes the entry of a silent runner."""
LATE_S = 0.5
FEW = 10


class LeavingClient(threading.Thread):
    """Sends orders on new connections and closes each of them soon after, answered or not."""

    def __init__(self, number: int, host: str, port: int, pause_s: float, record: Record) -> None:
        super().__init__(daemon=True)
        self._name = f"g{number}"
        self._address = (host, port)
        self._pause_s = pause_s
        self._record = record
        self._rng = random.Random(f"leaving-{number}")
        self._stopped = threading.Event()
        self.left_at: dict[str, float] = {}
        """When it closed the connection of an unanswered request."""

    def stop(self) -> None:
        """Ends the thread after the request in flight."""
        self._stopped.set()
        self.join(5)

    def run(self) -> None:
        """Sends until `stop`."""
        number = 0
        while not self._stopped.wait(self._rng.uniform(0, 2 * self._pause_s)):
            number += 1
            with contextlib.suppress(OSError):
                self._call(f"{self._name}-{number}")

    def _call(self, request_id: str) -> None:
        patience_s = self._rng.uniform(0, LEAVES_WITHIN_S)
        with socket.create_connection(self._address, 1) as connection:
            self._record.add(f"client: sends {request_id}, leaves after {patience_s:.3f} s")
            connection.sendall(
                f"POST /shop/order/1 HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                f"Sequoiadrum-Request-Id: {request_id}\r\nSequoiadrum-Deadline-Ms: 4000\r\n"
                f"Sequoiadrum-Key: {KEY}\r\nContent-Length: 5\r\n\r\norder".encode()
            )
            connection.settimeout(max(0.001, patience_s))
            try:
                connection.recv(65_536)
                return
            except TimeoutError:
                pass
        self.left_at[request_id] = self._record.add(f"client: has left {request_id}")


class SilentRunner(Runner):
    """Can fall silent: it accepts no connection and answers nothing, without a reset."""

    def fall_silent(self) -> None:
        """Lets no further connection be established; those that are open stay unanswered."""
        self.is_silent = True
        time.sleep(0.1)
        self._listener.listen(0)
        self._fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def end(self) -> None:
        """Ends the process for good; the next one has another id and address."""
        for filler in self._fillers:
            filler.close()
        self.stop()


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    store = Store(HOST)
    fleet = Fleet(GATEWAYS, store.address, record)
    arrivals: dict[str, float] = {}

    def on_arrival(request: Request) -> None:
        arrivals[request.id] = record.now()

    def start_runner(number: int) -> SilentRunner:
        runner = SilentRunner(f"i-{number}", SERVICE, HOST, store, record)
        runner.on_arrival = on_arrival
        runner.register()
        return runner

    runners = [start_runner(number) for number in range(RUNNERS)]
    clients: list[Client] = []
    leaving: list[LeavingClient] = []
    try:
        store.put("config", "main", configuration(3, {SERVICE: "shop"}))
        fleet.start()
        paths = ["/shop/order/1", "/shop/read/1"]
        for number in range(CLIENTS):
            host = fleet.hosts[number % GATEWAYS]
            clients.append(Client(number, host, fleet.ports["front"], paths, 0.1, record))
        for number in range(LEAVING_CLIENTS):
            host = fleet.hosts[number % GATEWAYS]
            leaving.append(LeavingClient(number, host, fleet.ports["front"], 0.1, record))
        for client in (*clients, *leaving):
            client.start()
        start = record.now() + 4
        for period in range(PERIODS):
            begin = start + period * (SILENT_S + PAUSE_S)
            wait_until(begin, record)
            if not has_trouble:
                wait_until(begin + SILENT_S, record)
                continue
            runner = runners.pop(0)
            record.add(f"runner {runner.name}: is silent from now on")
            runner.fall_silent()
            wait_until(begin + EXPIRY_S, record)
            store.remove("servers", runner.name)
            wait_until(begin + SILENT_S, record)
            runner.end()
            runners.append(start_runner(RUNNERS + period))
        time.sleep(2)
    except CannotRunError as error:
        record.add(f"cannot run: {error}")
        record.write()
        return 2
    finally:
        for client in (*clients, *leaving):
            client.stop()
        fleet.stop()
        for runner in runners:
            runner.stop()
        store.stop()
    return judge(record, leaving, arrivals)


def judge(record: Record, leaving: list[LeavingClient], arrivals: dict[str, float]) -> int:
    """Counts the requests that reached a runner long after their client had left."""
    left_at = {name: at for client in leaving for name, at in client.left_at.items()}
    late = [
        name for name, at in left_at.items() if name in arrivals and arrivals[name] > at + LATE_S
    ]
    for name in late:
        gap_s = arrivals[name] - left_at[name]
        record.add(f"judged: order {name} reached a runner {gap_s:.3f} s after its client had left")
    summary = (
        f"{len(left_at)} orders were left unanswered by their clients; {len(late)} of them reached"
        f" a runner more than {LATE_S} s later"
    )
    record.add(f"judged: {summary}")
    record.write()
    print(summary)
    return 1 if len(late) > FEW else 0


if __name__ == "__main__":
    exit_with(main)
