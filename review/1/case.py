"""Runners break off a few of their answers, at any byte; the connection then ends regularly."""

from __future__ import annotations

import os
import random
import socket
from pathlib import Path

from review.standin.client import Client, configuration, wait_until
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
CLIENTS = 16
PERIODS = 8
PERIOD_S = 5.5
PAUSE_S = 2.0
SHARE = 0.5
"""Part of the runners that break off answers."""
BROKEN = 0.02
"""Part of their answers that these runners break off."""


class BreakingRunner(Runner):
    """Sends the first bytes of some answers and then closes the connection."""

    def __init__(self, number: int, store: Store, record: Record) -> None:
        super().__init__(f"i-{number}", SERVICE, HOST, store, record, work_s=0.02)
        self._rng = random.Random(number)
        self.is_faulty = False

    def respond(self, connection: socket.socket, request: Request) -> bool:
        """Sends the answer, or a part of it."""
        answer = self.answer(request, 200)
        if not self.is_faulty or self._rng.random() >= BROKEN:
            connection.sendall(answer)
            return True
        size = self._rng.randrange(1, len(answer))
        self._record.add(
            f"runner {self.name}: breaks off its answer to {request.id}"
            f" after {size} of {len(answer)} bytes: ...{answer[:size][-24:]!r}"
        )
        connection.sendall(answer[:size])
        return False


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    store = Store(HOST)
    fleet = Fleet(GATEWAYS, store.address, record)
    runners = [BreakingRunner(n, store, record) for n in range(RUNNERS)]
    clients: list[Client] = []
    try:
        store.put("config", "main", configuration(3, {SERVICE: "shop"}))
        for runner in runners:
            runner.register()
        fleet.start()
        paths = ["/shop/order/1", "/shop/order/2", "/shop/read/1"]
        clients += [
            Client(n, fleet.hosts[n % GATEWAYS], fleet.ports["front"], paths, 0.08, record)
            for n in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        start = record.now()
        for period in range(PERIODS):
            wait_until(start + 3 + period * (PERIOD_S + PAUSE_S), record)
            for runner in runners[: int(SHARE * RUNNERS)]:
                runner.is_faulty = has_trouble
            wait_until(start + 3 + period * (PERIOD_S + PAUSE_S) + PERIOD_S, record)
            for runner in runners:
                runner.is_faulty = False
    except CannotRunError as error:
        record.add(f"cannot run: {error}")
        record.write()
        return 2
    finally:
        for client in clients:
            client.stop()
        fleet.stop()
        for runner in runners:
            runner.stop()
        store.stop()
    return judge(record, clients)


def judge(record: Record, clients: list[Client]) -> int:
    """Compares the successes with the bodies of the runners; returns the exit status."""
    results = [result for client in clients for result in client.results]
    successes = [result for result in results if result.status == 200]
    wrong = [result for result in successes if not result.is_whole]
    for result in wrong:
        record.add(
            f"judged: {result.id} {result.path} got 200 with {result.size} bytes,"
            f" sealed: {result.is_sealed}"
        )
    summary = (
        f"{len(results)} requests, {len(successes)} successes,"
        f" {len(wrong)} of them not with the whole body of their runner"
    )
    record.add(f"judged: {summary}")
    record.write()
    print(summary)
    return 1 if wrong else 0


if __name__ == "__main__":
    exit_with(main)
