"""Counters, gauges and latency histograms, exposed in the Prometheus text format."""

from __future__ import annotations

import threading
from collections import defaultdict
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_MAX_LATENCY_US: Final = 600_000_000
"""Longest recorded latency in microseconds: ten minutes."""
_SIGNIFICANT_DIGITS: Final = 2
"""Number of significant decimal digits of the histograms."""
_QUANTILES: Final = (50.0, 90.0, 95.0, 99.0)

_Key = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """Registry of the metrics of one process; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values_by_key: dict[_Key, float] = defaultdict(float)
        self._histograms_by_name: dict[str, HdrHistogram] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._labelled_gauges_by_name: dict[str, tuple[str, Callable[[], Mapping[str, float]]]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increments a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._values_by_key[key] += amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a function that returns the value of a gauge for each exposition."""
        with self._lock:
            self._gauges_by_name[name] = read

    def labelled_gauge(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Registers a function that returns the values of a gauge by the value of a label."""
        with self._lock:
            self._labelled_gauges_by_name[name] = (label, read)

    def record_seconds(self, name: str, seconds: float) -> None:
        """Records a latency; one of more than ten minutes is recorded as ten minutes."""
        value = max(1, min(_MAX_LATENCY_US, int(seconds * 1e6)))
        with self._lock:
            histogram = self._histograms_by_name.get(name)
            if histogram is None:
                histogram = self._histograms_by_name[name] = HdrHistogram(
                    1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
                )
            histogram.record_value(value)

    def value(self, name: str, **labels: str) -> float:
        """Returns the value of a counter, or 0 if it was never incremented."""
        with self._lock:
            return self._values_by_key.get((name, tuple(sorted(labels.items()))), 0.0)

    def snapshot(self) -> dict[str, float]:
        """Returns the values of all counters, gauges and quantiles by series name."""
        with self._lock:
            values = {_series(name, labels): v for (name, labels), v in self._values_by_key.items()}
            for name, histogram in self._histograms_by_name.items():
                for quantile in _QUANTILES:
                    series = _series(name, (("quantile", f"{quantile / 100:g}"),))
                    values[series] = histogram.get_value_at_percentile(quantile) / 1e6
                values[_series(f"{name}_count", ())] = float(histogram.get_total_count())
            gauges = dict(self._gauges_by_name)
            labelled = dict(self._labelled_gauges_by_name)
        values.update({_series(name, ()): read() for name, read in gauges.items()})
        for name, (label, read_all) in labelled.items():
            values.update({_series(name, ((label, key),)): v for key, v in read_all().items()})
        return values

    def exposition(self) -> str:
        """Returns all metrics in the Prometheus text format, version 0.0.4."""
        lines = [f"{series} {value:g}" for series, value in sorted(self.snapshot().items())]
        return "\n".join(lines) + "\n"


def _series(name: str, labels: tuple[tuple[str, str], ...]) -> str:
    full = f"sequoiadrum_{name}"
    if not labels:
        return full
    return full + "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
