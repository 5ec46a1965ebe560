"""Conversion of members and gossip datagrams to and from thrift."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from sequoiadrum._gen.peer import ttypes
from sequoiadrum._thrift_transport import decode, encode
from sequoiadrum.messages import Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable


def to_wire(member: Member) -> ttypes.Member:
    """Converts a member to its thrift structure, which has no configuration revision."""
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
    """Converts a thrift structure to a member; returns None if a field is missing or invalid."""
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
    """Converts members to thrift structures that include the configuration revision."""
    return [ttypes.MemberReport(to_wire(m), m.config_revision) for m in members]


def from_reports(reports: Iterable[ttypes.MemberReport]) -> list[Member]:
    """Converts thrift structures to members; invalid entries are skipped."""
    members = []
    for report in reports:
        if report.member is not None:
            member = from_wire(report.member, report.config_revision or 0)
            if member is not None:
                members.append(member)
    return members


def wire_size(structure: ttypes.Member | ttypes.Rumor) -> int:
    """Returns the encoded size in bytes."""
    return len(encode(structure))


def encode_datagram(datagram: ttypes.Datagram) -> bytes:
    """Encodes a datagram; its CRC-32 checksum comes first."""
    body = encode(datagram)
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode_datagram(data: bytes) -> ttypes.Datagram | None:
    """Decodes a datagram; returns None if the checksum or a required field is wrong.

    Without the checksum, random bytes that are valid in the compact protocol could create members.
    """
    if len(data) < 5 or zlib.crc32(data[4:]).to_bytes(4, "big") != data[:4]:
        return None
    datagram = decode(ttypes.Datagram(), data[4:])
    if datagram is None or not datagram.sender_id or datagram.sender_process_id is None:
        return None
    if None in (datagram.kind, datagram.sequence, datagram.config_revision):
        return None
    return datagram
