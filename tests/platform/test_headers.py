"""Tests of `platform.headers`."""

from __future__ import annotations

import unittest
from typing import Any

from returns.result import Failure

from sequoiadrum.gateway.model import EngineLoad, PromptPart
from sequoiadrum.platform.headers import PlatformHeaderCodec


def an_environ(**changes: Any) -> dict[str, Any]:
    """Returns the WSGI environment of a request that generates tokens."""
    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a/b?x=1",
        "HTTP_HOST": "h.example",
        "HTTP_SEQUOIADRUM_REQUEST_ID": "q1",
        "HTTP_SEQUOIADRUM_DEADLINE_MS": "1500",
        "HTTP_SEQUOIADRUM_KEY": "k1",
        "HTTP_SEQUOIADRUM_PREFIX_HASH": "aa:800,bb:410",
        "HTTP_SEQUOIADRUM_TOKEN_USAGE": "1210,80",
        **changes,
    }


class DecodeCallTest(unittest.TestCase):
    """Decoding of callers' requests, and their encoding for an endpoint."""

    def setUp(self) -> None:
        self.codec = PlatformHeaderCodec()

    def test_fields(self) -> None:
        """Guards against a header that is decoded into the wrong field."""
        call = self.codec.decode_request(an_environ()).unwrap()
        self.assertEqual((call.path, call.target, call.deadline_s), ("/a/b", "/a/b?x=1", 1.5))
        self.assertEqual(call.prompt, (PromptPart("aa", 800), PromptPart("bb", 410)))
        self.assertEqual((call.prompt_tokens, call.output_tokens, call.key), (1210, 80, "k1"))

    def test_malformed_headers_are_reported(self) -> None:
        """Guards against an exception that ends the thread, and against requests without an id."""
        for changes in (
            {"HTTP_SEQUOIADRUM_PREFIX_HASH": "aa"},
            {"HTTP_SEQUOIADRUM_TOKEN_USAGE": "x,y"},
            {"HTTP_SEQUOIADRUM_DEADLINE_MS": "soon"},
            {"HTTP_SEQUOIADRUM_REQUEST_ID": ""},
            {"REQUEST_URI": "http://other.example/"},
        ):
            with self.subTest(changes):
                self.assertIsInstance(self.codec.decode_request(an_environ(**changes)), Failure)

    def test_only_end_to_end_headers_pass(self) -> None:
        """Guards against forwarding a caller's hop-by-hop headers, keys or gateway headers."""
        environ = an_environ(
            HTTP_CONNECTION="keep-alive, X-Hop",
            HTTP_X_HOP="1",
            HTTP_X_END="2",
            HTTP_SEQUOIADRUM_TENANT="evil",
            HTTP_SEQUOIADRUM_HOLD="evil",
            HTTP_SEQUOIADRUM_TARGET_INSTANCE="evil",
            HTTP_KV_FROM="evil",
        )
        call = self.codec.decode_request(environ).unwrap()
        names = {name for name, _ in call.headers}
        self.assertIn("X-End", names)
        self.assertIn("Sequoiadrum-Prefix-Hash", names)
        self.assertNotIn("X-Hop", names)
        self.assertFalse([value for _, value in call.headers if value in ("evil", "k1")])

    def test_deadline_is_what_is_left(self) -> None:
        """Guards against an endpoint that receives the caller's full deadline again."""
        call = self.codec.decode_request(an_environ()).unwrap()
        headers = dict(self.codec.encode_request(call, "e1", "acme", 2, 0.7004, "17", None))
        self.assertEqual(headers["Sequoiadrum-Deadline-Ms"], "700")
        self.assertEqual(headers["Sequoiadrum-Tenant"], "acme")
        self.assertEqual(headers["Last-Event-Id"], "17")
        self.assertEqual(headers["Sequoiadrum-Request-Priority"], "2")


class DecodeResponseTest(unittest.TestCase):
    """Decoding of endpoints' responses."""

    def test_fields(self) -> None:
        """Guards against ignoring a rejection, a reported load or an idle timeout."""
        head = PlatformHeaderCodec().decode_response(
            503,
            "Service Unavailable",
            [
                ("Sequoiadrum-Not-Executed", "1"),
                ("Sequoiadrum-Server-Load", "3,1,8"),
                ("Keep-Alive", "timeout=5, max=9"),
                ("Content-Length", "3"),
                ("X-Own", "1"),
            ],
        )
        self.assertTrue(head.is_not_executed)
        self.assertFalse(head.is_sealed)
        self.assertEqual(head.load, EngineLoad(3, 1, 8))
        self.assertEqual(head.idle_timeout_s, 5.0)
        self.assertIn(("X-Own", "1"), head.headers)
        self.assertNotIn("content-length", {name.lower() for name, _ in head.headers})

    def test_misdirected_was_not_executed(self) -> None:
        """Guards against refusing to retry a request that no endpoint has run."""
        self.assertTrue(PlatformHeaderCodec().decode_response(421, "", []).is_not_executed)

    def test_named_rate_is_decoded(self) -> None:
        """Guards against overlooking the rate that an endpoint takes, or a rate of zero."""
        codec = PlatformHeaderCodec()
        for text, rate in (("5.75", 5.75), ("0", 0.0), ("40", 40.0)):
            head = codec.decode_response(200, "OK", [("Server-Limit", text)])
            self.assertEqual(head.rate_limit, rate)
            self.assertIn(("Server-Limit", text), head.headers)
        for text in ("", "many", "nan", "inf", "-1"):
            head = codec.decode_response(200, "OK", [("Server-Limit", text)])
            self.assertIsNone(head.rate_limit)

    def test_load_with_a_fourth_figure_keeps_its_counts(self) -> None:
        """Guards against a load that is dropped because it also says how long work takes."""
        codec = PlatformHeaderCodec()
        for text, load in (
            ("3,1,8,250", EngineLoad(3, 1, 8, 2.5)),
            ("3,1,8,100", EngineLoad(3, 1, 8, 1.0)),
            ("3,1,8", EngineLoad(3, 1, 8)),
            ("3,1,8,0", None),
            ("3,1,8,nan", None),
            ("3,1,8,100,7", None),
            ("3,1", None),
        ):
            head = codec.decode_response(200, "OK", [("Sequoiadrum-Server-Load", text)])
            self.assertEqual(head.load, load, text)

    def test_time_that_an_endpoint_stays_cold_is_decoded(self) -> None:
        """Guards against a cold endpoint that is taken for a warm one, or for cold without end."""
        codec = PlatformHeaderCodec()
        for text, cold_left_s in (("1500", 1.5), ("0", 0.0), ("soon", None), ("1e12", 3600.0)):
            head = codec.decode_response(200, "OK", [("Sequoiadrum-Cold-Ms", text)])
            self.assertEqual(head.cold_left_s, cold_left_s, text)
        self.assertIsNone(codec.decode_response(200, "OK", []).cold_left_s)

    def test_garbage_is_left_out(self) -> None:
        """Guards against an exception on a malformed load or idle timeout."""
        head = PlatformHeaderCodec().decode_response(
            200, "OK", [("Sequoiadrum-Server-Load", "x"), ("Keep-Alive", "timeout=soon")]
        )
        self.assertIsNone(head.load)
        self.assertIsNone(head.idle_timeout_s)

    def test_notices_to_routers_are_decoded_and_not_forwarded(self) -> None:
        """Guards against overlooking them, and against callers who take them for their own."""
        pairs = [("server-leaving", "1"), ("RETRY-AFTER", " 2.5 "), ("X-Own", "1")]
        head = PlatformHeaderCodec().decode_response(503, "Busy", pairs)
        self.assertEqual((head.is_leaving, head.retry_after_s), (True, 2.5))
        self.assertEqual((head.headers, head.unusable), ((("X-Own", "1"),), ()))
        # Beside another status it says nothing about the endpoint.
        self.assertIsNone(PlatformHeaderCodec().decode_response(500, "", pairs).retry_after_s)

    def test_notices_that_cannot_be_used_are_left_out(self) -> None:
        """Guards against an endpoint that is given up for a value without a meaning."""
        for text in ("", "-1", "soon", "nan", "inf", "1e3", "9" * 400, "٣", "0x10", "1,2", "1."):
            with self.subTest(text):
                head = PlatformHeaderCodec().decode_response(503, "", [("Retry-After", text)])
                self.assertEqual((head.retry_after_s, head.unusable), (None, ("retry_after_s",)))
        date = [("Retry-After", "Sat, 05 Dec 2026 12:00:00 GMT")]
        twice = [("Retry-After", "1"), ("retry-after", "2")]
        for pairs in (date, twice):
            head = PlatformHeaderCodec().decode_response(503, "", pairs)
            self.assertEqual((head.retry_after_s, head.unusable), (None, ("retry_after_s",)))
        for values in (["0"], [""], ["yes"], ["1" * 400], ["1", "1"], ["1", "0"]):
            with self.subTest(values):
                pairs = [("Server-Leaving", value) for value in values]
                head = PlatformHeaderCodec().decode_response(200, "", pairs)
                self.assertEqual((head.is_leaving, head.unusable), (False, ("is_leaving",)))
