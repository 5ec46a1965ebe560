"""Conversions between the thrift types of the operator interface and the types of the program."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final, NoReturn

from sequoiadrum._gen.operator import ttypes
from sequoiadrum.configuration import ObjectKind, check_value
from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.configuration import Change
    from sequoiadrum.interfaces import EndpointLoad, PoolLoad
    from sequoiadrum.messages import Member
    from sequoiadrum.plan_store import StoredPlan

MAX_VALUE_BYTES: Final = 16_384
"""Limit for the JSON document of one object; the configuration log holds 64 KB of changes."""
_MAX_NAME_CHARS: Final = 200
_KINDS_BY_WIRE: Final = {
    ttypes.ObjectKind.ACCOUNT: ObjectKind.ACCOUNT,
    ttypes.ObjectKind.ROUTE: ObjectKind.ROUTE,
    ttypes.ObjectKind.ENDPOINT: ObjectKind.ENDPOINT,
    ttypes.ObjectKind.SETTING: ObjectKind.SETTING,
}
WIRE_BY_KIND: Final = {kind: wire for wire, kind in _KINDS_BY_WIRE.items()}
"""Value of each object kind in `schema/operator.thrift`."""


def refuse(reason: str, detail: str) -> NoReturn:
    """Refuses a call with a typed exception.

    Raises:
        Refused: Always.
    """
    raise ttypes.Refused(reason, detail)


def parse_kind(wire: object) -> ObjectKind:
    """Parses an object kind.

    Raises:
        Refused: The kind does not exist.
    """
    kind = _KINDS_BY_WIRE.get(wire) if isinstance(wire, int) else None
    return kind if kind is not None else refuse("unknown_kind", f"{wire!r} is no object kind")


def parse_text(text: object, what: str, may_be_empty: bool = False) -> str:
    """Validates a name, an id or a prefix.

    Args:
        text: The argument as received; a peer may send any type.
        what: Noun phrase for the argument in the error message.
        may_be_empty: Accepts the empty string.

    Raises:
        Refused: The text is missing, too long or not printable.
    """
    if not isinstance(text, str) or len(text) > _MAX_NAME_CHARS or not text.isprintable():
        refuse(
            "bad_argument", f"{what} must be printable text of at most {_MAX_NAME_CHARS} characters"
        )
    if not text and not may_be_empty:
        refuse("bad_argument", f"{what} is missing")
    return text


def parse_number(number: object, what: str, low: int, high: int) -> int:
    """Validates an integer from `low` to `high`.

    Raises:
        Refused: The number is missing or out of range.
    """
    if not isinstance(number, int) or not low <= number <= high:
        refuse("bad_argument", f"{what} must be a number from {low} to {high}")
    return number


def parse_value(kind: ObjectKind, name: str, text: object) -> Mapping[str, Any]:
    """Parses and validates the JSON document of an object.

    Raises:
        Refused: The text is no JSON object, is too large or is invalid for the kind.
    """
    if not isinstance(text, str):
        refuse("bad_json", "the value is missing")
    if len(text.encode()) > MAX_VALUE_BYTES:
        refuse("value_too_large", f"the value has more than {MAX_VALUE_BYTES} bytes")
    try:
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        refuse("bad_json", str(error)[:200])
    if not isinstance(document, dict):
        refuse("bad_json", "the value must be a JSON object")
    try:
        problem = check_value(kind, name, document)
    except (ArithmeticError, AttributeError) as error:  # For example, a port of 1e999.
        problem = repr(error)
    return document if not problem else refuse("invalid_value", problem)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def object_to_wire(change: Change) -> ttypes.ConfigObject:
    """Converts the newest change of an object to the object that it wrote."""
    return ttypes.ConfigObject(
        kind=WIRE_BY_KIND[change.kind],
        name=change.name,
        version=change.revision,
        value_json=json.dumps(change.value, sort_keys=True),
        change_id=change.change_id,
    )


def member_to_wire(member: Member) -> ttypes.MemberStatus:
    """Converts the membership entry of a router."""
    return ttypes.MemberStatus(
        id=member.id,
        host=member.host,
        http_port=member.http_port,
        failure_domain=member.failure_domain,
        region=member.region,
        state=MemberState(member.state).name.lower(),
        config_revision=member.config_revision,
        process_id=member.process_id,
    )


def pool_to_wire(load: PoolLoad) -> ttypes.PoolStatus:
    """Converts the load of a pool; mean and maximum cover its active endpoints only."""
    in_service = [entry.in_flight for entry in load.endpoints if entry.state == "active"]
    mean = sum(in_service) / len(in_service) if in_service else 0.0
    return ttypes.PoolStatus(
        pool=load.pool,
        owner_id=load.owner_id,
        mean_in_flight=mean,
        max_over_mean=max(in_service) / mean if mean else 0.0,
        queued=load.queued,
        endpoints=[_endpoint_to_wire(entry) for entry in load.endpoints],
    )


def _endpoint_to_wire(entry: EndpointLoad) -> ttypes.EndpointStatus:
    endpoint = entry.endpoint
    return ttypes.EndpointStatus(
        id=endpoint.id,
        pool=endpoint.pool,
        kind=endpoint.kind.value,
        host=endpoint.address.host,
        port=endpoint.address.port,
        failure_domain=endpoint.failure_domain,
        state=entry.state,
        in_flight=entry.in_flight,
        reported_load=entry.reported_load,
        checks_fencing=endpoint.checks_fencing,
    )


def plan_to_wire(stored: StoredPlan) -> ttypes.PlanStatus:
    """Converts a stored plan to its status."""
    plan = stored.plan
    return ttypes.PlanStatus(
        id=plan.id,
        kind=plan.kind.value,
        endpoint_id=plan.endpoint_id,
        state=plan.state.value,
        driver_id=plan.lease.holder_id if plan.lease else "",
        fencing_number=plan.lease.fencing_number if plan.lease else 0,
        steps=[ttypes.PlanStep(s.name.value, s.state.value, s.detail) for s in plan.steps],
        target_id=plan.target_id or None,
        detail=plan.detail,
    )
