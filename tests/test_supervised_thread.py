"""Tests of `supervised_thread`, and of all threads that run for as long as a process."""

from __future__ import annotations

import http.client
import socket
import threading
import time
import unittest
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any
from unittest import mock

from sequoiadrum import supervised_thread
from sequoiadrum.app import Router
from sequoiadrum.gateway import fleet, front
from sequoiadrum.logs import REPEATED_LINES
from sequoiadrum.metrics import Metrics
from sequoiadrum.supervised_thread import SupervisedThread, ThreadMonitor
from tests.builders import a_settings
from tests.gateway.scripted_endpoint import ScriptedEndpoint, ok
from tests.gateway.world import World, config_document, eventually

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.tasks import Task


class _Work:
    """Work that fails a number of times, then runs until it is stopped."""

    def __init__(self, failures: int, error: BaseException | None = None) -> None:
        self._failures = failures
        self._error = error
        self.runs = 0
        self.ended = threading.Event()
        self.is_running = threading.Event()

    def run(self) -> None:
        self.runs += 1
        if self.runs <= self._failures:
            if self._error is not None:
                raise self._error
            return
        self.is_running.set()
        self.ended.wait()


class SupervisedThreadTest(unittest.TestCase):
    """A thread goes on after failures, and says when it cannot."""

    def setUp(self) -> None:
        self.metrics = Metrics()
        self.log = self.enterContext(mock.patch.object(supervised_thread, "_log"))
        self.enterContext(mock.patch.object(supervised_thread, "MIN_RESTART_DELAY_S", 0.001))
        self.enterContext(mock.patch.object(supervised_thread, "MAX_RESTART_DELAY_S", 0.01))

    def _start(self, work: _Work, is_needed: bool = True) -> SupervisedThread:
        thread = SupervisedThread("t", work.run, self.metrics, is_needed=is_needed)

        def stop() -> None:
            thread.stop()
            work.ended.set()
            thread.join(10)

        self.addCleanup(stop)
        thread.start()
        return thread

    def _failures(self) -> float:
        return self.metrics.value("thread_failures_total", thread="t")

    def test_failed_work_starts_again(self) -> None:
        """Guards against a thread that ends with an exception, or without one, and stays away."""
        for error in (ValueError("bad"), SystemExit(1), MemoryError(), None):
            with self.subTest(repr(error)):
                before = self._failures()
                work = _Work(2, error)
                thread = self._start(work)
                self.assertTrue(work.is_running.wait(10))
                self.assertTrue(thread.is_alive())
                self.assertFalse(thread.is_failing())
                self.assertEqual(self._failures() - before, 2)

    def test_failure_is_logged_with_its_traceback(self) -> None:
        """Guards against a failure of which only the type is known."""
        work = _Work(1, ValueError("the reason"))
        self._start(work)
        self.assertTrue(work.is_running.wait(10))
        detail = self.log.error.call_args.kwargs["detail"]
        self.assertIn("the reason", detail)
        self.assertIn("in run", detail)

    def test_lines_are_limited(self) -> None:
        """Guards against a log that a thread fills which fails again and again."""
        work = _Work(2 * REPEATED_LINES, ValueError())
        self._start(work)
        self.assertTrue(work.is_running.wait(30))
        self.assertEqual(self.log.error.call_count, REPEATED_LINES)
        self.assertEqual(self._failures(), 2 * REPEATED_LINES)

    def test_failing_log_does_not_end_the_thread(self) -> None:
        """Guards against a thread that ends because its failure cannot be logged."""
        self.log.error.side_effect = OSError()
        work = _Work(2, ValueError())
        self._start(work)
        self.assertTrue(work.is_running.wait(10))

    def test_process_is_not_ready_while_the_work_cannot_be_kept_running(self) -> None:
        """Guards against a process that takes requests without a thread that they need."""
        for is_needed in (True, False):
            with self.subTest(is_needed):
                work = _Work(1_000_000, ValueError())
                thread = self._start(work, is_needed)
                monitor = ThreadMonitor(self.metrics)
                monitor.add(thread)
                eventually(thread.is_failing, "the thread is failing")
                self.assertEqual(monitor.failing(), ["t"])
                self.assertEqual(self.metrics.snapshot()["sequoiadrum_threads_failing"], 1.0)
                self.assertEqual(monitor.can_serve(), not is_needed)

    def test_thread_that_runs_again_is_sound_after_a_while(self) -> None:
        """Guards against a process that stays out of service after a failure that has passed."""
        work = _Work(4, ValueError())
        thread = self._start(work)
        self.assertTrue(work.is_running.wait(10))
        self.assertTrue(thread.is_failing())
        with mock.patch.object(supervised_thread, "STABLE_RUN_S", 0.0):
            self.assertFalse(thread.is_failing())

    def test_stop_ends_the_pause(self) -> None:
        """Guards against a stop that waits for the next try of a failing thread."""
        with mock.patch.object(supervised_thread, "MIN_RESTART_DELAY_S", 60.0):
            with mock.patch.object(supervised_thread, "MAX_RESTART_DELAY_S", 60.0):
                thread = self._start(_Work(9, ValueError()))
                eventually(lambda: self._failures() == 1, "the work failed")
                thread.stop()
                thread.join(10)
        self.assertFalse(thread.is_alive())
        self.assertFalse(thread.is_failing())


class _Fault:
    """Makes the first call of a method in one thread raise, and counts its later calls there."""

    def __init__(self, thread: str, owner: Any, method: str) -> None:
        self._thread = thread
        self._original = getattr(owner, method)
        self._patch = mock.patch.object(owner, method, self._call)
        self.has_raised = False
        self.later_calls = 0

    def __enter__(self) -> _Fault:
        self._patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._patch.stop()

    def _call(self, *args: Any, **options: Any) -> Any:
        if threading.current_thread().name == self._thread:
            if not self.has_raised:
                self.has_raised = True
                raise LookupError("injected")
            self.later_calls += 1
        return self._original(*args, **options)


class _ThreadsTest(unittest.TestCase):
    """Base of the tests that make each thread of a process fail."""

    def setUp(self) -> None:
        self._other_threads = set(threading.enumerate())

    def _started_threads(self) -> list[str]:
        """Returns the names of the supervised threads that this test has started."""
        started = set(threading.enumerate()) - self._other_threads
        targets = [getattr(thread, "_target", None) for thread in started]
        owners = [getattr(target, "__self__", None) for target in targets]
        return sorted(owner.name for owner in owners if isinstance(owner, SupervisedThread))

    def fail_each(
        self,
        monitor: ThreadMonitor,
        metrics: Metrics,
        faults: dict[str, tuple[Any, str, Callable[[], object]]],
    ) -> None:
        """Fails each thread once and waits until its work goes on.

        Args:
            monitor: Knows the threads, each of which needs an entry in `faults`.
            metrics: Counts the failures.
            faults: Object and method that raises in the thread, and what causes its call.
        """
        self.assertEqual(sorted(t.name for t in monitor.threads()), sorted(faults))
        self.assertEqual(self._started_threads(), sorted(faults))
        for name, (owner, method, cause) in faults.items():
            with self.subTest(name), _Fault(name, owner, method) as fault:
                deadline = time.monotonic() + 20
                while not fault.later_calls and time.monotonic() < deadline:
                    cause()
                    time.sleep(0.02)
                self.assertTrue(fault.has_raised)
                self.assertGreater(fault.later_calls, 0)
                self.assertEqual(metrics.value("thread_failures_total", thread=name), 1)
                self.assertTrue(all(t.is_alive() for t in monitor.threads()))
        self.assertTrue(monitor.can_serve())

    def fault_of_task(self, task: Task) -> tuple[Any, str, Callable[[], object]]:
        """Returns the fault of a task, caused by any message."""
        return task._mailbox, "get", lambda: task.post(_probe(task))


class _Probe:
    """A message that does nothing."""


def _probe(task: Task) -> _Probe:
    task._handlers[_Probe] = lambda _: None
    return _Probe()


def _nothing() -> None:
    return


def _connect(port: int) -> None:
    socket.create_connection(("127.0.0.1", port), 5).close()


def _send_datagram(port: int) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"x", ("127.0.0.1", port))


class GatewayThreadsTest(_ThreadsTest):
    """The threads of a gateway."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World()
        self.addCleanup(self.world.stop)
        self.world.start()
        self.world.add("e1", ScriptedEndpoint(ok))

    def test_work_of_each_thread_goes_on(self) -> None:
        """Guards against a thread that ends without anyone knowing."""
        gateway, store = self.world.gateway, self.world.store
        self.enterContext(mock.patch.object(fleet, "REGISTRATION_SPREAD_S", 0.0))
        config_sync, endpoint_sync = gateway._syncs
        peers = gateway._peer_server

        def register_other() -> None:
            store.put("servers", "other", {"n": time.monotonic()})

        self.fail_each(
            gateway.threads,
            gateway.metrics,
            {
                "event-log": (gateway.log, "_flush", _nothing),
                "timers": (gateway.timers, "_expire", _nothing),
                "sync-config": (config_sync._mirror, "apply_events", self._write_config),
                "sync-servers": (endpoint_sync._mirror, "apply_events", register_other),
                "front": (front.wasyncore, "loop", lambda: _connect(self.world.ports[0])),
                "peer": (peers._executor, "submit", lambda: _connect(peers.port)),
                "gossip-read": (
                    gateway.gossip,
                    "post",
                    lambda: _send_datagram(self.world.ports[4]),
                ),
                "register": (
                    gateway._instances,
                    "_register",
                    gateway._instances.register_again,
                ),
                "settings": (gateway._settings_watch, "check", gateway._settings_watch.request),
                **{
                    task.name: self.fault_of_task(task)
                    for task in (
                        gateway.peer_events,
                        gateway._load_exchange,
                        gateway._convictions,
                        gateway._crash_watch,
                        gateway.gossip,
                    )
                },
            },
        )
        self._check_service()

    def _write_config(self) -> None:
        version = self.world.gateway.configuration.version() + 1
        self.world.store.put("config", "main", config_document(version))

    def _check_service(self) -> None:
        """Checks that changes still arrive, and that requests are served."""
        self.world.add("e2", ScriptedEndpoint(ok))
        configuration = self.world.gateway.configuration
        version = configuration.version()
        self._write_config()
        eventually(lambda: configuration.version() > version, "the new version is in force")
        self.assertEqual(self.world.call("/read/x")[0], 200)
        self.assertEqual(self.world.ask_control(1, "/ready")[0], 200)

    def test_changes_that_a_failed_run_did_not_apply_are_applied(self) -> None:
        """Guards against a change that is known, never applied, and never sent again."""
        pool, sync = self.world.gateway.pool, self.world.gateway._syncs[1]
        with _Fault("sync-servers", sync, "_apply_change") as fault:
            self.world.store.delete("servers", "e1")
            eventually(lambda: fault.has_raised, "the change failed")
        self.assertTrue(pool.can_route_to("e1"))
        with _Fault("sync-servers", sync._mirror, "apply_events") as fault:
            self.world.register("e3", self.world.endpoints["e1"].address)
            eventually(lambda: fault.has_raised, "the thread failed")
        eventually(lambda: not pool.can_route_to("e1"), "the removal is applied")
        eventually(lambda: pool.can_route_to("e3"), "the registration is applied")

    def test_connection_without_a_thread_costs_only_itself(self) -> None:
        """Guards against a server for peers that ends when no thread can be started."""
        server, metrics = self.world.gateway._peer_server, self.world.gateway.metrics
        error = RuntimeError("can't start new thread")
        with mock.patch.object(server._executor, "submit", side_effect=error):
            _connect(server.port)
            refused = "connections_refused_total"
            eventually(lambda: metrics.value(refused, channel="peer") == 1, "it is refused")
        self.assertFalse(server._open_connections)
        _connect(server.port)
        eventually(lambda: not server._open_connections, "the next one was served")
        self.assertTrue(server.thread.is_alive())
        self.assertEqual(metrics.value("thread_failures_total", thread="peer"), 0)

    def test_one_failing_entry_costs_no_other_one(self) -> None:
        """Guards against changes of one batch that are lost beside one that fails."""
        sync, pool = self.world.gateway._syncs[1], self.world.gateway.pool
        original = sync._documents.decode_endpoint

        def decode(item: Any) -> Any:
            if item.name == "bad":
                raise LookupError("injected")
            return original(item)

        with mock.patch.object(type(sync._documents), "decode_endpoint", staticmethod(decode)):
            self.world.register("bad", self.world.endpoints["e1"].address)
            self.world.add("e2", ScriptedEndpoint(ok))
        self.assertFalse(pool.can_route_to("bad"))
        metrics = self.world.gateway.metrics
        self.assertGreaterEqual(metrics.value("entry_failures_total", kind="servers"), 1)
        self.assertEqual(metrics.value("thread_failures_total", thread="sync-servers"), 0)

    def test_router_without_a_needed_thread_is_not_ready(self) -> None:
        """Guards against callers that are sent to a router which no longer follows the store."""
        sync = self.world.gateway._syncs[1]
        with ExitStack() as stack:
            stack.enter_context(mock.patch.object(supervised_thread, "MAX_RESTART_DELAY_S", 0.1))
            stack.enter_context(mock.patch.object(sync._mirror, "changes", side_effect=OSError()))
            stack.enter_context(
                mock.patch.object(sync._mirror, "apply_events", side_effect=OSError())
            )
            self.world.store.put("servers", "x", {})
            eventually(lambda: self.world.ask_control(1, "/ready")[0] == 503, "not ready")
            self.assertIn("sync-servers", self.world.gateway.threads.failing())
        with mock.patch.object(supervised_thread, "STABLE_RUN_S", 0.2):
            eventually(lambda: self.world.ask_control(1, "/ready")[0] == 200, "ready again")


class RouterThreadsTest(_ThreadsTest):
    """The threads of a router with the product's own interface."""

    def test_work_of_each_thread_goes_on(self) -> None:
        """Guards against a thread that ends without anyone knowing."""
        router = Router(a_settings(address_ttl_s=0.0))
        router.start()
        self.addCleanup(router.stop)
        outbox = router.admission.outbox
        tasks: list[Task] = [
            router.gossip,
            router.config,
            router.admission,
            router.limits,
            router.canceller,
            router.ledger,
            router.operators.plans,
        ]
        peer, operator = router.peer_server, router.operators.server
        self.fail_each(
            router.threads,
            router.metrics,
            {
                "timers": (router.timers, "_expire", _nothing),
                "grant-outbox": (
                    outbox._condition,
                    "wait",
                    lambda: outbox.queue_report("r2", "pool", ids_only=False),
                ),
                "gossip-read": (
                    router.gossip,
                    "post",
                    lambda: _send_datagram(router.gossip.peer_port),
                ),
                "http-front": (
                    router.front.server,
                    "readable",
                    lambda: _connect(router.front.port),
                ),
                "peer": (peer._executor, "submit", lambda: _connect(peer.port)),
                "operator": (operator._executor, "submit", lambda: _connect(operator.port)),
                **{task.name: self.fault_of_task(task) for task in tasks},
            },
        )
        connection = http.client.HTTPConnection("127.0.0.1", router.front.port, timeout=10)
        self.addCleanup(connection.close)
        connection.request("GET", "/healthz")
        self.assertEqual(connection.getresponse().status, 200)


if __name__ == "__main__":
    unittest.main()
