"""Configuration state: objects, revisions and conflicts, without I/O."""

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
    """One accepted change; the newest change of an object holds its value."""

    revision: int
    """Position in the total order of all changes, counted from 1."""
    change_id: str
    """Chosen by the operator's client; makes the change idempotent."""
    kind: ObjectKind
    name: str
    value: Mapping[str, Any] | None
    """The JSON document, or None when the object was deleted."""

    @property
    def key(self) -> tuple[ObjectKind, str]:
        """Identifies the object."""
        return (self.kind, self.name)

    def to_json(self) -> dict[str, Any]:
        """Gives the stored form."""
        return {
            "r": self.revision,
            "id": self.change_id,
            "k": self.kind.value,
            "n": self.name,
            "v": self.value,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> Change:
        """Reads the stored form.

        Raises:
            KeyError, ValueError: The document is not a change.
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
    """An object has another version than the operator expected."""

    name: str
    expected_version: int
    found_version: int
    winning_change_id: str


@frozen
class InvalidChange:
    """A value that is not allowed."""

    detail: str


@frozen
class ChangeRequest:
    """A change that an operator asks for."""

    change_id: str
    kind: ObjectKind
    name: str
    value: Mapping[str, Any] | None
    expected_version: int | None
    """Revision of the object's last change; 0: must not exist; None: any."""


_VIEW_NAMES: Final = {
    ObjectKind.ACCOUNT: "accounts_by_name",
    ObjectKind.ROUTE: "routes_by_name",
    ObjectKind.ENDPOINT: "endpoints_by_id",
    ObjectKind.SETTING: "settings_by_name",
}
_SETTING_NAMES: Final = frozenset({"admit_multiple", "bound_multiple", "kv_import"})


@frozen
class ConfigState:
    """All objects at one revision; immutable, so it can be shared between tasks."""

    revision: int = 0
    changes_by_key: Mapping[tuple[ObjectKind, str], Change] = field(factory=dict)
    """The newest change of each object, deletions included until compaction."""
    accounts_by_name: Mapping[str, Account] = field(factory=dict)
    routes_by_name: Mapping[str, Route] = field(factory=dict)
    endpoints_by_id: Mapping[str, Endpoint] = field(factory=dict)
    settings_by_name: Mapping[str, Any] = field(factory=dict)

    def apply(self, changes: Iterable[Change]) -> ConfigState:
        """Gives the state after the changes; those at or below the revision are passed over."""
        fresh = sorted(
            (change for change in changes if change.revision > self.revision),
            key=lambda change: change.revision,
        )
        if not fresh:
            return self
        by_key = dict(self.changes_by_key)
        views: dict[ObjectKind, dict[str, Any]] = {}
        for change in fresh:
            by_key[change.key] = change
            if change.kind not in views:
                views[change.kind] = dict(getattr(self, _VIEW_NAMES[change.kind]))
            _update_view(views[change.kind], change)
        updated = {_VIEW_NAMES[kind]: view for kind, view in views.items()}
        return evolve(self, revision=fresh[-1].revision, changes_by_key=by_key, **updated)

    @classmethod
    def from_snapshot(cls, changes: Iterable[Change], revision: int) -> ConfigState:
        """Builds the state at a revision from the newest change of each object."""
        return evolve(cls().apply(changes), revision=revision)

    def decide(self, request: ChangeRequest) -> Result[Change, ChangeConflict | InvalidChange]:
        """Checks a request against this state.

        Returns:
            The change to append. If the newest change of the object carries the same change id,
            that change itself: the request was carried out before.
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
        """Lists the endpoints of a pool that are not removed, by id."""
        return sorted(
            (e for e in self.endpoints_by_id.values() if e.pool == pool), key=lambda e: e.id
        )

    def declared_endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Gives an endpoint in any declared state; None when it is not declared or was deleted."""
        change = self.changes_by_key.get((ObjectKind.ENDPOINT, endpoint_id))
        if change is None or change.value is None:
            return None
        endpoint: Endpoint = _parse(ObjectKind.ENDPOINT, endpoint_id, change.value)
        return endpoint


def check_value(kind: ObjectKind, name: str, value: Mapping[str, Any] | None) -> str:
    """Checks an object's name and value; gives what is wrong, or an empty string."""
    if not name or len(name) > 200 or any(c.isspace() or c == "/" for c in name):
        return "the name must have 1 to 200 characters, without white space and '/'"
    if value is None:
        return ""
    if kind is ObjectKind.SETTING:
        return "" if name in _SETTING_NAMES else f"unknown setting {name!r}"
    try:
        _parse(kind, name, value)
    except (KeyError, TypeError, ValueError) as error:
        return f"{kind.value} {name!r}: {error!r} in {json.dumps(value)[:200]}"
    return ""


def _update_view(view: dict[str, Any], change: Change) -> None:
    if change.value is None:
        view.pop(change.name, None)
        return
    parsed = _parse(change.kind, change.name, change.value)
    if isinstance(parsed, Endpoint) and parsed.state is EndpointState.REMOVED:
        view.pop(change.name, None)
    else:
        view[change.name] = parsed


def _parse(kind: ObjectKind, name: str, value: Mapping[str, Any]) -> Any:
    if kind is ObjectKind.ACCOUNT:
        return Account(
            name=name,
            requests_per_s=_positive(value.get("requests_per_s", 50.0)),
            burst=_positive(value.get("burst", 100.0)),
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
            models=_names(value.get("models", ())),
        )
    return value.get("value")


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list | tuple) or not all(isinstance(v, str) and v for v in value):
        raise ValueError("must be a list of names")
    return tuple(value)


def _positive(value: Any) -> float:
    number = float(value)
    if not 0 < number < 1e9:
        raise ValueError("must be a number above 0")
    return number


@frozen
class ConfigLog:
    """The object `config/log`, whose conditional write accepts a change."""

    changes: tuple[Change, ...] = ()
    """All changes above the base revision, in order."""
    base_revision: int = 0
    """Changes up to here are in the buckets."""
    bucket_revisions: Mapping[str, int] = field(factory=dict)
    """Revision of the stored object of each bucket that is not empty."""
    write_id: str = ""
    """Names the last write, so that a re-read shows whether it took effect."""

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self.changes[-1].revision if self.changes else self.base_revision

    def encode(self) -> bytes:
        """Gives the value to store."""
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
        """Reads a stored value.

        Raises:
            ValueError: The value is not a configuration log.
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
            raise ValueError("not a configuration log") from error
