"""Server of the operator interface: `schema/operator.thrift` in the binary protocol, framed TCP."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, Final, NoReturn, TypeVar

import structlog
from attrs import frozen
from returns.result import Failure, Success

from sequoiadrum._gen.operator import Operator, ttypes
from sequoiadrum._operator_codec import (
    member_to_wire,
    object_to_wire,
    parse_kind,
    parse_number,
    parse_text,
    parse_value,
    pool_to_wire,
    refuse,
)
from sequoiadrum._thrift_transport import BINARY
from sequoiadrum.configuration import ChangeConflict, ChangeRequest, InvalidChange
from sequoiadrum.errors import RefusalReason
from sequoiadrum.interfaces import ConfigUnavailable
from sequoiadrum.messages import MemberState
from sequoiadrum.operator_plans import RETRY_AFTER_MS, OperatorPlans
from sequoiadrum.thrift_server import ThriftServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.configuration import Change, ConfigState
    from sequoiadrum.interfaces import ConfigSource, ConfigWriter, PlanListener, PoolInspector
    from sequoiadrum.membership_interfaces import MembershipSource
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics
    from sequoiadrum.plan_store import PlanStore

MAX_OPERATOR_CONNECTIONS: Final = 32
MAX_LISTED_OBJECTS: Final = 10_000
ANY_VERSION: Final = -1
"""Expected version of a change that applies to any current version of its object."""
_MAX_VERSION: Final = 2**63 - 1
_CALLER_ERROR_REASONS: Final = (
    RefusalReason.NOT_FOUND,
    RefusalReason.ROUTE_UNKNOWN,
    RefusalReason.BAD_REQUEST,
)

F = TypeVar("F", bound="Callable[..., Any]")

_log = structlog.get_logger(__name__)


@frozen
class OperatorParts:
    """The components to which the operator interface delegates its calls."""

    config: ConfigSource
    writer: ConfigWriter
    membership: MembershipSource
    inspector: PoolInspector
    plans: PlanStore
    plan_listener: PlanListener
    metrics: Metrics


def _count_outcome(method: F) -> F:
    """Counts the outcome of each call and converts unexpected errors to typed exceptions."""

    @functools.wraps(method)
    def call(self: OperatorHandler, *arguments: Any) -> Any:
        outcome = "ok"
        try:
            return method(self, *arguments)
        except ttypes.Conflict:
            outcome = "conflict"
            raise
        except ttypes.Refused:
            outcome = "refused"
            raise
        except ttypes.Unavailable:
            outcome = "unavailable"
            raise
        except ttypes.UnknownOutcome:
            outcome = "unknown"
            raise
        except Exception as error:
            outcome = "error"
            _log.error("operator_call_failed", call=method.__name__, error=repr(error)[:200])
            _raise_typed_error(method.__name__, arguments, error)
        finally:
            self.metrics.count("operator_calls_total", call=method.__name__, outcome=outcome)

    return call  # type: ignore[return-value]


def _raise_typed_error(call: str, arguments: tuple[Any, ...], error: Exception) -> NoReturn:
    detail = f"{call} failed: {type(error).__name__}"
    if call in ("put_object", "delete_object"):
        raise ttypes.UnknownOutcome(str(arguments[-1]), detail)
    if call in ("create_plan", "abort_plan"):
        raise ttypes.UnknownOutcome(str(arguments[0]), detail)
    raise ttypes.Unavailable("internal_error", RETRY_AFTER_MS)


class OperatorHandler:
    """Handles the calls of the thrift service `Operator`."""

    def __init__(self, parts: OperatorParts) -> None:
        self._parts = parts
        self._plans = OperatorPlans(parts.plans, parts.config, parts.plan_listener)
        self.metrics: Final = parts.metrics

    @_count_outcome
    def put_object(
        self, object: ttypes.ConfigObject, expected_version: int, change_id: str
    ) -> ttypes.ChangeResult:
        """Creates or replaces an object."""
        if object is None:
            refuse("bad_argument", "the object is missing")
        kind = parse_kind(object.kind)
        name = parse_text(object.name, "the name")
        value = parse_value(kind, name, object.value_json)
        expected = _parse_expected_version(expected_version)
        change_id = parse_text(change_id, "the change id")
        return self._submit(ChangeRequest(change_id, kind, name, value, expected))

    @_count_outcome
    def delete_object(
        self, kind: int, name: str, expected_version: int, change_id: str
    ) -> ttypes.ChangeResult:
        """Deletes an object; a retry with the same change id is not refused as `not_found`."""
        object_kind = parse_kind(kind)
        object_name = parse_text(name, "the name")
        change_id = parse_text(change_id, "the change id")
        expected = _parse_expected_version(expected_version)
        found = self._loaded_config().changes_by_key.get((object_kind, object_name))
        is_retry = found is not None and found.change_id == change_id
        if expected is None and not is_retry and (found is None or found.value is None):
            refuse("not_found", f"{object_kind.value} {object_name}")
        return self._submit(ChangeRequest(change_id, object_kind, object_name, None, expected))

    @_count_outcome
    def get_object(self, kind: int, name: str) -> ttypes.ConfigObject:
        """Returns an object as it is in force on this router."""
        found = self._newest_change(kind, name)
        if found is None or found.value is None:
            refuse("not_found", f"{parse_kind(kind).value} {name}")
        return object_to_wire(found)

    @_count_outcome
    def list_objects(self, kind: int, name_prefix: str, limit: int) -> list[ttypes.ConfigObject]:
        """Returns the objects whose names begin with a prefix, sorted by name."""
        object_kind = parse_kind(kind)
        prefix = parse_text(name_prefix or "", "the prefix", may_be_empty=True)
        count = parse_number(limit, "the limit", 1, MAX_LISTED_OBJECTS)
        found = [
            change
            for change in self._loaded_config().changes_by_key.values()
            if change.kind is object_kind
            and change.value is not None
            and change.name.startswith(prefix)
        ]
        found.sort(key=lambda change: change.name)
        return [object_to_wire(change) for change in found[:count]]

    @_count_outcome
    def find_change(self, kind: int, name: str, change_id: str) -> ttypes.ChangeResult:
        """Returns a change if it is the newest one of its object on this router."""
        found = self._newest_change(kind, name)
        if found is None or found.change_id != parse_text(change_id, "the change id"):
            refuse("not_found", f"{change_id} is not the newest change of {name} here")
        return ttypes.ChangeResult(found.revision, found.revision)

    @_count_outcome
    def config_status(self, revision: int) -> ttypes.ConfigStatus:
        """Returns on how many routers a revision is in force."""
        requested = parse_number(revision, "the revision", 0, _MAX_VERSION)
        own = self._loaded_config().revision
        revisions_by_id = {
            member.id: member.config_revision
            for member in self._parts.membership.members().values()
            if member.state is not MemberState.DEAD
        }
        revisions_by_id[self._parts.membership.self_id()] = own
        newest = max(revisions_by_id.values())
        wanted = requested or newest
        behind = sorted(i for i, reported in revisions_by_id.items() if reported < wanted)
        return ttypes.ConfigStatus(
            revision=own,
            platform_revision=newest,
            routers_alive=len(revisions_by_id),
            routers_in_force=len(revisions_by_id) - len(behind),
            routers_behind=behind,
        )

    @_count_outcome
    def fleet_status(self) -> list[ttypes.MemberStatus]:
        """Returns the state of each router in the view of this one."""
        members = self._parts.membership.members().values()
        return [member_to_wire(member) for member in sorted(members, key=lambda m: m.id)]

    @_count_outcome
    def pool_status(self, pool: str) -> ttypes.PoolStatus:
        """Returns the load of a pool, read from its owner."""
        name = parse_text(pool, "the pool")
        loaded = self._parts.inspector.pool_load(name)
        if isinstance(loaded, Success):
            return pool_to_wire(loaded.unwrap())
        refusal = loaded.failure()
        if refusal.reason in _CALLER_ERROR_REASONS:
            refuse(refusal.reason.value, refusal.detail)
        raise ttypes.Unavailable(refusal.reason.value, refusal.retry_after_ms or RETRY_AFTER_MS)

    @_count_outcome
    def create_plan(
        self, id: str, kind: str, endpoint_id: str, target_id: str
    ) -> ttypes.PlanStatus:
        """Creates a plan; a retry with the same arguments is safe."""
        return self._plans.create(id, kind, endpoint_id, target_id)

    @_count_outcome
    def abort_plan(self, id: str) -> ttypes.PlanStatus:
        """Aborts a plan."""
        return self._plans.abort(id)

    @_count_outcome
    def get_plan(self, id: str) -> ttypes.PlanStatus:
        """Returns a plan."""
        return self._plans.get(id)

    @_count_outcome
    def list_plans(self) -> list[ttypes.PlanStatus]:
        """Returns the newest plans."""
        return self._plans.list_all()

    @_count_outcome
    def counters(self) -> dict[str, float]:
        """Returns the metrics of this router by name."""
        return self.metrics.snapshot()

    def _loaded_config(self) -> ConfigState:
        refusal = self._parts.config.refusal()
        if refusal is not None and refusal.reason is RefusalReason.NOT_READY:
            raise ttypes.Unavailable("not_ready", refusal.retry_after_ms or RETRY_AFTER_MS)
        return self._parts.config.current()

    def _newest_change(self, kind: int, name: str) -> Change | None:
        key = (parse_kind(kind), parse_text(name, "the name"))
        return self._loaded_config().changes_by_key.get(key)

    def _submit(self, request: ChangeRequest) -> ttypes.ChangeResult:
        submitted = self._parts.writer.submit(request)
        if isinstance(submitted, Failure):
            failure = submitted.failure()
            if isinstance(failure, ChangeConflict):
                raise ttypes.Conflict(
                    failure.name,
                    failure.expected_version,
                    failure.found_version,
                    failure.winning_change_id,
                )
            if isinstance(failure, InvalidChange):
                refuse("invalid_value", failure.detail)
            if isinstance(failure, ConfigUnavailable):
                raise ttypes.Unavailable("platform_unavailable", failure.retry_after_ms)
            raise ttypes.UnknownOutcome(request.change_id, "the platform's answer was lost")
        revision = submitted.unwrap().revision
        return ttypes.ChangeResult(revision, revision)


def _parse_expected_version(number: object) -> int | None:
    version = parse_number(number, "the expected version", ANY_VERSION, _MAX_VERSION)
    return None if version == ANY_VERSION else version


def create_operator_server(
    address: Address, parts: OperatorParts, max_connections: int = MAX_OPERATOR_CONNECTIONS
) -> ThriftServer:
    """Binds the operator port.

    Raises:
        OSError: The address is in use or not local.
    """
    processor = Operator.Processor(OperatorHandler(parts))
    return ThriftServer(
        "operator", address, processor, BINARY, parts.metrics, max_connections, is_needed=False
    )
