"""Load callers that follow the protocol of docs/callers.md: returning chats and keyed calls."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

from sequoiadrum.addressing import parse_address
from sequoiadrum.standin_engine import token_text
from tools.fleet import call_json

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from sequoiadrum.messages import Address

_ATTEMPTS: Final = 12
_TIMEOUT_S: Final = 20.0
_RETRY_PAUSE_S: Final = 0.2
_OUTCOME_BY_RAN_FIELD: Final = {"no": "not_run", "yes": "done", "not_by_this_request": "refused"}


@define
class LoadReport:
    """Results of the callers, which their threads update under its lock."""

    lock: threading.Lock = field(factory=threading.Lock)
    whole_answers: int = 0
    resumed_answers: int = 0
    failed_chats: int = 0
    wrong_answers: int = 0
    """Responses with missing or repeated tokens, or tokens of another request; must stay 0."""
    refusals_by_reason: Counter[str] = field(factory=Counter)
    outcomes_by_key: dict[str, str] = field(factory=dict)
    """Last outcome that was reported to the caller of each idempotency key."""
    answers_by_key: dict[str, list[str]] = field(factory=dict)
    """Result of each submission of a key, one line each, for diagnosis."""
    first_token_s: list[float] = field(factory=list)

    def count(self, name: str) -> None:
        """Increments the counter attribute of this name."""
        with self.lock:
            setattr(self, name, getattr(self, name) + 1)

    def refused(self, reason: str) -> None:
        """Counts a refusal with this reason."""
        with self.lock:
            self.refusals_by_reason[reason] += 1


@define(eq=False)
class Caller:
    """One caller, which queries the fleet for addresses and caches them for their time to live."""

    entry: Sequence[Address]
    """Routers that the caller knows from the start and queries for addresses."""
    account: str
    report: LoadReport
    rng: random.Random
    _cached_by_key: dict[str, tuple[float, list[Address]]] = field(factory=dict)

    def addresses(self, operation: str, key: str) -> list[Address]:
        """Returns the routers to use for a chat or a key, the preferred one first.

        Falls back to the entry routers in their given order when none of them returns an address.
        """
        name = "chat" if operation == "chat" else "key"
        cached = self._cached_by_key.get(f"{operation}:{key}")
        if cached is not None and time.monotonic() < cached[0]:
            return cached[1]
        for router in self.rng.sample(list(self.entry), len(self.entry)):
            try:
                path = f"/v1/address?operation={operation}&{name}={key}&account={self.account}"
                status, payload = call_json(router, "GET", path, timeout_s=2.0)
            except (OSError, HTTPException):
                continue
            if status == 200:
                texts = [payload["address"], *payload["alternates"]]
                addresses = [parse_address(text) for text in texts]
                expires_at = time.monotonic() + payload["ttl_ms"] / 1e3
                self._cached_by_key[f"{operation}:{key}"] = (expires_at, addresses)
                return addresses
        return list(self.entry)

    def forget(self, operation: str, key: str) -> None:
        """Drops the cached addresses of a chat or a key, because one was unreachable."""
        self._cached_by_key.pop(f"{operation}:{key}", None)

    def chat(self, chat_id: str, prompt: str, tokens: int) -> bool:
        """Sends one turn of a chat and reads its stream, resuming at other routers if needed.

        Returns:
            Whether the complete response was read within the allowed attempts.
        """
        reader = _StreamReader(tokens, self.report)
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
        headers = {"X-Account": self.account, "X-Chat-Id": chat_id}
        for attempt in range(_ATTEMPTS):
            addresses = self.addresses("chat", chat_id)
            router = addresses[min(attempt, len(addresses) - 1)]
            try:
                if reader.read_from(router, body, headers):
                    self.report.count("resumed_answers" if reader.resumed else "whole_answers")
                    return True
                time.sleep(_RETRY_PAUSE_S)
            except (OSError, HTTPException):
                self.forget("chat", chat_id)
        self.report.count("failed_chats")
        return False

    def keyed(self, key: str, document: dict[str, Any], also_at_another: bool = False) -> str:
        """Sends a keyed call until its outcome is known and returns the last reported outcome.

        Args:
            key: The idempotency key.
            document: The JSON body.
            also_at_another: Whether to send the same key to a second router concurrently.
        """
        headers = {
            "X-Account": self.account,
            "Idempotency-Key": key,
            "Idempotency-Issued-At": str(int(time.time() * 1000)),
        }
        other_results: list[tuple[str, float]] = []
        thread = threading.Thread(
            target=lambda: other_results.append(
                (
                    self._submit(self.rng.choice(list(self.entry)), document, headers),
                    time.monotonic(),
                )
            )
        )
        if also_at_another:
            thread.start()
        outcome, has_lost_response = "unknown", False
        for attempt in range(_ATTEMPTS):
            addresses = self.addresses("orders", key)
            sent_at = time.monotonic()
            outcome = self._submit(addresses[min(attempt, len(addresses) - 1)], document, headers)
            if outcome in ("done", "unknown"):
                break
            if outcome == "lost":
                has_lost_response = True
                self.forget("orders", key)
            time.sleep(_RETRY_PAUSE_S)
        if outcome == "refused" or (outcome == "not_run" and has_lost_response):
            # A refusal may apply only to its own request, not to earlier ones with the key.
            outcome = self._query(key, headers)
        if also_at_another:
            thread.join()
            # A refusal does not cover a call whose response came after the refused one was sent.
            if outcome == "not_run" and other_results[0][1] > sent_at:
                outcome = other_results[0][0]
        with self.report.lock:
            self.report.outcomes_by_key[f"{self.account}:{key}"] = outcome
        return outcome

    def _query(self, key: str, headers: dict[str, str]) -> str:
        """Queries a key until its outcome is final; returns "unknown" after the last attempt."""
        path = f"/v1/calls/orders?key={key}&issued_at={headers['Idempotency-Issued-At']}"
        for _ in range(_ATTEMPTS):
            router = self.addresses("orders", key)[0]
            try:
                payload = call_json(router, "GET", path, headers={"X-Account": self.account})[1]
            except (OSError, HTTPException):
                self.forget("orders", key)
                continue
            outcome = str(payload.get("outcome"))
            reason = payload.get("error", {}).get("type")
            if outcome in ("done", "not_run") or (
                outcome == "unknown" and not _is_temporary(reason)
            ):
                return outcome
            time.sleep(2 * _RETRY_PAUSE_S)
        return "unknown"

    def _submit(self, router: Address, document: object, headers: dict[str, str]) -> str:
        """Sends a keyed call once, records its result in the report and returns its outcome."""
        sent_at = time.monotonic()
        outcome, detail = self._post_call(router, document, headers)
        key = f"{self.account}:{headers['Idempotency-Key']}"
        line = f"{sent_at:.3f}-{time.monotonic():.3f} at {router}: {outcome} {detail}"
        with self.report.lock:
            self.report.answers_by_key.setdefault(key, []).append(line)
        return outcome

    def _post_call(
        self, router: Address, document: object, headers: dict[str, str]
    ) -> tuple[str, str]:
        """Sends a keyed call once and returns its outcome and the details of a failure."""
        try:
            status, payload = call_json(
                router, "POST", "/v1/services/orders/confirm", document, headers, _TIMEOUT_S
            )
        except (OSError, HTTPException) as failure:
            return "lost", type(failure).__name__
        if status < 300:
            return "done", ""
        error = payload.get("error", {}) if isinstance(payload, dict) else {}
        self.report.refused(str(error.get("type")))
        outcome = _OUTCOME_BY_RAN_FIELD.get(str(error.get("ran")), "unknown")
        return outcome, f"{error.get('type')}: {error.get('message')}"


def _is_temporary(reason: object) -> bool:
    """Returns whether the reason is temporary, so that an unknown outcome may become known."""
    return reason in ("owner_unreachable", "ledger_unavailable", "ledger_busy", "stopping")


class _StreamReader:
    """Reads the response to one request and checks that each token is the expected one."""

    def __init__(self, tokens: int, report: LoadReport) -> None:
        self._request_id = ""
        self._tokens = tokens
        self._report = report
        self._last_event_id = ""
        self._next_offset = 0
        self.resumed = False

    def read_from(self, router: Address, body: object, headers: dict[str, str]) -> bool:
        """Starts or resumes the response at a router.

        Returns:
            True when the response is complete, False when the request was refused or failed.

        Raises:
            OSError, HTTPException: The connection failed before the response was complete.
        """
        started = time.monotonic()
        connection = HTTPConnection(router.host, router.port, timeout=_TIMEOUT_S)
        try:
            if self._last_event_id:
                self.resumed = True
                path = f"/v1/streams/{self._request_id}"
                resume = {**headers, "Last-Event-ID": self._last_event_id}
                connection.request("GET", path, headers=resume)
            else:
                connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
            response = connection.getresponse()
            if response.status != 200:
                error = json.loads(response.read())["error"]
                self._report.refused(error["type"])
                if error["type"] == "stream_lost":
                    self._last_event_id, self._next_offset = "", 0
                return False
            self._request_id = response.getheader("X-Request-Id") or ""
            if not self._next_offset:
                with self._report.lock:
                    self._report.first_token_s.append(time.monotonic() - started)
            return self._read_events(response)
        finally:
            connection.close()

    def _read_events(self, response: Any) -> bool:
        event_id = ""
        for raw_line in response:
            line = raw_line.rstrip(b"\n")
            if line.startswith(b"id: "):
                event_id = line[4:].decode()
            elif line == b"event: error":
                self._last_event_id, self._next_offset = "", 0
                return False
            elif line == b"data: [DONE]":
                if self._next_offset != self._tokens:
                    self._report.count("wrong_answers")
                return True
            elif line.startswith(b"data: "):
                self._check(event_id, json.loads(line[6:]))
        raise ConnectionError("the stream ended before its [DONE] event")

    def _check(self, event_id: str, document: dict[str, Any]) -> None:
        offset = int(event_id.rsplit(".", 1)[1])
        text = document["choices"][0]["delta"]["content"]
        if offset != self._next_offset or text != token_text(self._request_id, offset):
            self._report.count("wrong_answers")
        self._next_offset = offset + 1
        self._last_event_id = event_id


def run_threads(count: int, work: Callable[[int], None]) -> None:
    """Runs `work(0)` to `work(count - 1)`, each on its own thread, and waits for all of them."""
    threads = [threading.Thread(target=work, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
