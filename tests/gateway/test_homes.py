"""Tests of home regions, from the configuration to placement and the directory."""

from __future__ import annotations

import unittest
from types import MappingProxyType
from typing import Any

from sequoiadrum.gateway.fleet import RouterDirectory
from sequoiadrum.gateway.homes import HomeRegions
from sequoiadrum.gateway.model import Account
from sequoiadrum.gateway.placement import PlacementFailure, PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from sequoiadrum.gateway.ports import AddressQuery
from sequoiadrum.gateway.routing import RoutingTable
from sequoiadrum.messages import Address, Member, MemberState
from tests.gateway.builders import a_call, a_config, a_route, a_service, an_entry, bounds, settings

REGION_BY_DOMAIN = {"z1": "north", "z2": "north", "z3": "south", "z4": "east"}


class HomeRegionsTest(unittest.TestCase):
    """Which failure domains the homes of a request permit."""

    def setUp(self) -> None:
        self.homes = HomeRegions(REGION_BY_DOMAIN)

    def test_both_lists_bind(self) -> None:
        """Guards against a request that leaves the homes of its account or of its route."""
        route = a_route(homes=("north", "south"))
        account = Account("acme", None, ("south", "east"))
        self.assertEqual(self.homes.permitted_domains(route, account), {"z3"})
        self.assertEqual(self.homes.permitted_domains(a_route(), account), {"z3", "z4"})
        self.assertEqual(self.homes.permitted_domains(route, None), {"z1", "z2", "z3"})

    def test_no_homes_permit_all(self) -> None:
        """Guards against a fleet without homes that refuses requests."""
        self.assertIsNone(self.homes.permitted_domains(a_route(), Account("acme", None)))

    def test_homes_without_a_common_region_permit_none(self) -> None:
        """Guards against a contradiction that is read as a permission."""
        account = Account("acme", None, ("east",))
        self.assertEqual(self.homes.permitted_domains(a_route(homes=("north",)), account), set())


class PlacementTest(unittest.TestCase):
    """Requests run in their home regions only."""

    def setUp(self) -> None:
        self.pool = EndpointPool(bounds(), lambda: 3)
        for n in range(12):
            entry = an_entry(
                f"e{n}", service="model", slots=12, failure_domain=f"z{n % 4 + 1}", revision=n + 1
            )
            self.pool.apply(entry, is_newly_joined=False)

    def _take(self, number: int, domains: frozenset[str]) -> EndpointPlacement | PlacementFailure:
        chat = (("system", 500), (f"chat{number}", 900), (f"own{number}", 30))
        call = a_call(f"q{number}", chat)
        request = PlacementRequest(a_service("model", 12), call, "z1", False, domains=domains)
        return self.pool.take(request)

    def test_request_and_copies_stay_at_home(self) -> None:
        """Guards against a prompt that is run in, or copied from, another region."""
        for number in range(100):
            placement = self._take(number, frozenset({"z3"}))
            assert isinstance(placement, EndpointPlacement)
            self.assertEqual(placement.endpoint.entry.failure_domain, "z3")
            source = placement.context_source
            if source is not None:
                self.assertEqual(source.entry.failure_domain, "z3")

    def test_home_without_an_endpoint_is_refused(self) -> None:
        """Guards against a request that runs elsewhere since its home has no endpoint."""
        self.assertIs(self._take(1, frozenset({"z9"})), PlacementFailure.OUTSIDE_HOMES)


class _Gossip:
    def __init__(self, *members: Member) -> None:
        self._members = MappingProxyType({member.id: member for member in members})

    def members(self) -> Any:
        return self._members


def a_member(number: int, region: str) -> Member:
    """Returns a router whose HTTP port is its number and that is alone in its failure domain."""
    state = MemberState.ALIVE
    return Member(f"r{number}", "127.0.0.1", 1, number, f"d{number}", region, 1, 0, state)


class DirectoryTest(unittest.TestCase):
    """Callers of a host with homes are sent to routers in these regions."""

    def _answer(self, region: str, *homes: str) -> set[int]:
        members = (a_member(1, "north"), a_member(2, "south"), a_member(3, "east"))
        own = settings(Address("127.0.0.1", 9), [1, 2, 3, 4, 5], instance_id="r1")
        directory = RouterDirectory(_Gossip(*members), own)  # type: ignore[arg-type]
        query = AddressQuery("shop.example", region, "d9")
        return {a.port for a in directory.answer(query, True, frozenset(homes))}

    def test_routers_outside_the_homes_are_not_named(self) -> None:
        """Guards against bodies that are sent to a region that is no home."""
        self.assertEqual(self._answer("north", "south"), {1, 2})
        self.assertEqual(self._answer("south", "south"), {2})
        self.assertEqual(self._answer("north"), {1, 2, 3})

    def test_answer_is_not_empty(self) -> None:
        """Guards against callers without any router while those at home are gone."""
        self.assertEqual(self._answer("west", "west"), {1, 2, 3})

    def test_homes_of_a_host(self) -> None:
        """Guards against a host whose routes share one answer and have different homes."""
        routes = (
            a_route(name="a", path_prefix="/a/", homes=("north", "south")),
            a_route(name="b", path_prefix="/b/", homes=("south",)),
            a_route(name="c", path_prefix="/c/"),
            a_route(name="d", host="other.example", homes=("north",)),
            a_route(name="e", host="other.example", path_prefix="/e/", homes=("east",)),
        )
        routing = RoutingTable(a_config(routes=routes))
        self.assertEqual(routing.homes("Shop.example:80"), {"south"})
        self.assertEqual(routing.homes("other.example"), {"north", "east"})
        self.assertEqual(routing.homes("none.example"), frozenset())
