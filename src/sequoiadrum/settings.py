"""Settings of `sequoiadrum serve`, from flags and environment variables."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Annotated, Any, Final, Protocol

import cappa
from attrs import frozen

from sequoiadrum.addressing import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address

ENVIRONMENT_PREFIX: Final = "SEQUOIADRUM_"


def _setting(name: str, help_text: str, default: Any = cappa.Empty) -> cappa.Arg[Any]:
    flag = "--" + name.replace("_", "-")
    variable = ENVIRONMENT_PREFIX + name.upper()
    return cappa.Arg(
        long=flag,
        default=cappa.Env(variable, default=default),
        help=f"{help_text} [env: {variable}]",
    )


@frozen
class SettingError:
    """A setting with a value that is not allowed."""

    flag: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.flag}: {self.value!r} is not allowed, expected {self.allowed}"


class MemberSettings(Protocol):
    """What the membership needs to know of its router."""

    @property
    def instance_id(self) -> str:
        """Unique in the fleet."""

    @property
    def host(self) -> str:
        """Numeric address."""

    @property
    def failure_domain(self) -> str:
        """Name of the group of instances that can fail together."""

    @property
    def region(self) -> str:
        """Name of the region."""

    @property
    def http_port(self) -> int:
        """TCP port of the caller interface."""

    @property
    def peer_port(self) -> int:
        """TCP and UDP port for the other routers."""

    def seed_addresses(self) -> list[Address]:
        """Gives the peers to join by."""


@frozen(kw_only=True)
class Settings:
    """Everything that a router is told at start."""

    instance_id: Annotated[str, _setting("instance_id", "Name of this instance in the fleet")]
    """Unique in the fleet; letters, digits, '-' and '_' (1 to 64)."""
    host: Annotated[str, _setting("host", "IP address that others use to reach this instance")]
    """Numeric address for callers, peers and operators."""
    failure_domain: Annotated[str, _setting("failure_domain", "Failure domain of this instance")]
    """Name of the group of instances that can fail together."""
    platform: Annotated[str, _setting("platform", "Address of the platform's object service")]
    """IP:port."""
    region: Annotated[str, _setting("region", "Region of this instance", "default")] = "default"
    """Name of the region."""
    http_port: Annotated[int, _setting("http_port", "Port for callers", 8080)] = 8080
    """TCP port of the caller interface; 0 lets the system choose."""
    peer_port: Annotated[int, _setting("peer_port", "Port for peers, TCP and UDP", 7400)] = 7400
    """TCP and UDP port for the other routers; 0 lets the system choose."""
    operator_port: Annotated[int, _setting("operator_port", "Port for operators", 7401)] = 7401
    """TCP port of the operator interface; 0 lets the system choose."""
    seeds: Annotated[str, _setting("seeds", "Peer addresses to join by, comma-separated", "")] = ""
    """IP:port,... of peer ports; the platform's list is used besides."""
    max_streams: Annotated[int, _setting("max_streams", "Requests served at once", 200)] = 200
    """More are refused with `overloaded`."""
    max_body_bytes: Annotated[
        int, _setting("max_body_bytes", "Largest request body in bytes", 1_000_000)
    ] = 1_000_000
    """Larger bodies are refused with `body_too_large`."""
    address_ttl_s: Annotated[
        float, _setting("address_ttl_s", "How long callers keep an address, in seconds", 5.0)
    ] = 5.0
    """A planned stop goes on serving for this long."""
    request_timeout_s: Annotated[
        float, _setting("request_timeout_s", "Deadline of requests that name none", 30.0)
    ] = 30.0
    """In seconds."""
    platform_timeout_s: Annotated[
        float, _setting("platform_timeout_s", "Timeout of a platform call, in seconds", 2.0)
    ] = 2.0
    """After this time the outcome of a write is unknown."""
    bound_multiple: Annotated[
        float, _setting("bound_multiple", "Largest load of an engine over the mean", 1.25)
    ] = 1.25
    """No engine carries more than this multiple of the mean load."""
    admit_multiple: Annotated[
        float, _setting("admit_multiple", "Multiple at which new requests spill", 1.15)
    ] = 1.15
    """Between 1 and `bound_multiple`; lower values weigh skew, higher ones cache reuse."""
    cold_choices: Annotated[
        int, _setting("cold_choices", "Engines considered for chats without context", 1)
    ] = 1
    """1: the home engine, found again by a new owner; 0: the least loaded of all, for less skew."""
    engine_slots: Annotated[
        int, _setting("engine_slots", "Requests in flight at one engine at most", 64)
    ] = 64
    """When all engines of a pool are full, requests wait."""
    ledger_shards: Annotated[int, _setting("ledger_shards", "Shards of the ledger", 16)] = 16
    """The same on all routers; fixed for the life of the ledger."""
    plan_lease_s: Annotated[
        float, _setting("plan_lease_s", "Lease of the driver of a plan, in seconds", 10.0)
    ] = 10.0
    """A plan whose object has not changed for this time gets another driver."""
    load_interval_s: Annotated[
        float, _setting("load_interval_s", "Least time between two load orders, in seconds", 5.0)
    ] = 5.0
    """Of one router; the weight store is rate-limited."""
    ledger_window_s: Annotated[
        float, _setting("ledger_window_s", "Least time between two writes of a shard, in s", 0.02)
    ] = 0.02
    """Longer windows cost latency and save platform writes."""
    log_format: Annotated[str, _setting("log_format", "json or console", "json")] = "json"
    """One event a line."""
    check: Annotated[bool, cappa.Arg(long="--check", help="Validate the settings and end")] = False
    """Only validate."""

    def problems(self) -> list[SettingError]:
        """Lists every value that is not allowed."""
        return [
            SettingError("--" + name.replace("_", "-"), str(getattr(self, name)), allowed)
            for name, (is_allowed, allowed) in _RULES.items()
            if not is_allowed(getattr(self, name))
        ] + self._cross_problems()

    def _cross_problems(self) -> list[SettingError]:
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
        """Gives the platform's address; the settings must have no problems."""
        return parse_address(self.platform)

    def seed_addresses(self) -> list[Address]:
        """Gives the peers to join by; the settings must have no problems."""
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


def _between(low: float, high: float) -> tuple[Callable[[Any], bool], str]:
    return (lambda value: low <= value <= high, f"a number from {low:g} to {high:g}")


_NAME: Final = (_is_name, "1 to 64 letters, digits, '-' or '_'")
_PORT: Final = _between(0, 65_535)

_RULES: Final[dict[str, tuple[Callable[[Any], bool], str]]] = {
    "instance_id": _NAME,
    "host": (_is_host, "an IP address"),
    "failure_domain": _NAME,
    "region": _NAME,
    "platform": (_is_address, "IP:port"),
    "http_port": _PORT,
    "peer_port": _PORT,
    "operator_port": _PORT,
    "seeds": (
        lambda text: all(_is_address(seed) for seed in text.split(",") if seed),
        "IP:port,IP:port,...",
    ),
    "max_streams": _between(1, 2_000),
    "max_body_bytes": _between(1_024, 64_000_000),
    "address_ttl_s": _between(0.1, 600),
    "request_timeout_s": _between(0.1, 600),
    "platform_timeout_s": _between(0.05, 60),
    "bound_multiple": _between(1.01, 10),
    "admit_multiple": _between(1.0, 10),
    "cold_choices": _between(0, 64),
    "engine_slots": _between(1, 100_000),
    "ledger_shards": _between(1, 4_096),
    "plan_lease_s": _between(1, 600),
    "load_interval_s": _between(0, 3_600),
    "ledger_window_s": _between(0.0, 5.0),
    "log_format": (lambda text: text in ("json", "console"), "json or console"),
}
