"""The composition root of a gateway: wires its parts, starts and stops them."""

from __future__ import annotations

import logging
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING, Final, TextIO

from attrs import frozen

from sequoiadrum import __version__
from sequoiadrum._signals import wait_for_signal
from sequoiadrum.gateway import clock
from sequoiadrum.gateway.caller_app import (
    DIRECTORY_LIFETIME_S,
    CallerApp,
    ControlApp,
    ServingState,
)
from sequoiadrum.gateway.configuration import ConfigurationHolder
from sequoiadrum.gateway.crash_reports import CrashReports
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.exchange import EndpointConnections
from sequoiadrum.gateway.fleet import (
    PeerEventTask,
    RouterDirectory,
    StoreInstanceList,
    create_member_server,
)
from sequoiadrum.gateway.front import ServerGroup
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.peer_feed import PeerFeed, PeerResponder
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.relay import Relay
from sequoiadrum.gateway.settings_watch import SettingsWatch
from sequoiadrum.gateway.stop_plan import StopPlan
from sequoiadrum.gateway.store_sync import ConfigSync, EndpointSync, StoreAvailability
from sequoiadrum.gossip_task import GossipTask
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from sequoiadrum.gateway.ports import DirectoryCodec, DocumentDecoder, HeaderCodec, Store
    from sequoiadrum.gateway.settings import GatewaySettings

_POLL_S: Final = 0.1

_waitress_log = logging.getLogger("waitress")


@frozen
class Adapter:
    """What connects a gateway to the platform that it runs on."""

    header_codec: HeaderCodec
    directory: DirectoryCodec
    documents: DocumentDecoder
    store: Callable[[Metrics], Store]
    """Makes the client of the store."""
    load_settings: Callable[[], Result[GatewaySettings, str]]
    """Reads the settings again."""


class Gateway:
    """One running gateway."""

    def __init__(
        self, settings: GatewaySettings, adapter: Adapter, output: TextIO = sys.stdout
    ) -> None:
        """Binds all ports; the log goes to `output`.

        Raises:
            OSError: An address is in use or not local.
        """
        self.settings = settings
        """The settings in force; changes of ports and addresses need a new process."""
        self.metrics: Final = Metrics()
        self.log: Final = EventLog(settings.instance_id, self.metrics, output)
        self.timers: Final = TimerService()
        self._stop_requested = threading.Event()
        self._failed = False
        self._is_ended = False
        self._store = adapter.store(self.metrics)
        self._link = StoreAvailability(self.log, self.metrics)
        self._instances = StoreInstanceList(self._store, settings, self.log)
        self._peers = ThriftPeerClient(self.metrics)
        self.gossip: Final = GossipTask(
            settings,
            self._instances,
            self._peers,
            self.metrics,
            self._invariant_broken,
            outranks=True,
        )
        self.gossip.set_http_port(settings.http_port)
        self.directory: Final = RouterDirectory(self.gossip, settings)
        peer_feed = PeerFeed(self.gossip, self._peers, self.log)
        self.configuration: Final = ConfigurationHolder(
            self._store,
            adapter.documents,
            self.gossip.announce_revision,
            peer_feed,
            self.metrics,
            self.log,
        )
        self.crashes: Final = CrashReports(self.gossip.spread)
        self.news: Final = PeerEventTask(
            settings.instance_id,
            self.crashes,
            self.configuration,
            self._instances,
            self.metrics,
            self.log,
            self._invariant_broken,
        )
        self.gossip.subscribe(self.news)
        self.gossip.subscribe_revisions(self.news)
        self.pool: Final = EndpointPool(settings.bounds, self.directory.count)
        self.connections: Final = EndpointConnections(adapter.header_codec)
        self.state: Final = ServingState(self.configuration)
        mirror = Mirror()
        self._syncs = (
            ConfigSync(
                self._store,
                adapter.documents,
                self.configuration,
                mirror,
                peer_feed,
                self._link,
                self.log,
            ),
            EndpointSync(
                self._store,
                adapter.documents,
                self.pool,
                self.connections,
                mirror,
                peer_feed,
                self._link,
                self.metrics,
                self.log,
            ),
        )
        relay = Relay(
            adapter.header_codec,
            self.pool,
            self.connections,
            self.crashes,
            settings.failure_domain,
            self.metrics,
            self.log,
        )
        self.servers: Final = self._create_servers(adapter, relay)
        self._settings_watch = SettingsWatch(
            adapter.load_settings, settings, self._apply_settings, self.metrics, self.log
        )
        self._peer_server = create_member_server(
            self.gossip,
            PeerResponder(mirror, self.configuration),
            self.metrics,
            Address(settings.host, settings.peer_port),
        )

    def start(self) -> None:
        """Starts all parts."""
        self.log.start()
        # Failed requests have their own lines; waitress would write tracebacks to standard error.
        _waitress_log.setLevel(logging.CRITICAL)
        self.log.notable("started", version=__version__, settings=str(self.settings))
        self.timers.start()
        self.servers.start()
        for sync in self._syncs:
            sync.start()
        self._peer_server.start()
        self.news.run_on(self.timers)
        self.gossip.run_on(self.timers)
        self._instances.start()
        self._settings_watch.start()

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then stops as planned; gives the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: self._settings_watch.request())
        self.start()
        wait_for_signal(self._stop_requested)
        self.stop()
        # The interpreter drops other handlers at its end, and a reload would then kill it.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return 1 if self._failed else 0

    def stop(self) -> None:
        """Planned stop: leaves the directory, serves kept addresses out, finishes, then ends."""
        plan = StopPlan(clock.now(), self.settings.bounds.stop_grace_s)
        self.state.stop_plan = plan
        self.log.notable("stopping", in_flight=self.servers.active())
        self.gossip.leave()
        self._instances.withdraw()
        while not plan.can_exit(self.servers.active(), DIRECTORY_LIFETIME_S, clock.now()):
            time.sleep(_POLL_S)
        self.log.notable("stopped", in_flight=self.servers.active())
        self.kill()

    def kill(self) -> None:
        """Ends at once, with whatever is in work; doing so again changes nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        self._settings_watch.stop()
        for sync in self._syncs:
            sync.stop()
        self.gossip.stop()
        self.news.stop()
        self._peer_server.stop()
        self._peers.close()
        self.timers.stop()
        self.servers.stop()
        self.log.stop()

    def _create_servers(self, adapter: Adapter, relay: Relay) -> ServerGroup:
        listeners = self.settings.listeners
        servers = ServerGroup(self.settings.max_descriptors, self.metrics)
        callers = CallerApp(
            adapter.header_codec, self.configuration, relay, self.state, self.metrics, self.log
        )
        control = ControlApp(adapter.directory, self.state, self.directory, self.metrics)
        servers.add_callers(callers, listeners.callers)
        servers.add_control(control, listeners.readiness)
        servers.add_control(control, listeners.directory)
        servers.add_control(control, Address(self.settings.host, self.settings.metrics_port))
        return servers

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.pool.set_bounds(settings.bounds)

    def _invariant_broken(self) -> None:
        self._failed = True
        self._stop_requested.set()
