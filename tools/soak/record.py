"""Records what callers, endpoints and the store observe, and when faults were injected."""

from __future__ import annotations

import threading
import time
from enum import Enum
from typing import Final

from attrs import define, field, frozen

DEADLINE_S: Final = 3.0
"""Deadline of each request; sent to the gateway in a header."""
PROMISES_NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses by which a gateway promises that the request did not run and never will."""


class CallKind(Enum):
    """Kinds of calls, with and without permission to retry and with and without streams."""

    READ = "read"
    ORDER = "order"
    DRAFT = "draft"
    """A call with a streamed response that can be resumed."""
    TAG = "tag"
    """A call with a streamed response that runs at most once."""

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (CallKind.DRAFT, CallKind.TAG)

    @property
    def is_retryable(self) -> bool:
        """Whether the call may run more than once."""
        return self in (CallKind.READ, CallKind.DRAFT)


@frozen
class Run:
    """The start of a request at an endpoint."""

    request_id: str
    endpoint: str
    at: float


class NoticeKind(Enum):
    """What an endpoint tells a gateway with a response."""

    LEAVING = "leaving"
    TURNED_AWAY = "turned_away"


@frozen
class Notice:
    """A response by which an endpoint said which requests it wants."""

    kind: NoticeKind
    request_id: str
    endpoint: str
    at: float
    until: float = float("inf")
    """End of the time for which it wants no request from the gateway."""


@frozen
class CallResult:
    """The response or the failure that a caller observed for one request."""

    request_id: str
    kind: CallKind
    gateway: str
    process: int
    """Number of the gateway's process: 1 for its first start, 2 for the second, and so on."""
    key: int
    """Version of the configuration that introduced the caller's key."""
    sent_at: float
    ended_at: float
    status: int | None
    """HTTP status, or None if the connection ended without a response."""
    is_sealed: bool = False
    """Whether the response has the header with which an endpoint signs it."""
    is_complete: bool = False
    """Whether the response ended as its framing says."""
    body: bytes = b""
    events: tuple[int, ...] = ()
    """Numbers of the complete events of a stream, in the order of their arrival."""
    expected_events: int = 0
    error: str = ""
    """Type of the exception that ended the call, or empty."""


@define(eq=False)
class Disturbance:
    """A fault, or planned work that callers must not notice, and the time of its effects."""

    subject: str
    """Name of a gateway or an endpoint, or `store`."""
    kind: str
    since: float
    until: float = float("inf")


@frozen
class KeyChange:
    """A configuration that the store acknowledged, with the API keys that it accepts."""

    version: int
    written_at: float
    acknowledged_at: float
    keys: frozenset[int]


@frozen
class Exit:
    """The exit of a gateway process."""

    gateway: str
    process: int
    code: int
    is_expected: bool
    overdue_s: float = 0.0
    """Time by which a graceful shutdown exceeded its grace period, in seconds."""


@define(eq=False)
class Record:
    """All observations of one soak; its methods are thread-safe.

    All times are in monotonic seconds.
    """

    runs: list[Run] = field(factory=list)
    results: list[CallResult] = field(factory=list)
    disturbances: list[Disturbance] = field(factory=list)
    leaving_since: dict[str, float] = field(factory=dict)
    """Times at which the store acknowledged that an endpoint leaves, by endpoint."""
    notices: list[Notice] = field(factory=list)
    key_changes: list[KeyChange] = field(factory=list)
    exits: list[Exit] = field(factory=list)
    fault_free_since: float = float("inf")
    """No fault is injected from this time on."""
    _lock: threading.Lock = field(factory=threading.Lock)

    def add_run(self, request_id: str, endpoint: str) -> None:
        """Records that an endpoint started to run a request."""
        with self._lock:
            self.runs.append(Run(request_id, endpoint, time.monotonic()))

    def add_notice(
        self, kind: NoticeKind, request_id: str, endpoint: str, for_s: float = float("inf")
    ) -> None:
        """Records a notice that is about to be sent; it holds for some seconds."""
        now = time.monotonic()
        with self._lock:
            self.notices.append(Notice(kind, request_id, endpoint, now, now + for_s))

    def add_result(self, result: CallResult) -> None:
        """Records the result of a call."""
        with self._lock:
            self.results.append(result)

    def begin_disturbance(self, subject: str, kind: str) -> Disturbance:
        """Records a fault that begins now and returns it; the caller sets `until` when it ends."""
        disturbance = Disturbance(subject, kind, time.monotonic())
        with self._lock:
            self.disturbances.append(disturbance)
        return disturbance

    def has_disturbance(
        self, subject: str, since: float, until: float, ignored_kind: str = "", kind: str = ""
    ) -> bool:
        """Returns whether a subject had a disturbance between two times.

        Args:
            subject: Name of a gateway or an endpoint, or `store`.
            since: Start of the time.
            until: End of the time.
            ignored_kind: Disturbances of this kind do not count.
            kind: Only disturbances of this kind count; empty for all.
        """
        with self._lock:
            return any(
                d.subject == subject
                and d.kind != ignored_kind
                and kind in ("", d.kind)
                and d.since <= until
                and d.until >= since
                for d in self.disturbances
            )


def expected_body(request_id: str) -> bytes:
    """Returns the body with which every endpoint responds to a plain call."""
    return f"{request_id}:".encode() * 40
