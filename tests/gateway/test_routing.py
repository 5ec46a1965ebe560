"""Tests of `gateway.routing`."""

from __future__ import annotations

import unittest
from collections import Counter

from sequoiadrum.gateway.model import WeightedService
from sequoiadrum.gateway.routing import RoutingTable
from tests.gateway.builders import a_config, a_route


class RoutingTest(unittest.TestCase):
    """Routes are selected by host and longest path prefix, services by weight."""

    def test_longest_prefix_wins(self) -> None:
        """Guards against a general route that is selected instead of a more specific one."""
        routes = (a_route(name="short"), a_route(name="long", path_prefix="/a/b/"))
        table = RoutingTable(a_config(routes=routes))
        found = table.route("shop.example", "/a/b/c")
        self.assertEqual(found and found.name, "long")
        found = table.route("SHOP.example:80", "/a/bb")
        self.assertEqual(found and found.name, "short")

    def test_other_hosts_and_paths_have_no_route(self) -> None:
        """Guards against requests that reach a service through an unknown host or path."""
        table = RoutingTable(a_config())
        self.assertIsNone(table.route("other.example", "/a/b"))
        self.assertIsNone(table.route("shop.example", "/a"))

    def test_weights_split_the_requests(self) -> None:
        """Guards against a split that ignores the weights or sends retries to another service."""
        route = a_route(services=(WeightedService("x", 90), WeightedService("y", 10)))
        picks = Counter(RoutingTable.service(route, f"q{n}") for n in range(2_000))
        self.assertGreater(picks["y"], 120)
        self.assertLess(picks["y"], 290)
        self.assertEqual(RoutingTable.service(route, "q1"), RoutingTable.service(route, "q1"))

    def test_zero_weight_gets_nothing(self) -> None:
        """Guards against requests to a service whose weight is zero."""
        route = a_route(services=(WeightedService("x", 0), WeightedService("y", 1)))
        picks = {RoutingTable.service(route, f"q{n}") for n in range(200)}
        self.assertEqual(picks, {"y"})
