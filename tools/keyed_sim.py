"""Routers, platform, back end and callers of keyed calls in one process, on virtual time.

Each blocking call runs on a thread of its own, but only one thread runs at any moment and the
scheduler chooses it in a fixed order, so a run is the same every time. The routers run the real
`LedgerTask` and `KeyedRouter`; only time, the platform, the back end and the wires are fakes.
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
from sequoiadrum.interfaces import MembershipSource
from sequoiadrum.ledger_task import AskShard, LedgerTask
from sequoiadrum.messages import Member, MemberState
from sequoiadrum.timers import Subscription, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiadrum.interfaces import KeyedCalls
    from sequoiadrum.tasks import Task

UNIX_EPOCH_MS: Final = 1_700_000_000_000


class _Aborted(BaseException):
    """Ends the thread of an actor when the simulation is over."""


class Actor:
    """A blocking piece of work of one router."""

    def __init__(self, sim: Sim, router: SimRouter, work: Callable[[], object]) -> None:
        self.router: Final = router
        self.attempt = ""
        """Attempt that this actor dispatches."""
        self.ready: Callable[[], bool] = lambda: True
        self.wake_at = 0.0
        self.finished = False
        self._sim = sim
        self._work = work
        self._turn = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._thread.start()

    def run(self) -> None:
        """Lets the actor work until it blocks; called by the scheduler."""
        self._turn.release()
        self._sim.back.acquire()

    def block(self, ready: Callable[[], bool], timeout_s: float) -> None:
        """Gives the turn back until the condition holds or the time has passed."""
        self.ready = ready
        self.wake_at = self._sim.now + max(0.0, timeout_s)
        self._sim.at(max(0.0, timeout_s), lambda: None)
        self._sim.back.release()
        self._await_turn()

    def end(self) -> None:
        """Ends the thread of an actor that never gets a turn again."""
        if not self.finished:
            self.run()
        self._thread.join()

    def _main(self) -> None:
        try:
            self._await_turn()
            self._work()
        except _Aborted:
            pass
        finally:
            self.finished = True
            self._sim.back.release()

    def _await_turn(self) -> None:
        self._turn.acquire()
        if self._sim.over:
            raise _Aborted


class Sim:
    """The scheduler: virtual time, actors, routers and the armed fault."""

    def __init__(self) -> None:
        self.now = 0.0
        self.over = False
        self.back = threading.Semaphore(0)
        self.current: Actor | None = None
        self.routers: list[SimRouter] = []
        self.armed_step = ""
        self.inject: Callable[[], None] = lambda: None
        self.fired = False
        self._actors: list[Actor] = []
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._order = itertools.count()

    def at(self, delay_s: float, action: Callable[[], object]) -> None:
        """Does something later."""
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), action))

    def spawn(self, router: SimRouter, work: Callable[[], object]) -> None:
        """Starts blocking work on a router."""
        self._actors.append(Actor(self, router, work))

    def block(self, ready: Callable[[], bool], timeout_s: float) -> None:
        """Blocks the running actor; it stays blocked while its router does not run."""
        assert self.current is not None
        self.current.block(ready, timeout_s)

    def pause(self, seconds: float) -> None:
        """Blocks the running actor for a time; 0 blocks it only while its router does not run."""
        self.block(lambda: False, seconds)

    def point(self, step: str) -> bool:
        """Marks a step of the call; injects the fault when this step is the armed one."""
        if self.fired or step != self.armed_step:
            return False
        self.fired = True
        self.inject()
        return True

    def run(self, until: float) -> None:
        """Runs everything up to a time."""
        while True:
            if self._run_ready():
                continue
            if not self._heap or self._heap[0][0] > until:
                return
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def close(self) -> None:
        """Ends all threads."""
        self.over = True
        for actor in self._actors:
            actor.end()

    def _run_ready(self) -> bool:
        progressed = False
        for actor in list(self._actors):
            due = actor.ready() or self.now >= actor.wake_at
            if not actor.finished and actor.router.is_running and due:
                self.current = actor
                actor.run()
                self.current = None
                progressed = True
        self._actors = [actor for actor in self._actors if not actor.finished]
        for router in self.routers:
            progressed = router.handle_messages() or progressed
        return progressed


@define(eq=False)
class SimRouter:
    """One router process."""

    sim: Sim
    id: str
    is_running: bool = True
    is_killed: bool = False
    cut_platform: bool = False
    cut_service: bool = False
    loses_answers: bool = False
    """Whether each second write takes effect without an answer."""
    task: SimTask | None = None
    calls: KeyedCalls | None = None
    peer_handler: Any = None
    view: dict[str, Member] = field(factory=dict)

    def handle_messages(self) -> bool:
        """Handles what is in the mailbox of the task."""
        progressed = False
        while self.task is not None and self.is_running and self.task.messages:
            if is_submit(self.task.messages[0]) and self.id == self.sim.routers[0].id:
                self.sim.point("before claim")
                if not self.is_running:
                    break
            self.task.handle(self.task.messages.pop(0))
            progressed = True
        return progressed

    def mark(self, router_id: str, state: MemberState) -> None:
        """Changes what this router believes of another one."""
        self.view = {**self.view, router_id: evolve(self.view[router_id], state=state)}


def is_submit(message: object) -> bool:
    """Whether a message brings a call to be run."""
    return isinstance(message, AskShard) and message.call.kind is CallKind.RUN


class SimTask(LedgerTask):
    """The real task; the scheduler takes the place of its thread."""

    messages: list[object]

    def post(self, message: object) -> bool:
        """See `Task.post`."""
        self.messages.append(message)
        return True

    def handle(self, message: object) -> None:
        """Handles one message."""
        self._handle(message)


@define(eq=False)
class SimClock(Clock):
    """Virtual time."""

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
    """Timers on virtual time."""

    def __init__(self, sim: Sim) -> None:
        self._sim = sim

    def subscribe(self, task: Task, interval_s: float, message: object) -> Subscription:
        """See `TimerService.subscribe`."""

        def expire() -> None:
            task.post(message)
            self._sim.at(interval_s, expire)

        self._sim.at(interval_s, expire)
        return Subscription(task, message, interval_s)

    def schedule(self, task: Task, delay_s: float, message: object) -> Subscription:
        """See `TimerService.schedule`."""
        self._sim.at(delay_s, partial(task.post, message))
        return Subscription(task, message, None)


@define(eq=False)
class SimExecutor(Executor):
    """Runs each job as an actor."""

    sim: Sim
    router: SimRouter

    def submit(self, job: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """See `Executor.submit`."""
        self.sim.spawn(self.router, lambda: job(*args, **kwargs))
        return Future()


@define(eq=False)
class SimMembers(MembershipSource):
    """The view of one router."""

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


def a_member(number: int, router_id: str) -> Member:
    """Describes a router of the simulation; its port is its position."""
    return Member(
        router_id, "127.0.0.1", number, number, "d1", "r", 100 + number, 0, MemberState.ALIVE
    )
