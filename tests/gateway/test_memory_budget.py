"""Tests of `gateway.memory_budget`, and of gateways whose memory is short."""

from __future__ import annotations

import random
import socket
import threading
import time
import tracemalloc
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from sequoiadrum.gateway.buffered_body import BLOCK_BYTES, BodyBuffer
from sequoiadrum.gateway.memory_budget import (
    MAX_OUTPUT_BUFFER_BYTES,
    MIN_OUTPUT_BUFFER_BYTES,
    MIN_WAIT_S,
    RESERVED_BYTES,
    SMALL_BYTES,
    Growth,
    ResponseMemory,
    budget_of,
)
from tests.gateway.scripted_endpoint import Connection, Received, ScriptedEndpoint, answer
from tests.gateway.world import WAIT_S, World, config_document, eventually, route_document

READ_BYTES = 65_536


class BudgetTest(unittest.TestCase):
    """The memory of a process is divided without a remainder that nobody bounds."""

    @given(memory_mb=st.integers(64, 4_000), connections=st.integers(1, 2_000))
    def test_parts_fit_beside_the_reserve(self, memory_mb: int, connections: int) -> None:
        """Guards against parts that are bounded one by one and exceed the memory together."""
        budget = budget_of(memory_mb)
        total = budget.request_bytes + budget.output_bytes + budget.response_bytes
        memory = memory_mb * 1_000_000
        self.assertLessEqual(total, max(memory - RESERVED_BYTES, memory // 4))
        buffered = budget.output_buffer_bytes(connections)
        self.assertLessEqual(buffered, MAX_OUTPUT_BUFFER_BYTES)
        if buffered > MIN_OUTPUT_BUFFER_BYTES:
            self.assertLessEqual(buffered * connections, budget.output_bytes)


class BodyBufferTest(unittest.TestCase):
    """A collected body takes about the memory of its bytes."""

    @given(sizes=st.lists(st.integers(0, 200_000), max_size=30))
    def test_blocks_are_filled_up(self, sizes: list[int]) -> None:
        """Guards against bodies that change when they are collected, or leave blocks half empty."""
        body, expected = BodyBuffer(), b""
        for number, size in enumerate(sizes):
            data = bytes([number]) * size
            body.append(data)
            expected += data
        blocks = list(body.blocks())
        self.assertEqual(b"".join(blocks), expected)
        self.assertEqual(len(body), len(expected))
        self.assertTrue(all(len(block) == BLOCK_BYTES for block in blocks[:-1]))
        body.clear()
        self.assertEqual((len(body), list(body.blocks())), (0, []))

    def test_small_reads_take_no_more_memory_than_their_bytes(self) -> None:
        """Guards against a body in pieces of few bytes that takes many times its size."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = BodyBuffer()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(300_000):
            body.append(bytes([number % 256, 1]))
        after, _ = tracemalloc.get_traced_memory()
        self.assertLess(after - before, 1.25 * len(body))


class ResponseMemoryTest(unittest.TestCase):
    """All responses together stay within their memory, and small ones always go on."""

    @given(
        seed=st.integers(0, 10_000),
        count=st.integers(1, 192),
        limit=st.integers(8_000_000, 64_000_000),
    )
    def test_endless_responses_stay_within_the_limit(
        self, seed: int, count: int, limit: int
    ) -> None:
        """Guards against many responses without end that exceed the memory together."""
        rng = random.Random(seed)
        memory = ResponseMemory(limit)
        holdings = [memory.open() for _ in range(count)]
        ended, now = 0, 100.0
        # Each read may exceed a share by its own size, and small responses always go on.
        most = max(limit, limit // 2 + count * SMALL_BYTES) + count * READ_BYTES
        for _ in range(400):
            now += 0.01
            holding = rng.choice(holdings)
            growth = holding.growth(now)
            if growth is Growth.CONTINUE:
                holding.resize(holding.size + rng.randint(1, READ_BYTES))
            elif growth is Growth.END:
                holding.release()
                ended += 1
                holdings[holdings.index(holding)] = memory.open()
            self.assertLessEqual(memory.used(), most)
            self.assertEqual(memory.used(), sum(each.size for each in holdings))

    def test_largest_response_without_progress_ends_first(self) -> None:
        """Guards against a healthy response that is ended in favour of one without end."""
        memory = ResponseMemory(2_000_000)
        endless, nearly_whole = memory.open(), memory.open()
        endless.begin(None)
        nearly_whole.begin(660_000)
        nearly_whole.resize(650_000)
        endless.resize(600_000)
        for holding in (endless, nearly_whole):
            self.assertIs(holding.growth(100.0), Growth.WAIT)
        late = 100.0 + 2 * MIN_WAIT_S
        self.assertIs(nearly_whole.growth(late), Growth.WAIT)
        self.assertIs(endless.growth(late), Growth.END)
        endless.release()
        self.assertIs(nearly_whole.growth(late), Growth.CONTINUE)

    def test_small_response_goes_on_while_memory_is_short(self) -> None:
        """Guards against healthy exchanges that stop because others fill the memory."""
        memory = ResponseMemory(2_000_000)
        endless, small = memory.open(), memory.open()
        endless.resize(3_000_000)
        small.resize(SMALL_BYTES - 1)
        self.assertIs(small.growth(100.0), Growth.CONTINUE)
        self.assertIs(endless.growth(100.0), Growth.WAIT)

    def test_released_memory_is_free(self) -> None:
        """Guards against memory that shrinks with each response until nothing is served."""
        memory = ResponseMemory(2_000_000)
        holding = memory.open()
        holding.resize(1_500_000)
        holding.release()
        holding.release()
        holding.resize(10)
        self.assertEqual(memory.used(), 0)


def send_without_end(connection: Connection, request: Received) -> None:
    """Script that sends a body without a length until the gateway closes the connection."""
    head = answer(request, b"").replace(b"Content-Length: 0\r\n", b"")
    connection.send(head)
    for _ in range(100_000):
        connection.send(b"x" * 20_000)
        time.sleep(0.005)


class ShortMemoryTest(unittest.TestCase):
    """A gateway whose endpoints send more than it can hold."""

    def setUp(self) -> None:
        self.world = World(memory_mb=64)
        self.addCleanup(self.world.stop)
        routes = [
            route_document("non_idempotent", "shop", "/order/", max_attempts=1),
            route_document("non_idempotent", "other", "/endless/", max_attempts=1),
        ]
        services: Any = [
            {"name": name, "health_path": "/health", "max_conns": 100} for name in ("shop", "other")
        ]
        self.world.start(config_document(routes=routes, services=services))

    def held(self) -> float:
        return self.world.gateway.metrics.snapshot()["sequoiadrum_response_bytes_held"]

    def test_large_response_is_whole_and_released(self) -> None:
        """Guards against a collected response that is cut into pieces and loses some."""
        body = random.Random(1).randbytes(3_000_001)
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.send(answer(r, body))))
        for number in range(3):
            status, headers, received = self.world.call("/order/x", f"q{number}")
            self.assertEqual((status, headers["content-length"]), (200, str(len(body))))
            self.assertEqual(received, body)
        eventually(lambda: self.held() == 0, "the memory is released")

    def test_caller_that_leaves_releases_the_memory(self) -> None:
        """Guards against memory that stays taken by responses whose callers have left."""
        body = b"x" * 3_000_000
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.send(answer(r, body))))
        connection = self.world.connect()
        connection.request("POST", "/order/x", b"a", self.world.headers("q1"))
        connection.getresponse().read(10)
        connection.sock.close()
        connection.close()
        eventually(lambda: self.held() == 0, "the memory is released")

    def test_callers_that_do_not_read_hold_little(self) -> None:
        """Guards against whole responses that are buffered for each caller that does not read."""
        body = b"x" * 3_000_000
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.send(answer(r, body))))
        for number in range(8):
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect(("127.0.0.1", self.world.ports[0]))
            headers = {**self.world.headers(f"q{number}"), "Content-Length": "0"}
            lines = [f"{name}: {value}" for name, value in headers.items()]
            caller.sendall("\r\n".join(["POST /order/x HTTP/1.1", *lines, "", ""]).encode())
        channels = self.world.gateway.servers._caller_servers[0].active_channels
        eventually(lambda: any(c.total_outbufs_len for c in channels.values()), "output waits")
        eventually(lambda: self.held() >= len(body), "a response waits for its caller")
        time.sleep(0.5)  # Lets further output arrive, if there is no bound.
        most = MAX_OUTPUT_BUFFER_BYTES + BLOCK_BYTES
        self.assertLessEqual(max(c.total_outbufs_len for c in channels.values()), most)
        self.assertLessEqual(self.held(), budget_of(64).response_bytes + 8 * READ_BYTES)

    def test_healthy_exchanges_go_on_beside_responses_without_end(self) -> None:
        """Guards against a process that is killed because all responses together have no bound."""
        self.world.add("e1", ScriptedEndpoint(lambda c, r: c.send(answer(r, b"y" * 1_000))))
        self.world.add("f1", ScriptedEndpoint(send_without_end), "other")
        statuses: list[tuple[int, bytes]] = []

        def call_endless(number: int) -> None:
            status, _, body = self.world.call(f"/endless/{number}", f"f{number}")
            statuses.append((status, body))

        callers = [threading.Thread(target=call_endless, args=(n,)) for n in range(6)]
        for caller in callers:
            caller.start()
        eventually(lambda: self.held() > 3_000_000, "memory is short")
        most = 0.0
        for number in range(30):
            status, _, body = self.world.call("/order/x", f"q{number}")
            self.assertEqual((status, body), (200, b"y" * 1_000))
            most = max(most, self.held())
        for caller in callers:
            caller.join(WAIT_S)
        limit = budget_of(64).response_bytes
        self.assertLessEqual(most, limit + 6 * READ_BYTES)
        self.assertIn((502, b"memory_short: answer cut off: memory is short\n"), statuses)
        self.assertLessEqual({status for status, _ in statuses}, {502, 504})
        eventually(lambda: self.held() == 0, "the memory is released")
