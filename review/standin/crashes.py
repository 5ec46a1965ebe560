"""Engines that come back after a crash, and prompts of sound and of crashing requests."""

from __future__ import annotations

import random
import threading
import time

from review.standin.engine import PREFIX, Engine
from review.standin.record import Record
from review.standin.runner import Request
from review.standin.store import Store

HOST = "127.0.0.1"
SERVICE = "model"
ENGINES = 5
BAD_PART = "bad0bad0"
BACK_AFTER_S = 3.0
"""How long an engine is away after a crash."""


def sound_parts(rng: random.Random, number: int) -> str:
    """Returns the prompt of a sound request: a common part, one of some documents, its own."""
    return f"c0:120,d{rng.randrange(8):x}:400,{rng.getrandbits(40):x}:60"


def bad_parts(rng: random.Random, number: int) -> str:
    """Returns a prompt with the bad part beside those of sound requests; no two are alike."""
    return f"c0:120,{BAD_PART}:300,d{rng.randrange(8):x}:400,{rng.getrandbits(40):x}:60"


class Engines:
    """The engines, of which each comes back some seconds after a crash with a new id."""

    def __init__(
        self, store: Store, record: Record, has_trouble: bool, events_before_crash: int
    ) -> None:
        self._store = store
        self._events_before_crash = events_before_crash
        self._record = record
        self._has_trouble = has_trouble
        self._lock = threading.Lock()
        self._started = 0
        self._is_stopped = False
        self.all: list[Engine] = []
        self.crashed_at: list[float] = []
        self.bad_arrivals: list[float] = []
        for _ in range(ENGINES):
            self._start()

    def stop(self) -> None:
        """Ends all engines."""
        self._is_stopped = True
        for engine in self.all:
            engine.stop()

    def _start(self) -> None:
        with self._lock:
            if self._is_stopped:
                return
            self._started += 1
            engine = Engine(f"i-{self._started}", SERVICE, HOST, self._store, self._record)
            self.all.append(engine)
        engine.events_before_crash = self._events_before_crash
        if self._has_trouble:
            engine.crashing_part = BAD_PART
        engine.on_arrival = self._on_arrival
        engine.on_crash = self._on_crash
        engine.register()

    def _on_arrival(self, request: Request) -> None:
        if BAD_PART in request.headers[PREFIX.lower()]:
            self.bad_arrivals.append(self._record.now())

    def _on_crash(self, engine: Engine) -> None:
        self.crashed_at.append(self._record.now())
        threading.Thread(target=self._replace, args=(engine,), daemon=True).start()

    def _replace(self, engine: Engine) -> None:
        time.sleep(BACK_AFTER_S)
        self._store.remove("servers", engine.name)
        self._start()
