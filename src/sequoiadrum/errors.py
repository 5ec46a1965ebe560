"""Refusals of requests, as values, and the error for broken invariants."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class InvariantError(Exception):
    """An invariant is broken; the process must stop."""


class RefusalReason(Enum):
    """Why a request was refused; each reason has a counter `refusals_total{reason}`."""

    ACCOUNT_LIMIT = "account_limit"
    ACCOUNT_UNKNOWN = "account_unknown"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    INTERNAL = "internal"
    ISOLATED = "isolated"
    KEY_EXPIRED = "key_expired"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    LEDGER_BUSY = "ledger_busy"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_ENDPOINT = "no_endpoint"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner_unreachable"
    POOL_FULL = "pool_full"
    RETRY_BUDGET = "retry_budget"
    ROUTE_UNKNOWN = "route_unknown"
    STOPPING = "stopping"
    STREAM_LOST = "stream_lost"


@frozen
class Refusal:
    """The refusal of a request."""

    reason: RefusalReason
    """The reason reported to the caller and counted in metrics."""
    detail: str = ""
    """A human-readable explanation in one sentence."""
    retry_after_ms: int | None = None
    """Milliseconds after which a retry may succeed; None if a retry cannot succeed."""
    ran: bool | None = False
    """Whether the request ran: False if it provably did not, None if unknown."""
