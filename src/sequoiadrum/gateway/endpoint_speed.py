"""Smooths how long work takes at an endpoint; performs no I/O.

Endpoints that share their hosts state a figure that changes many times a second. A router that
followed it would send everything to the endpoint that was fast at the last response, together with
all others that saw the same figure. What is expected instead returns to the endpoint's usual figure
as the last one ages, and counts only for the part of a request that the last figure still covers.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

MIN_SLOWDOWN: Final = 0.25
"""A smaller stated figure is raised to this, so that a false one does not attract all requests."""
MAX_SLOWDOWN: Final = 8.0
"""A larger stated figure is lowered to this, so that a false one does not exclude an endpoint."""
LEVEL_WINDOW_S: Final = 0.2
"""Time constant of the present level; figures that follow each other faster are averaged."""
PERSISTENCE_S: Final = 0.5
"""Time constant with which a host returns from its present level to its usual one."""
MAX_LEVEL_AGE_S: Final = 5 * PERSISTENCE_S
"""A level of longer ago says less than one hundredth of what it did."""
USUAL_WINDOW_S: Final = 10.0
"""Time constant of the usual level."""
MAX_USUAL_WEIGHT: Final = 0.2
"""Highest weight of a single figure in the usual level."""
DURATION_HALF_LIFE_S: Final = 3.0
"""Time after which an observed duration counts half."""
PRIOR_DURATIONS: Final = 8.0
"""Durations at the service's mean that are added to those of an endpoint, so that a few long
requests do not mark it as slow."""
MIN_SERVICE_DURATIONS: Final = 4.0
"""Observed durations of a service below which its endpoints are not compared."""


@define(eq=False)
class StatedSpeed:
    """The figures that one endpoint stated, as multiples of the usual time of work."""

    _level: float = 1.0
    _usual: float = 1.0
    _stated_at: float = float("-inf")

    def record(self, slowdown: float, now: float) -> None:
        """Records a figure; one that is no number is ignored."""
        if not math.isfinite(slowdown):
            return
        figure = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        elapsed_s = max(0.0, now - self._stated_at)
        weight = min(MAX_USUAL_WEIGHT, 1.0 - math.exp(-elapsed_s / USUAL_WINDOW_S))
        self._usual += weight * (figure - self._usual)
        self._level += (1.0 - math.exp(-elapsed_s / LEVEL_WINDOW_S)) * (figure - self._level)
        self._stated_at = now

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last figure; infinity if there was none."""
        return now - self._stated_at

    def expected(self, now: float, duration_s: float) -> float | None:
        """Returns the mean figure that is expected while a request runs; None if unknown.

        Args:
            now: Monotonic seconds.
            duration_s: Time for which the request is expected to run.
        """
        age_s = self.age_s(now)
        if age_s > MAX_LEVEL_AGE_S:
            return None if age_s == math.inf else self._usual
        covered = PERSISTENCE_S / max(duration_s, 1e-3)
        share = covered * (1.0 - math.exp(-1.0 / covered))
        present = math.exp(-max(0.0, age_s) / PERSISTENCE_S) * share
        return self._usual + (self._level - self._usual) * present


@define(eq=False)
class _Durations:
    total_s: float = 0.0
    count: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / DURATION_HALF_LIFE_S)
        self.total_s *= factor
        self.count *= factor
        self.at = max(self.at, now)

    def record(self, duration_s: float, now: float) -> None:
        self.decay(now)
        self.total_s += duration_s
        self.count += 1


@define(eq=False)
class ObservedSpeeds:
    """The durations of calls to the endpoints of one plain service, which state no figure."""

    _service: _Durations = field(factory=_Durations)
    _by_endpoint: dict[str, _Durations] = field(factory=dict)

    def record(self, endpoint_id: str, duration_s: float, now: float) -> None:
        """Records the duration of a completed call."""
        self._service.record(duration_s, now)
        self._by_endpoint.setdefault(endpoint_id, _Durations(at=now)).record(duration_s, now)

    def forget(self, known_ids: AbstractSet[str]) -> None:
        """Forgets the endpoints that are not known any more."""
        for endpoint_id in self._by_endpoint.keys() - known_ids:
            del self._by_endpoint[endpoint_id]

    def expected(self, endpoint_id: str, now: float) -> float | None:
        """Returns the endpoint's durations as a multiple of the service's; None if unknown."""
        self._service.decay(now)
        observed = self._by_endpoint.get(endpoint_id)
        if observed is None or self._service.count < MIN_SERVICE_DURATIONS:
            return None
        mean_s = self._service.total_s / self._service.count
        if mean_s <= 0:
            return None
        observed.decay(now)
        total_s = observed.total_s + PRIOR_DURATIONS * mean_s
        ratio = total_s / (observed.count + PRIOR_DURATIONS) / mean_s
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
