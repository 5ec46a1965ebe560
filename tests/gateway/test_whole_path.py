"""Tests of requests through a complete gateway to endpoints that fail in various ways."""

from __future__ import annotations

import http.client
import json
import socket
import time
import unittest
from unittest import mock

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.caller_app import key_fingerprint
from sequoiadrum.gateway.load_board import endpoint_key
from sequoiadrum.gateway.rate_limits import NamedLimit
from sequoiadrum.gateway.sse_framing import EventSplitter
from sequoiadrum.messages import Address
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    ok,
    stream,
    stream_head,
)
from tests.gateway.world import World, config_document, eventually


class _WorldTest(unittest.TestCase):
    """Starts a gateway for each test."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)


class ForwardTest(_WorldTest):
    """Requests and responses are forwarded."""

    def test_request_and_answer_pass_unchanged(self) -> None:
        """Guards against a changed method, path, query, body or header, and a leaked API key."""
        endpoint = ScriptedEndpoint(
            lambda c, r: c.send(answer(r, b"\x00\xff", headers="X-Own: 1\r\n"))
        )
        self.world.add("e1", endpoint)
        status, headers, body = self.world.call(
            "/read/a%20b?x=%31", body=b"\x01\x02", headers={"X-Mine": "7", "Kv-From": "evil"}
        )
        self.assertEqual((status, body), (200, b"\x00\xff"))
        self.assertEqual(headers["x-own"], "1")
        self.assertEqual(headers["sequoiadrum-response-seal"], "s.1")
        received = endpoint.received[0]
        self.assertEqual(received.line, "POST /read/a%20b?x=%31 HTTP/1.1")
        self.assertEqual(received.body, b"\x01\x02")
        self.assertEqual(received.headers["x-mine"], "7")
        self.assertEqual(received.headers["sequoiadrum-tenant"], "acme")
        self.assertEqual(received.headers["sequoiadrum-target-instance"], "e1")
        self.assertNotIn("sequoiadrum-key", received.headers)
        self.assertNotIn("kv-from", received.headers)
        self.assertLessEqual(int(received.headers["sequoiadrum-deadline-ms"]), 3000)

    def test_account_header_of_the_caller_is_ignored(self) -> None:
        """Guards against a caller that claims another account than that of its key."""
        endpoint = ScriptedEndpoint(ok)
        self.world.add("e1", endpoint)
        self.world.call("/read/x", headers={"Sequoiadrum-Tenant": "other"})
        self.assertEqual(endpoint.received[0].headers["sequoiadrum-tenant"], "acme")

    def test_connections_are_kept(self) -> None:
        """Guards against opening a new connection to the endpoint for each request."""
        endpoint = ScriptedEndpoint(ok)
        self.world.add("e1", endpoint)
        for n in range(5):
            self.assertEqual(self.world.call("/read/x", f"q{n}")[0], 200)
        self.assertEqual(endpoint.connections, 1)

    def test_ambiguous_framing_reaches_nobody(self) -> None:
        """Guards against request smuggling with `Content-Length` and `Transfer-Encoding`."""
        endpoint = ScriptedEndpoint(ok)
        self.world.add("e1", endpoint)
        smuggled = b"POST /order/x HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.world.ports[0]), 5) as connection:
            connection.sendall(
                b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Sequoiadrum-Request-Id: q1\r\nSequoiadrum-Key: k1\r\n"
                b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled
            )
            connection.settimeout(5)
            self.assertIn(b" 400 ", connection.recv(65_536))
        self.assertEqual(endpoint.received, [])


class FailureTest(_WorldTest):
    """Endpoints fail; only requests that may be retried are retried."""

    def test_order_is_never_sent_twice(self) -> None:
        """Guards against a second run of an order whose response was lost."""
        first = ScriptedEndpoint(lambda c, r: c.reset())
        second = ScriptedEndpoint(lambda c, r: c.reset())
        self.world.add("e1", first)
        self.world.add("e2", second)
        status, _, _ = self.world.call("/order/x")
        self.assertEqual(status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    def test_read_is_repeated_elsewhere(self) -> None:
        """Guards against a failed read although another endpoint could respond."""
        bad = ScriptedEndpoint(lambda c, r: c.reset())
        good = ScriptedEndpoint(ok)
        self.world.add("e1", bad)
        self.world.add("e2", good)
        statuses = [self.world.call("/read/x", f"q{n}")[0] for n in range(6)]
        self.assertEqual(statuses, [200] * 6)

    def test_order_goes_to_another_endpoint_when_the_first_refuses_connections(self) -> None:
        """Guards against a failed order although no byte of it was sent."""
        stopped = ScriptedEndpoint(ok)
        stopped.stop()
        time.sleep(0.05)
        self.world.register("e0", stopped.address)
        self.world.add("e1", ScriptedEndpoint(ok))
        for n in range(4):
            self.assertEqual(self.world.call("/order/x", f"q{n}")[0], 200)

    def test_order_does_not_trust_a_connection_that_was_idle(self) -> None:
        """Guards against an order that is lost on an idle connection that the endpoint closed."""

        def reset_when_idle(connection: Connection, request: Received) -> None:
            connection.send(answer(request))
            connection.read()
            connection.reset()

        endpoint = ScriptedEndpoint(reset_when_idle)
        self.world.add("e1", endpoint)
        self.assertEqual(self.world.call("/order/x", "q1")[0], 200)
        time.sleep(1.2)
        self.assertEqual(self.world.call("/order/x", "q2")[0], 200)
        self.assertEqual(endpoint.connections, 2)

    def test_rejection_by_all_endpoints_has_a_retry_after(self) -> None:
        """Guards against a 502 for an order that the endpoints reported as not executed."""
        full = ScriptedEndpoint(
            lambda c, r: c.send(
                answer(r, b"", "503 Service Unavailable", "Sequoiadrum-Not-Executed: 1\r\n")
            )
        )
        self.world.add("e1", full)
        status, headers, _ = self.world.call("/order/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)

    def test_other_instance_at_the_address_is_detected(self) -> None:
        """Guards against further requests to an address that another service has taken over."""
        other = ScriptedEndpoint(
            lambda c, r: c.send(answer(r, b"", "421 Misdirected Request", is_sealed=False))
        )
        self.world.add("e1", other)
        good = ScriptedEndpoint(ok)
        self.world.add("e2", good)
        for n in range(6):
            self.assertEqual(self.world.call("/order/x", f"q{n}")[0], 200)
        self.assertLessEqual(len(other.received), 1)

    def test_cut_answer_is_not_passed_off_as_whole(self) -> None:
        """Guards against a caller that receives a truncated response as a success."""

        def truncate(connection: Connection, request: Received) -> None:
            connection.send(answer(request, b"0123456789")[:-4])
            connection.sock.close()

        self.world.add("e1", ScriptedEndpoint(truncate))
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_late_answer_to_another_request_is_skipped(self) -> None:
        """Guards against a caller that receives the response to another caller's request."""

        def late_then_own(connection: Connection, request: Received) -> None:
            connection.send(answer(request, b"old", request_id="someone-else"))
            connection.send(answer(request, b"own"))

        self.world.add("e1", ScriptedEndpoint(late_then_own))
        status, _, body = self.world.call("/order/x")
        self.assertEqual((status, body), (200, b"own"))

    def test_extra_answer_spoils_the_connection_only(self) -> None:
        """Guards against extra bytes that are read as the response to the next request."""

        def respond_twice(connection: Connection, request: Received) -> None:
            connection.send(answer(request, b"own") + answer(request, b"own"))

        endpoint = ScriptedEndpoint(respond_twice)
        self.world.add("e1", endpoint)
        for n in range(3):
            status, _, body = self.world.call("/order/x", f"q{n}")
            self.assertEqual((status, body), (200, b"own"))
        self.assertEqual(endpoint.connections, 3)

    def test_unsealed_success_is_not_delivered(self) -> None:
        """Guards against a successful response that no endpoint has signed."""
        self.world.add(
            "e1", ScriptedEndpoint(lambda c, r: c.send(answer(r, b"x", is_sealed=False)))
        )
        self.assertEqual(self.world.call("/order/x")[0], 502)

    def test_deadline_ends_the_wait(self) -> None:
        """Guards against a caller that gets no response when its deadline has passed."""
        self.world.add("e1", ScriptedEndpoint(lambda c, r: time.sleep(3)))
        started = time.monotonic()
        status, _, _ = self.world.call("/order/x", headers={"Sequoiadrum-Deadline-Ms": "400"})
        self.assertEqual(status, 504)
        self.assertLess(time.monotonic() - started, 2.5)

    def test_unexpected_error_fails_one_request_only(self) -> None:
        """Guards against an error that ends the process, leaks a placement or leaves no trace."""
        self.world.add("e1", ScriptedEndpoint(ok))
        gateway = self.world.gateway
        with mock.patch.object(gateway.connections, "send", side_effect=RuntimeError("broken")):
            self.assertEqual(self.world.call("/read/1", "q1")[0], 500)
        self.assertEqual(self.world.call("/read/1", "q2")[0], 200)
        self.assertEqual(gateway.pool.own_loads().in_flight_by_endpoint, {})
        self.assertEqual(gateway.metrics.value("unexpected_errors_total", type="RuntimeError"), 1)
        eventually(lambda: '"request":"q1"' in self.world.output.getvalue(), "the error is logged")
        self.assertIn("RuntimeError: broken", self.world.output.getvalue())

    def test_unexpected_error_while_a_unit_is_asked_for_leaks_no_placement(self) -> None:
        """Guards against a request that counts as in flight for ever at an endpoint with a rate."""
        self.world.add("e1", ScriptedEndpoint(ok))
        gateway, now = self.world.gateway, clock.now()
        (endpoint,) = gateway.pool._table.by_id.values()
        gateway.pool.rate_limits.record(endpoint_key(endpoint.id_hash), NamedLimit(100.0, now), now)
        with mock.patch.object(gateway._load_exchange, "acquire", side_effect=RuntimeError("x")):
            self.assertEqual(self.world.call("/read/1")[0], 500)
        self.assertEqual(gateway.pool.own_loads().in_flight_by_endpoint, {})

    def test_unexpected_error_in_a_stream_does_not_look_whole(self) -> None:
        """Guards against a stream that ends regularly after an error in the middle."""
        self.world.add("m1", ScriptedEndpoint(stream(1, 50, pause_s=0.02)), "model")
        with (
            mock.patch.object(EventSplitter, "feed", side_effect=[b"id: 1\n\n", KeyError("x")]),
            self.assertRaises((http.client.IncompleteRead, ConnectionError)),
        ):
            self.world.call("/tag/1")
        gateway = self.world.gateway
        eventually(lambda: not gateway.pool.own_loads().in_flight_by_endpoint, "it is released")
        self.assertEqual(gateway.metrics.value("unexpected_errors_total", type="KeyError"), 1)

    def test_refusals_say_what_decided_them(self) -> None:
        """Guards against refusals of routes and keys that an operator cannot explain."""
        self.world.call("/nowhere/1", "q1")
        self.world.call("/read/1", "q2", headers={"Sequoiadrum-Key": "secret-key"})
        output = self.world.output
        eventually(lambda: '"request":"q2"' in output.getvalue(), "the refusals are logged")
        self.assertIn('"path":"/nowhere/1"', output.getvalue())
        self.assertIn('"host":"shop.example"', output.getvalue())
        self.assertIn(f'"key_fingerprint":"{key_fingerprint("secret-key")}"', output.getvalue())
        self.assertNotIn("secret-key", output.getvalue())

    def test_no_endpoint_is_refused_at_once(self) -> None:
        """Guards against a request that waits for its deadline although no endpoint exists."""
        started = time.monotonic()
        status, headers, _ = self.world.call("/order/x")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertLess(time.monotonic() - started, 2.0)

    def test_request_that_crashes_endpoints_is_stopped(self) -> None:
        """Guards against one request that crashes endpoint after endpoint."""

        def crash(connection: Connection, request: Received) -> None:
            if request.body != b"poison":
                ok(connection, request)
                return
            next(e for e in endpoints if request in e.received).stop()
            connection.reset()

        endpoints = [ScriptedEndpoint(crash) for _ in range(8)]
        for n, endpoint in enumerate(endpoints):
            self.world.add(f"e{n}", endpoint)
        statuses = [self.world.call("/order/x", f"q{n}", b"poison")[0] for n in range(20)]
        self.assertEqual(statuses[3:], [503] * 17)
        self.assertEqual(sum(len(endpoint.received) for endpoint in endpoints), 3)
        self.assertEqual(self.world.call("/order/x", "other", b"healthy")[0], 200)

    def test_request_whose_answers_are_cut_is_not_refused(self) -> None:
        """Guards against refusing a sound request for ten minutes because links lose answers."""
        cuts = [True]

        def cut(connection: Connection, request: Received) -> None:
            if cuts[0]:
                connection.reset()
            else:
                ok(connection, request)

        for n in range(6):
            self.world.add(f"e{n}", ScriptedEndpoint(cut))
        statuses = {self.world.call("/order/x", f"q{n}", b"sound")[0] for n in range(12)}
        self.assertEqual(statuses, {502})
        cuts[0] = False
        self.assertEqual(self.world.call("/order/x", "later", b"sound")[0], 200)

    def test_request_whose_answers_are_garbled_is_not_refused(self) -> None:
        """Guards against refusing a sound request because endpoints send what is no answer."""
        garbles = [True]

        def garble(connection: Connection, request: Received) -> None:
            if garbles[0]:
                connection.send(b"\x16\x03\x01 no answer\r\n\r\n")
                connection.sock.close()
            else:
                ok(connection, request)

        for n in range(6):
            self.world.add(f"e{n}", ScriptedEndpoint(garble))
        statuses = {self.world.call("/order/x", f"q{n}", b"sound")[0] for n in range(12)}
        self.assertEqual(statuses, {502})
        garbles[0] = False
        self.assertEqual(self.world.call("/order/x", "later", b"sound")[0], 200)


class StreamTest(_WorldTest):
    """Streams are forwarded as they arrive and continued only if they are resumable."""

    def test_stream_passes_whole(self) -> None:
        """Guards against lost, duplicated or reordered events."""
        self.world.add("m1", ScriptedEndpoint(stream(1, 20)), "model")
        status, _, body = self.world.call("/draft/x")
        self.assertEqual((status, body), (200, b"".join(event(n) for n in range(1, 21))))

    def test_first_event_passes_before_the_last(self) -> None:
        """Guards against a stream that is buffered until it is complete."""
        self.world.add("m1", ScriptedEndpoint(stream(1, 5, pause_s=0.3)), "model")
        connection = self.world.connect()
        self.addCleanup(connection.close)
        connection.request("POST", "/tag/x", b"", self.world.headers())
        started = time.monotonic()
        response = connection.getresponse()
        self.assertEqual(response.read1(1000), event(1))
        self.assertLess(time.monotonic() - started, 1.2)
        self.assertEqual(response.read(), b"".join(event(n) for n in range(2, 6)))

    def test_broken_resumable_stream_continues_elsewhere(self) -> None:
        """Guards against a missing, duplicated or truncated event where a stream is continued."""

        def fail_midway(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request))
            connection.send(chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:7]))
            time.sleep(0.05)
            connection.sock.close()

        first = ScriptedEndpoint(fail_midway)
        self.world.add("m1", first, "model")
        second = ScriptedEndpoint(fail_midway)
        self.world.add("m2", second, "model")

        def second_script(connection: Connection, request: Received) -> None:
            script = stream(1, 6) if "last-event-id" in request.headers else fail_midway
            script(connection, request)

        first.script = second.script = second_script
        status, _, body = self.world.call("/draft/x")
        self.assertEqual((status, body), (200, b"".join(event(n) for n in range(1, 7))))
        received = first.received + second.received
        self.assertEqual(len(received), 2)
        self.assertEqual(
            [r.headers["last-event-id"] for r in received if "last-event-id" in r.headers], ["2"]
        )

    def test_broken_stream_does_not_look_whole(self) -> None:
        """Guards against a caller that accepts a part of a stream as the complete stream."""

        def fail_midway(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            time.sleep(0.05)
            connection.reset()

        self.world.add("m1", ScriptedEndpoint(fail_midway), "model")
        with self.assertRaises(Exception):  # noqa: B017 (http.client has several)
            self.world.call("/tag/x")
        self.assertEqual(len(self.world.endpoints["m1"].received), 1)

    def test_endpoint_is_told_when_the_client_leaves(self) -> None:
        """Guards against an engine that continues to generate after the caller has disconnected."""
        ended: list[bool] = []

        def endless(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            ended.append(connection.wait_for_end())

        self.world.add("m1", ScriptedEndpoint(endless), "model")
        connection = self.world.connect()
        connection.request("POST", "/tag/x", b"", self.world.headers())
        response = connection.getresponse()
        response.read1(1000)
        response.close()
        connection.close()
        eventually(lambda: ended, "the endpoint's connection has ended")
        self.assertEqual(ended, [True])


class StaleStateTest(_WorldTest):
    """The configuration or the endpoints that the gateway knows may be outdated."""

    def test_unknown_key_is_refused_only_after_a_look_at_the_store(self) -> None:
        """Guards against a 401 for a key that a newer configuration contains."""
        self.world.store.drops_watch_events = True
        time.sleep(1.2)  # Until then the version read at the start counts as confirmed.
        self.world.store.put(
            "config",
            "main",
            config_document(2, tenants=[{"name": "acme", "api_keys": ["k1", "k2"]}]),
        )
        status, _, _ = self.world.call("/read/x", headers={"Sequoiadrum-Key": "k2"})
        self.assertEqual(status, 503)  # The key is known now, but there is no endpoint.
        self.assertEqual(self.world.gateway.configuration.version(), 2)

    def test_flood_of_revoked_keys_costs_few_reads(self) -> None:
        """Guards against a read of the store for each request with a revoked key."""
        before = len([c for c in self.world.store.calls if c[1] == "/objects/config/main"])
        for n in range(60):
            status, _, _ = self.world.call("/read/x", f"q{n}", headers={"Sequoiadrum-Key": "k9"})
            self.assertEqual(status, 401)
        reads = len([c for c in self.world.store.calls if c[1] == "/objects/config/main"]) - before
        self.assertLess(reads, 20)

    def test_nothing_is_denied_while_the_store_is_away(self) -> None:
        """Guards against a 404 or 401 from a router whose configuration may be outdated."""
        self.world.store.status = 503
        time.sleep(1.2)  # Until then the version read at the start counts as confirmed.
        self.assertEqual(self.world.call("/nowhere/x")[0], 503)
        self.assertEqual(self.world.call("/read/x", headers={"Sequoiadrum-Key": "k9"})[0], 503)
        self.world.store.status = None
        eventually(lambda: self.world.call("/nowhere/x")[0] == 404, "the store is read again")

    def test_older_configuration_is_ignored(self) -> None:
        """Guards against a route or key that an old version restores."""
        self.world.store.put("config", "main", config_document(5))
        eventually(lambda: self.world.gateway.configuration.version() == 5, "version 5 in force")
        self.world.store.put("config", "main", config_document(4))
        time.sleep(0.2)
        self.assertEqual(self.world.gateway.configuration.version(), 5)

    def test_leaving_endpoint_gets_no_new_request(self) -> None:
        """Guards against new requests to a draining endpoint after the store lost its history."""
        leaving = ScriptedEndpoint(ok)
        self.world.add("e1", leaving)
        self.world.add("e2", ScriptedEndpoint(ok))
        self.world.store.drops_watch_events = True
        self.world.register("e1", leaving.address, state="draining")
        self.world.store.drops_watch_events = False
        self.world.store.forget_history()
        eventually(lambda: not self.world.gateway.pool.can_route_to("e1"), "e1 is known to drain")
        count = len(leaving.received)
        for n in range(5):
            self.assertEqual(self.world.call("/read/x", f"q{n}")[0], 200)
        self.assertEqual(len(leaving.received), count)

    def test_endpoints_that_register_one_after_another_cost_few_calls(self) -> None:
        """Guards against a call to the store by each router for each endpoint that starts."""
        before = self._watches_of_endpoints()
        for n in range(30):
            self.world.register(f"e{n}", Address("127.0.0.1", 9))
            time.sleep(0.02)
        eventually(
            lambda: self.world.gateway.pool.can_route_to("e29"), "the last endpoint is known"
        )
        self.assertLess(self._watches_of_endpoints() - before, 10)

    def _watches_of_endpoints(self) -> int:
        return sum("/servers?watch" in path for _, path in self.world.store.calls)

    def test_garbage_entries_name_no_endpoint(self) -> None:
        """Guards against an unreadable entry that makes the other entries unusable."""
        for n, spec in enumerate(
            [None, 7, {"service": "shop"}, {"service": 3, "address": "x", "slots": "a"}]
        ):
            self.world.store.put("servers", f"a{n}", spec)
        self.world.add("e1", ScriptedEndpoint(ok))
        self.assertEqual(self.world.call("/read/x")[0], 200)

    def test_entry_that_turns_unreadable_changes_nothing(self) -> None:
        """Guards against an endpoint that is removed because its entry became unreadable."""
        self.world.add("e1", ScriptedEndpoint(ok))
        self.world.store.put("servers", "e1", {"service": "shop", "state": 9})
        self.world.add("e2", ScriptedEndpoint(ok))
        self.assertTrue(self.world.gateway.pool.can_route_to("e1"))

    def test_control_addresses(self) -> None:
        """Guards against a directory that omits this router, and metrics that omit refusals."""
        self.world.call("/order/x")
        self.assertEqual(self.world.ask_control(1, "/ready")[0], 200)
        status, body = self.world.ask_control(2, "/resolve?name=h&region=r&zone=z1")
        self.assertEqual(status, 200)
        self.assertIn(f"127.0.0.1:{self.world.ports[0]}".encode(), body)
        status, body = self.world.ask_control(3, "/metrics")
        self.assertIn(b'refusals_total{reason="no_endpoint"}', body)


class StartTest(_WorldTest):
    """What the log says of a gateway that starts."""

    def test_settings_in_force_are_logged_as_fields(self) -> None:
        """Guards against settings that can be read by people only."""
        eventually(self.world.output.getvalue, "a line is written")
        started = json.loads(self.world.output.getvalue().splitlines()[0])
        self.assertEqual(started["event"], "started")
        self.assertEqual(started["settings"]["memory_mb"], self.world.settings.memory_mb)
        self.assertEqual(
            started["settings"]["bounds"]["stop_grace_s"], self.world.settings.bounds.stop_grace_s
        )


class StopTest(_WorldTest):
    """The gateway shuts down gracefully."""

    def test_request_in_work_is_finished(self) -> None:
        """Guards against an order that a graceful shutdown interrupts."""
        import threading

        self.world.add("e1", ScriptedEndpoint(lambda c, r: (time.sleep(0.6), c.send(answer(r)))[1]))
        results: list[int] = []
        caller = threading.Thread(target=lambda: results.append(self.world.call("/order/x")[0]))
        caller.start()
        eventually(lambda: self.world.endpoints["e1"].received, "the order has begun")
        stopper = threading.Thread(target=self.world.gateway.stop)
        stopper.start()
        eventually(lambda: not self.world.gateway.state.is_ready(), "not ready")
        self.assertEqual(self.world.ask_control(1, "/ready")[0], 503)
        status, headers, _ = self.world.call("/order/x", "q2")
        self.assertEqual(status, 200)
        self.assertEqual(headers["connection"], "close")
        caller.join()
        stopper.join()
        self.assertEqual(results, [200])
