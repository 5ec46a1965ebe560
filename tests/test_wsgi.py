"""Typed refusals on the wire."""

from __future__ import annotations

import unittest

from sequoiadrum._wsgi import refusal_document
from sequoiadrum.errors import Refusal, RefusalReason


class RefusalDocumentTest(unittest.TestCase):
    """The field `ran` claims no more than is known."""

    def ran(self, refusal: Refusal) -> str:
        return str(refusal_document(refusal)["error"]["ran"])

    def test_unchecked_key_is_not_told_as_not_run(self) -> None:
        """Guards against "not run" for a key whose earlier request may have run.

        Seen in a replay: after its owner died with a running call, repetitions of the key at other
        routers were told "no" with `owner_unreachable`, and the key had run.
        """
        for reason in (
            RefusalReason.OWNER_UNREACHABLE,
            RefusalReason.LEDGER_UNAVAILABLE,
            RefusalReason.LEDGER_BUSY,
            RefusalReason.ACCOUNT_LIMIT,
            RefusalReason.OVERLOADED,
            RefusalReason.STOPPING,
            RefusalReason.KEY_EXPIRED,
            RefusalReason.KEY_REUSED,
        ):
            with self.subTest(reason):
                self.assertEqual(self.ran(Refusal(reason)), "not_by_this_request")

    def test_checked_key_is_told(self) -> None:
        """Guards against a provable "not run" that callers cannot tell from an open outcome."""
        self.assertEqual(self.ran(Refusal(RefusalReason.NO_ENDPOINT)), "no")
        self.assertEqual(self.ran(Refusal(RefusalReason.ENDPOINT_FAILED, ran=None)), "unknown")
        self.assertEqual(self.ran(Refusal(RefusalReason.ENDPOINT_FAILED, ran=True)), "yes")
