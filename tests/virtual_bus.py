"""A virtual-time message bus that simulates loss, delay, partitions and frozen members."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from attrs import define, field

from sequoiadrum._gossip_wire import to_reports, wire_size
from sequoiadrum.membership import Membership, RevisionSeen, Superseded, SyncDue
from sequoiadrum.messages import Address, Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.2
UDP_IP_BYTES = 28


def a_member(number: int, process_id: int = 1, domains: int = 3) -> Member:
    """Builds the record of a member that has just started."""
    return Member(
        id=f"router-{number}",
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        peer_port=7400,
        http_port=8080,
        failure_domain=f"domain-{number % domains}",
        region="region-1",
        process_id=process_id,
        incarnation=0,
        state=MemberState.ALIVE,
    )


@define(eq=False)
class Bus:
    """Simulates a fleet of members and the datagrams and syncs between them."""

    seed: int = 1
    loss: float = 0.0
    delay_s: float = 0.001
    now: float = 0.0
    nodes: dict[str, Membership] = field(factory=dict)
    frozen: set[str] = field(factory=set)
    """Members that neither receive datagrams nor perform ticks."""
    is_disconnected: Callable[[str, str], bool] = lambda _source, _target: False
    """Returns whether datagrams and syncs from the first member to the second are lost."""
    sent_bytes: int = 0
    sent_datagrams: int = 0
    synced_bytes: int = 0
    largest_datagram: int = 0
    pulls_revisions: bool = True
    """Whether a member adopts a higher configuration revision of another member."""
    observed_deaths: list[tuple[float, str, str]] = field(factory=list)
    """Time, observer and subject of each death that a member recorded."""
    superseded: list[str] = field(factory=list)
    """Members that were notified of a process with a higher process id under their own id."""
    raises_process_id: bool = False
    """Whether a superseded member takes a higher process id."""
    _ids_by_address: dict[Address, str] = field(factory=dict)
    _queue: list[tuple[float, int, str, str, bytes]] = field(factory=list)
    _order: itertools.count[int] = field(factory=itertools.count)
    _versions: dict[str, int] = field(factory=dict)
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def join(self, member: Member, seeds: tuple[Address, ...]) -> Membership:
        """Starts a member."""
        rng = random.Random(f"{self.seed}/{member.id}/{member.process_id}")
        node = Membership(member, seeds, rng, self.now)
        self.nodes[member.id] = node
        self._ids_by_address[member.peer_address] = member.id
        self._versions.pop(member.id, None)
        self._schedule_tick(node)
        return node

    def _schedule_tick(self, node: Membership) -> None:
        member = node.me
        heapq.heappush(
            self._queue,
            (
                self.now + self.rng.random() * TICK_S,
                next(self._order),
                "",
                member.id,
                member.process_id.to_bytes(8, "big"),
            ),
        )

    def start(self, count: int, seed_count: int = 3) -> None:
        """Starts members without knowledge of each other; the first `seed_count` are seeds."""
        seeds = tuple(a_member(n).peer_address for n in range(seed_count))
        for number in range(count):
            self.join(a_member(number), seeds)

    def start_converged(self, count: int) -> None:
        """Starts members that already know each other."""
        members = [a_member(number) for number in range(count)]
        for member in members:
            node = self.join(member, ())
            node.merge(members, self.now)
            node._broadcasts._broadcasts_by_key.clear()
            node._sync_delay_s = 1e6
            scale = max(1.0, count / node.policy.sync_members)
            node._next_sync = self.now + self.rng.random() * node.policy.sync_interval_s * scale

    def kill(self, member_id: str) -> None:
        """Ends a member without any announcement."""
        del self.nodes[member_id]

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advances the virtual time.

        Args:
            seconds: Maximum virtual time to run for.
            until: Ends the run as soon as this returns True.

        Returns:
            False if `until` was not satisfied in time.
        """
        end = self.now + seconds
        next_check = self.now
        while self._queue and self._queue[0][0] <= end:
            due, _, source, target, data = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            self._deliver(source, target, data)
            if until is not None and self.now >= next_check:
                if until():
                    return True
                next_check = self.now + TICK_S / 2
        self.now = end
        return until() if until is not None else True

    def has_converged(self, *, alive: set[str] | None = None) -> bool:
        """Returns whether the members agree on which ones are alive.

        Args:
            alive: Ids that must be the live members in the view of each of them; by default, all
                running members.
        """
        expected = alive if alive is not None else set(self.nodes)
        return all(
            {m.id for m in node.members_by_id.values() if m.state is MemberState.ALIVE} == expected
            for name, node in self.nodes.items()
            if name in expected
        )

    def flush(self, member_id: str) -> None:
        """Sends the queued datagrams of a member and handles its events."""
        node = self.nodes[member_id]
        for address, data in node.take_outbox():
            self.sent_bytes += len(data) + UDP_IP_BYTES
            self.sent_datagrams += 1
            self.largest_datagram = max(self.largest_datagram, len(data))
            target = self._ids_by_address.get(address, "")
            if self.rng.random() >= self.loss and not self.is_disconnected(member_id, target):
                due = self.now + self.delay_s * (0.5 + self.rng.random())
                heapq.heappush(self._queue, (due, next(self._order), member_id, target, data))
        for event in node.take_events():
            if isinstance(event, SyncDue):
                self._sync(node, self._ids_by_address.get(event.address, ""))
            elif isinstance(event, RevisionSeen) and self.pulls_revisions:
                node.set_revision(event.revision, self.now)
                self.flush(member_id)
            elif isinstance(event, Superseded):
                self.superseded.append(member_id)
                if self.raises_process_id:
                    node.raise_process_id(event.process_id, self.now)
                    self._schedule_tick(node)
        self._record_deaths(node)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        node = self.nodes.get(target)
        if not source:
            if node is None or node.me.process_id.to_bytes(8, "big") != data:
                return
            heapq.heappush(self._queue, (self.now + TICK_S, next(self._order), "", target, data))
        if node is None or target in self.frozen:
            return
        if source:
            node.receive(data, a_member(int(source.split("-")[1])).peer_address, self.now)
        else:
            node.tick(self.now)
        if node.outbox or node.events or node.version != self._versions.get(target):
            self.flush(target)

    def _sync(self, node: Membership, target: str) -> None:
        mine = node.me.id
        peer = self.nodes.get(target)
        is_blocked = (
            target in self.frozen
            or self.is_disconnected(mine, target)
            or self.is_disconnected(target, mine)
        )
        if peer is None or peer is node or is_blocked:
            return
        ours, theirs = list(node.members_by_id.values()), list(peer.members_by_id.values())
        for members in (ours, theirs):
            sample = to_reports(members[:1])[0].member
            self.synced_bytes += len(members) * (wire_size(sample) + 4)
        peer.merge(ours, self.now)
        node.merge(theirs, self.now)

    def _record_deaths(self, node: Membership) -> None:
        if node.version == self._versions.get(node.me.id):
            return
        self._versions[node.me.id] = node.version
        for member in node.members_by_id.values():
            if member.state is MemberState.DEAD and node._changed_at.get(member.id) == self.now:
                self.observed_deaths.append((self.now, node.me.id, member.id))
