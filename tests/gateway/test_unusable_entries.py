"""Tests of entries and configurations that can be decoded as JSON but hold unusable values."""

from __future__ import annotations

import io
import json
import unittest
import zlib
from typing import Any
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from sequoiadrum._gen.peer import ttypes
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.endpoints import Endpoint
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.fleet import ROUTER_KIND, StoreInstanceList
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.model import StoredItem, StoredPage, StorePosition
from sequoiadrum.gateway.peer_feed import PeerResponder, decode_objects
from sequoiadrum.gateway.placement import PlacementRequest
from sequoiadrum.gateway.pool import EndpointPlacement, EndpointPool
from sequoiadrum.gateway.routing import RoutingTable
from sequoiadrum.logs import REPEATED_LINES
from sequoiadrum.metrics import Metrics
from sequoiadrum.platform.documents import decode_config, decode_endpoint
from sequoiadrum.platform.store_client import HttpStore
from tests.gateway.builders import a_call, a_service, an_entry
from tests.gateway.builders import settings as gateway_settings
from tests.gateway.scripted_endpoint import ScriptedEndpoint, ok
from tests.gateway.world import World, config_document, eventually
from tests.platform.test_documents import an_entry_document

DEEP = json.loads("[" * 40 + "]" * 40)
UNUSABLE: tuple[Any, ...] = (
    *("i\udcff", "\ud800", "", " ", "x" * 10_000, "a\r\nb: c", "\x00", "\u20ac"),
    *(float("nan"), float("inf"), float("-inf"), 10**400, -(10**400), 2**63, -1, 0, 1e308, 5e-324),
    *(None, True, False, [], {}, [1], {"a": 1}, DEEP, "1", "127.0.0.1:0", "127.0.0.1:99999"),
    *("0.0.0.0:80", "224.0.0.1:80", "fe80::1%\udcff:80", "127.0.0.1:\u0668\u0660", "[::1", ":"),
)
_ANY: st.SearchStrategy[Any] = st.sampled_from(UNUSABLE) | st.integers() | st.floats()
_ENTRY = st.builds(
    lambda changes, missing: {
        key: value for key, value in an_entry_document(**changes).items() if key not in missing
    },
    st.dictionaries(st.sampled_from(sorted(an_entry_document())), _ANY, max_size=3),
    st.sets(st.sampled_from(sorted(an_entry_document())), max_size=1),
)
_NAME = st.sampled_from([u for u in UNUSABLE if isinstance(u, str)]) | st.just("e2")


def _paths(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values of a document."""
    found = [path] if path else []
    if isinstance(document, dict):
        for key, value in document.items():
            found += _paths(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            found += _paths(value, (*path, index))
    return found


def _replaced(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    copy = json.loads(json.dumps(document))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copy


_CONFIG: dict[str, Any] = config_document(
    limits={"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3}
)
_CONFIG["routes"][0]["backends"] = [{"service": "shop", "weight": 1}]
_CONFIG_PATHS = _paths(_CONFIG)


class EntryTest(unittest.TestCase):
    """Entries of other writers on their way from the store to the placement of requests."""

    def _use(self, item: StoredItem) -> None:
        pool = EndpointPool(gateway_settings(None, [1, 2, 3, 4, 5]).bounds, lambda: 3)
        pool.apply(an_entry("e1"), is_newly_joined=False)
        decoded = decode_endpoint(item)
        if isinstance(decoded, Success):
            entry = decoded.unwrap()
            pool.apply(entry, is_newly_joined=True)
            entry.instance_id.encode("latin-1")
            json.dumps([entry.service, entry.failure_domain, entry.address.host]).encode()
            self.assertLess(entry.warm_up_s + entry.slots * 1e3, 1e12)
        for service in (a_service("s"), a_service("shop"), a_service("s", 8)):
            request = PlacementRequest(
                service=service,
                call=a_call(prompt=(("p", 5), ("q", 5), ("r", 5))),
                failure_domain="z1",
                is_retryable=True,
            )
            placement = pool.take(request)
            if isinstance(placement, EndpointPlacement):
                self.assertIsInstance(placement.endpoint, Endpoint)
                pool.record_unreachable(placement)
                pool.release(placement)
        pool.remove(item.name, StorePosition(1, 1), float("-inf"))
        pool.expire()

    @settings(derandomize=True, deadline=None)
    @given(_NAME, _ENTRY, st.integers(0, 2**63 - 1))
    def test_any_entry_is_used_or_left_out(self, name: str, document: Any, revision: int) -> None:
        """Guards against a value that is decoded, and fails the code that uses it."""
        self._use(StoredItem(name, revision, document))

    def test_unusable_values_name_no_endpoint(self) -> None:
        """Guards against an endpoint whose id, address, slots or times cannot be used."""
        nan, inf = float("nan"), float("inf")
        texts: list[Any] = ["", "\udcff", "x" * 10_000, "a\r\nb: c", None, 7, [], {}, DEEP, True]
        addresses = [u for u in UNUSABLE if u != "[::1"]
        values: dict[str, list[Any]] = {
            "service": texts,
            "zone": texts,
            "state": ["", "Ready", None, 1, [], {}, DEEP],
            "slots": [0, -1, 2.5, True, "8", 10**400, 2**63, inf, nan, None, [], {}],
            "address": [*addresses, "127.0.0.1:-1", "h:80", "127.0.0.1", "127.0.0.1:80\n"],
            "cold_left_ms": [nan, inf, -inf, -1, 10**400, 1e308, "x", True, [1], DEEP],
            "born": [nan, inf, -1, 1.5, 10**400, "x", True, [], DEEP],
        }
        for field, unusable in values.items():
            for value in unusable:
                with self.subTest(field, value=ascii(value)[:40]):
                    item = StoredItem("e1", 1, an_entry_document(**{field: value}))
                    self.assertIsInstance(decode_endpoint(item), Failure)
        for name in ("i\udcff", "", "x" * 10_000, "a\r\nb: c", "\u20ac", " e1"):
            with self.subTest(ascii(name)[:40]):
                item = StoredItem(name, 1, an_entry_document())
                self.assertIsInstance(decode_endpoint(item), Failure)

    @settings(derandomize=True, deadline=None)
    @given(st.sampled_from(_CONFIG_PATHS), _ANY)
    @example(("routes", 1, "host"), "shop.example:80")
    def test_any_configuration_is_used_or_rejected(self, path: tuple[Any, ...], value: Any) -> None:
        """Guards against a configuration that is decoded, and fails the requests that use it."""
        decoded = decode_config(StoredItem("main", 1, _replaced(_CONFIG, path, value)))
        if isinstance(decoded, Failure):
            return
        config = decoded.unwrap()
        table = RoutingTable(config)
        for route in config.routes:
            found = table.route(route.host, f"{route.path_prefix}x")
            assert found is not None
            service = config.service_by_name.get(table.service(found, "q1"))
            self.assertLessEqual(0, (service or a_service()).max_connections)
            self.assertLess(found.timeout_s + found.goal_s + found.pause_goal_s, 1e7)
            self.assertIsInstance(found.is_public, bool)
            json.dumps([found.name, found.host]).encode()
        for account in config.account_by_key.values():
            self.assertIsInstance(min(9, account.priority or 0), int)
            account.name.encode()

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=80) | _ENTRY.map(lambda d: json.dumps(d).encode()), _ANY)
    def test_any_response_of_the_store_ends_in_a_value(self, raw: bytes, value: Any) -> None:
        """Guards against a page or event of the store that ends the thread which reads it."""
        at = json.dumps(value).encode()
        name = json.dumps(value if isinstance(value, str) else "e1").encode()
        item = b'{"metadata": {"name": %s, "revision": %s}, "spec": %s}' % (name, at, raw)
        for body in (
            raw,
            b'{"items": [%s], "at": %s, "more": false}' % (item, at),
            b'{"items": [%s, %s], "at": 3, "more": true}' % (item, raw),
            b'{"events": [{"object": %s, "deleted": %s}, %s], "at": 3}' % (item, at, raw),
        ):
            response = mock.Mock(status=200, will_close=False)
            response.read.return_value = body
            response.getheader.return_value = "1"
            store = HttpStore(mock.Mock(), Metrics())
            connection = mock.Mock()
            connection.getresponse.return_value = response
            with mock.patch.object(store, "_thread_connection", return_value=connection):
                page = store.list("k").value_or(None)
                watched = store.watch("k", 1, 0.1).value_or(None)
                store.get("k", "e1")
            for found in (page.items if page else ()):
                self._use(found)
                self._pass_on(found)
            for event in watched.events if watched else ():
                self._use(event.item)
                self._pass_on(event.item)

    def _pass_on(self, item: StoredItem) -> None:
        mirror = Mirror()
        mirror.apply_list("k", [item], 1, clock.now())
        sent = PeerResponder(mirror, mock.Mock()).watch("k", StorePosition(0, 0), 0.0)
        for entry in sent.objects:
            entry.name.encode()
            self.assertLess(entry.revision, 2**63)
        received = decode_objects(sent).unwrap()
        self.assertEqual([e.item.name for e in received.events], [item.name])


class PeerTest(unittest.TestCase):
    """Changes of the store that peers send."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                _ANY | st.just("e1"),
                _ANY | st.just(3),
                st.binary(max_size=20)
                | _ENTRY.map(lambda d: zlib.compress(json.dumps(d).encode()))
                | st.none(),
                st.booleans() | st.none(),
            ),
            max_size=2,
        ),
        _ANY | st.just(3),
        _ANY | st.just(3),
        _ANY | st.just(1),
    )
    def test_any_response_ends_in_a_value(
        self, entries: list[Any], revision: Any, age_ms: Any, epoch: Any
    ) -> None:
        """Guards against a response of a peer that ends the thread which follows it."""
        objects = [ttypes.SeenObject(*entry) for entry in entries]
        decoded = decode_objects(ttypes.SeenObjects(objects, revision, age_ms, epoch, True))
        if isinstance(decoded, Failure):
            return
        view = decoded.unwrap()
        mirror = Mirror()
        seen_at = clock.now() - view.age_s
        mirror.apply_list("k", [e.item for e in view.events], view.revision, seen_at, 0.0, 0)
        self.assertLess(mirror.revision("k"), 2**63)
        self.assertLessEqual(mirror.seen_at("k"), clock.now())

    def test_malformed_responses_fail(self) -> None:
        """Guards against a corrupt document, or one that fills the memory, that counts as whole."""
        whole = zlib.compress(b"123")
        bomb = zlib.compress(b" " * 17_000_000 + b"1")
        for document in (whole[:-5], bomb, zlib.compress(b"[" * 40 + b"]" * 40), b"", b"x", None):
            with self.subTest(document[:9] if document else document):
                entry = ttypes.SeenObject("e1", 3, document, False)
                decoded = decode_objects(ttypes.SeenObjects([entry], 3, 0, 0, False))
                self.assertIsInstance(decoded, Failure)


class RegistrationTest(unittest.TestCase):
    """Registrations of routers in the store."""

    def test_unusable_registration_costs_only_itself(self) -> None:
        """Guards against an address of another writer that fails the membership."""
        documents: list[Any] = [{"host": "127.0.0.1", "peer_port": 7}, None, [], {"host": "h"}]
        documents += [{"host": "127.0.0.1", "peer_port": value} for value in UNUSABLE]
        documents += [{"host": v, "peer_port": 7} for v in UNUSABLE if v != "[::1"]
        items = tuple(StoredItem(f"r{n}", 1, d) for n, d in enumerate(documents))
        metrics, output = Metrics(), io.StringIO()
        log = EventLog("g1", metrics, output)
        store = mock.Mock()
        store.list.return_value = Success(StoredPage(items, 1))
        instances = StoreInstanceList(store, mock.Mock(), metrics, log)
        listed = instances.list_instances().unwrap()
        self.assertEqual([(i.host, i.port) for i in listed], [("127.0.0.1", 7)])
        self.assertEqual(
            metrics.value("malformed_entries_total", kind="router"), len(documents) - 1
        )
        self.assertEqual(len(log._lines), REPEATED_LINES)
        self.assertGreater(metrics.value("log_lines_dropped_total", reason="repeated"), 0)


class WholeGatewayTest(unittest.TestCase):
    """A gateway whose store holds objects of other writers."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.stop)
        self.world.start()
        self.world.add("e1", ScriptedEndpoint(ok))

    def test_changes_arrive_after_an_unreadable_entry(self) -> None:
        """Guards against requests to an endpoint that leaves after another writer wrote."""
        for n, name in enumerate(["i-7f\udcff91c2", "\ud800", "x" * 10_000, "z\r\n", ROUTER_KIND]):
            self.world.store.put("servers", name, an_entry_document(cold_left_ms=10**400))
            self.world.add(f"f{n}", ScriptedEndpoint(ok))
            self.world.store.delete("servers", f"f{n}")
            eventually(
                lambda n=n: not self.world.gateway.pool.can_route_to(f"f{n}"),  # type: ignore
                "the removal is known",
            )

    def test_changes_arrive_after_bytes_that_are_no_text(self) -> None:
        """Guards against a list and watches that fail because of one entry with other bytes."""
        self.world.store.replaced_bytes = {b"MARK": b"\xff\xfe"}
        self.world.store.put("servers", "e0", an_entry_document(zone="MARK"))
        self.world.add("e2", ScriptedEndpoint(ok))
        self.assertTrue(self.world.gateway.pool.can_route_to("e1"))
        self.assertFalse(self.world.gateway.pool.can_route_to("e0"))
