"""Measures how well quiet accounts are isolated from two accounts that send 10 times their limit.

The first part runs the core on virtual time: routers lease tokens from the owners of the accounts
with a simulated delay. The second part runs the limits tasks of several routers in this process,
which lease over loopback TCP through the peer server. Each part runs once without the surge
("calm") and once with it.
"""

from __future__ import annotations

import argparse
import random
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field

from sequoiadrum.configuration import Change, ConfigState, ObjectKind
from sequoiadrum.hashing import first_ranked
from sequoiadrum.interfaces import ConfigSource
from sequoiadrum.limits import AccountBucket, LeasedShare, LeaseGrant
from sequoiadrum.limits_task import LimitsTask
from sequoiadrum.membership_interfaces import MembershipSource
from sequoiadrum.messages import Address, Member, MemberState
from sequoiadrum.metrics import Metrics
from sequoiadrum.peer_client import ThriftPeerClient
from sequoiadrum.peer_server import PeerHandler, create_peer_server
from sequoiadrum.timers import TimerService
from sequoiadrum.token_bucket import TokenBucket

if TYPE_CHECKING:
    from sequoiadrum.errors import Refusal

_RATE: Final = 50.0
"""Limit of each account in requests/s."""
_BURST: Final = 100.0
_QUIET_ACCOUNTS: Final = tuple(f"quiet-{n}" for n in range(8))
_LOUD_ACCOUNTS: Final = ("loud-0", "loud-1")
_QUIET_SHARE: Final = 0.4
"""Fraction of its limit that a quiet account uses."""
_SURGE_FACTOR: Final = 10.0
"""Rate of a loud account during the surge, as a multiple of its limit."""
_STEP_S: Final = 0.001
_LEASE_DELAY_S: Final = 0.003
"""Simulated delay of a lease."""
_MAX_WAIT_S: Final = 0.1
"""Longest wait of a request for tokens before it is refused."""


@define
class Outcome:
    """Counts of admitted and refused requests, and waits, of one group of accounts."""

    admitted: int = 0
    refused: int = 0
    waits_s: list[float] = field(factory=list)

    def p99_ms(self) -> float:
        """Returns the 99th percentile of the admission times in milliseconds."""
        ordered = sorted(self.waits_s)
        return ordered[int(0.99 * len(ordered))] * 1e3 if ordered else 0.0


def arrivals(rng: random.Random, rate: float, seconds: float) -> list[float]:
    """Returns Poisson arrival times in seconds."""
    times, now = [], rng.expovariate(rate)
    while now < seconds:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def schedule(seed: int, seconds: float, surge: bool) -> list[tuple[float, str, int]]:
    """Returns the requests of a run: time, account and a number that selects the router."""
    rng = random.Random(seed)
    requests = []
    for account in (*_QUIET_ACCOUNTS, *_LOUD_ACCOUNTS):
        rate = _RATE * _QUIET_SHARE
        if surge and account in _LOUD_ACCOUNTS:
            rate = _RATE * _SURGE_FACTOR
        requests += [(t, account, rng.randrange(1 << 30)) for t in arrivals(rng, rate, seconds)]
    return sorted(requests)


class VirtualFleet:
    """Routers and account owners on virtual time; leases arrive after a simulated delay."""

    def __init__(self, routers: int) -> None:
        self._owners = {
            account: AccountBucket.empty(_RATE, _BURST, -10.0)
            for account in (*_QUIET_ACCOUNTS, *_LOUD_ACCOUNTS)
        }
        self._shares = {
            (router, account): LeasedShare(TokenBucket(_RATE, _BURST, 0.0, 0.0))
            for router in range(routers)
            for account in self._owners
        }
        self._pending_leases: dict[tuple[int, str], tuple[float, float, int, LeaseGrant]] = {}
        self._waiting: list[tuple[float, tuple[int, str]]] = []
        self.outcomes = {"quiet": Outcome(), "loud": Outcome()}
        self.leases = 0

    def run(self, requests: list[tuple[float, str, int]], routers: int, seconds: float) -> None:
        """Runs the requests in steps of one millisecond of virtual time."""
        index = 0
        for step in range(round((seconds + _MAX_WAIT_S) / _STEP_S)):
            now = step * _STEP_S
            self._deliver_leases(now)
            if step % 100 == 0:
                for key, share in self._shares.items():
                    if share.use_per_s >= 0.5:
                        self._request_lease(key, now)
            while index < len(requests) and requests[index][0] <= now:
                _, account, number = requests[index]
                key = (number % routers, account)
                index += 1
                self._shares[key].record_use(now)
                self._waiting.append((now, key))
            self._admit_waiting(now)

    def _admit_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        for arrived_at, key in waiting:
            share = self._shares[key]
            outcome = self.outcomes["loud" if key[1] in _LOUD_ACCOUNTS else "quiet"]
            if share.take(now):
                outcome.admitted += 1
                outcome.waits_s.append(now - arrived_at)
            elif now < share.denied_until or now - arrived_at > _MAX_WAIT_S:
                outcome.refused += 1
            else:
                self._request_lease(key, now)
                self._waiting.append((arrived_at, key))

    def _request_lease(self, key: tuple[int, str], now: float) -> None:
        wanted = self._shares[key].wanted(now)
        if wanted and key not in self._pending_leases:
            self.leases += 1
            grant = self._owners[key[1]].lease(str(key[0]), wanted, now)
            self._pending_leases[key] = (now + _LEASE_DELAY_S, now, wanted, grant)

    def _deliver_leases(self, now: float) -> None:
        for key, (due, requested_at, wanted, grant) in list(self._pending_leases.items()):
            if due <= now:
                del self._pending_leases[key]
                self._shares[key].add(grant, wanted, requested_at, now)


class _FixedConfig(ConfigSource):
    """A configuration that never changes."""

    def __init__(self, state: ConfigState) -> None:
        self._state = state

    def current(self) -> ConfigState:
        return self._state

    def refusal(self) -> Refusal | None:
        return None


class _FixedMembers(MembershipSource):
    """A membership that sends no updates."""

    def __init__(self, self_id: str, members: dict[str, Member]) -> None:
        self._self_id = self_id
        self._members = members

    def self_id(self) -> str:
        return self._self_id

    def members(self) -> dict[str, Member]:
        return self._members

    def subscribe(self, task: Any) -> None:
        """Does nothing: the members send no updates."""

    def broadcast(self, kind: str, key: str, version: int, payload: bytes, ttl_s: float) -> None:
        """Does nothing: no update is disseminated."""


class RealFleet:
    """Limits tasks with their peer servers on loopback TCP, all in this process."""

    def __init__(self, routers: int) -> None:
        value = {"requests_per_s": _RATE, "burst": _BURST}
        config = _FixedConfig(
            ConfigState().apply(
                [
                    Change(n, f"c{n}", ObjectKind.ACCOUNT, account, value)
                    for n, account in enumerate((*_QUIET_ACCOUNTS, *_LOUD_ACCOUNTS), 1)
                ]
            )
        )
        self.members: dict[str, Member] = {}
        self.tasks: list[LimitsTask] = []
        self.metrics: list[Metrics] = []
        self._timers = TimerService(Metrics())
        self._timers.start()
        self._servers = []
        for number in range(routers):
            router_id = f"r{number}"
            metrics = Metrics()
            peers = ThriftPeerClient(metrics)
            members = _FixedMembers(router_id, self.members)
            task = LimitsTask(config, members, peers, self._timers, metrics, lambda: None)
            handler = PeerHandler(None, None, None, None, task)
            server = create_peer_server(Address("127.0.0.1", 0), handler, metrics)
            server.start()
            self.members[router_id] = Member(
                router_id, "127.0.0.1", server.port, 1, "d1", "x", 1, 1, MemberState.ALIVE
            )
            self.tasks.append(task)
            self.metrics.append(metrics)
            self._servers.append(server)
        for task in self.tasks:
            task.start()
        self.outcomes = {"quiet": Outcome(), "loud": Outcome()}

    def run(self, requests: list[tuple[float, str, int]]) -> None:
        """Sends the requests in real time from one thread for each router."""
        time.sleep(_BURST / _RATE + 0.2)  # Lets the token buckets at the owners fill.
        started = time.monotonic()
        lock = threading.Lock()

        def send_requests(router: int) -> None:
            for due, account, number in requests:
                if number % len(self.tasks) != router:
                    continue
                time.sleep(max(0.0, started + due - time.monotonic()))
                called_at = time.monotonic()
                refusal = self.tasks[router].admit(account)
                elapsed_s = time.monotonic() - called_at
                with lock:
                    outcome = self.outcomes["loud" if account in _LOUD_ACCOUNTS else "quiet"]
                    outcome.waits_s.append(elapsed_s)
                    if refusal is None:
                        outcome.admitted += 1
                    else:
                        outcome.refused += 1

        threads = [
            threading.Thread(target=send_requests, args=(n,)) for n in range(len(self.tasks))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def control_bytes(self) -> float:
        """Returns the control bytes that all routers have sent."""
        return sum(
            value
            for metrics in self.metrics
            for name, value in metrics.snapshot().items()
            if "bytes" in name and "sent" in name
        )

    def stop(self) -> None:
        """Stops all tasks, servers and timers."""
        for task in self.tasks:
            task.stop()
        for server in self._servers:
            server.stop()
        self._timers.stop()


def report(title: str, seconds: float, runs: dict[str, dict[str, Outcome]]) -> None:
    """Prints the results of the runs without and with the surge."""
    print(f"\n{title}")
    print(f"{'run':<8}{'group':<8}{'admitted':>10}{'refused':>9}{'p99 ms':>9}{'admitted/s':>12}")
    for run, outcomes in runs.items():
        for group, outcome in outcomes.items():
            print(
                f"{run:<8}{group:<8}{outcome.admitted:>10}{outcome.refused:>9}"
                f"{outcome.p99_ms():>9.2f}{outcome.admitted / seconds:>12.1f}"
            )
    limit = len(_LOUD_ACCOUNTS) * (_RATE * seconds + _BURST)
    loud = runs["surge"]["loud"].admitted
    print(f"loud accounts admitted {loud} of at most {limit:.0f} (rate x time + burst)")
    print(
        f"quiet refusals in the surge: {runs['surge']['quiet'].refused} (target 0); p99 "
        f"{runs['surge']['quiet'].p99_ms():.2f} ms against {runs['calm']['quiet'].p99_ms():.2f} ms"
    )


def main() -> None:
    """Runs both parts and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    routers, seconds = arguments.routers, arguments.seconds
    print(
        f"bench_limits: routers={routers} seconds={seconds:g} seed={arguments.seed} "
        f"limit={_RATE:g}/s burst={_BURST:g}, {len(_QUIET_ACCOUNTS)} quiet accounts at "
        f"{_QUIET_SHARE:g} of it, {len(_LOUD_ACCOUNTS)} loud ones at {_SURGE_FACTOR:g} times"
    )
    virtual: dict[str, dict[str, Outcome]] = {}
    for run in ("calm", "surge"):
        fleet = VirtualFleet(routers)
        fleet.run(schedule(arguments.seed, seconds, run == "surge"), routers, seconds)
        virtual[run] = fleet.outcomes
    report(f"core on virtual time, lease delay {_LEASE_DELAY_S * 1e3:g} ms", seconds, virtual)
    print(f"leases: {fleet.leases / seconds / routers:.1f}/s for each router in the surge")
    real: dict[str, dict[str, Outcome]] = {}
    control: dict[str, float] = {}
    for run in ("calm", "surge"):
        tasks = RealFleet(routers)
        before = tasks.control_bytes()
        tasks.run(schedule(arguments.seed, seconds, run == "surge"))
        real[run] = tasks.outcomes
        control[run] = (tasks.control_bytes() - before) / seconds / routers
        tasks.stop()
    report("limits tasks over loopback TCP, one process", seconds, real)
    print(
        f"control bytes sent for each router: calm {control['calm']:.0f} B/s, "
        f"surge {control['surge']:.0f} B/s"
    )
    owners = {a: first_ranked(f"limits:{a}", tasks.members) for a in _LOUD_ACCOUNTS}
    print(f"owners of the loud accounts: {owners}")


if __name__ == "__main__":
    main()
