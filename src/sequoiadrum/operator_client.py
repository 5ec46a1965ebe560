"""Client of the operator interface that returns failures as values."""

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
DEFAULT_CONFIRM_TIMEOUT_S: Final = 5.0
"""Covers the 4 s within which an accepted change is in force on every router and can be read."""
_NOT_EXECUTED_TYPES: Final = (
    TApplicationException.UNKNOWN_METHOD,
    TApplicationException.WRONG_METHOD_NAME,
)


@frozen
class CallConflict:
    """The object does not have the expected version because of another change."""

    name: str
    expected_version: int
    found_version: int
    winning_change_id: str


@frozen
class CallRefused:
    """The call is invalid or not allowed; retrying it unchanged does not help."""

    reason: str
    detail: str


@frozen
class CallUnavailable:
    """The call had no effect; a retry may succeed later or at another router."""

    reason: str
    retry_after_ms: int


@frozen
class CallUnknown:
    """The call may have taken effect."""

    change_id: str
    detail: str


CallFailure = CallConflict | CallRefused | CallUnavailable | CallUnknown


class OperatorClient:
    """Calls the first router that is reachable.

    A call with effects is made to the next router only if no connection to the previous one could
    be opened; a call that only reads may be retried at the next router after any other failure
    than a refusal or a conflict.
    """

    def __init__(
        self,
        routers: Sequence[Address],
        timeout_s: float,
        confirm_s: float = DEFAULT_CONFIRM_TIMEOUT_S,
    ) -> None:
        self._routers = routers
        self._timeout_s = timeout_s
        self._confirm_s = confirm_s

    def read(self, make: Callable[[Any], T]) -> Result[T, CallFailure]:
        """Makes a call without effects; tries the routers in order.

        Args:
            make: Makes exactly one call with the generated client (`Operator.Client`) passed to it.
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
        """Makes a call with effects; fails with `CallUnknown` if the response is lost."""
        for router in self._routers:
            result = self._call(router, make, change_id)
            if result != _unreachable():
                return result
        return _unreachable()

    def put(
        self, kind: ObjectKind, name: str, value_json: str, expected_version: int, change_id: str
    ) -> Result[ttypes.ChangeResult, CallFailure]:
        """Creates or replaces an object; looks the change up if the response is lost."""
        wire = ttypes.ConfigObject(WIRE_BY_KIND[kind], name, 0, value_json, "")
        result = self.write(lambda c: c.put_object(wire, expected_version, change_id), change_id)
        return self._resolve_unknown_outcome(result, self._change_finder(kind, name, change_id))

    def delete(
        self, kind: ObjectKind, name: str, expected_version: int, change_id: str
    ) -> Result[ttypes.ChangeResult, CallFailure]:
        """Deletes an object; looks the change up if the response is lost."""
        wire = WIRE_BY_KIND[kind]
        result = self.write(
            lambda c: c.delete_object(wire, name, expected_version, change_id), change_id
        )
        return self._resolve_unknown_outcome(result, self._change_finder(kind, name, change_id))

    def create_plan(
        self, plan_id: str, kind: str, endpoint_id: str, target_id: str
    ) -> Result[ttypes.PlanStatus, CallFailure]:
        """Creates a plan; looks the plan up if the response is lost."""
        result = self.write(lambda c: c.create_plan(plan_id, kind, endpoint_id, target_id), plan_id)
        wanted = (kind, endpoint_id, target_id or None)

        def find() -> ttypes.PlanStatus | None:
            plan = self._read_plan(plan_id)
            same = plan and (plan.kind, plan.endpoint_id, plan.target_id) == wanted
            return plan if same else None

        return self._resolve_unknown_outcome(result, find)

    def abort_plan(self, plan_id: str) -> Result[ttypes.PlanStatus, CallFailure]:
        """Aborts a plan; reads the state of the plan if the response is lost."""
        result = self.write(lambda c: c.abort_plan(plan_id), plan_id)

        def find() -> ttypes.PlanStatus | None:
            plan = self._read_plan(plan_id)
            return plan if plan and plan.state in ("undoing", "aborted") else None

        return self._resolve_unknown_outcome(result, find)

    def _change_finder(
        self, kind: ObjectKind, name: str, change_id: str
    ) -> Callable[[], ttypes.ChangeResult | None]:
        wire = WIRE_BY_KIND[kind]
        return lambda: self.read(lambda c: c.find_change(wire, name, change_id)).value_or(None)

    def _read_plan(self, plan_id: str) -> ttypes.PlanStatus | None:
        return self.read(lambda c: c.get_plan(plan_id)).value_or(None)

    def _resolve_unknown_outcome(
        self, result: Result[T, CallFailure], find: Callable[[], T | None]
    ) -> Result[T, CallFailure]:
        """Replaces an unknown outcome by a success if a read confirms it within the time limit."""
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
            if error.type in _NOT_EXECUTED_TYPES:
                return Failure(CallRefused("not_supported", str(error)))
            return Failure(CallUnknown(change_id, f"{router} failed to execute the call"))
        # The generated readers may raise any exception for a malformed response.
        except Exception as error:
            return Failure(CallUnknown(change_id, f"lost the response of {router}: {error!r:.100}"))
        finally:
            transport.close()


def _unreachable() -> Failure[CallFailure]:
    return Failure(CallUnavailable("unreachable", 1_000))
