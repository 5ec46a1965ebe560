"""A complete gateway on loopback addresses, with a stand-in store and scripted endpoints."""

from __future__ import annotations

import http.client
import io
import time
from typing import TYPE_CHECKING, Any
from unittest import mock

from returns.result import Success

from sequoiadrum.gateway.app import Adapter, Gateway
from sequoiadrum.platform.directory_codec import PlatformDirectoryCodec
from sequoiadrum.platform.headers import PlatformHeaderCodec
from sequoiadrum.platform.launch import PlatformDocumentDecoder
from sequoiadrum.platform.store_client import HttpStore
from tests.gateway.builders import settings
from tests.platform.store_stand_in import StoreStandIn
from tools.ports import free_ports

if TYPE_CHECKING:
    import unittest
    from collections.abc import Callable

    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.messages import Address
    from tests.gateway.scripted_endpoint import ScriptedEndpoint

WAIT_S: float = 10.0
"""Time limit of waits for conditions that take milliseconds on an idle machine."""


def eventually(condition: Callable[[], Any], what: str) -> None:
    """Waits until a condition holds.

    Args:
        condition: Called every 10 ms; a true result ends the wait.
        what: Describes the condition in the error message.

    Raises:
        AssertionError: The condition did not hold within `WAIT_S`.
    """
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition did not hold in time: {what}")
        time.sleep(0.01)


def route_document(
    kind: str, service: str, prefix: str, resumable: bool = False, **changes: Any
) -> dict[str, Any]:
    """Builds a route in the format of the operator's configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "shop.example",
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 3000,
        "goal_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": resumable,
        **changes,
    }


def config_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Builds a configuration in the operator's format."""
    return {
        "version": version,
        "routes": [
            route_document("idempotent", "shop", "/read/"),
            route_document("non_idempotent", "shop", "/order/", max_attempts=1),
            route_document("streaming", "model", "/draft/", resumable=True),
            route_document("streaming", "model", "/tag/", max_attempts=1),
        ],
        "services": [
            {"name": "shop", "health_path": "/health", "max_conns": 100},
            {
                "name": "model",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 128, "kv_capacity_tokens": 1000},
            },
        ],
        "limits": {"idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": ["k1"]}],
        **changes,
    }


class World:
    """A gateway with a store and endpoints of its own.

    `start` starts the gateway; `stop` ends all parts.
    """

    def __init__(self, store: StoreStandIn | None = None, **setting_changes: Any) -> None:
        self.store = store or StoreStandIn()
        self.output = io.StringIO()
        """Collects the gateway's log lines."""
        self.ports = free_ports(5)
        self.endpoints: dict[str, ScriptedEndpoint] = {}
        self.settings: GatewaySettings = settings(self.store.address, self.ports, **setting_changes)
        self.gateway = Gateway(
            self.settings,
            Adapter(
                header_codec=PlatformHeaderCodec(),
                directory=PlatformDirectoryCodec(),
                documents=PlatformDocumentDecoder(),
                store=lambda metrics: HttpStore(self.store.address, metrics),
                load_settings=lambda: Success(self.settings),
            ),
            self.output,
        )

    def start(self, document: dict[str, Any] | None = None) -> World:
        """Stores a configuration, starts the gateway and waits until it is ready."""
        self.store.put("config", "main", document or config_document())
        self.gateway.start()
        eventually(self.gateway.state.is_ready, "the gateway is ready")
        return self

    def join(self, other: World) -> None:
        """Registers another gateway as a peer in this gateway's store; the stores stay separate."""
        peer = {"host": "127.0.0.1", "peer_port": other.ports[4]}
        self.store.put("sequoiadrum-routers", other.settings.instance_id, peer)

    def stop(self) -> None:
        """Kills the gateway and stops the store and the endpoints."""
        self.gateway.kill()
        self.store.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()

    def add(
        self, name: str, endpoint: ScriptedEndpoint, service: str = "shop", zone: str = "z1"
    ) -> None:
        """Registers an endpoint and waits until the gateway can send requests to it."""
        self.endpoints[name] = endpoint
        self.register(name, endpoint.address, service, zone=zone)
        eventually(lambda: self.gateway.pool.can_route_to(name), f"{name} is known")

    def register(
        self,
        name: str,
        address: Address,
        service: str = "shop",
        state: str = "ready",
        born: int = 1,
        zone: str = "z1",
    ) -> int:
        """Writes the store entry of an endpoint; returns its revision."""
        return self.store.put(
            "servers",
            name,
            {
                "service": service,
                "address": f"{address.host}:{address.port}",
                "zone": zone,
                "version": "v1",
                "slots": 6,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                "born": born,
            },
        )

    def remove(self, name: str) -> None:
        """Removes the store entry of an endpoint."""
        self.store.delete("servers", name)

    def connect(self, timeout_s: float = WAIT_S) -> http.client.HTTPConnection:
        """Creates a caller's connection to the gateway."""
        return http.client.HTTPConnection("127.0.0.1", self.ports[0], timeout=timeout_s)

    def call(
        self,
        path: str,
        request_id: str = "q1",
        body: bytes | None = b"hello",
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request; returns status, headers with lower-case names, and body."""
        connection = self.connect()
        try:
            connection.request(method, path, body, {**self.headers(request_id), **(headers or {})})
            response = connection.getresponse()
            data = response.read()
            return (
                response.status,
                {name.lower(): value for name, value in response.getheaders()},
                data,
            )
        finally:
            connection.close()

    @staticmethod
    def headers(request_id: str = "q1") -> dict[str, str]:
        """Returns the headers of a valid request."""
        return {
            "Host": "shop.example",
            "Sequoiadrum-Request-Id": request_id,
            "Sequoiadrum-Deadline-Ms": "3000",
            "Sequoiadrum-Key": "k1",
        }

    def ask_control(self, port: int, path: str) -> tuple[int, bytes]:
        """Sends a request to the readiness, directory or metrics listener; returns status and body.

        Args:
            port: Index in `ports`: 1 for readiness, 2 for the directory, 3 for metrics.
            path: Path and query of the request.
        """
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=WAIT_S)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()


def start_follower_and_watcher(
    test: unittest.TestCase, **setting_changes: Any
) -> tuple[World, World]:
    """Starts two gateways that know each other and have stores of their own.

    Only the second one returned watches its store; the other one follows it. Both are stopped when
    the test ends.
    """
    for name in ("SMALL_FLEET_SIZE", "MIN_WATCHERS"):
        test.enterContext(mock.patch(f"sequoiadrum.gateway.peer_feed.{name}", 1))
    worlds = [World(instance_id=name, **setting_changes) for name in ("g1", "g2")]
    for world in worlds:
        test.addCleanup(world.stop)
    worlds[0].start()
    worlds[1].join(worlds[0])
    worlds[1].start()
    eventually(lambda: sorted(map(_is_watcher, worlds)) == [False, True], "one of them watches")
    follower, watcher = sorted(worlds, key=_is_watcher)
    return follower, watcher


def _is_watcher(world: World) -> bool:
    return world.gateway.configuration._peers.is_watcher()
