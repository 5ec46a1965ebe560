"""Composition root of a router: creates, starts and stops its components."""

from __future__ import annotations

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
from sequoiadrum._signals import wait_for_signal
from sequoiadrum.admission_task import AdmissionParts, AdmissionTask
from sequoiadrum.chat_relay import ChatRelay, RetryBudgets
from sequoiadrum.clock import Clock
from sequoiadrum.config_task import ConfigTask
from sequoiadrum.config_writer import PlatformConfigWriter
from sequoiadrum.directory import MemberDirectory
from sequoiadrum.gossip_task import GossipTask
from sequoiadrum.http_front import FrontParts, HttpFront
from sequoiadrum.keyed_router import KeyedRouter
from sequoiadrum.ledger_task import LedgerTask
from sequoiadrum.limits_task import LimitsTask
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.operator_services import OperatorServices
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.plan_driver import DriverParts
from sequoiadrum.plan_store import PlanStore
from sequoiadrum.pool_inspector import PeerPoolInspector
from sequoiadrum.reporting_executor import ReportingExecutor
from sequoiadrum.service_relay import ServiceRelay
from sequoiadrum.stream_cancel import StreamCanceller
from sequoiadrum.supervised_thread import ThreadMonitor
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from sequoiadrum.settings import Settings

_ENGINE_TIMEOUT_S: Final = 2.0
_STREAM_TIMEOUT_S: Final = 30.0
_DRAIN_POLL_INTERVAL_S: Final = 0.05

_log = structlog.get_logger(__name__)


class Router:
    """A router with all its components."""

    def __init__(self, settings: Settings) -> None:
        """Creates the components and binds all ports.

        Raises:
            OSError: An address is in use or not local.
        """
        self.settings: Final = settings
        self.metrics: Final = Metrics()
        self.threads: Final = ThreadMonitor(self.metrics)
        self.timers: Final = TimerService(self.metrics)
        self._stop_requested = threading.Event()
        self._failed = False
        self._platform = HttpPlatformClient(
            settings.platform_address(), self.metrics, settings.platform_timeout_s
        )
        self._engines = HttpEngineClient(_ENGINE_TIMEOUT_S, _STREAM_TIMEOUT_S)
        self._services = HttpServiceClient()
        self.peers: Final = ThriftPeerClient(self.metrics)
        self.gossip: Final = GossipTask(
            settings, self._platform, self.peers, self.metrics, self._on_invariant_violation
        )
        self.config: Final = ConfigTask(
            self._platform, self.gossip, self.peers, self.metrics, self._on_invariant_violation
        )
        self.background: Final = ReportingExecutor(1, "background", self.metrics)
        self.admission: Final = self._create_admission()
        self.limits: Final = LimitsTask(
            self.config,
            self.gossip,
            self.peers,
            self.timers,
            self.metrics,
            self._on_invariant_violation,
        )
        self.canceller: Final = StreamCanceller(
            self._engines, self.admission, self.timers, self.metrics, self._on_invariant_violation
        )
        self.ledger: Final = self._create_ledger()
        self.keyed: Final = KeyedRouter(self.ledger, self.gossip, self.peers)
        self.front: Final = self._create_front()
        self.gossip.set_http_port(self.front.port)
        self.operators: Final = self._create_operator_services()
        self.peer_server: Final = create_peer_server(
            Address(settings.host, self.gossip.peer_port),
            PeerHandler(self.gossip, self.admission, self.config, self.keyed, self.limits),
            self.metrics,
            self.gossip.listener,
        )
        self.metrics.gauge("requests_in_flight", lambda: float(self.front.active()))
        self.threads.add(
            self.timers.thread,
            self.peer_server.thread,
            self.gossip.thread,
            self.gossip.reader,
            self.config.thread,
            self.admission.thread,
            self.admission.outbox.thread,
            self.limits.thread,
            self.canceller.thread,
            self.ledger.thread,
            self.front.thread,
            self.operators.server.thread,
            self.operators.plans.thread,
        )

    def start(self) -> None:
        """Starts all components."""
        self.timers.start()
        self.peer_server.start()
        self.gossip.run_on(self.timers)
        self.config.run_on(self.timers)
        self.admission.start()
        self.limits.start()
        self.canceller.start()
        self.ledger.start()
        self.front.start()
        self.operators.start(self.timers)
        _log.info("started", instance=self.settings.instance_id, http_port=self.front.port)

    def run(self) -> int:
        """Serves until SIGTERM, SIGINT or an invariant violation, then shuts down gracefully.

        Returns:
            The exit status: 1 after an invariant violation, otherwise 0.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop_requested.set())
        self.start()
        wait_for_signal(self._stop_requested)
        self.stop()
        return 1 if self._failed else 0

    def stop(self) -> None:
        """Shuts down gracefully.

        The router announces that it leaves, but still accepts requests for `address_ttl_s`, because
        callers may have cached its address. It then refuses new requests, waits up to
        `request_timeout_s` for those in flight, releases the shards of the ledger and stops all
        components.
        """
        _log.info("stopping", in_flight=self.front.active())
        self.gossip.leave()
        time.sleep(self.settings.address_ttl_s)
        self.front.refuse_new_requests()
        deadline = time.monotonic() + self.settings.request_timeout_s
        while not self.front.is_drained() and time.monotonic() < deadline:
            time.sleep(_DRAIN_POLL_INTERVAL_S)
        if not self.ledger.drain(self.settings.request_timeout_s):
            _log.warning("ledger_shards_not_released")
        self.front.stop()
        self.operators.stop()
        self.ledger.stop()
        self.canceller.stop()
        self.limits.stop()
        self.admission.stop()
        self.config.stop()
        self.gossip.stop()
        self.peer_server.stop()
        self.peers.close()
        self.background.shutdown(wait=False, cancel_futures=True)
        self.timers.stop()
        _log.info("stopped")

    def _create_admission(self) -> AdmissionTask:
        parts = AdmissionParts(
            config=self.config,
            membership=self.gossip,
            peers=self.peers,
            engines=self._engines,
            platform=self._platform,
            timers=self.timers,
            metrics=self.metrics,
        )
        return AdmissionTask(self.settings, parts, self._on_invariant_violation)

    def _create_ledger(self) -> LedgerTask:
        clock = Clock()
        return LedgerTask(
            self.settings.ledger_shards,
            LedgerPolicy(window_s=self.settings.ledger_window_s),
            self.gossip,
            self._platform,
            Dispatcher(self.config, self.admission, self._services, self.peers, clock),
            self.timers,
            self.metrics,
            self._on_invariant_violation,
        )

    def _create_front(self) -> HttpFront:
        budgets = RetryBudgets(self.metrics)
        return HttpFront(
            self.settings,
            FrontParts(
                config=self.config,
                limits=self.limits,
                relay=ChatRelay(
                    self.config,
                    self.admission,
                    self._engines,
                    self.canceller,
                    budgets,
                    self.metrics,
                ),
                services=ServiceRelay(self.admission, self._services, budgets),
                keyed=self.keyed,
                directory=MemberDirectory(self.gossip),
                metrics=self.metrics,
                can_serve=self.threads.can_serve,
            ),
        )

    def _create_operator_services(self) -> OperatorServices:
        self.config_writer = PlatformConfigWriter(
            self._platform,
            self.config.current,
            self.config.changes_since,
            self.config.accept,
            self.metrics,
            self.background,
        )
        self.config.subscribe_lost_changes(
            lambda: self.background.submit(self.config_writer.restore_lost_changes)
        )
        parts = DriverParts(
            store=PlanStore(self._platform),
            config=self.config,
            writer=self.config_writer,
            engines=self._engines,
            inspector=PeerPoolInspector(self.admission, self.config, self.peers),
            membership=self.gossip,
            metrics=self.metrics,
        )
        return OperatorServices(
            self.settings, parts, self.gossip.process_id(), self._on_invariant_violation
        )

    def _on_invariant_violation(self) -> None:
        self._failed = True
        self._stop_requested.set()
