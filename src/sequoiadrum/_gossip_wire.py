"""Conversion between members and their thrift form."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._thrift_transport import decode, encode
from sequoiadrum.messages import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable


def to_wire(member: Member) -> ttypes.Member:
    """Gives the thrift form of a member, without its configuration revision."""
    return ttypes.Member(
        id=member.id,
        host=member.host,
        peer_port=member.peer_port,
        http_port=member.http_port,
        failure_domain=member.failure_domain,
        region=member.region,
        process_id=member.process_id,
        incarnation=member.incarnation,
        state=member.state.value,
    )


def from_wire(wire: ttypes.Member, config_revision: int = 0) -> Member | None:
    """Reads a member; None when a field is missing or out of range."""
    texts = (wire.id, wire.host, wire.failure_domain, wire.region)
    numbers = (wire.peer_port, wire.http_port, wire.process_id, wire.incarnation, wire.state)
    if not all(isinstance(text, str) for text in texts) or None in numbers or not wire.id:
        return None
    if not (0 < wire.peer_port < 65_536 and 0 <= wire.http_port < 65_536 and 1 <= wire.state <= 4):
        return None
    return Member(
        id=wire.id,
        host=wire.host,
        peer_port=wire.peer_port,
        http_port=wire.http_port,
        failure_domain=wire.failure_domain,
        region=wire.region,
        process_id=wire.process_id,
        incarnation=wire.incarnation,
        state=MemberState(wire.state),
        config_revision=config_revision,
    )


def to_reports(members: Iterable[Member]) -> list[ttypes.MemberReport]:
    """Gives the thrift form of a whole member list."""
    return [ttypes.MemberReport(to_wire(m), m.config_revision) for m in members]


def from_reports(reports: Iterable[ttypes.MemberReport]) -> list[Member]:
    """Reads a member list; entries that are not valid are passed over."""
    members = []
    for report in reports:
        if report.member is not None:
            member = from_wire(report.member, report.config_revision or 0)
            if member is not None:
                members.append(member)
    return members


def wire_size(structure: ttypes.Member | ttypes.Rumor) -> int:
    """Gives the encoded size in bytes."""
    return len(encode(structure))


def seal(datagram: ttypes.Datagram) -> bytes:
    """Encodes a datagram behind its checksum."""
    body = encode(datagram)
    return zlib.crc32(body).to_bytes(4, "big") + body


def unseal(data: bytes) -> ttypes.Datagram | None:
    """Reads a datagram; None for anything else.

    The checksum keeps random bytes, which the compact protocol may accept, from becoming members.
    """
    if len(data) < 5 or zlib.crc32(data[4:]).to_bytes(4, "big") != data[:4]:
        return None
    datagram = decode(ttypes.Datagram(), data[4:])
    if datagram is None or not datagram.sender_id or datagram.sender_process_id is None:
        return None
    if None in (datagram.kind, datagram.sequence, datagram.config_revision):
        return None
    return datagram
