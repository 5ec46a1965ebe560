"""Says where a described request would go now, and why; changes no state and sends nothing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum.gateway.model import PromptPart, RequestHead
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.gateway.configuration import ConfigurationHolder
    from sequoiadrum.gateway.homes import HomeRegions
    from sequoiadrum.gateway.model import Account
    from sequoiadrum.gateway.pool import EndpointPool, Preview

MAX_FIELDS: Final = 10
MAX_PARTS: Final = 64
MAX_TOKENS: Final = 10_000_000
MAX_PRIORITY: Final = 9
_FIELDS: Final = frozenset(
    {"host", "path", "account", "prompt", "output_tokens", "priority", "request"}
)


@frozen
class DescribedRequest:
    """A request as an operator describes it."""

    call: RequestHead
    account: str | None
    priority: int | None
    """Priority to assume; None for that of the account or route."""


def parse_description(query: str) -> Result[DescribedRequest, str]:
    """Parses the query of a description; a failure says in one line what is wrong."""
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=True, max_num_fields=MAX_FIELDS
        )
    except ValueError:
        return Failure("the query is no list of name=value")
    fields = dict(pairs)
    if len(fields) < len(pairs):
        return Failure("a field is given twice")
    unknown = sorted(fields.keys() - _FIELDS)
    if unknown:
        return Failure(f"unknown field {unknown[0]!r}; known: {', '.join(sorted(_FIELDS))}")
    for name in ("host", "path"):
        if not fields.get(name):
            return Failure(f"{name} is missing")
    if not fields["path"].startswith("/") or not fields["path"].isascii():
        return Failure(f"path {fields['path']!r} is not absolute")
    try:
        prompt = parse_prompt(fields.get("prompt", ""))
        output_tokens = _parse_number("output_tokens", fields.get("output_tokens", "0"), MAX_TOKENS)
        priority = (
            _parse_number("priority", fields["priority"], MAX_PRIORITY)
            if "priority" in fields
            else None
        )
    except ValueError as error:
        return Failure(str(error))
    call = RequestHead(
        request_id=fields.get("request") or "where",
        method="GET",
        target=fields["path"],
        host=fields["host"],
        path=fields["path"].partition("?")[0],
        deadline_s=None,
        key=None,
        prompt=prompt,
        prompt_tokens=sum(part.tokens for part in prompt),
        output_tokens=output_tokens,
        last_event_id=None,
        headers=(),
    )
    return Success(DescribedRequest(call, fields.get("account"), priority))


class WhereExplainer:
    """Answers descriptions from the configuration and the pool of a running router."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        pool: EndpointPool,
        homes: HomeRegions,
        instance_id: str,
        failure_domain: str,
    ) -> None:
        self._configuration = configuration
        self._pool = pool
        self._homes = homes
        self._instance_id = instance_id
        self._failure_domain = failure_domain

    def answer(self, query: str) -> Result[dict[str, Any], str]:
        """Returns where the described request would go; a failure says what is wrong with it."""
        described = parse_description(query)
        if isinstance(described, Failure):
            return described
        request = described.unwrap()
        call = request.call
        found: dict[str, Any] = {
            "router": self._instance_id,
            "failure_domain": self._failure_domain,
            "config_version": self._configuration.version(),
            "endpoint": None,
        }
        routing = self._configuration.routing()
        if routing is None:
            return Success({**found, "refused": "no_configuration"})
        route = routing.route(call.host, call.path)
        if route is None:
            return Success({**found, "refused": "route_unknown"})
        account = _account(routing.config.account_by_key, request.account)
        if request.account is not None and account is None:
            return Failure(f"account {request.account!r} is not in the configuration")
        name = routing.service(route, call.request_id)
        own = request.priority if account is None else account.priority
        own = own if request.priority is None else request.priority
        found |= {
            "route": route.name,
            "service": name,
            "account": request.account,
            "priority": max(0, min(MAX_PRIORITY, route.priority if own is None else own)),
        }
        service = routing.config.service_by_name.get(name)
        if service is None:
            return Success({**found, "refused": "no_endpoint"})
        preview = self._pool.preview(
            PlacementRequest(
                service,
                call,
                self._failure_domain,
                route.kind.is_retryable and route.max_attempts > 1,
                domains=self._homes.permitted_domains(route, account),
            )
        )
        return Success({**found, **_describe(preview)})


def _describe(preview: Preview) -> dict[str, Any]:
    described: dict[str, Any] = {
        "choice": "even" if preview.is_even else "in_flight",
        "replicas": preview.replicas,
        "load_bound": _rounded(preview.load_bound),
        "controls_admission": preview.controls_admission,
        "candidates": [
            {
                "endpoint": each.endpoint_id,
                "failure_domain": each.failure_domain,
                "rank": each.rank,
                "slots": each.slots,
                "in_flight": each.in_flight,
                "load": _rounded(each.load),
                "room": _rounded(max(0.0, each.slots - each.load)),
                "slowdown": _rounded(each.slowdown),
                "load_age_ms": _milliseconds(each.load_age_s),
                "speed_age_ms": _milliseconds(each.speed_age_s),
                "rate_limit": each.rate_limit,
                "passed_over": each.passed_over,
            }
            for each in preview.candidates
        ],
    }
    if isinstance(preview.chosen, PlacementFailure):
        return {**described, "refused": preview.chosen.value}
    return {**described, "endpoint": preview.chosen}


def _account(account_by_key: Mapping[str, Account], name: str | None) -> Account | None:
    return next((each for each in account_by_key.values() if each.name == name), None)


def parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Parses parts given as `ID:TOKENS,...`.

    Raises:
        ValueError: A part has another form; the message says which.
    """
    parts = []
    for part in text.split(",") if text else ():
        name, colon, tokens = part.strip().rpartition(":")
        if not colon or not name:
            raise ValueError(f"prompt part {part!r} is not ID:TOKENS")
        parts.append(PromptPart(name, _parse_number("tokens of a part", tokens, MAX_TOKENS)))
    if len(parts) > MAX_PARTS:
        raise ValueError(f"the prompt has over {MAX_PARTS} parts")
    return tuple(parts)


def _parse_number(name: str, text: str, highest: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 12 and int(text) <= highest):
        raise ValueError(f"{name} {text!r} is not a number from 0 to {highest}")
    return int(text)


def _rounded(value: float | None) -> float | None:
    return None if value is None or not math.isfinite(value) else round(value, 2)


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * 1e3) if math.isfinite(seconds) else None


def text_of(answer: Mapping[str, Any]) -> str:
    """Returns an answer as readable text."""
    lines = [
        f"router {answer['router']} in {answer['failure_domain']}, "
        f"configuration {answer['config_version']}"
    ]
    if "route" in answer:
        lines.append(
            f"route {answer['route']}, service {answer['service']}, "
            f"account {answer['account'] or '-'}, priority {answer['priority']}"
        )
    if answer["endpoint"] is None:
        lines.append(f"refused: {answer['refused']}")
    else:
        lines.append(f"endpoint {answer['endpoint']}")
    if "choice" in answer:
        bound = answer["load_bound"]
        lines.append(
            f"choice {answer['choice']}, replicas {answer['replicas']}, "
            f"load bound {'-' if bound is None else bound}, "
            f"admission {'controlled' if answer['controls_admission'] else 'not controlled'}"
        )
    for each in answer.get("candidates", ()):
        shown = [f"{key}={each[key]}" for key in each if each[key] is not None]
        lines.append("  " + " ".join(shown))
    return "\n".join(lines) + "\n"
