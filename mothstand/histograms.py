"""Latency histograms in microseconds, and their lines at a metrics address."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram from a microsecond to ten minutes."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def record_s(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration."""
    histogram.record_value(min(_HIGHEST_US, max(_LOWEST_US, int(seconds * 1e6))))


def metric_lines(name: str, histogram: HdrHistogram) -> list[str]:
    """Return a histogram's count and percentiles as lines of name and value."""
    lines = [f"mothstand_{name}_count {histogram.get_total_count()}"]
    lines += [
        f'mothstand_{name}{{percentile="{p:g}"}} {histogram.get_value_at_percentile(p)}'
        for p in _PERCENTILES
    ]
    return lines
