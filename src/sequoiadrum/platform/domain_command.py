"""Program that evacuates and readmits failure domains of a gateway fleet."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Annotated, Literal

import cappa
from attrs import define
from returns.result import Failure, Success

from sequoiadrum._cli_base import ExitCode
from sequoiadrum.addressing import parse_address
from sequoiadrum.gateway.model import StoreFailure
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform.documents import EVACUATION_KIND
from sequoiadrum.platform.store_client import HttpStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from sequoiadrum.gateway.ports import Store

_ALREADY_DONE = {"evacuate": StoreFailure.CONFLICT, "readmit": StoreFailure.NOT_FOUND}
_OUTCOME_UNKNOWN = (StoreFailure.UNREACHABLE, StoreFailure.MALFORMED)


@cappa.command(
    name="sequoiadrum-domain", help="Evacuate, readmit or list failure domains of a gateway fleet."
)
@define(kw_only=True)
class DomainCommand:
    """Writes evacuations to the platform's store, whose response acknowledges them.

    All actions may be repeated: one that is already in effect succeeds.
    """

    action: Annotated[
        Literal["evacuate", "readmit", "status"], cappa.Arg(help="evacuate, readmit or status")
    ]
    name: Annotated[str, cappa.Arg(default="", help="Name of the failure domain")] = ""
    store: Annotated[
        str, cappa.Arg(long=True, default="", help="Address of the platform's store, IP:port")
    ] = ""

    def __call__(self) -> int:
        """Runs the action; returns an `ExitCode`."""
        try:
            address = parse_address(self.store)
        except ValueError as error:
            return _fail(ExitCode.USAGE, f"--store: {error}")
        if bool(self.name) == (self.action == "status"):
            return _fail(ExitCode.USAGE, "evacuate and readmit require a name; status accepts none")
        store = HttpStore(address, Metrics())
        return self._list(store) if self.action == "status" else self._change(store)

    def _change(self, store: Store) -> int:
        kind = EVACUATION_KIND
        result: Result[None, StoreFailure]
        if self.action == "evacuate":
            result = store.create(kind, self.name, {})
        else:
            result = store.delete(kind, self.name)
        if isinstance(result, Success):
            sys.stdout.write(f"{self.name}: {self.action} acknowledged\n")
            return ExitCode.OK
        why = result.failure()
        if why is _ALREADY_DONE[self.action]:
            sys.stdout.write(f"{self.name}: {self.action} was already in effect\n")
            return ExitCode.OK
        code = ExitCode.UNKNOWN if why in _OUTCOME_UNKNOWN else ExitCode.UNAVAILABLE
        return _fail(code, f"{self.action} {self.name}: {why.value}; repeat the command")

    def _list(self, store: Store) -> int:
        listed = store.list(EVACUATION_KIND)
        if isinstance(listed, Failure):
            return _fail(ExitCode.UNAVAILABLE, f"status: {listed.failure().value}")
        items = sorted(listed.unwrap().items, key=lambda item: item.name)
        sys.stdout.writelines(f"{i.name}: evacuated at revision {i.revision}\n" for i in items)
        if not items:
            sys.stdout.write("no failure domain is evacuated\n")
        return ExitCode.OK


def run(arguments: Sequence[str]) -> int:
    """Runs one command; returns the exit status."""
    try:
        return int(cappa.invoke(DomainCommand, argv=list(arguments)))
    except cappa.Exit as error:
        return int(error.code or 0)


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(run(sys.argv[1:]))


def _fail(code: ExitCode, message: str) -> int:
    sys.stderr.write(f"sequoiadrum-domain: {message}\n")
    return code
