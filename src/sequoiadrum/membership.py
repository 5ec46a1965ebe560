"""SWIM failure detection and membership (Das, Gupta and Motivala, 2002).

This module performs no I/O: the caller passes in the time and received datagrams, and sends the
datagrams of the outbox. The extensions of the paper (refutation by the member itself, suspicion
time scaled by log n, probes of dead members, and longer suspicion while this member receives
nothing) are explained in docs/design/membership.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import define, evolve, field

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._gossip_wire import decode_datagram, encode_datagram, from_wire, to_wire, wire_size
from sequoiadrum._membership_types import (
    Event,
    MembershipPolicy,
    Probe,
    Relay,
    RevisionSeen,
    Superseded,
    SyncDue,
)
from sequoiadrum._rumors import BroadcastQueue, RumorStore, pick_broadcasts
from sequoiadrum._sampling import pick_across_domains, sample
from sequoiadrum.messages import Address, MemberState, RumorReceived

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from sequoiadrum.messages import Member

MAX_DATAGRAM_BYTES: Final = 1_200
"""With its headers, a datagram fits the minimum IPv6 MTU of 1,280 bytes and is not fragmented."""
_HEADER_BYTES: Final = 100
"""Space reserved for the fixed fields of a datagram."""
_MAX_ID_BYTES: Final = 64
"""Space reserved for each of the two member ids of a datagram."""

_RANK: Final = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@define(eq=False)
class Membership:
    """The state of the membership protocol at one member.

    It keeps the known state of all members, the pending probes, and the datagrams to send.
    """

    me: Member
    seeds: tuple[Address, ...]
    rng: random.Random
    started: float
    policy: MembershipPolicy = field(factory=MembershipPolicy)
    members_by_id: dict[str, Member] = field(factory=dict)
    """All known members, this one included; callers must not modify it."""
    version: int = 0
    """Incremented when a member's state, process or address changes."""
    report_version: int = 0
    """Incremented when a member's known configuration revision changes."""
    last_received_at: float | None = None
    """When the last valid datagram or member list of another member was received."""
    stale_datagrams: int = 0
    """Number of datagrams ignored because a former process of a member sent them."""
    outbox: list[tuple[Address, bytes]] = field(factory=list)
    """Datagrams to send, with their destinations."""
    events: list[Event] = field(factory=list)
    """Events that the caller has not taken yet."""
    _changed_at: dict[str, float] = field(factory=dict)
    _suspect_until: dict[str, float] = field(factory=dict)
    _probes: dict[int, Probe] = field(factory=dict)
    _relays: dict[int, Relay] = field(factory=dict)
    _broadcasts: BroadcastQueue = field(factory=BroadcastQueue)
    _rumors: RumorStore = field(factory=RumorStore)
    _probe_order: list[str] = field(factory=list)
    _sequence: int = 0
    _last_tick: float = 0.0
    _next_probe: float = 0.0
    _next_dead_probe: float = 0.0
    _next_sync: float = 0.0
    _next_check: float = 0.0
    _sync_delay_s: float = 1.0
    _last_push: float = -1e9
    _is_push_pending: bool = False

    def __attrs_post_init__(self) -> None:
        self.members_by_id[self.me.id] = self.me
        self._last_tick = self.started
        self._next_probe = self.started + self.rng.random() * self.policy.probe_interval_s
        self._next_sync = self.started
        self._next_dead_probe = self.started + self.policy.dead_probe_s
        self._broadcasts.add_member(self.me)

    # Inputs

    def tick(self, now: float) -> None:
        """Performs the probes, timeouts, syncs and pushes that are due.

        It must be called several times per second.
        """
        gap = now - self._last_tick
        if gap > 2 * self.policy.probe_interval_s:
            self._handle_pause(gap)
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
            self._request_sync(now)
        if self._is_push_pending and now - self._last_push >= self.policy.min_push_interval_s:
            self._push(now)

    def receive(self, data: bytes, source: Address, now: float) -> bool:
        """Processes a received datagram.

        Returns:
            False if the data is not a datagram of this protocol.
        """
        datagram = decode_datagram(data)
        if datagram is None:
            return False
        if datagram.sender_id == self.me.id:
            return True
        known = self.members_by_id.get(datagram.sender_id)
        if known is not None and datagram.sender_process_id < known.process_id:
            self.stale_datagrams += 1
            return True
        self.last_received_at = now
        for wire in datagram.members or ():
            member = from_wire(wire)
            if member is not None:
                self._update_member(member, now)
        for rumor in datagram.rumors or ():
            self._accept_rumor(rumor, now)
        self._record_sender_revision(datagram, source)
        self._respond(datagram, source, now)
        return True

    def merge(self, members: Iterable[Member], now: float) -> None:
        """Merges the member list of a full sync.

        A member that the list reports as dead is only suspected here, unless its death is known, so
        that it can refute the report. This lets both sides of a healed partition rejoin without
        declaring members dead.
        """
        self.last_received_at = now
        for member in members:
            known = self.members_by_id.get(member.id)
            if member.state is MemberState.DEAD and member.id != self.me.id:
                if known is None or known.state is MemberState.DEAD:
                    if known is None or _precedence(member) > _precedence(known):
                        self._store(member, now, is_broadcast=False)
                    continue
                member = evolve(member, state=MemberState.SUSPECT)
            self._update_member(member, now, is_broadcast=False)
            known = self.members_by_id.get(member.id)
            if known is not None and known.process_id == member.process_id:
                self._record_revision(member.id, member.config_revision)

    def set_revision(self, revision: int, now: float) -> None:
        """Records the configuration revision in force here and pushes it to a few peers."""
        if revision > self.me.config_revision:
            self.me = evolve(self.me, config_revision=revision)
            self.members_by_id[self.me.id] = self.me
            self.report_version += 1
            self._push_soon(now)

    def raise_process_id(self, process_id: int, now: float) -> None:
        """Sets this member's process id above that of a former process with a higher id.

        Process ids are derived from the time of day, which may have been set back before a restart.
        """
        if process_id <= self.me.process_id:
            return
        self.me = evolve(self.me, process_id=process_id + 1)
        self._announce(self.me.state, now)

    def leave(self, now: float) -> None:
        """Announces that this member begins a graceful shutdown."""
        self._announce(MemberState.LEAVING, now)

    def depart(self, now: float) -> None:
        """Announces that this process ends now; it must be the last announcement."""
        self._announce(MemberState.DEAD, now)

    def broadcast(
        self, kind: str, key: str, version: int, payload: bytes, ttl_s: float, now: float
    ) -> bool:
        """Starts the dissemination of a rumor.

        Returns:
            False if the rumor does not fit into a datagram or a version as new is already known.
        """
        rumor = ttypes.Rumor(kind, key, version, payload, int(ttl_s * 1e3))
        if wire_size(rumor) > MAX_DATAGRAM_BYTES - 2 * _HEADER_BYTES:
            return False
        return self._accept_rumor(rumor, now)

    def list_rumors(self, limit: int, now: float) -> list[ttypes.Rumor]:
        """Returns the rumors in force, at most `limit`."""
        return self._rumors.in_force(limit, now)

    def merge_rumors(self, rumors: Iterable[ttypes.Rumor], now: float) -> None:
        """Accepts rumors that this router missed; the others know them, so they are not sent on."""
        for rumor in rumors:
            if _is_complete(rumor) and self._rumors.add(rumor, now):
                self.events.append(
                    RumorReceived(rumor.kind, rumor.key, rumor.version, rumor.payload)
                )

    def check(self, member_id: str, now: float) -> None:
        """Probes a member immediately after a hint that it is unreachable.

        A hint within `MembershipPolicy.min_check_interval_s` of the last probe on a hint is
        ignored.
        """
        member = self.members_by_id.get(member_id)
        if member is None or member_id == self.me.id or now < self._next_check:
            return
        pending = any(p.target == member_id and p.is_urgent for p in self._probes.values())
        if member.state is MemberState.DEAD or member_id in self._suspect_until or pending:
            return
        self._next_check = now + self.policy.min_check_interval_s
        self._probe(member, now, is_urgent=True)

    # Outputs

    def take_outbox(self) -> list[tuple[Address, bytes]]:
        """Removes and returns the datagrams to send."""
        taken, self.outbox = self.outbox, []
        return taken

    def take_events(self) -> list[Event]:
        """Removes and returns the events since the last call."""
        taken, self.events = self.events, []
        return taken

    def suspicion_time(self) -> float:
        """Returns the seconds from suspicion to death at the current number of members."""
        return self.policy.suspicion_s * math.log(self._size() + 1) / math.log(15)

    # Probing

    def _probe_next(self, now: float) -> None:
        while self._probe_order:
            member = self.members_by_id.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                self._probe(member, now)
                return
        self._probe_order = [
            m.id
            for m in self.members_by_id.values()
            if m.state is not MemberState.DEAD and m.id != self.me.id
        ]
        # Each round probes all members once, in random order. This bounds the time between two
        # probes of a member.
        self.rng.shuffle(self._probe_order)
        if self._probe_order:
            self._probe_next(now)

    def _probe_further(self, now: float) -> None:
        pending = {probe.target for probe in self._probes.values()}
        room = self.policy.max_pending_probes - len(pending)
        candidates = [
            m
            for m in self.members_by_id.values()
            if m.state is MemberState.ALIVE and m.id != self.me.id and m.id not in pending
        ]
        count = max(0, min(room, self.policy.further_probes, len(candidates)))
        for member in self.rng.sample(candidates, count):
            self._probe(member, now)

    def _probe(self, member: Member, now: float, is_urgent: bool = False) -> None:
        self._sequence += 1
        probe = self._probes[self._sequence] = Probe(member.id, now, is_urgent=is_urgent)
        self._send(ttypes.DatagramKind.PING, self._sequence, member.peer_address, now, member.id)
        if is_urgent:
            self._probe_indirectly(self._sequence, probe, member, now)
            for other in self._select_helpers(member):
                # Their acknowledgements show that this member receives datagrams, see
                # `_probe_time_limit`.
                self._send(ttypes.DatagramKind.PING, 0, other.peer_address, now, other.id)

    def _probe_indirectly(self, sequence: int, probe: Probe, member: Member, now: float) -> None:
        probe.indirect = True
        for helper in self._select_helpers(member):
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
            elif age >= self._probe_time_limit(probe):
                del self._probes[sequence]
                self._suspect(member, now, probe.started)
                if self._has_received_since(probe):
                    self._probe_further(now)
            elif age >= self.policy.probe_timeout_s and not probe.indirect:
                self._probe_indirectly(sequence, probe, member, now)
        for number in [n for n, relay in self._relays.items() if relay.expires <= now]:
            del self._relays[number]

    def _probe_time_limit(self, probe: Probe) -> float:
        # An urgent probe uses the direct and indirect paths in parallel, so one timeout covers all.
        is_short = probe.is_urgent and self._has_received_since(probe)
        return self.policy.probe_timeout_s if is_short else self.policy.probe_interval_s

    def _has_received_since(self, probe: Probe) -> bool:
        return self.last_received_at is not None and self.last_received_at >= probe.started

    def _suspect(self, member: Member, now: float, probed: float) -> None:
        if member.id in self._suspect_until:
            return
        # If no member responded, not even to the previous probe, the fault is probably local.
        cutoff = probed - self.policy.probe_interval_s
        is_isolated = self.last_received_at is None or self.last_received_at < cutoff
        factor = 3 if is_isolated else 1
        self._suspect_until[member.id] = now + factor * self.suspicion_time()
        if member.state is MemberState.ALIVE:
            suspected = evolve(member, state=MemberState.SUSPECT)
            self._store(suspected, now, is_broadcast=not is_isolated)
            self._is_push_pending = not is_isolated

    def _check_suspects(self, now: float) -> None:
        for member_id in [m for m, until in self._suspect_until.items() if until <= now]:
            del self._suspect_until[member_id]
            member = self.members_by_id.get(member_id)
            if member is not None and member.state is not MemberState.DEAD:
                dead = evolve(member, state=MemberState.DEAD)
                self._store(dead, now, is_broadcast=not self._is_isolated(now))
                self._is_push_pending = not self._is_isolated(now)
        if self.rng.random() < 0.05:
            self._rumors.expire(now)
            self._remove_expired_dead(now)

    def _remove_expired_dead(self, now: float) -> None:
        cutoff = now - self.policy.dead_retention_s
        for member in list(self.members_by_id.values()):
            if member.state is MemberState.DEAD and self._changed_at[member.id] < cutoff:
                del self.members_by_id[member.id]
                del self._changed_at[member.id]
                self.version += 1

    def _handle_pause(self, gap: float) -> None:
        # Acknowledgements may have been lost while this process was paused, so a missing one does
        # not show a fault of the target.
        self._probes.clear()
        self._suspect_until = {m: until + gap for m, until in self._suspect_until.items()}

    def _is_isolated(self, now: float) -> bool:
        return (
            self.last_received_at is None or now - self.last_received_at > self.policy.isolation_s
        )

    # Member and rumor state

    def _update_member(self, member: Member, now: float, is_broadcast: bool = True) -> None:
        if member.id == self.me.id:
            self._refute(member, now)
            return
        known = self.members_by_id.get(member.id)
        if known is None and member.state is MemberState.DEAD:
            return
        if known is not None and _precedence(member) <= _precedence(known):
            return
        if member.state is MemberState.SUSPECT:
            self._suspect_until.setdefault(member.id, now + self.suspicion_time())
        else:
            self._suspect_until.pop(member.id, None)
        self._store(member, now, is_broadcast)
        if is_broadcast and known is not None and known.state is not member.state:
            self._push_soon(now)

    def _refute(self, claim: Member, now: float) -> None:
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
        self._broadcasts.add_member(self.me)
        self._push_soon(now)

    def _store(self, member: Member, now: float, is_broadcast: bool) -> None:
        known = self.members_by_id.get(member.id)
        if known is not None:
            if known.process_id == member.process_id:
                revision = max(known.config_revision, member.config_revision)
                member = evolve(member, config_revision=revision)
            else:
                self._suspect_until.pop(member.id, None)
        elif member.state is not MemberState.DEAD:
            self._probe_order.insert(self.rng.randrange(len(self._probe_order) + 1), member.id)
        if member.state is MemberState.DEAD:
            self._suspect_until.pop(member.id, None)
        self.members_by_id[member.id] = member
        self._changed_at[member.id] = now
        self.version += 1
        if is_broadcast:
            self._broadcasts.add_member(member)

    def _accept_rumor(self, rumor: ttypes.Rumor, now: float) -> bool:
        if not _is_complete(rumor) or not self._rumors.add(rumor, now):
            return False
        self._broadcasts.add_rumor(rumor)
        self.events.append(RumorReceived(rumor.kind, rumor.key, rumor.version, rumor.payload))
        self._push_soon(now)
        return True

    def _record_sender_revision(self, datagram: ttypes.Datagram, source: Address) -> None:
        self._record_revision(datagram.sender_id, datagram.config_revision)
        if datagram.config_revision > self.me.config_revision:
            self.events.append(RevisionSeen(datagram.config_revision, source))

    def _record_revision(self, member_id: str, revision: int) -> None:
        known = self.members_by_id.get(member_id)
        if known is not None and member_id != self.me.id and revision > known.config_revision:
            self.members_by_id[member_id] = evolve(known, config_revision=revision)
            self.report_version += 1

    # Sending

    def _respond(self, datagram: ttypes.Datagram, source: Address, now: float) -> None:
        kind = datagram.kind
        if kind == ttypes.DatagramKind.PING:
            sender = datagram.sender_id
            if datagram.target_id in (None, "", self.me.id):
                self._send(ttypes.DatagramKind.ACK, datagram.sequence, source, now, sender)
        elif kind == ttypes.DatagramKind.ACK:
            self._handle_ack(datagram, now)
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

    def _handle_ack(self, datagram: ttypes.Datagram, now: float) -> None:
        relay = self._relays.pop(datagram.sequence, None)
        if relay is not None:
            self._send(ttypes.DatagramKind.ACK, relay.sequence, relay.origin, now, "")
            return
        probe = self._probes.pop(datagram.sequence, None)
        # A suspected member clears its suspicion by a refutation. For a leaving member, the
        # acknowledgement does so, because there is no suspect state that it could refute.
        if probe is not None and _is_leaving(self.members_by_id.get(probe.target)):
            self._suspect_until.pop(probe.target, None)

    def _push_soon(self, now: float) -> None:
        if now - self._last_push >= self.policy.min_push_interval_s:
            self._push(now)
        else:
            self._is_push_pending = True

    def _push(self, now: float) -> None:
        self._last_push = now
        self._is_push_pending = False
        sampled = self._sample(2 * self.policy.push_fanout)
        responsive = [m for m in sampled if m.state is not MemberState.SUSPECT] or sampled
        for member in responsive[: self.policy.push_fanout]:
            self._send(ttypes.DatagramKind.NOTICE, 0, member.peer_address, now, member.id)

    def _send(self, kind: int, sequence: int, address: Address, now: float, target: str) -> None:
        """Queues a datagram, with as many pending broadcasts as fit into it.

        A target that is suspect or dead in the view of this member receives that record first, so
        that it can refute it. A suspect receives no broadcasts: each is sent a limited number of
        times.
        """
        free_bytes = MAX_DATAGRAM_BYTES - _HEADER_BYTES - 2 * _MAX_ID_BYTES
        members: list[ttypes.Member] = []
        record = self.members_by_id.get(target)
        if record is not None and record.state not in (MemberState.ALIVE, MemberState.LEAVING):
            members.append(to_wire(record))
            free_bytes -= wire_size(members[0])
        rumors: list[ttypes.Rumor] = []
        if record is None or record.state is not MemberState.SUSPECT:
            updates, rumors = pick_broadcasts(
                self._broadcasts, self._rumors, free_bytes, self._size(), now
            )
            members.extend(updates)
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
        self.outbox.append((address, encode_datagram(datagram)))

    def _sample(self, count: int, excluded: str = "") -> list[Member]:
        return sample(self.members_by_id, self.rng, count, (self.me.id, excluded))

    def _select_helpers(self, target: Member) -> list[Member]:
        count = self.policy.indirect_probes
        near = (self.me.failure_domain, target.failure_domain)
        return pick_across_domains(self._sample(4 * count, target.id), near, count)

    def _request_sync(self, now: float) -> None:
        """Adds events for a full sync with a random peer and with a seed that is not a member."""
        interval = self.policy.sync_interval_s * max(1.0, self._size() / self.policy.sync_members)
        # The first syncs follow quickly: while a fleet starts, each doubles the known members.
        self._sync_delay_s = min(2 * self._sync_delay_s, interval)
        peers = self._sample(1)
        if peers:
            self.events.append(SyncDue(peers[0].peer_address))
        else:
            self._sync_delay_s = 1.0
        # Without this sync, groups that form around different seeds would stay separate.
        known = {m.peer_address for m in self.members_by_id.values()}
        unknown = [seed for seed in self.seeds if seed not in known]
        if unknown:
            self.events.append(SyncDue(self.rng.choice(unknown)))
        self._next_sync = now + self._sync_delay_s * (0.75 + 0.5 * self.rng.random())

    def _size(self) -> int:
        return len(self.members_by_id)


def _is_leaving(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.LEAVING


def _precedence(member: Member) -> tuple[int, int, int]:
    """Returns a sort key by which a newer record of the same member compares higher.

    A process that started later has a higher process id.
    """
    return (member.process_id, member.incarnation, _RANK[member.state])


def _is_complete(rumor: ttypes.Rumor) -> bool:
    fields = (rumor.kind, rumor.key, rumor.version, rumor.payload, rumor.ttl_ms)
    return None not in fields
