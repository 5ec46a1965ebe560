"""Tests of account limits and retry budgets in virtual time."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.limits import AccountBucket, LeasedShare, RetryBudget
from sequoiadrum.token_bucket import TokenBucket

_STEP_S = 0.01


class SimulatedFleet:
    """Simulates routers that lease tokens of one account from its owner in virtual time."""

    def __init__(self, routers: int, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.owner: AccountBucket | None = AccountBucket.empty(rate, burst, 0.0)
        self.shares = [LeasedShare(TokenBucket(rate, burst, 0.0, 0.0)) for _ in range(routers)]
        self.now = 0.0
        self.admitted = self.refused = 0

    def request(self, router: int) -> None:
        share = self.shares[router]
        share.record_use(self.now)
        if share.take(self.now) or (self._lease(router) and share.take(self.now)):
            self.admitted += 1
        else:
            self.refused += 1

    def _lease(self, router: int) -> bool:
        share = self.shares[router]
        wanted = share.wanted(self.now)
        if not wanted:
            return False
        if self.owner is None:
            share.record_owner_loss(self.rate, self.burst, len(self.shares), self.now)
        else:
            share.add(self.owner.lease(str(router), wanted, self.now), wanted, self.now, self.now)
        return True

    def run(self, seconds: float, rate_per_router: float) -> None:
        """Sends requests at a constant rate per router and renews leases ahead every 100 ms."""
        due = [0.0] * len(self.shares)
        for step in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            for router in range(len(self.shares)):
                if step % 10 == 0 and self.shares[router].use_per_s > 0.5:
                    self._lease(router)
                due[router] += rate_per_router * _STEP_S
                while due[router] >= 1:
                    due[router] -= 1
                    self.request(router)


class LeasedSharesTest(unittest.TestCase):
    """Tests that the fleet keeps an account's limit and lets the account use it."""

    @settings(max_examples=25, deadline=None)
    @given(st.integers(1, 14), st.integers(1, 200), st.integers(1, 100), st.floats(0.1, 60))
    def test_fleet_never_admits_more_than_the_limit(
        self, routers: int, rate: int, burst: int, rate_per_router: float
    ) -> None:
        """Guards against leases that add up to more than the account's limit."""
        fleet = SimulatedFleet(routers, rate, burst)
        fleet.run(6.0, rate_per_router)
        self.assertLessEqual(fleet.admitted, burst + rate * fleet.now)

    def test_surging_account_gets_its_limit(self) -> None:
        """Guards against tokens that stay unused at some routers while others refuse requests."""
        fleet = SimulatedFleet(8, 100, 50)
        fleet.run(10.0, 125.0)
        self.assertGreaterEqual(fleet.admitted, 0.9 * 100 * 10)

    def test_quiet_account_is_never_refused(self) -> None:
        """Guards against refusals of an account that uses a fifth of its limit."""
        fleet = SimulatedFleet(8, 50, 100)
        fleet.now = 2.0
        fleet.run(20.0, 1.2)
        self.assertEqual(fleet.refused, 0)

    def test_lost_owner_leaves_limit_in_force(self) -> None:
        """Guards against routers that admit or refuse all requests without an owner."""
        fleet = SimulatedFleet(8, 100, 50)
        fleet.run(3.0, 125.0)
        before = fleet.admitted
        fleet.owner = None
        fleet.run(10.0, 125.0)
        self.assertLessEqual(fleet.admitted, 50 + 100 * fleet.now)
        self.assertGreaterEqual(fleet.admitted - before, 0.8 * 100 * 10)

    def test_new_owner_starts_empty(self) -> None:
        """Guards against another full burst each time the owner of an account changes."""
        fleet = SimulatedFleet(4, 10, 100)
        fleet.now = 20.0
        for _ in range(20):
            fleet.owner = AccountBucket.empty(10, 100, fleet.now)
            fleet.run(0.5, 100.0)
        self.assertLessEqual(fleet.admitted, 10 * 10 + 1)


class RetryBudgetTest(unittest.TestCase):
    """Tests that retries are limited to a share of the requests."""

    def test_retries_are_a_tenth_plus_three_per_second(self) -> None:
        """Guards against a retry storm when all endpoints fail."""
        budget = RetryBudget.starting(1000.0)
        retries = 0
        for n in range(10_000):
            now = 1000.0 + n / 1000
            budget.request(now)
            retries += sum(budget.take(now) for _ in range(3))
        self.assertLessEqual(retries, 0.1 * 10_000 + 3 * 10 + 3)
        self.assertGreaterEqual(retries, 1_000)
