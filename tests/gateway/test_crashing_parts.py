"""Tests of prompt parts that crash the engines that respond to them."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import math
import socket
import threading
import time
import unittest
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum._rumors import BroadcastQueue
from sequoiadrum.gateway.crash_rumors import part_key
from sequoiadrum.gateway.crash_watch import CHECK_INTERVAL_S
from sequoiadrum.gateway.crashing_parts import (
    COMPLETED_PART_CRASH_LIMIT,
    CRASH_LIMIT,
    MAX_COMPLETED_PARTS,
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    MIN_SEPARATION_S,
    NEVER,
    RECORD_TTL_S,
    CrashingParts,
    SuspectRun,
    Suspicion,
)
from sequoiadrum.gateway.exchange import BREAK_SETTLE_S
from tests.gateway.builders import an_entry
from tests.gateway.scripted_endpoint import (
    Connection,
    Received,
    ScriptedEndpoint,
    answer,
    chunk,
    event,
    stream,
    stream_head,
)
from tests.gateway.test_unframed_responses import unframed_head
from tests.gateway.world import World, eventually

if TYPE_CHECKING:
    from collections.abc import Callable

SYSTEM, CHAT, DEADLY = "5e", "c4", "dead"
"""A part that all requests share, one of a chat, and one that crashes engines."""


class CrashingPartsTest(unittest.TestCase):
    """One part is convicted of the crashes, whatever else the broken requests share."""

    def setUp(self) -> None:
        self.records = CrashingParts()

    def _crash(self, number: int, *runs: tuple[str, ...], at: float | None = None) -> None:
        crashed_at = 100.0 + number if at is None else at
        for parts in runs:
            self.records.record_crash(
                SuspectRun(f"e{number}", crashed_at - 5.0, crashed_at, parts), crashed_at
            )

    def _convicted(self, now: float = 200.0) -> set[str]:
        return {p for p in (SYSTEM, CHAT, DEADLY, "x") if self.records.convicted_part([p], now)}

    def test_part_is_refused_although_no_two_requests_are_alike(self) -> None:
        """Guards against engines that crash one after the other on different requests."""
        for number in range(CRASH_LIMIT):
            self._crash(number, (SYSTEM, CHAT, DEADLY))
            self.records.record_completion([SYSTEM, CHAT], 100.5 + number)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_parts_beside_it_are_not_refused(self) -> None:
        """Guards against refusing all chats that share a system prompt with a crashing request."""
        for number in range(2 * CRASH_LIMIT):
            self._crash(number, (SYSTEM, CHAT, DEADLY), (SYSTEM, "x"))
        self.assertEqual(self._convicted(), {DEADLY})

    def test_two_crashing_parts_are_both_refused(self) -> None:
        """Guards against a second crashing part that the first one hides."""
        for number in range(2 * CRASH_LIMIT):
            self._crash(number, (SYSTEM, DEADLY) if number % 2 else (SYSTEM, "x"))
            self.records.record_completion([SYSTEM], 100.5 + number)
        self.assertEqual(self._convicted(), {DEADLY, "x"})

    def test_sound_part_in_many_crashes_is_served(self) -> None:
        """Guards against refusing a popular part because engines crash for other reasons."""
        for number in range(10):
            self._crash(number, (SYSTEM, f"chat{number}"))
            self.records.record_completion([SYSTEM], 100.5 + number)
        self.assertEqual(self._convicted(), set())

    def test_common_loss_of_power_convicts_nothing(self) -> None:
        """Guards against refusing what ran everywhere when all engines went down together."""
        for number in range(20):
            self._crash(number, (SYSTEM, CHAT), at=100.0 + number * MIN_SEPARATION_S / 50)
        self.assertEqual(self._convicted(), set())

    def test_request_that_was_sent_again_proves_separate_crashes(self) -> None:
        """Guards against engines that crash within milliseconds and are counted as one."""
        for number in range(CRASH_LIMIT):
            at = 100.0 + number * MIN_SEPARATION_S / 50
            run = SuspectRun(f"e{number}", at - MIN_SEPARATION_S / 100, at, (SYSTEM, DEADLY))
            self.records.record_crash(run, at)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_request_that_was_sent_again_at_once_proves_separate_crashes(self) -> None:
        """Guards against crashes that count once since a clock shows one time for crash and repeat.

        The router that sent the request again would not refuse the part when the others do.
        """
        sent_at = 100.0
        for number in range(CRASH_LIMIT):
            at = sent_at + MIN_SEPARATION_S / 50
            self.records.record_crash(SuspectRun(f"e{number}", sent_at, at, (SYSTEM, DEADLY)), at)
            sent_at = at
        self.assertIn(DEADLY, self._convicted())

    def test_part_whose_requests_are_alike_in_age_is_chosen_among_equals(self) -> None:
        """Guards against a healthy new chat that is refused in place of the part beside it."""
        for number, chat_age_s in enumerate((0.1, 0.6, 1.0)):
            at = 100.0 + number
            for parts, age_s in (((SYSTEM, DEADLY), 0.1), (("x", "y", CHAT), chat_age_s)):
                self.records.record_crash(SuspectRun(f"e{number}", at - age_s, at, parts), at)
        self.records.record_completion([SYSTEM, "x", "y"], 150.0)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_one_crash_that_many_routers_report_counts_once(self) -> None:
        """Guards against a conviction by one crash, also if clocks of routers differ."""
        for number in range(10):
            run = SuspectRun("e1", 90.0, 100.0 + number, (SYSTEM, DEADLY))
            self.records.record_crash(run, 120.0)
        self.assertEqual(self._convicted(), set())

    def test_conviction_ends(self) -> None:
        """Guards against a part that is refused for ever after its engines were mended."""
        for number in range(CRASH_LIMIT):
            self._crash(number, (SYSTEM, DEADLY))
        self.assertEqual(self._convicted(), {DEADLY})
        self.assertEqual(self._convicted(100.0 + RECORD_TTL_S), set())

    def test_complete_response_acquits(self) -> None:
        """Guards against a sound part that stays refused although engines respond for it."""
        for number in range(CRASH_LIMIT):
            self._crash(number, (DEADLY,))
        self.assertEqual(self._convicted(), {DEADLY})
        self.assertEqual(self.records.record_completion([DEADLY], 150.0), [DEADLY])
        self.assertEqual(self._convicted(), set())

    def test_completion_does_not_speak_against_later_crashes(self) -> None:
        """Guards against a part that crashes engines for ever because it was sound before."""
        self.records.record_completion([SYSTEM, DEADLY], 99.0)
        for number in range(COMPLETED_PART_CRASH_LIMIT):
            self._crash(number, (SYSTEM, DEADLY))
            self.records.record_completion([SYSTEM], 100.5 + number)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_response_that_had_begun_before_does_not_acquit(self) -> None:
        """Guards against clearing a part by requests from before it began to crash engines."""
        for number in range(COMPLETED_PART_CRASH_LIMIT):
            self._crash(number, (SYSTEM, DEADLY))
            self.records.record_completion([SYSTEM], 100.5 + number)
            self.records.record_completion([DEADLY], 90.0 + number)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_crashes_in_a_row_count_for_all_suspects(self) -> None:
        """Guards against convicting a popular part because requests with it came in between."""
        for number in range(CRASH_LIMIT):
            at = 100.0 + number * MIN_SEPARATION_S / 4
            for sent_s_ago, parts in ((5.0, (DEADLY, SYSTEM)), (0.01, (SYSTEM, f"chat{number}"))):
                run = SuspectRun(f"e{number}", at - sent_s_ago, at, parts)
                self.records.record_crash(run, at)
        self.records.record_completion([SYSTEM], 99.0)
        self.assertEqual(self._convicted(), {DEADLY})

    def test_popular_part_is_not_refused_for_crashes_in_quick_succession(self) -> None:
        """Guards against refusing a part that others share, before any of its responses ends."""
        self.records.record_completion([SYSTEM], 99.0)
        for number in range(CRASH_LIMIT):
            self._crash(number, (DEADLY, SYSTEM), (SYSTEM, f"chat{number}"))
        self.assertEqual(self._convicted(), {DEADLY})

    def test_reported_completion_counts(self) -> None:
        """Guards against a router without requests for a part that convicts it of all crashes."""
        for number in range(10):
            suspicion = Suspicion(SYSTEM, 0, 99.0, completed_at=99.5 + number)
            self.records.record_suspicions(f"e{number}", 100.0 + number, [suspicion], 110.0)
        self.assertEqual(self._convicted(), set())

    def test_records_are_bounded(self) -> None:
        """Guards against memory that grows with crashes and with the prompts of callers."""
        for number in range(MAX_CRASHES + 10):
            self._crash(0, at=0.0)
            parts = tuple(map(str, range(MAX_PARTS_PER_CRASH + 10)))
            run = SuspectRun(f"e{number}", 90.0, 100.0, parts)
            self.records.record_crash(run, 100.0)
        for number in range(MAX_COMPLETED_PARTS + 10):
            self.records.record_completion([f"p{number}"], 100.0)
        crashes = self.records._crash_by_process
        self.assertEqual(len(crashes), MAX_CRASHES)
        self.assertEqual(
            {len(c.suspicion_by_part) for c in crashes.values()}, {MAX_PARTS_PER_CRASH}
        )
        self.assertEqual(len(self.records._completed_at_by_part), MAX_COMPLETED_PARTS)

    @settings(derandomize=True, deadline=None, suppress_health_check=())
    @given(st.integers(0, math.factorial(8) - 1))
    def test_reports_may_come_in_any_order(self, permutation: int) -> None:
        """Guards against routers that refuse different parts after the same reports."""
        rest = list(range(8))
        order = []
        while rest:
            permutation, index = divmod(permutation, len(rest))
            order.append(rest.pop(index))
        records = CrashingParts()
        for number in order:
            if number < 4:
                run = SuspectRun(f"e{number}", 90.0, 100.0 + number, (SYSTEM, CHAT, DEADLY))
                records.record_crash(run, 110.0)
                records.record_crash(run, 110.0)
            else:
                records.record_completion([SYSTEM, CHAT], 99.5 + number - 4)
        verdicts = [records.convicted_part([part], 110.0) for part in (SYSTEM, CHAT, DEADLY)]
        self.assertEqual(verdicts, [None, None, DEADLY])


class CrashingPartPathTest(unittest.TestCase):
    """Requests through a complete gateway to engines that crash on one part."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)
        self.numbers = itertools.count()
        self.crashed: list[ScriptedEndpoint] = []

    def _add_engine(self, name: str, events: int = 0) -> None:
        """Adds an engine that ends with all its connections after some events of a response."""
        connections: list[Connection] = []

        def respond(connection: Connection, request: Received) -> None:
            connections.append(connection)
            if f"{DEADLY}:" in request.headers["sequoiadrum-prefix-hash"]:
                self.crashed.append(engine)
                if events:
                    connection.send(stream_head(request))
                for number in range(1, events + 1):
                    connection.send(chunk(event(number)))
                engine.stop()
                for each in connections:
                    each.reset()
            else:
                stream(1, 3)(connection, request)

        engine = ScriptedEndpoint(respond)
        self.world.add(name, engine, "model")

    def _ask(self, *parts: str, path: str = "/draft/x") -> tuple[int, bytes]:
        number = next(self.numbers)
        prompt = ",".join(f"{part}:50" for part in (*parts, f"{number:x}"))
        headers = {"Sequoiadrum-Prefix-Hash": prompt}
        try:
            status, _, body = self.world.call(
                path, f"q{number}", f"body {number}".encode(), headers=headers
            )
        except http.client.HTTPException:
            return 0, b""
        return status, body

    def test_different_requests_with_one_part_do_not_crash_engine_after_engine(self) -> None:
        """Guards against counting crashes by whole requests, of which no two are alike."""
        for number in range(8):
            self._add_engine(f"e{number}")
        statuses = []
        for _ in range(10):
            statuses.append(self._ask(SYSTEM, CHAT, DEADLY)[0])
            self.assertEqual(self._ask(SYSTEM, CHAT)[0], 200)
        self.assertLessEqual(len(self.crashed), CRASH_LIMIT)
        self.assertEqual(statuses[-6:], [503] * 6)
        self.assertIn(b"crashing_part", self._ask(SYSTEM, CHAT, DEADLY)[1])

    def test_part_that_crashes_engines_after_events_is_refused(self) -> None:
        """Guards against taking the first events of a response for a sign of a sound part."""
        for number in range(8):
            self._add_engine(f"e{number}", events=1 + number % 3)
        statuses = []
        for _ in range(10):
            statuses.append(self._ask(SYSTEM, CHAT, DEADLY)[0])
            self.assertEqual(self._ask(SYSTEM, CHAT)[0], 200)
        self.assertLessEqual(len(self.crashed), CRASH_LIMIT)
        self.assertEqual(statuses[-6:], [503] * 6)

    def _add_ending_engine(
        self, name: str, end: Callable[[ScriptedEndpoint, list[Connection]], None]
    ) -> None:
        """Adds an engine that sends an event of a response on the part, and then ends in a way."""
        connections: list[Connection] = []

        def respond(connection: Connection, request: Received) -> None:
            connections.append(connection)
            if f"{DEADLY}:" in request.headers["sequoiadrum-prefix-hash"]:
                self.crashed.append(engine)
                connection.send(stream_head(request) + chunk(event(1)))
                end(engine, connections)
            else:
                stream(1, 3)(connection, request)

        engine = ScriptedEndpoint(respond)
        self.world.add(name, engine, "model")

    def _assert_part_is_found(
        self, end: Callable[[ScriptedEndpoint, list[Connection]], None]
    ) -> None:
        reports = self.world.gateway.crashes
        self._add_ending_engine("e0", end)
        for number in range(1, 2 * CRASH_LIMIT):
            # One engine is always left for the sound requests.
            self._add_ending_engine(f"e{number}", end)
            while len(self.crashed) < number and reports.crashing_part([DEADLY]) is None:
                self._ask(SYSTEM, CHAT, DEADLY, path="/tag/x")
            eventually(lambda: self._ask(SYSTEM, CHAT)[0] == 200, "a sound request is answered")
            time.sleep(2 * MIN_SEPARATION_S)
        eventually(lambda: reports.crashing_part([DEADLY]) is not None, "the part is refused")
        self.assertIsNone(reports.crashing_part([SYSTEM, CHAT]))

    def test_crash_is_counted_if_the_address_becomes_silent(self) -> None:
        """Guards against crashes that no closed port shows: the machine or its address is gone."""

        def end(engine: ScriptedEndpoint, connections: list[Connection]) -> None:
            engine.fall_silent()
            _end_all(connections)

        self._assert_part_is_found(end)

    def test_crash_is_counted_if_a_forwarder_accepts_for_the_engine(self) -> None:
        """Guards against crashes behind a port forwarder, which ends each connection it accepts."""

        def end(engine: ScriptedEndpoint, connections: list[Connection]) -> None:
            engine.close_new_connections = True
            _end_all(connections)

        self._assert_part_is_found(end)

    def test_crash_is_counted_if_the_listener_is_closed_late(self) -> None:
        """Guards against crashes of a process that takes long to end, as on a busy machine."""

        def end(engine: ScriptedEndpoint, connections: list[Connection]) -> None:
            _end_all(connections)
            time.sleep(6 * BREAK_SETTLE_S)
            engine.stop()

        self._assert_part_is_found(end)

    def test_crash_is_counted_if_another_process_holds_the_listener(self) -> None:
        """Guards against crashes that only the store shows: connections are still accepted."""

        def end(engine: ScriptedEndpoint, connections: list[Connection]) -> None:
            engine.ignore_new_connections = True
            _end_all(connections)
            self.world.remove(next(n for n, e in self.world.endpoints.items() if e is engine))

        self._assert_part_is_found(end)

    def test_endpoint_that_responds_again_has_not_crashed(self) -> None:
        """Guards against counting responses that a sound engine or its link cuts off as crashes."""

        def cut(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            if f"{DEADLY}:" in request.headers["sequoiadrum-prefix-hash"]:
                connection.sock.shutdown(socket.SHUT_RDWR)
            else:
                connection.send(chunk(b""))

        self.world.add("e1", ScriptedEndpoint(cut), "model")
        reports = self.world.gateway.crashes
        for _ in range(2 * COMPLETED_PART_CRASH_LIMIT):
            self._ask(SYSTEM, DEADLY)
            self.assertEqual(self._ask(SYSTEM)[0], 200)
        self.world.endpoints["e1"].stop()
        time.sleep(2 * CHECK_INTERVAL_S)
        self.assertEqual(reports._parts._crash_by_process, {})
        self.assertFalse(self.world.gateway._crash_watch._suspects.entries())

    def _begin_response(self, release: threading.Event) -> http.client.HTTPResponse:
        """Returns a response of which one event has come; the others follow the release."""

        def respond(connection: Connection, request: Received) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            release.wait(10)
            connection.send(chunk(event(2)) + chunk(b""))

        self.world.add("e9", ScriptedEndpoint(respond), "model")
        connection = self.world.connect()
        self.addCleanup(connection.close)
        headers = {**self.world.headers(), "Sequoiadrum-Prefix-Hash": f"{SYSTEM}:50,{CHAT}:9,1:5"}
        connection.request("POST", "/draft/x", b"", headers)
        response = connection.getresponse()
        self.assertEqual(response.read1(100), event(1))
        return response

    def test_only_a_complete_response_acquits_its_parts(self) -> None:
        """Guards against clearing a part that crashes its engine at the next event."""
        release = threading.Event()
        self.addCleanup(release.set)
        reports = self.world.gateway.crashes
        for number in range(CRASH_LIMIT):
            reports.record_part_crash(an_entry(f"x{number}"), [SYSTEM], 0.0)
            time.sleep(2 * MIN_SEPARATION_S)
            if number == 0:
                response = self._begin_response(release)
        self.assertEqual(reports.crashing_part([SYSTEM, CHAT]), SYSTEM)
        release.set()
        self.assertEqual(response.read(), event(2))
        eventually(lambda: reports.crashing_part([SYSTEM, CHAT]) is None, "the part is acquitted")

    def test_crash_that_looks_like_the_end_of_a_response_counts(self) -> None:
        """Guards against acquitting a part because responses without framing end with a crash."""
        engines: list[ScriptedEndpoint] = []

        def respond(connection: Connection, request: Received) -> None:
            connection.send(unframed_head(request) + event(1))
            if f"{DEADLY}:" in request.headers["sequoiadrum-prefix-hash"]:
                self.crashed.append(next(e for e in engines if request in e.received))
                self.crashed[-1].stop()
            connection.sock.shutdown(socket.SHUT_RDWR)
            connection.sock.close()

        for number in range(8):
            engines.append(ScriptedEndpoint(respond))
            self.world.add(f"e{number}", engines[-1], "model")
        for _ in range(10):
            self._ask(SYSTEM, CHAT, DEADLY)
            self.assertEqual(self._ask(SYSTEM, CHAT), (200, event(1)))
        self.assertEqual(len(self.crashed), CRASH_LIMIT)

    def test_failed_response_does_not_acquit(self) -> None:
        """Guards against clearing a part by a response that no engine wrote on its prompt."""

        def fail(connection: Connection, request: Received) -> None:
            connection.send(answer(request, status="500 Internal Server Error"))

        self.world.add("e9", ScriptedEndpoint(fail), "model")
        reports = self.world.gateway.crashes
        for number in range(CRASH_LIMIT):
            reports.record_part_crash(an_entry(f"x{number}"), [SYSTEM, CHAT], 0.0)
            time.sleep(2 * MIN_SEPARATION_S)
        self.assertEqual(reports.crashing_part([CHAT]), CHAT)
        headers = {"Sequoiadrum-Prefix-Hash": f"{SYSTEM}:50,1:5"}
        self.assertEqual(self.world.call("/tag/x", headers=headers)[0], 500)
        self.assertEqual(reports._parts.completed_at(part_key(SYSTEM)), NEVER)


def _end_all(connections: list[Connection]) -> None:
    for connection in connections:
        # The gateway may have closed the connection.
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RDWR)


class RestartedRouterTest(unittest.TestCase):
    """A router that starts learns of the crashes of the past minutes."""

    def test_router_that_starts_knows_the_crashing_parts(self) -> None:
        """Guards against engines that crash again on each router that was restarted."""
        first, second = World(instance_id="g1"), World(instance_id="g2")
        for world, other in ((first, second), (second, first)):
            self.addCleanup(world.stop)
            world.join(other)
        first.start()
        for number in range(900):
            first.gateway.gossip.broadcast("other", f"k{number}", 1, b"x" * 100, 60.0)
        for number in range(CRASH_LIMIT):
            entry = an_entry(f"e{number}", started_ms=number)
            first.gateway.crashes.record_part_crash(entry, [SYSTEM, DEADLY], 0.0)
        self.assertEqual(first.gateway.crashes.crashing_part([SYSTEM, DEADLY]), DEADLY)
        eventually(
            lambda: len(first.gateway.gossip.list_rumors()) == 900 + CRASH_LIMIT,
            "the rumors are stored",
        )
        # The broadcasts have ended: other routers have got them.
        first.gateway.gossip._core._broadcasts = BroadcastQueue()
        second.start()
        eventually(
            lambda: second.gateway.crashes.crashing_part([SYSTEM, DEADLY]) == DEADLY,
            "the router that started knows the part",
        )


class BrokenExchangeLogTest(unittest.TestCase):
    """The log line of a broken exchange names what a search for the cause needs."""

    def setUp(self) -> None:
        self.world = World().start()
        self.addCleanup(self.world.stop)

    def _broken(self) -> list[dict[str, Any]]:
        lines = self.world.output.getvalue().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == "exchange_broken"]

    def test_shared_parts_and_progress_are_logged(self) -> None:
        """Guards against broken exchanges that cannot be traced to a prompt part."""
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.reset()), "model")
        self.world.call("/tag/x", "q1", headers={"Sequoiadrum-Prefix-Hash": "aa:10,bb:20,cc:5"})
        eventually(self._broken, "the broken exchange is logged")
        self.assertEqual(self._broken()[0]["parts"], ["aa", "bb"])
        self.assertFalse(self._broken()[0]["had_event"])

    def test_a_response_that_had_begun_is_told_apart(self) -> None:
        """Guards against logs that do not show at which moment a response was broken off."""

        def break_off(connection: Any, request: Any) -> None:
            connection.send(stream_head(request) + chunk(event(1)))
            connection.sock.close()

        self.world.add("e1", ScriptedEndpoint(break_off), "model")
        with self.assertRaises(http.client.IncompleteRead):
            self.world.call("/tag/x", headers={"Sequoiadrum-Prefix-Hash": "aa:10,bb:20,cc:5"})
        eventually(self._broken, "the broken exchange is logged")
        self.assertTrue(self._broken()[0]["had_event"])


if __name__ == "__main__":
    unittest.main()
