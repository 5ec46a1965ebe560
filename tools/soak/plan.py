"""Draws the faults and the planned work of a soak from its seed."""

from __future__ import annotations

import random
from typing import Final

from attrs import frozen

RECOVERY_S: Final = 4.0
"""Time without faults at the end of a soak, in which the recovery is observed."""
WARM_UP_S: Final = 1.0
"""Time without faults at the beginning of a soak."""
ACTIONS_PER_S: Final = 1.3
"""Rate of faults and planned work together.

On average a fault lasts longer than the time between two actions, so that faults overlap.
"""

GATEWAY_KINDS: Final = ("kill", "term", "pause", "silent", "refused", "one_way", "slow")
"""Faults of one gateway, in this order.

It is killed; shuts down gracefully; is suspended. Its connection to the store is unresponsive;
refused; passes requests but no responses; is slow.
"""
STORE_KINDS: Final = ("down", "silent", "lost", "forget", "muted")
"""Faults of the store that are drawn like all others, in this order.

It refuses all requests; is unresponsive; loses responses; drops its history; sends no watch events.
"""
RESTORED: Final = "restored"
"""Fault of the store that is drawn separately: it is restored from an older copy."""
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
"""Faults and planned work of one endpoint, in this order.

It is down for a while; its connections are reset; it is unresponsive; receives requests but its
responses do not pass; is slow; loses responses; ends responses before they are complete; leaves and
is replaced.
"""
GRACE_PERIOD_S: Final = 8.0
"""Grace period between SIGTERM and SIGKILL; the same as `grace_s` in the settings of gateways."""
PLANNED_INTERVAL_S: Final = 6.0
"""Mean time between two reloads, configuration changes or leaving endpoints without faults."""
RESPONSE_KINDS: Final = ("cut_anywhere", "unframed", "unframed_reset", "unframed_death")
"""Faults of the responses of one endpoint, drawn separately, in this order.

Responses end regularly at any byte; have neither a length nor chunks, and are sound; are of that
kind and reset; are of that kind, and the endpoint is gone when they end.
"""
RESPONSE_FAULTS_PER_S: Final = 0.25
NOTICE_KINDS: Final = ("say_leaving", "turn_away")
"""What endpoints tell gateways with their responses, drawn separately, in this order.

The endpoint leaves and is replaced, but its entry in the store stays ready; it turns all requests
away for a time that it names.
"""
MIN_TURN_AWAY_S: Final = 2.0
_SUBJECT_WEIGHTS: Final = {"gateway": 5, "store": 2, "endpoint": 5, "config": 4, "reload": 1}


@frozen
class Action:
    """One fault or one piece of planned work."""

    at: float
    """Start of the action, in seconds from the start of the soak."""
    subject: str
    """`gateway`, `store`, `endpoint`, `config` or `reload`."""
    kind: str
    target: int
    """Index of the gateway or the endpoint, from 0."""
    for_s: float
    """Duration of a fault, in seconds."""


def draw_planned_work(seed: int, seconds: float, gateways: int, endpoints: int) -> list[Action]:
    """Returns the actions of a soak without faults, ordered by time; see `draw_plan`.

    Gateways stop in series and overlapping, beside reloads, configuration changes and endpoints
    that leave. Faults would excuse most requests that a graceful shutdown cuts off.
    """
    rng = random.Random(f"planned-{seed}")
    last_at = seconds - RECOVERY_S - 1.0
    actions = []
    at, target = WARM_UP_S, rng.randrange(gateways)
    while at < last_at:
        actions.append(Action(round(at, 2), "gateway", "term", target, 0.0))
        target = (target + 1) % gateways
        at += rng.choice((0.1, 1.5, 4.0, GRACE_PERIOD_S))
    for subject, kind in (("config", "config"), ("reload", "reload"), ("endpoint", "leave")):
        count = endpoints if subject == "endpoint" else gateways
        for _ in range(int(seconds / PLANNED_INTERVAL_S)):
            at = round(rng.uniform(WARM_UP_S, last_at), 2)
            actions.append(Action(at, subject, kind, rng.randrange(count), 0.0))
    return sorted(actions, key=lambda action: action.at)


def draw_plan(seed: int, seconds: float, gateways: int, endpoints: int) -> list[Action]:
    """Returns the actions of a soak, ordered by time.

    The same arguments give the same plan.

    Args:
        seed: Seed of the random draws.
        seconds: Duration of the soak.
        gateways: Number of gateways.
        endpoints: Number of endpoints.
    """
    rng = random.Random(seed)
    actions = []
    for _ in range(int(ACTIONS_PER_S * (seconds - RECOVERY_S - WARM_UP_S))):
        at = rng.uniform(WARM_UP_S, seconds - RECOVERY_S - 1.0)
        subject = rng.choices(list(_SUBJECT_WEIGHTS), list(_SUBJECT_WEIGHTS.values()))[0]
        kinds = {"gateway": GATEWAY_KINDS, "store": STORE_KINDS, "endpoint": ENDPOINT_KINDS}
        kind = rng.choice(kinds.get(subject, (subject,)))
        count = endpoints if subject == "endpoint" else gateways
        for_s = min(rng.choice((0.2, 0.6, 1.5, 4.0)), seconds - RECOVERY_S - at)
        actions.append(Action(round(at, 2), subject, kind, rng.randrange(count), round(for_s, 2)))
        if subject == "gateway" and rng.random() < 0.3:
            # Faults come in series: the next gateway is hit before this one has recovered.
            next_target = (actions[-1].target + 1) % gateways
            next_at = min(at + 0.3, seconds - RECOVERY_S - 0.5)
            actions.append(Action(round(next_at, 2), subject, kind, next_target, round(for_s, 2)))
    # Drawn separately, so that the other actions of a seed stay as they were.
    restores = random.Random(f"restores-{seed}")
    for _ in range(restores.randint(0, 2)):
        at = restores.uniform(WARM_UP_S, seconds - RECOVERY_S - 1.0)
        for_s = min(restores.choice((0.0, 0.3, 2.0)), seconds - RECOVERY_S - at)
        actions.append(Action(round(at, 2), "store", RESTORED, 0, round(for_s, 2)))
    responses = random.Random(f"responses-{seed}")
    for _ in range(int(RESPONSE_FAULTS_PER_S * seconds)):
        at = responses.uniform(WARM_UP_S, seconds - RECOVERY_S - 1.0)
        for_s = min(responses.choice((0.3, 1.0, 2.0)), seconds - RECOVERY_S - at)
        kind, target = responses.choice(RESPONSE_KINDS), responses.randrange(endpoints)
        actions.append(Action(round(at, 2), "endpoint", kind, target, round(for_s, 2)))
    notices = random.Random(f"notices-{seed}")
    for kind in NOTICE_KINDS:
        for _ in range(notices.randint(0, 2)):
            at = notices.uniform(WARM_UP_S, seconds - RECOVERY_S - MIN_TURN_AWAY_S)
            for_s = min(notices.uniform(MIN_TURN_AWAY_S, 4.0), seconds - RECOVERY_S - at)
            target = notices.randrange(endpoints)
            actions.append(Action(round(at, 2), "endpoint", kind, target, round(for_s, 2)))
    return sorted(actions, key=lambda action: action.at)
