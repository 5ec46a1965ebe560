"""Requests with one part of a prompt crash each engine that begins to write an answer on it."""

from __future__ import annotations

import os
from pathlib import Path

from review.standin.client import wait_until
from review.standin.crashes import HOST, SERVICE, Engines, bad_parts, sound_parts
from review.standin.engine import Chat, engine_configuration
from review.standin.gateway import CannotRunError, Fleet
from review.standin.record import Record
from review.standin.status import exit_with
from review.standin.store import Store

HERE = Path(__file__).resolve().parent
GATEWAYS = 3
CHATS = 9
"""Clients with sound requests."""
BAD_CLIENTS = 3
BAD_FOR_S = 40.0
"""How long requests with the bad part come."""
CONTACT_S = 3.0
"""`contact_ms` of the settings."""
EVENTS_BEFORE_CRASH = 1
CRASHES = 5
ALLOWED = 3


def main() -> int:
    """Runs the case; returns the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    store = Store(HOST)
    fleet = Fleet(GATEWAYS, store.address, record)
    engines = Engines(store, record, has_trouble, EVENTS_BEFORE_CRASH)
    clients: list[Chat] = []
    try:
        store.put("config", "main", engine_configuration(3, SERVICE, "draft"))
        fleet.start()
        port = fleet.ports["front"]
        for number in range(CHATS):
            host = fleet.hosts[number % GATEWAYS]
            clients.append(Chat(f"s{number}", host, port, 0.4, sound_parts, record))
        for client in clients:
            client.start()
        start = record.now()
        wait_until(start + 8, record)
        bad = [
            Chat(f"b{n}", fleet.hosts[n % GATEWAYS], port, 2.0, bad_parts, record)
            for n in range(BAD_CLIENTS)
        ]
        clients += bad
        for client in bad:
            client.start()
        wait_until(start + 8 + BAD_FOR_S, record)
    except CannotRunError as error:
        record.add(f"cannot run: {error}")
        record.write()
        return 2
    finally:
        for client in clients:
            client.stop()
        fleet.stop()
        engines.stop()
        store.stop()
    return judge(record, engines, clients[:CHATS], start + 8)


def judge(record: Record, engines: Engines, sound: list[Chat], bad_since: float) -> int:
    """Counts the requests with the bad part that reached engines after the fifth crash."""
    results = [result for client in sound for result in client.results]
    for name, chosen in (
        ("before", [whole for at, whole in results if at < bad_since]),
        ("while the bad ones came", [whole for at, whole in results if at >= bad_since]),
    ):
        record.add(f"seen: sound requests {name}: {sum(chosen)} of {len(chosen)} answered whole")
    crashes = sorted(engines.crashed_at)
    late = []
    if len(crashes) >= CRASHES:
        bound = crashes[CRASHES - 1] + CONTACT_S
        late = [at for at in engines.bad_arrivals if at > bound]
    summary = (
        f"{len(engines.bad_arrivals)} requests with the bad part reached engines, {len(crashes)}"
        f" crashes; {len(late)} of them later than {CONTACT_S} s after the fifth crash"
    )
    record.add(f"judged: {summary}")
    record.write()
    print(summary)
    return 1 if len(late) > ALLOWED else 0


if __name__ == "__main__":
    exit_with(main)
