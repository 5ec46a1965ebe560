"""Composition root of a gateway: creates, connects, starts and stops its parts."""

from __future__ import annotations

import logging
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING, Final, TextIO

from attrs import asdict, frozen

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
from sequoiadrum.gateway.convictions import ConvictionStore
from sequoiadrum.gateway.crash_reports import CrashReports
from sequoiadrum.gateway.crash_watch import CrashWatch
from sequoiadrum.gateway.evacuation_sync import EvacuationSync
from sequoiadrum.gateway.evacuations import Evacuations
from sequoiadrum.gateway.event_log import EventLog
from sequoiadrum.gateway.exchange import EndpointConnections
from sequoiadrum.gateway.fleet import (
    PeerEventTask,
    RouterDirectory,
    StoreInstanceList,
    create_member_server,
)
from sequoiadrum.gateway.front import ServerGroup
from sequoiadrum.gateway.homes import HomeRegions
from sequoiadrum.gateway.load_exchange import LoadExchangeTask
from sequoiadrum.gateway.memory_budget import ResponseMemory, budget_of
from sequoiadrum.gateway.mirror import Mirror
from sequoiadrum.gateway.pause_detector import PauseDetector
from sequoiadrum.gateway.peer_feed import PeerFeed, PeerResponder
from sequoiadrum.gateway.pool import EndpointPool
from sequoiadrum.gateway.relay import Relay
from sequoiadrum.gateway.requests_in_flight import RequestsInFlight
from sequoiadrum.gateway.settings_watch import SettingsWatch
from sequoiadrum.gateway.stop_plan import Shutdown, StopPlan
from sequoiadrum.gateway.store_sync import ConfigSync, EndpointSync, StoreAvailability
from sequoiadrum.gateway.where import WhereExplainer
from sequoiadrum.gossip_task import GossipTask
from sequoiadrum.messages import Address
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.supervised_thread import ThreadMonitor
from sequoiadrum.timers import TimerService

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

    from returns.result import Result

    from sequoiadrum.gateway.ports import DirectoryCodec, DocumentDecoder, HeaderCodec, Store
    from sequoiadrum.gateway.settings import GatewaySettings
    from sequoiadrum.gateway.store_sync import KindSync

MAX_FIRST_LISTS_S: Final = 0.3
"""Longest wait for the configuration and the endpoints before callers are served; the store usually
responds in a few milliseconds."""
_FIRST_LISTS_POLL_S: Final = 0.005
_POLL_INTERVAL_S: Final = 0.1

_waitress_log = logging.getLogger("waitress")


@frozen
class Adapter:
    """Implementations that connect a gateway to the platform on which it runs."""

    header_codec: HeaderCodec
    directory: DirectoryCodec
    documents: DocumentDecoder
    store: Callable[[Metrics], Store]
    """Creates the client of the store."""
    load_settings: Callable[[], Result[GatewaySettings, str]]
    """Reads the settings; a failure describes the problem."""


class Gateway:
    """A gateway process with its servers, background tasks and state."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        output: TextIO = sys.stdout,
        listeners: Mapping[Address, socket.socket] | None = None,
    ) -> None:
        """Creates all parts and binds all ports.

        Args:
            settings: Settings to start with.
            adapter: Connects the gateway to the platform.
            output: Stream to which log lines are written.
            listeners: Listening sockets that are open already; others are opened here.

        Raises:
            OSError: An address is in use or not local.
        """
        self.settings = settings
        """The current settings; changed ports and addresses take effect only in a new process."""
        self.metrics: Final = Metrics()
        self.log: Final = EventLog(settings.instance_id, self.metrics, output)
        self.threads: Final = ThreadMonitor(self.metrics)
        self.timers: Final = TimerService(self.metrics)
        self._stop_requested = threading.Event()
        self._stop_requested_at: float | None = None
        """Monotonic seconds of the stop signal."""
        self._failed = False
        self._is_killed = False
        self._store = adapter.store(self.metrics)
        self.store_availability: Final = StoreAvailability(self.log, self.metrics)
        self._instances = StoreInstanceList(self._store, settings, self.metrics, self.log)
        self._peers = ThriftPeerClient(self.metrics)
        self.gossip: Final = GossipTask(
            settings,
            self._instances,
            self._peers,
            self.metrics,
            self._invariant_broken,
            raises_process_id=True,
        )
        self.gossip.set_http_port(settings.http_port)
        self.directory: Final = RouterDirectory(self.gossip, settings)
        peer_feed = PeerFeed(self.gossip, self._peers, self.metrics, self.log)
        self.configuration: Final = ConfigurationHolder(
            self._store,
            adapter.documents,
            self.gossip.announce_revision,
            peer_feed,
            self.metrics,
            self.log,
        )
        self.crashes: Final = CrashReports(self.gossip.broadcast, self.metrics)
        self._convictions: Final = ConvictionStore(
            self._store,
            self.crashes,
            settings.instance_id,
            self.gossip.members,
            self.timers,
            self.metrics,
            self.log,
            self._invariant_broken,
        )
        self.store_availability.subscribe_restores(self._convictions.store_restored)
        pauses = PauseDetector(clock.now())
        self.peer_events: Final = PeerEventTask(
            settings.instance_id,
            self.crashes,
            self.configuration,
            self._instances,
            pauses,
            self.metrics,
            self.log,
            self._invariant_broken,
        )
        self.gossip.subscribe(self.peer_events)
        self.gossip.subscribe_revisions(self.peer_events)
        self.store_availability.subscribe_restores(self._instances.register_again)
        self.store_availability.subscribe_restores(self.peer_events.store_restored)
        self.evacuations: Final = (
            Evacuations() if settings.bounds.evacuation_s is not None else None
        )
        self.pool: Final = EndpointPool(settings.bounds, self.directory.count, self.evacuations)
        self._register_room_gauges()
        self._load_exchange = LoadExchangeTask(
            self.gossip,
            self.pool,
            settings.failure_domain,
            self.metrics,
            self._invariant_broken,
            may_have_peers=bool(settings.seed_hosts),
        )
        self.metrics.gauge("even_choice_active", lambda: float(self.pool.is_even()))
        self.metrics.gauge("endpoint_load_highest_multiple", self.pool.highest_load_multiple)
        self.metrics.gauge("cold_endpoints", lambda: float(self.pool.cold.count(clock.now())))
        self.connections: Final = EndpointConnections(adapter.header_codec)
        self._crash_watch: Final = CrashWatch(
            self.connections,
            self.pool,
            self.crashes,
            self.timers,
            self.metrics,
            self.log,
            self._invariant_broken,
        )
        mirror = Mirror()
        config_sync = ConfigSync(
            self._store,
            adapter.documents,
            self.configuration,
            mirror,
            peer_feed,
            self.store_availability,
            self.metrics,
            self.log,
        )
        endpoint_sync = EndpointSync(
            self._store,
            adapter.documents,
            self.pool,
            self.connections,
            mirror,
            peer_feed,
            self.store_availability,
            self.metrics,
            self.log,
        )
        evacuation_sync = (
            EvacuationSync(
                self._store,
                adapter.documents,
                self.evacuations,
                self.pool,
                mirror,
                peer_feed,
                self.store_availability,
                self.metrics,
                self.log,
            )
            if self.evacuations is not None
            else None
        )
        refreshed: list[KindSync] = [endpoint_sync]
        if evacuation_sync is not None:
            refreshed.append(evacuation_sync)
        self._syncs: Final[tuple[KindSync, ...]] = (config_sync, *refreshed)
        self.shutdown: Final = Shutdown()
        self.state: Final = ServingState(
            self.configuration,
            pauses,
            lambda since: all(sync.refresh(since) for sync in refreshed),
            self.shutdown,
            self.threads.can_serve,
            lambda: evacuation_sync is None or evacuation_sync.has_listed(),
        )
        self._in_flight: Final = RequestsInFlight(self.metrics, self.log)
        memory = ResponseMemory(budget_of(settings.memory_mb).response_bytes)
        self.metrics.gauge("response_bytes_held", lambda: float(memory.used()))
        relay = Relay(
            adapter.header_codec,
            self.pool,
            self.connections,
            self.crashes,
            self._crash_watch,
            self._load_exchange,
            settings.failure_domain,
            HomeRegions(settings.region_by_domain),
            self._in_flight,
            memory,
            self.shutdown,
            self.metrics,
            self.log,
        )
        self.servers: Final = self._create_servers(adapter, relay, listeners or {})
        self._settings_watch = SettingsWatch(
            adapter.load_settings, settings, self._apply_settings, self.metrics, self.log
        )
        self._peer_server = create_member_server(
            self.gossip,
            PeerResponder(mirror, self.configuration),
            self.metrics,
            settings,
        )
        self.threads.add(
            self.log.thread,
            self.timers.thread,
            *(sync.thread for sync in self._syncs),
            self.servers.thread,
            self._peer_server.thread,
            self.peer_events.thread,
            self._load_exchange.thread,
            self._convictions.thread,
            self._crash_watch.thread,
            self.gossip.thread,
            self.gossip.reader,
            self._instances.thread,
            self._settings_watch.thread,
        )

    def start(self) -> None:
        """Starts the servers, tasks and threads."""
        self.log.start()
        # The event log records failed requests; waitress would write tracebacks to standard error.
        _waitress_log.setLevel(logging.CRITICAL)
        self.log.notable("started", version=__version__, settings=asdict(self.settings))
        self.timers.start()
        self._convictions.run()
        self._crash_watch.start()
        for sync in self._syncs:
            sync.start()
        self._wait_for_first_lists()
        self.servers.start()
        self._peer_server.start()
        self.peer_events.run_on(self.timers)
        self._load_exchange.run_on(self.timers)
        self.gossip.run_on(self.timers)
        self._instances.start()
        self._settings_watch.start()

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully; SIGHUP reloads the settings.

        Returns:
            The exit status: 1 after a broken invariant, otherwise 0.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self._settings_watch.request())
        self.start()
        wait_for_signal(self._stop_requested)
        self.stop()
        # The interpreter removes Python handlers when it exits, and SIGHUP would then kill the
        # process; an ignored signal stays ignored.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return 1 if self._failed else 0

    def stop(self) -> None:
        """Shuts down gracefully and returns when all parts are stopped.

        Leaves the fleet and its directory, serves callers that have cached the address of this
        router, and waits for requests in flight, all within the grace period. Shortly before its
        end, requests whose response has not begun are answered without their endpoint.
        """
        # The grace period runs from the signal, even if it is noticed late.
        started_at = clock.now() if self._stop_requested_at is None else self._stop_requested_at
        plan = StopPlan(started_at, self.settings.bounds.stop_grace_s)
        self.shutdown.plan = plan
        self.log.notable("stopping", in_flight=self.servers.active())
        self.gossip.leave()
        self._instances.withdraw()
        while not plan.can_drain(self.servers.active(), DIRECTORY_LIFETIME_S, clock.now()):
            time.sleep(_POLL_INTERVAL_S)
        # Between the last check and the end, callers may send requests on open connections.
        is_drained = self.servers.drain(plan.drain_s(clock.now()))
        cut = self._in_flight.record_cut(plan.started_at)
        self.log.notable("stopped", in_flight=self.servers.active(), is_drained=is_drained, cut=cut)
        # The process may be killed before all its parts are stopped.
        self.log.flush_soon()
        self.kill()

    def kill(self) -> None:
        """Stops all parts immediately, even with requests in flight; later calls do nothing."""
        if self._is_killed:
            return
        self._is_killed = True
        self._settings_watch.stop()
        for sync in self._syncs:
            sync.stop()
        self.gossip.stop()
        self._load_exchange.stop()
        self.peer_events.stop()
        self._convictions.stop()
        self._crash_watch.stop()
        self._peer_server.stop()
        self._peers.close()
        self.timers.stop()
        self.servers.stop()
        self.log.stop()

    def _wait_for_first_lists(self) -> None:
        """Waits briefly for the state of the store; callers wait in the backlog meanwhile."""
        serve_from = clock.now() + MAX_FIRST_LISTS_S
        while clock.now() < serve_from and not self._stop_requested.is_set():
            if all(sync.has_listed() for sync in self._syncs):
                return
            time.sleep(_FIRST_LISTS_POLL_S)

    def _register_room_gauges(self) -> None:
        rooms = self.pool.rooms
        gauge = self.metrics.labelled_gauge
        gauge("room_slots", "service", lambda: {s: r.slots for s, r in rooms().items()})
        gauge("room_taken", "service", lambda: {s: r.taken for s, r in rooms().items()})
        gauge("room_queued", "service", lambda: {s: r.queued for s, r in rooms().items()})
        gauge("room_own_part", "service", self.pool.own_parts)

    def _create_servers(
        self, adapter: Adapter, relay: Relay, opened: Mapping[Address, socket.socket]
    ) -> ServerGroup:
        listeners = self.settings.listeners
        servers = ServerGroup(
            self.settings.max_descriptors,
            self.settings.memory_mb,
            self.metrics,
            opened,
            self.configuration.caller_limits,
            self.log.notable,
        )
        callers = CallerApp(
            adapter.header_codec, self.configuration, relay, self.state, self.metrics, self.log
        )
        control = ControlApp(adapter.directory, self.state, self.directory, self.metrics)
        servers.add_callers(callers, listeners.callers)
        servers.add_control(control, listeners.readiness)
        servers.add_control(control, listeners.directory)
        where = WhereExplainer(
            self.configuration,
            self.pool,
            HomeRegions(self.settings.region_by_domain),
            self.settings.instance_id,
            self.settings.failure_domain,
        )
        operators = ControlApp(adapter.directory, self.state, self.directory, self.metrics, where)
        servers.add_control(operators, Address(self.settings.host, self.settings.metrics_port))
        return servers

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.pool.set_bounds(settings.bounds)

    def _invariant_broken(self) -> None:
        self._failed = True
        self._request_stop()

    def _request_stop(self) -> None:
        if self._stop_requested_at is None:
            self._stop_requested_at = clock.now()
        self._stop_requested.set()
