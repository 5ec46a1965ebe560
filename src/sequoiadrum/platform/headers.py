"""HTTP headers of the platform: their names, and the codec for requests and responses."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from sequoiadrum.gateway.model import EngineLoad, PromptPart, RequestHead, ResponseHead
from sequoiadrum.gateway.ports import HeaderCodec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sequoiadrum.messages import Address

REQUEST_ID: Final = "Sequoiadrum-Request-Id"
DEADLINE_MS: Final = "Sequoiadrum-Deadline-Ms"
PROMPT_PARTS: Final = "Sequoiadrum-Prefix-Hash"
TOKEN_COUNTS: Final = "Sequoiadrum-Token-Usage"
LAST_EVENT_ID: Final = "Last-Event-Id"
API_KEY: Final = "Sequoiadrum-Key"
ACCOUNT: Final = "Sequoiadrum-Tenant"
ENDPOINT_ID: Final = "Sequoiadrum-Target-Instance"
RESPONDING_ENDPOINT_ID: Final = "Sequoiadrum-Instance-Id"
PRIORITY: Final = "Sequoiadrum-Request-Priority"
CONTEXT_SOURCE: Final = "Kv-Fetch"
NOT_EXECUTED: Final = "Sequoiadrum-Not-Executed"
SEAL: Final = "Sequoiadrum-Response-Seal"
LOAD: Final = "Sequoiadrum-Server-Load"
RATE_LIMIT: Final = "Server-Limit"
LEAVING: Final = "Server-Leaving"
RETRY_AFTER: Final = "Retry-After"
COLD_MS: Final = "Sequoiadrum-Cold-Ms"

_HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_BY_GATEWAY: Final = frozenset(
    name.lower()
    for name in (
        API_KEY,
        ACCOUNT,
        DEADLINE_MS,
        ENDPOINT_ID,
        PRIORITY,
        LAST_EVENT_ID,
        "Sequoiadrum-Expected-Version",
        "Sequoiadrum-Pin-Ms",
        "Sequoiadrum-Hold",
        "Sequoiadrum-Kv-Backup",
        "Kv-From",
        CONTEXT_SOURCE,
    )
)
"""Headers that are never forwarded unchanged from a caller to an endpoint."""
_FOR_ROUTERS: Final = frozenset({"content-length", LEAVING.lower(), RETRY_AFTER.lower()})
"""Headers of a response that are never forwarded to the caller."""
_SECONDS: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
_FRAMING: Final = frozenset({"content-length", "expect"})
_USUAL_PERCENT: Final = 100.0
_MAX_COLD_MS: Final = 3_600_000.0
_MAX_DEADLINE_MS: Final = 3_600_000
"""Longer deadlines are reduced to this limit of one hour."""


class PlatformHeaderCodec(HeaderCodec):
    """Converts between HTTP headers and the types of the gateway."""

    def decode_request(self, environ: Mapping[str, Any]) -> Result[RequestHead, str]:
        """See `HeaderCodec.decode_request`."""
        target = str(environ["REQUEST_URI"])
        host = str(environ.get("HTTP_HOST", ""))
        request_id = str(environ.get(_environ_key(REQUEST_ID), ""))
        if not request_id:
            return Failure("the request id is missing")
        if not target.startswith("/") or not target.isascii():
            return Failure("the target is not an absolute path")
        try:
            prompt = _decode_prompt(str(environ.get(_environ_key(PROMPT_PARTS), "")))
            prompt_tokens, output_tokens = _decode_token_counts(
                str(environ.get(_environ_key(TOKEN_COUNTS), ""))
            )
            deadline_s = _decode_deadline(environ.get(_environ_key(DEADLINE_MS)))
        except ValueError as error:
            return Failure(f"a header cannot be read: {error}")
        return Success(
            RequestHead(
                request_id=request_id,
                method=str(environ["REQUEST_METHOD"]),
                target=target,
                host=host,
                path=target.partition("?")[0],
                deadline_s=deadline_s,
                key=environ.get(_environ_key(API_KEY)),
                prompt=prompt,
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
                last_event_id=environ.get(_environ_key(LAST_EVENT_ID)),
                headers=tuple(
                    _end_to_end_headers(_request_headers(environ), _SET_BY_GATEWAY | _FRAMING)
                ),
            )
        )

    def encode_request(
        self,
        call: RequestHead,
        endpoint_id: str,
        account: str | None,
        priority: int,
        time_left_s: float,
        last_event_id: str | None,
        context_source: Address | None,
    ) -> list[tuple[str, str]]:
        """See `HeaderCodec.encode_request`."""
        headers = list(call.headers)
        headers.append((ENDPOINT_ID, endpoint_id))
        headers.append((DEADLINE_MS, str(max(1, int(time_left_s * 1e3)))))
        if account is not None:
            headers.append((ACCOUNT, account))
        if call.prompt:
            headers.append((PRIORITY, str(priority)))
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, last_event_id))
        if context_source is not None:
            headers.append((CONTEXT_SOURCE, f"{context_source.host}:{context_source.port}"))
        return headers

    def decode_response(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> ResponseHead:
        """See `HeaderCodec.decode_response`."""
        pairs = list(headers)
        by_name = {name.lower(): value for name, value in pairs}
        unusable = []
        leaving = _values(pairs, LEAVING)
        if leaving not in ([], ["1"]):
            unusable.append("is_leaving")
        retry_after = (
            _values(pairs, RETRY_AFTER) if status == HTTPStatus.SERVICE_UNAVAILABLE else []
        )
        retry_after_s = _decode_seconds(retry_after)
        if retry_after and retry_after_s is None:
            unusable.append("retry_after_s")
        return ResponseHead(
            status=status,
            reason=reason,
            request_id=_decode_request_id(pairs),
            instance_id=by_name.get(RESPONDING_ENDPOINT_ID.lower()),
            # A misdirected request (421) was not executed either.
            is_not_executed=NOT_EXECUTED.lower() in by_name
            or status == HTTPStatus.MISDIRECTED_REQUEST,
            is_sealed=SEAL.lower() in by_name,
            load=_decode_load(by_name.get(LOAD.lower(), "")),
            idle_timeout_s=_decode_keep_alive(by_name.get("keep-alive", "")),
            headers=tuple(_end_to_end_headers(pairs, _FOR_ROUTERS)),
            rate_limit=_decode_rate(by_name.get(RATE_LIMIT.lower(), "")),
            is_leaving=leaving == ["1"],
            retry_after_s=retry_after_s,
            unusable=tuple(unusable),
            cold_left_s=_decode_milliseconds(by_name.get(COLD_MS.lower(), "")),
        )


def _environ_key(name: str) -> str:
    return "HTTP_" + name.upper().replace("-", "_")


def _request_headers(environ: Mapping[str, Any]) -> Iterable[tuple[str, str]]:
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            yield "-".join(word.capitalize() for word in key[5:].split("_")), str(value)
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", str(environ["CONTENT_TYPE"])


def _end_to_end_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> Iterable[tuple[str, str]]:
    pairs = list(headers)
    connection_options = {
        word.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for word in value.split(",")
    }
    excluded = _HOP_BY_HOP | connection_options | dropped
    return [(name, value) for name, value in pairs if name.lower() not in excluded]


def _decode_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(",") if text else ():
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _decode_token_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    first, _, second = text.partition(",")
    return int(first), int(second)


def _decode_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    return min(max(int(text), 0), _MAX_DEADLINE_MS) / 1e3


def _decode_request_id(pairs: Iterable[tuple[str, str]]) -> str | None:
    """Returns the request id; different ids are joined, so that they match none."""
    ids = {value for name, value in pairs if name.lower() == REQUEST_ID.lower()}
    return ", ".join(sorted(ids)) if ids else None


def _decode_load(text: str) -> EngineLoad | None:
    """Decodes three counts, and in a fourth figure the percentage of the usual duration of work."""
    words = text.split(",")
    try:
        running, waiting, slots = (int(word) for word in words[:3])
        percent = float(words[3]) if len(words) > 3 else None
    except ValueError:
        return None
    if percent is None:
        return EngineLoad(running, waiting, slots)
    if not (len(words) == 4 and math.isfinite(percent) and percent > 0):
        return None
    return EngineLoad(running, waiting, slots, percent / _USUAL_PERCENT)


def _values(pairs: Iterable[tuple[str, str]], name: str) -> list[str]:
    return [value.strip() for each, value in pairs if each.lower() == name.lower()]


def _decode_seconds(values: list[str]) -> float | None:
    """Decodes a time that is given once; returns None if it is missing or cannot be used."""
    if len(values) != 1 or not _SECONDS.fullmatch(values[0]):
        return None
    return float(values[0])


def _decode_milliseconds(text: str) -> float | None:
    """Decodes milliseconds into seconds; returns None if they are missing or cannot be used."""
    milliseconds = _decode_rate(text)
    return None if milliseconds is None else min(milliseconds, _MAX_COLD_MS) / 1e3


def _decode_rate(text: str) -> float | None:
    """Decodes a decimal number; returns None if it is missing or is no rate."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _decode_keep_alive(text: str) -> float | None:
    for word in text.split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
