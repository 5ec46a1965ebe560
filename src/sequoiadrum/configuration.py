"""Configuration objects, their revisions and conflicts between changes; performs no I/O."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from attrs import evolve, field, frozen
from returns.result import Failure, Result, Success

from sequoiadrum.messages import Account, Address, Endpoint, EndpointKind, EndpointState, Route

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class ObjectKind(Enum):
    """Kinds of configuration objects."""

    ACCOUNT = "account"
    ROUTE = "route"
    ENDPOINT = "endpoint"
    SETTING = "setting"


@frozen
class Change:
    """An accepted change of one object; the newest change of an object holds its value."""

    revision: int
    """Position in the total order of all changes, counted from 1."""
    change_id: str
    """Idempotency key of the change, chosen by the operator's client."""
    kind: ObjectKind
    name: str
    value: Mapping[str, Any] | None
    """The JSON document of the object; None if the change deletes the object."""

    @property
    def key(self) -> tuple[ObjectKind, str]:
        """Kind and name, which identify the changed object."""
        return (self.kind, self.name)

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON document in which the change is stored."""
        return {
            "r": self.revision,
            "id": self.change_id,
            "k": self.kind.value,
            "n": self.name,
            "v": self.value,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> Change:
        """Builds a change from its stored JSON document.

        Raises:
            KeyError, ValueError: The document does not describe a change.
        """
        return cls(
            revision=int(document["r"]),
            change_id=str(document["id"]),
            kind=ObjectKind(document["k"]),
            name=str(document["n"]),
            value=document["v"],
        )


@frozen
class ChangeConflict:
    """The version of an object differs from the version that the operator expected."""

    name: str
    expected_version: int
    found_version: int
    winning_change_id: str


@frozen
class InvalidChange:
    """The name or value in a change request is not valid."""

    detail: str


@frozen
class ChangeRequest:
    """A change requested by an operator."""

    change_id: str
    kind: ObjectKind
    name: str
    value: Mapping[str, Any] | None
    expected_version: int | None
    """Revision of the object's last change; 0: the object must not exist; None: any version."""


_VIEW_NAMES: Final = {
    ObjectKind.ACCOUNT: "accounts_by_name",
    ObjectKind.ROUTE: "routes_by_name",
    ObjectKind.ENDPOINT: "endpoints_by_id",
    ObjectKind.SETTING: "settings_by_name",
}
_SETTING_NAMES: Final = frozenset({"admit_multiple", "bound_multiple", "kv_import"})


@frozen
class ConfigState:
    """All configuration objects at one revision; immutable and therefore safe to share."""

    revision: int = 0
    changes_by_key: Mapping[tuple[ObjectKind, str], Change] = field(factory=dict)
    """Newest change of each object; a deletion is included until the log is compacted."""
    accounts_by_name: Mapping[str, Account] = field(factory=dict)
    routes_by_name: Mapping[str, Route] = field(factory=dict)
    endpoints_by_id: Mapping[str, Endpoint] = field(factory=dict)
    settings_by_name: Mapping[str, Any] = field(factory=dict)

    def apply(self, changes: Iterable[Change]) -> ConfigState:
        """Returns the state after the changes; changes at or below its revision are ignored."""
        unapplied = sorted(
            (change for change in changes if change.revision > self.revision),
            key=lambda change: change.revision,
        )
        if not unapplied:
            return self
        updated_by_key = dict(self.changes_by_key)
        views: dict[ObjectKind, dict[str, Any]] = {}
        for change in unapplied:
            updated_by_key[change.key] = change
            if change.kind not in views:
                views[change.kind] = dict(getattr(self, _VIEW_NAMES[change.kind]))
            _update_view(views[change.kind], change)
        updated_views = {_VIEW_NAMES[kind]: view for kind, view in views.items()}
        return evolve(
            self, revision=unapplied[-1].revision, changes_by_key=updated_by_key, **updated_views
        )

    @classmethod
    def from_snapshot(cls, changes: Iterable[Change], revision: int) -> ConfigState:
        """Returns the state at a revision, built from the newest change of each object."""
        return evolve(cls().apply(changes), revision=revision)

    def decide(self, request: ChangeRequest) -> Result[Change, ChangeConflict | InvalidChange]:
        """Validates a request against this state and assigns the next revision to its change.

        Returns:
            The change to append to the log. If the newest change of the object has the change id
            of the request, that change is returned, because the request was accepted before.
        """
        found = self.changes_by_key.get((request.kind, request.name))
        if found is not None and found.change_id == request.change_id:
            return Success(found)
        found_version = found.revision if found is not None and found.value is not None else 0
        if request.expected_version not in (None, found_version):
            return Failure(
                ChangeConflict(
                    name=f"{request.kind.value}/{request.name}",
                    expected_version=request.expected_version or 0,
                    found_version=found_version,
                    winning_change_id=found.change_id if found else "",
                )
            )
        change = Change(
            self.revision + 1, request.change_id, request.kind, request.name, request.value
        )
        problem = check_value(request.kind, request.name, request.value)
        return Failure(InvalidChange(problem)) if problem else Success(change)

    def pool_endpoints(self, pool: str) -> list[Endpoint]:
        """Returns the endpoints of a pool, sorted by id; removed endpoints are left out."""
        return sorted(
            (e for e in self.endpoints_by_id.values() if e.pool == pool), key=lambda e: e.id
        )

    def declared_endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint in any declared state; None if not declared or deleted."""
        change = self.changes_by_key.get((ObjectKind.ENDPOINT, endpoint_id))
        if change is None or change.value is None:
            return None
        endpoint: Endpoint = _parse_value(ObjectKind.ENDPOINT, endpoint_id, change.value)
        return endpoint


def check_value(kind: ObjectKind, name: str, value: Mapping[str, Any] | None) -> str:
    """Returns what is wrong with an object's name or value, or an empty string if it is valid."""
    if not name or len(name) > 200 or any(c.isspace() or c == "/" for c in name):
        return "the name must have 1 to 200 characters, without white space and '/'"
    if value is None:
        return ""
    if kind is ObjectKind.SETTING:
        return "" if name in _SETTING_NAMES else f"unknown setting {name!r}"
    try:
        _parse_value(kind, name, value)
    except (KeyError, TypeError, ValueError) as error:
        return f"{kind.value} {name!r}: {error!r} in {json.dumps(value)[:200]}"
    return ""


def _update_view(view: dict[str, Any], change: Change) -> None:
    if change.value is None:
        view.pop(change.name, None)
        return
    parsed = _parse_value(change.kind, change.name, change.value)
    if isinstance(parsed, Endpoint) and parsed.state is EndpointState.REMOVED:
        view.pop(change.name, None)
    else:
        view[change.name] = parsed


def _parse_value(kind: ObjectKind, name: str, value: Mapping[str, Any]) -> Any:
    if kind is ObjectKind.ACCOUNT:
        return Account(
            name=name,
            requests_per_s=_parse_positive(value.get("requests_per_s", 50.0)),
            burst=_parse_positive(value.get("burst", 100.0)),
        )
    if kind is ObjectKind.ROUTE:
        return Route(
            name=name, pool=str(value["pool"]), idempotent=bool(value.get("idempotent", True))
        )
    if kind is ObjectKind.ENDPOINT:
        return Endpoint(
            id=name,
            pool=str(value["pool"]),
            kind=EndpointKind(value["kind"]),
            address=Address(str(value["host"]), int(value["port"])),
            failure_domain=str(value.get("failure_domain", "")),
            state=EndpointState(value.get("state", "active")),
            checks_fencing=bool(value.get("checks_fencing", False)),
            models=_parse_names(value.get("models", ())),
        )
    return value.get("value")


def _parse_names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple) or not all(isinstance(v, str) and v for v in value):
        raise ValueError("must be a list of names")
    return tuple(value)


def _parse_positive(value: Any) -> float:
    number = float(value)
    if not 0 < number < 1e9:
        raise ValueError("must be a number above 0")
    return number


@frozen
class ConfigLog:
    """Content of the stored object `config/log`; a conditional write of it accepts a change."""

    changes: tuple[Change, ...] = ()
    """All changes above the base revision, in order."""
    base_revision: int = 0
    """Changes up to this revision, inclusive, are stored in the buckets."""
    bucket_revisions: Mapping[str, int] = field(factory=dict)
    """Revision in the name of each bucket's stored object; unwritten buckets are left out."""
    write_id: str = ""
    """Identifies the last write, so that a reader can tell whether it took effect."""

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self.changes[-1].revision if self.changes else self.base_revision

    def encode(self) -> bytes:
        """Returns the bytes to store: a JSON document."""
        return json.dumps(
            {
                "base": self.base_revision,
                "changes": [change.to_json() for change in self.changes],
                "buckets": dict(self.bucket_revisions),
                "write_id": self.write_id,
            },
            separators=(",", ":"),
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> ConfigLog:
        """Parses a stored value.

        Raises:
            ValueError: The value is not a valid configuration log.
        """
        try:
            document = json.loads(value)
            return cls(
                changes=tuple(Change.from_json(entry) for entry in document["changes"]),
                base_revision=int(document["base"]),
                bucket_revisions=document["buckets"],
                write_id=str(document["write_id"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError("the value is not a configuration log") from error
