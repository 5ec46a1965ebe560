"""Selects the route, the service and the account of a request; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from sequoiadrum.gateway.model import Account, GatewayConfig, Route

_HASH_RANGE = 1 << 64


def _host_name(host: str) -> str:
    """Returns a host without its port, in lower case."""
    return (host.rpartition(":")[0] if ":" in host else host).lower()


def _homes(routes: list[Route]) -> frozenset[str]:
    homes = [frozenset(route.homes) for route in routes if route.homes]
    if not homes:
        return frozenset()
    return frozenset.intersection(*homes) or frozenset.union(*homes)


class RoutingTable:
    """One version of the configuration, indexed by host and API key."""

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(_host_name(route.host), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._homes_by_host = {
            host: homes
            for host, routes in self._routes_by_host.items()
            if (homes := _homes(routes))
        }

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None if no route matches.

        Args:
            host: Value of the `Host` header; case and a port are ignored.
            path: Path as received, without the query string.
        """
        for route in self._routes_by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def homes(self, host: str) -> frozenset[str]:
        """Returns the regions that are homes of all routes of a host that have homes.

        Empty if no route of the host has homes. If they have none in common, those of any route.
        """
        return self._homes_by_host.get(_host_name(host), frozenset())

    def account(self, key: str) -> Account | None:
        """Returns the account that an API key belongs to, or None if the key is unknown."""
        return self.config.account_by_key.get(key)

    @staticmethod
    def service(route: Route, request_id: str) -> str:
        """Returns the service of a request, chosen by the weights of its route.

        The choice depends only on the request id, so that retries go to the same service.
        """
        total = sum(share.weight for share in route.services)
        point = stable_hash("service", request_id) / _HASH_RANGE * total
        for share in route.services:
            point -= share.weight
            if point < 0:
                return share.service
        return route.services[-1].service
