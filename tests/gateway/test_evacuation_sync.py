"""Tests of evacuations in a complete gateway, from the store to the requests."""

from __future__ import annotations

import threading
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from sequoiadrum.gateway import clock, evacuation_sync
from sequoiadrum.gateway.exchange import EndpointConnections
from tests.gateway.builders import bounds
from tests.gateway.scripted_endpoint import ScriptedEndpoint
from tests.gateway.world import World, config_document, eventually, start_follower_and_watcher

if TYPE_CHECKING:
    from sequoiadrum.gateway.evacuations import Evacuations
    from tests.gateway.scripted_endpoint import Connection, Received

KIND = "evacuations"
EVACUATES = bounds(evacuation_s=5.0)


def answer(connection: Connection, request: Received) -> None:
    """Sends a signed response."""
    connection.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSequoiadrum-Response-Seal: s\r\n"
        b"Sequoiadrum-Request-Id: " + request.request_id.encode() + b"\r\n\r\nok"
    )


def evacuations_of(world: World) -> Evacuations:
    """Returns the evacuations that a gateway knows."""
    evacuations = world.gateway.evacuations
    assert evacuations is not None
    return evacuations


class EvacuationSyncTest(unittest.TestCase):
    """A gateway whose operators evacuate failure domains."""

    def setUp(self) -> None:
        self.world = World(bounds=EVACUATES)
        self.addCleanup(self.world.stop)
        self.evacuations = evacuations_of(self.world)

    def _start(self) -> None:
        self.world.start()
        for n, zone in enumerate(("z1", "z2")):
            self.world.add(f"e{n}", ScriptedEndpoint(answer), zone=zone)

    def _evacuate(self, zone: str) -> None:
        self.world.store.put(KIND, zone, {})
        eventually(lambda: self.evacuations.is_evacuated(zone), "the evacuation is known")

    def _count(self, name: str) -> int:
        return len(self.world.endpoints[name].received)

    def test_no_request_reaches_an_evacuated_domain(self) -> None:
        """Guards against requests to endpoints that operators want to be idle."""
        self._start()
        self._evacuate("z1")
        before = self._count("e0")
        for n in range(20):
            self.assertEqual(self.world.call("/read/x", f"q{n}")[0], 200)
        self.assertEqual(self._count("e0"), before)
        self.world.store.delete(KIND, "z1")
        eventually(lambda: not self.evacuations.is_evacuated("z1"), "the readmission is known")
        eventually(
            lambda: self.world.call("/read/x")[0] == 200 and self._count("e0") > before,
            "the domain receives requests again",
        )
        output = self.world.output.getvalue
        eventually(lambda: "failure_domain_readmitted" in output(), "the readmission is logged")
        self.assertIn("failure_domain_evacuated", output())
        self.assertIn('"revision"', output())

    def test_refusal_while_all_domains_are_evacuated(self) -> None:
        """Guards against a refusal without a reason or a time to come back."""
        self._start()
        self._evacuate("z1")
        self._evacuate("z2")
        status, headers, body = self.world.call("/read/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertIn(b"endpoints_evacuated", body)
        metrics = self.world.gateway.metrics.exposition()
        self.assertIn("failure_domains_evacuated 2", metrics)

    def test_request_that_waits_for_a_connection_is_not_sent(self) -> None:
        """Guards against a request that was placed before the evacuation and sent after it."""
        self._start()
        send = EndpointConnections.send
        domains = {"e0": "z1", "e1": "z2"}
        evacuated: list[str] = []

        def evacuate_first(connections, endpoint_id, *arguments, **keywords):  # type: ignore[no-untyped-def]
            if not evacuated:
                evacuated.append(endpoint_id)
                self._evacuate(domains[endpoint_id])
            return send(connections, endpoint_id, *arguments, **keywords)

        with mock.patch.object(EndpointConnections, "send", evacuate_first):
            self.assertEqual(self.world.call("/order/x")[0], 200)
        self.assertEqual(self._count(evacuated[0]), 0)
        output = self.world.output.getvalue
        eventually(lambda: "endpoint_evacuated_before_send" in output(), "it is logged")

    def test_outage_is_probed_by_the_other_kinds(self) -> None:
        """Guards against calls of a store that is away for each kind of objects."""
        self._start()
        calls = self.world.store.calls
        self.world.store.status = 503
        availability = self.world.gateway.store_availability
        eventually(availability.is_lost, "the outage is noticed")

        def count(kind: str) -> int:
            return sum(f"/objects/{kind}" in path for _, path in calls)

        # A call of the kind that was in progress may still fail.
        eventually(lambda: count("servers") > 0, "the endpoints are read")
        before, probes = count(KIND) + 1, count("servers")
        eventually(lambda: count("servers") >= probes + 6, "the endpoints are read again and again")
        self.assertLessEqual(count(KIND), before)
        self.world.store.put(KIND, "z1", {})
        self.world.store.status = None
        eventually(lambda: self.evacuations.is_evacuated("z1"), "the evacuation is known")

    def test_running_request_completes(self) -> None:
        """Guards against a request that an evacuation interrupts."""
        release = threading.Event()

        def answer_late(connection: Connection, request: Received) -> None:
            release.wait(5.0)
            answer(connection, request)

        self.world.start()
        self.world.add("slow", ScriptedEndpoint(answer_late))
        statuses: list[int] = []
        caller = threading.Thread(
            target=lambda: statuses.append(self.world.call("/order/x")[0]), daemon=True
        )
        caller.start()
        eventually(lambda: self._count("slow") == 1, "the request runs")
        self._evacuate("z1")
        release.set()
        caller.join(5.0)
        self.assertEqual(statuses, [200])

    def test_router_that_starts_in_an_evacuation_knows_it_first(self) -> None:
        """Guards against a router that serves before it knows what is evacuated."""
        self.world.store.put(KIND, "z1", {})
        self.world.store.status_by_path[f"/objects/{KIND}"] = 503
        self.world.store.put("config", "main", config_document())
        self.world.gateway.start()
        holder = self.world.gateway.configuration
        eventually(lambda: holder.routing() is not None, "the configuration is known")
        self.assertFalse(self.world.gateway.state.is_ready())
        status, headers, body = self.world.call("/read/x")
        self.assertEqual(status, 503)
        self.assertIn(b"evacuations_unknown", body)
        self.assertIn("retry-after", headers)
        self.world.store.status_by_path.clear()
        eventually(self.world.gateway.state.is_ready, "the gateway is ready")
        self.assertTrue(self.evacuations.is_evacuated("z1"))

    def test_router_that_resumes_reads_the_evacuations_first(self) -> None:
        """Guards against requests that a router sends by what it knew before it was suspended."""
        self._start()
        sync = next(s for s in self.world.gateway._syncs if s._kind == KIND)
        self.world.store.drops_watch_events = True
        self.world.store.put(KIND, "z1", {})
        self.assertFalse(self.evacuations.is_evacuated("z1"))
        resumed_at = clock.now()
        with mock.patch.object(
            self.world.gateway.state._pauses, "observe", return_value=resumed_at
        ):
            self.assertTrue(self.world.gateway.state.is_current())
        self.assertTrue(self.evacuations.is_evacuated("z1"))
        self.assertGreaterEqual(sync._listed_at, resumed_at)

    def test_restored_store_does_not_end_an_evacuation(self) -> None:
        """Guards against requests between a restore and the time the operator writes again."""
        self._start()
        copy = self.world.store.copy()
        self._evacuate("z1")
        self.world.store.restore(copy)
        output = self.world.output.getvalue
        eventually(lambda: "failure_domain_readmitted" in output(), "the restore is known")
        self.assertTrue(self.evacuations.is_evacuated("z1"))
        self.world.store.put(KIND, "z1", {})
        eventually(
            lambda: output().count("failure_domain_evacuated") == 2, "the second writing is known"
        )
        self.assertTrue(self.evacuations.is_evacuated("z1"))


class OtherDeploymentsTest(unittest.TestCase):
    """A gateway whose operators do not evacuate failure domains."""

    def test_store_is_not_asked(self) -> None:
        """Guards against calls of the store that no deployment asked for."""
        world = World()
        self.addCleanup(world.stop)
        world.start()
        world.add("e0", ScriptedEndpoint(answer))
        self.assertEqual(world.call("/read/x")[0], 200)
        self.assertIsNone(world.gateway.evacuations)
        self.assertFalse([path for _, path in world.store.calls if KIND in path])


class PeerTest(unittest.TestCase):
    """A router that does not watch the store itself."""

    def test_evacuation_arrives_through_a_peer(self) -> None:
        """Guards against a large fleet in which only the watchers know an evacuation."""
        follower, watcher = start_follower_and_watcher(self, bounds=EVACUATES)
        # The follower may still wait for the store that it watched before it knew the watcher.
        watcher.store.put(KIND, "z2", {})
        eventually(lambda: evacuations_of(follower).is_evacuated("z2"), "it asks the watcher")
        watcher.store.put(KIND, "z1", {})
        eventually(lambda: evacuations_of(watcher).is_evacuated("z1"), "the watcher knows")
        started = clock.now()
        eventually(lambda: evacuations_of(follower).is_evacuated("z1"), "the follower knows")
        self.assertLess(clock.now() - started, 2.0)
        self.assertFalse(follower.store.has(KIND, "z1"))
        watcher.store.delete(KIND, "z1")
        eventually(
            lambda: not evacuations_of(follower).is_evacuated("z1"), "the follower readmits it"
        )

    def test_follower_leaves_the_store_to_a_watcher_without_changes(self) -> None:
        """Guards against followers that read the store because nothing changes at their watcher."""
        # Several responses come at each age of what the watcher shows.
        self.enterContext(mock.patch.object(evacuation_sync, "EVACUATION_PEER_WAIT_S", 0.5))
        follower, watcher = start_follower_and_watcher(self, bounds=EVACUATES)
        watcher.store.put(KIND, "z2", {})
        eventually(lambda: evacuations_of(follower).is_evacuated("z2"), "it asks the watcher")

        def count(world: World) -> int:
            return sum(f"/objects/{KIND}" in path for _, path in world.store.calls)

        before, watched = count(follower), count(watcher)
        eventually(lambda: count(watcher) >= watched + 3, "the watcher's watches end")
        self.assertEqual(count(follower), before)

    def test_router_without_the_store_starts_with_the_evacuations_of_a_peer(self) -> None:
        """Guards against a router that starts in an outage and sends to an evacuated domain."""
        running = World(bounds=EVACUATES, instance_id="g1")
        starting = World(bounds=EVACUATES, instance_id="g2")
        for world in (running, starting):
            self.addCleanup(world.stop)
        running.start()
        running.store.put(KIND, "z1", {})
        eventually(lambda: evacuations_of(running).is_evacuated("z1"), "the peer knows")
        starting.join(running)
        for kind in ("config", "config/main", "servers", KIND):
            starting.store.status_by_path[f"/objects/{kind}"] = 503
        starting.gateway.start()
        eventually(starting.gateway.state.is_ready, "the router is ready")
        self.assertTrue(evacuations_of(starting).is_evacuated("z1"))

    def test_router_whose_store_falls_silent_learns_from_a_peer(self) -> None:
        """Guards against a router that waits for a store that does not respond any more."""
        reaching, cut = (World(bounds=EVACUATES, instance_id=name) for name in ("g1", "g2"))
        for world in (reaching, cut):
            self.addCleanup(world.stop)
        reaching.start()
        # The stores count by themselves; the revisions of the other one must be higher.
        for _ in range(20):
            reaching.store.put("other", "o", {})
        cut.join(reaching)
        cut.start()
        eventually(lambda: len(cut.gateway.gossip.members()) == 2, "the routers know each other")
        cut.store.is_unresponsive = True
        reaching.store.put(KIND, "z1", {})
        eventually(lambda: evacuations_of(cut).is_evacuated("z1"), "the peer tells it")
        self.assertFalse(cut.store.has(KIND, "z1"))
