"""Commands that read and change configuration objects."""

from __future__ import annotations

import sys
import uuid
from typing import TYPE_CHECKING, Annotated, ClassVar, Literal

import cappa
from attrs import define

from sequoiadrum._cli_base import OperatorCommand, UsageError
from sequoiadrum._cli_values import number_option
from sequoiadrum._operator_codec import WIRE_BY_KIND
from sequoiadrum._tables import format_table
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.operator_server import ANY_VERSION

if TYPE_CHECKING:
    from sequoiadrum._gen.operator import ttypes
    from sequoiadrum.operator_client import OperatorClient


@define(kw_only=True)
class ObjectCommand(OperatorCommand):
    """Base of the commands for one kind of configuration object."""

    kind: ClassVar[ObjectKind]

    action: Annotated[
        Literal["put", "get", "delete", "list"], cappa.Arg(help="put, get, delete or list")
    ]
    name: Annotated[str, cappa.Arg(default="", help="Name of the object; for list: a prefix")] = ""
    value: Annotated[
        str, cappa.Arg(default="", help="JSON document of put; '-' reads standard input")
    ] = ""
    expected_version: Annotated[
        int,
        number_option(
            "expected_version",
            "Change only this version; 0: must not exist; -1: any version",
            ANY_VERSION,
        ),
    ] = ANY_VERSION
    change_id: Annotated[
        str, cappa.Arg(long="--change-id", default="", help="Makes the change idempotent")
    ] = ""
    limit: Annotated[int, number_option("limit", "Maximum number of listed objects", 1_000)] = 1_000

    def execute(self, client: OperatorClient) -> int:
        """See `OperatorCommand.execute`."""
        if not self.name and self.action != "list":
            raise UsageError(f"{self.action} requires a name")
        if bool(self.value) != (self.action == "put"):
            raise UsageError("put requires a name and a value; the other actions accept no value")
        wire = WIRE_BY_KIND[self.kind]
        change_id = self.change_id or f"cli-{uuid.uuid4().hex}"
        if self.action == "put":
            document = self._read_document()
            result = client.put(self.kind, self.name, document, self.expected_version, change_id)
            return self.print_result(result, lambda done: f"{self.name}: version {done.version}\n")
        if self.action == "delete":
            deleted = client.delete(self.kind, self.name, self.expected_version, change_id)
            return self.print_result(
                deleted, lambda done: f"{self.name}: deleted at {done.version}\n"
            )
        if self.action == "get":
            found = client.read(lambda c: c.get_object(wire, self.name))
            return self.print_result(found, lambda entry: _format_objects([entry]))
        listed = client.read(lambda c: c.list_objects(wire, self.name, self.limit))
        return self.print_result(listed, _format_objects)

    def _read_document(self) -> str:
        return sys.stdin.read() if self.value == "-" else self.value


def _format_objects(entries: list[ttypes.ConfigObject]) -> str:
    rows = [(e.name, e.version, e.change_id, e.value_json) for e in entries]
    return format_table(("name", "version", "change", "value"), rows)


@cappa.command(name="account", help="Client accounts.")
@define(kw_only=True)
class AccountCommand(ObjectCommand):
    """Reads and changes accounts."""

    kind = ObjectKind.ACCOUNT


@cappa.command(name="route", help="Routes from models and services to pools.")
@define(kw_only=True)
class RouteCommand(ObjectCommand):
    """Reads and changes routes."""

    kind = ObjectKind.ROUTE


@cappa.command(name="endpoint", help="Declarations of engines and services.")
@define(kw_only=True)
class EndpointCommand(ObjectCommand):
    """Reads and changes endpoint declarations."""

    kind = ObjectKind.ENDPOINT


@cappa.command(name="setting", help="Settings of the whole fleet.")
@define(kw_only=True)
class SettingCommand(ObjectCommand):
    """Reads and changes fleet settings; a value may be a bare JSON value."""

    kind = ObjectKind.SETTING

    def _read_document(self) -> str:
        text = super()._read_document().strip()
        return text if text.startswith("{") else f'{{"value": {text}}}'
