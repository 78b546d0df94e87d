"""Counters and latency histograms of one gateway instance."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..histograms import metric_lines, new_histogram, record_s

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram


@dataclass(slots=True)
class GatewayMetrics:
    """What an instance counts; histograms are in microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    reserve_us: HdrHistogram = field(default_factory=new_histogram)
    first_event_us: HdrHistogram = field(default_factory=new_histogram)
    whole_us: HdrHistogram = field(default_factory=new_histogram)

    def record_first_event(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its first event."""
        record_s(self.first_event_us, elapsed_s)

    def record_reserve(self, elapsed_s: float) -> None:
        """Record how long a reservation took."""
        record_s(self.reserve_us, elapsed_s)

    def record_total(self, elapsed_s: float) -> None:
        """Record the time from a request's arrival to its end."""
        record_s(self.whole_us, elapsed_s)

    def text(self) -> str:
        """Return all figures as lines of name and value."""
        lines = [f"mothstand_{name} {value}" for name, value in sorted(self.counts.items())]
        for name in ("reserve_us", "first_event_us", "whole_us"):
            lines += metric_lines(name, getattr(self, name))
        return "\n".join(lines) + "\n"
