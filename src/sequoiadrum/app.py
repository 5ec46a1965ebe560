"""The composition root: wires the parts of one router, starts and stops them."""

from __future__ import annotations

import secrets
import signal
import threading
import time
from typing import TYPE_CHECKING, Final

import structlog
from returns.result import Failure, Result

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum._service_http import HttpServiceClient
from sequoiadrum.admission_task import AdmissionTask
from sequoiadrum.chat_relay import ChatRelay
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.errors import Refusal, RefusalReason
from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.interfaces import (
    AccountLimits,
    ConfigUnavailable,
    ConfigWriter,
    Directory,
    MembershipSource,
    PoolInspector,
)
from sequoiadrum.ledger import ObjectLedger
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.operator_side import OperatorSide
from sequoiadrum.plan_driver import DriverParts
from sequoiadrum.plan_store import PlanStore
from sequoiadrum.service_relay import ServiceRelay
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sequoiadrum.configuration import Change, ChangeRequest
    from sequoiadrum.interfaces import ConfigSource, PoolLoad
    from sequoiadrum.settings import Settings
    from sequoiadrum.tasks import Task

_ENGINE_TIMEOUT_S: Final = 2.0
_STREAM_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05

_log = structlog.get_logger(__name__)


class _NoLimits(AccountLimits):
    """Admits every known account."""

    def admit(self, account: str) -> Refusal | None:
        return None


class _OwnAddress(Directory):
    """Names this router only."""

    def __init__(self, address: Address) -> None:
        self.address = address

    def address_for(self, key: str) -> tuple[Address, ...]:
        return (self.address,)


class _NoWriter(ConfigWriter):
    """Accepts no changes."""

    def submit(self, request: ChangeRequest) -> Result[Change, ConfigUnavailable]:
        return Failure(ConfigUnavailable("this router accepts no changes"))


class _OnlyThisRouter(MembershipSource):
    """A fleet of one."""

    def __init__(self, settings: Settings, process_id: int, config: ConfigSource) -> None:
        self._settings = settings
        self._process_id = process_id
        self._config = config

    def self_id(self) -> str:
        return self._settings.instance_id

    def members(self) -> Mapping[str, Member]:
        s = self._settings
        revision = self._config.current().revision
        member = Member(
            id=s.instance_id,
            host=s.host,
            peer_port=s.peer_port,
            http_port=s.http_port,
            failure_domain=s.failure_domain,
            region=s.region,
            process_id=self._process_id,
            incarnation=0,
            state=MemberState.ALIVE,
            config_revision=revision,
        )
        return {s.instance_id: member}

    def subscribe(self, task: Task) -> None:
        """Nothing changes."""

    def spread(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """Nobody listens."""


class _NoInspector(PoolInspector):
    """Knows no loads, so no drain gets past its wait."""

    def pool_load(self, pool: str) -> Result[PoolLoad, Refusal]:
        detail = "the owner of the pool cannot be asked"
        return Failure(Refusal(RefusalReason.OWNER_UNREACHABLE, detail, 1_000))

    def in_flight(self, endpoint_id: str) -> float | None:
        return None

    def recent_chats(self, endpoint_id: str, limit: int) -> Sequence[str]:
        return ()


class Router:
    """One running router."""

    def __init__(self, settings: Settings) -> None:
        self.settings: Final = settings
        self.metrics: Final = Metrics()
        self.timers: Final = TimerService()
        self._stop_requested = threading.Event()
        self._failed = False
        platform = HttpPlatformClient(
            settings.platform_address(), self.metrics, settings.platform_timeout_s
        )
        engines = HttpEngineClient(_ENGINE_TIMEOUT_S, _STREAM_TIMEOUT_S)
        services = HttpServiceClient()
        self.config: Final = ConfigTask(platform, self.metrics)
        self.admission: Final = AdmissionTask(
            settings, self.config, self.metrics, self._invariant_broken
        )
        keyed = ObjectLedger(platform, self.config, self.admission, services, self.metrics)
        directory = _OwnAddress(Address(settings.host, settings.http_port))
        self.front: Final = HttpFront(
            settings,
            FrontParts(
                config=self.config,
                limits=_NoLimits(),
                relay=ChatRelay(self.config, self.admission, engines, self.metrics),
                services=ServiceRelay(self.admission, services, self.metrics),
                keyed=keyed,
                directory=directory,
                metrics=self.metrics,
            ),
        )
        directory.address = Address(settings.host, self.front.port)
        process_id = secrets.randbits(62)
        driver_parts = DriverParts(
            store=PlanStore(platform),
            config=self.config,
            writer=_NoWriter(),
            engines=engines,
            inspector=_NoInspector(),
            membership=_OnlyThisRouter(settings, process_id, self.config),
            metrics=self.metrics,
        )
        self.operators: Final = OperatorSide(
            settings, driver_parts, process_id, self._invariant_broken
        )
        self.metrics.gauge("requests_in_flight", lambda: float(self.front.active()))

    def start(self) -> None:
        """Starts all parts."""
        self.timers.start()
        self.config.start()
        self.admission.start()
        self.front.start()
        self.operators.start(self.timers)
        _log.info("started", instance=self.settings.instance_id, http_port=self.front.port)

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then stops as planned; gives the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop_requested.set())
        self.start()
        self._stop_requested.wait()
        self.stop()
        return 1 if self._failed else 0

    def stop(self) -> None:
        """Planned stop: serves kept addresses out, finishes what is in flight, then ends."""
        _log.info("stopping", in_flight=self.front.active())
        time.sleep(self.settings.address_ttl_s)
        self.front.refuse_new()
        deadline = time.monotonic() + self.settings.request_timeout_s
        while self.front.active() and time.monotonic() < deadline:
            time.sleep(_POLL_S)
        self.front.stop()
        self.operators.stop()
        self.admission.stop()
        self.config.stop()
        self.timers.stop()
        _log.info("stopped")

    def _invariant_broken(self) -> None:
        self._failed = True
        self._stop_requested.set()
