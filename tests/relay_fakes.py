"""Fakes of the dependencies of the request path, for tests in one process."""

from __future__ import annotations

import contextlib
import itertools
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum.chat_relay import ChatRelay, RetryBudgets
from sequoiadrum.configuration import ObjectKind
from sequoiadrum.engine_client import EngineFailure, EngineStream
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.interfaces import AccountLimits, Admission, ConfigSource, Grant
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.standin_engine import EngineOptions, EngineServer
from sequoiadrum.stream_cancel import StreamCanceller
from sequoiadrum.timers import TimerService
from tests.builders import a_config, an_endpoint_value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.configuration import ConfigState


class FakeConfig(ConfigSource):
    """A fixed configuration."""

    def __init__(self, state: ConfigState) -> None:
        self.state = state

    def current(self) -> ConfigState:
        return self.state

    def refusal(self) -> Refusal | None:
        return None


class FakeAdmission(Admission):
    """Grants the first endpoint that is not excluded, and records each release."""

    def __init__(self, addresses: dict[str, Address]) -> None:
        self.addresses = addresses
        self.kv_source: Address | None = None
        self.released: list[tuple[str, str]] = []
        self._numbers = itertools.count()

    def acquire(self, request: Any, excluded: Any) -> Any:
        for endpoint_id, address in self.addresses.items():
            if endpoint_id not in excluded:
                grant_id = f"g{next(self._numbers)}"
                return Success(
                    Grant(grant_id, request.pool, endpoint_id, address, "r1", self.kv_source)
                )
        return Failure(Refusal(RefusalReason.NO_ENDPOINT))

    def release(self, grant: Grant, outcome: Any) -> None:
        self.released.append((grant.endpoint_id, outcome.value))


class UnlimitedAccounts(AccountLimits):
    """Account limits that admit every request."""

    def admit(self, account: str) -> Refusal | None:
        return None


class FakeMembership(MembershipSource):
    """A membership whose members a test adds and removes in `members_by_id`."""

    def __init__(self, self_id: str, members: dict[str, Member]) -> None:
        self._self_id = self_id
        self.members_by_id = members

    def self_id(self) -> str:
        return self._self_id

    def members(self) -> dict[str, Member]:
        return dict(self.members_by_id)

    def subscribe(self, task: Any) -> None:
        """Does nothing; the tests read the members at each tick."""

    def broadcast(self, *_: Any, **__: Any) -> None:
        """Does nothing."""


def a_member(member_id: str, peer_port: int = 1) -> Member:
    """Builds a live member on the loopback address."""
    return Member(
        member_id, "127.0.0.1", peer_port, 1, "d1", "default", 1, 1, state=MemberState.ALIVE
    )


class ScriptedStream(EngineStream):
    """Returns prepared batches and failures, one for each read."""

    def __init__(self, *script: Sequence[Any] | EngineFailure) -> None:
        self.script = list(script)

    def read(self, timeout_s: float, linger_s: float = 0.0) -> Any:
        step = self.script.pop(0)
        return Failure(step) if isinstance(step, EngineFailure) else Success(step)

    def close(self) -> None:
        """Does nothing; there is no connection."""


class RelayRig(contextlib.ExitStack):
    """A chat relay with fake dependencies and stand-in engines in this process."""

    def __init__(self, engines: int = 2, grace_s: float = 0.2, **options: Any) -> None:
        super().__init__()
        defaults = {"token_ms": 4.0, "prefill_ms": 1.0, **options}
        self.engines = {
            f"e{n}": EngineServer("127.0.0.1", 0, EngineOptions(**defaults))
            for n in range(1, engines + 1)
        }
        self.addresses = {id_: Address("127.0.0.1", e.port) for id_, e in self.engines.items()}
        for engine in self.engines.values():
            engine.start()
            self.callback(engine.stop)
        objects = [
            (ObjectKind.ENDPOINT, id_, an_endpoint_value(port=e.port))
            for id_, e in self.engines.items()
        ]
        self.config = FakeConfig(
            a_config(
                (ObjectKind.ROUTE, "assistant", {"pool": "assistant"}),
                (ObjectKind.ACCOUNT, "a1", {"requests_per_s": 100, "burst": 100}),
                *objects,
            )
        )
        self.metrics = Metrics()
        self.admission = FakeAdmission(self.addresses)
        self.client = HttpEngineClient(2.0, 30.0)
        self.callback(self.client.close)
        self.timers = TimerService(Metrics())
        self.timers.start()
        self.callback(self.timers.stop)
        self.canceller = StreamCanceller(
            self.client, self.admission, self.timers, self.metrics, lambda: None
        )
        self.canceller.start()
        self.callback(self.canceller.stop)
        self.grace_s = grace_s
        self.relay = self.new_relay()

    def new_relay(self) -> ChatRelay:
        """Builds the relay of another router with the same engines."""
        budgets = RetryBudgets(self.metrics)
        return ChatRelay(
            self.config,
            self.admission,
            self.client,
            self.canceller,
            budgets,
            self.metrics,
            self.grace_s,
        )
