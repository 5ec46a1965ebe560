"""Tests of `platform.lenient_json`."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.platform.lenient_json import UNREADABLE, loads

_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)
_UNREADABLE_PARTS = st.sampled_from(
    [b"nan", b"9" * 5_000, b"[" * 20_000 + b"]" * 20_000, b"[{]}", b'"\x01"', b"{1:2}", b"", b"}{"]
)


class LenientJsonTest(unittest.TestCase):
    """Parts of a document that cannot be decoded do not affect the other parts."""

    def test_unreadable_part_costs_only_itself(self) -> None:
        """Guards against a part that takes its neighbours with it."""
        raw = b'{"a": [1, {"b": nan, "c": "]},:"}, "\\""], "d": {"e": ' + b"8" * 5_000 + b"}}"
        decoded = loads(raw)
        self.assertEqual(
            decoded, {"a": [1, {"b": UNREADABLE, "c": "]},:"}, '"'], "d": {"e": UNREADABLE}}
        )

    def test_empty_parts(self) -> None:
        """Guards against empty objects and lists that are taken for malformed ones."""
        self.assertEqual(loads(b'{"a": {}, "b": [ ], "c": nan}')["b"], [])
        self.assertEqual(loads(b"[nan]"), [UNREADABLE])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(_VALUES, min_size=1, max_size=4), _UNREADABLE_PARTS, st.integers(0, 3))
    def test_neighbours_of_an_unreadable_part(
        self, values: list[object], part: bytes, at: int
    ) -> None:
        """Guards against neighbours that are lost, altered or moved."""
        at = min(at, len(values))
        texts = [json.dumps(value).encode() for value in values]
        raw = b'{"items": [%s], "at": 3}' % b",".join([*texts[:at], part, *texts[at:]])
        try:
            decoded = loads(raw)
        except ValueError:
            # Brackets that do not match leave it open where the part ends.
            self.assertIn(part, (b"}{", b"[{]}"))
            return
        items = decoded["items"]
        if part != b"}{":
            self.assertEqual(items[:at] + items[at + 1 :], values)
            self.assertEqual(decoded["at"], 3)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60) | st.text('{}[],:"\\ a1', max_size=30).map(str.encode))
    def test_any_bytes_are_decoded_or_rejected(self, raw: bytes) -> None:
        """Guards against an exception of another type that ends a thread."""
        try:
            loads(raw)
        except ValueError:
            return
