"""Counters and latency histograms of one gateway instance."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


@dataclass(slots=True)
class GatewayMetrics:
    """What an instance counts; histograms are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    reserve_us: HdrHistogram = field(default_factory=_histogram)
    first_event_us: HdrHistogram = field(default_factory=_histogram)
    whole_us: HdrHistogram = field(default_factory=_histogram)

    def record_first_event(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its first event."""
        self._record(self.first_event_us, elapsed_s)

    def record_reserve(self, elapsed_s: float) -> None:
        """Record how long a reservation took."""
        self._record(self.reserve_us, elapsed_s)

    def record_whole(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its end."""
        self._record(self.whole_us, elapsed_s)

    def text(self) -> str:
        """Return all figures as lines of name and value."""
        lines = [f"mothstand_{name} {value}" for name, value in sorted(self.counts.items())]
        for name in ("reserve_us", "first_event_us", "whole_us"):
            histogram = getattr(self, name)
            lines.append(f"mothstand_{name}_count {histogram.get_total_count()}")
            lines.extend(
                f'mothstand_{name}{{percentile="{p:g}"}} {histogram.get_value_at_percentile(p)}'
                for p in _PERCENTILES
            )
        return "\n".join(lines) + "\n"

    def _record(self, histogram: HdrHistogram, seconds: float) -> None:
        histogram.record_value(min(_HIGHEST_US, max(_LOWEST_US, int(seconds * 1e6))))
