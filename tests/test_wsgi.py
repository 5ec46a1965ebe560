"""Tests of the JSON document of refusals."""

from __future__ import annotations

import unittest

from sequoiadrum._wsgi import refusal_document
from sequoiadrum.errors import Refusal, RefusalReason


class RefusalDocumentTest(unittest.TestCase):
    """The field `ran` reports only what is known about a call."""

    def ran(self, refusal: Refusal) -> str:
        return str(refusal_document(refusal)["error"]["ran"])

    def test_unchecked_key_is_not_reported_as_not_run(self) -> None:
        """Guards against "not run" for a key whose earlier request may have run.

        This happens if the owner of a key dies while the call runs and the caller retries at
        another router: in a replay, such retries got `owner_unreachable` with "no", and the call
        had run.
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

    def test_checked_key_is_reported(self) -> None:
        """Guards against reporting "unknown" for a call that has provably not run."""
        self.assertEqual(self.ran(Refusal(RefusalReason.NO_ENDPOINT)), "no")
        self.assertEqual(self.ran(Refusal(RefusalReason.ENDPOINT_FAILED, ran=None)), "unknown")
        self.assertEqual(self.ran(Refusal(RefusalReason.ENDPOINT_FAILED, ran=True)), "yes")
