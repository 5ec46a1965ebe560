"""Describes a request to the admission control."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sequoiadrum.gateway import clock
from sequoiadrum.gateway.admission_control import Demand
from sequoiadrum.gateway.guards import stream_patience_s
from sequoiadrum.hashing import stable_hash

if TYPE_CHECKING:
    from sequoiadrum.gateway.request_run import RequestRun

_SPREAD_STEPS = 1_000


def demand_of(run: RequestRun, held_share: float) -> Demand:
    """Returns what a request needs; the times are as of now.

    Args:
        run: The request.
        held_share: What this router holds of responses, as a share of its memory for them.
    """
    left_s = run.time_left()
    first_left_s = left_s
    if run.kind.is_stream:
        age_s = clock.now() - run.caller.arrived_at
        first_left_s = min(left_s, stream_patience_s(run.route) - age_s)
    return Demand(
        priority=run.priority(),
        account=run.account.name if run.account is not None else "",
        route=run.route.name,
        wait_s=math.inf if run.call.deadline_s is None else run.call.deadline_s,
        first_left_s=first_left_s,
        done_left_s=left_s,
        spread=stable_hash("come-back", run.call.request_id) % _SPREAD_STEPS / _SPREAD_STEPS,
        held_share=held_share,
    )
