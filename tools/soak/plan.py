"""Draws what happens in a soak from its seed."""

from __future__ import annotations

import random
from typing import Final

from attrs import frozen

CALM_S: Final = 4.0
"""Without faults at the end, so that the recovery can be seen."""
START_S: Final = 1.0
"""Without faults at the beginning."""
ACTIONS_PER_S: Final = 1.3
"""Faults and planned work together; a fault lasts about as long, so that they overlap."""

GATEWAY_KINDS: Final = ("kill", "term", "pause", "silent", "refused", "one_way", "slow")
"""Killed; planned stop; suspended; store silent, refused, cut one way or slow for one gateway."""
STORE_KINDS: Final = ("down", "silent", "lost", "forget", "muted")
"""Refuses all; answers nothing; loses answers; drops its history; watches hear nothing."""
ENDPOINT_KINDS: Final = (
    "crash",
    "reset",
    "silent",
    "one_way",
    "slow",
    "lost_answers",
    "cut_answers",
    "leave",
)
"""Gone for a while; connections reset; silent; cut one way; slow; loses answers; breaks off in the
middle of answers; leaves and is replaced."""
_WEIGHTS: Final = {"gateway": 5, "store": 2, "endpoint": 5, "config": 4, "reload": 1}


@frozen
class Action:
    """One fault or piece of planned work."""

    at: float
    """Seconds from the start."""
    subject: str
    """`gateway`, `store`, `endpoint`, `config` or `reload`."""
    kind: str
    target: int
    """Which of its kind, counted from 0."""
    for_s: float


def draw_plan(seed: int, seconds: float, gateways: int, endpoints: int) -> list[Action]:
    """Draws the actions of a soak in the order of their times; the same seed gives the same."""
    rng = random.Random(seed)
    actions = []
    for _ in range(int(ACTIONS_PER_S * (seconds - CALM_S - START_S))):
        at = rng.uniform(START_S, seconds - CALM_S - 1.0)
        subject = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
        kinds = {"gateway": GATEWAY_KINDS, "store": STORE_KINDS, "endpoint": ENDPOINT_KINDS}
        kind = rng.choice(kinds.get(subject, (subject,)))
        count = endpoints if subject == "endpoint" else gateways
        for_s = min(rng.choice((0.2, 0.6, 1.5, 4.0)), seconds - CALM_S - at)
        actions.append(Action(round(at, 2), subject, kind, rng.randrange(count), round(for_s, 2)))
        if subject == "gateway" and rng.random() < 0.3:
            # Signals come in series: the next gateway follows before this one is back.
            following = (actions[-1].target + 1) % gateways
            later = min(at + 0.3, seconds - CALM_S - 0.5)
            actions.append(Action(round(later, 2), subject, kind, following, round(for_s, 2)))
    return sorted(actions, key=lambda action: action.at)
