"""The composition root: wires the parts of one router, starts and stops them."""

from __future__ import annotations

import secrets
import signal
import threading
import time
from typing import TYPE_CHECKING, Final

import structlog

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._ledger_dispatch import Dispatcher
from sequoiadrum._ledger_types import LedgerPolicy
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum._service_http import HttpServiceClient
from sequoiadrum.admission_task import AdmissionTask
from sequoiadrum.chat_relay import ChatRelay
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.interfaces import AccountLimits, Directory, MembershipSource
from sequoiadrum.keyed_router import KeyedRouter
from sequoiadrum.ledger_task import Clock, LedgerTask
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.service_relay import ServiceRelay
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sequoiadrum.errors import Refusal
    from sequoiadrum.peer_client import PeerClient
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


class _OneMember(MembershipSource):
    """A fleet of this router alone."""

    def __init__(self, settings: Settings) -> None:
        self._member = Member(
            id=settings.instance_id,
            host=settings.host,
            peer_port=settings.peer_port,
            http_port=settings.http_port,
            failure_domain=settings.failure_domain,
            region=settings.region,
            process_id=secrets.randbits(62),
            incarnation=0,
            state=MemberState.ALIVE,
        )

    def self_id(self) -> str:
        return self._member.id

    def members(self) -> Mapping[str, Member]:
        return {self._member.id: self._member}

    def subscribe(self, task: Task) -> None:
        return

    def spread(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        return


class Router:
    """One running router."""

    def __init__(
        self,
        settings: Settings,
        members: MembershipSource | None = None,
        peers: PeerClient | None = None,
    ) -> None:
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
        members = members or _OneMember(settings)
        peers = peers or ThriftPeerClient(self.metrics)
        self.ledger: Final = LedgerTask(
            settings.ledger_shards,
            LedgerPolicy(window_s=settings.ledger_window_s),
            members,
            platform,
            Dispatcher(self.config, self.admission, services, peers, Clock()),
            self.timers,
            self.metrics,
            self._invariant_broken,
        )
        self.keyed: Final = KeyedRouter(self.ledger, members, peers)
        directory = _OwnAddress(Address(settings.host, settings.http_port))
        self.front: Final = HttpFront(
            settings,
            FrontParts(
                config=self.config,
                limits=_NoLimits(),
                relay=ChatRelay(self.config, self.admission, engines, self.metrics),
                services=ServiceRelay(self.admission, services, self.metrics),
                keyed=self.keyed,
                directory=directory,
                metrics=self.metrics,
            ),
        )
        directory.address = Address(settings.host, self.front.port)
        self.metrics.gauge("requests_in_flight", lambda: float(self.front.active()))

    def start(self) -> None:
        """Starts all parts."""
        self.timers.start()
        self.config.start()
        self.admission.start()
        self.ledger.start()
        self.front.start()
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
        if not self.ledger.drain(self.settings.request_timeout_s):
            _log.warning("ledger_not_released")
        self.front.stop()
        self.ledger.stop()
        self.admission.stop()
        self.config.stop()
        self.timers.stop()
        _log.info("stopped")

    def _invariant_broken(self) -> None:
        self._failed = True
        self._stop_requested.set()
