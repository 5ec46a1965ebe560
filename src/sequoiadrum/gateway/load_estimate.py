"""Estimates the requests in flight at an endpoint from reports that are a little old; no I/O.

Requests that a report counted complete, and others take their place. The estimate therefore moves
from the last report to the recent mean as the report ages, the sooner the shorter the requests are:
a report of half a second ago says much of an engine's streams and nothing of calls of 20 ms.
"""

from __future__ import annotations

import math
from typing import Final

from attrs import define

MEAN_WINDOW_S: Final = 4.0
"""Time constant of the mean of the reports. Spells on a slow host last less than a second: a mean
that followed them would shift the load after each of them has ended."""
REPORT_DELAY_S: Final = 0.1
"""Time from the moment that a report describes until it is received."""
MAX_REPORT_AGE_S: Final = 1.5
"""Without a report for this time, nothing is known of the other routers' requests."""
PRIOR_OWN_REQUESTS: Final = 2.0
"""Requests that are added to the own ones, so that one of them says little where few are usual."""
MIN_DURATION_S: Final = 0.005
"""Shortest mean duration of requests that is assumed."""


@define(eq=False)
class LoadEstimate:
    """The requests of other routers at one endpoint, as of the last report and on average."""

    _last: int = 0
    _mean: float = 0.0
    _own_mean: float = 0.0
    """Mean of the own requests in flight at the moments of the reports."""
    _reported_at: float = float("-inf")

    def record(self, count: int, own: int, now: float) -> None:
        """Records a report of the other routers' requests in flight.

        Args:
            count: Requests of the other routers.
            own: Requests of this router.
            now: Monotonic seconds.
        """
        elapsed_s = max(0.0, now - self._reported_at)
        weight = 1.0 - math.exp(-elapsed_s / MEAN_WINDOW_S)
        if elapsed_s > MAX_REPORT_AGE_S:
            weight = 1.0
        self._mean += weight * (count - self._mean)
        self._own_mean += weight * (own - self._own_mean)
        self._last = count
        self._reported_at = now

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last report; infinity if there was none."""
        return now - self._reported_at

    def expected(self, now: float, duration_s: float) -> float | None:
        """Returns the expected requests of the other routers; None without a recent report.

        Args:
            now: Monotonic seconds.
            duration_s: Mean time that a request of the service is in flight.
        """
        age_s = self.age_s(now)
        if age_s > MAX_REPORT_AGE_S:
            return None
        remaining = math.exp(-(age_s + REPORT_DELAY_S) / max(MIN_DURATION_S, duration_s))
        return self._mean + (self._last - self._mean) * remaining

    def own_excess(self, own: int) -> float:
        """Returns how many times as many own requests as usual are in flight at the moment.

        Own requests are known at once. More of them than usual mean that the endpoint is slower or
        busier than it was, for other routers as well.
        """
        return (own + PRIOR_OWN_REQUESTS) / (self._own_mean + PRIOR_OWN_REQUESTS)
