"""Stores plans as platform objects with conditional writes and resolves lost responses."""

from __future__ import annotations

import uuid
from enum import Enum
from typing import TYPE_CHECKING, Final

import structlog
from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from sequoiadrum.plans import PLAN_PREFIX, Plan, PlanState
from sequoiadrum.platform_client import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.platform_client import PlatformClient

_ABORT_ATTEMPTS: Final = 5
"""A lease renewal by the driver can cause a conflict; this many in a row indicate a fault."""
MAX_LISTED_PLANS: Final = 200
"""Maximum number of plans that a listing reads; the newest are preferred."""

_log = structlog.get_logger(__name__)


class PlanFailure(Enum):
    """Reason why a plan was not read or written."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The plan was changed by another writer; this write had no effect."""
    UNAVAILABLE = "unavailable"
    """The platform is currently unavailable; the call had no effect."""
    UNKNOWN = "unknown"
    """The write may have taken effect; retry with the same plan."""
    UNREADABLE = "unreadable"
    """The object is not a plan."""


@frozen
class StoredPlan:
    """A plan and the version of its platform object."""

    plan: Plan
    version: int


@frozen
class AbortRefused:
    """The plan can no longer be aborted."""

    detail: str


_READ_FAILURES: Final = {PlatformFailure.NOT_FOUND: PlanFailure.NOT_FOUND}
_WRITE_FAILURES: Final = {
    PlatformFailure.UNREACHABLE: PlanFailure.UNAVAILABLE,
    PlatformFailure.RATE_LIMITED: PlanFailure.UNAVAILABLE,
    PlatformFailure.TOO_LARGE: PlanFailure.UNREADABLE,
}


class PlanStore:
    """Reads and writes plans with blocking calls to the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    def get(self, plan_id: str) -> Result[StoredPlan, PlanFailure]:
        """Reads a plan."""
        found = self._platform.get(PLAN_PREFIX + plan_id)
        if isinstance(found, Failure):
            return Failure(_READ_FAILURES.get(found.failure(), PlanFailure.UNAVAILABLE))
        stored = found.unwrap()
        try:
            return Success(StoredPlan(Plan.decode(stored.value), stored.version))
        except ValueError:
            _log.error("plan_unreadable", plan=plan_id, version=stored.version)
            return Failure(PlanFailure.UNREADABLE)

    def write(self, plan: Plan, expected_version: int) -> Result[StoredPlan, PlanFailure]:
        """Writes a plan if its object still has the expected version.

        After a lost response or a conflict, the object is read: if it has the plan's `write_id`,
        the write took effect. After `UNKNOWN`, the write can be retried with the same plan.

        Args:
            plan: Plan with a new `write_id` from `with_write_id`, or with the same one on a retry.
            expected_version: Version of the object that the write replaces; 0 creates the object.
        """
        written = self._platform.put(plan.name, plan.encode(), expected_version)
        if isinstance(written, Success):
            return Success(StoredPlan(plan, written.unwrap().version))
        failure = written.failure()
        if failure in _WRITE_FAILURES:
            return Failure(_WRITE_FAILURES[failure])
        found = self.get(plan.id)
        if isinstance(found, Success) and found.unwrap().plan.write_id == plan.write_id:
            return found
        if failure is PlatformFailure.UNKNOWN and not _is_superseded(found, expected_version):
            return Failure(PlanFailure.UNKNOWN)
        return Failure(PlanFailure.CONFLICT)

    def abort(self, plan_id: str, detail: str) -> Result[StoredPlan, PlanFailure | AbortRefused]:
        """Aborts a plan, so that its driver restores the endpoints instead of continuing.

        Aborting a plan that is already aborted succeeds.

        Args:
            plan_id: Plan to abort.
            detail: Reason to record in the plan.
        """
        for _ in range(_ABORT_ATTEMPTS):
            found = self.get(plan_id)
            if isinstance(found, Failure):
                return Failure(found.failure())
            stored = found.unwrap()
            if stored.plan.is_aborted:
                return Success(stored)
            problem = stored.plan.abort_problem()
            if problem:
                return Failure(AbortRefused(problem))
            aborted = with_write_id(stored.plan.undo(PlanState.ABORTED, detail))
            written = self.write(aborted, stored.version)
            if isinstance(written, Success):
                return Success(written.unwrap())
            if written.failure() is not PlanFailure.CONFLICT:
                return Failure(written.failure())
        return Failure(PlanFailure.CONFLICT)

    def names(self) -> Result[Sequence[tuple[str, int]], PlanFailure]:
        """Returns ids and versions of all plans, the newest version first, by one platform call."""
        listed = self._platform.list_names(PLAN_PREFIX)
        if isinstance(listed, Failure):
            return Failure(PlanFailure.UNAVAILABLE)
        entries = [(name.removeprefix(PLAN_PREFIX), v) for name, v in listed.unwrap()]
        return Success(sorted(entries, key=lambda entry: -entry[1]))

    def delete(self, plan_id: str, version: int) -> None:
        """Deletes a plan if it has the given version; a failure is left to the next attempt."""
        self._platform.delete(PLAN_PREFIX + plan_id, version)


def with_write_id(plan: Plan) -> Plan:
    """Returns the plan with a new write id."""
    return evolve(plan, write_id=uuid.uuid4().hex)


def _is_superseded(found: Result[StoredPlan, PlanFailure], expected_version: int) -> bool:
    # A write that expects an outdated version cannot take effect any more.
    if isinstance(found, Failure):
        return False
    return found.unwrap().version != expected_version
