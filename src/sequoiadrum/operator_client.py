"""Calls to the operator interface, with outcomes as values."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any, Final, TypeVar

from attrs import frozen
from returns.result import Failure, Result, Success
from thrift.Thrift import TApplicationException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from sequoiadrum._gen.operator import Operator, ttypes
from sequoiadrum._operator_codec import WIRE_BY_KIND
from sequoiadrum._thrift_transport import BINARY, MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sequoiadrum.configuration import ObjectKind
    from sequoiadrum.messages import Address

T = TypeVar("T")

_CONFIRM_INTERVAL_S: Final = 0.25
CONFIRM_S: Final = 5.0
"""An accepted change is in force on every router within 4 s, so a later read would show it."""
_NOT_RUN_TYPES: Final = (
    TApplicationException.UNKNOWN_METHOD,
    TApplicationException.WRONG_METHOD_NAME,
)


@frozen
class CallConflict:
    """Someone else has changed the object."""

    name: str
    expected_version: int
    found_version: int
    winning_change_id: str


@frozen
class CallRefused:
    """Repeating the call unchanged does not help."""

    reason: str
    detail: str


@frozen
class CallUnavailable:
    """The call had no effect; it may succeed later or at another router."""

    reason: str
    retry_after_ms: int


@frozen
class CallUnknown:
    """The call may have taken effect."""

    change_id: str
    detail: str


CallFailure = CallConflict | CallRefused | CallUnavailable | CallUnknown


class OperatorClient:
    """Calls the first router that can be reached.

    A call goes to the next router only if it provably did not reach the one before, or if it
    only reads.
    """

    def __init__(
        self, routers: Sequence[Address], timeout_s: float, confirm_s: float = CONFIRM_S
    ) -> None:
        self._routers = routers
        self._timeout_s = timeout_s
        self._confirm_s = confirm_s

    def read(self, make: Callable[[Any], T]) -> Result[T, CallFailure]:
        """Makes a call without effects.

        Args:
            make: Gets a generated client (`Operator.Client`) and makes exactly one call with it.
        """
        result: Result[T, CallFailure] = _unreachable()
        for router in self._routers:
            result = self._call(router, make, "")
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if isinstance(failure, CallUnknown):
                result = Failure(CallUnavailable("connection_lost", 1_000))
            elif not isinstance(failure, CallUnavailable):
                return result
        return result

    def write(self, make: Callable[[Any], T], change_id: str) -> Result[T, CallFailure]:
        """Makes a call with effects; a lost answer gives `CallUnknown`."""
        for router in self._routers:
            result = self._call(router, make, change_id)
            if result != _unreachable():
                return result
        return _unreachable()

    def put(
        self, kind: ObjectKind, name: str, value_json: str, expected_version: int, change_id: str
    ) -> Result[ttypes.ChangeResult, CallFailure]:
        """Creates or replaces an object; after a lost answer, looks for the change."""
        wire = ttypes.ConfigObject(WIRE_BY_KIND[kind], name, 0, value_json, "")
        result = self.write(lambda c: c.put_object(wire, expected_version, change_id), change_id)
        return self._confirmed(result, self._find(kind, name, change_id))

    def delete(
        self, kind: ObjectKind, name: str, expected_version: int, change_id: str
    ) -> Result[ttypes.ChangeResult, CallFailure]:
        """Deletes an object; after a lost answer, looks for the change."""
        wire = WIRE_BY_KIND[kind]
        result = self.write(
            lambda c: c.delete_object(wire, name, expected_version, change_id), change_id
        )
        return self._confirmed(result, self._find(kind, name, change_id))

    def create_plan(
        self, plan_id: str, kind: str, endpoint_id: str, target_id: str
    ) -> Result[ttypes.PlanStatus, CallFailure]:
        """Creates a plan; after a lost answer, looks for it."""
        result = self.write(lambda c: c.create_plan(plan_id, kind, endpoint_id, target_id), plan_id)
        wanted = (kind, endpoint_id, target_id or None)

        def find() -> ttypes.PlanStatus | None:
            plan = self._plan(plan_id)
            same = plan and (plan.kind, plan.endpoint_id, plan.target_id) == wanted
            return plan if same else None

        return self._confirmed(result, find)

    def abort_plan(self, plan_id: str) -> Result[ttypes.PlanStatus, CallFailure]:
        """Aborts a plan; after a lost answer, looks at its state."""
        result = self.write(lambda c: c.abort_plan(plan_id), plan_id)

        def find() -> ttypes.PlanStatus | None:
            plan = self._plan(plan_id)
            return plan if plan and plan.state in ("undoing", "aborted") else None

        return self._confirmed(result, find)

    def _find(
        self, kind: ObjectKind, name: str, change_id: str
    ) -> Callable[[], ttypes.ChangeResult | None]:
        wire = WIRE_BY_KIND[kind]
        return lambda: self.read(lambda c: c.find_change(wire, name, change_id)).value_or(None)

    def _plan(self, plan_id: str) -> ttypes.PlanStatus | None:
        return self.read(lambda c: c.get_plan(plan_id)).value_or(None)

    def _confirmed(
        self, result: Result[T, CallFailure], find: Callable[[], T | None]
    ) -> Result[T, CallFailure]:
        """Replaces an unknown outcome by what a read shows within the confirmation time."""
        if isinstance(result, Success) or not isinstance(result.failure(), CallUnknown):
            return result
        deadline = time.monotonic() + self._confirm_s
        while True:
            found = find()
            if found is not None:
                return Success(found)
            if time.monotonic() >= deadline:
                return result
            time.sleep(_CONFIRM_INTERVAL_S)

    def _call(
        self, router: Address, make: Callable[[Any], T], change_id: str
    ) -> Result[T, CallFailure]:
        transport = TSocket(router.host, router.port)
        transport.setTimeout(self._timeout_s * 1e3)
        try:
            transport.open()
        except (TTransportException, OSError):
            return _unreachable()
        transport.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        framed = TFramedTransport(transport, MAX_FRAME_BYTES)
        try:
            return Success(make(Operator.Client(BINARY.getProtocol(framed))))
        except ttypes.Conflict as error:
            return Failure(
                CallConflict(
                    error.name,
                    error.expected_version,
                    error.found_version,
                    error.winning_change_id,
                )
            )
        except ttypes.Refused as error:
            return Failure(CallRefused(error.reason, error.detail))
        except ttypes.Unavailable as error:
            return Failure(CallUnavailable(error.reason, error.retry_after_ms))
        except ttypes.UnknownOutcome as error:
            return Failure(CallUnknown(error.change_id, error.detail))
        except TApplicationException as error:
            if error.type in _NOT_RUN_TYPES:
                return Failure(CallRefused("not_supported", str(error)))
            return Failure(CallUnknown(change_id, f"{router} failed to answer"))
        # The generated readers raise whatever a malformed answer leads to.
        except Exception as error:
            return Failure(CallUnknown(change_id, f"lost the answer of {router}: {error!r:.100}"))
        finally:
            transport.close()


def _unreachable() -> Failure[CallFailure]:
    return Failure(CallUnavailable("unreachable", 1_000))
