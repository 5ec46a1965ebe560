"""Tests of `platform.documents`."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from sequoiadrum.gateway.model import EndpointState, RequestKind, StoredItem
from sequoiadrum.platform.documents import decode_config, decode_endpoint
from tests.gateway.world import config_document, route_document

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["service", "address", "slots", "state"]), inner),
    max_leaves=6,
)


def an_entry_document(**changes: Any) -> dict[str, Any]:
    """Returns the store entry of an endpoint, as the endpoint writes it."""
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 500,
        "seq": 4,
        "born": 1_700_000_000_000,
        **changes,
    }


class ConfigTest(unittest.TestCase):
    """Decoding of the operator's configuration."""

    def test_fields(self) -> None:
        """Guards against a field that is decoded into the wrong attribute or unit."""
        document = config_document(7, tenants=[{"name": "a", "api_keys": ["k"], "priority": 2}])
        config = decode_config(StoredItem("main", 3, document)).unwrap()
        self.assertEqual(config.version, 7)
        self.assertEqual(config.account_by_key["k"].priority, 2)
        self.assertEqual(
            [route.kind for route in config.routes],
            [
                RequestKind.IDEMPOTENT,
                RequestKind.NON_IDEMPOTENT,
                RequestKind.RESUMABLE_STREAM,
                RequestKind.STREAM,
            ],
        )
        self.assertEqual(config.routes[0].timeout_s, 3.0)
        self.assertEqual(config.service_by_name["model"].batch_slots, 128)
        self.assertIsNone(config.service_by_name["shop"].batch_slots)

    def test_homes_and_cold_endpoints(self) -> None:
        """Guards against a request that leaves its home regions, and a flooded cold endpoint."""
        document = config_document(
            7, tenants=[{"name": "a", "api_keys": ["k"], "allowed_regions": ["r1"]}]
        )
        document["routes"][0]["allowed_regions"] = ["r1", "r2"]
        document["services"][0].update(cold_start_s=3.0, cold_per_s=9.3)
        config = decode_config(StoredItem("main", 3, document)).unwrap()
        self.assertEqual(config.account_by_key["k"].homes, ("r1",))
        self.assertEqual(config.routes[0].homes, ("r1", "r2"))
        self.assertEqual(config.routes[1].homes, ())
        service = config.service_by_name[document["services"][0]["name"]]
        self.assertEqual((service.cold_start_s, service.cold_requests_per_s), (3.0, 9.3))
        self.assertEqual(config.limits.idle_timeout_s, 15.0)

    def test_split_route(self) -> None:
        """Guards against losing the weights of a route that is split between services."""
        route = route_document("idempotent", "x", "/a/")
        del route["service"]
        route["backends"] = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        document = config_document(1, routes=[route])
        config = decode_config(StoredItem("main", 3, document)).unwrap()
        self.assertEqual(
            [(share.service, share.weight) for share in config.routes[0].services],
            [("x", 90.0), ("y", 10.0)],
        )

    def test_malformed_is_reported(self) -> None:
        """Guards against a malformed document that replaces a valid configuration."""
        for document in (
            None,
            {},
            {**config_document(), "routes": [{"name": "r"}]},
            {**config_document(), "routes": [route_document("odd", "s", "/a/")]},
        ):
            with self.subTest(document):
                self.assertIsInstance(decode_config(StoredItem("main", 3, document)), Failure)


class EndpointTest(unittest.TestCase):
    """Decoding of endpoint entries."""

    def test_fields(self) -> None:
        """Guards against a field that is decoded into the wrong attribute or unit."""
        entry = decode_endpoint(StoredItem("i-1", 9, an_entry_document())).unwrap()
        self.assertEqual((entry.instance_id, entry.revision, entry.slots), ("i-1", 9, 8))
        self.assertEqual((entry.warm_up_s, entry.started_ms), (0.5, 1_700_000_000_000))
        self.assertIs(entry.state, EndpointState.READY)

    def test_foreign_entries_name_no_endpoint(self) -> None:
        """Guards against requests to an entry that something else than an endpoint has written."""
        for changes in (
            {"state": "odd"},
            {"state": ["ready"]},
            {"slots": "8"},
            {"slots": True},
            {"address": "here"},
            {"service": None},
            {"cold_left_ms": "x"},
        ):
            with self.subTest(changes):
                item = StoredItem("i-1", 9, an_entry_document(**changes))
                self.assertIsInstance(decode_endpoint(item), Failure)

    @settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(_JSON)
    def test_any_document_gives_an_outcome(self, document: Any) -> None:
        """Guards against an exception that ends the thread that watches the endpoints."""
        outcome = decode_endpoint(StoredItem("i-1", 9, document))
        self.assertIsInstance(outcome, (Success, Failure))
