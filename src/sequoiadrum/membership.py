"""SWIM membership without I/O (Das, Gupta and Motivala, 2002).

Time is passed in; datagrams go in and out as bytes. The rules that extend the paper (refutation by
the member itself, suspicion scaled by log n, probing of dead members, caution of a member that
hears nobody) are explained in docs/design/membership.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import define, evolve, field

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gossip_wire import from_wire, seal, to_wire, unseal, wire_size
from sequoiadrum._membership_types import (
    Event,
    MembershipPolicy,
    Probe,
    Relay,
    RevisionSeen,
    Superseded,
    SyncWanted,
)
from sequoiadrum._rumors import BroadcastQueue, RumorStore, pick_broadcasts
from sequoiadrum._sampling import pick_across_domains, sample
from sequoiadrum.messages import Address, MemberState, RumorReceived

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from sequoiadrum.messages import Member

MAX_DATAGRAM_BYTES: Final = 1_200
"""Fits the smallest MTU of IPv6 (1,280) with its headers, so nothing is fragmented."""
_HEADER_BYTES: Final = 100
"""Room for the fixed fields of a datagram."""
_MAX_ID_BYTES: Final = 64

_RANK: Final = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@define(eq=False)
class Membership:
    """What one member knows of all, and what it sends next."""

    me: Member
    seeds: tuple[Address, ...]
    rng: random.Random
    started: float
    policy: MembershipPolicy = field(factory=MembershipPolicy)
    members_by_id: dict[str, Member] = field(factory=dict)
    """All known members; do not change."""
    version: int = 0
    """Raised when a member's state, process or address changes."""
    report_version: int = 0
    """Raised when a member's known configuration revision changes."""
    last_heard: float | None = None
    """When the last valid datagram of another member arrived."""
    stale_datagrams: int = 0
    """Datagrams of former processes, which were ignored."""
    outbox: list[tuple[Address, bytes]] = field(factory=list)
    events: list[Event] = field(factory=list)
    _changed_at: dict[str, float] = field(factory=dict)
    _suspect_until: dict[str, float] = field(factory=dict)
    _probes: dict[int, Probe] = field(factory=dict)
    _relays: dict[int, Relay] = field(factory=dict)
    _news: BroadcastQueue = field(factory=BroadcastQueue)
    _rumors: RumorStore = field(factory=RumorStore)
    _round: list[str] = field(factory=list)
    _sequence: int = 0
    _last_tick: float = 0.0
    _next_probe: float = 0.0
    _next_dead_probe: float = 0.0
    _next_sync: float = 0.0
    _next_check: float = 0.0
    _sync_pause_s: float = 1.0
    _last_push: float = -1e9
    _push_wanted: bool = False

    def __attrs_post_init__(self) -> None:
        self.members_by_id[self.me.id] = self.me
        self._last_tick = self.started
        self._next_probe = self.started + self.rng.random() * self.policy.probe_interval_s
        self._next_sync = self.started
        self._next_dead_probe = self.started + self.policy.dead_probe_s
        self._news.add_member(self.me)

    # Inputs

    def tick(self, now: float) -> None:
        """Does what is due; call it several times a second."""
        gap = now - self._last_tick
        if gap > 2 * self.policy.probe_interval_s:
            self._after_pause(gap)
        self._last_tick = now
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = max(self._next_probe, now - 1) + self.policy.probe_interval_s
            self._probe_next(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + self.policy.dead_probe_s
            self._probe_dead(now)
        if now >= self._next_sync:
            self._want_sync(now)
        if self._push_wanted and now - self._last_push >= self.policy.push_gap_s:
            self._push(now)

    def receive(self, data: bytes, source: Address, now: float) -> bool:
        """Takes a datagram; False when it is not one of this protocol."""
        datagram = unseal(data)
        if datagram is None:
            return False
        if datagram.sender_id == self.me.id:
            return True
        known = self.members_by_id.get(datagram.sender_id)
        if known is not None and datagram.sender_process_id < known.process_id:
            self.stale_datagrams += 1
            return True
        self.last_heard = now
        for wire in datagram.members or ():
            member = from_wire(wire)
            if member is not None:
                self._learn(member, now)
        for rumor in datagram.rumors or ():
            self._hear(rumor, now)
        self._note_revision(datagram, source)
        self._answer(datagram, source, now)
        return True

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Takes the member list of a full sync.

        A death in it is taken as a suspicion, so that the member gets a chance to refute it; this
        lets the two sides of a healed split find each other without declaring members dead.
        """
        self.last_heard = now
        for member in members:
            known = self.members_by_id.get(member.id)
            if member.state is MemberState.DEAD and member.id != self.me.id:
                if known is None or known.state is MemberState.DEAD:
                    if known is None or _order(member) > _order(known):
                        self._store(member, now, spread=False)
                    continue
                member = evolve(member, state=MemberState.SUSPECT)
            self._learn(member, now, spread=False)
            self._raise_revision(member.id, member.config_revision)

    def set_revision(self, revision: int, now: float) -> None:
        """Notes the configuration revision in force here and pushes it to a few peers."""
        if revision > self.me.config_revision:
            self.me = evolve(self.me, config_revision=revision)
            self.members_by_id[self.me.id] = self.me
            self.report_version += 1
            self._push_soon(now)

    def outrank(self, process_id: int, now: float) -> None:
        """Takes a process id above that of a former process that looks younger than this one.

        The time of day, of which process ids are made, may have gone back before a restart.
        """
        if process_id <= self.me.process_id:
            return
        self.me = evolve(self.me, process_id=process_id + 1)
        self._announce(self.me.state, now)

    def leave(self, now: float) -> None:
        """Announces the planned stop."""
        self._announce(MemberState.LEAVING, now)

    def depart(self, now: float) -> None:
        """Says that the process ends now; call it last."""
        self._announce(MemberState.DEAD, now)

    def broadcast(
        self, kind: str, key: str, version: int, payload: bytes, ttl_s: float, now: float
    ) -> bool:
        """Starts a rumour; False when it does not fit a datagram or is not newer."""
        rumor = ttypes.Rumor(kind, key, version, payload, int(ttl_s * 1e3))
        if wire_size(rumor) > MAX_DATAGRAM_BYTES - 2 * _HEADER_BYTES:
            return False
        return self._hear(rumor, now)

    def check(self, member_id: str, now: float) -> None:
        """Probes a member at once that seems to be gone; hints in quick succession are dropped."""
        member = self.members_by_id.get(member_id)
        if member is None or member_id == self.me.id or now < self._next_check:
            return
        pending = any(p.target == member_id and p.is_urgent for p in self._probes.values())
        if member.state is MemberState.DEAD or member_id in self._suspect_until or pending:
            return
        self._next_check = now + self.policy.check_gap_s
        self._probe(member, now, is_urgent=True)

    # Outputs

    def take_outbox(self) -> list[tuple[Address, bytes]]:
        """Gives the datagrams to send."""
        taken, self.outbox = self.outbox, []
        return taken

    def take_events(self) -> list[Event]:
        """Gives what happened since the last call."""
        taken, self.events = self.events, []
        return taken

    def suspicion_time(self) -> float:
        """Seconds between suspicion and death at the current size."""
        return self.policy.suspicion_s * math.log(self._size() + 1) / math.log(15)

    # Probing

    def _probe_next(self, now: float) -> None:
        while self._round:
            member = self.members_by_id.get(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                self._probe(member, now)
                return
        self._round = [
            m.id
            for m in self.members_by_id.values()
            if m.state is not MemberState.DEAD and m.id != self.me.id
        ]
        # A random order for each round bounds the time to the next probe of any member.
        self.rng.shuffle(self._round)
        if self._round:
            self._probe_next(now)

    def _probe(self, member: Member, now: float, is_urgent: bool = False) -> None:
        self._sequence += 1
        probe = self._probes[self._sequence] = Probe(member.id, now, is_urgent=is_urgent)
        self._send(ttypes.DatagramKind.PING, self._sequence, member.peer_address, now, member.id)
        if is_urgent:
            self._probe_indirectly(self._sequence, probe, member, now)
            for witness in self._helpers(member):
                # Their answers show that this side hears, see `_patience`.
                self._send(ttypes.DatagramKind.PING, 0, witness.peer_address, now, witness.id)

    def _probe_indirectly(self, sequence: int, probe: Probe, member: Member, now: float) -> None:
        probe.indirect = True
        for helper in self._helpers(member):
            self._send(ttypes.DatagramKind.PING_REQ, sequence, helper.peer_address, now, member.id)

    def _probe_dead(self, now: float) -> None:
        dead = [m for m in self.members_by_id.values() if m.state is MemberState.DEAD]
        if dead:
            member = self.rng.choice(dead)
            self._send(ttypes.DatagramKind.PING, 0, member.peer_address, now, member.id)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            age = now - probe.started
            member = self.members_by_id.get(probe.target)
            if member is None or member.state is MemberState.DEAD:
                del self._probes[sequence]
            elif age >= self._patience(probe):
                del self._probes[sequence]
                self._suspect(member, now, probe.started)
            elif age >= self.policy.probe_timeout_s and not probe.indirect:
                self._probe_indirectly(sequence, probe, member, now)
        for number in [n for n, relay in self._relays.items() if relay.expires <= now]:
            del self._relays[number]

    def _patience(self, probe: Probe) -> float:
        # All paths of an urgent probe are tried at once, so one timeout covers them.
        heard = self.last_heard is not None and self.last_heard >= probe.started
        short = probe.is_urgent and heard
        return self.policy.probe_timeout_s if short else self.policy.probe_interval_s

    def _suspect(self, member: Member, now: float, probed: float) -> None:
        if member.id in self._suspect_until:
            return
        # Silence of everybody, the target of the probe before included, points to a fault here.
        horizon = probed - self.policy.probe_interval_s
        deaf = self.last_heard is None or self.last_heard < horizon
        factor = 3 if deaf else 1
        self._suspect_until[member.id] = now + factor * self.suspicion_time()
        if member.state is MemberState.ALIVE:
            suspected = evolve(member, state=MemberState.SUSPECT)
            self._store(suspected, now, spread=not deaf)
            self._push_wanted = not deaf

    def _check_suspects(self, now: float) -> None:
        for member_id in [m for m, until in self._suspect_until.items() if until <= now]:
            del self._suspect_until[member_id]
            member = self.members_by_id.get(member_id)
            if member is not None and member.state is not MemberState.DEAD:
                dead = evolve(member, state=MemberState.DEAD)
                self._store(dead, now, spread=not self._is_deaf(now))
                self._push_wanted = not self._is_deaf(now)
        if self.rng.random() < 0.05:
            self._rumors.expire(now)
            self._forget_dead(now)

    def _forget_dead(self, now: float) -> None:
        horizon = now - self.policy.dead_kept_s
        for member in list(self.members_by_id.values()):
            if member.state is MemberState.DEAD and self._changed_at[member.id] < horizon:
                del self.members_by_id[member.id]
                del self._changed_at[member.id]
                self.version += 1

    def _after_pause(self, gap: float) -> None:
        # The answers of this time may be lost; silence during a pause proves nothing.
        self._probes.clear()
        self._suspect_until = {m: until + gap for m, until in self._suspect_until.items()}

    def _is_deaf(self, now: float) -> bool:
        return self.last_heard is None or now - self.last_heard > self.policy.deaf_s

    # Knowledge

    def _learn(self, member: Member, now: float, spread: bool = True) -> None:
        if member.id == self.me.id:
            self._defend(member, now)
            return
        known = self.members_by_id.get(member.id)
        if known is None and member.state is MemberState.DEAD:
            return
        if known is not None and _order(member) <= _order(known):
            return
        if member.state is MemberState.SUSPECT:
            self._suspect_until.setdefault(member.id, now + self.suspicion_time())
        else:
            self._suspect_until.pop(member.id, None)
        self._store(member, now, spread)
        if spread and known is not None and known.state is not member.state:
            self._push_soon(now)

    def _defend(self, claim: Member, now: float) -> None:
        if claim.process_id > self.me.process_id:
            self.events.append(Superseded(claim.process_id))
            return
        if claim.process_id < self.me.process_id or self.me.state is MemberState.DEAD:
            return
        if claim.incarnation >= self.me.incarnation and claim.state is not self.me.state:
            self._announce(self.me.state, now, claim.incarnation)

    def _announce(self, state: MemberState, now: float, above: int = 0) -> None:
        incarnation = max(self.me.incarnation, above) + 1
        self.me = evolve(self.me, state=state, incarnation=incarnation)
        self.members_by_id[self.me.id] = self.me
        self.version += 1
        self._news.add_member(self.me)
        self._push_soon(now)

    def _store(self, member: Member, now: float, spread: bool) -> None:
        known = self.members_by_id.get(member.id)
        if known is not None:
            revision = max(known.config_revision, member.config_revision)
            member = evolve(member, config_revision=revision)
            if known.process_id != member.process_id:
                self._suspect_until.pop(member.id, None)
        elif member.state is not MemberState.DEAD:
            self._round.insert(self.rng.randrange(len(self._round) + 1), member.id)
        if member.state is MemberState.DEAD:
            self._suspect_until.pop(member.id, None)
        self.members_by_id[member.id] = member
        self._changed_at[member.id] = now
        self.version += 1
        if spread:
            self._news.add_member(member)

    def _hear(self, rumor: ttypes.Rumor, now: float) -> bool:
        if None in (rumor.kind, rumor.key, rumor.version, rumor.payload, rumor.ttl_ms):
            return False
        if not self._rumors.add(rumor, now):
            return False
        self._news.add_rumor(rumor)
        self.events.append(RumorReceived(rumor.kind, rumor.key, rumor.version, rumor.payload))
        self._push_soon(now)
        return True

    def _note_revision(self, datagram: ttypes.Datagram, source: Address) -> None:
        self._raise_revision(datagram.sender_id, datagram.config_revision)
        if datagram.config_revision > self.me.config_revision:
            self.events.append(RevisionSeen(datagram.config_revision, source))

    def _raise_revision(self, member_id: str, revision: int) -> None:
        known = self.members_by_id.get(member_id)
        if known is not None and member_id != self.me.id and revision > known.config_revision:
            self.members_by_id[member_id] = evolve(known, config_revision=revision)
            self.report_version += 1

    # Sending

    def _answer(self, datagram: ttypes.Datagram, source: Address, now: float) -> None:
        kind = datagram.kind
        if kind == ttypes.DatagramKind.PING:
            sender = datagram.sender_id
            if datagram.target_id in (None, "", self.me.id):
                self._send(ttypes.DatagramKind.ACK, datagram.sequence, source, now, sender)
        elif kind == ttypes.DatagramKind.ACK:
            self._acknowledged(datagram, now)
        elif kind == ttypes.DatagramKind.PING_REQ:
            target = self.members_by_id.get(datagram.target_id or "")
            if target is not None:
                self._sequence += 1
                expires = now + 2 * self.policy.probe_interval_s
                self._relays[self._sequence] = Relay(source, datagram.sequence, expires)
                address = target.peer_address
                self._send(ttypes.DatagramKind.PING, self._sequence, address, now, target.id)
        elif kind == ttypes.DatagramKind.NOTICE and datagram.config_revision < (
            self.me.config_revision
        ):
            self._send(ttypes.DatagramKind.NOTICE, 0, source, now, datagram.sender_id)

    def _acknowledged(self, datagram: ttypes.Datagram, now: float) -> None:
        relay = self._relays.pop(datagram.sequence, None)
        if relay is not None:
            self._send(ttypes.DatagramKind.ACK, relay.sequence, relay.origin, now, "")
            return
        probe = self._probes.pop(datagram.sequence, None)
        # A suspect answers with a refutation; a leaving member has no state to refute.
        if probe is not None and _is_leaving(self.members_by_id.get(probe.target)):
            self._suspect_until.pop(probe.target, None)

    def _push_soon(self, now: float) -> None:
        if now - self._last_push >= self.policy.push_gap_s:
            self._push(now)
        else:
            self._push_wanted = True

    def _push(self, now: float) -> None:
        self._last_push = now
        self._push_wanted = False
        for member in self._sample(self.policy.push_fanout):
            self._send(ttypes.DatagramKind.NOTICE, 0, member.peer_address, now, member.id)

    def _send(self, kind: int, sequence: int, address: Address, now: float, target: str) -> None:
        """Queues a datagram that also tells the target what is believed of it."""
        room = MAX_DATAGRAM_BYTES - _HEADER_BYTES - 2 * _MAX_ID_BYTES
        members: list[ttypes.Member] = []
        about = self.members_by_id.get(target)
        if about is not None and about.state not in (MemberState.ALIVE, MemberState.LEAVING):
            members.append(to_wire(about))
            room -= wire_size(members[0])
        news, rumors = pick_broadcasts(self._news, self._rumors, room, self._size(), now)
        members.extend(news)
        datagram = ttypes.Datagram(
            kind=kind,
            sequence=sequence,
            sender_id=self.me.id,
            config_revision=self.me.config_revision,
            target_id=target or None,
            members=members or None,
            rumors=rumors or None,
            sender_process_id=self.me.process_id,
        )
        self.outbox.append((address, seal(datagram)))

    def _sample(self, count: int, excluded: str = "") -> list[Member]:
        return sample(self.members_by_id, self.rng, count, (self.me.id, excluded))

    def _helpers(self, target: Member) -> list[Member]:
        count = self.policy.indirect_probes
        near = (self.me.failure_domain, target.failure_domain)
        return pick_across_domains(self._sample(4 * count, target.id), near, count)

    def _want_sync(self, now: float) -> None:
        """Asks for a full sync with a peer, and with a seed that is not known yet."""
        interval = self.policy.sync_interval_s * max(1.0, self._size() / self.policy.sync_members)
        # The first syncs come fast: a fleet that starts as a whole doubles its knowledge in each.
        self._sync_pause_s = min(2 * self._sync_pause_s, interval)
        peers = self._sample(1)
        if peers:
            self.events.append(SyncWanted(peers[0].peer_address))
        else:
            self._sync_pause_s = 1.0
        # Groups that form around different seeds would otherwise stay apart.
        known = {m.peer_address for m in self.members_by_id.values()}
        unknown = [seed for seed in self.seeds if seed not in known]
        if unknown:
            self.events.append(SyncWanted(self.rng.choice(unknown)))
        self._next_sync = now + self._sync_pause_s * (0.75 + 0.5 * self.rng.random())

    def _size(self) -> int:
        return len(self.members_by_id)


def _is_leaving(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.LEAVING


def _order(member: Member) -> tuple[int, int, int]:
    """Newer news of a member compares higher; process ids grow with their start time."""
    return (member.process_id, member.incarnation, _RANK[member.state])
