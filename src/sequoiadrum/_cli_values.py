"""Number options of the commands, and the rules for the values of all options."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Final

import cappa
from attrs import fields

from sequoiadrum.operator_server import ANY_VERSION, MAX_LISTED_OBJECTS
from sequoiadrum.settings import (
    HOST_RULE,
    PORT_RULE,
    SettingError,
    flag_of,
    number_between,
    number_parser,
    whole_number_between,
)

if TYPE_CHECKING:
    from sequoiadrum.settings import ValueRule

_MAX_VERSION: Final = 2**63 - 1
_VERSION_RULE: Final = whole_number_between(ANY_VERSION, _MAX_VERSION)
_RULE_BY_NAME: Final[dict[str, ValueRule]] = {
    "host": HOST_RULE,
    "port": PORT_RULE,
    "token_ms": number_between(0, 60_000),
    "prefill_ms": number_between(0, 600_000),
    "cache_chats": whole_number_between(0, 10_000_000),
    "timeout_s": number_between(0.01, 3_600),
    "confirm_s": number_between(0, 3_600),
    "wait_s": number_between(0, 86_400),
    "revision": whole_number_between(0, _MAX_VERSION),
    "expected_version": _VERSION_RULE,
    "output_tokens": whole_number_between(0, 10_000_000),
    "priority": whole_number_between(-1, 9),
    "limit": whole_number_between(1, MAX_LISTED_OBJECTS),
}


def number_option(name: str, help_text: str, default: float) -> cappa.Arg[Any]:
    """Returns the option of a field that holds a number; see `report_wrong_values`."""
    return cappa.Arg(
        long=flag_of(name),
        default=default,
        help=help_text,
        parse=number_parser(type(default)),
        parse_inference=False,
    )


def report_wrong_values(command: Any) -> bool:
    """Writes a line for each value of a command that is not allowed; returns whether any is."""
    values = {each.name: getattr(command, each.name) for each in fields(type(command))}
    wrong = [
        SettingError(flag_of(name), str(value), _RULE_BY_NAME[name][1])
        for name, value in values.items()
        if name in _RULE_BY_NAME and not _RULE_BY_NAME[name][0](value)
    ]
    for problem in wrong:
        sys.stderr.write(f"sequoiadrum: {problem}\n")
    return bool(wrong)
