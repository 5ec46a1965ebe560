"""The failure domains in which requests with home regions may run; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.gateway.model import Account, Route


class HomeRegions:
    """Finds the failure domains that the homes of a route and of an account permit."""

    def __init__(self, region_by_domain: Mapping[str, str]) -> None:
        self._region_by_domain = region_by_domain

    def permitted_domains(self, route: Route, account: Account | None) -> frozenset[str] | None:
        """Returns the failure domains whose region is a home of the route and of the account.

        A failure domain of an unknown region is no home.

        Returns:
            None if all failure domains are permitted.
        """
        homes = [h for h in (route.homes, account.homes if account is not None else ()) if h]
        if not homes:
            return None
        return frozenset(
            domain
            for domain, region in self._region_by_domain.items()
            if all(region in regions for regions in homes)
        )
