"""Settings of a gateway process, and their validation."""

from __future__ import annotations

from typing import Final

from attrs import field, frozen

from sequoiadrum.messages import Address

DEFAULT_METRICS_PORT: Final = 9464
"""Default TCP port for metrics; the port registered for Prometheus exporters of this kind."""
RESERVED_DESCRIPTORS: Final = 200
"""File descriptors that connections must leave free for files."""
_MIN_MEMORY_MB: Final = 64
_MIN_DESCRIPTORS: Final = 256


@frozen
class Listeners:
    """Addresses on which this instance listens."""

    callers: Address
    readiness: Address
    directory: Address


@frozen
class Bounds:
    """Limits on times, retries and load that the operators guarantee to their users."""

    stop_grace_s: float
    """Grace period from SIGTERM to SIGKILL."""
    leaving_endpoint_s: float
    """Maximum time until a leaving endpoint receives no new requests."""
    config_in_force_s: float
    """Maximum time until a new configuration is in force."""
    retry_ratio: float
    """Maximum ratio of retries to requests of a service, over all instances."""
    retry_slack: float
    """Retries that are allowed in addition to the ratio, over all instances."""
    retry_window_s: float
    address_lifetime_s: float
    """Longest time for which callers cache the addresses of routers."""
    load_factor: float
    """No endpoint may carry more than this multiple of the mean load of its service."""
    evacuation_s: float | None = None
    """Maximum time until an evacuated failure domain receives no new requests; None if operators do
    not evacuate failure domains."""
    cold_excess: float = 1.0
    """Multiple of the rate of a cold endpoint that it may receive in one second."""
    cold_slack: float = 0.0
    """Requests that a cold endpoint may receive in one second beyond the multiple of its rate."""


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of a gateway process."""

    instance_id: str
    host: str
    failure_domain: str
    region: str
    listeners: Listeners
    peer_port: int
    """UDP and TCP port for the other routers; the same on all instances."""
    seed_hosts: tuple[str, ...]
    store: Address
    memory_mb: int
    max_descriptors: int
    bounds: Bounds
    metrics_port: int = DEFAULT_METRICS_PORT
    region_by_domain: dict[str, str] = field(factory=dict)
    """Regions of the failure domains that the settings name."""

    @property
    def http_port(self) -> int:
        """Port on which callers send requests."""
        return self.listeners.callers.port

    def seed_addresses(self) -> list[Address]:
        """Returns the addresses of the peers through which this instance joins the fleet."""
        return [Address(host, self.peer_port) for host in self.seed_hosts]

    def problems(self) -> list[str]:
        """Returns a message for each invalid value; the gateway can run if there is none."""
        found = []
        if not self.instance_id:
            found.append("the instance name is empty")
        if self.memory_mb < _MIN_MEMORY_MB:
            found.append(f"the memory limit of {self.memory_mb} MB is below {_MIN_MEMORY_MB} MB")
        if self.max_descriptors < _MIN_DESCRIPTORS:
            found.append(
                f"the limit of {self.max_descriptors} file descriptors is below {_MIN_DESCRIPTORS}"
            )
        if self.bounds.stop_grace_s <= 0 or self.bounds.retry_window_s <= 0:
            found.append("the grace period and the retry window must be positive")
        return found
