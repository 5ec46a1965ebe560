"""Settings of `sequoiadrum serve`, read from flags and environment variables."""

from __future__ import annotations

import ipaddress
from difflib import get_close_matches
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Annotated, Any, Final, Protocol

import cappa
from attrs import fields_dict, frozen

from sequoiadrum.addressing import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from sequoiadrum.messages import Address

ENVIRONMENT_PREFIX: Final = "SEQUOIADRUM_"
FILE_SUFFIX: Final = "_FILE"
"""Variables with this ending name files of other programs, such as the adapters of platforms."""


ValueRule = tuple["Callable[[Any], bool]", str]
"""Returns whether a value is allowed; and what is, in words."""


def flag_of(name: str) -> str:
    """Returns the flag of a field."""
    return "--" + name.replace("_", "-")


def _variable(name: str) -> str:
    return ENVIRONMENT_PREFIX + name.upper()


def _setting(name: str, help_text: str, default: Any = cappa.Empty) -> cappa.Arg[Any]:
    flag, variable = flag_of(name), _variable(name)
    number_type = type(default) if isinstance(default, int | float) else None
    return cappa.Arg(
        long=flag,
        default=cappa.Env(variable, default=default),
        help=f"{help_text} [env: {variable}]",
        parse=None if number_type is None else number_parser(number_type),
        parse_inference=number_type is None,
    )


def number_parser(number_type: type[int] | type[float]) -> Callable[[str], Any]:
    """Returns a parser that passes on a text that is no number, for the rules to report it."""
    return partial(_parse_number, number_type)


def _parse_number(number_type: type[int] | type[float], text: str) -> Any:
    try:
        return number_type(text)
    except ValueError:
        return text


@frozen
class SettingError:
    """A setting whose value is not allowed."""

    flag: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.flag}: {self.value!r} is not allowed, expected {self.allowed}"


@frozen
class MissingSetting:
    """A required setting that has no value."""

    flag: str
    variable: str

    def __str__(self) -> str:
        return f"{self.flag}: missing; set it or the environment variable {self.variable}"


@frozen
class UnknownVariable:
    """An environment variable with our prefix that no setting reads."""

    name: str
    nearest: str | None

    def __str__(self) -> str:
        hint = f"; did you mean {self.nearest}?" if self.nearest else ""
        return f"{self.name}: there is no such setting{hint}"


SettingProblem = SettingError | MissingSetting | UnknownVariable


class SettingSource(Enum):
    """Where the value of a setting comes from."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


@frozen
class EffectiveSetting:
    """The value of a setting, and where it comes from."""

    name: str
    value: Any
    unit: str
    """Empty for values without a unit."""
    default: Any
    """None for a required setting."""
    source: SettingSource

    def __str__(self) -> str:
        unit = f" {self.unit}" if self.unit else ""
        default = "required" if self.default is None else f"default {self.default!r}"
        origin = f"{self.source.value}; {default}; {_variable(self.name)}"
        return f"{flag_of(self.name)} = {self.value!r}{unit} ({origin})"


class MemberSettings(Protocol):
    """Settings of a router that the membership uses."""

    @property
    def instance_id(self) -> str:
        """Id of this instance, unique in the fleet."""

    @property
    def host(self) -> str:
        """IP address."""

    @property
    def failure_domain(self) -> str:
        """Name of the group of instances that can fail together."""

    @property
    def region(self) -> str:
        """Name of the region."""

    @property
    def http_port(self) -> int:
        """TCP port for callers."""

    @property
    def peer_port(self) -> int:
        """TCP and UDP port for other routers."""

    def seed_addresses(self) -> list[Address]:
        """Returns the addresses of the peers through which the router joins the fleet."""


@frozen(kw_only=True)
class Settings:
    """Settings of a router, fixed when it starts."""

    instance_id: Annotated[str, _setting("instance_id", "Name of this instance in the fleet")]
    """Unique in the fleet; letters, digits, '-' and '_' (1 to 64)."""
    host: Annotated[str, _setting("host", "IP address that others use to reach this instance")]
    """IP address on which the router serves callers, peers and operators."""
    failure_domain: Annotated[str, _setting("failure_domain", "Failure domain of this instance")]
    """Name of the group of instances that can fail together."""
    platform: Annotated[str, _setting("platform", "Address of the platform's object service")]
    """`IP:port`."""
    region: Annotated[str, _setting("region", "Region of this instance", "default")] = "default"
    """Name of the region."""
    http_port: Annotated[int, _setting("http_port", "Port for callers", 8080)] = 8080
    """TCP port for callers; 0 selects a free port."""
    peer_port: Annotated[int, _setting("peer_port", "Port for peers, TCP and UDP", 7400)] = 7400
    """TCP and UDP port for other routers; 0 selects a free port."""
    operator_port: Annotated[int, _setting("operator_port", "Port for operators", 7401)] = 7401
    """TCP port for operators; 0 selects a free port."""
    seeds: Annotated[
        str, _setting("seeds", "Peer addresses to join through, separated by commas", "")
    ] = ""
    """`IP:port,...` of peer ports, used in addition to the platform's instance list."""
    max_streams: Annotated[
        int, _setting("max_streams", "Maximum number of requests in flight", 200)
    ] = 200
    """Further requests are refused with `overloaded`."""
    max_body_bytes: Annotated[
        int, _setting("max_body_bytes", "Largest request body in bytes", 1_000_000)
    ] = 1_000_000
    """Larger bodies are refused with `body_too_large`."""
    address_ttl_s: Annotated[
        float, _setting("address_ttl_s", "Time that callers cache an address, in seconds", 5.0)
    ] = 5.0
    """A router that shuts down gracefully continues to accept requests for this time."""
    request_timeout_s: Annotated[
        float,
        _setting(
            "request_timeout_s", "Deadline of requests that name no deadline, in seconds", 30.0
        ),
    ] = 30.0
    """Also limits how long a graceful shutdown waits for the requests in flight."""
    platform_timeout_s: Annotated[
        float, _setting("platform_timeout_s", "Timeout of a platform call, in seconds", 2.0)
    ] = 2.0
    """The outcome of a write that times out is unknown."""
    bound_multiple: Annotated[
        float,
        _setting("bound_multiple", "Maximum load of an engine as a multiple of the mean", 1.25),
    ] = 1.25
    """The load of an engine does not exceed this multiple of the mean load of its pool."""
    admit_multiple: Annotated[
        float,
        _setting("admit_multiple", "Multiple of the mean load at which new requests spill", 1.15),
    ] = 1.15
    """From 1 to `bound_multiple`; lower values reduce skew, higher values increase cache reuse."""
    cold_choices: Annotated[
        int, _setting("cold_choices", "Engines considered for chats without context", 1)
    ] = 1
    """Number of engines considered for a chat without context.

    1 selects the home engine, which a new pool owner finds again; 0 selects the least loaded of
    all engines, which reduces load skew.
    """
    engine_slots: Annotated[
        int, _setting("engine_slots", "Maximum number of requests in flight at one engine", 64)
    ] = 64
    """Requests wait while all engines of a pool are full."""
    ledger_shards: Annotated[int, _setting("ledger_shards", "Shards of the ledger", 16)] = 16
    """Must be equal on all routers, and cannot change while the ledger exists."""
    plan_lease_s: Annotated[
        float, _setting("plan_lease_s", "Lease of the driver of a plan, in seconds", 10.0)
    ] = 10.0
    """Another router takes over a plan whose object has not changed for this time."""
    load_interval_s: Annotated[
        float, _setting("load_interval_s", "Minimum time between two load orders, in seconds", 5.0)
    ] = 5.0
    """Applies to each router; the orders are spaced because the weight store is rate-limited."""
    ledger_window_s: Annotated[
        float,
        _setting("ledger_window_s", "Minimum time between two writes of a shard, in seconds", 0.02),
    ] = 0.02
    """Longer windows increase latency and reduce platform writes."""
    log_format: Annotated[str, _setting("log_format", "json or console", "json")] = "json"
    """Each line contains one event."""
    check: Annotated[bool, cappa.Arg(long="--check", help="Validate the settings and exit")] = False
    """Validates the settings without starting the router."""
    print_settings: Annotated[
        bool, cappa.Arg(long="--print-settings", help="Print the settings and exit")
    ] = False
    """Prints each setting with its unit, its default and its source."""

    def effective(
        self, arguments: Sequence[str], environment: Mapping[str, str]
    ) -> list[EffectiveSetting]:
        """Returns all settings with their sources; there are no secrets among them.

        Args:
            arguments: The arguments of the command line.
            environment: Values by variable.
        """
        given = {argument.partition("=")[0] for argument in arguments}
        defaults = fields_dict(Settings)
        return [
            EffectiveSetting(
                name,
                getattr(self, name),
                _UNIT_BY_NAME.get(name, ""),
                None if name in _REQUIRED else defaults[name].default,
                _source(name, given, environment),
            )
            for name in _VALIDATION_RULES
        ]

    def problems(self) -> list[SettingProblem]:
        """Returns a problem for each value that is missing or not allowed."""
        missing: list[SettingProblem] = [
            MissingSetting(flag_of(name), _variable(name))
            for name in _VALIDATION_RULES
            if getattr(self, name) is None
        ]
        if missing:
            return missing
        wrong: list[SettingProblem] = [
            SettingError(flag_of(name), str(getattr(self, name)), allowed)
            for name, (is_allowed, allowed) in _VALIDATION_RULES.items()
            if not is_allowed(getattr(self, name))
        ]
        return wrong or self._cross_field_problems()

    def _cross_field_problems(self) -> list[SettingProblem]:
        if self.admit_multiple > self.bound_multiple:
            return [
                SettingError(
                    "--admit-multiple",
                    str(self.admit_multiple),
                    f"at most --bound-multiple ({self.bound_multiple})",
                )
            ]
        return []

    def platform_address(self) -> Address:
        """Returns the address of the platform's object service.

        Raises:
            ValueError: The setting `platform` is not a valid address.
        """
        return parse_address(self.platform)

    def seed_addresses(self) -> list[Address]:
        """Returns the addresses of the peers through which the router joins the fleet.

        Raises:
            ValueError: The setting `seeds` contains an invalid address.
        """
        return [parse_address(seed) for seed in self.seeds.split(",") if seed]


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _is_host(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_name(text: str) -> bool:
    return 0 < len(text) <= 64 and all(c.isalnum() or c in "-_" for c in text)


def number_between(low: float, high: float) -> ValueRule:
    """Returns the rule of a number; texts and NaN are not allowed."""
    return (
        lambda value: not isinstance(value, str) and low <= value <= high,
        f"a number from {low:g} to {high:g}",
    )


def whole_number_between(low: int, high: int) -> ValueRule:
    """Returns the rule of a number that was parsed as a whole one."""
    is_allowed, _ = number_between(low, high)
    return is_allowed, f"a whole number from {low} to {high}"


_NAME_RULE: Final = (_is_name, "1 to 64 letters, digits, '-' or '_'")
HOST_RULE: Final[ValueRule] = (_is_host, "an IP address")
PORT_RULE: Final = whole_number_between(0, 65_535)

_VALIDATION_RULES: Final[dict[str, ValueRule]] = {
    "instance_id": _NAME_RULE,
    "host": HOST_RULE,
    "failure_domain": _NAME_RULE,
    "region": _NAME_RULE,
    "platform": (_is_address, "IP:port"),
    "http_port": PORT_RULE,
    "peer_port": PORT_RULE,
    "operator_port": PORT_RULE,
    "seeds": (
        lambda text: all(_is_address(seed) for seed in text.split(",") if seed),
        "IP:port,IP:port,...",
    ),
    "max_streams": whole_number_between(1, 2_000),
    "max_body_bytes": whole_number_between(1_024, 64_000_000),
    "address_ttl_s": number_between(0.1, 600),
    "request_timeout_s": number_between(0.1, 600),
    "platform_timeout_s": number_between(0.05, 60),
    "bound_multiple": number_between(1.01, 10),
    "admit_multiple": number_between(1.0, 10),
    "cold_choices": whole_number_between(0, 64),
    "engine_slots": whole_number_between(1, 100_000),
    "ledger_shards": whole_number_between(1, 4_096),
    "plan_lease_s": number_between(1, 600),
    "load_interval_s": number_between(0, 3_600),
    "ledger_window_s": number_between(0.0, 5.0),
    "log_format": (lambda text: text in ("json", "console"), "json or console"),
}


_REQUIRED: Final = ("instance_id", "host", "failure_domain", "platform")
_UNIT_BY_NAME: Final = {
    "max_streams": "requests",
    "max_body_bytes": "bytes",
    "address_ttl_s": "s",
    "request_timeout_s": "s",
    "platform_timeout_s": "s",
    "bound_multiple": "x the mean load",
    "admit_multiple": "x the mean load",
    "cold_choices": "engines",
    "engine_slots": "requests",
    "ledger_shards": "shards",
    "plan_lease_s": "s",
    "load_interval_s": "s",
    "ledger_window_s": "s",
}


def _source(name: str, given: Collection[str], environment: Mapping[str, str]) -> SettingSource:
    if flag_of(name) in given:
        return SettingSource.FLAG
    if _variable(name) in environment:
        return SettingSource.ENVIRONMENT
    return SettingSource.DEFAULT


def unknown_variables(
    environment: Mapping[str, str], foreign: Collection[str] = ()
) -> list[SettingProblem]:
    """Returns a problem for each variable with our prefix that no setting reads.

    Args:
        environment: Values by variable.
        foreign: Variables with our prefix that other commands and programs read.
    """
    known = {_variable(name) for name in _VALIDATION_RULES}
    names = (n for n in environment if n.startswith(ENVIRONMENT_PREFIX))
    return [
        UnknownVariable(name, next(iter(get_close_matches(name, known, 1)), None))
        for name in sorted(names)
        if name not in known and name not in foreign and not name.endswith(FILE_SUFFIX)
    ]
