"""Deterministic simulation of keyed calls in one process, on virtual time.

Each blocking call runs on a separate thread, but only one thread runs at any moment and the
scheduler chooses it in a fixed order, so every run is identical. The routers run the real
`LedgerTask` and `KeyedRouter`; only time, the platform, the back end and the network are fakes.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from attrs import define, evolve, field

from sequoiadrum._ledger_types import CallKind
from sequoiadrum.clock import Clock
from sequoiadrum.ledger_task import AskShard, LedgerTask
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.timers import Subscription, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.interfaces import KeyedCalls
    from sequoiadrum.tasks import Task

UNIX_EPOCH_MS: Final = 1_700_000_000_000
"""Unix time at which virtual time starts."""


class _Aborted(BaseException):
    """Ends the thread of an actor when the simulation is closed."""


class Actor:
    """Blocking work of one router, on a separate thread."""

    def __init__(self, sim: Sim, router: SimRouter, work: Callable[[], object]) -> None:
        self.router: Final = router
        self.attempt = ""
        """Id of the request that this actor handles."""

        self.ready: Callable[[], bool] = lambda: True
        self.wake_at = 0.0
        self.is_finished = False
        self._sim = sim
        self._work = work
        self._turn = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()

    def run(self) -> None:
        """Runs the actor until it blocks or finishes; called by the scheduler."""
        self._turn.release()
        self._sim.turn_returned.acquire()

    def block(self, ready: Callable[[], bool], timeout_s: float) -> None:
        """Returns control to the scheduler until the condition holds or the timeout expires."""
        self.ready = ready
        self.wake_at = self._sim.now + max(0.0, timeout_s)
        self._sim.call_later(max(0.0, timeout_s), lambda: None)
        self._sim.turn_returned.release()
        self._await_turn()

    def close(self) -> None:
        """Ends and joins the thread of the actor once the simulation is closed."""
        if not self.is_finished:
            self.run()
        self._thread.join()

    def _main(self) -> None:
        try:
            self._await_turn()
            self._work()
        except _Aborted:
            pass
        finally:
            self.is_finished = True
            self._sim.turn_returned.release()

    def _await_turn(self) -> None:
        self._turn.acquire()
        if self._sim.is_closed:
            raise _Aborted


class Sim:
    """Scheduler that holds virtual time, the actors, the routers and the fault to inject."""

    def __init__(self) -> None:
        self.now = 0.0
        self.is_closed = False
        self.turn_returned = threading.Semaphore(0)
        self.current: Actor | None = None
        self.routers: list[SimRouter] = []
        self.armed_step = ""
        self.inject: Callable[[], None] = lambda: None
        self.is_fault_injected = False
        self._actors: list[Actor] = []
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedules an action after a delay of virtual time."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._sequence), action))

    def spawn(self, router: SimRouter, work: Callable[[], object]) -> None:
        """Starts an actor that runs blocking work of a router."""
        self._actors.append(Actor(self, router, work))

    def block(self, ready: Callable[[], bool], timeout_s: float) -> None:
        """Blocks the current actor; it also stays blocked while its router is not running."""
        assert self.current is not None
        self.current.block(ready, timeout_s)

    def pause(self, seconds: float) -> None:
        """Blocks the current actor for a time; 0 blocks it only while its router is not running."""
        self.block(lambda: False, seconds)

    def reach_step(self, step: str) -> bool:
        """Reports that a call reached a step; injects the fault if it is armed for this step.

        Returns:
            Whether this call injected the fault.
        """
        if self.is_fault_injected or step != self.armed_step:
            return False
        self.is_fault_injected = True
        self.inject()
        return True

    def run(self, until: float) -> None:
        """Runs all actors and scheduled actions up to a virtual time, in seconds."""
        while True:
            if self._run_ready():
                continue
            if not self._heap or self._heap[0][0] > until:
                return
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def close(self) -> None:
        """Ends the threads of all actors."""
        self.is_closed = True
        for actor in self._actors:
            actor.close()

    def _run_ready(self) -> bool:
        progressed = False
        for actor in list(self._actors):
            due = actor.ready() or self.now >= actor.wake_at
            if not actor.is_finished and actor.router.is_running and due:
                self.current = actor
                actor.run()
                self.current = None
                progressed = True
        self._actors = [actor for actor in self._actors if not actor.is_finished]
        for router in self.routers:
            progressed = router.handle_messages() or progressed
        return progressed


@define(eq=False)
class SimRouter:
    """One simulated router process."""

    sim: Sim
    id: str
    is_running: bool = True
    is_killed: bool = False
    is_platform_unreachable: bool = False
    is_service_unreachable: bool = False
    drops_write_responses: bool = False
    """Whether every second write to the platform takes effect without a response."""
    task: SimTask | None = None
    calls: KeyedCalls | None = None
    peer_handler: Any = None
    view: dict[str, Member] = field(factory=dict)

    def handle_messages(self) -> bool:
        """Handles the messages in the mailbox of the task; returns whether there were any."""
        progressed = False
        while self.task is not None and self.is_running and self.task.messages:
            if is_run_request(self.task.messages[0]) and self.id == self.sim.routers[0].id:
                self.sim.reach_step("before claim")
                if not self.is_running:
                    break
            self.task.handle(self.task.messages.pop(0))
            progressed = True
        return progressed

    def set_member_state(self, router_id: str, state: MemberState) -> None:
        """Sets the state of a router in the membership view of this router."""
        self.view = {**self.view, router_id: evolve(self.view[router_id], state=state)}


def is_run_request(message: object) -> bool:
    """Returns whether a message asks the ledger to run a call."""
    return isinstance(message, AskShard) and message.call.kind is CallKind.RUN


class SimTask(LedgerTask):
    """The real ledger task, run by the scheduler instead of its thread."""

    messages: list[object]

    def post(self, message: object) -> bool:
        """See `Task.post`."""
        self.messages.append(message)
        return True

    def handle(self, message: object) -> None:
        """Handles one message as the thread of the task would."""
        self._handle(message)


@define(eq=False)
class SimClock(Clock):
    """Clock that reads virtual time."""

    sim: Sim

    def now(self) -> float:
        """See `Clock.now`."""
        return self.sim.now

    def unix_ms(self) -> int:
        """See `Clock.unix_ms`."""
        return UNIX_EPOCH_MS + int(self.sim.now * 1e3)

    def wait(self, future: Future[Any], timeout_s: float) -> Any:
        """See `Clock.wait`."""
        self.sim.block(future.done, timeout_s)
        if not future.done():
            raise FutureTimeoutError
        return future.result()

    def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        self.sim.pause(seconds)


class SimTimers(TimerService):
    """Timers that expire on virtual time."""

    def __init__(self, sim: Sim) -> None:
        self._sim = sim

    def subscribe(self, task: Task, interval_s: float, message: object) -> Subscription:
        """See `TimerService.subscribe`."""

        def post_and_reschedule() -> None:
            task.post(message)
            self._sim.call_later(interval_s, post_and_reschedule)

        self._sim.call_later(interval_s, post_and_reschedule)
        return Subscription(task, message, interval_s)

    def schedule(self, task: Task, delay_s: float, message: object) -> Subscription:
        """See `TimerService.schedule`."""
        self._sim.call_later(delay_s, partial(task.post, message))
        return Subscription(task, message, None)


@define(eq=False)
class SimExecutor(Executor):
    """Executor that runs each job as an actor; its futures never complete."""

    sim: Sim
    router: SimRouter

    def submit(self, job: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """See `Executor.submit`."""
        self.sim.spawn(self.router, lambda: job(*args, **kwargs))
        return Future()


@define(eq=False)
class SimMembers(MembershipSource):
    """Membership view of one router."""

    router: SimRouter

    def self_id(self) -> str:
        """See `MembershipSource.self_id`."""
        return self.router.id

    def members(self) -> Mapping[str, Member]:
        """See `MembershipSource.members`."""
        return self.router.view

    def subscribe(self, task: Task) -> None:
        """See `MembershipSource.subscribe`."""

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """See `MembershipSource.broadcast`."""


def make_member(number: int, router_id: str) -> Member:
    """Returns the member entry of a simulated router; its port is its index in `Sim.routers`."""
    return Member(
        router_id, "127.0.0.1", number, number, "d1", "r", 100 + number, 0, MemberState.ALIVE
    )
