"""Random selection of members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiadrum.messages import MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping

    from sequoiadrum.messages import Member


def sample(
    members_by_id: Mapping[str, Member], rng: random.Random, count: int, excluded: Collection[str]
) -> list[Member]:
    """Picks up to `count` random members that are not dead or excluded.

    The number of draws is bounded, so fewer members are returned if most are dead.
    """
    ids = list(members_by_id)
    picked: dict[str, Member] = {}
    for _ in range(4 * count):
        member = members_by_id[ids[rng.randrange(len(ids))]]
        if member.id not in excluded and member.state is not MemberState.DEAD:
            picked[member.id] = member
            if len(picked) == count:
                break
    return list(picked.values())


def pick_across_domains(
    candidates: list[Member], near_domains: Collection[str], count: int
) -> list[Member]:
    """Picks up to `count` members, preferring distinct failure domains outside of `near_domains`.

    A partition usually separates two domains, so a member in a third one can reach both.
    """
    by_domain: dict[str, Member] = {}
    for candidate in candidates:
        by_domain.setdefault(candidate.failure_domain, candidate)
    first = sorted(by_domain.values(), key=lambda member: member.failure_domain in near_domains)
    rest = [member for member in candidates if member not in first]
    return (first + rest)[:count]
