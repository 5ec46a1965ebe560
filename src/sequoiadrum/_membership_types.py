"""Policy, events and pending probes of `membership`."""

from __future__ import annotations

from attrs import define, frozen

from sequoiadrum.messages import Address, RumorReceived


@frozen
class MembershipPolicy:
    """Intervals (in seconds) and fanouts of the membership protocol."""

    probe_interval_s: float = 1.0
    """Time between two probes; also the time after which an unacknowledged probe has failed."""
    probe_timeout_s: float = 0.4
    """Time without an acknowledgement after which a probe is sent through other members.

    It is well above the round-trip time between regions.
    """
    further_probes: int = 6
    """Number of other members that are probed once a member is suspected.

    Many may have failed at once, and one probe in each interval would take long to find them all.
    """
    max_pending_probes: int = 16
    """Further probes are sent up to this number of probes without an acknowledgement.

    It bounds the datagrams of a member that only receives acknowledgements late.
    """
    min_check_interval_s: float = 0.2
    """Minimum time between two probes on a hint, so that hints cannot flood the network."""
    suspicion_s: float = 2.0
    """Time from suspicion to death at 14 members; it grows with log n."""
    indirect_probes: int = 3
    """Number of members that are asked to probe an unresponsive member."""
    push_fanout: int = 4
    """Number of peers that receive an urgent update immediately.

    A fanout of 4 reaches 98 % of the members without any later probe.
    """
    min_push_interval_s: float = 0.05
    """Minimum time between two pushes of one router."""
    dead_retention_s: float = 600.0
    """How long the record of a dead member is kept.

    It is longer than an outdated update can circulate. A failure domain that was partitioned is
    probed for as long.
    """
    dead_probe_s: float = 4.0
    """Interval of probes of one random dead member, which detect that a partition has healed."""
    isolation_s: float = 2.5
    """Time without any received datagram after which a member presumes that its own link failed."""
    sync_interval_s: float = 30.0
    """Interval of full syncs up to `sync_members` members."""
    sync_members: int = 128
    """Above this number of members, the sync interval grows in proportion.

    This keeps the bandwidth of full syncs constant.
    """


@frozen
class SyncDue:
    """Reports that a full exchange of member lists with a peer is due."""

    address: Address


@frozen
class RevisionSeen:
    """Reports that a peer has a higher configuration revision in force."""

    revision: int
    address: Address


@frozen
class Superseded:
    """Reports that a process with a higher process id uses the id of this member."""

    process_id: int


@define(eq=False)
class Probe:
    """A probe that is not acknowledged yet."""

    target: str
    started: float
    indirect: bool = False
    """Whether indirect probes were requested."""
    is_urgent: bool = False
    """Whether the probe was sent on a hint that the target is unreachable."""


@define(eq=False)
class Relay:
    """A probe sent on behalf of another member."""

    origin: Address
    """Where the acknowledgement is forwarded to."""
    sequence: int
    """Sequence number of the probe at the origin."""
    expires: float


Event = SyncDue | RevisionSeen | Superseded | RumorReceived
"""An event that `Membership.take_events` returns."""
