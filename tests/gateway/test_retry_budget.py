"""Tests of `gateway.retry_budget`."""

from __future__ import annotations

import unittest

from sequoiadrum.gateway.retry_budget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Retries stay within the budget that all instances share."""

    def test_all_instances_together_keep_the_bound(self) -> None:
        """Guards against 14 instances that each spend the whole slack."""
        budgets = [RetryBudget(0.2, 108.0, 10.0) for _ in range(14)]
        spent = 0
        for budget in budgets:
            for _ in range(10):
                budget.record_request(1.0)
            spent += sum(budget.spend(1.0, 14) for _ in range(100))
        self.assertLessEqual(spent, 0.2 * 140 + 108)
        self.assertGreater(spent, 50)

    def test_window_slides(self) -> None:
        """Guards against a budget that stays exhausted after a burst."""
        budget = RetryBudget(0.0, 14.0, 10.0)
        self.assertTrue(budget.spend(0.0, 1))
        while budget.spend(0.0, 1):
            pass
        self.assertFalse(budget.spend(9.9, 1))
        self.assertTrue(budget.spend(10.1, 1))
