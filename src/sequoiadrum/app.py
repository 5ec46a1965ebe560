"""The composition root: wires the parts of one router, starts and stops them."""

from __future__ import annotations

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import structlog

from sequoiadrum._engine_http import HttpEngineClient
from sequoiadrum._platform_http import HttpPlatformClient
from sequoiadrum._service_http import HttpServiceClient
from sequoiadrum.admission_task import AdmissionTask
from sequoiadrum.chat_relay import ChatRelay
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.config_writer import PlatformConfigWriter
from sequoiadrum.directory import MemberDirectory
from sequoiadrum.gossip_task import GossipTask
from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.interfaces import AccountLimits
from sequoiadrum.ledger import ObjectLedger
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.service_relay import ServiceRelay
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from sequoiadrum.errors import Refusal
    from sequoiadrum.settings import Settings

_ENGINE_TIMEOUT_S: Final = 2.0
_STREAM_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05

_log = structlog.get_logger(__name__)


class _NoLimits(AccountLimits):
    """Admits every known account."""

    def admit(self, account: str) -> Refusal | None:
        return None


class _Unwired:
    """Stands for a part that does not answer peers yet; every call of it fails."""


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
        self.peers: Final = ThriftPeerClient(self.metrics)
        self.gossip: Final = GossipTask(
            settings, platform, self.peers, self.metrics, self._invariant_broken
        )
        self.config: Final = ConfigTask(
            platform, self.gossip, self.peers, self.metrics, self._invariant_broken
        )
        self.background: Final = ThreadPoolExecutor(1, thread_name_prefix="background")
        self.config_writer: Final = PlatformConfigWriter(
            platform, self.config.current, self.config.accept, self.metrics, self.background
        )
        self.admission: Final = AdmissionTask(
            settings, self.config, self.metrics, self._invariant_broken
        )
        keyed = ObjectLedger(platform, self.config, self.admission, services, self.metrics)
        self.front: Final = HttpFront(
            settings,
            FrontParts(
                config=self.config,
                limits=_NoLimits(),
                relay=ChatRelay(self.config, self.admission, engines, self.metrics),
                services=ServiceRelay(self.admission, services, self.metrics),
                keyed=keyed,
                directory=MemberDirectory(self.gossip),
                metrics=self.metrics,
            ),
        )
        self.gossip.set_http_port(self.front.port)
        self.peer_server: Final = create_peer_server(
            Address(settings.host, self.gossip.peer_port),
            PeerHandler(
                membership=self.gossip,
                admission=_Unwired(),
                config=self.config,
                keyed=_Unwired(),
                limits=_Unwired(),
            ),
            self.metrics,
            self.gossip.listener,
        )
        self.metrics.gauge("requests_in_flight", lambda: float(self.front.active()))

    def start(self) -> None:
        """Starts all parts."""
        self.timers.start()
        self.peer_server.start()
        self.gossip.run_on(self.timers)
        self.config.run_on(self.timers)
        self.admission.start()
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
        self.gossip.leave()
        time.sleep(self.settings.address_ttl_s)
        self.front.refuse_new()
        deadline = time.monotonic() + self.settings.request_timeout_s
        while self.front.active() and time.monotonic() < deadline:
            time.sleep(_POLL_S)
        self.front.stop()
        self.admission.stop()
        self.config.stop()
        self.gossip.stop()
        self.peer_server.stop()
        self.peers.close()
        self.background.shutdown(wait=False, cancel_futures=True)
        self.timers.stop()
        _log.info("stopped")

    def _invariant_broken(self) -> None:
        self._failed = True
        self._stop_requested.set()
