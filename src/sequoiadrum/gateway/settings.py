"""Settings of a gateway process."""

from __future__ import annotations

from typing import Final

from attrs import frozen

from sequoiadrum.messages import Address

DEFAULT_METRICS_PORT: Final = 9464
"""TCP port of the metrics; the port registered for Prometheus exporters of this kind."""
_MIN_MEMORY_MB: Final = 64
_MIN_DESCRIPTORS: Final = 256


@frozen
class Listeners:
    """Addresses on which this instance answers."""

    callers: Address
    readiness: Address
    directory: Address


@frozen
class Bounds:
    """Times and shares that the operators promise to their users."""

    stop_grace_s: float
    """From SIGTERM to SIGKILL."""
    leaving_endpoint_s: float
    """After this time a leaving endpoint gets no new request."""
    config_in_force_s: float
    """After this time a new configuration is in force."""
    retry_ratio: float
    """Repeated sends to a service for each request, over all instances."""
    retry_slack: float
    """Repeated sends that are allowed beside the ratio, over all instances."""
    retry_window_s: float
    address_lifetime_s: float
    """Longest time for which callers keep an answer about addresses."""
    load_factor: float
    """No endpoint may carry more than this multiple of the mean of its service."""


@frozen(kw_only=True)
class GatewaySettings:
    """Everything that a gateway process is told at start."""

    instance_id: str
    host: str
    failure_domain: str
    region: str
    listeners: Listeners
    peer_port: int
    """Port for the other routers, UDP and TCP; the same on all instances."""
    seed_hosts: tuple[str, ...]
    store: Address
    memory_mb: int
    max_descriptors: int
    bounds: Bounds
    metrics_port: int = DEFAULT_METRICS_PORT

    @property
    def http_port(self) -> int:
        """Port for callers."""
        return self.listeners.callers.port

    def seed_addresses(self) -> list[Address]:
        """Gives the peers to join by."""
        return [Address(host, self.peer_port) for host in self.seed_hosts]

    def problems(self) -> list[str]:
        """Lists every value with which the gateway cannot serve."""
        found = []
        if not self.instance_id:
            found.append("the name of the instance is empty")
        if self.memory_mb < _MIN_MEMORY_MB:
            found.append(f"memory of {self.memory_mb} MB is below {_MIN_MEMORY_MB} MB")
        if self.max_descriptors < _MIN_DESCRIPTORS:
            found.append(f"{self.max_descriptors} descriptors are below {_MIN_DESCRIPTORS}")
        if self.bounds.stop_grace_s <= 0 or self.bounds.retry_window_s <= 0:
            found.append("the stop grace and the retry window must be positive")
        return found
