"""Policy and events of `membership`."""

from __future__ import annotations

from attrs import define, frozen

from sequoiadrum.messages import Address, RumorReceived


@frozen
class MembershipPolicy:
    """Intervals of the protocol, in seconds."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.4
    """Then indirect probes are asked for; well above the round trip between regions."""
    check_gap_s: float = 0.2
    """Shortest time between two probes on a hint, so that hints cannot flood the network."""
    suspicion_s: float = 2.0
    """Suspicion time at 14 members; it grows with log n."""
    indirect_probes: int = 3
    push_fanout: int = 4
    """Peers that get urgent news at once; 4 reach 98 % without any later probe."""
    push_gap_s: float = 0.05
    """Shortest time between two pushes of one router."""
    dead_kept_s: float = 600.0
    """Longer than any old news may circulate; also how long a lost domain is looked for."""
    dead_probe_s: float = 4.0
    """One dead member is probed this often, so that a healed split is found."""
    deaf_s: float = 2.5
    """Hearing nobody for this long, a member blames itself first."""
    sync_interval_s: float = 30.0
    sync_members: int = 128
    """Above this size the interval of full syncs grows in proportion, so its cost is constant."""


@frozen
class SyncWanted:
    """A full exchange of member lists with a peer is due."""

    address: Address


@frozen
class RevisionSeen:
    """A peer has a higher configuration revision in force."""

    revision: int
    address: Address


@frozen
class Superseded:
    """Another, later process uses the id of this member."""

    process_id: int


@define(eq=False)
class Probe:
    """A probe without an answer yet."""

    target: str
    started: float
    indirect: bool = False
    is_urgent: bool = False
    """Made because the target refused a connection."""


@define(eq=False)
class Relay:
    """An indirect probe made for another member."""

    origin: Address
    sequence: int
    expires: float


Event = SyncWanted | RevisionSeen | Superseded | RumorReceived
"""What `Membership.take_events` gives."""
