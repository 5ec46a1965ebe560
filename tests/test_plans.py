"""Tests of the storage format of plans and of leases."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiadrum.leases import Lease, LeaseObserver, take_over
from sequoiadrum.plans import Plan, PlanKind, PlanState, new_plan

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


class PlansTest(unittest.TestCase):
    """Tests encoding and decoding of plans, and expiry of leases."""

    def test_stored_form_is_complete(self) -> None:
        """Guards against an attribute of a plan that is not stored."""
        for kind in PlanKind:
            plan = new_plan("p", kind, "e1", "e2", models=("m",), lease=take_over("r1", 7, 9))
            plan = plan.finish_step("ok", 3).undo(PlanState.FAILED, "why")
            self.assertEqual(Plan.decode(plan.encode()), plan)

    @settings(deadline=None)
    @given(field=st.sampled_from(list(json.loads(new_plan("p", PlanKind.MOVE, "e").encode()))))
    def test_missing_field_is_a_value_error(self, field: str) -> None:
        """Guards against an unhandled exception for a stored object that is not a plan."""
        document = json.loads(new_plan("p", PlanKind.MOVE, "e", "t").encode())
        del document[field]
        self.assertRaises(ValueError, Plan.decode, json.dumps(document).encode())

    @settings(deadline=None)
    @given(
        field=st.sampled_from(list(json.loads(new_plan("p", PlanKind.MOVE, "e").encode()))),
        value=_JSON,
    )
    def test_damaged_plan_is_a_value_error(self, field: str, value: object) -> None:
        """Guards against exceptions other than the `ValueError` that readers of plans handle."""
        lease = Lease("r1", 7, 9)
        document = json.loads(new_plan("p", PlanKind.MOVE, "e", "t", lease=lease).encode())
        document[field] = value
        try:
            Plan.decode(json.dumps(document).encode())
        except ValueError:
            return

    @settings(deadline=None)
    @given(
        renewals=st.lists(st.floats(0.0, 8.9), min_size=1, max_size=30),
        intervals=st.lists(st.floats(0.1, 5.0), min_size=1, max_size=100),
        offset=st.floats(-1e6, 1e6),
    )
    def test_renewed_lease_never_expires(
        self, renewals: list[float], intervals: list[float], offset: float
    ) -> None:
        """Guards against a takeover from a live holder whose clock differs from the observer's."""
        observer = LeaseObserver(9.0)
        times = [sum(renewals[:count]) for count in range(len(renewals) + 1)]
        now = 0.0
        for interval in intervals:
            now += interval
            if now >= times[-1] + 9.0:
                break
            version = sum(time <= now for time in times)
            self.assertFalse(observer.observe("plans/p", version, now + offset))

    def test_unchanged_version_expires(self) -> None:
        """Guards against a lease that never expires although its holder has failed."""
        observer = LeaseObserver(9.0)
        self.assertEqual([observer.observe("p", 1, t) for t in (0, 8, 9)], [False, False, True])
        self.assertFalse(observer.observe("p", 2, 10))
