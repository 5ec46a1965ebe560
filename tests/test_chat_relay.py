"""Tests that chat responses are complete when engines, routers or callers fail."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from sequoiadrum.chat_stream import ChatStream, event_content
from sequoiadrum.engine_client import EngineFailure
from sequoiadrum.errors import RefusalReason
from sequoiadrum.messages import Address, ChatRequest, StreamEvent
from sequoiadrum.standin_engine import token_text
from tests.builders import a_chat_body
from tests.relay_fakes import RelayRig, ScriptedStream


def a_request(name: str = "q1", wait_s: float = 20.0, seed: int | None = None) -> ChatRequest:
    """Builds a request for 30 tokens; with a seed it is replayable."""
    body = a_chat_body(max_tokens=30, **({} if seed is None else {"seed": seed, "temperature": 0}))
    return ChatRequest(
        name,
        "c1",
        "a1",
        "assistant",
        json.dumps(body).encode(),
        deadline=time.monotonic() + wait_s,
        replayable=seed is not None,
    )


def offsets(batches: Any) -> list[int]:
    """Reads all batches and returns the offsets of their events."""
    return [event.offset for batch in batches for event in batch]


def an_event(offset: int, last: bool = False) -> StreamEvent:
    """Builds one event of a stream."""
    choice = {"index": 0, "delta": {"content": "x"}, "finish_reason": "stop" if last else None}
    return StreamEvent(offset, json.dumps({"choices": [choice]}).encode())


class BrokenEngineTest(unittest.TestCase):
    """The connection to the engine fails, or the engine loses the stream."""

    def setUp(self) -> None:
        self.rig = self.enterContext(RelayRig())

    def start(self, request: ChatRequest, streaming: bool = True, **values: Any) -> ChatStream:
        return self.rig.relay.start(request, "assistant", streaming, **values).unwrap()

    def test_resumes_at_next_token(self) -> None:
        """Guards against lost or repeated tokens after a connection has failed."""
        self.rig.engines["e1"].state.faults["cut_after"] = 10
        chat = self.start(a_request())
        self.assertEqual(offsets(chat), list(range(30)))
        chat.close()
        self.assertIsNone(chat.failure)
        self.assertEqual(self.rig.admission.released, [("e1", "ok")])
        self.assertEqual(self.rig.metrics.value("retries_total", reason="resume_broken"), 1)

    def test_delivered_part_is_not_presented_as_whole(self) -> None:
        """Guards against a regular end after the engine lost a stream that is not replayable."""
        chat = self.start(a_request())
        batches = iter(chat)
        next(batches)
        self.rig.engines["e1"].state.crash()
        list(batches)
        chat.close()
        self.assertEqual(chat.failure and chat.failure.reason, RefusalReason.STREAM_LOST)
        self.assertEqual(self.rig.admission.released, [("e1", "failed")])

    def test_replayable_answer_restarts_behind_delivered_prefix(self) -> None:
        """Guards against sending the prefix twice, and a grant that is kept for the lost engine."""
        chat = self.start(a_request(seed=1))
        batches = iter(chat)
        events = list(next(batches))
        self.rig.engines["e1"].state.crash()
        events += [event for batch in batches for event in batch]
        chat.close()
        self.assertIsNone(chat.failure)
        self.assertEqual([e.offset for e in events], list(range(30)))
        seed = json.dumps(a_chat_body()["messages"])
        wanted = "".join(token_text(seed, n) for n in range(30))
        got = "".join(json.loads(e.data)["choices"][0]["delta"]["content"] for e in events)
        self.assertEqual(got, wanted)
        self.assertEqual(self.rig.admission.released, [("e1", "failed"), ("e2", "ok")])

    def test_different_replay_ends_with_error(self) -> None:
        """Guards against a response that is joined from two different outputs."""
        # Events that arrive between the first batch and the crash would be delivered rightly.
        self.rig.engines["e1"].state.faults["pause_after"] = 1
        chat = self.start(a_request(seed=1))
        batches = iter(chat)
        self.assertEqual(offsets([next(batches)]), [0])
        chat._digest.update(b"engine-specific output")
        self.rig.engines["e1"].state.crash()
        self.assertEqual(offsets(batches), [])
        chat.close()
        self.assertEqual(chat.failure and chat.failure.reason, RefusalReason.STREAM_LOST)

    def test_crashed_only_when_engine_accepts_no_connections(self) -> None:
        """Guards against counting a crash for a request when only its stream was lost."""
        chat = self.start(a_request())
        batches = iter(chat)
        next(batches)
        self.rig.engines["e1"].state.crash()
        self.rig.engines["e1"].stop()
        list(batches)
        chat.close()
        self.assertEqual(self.rig.admission.released, [("e1", "crashed")])

    def test_crash_counts_although_the_first_probe_broke(self) -> None:
        """Guards against missing a crash because the ending process still had a socket open.

        The request could then crash one engine more than the limit allows.
        """
        broken, gone = Failure(EngineFailure.BROKEN), Failure(EngineFailure.UNREACHABLE)
        really_open = self.rig.client.open
        opened = iter([broken])

        def open_(address: Address, request: Any) -> Any:
            return next(opened, None) or really_open(address, request)

        with (
            mock.patch.object(self.rig.client, "open", open_),
            mock.patch.object(self.rig.client, "resume", side_effect=[broken, broken, gone]),
        ):
            chat = self.start(a_request())
        chat.close()
        self.assertEqual(self.rig.admission.released[0], ("e1", "crashed"))

    def test_unreachable_at_open_is_no_crash(self) -> None:
        """Guards against counting a crash for a request that was not sent."""
        with socket.create_server(("127.0.0.1", 0)) as closed:
            self.rig.addresses["e1"] = Address("127.0.0.1", closed.getsockname()[1])
        chat = self.start(a_request())
        self.assertEqual(offsets(chat), list(range(30)))
        chat.close()
        self.assertEqual(self.rig.admission.released, [("e1", "refused"), ("e2", "ok")])

    def test_collected_answer_restarts_whole(self) -> None:
        """Guards against a non-streaming response that mixes the tokens of two engines."""
        chat = self.start(a_request(), streaming=False)
        threading.Timer(0.04, self.rig.engines["e1"].state.crash).start()
        events = chat.collect()
        chat.close()
        self.assertEqual([e.offset for e in events], list(range(30)))
        self.assertEqual(self.rig.admission.released, [("e1", "failed"), ("e2", "ok")])

    def test_busy_engine_is_passed_over_within_budget(self) -> None:
        """Guards against unbounded retries, and retries at the endpoint that has failed."""
        self.rig.engines["e1"].state.faults["refuse"] = True
        results = [self.rig.relay.start(a_request(f"b{n}"), "assistant") for n in range(12)]
        for result in results:
            if isinstance(result, Success):
                result.unwrap().close()
        refused = [r.failure().reason for r in results if isinstance(r, Failure)]
        self.assertEqual(set(refused), {RefusalReason.RETRY_BUDGET})
        spent = self.rig.metrics.value("retries_total", reason="open_busy")
        self.assertLessEqual(spent, 8)
        self.assertNotIn(("e1", "ok"), self.rig.admission.released)

    def test_hung_engine_is_replaced(self) -> None:
        """Guards against a request that waits until its deadline for an engine that hangs."""
        self.rig.engines["e1"].state.faults["hang"] = 60
        with mock.patch("sequoiadrum._engine_http._HEADERS_TIMEOUT_S", 0.3):
            chat = self.start(a_request())
        self.assertEqual(offsets(chat), list(range(30)))
        chat.close()
        self.assertEqual(self.rig.admission.released, [("e1", "failed"), ("e2", "ok")])

    def test_slow_kv_import_does_not_fail_the_request(self) -> None:
        """Guards against a request that waits for, or fails with, an optional cache import."""
        with socket.create_server(("127.0.0.1", 0)) as silent:
            self.rig.admission.kv_source = Address("127.0.0.1", silent.getsockname()[1])
            chat = self.start(a_request(wait_s=1.8))
            self.assertEqual(offsets(chat), list(range(30)))
            chat.close()
        value = self.rig.metrics.value("kv_imports_total", result="broken")
        self.assertEqual(value, 1)


class CallerTest(unittest.TestCase):
    """Deadlines, and callers that disconnect and reconnect."""

    def test_deadline_ends_the_stream(self) -> None:
        """Guards against a stream that continues after the deadline of its request."""
        rig = self.enterContext(RelayRig(token_ms=1_000.0))
        chat = rig.relay.start(a_request(wait_s=0.3), "assistant").unwrap()
        list(chat)
        chat.close()
        self.assertEqual(chat.failure and chat.failure.reason, RefusalReason.DEADLINE)

    def test_abandoned_stream_is_cancelled_after_grace(self) -> None:
        """Guards against a stream that runs without a reader, and a grant released too early."""
        rig = self.enterContext(RelayRig(token_ms=1_000.0))
        gone = threading.Event()
        chat = rig.relay.start(a_request(), "assistant", caller_gone=gone.is_set).unwrap()
        gone.set()
        list(chat)
        chat.close()
        self.assertEqual(rig.admission.released, [])
        self.wait_for(lambda: rig.admission.released == [("e1", "cancelled")])
        self.assertEqual(rig.engines["e1"].state.stats.get("cancelled"), 1)

    def test_caller_gets_the_rest_at_another_router(self) -> None:
        """Guards against cancelling the stream of a caller that attached at another router."""
        rig = self.enterContext(RelayRig(token_ms=20.0))
        chat = rig.relay.start(a_request(), "assistant").unwrap()
        first = next(iter(chat))
        chat.close()
        rest = rig.new_relay().attach(a_request(), "e1", first[-1].offset + 1).unwrap()
        got = [event.offset for event in first] + offsets(rest)
        rest.close()
        self.assertIsNone(rest.failure)
        self.assertEqual(got, list(range(30)))

    def wait_for(self, condition: Any) -> None:
        give_up_at = time.monotonic() + 10
        while not condition() and time.monotonic() < give_up_at:
            time.sleep(0.01)
        self.assertTrue(condition())


class OrderTest(unittest.TestCase):
    """Events of one connection that are repeated, out of order or missing."""

    def run_script(self, first: ScriptedStream, *resumed: ScriptedStream) -> ChatStream:
        rig = self.enterContext(RelayRig(engines=1))
        streams = list(resumed)
        rig.client.open = lambda *_: Success(first)  # type: ignore[method-assign]
        rig.client.resume = lambda *_: (  # type: ignore[method-assign]
            Success(streams.pop(0)) if streams else Failure(EngineFailure.LOST)
        )
        chat = rig.relay.start(a_request(), "assistant").unwrap()
        self.got = offsets(chat)
        chat.close()
        return chat

    def test_reorders_and_drops_repeats(self) -> None:
        """Guards against tokens that are out of order or repeated."""
        events = [an_event(n, last=n == 3) for n in range(4)]
        early = [events[0], events[2], events[1], events[1], events[3], events[0]]
        chat = self.run_script(ScriptedStream(early, []))
        self.assertIsNone(chat.failure)
        self.assertEqual(self.got, [0, 1, 2, 3])

    def test_gap_at_the_end_is_resumed(self) -> None:
        """Guards against a regular end of a response with a missing token."""
        last = an_event(2, last=True)
        resumed = ScriptedStream([an_event(1), last], [])
        chat = self.run_script(ScriptedStream([an_event(0)], [last], []), resumed)
        self.assertIsNone(chat.failure)
        self.assertEqual(self.got, [0, 1, 2])

    def test_end_without_finish_reason_is_an_error(self) -> None:
        """Guards against accepting an incomplete response that an engine ends with `[DONE]`."""
        chat = self.run_script(ScriptedStream([an_event(0)], []))
        self.assertEqual(chat.failure and chat.failure.reason, RefusalReason.STREAM_LOST)

    def test_event_text_ignores_ids(self) -> None:
        """Guards against replays that never match because each engine has its own ids."""
        one, two = ({"id": i, "choices": [{"index": 0, "delta": {"content": "x"}}]} for i in "ab")
        self.assertEqual(
            event_content(json.dumps(one).encode()), event_content(json.dumps(two).encode())
        )
