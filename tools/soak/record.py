"""What callers, endpoints and the store saw, with the times at which faults were injected."""

from __future__ import annotations

import threading
import time
from enum import Enum
from typing import Final

from attrs import define, field, frozen

PROMISES_NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that say that the request did not run and never will."""


class CallKind(Enum):
    """What may be repeated of a request, and how it is answered."""

    READ = "read"
    ORDER = "order"
    DRAFT = "draft"
    """A stream that can be resumed."""
    TAG = "tag"
    """A stream that runs at most once."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (CallKind.DRAFT, CallKind.TAG)

    @property
    def is_retryable(self) -> bool:
        """Whether it may run more than once."""
        return self in (CallKind.READ, CallKind.DRAFT)


@frozen
class Run:
    """An endpoint began to work on a request."""

    request_id: str
    endpoint: str
    at: float


@frozen
class Answer:
    """What a caller got for one request."""

    request_id: str
    kind: CallKind
    gateway: str
    process: int
    """Number of the gateway's process, counted by its starts."""
    key: int
    """Version of the configuration that introduced the caller's key."""
    sent_at: float
    ended_at: float
    status: int | None
    """None when the connection ended without an answer."""
    is_sealed: bool = False
    is_complete: bool = False
    """Whether the answer ended as its framing says."""
    body: bytes = b""
    events: tuple[int, ...] = ()
    expected_events: int = 0
    error: str = ""
    """Why there was no answer."""


@define(eq=False)
class Disturbance:
    """A fault, or planned work that must go unnoticed."""

    subject: str
    """A gateway, an endpoint or `store`."""
    kind: str
    since: float
    until: float = float("inf")


@frozen
class KeyChange:
    """The store acknowledged a configuration."""

    version: int
    written_at: float
    acknowledged_at: float
    keys: frozenset[int]


@frozen
class Exit:
    """A gateway process ended."""

    gateway: str
    process: int
    code: int
    was_expected: bool
    late_s: float = 0.0
    """How long after the end of its grace a planned stop took."""


@define(eq=False)
class Record:
    """Everything that was seen in one soak; safe to use from any thread."""

    runs: list[Run] = field(factory=list)
    answers: list[Answer] = field(factory=list)
    disturbances: list[Disturbance] = field(factory=list)
    leaving_since: dict[str, float] = field(factory=dict)
    """When the store acknowledged that an endpoint leaves, by endpoint."""
    key_changes: list[KeyChange] = field(factory=list)
    exits: list[Exit] = field(factory=list)
    calm_since: float = float("inf")
    """From here on no fault was injected."""
    _lock: threading.Lock = field(factory=threading.Lock)

    def add_run(self, request_id: str, endpoint: str) -> None:
        """Notes that an endpoint began to work."""
        with self._lock:
            self.runs.append(Run(request_id, endpoint, time.monotonic()))

    def add_answer(self, answer: Answer) -> None:
        """Notes what a caller got."""
        with self._lock:
            self.answers.append(answer)

    def begin(self, subject: str, kind: str) -> Disturbance:
        """Notes a fault that begins now; whoever ends it sets its end."""
        disturbance = Disturbance(subject, kind, time.monotonic())
        with self._lock:
            self.disturbances.append(disturbance)
        return disturbance

    def disturbed(self, subject: str, since: float, until: float, but: str = "") -> bool:
        """Tells whether a subject had a fault in a span, other than one kind."""
        with self._lock:
            return any(
                d.subject == subject and d.kind != but and d.since <= until and d.until >= since
                for d in self.disturbances
            )


def expected_body(request_id: str) -> bytes:
    """Gives the body that any endpoint answers to a request."""
    return f"{request_id}:".encode() * 40
